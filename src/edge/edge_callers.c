#include "edge/edge_callers.h"

#include "edge/call.h"
#include "edge/edge.h"
#include "transport/server_conn_limits.h"

void edge_callers_init(struct edge *edge)
{
	edge->limits.framing_bytes = edge->settings->framing_bytes;
	edge->limits.discard_bytes = edge->settings->discard_bytes;
	edge->limits.stall_room_ms = edge->settings->stall_room_ms;
	connection_room_init(
		&edge->room,
		server_conn_max_descriptors(edge->settings->max_descriptors));
}

static void announce_by_room(struct edge *edge)
{
	edge->limits.crowded_idle_ms = connection_room_idle_ms(
		&edge->room, edge->conn_count, edge->limits.idle_ms);
}

void edge_callers_set_limits(struct edge *edge,
			     const struct server_limits *limits)
{
	struct server_conn *conn;

	for (conn = edge->conns; conn; conn = conn->next)
		server_conn_keep_limits(conn);
	edge->limits = *limits;
	announce_by_room(edge);
}

static void insert_first(struct edge *edge, struct server_conn *conn)
{
	conn->previous = NULL;
	conn->next = edge->conns;
	if (conn->next)
		conn->next->previous = conn;
	else
		edge->conns_last = conn;
	edge->conns = conn;
}

static void remove_conn(struct edge *edge, struct server_conn *conn)
{
	if (conn->previous)
		conn->previous->next = conn->next;
	else
		edge->conns = conn->next;
	if (conn->next)
		conn->next->previous = conn->previous;
	else
		edge->conns_last = conn->previous;
}

static void on_request(struct server_conn *conn)
{
	struct edge *edge = conn->owner;

	remove_conn(edge, conn);
	insert_first(edge, conn);
	call_start(edge, conn);
}

static bool on_refused(struct server_conn *conn, int status)
{
	return call_refuse_unread(conn->owner, conn, status);
}

static bool on_no_room(struct server_conn *conn)
{
	const struct edge *edge = conn->owner;

	return server_conn_make_room(edge->conns);
}

static void on_disconnected(struct server_conn *conn)
{
	if (conn->call)
		call_caller_disconnected(conn->call);
}

static void on_drained(struct server_conn *conn)
{
	if (conn->call)
		call_caller_drained(conn->call);
}

static void count_close(struct edge *edge, const struct server_conn *conn)
{
	edge->counters.caller_closes[conn->close_reason]++;
	if (!conn->unread_at_close)
		return;
	edge->counters.unread_closes++;
	edge_log_line(&edge->log, EDGE_LOG_NOTICE, "callers", "closed_unread",
		      "reason=%s waited_ms=%lld idle_limit_ms=%lld "
		      "connections=%u",
		      server_close_reason_name(conn->close_reason),
		      (long long)server_conn_waited_ms(conn),
		      (long long)edge->limits.idle_ms, edge->conn_count);
}

static void on_closed(struct server_conn *conn)
{
	struct edge *edge = conn->owner;

	count_close(edge, conn);
	remove_conn(edge, conn);
	edge->conn_count--;
	read_turns_forget(&edge->turns, &conn->turn);
}

static const struct server_conn_events caller_events = {
	.refused = on_refused,
	.make_room = on_no_room,
	.request = on_request,
	.disconnected = on_disconnected,
	.drained = on_drained,
	.closed = on_closed,
};

static void accept_caller(struct edge *edge)
{
	struct server_conn *conn;

	edge->accepts_left--;
	conn = server_conn_accept((uv_stream_t *)&edge->caller_listener,
				  &edge->limits, &caller_events, edge);
	if (!conn)
		return;
	conn->turns = &edge->turns;
	conn->link_bytes = &edge->link_bytes;
	conn->held = &edge->held_requests;
	insert_first(edge, conn);
	edge->conn_count++;
}

static bool may_accept(const struct edge *edge)
{
	return edge->accepts_left &&
	       connection_room_accepts(&edge->room, edge->conn_count);
}

/* A connection that is not accepted here pauses the listener. */
void edge_callers_on_connection(uv_stream_t *listener, int status)
{
	struct edge *edge = listener->data;

	if (status < 0)
		return;
	if (may_accept(edge))
		accept_caller(edge);
	else
		edge->accept_waits = true;
}

void edge_callers_begin_poll(struct edge *edge)
{
	read_turns_begin(&edge->turns, edge->load.turns,
			 (int64_t)uv_now(edge->loop) * TGW_US_PER_MS);
	edge->accepts_left = edge->load.turns;
	if (!edge->accept_waits || !edge->listening || !may_accept(edge))
		return;
	edge->accept_waits = false;
	accept_caller(edge);
}

/* @return how many are still too many */
static uint32_t close_least_recent(struct edge *edge, uint32_t surplus,
				   bool overdue)
{
	struct server_conn *conn = edge->conns_last;

	while (surplus && conn) {
		struct server_conn *more_recent = conn->previous;

		if (server_conn_is_overdue(conn) == overdue &&
		    server_conn_close_idle(conn, SERVER_CLOSE_SURPLUS))
			surplus--;
		conn = more_recent;
	}
	return surplus;
}

void edge_callers_close_surplus(struct edge *edge)
{
	uint32_t surplus =
		connection_room_surplus(&edge->room, edge->conn_count);

	announce_by_room(edge);
	surplus = close_least_recent(edge, surplus, true);
	(void)close_least_recent(edge, surplus, false);
}

void edge_callers_close_idle(struct edge *edge)
{
	struct server_conn *conn = edge->conns;

	while (conn) {
		struct server_conn *next = conn->next;

		(void)server_conn_close_idle(conn, SERVER_CLOSE_STOP);
		conn = next;
	}
}

bool edge_callers_ends_connection(struct edge *edge)
{
	return edge->stopping || host_load_ends_connection(&edge->load);
}
