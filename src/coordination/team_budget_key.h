/**
 * @file team_budget_key.h
 * Reads and writes one key of the budgets for a host, and defines struct
 * team_budget. Private to team_budget.
 */
#ifndef COORDINATION_TEAM_BUDGET_KEY_H
#define COORDINATION_TEAM_BUDGET_KEY_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "coordination/budget_relay.h"
#include "coordination/cap_writer.h"
#include "coordination/store_belief.h"
#include "coordination/team_budget.h"
#include "state/budget_pool.h"
#include "tamarackgw/random.h"

/* Minimum time between two checks whether an allotment needs a write. */
#define TEAM_BUDGET_CHECK_INTERVAL_US (200 * TGW_US_PER_MS)
/* Minimum time between two reads of a key for waiting requests. */
#define TEAM_BUDGET_READ_INTERVAL_US (100 * TGW_US_PER_MS)

enum team_budget_key_state {
	TEAM_BUDGET_KEY_IDLE,
	TEAM_BUDGET_KEY_READING,
	TEAM_BUDGET_KEY_WRITING
};

/** One key of the store, and the accounts of the teams that hash to it. */
struct team_budget_key {
	struct team_budget *budgets;
	char name[LEDGER_KEY_SIZE]; /* of the key in the store */
	enum team_budget_key_state state;
	uint64_t sequence; /* of the last proposed write */
	/* A write was sent whose outcome is unknown. It is sent again unchanged
	 * until the key's version shows the outcome. */
	bool outcome_unknown;
	bool joined; /* this process was in the pool when it was last read */
	bool store_answers;
	bool scheduled;	     /* a first read is due, or was made */
	bool closed;	     /* this process has left the pool */
	bool read_requested; /* by a request that waits for tokens */
	bool write_lost;     /* against another host's; to be retried */
	int64_t version;     /* of `pool` */
	int64_t read_us; /* when `pool` was last read or written; 0 before */
	int64_t read_started_us;
	int64_t write_started_us;
	int64_t returned_tokens; /* of the previous process, by the draft */
	int64_t due_us;
	int64_t backoff_us;	   /* after failed store calls */
	uint32_t conflicts;	   /* consecutive */
	struct budget_pool pool;   /* as last read or written */
	struct budget_pool draft;  /* the value of the open write */
	struct buffer draft_bytes; /* encoded */
	int64_t draft_version;	   /* that the open write expects */
	struct team_account *accounts;
};

struct team_budget {
	struct team_budget_settings settings;
	uint64_t host_id; /* of this process in the pools */
	/** In use. Known once the first key was read or written; until then no
	 * other key is used. */
	uint32_t key_count;
	bool key_count_known;
	struct tgw_store *store;
	const struct tgw_clock *clock;
	struct team_budget_events events;
	struct tgw_random random;
	struct team_budget_counters counters;
	int64_t started_us;
	struct store_belief store_belief;
	int64_t history;	 /* latest known of the store; -1: none */
	int64_t raises_after_us; /* no allotment is raised before */
	bool closing;
	bool closed_notified;
	struct cap_writer cap_writer;
	int64_t caps_written_us; /* when the last record was made; 0 before */
	int64_t caps_demanded_tokens; /* of all accounts, at that time */
	bool caps_requested;	      /* requests wait for a higher cap */
	/* The host's previous process left spending caps on this boot: this one
	 * joins the pools to return what that one can't have spent. */
	bool recovers;
	bool probing; /* a call that finds out whether the store answers */
	int64_t probed_us;
	struct budget_relay relay;
	struct team_budget_key *keys;
};

/** Computes what the account's next allotment should be. */
void team_budget_key_decide(const struct team_budget_key *key,
			    const struct team_account *account,
			    struct team_account_target *target);

/** @return the key that holds the team's budget */
struct team_budget_key *team_budget_key_of(const struct team_budget *budgets,
					   const char *team);

/** @return the team's account, or NULL */
struct team_account *team_budget_find_account(const struct team_budget *budgets,
					      const char *team);

/** Requests wait for tokens: the next read of the key is due soon. */
void team_budget_key_request_read(struct team_budget_key *key);

/** The next tick is due now. */
void team_budget_wake(struct team_budget *budgets);

/** @return whether this host takes its allotments from the pools by itself */
bool team_budget_uses_store(const struct team_budget *budgets);

/** Lets waiting requests of all teams try again. */
void team_budget_notify_changed(struct team_budget *budgets);

/** A call of this host ended. */
void team_budget_note_store_call(struct team_budget *budgets,
				 const struct store_belief_evidence *evidence);

int64_t team_budget_now_us(const struct team_budget *budgets);

/** @return `per_host_us` times the number of hosts in the pool, at least 1 */
int64_t team_budget_key_interval_us(const struct team_budget_key *key,
				    int64_t per_host_us);

/** Spreads the teams over this number of keys, as the first key says, and
 * starts to use the others.
 * @return false if it exceeds the setting */
bool team_budget_set_key_count(struct team_budget *budgets, uint32_t count);

/** Sets when the key is checked next. */
void team_budget_key_set_due(struct team_budget_key *key, int64_t due_us);

/** Ends the backoff after a failed call. */
void team_budget_key_retry(struct team_budget_key *key);

/** @return whether the key has to be read or written now */
bool team_budget_key_is_due(struct team_budget_key *key, int64_t now);

/** Reads the key, then writes it if the host's allotments should change. */
void team_budget_key_advance(struct team_budget_key *key);

#endif
