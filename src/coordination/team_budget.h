/**
 * @file team_budget.h
 * A host's own lines in the ledger of prepaid budgets.
 *
 * Each host takes allotments for its teams out of the store by
 * compare-and-swap and spends only what it was allotted, cut off or not. The
 * sum of all allotments never exceeds what was paid in. A line of a process
 * that is gone counts as spent in full. Safety rests on no clock and no
 * lease.
 */
#ifndef COORDINATION_TEAM_BUDGET_H
#define COORDINATION_TEAM_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "state/team_account.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/store.h"

struct team_budget;

struct team_budget_settings {
	char host[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	uint32_t bucket_count; /**< keys that the teams are spread over */
	struct team_account_policy policy;
};

struct team_budget_events {
	/** An allotment changed, or the store answered: requests that wait
	 * for tokens may try again. */
	void (*changed)(void *arg);
	/** A call of the store failed; it is made again. May be NULL.
	 * @param call "read" or "write" */
	void (*failed)(void *arg, const char *call, enum tgw_status status,
		       const char *message);
	/** All allotments were given back, or could not be. */
	void (*closed)(void *arg);
	void *arg;
};

/** What the metrics and log lines tell of a team. */
struct team_budget_view {
	int64_t paid_in_tokens;
	int64_t limit_tokens;	 /**< this host may spend, in all */
	int64_t settled_tokens;	 /**< this host spent */
	int64_t reserved_tokens; /**< held by open requests */
	int64_t free_tokens;	 /**< in no host's allotment, when last read */
	int64_t read_us;	 /**< when that was */
};

/** @param incarnation random for each process start, never 0 */
struct team_budget *team_budget_new(const struct team_budget_settings *settings,
				    struct tgw_store *store,
				    const struct tgw_clock *clock,
				    uint64_t incarnation,
				    const struct team_budget_events *events);
void team_budget_free(struct team_budget *budgets);

/** Tells the total paid in for a team; a lower total changes nothing. */
void team_budget_paid_in(struct team_budget *budgets, const char *team,
			 int64_t total_tokens);

/** Tells whether the store answers other calls of this host. */
void team_budget_store_away(struct team_budget *budgets, bool away);

/**
 * Reserves the most that a request may cost.
 * @param rank of the request's route, 0 for the most urgent
 * @return OK; EXHAUSTED when the budget can't pay it; BUSY when an allotment
 * has been asked for; CONFLICT when other hosts hold what is left of the
 * budget; UNAVAILABLE when the store does not answer; NOT_FOUND for a team
 * without a budget
 */
enum tgw_status team_budget_reserve(struct team_budget *budgets,
				    const char *team, int64_t tokens,
				    int32_t rank);

/** Ends a reservation with what the request did cost. */
void team_budget_settle(struct team_budget *budgets, const char *team,
			int64_t reserved_tokens, int64_t spent_tokens);

/** Writes and reads what is due. @return the next due time */
int64_t team_budget_tick(struct team_budget *budgets);

/** Gives back what is unspent and closes the lines; `closed` follows. */
void team_budget_close(struct team_budget *budgets);

/** @return whether the team has a budget */
bool team_budget_look(const struct team_budget *budgets, const char *team,
		      struct team_budget_view *view);

/** @return open lines of other hosts in the fullest key that was read */
uint32_t team_budget_other_hosts(const struct team_budget *budgets);

#endif
