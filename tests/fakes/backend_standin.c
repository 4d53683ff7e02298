#include "fakes/backend_standin.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/loop_listener.h"
#include "transport/server_conn.h"

#define NOT_RUN "Tamarackgw-Not-Executed: 1\r\n"
#define FIRST_BORN_MS 1000
/* Events of a complete stream; their ids begin with 0. */
#define STREAM_EVENTS 6
#define LARGE_BODY_BYTES (200 * 1024)
#define LARGER_BODY_BYTES (260 * 1024)
/* A response that is too large to be buffered; a host forwards it as it
 * arrives. */
#define HUGE_BODY_BYTES (600 * 1024)
/* A large stream doesn't fit into the socket buffers of a caller that stops
 * reading. */
#define LARGE_STREAM_EVENTS 400
#define LARGE_EVENT_BYTES (64 * 1024)
/* A truncated stream has this many events and the beginning of the next. */
#define TRUNCATED_EVENTS 3

static const struct server_limits limits = {
	.head_bytes = 64 * 1024,
	.body_bytes = 4 * 1024 * 1024,
	.head_ms = 10000,
	.idle_ms = 60000,
	.stall_ms = 10000,
};

/* Adds the header lines that all answers have. */
static void add_fields(const struct server_conn *conn, int status,
		       struct buffer *fields)
{
	const struct backend_standin *standin = conn->owner;
	const char *id =
		http_head_find(&conn->request.head, "Tamarackgw-Request-Id");

	if (!standin->omits_ids)
		buffer_add_format(fields, "Tamarackgw-Request-Id: %s\r\n",
				  id ? id : "");
	buffer_add_format(fields, "%s",
			  standin->extra_fields ? standin->extra_fields : "");
	if (status < 400 || status == 500)
		buffer_add_format(fields,
				  "Tamarackgw-Response-Stamp: by-%s\r\n"
				  "Tamarackgw-Server-Load: 1,0,4\r\n",
				  standin->id);
}

static void send_head(struct server_conn *conn, int status, int64_t body_bytes,
		      const char *more_fields)
{
	struct buffer fields = {0};

	buffer_add_text(&fields, more_fields);
	add_fields(conn, status, &fields);
	server_conn_send_head(conn, status, &fields, body_bytes, false);
	buffer_free(&fields);
}

static void answer(struct server_conn *conn, int status, const char *text,
		   const char *more_fields)
{
	send_head(conn, status, (int64_t)strlen(text), more_fields);
	server_conn_send_body(conn, text, strlen(text));
	server_conn_finish(conn);
}

static void answer_large(struct server_conn *conn, size_t size)
{
	char *body = xmalloc(size + 1);

	memset(body, 'x', size);
	body[size] = '\0';
	answer(conn, 200, body, "");
	free(body);
}

static void send_event(struct server_conn *conn, int number)
{
	char text[64];

	snprintf(text, sizeof(text), "id: %d\ndata: part-%d\n\n", number,
		 number);
	server_conn_send_body(conn, text, strlen(text));
}

static void stream(struct server_conn *conn, bool truncated)
{
	const char *resumed =
		http_head_find(&conn->request.head, "Last-Event-Id");
	int first = resumed ? (int)strtol(resumed, NULL, 10) + 1 : 0;

	send_head(conn, 200, SERVER_LENGTH_UNKNOWN,
		  "Content-Type: text/event-stream\r\n");
	if (truncated && !resumed) {
		for (int i = 0; i < TRUNCATED_EVENTS; i++)
			send_event(conn, i);
		server_conn_send_body(conn, "id: 3\nda", 8);
		server_conn_abort(conn);
		return;
	}
	for (int i = first; i < STREAM_EVENTS; i++)
		send_event(conn, i);
	server_conn_finish(conn);
}

static void stream_large(struct server_conn *conn)
{
	char *text = xmalloc(LARGE_EVENT_BYTES);

	send_head(conn, 200, SERVER_LENGTH_UNKNOWN,
		  "Content-Type: text/event-stream\r\n");
	memset(text, 'x', LARGE_EVENT_BYTES);
	memset(text + LARGE_EVENT_BYTES - 2, '\n', 2);
	for (int i = 0; i < LARGE_STREAM_EVENTS; i++) {
		int length = snprintf(text, 32, "id: %d\ndata: ", i);

		text[length] = 'x';
		server_conn_send_body(conn, text, LARGE_EVENT_BYTES);
	}
	server_conn_finish(conn);
	free(text);
}

/* Without ids, a stream can't be resumed. */
static void stream_cut_without_ids(struct server_conn *conn)
{
	static const char events[] = "data: part-0\n\ndata: part-1\n\nda";

	send_head(conn, 200, SERVER_LENGTH_UNKNOWN,
		  "Content-Type: text/event-stream\r\n");
	server_conn_send_body(conn, events, strlen(events));
	server_conn_abort(conn);
}

