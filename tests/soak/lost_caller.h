/**
 * @file lost_caller.h
 * A caller that keeps its connection open and uses it again, up to four fifths
 * of the idle limit later. It sends long heads and bodies, in pieces, and
 * several requests at once.
 */
#ifndef LOST_CALLER_H
#define LOST_CALLER_H

#include <uv.h>

#include "soak/lost_judge.h"
#include "soak/soak.h"

struct lost_conn;

/** A host with what is known of its ends of requests. */
struct lost_host {
	struct soak_host *host;
	struct lost_judge judge;
	unsigned int crossed;	     /**< requests that crossed its close */
	unsigned int gateway_errors; /**< 502 and 504 before the time was up */
	unsigned int closed_early;   /**< kept connections */
	unsigned int long_waits;     /**< on kept connections, used again */
};

struct lost_caller {
	struct soak *soak;
	struct lost_host *host;
	uv_timer_t timer;
	struct lost_conn *conn; /**< NULL: not connected */
};

void lost_caller_start(struct lost_caller *caller, struct soak *soak,
		       struct lost_host *host);

/** Ends requests that have waited too long. */
void lost_caller_poll(struct lost_caller *caller);

#endif
