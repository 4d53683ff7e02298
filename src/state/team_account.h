/**
 * @file team_account.h
 * What one host may spend of one team's budget, and what it has spent.
 */
#ifndef STATE_TEAM_ACCOUNT_H
#define STATE_TEAM_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

#include "state/budget_pool.h"
#include "state/demand_forecast.h"
#include "state/report_history.h"
#include "state/spending_cap.h"
#include "state/unsettled_floor.h"
#include "state/urgent_demand.h"
#include "tamarackgw/host_view.h"

/** How much of a budget a host may hold. */
struct team_account_policy {
	double ride_out_s;    /**< length of the store outage to cover */
	double hold_fraction; /**< maximum, of its fair part of what is left */
	/** Of what was paid in, that may be stranded by deaths. */
	double loss_fraction;
	uint32_t host_count; /**< minimum; bounds the initial allotments */
	/** The hosts have had time to join the pool. Until then, and until
	 * another host has settled tokens, no demand is assumed beyond the
	 * forecast, since the number of hosts is not known. */
	bool hosts_are_known;
};

/** What the host's allotment should be, and when that is worth a write. */
struct team_account_target {
	int64_t allotted_tokens;
	/** The same, if spending caps did not keep it from being lowered. */
	int64_t wanted_tokens;
	int64_t lacking_tokens; /**< needed here and not free */
	/** Forecast for this host, or assumed while little is known. */
	double demand_per_s;
	bool urgent;	 /**< worth a write at once */
	bool deferrable; /**< worth a write after the next read */
	bool awaited;	 /**< by requests here, or by other hosts */
};

/** What requests used, or were refused. All amounts are cumulative. */
struct team_account_usage {
	int64_t settled_tokens;
	int64_t demanded_tokens;
	int64_t requests;
};

/** One team's budget on this host. "When last read" means the last read of the
 * pool, by this host or by the relay that told it. */
struct team_account {
	char team[TGW_NAME_SIZE];
	int64_t paid_in_tokens;
	int64_t received_tokens; /**< from other hosts, cumulative */
	int64_t given_tokens;	 /**< to other hosts, cumulative */
	/** Unspent at hosts that this one relays for, as they last said. */
	int64_t held_by_peers_tokens;
	/** Spent at other hosts, for this host to report. */
	int64_t collected_settled_tokens;
	/** Reported through other hosts: never to be reported by this one. */
	struct team_account_usage forwarded;
	struct team_account_report confirmed; /**< by the store */
	/** What the open write says; equal to `confirmed` without one. */
	struct team_account_report proposed;
	struct report_history reports;
	/** The store returned from a copy that lacks writes of this process:
	 * its allotment was this, and is to be counted again. */
	bool recounts;
	int64_t lost_allotted_tokens;
	/** As recorded in the store, and as in an open write of the record. */
	struct spending_cap confirmed_cap;
	struct spending_cap proposed_cap;
	/** Received since, so that no record of caps covers it. */
	int64_t uncovered_tokens;
	/** Spendable at once when the proposed cap was made. */
	int64_t ahead_tokens;
	int64_t capped_tokens; /**< of requests that wait for a higher cap */
	int64_t settled_tokens;
	int64_t reserved_tokens;
	int64_t demanded_tokens; /**< by requests that arrived here */
	int64_t demanding_requests;
	double demanded_squares;     /**< sum of the squares of their tokens */
	int64_t needed_tokens;	     /**< of requests that lack tokens now */
	int32_t needed_rank;	     /**< of the most urgent of them */
	int64_t borrowed_for_tokens; /**< of those that wait for a loan */
	/** When the relay said that it can't get any for now; 0: it did not. */
	int64_t none_available_us;
	int64_t held_tokens;  /**< unspent here, when last read */
	int64_t free_tokens;  /**< taken by no host, when last read */
	int64_t viewed_us;    /**< when last read; 0 before */
	int64_t none_free_us; /**< first read without any free; 0: some are */
	struct unsettled_floor unsettled; /**< of all hosts, by the reads */
	/** Upper bound of what all hosts can still spend, when last read. */
	int64_t remaining_tokens;
	struct demand_forecast own_demand; /**< of requests that arrived here */
	struct urgent_demand urgent_demand; /**< likewise, by rank */
	/** Of these, and of those at hosts that this one relays for. */
	struct demand_forecast demand;
	/** Of all hosts, in the pool when it was last read; negative before. */
	int64_t fleet_demanded_tokens;
	struct demand_forecast fleet_demand; /**< of all hosts */
	struct team_account *next;
};

