#include "soak/soak_server.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/loop_listener.h"
#include "soak/soak.h"
#include "soak/soak_caller.h"
#include "soak/soak_checks.h"
#include "transport/server_conn.h"

#define SLOTS 24
#define HEARTBEAT_MS 1200
#define WORK_MIN_MS 2
#define WORK_SPREAD_MS 60
#define EVENT_MS 12
/* A stream that works for long is slow, and pauses once. */
#define SLOW_EVENT_MS 40
#define PAUSE_MS 1100
#define TRICKLE_MS 150
#define COPY_SPREAD_MS 200
#define LONG_WORK_MS 900
/* One request in this many works for long. */
#define LONG_EVERY 9
/* One request in this many gets an answer without end, which is sent at up to
 * 100 MB/s; one server alone exceeds a host's memory by it. */
#define ENDLESS_EVERY 150
#define ENDLESS_MS 10
#define ENDLESS_PIECE_BYTES ((size_t)1024 * 1024)
#define ENDLESS_MAX_BYTES ((size_t)3 * SOAK_HOST_MEMORY_MB / 2 * 1024 * 1024)

/* How a server runs a request. */
enum behaviour {
	SOUND,
	REJECT,	   /* not run, and says so */
	FAIL,	   /* 500 */
	NO_ANSWER, /* breaks off after it has run */
	TRUNCATE,
	GARBAGE,    /* bytes that are no response */
	EXTRA_COPY, /* sends its answer once more, later */
	EXTRA_BYTES,
	TRICKLE, /* a byte now and then, without end */
	STALL,	 /* nothing more after the first bytes */
	CLOSING, /* sound, and closes the connection */
	BEHAVIOURS,
	/* More bytes in place of the end: of a head, of a body, or of an event
	 * after the first one. */
	ENDLESS_HEAD = BEHAVIOURS,
	ENDLESS_BODY,
};

/* A request that runs, and what remains to be sent. */
struct soak_run {
	struct soak_server *server;
	struct server_conn *conn;
	struct soak_request *request;
	uv_timer_t timer;
	struct buffer answer;
	size_t sent;
	unsigned int next_event;
	enum behaviour behaviour;
	bool head_sent;
	bool slow;
	bool answered; /* only its extra copy remains */
	struct soak_run *next;
};

static const struct server_limits limits = {
	.head_bytes = 64 * 1024,
	.body_bytes = 4 * 1024 * 1024,
	.head_ms = 20000,
	.idle_ms = 20000,
	.stall_ms = 20000,
};

static void on_run_closed(uv_handle_t *handle)
{
	struct soak_run *run = handle->data;

	buffer_free(&run->answer);
	free(run);
}

static void end_run(struct soak_run *run)
{
	struct soak_run **at = &run->server->runs;

	while (*at != run)
		at = &(*at)->next;
	*at = run->next;
	uv_close((uv_handle_t *)&run->timer, on_run_closed);
}

static void write_raw(struct server_conn *conn, const char *text, size_t size)
{
	uv_buf_t part = uv_buf_init((char *)text, (unsigned int)size);

	uv_try_write((uv_stream_t *)&conn->tcp, &part, 1);
}

static void send_head(struct soak_run *run, int status, int64_t body_bytes)
{
	struct buffer fields = {0};

	buffer_add_format(&fields,
			  "Tamarackgw-Request-Id: r%u\r\n"
			  "Tamarackgw-Response-Stamp: by-%s\r\n"
			  "Tamarackgw-Server-Load: 1,0,%d\r\n",
			  run->request->number, run->server->id, SLOTS);
	if (soak_request_is_stream(run->request) && status == 200)
		buffer_add_text(&fields, "Content-Type: text/event-stream\r\n");
	if (status == 500)
		run->request->failed_by_server = true;
	run->head_sent = true;
	server_conn_send_head(run->conn, status, &fields, body_bytes,
			      run->behaviour == CLOSING);
	buffer_free(&fields);
}

static void schedule(struct soak_run *run, unsigned int delay_ms);

