#include "soak/lost_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/loop_listener.h"
#include "soak/lost_listener.h"
#include "soak/soak.h"
#include "soak/soak_checks.h"
#include "soak/soak_server.h"
#include "transport/server_conn.h"

#define SLOTS 64
#define HEARTBEAT_MS 1200
#define WORK_MIN_MS 2
#define WORK_SPREAD_MS 60
#define EVENT_MIN_MS 5
#define EVENT_SPREAD_MS 55
#define PAUSE_MIN_MS 500
#define PAUSE_SPREAD_MS 1500
#define LONG_PAUSE_SPREAD_MS 2000
/* One pause in this many is longer than the usual ones. */
#define LONG_PAUSE_EVERY 10
#define PIECES_MAX 48
/* Between two silences of a whole server, which would be one otherwise. */
#define RECOVER_US (1 * SOAK_US_PER_S)

enum pause_point {
	BEFORE_HEAD,
	IN_HEAD,
	BEFORE_BODY,
	BETWEEN_EVENTS,
	IN_EVENT,
	BEFORE_LAST_BYTE,
	PAUSE_POINTS,
};

static const char *const pause_names[PAUSE_POINTS] = {
	[BEFORE_HEAD] = "before the head",
	[IN_HEAD] = "within the head",
	[BEFORE_BODY] = "before the body",
	[BETWEEN_EVENTS] = "between events",
	[IN_EVENT] = "within an event",
	[BEFORE_LAST_BYTE] = "before the last byte",
};

struct lost_server {
	/* The base that checks of requests take. */
	struct soak_server base;
	const char *service;
	unsigned int pause_percent;
	struct lost_listener listener;
	struct lost_run *runs;
};

/* A response, and in which pieces it is written. */
struct lost_run {
	struct lost_server *server;
	struct server_conn *conn;
	struct soak_request *request;
	uv_timer_t timer;
	struct buffer bytes;
	size_t head_bytes;
	size_t ends[PIECES_MAX];
	size_t piece_count;
	size_t pause_at; /* offset of the silence, SIZE_MAX once it is over */
	unsigned int pause_ms;
	unsigned int event_ms; /* between two events */
	size_t sent;
	struct lost_run *next;
};

static const struct server_limits limits = {
	.head_bytes = 64 * 1024,
	.body_bytes = 4 * 1024 * 1024,
	.head_ms = 60000,
	.idle_ms = 60000,
	.stall_ms = 60000,
};

static void on_run_closed(uv_handle_t *handle)
{
	struct lost_run *run = handle->data;

	buffer_free(&run->bytes);
	free(run);
}

static void end_run(struct lost_run *run)
{
	struct lost_run **at = &run->server->runs;

	while (*at != run)
		at = &(*at)->next;
	*at = run->next;
	uv_close((uv_handle_t *)&run->timer, on_run_closed);
}

static void on_timer(uv_timer_t *timer);

static void schedule(struct lost_run *run, unsigned int delay_ms)
{
	uv_timer_start(&run->timer, on_timer, delay_ms, 0);
}

/* @return the offset at which to stop writing this time */
static size_t next_end(const struct lost_run *run)
{
	size_t end = run->bytes.size;

	for (size_t i = 0; i < run->piece_count; i++) {
		if (run->ends[i] > run->sent) {
			end = run->ends[i];
			break;
		}
	}
	return run->pause_at > run->sent && run->pause_at < end ? run->pause_at
								: end;
}

static void finish(struct lost_run *run)
{
	struct server_conn *conn = run->conn;

	run->request->answered_us = soak_now_us();
	end_run(run);
	server_conn_finish(conn);
}

static void on_timer(uv_timer_t *timer)
{
	struct lost_run *run = timer->data;
	int64_t wait_us = lost_listener_pause_left_us(&run->server->listener);
	size_t end;

	if (wait_us > 0) {
		schedule(run, (unsigned int)(wait_us / SOAK_US_PER_MS) + 1);
		return;
	}
	if (run->sent == run->pause_at) {
		run->pause_at = SIZE_MAX;
		schedule(run, run->pause_ms);
		return;
	}
	end = next_end(run);
	server_conn_send_body(run->conn, run->bytes.data + run->sent,
			      end - run->sent);
	run->sent = end;
	run->request->answer_sent = end;
	if (run->sent == run->bytes.size)
		finish(run);
	else
		schedule(run, run->sent == run->pause_at ? 0 : run->event_ms);
}

