#include <assert.h>
#include <string.h>
#include <strings.h>

#include "edge/backend_pool.h"
#include "edge/call_log.h"
#include "edge/call_private.h"
#include "edge/crash_check.h"
#include "edge/server_signals.h"
#include "state/placement.h"

/* Retry-After when the service has no server, and when its servers are full or
 * rejected the request. */
#define RETRY_AFTER_NO_SERVER_MS 400
#define RETRY_AFTER_FULL_MS 80
/* Retry-After of a quarantined request, which is refused for an hour after its
 * last crash. */
#define RETRY_AFTER_QUARANTINE_MS 60000
/* No retry is made with less time than this remaining, since a server could
 * hardly complete it. */
#define MIN_ATTEMPT_US (30 * TGW_US_PER_MS)

#define FIELD_RESUME "Last-Event-Id"

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

static void add_length(const struct server_request *request,
		       struct buffer *head)
{
	if (request->body.size ||
	    http_head_find(&request->head, "Content-Length") ||
	    http_head_find(&request->head, "Transfer-Encoding"))
		buffer_add_format(head, "Content-Length: %zu\r\n",
				  request->body.size);
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

static void write_head(const struct call *call, struct buffer *head)
{
	const struct server_request *request = &call->caller->request;
	struct attempt_info info = {
		.server_id = call->backend->entry.id,
		.team = *call->team ? call->team : NULL,
		.remaining_ms = remaining_ms(call),
		.urgency = call->route.priority,
		.is_engine = call->route.is_engine,
		.last_event_id = call->events_sent ? call->events.last_id
						   : EVENT_SCAN_NO_ID,
	};

	buffer_add_format(head, "%s %s HTTP/1.1\r\n", request->method,
			  request->target.data);
	add_caller_fields(call, head, info.last_event_id);
	call->edge->sources.dialect->write_attempt(head, &info);
	add_length(request, head);
	buffer_add_text(head, "\r\n");
}

static void send_attempt(struct call *call)
{
	struct edge *edge = call->edge;
	struct buffer head = {0};
	int64_t now_us = edge_now_us();

	assert(call->attempt_count < CALL_ATTEMPTS_MAX);
	call->tried[call->attempt_count++] = call->backend;
	call->conn = backend_pool_acquire(edge->loop, call->backend, now_us);
	if (!call->conn) {
		call_attempt_failed(call, BACKEND_UNREACHABLE,
				    "the server's address can't be used");
		return;
	}
	backend_begin(call->backend, now_us);
	call->sent_count++;
	call->attempt_started_us = now_us;
	call->last_received_us = now_us;
	call->forwarding = false;
	buffer_clear(&call->body);
	write_head(call, &head);
	call->conn->ignore_body = !strcmp(call->caller->request.method, "HEAD");
	http_conn_send(call->conn, &call_response_events, call, &head,
		       &call->caller->request.body);
	buffer_free(&head);
	call_schedule(call);
}

static int64_t retry_after_full_ms(const struct call *call)
{
	return server_signals_retry_after_ms(call->edge, call->route.service,
					     RETRY_AFTER_FULL_MS);
}

static void refuse_without_server(struct call *call,
				  enum placement_result result)
{
	call->not_repeated = "no_server";
	if (call->head_sent || call->may_have_run)
		call_refuse(call, 502, 0, "no server is left to go on at");
	else if (result == PLACEMENT_ALL_FULL)
		call_refuse(call, 503, retry_after_full_ms(call),
			    "all servers are full");
	else if (result == PLACEMENT_ALL_TRIED)
		call_refuse(call, 503, retry_after_full_ms(call),
			    "no server took the request");
	else
		call_refuse(call, 503, RETRY_AFTER_NO_SERVER_MS,
			    "the service has no server");
}

static void refuse_quarantined(struct call *call)
{
	const char *reason = "backend servers crashed while they ran "
			     "this request; change it, or send it again "
			     "later";

	call->edge->counters.quarantine_refused++;
	if (call->may_have_run)
		call_refuse(call, 502, 0, reason);
	else
		call_refuse(call, 503, RETRY_AFTER_QUARANTINE_MS, reason);
}

void call_dispatch(struct call *call)
{
	struct edge *edge = call->edge;
	struct placement_request request = {
		.service = call->route.service,
		.failure_domain = edge->settings->failure_domain,
		.affinity = call->route.affinity
				    ? call->request.shared_prefix_hash
				    : 0,
		.prompt_tokens = call->request.input_tokens,
		.draw = tgw_random_u64(&edge->random),
		.tried = call->tried,
		.tried_count = call->attempt_count,
		.now_us = edge_now_us(),
	};
	enum placement_result result;

	if (request.now_us >= call->deadline_us) {
		call_give_up(call, "the time of the request is up");
		return;
	}
	if (request_quarantine_is_refused(edge->quarantine,
					  &call->fingerprint)) {
		refuse_quarantined(call);
		return;
	}
	if (call->attempt_count == CALL_ATTEMPTS_MAX) {
		refuse_without_server(call, PLACEMENT_ALL_TRIED);
		return;
	}
	result = placement_choose(&edge->backends, &request, &call->backend);
	if (result != PLACEMENT_FOUND) {
		refuse_without_server(call, result);
		return;
	}
	send_attempt(call);
}

void call_abandon_attempt(struct call *call)
{
	struct backend *backend = call->backend;

	if (call->conn) {
		/* A connection whose response is complete closes itself if it
		 * can't be reused. */
		if (call->conn->state == HTTP_CONN_IDLE)
			backend_pool_release(backend, call->conn,
					     edge_now_us());
		else
			http_conn_close(call->conn);
		call->conn = NULL;
		backend_end(&call->edge->backends, backend);
	}
	call->backend = NULL;
	call->backend_paused = false;
}

/* A server broke the request off, and another one has crashed while it ran it.
 * The host does not repeat it by itself then; its caller may. */
static bool may_crash_servers(const struct call *call,
			      enum backend_outcome outcome)
{
	return outcome == BACKEND_BROKEN &&
	       request_quarantine_crashes(call->edge->quarantine,
					  &call->fingerprint);
}

/* Checks whether a request that some server received may be sent again. If so,
 * spends one retry of the service's retry budget. */
static bool may_send_again(struct call *call)
{
	struct edge *edge = call->edge;
	int64_t now_us = edge_now_us();

	if (!call->caller)
		call->not_repeated = "caller_left";
	else if (call->sent_count >= call->route.max_attempts)
		call->not_repeated = "attempts";
	else if (call->deadline_us - now_us < MIN_ATTEMPT_US)
		call->not_repeated = "time";
	else if (!retry_budget_spend(
			 edge_retry_budget(edge, call->route.service), now_us))
		call->not_repeated = "retry_budget";
	else
		call->not_repeated = NULL;
	if (call->not_repeated)
		return false;
	edge->counters.retries++;
	return true;
}

/* Checks whether a failed attempt may be followed by another. */
static bool may_follow_up(struct call *call, enum backend_outcome outcome,
			  bool may_have_run)
{
	if (may_have_run && !call_may_repeat(call)) {
		call->not_repeated = "kind";
		return false;
	}
	if (may_crash_servers(call, outcome)) {
		call->not_repeated = "crashes";
		return false;
	}
	return may_send_again(call);
}

void call_attempt_failed(struct call *call, enum backend_outcome outcome,
			 const char *reason)
{
	bool sent = call->conn && call->conn->sent;
	bool may_have_run = sent && outcome != BACKEND_REJECTED &&
			    outcome != BACKEND_ADDRESS_REUSED;

	call_log_attempt_failed(call, reason);
	call->edge->counters.failed_attempts[outcome]++;
	backend_record_outcome(call->backend, outcome, edge_now_us());
	if (outcome == BACKEND_ADDRESS_REUSED)
		backend_table_mark_address_reused(&call->edge->backends,
						  call->backend);
	if (may_have_run)
		call->may_have_run = true;
	else if (outcome != BACKEND_REJECTED && call->sent_count)
		call->sent_count--;
	if (outcome == BACKEND_UNREACHABLE)
		request_quarantine_on_server_lost(call->edge->quarantine);
	if (may_have_run && outcome == BACKEND_BROKEN)
		crash_check_request(call);
	call_abandon_attempt(call);
	event_scan_discard_partial(&call->events);
	buffer_clear(&call->partial);
	if (!call->caller) {
		call_end(call);
		return;
	}
	if (!sent) {
		call_dispatch(call);
		return;
	}
	if (may_follow_up(call, outcome, may_have_run)) {
		if (call->events_sent)
			call->edge->counters.resumed++;
		call_dispatch(call);
		return;
	}
	if (call->may_have_run)
		call_refuse(call, 502, 0, reason);
	else
		call_refuse(call, 503, retry_after_full_ms(call), reason);
}

bool call_retry_server_error(struct call *call)
{
	if (!call_may_repeat(call) || !may_send_again(call))
		return false;
	call_log_attempt_failed(call, "the server failed the request");
	call->edge->counters.failed_attempts[BACKEND_FAILED]++;
	backend_record_outcome(call->backend, BACKEND_FAILED, edge_now_us());
	call->may_have_run = true;
	call_abandon_attempt(call);
	call_dispatch(call);
	return true;
}
