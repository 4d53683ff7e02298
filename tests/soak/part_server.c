#include "soak/part_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/loop_listener.h"
#include "soak/soak.h"
#include "transport/server_conn.h"

#define SLOTS 64
#define HEARTBEAT_MS 1200
/* Until the lease of a crashed server runs out, and until it is back. */
#define LEASE_MS 2500
#define BACK_MIN_MS 3200
#define BACK_SPREAD_MS 1200
/* One entry in this many is not written again when a warm-up ends. */
#define OLD_ENTRY_SHARE 4
#define WORK_MIN_MS 20
#define WORK_SPREAD_MS 200
#define EVENT_MS 30
#define EVENTS_MIN 2
#define EVENTS_SPREAD 40

/* One request that the server runs. */
struct part_run {
	struct part_server *server;
	struct server_conn *conn;
	unsigned int number;
	bool crashes;
	bool is_stream;
	int next_event; /* -1: the head */
	int event_count;
	uv_timer_t timer;
	struct part_run *next;
};

struct part_server {
	struct soak *soak;
	const struct part_server_events *events;
	struct part_server_options options;
	int64_t warm_us; /* end of the warm-up */
	enum part_crash crash;
	char id[32];
	char address[32];
	int sequence;
	int64_t born_ms;
	uv_tcp_t *listener; /* NULL after a crash */
	uv_timer_t heartbeat;
	uv_timer_t lease;
	uv_timer_t back;
	struct part_run *runs;
	struct server_conn *conns;
};

static unsigned int server_count;

static const struct server_limits limits = {
	.head_bytes = 64 * 1024,
	.body_bytes = 4 * 1024 * 1024,
	.head_ms = 60000,
	.idle_ms = 60000,
	.stall_ms = 60000,
};

static unsigned int below(const struct part_server *server, unsigned int bound)
{
	return (unsigned int)tgw_random_below(&server->soak->random, bound);
}

static void on_run_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void end_run(struct part_run *run)
{
	struct part_run **at = &run->server->runs;

	while (*at != run)
		at = &(*at)->next;
	*at = run->next;
	uv_close((uv_handle_t *)&run->timer, on_run_closed);
}

static void on_listener_closed(uv_handle_t *handle)
{
	free(handle);
}

static void remove_entry(uv_timer_t *timer)
{
	struct part_server *server = timer->data;
	char *key = xasprintf("servers/%s", server->id);

	kv_standin_put(&server->soak->store, key, NULL);
	free(key);
}

static void on_back(uv_timer_t *timer);

/* @param last connection that has closed by itself, or NULL */
static void crash_except(struct part_server *server, struct server_conn *last)
{
	struct server_conn *next;

	if (!server->listener)
		return;
	uv_timer_stop(&server->heartbeat);
	uv_close((uv_handle_t *)server->listener, on_listener_closed);
	server->listener = NULL;
	if (server->events->running)
		server->events->running(server, false);
	for (struct server_conn *conn = server->conns; conn; conn = next) {
		next = conn->next;
		if (conn != last)
			server_conn_abort(conn);
	}
	uv_timer_start(&server->lease, remove_entry, LEASE_MS, 0);
	uv_timer_start(&server->back, on_back,
		       BACK_MIN_MS + below(server, BACK_SPREAD_MS), 0);
}

void part_server_crash(struct part_server *server)
{
	crash_except(server, NULL);
}

static int remaining_ms(const struct part_server *server)
{
	int64_t remaining_us = server->warm_us - soak_now_us();

	return remaining_us > 0 ? (int)(remaining_us / SOAK_US_PER_MS) : 0;
}

static void add_head(const struct part_run *run, const char *more,
		     struct buffer *bytes)
{
	char warmup[48] = "";

	if (run->server->options.warmup_ms)
		snprintf(warmup, sizeof(warmup), "Tamarackgw-Cold-Ms: %d\r\n",
			 remaining_ms(run->server));
	buffer_add_format(bytes,
			  "HTTP/1.1 200 OK\r\n"
			  "Tamarackgw-Request-Id: p%u\r\n"
			  "Tamarackgw-Response-Stamp: by-%s\r\n"
			  "Tamarackgw-Server-Load: 1,0,%d\r\n%s%s\r\n",
			  run->number, run->server->id, SLOTS, warmup, more);
}

