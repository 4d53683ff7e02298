/**
 * @file crash_check.h
 * Tells a crash of a backend server from a connection that only broke.
 *
 * After a request broke off, the server is asked for a new connection. If it
 * refuses, no process listens there any more, and all requests that are
 * suspected there (state/crash_suspects.h) are recorded in the quarantine.
 *
 * A request that the host gave up, since its caller left or its time was over,
 * may run on at its server for as long as the server was told or the route
 * allows. Until then a connection to the server stays open, so that its end
 * tells of a crash at any moment; then the server is asked. The list of servers
 * and other hosts' records tell of a crash as well: another process at the
 * address, or under the id, of a server that did not leave.
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

/** Another process has the server's address or id, as an entry or an answer
 * says. Call it while the server is still in the table. */
void crash_check_on_replaced(struct edge *edge, const struct backend *backend);

/** The server's entry is about to be removed from the table. */
void crash_check_on_removed(struct edge *edge, const struct backend *backend);

/** Another host has recorded a crash of this run. */
void crash_check_on_crash_elsewhere(struct edge *edge, uint64_t run);

/** Records the crashes of a moment ago. Call it several times a second. */
void crash_check_tick(struct edge *edge);

/** @return whether a stopping host is to wait, as it does for open requests:
 * one that has crashed servers before may be running at another one */
bool crash_check_keeps_host(const struct edge *edge);

/** Ends all checks without a result. */
void crash_check_cancel_all(struct edge *edge);

#endif
