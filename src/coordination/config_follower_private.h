/**
 * @file config_follower_private.h
 * State of a follower, shared by the files that implement it.
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

/** Shortest time between two questions to other hosts. */
#define CONFIG_ASK_INTERVAL_US TGW_US_PER_S

/* A call to the store, which may end after the follower. */
struct store_call {
	struct tgw_config_follower *follower; /* NULL: the follower is gone */
	struct store_call *next;
	int32_t shard;			     /* -1: the manifest */
	uint8_t digest[CONFIG_DIGEST_BYTES]; /* wanted of a shard */
};

struct tgw_config_follower {
	struct tgw_config_follower_env env;
	struct tgw_random random;
	struct tgw_config_follower_counters counters;
	struct tgw_host_view *view;
	struct config_state state;
	struct config_fetch fetch;
	struct config_offers offers;
	struct store_call *calls;
	size_t store_shards_under_way;
	bool manifest_under_way;
	bool store_failed;
	uint64_t watch;
	uint64_t refused_generation;
	int64_t started_us;
	int64_t next_read_us;
	int64_t next_ask_us;
	int64_t ask_interval_us;
	int64_t fetch_started_us;
	int64_t newer_since_us; /* 0: no host is known to be newer */
	int64_t offers_until_us;
};

int64_t config_follower_now_us(const struct tgw_config_follower *follower);

/** Reports a generation that can't be applied, once. */
void config_follower_refuse(struct tgw_config_follower *follower,
			    uint64_t generation, const struct tgw_error *error);

/** Hands over a snapshot that is in force from now on. */
void config_follower_announce(struct tgw_config_follower *follower,
			      struct tgw_config_snapshot *snapshot);

void config_follower_send(struct tgw_config_follower *follower, const char *to,
			  const struct config_message *message);

/** Registers a call to the store. @param shard -1 for the manifest */
struct store_call *config_follower_new_call(
	struct tgw_config_follower *follower, int32_t shard);

void config_follower_end_call(struct store_call *call);

/** Asks for shards that are missing; with all here, applies them. */
void config_follower_load(struct tgw_config_follower *follower);

/** Another host sent a shard. */
void config_follower_on_shard(struct tgw_config_follower *follower,
			      const struct config_message *message);

#endif