static void send_copy(struct soak_run *run)
{
	struct buffer text = {0};

	/* Another answer has begun there; in the midst of it the server would
	 * break the protocol of both. */
	for (const struct soak_run *other = run->server->runs; other;
	     other = other->next)
		if (other != run && other->conn == run->conn &&
		    other->head_sent)
			return;
	buffer_add_format(&text,
			  "HTTP/1.1 200 OK\r\n"
			  "Tamarackgw-Request-Id: r%u\r\n"
			  "Tamarackgw-Response-Stamp: by-%s\r\n"
			  "Content-Length: %zu\r\n\r\n",
			  run->request->number, run->server->id,
			  run->answer.size);
	buffer_add(&text, run->answer.data, run->answer.size);
	write_raw(run->conn, text.data, text.size);
	buffer_free(&text);
}

static void finish(struct soak_run *run)
{
	struct server_conn *conn = run->conn;
	struct soak *soak = run->server->soak;

	enum behaviour behaviour = run->behaviour;

	run->answered = true;
	run->head_sent = false;
	if (behaviour == EXTRA_COPY || behaviour == EXTRA_BYTES)
		conn->call = run->server;
	if (behaviour == EXTRA_COPY)
		schedule(run, (unsigned int)tgw_random_below(&soak->random,
							     COPY_SPREAD_MS));
	else
		end_run(run);
	server_conn_finish(conn);
	if (behaviour == EXTRA_BYTES && conn->state != SERVER_CONN_CLOSING)
		write_raw(conn, "left over", 9);
}

static bool stays_incomplete(const struct soak_run *run)
{
	return run->behaviour == TRUNCATE || run->behaviour == TRICKLE ||
	       run->behaviour == STALL || run->behaviour == ENDLESS_BODY;
}

/* Sends the next event, or all that is left of a body. */
static void send_piece(struct soak_run *run)
{
	size_t size = run->answer.size - run->sent;
	bool is_stream = soak_request_is_stream(run->request);
	struct buffer event = {0};

	if (is_stream) {
		soak_request_event(run->request, run->next_event++, &event);
		if (size > event.size)
			size = event.size;
		buffer_free(&event);
	} else if (stays_incomplete(run)) {
		size /= 2;
	}
	server_conn_send_body(run->conn, run->answer.data + run->sent, size);
	run->sent += size;
	if (run->sent == run->answer.size)
		finish(run);
	else if (!run->slow)
		schedule(run, EVENT_MS);
	else
		schedule(run, run->next_event == 2 ? PAUSE_MS : SLOW_EVENT_MS);
}

static void send_trickle(struct soak_run *run)
{
	if (run->behaviour == TRICKLE && run->sent + 1 < run->answer.size)
		server_conn_send_body(run->conn, run->answer.data + run->sent++,
				      1);
	schedule(run, TRICKLE_MS);
}

/* Sends on, as fast as the host reads. */
static void send_without_end(struct soak_run *run)
{
	static char piece[ENDLESS_PIECE_BYTES];

	schedule(run, ENDLESS_MS);
	if (run->sent >= ENDLESS_MAX_BYTES || server_conn_unwritten(run->conn))
		return;
	memset(piece, 'x', sizeof(piece));
	run->sent += sizeof(piece);
	if (run->behaviour == ENDLESS_HEAD)
		write_raw(run->conn, piece, sizeof(piece));
	else
		server_conn_send_body(run->conn, piece, sizeof(piece));
}

static void break_off(struct soak_run *run, const char *text)
{
	struct server_conn *conn = run->conn;

	write_raw(conn, text, strlen(text));
	server_conn_abort(conn);
}

/* @return whether the head was sent, and the body is to follow */
static bool begin_answer(struct soak_run *run)
{
	int64_t size = (int64_t)(run->answer.size - run->sent);
	struct server_conn *conn = run->conn;

	switch (run->behaviour) {
	case FAIL:
		send_head(run, 500, 0);
		end_run(run);
		server_conn_finish(conn);
		return false;
	case NO_ANSWER:
		break_off(run, "");
		return false;
	case GARBAGE:
		break_off(run, "no response at all\r\n\r\n");
		return false;
	case ENDLESS_HEAD:
		write_raw(conn, "HTTP/1.1 200 OK\r\nX-Long: ", 25);
		run->head_sent = true;
		schedule(run, ENDLESS_MS);
		return false;
	default:
		break;
	}
	if (soak_request_is_stream(run->request) ||
	    run->behaviour == ENDLESS_BODY)
		size = SERVER_LENGTH_UNKNOWN;
	send_head(run, 200, size);
	return true;
}