static void add_piece_end(struct lost_run *run)
{
	if (run->piece_count < PIECES_MAX)
		run->ends[run->piece_count++] = run->bytes.size;
}

static void add_head(struct lost_run *run, const char *framing)
{
	buffer_add_format(&run->bytes,
			  "HTTP/1.1 200 OK\r\n"
			  "Tamarackgw-Request-Id: r%u\r\n"
			  "Tamarackgw-Response-Stamp: by-%s\r\n"
			  "Tamarackgw-Server-Load: 1,0,%d\r\n"
			  "%s\r\n\r\n",
			  run->request->number, run->server->base.id, SLOTS,
			  framing);
	run->head_bytes = run->bytes.size;
	add_piece_end(run);
}

static void write_stream(struct lost_run *run, unsigned int first)
{
	struct buffer event = {0};

	add_head(run, "Content-Type: text/event-stream\r\n"
		      "Transfer-Encoding: chunked");
	for (unsigned int i = first; i < soak_request_event_count(run->request);
	     i++) {
		buffer_clear(&event);
		soak_request_event(run->request, i, &event);
		buffer_add_format(&run->bytes, "%zx\r\n", event.size);
		buffer_add(&run->bytes, event.data, event.size);
		buffer_add_text(&run->bytes, "\r\n");
		add_piece_end(run);
	}
	buffer_add_text(&run->bytes, "0\r\n\r\n");
	buffer_free(&event);
}

static void write_response(struct lost_run *run)
{
	const char *last =
		http_head_find(&run->conn->request.head, "Last-Event-Id");
	struct buffer answer = {0};
	char length[64];

	if (soak_request_is_stream(run->request)) {
		write_stream(run,
			     last ? (unsigned int)strtoul(last, NULL, 10) + 1
				  : 0);
		return;
	}
	soak_request_answer(run->request, &answer);
	snprintf(length, sizeof(length), "Content-Length: %zu", answer.size);
	add_head(run, length);
	buffer_add(&run->bytes, answer.data, answer.size);
	buffer_free(&answer);
}

static size_t pause_offset(const struct lost_run *run, enum pause_point point)
{
	struct soak *soak = run->server->base.soak;
	size_t piece = tgw_random_below(&soak->random, run->piece_count);

	switch (point) {
	case BEFORE_HEAD:
		return 0;
	case IN_HEAD:
		return 1 + tgw_random_below(&soak->random, run->head_bytes - 1);
	case BETWEEN_EVENTS:
		return run->ends[piece];
	case IN_EVENT:
		return run->ends[piece] + 5 < run->bytes.size
			       ? run->ends[piece] + 5
			       : run->head_bytes;
	case BEFORE_LAST_BYTE:
		return run->bytes.size - 1;
	default:
		return run->head_bytes;
	}
}

static void choose_pause(struct lost_run *run)
{
	struct soak *soak = run->server->base.soak;
	unsigned int spread_ms = PAUSE_SPREAD_MS;
	enum pause_point point;

	run->pause_at = SIZE_MAX;
	if (!soak_happens(soak, run->server->pause_percent))
		return;
	if (!tgw_random_below(&soak->random, LONG_PAUSE_EVERY))
		spread_ms += LONG_PAUSE_SPREAD_MS;
	point = (enum pause_point)tgw_random_below(&soak->random, PAUSE_POINTS);
	run->pause_at = pause_offset(run, point);
	run->pause_ms = PAUSE_MIN_MS + (unsigned int)tgw_random_below(
					       &soak->random, spread_ms + 1);
	run->request->pause_point = pause_names[point];
	run->request->pause_ms = run->pause_ms;
}

static void reject(struct server_conn *conn, int status)
{
	const char *id =
		http_head_find(&conn->request.head, "Tamarackgw-Request-Id");
	struct buffer fields = {0};

	buffer_add_format(&fields,
			  "Tamarackgw-Request-Id: %s\r\n"
			  "Tamarackgw-Not-Executed: 1\r\n",
			  id ? id : "");
	server_conn_send_head(conn, status, &fields, 0, false);
	server_conn_finish(conn);
	buffer_free(&fields);
}

