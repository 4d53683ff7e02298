/**
 * @file fake_store.h
 * The platform's store in memory, with faults, for tests.
 *
 * One fake_store_server holds the data; each host gets a fake_store of its
 * own, so that each can be cut off by itself.
 */
#ifndef FAKES_FAKE_STORE_H
#define FAKES_FAKE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fakes/fake_world.h"
#include "tamarackgw/store.h"

struct fake_store_key {
	char *name;
	uint8_t *value; /**< NULL when deleted */
	size_t value_size;
	int64_t version;
};

struct fake_store_server {
	struct fake_world *world;
	int64_t revision;
	size_t key_count;
	struct fake_store_key *keys; /**< sorted by name */
	struct fake_store *clients;
	int64_t latency_us;
	bool out;
	uint64_t reads;
	uint64_t writes;
	uint64_t conflicts;
};

struct fake_store_watch;
struct operation;

struct fake_store {
	struct tgw_store store; /**< first member */
	struct fake_store_server *server;
	struct fake_store *next;
	struct fake_store_watch *watches;
	struct operation *operations; /**< under way */
	bool cut;		      /**< this host does not reach the store */
	bool paused;	   /**< answers wait until the host runs again */
	bool watch_broken; /**< changes are silently not told */
	/** The next writes take effect, but answer UNKNOWN. */
	unsigned int lose_answers;
	/** The next writes answer UNKNOWN without having taken effect. */
	unsigned int lose_requests;
	uint64_t next_handle;
	uint64_t generation; /**< grows when the host restarts */
};

void fake_store_server_init(struct fake_store_server *server,
			    struct fake_world *world);
void fake_store_server_clear(struct fake_store_server *server);

/** @return the key, or NULL when it does not exist */
const struct fake_store_key *fake_store_server_find(
	const struct fake_store_server *server, const char *name);

/** Writes without a client, as an operator's tool would; tells watchers. */
int64_t fake_store_server_put(struct fake_store_server *server,
			      const char *name, const void *value,
			      size_t value_size);

void fake_store_init(struct fake_store *store,
		     struct fake_store_server *server);

/** Forgets watches and answers under way, as a killed host does. */
void fake_store_reset(struct fake_store *store);

/** Answers all that is under way with UNAVAILABLE, as a store binding does
 * before its owner is released. */
void fake_store_end_operations(struct fake_store *store);

/** Cuts or joins; joining tells the watchers that changes were lost. */
void fake_store_set_cut(struct fake_store *store, bool cut);

/** Starts or ends an outage for all. */
void fake_store_server_set_out(struct fake_store_server *server, bool out);

#endif
