/**
 * @file config_follower_private.h
 * State of a configuration follower, shared by the files that implement it.
 */
#ifndef COORDINATION_CONFIG_FOLLOWER_PRIVATE_H
#define COORDINATION_CONFIG_FOLLOWER_PRIVATE_H

#include "coordination/config_fetch.h"
#include "coordination/config_offers.h"
#include "coordination/config_peers.h"
#include "state/config_message.h"
#include "state/config_state.h"
#include "tamarackgw/config_follower.h"
#include "tamarackgw/random.h"

/** Minimum time between two queries to other hosts. */
#define CONFIG_QUERY_INTERVAL_US TGW_US_PER_S

/* A store call in flight, which may outlive the follower. */
struct store_call {
	struct tgw_config_follower *follower; /* NULL: it was freed */
	struct store_call *next;
	int32_t shard;			     /* -1: the manifest */
	uint8_t digest[CONFIG_DIGEST_BYTES]; /* of the requested shard */
};

struct tgw_config_follower {
	struct tgw_config_follower_env env;
	struct tgw_random random;
	struct tgw_config_follower_counters counters;
	struct tgw_host_view *view;
	struct config_state state;
	struct config_fetch fetch;
	struct config_offers offers;
	struct store_call *calls; /* in flight */
	size_t store_shards_in_flight;
	bool manifest_in_flight;
	bool store_failed; /* the last store call failed */
	uint64_t watch;
	uint64_t refused_generation;
	int64_t started_us;
	int64_t next_read_us;
	int64_t next_query_us;
	int64_t query_interval_us;
	int64_t fetch_started_us;
	/* Start of the current wait for a newer generation that another host
	 * has in force; 0: no host is known to have one. */
	int64_t newer_since_us;
	int64_t offers_until_us; /* later offers are ignored */
};

int64_t config_follower_now_us(const struct tgw_config_follower *follower);

/** Reports a generation that cannot be applied. The same generation is not
 * reported twice in a row.
 * @param generation 0 when it is unknown; always reported */
void config_follower_refuse(struct tgw_config_follower *follower,
			    uint64_t generation, const struct tgw_error *error);

/** Called when a generation has come into force; passes its snapshot to the
 * in_force() callback. */
void config_follower_on_applied(struct tgw_config_follower *follower,
				struct tgw_config_snapshot *snapshot);

void config_follower_send(struct tgw_config_follower *follower, const char *to,
			  const struct config_message *message);

/** Registers a store call.
 * @param shard -1 for the manifest */
struct store_call *config_follower_new_call(
	struct tgw_config_follower *follower, int32_t shard);

void config_follower_end_call(struct store_call *call);

/** Requests missing shards; once none is missing, applies the manifest. */
void config_follower_load(struct tgw_config_follower *follower);

/** Handles a shard that another host sent. */
void config_follower_on_shard(struct tgw_config_follower *follower,
			      const struct config_message *message);

#endif
