#include "edge/edge.h"

#include <poll.h>
#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "edge/backend_pool.h"
#include "edge/call.h"
#include "edge/crash_check.h"
#include "edge/edge_callers.h"
#include "edge/edge_clock.h"
#include "edge/edge_followers.h"
#include "edge/edge_pages.h"
#include "transport/socket_address.h"

/* Interval of the timer that runs periodic work. */
#define TICK_MS 100
#define LISTEN_BACKLOG 511
#define MS_PER_S 1000
/* A stopping host waits this long for a moment without new connections. */
#define MAX_ACCEPT_WAIT_MS 1000
/* A stopping host exits this long before the platform would kill it. */
#define STOP_MARGIN_MS 600
/* Requests that it can't complete are answered this long before it exits. */
#define LAST_RESPONSES_MS 200
/* Limits on callers' requests before the first configuration is in force. */
#define DEFAULT_HEAD_BYTES (16 * 1024)
#define DEFAULT_BODY_BYTES (4 * 1024 * 1024)
#define DEFAULT_HEAD_MS 3000
#define DEFAULT_IDLE_MS 15000
/* A caller that accepts no byte of its response for this long is
 * disconnected. */
#define CALLER_STALL_MS 10000
/* A host's retry budget is this percentage of an even split of the retries that
 * all hosts may make together, since the load is spread unevenly over them. */
#define RETRY_UTILIZATION_PERCENT 70
#define THOUSANDTHS_PER_PERCENT 10
#define THOUSANDTHS 1000

struct retry_budget *edge_retry_budget(struct edge *edge, const char *service)
{
	const struct edge_settings *settings = edge->settings;
	int64_t in_pools = 1 + team_budget_other_hosts(edge->budgets);
	int64_t listed = (int64_t)edge_peers_count(edge);
	int64_t hosts = listed > in_pools ? listed : in_pools;
	int64_t slack = settings->retry_slack * THOUSANDTHS /
			(hosts > settings->expected_hosts
				 ? hosts
				 : settings->expected_hosts) *
			RETRY_UTILIZATION_PERCENT / 100;
	/* The credit is half of the slack and one retry, and each window
	 * refills the other half of the slack: together they bound the retries
	 * of a window that exceed the percentage. */
	struct retry_limits limits = {
		.per_attempt_thousandths = settings->retry_percent *
					   THOUSANDTHS_PER_PERCENT *
					   RETRY_UTILIZATION_PERCENT / 100,
		.refill_thousandths_per_s =
			slack / 2 / settings->retry_window_s,
		.max_thousandths = slack / 2 + THOUSANDTHS,
	};
	struct edge_service *found;

	for (found = edge->services; found; found = found->next)
		if (!strcmp(found->name, service))
			return &found->retry_budget;
	found = xcalloc(1, sizeof(*found));
	short_name_copy(found->name, service);
	retry_budget_init_limits(&found->retry_budget, &limits, edge_now_us());
	found->next = edge->services;
	edge->services = found;
	return &found->retry_budget;
}

static void on_poll_begins(uv_prepare_t *prepare)
{
	edge_callers_begin_poll(prepare->data);
}

static void stop_listening(struct edge *edge)
{
	if (!edge->listening)
		return;
	edge->listening = false;
	uv_close((uv_handle_t *)&edge->caller_listener, NULL);
}

/* Closing the listener resets connections that wait to be accepted. */
static bool has_waiting_callers(const struct edge *edge)
{
	struct pollfd listener = {.events = POLLIN};

	return !uv_fileno((const uv_handle_t *)&edge->caller_listener,
			  &listener.fd) &&
	       poll(&listener, 1, 0) > 0;
}

static void end_loop(struct edge *edge)
{
	edge_log_line(&edge->log, EDGE_LOG_STATE, "host", "stopped",
		      "open_requests=%u budgets_given_back=%d",
		      edge->call_count, edge->budgets_closed);
	uv_stop(edge->loop);
}

static int64_t stop_age_ms(const struct edge *edge)
{
	return (edge_now_us() - edge->stop_requested_us) / TGW_US_PER_MS;
}

/* @return when a stopping host exits, in milliseconds since the request */
static int64_t stop_ends_ms(const struct edge *edge)
{
	return edge->settings->stop_kill_after_s * MS_PER_S - STOP_MARGIN_MS;
}

bool edge_may_be_cut_off(const struct edge *edge, int64_t deadline_us)
{
	int64_t ends_us =
		edge->stop_requested_us +
		(stop_ends_ms(edge) - LAST_RESPONSES_MS) * TGW_US_PER_MS;

	return edge->stopping &&
	       stop_age_ms(edge) >= edge->settings->stop_notice_ms &&
	       deadline_us > ends_us;
}

/* The loop runs timers before it reads: what has arrived is read before the
 * first tick gives up, also if the loop stood still until the exit.
 * @return whether nothing waits for a response */
