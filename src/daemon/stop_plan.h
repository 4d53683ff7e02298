/**
 * @file stop_plan.h
 * The phases of a planned stop.
 */
#ifndef DAEMON_STOP_PLAN_H
#define DAEMON_STOP_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon/gateway.h"
#include "daemon/runtime.h"

enum stop_phase {
	STOP_NOT_REQUESTED,
	STOP_NOTICE, /**< not ready, but still accepts requests */
	/** Accepts none; waits until open requests are served and written. */
	STOP_FINISH_REQUESTS,
	STOP_DRAIN_AGENTS, /**< settles reservations, returns allotments */
	STOP_DONE,
};

struct stop_plan {
	enum stop_phase phase;
	int64_t phase_ends_us;
};

/** Starts the planned stop. A second request ends it at once. */
void stop_plan_request(struct stop_plan *plan, struct runtime *runtime);

/** Enters the next phase when the current one is complete or has timed out.
 * @return the next due time */
int64_t stop_plan_tick(struct stop_plan *plan, struct runtime *runtime,
		       struct gateway *gateway);

#endif
