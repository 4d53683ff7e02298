/**
 * @file budget_entry_private.h
 * A request as its entry host records it, shared by the files of the role:
 * budget_entry.c reserves at holders, budget_entry_settle.c settles.
 */
#ifndef COORDINATION_BUDGET_ENTRY_PRIVATE_H
#define COORDINATION_BUDGET_ENTRY_PRIVATE_H

#include "coordination/budget_entry.h"

/** Maximum number of holders that may have granted one request. */
#define TRIED_MAX 3
/** Number of refusing holders after which a request is refused. */
#define REFUSED_MAX 4

enum entry_state {
	ENTRY_PENDING,
	ENTRY_OPEN,
	ENTRY_DONE,
};

/** A holder that was sent a request and may have granted it. */
struct tried_holder {
	struct budget_peer *peer;
	uint64_t incarnation;
};

struct entry_caller {
	struct entry_caller *next;
	struct tgw_budget_callback callback;
};

/** A request as its entry host records it. */
struct entry_request {
	struct tgw_request_key key; /**< first member */
	struct entry_request *next_pending;
	struct entry_request *next_done;
	char *budget;
	int64_t bound_tokens;
	int64_t spent_tokens;
	int64_t earlier_tokens; /**< minimum charge, of an incomplete run */
	enum entry_state state;
	enum tgw_settle_basis basis;
	bool is_owner;
	bool is_queued; /**< in the agent's queue of ended requests */
	uint64_t request_id;
	uint64_t line;
	struct tried_holder holder; /**< the one that granted */
	struct budget_peer *registered_at;
	size_t tried_count;
	struct tried_holder tried[TRIED_MAX];
	size_t refused_count;
	struct budget_peer *refused[REFUSED_MAX];
	enum tgw_status refusal; /**< of the holder that refused first */
	int64_t refusal_retry_us;
	struct entry_caller *callers; /**< wait for the result */
	uint32_t users;		      /**< runs that share the reservation */
	int64_t deadline_us;
	int64_t retry_us;
	int64_t done_us;
};

/** @return a settlement of the request for a holder; the caller owns it */
struct settle_order *budget_entry_make_order(const struct entry_request *entry,
					     const struct tried_holder *holder,
					     enum tgw_settle_basis basis);

/** Queues a request that has ended, to be freed after the retention time. */
void budget_entry_queue_done(struct tgw_budget_agent *agent,
			     struct entry_request *entry);

/** Handles a holder's query whether a reservation is still used; if it is not,
 * replies with a settlement as not run. */
void budget_entry_on_use_query(struct tgw_budget_agent *agent,
			       const struct tried_holder *holder,
			       const struct budget_message_item *item);

#endif
