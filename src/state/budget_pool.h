/**
 * @file budget_pool.h
 * One key of the budgets that hosts take their allotments from.
 *
 * The pool knows how much of each budget all hosts together have taken, and not
 * which host holds how much, so that its size grows with the budgets plus the
 * hosts and not with their product. A process that dies without returning its
 * allotments has spent them as far as the pool is concerned, but for what its
 * successor returns by its record of spending caps.
 *
 * Every writer maintains this invariant: for each budget, the taken tokens are
 * at most what was paid in.
 */
#ifndef STATE_BUDGET_POOL_H
#define STATE_BUDGET_POOL_H

#include <stddef.h>
#include <stdint.h>

#include "state/cap_record.h"
#include "state/ledger_bucket.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/status.h"

/** One budget. The amounts but the last are cumulative. */
struct pooled_budget {
	char name[TGW_NAME_SIZE];
	int64_t paid_in_tokens;
	int64_t taken_tokens;	  /**< by hosts, less what they returned */
	int64_t settled_tokens;	  /**< spent, as far as hosts have reported */
	int64_t demanded_tokens;  /**< by requests, refused ones included */
	int64_t requested_tokens; /**< that a host lacks as none are free */
};

/** A process that takes allotments from the pool. Hosts on slow links transfer
 * all of these with each read and write, so names are not among them. */
struct pool_host {
	uint64_t id;	   /**< from budget_pool_host_id() */
	uint64_t sequence; /**< number of its last write that took effect */
};

struct budget_pool {
	/** Number of keys that the budgets are spread over; 0 in a new pool. */
	uint32_t key_count;
	size_t budget_count;
	struct pooled_budget *budgets; /**< sorted by name */
	size_t host_count;
	struct pool_host *hosts;
};

void budget_pool_clear(struct budget_pool *pool);

/** @param copy is overwritten */
void budget_pool_copy(struct budget_pool *copy, const struct budget_pool *pool);

/** @return the budget, or NULL */
struct pooled_budget *budget_pool_find(const struct budget_pool *pool,
				       const char *name);

/** Raises what was paid in to this total; a lower one changes nothing. Adds the
 * budget if it is new.
 * @return the budget, valid until the next one is added; NULL if the name or
 * amount is invalid */
struct pooled_budget *budget_pool_raise_paid_in(struct budget_pool *pool,
						const char *name,
						int64_t total_tokens);

/** @return tokens that no host has taken */
int64_t pooled_budget_free_tokens(const struct pooled_budget *budget);

/** @param process random, to tell processes of one host apart
 * @return an id whose upper half is the same for all processes of a host */
uint64_t budget_pool_host_id(const char *host, uint32_t process);

/** @return the host, or NULL */
const struct pool_host *budget_pool_find_host(const struct budget_pool *pool,
					      uint64_t id);

/** Removes the earlier processes of a host. What the one that made the record
 * can't have spent is returned to the budgets.
 * @param id of the later process
 * @param record NULL to return nothing
 * @param dead_us the process that made the record was dead by then, by the
 * clock of the record
 * @return the tokens that were returned */
int64_t budget_pool_replace_earlier(struct budget_pool *pool, uint64_t id,
				    const struct cap_record *record,
				    int64_t dead_us);

/** Records a host's write, and removes earlier processes of that host. */
void budget_pool_record_write(struct budget_pool *pool, uint64_t id,
			      uint64_t sequence);

void budget_pool_remove_host(struct budget_pool *pool, uint64_t id);

/** Checks the invariant above and the range of all amounts. */
enum tgw_status budget_pool_check(const struct budget_pool *pool,
				  struct tgw_error *error);

/** Converts a ledger bucket with a line for each host, as earlier versions
 * wrote it, into a single key. What its lines are allotted counts as taken.
 * @param pool is overwritten */
void budget_pool_from_ledger(struct budget_pool *pool,
			     const struct ledger_bucket *bucket);

#endif
