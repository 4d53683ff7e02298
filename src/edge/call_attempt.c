#include <assert.h>
#include <string.h>
#include <strings.h>

#include "edge/backend_pool.h"
#include "edge/call_private.h"
#include "edge/crash_check.h"

#define FIELD_RESUME "Last-Event-Id"
/* A longer request may take a server some time to read. */
#define LONG_REQUEST_BYTES ((size_t)16 * 1024)
/* Interval at which a host looks how much of it is still on its way. */
#define UPLOAD_CHECK_US (250 * TGW_US_PER_MS)

static void add_caller_fields(const struct call *call, struct buffer *head,
			      int64_t last_event_id)
{
	const struct http_head *fields = &call->caller->request.head;
	const struct call_dialect *dialect = call->edge->sources.dialect;

	for (size_t i = 0; i < fields->count; i++) {
		const char *name = http_head_name(fields, i);

		if (http_head_is_hop_by_hop(fields, name) ||
		    !dialect->forwards_field(name))
			continue;
		if (last_event_id >= 0 && !strcasecmp(name, FIELD_RESUME))
			continue;
		buffer_add_text(head, name);
		buffer_add_text(head, ": ");
		buffer_add_text(head, http_head_value(fields, i));
		buffer_add_text(head, "\r\n");
	}
}

static void add_length(const struct call *call, struct buffer *head)
{
	const struct http_head *fields = &call->caller->request.head;
	size_t size = call->body->bytes.size;

	if (size || http_head_find(fields, "Content-Length") ||
	    http_head_find(fields, "Transfer-Encoding"))
		buffer_add_format(head, "Content-Length: %zu\r\n", size);
}

static int64_t remaining_ms(const struct call *call)
{
	int64_t left_us;

	if (call->request.deadline_ms <= 0)
		return 0;
	left_us = call->arrived_us + call->request.deadline_ms * TGW_US_PER_MS -
		  edge_now_us();
	return left_us > TGW_US_PER_MS ? left_us / TGW_US_PER_MS : 1;
}

static void write_head(const struct call *call, const struct backend *backend,
		       struct buffer *head)
{
	const struct server_request *request = &call->caller->request;
	struct attempt_info info = {
		.server_id = backend->entry.whole_id,
		.team = call->team.exists ? call->team.whole_name : NULL,
		.remaining_ms = remaining_ms(call),
		.urgency = call->route.priority,
		.is_engine = call->route.is_engine,
		.last_event_id = call->last_event_id,
	};

	buffer_add_format(head, "%s %s HTTP/1.1\r\n", request->method,
			  request->target.data);
	add_caller_fields(call, head, info.last_event_id);
	call->edge->sources.dialect->write_attempt(head, &info);
	add_length(call, head);
	buffer_add_text(head, "\r\n");
}

static struct call_attempt *unused_attempt(struct call *call)
{
	for (size_t i = 0; i < CALL_OPEN_ATTEMPTS_MAX; i++)
		if (!call->attempts[i].backend)
			return &call->attempts[i];
	assert(false);
	return NULL;
}

static bool is_head_request(const struct call *call)
{
	return !strcmp(call->caller->request.method, "HEAD");
}

/* A late response on a kept connection is told by its id, and its end by the
 * request's method. */
static struct http_conn *connect_to(const struct call_attempt *attempt,
				    int64_t now_us)
{
	const struct call *call = attempt->call;
	struct backend *backend = attempt->backend;

	if (!call->request.id_hash || is_head_request(call))
		return backend_pool_open(call->edge->loop, backend);
	return backend_pool_acquire(call->edge->loop, backend,
				    call->request.id_hash, now_us);
}

