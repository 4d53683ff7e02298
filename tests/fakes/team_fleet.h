/**
 * @file team_fleet.h
 * Plays the load of a fleet on its team budgets, in virtual time. There is one
 * fleet in a test program, which is started anew for each test.
 */
#ifndef FAKES_TEAM_FLEET_H
#define FAKES_TEAM_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/team_budget.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "fakes/fake_world.h"
#include "fakes/fleet_keys.h"
#include "tamarackgw/random.h"

#define TEAM_FLEET_MAX_HOSTS 304
#define TEAM_FLEET_MAX_TEAMS 40
#define TEAM_FLEET_NAME_SIZE 16
#define TEAM_FLEET_STEP_US (1 * TGW_US_PER_MS)
/** A request that gets no tokens within this time is refused. */
#define TEAM_FLEET_MAX_WAIT_US (400 * TGW_US_PER_MS)
#define TEAM_FLEET_SERVICE_US (500 * TGW_US_PER_MS)
/** All hosts have noticed the start or the end of an outage by then. */
#define TEAM_FLEET_NOTICE_US (600 * TGW_US_PER_MS)

/** The hosts, their links and their load. */
struct team_fleet_settings {
	size_t host_count;
	/** Failure domains whose hosts move tokens to each other; 0: hosts do
	 * not send messages. */
	size_t domain_count;
	/** Hosts follow keys through their relays, and learn by that of outages
	 * of the store; otherwise the test tells them. */
	bool follows_keys;
	int team_count;
	uint32_t key_count;
	int64_t request_tokens;
	uint64_t requests_per_s; /**< of each team */
	int64_t paid_tokens;	 /**< for each team */
	/** Each request has a random rank below this; 0: all are rank 0. */
	int32_t rank_count;
	/** NULL: links without a limit. */
	int64_t (*link_bytes_per_s)(size_t host);
	/** The team whose index is below this sends all its requests to one
	 * host, with the index of the team plus first_one_team_host. */
	int one_host_team_count;
	size_t first_one_team_host;
	/** Requests per second of a team at a time of the world, and the host
	 * that the next of them is sent to. NULL: always the same rate, and
	 * any host. */
	uint64_t (*rate)(int team, int64_t now_us);
	size_t (*choose_host)(int team, int64_t now_us,
			      struct tgw_random *random);
	/** NULL: as the edge's default settings. */
	const struct team_account_policy *policy;
};

struct team_fleet_request {
	struct team_fleet_request *next;
	struct team_fleet_host *host;
	uint64_t process; /**< of the host, when it arrived */
	int team;
	int32_t rank;
	int64_t arrived_us;
};

/** A clock that starts anew when the host loses power. */
struct team_fleet_clock {
	struct tgw_clock clock; /**< first member */
	int64_t booted_at_us;	/**< of the clock, when the world began */
};

struct team_fleet_host {
	struct team_fleet_clock clock;
	uint32_t boot; /**< number of its boots */
	struct fake_store store;
	struct fake_net_end end;
	struct team_budget *budgets; /**< NULL while no process runs */
	struct fleet_keys keys;
	bool closed; /**< by a planned stop */
	uint64_t process;
	struct team_fleet_request *waiting;
	bool notified;	/**< waiting requests may try again */
	int64_t due_us; /**< of the next tick, by its clock */
};

struct team_fleet_tally {
	int64_t asked;
	int64_t served;
	int64_t urgent_asked; /**< of rank 0 */
	int64_t urgent_served;
	int64_t waited_us;    /**< by those that were not served */
	int64_t spent_tokens; /**< since the start, also after a reset */
};

struct team_fleet {
	struct team_fleet_settings settings;
	struct fake_world world;
	struct fake_store_server server;
	struct fake_net net;
	/** As each host knows them. */
	struct peer_host peers[TEAM_FLEET_MAX_HOSTS];
	struct team_fleet_host hosts[TEAM_FLEET_MAX_HOSTS];
	struct team_fleet_tally tallies[TEAM_FLEET_MAX_TEAMS];
	char team_names[TEAM_FLEET_MAX_TEAMS][TEAM_FLEET_NAME_SIZE];
};

extern struct team_fleet team_fleet;

void team_fleet_start(const struct team_fleet_settings *settings,
		      uint64_t seed);
void team_fleet_stop(void);

void team_fleet_start_host(struct team_fleet_host *host);
void team_fleet_kill_host(struct team_fleet_host *host);

/** Kills all processes and starts them again after a pause; requests that
 * arrive meanwhile are lost. */
void team_fleet_kill_all(int64_t down_us);

/** As team_fleet_kill_all(), and all hosts lose power. */
void team_fleet_power_off_all(int64_t down_us);

/** @return the host that the others of the domain use as their relay */
struct team_fleet_host *team_fleet_relay(size_t domain);

void team_fleet_play(int64_t duration_us, bool has_traffic);

/** Starts to count requests anew. */
void team_fleet_reset_tallies(void);

/** Starts or ends an outage of the store for all hosts, which notice it one
 * after the other. */
void team_fleet_set_outage(bool outage);

/** @return the store calls since the start */
uint64_t team_fleet_store_calls(void);

/** @return the served requests of all teams in percent of those asked */
int64_t team_fleet_served_percent(void);

void team_fleet_check_no_overspending(void);

/** @return tokens of all teams spent above what was paid in */
int64_t team_fleet_overspent_tokens(void);

/** @return tokens of all teams that are neither spent, nor free, nor may be
 * spent by a running process: they were lost with dead ones */
int64_t team_fleet_stranded_tokens(void);

#endif
