/**
 * @file attempt_plan.h
 * Decides what happens to a request next: whether it is sent to a server, waits
 * for one that has it already, or ends.
 *
 * A silent server may only be paused. Its silence is a reason to send the
 * request to another server as well, never a reason to end it: the earlier
 * attempt stays open until another server responds.
 */
#ifndef STATE_ATTEMPT_PLAN_H
#define STATE_ATTEMPT_PLAN_H

#include <stdbool.h>
#include <stdint.h>

#include "state/placement.h"

/** Maximum number of attempts of one request, whether or not a server received
 * them. Each goes to another server. */
#define ATTEMPTS_MAX 8

/** What calls for a decision. */
enum attempt_trigger {
	ATTEMPT_NONE_YET, /**< the request has not been sent */
	ATTEMPT_NOT_SENT, /**< no connection to the server could be made */
	/** The same, by its timeout; the host itself delays what it receives.
	 */
	ATTEMPT_CONNECT_DELAYED,
	ATTEMPT_FAILED, /**< a server received the request and failed it */
	ATTEMPT_SILENT, /**< the server has sent nothing for some time */
};

/** What the decision is based on. */
struct attempt_facts {
	enum attempt_trigger trigger;
	bool caller_left;
	/** The kind of route and what the caller has received so far allow
	 * that another server runs the request. */
	bool may_run_again;
	bool crashes_servers; /**< servers crash while they run it */
	bool is_quarantined;
	uint32_t attempts; /**< all so far, whether sent or not */
	uint32_t sent;	   /**< those that a server may have received */
	uint32_t sent_max; /**< the route's limit for `sent` */
	int64_t left_us;   /**< until the request's deadline */
	enum placement_result placement;
	bool has_retry_credit;
	bool own_delay; /**< the host itself delays what it receives */
	/** Another attempt is open, at a server that has fallen silent. */
	bool other_is_open;
};

/** Why the request is not sent to another server. */
enum attempt_obstacle {
	ATTEMPT_NO_OBSTACLE,
	ATTEMPT_CALLER_LEFT,
	ATTEMPT_NO_TIME,
	ATTEMPT_QUARANTINED,
	ATTEMPT_KIND,		/**< it must not run again */
	ATTEMPT_CRASHES,	/**< it crashes servers */
	ATTEMPT_OWN_DELAY,	/**< the host may be the cause of a silence */
	ATTEMPT_LIMIT,		/**< the maximum number of attempts was made */
	ATTEMPT_NO_SERVER,	/**< see attempt_facts.placement */
	ATTEMPT_NO_RETRY_CREDIT /**< the retry budget is spent */
};

enum attempt_step {
	ATTEMPT_STEP_SEND,
	ATTEMPT_STEP_WAIT, /**< for an attempt that is open */
	/** Go on with the attempt whose connection has been delayed. */
	ATTEMPT_STEP_CONNECT,
	ATTEMPT_STEP_END,
};

struct attempt_plan {
	enum attempt_step step;
	enum attempt_obstacle obstacle; /**< none for ATTEMPT_STEP_SEND */
	bool spends_retry_credit;
};

struct attempt_plan attempt_plan_make(const struct attempt_facts *facts);

/** @return the name of an obstacle in the log */
const char *attempt_obstacle_name(enum attempt_obstacle obstacle);

#endif
