/**
 * @file mirror_rig.h
 * Hosts that follow two prefixes of a fake store, each through the first host,
 * in virtual time. There is one rig in a test program, which is set up anew for
 * each test.
 */
#ifndef FAKES_MIRROR_RIG_H
#define FAKES_MIRROR_RIG_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "coordination/store_mirror.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "fakes/fake_world.h"
#include "tamarackgw/random.h"

#define MIRROR_RIG_HOSTS 6
#define MIRROR_RIG_KEYS 8
#define MIRROR_RIG_PREFIXES 2
#define MIRROR_RIG_STEP_US (10 * TGW_US_PER_MS)
/** A change has to be known within this time. */
#define MIRROR_RIG_APPLY_US (2 * TGW_US_PER_S)
#define MIRROR_RIG_LARGE_SIZE 60000

/** One host and what its owner of the watches was told. */
struct mirror_rig_host {
	struct fake_store store;
	struct fake_net_end end;
	struct store_mirror *mirror;
	uint64_t handles[MIRROR_RIG_PREFIXES];
	bool list_needed[MIRROR_RIG_PREFIXES];
	bool listing[MIRROR_RIG_PREFIXES];
	int values[MIRROR_RIG_PREFIXES]
		  [MIRROR_RIG_KEYS]; /**< number in the value; 0: none */
	int64_t versions[MIRROR_RIG_PREFIXES][MIRROR_RIG_KEYS];
	size_t value_size;
	int64_t tick_us;
	bool hung;
};

struct mirror_rig {
	struct fake_world world;
	struct fake_store_server server;
	struct fake_net net;
	struct tgw_random fill; /**< of the values */
	struct mirror_rig_host hosts[MIRROR_RIG_HOSTS];
	/** Of hosts that are started; 0: they know the relay at once. */
	int64_t discovery_us;
};

extern struct mirror_rig mirror_rig;

/** For checked fixtures. */
void mirror_rig_setup(void);
void mirror_rig_teardown(void);

void mirror_rig_setup_seeded(uint64_t seed);

void mirror_rig_start_host(size_t index);
void mirror_rig_kill_host(size_t index);

/** Writes a key of a prefix.
 * @param number that the value begins with; 0 deletes the key */
void mirror_rig_put(int prefix, int key, int number);
void mirror_rig_put_sized(int prefix, int key, int number, size_t size);

void mirror_rig_play_ms(int64_t duration_ms);

/** Checks that each running host knows the number; 0: that the key does not
 * exist. */
void mirror_rig_check_known(int prefix, int key, int number);

/** @return the hosts that follow the first one */
size_t mirror_rig_count_following(void);

#endif