static bool send_last_responses(struct edge *edge)
{
	if (!edge->stop_ends) {
		edge->stop_ends = true;
		return false;
	}
	call_give_up_waiting(edge, "the host stops");
	return true;
}

/* A planned stop has three steps. First, /ready reports 503 and the host still
 * accepts requests, so that the balancer notices the stop. Then the host stops
 * listening and waits until the open requests have ended. Last, it returns the
 * unspent allotments to the ledger. It exits before the platform would kill it,
 * even if these steps are not complete. */
static void continue_stop(struct edge *edge)
{
	int64_t age_ms = stop_age_ms(edge);

	if (age_ms >= stop_ends_ms(edge) - LAST_RESPONSES_MS &&
	    send_last_responses(edge) && age_ms >= stop_ends_ms(edge)) {
		end_loop(edge);
		return;
	}
	if (age_ms < edge->settings->stop_notice_ms)
		return;
	if (edge->listening && has_waiting_callers(edge) &&
	    age_ms < edge->settings->stop_notice_ms + MAX_ACCEPT_WAIT_MS)
		return;
	stop_listening(edge);
	edge_callers_close_idle(edge);
	if (edge->call_count || edge->conn_count ||
	    crash_check_keeps_host(edge))
		return;
	team_budget_close(edge->budgets);
	if (edge->budgets_closed)
		end_loop(edge);
}

static uint32_t measure_link(struct edge *edge, int64_t now_us)
{
	const struct datagram_channel_counters *messages =
		&edge->peers.channel.counters;
	struct link_bytes bytes = edge->link_bytes;

	bytes.received_bytes += messages->bytes_received;
	bytes.sent_bytes += messages->bytes_sent;
	link_load_update(&edge->link_load, &bytes, now_us);
	return link_load_percent(&edge->link_load);
}

static void log_load_change(struct edge *edge,
			    const struct host_load_view *view)
{
	edge_log_line(
		&edge->log, EDGE_LOG_STATE, "host",
		edge->load.overloaded ? "overloaded" : "recovered",
		"loop_lag_ms=%lld longest_wait_ms=%lld waiting=%u "
		"connections=%u connections_percent=%u link_percent=%u turns=%u",
		(long long)(view->loop_lag_us / TGW_US_PER_MS),
		(long long)(view->longest_wait_us / TGW_US_PER_MS),
		edge->turns.waiting, edge->conn_count,
		view->connections_percent, view->link_percent,
		edge->load.turns);
}

static void update_own_delay(struct edge *edge,
			     const struct host_load_view *view)
{
	struct own_delay_facts facts = {
		.now_us = view->now_us,
		.link_percent = view->link_percent,
		.loop_lag_us = view->loop_lag_us,
		.longest_wait_us = view->longest_wait_us,
	};

	if (!own_delay_update(&edge->own_delay, &facts))
		return;
	edge_log_line(&edge->log, EDGE_LOG_NOTICE, "host",
		      edge->own_delay.active ? "delay_began" : "delay_ended",
		      "loop_lag_ms=%lld longest_wait_ms=%lld link_percent=%u",
		      (long long)(view->loop_lag_us / TGW_US_PER_MS),
		      (long long)(view->longest_wait_us / TGW_US_PER_MS),
		      view->link_percent);
}

static void measure_load(struct edge *edge)
{
	uint64_t now_ms = uv_now(edge->loop);
	int64_t now_us = (int64_t)now_ms * TGW_US_PER_MS;
	struct host_load_view view = {
		.now_us = now_us,
		.longest_wait_us = read_turns_longest_wait_us(&edge->turns),
		.link_percent = measure_link(edge, now_us),
		.connections_percent =
			connection_room_percent(&edge->room, edge->conn_count),
	};

	if (edge->tick_due_ms && now_ms > edge->tick_due_ms)
		view.loop_lag_us =
			(int64_t)(now_ms - edge->tick_due_ms) * TGW_US_PER_MS;
	edge->tick_due_ms = now_ms + TICK_MS;
	if (host_load_update(&edge->load, &view))
		log_load_change(edge, &view);
	update_own_delay(edge, &view);
}

static void on_tick(uv_timer_t *timer)
{
	struct edge *edge = timer->data;
	int64_t now_us = edge_now_us();

	measure_load(edge);
	edge_callers_close_surplus(edge);
	edge_followers_tick(edge);
	for (struct backend *backend = edge->backends.first; backend;
	     backend = backend->next)
		backend_pool_trim(backend, now_us);
	if (edge->stopping)
		continue_stop(edge);
}

static enum tgw_status listen_at(uv_loop_t *loop, uv_tcp_t *listener,
				 const char *text,
				 uv_connection_cb on_connection, void *owner,
				 struct tgw_error *error)
{
	union socket_address address;
	int uv_error;

