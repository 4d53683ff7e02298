#include <string.h>

#include "edge/backend_pool.h"
#include "edge/call_log.h"
#include "edge/call_private.h"
#include "edge/server_signals.h"

/* A larger response is forwarded as it arrives, which rules out a retry. */
#define MAX_BUFFERED_BYTES (256 * 1024)

static void copy_fields(struct call *call, const struct http_head *head)
{
	buffer_clear(&call->fields);
	for (size_t i = 0; i < head->count; i++) {
		const char *name = http_head_name(head, i);

		if (http_head_is_hop_by_hop(head, name))
			continue;
		buffer_add_text(&call->fields, name);
		buffer_add_text(&call->fields, ": ");
		buffer_add_text(&call->fields, http_head_value(head, i));
		buffer_add_text(&call->fields, "\r\n");
	}
}

static void begin_forwarding(struct call *call)
{
	call->forwarding = true;
	if (call->head_sent || !call->caller)
		return;
	call->head_sent = true;
	server_conn_send_head(call->caller, call->status, &call->fields,
			      SERVER_LENGTH_UNKNOWN, call->edge->stopping);
}

static bool is_success(int status)
{
	return status >= 200 && status < 300;
}

static enum http_conn_verdict on_head(struct http_conn *conn)
{
	struct call *call = conn->arg;
	struct edge *edge = call->edge;

	edge->sources.dialect->read_response(&conn->head, conn->status,
					     call->request.id, &call->response);
	if (call->response.other_request)
		return HTTP_CONN_DISCARD;
	call->status = conn->status;
	call->last_received_us = edge_now_us();
	if (!call->first_byte_us)
		call->first_byte_us = call->last_received_us;
	if (call->response.has_load)
		backend_report(call->backend, &call->response.load,
			       call->last_received_us);
	server_signals_on_answer(edge, call->backend, &call->response,
				 call->last_received_us);
	if (is_success(conn->status) && !call->response.has_signature) {
		call_attempt_failed(call, BACKEND_BROKEN,
				    "the answer bears no signature");
		return HTTP_CONN_ACCEPT;
	}
	/* A resumed stream keeps the head of its first response. */
	if (!call->head_sent)
		copy_fields(call, &conn->head);
	if (is_success(conn->status) && call_is_stream(call))
		begin_forwarding(call);
	return HTTP_CONN_ACCEPT;
}

static void forward_body(struct call *call, const char *data, size_t size)
{
	if (!call->caller || !size)
		return;
	if (server_conn_send_body(call->caller, data, size) ||
	    call->backend_paused)
		return;
	call->backend_paused = true;
	http_conn_pause(call->conn);
}

/* Forwards only complete events of a resumable stream, so that another server
 * can resume it after the last one. */
static void forward_events(struct call *call, const char *data, size_t size)
{
	uint64_t before = call->events.events;
	size_t complete = event_scan_feed(&call->events, data, size);

	call->events_sent += call->events.events - before;
	if (call->route.kind != ROUTE_RESUMABLE) {
		forward_body(call, data, size);
		return;
	}
	if (complete && call->partial.size) {
		buffer_add(&call->partial, data, complete);
		forward_body(call, call->partial.data, call->partial.size);
		buffer_clear(&call->partial);
	} else if (complete) {
		forward_body(call, data, complete);
	}
	buffer_add(&call->partial, data + complete, size - complete);
}

static void on_body(struct http_conn *conn, const char *data, size_t size)
{
	struct call *call = conn->arg;

	call->last_received_us = edge_now_us();
	if (call->forwarding && call_is_stream(call)) {
		forward_events(call, data, size);
		return;
	}
	if (!call->forwarding && call->body.size + size <= MAX_BUFFERED_BYTES) {
		buffer_add(&call->body, data, size);
		return;
	}
	begin_forwarding(call);
	forward_body(call, call->body.data, call->body.size);
	buffer_clear(&call->body);
	forward_body(call, data, size);
}

static void release_conn(struct call *call)
{
	struct http_conn *conn = call->conn;
	struct backend *backend = call->backend;

	backend_pool_release(backend, conn, edge_now_us());
	call->conn = NULL;
	call->backend = NULL;
	backend_end(&call->edge->backends, backend);
}

static void record_response(struct call *call)
{
	struct edge *edge = call->edge;
	int64_t first_us = call->first_byte_us - call->arrived_us;
	int64_t total_us = edge_now_us() - call->arrived_us;

	edge->counters.answered++;
	latency_buckets_add(&edge->first_byte_latency, first_us);
	latency_buckets_add(&edge->total_latency, total_us);
	call_log_answered(call, first_us, total_us);
}

static void finish(struct call *call)
{
	struct server_conn *caller = call->caller;
	struct edge *edge = call->edge;

	call->may_have_run = true;
	if (is_success(call->status))
		request_quarantine_on_served(edge->quarantine,
					     &call->fingerprint);
	record_response(call);
	release_conn(call);
	if (caller && !call->head_sent) {
		server_conn_send_head(caller, call->status, &call->fields,
				      (int64_t)call->body.size, edge->stopping);
		server_conn_send_body(caller, call->body.data, call->body.size);
	}
	call_end(call);
	if (!caller)
		return;
	caller->call = NULL;
	server_conn_finish(caller);
}

/* A stream that ends within an event is truncated, although the HTTP
 * response is complete. */
static bool ends_within_event(const struct call *call)
{
	return call->forwarding && call_is_stream(call) &&
	       call->events.in_event;
}

static void on_complete(struct http_conn *conn)
{
	struct call *call = conn->arg;
	bool failed = call->status >= 500;

	if (call->response.misdirected) {
		call_attempt_failed(call, BACKEND_ADDRESS_REUSED,
				    "another server has the address");
		return;
	}
	if (call->response.not_run) {
		call_attempt_failed(call, BACKEND_REJECTED,
				    "the server did not take the request");
		return;
	}
	if (ends_within_event(call)) {
		call_attempt_failed(call, BACKEND_BROKEN,
				    "the stream ended within an event");
		return;
	}
	if (failed && call_retry_server_error(call))
		return;
	if (call->head_sent && !is_success(call->status)) {
		call_attempt_failed(call, BACKEND_FAILED,
				    "the server refused to go on");
		return;
	}
	backend_record_outcome(call->backend,
			       failed ? BACKEND_FAILED : BACKEND_SERVED,
			       edge_now_us());
	finish(call);
}

static void on_broken(struct http_conn *conn, enum http_conn_fault fault)
{
	struct call *call = conn->arg;

	if (fault == HTTP_CONN_NOT_CONNECTED)
		call_attempt_failed(call, BACKEND_UNREACHABLE,
				    "the server can't be reached");
	else if (fault == HTTP_CONN_MALFORMED)
		call_attempt_failed(call, BACKEND_BROKEN,
				    "the answer can't be read");
	else
		call_attempt_failed(call, BACKEND_BROKEN,
				    "the server broke the connection off");
}

const struct http_conn_events call_response_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.broken = on_broken,
};
