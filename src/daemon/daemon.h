/**
 * @file daemon.h
 * One host of the fleet: builds its parts, runs the coordination thread,
 * and ends by plan.
 */
#ifndef DAEMON_DAEMON_H
#define DAEMON_DAEMON_H

#include "daemon/settings.h"

/** Runs until a signal ends it. @return the process's exit code */
int daemon_run(const struct settings *settings);

#endif
