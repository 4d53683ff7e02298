/**
 * @file requests_fleet.h
 * Hosts with their claim, quarantine and routing agents on a simulated store,
 * network and clock, driven by scenario steps.
 */
#ifndef SCENARIO_REQUESTS_FLEET_H
#define SCENARIO_REQUESTS_FLEET_H

#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "fakes/fake_world.h"
#include "scenario/scenario.h"
#include "tamarackgw/claim.h"
#include "tamarackgw/quarantine.h"
#include "tamarackgw/router.h"

#define FLEET_HOSTS_MAX 8
#define FLEET_CALLS_MAX 64
#define FLEET_TICKETS_MAX 32
#define FLEET_SERVERS_MAX 8

struct fleet;

struct fleet_host {
	struct fleet *fleet;
	char name[TGW_NAME_SIZE];
	struct tgw_host seen[FLEET_HOSTS_MAX]; /**< as this host sees them */
	struct tgw_host_view view;
	struct fake_store store;
	struct fake_net_end end;
	struct tgw_claim_agent *claims;
	struct tgw_quarantine *quarantine;
	struct tgw_router *router;
	uint64_t incarnation;
	bool up;
	bool paused;
};

/** A call that must run at most once, and how often it did run. */
struct fleet_call {
	char key[TGW_NAME_SIZE];
	int runs;
	int reported_not_run; /**< refusals that report it as not run */
};

struct fleet_ticket {
	char name[TGW_NAME_SIZE];
	char text[TGW_CLAIM_TICKET_SIZE];
};

/** An attempt that was submitted to a host's router. */
struct fleet_attempt {
	char name[TGW_NAME_SIZE];
	struct fleet_host *host;
	uint64_t id;
	uint64_t ticket; /**< 0 while it has no server */
	char server[TGW_NAME_SIZE];
};

struct fleet {
	struct fake_world world;
	struct fake_store_server store;
	struct fake_net net;
	size_t host_count;
	struct fleet_host hosts[FLEET_HOSTS_MAX];
	size_t call_count;
	struct fleet_call calls[FLEET_CALLS_MAX];
	size_t ticket_count;
	struct fleet_ticket tickets[FLEET_TICKETS_MAX];
	struct tgw_server servers[FLEET_SERVERS_MAX];
	struct tgw_config_snapshot config;
	size_t attempt_count;
	struct fleet_attempt attempts[FLEET_CALLS_MAX];
	uint64_t next_incarnation;
};

struct fleet_host *fleet_host_find(struct fleet *fleet,
				   const struct scenario_step *step,
				   size_t word);

/** Passes the host's changed view to its agents. */
void fleet_host_set_view(struct fleet_host *host);

/** @return the value of a step's option as a number */
int64_t fleet_option(const struct scenario_step *step, const char *name,
		     const char *fallback);

/** Prints the time since the start, as "[1.250s] ". */
void fleet_print_time(const struct fleet *fleet);

/* Tables of verbs; each ends with an entry whose name is NULL. */
extern const struct scenario_verb fleet_verbs[];
extern const struct scenario_verb fleet_claim_verbs[];
extern const struct scenario_verb fleet_quarantine_verbs[];
extern const struct scenario_verb fleet_routing_verbs[];

#endif
