/**
 * @file kv_standin.h
 * A small stand-in for the platform's key-value service over HTTP. It runs on
 * the test's libuv loop.
 */
#ifndef FAKES_KV_STANDIN_H
#define FAKES_KV_STANDIN_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct kv_standin_item {
	char *key;
	char *value; /**< base64; NULL once the key was removed */
	int64_t revision;
	struct kv_standin_item *next;
};

struct kv_standin;
struct kv_standin_watch;

/** What the store held at some time. */
struct kv_standin_copy {
	struct kv_standin_item *items;
	int64_t revision;
};

/** One more address of the store, for a client to which it behaves in another
 * way than to the others. */
struct kv_standin_view {
	struct kv_standin *store;
	uv_tcp_t listener;
	char address[32];
	bool silent;	   /**< answers no request */
	int refuse_status; /**< HTTP status of all answers; 0: serve normally */
	/** @return another value to show for the key, in base64, which the
	 * store frees, or NULL; the function may be NULL */
	char *(*replace)(void *arg, const char *key, const char *value);
	void *arg;
};

#define KV_STANDIN_CONFLICTS_MAX 32

struct kv_standin {
	uv_loop_t *loop;
	struct kv_standin_view main_view; /**< of its listener */
	char address[32];
	int64_t revision;
	int64_t oldest; /**< watches from earlier revisions get 410 */
	struct kv_standin_item *items;
	struct kv_standin_watch *watches;
	/** Sent with each answer, unless it is 0; or this text in its place. */
	int64_t era;
	const char *era_text;
	struct kv_standin_copy copy;
	bool silent;	   /**< answers no request */
	int refuse_status; /**< HTTP status of all answers; 0: serve normally */
	/** Bytes that are written to the connection of each call, other than a
	 * watch, before its answer; NULL: none. */
	const char *stray_bytes;
	/** Watches that wait for longer are cut; 0: none is. */
	int64_t cut_watches_ms;
	unsigned int cuts;
	unsigned int calls; /**< requests received */
	/** Maximum number of revisions by which a new watch was behind the
	 * store. */
	int64_t max_watch_lag;
	/** Number of following writes that are applied but not answered. */
	unsigned int lose_answers;
	/** Number of following writes that conflict with one of another
	 * client, which comes just before. */
	unsigned int race_writes;
	unsigned int conflict_count;
	uint64_t conflicted_ms[KV_STANDIN_CONFLICTS_MAX]; /**< loop time */
};

void kv_standin_start(struct kv_standin *store, uv_loop_t *loop);

/** Listens at a free address as well. */
void kv_standin_add_view(struct kv_standin *store,
			 struct kv_standin_view *view);
void kv_standin_stop(struct kv_standin *store);

/** Writes a key, as the operator or a backend server would; a NULL value
 * removes the key. */
void kv_standin_put(struct kv_standin *store, const char *key,
		    const char *value);

/** Keeps a copy of all that the store holds, in place of the last one. */
void kv_standin_copy(struct kv_standin *store);

/** Returns to the copy: what was written since is gone, revisions are given out
 * again, the era rises, and connections of watches are cut. */
void kv_standin_return(struct kv_standin *store);

#endif
