/**
 * @file budget.h
 * Prepaid budgets: tokens are reserved before a request runs, and what it cost
 * is settled afterwards.
 *
 * An agent runs on one thread. It reaches the store and the other hosts through
 * the given interfaces and reads the time from the given clock.
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

/** Key of a caller's request; all retries of a request have the same key. */
struct tgw_request_key {
	uint8_t bytes[TGW_REQUEST_KEY_BYTES];
};

/** What a settled amount is based on. */
enum tgw_settle_basis {
	TGW_SETTLE_USAGE,   /**< the engine reported the usage */
	TGW_SETTLE_BOUND,   /**< the usage is unknown: charged at the bound */
	TGW_SETTLE_NOT_RUN, /**< no byte was sent: nothing is charged */
	/** The usage of an incomplete run. If a retry runs the request
	 * again, the request is charged the usage of its largest run.
	 * Metrics call this basis "part". */
	TGW_SETTLE_PARTIAL,
};

/** Settings of the agent. An amount of demand is given as a time: it stands for
 * the tokens that the forecast demand needs in that time. */
struct tgw_budget_settings {
	/** Number of ledger keys; the same on all hosts, never changed. */
	uint32_t bucket_count;
	int64_t flush_interval_us;  /**< between regular ledger writes */
	int64_t reserve_timeout_us; /**< maximum wait for a holder's reply */
	/** Demand that a holder keeps tokens for, against a store outage. */
	int64_t ride_out_us;
	/** Demand whose tokens may be lost when a host dies. */
	int64_t death_loss_us;
	/** Replaces death_loss_us while the store is unreachable: the ceiling
	 * covers this much demand ahead of spending, so that a holder that also
	 * loses its witness can go on granting. */
	int64_t outage_loss_us;
	int64_t duplicate_retention_us; /**< how long settled keys are kept */
};

/** What a budget agent uses; everything here must outlive it. */
struct tgw_budget_env {
	const struct tgw_clock *clock;
	struct tgw_store *store;
	struct tgw_peer *peer;
	uint64_t random_seed;
	struct tgw_budget_settings settings;
};

/** A request to reserve bound_tokens, the maximum that may be spent. */
struct tgw_budget_request {
	const char *budget;
	struct tgw_request_key key;
	int64_t bound_tokens;
};

/** Result of a request to reserve. Valid only during the callback. */
struct tgw_budget_answer {
	/** OK, EXHAUSTED, INVALID, NOT_FOUND or UNAVAILABLE. */
	enum tgw_status status;
	/** The same key has or had a reservation in this failure domain:
	 * backend servers may know an earlier run of the request. */
	bool already_reserved;
	/** The same key was settled: the request must not be run and charged
	 * again. */
	bool already_settled;
	int64_t settled_tokens;
	/** Time until a retry may succeed; 0 if no such time is known. */
	int64_t retry_after_us;
	const char *message;
};

struct tgw_budget_callback {
	void (*done)(void *arg, const struct tgw_budget_answer *answer);
	void *arg;
};

/** Counters; cumulative unless said otherwise. */
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
	int64_t held_tokens;	 /**< current: allotted and unused */
	int64_t reserved_tokens; /**< current: in open reservations */
};

struct tgw_budget_agent;

struct tgw_budget_settings tgw_budget_settings_default(void);

struct tgw_budget_agent *tgw_budget_agent_new(const struct tgw_budget_env *env,
					      const struct tgw_host_view *view);

void tgw_budget_agent_free(struct tgw_budget_agent *agent);

/** Reserves tokens. The callback runs exactly once, from a later tick. */
void tgw_budget_reserve(struct tgw_budget_agent *agent,
			const struct tgw_budget_request *request,
			struct tgw_budget_callback callback);

/** Settles a reservation that this host made; safe to call twice for a key.
 * @param budget not used: the reservation is found by its key */
void tgw_budget_settle(struct tgw_budget_agent *agent, const char *budget,
		       const struct tgw_request_key *key, int64_t spent_tokens,
		       enum tgw_settle_basis basis);

/** Replaces the view of the hosts by a copy of this one. */
void tgw_budget_set_hosts(struct tgw_budget_agent *agent,
			  const struct tgw_host_view *view);

/** Handles a message of topic TGW_PEER_BUDGET. */
void tgw_budget_on_message(struct tgw_budget_agent *agent,
			   const struct tgw_peer_message *message);

/** Does all work that is due. @return when the next call is due, us */
int64_t tgw_budget_tick(struct tgw_budget_agent *agent);

/**
 * Starts a planned stop: new requests are refused, open reservations are
 * settled, and unspent tokens are returned to the ledger. It is complete when
 * tgw_budget_is_drained() returns true.
 */
void tgw_budget_drain(struct tgw_budget_agent *agent);

bool tgw_budget_is_drained(const struct tgw_budget_agent *agent);

const struct tgw_budget_counters *tgw_budget_agent_counters(
	const struct tgw_budget_agent *agent);

/**
 * Derives the key of a request from the caller's idempotency key if any;
 * otherwise generates a unique key.
 */
void tgw_request_key_derive(struct tgw_request_key *key, const char *team,
			    const char *idempotency_key,
			    size_t idempotency_key_size);

#endif
