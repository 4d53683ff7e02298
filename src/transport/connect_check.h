/**
 * @file connect_check.h
 * Finds out whether a server accepts connections: opens one, and closes it or
 * watches when it ends.
 */
#ifndef TRANSPORT_CONNECT_CHECK_H
#define TRANSPORT_CONNECT_CHECK_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

enum connect_check_result {
	CONNECT_CHECK_ACCEPTED,
	CONNECT_CHECK_REFUSED, /**< no process listens at the address */
	CONNECT_CHECK_UNKNOWN, /**< no answer in time, or no path */
};

struct connect_check {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connecting;
	unsigned int open_handles;
	bool closing;
	/** Called once, never from inside connect_check_start(), and not after
	 * connect_check_cancel(). */
	void (*done)(void *arg, enum connect_check_result result);
	/** NULL: the connection is closed once it is accepted. */
	void (*ended)(void *arg);
	void *arg;
};

/** Starts a check, which frees itself after `done`. */
struct connect_check *connect_check_start(
	uv_loop_t *loop, const struct sockaddr *address, int64_t timeout_ms,
	void (*done)(void *arg, enum connect_check_result result), void *arg);

/** As connect_check_start(), but an accepted connection stays open: the check
 * lives on until the other side ends it, calls `ended` then, and frees itself.
 */
struct connect_check *connect_check_start_watch(
	uv_loop_t *loop, const struct sockaddr *address, int64_t timeout_ms,
	void (*done)(void *arg, enum connect_check_result result),
	void (*ended)(void *arg), void *arg);

/** Ends and frees a check before it is done, or one that watches. */
void connect_check_cancel(struct connect_check *check);

#endif
