/**
 * @file kv_standin.h
 * A small stand-in of the users' key-value service over HTTP, on a loop.
 */
#ifndef FAKES_KV_STANDIN_H
#define FAKES_KV_STANDIN_H

#include <jansson.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct kv_standin_item {
	char *key;
	char *value; /**< base64; NULL once removed */
	int64_t revision;
	struct kv_standin_item *next;
};

struct kv_standin_watch;

struct kv_standin {
	uv_loop_t *loop;
	uv_tcp_t listener;
	char address[32];
	int64_t revision;
	int64_t oldest; /**< watches from before get 410 */
	struct kv_standin_item *items;
	struct kv_standin_watch *watches;
	bool silent;	   /**< answers nothing */
	int refuse_status; /**< answers all with this; 0 for none */
	unsigned int calls;
	int64_t furthest_behind;   /**< of a watch, in revisions */
	unsigned int lose_answers; /**< writes that are done, not answered */
};

void kv_standin_start(struct kv_standin *store, uv_loop_t *loop);
void kv_standin_stop(struct kv_standin *store);

/** Writes as the operator or a server would; NULL removes. */
void kv_standin_put(struct kv_standin *store, const char *key,
		    const char *value);

#endif
