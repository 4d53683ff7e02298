/**
 * @file team_account.h
 * What one host may spend of one team's budget, and what it has spent.
 */
#ifndef STATE_TEAM_ACCOUNT_H
#define STATE_TEAM_ACCOUNT_H

#include <stdbool.h>
#include <stdint.h>

#include "state/demand_forecast.h"
#include "state/ledger_bucket.h"
#include "tamarackgw/host_view.h"

/** Value of unresolved_tokens while the results of all writes are known. */
#define TEAM_ACCOUNT_RESOLVED INT64_C(-1)

/** How much of a budget a host may hold. */
struct team_account_policy {
	double ride_out_s;    /**< length of the store outage to cover */
	double hold_fraction; /**< of its fair amount, in a full budget */
	uint32_t host_count;  /**< minimum; bounds the initial allotments */
	/** The hosts have had time to open their lines. Until then, and until
	 * another host has settled tokens, no demand is assumed beyond the
	 * forecast, since the number of hosts is not known. */
	bool hosts_are_known;
};

/** What the host's line should hold, and when that is worth a write. */
struct team_account_target {
	int64_t allotted_tokens;
	int64_t requested_tokens; /**< requested from the other hosts */
	bool urgent;		  /**< worth a write at once */
	bool deferrable;	  /**< worth a write after the next read */
};

/** One team's budget on this host. "When last read" means the last read of the
 * ledger. */
struct team_account {
	char team[TGW_NAME_SIZE];
	int64_t paid_in_tokens;
	/** Spendable from earlier lines of this process, which other hosts
	 * have folded and so charged in full. */
	int64_t base_tokens;
	int64_t allotted_tokens; /**< confirmed by the store */
	/** Lower allotment that may be in force, since the store has not
	 * responded to the write that sets it; else TEAM_ACCOUNT_RESOLVED. */
	int64_t unresolved_tokens;
	int64_t settled_tokens;
	int64_t reserved_tokens;
	int64_t needed_tokens; /**< of requests refused since the last write */
	int64_t held_tokens;   /**< unspent here, when last read */
	int64_t free_tokens;   /**< in no allotment, when last read */
	/** Upper bound of what all hosts can still spend, when last read. */
	int64_t remaining_tokens;
	struct demand_forecast demand;
	struct team_account *next;
};

struct team_account *team_account_new(const char *team);

/** @return the total that this host may spend, spent tokens included */
int64_t team_account_limit(const struct team_account *account);

/**
 * Reserves tokens for a request.
 *
 * A host that can't reach the store may receive more requests than its
 * allotment can pay for. The last tokens are then kept for the more urgent
 * requests.
 * @param rank of the request's route, 0 for the most urgent
 * @param store_unreachable the allotment can't be raised at present
 * @return whether the reservation was made
 */
bool team_account_reserve(struct team_account *account, int64_t tokens,
			  int32_t rank, bool store_unreachable);

void team_account_settle(struct team_account *account, int64_t reserved_tokens,
			 int64_t spent_tokens, int64_t now_us);

/** @return the minimum that this host's line must be charged: settled tokens
 * and the reservations of unfinished requests */
int64_t team_account_charged(const struct team_account *account);

/** Limits the host to the tokens that it is charged at present. */
void team_account_close(struct team_account *account);

/** Computes the host's next allotment from the ledger as it was last read. */
void team_account_decide(const struct team_account *account,
			 const struct ledger_bucket *bucket, uint64_t line_id,
			 const struct team_account_policy *policy,
			 int64_t now_us, struct team_account_target *target);

/** Updates the account from the host's own ledger line and the other lines. */
void team_account_read(struct team_account *account,
		       const struct ledger_bucket *bucket, uint64_t line_id);

#endif