static void add_event(int number, bool chunked, struct buffer *bytes)
{
	char event[64];
	int size = snprintf(event, sizeof(event), "id: %d\ndata: part\n\n",
			    number);

	if (chunked)
		buffer_add_format(bytes, "%x\r\n%s\r\n", size, event);
	else
		buffer_add(bytes, event, (size_t)size);
}

static void send_bytes(struct part_run *run, struct buffer *bytes)
{
	run->conn->chunked = false;
	server_conn_send_body(run->conn, bytes->data, bytes->size);
	buffer_free(bytes);
}

static void crash_by_request(struct part_run *run)
{
	struct part_server *server = run->server;
	struct server_conn *conn = run->conn;
	enum part_crash at = server->crash;
	bool clean = at == PART_CRASH_AT_END;
	struct buffer bytes = {0};

	if (at != PART_CRASH_BEFORE_HEAD)
		add_head(run,
			 clean ? "Content-Type: text/event-stream\r\n"
			       : "Content-Type: text/event-stream\r\n"
				 "Transfer-Encoding: chunked\r\n",
			 &bytes);
	if (at == PART_CRASH_AFTER_EVENT || clean)
		add_event(0, !clean, &bytes);
	if (bytes.size)
		send_bytes(run, &bytes);
	server->events->begun(run->number, true);
	end_run(run);
	crash_except(server, clean ? conn : NULL);
	if (!clean)
		return;
	conn->keep_alive = false;
	server_conn_finish(conn);
}

static void finish(struct part_run *run)
{
	struct server_conn *conn = run->conn;

	end_run(run);
	server_conn_finish(conn);
}

static void on_timer(uv_timer_t *timer)
{
	struct part_run *run = timer->data;
	struct buffer bytes = {0};

	if (run->crashes) {
		crash_by_request(run);
		return;
	}
	if (run->next_event < 0) {
		run->server->events->begun(run->number, false);
		add_head(run,
			 run->is_stream ? "Content-Type: text/event-stream\r\n"
					  "Transfer-Encoding: chunked\r\n"
					: "Content-Length: 4\r\n",
			 &bytes);
	}
	if (!run->is_stream)
		buffer_add_text(&bytes, "done");
	else if (run->next_event == run->event_count)
		buffer_add_text(&bytes, "0\r\n\r\n");
	else if (run->next_event >= 0)
		add_event(run->next_event, true, &bytes);
	send_bytes(run, &bytes);
	if (!run->is_stream || run->next_event++ == run->event_count)
		finish(run);
	else
		uv_timer_start(timer, on_timer, EVENT_MS, 0);
}

static void reject(struct server_conn *conn, int status)
{
	struct buffer fields = {0};

	buffer_add_format(&fields,
			  "Tamarackgw-Request-Id: %s\r\n"
			  "Tamarackgw-Not-Executed: 1\r\n",
			  http_head_find(&conn->request.head,
					 "Tamarackgw-Request-Id"));
	server_conn_send_head(conn, status, &fields, 0, false);
	server_conn_finish(conn);
	buffer_free(&fields);
}

static void on_request(struct server_conn *conn)
{
	struct part_server *server = conn->owner;
	const struct http_head *head = &conn->request.head;
	const char *expected =
		http_head_find(head, "Tamarackgw-Expect-Instance");
	const char *id = http_head_find(head, "Tamarackgw-Request-Id");
	const char *last = http_head_find(head, "Last-Event-Id");
	struct part_run *run;

	if (!id || (expected && strcmp(expected, server->id))) {
		reject(conn, 421);
		return;
	}
	run = xcalloc(1, sizeof(*run));
	run->server = server;
	run->conn = conn;
	run->number = (unsigned int)strtoul(id + 1, NULL, 10);
	run->crashes = server->events->arrived(server, run->number);
	run->is_stream = !strncmp(conn->request.target.data, "/stream/", 8) ||
			 !strncmp(conn->request.target.data, "/resume/", 8);
	run->next_event = -1;
	run->event_count = EVENTS_MIN + (int)below(server, EVENTS_SPREAD);
	if (last)
		run->event_count += (int)strtol(last, NULL, 10);
	run->next = server->runs;
	server->runs = run;
	uv_timer_init(&server->soak->loop, &run->timer);
	run->timer.data = run;
	uv_timer_start(&run->timer, on_timer,
		       WORK_MIN_MS + below(server, WORK_SPREAD_MS), 0);
}