struct team_account *team_account_new(const char *team);

/** @return the total that this process may spend, spent and given tokens
 * included: what it received, and the lower of the confirmed allotment and that
 * of an open write, which may take effect at any time */
int64_t team_account_limit(const struct team_account *account);

/** @return what could be spent or given away at once; may be negative */
int64_t team_account_available(const struct team_account *account,
			       int64_t now_us);

/** @return unspent tokens, whether a spending cap withholds them or not */
int64_t team_account_held(const struct team_account *account);

/** @return what a host whose relay reads the pool must leave to more urgent
 * requests of an outage, by the rank of a request */
int64_t team_account_kept_for_urgent(const struct team_account *account,
				     int32_t rank);

/** Takes over a relay's view of the budget, which is as old as `viewed_us`. */
void team_account_view(struct team_account *account, int64_t free_tokens,
		       int64_t remaining_tokens, int64_t viewed_us);

/** Counts the tokens of a request that arrived, whether they can be reserved
 * or not: a forecast from served requests alone would keep a host that has
 * few tokens from getting more.
 * @param rank of the request's route, 0 for the most urgent */
void team_account_record_demand(struct team_account *account, int64_t tokens,
				int32_t rank, int64_t now_us);

/** @return whether the last part of the budget is left, which is kept for the
 * more urgent requests, as far as there are any */
bool team_account_is_kept(const struct team_account *account, int64_t tokens,
			  int32_t rank, int64_t now_us);

/**
 * Reserves tokens for a request.
 *
 * A host that can't reach the store may receive more requests than its
 * allotment, or the spending cap, can pay for. The last tokens are then kept
 * for the more urgent requests.
 * @param rank of the request's route, 0 for the most urgent
 * @param store_unreachable the allotment can't be raised at present
 * @return whether the reservation was made
 */
bool team_account_reserve(struct team_account *account, int64_t tokens,
			  int32_t rank, bool store_unreachable, int64_t now_us);

void team_account_settle(struct team_account *account, int64_t reserved_tokens,
			 int64_t spent_tokens);

/** @return the minimum that this process is charged: settled and given tokens,
 * and the reservations of unfinished requests */
int64_t team_account_charged(const struct team_account *account);

/** @return the fraction of the demand of all hosts that this host receives, as
 * far as it is known; greater than 0 */
double team_account_weight(const struct team_account *account,
			   const struct pooled_budget *budget,
			   size_t host_count,
			   const struct team_account_policy *policy,
			   int64_t now_us);

/**
 * Computes the host's next allotment from the pool as it was last read.
 * @param budget NULL if the pool does not have it yet
 * @param host_count hosts in the pool
 */
void team_account_decide(const struct team_account *account,
			 const struct pooled_budget *budget, size_t host_count,
			 const struct team_account_policy *policy,
			 int64_t now_us, struct team_account_target *target);

/** Applies an allotment, and what has changed since the last confirmed report,
 * to the budget that is to be written. Until the write is confirmed or
 * withdrawn, the lower allotment is in force. */
void team_account_propose(struct team_account *account,
			  const struct team_account_target *target,
			  struct pooled_budget *budget);

/** The proposed write took effect.
 * @param sequence of the write */
void team_account_confirm(struct team_account *account, uint64_t sequence,
			  int64_t now_us);

/** The store returned from an earlier copy. Until what that copy lacks is
 * counted again, none of it may be spent.
 * @param sequence of the last write of this process that the copy has; 0: none,
 * or not known */
void team_account_lose_writes(struct team_account *account, uint64_t sequence,
			      int64_t now_us);

/** The proposed write had no effect and can have none. */
void team_account_withdraw(struct team_account *account);

/** Another process has replaced this one in the pool, and may have returned
 * what this one held: it must not spend any more of that. */
void team_account_forfeit(struct team_account *account);

/** Updates what the account knows of the budget.
 * @param budget NULL if the pool does not have it yet */
void team_account_read(struct team_account *account,
		       const struct pooled_budget *budget, int64_t now_us);

/** @return tokens spent here or at hosts that this one relays for, and not
 * reported through another host */
int64_t team_account_own_settled(const struct team_account *account);

/** As team_account_own_settled(), of tokens that requests demanded. */
int64_t team_account_own_demanded(const struct team_account *account);

/** @return the mean cost of a request; 0 before the first */
int64_t team_account_mean_cost(const struct team_account *account);

#endif
