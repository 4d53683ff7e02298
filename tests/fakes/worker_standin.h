/**
 * @file worker_standin.h
 * A small stand-in of a backend server of the users' platform. What it does
 * with a request follows from the last part of the request's path.
 */
#ifndef FAKES_WORKER_STANDIN_H
#define FAKES_WORKER_STANDIN_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/buffer.h"

struct worker_standin {
	uv_loop_t *loop;
	uv_tcp_t listener;
	char id[32];
	char address[32];
	unsigned int arrivals;
	unsigned int runs;
	unsigned int left;	  /**< callers that left a running request */
	struct buffer request;	  /**< head fields and body of the last one */
	struct server_conn *held; /**< request that is kept open */
};

void worker_standin_start(struct worker_standin *worker, uv_loop_t *loop,
			  const char *id);
void worker_standin_stop(struct worker_standin *worker);

/** Ends a request that was held, with an answer. */
void worker_standin_release(struct worker_standin *worker);

#endif
