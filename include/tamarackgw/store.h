/**
 * @file store.h
 * Interface to the platform's key-value service: reads, compare-and-swap of a
 * single key, and watches.
 *
 * Every callback runs later, on the thread that drives the agents which use the
 * store, and never from inside the function that started the operation. Each
 * operation calls its callback exactly once.
 */
#ifndef TAMARACKGW_STORE_H
#define TAMARACKGW_STORE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/status.h"

/** Version that a key has while it does not exist. */
#define TGW_STORE_ABSENT INT64_C(0)

/** A store that returns from an earlier copy gives out revisions again, and
 * starts a new history. Versions hold its number above the revision, so that
 * those of a later history are higher. */
#define TGW_STORE_REVISION_BITS 42

static inline int64_t tgw_store_history(int64_t version)
{
	return version >> TGW_STORE_REVISION_BITS;
}

/** Largest value that the store accepts, in bytes. */
#define TGW_STORE_VALUE_MAX_BYTES (1000 * 1000)

/** One key as it was read. Valid only during the callback. */
struct tgw_store_entry {
	const char *key;
	const uint8_t *value; /**< NULL when the key does not exist */
	size_t value_size;
	int64_t version; /**< grows with each write; TGW_STORE_ABSENT if
			  * the key does not exist */
	/** Reported by a watch: the version at which the key was deleted; 0 if
	 * it exists, or the binding does not know that. */
	int64_t deleted_version;
};

/**
 * Result of an operation. Valid only during the callback.
 *
 * get:  OK with one entry (version ABSENT when there is none).
 * list: OK with any number of entries.
 * swap: OK with one entry (value NULL, the new version); CONFLICT with one
 *       entry, the current one; UNAVAILABLE when it certainly had no effect;
 *       UNKNOWN when it may have had one, so the key has to be read back.
 */
struct tgw_store_result {
	enum tgw_status status;
	const struct tgw_store_entry *entries;
	size_t entry_count;
	const char *message; /**< for people; never NULL */
	/** list: all changes up to this revision of the store are in the
	 * entries; 0 if the binding does not know it. */
	int64_t revision;
};

/** Receiver of a result. */
struct tgw_store_callback {
	void (*done)(void *arg, const struct tgw_store_result *result);
	void *arg;
};

/** Receiver of changes under a prefix. */
struct tgw_store_watcher {
	/** A key was written or deleted (version ABSENT). */
	void (*changed)(void *arg, const struct tgw_store_entry *entry);
	/** Changes may have been missed: read the keys again. The watch may
	 * report nothing before its prefix was listed by this store. */
	void (*lost)(void *arg);
	void *arg;
	/** The store does not answer; NULL if this is not of interest. */
	void (*unreachable)(void *arg);
	/** How long the store may hold a call of the watch while nothing
	 * changes, if the binding makes such calls; 0 for its default. */
	int64_t idle_us;
	/** The store has no more changes up to this revision. Not called
	 * between `lost` and the next list of the prefix. NULL if this is not
	 * of interest; called by bindings that know revisions. */
	void (*confirmed)(void *arg, int64_t revision);
	/** Changes after this revision are reported without a list before; 0:
	 * those after the next list of the prefix. */
	int64_t after_revision;
	/** The next call follows at once, so that the watch notices soon when
	 * the store does not answer. */
	bool prompt;
};

struct tgw_store;

/** Operations that a store binding implements. */
struct tgw_store_ops {
	void (*get)(struct tgw_store *store, const char *key,
		    struct tgw_store_callback callback);
	void (*list)(struct tgw_store *store, const char *prefix,
		     struct tgw_store_callback callback);
	/**
	 * Writes the value if the key still has the expected version.
	 * @param value NULL deletes the key; copied before the call returns
	 */
	void (*swap)(struct tgw_store *store, const char *key,
		     int64_t expected_version, const void *value,
		     size_t value_size, struct tgw_store_callback callback);
	/** @return a handle for unwatch, never 0 */
	uint64_t (*watch)(struct tgw_store *store, const char *prefix,
			  struct tgw_store_watcher watcher);
	void (*unwatch)(struct tgw_store *store, uint64_t handle);
};

/** A store; bindings embed it as their first member. */
struct tgw_store {
	const struct tgw_store_ops *ops;
};

static inline void tgw_store_get(struct tgw_store *store, const char *key,
				 struct tgw_store_callback callback)
{
	store->ops->get(store, key, callback);
}

static inline void tgw_store_list(struct tgw_store *store, const char *prefix,
				  struct tgw_store_callback callback)
{
	store->ops->list(store, prefix, callback);
}

static inline void tgw_store_swap(struct tgw_store *store, const char *key,
				  int64_t expected_version, const void *value,
				  size_t value_size,
				  struct tgw_store_callback callback)
{
	store->ops->swap(store, key, expected_version, value, value_size,
			 callback);
}

static inline uint64_t tgw_store_watch(struct tgw_store *store,
				       const char *prefix,
				       struct tgw_store_watcher watcher)
{
	return store->ops->watch(store, prefix, watcher);
}

static inline void tgw_store_unwatch(struct tgw_store *store, uint64_t handle)
{
	store->ops->unwatch(store, handle);
}

#endif
