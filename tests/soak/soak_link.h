/**
 * @file soak_link.h
 * A TCP proxy on loopback in front of one address. It delays, holds back or
 * resets what passes, as a network does.
 */
#ifndef SOAK_LINK_H
#define SOAK_LINK_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct soak_pipe;

struct soak_link {
	uv_loop_t *loop;
	uv_tcp_t listener;
	char address[32]; /**< where it listens */
	char target[32];  /**< what it connects to */
	struct soak_pipe *pipes;
	unsigned int delay_ms;
	/** Bytes in this direction wait, as in a partition. */
	bool requests_held;
	bool answers_held;
	bool refuses; /**< resets new connections */
};

/** Listens at `link->address`, or on a free port if that is empty. */
void soak_link_start(struct soak_link *link, uv_loop_t *loop,
		     const char *target);

/** Ends all connections and stops listening. */
void soak_link_stop(struct soak_link *link);

/** Holds back bytes from now on, or lets go of what was held back. */
void soak_link_hold(struct soak_link *link, bool requests, bool answers);

/** Resets all open connections. */
void soak_link_reset(struct soak_link *link);

/** Loses all further bytes of the open connections, without a reset; new
 * connections work. */
void soak_link_silence(struct soak_link *link);

#endif
