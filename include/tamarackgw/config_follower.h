/**
 * @file config_follower.h
 * Keeps a host on the newest accepted configuration, which it reads from the
 * store or, while the store is unreachable, gets from other hosts. A host never
 * goes back to an older generation.
 */
#ifndef TAMARACKGW_CONFIG_FOLLOWER_H
#define TAMARACKGW_CONFIG_FOLLOWER_H

#include <stdbool.h>
#include <stdint.h>

#include "tamarackgw/clock.h"
#include "tamarackgw/config_snapshot.h"
#include "tamarackgw/peer.h"
#include "tamarackgw/store.h"

struct tgw_config_follower_env {
	const struct tgw_clock *clock;
	struct tgw_store *store;
	struct tgw_peer *peer;
	uint64_t random_seed;
	/** A new snapshot is in force; the callee takes ownership of it. */
	void (*in_force)(void *arg, struct tgw_config_snapshot *config);
	/** A generation was refused; the last good one stays in force. The
	 * generation is 0 for a value that does not decode and for an offer
	 * that is refused as soon as it arrives from another host. */
	void (*refused)(void *arg, uint64_t generation, const char *why);
	void *arg;
};

struct tgw_config_follower_counters {
	uint64_t generations_applied;
	uint64_t generations_refused;
	uint64_t store_reads;
	uint64_t from_peers;
	uint64_t peer_bytes_sent;
};

struct tgw_config_follower;

struct tgw_config_follower *tgw_config_follower_new(
	const struct tgw_config_follower_env *env,
	const struct tgw_host_view *view);

void tgw_config_follower_free(struct tgw_config_follower *follower);

/** @return the generation in force; 0 when there is none yet */
uint64_t tgw_config_follower_generation(
	const struct tgw_config_follower *follower);

void tgw_config_follower_set_hosts(struct tgw_config_follower *follower,
				   const struct tgw_host_view *view);

void tgw_config_follower_on_message(struct tgw_config_follower *follower,
				    const struct tgw_peer_message *message);

int64_t tgw_config_follower_tick(struct tgw_config_follower *follower);

const struct tgw_config_follower_counters *tgw_config_follower_counters(
	const struct tgw_config_follower *follower);

#endif
