/**
 * @file config_fleet.h
 * Hosts that follow membership and configuration over the fakes, and an
 * operator who publishes configurations, for tests and measurements.
 */
#ifndef FAKES_CONFIG_FLEET_H
#define FAKES_CONFIG_FLEET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "state/config_commit.h"
#include "tamarackgw/config_follower.h"
#include "tamarackgw/membership.h"

#define CONFIG_FLEET_HOSTS_MAX 400
#define CONFIG_FLEET_GENERATIONS_MAX 4096

struct config_fleet;

struct fleet_host {
	struct config_fleet *fleet;
	struct fake_net_end end;
	struct fake_store store;
	char domain[TGW_NAME_SIZE];
	uint64_t incarnation;
	uint64_t start_count; /**< timers of earlier starts are ignored */
	bool up;
	bool paused;
	struct tgw_membership *membership;
	/** NULL when the fleet does not follow configuration. */
	struct tgw_config_follower *follower;
	struct tgw_config_snapshot *config;
	/** Last generation put in force since the host's start; 0: none. */
	uint64_t last_generation;
	uint64_t refused; /**< configurations that the host refused */
	char refusal[TGW_ERROR_MESSAGE_SIZE]; /**< reason of the last one */
	int64_t started_us;
	int64_t first_config_us; /**< -1 until a configuration is in force */
};

struct config_fleet {
	struct fake_world world;
	struct fake_net net;
	struct fake_store_server store;
	bool follows_config;
	int64_t list_interval_us; /**< between reads of the list of hosts */
	struct tgw_membership_env membership_env;
	size_t host_count;
	struct fleet_host *hosts[CONFIG_FLEET_HOSTS_MAX];
	/* The platform's list of hosts. */
	size_t listed_count;
	struct tgw_listed_host listed[CONFIG_FLEET_HOSTS_MAX];
	/* The operator's side. */
	struct config_set objects;
	struct config_manifest manifest;
	/** How often a host put a generation in force that was not newer than
	 * its previous one. */
	uint64_t reverted;
	uint64_t operator_calls; /**< store calls of the operators' tool */
	uint64_t manifest_bytes; /**< total size of all published manifests */
	/** When each generation was published. */
	int64_t accepted_us[CONFIG_FLEET_GENERATIONS_MAX];
	/** Called when a host puts a generation in force; may be NULL. */
	void (*in_force)(void *arg, struct fleet_host *host,
			 uint64_t generation);
	void *arg;
};

void config_fleet_init(struct config_fleet *fleet, uint64_t seed,
		       bool follows_config);
void config_fleet_clear(struct config_fleet *fleet);

/** Adds a host to the fleet and to the list of hosts, and starts it. */
struct fleet_host *config_fleet_add(struct config_fleet *fleet,
				    const char *name, const char *domain);

struct fleet_host *config_fleet_find(struct config_fleet *fleet,
				     const char *name);

void fleet_host_start(struct fleet_host *host);
void fleet_host_kill(struct fleet_host *host);
void fleet_host_set_paused(struct fleet_host *host, bool paused);

/** @return the state in which one host sees another; GONE when the other is not
 * in its view */
enum tgw_host_state fleet_host_sees(const struct fleet_host *host,
				    const char *name);

/** Adds a host to the list of hosts, updates its entry, or removes it. */
void config_fleet_set_listed(struct config_fleet *fleet, const char *name,
			     bool listed, bool leaving);

/** Passes the list to all hosts now, without waiting for the interval. */
void config_fleet_send_list(struct config_fleet *fleet);

/** Publishes changes as an operator does, and clears the list of changes. */
void config_fleet_publish(struct config_fleet *fleet,
			  struct config_change_list *list);

/** Publishes a team, of template "staff", with a budget. */
void config_fleet_publish_team(struct config_fleet *fleet, const char *team,
			       const char *budget);

/** Publishes the template "staff" with many teams. */
void config_fleet_publish_teams(struct config_fleet *fleet, size_t count);

/** @return the number of hosts that are up and have the newest generation in
 * force */
size_t config_fleet_count_current(const struct config_fleet *fleet);

#endif
