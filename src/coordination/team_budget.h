/**
 * @file team_budget.h
 * A host's allotments of prepaid budgets.
 *
 * Each host takes allotments for its teams out of a budget pool in the store by
 * compare-and-swap and spends only what it was allotted, whether it reaches
 * the store or not. The sum of all allotments never exceeds what was paid in.
 * What a process held when it died counts as spent, but for what the next
 * process of that host returns by its record of spending caps. Safety does not
 * depend on leases or on the time of day, but on the monotonic clock of a host
 * within one boot, and on its listening addresses: whoever starts this agent
 * has bound them, and keeps them until the process ends.
 */
#ifndef COORDINATION_TEAM_BUDGET_H
#define COORDINATION_TEAM_BUDGET_H

#include <stdbool.h>
#include <stdint.h>

#include "state/peer_host.h"
#include "state/team_account.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"
#include "tamarackgw/store.h"

struct team_budget;

struct team_budget_settings {
	char host[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	/** Sends messages to other hosts; NULL: each host uses the store by
	 * itself. */
	struct tgw_peer *peer;
	/** Keys that the teams hash to in a new ledger, and the largest number
	 * in one that the store has already. */
	uint32_t key_count;
	/** As in struct cap_record. Processes of one boot have the same clock.
	 */
	uint32_t boot;
	struct team_account_policy policy;
};

/** A finished write of a budget pool. */
struct team_budget_write {
	const char *key;
	enum tgw_status status; /**< CONFLICT: another host wrote before */
	size_t value_bytes;
	uint32_t conflicts;  /**< consecutive, this one included */
	int64_t view_age_us; /**< of the pool that the write started from,
				  at the time of the response */
	int64_t duration_us;
};

/** Store calls since the start. */
struct team_budget_counters {
	uint64_t reads;
	uint64_t writes;
	uint64_t conflicts;  /**< of the writes */
	uint64_t cap_writes; /**< of the record of spending caps */
	/** Returned of what earlier processes of this host held. */
	uint64_t recovered_tokens;
	uint64_t relay_changes;	  /**< of the host that takes tokens for this
				   * one */
	uint64_t received_tokens; /**< from other hosts */
	uint64_t given_tokens;	  /**< to other hosts */
};

struct team_budget_events {
	/** An allotment changed, or a store call ended: requests that wait for
	 * tokens may try again. */
	void (*changed)(void *arg);
	/** team_budget_tick() has work at this time, which may be earlier than
	 * the time that it returned last. May be NULL. */
	void (*rescheduled)(void *arg, int64_t due_us);
	/** A store call failed and will be retried. May be NULL.
	 * @param call "read" or "write" */
	void (*failed)(void *arg, const char *call, enum tgw_status status,
		       const char *message);
	/** A write of a pool ended. May be NULL. */
	void (*written)(void *arg, const struct team_budget_write *write);
	/** Tokens that the host's previous process can't have spent were
	 * returned to a pool. May be NULL. */
	void (*recovered)(void *arg, const char *key, int64_t tokens);
	/** Another host takes tokens for this one now. May be NULL.
	 * @param relay its name, or this host's; empty if there is none */
	void (*relay_changed)(void *arg, const char *relay, const char *reason);
	/** The host's calls begin or cease to reach the store. May be NULL.
	 * @param source of the calls that tell so
	 * @param lasted_us of the state before */
	void (*store_changed)(void *arg, bool unreachable, const char *source,
			      int64_t lasted_us);
	/** The store returned from an earlier copy: what this process took
	 * since is counted again. May be NULL. */
	void (*store_returned)(void *arg, int64_t history);
	/** This process has returned what it did not spend and has left the
	 * pools. */
	void (*closed)(void *arg);
	void *arg;
};

/** A team's budget as metrics and log lines report it. */
struct team_budget_view {
	int64_t paid_in_tokens;
	int64_t limit_tokens;	 /**< that this host may spend in total */
	int64_t settled_tokens;	 /**< settled on this host */
	int64_t reserved_tokens; /**< held by open requests */
	int64_t received_tokens; /**< from other hosts, in total */
	int64_t given_tokens;	 /**< to other hosts, in total */
	int64_t free_tokens;	 /**< taken by no host, by the last read */
	/** By all hosts, dead ones included, by the last read. */
	int64_t taken_by_all_tokens;
	int64_t settled_by_all_tokens;
	int64_t none_free_us; /**< none were free since then; 0: some are */
	/** Of the tokens of all hosts that are neither free nor settled. */
	enum unsettled_cause unsettled_cause;
	/** Monotonic time of that read, by this host or its relay. */
	int64_t read_us;
};

/** @param incarnation random for each process start, never 0 */
struct team_budget *team_budget_new(const struct team_budget_settings *settings,
				    struct tgw_store *store,
				    const struct tgw_clock *clock,
				    uint64_t incarnation,
				    const struct team_budget_events *events);
void team_budget_free(struct team_budget *budgets);

/** Sets the total paid in for a team, which is added if it is new. A lower
 * total than before changes nothing. */
void team_budget_raise_paid_in(struct team_budget *budgets, const char *team,
			       int64_t total_tokens);

/** Applies the list of hosts that messages can be sent to. */
void team_budget_set_hosts(struct team_budget *budgets,
			   const struct peer_host *hosts, size_t count);

/** Applies a message of another host, of topic TGW_PEER_TRANSFER. */
void team_budget_on_message(struct team_budget *budgets,
			    const struct tgw_peer_message *message);

/** A version of the store was seen, by this host or through another one. */
void team_budget_note_version(struct team_budget *budgets, int64_t version);

/** Reports what another store call of this host found. What it learns through
 * other hosts is not to be reported. */
void team_budget_set_store_unreachable(struct team_budget *budgets,
				       bool unreachable);

/** Counts the maximum cost of a request that arrived, once, before its first
 * reservation.
 * @param rank urgency rank of the request's route, 0 for the most urgent */
void team_budget_record_demand(struct team_budget *budgets, const char *team,
			       int64_t tokens, int32_t rank);

/**
 * Reserves the maximum cost of a request.
 * @param rank urgency rank of the request's route, 0 for the most urgent
 * @return OK; EXHAUSTED when the budget cannot cover the cost; BUSY while a
 * larger allotment is being requested; CONFLICT when other hosts hold all that
 * is left of the budget; UNAVAILABLE when the store does not answer or the
 * budgets are being closed; DENIED when what is left of the budget is kept for
 * more urgent requests; NOT_FOUND for a team without a budget
 */
enum tgw_status team_budget_reserve(struct team_budget *budgets,
				    const char *team, int64_t tokens,
				    int32_t rank);

/** @return how long spending caps keep a request waiting that could not be
 * reserved as UNAVAILABLE; 0 if they don't */
int64_t team_budget_capped_for_us(const struct team_budget *budgets,
				  const char *team, int64_t tokens);

/** Ends a reservation and charges the request's actual cost. */
void team_budget_settle(struct team_budget *budgets, const char *team,
			int64_t reserved_tokens, int64_t spent_tokens);

/** Starts the store calls that are due.
 * @return the next due time */
int64_t team_budget_tick(struct team_budget *budgets);

/** Starts to return unspent tokens and to leave the pools; the `closed` event
 * reports the end. */
void team_budget_close(struct team_budget *budgets);

/** Fills in the view. @return whether the team has a budget */
bool team_budget_get_view(const struct team_budget *budgets, const char *team,
			  struct team_budget_view *view);

/** @return the host that takes tokens for this one, which may be itself; empty
 * if there is none */
const char *team_budget_relay(const struct team_budget *budgets);

const struct team_budget_counters *team_budget_get_counters(
	const struct team_budget *budgets);

/** @return the largest number of hosts in one pool, less one for this host */
uint32_t team_budget_other_hosts(const struct team_budget *budgets);

#endif
