/**
 * @file budget_fleet.h
 * Budget agents of several hosts over the fakes, and what truly happened.
 *
 * The fleet plays membership, callers and engines: it tells each host how it
 * sees the others, runs each granted request for a time, and settles it. It
 * keeps the true cost of each request, against which ledgers are checked.
 */
#ifndef FAKES_BUDGET_FLEET_H
#define FAKES_BUDGET_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "fakes/fake_world.h"
#include "state/ledger_bucket.h"
#include "tamarackgw/budget.h"

#define BUDGET_FLEET_HOSTS_MAX 64

struct budget_fleet;

struct fleet_host {
	struct budget_fleet *fleet;
	size_t index;
	char name[TGW_NAME_SIZE];
	char domain[TGW_NAME_SIZE];
	uint64_t incarnation;
	bool is_up;
	bool is_paused;
	bool is_leaving;
	int64_t died_us;
	struct tgw_budget_agent *agent;
	struct fake_net_end end;
	struct fake_store store;
	int64_t tick_us; /**< of the next tick; others are outdated */
	/* How this host sees the others. */
	int64_t last_received_us[BUDGET_FLEET_HOSTS_MAX];
	uint64_t heard_incarnation[BUDGET_FLEET_HOSTS_MAX];
	struct tgw_host_view view;
	struct tgw_host seen[BUDGET_FLEET_HOSTS_MAX];
	/* Counters of agents that are no more. */
	struct tgw_budget_counters past;
};

enum fleet_request_state {
	FLEET_ASKED,
	FLEET_REFUSED,
	FLEET_RUNNING,
	FLEET_SETTLED,
	FLEET_REPLAYED,	 /**< answered by what was settled before */
	FLEET_ABANDONED, /**< its entry host died */
};

/** One attempt of a caller. */
struct fleet_request {
	struct fleet_host *host;
	uint64_t incarnation;
	char budget[TGW_NAME_SIZE];
	struct tgw_request_key key;
	uint64_t number; /**< the same for each retry */
	int64_t bound_tokens;
	int64_t cost_tokens;
	int64_t run_us; /**< 0: settled by the test */
	enum fleet_request_state state;
	enum tgw_status status; /**< of the answer */
	bool shares;		/**< an earlier attempt's reservation */
	bool is_cut_off;	/**< it settles as a part */
	int64_t asked_us;
	int64_t answered_us;
	/** Runs after the answer and after the settlement; may be NULL. */
	void (*changed)(void *arg, struct fleet_request *request);
	void *arg;
};

struct budget_fleet {
	struct fake_world world;
	struct fake_net net;
	struct fake_store_server server;
	struct tgw_budget_settings settings;
	size_t host_count;
	struct fleet_host *hosts[BUDGET_FLEET_HOSTS_MAX];
	uint64_t next_incarnation;
	int64_t silent_after_us;
	int64_t gone_after_us;
	size_t request_count;
	struct fleet_request **requests;
	/** Else requests are freed once they ended; no host may be killed. */
	bool keeps_requests;
};

void budget_fleet_init(struct budget_fleet *fleet, uint64_t seed,
		       uint32_t bucket_count);
void budget_fleet_clear(struct budget_fleet *fleet);

struct fleet_host *budget_fleet_add(struct budget_fleet *fleet,
				    const char *name, const char *domain);
/** Starts the agents; all hosts see each other. */
void budget_fleet_start(struct budget_fleet *fleet);

struct fleet_host *budget_fleet_find(struct budget_fleet *fleet,
				     const char *name);

void budget_fleet_kill(struct fleet_host *host);
void budget_fleet_restart(struct fleet_host *host);
void budget_fleet_pause(struct fleet_host *host, bool paused);
void budget_fleet_drain(struct fleet_host *host);
/** Hosts of different groups don't reach each other. */
void budget_fleet_set_group(struct budget_fleet *fleet, const char *domain,
			    size_t group);
void budget_fleet_cut_store(struct budget_fleet *fleet, const char *domain,
			    bool cut);

/** Pays in, as the operators' tool does. */
void budget_fleet_top_up(struct budget_fleet *fleet, const char *budget,
			 const char *id, int64_t tokens);

/** Starts an attempt; the fleet owns it. */
struct fleet_request *budget_fleet_request(struct fleet_host *host,
					   const char *budget, uint64_t number,
					   int64_t bound_tokens,
					   int64_t cost_tokens, int64_t run_us);
void budget_fleet_settle(struct fleet_request *request, int64_t tokens,
			 enum tgw_settle_basis basis);

/** What the ledger says of one budget. */
struct fleet_balance {
	int64_t paid_in_tokens;
	int64_t free_tokens;
	int64_t allotted_tokens; /**< by open lines */
	int64_t settled_tokens;	 /**< of those */
	int64_t charged_tokens;	 /**< by closed and folded lines */
	size_t open_lines;
	size_t closed_lines;
};

/** Reads a budget; checks the rule of its bucket.
 * @return false when the rule is broken */
bool budget_fleet_balance(struct budget_fleet *fleet, const char *budget,
			  struct fleet_balance *balance);

/** What the budget's requests cost, each counted once: settled ones their
 * cost, running and abandoned ones their bound. */
int64_t budget_fleet_true_cost(const struct budget_fleet *fleet,
			       const char *budget);

/** Counters of all hosts, past agents included. */
struct tgw_budget_counters budget_fleet_counters(
	const struct budget_fleet *fleet);

#endif
