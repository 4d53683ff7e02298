#include "edge/call.h"

#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "edge/budget_refusal.h"
#include "edge/call_log.h"
#include "edge/call_private.h"
#include "edge/edge_callers.h"
#include "state/transfer_message.h"

/* Maximum time that a request waits for an allotment while the store is
 * reachable. */
#define MAX_ALLOTMENT_WAIT_US (400 * TGW_US_PER_MS)
/* Retry-After when there is no configuration, when the route has no service,
 * and when the time of a request was up before a server ran it. */
#define RETRY_AFTER_DEFAULT_MS 500
/* Retry-After when the allotment of this host is spent and the store is
 * unreachable. */
#define RETRY_AFTER_NO_STORE_MS 600
/* Retry-After at a stopping host. Other hosts serve the request. */
#define RETRY_AFTER_STOPPING_MS 50
/* Used if neither the caller nor the route sets a timeout. */
#define DEFAULT_TIMEOUT_MS 30000

static void on_timer_closed(uv_handle_t *handle)
{
	struct call *call = handle->data;

	free(call->team.whole_name);
	free(call);
}

/* @return tokens of the events that were sent, at most what was requested */
static int64_t sent_tokens(const struct call *call)
{
	int64_t most = call->request.output_tokens;
	int64_t each = call->route.event_tokens;

	if (!each || call->events_sent > (uint64_t)(most / each))
		return each ? most : 0;
	return (int64_t)call->events_sent * each;
}

static int64_t spent_tokens(const struct call *call)
{
	if (!call->may_have_run && !call->events_sent)
		return 0;
	return call->request.input_tokens + sent_tokens(call);
}

void call_end(struct call *call)
{
	struct edge *edge = call->edge;

	if (call->ended)
		return;
	call->ended = true;
	for (size_t i = 0; i < CALL_OPEN_ATTEMPTS_MAX; i++)
		if (call->attempts[i].backend)
			call_attempt_abandon(&call->attempts[i]);
	held_buffer_unref(call->body);
	call->body = NULL;
	if (call->reserved_tokens)
		team_budget_settle(edge->budgets, call->team.name,
				   call->reserved_tokens, spent_tokens(call));
	if (call->previous)
		call->previous->next = call->next;
	else
		edge->calls = call->next;
	if (call->next)
		call->next->previous = call->previous;
	edge->call_count--;
	uv_close((uv_handle_t *)&call->timer, on_timer_closed);
}

static void send_refusal(struct edge *edge, struct server_conn *conn,
			 int status, int64_t retry_after_ms, const char *reason,
			 bool closing)
{
	struct buffer fields = {0};
	struct buffer body = {0};

	buffer_add_format(&body, "{\"error\":\"%s\"}\n", reason);
	buffer_add_text(&fields, "Content-Type: application/json\r\n");
	edge->sources.dialect->write_refusal(&fields, retry_after_ms);
	server_conn_send_head(conn, status, &fields, (int64_t)body.size,
			      closing);
	server_conn_send_body(conn, body.data, body.size);
	conn->call = NULL;
	server_conn_finish(conn);
	buffer_free(&fields);
	buffer_free(&body);
}

/* Refuses a request for which no call has been created yet. */
static void refuse_early(struct edge *edge, struct server_conn *conn,
			 const struct request_info *info, int status,
			 int64_t retry_after_ms, const char *reason)
{
	edge_log_line(&edge->log, EDGE_LOG_NOTICE, "call", "refused",
		      "request=%s team= route= status=%d reason=\"%s\" "
		      "attempts=0 may_have_run=0 events=0 retry_after_ms=%lld "
		      "age_ms=0 caller=done",
		      info->id, status, reason, (long long)retry_after_ms);
	edge->counters.refused++;
	send_refusal(edge, conn, status, retry_after_ms, reason,
		     edge_callers_ends_connection(edge));
}

