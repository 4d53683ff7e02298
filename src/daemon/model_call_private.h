/**
 * @file model_call_private.h
 * Internal declarations shared by the files that implement model calls.
 */
#ifndef DAEMON_MODEL_CALL_PRIVATE_H
#define DAEMON_MODEL_CALL_PRIVATE_H

#include "daemon/backend_exchange.h"
#include "daemon/model_call.h"
#include "daemon/model_stream.h"

/** The attempt's backend server, copied from the configuration, which may
 * change during the attempt. */
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
	char *body; /**< request body for the engine, without the priority */
	int32_t priority; /**< of the attempt, in the engine's queue */
	struct tgw_fingerprint fingerprint;
	struct tgw_route_request route;
	int64_t prompt_bound_tokens;
	int64_t token_limit;
	int64_t bound_tokens; /**< upper bound of the prompt and the output */
	bool is_reserved;     /**< the budget holds a reservation for it */
	bool quarantine_check_pending; /**< the callback has not run yet */
	/** The quarantine awaits the end of an attempt that it admitted. */
	bool quarantine_attempt_open;
	bool may_have_run; /**< an engine may have run the request */
	/** The engine may still be running the last attempt, which then has to
	 * be cancelled. */
	bool engine_may_run;
	/** The call has failed. If a cancel request is in flight, the call is
	 * settled when that request is done. */
	bool failed;
	/** No caller is left: the call ends when nothing of it is pending. */
	bool abandoned;
	bool must_resume;      /**< the next attempt has to resume the stream */
	bool is_queued;	       /**< the router has not chosen a server yet */
	uint64_t route_id;     /**< for tgw_router_cancel() */
	uint32_t submit_count; /**< calls of tgw_router_submit() */
	bool has_ticket;
	uint64_t ticket; /**< for tgw_router_finish() */
	struct engine engine;
	int64_t attempt; /**< number, which the engine uses for fencing */
	int32_t attempt_count;
	struct stream_progress progress;
	/** Of the attempt in flight, or NULL. */
	struct backend_exchange *exchange;
	/** Cancel requests and status queries in flight. */
	int32_t control_requests_pending;
	/** Other attempts that ran at the server when the connection broke. */
	uint32_t others_running;
	/** From the engine's reply to a cancel request. */
	struct chat_usage engine_usage;
};

/** Starts the attempt at mc->engine. */
void model_attempt_start(struct model_call *mc, bool resume);

/** Cancels the request at the engine. model_call_cancel_done() follows; it is
 * called from inside this function when the engine does not support a cancel or
 * the host stops. */
void model_attempt_cancel(struct model_call *mc);

/** Queries whether the engine still has a record of the request;
 * model_call_status_query_done() follows. */
void model_attempt_query_status(struct model_call *mc);

/* Called by model_attempt.c, on the coordination thread. */

void model_call_attempt_ended(struct model_call *mc, enum http_outcome outcome);
void model_call_cancel_done(struct model_call *mc);
void model_call_status_query_done(struct model_call *mc, enum attempt_end end);

#endif
