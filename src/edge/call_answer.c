#include <strings.h>

#include "edge/backend_pool.h"
#include "edge/call_log.h"
#include "edge/call_private.h"
#include "edge/edge_callers.h"
#include "edge/server_signals.h"
#include "protocol/media_type.h"

#define STATUS_OK 200

static void copy_fields(struct call_attempt *attempt,
			const struct http_head *head)
{
	buffer_clear(&attempt->fields);
	for (size_t i = 0; i < head->count; i++) {
		const char *name = http_head_name(head, i);

		if (http_head_is_hop_by_hop(head, name))
			continue;
		buffer_add_text(&attempt->fields, name);
		buffer_add_text(&attempt->fields, ": ");
		buffer_add_text(&attempt->fields, http_head_value(head, i));
		buffer_add_text(&attempt->fields, "\r\n");
	}
	call_attempt_record_held(attempt);
}

void call_attempt_begin_forwarding(struct call_attempt *attempt)
{
	struct call *call = attempt->call;

	attempt->forwarding = true;
	call_release_sent_body(call);
	if (call->head_sent || !call->caller)
		return;
	call->head_sent = true;
	server_conn_send_head(call->caller, attempt->status, &attempt->fields,
			      SERVER_LENGTH_UNKNOWN,
			      edge_callers_ends_connection(call->edge));
}

static bool is_success(int status)
{
	return status >= 200 && status < 300;
}

static void find_body_type(struct call_attempt *attempt,
			   const struct http_head *head)
{
	const char *coding = http_head_find(head, "Content-Encoding");
	const char *type = http_head_find(head, "Content-Type");

	if (coding && strcasecmp(coding, "identity") != 0)
		return;
	attempt->is_event_stream = media_type_is_event_stream(type);
	attempt->is_json = media_type_is_json(type);
}

/* Goes on with an attempt whose server was silent, in place of the later one,
 * which no server has answered yet. */
static void return_to_earlier_attempt(struct call *call)
{
	struct call_attempt *attempt = call->earlier;

	call->edge->counters.silences_ended++;
	call_log_attempt_continues(attempt);
	if (call->current)
		call_attempt_abandon(call->current);
	call->current = attempt;
	call->earlier = NULL;
	call_schedule(call);
}

void call_settle_on(struct call_attempt *attempt)
{
	if (attempt == attempt->call->earlier)
		return_to_earlier_attempt(attempt->call);
	else
		call_end_earlier_attempt(attempt->call);
}

/* The server leaves ids out. Which request a later response on a kept
 * connection belongs to can't be told then. */
static bool lacks_id(const struct call_attempt *attempt)
{
	return attempt->call->request.id_hash &&
	       !attempt->response.names_request &&
	       !attempt->response.other_request;
}

/* A server may send a response late, or once more, where the next one is
 * expected. Without the request's id, only the first response on a connection
 * is known to be the request's own. */
static bool is_own_response(const struct call_attempt *attempt)
{
	const struct response_info *response = &attempt->response;

	if (response->other_request)
		return false;
	return response->names_request || !attempt->conn->has_responded;
}

/* Takes the head of a success. */
static void begin_success(struct call_attempt *attempt,
			  const struct http_head *head)
{
	struct call *call = attempt->call;

	find_body_type(attempt, head);
	if (!call->head_sent) {
		call_settle_on(attempt);
		copy_fields(attempt, head);
	} else if (!attempt->is_event_stream || attempt->status != STATUS_OK) {
		call_attempt_failed(attempt, BACKEND_FAILED,
				    "the server went on with another kind of "
				    "body");
		return;
	}
	if (!call_is_stream(call) || call->head_sent)
		return;
	if (!attempt->is_event_stream)
		call->body_forwarded = true;
	call_attempt_begin_forwarding(attempt);
}

