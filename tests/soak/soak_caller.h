/**
 * @file soak_caller.h
 * A caller of one host. It keeps its connection until the host closes it, and
 * sends one request after the other.
 */
#ifndef SOAK_CALLER_H
#define SOAK_CALLER_H

#include <stdbool.h>
#include <uv.h>

#include "soak/soak.h"
#include "soak/soak_checks.h"

struct soak_caller {
	struct soak *soak;
	struct soak_host *host;
	bool uses_link; /**< connects through the host's proxy */
	uv_timer_t timer;
	struct soak_caller_conn *conn; /**< NULL: not connected */
	struct soak_request *request;  /**< that waits for its response */
	struct soak_response response;
};

void soak_caller_start(struct soak_caller *caller, struct soak *soak,
		       struct soak_host *host, bool uses_link);

/** Ends a request that has waited too long. */
void soak_caller_poll(struct soak_caller *caller);

#endif