static void begin_huge(struct server_conn *conn, int status, size_t size)
{
	char *text = xmalloc(size);

	memset(text, 'x', size);
	send_head(conn, status, HUGE_BODY_BYTES, "");
	server_conn_send_body(conn, text, size);
	free(text);
}

static void answer_huge(struct server_conn *conn, int status, bool truncated)
{
	begin_huge(conn, status,
		   truncated ? HUGE_BODY_BYTES / 2 : HUGE_BODY_BYTES);
	if (truncated)
		server_conn_abort(conn);
	else
		server_conn_finish(conn);
}

/* A response that has fallen silent: its request's connection, and what it
 * sends when it goes on. */
struct paused_response {
	uv_timer_t timer;
	struct server_conn *conn;
	bool is_stream;
	bool head_sent;
	int next_event;	  /* of a stream */
	const char *rest; /* of a body, or of an event that has begun */
};

static const char whole_body[] = "done";
static const char event_start[] = "id: 3\nda";
static const char event_rest[] = "ta: part-3\n\n";

static void on_paused_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void end_pause(struct paused_response *paused)
{
	paused->conn->call = NULL;
	uv_close((uv_handle_t *)&paused->timer, on_paused_closed);
}

static void send_response_head(struct server_conn *conn, bool is_stream)
{
	if (is_stream)
		send_head(conn, 200, SERVER_LENGTH_UNKNOWN,
			  "Content-Type: text/event-stream\r\n");
	else
		send_head(conn, 200, (int64_t)strlen(whole_body), "");
}

static void on_pause_over(uv_timer_t *timer)
{
	struct paused_response *paused = timer->data;
	struct server_conn *conn = paused->conn;

	if (!paused->head_sent)
		send_response_head(conn, paused->is_stream);
	server_conn_send_body(conn, paused->rest, strlen(paused->rest));
	if (paused->is_stream)
		for (int i = paused->next_event; i < STREAM_EVENTS; i++)
			send_event(conn, i);
	end_pause(paused);
	server_conn_finish(conn);
}

/* Sends what comes before the pause. */
static void begin_stream(struct paused_response *paused,
			 enum backend_standin_pause at)
{
	struct server_conn *conn = paused->conn;
	int before = at == BACKEND_STANDIN_PAUSE_BEFORE_END ? STREAM_EVENTS
							    : TRUNCATED_EVENTS;

	paused->rest = "";
	if (at == BACKEND_STANDIN_PAUSE_AFTER_HEAD)
		return;
	for (; paused->next_event < before; paused->next_event++)
		send_event(conn, paused->next_event);
	if (at != BACKEND_STANDIN_PAUSE_MIDWAY ||
	    paused->next_event != TRUNCATED_EVENTS)
		return;
	server_conn_send_body(conn, event_start, strlen(event_start));
	paused->rest = event_rest;
	paused->next_event++;
}

static void begin_body(struct paused_response *paused,
		       enum backend_standin_pause at)
{
	size_t before = 0;

	if (at == BACKEND_STANDIN_PAUSE_BEFORE_END)
		before = strlen(whole_body) - 1;
	else if (at != BACKEND_STANDIN_PAUSE_AFTER_HEAD)
		before = strlen(whole_body) / 2;
	server_conn_send_body(paused->conn, whole_body, before);
	paused->rest = whole_body + before;
}

static void respond_with_pause(struct backend_standin *standin,
			       struct server_conn *conn, bool is_stream,
			       const char *pause)
{
	const char *resumed =
		http_head_find(&conn->request.head, "Last-Event-Id");
	struct paused_response *paused = xcalloc(1, sizeof(*paused));
	enum backend_standin_pause at;
	unsigned int pause_ms;
	char *end;

	at = (enum backend_standin_pause)strtol(pause, &end, 10);
	pause_ms = (unsigned int)strtol(end + 1, NULL, 10);
	paused->conn = conn;
	paused->is_stream = is_stream;
	paused->next_event = resumed ? (int)strtol(resumed, NULL, 10) + 1 : 0;
	paused->rest = is_stream ? "" : whole_body;
	paused->head_sent = at != BACKEND_STANDIN_PAUSE_BEFORE_HEAD;
	conn->call = paused;
	uv_timer_init(standin->loop, &paused->timer);
	paused->timer.data = paused;
	uv_timer_start(&paused->timer, on_pause_over, pause_ms, 0);
	if (!paused->head_sent)
		return;
	send_response_head(conn, is_stream);
	if (is_stream)
		begin_stream(paused, at);
	else
		begin_body(paused, at);
}