static enum http_conn_verdict on_head(struct http_conn *conn)
{
	struct call_attempt *attempt = conn->arg;
	struct call *call = attempt->call;
	struct edge *edge = call->edge;

	edge->sources.dialect->read_response(&conn->head, conn->status,
					     call->request.id_hash,
					     &attempt->response);
	if (lacks_id(attempt))
		backend_pool_keep_none(attempt->backend, edge_now_us());
	if (!is_own_response(attempt)) {
		call_log_response_discarded(attempt, conn->status);
		return HTTP_CONN_DISCARD;
	}
	attempt->status = conn->status;
	call_attempt_progress(attempt, edge_now_us());
	if (!call->first_byte_us)
		call->first_byte_us = attempt->last_progress_us;
	if (attempt->response.has_load)
		backend_report(attempt->backend, &attempt->response.load,
			       attempt->last_progress_us);
	server_signals_on_answer(edge, attempt->backend, &attempt->response,
				 attempt->last_progress_us);
	if (is_success(conn->status) && !attempt->response.has_signature) {
		call_attempt_failed(attempt, BACKEND_BROKEN,
				    "the answer bears no signature");
		return HTTP_CONN_ACCEPT;
	}
	if (is_success(conn->status))
		begin_success(attempt, &conn->head);
	else if (!call->head_sent)
		copy_fields(attempt, &conn->head);
	return HTTP_CONN_ACCEPT;
}

void call_attempt_forward(struct call_attempt *attempt, const char *data,
			  size_t size)
{
	struct call *call = attempt->call;

	if (!call->caller || !size)
		return;
	if (server_conn_send_body(call->caller, data, size) || attempt->paused)
		return;
	attempt->paused = true;
	http_conn_pause(attempt->conn);
}

/* Looks for what a body without a length has to end with. */
static void scan_body(struct call_attempt *attempt, const char *data,
		      size_t size)
{
	if (attempt->is_json)
		json_scan_feed(&attempt->json, data, size);
	else if (attempt->is_event_stream && !call_is_stream(attempt->call))
		event_scan_feed(&attempt->events, data, size);
}

static void on_body(struct http_conn *conn, const char *data, size_t size)
{
	struct call_attempt *attempt = conn->arg;

	call_attempt_progress(attempt, edge_now_us());
	scan_body(attempt, data, size);
	if (call_attempt_has_to_go_on(attempt)) {
		if (is_success(attempt->status))
			call_stream_go_on(attempt, data, size);
		return;
	}
	if (is_success(attempt->status))
		call_settle_on(attempt);
	if (attempt->forwarding && call_is_stream(attempt->call)) {
		call_stream_forward(attempt, data, size);
		return;
	}
	if (!attempt->forwarding &&
	    call_attempt_may_hold(attempt, &attempt->body, size) == HELD_FITS) {
		buffer_add(&attempt->body, data, size);
		call_attempt_record_held(attempt);
		return;
	}
	/* A body that the host may not hold is forwarded as it arrives, which
	 * rules out a retry. */
	call_settle_on(attempt);
	attempt->call->body_forwarded = true;
	call_attempt_begin_forwarding(attempt);
	call_attempt_forward(attempt, attempt->body.data, attempt->body.size);
	buffer_free(&attempt->body);
	call_attempt_record_held(attempt);
	call_attempt_forward(attempt, data, size);
}

static void record_response(struct call_attempt *attempt)
{
	struct call *call = attempt->call;
	struct edge *edge = call->edge;
	int64_t first_us = call->first_byte_us - call->arrived_us;
	int64_t total_us = edge_now_us() - call->arrived_us;

	edge->counters.answered++;
	latency_buckets_add(&edge->first_byte_latency, first_us);
	latency_buckets_add(&edge->total_latency, total_us);
	call_log_answered(attempt, first_us, total_us);
}

