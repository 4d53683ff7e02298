/**
 * @file team_budget_key.h
 * Reads and writes one ledger key for a host, and defines struct team_budget.
 * Private to team_budget.
 */
#ifndef COORDINATION_TEAM_BUDGET_KEY_H
#define COORDINATION_TEAM_BUDGET_KEY_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/team_budget.h"
#include "state/ledger_bucket.h"
#include "tamarackgw/random.h"

/* Minimum time between two checks whether an allotment needs a write. */
#define TEAM_BUDGET_CHECK_INTERVAL_US (200 * TGW_US_PER_MS)
/* Value of `unresolved_version` while the outcome of every write is known; no
 * key of the store has this version. */
#define TEAM_BUDGET_NO_VERSION INT64_C(-1)

enum team_budget_key_state {
	TEAM_BUDGET_KEY_IDLE,
	TEAM_BUDGET_KEY_READING,
	TEAM_BUDGET_KEY_WRITING
};

/** One ledger key, and the accounts of the teams that hash to it. */
struct team_budget_key {
	struct team_budget *budgets;
	char name[LEDGER_KEY_SIZE]; /* of the key in the store */
	enum team_budget_key_state state;
	uint64_t line_id;
	bool line_confirmed;
	bool store_answers;
	bool closed;	     /* no line of this process is left in it */
	bool read_requested; /* by a request that waits for tokens */
	/* `ledger` came with the conflict response of the last write; the next
	 * write starts from it, without a read. */
	bool must_retry_write;
	/* A backoff passed since that response: `ledger` may be stale. */
	bool may_be_stale;
	int64_t version; /* of `ledger` */
	/* Version expected by a write whose outcome is unknown. */
	int64_t unresolved_version;
	int64_t read_us; /* when `ledger` was last read or written; 0 before */
	int64_t write_started_us;
	size_t written_bytes; /* of the last write's value */
	int64_t due_us;
	int64_t backoff_us;	     /* after failed store calls */
	uint32_t conflicts;	     /* consecutive */
	struct ledger_bucket ledger; /* as last read or written */
	struct ledger_bucket draft;  /* the value being written */
	struct team_account *accounts;
};

struct team_budget {
	struct team_budget_settings settings;
	struct tgw_store *store;
	const struct tgw_clock *clock;
	struct team_budget_events events;
	struct tgw_random random;
	struct team_budget_counters counters;
	uint64_t incarnation;
	int64_t started_us;
	bool store_unreachable;
	bool closing;
	bool closed_notified;
	struct team_budget_key *keys;
};

int64_t team_budget_now_us(const struct team_budget *budgets);

/** @return a new random line id, never 0 */
uint64_t team_budget_new_line_id(struct team_budget *budgets);

/** @return `per_host_us` times the number of lines in the key, at least 1 */
int64_t team_budget_key_interval_us(const struct team_budget_key *key,
				    int64_t per_host_us);

/** @return whether the key has to be read or written now */
bool team_budget_key_is_due(struct team_budget_key *key, int64_t now);

/** Reads the key, then writes it if the host's allotments should change. After
 * a conflict it skips the read and starts from the value that the conflict
 * response returned. */
void team_budget_key_advance(struct team_budget_key *key);

#endif
