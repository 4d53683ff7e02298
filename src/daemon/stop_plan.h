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
	STOP_NOT_ASKED,
	STOP_NOTICE,	/**< not ready any more; still takes requests */
	STOP_FINISH,	/**< takes nothing new; open requests end */
	STOP_GIVE_BACK, /**< settles, and gives allotments back */
	STOP_DONE,
};

struct stop_plan {
	enum stop_phase phase;
	int64_t phase_ends_us;
};

/** Starts the stop, or ends it at once when it was asked for before. */
void stop_plan_ask(struct stop_plan *plan, struct runtime *runtime);

/** Moves on as far as it can. @return the next due time */
int64_t stop_plan_tick(struct stop_plan *plan, struct runtime *runtime,
		       struct gateway *gateway);

#endif