static void finish(struct call_attempt *attempt)
{
	struct call *call = attempt->call;
	struct server_conn *caller = call->caller;
	struct edge *edge = call->edge;

	call->may_have_run = true;
	if (is_success(attempt->status)) {
		request_quarantine_on_served(edge->quarantine, &call->identity);
		call_record_sound_parts(call);
	}
	record_response(attempt);
	if (caller && !call->head_sent) {
		server_conn_send_head(caller, attempt->status, &attempt->fields,
				      (int64_t)attempt->body.size,
				      edge_callers_ends_connection(edge));
		server_conn_send_body(caller, attempt->body.data,
				      attempt->body.size);
	}
	call_end(call);
	if (!caller)
		return;
	caller->call = NULL;
	server_conn_finish(caller);
}

/* A stream that ends within an event is truncated, although the HTTP
 * response is complete. */
static bool ends_within_event(const struct call_attempt *attempt)
{
	return attempt->forwarding && attempt->is_event_stream &&
	       call_is_stream(attempt->call) && attempt->events.in_event;
}

/* An empty stream tells that nothing comes after the events that the caller
 * has, unless only the end of its connection says that it is whole: that may be
 * a response that was cut. */
static bool ends_stream(const struct call_attempt *attempt)
{
	return is_success(attempt->status) && !attempt->events.in_event &&
	       !attempt->conn->eof_seen;
}

static void record_pauses(const struct call_attempt *attempt)
{
	const struct call *call = attempt->call;

	pause_model_add(&call->edge->pauses, call->route.name,
			attempt->longest_pause_us / TGW_US_PER_MS,
			server_speed_usual_percent(&attempt->backend->speed));
}

static void on_complete(struct http_conn *conn)
{
	struct call_attempt *attempt = conn->arg;
	struct call *call = attempt->call;
	bool failed = attempt->status >= 500;

	if (attempt->response.misdirected) {
		call_attempt_failed(attempt, BACKEND_ADDRESS_REUSED,
				    "another server has the address");
		return;
	}
	if (attempt->response.not_run) {
		call_attempt_failed(attempt, BACKEND_REJECTED,
				    "the server did not take the request");
		return;
	}
	if (ends_within_event(attempt)) {
		call_attempt_failed(attempt, BACKEND_BROKEN,
				    "the stream ended within an event");
		return;
	}
	if (failed && attempt == call->earlier) {
		call_attempt_failed(attempt, BACKEND_FAILED,
				    "the server failed the request");
		return;
	}
	if (failed && call_retry_server_error(attempt))
		return;
	if (call_attempt_has_to_go_on(attempt) && !ends_stream(attempt)) {
		call_attempt_failed(
			attempt, BACKEND_FAILED,
			is_success(attempt->status)
				? "the server sent no event to go on with"
				: "the server refused to go on");
		return;
	}
	backend_record_outcome(attempt->backend,
			       failed ? BACKEND_FAILED : BACKEND_SERVED,
			       edge_now_us());
	if (attempt->longest_pause_us)
		record_pauses(attempt);
	finish(attempt);
}

/* What is no valid HTTP is no answer, but its server may have run the request.
 */
static void fail_invalid(struct call_attempt *attempt, enum http_defect defect)
{
	attempt->call->edge->counters.invalid_answers[defect]++;
	call_attempt_failed(attempt, BACKEND_BROKEN, http_defect_text(defect));
}

static void on_broken(struct http_conn *conn, enum http_conn_fault fault)
{
	struct call_attempt *attempt = conn->arg;

	if (fault == HTTP_CONN_NOT_CONNECTED)
		call_attempt_failed(attempt, BACKEND_UNREACHABLE,
				    "the server can't be reached");
	else if (fault == HTTP_CONN_MALFORMED)
		fail_invalid(attempt, conn->check.defect);
	else
		call_attempt_failed(attempt, BACKEND_BROKEN,
				    "the server broke the connection off");
}

const struct http_conn_events call_response_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = call_answer_on_ended,
	.broken = on_broken,
};