void call_attempt_start(struct call *call, struct backend *backend,
			bool is_retry)
{
	struct edge *edge = call->edge;
	struct call_attempt *attempt = unused_attempt(call);
	struct buffer head = {0};
	int64_t now_us = edge_now_us();

	assert(!call->current && call->attempt_count < ATTEMPTS_MAX);
	assert(call->body);
	call->tried[call->attempt_count++] = backend->run_hash;
	call->sent_count++;
	call->current = attempt;
	call->timeout_pending = false;
	attempt->call = call;
	attempt->backend = backend;
	attempt->is_retry = is_retry;
	attempt->started_us = now_us;
	attempt->last_progress_us = now_us;
	backend_begin(backend, now_us);
	attempt->conn = connect_to(attempt, now_us);
	if (!attempt->conn) {
		call_attempt_failed(attempt, BACKEND_UNREACHABLE,
				    "the server's address can't be used");
		return;
	}
	attempt->conn->link_bytes = &edge->link_bytes;
	event_scan_init(&attempt->events);
	write_head(call, backend, &head);
	attempt->conn->ignore_body = is_head_request(call);
	http_conn_send(attempt->conn, &call_response_events, attempt, &head,
		       call->body);
	if (head.size + call->body->bytes.size > LONG_REQUEST_BYTES) {
		attempt->unsent_bytes = http_conn_unsent(attempt->conn);
		attempt->unsent_check_us = now_us + UPLOAD_CHECK_US;
	}
	buffer_free(&head);
	call_schedule(call);
}

void call_release_sent_body(struct call *call)
{
	if (call_may_repeat(call))
		return;
	held_buffer_unref(call->body);
	call->body = NULL;
}

void call_attempt_check_upload(struct call_attempt *attempt, int64_t now_us)
{
	size_t unsent_bytes;

	if (!attempt->unsent_bytes || now_us < attempt->unsent_check_us)
		return;
	unsent_bytes = http_conn_unsent(attempt->conn);
	if (unsent_bytes < attempt->unsent_bytes)
		call_attempt_progress(attempt, now_us);
	attempt->unsent_bytes = unsent_bytes;
	attempt->unsent_check_us = now_us + UPLOAD_CHECK_US;
}

static void free_connection(struct call_attempt *attempt)
{
	/* A connection whose response is complete closes itself if it can't be
	 * reused. */
	if (attempt->conn->state == HTTP_CONN_IDLE)
		backend_pool_release(attempt->backend, attempt->conn,
				     edge_now_us());
	else
		http_conn_close(attempt->conn);
}

void call_attempt_record_held(struct call_attempt *attempt)
{
	held_bytes_record(
		&attempt->call->edge->held_answers, &attempt->held_bytes,
		(int64_t)(attempt->fields.capacity + attempt->body.capacity +
			  attempt->partial.capacity));
}

void call_attempt_end(struct call_attempt *attempt)
{
	struct call *call = attempt->call;
	struct backend *backend = attempt->backend;

	if (attempt->end_check)
		connect_check_cancel(attempt->end_check);
	if (attempt->conn)
		free_connection(attempt);
	if (call->current == attempt)
		call->current = NULL;
	if (call->earlier == attempt)
		call->earlier = NULL;
	buffer_free(&attempt->fields);
	buffer_free(&attempt->body);
	buffer_free(&attempt->partial);
	call_attempt_record_held(attempt);
	memset(attempt, 0, sizeof(*attempt));
	backend_end(&call->edge->backends, backend);
}

bool call_may_have_run(const struct call *call)
{
	for (size_t i = 0; i < CALL_OPEN_ATTEMPTS_MAX; i++)
		if (call_attempt_is_sent(&call->attempts[i]))
			return true;
	return call->may_have_run;
}

void call_attempt_not_sent(const struct call_attempt *attempt)
{
	struct call *call = attempt->call;

	call->unsent_count++;
	call->sent_count--;
	if (attempt->is_retry)
		retry_budget_return(
			edge_retry_budget(call->edge, call->route.service));
}

void call_attempt_abandon(struct call_attempt *attempt)
{
	if (call_attempt_is_sent(attempt)) {
		attempt->call->may_have_run = true;
		if (attempt->conn->state == HTTP_CONN_AWAITING)
			crash_check_abandoned(attempt);
	} else {
		call_attempt_not_sent(attempt);
	}
	call_attempt_end(attempt);
}

void call_end_earlier_attempt(struct call *call)
{
	if (!call->earlier)
		return;
	call->edge->counters.failed_attempts[BACKEND_TIMED_OUT]++;
	call_attempt_abandon(call->earlier);
}