static void on_timer(uv_timer_t *timer)
{
	struct soak_run *run = timer->data;

	if (run->answered) {
		send_copy(run);
		end_run(run);
	} else if (!run->head_sent) {
		if (begin_answer(run))
			send_piece(run);
	} else if (run->behaviour >= BEHAVIOURS) {
		send_without_end(run);
	} else if (run->behaviour == TRUNCATE) {
		break_off(run, "");
	} else if (run->behaviour == TRICKLE || run->behaviour == STALL) {
		send_trickle(run);
	} else {
		send_piece(run);
	}
}

static void schedule(struct soak_run *run, unsigned int delay_ms)
{
	uv_timer_start(&run->timer, on_timer, delay_ms, 0);
}

static enum behaviour choose_usual_behaviour(struct soak_server *server)
{
	struct soak *soak = server->soak;

	if (soak_happens(soak, server->copy_percent))
		return soak_happens(soak, 80) ? EXTRA_COPY : EXTRA_BYTES;
	if (!soak_happens(soak, server->fault_percent))
		return SOUND;
	return (enum behaviour)tgw_random_below(&soak->random, BEHAVIOURS);
}

/* Answers without end have random numbers of their own, so that the faults of a
 * seed stay what they are. */
static enum behaviour choose_behaviour(struct soak_server *server)
{
	enum behaviour usual = choose_usual_behaviour(server);
	struct soak *soak = server->soak;

	if (usual != SOUND ||
	    tgw_random_below(&soak->endless_random, ENDLESS_EVERY))
		return usual;
	soak->endless_answers++;
	return tgw_random_below(&soak->endless_random, 4) ? ENDLESS_BODY
							  : ENDLESS_HEAD;
}

static void schedule_work(struct soak_run *run)
{
	struct soak *soak = run->server->soak;

	if (tgw_random_below(&soak->random, LONG_EVERY)) {
		schedule(run,
			 WORK_MIN_MS + (unsigned int)tgw_random_below(
					       &soak->random, WORK_SPREAD_MS));
		return;
	}
	run->slow = soak_request_is_stream(run->request);
	schedule(run, run->slow ? WORK_MIN_MS : LONG_WORK_MS);
}

static void start_run(struct soak_server *server, struct server_conn *conn,
		      struct soak_request *request, enum behaviour behaviour)
{
	const char *last = http_head_find(&conn->request.head, "Last-Event-Id");
	struct soak_run *run = xcalloc(1, sizeof(*run));
	struct buffer event = {0};

	*run = (struct soak_run){
		.server = server,
		.conn = conn,
		.request = request,
		.behaviour = behaviour,
		.next = server->runs,
	};
	server->runs = run;
	soak_request_answer(request, &run->answer);
	if (last && soak_request_is_stream(request))
		while (run->next_event <= strtoul(last, NULL, 10) &&
		       run->sent < run->answer.size) {
			buffer_clear(&event);
			soak_request_event(request, run->next_event++, &event);
			run->sent += event.size;
		}
	buffer_free(&event);
	/* What was left over from an earlier answer garbles this one. */
	if (conn->call || behaviour == NO_ANSWER || behaviour == TRUNCATE ||
	    behaviour == GARBAGE || behaviour >= BEHAVIOURS)
		request->may_break = true;
	uv_timer_init(&server->soak->loop, &run->timer);
	run->timer.data = run;
	schedule_work(run);
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
	struct soak_server *server = conn->owner;
	const char *expected = http_head_find(&conn->request.head,
					      "Tamarackgw-Expect-Instance");
	enum behaviour behaviour = choose_behaviour(server);
	struct soak_request *request;

	if (expected && strcmp(expected, server->id)) {
		reject(conn, 421);
		return;
	}
	request = soak_checks_arrival(server->soak, server, &conn->request);
	if (!request || behaviour == REJECT) {
		reject(conn, 503);
		return;
	}
	soak_checks_run(server->soak, request);
	start_run(server, conn, request, behaviour);
}

