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

/** No write of the allotment is without an answer. */
#define TEAM_ACCOUNT_RESOLVED INT64_C(-1)

/** How much a host may hold. */
struct team_account_policy {
	double ride_out_s;   /**< demand to hold against an outage */
	double hold_part;    /**< most of its fair part of a whole budget */
	uint32_t host_count; /**< at least; bounds the first allotments */
	/** Hosts had time to open their lines; until then a host takes no more
	 * than it needs, since it can't know how many there are. */
	bool hosts_are_known;
};

/** What to write into the host's line. */
struct team_account_wish {
	int64_t allotted_tokens;
	int64_t wanted_tokens; /**< asked of the other hosts */
	bool urgent;	       /**< worth a write at once */
	bool lazy;	       /**< worth a write with the next read */
};

struct team_account {
	char team[TGW_NAME_SIZE];
	int64_t paid_in_tokens;
	/** Allotted by lines of this process that others have folded. */
	int64_t base_tokens;
	int64_t allotted_tokens; /**< confirmed by the store */
	/** Lower allotment that a write without an answer may bring. */
	int64_t unresolved_tokens;
	int64_t settled_tokens;
	int64_t reserved_tokens;
	int64_t needed_tokens; /**< refused since the last write */
	int64_t held_tokens;   /**< unspent here when the ledger was read */
	int64_t free_tokens;   /**< in no allotment, when last read */
	/** Upper bound of what all hosts can still spend, when last read. */
	int64_t remaining_tokens;
	struct demand_forecast demand;
	struct team_account *next;
};

struct team_account *team_account_new(const char *team);

/** @return what this host may spend in all */
int64_t team_account_limit(const struct team_account *account);

/**
 * Reserves tokens for a request.
 *
 * Load that it answers: a host that is cut off from the store and gets more
 * requests than its allotment can pay. The last part of it is kept for the
 * more urgent ones.
 * @param rank of the request's route, 0 for the most urgent
 * @param cut_off nothing more can be had from the store now
 * @return whether the reservation was made
 */
bool team_account_reserve(struct team_account *account, int64_t tokens,
			  int32_t rank, bool cut_off);

void team_account_settle(struct team_account *account, int64_t reserved_tokens,
			 int64_t spent_tokens, int64_t now_us);

/** @return what a line of this host must at least be charged: what is
 * settled, and what open requests may still cost */
int64_t team_account_charged(const struct team_account *account);

/** Lets the host spend no more than it is charged now. */
void team_account_close(struct team_account *account);

/** Works out the host's next allotment from the ledger as it was read. */
void team_account_decide(const struct team_account *account,
			 const struct ledger_bucket *bucket, uint64_t line_id,
			 const struct team_account_policy *policy,
			 int64_t now_us, struct team_account_wish *wish);

/** Takes in what the ledger says of the host's own line and of the rest. */
void team_account_read(struct team_account *account,
		       const struct ledger_bucket *bucket, uint64_t line_id);

#endif