bool call_refuse_unread(struct edge *edge, struct server_conn *conn, int status)
{
	const struct held_bytes *held = &edge->held_requests;
	struct request_info info;

	edge->sources.dialect->read_request(&conn->request.head, &info);
	edge_log_line(&edge->log, EDGE_LOG_NOTICE, "callers", "refused_unread",
		      "request=%s status=%d length=%lld read_bytes=%zu "
		      "waited_ms=%lld body_limit=%lld head_limit=%lld "
		      "held_by_all=%lld request_memory=%lld",
		      info.id, status, server_conn_body_length(conn),
		      conn->request.body.size,
		      (long long)server_conn_waited_ms(conn),
		      (long long)edge->limits.body_bytes,
		      (long long)edge->limits.head_bytes,
		      (long long)held->total_bytes,
		      (long long)held->limit_bytes);
	if (status != 503)
		return false;
	edge->counters.memory_refused++;
	edge->counters.refused++;
	send_refusal(edge, conn, status, RETRY_AFTER_DEFAULT_MS,
		     "the host has no room for the request's body", true);
	return true;
}

void call_refuse(struct call *call, int status, int64_t retry_after_ms,
		 const char *reason)
{
	struct server_conn *caller = call->caller;
	bool head_sent = call->head_sent;
	struct edge *edge = call->edge;

	call_log_refused(call, status, retry_after_ms, reason);
	edge->counters.refused++;
	call_end(call);
	if (!caller)
		return;
	if (head_sent) {
		edge->counters.aborted++;
		caller->call = NULL;
		server_conn_abort(caller);
		return;
	}
	send_refusal(edge, caller, status, retry_after_ms, reason,
		     edge_callers_ends_connection(edge));
}

void call_give_up(struct call *call, const char *reason)
{
	if (call_may_have_run(call))
		call_refuse(call, 504, 0, reason);
	else
		call_refuse(call, 503, RETRY_AFTER_DEFAULT_MS, reason);
}

void call_give_up_waiting(struct edge *edge, const char *reason)
{
	struct call *call = edge->calls;

	while (call) {
		struct call *next = call->next;

		if (!call->ended && call->caller && !call->head_sent)
			call_give_up(call, reason);
		call = next;
	}
}

static int64_t max_cost_tokens(const struct call *call)
{
	return call->request.input_tokens + call->request.output_tokens;
}

/* A spending cap ends by itself while the store is away. */
static int64_t retry_after_no_store_ms(const struct call *call, int64_t tokens)
{
	int64_t capped_ms = team_budget_capped_for_us(call->edge->budgets,
						      call->team.name, tokens) /
			    TGW_US_PER_MS;

	return capped_ms > RETRY_AFTER_NO_STORE_MS ? capped_ms
						   : RETRY_AFTER_NO_STORE_MS;
}

static void refuse_with_tokens_left(struct call *call, enum tgw_status status)
{
	struct team_budget_view view = {0};
	struct budget_refusal refusal;

	team_budget_get_view(call->edge->budgets, call->team.name, &view);
	if (status == TGW_DENIED)
		refusal = budget_refusal_kept(view.unsettled_cause);
	else
		refusal = budget_refusal_none_free(
			view.unsettled_cause,
			view.none_free_us ? edge_now_us() - view.none_free_us
					  : 0);
	call_refuse(call, 503, refusal.retry_after_ms, refusal.reason);
}

void call_refuse_without_tokens(struct call *call)
{
	struct budget_refusal refusal = budget_refusal_late();

	call->edge->counters.budget_refused++;
	call_refuse(call, 503, refusal.retry_after_ms, refusal.reason);
}

