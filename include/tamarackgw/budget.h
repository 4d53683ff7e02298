/**
 * @file budget.h
 * Prepaid budgets: reserve before a request runs, settle what it cost.
 *
 * The agent lives on one thread. It talks to the store and to the other
 * hosts through the given interfaces and reads time from the given clock.
 */
#ifndef TAMARACKGW_BUDGET_H
#define TAMARACKGW_BUDGET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/clock.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"
#include "tamarackgw/status.h"
#include "tamarackgw/store.h"

#define TGW_REQUEST_KEY_BYTES 16

/** Identity of a caller's request, the same for each retry of it. */
struct tgw_request_key {
	uint8_t bytes[TGW_REQUEST_KEY_BYTES];
};

/** How the settled amount was learnt. */
enum tgw_settle_basis {
	TGW_SETTLE_USAGE,   /**< the engine reported its usage */
	TGW_SETTLE_BOUND,   /**< the usage can't be learnt: the upper bound */
	TGW_SETTLE_NOT_RUN, /**< no byte was sent: nothing is charged */
	/** The usage of a run that was cut off. A retry may run again and is
	 * then charged what the larger of its runs used. */
	TGW_SETTLE_PART,
};

/** Settings of the agent. */
struct tgw_budget_settings {
	uint32_t bucket_count;	    /**< ledger keys; fixed for a fleet */
	int64_t flush_interval_us;  /**< shortest time between ledger writes */
	int64_t reserve_timeout_us; /**< wait for a holder's answer */
	int64_t ride_out_us;	    /**< demand held against an outage */
	int64_t death_loss_us;	    /**< demand a host's death may strand */
	/** As death_loss_us while the store is out: what a holder may spend
	 * when its witness is lost, too. */
	int64_t outage_loss_us;
	int64_t duplicate_memory_us; /**< how long settled keys are kept */
};

/** What a budget agent is built from; all must outlive it. */
struct tgw_budget_env {
	const struct tgw_clock *clock;
	struct tgw_store *store;
	struct tgw_peer *peer;
	uint64_t random_seed;
	struct tgw_budget_settings settings;
};

/** A wish to spend at most bound_tokens. */
struct tgw_budget_request {
	const char *budget;
	struct tgw_request_key key;
	int64_t bound_tokens;
};

/** Answer to a wish. Valid only during the callback. */
struct tgw_budget_answer {
	enum tgw_status status; /**< OK, EXHAUSTED, NOT_FOUND, UNAVAILABLE */
	/** The same key holds or held a reservation in this domain: an
	 * earlier run may be known to servers. */
	bool already_reserved;
	/** The same key was settled; a replay must not run again for pay. */
	bool already_settled;
	int64_t settled_tokens;
	int64_t retry_after_us; /**< when a retry may help; 0 never */
	const char *message;
};

struct tgw_budget_callback {
	void (*done)(void *arg, const struct tgw_budget_answer *answer);
	void *arg;
};

/** Counters, all cumulative unless named otherwise. */
struct tgw_budget_counters {
	uint64_t reserved;
	uint64_t refused_exhausted;
	uint64_t refused_unavailable;
	uint64_t settled_usage;
	uint64_t settled_bound;
	uint64_t duplicate_keys;
	uint64_t reversed_duplicates;
	uint64_t ledger_reads;
	uint64_t ledger_writes;
	uint64_t ledger_conflicts;
	uint64_t ledger_read_backs;
	uint64_t write_offs;
	uint64_t peer_messages_sent;
	uint64_t peer_bytes_sent;
	int64_t held_tokens;	 /**< now: allotted and not yet spent */
	int64_t reserved_tokens; /**< now: in open reservations */
};

struct tgw_budget_agent;

struct tgw_budget_settings tgw_budget_settings_default(void);

struct tgw_budget_agent *tgw_budget_agent_new(const struct tgw_budget_env *env,
					      const struct tgw_host_view *view);

void tgw_budget_agent_free(struct tgw_budget_agent *agent);

/** Reserves; the callback runs later, exactly once. */
void tgw_budget_reserve(struct tgw_budget_agent *agent,
			const struct tgw_budget_request *request,
			struct tgw_budget_callback callback);

/** Settles a reservation of this host; safe to call twice for a key. */
void tgw_budget_settle(struct tgw_budget_agent *agent, const char *budget,
		       const struct tgw_request_key *key, int64_t spent_tokens,
		       enum tgw_settle_basis basis);

/** Takes over a new view of the hosts. */
void tgw_budget_set_hosts(struct tgw_budget_agent *agent,
			  const struct tgw_host_view *view);

/** Handles a message of topic TGW_PEER_BUDGET. */
void tgw_budget_on_message(struct tgw_budget_agent *agent,
			   const struct tgw_peer_message *message);

/** Does what is due. @return the time of the next call that is needed */
int64_t tgw_budget_tick(struct tgw_budget_agent *agent);

/**
 * Starts a planned stop: nothing new is taken on, and all is settled and
 * given back. Drained when tgw_budget_is_drained() says so.
 */
void tgw_budget_drain(struct tgw_budget_agent *agent);

bool tgw_budget_is_drained(const struct tgw_budget_agent *agent);

const struct tgw_budget_counters *tgw_budget_agent_counters(
	const struct tgw_budget_agent *agent);

/**
 * Derives the key of a request: of the caller's own key where there is one,
 * else unique.
 */
void tgw_request_key_derive(struct tgw_request_key *key, const char *team,
			    const char *caller_key, size_t caller_key_size);

#endif
