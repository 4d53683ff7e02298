/**
 * @file call_private.h
 * State of a call, shared by the files that implement it: call.c admits and
 * ends it, call_dispatch.c decides where it goes next, call_attempt.c sends it
 * to a server, call_timer.c watches its times, call_answer.c forwards the
 * response, call_stream.c the events of a stream, and call_answer_end.c decides
 * whether one that ended with its connection is whole.
 */
#ifndef EDGE_CALL_PRIVATE_H
#define EDGE_CALL_PRIVATE_H

#include "edge/call.h"
#include "edge/edge_clock.h"
#include "protocol/event_scan.h"
#include "protocol/json_scan.h"
#include "state/attempt_plan.h"
#include "state/request_identity.h"
#include "state/route_set.h"
#include "tamarackgw/clock.h"
#include "transport/connect_check.h"
#include "transport/http_conn.h"

/** The route's settings when the request arrived. They are copied because a
 * newer route set may come into force while the call is open. */
struct call_route {
	char name[TGW_NAME_SIZE];
	char service[TGW_NAME_SIZE];
	enum route_kind kind;
	uint32_t max_attempts;
	int64_t timeout_ms;
	int64_t target_latency_ms;
	int64_t target_pause_ms;
	int32_t priority; /* the team's if it has one, else the route's */
	int32_t rank;	  /* the route's priority, for budget reservations */
	uint32_t regions; /* set of those that the request may go to */
	bool affinity;
	bool is_engine;
	int64_t event_tokens;
};

/** The team that a request is for, as it was when it arrived. */
struct call_team {
	/** false: the route is public, or there are no teams. */
	bool exists;
	char name[TGW_NAME_SIZE]; /**< short; empty if it does not exist */
	char *whole_name;	  /**< as servers are told it */
};

/** One send of a call's request to a server. */
struct call_attempt {
	struct call *call;
	struct backend *backend; /* NULL while this entry is not in use */
	struct http_conn *conn;
	int64_t started_us;
	/* When bytes of the response arrived, or the server was seen to have
	 * taken bytes of a long request; the start before any. */
	int64_t last_progress_us;
	/* Bytes of a long request that were on their way at the last look; 0
	 * for none. */
	size_t unsent_bytes;
	int64_t unsent_check_us; /* the next look */
	/* A decision about its silence is not repeated before. */
	int64_t next_check_us;
	bool silence_recorded; /* in the server's statistics */
	bool own_delay; /* its timeout is recorded as the host's own delay */
	bool is_retry;	/* it spent the credit of a retry */
	bool paused;	/* not read while the caller reads too slowly */
	int status;	/* of the response */
	bool is_event_stream; /* so is its body, without a content coding */
	bool is_json;	      /* the same */
	struct response_info response;
	bool forwarding;      /* the body is forwarded as it arrives */
	struct buffer fields; /* header lines of the response */
	struct buffer body;   /* of a response that is buffered */
	/* Incomplete last event of a resumable stream; all that came before its
	 * first event if the attempt goes on with a stream. */
	struct buffer partial;
	int64_t held_bytes; /* recorded for the three buffers above */
	struct event_scan events;
	int64_t last_event_us; /* 0 before the first event */
	int64_t longest_pause_us;
	struct json_scan json;
	/* Whether its server lives is being checked, since the response has
	 * ended with its connection; otherwise NULL. */
	struct connect_check *end_check;
};

/** A current attempt, and an earlier one at a silent server. */
#define CALL_OPEN_ATTEMPTS_MAX 2

struct call {
	struct edge *edge;
	struct server_conn *caller; /* NULL after it has disconnected */
	struct call *previous;
	struct call *next;
	uv_timer_t timer;
	struct request_info request;
	struct request_identity identity;
	struct call_route route;
	/* What is sent to servers; NULL once it can't be sent again. */
	struct held_buffer *body;
	struct call_team team;
	int64_t arrived_us;
	int64_t deadline_us; /* the response must be complete by then */
	bool ended;
	/* A timeout has elapsed. It takes effect only after the bytes that
	 * the socket has already received are read. */
	bool timeout_pending;

	int64_t reserved_tokens;
	bool waits_for_tokens;	    /* for an allotment of this host */
	int64_t tokens_deadline_us; /* end of that wait */

	struct call_attempt attempts[CALL_OPEN_ATTEMPTS_MAX];
	struct call_attempt *current; /* NULL if there is none */
	/* An earlier attempt whose server fell silent. It stays open until a
	 * server responds; NULL if there is none. */
	struct call_attempt *earlier;
	uint64_t tried[ATTEMPTS_MAX]; /* run hashes of their servers */
	uint32_t attempt_count;	      /* all attempts, whether sent or not */
	uint32_t unsent_count;	      /* those of them that never connected */
	uint32_t sent_count;   /* those that a server may have received */
	int64_t first_byte_us; /* of the first response; 0 before it */
	/* Some server that no longer has the request may have run it; see
	 * call_may_have_run(). */
	bool may_have_run;
	/* Why the request was not sent to another server, for the log. */
	enum attempt_obstacle obstacle;

	bool head_sent; /* to the caller */
	/* Parts of a body were sent that no other response can go on from. */
	bool body_forwarded;
	uint64_t events_sent; /* complete events of a stream */
	/* Of the last of them, if another server can go on after it; otherwise
	 * EVENT_SCAN_NO_ID. */
	int64_t last_event_id;
	/* A server has run it so far that its parts do not crash servers. */
	bool parts_served;
	bool skips_ids; /* the ids of these events are not consecutive */
};

/** @return whether another server may run the request, after what the caller
 * has received of its response */