static void reserve_and_dispatch(struct call *call)
{
	struct edge *edge = call->edge;
	int64_t tokens = max_cost_tokens(call);
	enum tgw_status status;

	if (!call->team.exists || !tokens) {
		call_dispatch(call);
		return;
	}
	status = team_budget_reserve(edge->budgets, call->team.name, tokens,
				     call->route.rank);
	if (status != TGW_OK && status != TGW_NOT_FOUND && status != TGW_BUSY)
		call_log_not_reserved(call, tokens, status);
	switch (status) {
	case TGW_OK:
		call->waits_for_tokens = false;
		call->reserved_tokens = tokens;
		call_dispatch(call);
		return;
	case TGW_NOT_FOUND:
		call->waits_for_tokens = false;
		call_dispatch(call);
		return;
	case TGW_EXHAUSTED:
		edge->counters.budget_refused++;
		call_refuse(call, 402, 0,
			    "the team's budget can't pay the request; top up");
		return;
	case TGW_BUSY:
		if (call->waits_for_tokens)
			return;
		call->waits_for_tokens = true;
		call->tokens_deadline_us =
			edge_now_us() + MAX_ALLOTMENT_WAIT_US;
		call_schedule(call);
		return;
	case TGW_CONFLICT:
	case TGW_DENIED:
		edge->counters.budget_refused++;
		refuse_with_tokens_left(call, status);
		return;
	default:
		edge->counters.budget_refused++;
		call_refuse(call, 503, retry_after_no_store_ms(call, tokens),
			    "no allotment left here while the store is away");
		return;
	}
}

void call_retry_reservations(struct edge *edge)
{
	struct call *call = edge->calls;

	while (call) {
		struct call *next = call->next;

		if (call->waits_for_tokens)
			reserve_and_dispatch(call);
		call = next;
	}
}

/* Hosts tell each other ranks of this range only. */
static int32_t rank_of(int32_t priority)
{
	if (priority < 0)
		return 0;
	return priority < TRANSFER_RANK_MAX ? priority : TRANSFER_RANK_MAX;
}

static void copy_route(struct call *call, const struct route_set *set,
		       const struct route *route,
		       const struct route_service *service)
{
	struct call_route *copy = &call->route;

	short_name_copy(copy->name, route->name);
	short_name_copy(copy->service, service->name);
	copy->kind = route->kind;
	copy->max_attempts = route->max_attempts;
	copy->timeout_ms = route->timeout_ms;
	copy->target_latency_ms = route->target_latency_ms;
	copy->target_pause_ms = route->target_pause_ms;
	copy->priority = route->priority;
	copy->rank = rank_of(route->priority);
	copy->regions =
		route_regions_set(&route->regions, &call->edge->regions);
	copy->affinity = route->affinity;
	copy->is_engine = service->is_engine;
	copy->event_tokens = service->event_tokens;
}

static void set_team(struct call *call, const struct route_team *team)
{
	call->team.exists = true;
	call->team.whole_name = xstrdup(team->whole_name);
	short_name_copy(call->team.name, team->name);
	if (team->has_priority)
		call->route.priority = team->priority;
	call->route.regions = region_set_intersect(
		call->route.regions,
		route_regions_set(&team->regions, &call->edge->regions));
}

static int64_t total_timeout_ms(const struct call *call)
{
	int64_t allowed_ms = call->route.timeout_ms;

	if (allowed_ms <= 0)
		allowed_ms = DEFAULT_TIMEOUT_MS;
	if (call->request.deadline_ms > 0 &&
	    call->request.deadline_ms < allowed_ms)
		allowed_ms = call->request.deadline_ms;
	return allowed_ms;
}

static struct call *new_call(struct edge *edge, struct server_conn *conn)
{
	struct call *call = xcalloc(1, sizeof(*call));

	call->edge = edge;
	call->caller = conn;
	call->arrived_us = edge_now_us();
	call->last_event_id = EVENT_SCAN_NO_ID;
	call_timer_init(call);
	call->next = edge->calls;
	if (call->next)
		call->next->previous = call;
	edge->calls = call;
	edge->call_count++;
	return call;
}

static const struct route *find_route(const struct route_set *set,
				      const struct server_request *request)
{
	const char *host = http_head_find(&request->head, "Host");

	if (!host || !request->target.size)
		return NULL;
	return route_set_find(set, host, request->target.data);
}

