/**
 * @file pause_model.h
 * Estimates how long the pauses between the events of streams get, by route and
 * by the speed of the server, from the streams that a host has forwarded.
 *
 * A server reads the prompts of other requests between the events of a stream,
 * and its machine has other work to do, so a stream at a slow server may pause
 * for longer than its route wants, while one at a fast server does not.
 */
#ifndef STATE_PAUSE_MODEL_H
#define STATE_PAUSE_MODEL_H

#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"

/** Routes that are remembered. */
#define PAUSE_MODEL_ROUTES 64

struct pause_model_route {
	char name[TGW_NAME_SIZE]; /**< empty: unused */
	/** One stream in ten pauses for longer, at a server that works as the
	 * service expects. */
	double long_pause_ms;
	uint32_t streams; /**< seen so far */
};

/** Nothing is known when zeroed. */
struct pause_model {
	struct pause_model_route routes[PAUSE_MODEL_ROUTES];
};

/** Records a stream.
 * @param longest_pause_ms between two of its events
 * @param work_percent usual time of work at its server */
void pause_model_add(struct pause_model *model, const char *route,
		     int64_t longest_pause_ms, uint32_t work_percent);

/** @return the pause that one stream of the route in ten exceeds at a server
 * that works as the service expects; 0 while that is not known */
double pause_model_long_pause_ms(const struct pause_model *model,
				 const char *route);

#endif