static void on_disconnected(struct server_conn *conn)
{
}

static void on_drained(struct server_conn *conn)
{
}

static void on_conn_closed(struct server_conn *conn)
{
	struct soak_server *server = conn->owner;
	struct soak_run *next;

	for (struct soak_run *run = server->runs; run; run = next) {
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

static const struct server_conn_events events = {
	.request = on_request,
	.disconnected = on_disconnected,
	.drained = on_drained,
	.closed = on_conn_closed,
};

static void on_connection(uv_stream_t *listener, int status)
{
	struct soak_server *server = listener->data;
	struct server_conn *conn;

	if (status < 0)
		return;
	conn = server_conn_accept(listener, &limits, &events, server);
	if (!conn)
		return;
	conn->next = server->conns;
	if (conn->next)
		conn->next->previous = conn;
	server->conns = conn;
}

static void write_entry(struct soak_server *server)
{
	char *key = xasprintf("servers/%s", server->id);
	char *text = xasprintf(
		"{\"service\":\"app\",\"address\":\"%s\",\"zone\":"
		"\"domain-0\",\"slots\":%d,\"state\":\"%s\",\"sequence\":%d,"
		"\"born\":%lld}",
		server->link.address, SLOTS,
		server->leaving_us ? "draining" : "ready", ++server->sequence,
		(long long)server->born_ms);

	kv_standin_put(&server->soak->store, key, server->listed ? text : NULL);
	free(key);
	free(text);
}

static void on_heartbeat(uv_timer_t *timer)
{
	struct soak_server *server = timer->data;

	if (server->listed && !server->crashed)
		write_entry(server);
}

struct soak_server *soak_server_start(struct soak *soak, const char *id,
				      const char *address)
{
	struct soak_server *server = xcalloc(1, sizeof(*server));

	server->soak = soak;
	server->listed = true;
	server->born_ms = 1000 + soak_now_us() / SOAK_US_PER_MS;
	if (id)
		snprintf(server->id, sizeof(server->id), "%s", id);
	else
		snprintf(server->id, sizeof(server->id), "server-%u",
			 soak->servers_started++);
	if (address)
		snprintf(server->link.address, sizeof(server->link.address),
			 "%s", address);
	loop_listener_start(&server->listener, &soak->loop, on_connection,
			    server, server->address, sizeof(server->address));
	soak_link_start(&server->link, &soak->loop, server->address);
	uv_timer_init(&soak->loop, &server->timer);
	server->timer.data = server;
	uv_timer_start(&server->timer, on_heartbeat, HEARTBEAT_MS,
		       HEARTBEAT_MS);
	write_entry(server);
	return server;
}

void soak_server_excuse(struct soak_server *server)
{
	struct soak *soak = server->soak;

	soak->servers_disturbed_us = soak_now_us();
	for (struct soak_run *run = server->runs; run; run = run->next)
		if (!run->answered)
			run->request->may_break = true;
	/* What it has sent may not have arrived. */
	for (size_t i = 0; i < soak->host_count * SOAK_CALLERS_PER_HOST; i++) {
		struct soak_request *request = soak->callers[i].request;

		if (request && request->server == server)
			request->may_break = true;
	}
}

void soak_server_crash(struct soak_server *server)
{
	if (server->crashed)
		return;
	server->crashed = true;
	soak_server_excuse(server);
	uv_close((uv_handle_t *)&server->listener, NULL);
	while (server->conns)
		server_conn_abort(server->conns);
	soak_link_stop(&server->link);
}

void soak_server_leave(struct soak_server *server, bool announced)
{
	server->listed = announced;
	if (!server->leaving_us)
		server->leaving_us = soak_now_us();
	write_entry(server);
}

void soak_server_end(struct soak_server *server)
{
	if (server->listed) {
		server->listed = false;
		write_entry(server);
	}
	soak_server_crash(server);
	uv_timer_stop(&server->timer);
}

void soak_server_reset_link(struct soak_server *server)
{
	soak_server_excuse(server);
	soak_link_reset(&server->link);
}