static void ignore(struct server_conn *conn)
{
}

static void on_conn_closed(struct server_conn *conn)
{
	struct part_server *server = conn->owner;
	struct part_run *next;

	for (struct part_run *run = server->runs; run; run = next) {
		next = run->next;
		if (run->conn == conn)
			end_run(run);
	}
	if (conn->previous)
		conn->previous->next = conn->next;
	else
		server->conns = conn->next;
	if (conn->next)
		conn->next->previous = conn->previous;
}

static const struct server_conn_events conn_events = {
	.request = on_request,
	.disconnected = ignore,
	.drained = ignore,
	.closed = on_conn_closed,
};

static void on_connection(uv_stream_t *listener, int status)
{
	struct part_server *server = listener->data;
	struct server_conn *conn;

	if (status < 0)
		return;
	conn = server_conn_accept(listener, &limits, &conn_events, server);
	if (!conn)
		return;
	conn->next = server->conns;
	if (conn->next)
		conn->next->previous = conn;
	server->conns = conn;
}

static void write_entry(uv_timer_t *timer)
{
	struct part_server *server = timer->data;
	char *key = xasprintf("servers/%s", server->id);
	struct buffer text = {0};

	buffer_add_format(
		&text,
		"{\"service\":\"app\",\"address\":\"%s\",\"zone\":\"%s\","
		"\"slots\":%d,\"state\":\"ready\",\"sequence\":%d,"
		"\"born\":%lld",
		server->address, server->options.failure_domain, SLOTS,
		++server->sequence, (long long)server->born_ms);
	if (server->options.warmup_ms)
		buffer_add_format(&text, ",\"coldRemainingMs\":%d",
				  remaining_ms(server));
	buffer_add_text(&text, "}");
	kv_standin_put(&server->soak->store, key, text.data);
	if (remaining_ms(server) && below(server, OLD_ENTRY_SHARE))
		uv_timer_start(timer, write_entry,
			       (uint64_t)remaining_ms(server) + 1, 0);
	free(key);
	buffer_free(&text);
}

static void begin(struct part_server *server)
{
	server->born_ms = 1000 + soak_now_us() / SOAK_US_PER_MS;
	snprintf(server->id, sizeof(server->id), "server-%u", server_count++);
	*server->address = '\0';
	server->listener = xcalloc(1, sizeof(*server->listener));
	loop_listener_start(server->listener, &server->soak->loop,
			    on_connection, server, server->address,
			    sizeof(server->address));
	server->warm_us =
		soak_now_us() + server->options.warmup_ms * SOAK_US_PER_MS;
	if (server->events->running)
		server->events->running(server, true);
	uv_timer_start(&server->heartbeat, write_entry, 0,
		       server->options.warmup_ms ? 0 : HEARTBEAT_MS);
}

static void on_back(uv_timer_t *timer)
{
	begin(timer->data);
}

struct part_server *part_server_start(struct soak *soak,
				      const struct part_server_events *events,
				      const struct part_server_options *options)
{
	struct part_server *server = xcalloc(1, sizeof(*server));
	uv_timer_t *const timers[] = {&server->heartbeat, &server->lease,
				      &server->back};

	server->soak = soak;
	server->events = events;
	server->options = *options;
	for (size_t i = 0; i < sizeof(timers) / sizeof(timers[0]); i++) {
		uv_timer_init(&soak->loop, timers[i]);
		timers[i]->data = server;
	}
	begin(server);
	return server;
}

void part_server_set_crash(struct part_server *server, enum part_crash crash)
{
	server->crash = crash;
}

void part_server_slow(struct part_server *server, int duration_ms)
{
	if (!server->listener)
		return;
	server->warm_us = soak_now_us() + duration_ms * SOAK_US_PER_MS;
	write_entry(&server->heartbeat);
}

const char *part_server_id(const struct part_server *server)
{
	return server->id;
}
