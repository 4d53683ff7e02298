/**
 * @file call_private.h
 * State of a call, shared by the files that make it up: call.c admits and
 * ends it, call_attempt.c sends it, call_answer.c passes its answer on.
 */
#ifndef EDGE_CALL_PRIVATE_H
#define EDGE_CALL_PRIVATE_H

#include "edge/call.h"
#include "edge/edge_clock.h"
#include "protocol/event_scan.h"
#include "state/route_set.h"
#include "tamarackgw/clock.h"
#include "transport/http_conn.h"

/** Servers that one call may be offered to, taken or not. */
#define CALL_TRIED_MAX 6

/** What is known of the route when the request arrived. A newer set may come
 * into force while the call is open. */
struct call_route {
	char name[TGW_NAME_SIZE];
	char service[TGW_NAME_SIZE];
	enum route_kind kind;
	uint32_t max_attempts;
	int64_t timeout_ms;
	int64_t target_latency_ms;
	int32_t priority; /* the team's, if it has one */
	int32_t rank;	  /* of the route among those of a team */
	bool affinity;
	bool is_model;
	int64_t event_tokens;
};

struct call {
	struct edge *edge;
	struct server_conn *caller; /* NULL once it has left */
	struct call *previous;
	struct call *next;
	uv_timer_t timer;
	struct call_terms terms;
	struct call_route route;
	char team[TGW_NAME_SIZE]; /* "" for none */
	int64_t arrived_us;
	int64_t end_us; /* final answer at the latest */
	bool ended;
	bool overdue; /* a time is up; what came in is read first */

	int64_t reserved_tokens;
	bool waits_for_tokens;
	int64_t tokens_until_us; /* gives up waiting */

	struct backend *backend; /* of the attempt at hand */
	struct http_conn *conn;
	const struct backend *tried[CALL_TRIED_MAX];
	uint32_t tried_count;
	uint32_t sent_count; /* attempts that a server may have taken */
	int64_t attempt_us;
	int64_t last_received_us; /* last bytes of the answer */
	int64_t first_byte_us;	  /* of the first answer; 0 before */
	bool may_have_run;

	int status; /* of the answer at hand */
	struct answer_terms answer;
	bool relaying; /* the answer at hand goes straight to the caller */
	bool head_sent;
	bool source_paused;
	struct buffer fields;
	struct buffer body;    /* of an answer that is collected */
	struct buffer partial; /* incomplete event of a resumable stream */
	struct event_scan events;
	uint64_t events_sent;
};

static inline bool call_may_repeat(const struct call *call)
{
	return call->route.kind == ROUTE_SAFE ||
	       call->route.kind == ROUTE_RESUMABLE;
}

static inline bool call_is_stream(const struct call *call)
{
	return call->route.kind == ROUTE_STREAM ||
	       call->route.kind == ROUTE_RESUMABLE;
}

/** Chooses a server and sends the request, or refuses it. */
void call_dispatch(struct call *call);

/** Drops the attempt at hand; the server may notice. */
void call_drop_attempt(struct call *call);

/** The attempt at hand failed: goes on elsewhere if that is allowed.
 * @param reason for the log and the caller */
void call_attempt_failed(struct call *call, enum backend_outcome outcome,
			 const char *reason);

/** The answer is a failure of the server: tries another one if that is
 * allowed. @return whether it does */
bool call_repeat_failed(struct call *call);

/** Events of the connection to the server. */
extern const struct http_conn_events call_answer_events;

/** Sets the timer to what is due next. */
void call_schedule(struct call *call);

/** Answers with a status of the edge's own and ends the call.
 * @param retry_after_ms 0 for none */
void call_refuse(struct call *call, int status, int64_t retry_after_ms,
		 const char *reason);

/** Gives up: says whether the request has run, as far as is known. */
void call_give_up(struct call *call, const char *reason);

#endif