static inline bool call_may_repeat(const struct call *call)
{
	if (call->route.kind != ROUTE_SAFE &&
	    call->route.kind != ROUTE_RESUMABLE)
		return false;
	if (call->events_sent && call->last_event_id == EVENT_SCAN_NO_ID)
		return false;
	return !call->body_forwarded;
}

static inline bool call_is_stream(const struct call *call)
{
	return call->route.kind == ROUTE_STREAM ||
	       call->route.kind == ROUTE_RESUMABLE;
}

static inline bool call_attempt_is_sent(const struct call_attempt *attempt)
{
	return attempt && attempt->conn && attempt->conn->sent;
}

/** @return whether some server may have run the request, or may run it now */
bool call_may_have_run(const struct call *call);

/** Sends the request to a server, as the current attempt.
 * @param is_retry the credit of a retry was spent for it */
void call_attempt_start(struct call *call, struct backend *backend,
			bool is_retry);

/** The attempt's request was not sent, so it counts neither as sent nor as a
 * retry. */
void call_attempt_not_sent(const struct call_attempt *attempt);

/** Forgets the request's body, if it will not be sent again. */
void call_release_sent_body(struct call *call);

/** Ends an attempt. Its connection is released to the pool if the response is
 * complete; otherwise it is closed, which the server may notice. */
void call_attempt_end(struct call_attempt *attempt);

/** Ends an attempt whose server may still be running the request. */
void call_attempt_abandon(struct call_attempt *attempt);

/** Ends the earlier attempt, after another server has responded. */
void call_end_earlier_attempt(struct call *call);

/** Chooses a server and sends the request, or refuses it. */
void call_dispatch(struct call *call);

/** Handles the failure of an attempt: retries at another server if that is
 * allowed, waits for another attempt that is open, or ends the call.
 * @param reason for the log and the caller */
void call_attempt_failed(struct call_attempt *attempt,
			 enum backend_outcome outcome, const char *reason);

/** Handles the silence of the current attempt's server: sends the request to
 * another server as well if that is allowed. */
void call_attempt_silent(struct call *call);

/** Handles the timeout of the current attempt's connection: sends the request
 * to another server if that is allowed. */
void call_attempt_connect_timed_out(struct call *call);

/** Records that the request's time is over before its current attempt has
 * ended. */
void call_attempt_record_timeout(struct call_attempt *attempt);

/** Handles a 5xx response: retries at another server if that is allowed.
 * @return whether the request is retried; if not, the response is final */
bool call_retry_server_error(struct call_attempt *attempt);

/** Looks, in regular intervals, whether the server takes more of a long
 * request. */
void call_attempt_check_upload(struct call_attempt *attempt, int64_t now_us);

/** The server sent or took some bytes. */
static inline void call_attempt_progress(struct call_attempt *attempt,
					 int64_t now_us)
{
	attempt->last_progress_us = now_us;
	attempt->next_check_us = 0;
	attempt->silence_recorded = false;
	attempt->own_delay = false;
}

/** Complete events of an attempt after which the parts of the request's prompt
 * are known not to crash its server, which would have done so when it began to
 * answer. */
#define CALL_SOUND_EVENTS 4

/** Events of the connection to the server. */
extern const struct http_conn_events call_response_events;

/** @return whether the caller has the beginning of a stream that this attempt's
 * server has not gone on with */
static inline bool call_attempt_has_to_go_on(const struct call_attempt *attempt)
{
	return attempt->call->head_sent && !attempt->forwarding;
}

/** Ends the other attempt, since this one's server has begun to answer. */
void call_settle_on(struct call_attempt *attempt);

/** @return whether the host may hold `more` bytes in a buffer of the attempt */
static inline enum held_verdict call_attempt_may_hold(
	const struct call_attempt *attempt, const struct buffer *buffer,
	size_t more)
{
	return held_bytes_check(&attempt->call->edge->held_answers,
				(int64_t)buffer->capacity,
				(int64_t)buffer_capacity_with(buffer, more));
}

/** Records what the host holds of the attempt's answer. */
void call_attempt_record_held(struct call_attempt *attempt);

/** Sends the head of the response to the caller, and its body as it arrives. */
void call_attempt_begin_forwarding(struct call_attempt *attempt);

/** Sends bytes of the body to the caller, and pauses the server if the caller
 * reads too slowly. */
void call_attempt_forward(struct call_attempt *attempt, const char *data,
			  size_t size);

/** Records that the parts of the request's prompt do not crash servers. */
void call_record_sound_parts(struct call *call);

/** Forwards bytes of a stream. Of a resumable one only complete events are
 * forwarded, so that another server can go on after the last one. */
void call_stream_forward(struct call_attempt *attempt, const char *data,
			 size_t size);

/** Takes bytes of an attempt that has to go on with a stream. Its server gets
 * the stream once its first event shows that it does. Until then a silent one
 * may still do so. */
void call_stream_go_on(struct call_attempt *attempt, const char *data,
		       size_t size);

/** Handles a response that has ended with its connection. */
void call_answer_on_ended(struct http_conn *conn);

/** Sets the timer to the next deadline of the call. */
void call_schedule(struct call *call);

/** Starts the call's timer, which is stopped. */
void call_timer_init(struct call *call);

/** Ends the call with an error response of the edge itself. If the head of a
 * response was already sent, the connection is aborted instead.
 * @param retry_after_ms value of Retry-After; 0 for none */
void call_refuse(struct call *call, int status, int64_t retry_after_ms,
		 const char *reason);

/** Ends the call when its time is up: with 504 if some server may have run the
 * request, otherwise with 503 and a Retry-After. */
void call_give_up(struct call *call, const char *reason);

/** Refuses a call that waited for tokens until its wait was over. */
void call_refuse_without_tokens(struct call *call);

#endif
