#include "state/claim_ticket.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define TICKET_PREFIX "tgwt1."
#define HEX_BASE 16

/* Reads 1 to 16 hexadecimal digits, without a sign, up to the end character. */
static bool parse_hex(const char *text, char end, uint64_t *value,
		      const char **rest)
{
	size_t digits = strspn(text, "0123456789abcdef");

	if (!digits || digits > 16 || text[digits] != end)
		return false;
	*value = strtoull(text, NULL, HEX_BASE);
	*rest = text + digits + (end != '\0');
	return true;
}

bool claim_ticket_name_parse(struct claim_ticket_name *name, const char *text)
{
	size_t prefix = strlen(TICKET_PREFIX);
	const char *rest;
	size_t length;

	memset(name, 0, sizeof(*name));
	if (strncmp(text, TICKET_PREFIX, prefix))
		return false;
	if (!parse_hex(text + prefix, '.', &name->incarnation, &rest) ||
	    !parse_hex(rest, '.', &name->serial, &rest))
		return false;
	length = strlen(rest);
	if (!length || length >= sizeof(name->host))
		return false;
	memcpy(name->host, rest, length + 1);
	return true;
}

void claim_ticket_name_print(const struct claim_ticket_name *name,
			     char text[TGW_CLAIM_TICKET_SIZE])
{
	snprintf(text, TGW_CLAIM_TICKET_SIZE,
		 TICKET_PREFIX "%" PRIx64 ".%" PRIx64 ".%s", name->incarnation,
		 name->serial, name->host);
}

void claim_ticket_table_clear(struct claim_ticket_table *table)
{
	for (size_t i = 0; i < table->count; i++)
		claim_result_clear(&table->tickets[i].record.result);
	free(table->tickets);
	memset(table, 0, sizeof(*table));
}

uint64_t claim_ticket_table_issue(struct claim_ticket_table *table,
				  const char *team, int64_t now_us)
{
	struct claim_ticket *ticket;

	if (table->count == CLAIM_TICKETS_MAX)
		return 0;
	if (table->count == table->capacity) {
		table->capacity = table->capacity * 2 + 16;
		table->tickets =
			xrealloc(table->tickets,
				 table->capacity * sizeof(table->tickets[0]));
	}
	ticket = &table->tickets[table->count++];
	memset(ticket, 0, sizeof(*ticket));
	ticket->serial = ++table->last_serial;
	snprintf(ticket->team, sizeof(ticket->team), "%s", team);
	ticket->issued_us = now_us;
	return ticket->serial;
}

/* Serials are consecutive, so the first one and a serial give the index. */
struct claim_ticket *claim_ticket_table_find(
	const struct claim_ticket_table *table, uint64_t serial)
{
	uint64_t first;

	if (!table->count)
		return NULL;
	first = table->tickets[0].serial;
	if (serial < first || serial - first >= table->count)
		return NULL;
	return &table->tickets[serial - first];
}

bool claim_ticket_table_has_expired(const struct claim_ticket_table *table,
				    uint64_t serial)
{
	return serial && serial <= table->last_serial &&
	       !claim_ticket_table_find(table, serial);
}

enum claim_decision claim_ticket_claim(struct claim_ticket *ticket,
				       const char *team,
				       const struct claim_record *attempt)
{
	struct claim_record *record = &ticket->record;

	if (strcmp(ticket->team, team))
		return CLAIM_DECISION_KEY_REUSED;
	if (!ticket->used) {
		*record = *attempt;
		record->phase = CLAIM_PHASE_RUNNING;
		memset(&record->result, 0, sizeof(record->result));
		ticket->used = true;
		return CLAIM_DECISION_GRANTED;
	}
	if (memcmp(record->body_hash, attempt->body_hash,
		   sizeof(record->body_hash)) ||
	    memcmp(&record->key, &attempt->key, sizeof(record->key)))
		return CLAIM_DECISION_KEY_REUSED;
	if (record->phase == CLAIM_PHASE_DONE)
		return CLAIM_DECISION_DONE;
	if (record->phase == CLAIM_PHASE_UNKNOWN)
		return CLAIM_DECISION_UNKNOWN;
	if (claim_owner_equals(&record->owner, &attempt->owner))
		return CLAIM_DECISION_GRANTED;
	return CLAIM_DECISION_RUNNING;
}

bool claim_ticket_end(struct claim_ticket *ticket,
		      const struct claim_record *end)
{
	struct claim_record *record = &ticket->record;

	if (!ticket->used || record->phase != CLAIM_PHASE_RUNNING ||
	    !claim_owner_equals(&record->owner, &end->owner))
		return false;
	if (end->phase == CLAIM_PHASE_RUNNING) {
		ticket->used = false;
		return true;
	}
	record->phase = end->phase;
	claim_result_copy(&record->result, &end->result);
	return true;
}

void claim_ticket_table_expire(struct claim_ticket_table *table,
			       int64_t before_us)
{
	size_t expired = 0;

	while (expired < table->count &&
	       table->tickets[expired].issued_us < before_us)
		claim_result_clear(&table->tickets[expired++].record.result);
	if (!expired)
		return;
	table->count -= expired;
	memmove(table->tickets, table->tickets + expired,
		table->count * sizeof(table->tickets[0]));
}
