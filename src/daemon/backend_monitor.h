/**
 * @file backend_monitor.h
 * Asks the backend servers for their load and cache events and hands both
 * to the router. Lives on the coordination thread.
 */
#ifndef DAEMON_BACKEND_MONITOR_H
#define DAEMON_BACKEND_MONITOR_H

#include "daemon/runtime.h"

struct backend_monitor;

struct backend_monitor *backend_monitor_new(struct runtime *runtime);

/** Requests under way end by themselves later and are not reported. */
void backend_monitor_free(struct backend_monitor *monitor);

/** Starts the requests that are due. */
void backend_monitor_tick(struct backend_monitor *monitor);

#endif
