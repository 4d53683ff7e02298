/**
 * @file budget_rig.h
 * Hosts that share one team's budget in a fake store, in virtual time. There is
 * one rig in a test program, which starts it anew for each test.
 */
#ifndef FAKES_BUDGET_RIG_H
#define FAKES_BUDGET_RIG_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/team_budget.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "fakes/fake_world.h"

#define BUDGET_RIG_HOSTS 4
/** Failure domains of hosts that send messages. */
#define BUDGET_RIG_DOMAINS 2
#define BUDGET_RIG_TEAM "acme"
#define BUDGET_RIG_PAID_TOKENS INT64_C(1000000)
#define BUDGET_RIG_STEP_US (20 * TGW_US_PER_MS)
#define BUDGET_RIG_OPEN_REQUESTS 16

struct budget_rig_clock {
	struct tgw_clock clock; /**< first member */
	int64_t offset_us;	/**< from the time of the world */
};

/** One host, and the open reservations of its process. */
struct budget_rig_host {
	struct fake_store store;
	struct fake_net_end end;
	struct team_budget *budgets;
	struct budget_rig_clock clock;
	uint32_t boot;
	int64_t open_tokens[BUDGET_RIG_OPEN_REQUESTS];
	size_t open_count;
	bool closed;
	int changes;
	int failures;  /* reports of failed store calls */
	int conflicts; /* reports of writes that lost against another host */
};

struct budget_rig {
	struct fake_world world;
	struct fake_store_server server;
	bool has_peers; /**< hosts send messages */
	struct fake_net net;
	struct peer_host peers[BUDGET_RIG_HOSTS]; /**< as all hosts know them */
	struct budget_rig_host hosts[BUDGET_RIG_HOSTS];
	/** Settled, or reserved by a killed process. */
	int64_t spent_tokens;
	int64_t paid_in_tokens; /**< total, as configured */
};

extern struct budget_rig budget_rig;

/** Starts all hosts with the whole budget unspent. */
void budget_rig_setup(void);

/** As budget_rig_setup(), with hosts that send messages over a network that
 * loses, repeats and reorders some of them, and delivers some late. */
void budget_rig_setup_with_peers(uint64_t seed);

void budget_rig_teardown(void);

void budget_rig_start_host(struct budget_rig_host *host);

/** @param keys of the setting for new ledgers; otherwise 1 */
void budget_rig_start_host_with_keys(struct budget_rig_host *host,
				     uint32_t keys);

/** Ends the process; its open requests count as spent in full. */
void budget_rig_kill_host(struct budget_rig_host *host);

/** Ends the process, and starts the host's clock anew.
 * @param behind_us how far it is behind the earlier one */
void budget_rig_power_off_host(struct budget_rig_host *host, int64_t behind_us);

/** Lets time pass; the hosts tick in each step. */
void budget_rig_advance(int64_t delay_us);

/** Reserves tokens for a request, which stays open if that succeeds. */
enum tgw_status budget_rig_open_request(struct budget_rig_host *host,
					int64_t tokens);

/** Ends the request that was opened last. */
void budget_rig_end_request(struct budget_rig_host *host, int64_t cost_tokens);

/** @return the total that the host may spend */
int64_t budget_rig_limit_of(const struct budget_rig_host *host);

/** @return what all hosts together have spent or reserved */
int64_t budget_rig_charged_tokens(void);

#endif
