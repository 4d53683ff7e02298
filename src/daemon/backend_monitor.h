/**
 * @file backend_monitor.h
 * Polls the backend servers for their load and cache events and passes both to
 * the router. Runs on the coordination thread.
 */
#ifndef DAEMON_BACKEND_MONITOR_H
#define DAEMON_BACKEND_MONITOR_H

#include "daemon/runtime.h"

struct backend_monitor;

struct backend_monitor *backend_monitor_new(struct runtime *runtime);

/** Does not wait for requests in flight; their responses are ignored. */
void backend_monitor_free(struct backend_monitor *monitor);

/** Sends the requests that are due. */
void backend_monitor_tick(struct backend_monitor *monitor);

#endif
