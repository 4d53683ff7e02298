/**
 * @file claim_ticket.h
 * Tickets: single-use keys that a process issues ahead of their calls. Only
 * the memory of the issuing process decides whether a ticket's call may run;
 * when that process dies, its unused tickets become invalid.
 */
#ifndef STATE_CLAIM_TICKET_H
#define STATE_CLAIM_TICKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/claim_bucket.h"
#include "state/claim_record.h"

#define CLAIM_TICKETS_MAX 16384

/** The parts of a ticket's text. */
struct claim_ticket_name {
	char host[TGW_NAME_SIZE];
	uint64_t incarnation;
	uint64_t serial;
};

/** @return whether the text has the form of a ticket */
bool claim_ticket_name_parse(struct claim_ticket_name *name, const char *text);

void claim_ticket_name_print(const struct claim_ticket_name *name,
			     char text[TGW_CLAIM_TICKET_SIZE]);

struct claim_ticket {
	uint64_t serial;
	char team[TGW_NAME_SIZE];
	int64_t issued_us;
	bool used; /**< claimed; the record holds the claim and its end */
	struct claim_record record;
};

/** The tickets of this process, oldest first. Serials start at 1. */
struct claim_ticket_table {
	uint64_t last_serial;
	size_t count;
	size_t capacity;
	struct claim_ticket *tickets;
};

void claim_ticket_table_clear(struct claim_ticket_table *table);

/** @return the new ticket's serial; 0 when the table holds CLAIM_TICKETS_MAX
 * tickets */
uint64_t claim_ticket_table_issue(struct claim_ticket_table *table,
				  const char *team, int64_t now_us);

/** @return the ticket; NULL when it was never issued, or has expired */
struct claim_ticket *claim_ticket_table_find(
	const struct claim_ticket_table *table, uint64_t serial);

/** @return whether the ticket was issued and has expired */
bool claim_ticket_table_has_expired(const struct claim_ticket_table *table,
				    uint64_t serial);

/** Decides like claim_bucket_claim(), for an unexpired ticket. A ticket of
 * another team, or one that was used with another key, is KEY_REUSED. */
enum claim_decision claim_ticket_claim(struct claim_ticket *ticket,
				       const char *team,
				       const struct claim_record *attempt);

/** Records how the call ended, as its owner reports it. Phase RUNNING: no byte
 * was sent, so the ticket becomes unused again.
 * @return whether this changed the ticket */
bool claim_ticket_end(struct claim_ticket *ticket,
		      const struct claim_record *end);

/** Removes the tickets that were issued before before_us. */
void claim_ticket_table_expire(struct claim_ticket_table *table,
			       int64_t before_us);

#endif
