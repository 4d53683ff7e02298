/**
 * @file crash_check.h
 * Tells a crash of a backend server from a connection that only broke.
 *
 * After a request broke off, the server is asked for a new connection. If it
 * refuses, no process listens there any more, and all requests of this host
 * that broke off there are recorded in the quarantine. A request that the host
 * gave up, since its caller left or its time was over, may run on at its
 * server: that is asked again and again for a while.
 */
#ifndef EDGE_CRASH_CHECK_H
#define EDGE_CRASH_CHECK_H

#include "edge/call_private.h"

struct crash_check;

/** Starts a check of the server at which the attempt broke off, or adds the
 * request to the one that is running. */
void crash_check_request(const struct call_attempt *attempt);

/** Watches the server of an attempt that is given up before its response is
 * complete. */
void crash_check_abandoned(const struct call_attempt *attempt);

/** @return whether the end of the server's connections may be a crash: a server
 * that leaves exits as planned */
bool crash_check_may_crash(const struct backend *backend);

/** Checks whether the server accepts connections. `done` is called once, unless
 * the check is cancelled.
 * @return NULL if its address can't be used */
struct connect_check *crash_check_connect(
	const struct backend *backend, struct edge *edge,
	void (*done)(void *arg, enum connect_check_result result), void *arg);

/** @return the name of a result in the log */
const char *crash_check_result_name(enum connect_check_result result);

/** Ends all checks without a result. */
void crash_check_cancel_all(struct edge *edge);

#endif
