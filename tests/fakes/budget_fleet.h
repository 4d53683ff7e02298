/**
 * @file budget_fleet.h
 * Budget agents of several hosts over the fakes, and the true cost of each
 * request.
 *
 * The fleet simulates membership, callers and engines: it updates each host's
 * view of the others, runs each granted request for a time, and settles it. It
 * records the true cost of each request, against which the ledger is checked.
 * A line is one host's record in a bucket of the ledger.
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
	/** Time of the next tick; tick events at other times are ignored. */
	int64_t tick_us;
	/* How this host sees the others. */
	int64_t last_received_us[BUDGET_FLEET_HOSTS_MAX];
	uint64_t received_incarnation[BUDGET_FLEET_HOSTS_MAX];
	struct tgw_host_view view;
	struct tgw_host seen[BUDGET_FLEET_HOSTS_MAX];
	/* Sum of the counters of this host's earlier agents, which were
	 * killed. */
	struct tgw_budget_counters past_counters;
};

enum fleet_request_state {
	FLEET_PENDING,
	FLEET_REFUSED,
	FLEET_RUNNING,
	FLEET_SETTLED,
	FLEET_REPLAYED,	 /**< an earlier attempt was settled; not run again */
	FLEET_ABANDONED, /**< its entry host died */
};

/** One attempt of a caller. */
struct fleet_request {
	struct fleet_host *host;
	uint64_t incarnation;
	char budget[TGW_NAME_SIZE];
	struct tgw_request_key key;
	uint64_t number; /**< the same for all attempts of a request */
	int64_t bound_tokens;
	int64_t cost_tokens;
	int64_t run_us; /**< 0: the test settles the request */
	enum fleet_request_state state;
	enum tgw_status status;	 /**< of the reservation's answer */
	bool reuses_reservation; /**< of an earlier attempt */
	bool is_partial;	 /**< settles as TGW_SETTLE_PARTIAL */
	int64_t started_us;
	int64_t answered_us;
	/** Called after the answer and after the settlement; may be NULL. */
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
	/** When false, each request is freed once it has ended, and no host
	 * may be killed. */
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
/** Moves the hosts of a failure domain to a group. Hosts of different groups
 * don't reach each other. */
void budget_fleet_set_group(struct budget_fleet *fleet, const char *domain,
			    size_t group);
/** Partitions the hosts of a failure domain from the store, or reconnects
 * them. */
void budget_fleet_partition_store(struct budget_fleet *fleet,
				  const char *domain, bool partitioned);

/** Tops up a budget, as the operators' tool does.
 * @param id of the top-up; each id is applied once */
void budget_fleet_top_up(struct budget_fleet *fleet, const char *budget,
			 const char *id, int64_t tokens);

/** Starts an attempt, which the fleet owns.
 * @param number identifies the request; the same for all of its attempts
 * @param run_us duration of the run; 0: the test settles the request */
struct fleet_request *budget_fleet_request(struct fleet_host *host,
					   const char *budget, uint64_t number,
					   int64_t bound_tokens,
					   int64_t cost_tokens, int64_t run_us);
void budget_fleet_settle(struct fleet_request *request, int64_t tokens,
			 enum tgw_settle_basis basis);

/** The state of one budget in the ledger. */
struct fleet_balance {
	int64_t paid_in_tokens;
	int64_t free_tokens;
	int64_t allotted_tokens; /**< to open lines */
	int64_t settled_tokens;	 /**< of allotted_tokens */
	int64_t charged_tokens;	 /**< to closed and folded lines */
	size_t open_lines;
	size_t closed_lines;
};

/** Reads a budget and checks the invariant of its bucket.
 * @return false when the bucket violates the invariant */
bool budget_fleet_balance(struct budget_fleet *fleet, const char *budget,
			  struct fleet_balance *balance);

/** @return the cost of the budget's requests. Each request counts once,
 * whatever the number of its attempts: a settled one with its cost, one that
 * runs, or was granted before it was abandoned, with its bound. */
int64_t budget_fleet_true_cost(const struct budget_fleet *fleet,
			       const char *budget);

/** @return the sum of the counters of all hosts, including agents that
 * were killed */
struct tgw_budget_counters budget_fleet_counters(
	const struct budget_fleet *fleet);

#endif
