/**
 * @file route_set.h
 * One version of the routes, services, teams and limits of a host. It is built
 * once, sealed, and immutable afterwards.
 */
#ifndef STATE_ROUTE_SET_H
#define STATE_ROUTE_SET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/config_remarks.h"
#include "state/region_map.h"
#include "state/warmup.h"
#include "tamarackgw/host_view.h"

/** Whether an attempt on a route may be repeated. */
enum route_kind {
	ROUTE_SAFE,	/**< idempotent: may run more than once */
	ROUTE_UNSAFE,	/**< runs at most once */
	ROUTE_STREAM,	/**< event stream; runs at most once */
	ROUTE_RESUMABLE /**< event stream; may be resumed elsewhere */
};

/** Regions that a route or team keeps its requests within. */
struct route_regions {
	bool limited; /**< false: any region */
	size_t count;
	char (*names)[TGW_NAME_SIZE];
};

/** A service that receives a fraction of a route's traffic: its weight, in
 * proportion to the weights of the route's other targets. */
struct route_target {
	uint32_t service; /**< index in the set */
	double weight;	  /**< finite, greater than 0 */
};

struct route {
	char name[TGW_NAME_SIZE];
	char *host;
	char *path_prefix; /**< begins and ends with a slash */
	enum route_kind kind;
	bool is_public;	  /**< needs no key */
	bool affinity;	  /**< requests share parts of their prompts */
	int32_t priority; /**< 0 is the most urgent */
	uint32_t max_attempts;
	int64_t timeout_ms;
	int64_t target_latency_ms;
	int64_t target_pause_ms; /**< between events of a stream; 0: any */
	struct route_regions regions;
	size_t target_count;
	struct route_target *targets;
};

struct route_service {
	char name[TGW_NAME_SIZE];
	bool is_engine;
	int64_t event_tokens;	    /**< maximum tokens in one event */
	struct warmup_limit warmup; /**< of one server */
};

#define ROUTE_TEAM_NO_BUDGET INT64_C(-1)

struct route_team {
	char name[TGW_NAME_SIZE]; /**< short; see short_name.h */
	/** As servers are told it; NULL if the team has none that a header
	 * field can carry, so that no request of it can be sent. */
	char *whole_name;
	bool has_priority;
	int32_t priority; /**< overrides the route's */
	int64_t paid_in_tokens;
	struct route_regions regions;
};

struct route_key {
	char *key;
	uint32_t team;
};

struct route_limits {
	int64_t head_bytes;
	int64_t body_bytes;
	int64_t head_ms;
	int64_t idle_ms;
};

/** A version that can't be told from a greater one. */
#define ROUTE_SET_VERSION_MAX INT64_MAX

struct route_set {
	int64_t version; /**< at most ROUTE_SET_VERSION_MAX */
	bool needs_keys; /**< teams are in use */
	size_t route_count;
	struct route *routes;
	size_t service_count;
	struct route_service *services;
	size_t team_count;
	struct route_team *teams;
	size_t key_count;
	struct route_key *keys;
	struct route_limits limits;
	struct config_remarks remarks;
};

struct route_set *route_set_new(void);
void route_set_free(struct route_set *set);

/** Each appends an entry and invalidates earlier pointers to entries of the
 * same kind. A new entry is zeroed, except that a team has no budget. */
struct route *route_set_add_route(struct route_set *set);
struct route_service *route_set_add_service(struct route_set *set);
struct route_team *route_set_add_team(struct route_set *set);
void route_set_add_key(struct route_set *set, const char *key, uint32_t team);
void route_regions_add(struct route_regions *regions, const char *name);

/** @return the set of the regions; those that no failure domain lies in are
 * left out */
uint32_t route_regions_set(const struct route_regions *regions,
			   const struct region_map *map);
void route_add_target(struct route *route, uint32_t service, double weight);

/** Sorts the entries for lookups. Nothing may be added afterwards. */
void route_set_seal(struct route_set *set);

/** @return the route of this host with the longest matching prefix, or NULL */
const struct route *route_set_find(const struct route_set *set,
				   const char *host, const char *path);

/** @return the index of the team that holds the key, or -1 */
int route_set_team_of_key(const struct route_set *set, const char *key);

/** @return the index, or -1 */
int route_set_find_team(const struct route_set *set, const char *name);
int route_set_find_service(const struct route_set *set, const char *name);

/** Chooses among a route's targets by weight.
 * @param draw uniformly distributed over all 64 bits
 * @return a service's index, or -1 when the route has no target */
int route_choose_service(const struct route *route, uint64_t draw);

#endif
