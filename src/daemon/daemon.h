/**
 * @file daemon.h
 * The daemon of one host: creates its components, runs the coordination
 * thread, and stops in an orderly way on a signal.
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "daemon/settings.h"

/** Runs until SIGTERM or SIGINT has stopped the daemon.
 * @return the process's exit code */
int daemon_run(const struct settings *settings);

#endif
