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

/** A process that is a holder. */
struct holder_process {
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
	int64_t min_charge_tokens; /**< used by an incomplete run */
	enum entry_state state;
	enum tgw_settle_basis basis;
	bool is_owner;
	bool is_queued; /**< in the agent's queue of ended requests */
	uint64_t request_id;
	uint64_t line_id;
	struct holder_process holder;	   /**< that granted the request */
	struct budget_peer *registered_at; /**< successor of a gone holder */
	size_t tried_count;
	struct holder_process tried[TRIED_MAX]; /**< may have granted it */
	/** Holders that refused the request. */
	size_t refused_count;
	struct budget_peer *refused[REFUSED_MAX];
	enum tgw_status refusal; /**< of the holder that refused first */
	int64_t refusal_retry_us;
	struct entry_caller *callers; /**< waiting for the result */
	uint32_t run_count;	      /**< runs that share the reservation */
	int64_t deadline_us;
	int64_t retry_us;
	int64_t done_us;
};

/** @return a new settlement of the request for a holder; the caller owns it */
struct settlement *budget_entry_make_settlement(
	const struct entry_request *entry, const struct holder_process *holder,
	enum tgw_settle_basis basis);

/** Queues a request that has ended; it is freed after
 * duplicate_retention_us. */
void budget_entry_queue_done(struct tgw_budget_agent *agent,
			     struct entry_request *entry);

/** Handles a holder's query whether a reservation is still used. If it is not,
 * replies with a settlement as not run. */
void budget_entry_on_use_query(struct tgw_budget_agent *agent,
			       const struct holder_process *holder,
			       const struct budget_message_item *item);

#endif
