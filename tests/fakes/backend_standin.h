/**
 * @file backend_standin.h
 * A small stand-in for a backend server of the platform. The last segment of a
 * request's path selects what it does: ok, fail, fail-once, break, stream,
 * stream-cut or full. Any other request waits until backend_standin_release().
 * A request that expects another instance gets 421 and is not executed.
 */
#ifndef FAKES_BACKEND_STANDIN_H
#define FAKES_BACKEND_STANDIN_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/buffer.h"

struct backend_standin {
	uv_loop_t *loop;
	uv_tcp_t listener;
	char id[32];
	char address[32];
	unsigned int arrivals;	  /**< requests received */
	unsigned int runs;	  /**< requests executed */
	unsigned int disconnects; /**< clients that disconnected early */
	/** Header fields, request line and body of the last request. */
	struct buffer request;
	/** Connection of the waiting request, or NULL. */
	struct server_conn *waiting;
};

void backend_standin_start(struct backend_standin *standin, uv_loop_t *loop,
			   const char *id);
void backend_standin_stop(struct backend_standin *standin);

/** Answers the waiting request, if there is one. */
void backend_standin_release(struct backend_standin *standin);

#endif