static void record_request(struct backend_standin *standin,
			   struct server_conn *conn)
{
	const struct http_head *head = &conn->request.head;

	buffer_clear(&standin->request);
	for (size_t i = 0; i < head->count; i++)
		buffer_add_format(&standin->request, "%s: %s\n",
				  http_head_name(head, i),
				  http_head_value(head, i));
	buffer_add_format(&standin->request, "\n%s %s\n", conn->request.method,
			  conn->request.target.data);
	buffer_add(&standin->request, conn->request.body.data,
		   conn->request.body.size);
}

static void stop_listening(struct backend_standin *standin);

/* The connection closes cleanly, as the end of some responses does. */
static void crash_after_answer(struct server_conn *conn)
{
	struct backend_standin *standin = conn->owner;
	struct server_conn *other = standin->conns;

	standin->crashes++;
	standin->waiting = NULL;
	stop_listening(standin);
	while (other) {
		struct server_conn *next = other->next;

		if (other != conn)
			server_conn_abort(other);
		other = next;
	}
	server_conn_finish(conn);
}

static void answer_as_scripted(struct server_conn *conn,
			       const struct backend_standin_answer *scripted)
{
	struct buffer bytes = {0};

	buffer_add_format(&bytes, "HTTP/1.1 %d Scripted\r\n", scripted->status);
	add_fields(conn, scripted->status, &bytes);
	buffer_add_text(&bytes, scripted->text);
	conn->chunked = false;
	server_conn_send_body(conn, bytes.data, bytes.size);
	buffer_free(&bytes);
	conn->keep_alive = false;
	/* Makes an abort reset the connection. */
	conn->http_1_0 = true;
	if (scripted->end == BACKEND_STANDIN_CLOSES)
		server_conn_finish(conn);
	else if (scripted->end == BACKEND_STANDIN_RESETS)
		server_conn_abort(conn);
	else if (scripted->end == BACKEND_STANDIN_CRASHES)
		crash_after_answer(conn);
}

static bool has_crash_part(const struct backend_standin *standin,
			   const struct server_conn *conn)
{
	const char *prompt =
		http_head_find(&conn->request.head, "Tamarackgw-Prompt-Prefix");
	const char *last = prompt ? strrchr(prompt, ',') : NULL;
	const char *found = last && standin->crash_part
				    ? strstr(prompt, standin->crash_part)
				    : NULL;

	return found && found < last;
}

static void crash_by_part(struct backend_standin *standin,
			  struct server_conn *conn)
{
	if (standin->crash_answer)
		answer_as_scripted(conn, standin->crash_answer);
	else
		backend_standin_crash(standin);
}

static void run(struct backend_standin *standin, struct server_conn *conn,
		const char *action)
{
	const char *pause = http_head_find(&conn->request.head, "X-Pause");
	bool is_stream = !strcmp(action, "stream");

	standin->runs++;
	if (has_crash_part(standin, conn))
		crash_by_part(standin, conn);
	else if (standin->answers && (*standin->answers)->status)
		answer_as_scripted(conn, (*standin->answers)++);
	else if (standin->fails_huge)
		answer_huge(conn, 500, false);
	else if (standin->fails)
		answer(conn, 500, "failed", "");
	else if (pause && !standin->never_pauses &&
		 (is_stream || !strcmp(action, "ok")))
		respond_with_pause(standin, conn, is_stream, pause);
	else if (!strcmp(action, "ok"))
		answer(conn, 200, "done", "");
	else if (!strcmp(action, "large"))
		answer_large(conn, LARGE_BODY_BYTES);
	else if (!strcmp(action, "larger"))
		answer_large(conn, LARGER_BODY_BYTES);
	else if (!strcmp(action, "empty"))
		answer(conn, 204, "", "");
	else if (!strcmp(action, "fail-once"))
		answer(conn, standin->runs % 2 ? 500 : 200, "done", "");
	else if (!strcmp(action, "fail"))
		answer(conn, 500, "failed", "");
	else if (!strcmp(action, "break"))
		server_conn_abort(conn);
	else if (!strcmp(action, "crash"))
		backend_standin_crash(standin);
	else if (is_stream)
		stream(conn, false);
	else if (!strcmp(action, "stream-cut"))
		stream(conn, true);
	else if (!strcmp(action, "stream-cut-no-ids"))
		stream_cut_without_ids(conn);
	else if (!strcmp(action, "stream-large"))
		stream_large(conn);
	else if (!strcmp(action, "huge"))
		answer_huge(conn, 200, standin->cuts_huge);
	else if (!strcmp(action, "huge-missing"))
		answer_huge(conn, 404, false);
	else if (!strcmp(action, "huge-fail"))
		answer_huge(conn, 500, false);
	else
		standin->waiting = conn;
}