	if (!socket_address_parse(text, &address))
		return tgw_error_set(error, TGW_INVALID,
				     "%s is not an address; give IP:PORT",
				     text);
	uv_tcp_init(loop, listener);
	listener->data = owner;
	uv_error = uv_tcp_bind(listener, &address.any, 0);
	if (!uv_error)
		uv_error = uv_listen((uv_stream_t *)listener, LISTEN_BACKLOG,
				     on_connection);
	if (uv_error)
		return tgw_error_set(error, TGW_UNAVAILABLE,
				     "can't listen on %s: %s; check that the "
				     "address is local and not in use",
				     text, uv_strerror(uv_error));
	return TGW_OK;
}

/* A failure is only logged: a host without a metrics page can still serve. */
static void start_metrics(struct edge *edge)
{
	struct tgw_error error;

	if (listen_at(edge->loop, &edge->metrics_listener,
		      edge->settings->metrics_address, edge_pages_on_connection,
		      edge, &error) != TGW_OK)
		edge_log_line(&edge->log, EDGE_LOG_STATE, "host", "no_metrics",
			      "reason=\"%s\"", error.message);
}

enum tgw_status edge_start(struct edge *edge, uv_loop_t *loop,
			   const struct edge_settings *settings,
			   const struct edge_sources *sources,
			   struct tgw_error *error)
{
	memset(edge, 0, sizeof(*edge));
	edge->loop = loop;
	edge->settings = settings;
	edge->sources = *sources;
	edge->limits = (struct server_limits){
		.head_bytes = DEFAULT_HEAD_BYTES,
		.body_bytes = DEFAULT_BODY_BYTES,
		.head_ms = DEFAULT_HEAD_MS,
		.idle_ms = DEFAULT_IDLE_MS,
		.stall_ms = CALLER_STALL_MS,
	};
	host_load_init(&edge->load);
	held_bytes_init(&edge->held_answers, settings->memory_mb,
			settings->answer_memory_percent, HELD_BYTES_ANSWER_MAX);
	held_bytes_init(&edge->held_requests, settings->memory_mb,
			settings->request_memory_percent, 0);
	link_load_init(&edge->link_load, settings->link_mbps);
	edge_callers_init(edge);
	uv_prepare_init(loop, &edge->poll_begins);
	edge->poll_begins.data = edge;
	uv_prepare_start(&edge->poll_begins, on_poll_begins);
	tgw_random_init(&edge->random, tgw_random_incarnation());
	edge_log_open(&edge->log, settings->log_lines_per_s);
	if (listen_at(loop, &edge->caller_listener, settings->caller_address,
		      edge_callers_on_connection, edge, error) != TGW_OK)
		return error->status;
	edge->listening = true;
	if (listen_at(loop, &edge->ready_listener, settings->ready_address,
		      edge_pages_on_connection, edge, error) != TGW_OK)
		return error->status;
	if (*settings->metrics_address)
		start_metrics(edge);
	edge_followers_start(edge);
	uv_timer_init(loop, &edge->tick);
	edge->tick.data = edge;
	uv_timer_start(&edge->tick, on_tick, TICK_MS, TICK_MS);
	edge_log_line(&edge->log, EDGE_LOG_STATE, "host", "started",
		      "host=%s domain=%s callers=%s store=%s", settings->name,
		      settings->failure_domain, settings->caller_address,
		      settings->store_address);
	return TGW_OK;
}

void edge_stop(struct edge *edge)
{
	if (edge->stopping)
		return;
	edge->stopping = true;
	edge->stop_requested_us = edge_now_us();
	edge_log_line(&edge->log, EDGE_LOG_STATE, "host", "stopping",
		      "open_requests=%u connections=%u", edge->call_count,
		      edge->conn_count);
}

static void close_handle(uv_handle_t *handle)
{
	if (handle->loop && !uv_is_closing(handle))
		uv_close(handle, NULL);
}

void edge_free(struct edge *edge)
{
	while (edge->calls)
		call_end(edge->calls);
	crash_check_cancel_all(edge);
	while (edge->conns)
		server_conn_abort(edge->conns);
	while (edge->page_conns)
		server_conn_abort(edge->page_conns);
	while (edge->backends.first)
		backend_table_remove(&edge->backends,
				     edge->backends.first->entry.id);
	close_handle((uv_handle_t *)&edge->caller_listener);
	close_handle((uv_handle_t *)&edge->ready_listener);
	close_handle((uv_handle_t *)&edge->metrics_listener);
	close_handle((uv_handle_t *)&edge->tick);
	close_handle((uv_handle_t *)&edge->poll_begins);
	close_handle((uv_handle_t *)&edge->budget_timer);
	edge_followers_free(edge);
	while (edge->services) {
		struct edge_service *service = edge->services;

		edge->services = service->next;
		free(service);
	}
}