static void on_request(struct server_conn *conn)
{
	struct lost_server *server = conn->owner;
	struct soak *soak = server->base.soak;
	const char *expected = http_head_find(&conn->request.head,
					      "Tamarackgw-Expect-Instance");
	struct soak_request *request;
	struct lost_run *run;

	if (expected && strcmp(expected, server->base.id)) {
		reject(conn, 421);
		return;
	}
	request = soak_checks_arrival(soak, &server->base, &conn->request);
	if (!request) {
		reject(conn, 503);
		return;
	}
	soak_checks_run(soak, request);
	request->arrived_us = soak_now_us();
	request->answered_us = 0;
	run = xcalloc(1, sizeof(*run));
	run->server = server;
	run->conn = conn;
	run->request = request;
	run->next = server->runs;
	server->runs = run;
	run->event_ms = EVENT_MIN_MS + (unsigned int)tgw_random_below(
					       &soak->random, EVENT_SPREAD_MS);
	write_response(run);
	choose_pause(run);
	uv_timer_init(&soak->loop, &run->timer);
	run->timer.data = run;
	schedule(run, WORK_MIN_MS + (unsigned int)tgw_random_below(
					    &soak->random, WORK_SPREAD_MS));
}

static void ignore(struct server_conn *conn)
{
}

static void on_conn_closed(struct server_conn *conn)
{
	struct lost_server *server = conn->owner;
	struct lost_run *next;

	for (struct lost_run *run = server->runs; run; run = next) {
		next = run->next;
		if (run->conn == conn)
			end_run(run);
	}
}

static const struct server_conn_events events = {
	.request = on_request,
	.disconnected = ignore,
	.drained = ignore,
	.closed = on_conn_closed,
};

static void accept_one(uv_stream_t *listener)
{
	server_conn_accept(listener, &limits, &events, listener->data);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct lost_server *server = listener->data;

	if (status >= 0)
		lost_listener_on_connection(&server->listener);
}

void lost_server_pause(struct lost_server *server, unsigned int pause_ms)
{
	int64_t left_us = lost_listener_pause_left_us(&server->listener);

	if (left_us > -RECOVER_US)
		return;
	soak_note(server->base.soak, "%s is silent for %u ms", server->base.id,
		  pause_ms);
	lost_listener_pause(&server->listener, pause_ms);
}

static void write_entry(struct lost_server *server)
{
	char *key = xasprintf("servers/%s", server->base.id);
	char *text = xasprintf(
		"{\"service\":\"%s\",\"address\":\"%s\",\"zone\":"
		"\"domain-0\",\"slots\":%d,\"state\":\"ready\",\"sequence\":%d,"
		"\"born\":%lld}",
		server->service, server->base.address, SLOTS,
		++server->base.sequence, (long long)server->base.born_ms);

	kv_standin_put(&server->base.soak->store, key, text);
	free(key);
	free(text);
}

static void on_heartbeat(uv_timer_t *timer)
{
	write_entry(timer->data);
}

struct lost_server *lost_server_start(struct soak *soak, unsigned int index,
				      const char *service,
				      unsigned int pause_percent)
{
	struct lost_server *server = xcalloc(1, sizeof(*server));

	server->base.soak = soak;
	server->service = service;
	server->pause_percent = pause_percent;
	server->base.born_ms = 1000 + soak_now_us() / SOAK_US_PER_MS;
	snprintf(server->base.id, sizeof(server->base.id), "server-%u", index);
	loop_listener_start(&server->base.listener, &soak->loop, on_connection,
			    server, server->base.address,
			    sizeof(server->base.address));
	lost_listener_init(&server->listener, &soak->loop,
			   &server->base.listener, accept_one);
	uv_timer_init(&soak->loop, &server->base.timer);
	server->base.timer.data = server;
	uv_timer_start(&server->base.timer, on_heartbeat, HEARTBEAT_MS,
		       HEARTBEAT_MS);
	write_entry(server);
	return server;
}