static void write_stray_bytes(struct backend_standin *standin,
			      struct server_conn *conn)
{
	uv_buf_t bytes;

	if (!standin->stray_bytes || !conn->link_bytes->sent_bytes)
		return;
	bytes = uv_buf_init((char *)standin->stray_bytes,
			    (unsigned int)strlen(standin->stray_bytes));
	uv_try_write((uv_stream_t *)&conn->tcp, &bytes, 1);
}

static void on_request(struct server_conn *conn)
{
	struct backend_standin *standin = conn->owner;
	const char *action = strrchr(conn->request.target.data, '/') + 1;
	const char *expected = http_head_find(&conn->request.head,
					      "Tamarackgw-Expect-Instance");

	standin->arrivals++;
	record_request(standin, conn);
	write_stray_bytes(standin, conn);
	if (expected && strcmp(expected, standin->id))
		answer(conn, 421, "", "Tamarackgw-Instance-Id: another\r\n");
	else if (standin->rejects || !strcmp(action, "full"))
		answer(conn, 503, "", NOT_RUN);
	else if (!strcmp(action, "busy"))
		answer(conn, 503, "", "");
	else
		run(standin, conn, action);
}

void backend_standin_release(struct backend_standin *standin)
{
	struct server_conn *conn = standin->waiting;

	standin->waiting = NULL;
	if (conn)
		answer(conn, 200, "done", "");
}

void backend_standin_reject_waiting(struct backend_standin *standin)
{
	struct server_conn *conn = standin->waiting;

	standin->waiting = NULL;
	if (conn)
		answer(conn, 503, "", NOT_RUN);
}

void backend_standin_begin_huge(struct backend_standin *standin, int status)
{
	if (standin->waiting)
		begin_huge(standin->waiting, status, HUGE_BODY_BYTES / 2);
}

static void on_disconnected(struct server_conn *conn)
{
	struct backend_standin *standin = conn->owner;

	standin->disconnects++;
	if (standin->waiting == conn)
		standin->waiting = NULL;
}

static void on_drained(struct server_conn *conn)
{
}

static void on_conn_closed(struct server_conn *conn)
{
	struct backend_standin *standin = conn->owner;

	if (conn->call)
		end_pause(conn->call);
	free(conn->link_bytes);
	conn->link_bytes = NULL;
	if (conn->turns)
		read_turns_forget(conn->turns, &conn->turn);
	if (conn->previous)
		conn->previous->next = conn->next;
	else
		standin->conns = conn->next;
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
	struct backend_standin *standin = listener->data;
	struct server_conn *conn;

	if (status < 0)
		return;
	conn = server_conn_accept(listener, &limits, &events, standin);
	if (!conn)
		return;
	conn->turns = standin->turns;
	conn->link_bytes = xcalloc(1, sizeof(*conn->link_bytes));
	conn->next = standin->conns;
	if (conn->next)
		conn->next->previous = conn;
	standin->conns = conn;
}

static void on_listener_closed(uv_handle_t *handle)
{
	free(handle);
}

static void stop_listening(struct backend_standin *standin)
{
	if (standin->listener)
		uv_close((uv_handle_t *)standin->listener, on_listener_closed);
	standin->listener = NULL;
}

void backend_standin_accept_again(struct backend_standin *standin)
{
	standin->listener = xcalloc(1, sizeof(*standin->listener));
	loop_listener_start(standin->listener, standin->loop, on_connection,
			    standin, standin->address,
			    sizeof(standin->address));
}

void backend_standin_start(struct backend_standin *standin, uv_loop_t *loop,
			   const char *id)
{
	memset(standin, 0, sizeof(*standin));
	standin->loop = loop;
	standin->born_ms = FIRST_BORN_MS;
	snprintf(standin->id, sizeof(standin->id), "%s", id);
	backend_standin_accept_again(standin);
}

void backend_standin_crash(struct backend_standin *standin)
{
	standin->crashes++;
	standin->waiting = NULL;
	stop_listening(standin);
	while (standin->conns)
		server_conn_abort(standin->conns);
}

void backend_standin_restart_in_place(struct backend_standin *standin,
				      const char *id)
{
	standin->born_ms++;
	memmove(standin->id, id, strlen(id) + 1);
	backend_standin_accept_again(standin);
}

void backend_standin_restart(struct backend_standin *standin, const char *id)
{
	*standin->address = '\0';
	backend_standin_restart_in_place(standin, id);
}

void backend_standin_stop(struct backend_standin *standin)
{
	stop_listening(standin);
	buffer_free(&standin->request);
}
