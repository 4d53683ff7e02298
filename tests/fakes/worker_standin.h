/**
 * @file worker_standin.h
 * A small stand-in for a backend server of the platform. The last segment of a
 * request's path selects what it does: ok, fail, fail-once, break, stream,
 * stream-cut or full. It holds any other request until
 * backend_standin_release().
 */
#ifndef FAKES_WORKER_STANDIN_H
#define FAKES_WORKER_STANDIN_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/buffer.h"

struct backend_standin {
	uv_loop_t *loop;
	uv_tcp_t listener;
	char id[32];
	char address[32];
	unsigned int arrivals; /**< requests received */
	unsigned int runs;     /**< requests executed */
	unsigned int left;     /**< callers that left a running request */
	/** Header fields, request line and body of the last request. */
	struct buffer request;
	/** Connection of the request that is held, or NULL. */
	struct server_conn *held;
};

void backend_standin_start(struct backend_standin *standin, uv_loop_t *loop,
			   const char *id);
void backend_standin_stop(struct backend_standin *standin);

/** Answers the request that is held, if there is one. */
void backend_standin_release(struct backend_standin *standin);

#endif
