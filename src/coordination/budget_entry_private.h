/**
 * @file budget_entry_private.h
 * A request as its entry host knows it, shared by the files of the role:
 * budget_entry.c asks holders, budget_entry_settle.c settles.
 */
#ifndef COORDINATION_BUDGET_ENTRY_PRIVATE_H
#define COORDINATION_BUDGET_ENTRY_PRIVATE_H

#include "coordination/budget_entry.h"

/** Holders that may have granted one request. */
#define ASKED_MAX 3
/** Holders that are asked for one request until it is refused. */
#define REFUSED_MAX 4

enum entry_state {
	ENTRY_ASKING,
	ENTRY_OPEN,
	ENTRY_DONE,
};

/** A holder that may have granted. */
struct asked_holder {
	struct budget_peer *peer;
	uint64_t incarnation;
};

struct entry_caller {
	struct entry_caller *next;
	struct tgw_budget_callback callback;
};

/** A request as its entry host knows it. */
struct entry_request {
	struct tgw_request_key key; /**< first member */
	struct entry_request *next_asking;
	struct entry_request *next_done;
	char *budget;
	int64_t bound_tokens;
	int64_t spent_tokens;
	int64_t earlier_tokens; /**< used by a run that was cut off */
	enum entry_state state;
	enum tgw_settle_basis basis;
	bool is_owner;
	bool is_queued; /**< among those done */
	uint64_t request_id;
	uint64_t line;
	struct asked_holder holder; /**< that granted */
	struct budget_peer *registered_at;
	size_t asked_count;
	struct asked_holder asked[ASKED_MAX];
	size_t refused_count;
	struct budget_peer *refused[REFUSED_MAX];
	enum tgw_status refusal; /**< of the domain's first holder */
	int64_t refusal_retry_us;
	struct entry_caller *callers; /**< wait for the answer */
	uint32_t users;		      /**< run under the reservation */
	int64_t deadline_us;
	int64_t retry_us;
	int64_t done_us;
};

/** @return an order to settle the request at a holder; the caller owns it */
struct settle_order *budget_entry_make_order(const struct entry_request *entry,
					     const struct asked_holder *holder,
					     enum tgw_settle_basis basis);

/** The request has ended now, and is forgotten in due time. */
void budget_entry_queue_done(struct tgw_budget_agent *agent,
			     struct entry_request *entry);

/** A holder asks whether a reservation is still used: says so if not. */
void budget_entry_answer_use(struct tgw_budget_agent *agent,
			     const struct asked_holder *holder,
			     const struct budget_message_item *item);

#endif
