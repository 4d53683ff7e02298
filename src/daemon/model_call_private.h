/**
 * @file model_call_private.h
 * Shared by the files that make up model calls.
 */
#ifndef DAEMON_MODEL_CALL_PRIVATE_H
#define DAEMON_MODEL_CALL_PRIVATE_H

#include "daemon/backend_exchange.h"
#include "daemon/model_call.h"
#include "daemon/model_stream.h"

/** The server of the attempt, copied out of the configuration. */
struct engine {
	char name[TGW_NAME_SIZE];
	char url[TGW_URL_SIZE];
	bool can_resume;
	bool can_cancel;
};

struct model_call {
	struct call call; /**< first member */
	struct model_stream stream;
	char model[TGW_NAME_SIZE];
	char *body;	  /**< for the engine, but for the priority */
	int32_t priority; /**< in the engine's queue, of the attempt */
	struct tgw_fingerprint fingerprint;
	struct tgw_route_request route;
	int64_t prompt_bound_tokens;
	int64_t token_limit;
	int64_t bound_tokens;
	bool is_reserved;
	bool is_entering; /**< the quarantine is asked */
	bool is_entered;  /**< the quarantine was told of the attempt */
	bool maybe_ran;	  /**< an engine may have worked on it */
	/** The engine may go on with the last attempt, unless told. */
	bool engine_may_run;
	bool failed;	  /**< to be settled when the engine was told */
	bool cancelling;  /**< no caller is left */
	bool must_resume; /**< the next server has to go on */
	bool is_queued;
	uint64_t route_id;
	uint32_t submit_count;
	bool has_ticket;
	uint64_t ticket;
	struct engine engine;
	int64_t attempt;
	int32_t attempt_count;
	struct stream_progress progress;
	struct backend_exchange *exchange; /**< of the open attempt */
	int32_t orders_pending;	  /**< cancels and inquiries under way */
	uint32_t others_running;  /**< at the server when it broke */
	struct chat_usage learnt; /**< told by the engine afterwards */
};

/** Starts the attempt at mc->engine. */
void model_attempt_start(struct model_call *mc, bool resume);

/** Tells the engine to stop; model_call_order_done() follows, or at once
 * when the engine takes no such order. */
void model_attempt_cancel(struct model_call *mc);

/** Asks the engine whether it still knows the request. */
void model_attempt_inquire(struct model_call *mc);

/* Called by the attempt, on the coordination thread. */

void model_call_attempt_ended(struct model_call *mc, enum http_outcome outcome);
void model_call_cancel_done(struct model_call *mc);
void model_call_inquiry_done(struct model_call *mc, bool known);

#endif