/* @return the index of the team whose key the request has, or -1 */
static int find_team(const struct edge *edge, const struct route_set *set,
		     const struct http_head *head)
{
	const char *key = edge->sources.dialect->find_key(head);

	return key ? route_set_team_of_key(set, key) : -1;
}

static void identify(struct call *call)
{
	const struct server_request *request = &call->caller->request;
	struct request_content content = {
		.team = call->team.name,
		.method = request->method,
		.host = http_head_find(&request->head, "Host"),
		.target = request->target.data,
		.body = request->body.data,
		.body_size = request->body.size,
	};

	request_fingerprint_of(&call->identity.whole, &content);
	short_name_copy(call->identity.team, call->team.name);
	request_identity_set_parts(&call->identity, &call->request.parts,
				   call->route.service, call->request.model);
}

void call_start(struct edge *edge, struct server_conn *conn)
{
	const struct route_set *set = route_follower_set(edge->route_follower);
	const struct route *route;
	struct request_info info;
	struct call *call;
	int service;
	int team = -1;

	edge->counters.requests++;
	edge->sources.dialect->read_request(&conn->request.head, &info);
	if (!set) {
		refuse_early(edge, conn, &info, 503, RETRY_AFTER_DEFAULT_MS,
			     "no configuration is known here yet");
		return;
	}
	route = find_route(set, &conn->request);
	if (!route) {
		refuse_early(edge, conn, &info, 404, 0, "no route leads there");
		return;
	}
	if (set->needs_keys && !route->is_public) {
		team = find_team(edge, set, &conn->request.head);
		if (team < 0) {
			refuse_early(edge, conn, &info, 401, 0,
				     "the API key is not known");
			return;
		}
		if (!set->teams[team].whole_name) {
			refuse_early(edge, conn, &info, 503,
				     RETRY_AFTER_DEFAULT_MS,
				     "the key's team has no name that servers "
				     "can be told");
			return;
		}
	}
	service = route_choose_service(route, tgw_random_u64(&edge->random));
	if (service < 0) {
		refuse_early(edge, conn, &info, 503, RETRY_AFTER_DEFAULT_MS,
			     "the route leads to no service");
		return;
	}
	call = new_call(edge, conn);
	conn->call = call;
	call->request = info;
	copy_route(call, set, route, &set->services[service]);
	if (team >= 0)
		set_team(call, &set->teams[team]);
	identify(call);
	call->body = server_conn_take_body(conn);
	call->deadline_us =
		call->arrived_us + total_timeout_ms(call) * TGW_US_PER_MS;
	if (edge_may_be_cut_off(edge, call->deadline_us)) {
		call_refuse(call, 503, RETRY_AFTER_STOPPING_MS,
			    "the host stops before the request has to end");
		return;
	}
	retry_budget_on_first_attempt(
		edge_retry_budget(edge, call->route.service));
	team_budget_record_demand(edge->budgets, call->team.name,
				  max_cost_tokens(call), call->route.rank);
	reserve_and_dispatch(call);
}

/* Reads on from a server that was paused for a slow caller. */
static void resume_reading(struct call *call)
{
	struct call_attempt *attempt = call->current;

	if (!attempt || !attempt->paused)
		return;
	attempt->paused = false;
	attempt->last_progress_us = edge_now_us();
	http_conn_resume(attempt->conn);
	call_schedule(call);
}

void call_caller_disconnected(struct call *call)
{
	call_log_caller_left(call);
	call->caller->call = NULL;
	call->caller = NULL;
	call->edge->counters.caller_left++;
	/* A request that must not be repeated is completed once it was sent:
	 * its effect matters even though nobody receives the response. */
	if (call->route.kind == ROUTE_UNSAFE &&
	    call_attempt_is_sent(call->current))
		resume_reading(call);
	else
		call_end(call);
}

void call_caller_drained(struct call *call)
{
	resume_reading(call);
}
