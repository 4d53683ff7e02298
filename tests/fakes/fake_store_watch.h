/**
 * @file fake_store_watch.h
 * The watches of the fake store. Private to fake_store.
 */
#ifndef FAKES_FAKE_STORE_WATCH_H
#define FAKES_FAKE_STORE_WATCH_H

#include "fakes/fake_store.h"

/** A host that is held up looks again after this. */
#define FAKE_STORE_PAUSED_RETRY_US (INT64_C(50) * TGW_US_PER_MS)

struct fake_store_watch {
	struct fake_store_watch *next;
	uint64_t handle;
	char *prefix;
	struct tgw_store_watcher watcher;
	bool missed; /* changes since the last list */
};

bool fake_store_has_prefix(const char *text, const char *prefix);

/** @return whether the client does not reach the server */
bool fake_store_is_unreachable(const struct fake_store *client);

struct fake_store_key fake_store_copy_key(const struct fake_store_key *key);
void fake_store_clear_key(struct fake_store_key *key);

/** @param lost changes may have been missed; the key is NULL then */
void fake_store_send_event(struct fake_store *client,
			   const struct fake_store_watch *watch, bool lost,
			   const struct fake_store_key *key);

void fake_store_notify_watchers(struct fake_store_server *server,
				const struct fake_store_key *key);

/** Watches of a prefix go on after it was listed. */
void fake_store_start_watches(struct fake_store *client, const char *prefix,
			      int64_t revision);

uint64_t fake_store_watch(struct tgw_store *store, const char *prefix,
			  struct tgw_store_watcher watcher);
void fake_store_unwatch(struct tgw_store *store, uint64_t handle);

#endif
