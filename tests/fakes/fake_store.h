/**
 * @file fake_store.h
 * The platform's store in memory, with injected faults, for tests.
 *
 * One fake_store_server holds the data. Each host has a fake_store of its own
 * as its client, so that a test can partition each host from the store
 * separately.
 */
#ifndef FAKES_FAKE_STORE_H
#define FAKES_FAKE_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "fakes/fake_world.h"
#include "tamarackgw/store.h"

/** A call of a watch takes this long when nothing changes, unless the watcher
 * says how long. */
#define FAKE_STORE_WATCH_CALL_US (INT64_C(500) * TGW_US_PER_MS)

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
	/** What it held when fake_store_server_copy() was called. */
	int64_t copied_revision;
	size_t copied_count;
	struct fake_store_key *copied;
	int64_t latency_us;
	bool outage; /**< no client reaches the server */
	uint64_t reads;
	uint64_t writes;
	uint64_t conflicts;
	uint64_t watch_calls; /**< of watches that ask for confirmations */
};

struct fake_store_watch;
struct operation;

struct fake_store {
	struct tgw_store store; /**< first member */
	struct fake_store_server *server;
	struct fake_store *next;
	struct fake_store_watch *watches;
	struct operation *operations; /**< in flight */
	/** Delays values by their size, in each direction; 0: no limit. */
	int64_t link_bytes_per_s;
	bool partitioned; /**< this host does not reach the store */
	/** Responses and watch events are held back while this is set. */
	bool paused;
	/** Watchers are not notified of changes, nor that they miss them. */
	bool watch_broken;
	bool refuses_lists;
	/** Number of following writes that take effect but whose response is
	 * lost: the client receives UNKNOWN. */
	unsigned int lose_answers;
	/** Number of following writes that do not take effect because the
	 * request is lost: the client receives UNKNOWN. */
	unsigned int lose_requests;
	uint64_t next_handle;
	/** Responses to operations of an earlier generation are dropped. */
	uint64_t generation;
};

void fake_store_server_init(struct fake_store_server *server,
			    struct fake_world *world);
void fake_store_server_clear(struct fake_store_server *server);

/** @return the key, or NULL when it does not exist */
const struct fake_store_key *fake_store_server_find(
	const struct fake_store_server *server, const char *name);

/** Writes a key without a client, as the operators' tool would, and notifies
 * the watchers. A NULL value deletes the key.
 * @return the key's new version */
int64_t fake_store_server_put(struct fake_store_server *server,
			      const char *name, const void *value,
			      size_t value_size);

/** Keeps a copy of all keys, in place of the last one. */
void fake_store_server_copy(struct fake_store_server *server);

/** Returns to the copy, which starts a new history, and notifies the watchers
 * that changes may have been missed. */
void fake_store_server_return(struct fake_store_server *server);

void fake_store_init(struct fake_store *store,
		     struct fake_store_server *server);

/** Removes the watches and drops the responses in flight, as when the host is
 * killed. */
void fake_store_reset(struct fake_store *store);

/** Answers all operations in flight with UNAVAILABLE, as a store binding does
 * before its owner is freed. */
void fake_store_end_operations(struct fake_store *store);

/** Partitions the host from the store or reconnects it. A partition notifies
 * the watchers that the store is unreachable; a reconnection notifies them that
 * changes may have been missed. */
void fake_store_set_partitioned(struct fake_store *store, bool partitioned);

/** Starts or ends an outage of the store for all clients, with the same
 * notifications as fake_store_set_partitioned(). */
void fake_store_server_set_outage(struct fake_store_server *server,
				  bool outage);

#endif
