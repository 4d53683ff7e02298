/**
 * @file mirrored_prefix.h
 * One prefix of the store that a host mirrors: its keys, whoever watches it
 * here, and from where its changes come. Private to store_mirror.
 */
#ifndef COORDINATION_MIRRORED_PREFIX_H
#define COORDINATION_MIRRORED_PREFIX_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "coordination/mirror_pull.h"
#include "state/mirror_table.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/store.h"

/** A local watch. */
struct mirror_watcher {
	uint64_t handle;
	struct tgw_store_watcher watcher;
	struct mirror_watcher *next;
};

/** A local list of the prefix that has not been answered. */
struct mirror_list {
	struct mirrored_prefix *owner;
	struct tgw_store_callback callback;
	bool calling; /**< the store */
	struct mirror_list *next;
};

struct mirrored_prefix {
	const char *prefix;
	struct tgw_store *store;
	const struct tgw_clock *clock;
	/** The store confirmed the table, or does not answer. */
	void (*updated)(void *arg, struct mirrored_prefix *prefix,
			int64_t previous_revision);
	/** A call of this host ended. */
	void (*called)(void *arg, bool answered);
	void *arg;
	struct mirror_table table;
	uint64_t watch;	       /**< of the store; 0: none */
	bool prompt;	       /**< the watch is */
	int64_t watch_idle_us; /**< of the watch; 0: the binding's default */
	/** When the watch was opened, last told something, or was last due to
	 * go on after a list of the store, which failed. */
	int64_t watch_told_us;
	/** The watch reports nothing before the store has listed the prefix. */
	bool watch_stopped;
	bool store_unreachable;
	/** When the store last confirmed the table, by this host's clock; 0:
	 * never. The second one is a lower bound. */
	int64_t store_confirmed_us;
	int64_t relay_confirmed_us;
	int64_t listed_us; /**< when the store was last listed */
	struct mirror_watcher *watchers;
	struct mirror_list *lists;
	struct mirror_pull pull;
	/** Changes as last encoded for other hosts. */
	int64_t encoded_after;
	int64_t encoded_revision;
	int64_t encoded_us; /**< when that was */
	struct buffer encoded;
};

void mirrored_prefix_clear(struct mirrored_prefix *prefix);

void mirrored_prefix_add_watcher(struct mirrored_prefix *prefix,
				 uint64_t handle,
				 const struct tgw_store_watcher *watcher);

/** @return whether the handle was one of this prefix */
bool mirrored_prefix_remove_watcher(struct mirrored_prefix *prefix,
				    uint64_t handle);

void mirrored_prefix_add_list(struct mirrored_prefix *prefix,
			      struct tgw_store_callback callback);

/** Opens the watch of the store, or opens it again if it has to be prompt.
 * @return whether a watch was opened where there was none */
bool mirrored_prefix_watch(struct mirrored_prefix *prefix, bool prompt,
			   int64_t prompt_idle_us);
void mirrored_prefix_unwatch(struct mirrored_prefix *prefix);

/** Closes a watch of the store that has told nothing for too long.
 * @param period_us longest time between two answers to a watch that does not
 * say how long its calls may be held
 * @param margin_us allowed beyond that, or beyond the time that it says
 * @return for how long it has told nothing; 0 if that is not too long */
int64_t mirrored_prefix_end_stalled_watch(struct mirrored_prefix *prefix,
					  int64_t period_us, int64_t margin_us);

/** Answers the waiting lists from the table. */
void mirrored_prefix_answer_lists(struct mirrored_prefix *prefix);

/** Sends the waiting lists to the store. */
void mirrored_prefix_send_lists(struct mirrored_prefix *prefix);

/** Applies encoded changes of another host. */
enum tgw_status mirrored_prefix_apply(struct mirrored_prefix *prefix,
				      const void *bytes, size_t size);

/** @return the encoded changes after a revision; NULL if they are too large */
const struct buffer *mirrored_prefix_encode(struct mirrored_prefix *prefix,
					    int64_t after_revision);

/** As mirrored_prefix_encode(), for hosts that fetch the changes in parts. It
 * goes on with the changes that were encoded a short time ago, as other changes
 * may be made all the time.
 * @param revision of the changes of which parts were fetched; 0: none were */
const struct buffer *mirrored_prefix_encode_parts(
	struct mirrored_prefix *prefix, int64_t after_revision,
	int64_t revision);

/** @return when the table was last confirmed; 0: never */
int64_t mirrored_prefix_confirmed_us(const struct mirrored_prefix *prefix);

#endif
