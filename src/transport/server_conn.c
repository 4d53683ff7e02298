#include "transport/server_conn.h"

#include <assert.h>
#include <netinet/in.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/xalloc.h"
#include "transport/server_conn_private.h"
#include "transport/stream_input.h"

/* Reading pauses once more than this has arrived after the current request. */
#define PIPELINED_MAX_BYTES (64 * 1024)
#define READ_SIZE_BYTES PIPELINED_MAX_BYTES
/* After the last response, further input is discarded for this long, unless
 * the caller has announced that none follows. Closing at once would answer it
 * with a reset, which could overtake the response. */
#define LINGER_MS 1000
/* The loop runs timers before it reads from sockets. A timeout takes effect
 * after this delay, so that bytes that arrived in time are read first. */
#define READ_ONCE_MS 1
/* A timeout is put off for this many further reads, so that a caller that sends
 * without an end does not put it off for good. */
#define MAX_LATE_READS 64
#define NS_PER_MS 1000000
/* A connection is kept for longer than announced, for a request that is on its
 * way by then. */
#define IDLE_MARGIN_MS 500

/* The loop has one thread, so one buffer serves all reads. */
static char read_buffer[READ_SIZE_BYTES];

const char *server_close_reason_name(enum server_close_reason reason)
{
	static const char *const names[SERVER_CLOSE_REASONS] = {
		[SERVER_CLOSE_OTHER] = "other",
		[SERVER_CLOSE_IDLE] = "idle_limit",
		[SERVER_CLOSE_SURPLUS] = "surplus",
		[SERVER_CLOSE_STOP] = "planned_stop",
		[SERVER_CLOSE_LATE_HEAD] = "late_head",
		[SERVER_CLOSE_STALLED] = "stalled_response",
		[SERVER_CLOSE_MADE_ROOM] = "made_room",
		[SERVER_CLOSE_FRAMING] = "long_framing",
		[SERVER_CLOSE_SENDS_ON] = "sends_on",
	};

	return names[reason];
}

static void refuse_input(struct server_conn *conn);

static void on_handle_closed(uv_handle_t *handle)
{
	struct server_conn *conn = handle->data;

	if (--conn->open_handles)
		return;
	http_head_free(&conn->request.head);
	buffer_free(&conn->request.target);
	buffer_free(&conn->request.body);
	buffer_free(&conn->pipelined);
	server_conn_record_input(conn);
	free(conn);
}

static void close_now(struct server_conn *conn)
{
	if (conn->state == SERVER_CONN_CLOSING)
		return;
	conn->state = SERVER_CONN_CLOSING;
	conn->events->closed(conn);
	uv_close((uv_handle_t *)&conn->timer, on_handle_closed);
	uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
}

static void close_for(struct server_conn *conn, enum server_close_reason reason)
{
	conn->close_reason = reason;
	conn->unread_at_close = stream_input_look(&conn->tcp) ==
				STREAM_INPUT_BYTES;
	close_now(conn);
}

void server_conn_handle_disconnect(struct server_conn *conn)
{
	if (conn->state == SERVER_CONN_SERVING)
		conn->events->disconnected(conn);
	close_now(conn);
}

static void on_timeout(uv_timer_t *timer);

static int64_t now_ms(void)
{
	return (int64_t)(uv_hrtime() / NS_PER_MS);
}

void server_conn_keep_limits(struct server_conn *conn)
{
	struct server_limits *kept = &conn->kept_limits;
	const struct server_limits *now = conn->limits;

	kept->head_bytes =
		server_conn_max_of(kept->head_bytes, now->head_bytes);
	kept->body_bytes =
		server_conn_max_of(kept->body_bytes, now->body_bytes);
	kept->head_ms = server_conn_max_of(kept->head_ms, now->head_ms);
	kept->idle_ms = server_conn_max_of(kept->idle_ms, now->idle_ms);
}

static int64_t idle_wait_ms(const struct server_conn *conn)
{
	int64_t limit_ms = server_conn_max_of(conn->kept_limits.idle_ms,
					      conn->limits->idle_ms);

	return limit_ms < SERVER_MIN_ANNOUNCED_MS ? limit_ms
						  : limit_ms + IDLE_MARGIN_MS;
}

/* @return the limit on what the connection waits for */
static int64_t wait_limit_ms(const struct server_conn *conn)
{
	if (conn->write_failed)
		return 0;
	if (conn->lingers)
		return LINGER_MS;
	if (conn->state == SERVER_CONN_READING && conn->request_begun)
		return server_conn_max_of(conn->kept_limits.head_ms,
					  conn->limits->head_ms);
	if (server_conn_unwritten(conn))
		return conn->limits->stall_ms;
	return idle_wait_ms(conn);
}

static void set_timer(struct server_conn *conn, int64_t delay_ms)
{
	uv_timer_start(&conn->timer, on_timeout, (uint64_t)delay_ms, 0);
}

int64_t server_conn_waited_ms(const struct server_conn *conn)
{
	return now_ms() - conn->waiting_since_ms;
}

void server_conn_start_wait(struct server_conn *conn)
{
	conn->waiting_since_ms = now_ms();
	conn->unwritten_before = server_conn_unwritten(conn);
	conn->timeout_pending = false;
	conn->late_reads = 0;
	set_timer(conn, wait_limit_ms(conn));
}

/* Callbacks that run between the last read and a timer may take long. @return
 * whether bytes have arrived, which are to be read first */
static bool has_to_read(struct server_conn *conn)
{
	if (conn->stopped_discarding)
		return false;
	if (conn->turn.waits)
		return true;
	return stream_input_look(&conn->tcp) == STREAM_INPUT_BYTES &&
	       conn->late_reads++ < MAX_LATE_READS;
}

static void time_out(struct server_conn *conn)
{
	size_t unwritten = server_conn_unwritten(conn);

	if (conn->state == SERVER_CONN_READING && conn->request_begun) {
		conn->close_reason = SERVER_CLOSE_LATE_HEAD;
		conn->refused_status = 408;
		refuse_input(conn);
	} else if (unwritten && unwritten < conn->unwritten_before) {
		server_conn_start_wait(conn);
	} else if (unwritten) {
		close_for(conn, SERVER_CLOSE_STALLED);
	} else if (conn->state == SERVER_CONN_READING) {
		close_for(conn, SERVER_CLOSE_IDLE);
	} else if (conn->stopped_discarding) {
		/* A request that was refused for a reason keeps that. */
		close_for(conn, conn->close_reason == SERVER_CLOSE_OTHER
					? SERVER_CLOSE_SENDS_ON
					: conn->close_reason);
	} else {
		close_now(conn);
	}
}

static void on_timeout(uv_timer_t *timer)
{
	struct server_conn *conn = timer->data;
	int64_t left_ms =
		conn->waiting_since_ms + wait_limit_ms(conn) - now_ms();

	if (conn->write_failed) {
		server_conn_handle_disconnect(conn);
		return;
	}
	/* The limit was raised, or the loop's time was behind at the start. */
	if (left_ms > 0) {
		conn->timeout_pending = false;
		set_timer(conn, left_ms);
		return;
	}
	if (conn->timeout_pending && !has_to_read(conn)) {
		time_out(conn);
		return;
	}
	conn->timeout_pending = true;
	set_timer(conn, READ_ONCE_MS);
}

static void flush_and_close(struct server_conn *conn)
{
	conn->state = SERVER_CONN_FLUSHING;
	server_conn_start_wait(conn);
	if (!server_conn_unwritten(conn))
		server_conn_end_flushed(conn);
}

/* A caller that has sent its last request may still read the response. While a
 * request is served, its end of the stream can't be told from a disconnect. */
static void handle_end_of_input(struct server_conn *conn)
{
	bool is_responding =
		conn->state == SERVER_CONN_SERVING ||
		(conn->state == SERVER_CONN_READING && conn->partly_read);

	if (is_responding || !server_conn_unwritten(conn)) {
		server_conn_handle_disconnect(conn);
		return;
	}
	conn->caller_closes = true;
	flush_and_close(conn);
}

void server_conn_pause_reading(struct server_conn *conn)
{
	uv_read_stop((uv_stream_t *)&conn->tcp);
	conn->read_paused = true;
}

/* A full host reads less at once, so that less waits behind a request. */
static size_t pipelined_max_bytes(const struct server_conn *conn)
{
	return conn->held && held_bytes_is_full(conn->held)
		       ? HELD_BYTES_ITEM_MIN
		       : PIPELINED_MAX_BYTES;
}

static void queue_pipelined(struct server_conn *conn, const char *data,
			    size_t size)
{
	buffer_consume(&conn->pipelined, conn->pipelined_read);
	conn->pipelined_read = 0;
	buffer_add(&conn->pipelined, data, size);
	server_conn_record_input(conn);
	if (conn->pipelined.size > pipelined_max_bytes(conn))
		server_conn_pause_reading(conn);
}

static void refuse_input(struct server_conn *conn)
{
	struct buffer none = {0};
	int status = conn->refused_status;

	conn->partly_read = true;
	uv_timer_stop(&conn->timer);
	if (!conn->events->refused || !conn->events->refused(conn, status)) {
		server_conn_send_head(conn, status, &none, 0, true);
		server_conn_finish(conn);
	}
	buffer_free(&conn->request.body);
	server_conn_record_input(conn);
}

static void handle_parsed(struct server_conn *conn)
{
	if (conn->state == SERVER_CONN_SERVING) {
		uv_timer_stop(&conn->timer);
		conn->events->request(conn);
	} else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
		if (HTTP_PARSER_ERRNO(&conn->parser) == HPE_HEADER_OVERFLOW)
			conn->refused_status = 431;
		refuse_input(conn);
	}
}

static void parse_read(struct server_conn *conn, const char *data, size_t size)
{
	size_t used = server_conn_parse(conn, data, size);

	if (conn->state == SERVER_CONN_SERVING && used < size)
		queue_pipelined(conn, data + used, size - used);
	handle_parsed(conn);
}

/* Parses what came after the request before, one request after the other: one
 * that is answered at once does not begin the next one within its answer. */
static void parse_pipelined(struct server_conn *conn)
{
	if (conn->parses_pipelined)
		return;
	conn->parses_pipelined = true;
	while (conn->state == SERVER_CONN_READING && !conn->partly_read &&
	       !server_conn_is_full(conn) && server_conn_pipelined(conn)) {
		conn->pipelined_read += server_conn_parse(
			conn, conn->pipelined.data + conn->pipelined_read,
			server_conn_pipelined(conn));
		handle_parsed(conn);
	}
	conn->parses_pipelined = false;
	if (server_conn_pipelined(conn))
		return;
	buffer_free(&conn->pipelined);
	conn->pipelined_read = 0;
}

/* A caller that was refused for want of room may send the rest of a body that
 * is within the limit. */
static int64_t max_discarded_bytes(const struct server_conn *conn)
{
	int64_t body_bytes = server_conn_max_of(conn->kept_limits.body_bytes,
						conn->limits->body_bytes);
	long long announced = server_conn_body_length(conn);

	if (conn->refused_status == 413 || conn->refused_status == 431 ||
	    announced > body_bytes)
		return conn->limits->discard_bytes;
	return server_conn_max_of(body_bytes, conn->limits->discard_bytes);
}

/* Reading on would cost the host's time and link. The connection stays open for
 * a while, so that the caller gets its response. */
static void discard(struct server_conn *conn, size_t size)
{
	conn->discarded_bytes += (int64_t)size;
	if (!conn->limits->discard_bytes ||
	    conn->discarded_bytes < max_discarded_bytes(conn))
		return;
	conn->stopped_discarding = true;
	uv_read_stop((uv_stream_t *)&conn->tcp);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	struct server_conn *conn = stream->data;

	if (size == 0 || size == UV_ENOBUFS ||
	    conn->state == SERVER_CONN_CLOSING)
		return;
	if (size == UV_EOF) {
		handle_end_of_input(conn);
		return;
	}
	if (size < 0) {
		server_conn_handle_disconnect(conn);
		return;
	}
	conn->received_at_ms = now_ms();
	if (conn->link_bytes)
		conn->link_bytes->received_bytes += (uint64_t)size;
	if (conn->state == SERVER_CONN_SERVING)
		queue_pipelined(conn, buf->base, (size_t)size);
	else if (conn->state == SERVER_CONN_READING && !conn->partly_read)
		parse_read(conn, buf->base, (size_t)size);
	else
		discard(conn, (size_t)size);
}

static void on_alloc(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buf)
{
	struct server_conn *conn = handle->data;

	buf->base = read_buffer;
	buf->len = pipelined_max_bytes(conn);
	/* Without space the loop reads nothing, and comes again. While a
	 * request is served, reading tells that the caller has left. */
	if (conn->turns && conn->state == SERVER_CONN_READING &&
	    !read_turns_take(conn->turns, &conn->turn))
		buf->len = 0;
}

static void await_request(struct server_conn *conn)
{
	http_head_clear(&conn->request.head);
	buffer_clear(&conn->request.target);
	buffer_free(&conn->request.body);
	server_conn_record_input(conn);
	server_conn_parse_next(conn);
	conn->state = SERVER_CONN_READING;
	conn->request_begun = false;
	conn->refused_status = 400; /* unless a callback sets another */
	conn->partly_read = false;
	conn->caller_closes = false;
	conn->chunked = false;
	conn->call = NULL;
	server_conn_start_wait(conn);
}

struct server_conn *server_conn_accept(uv_stream_t *listener,
				       const struct server_limits *limits,
				       const struct server_conn_events *events,
				       void *owner)
{
	struct server_conn *conn = xcalloc(1, sizeof(*conn));

	conn->limits = limits;
	conn->kept_limits = *limits;
	conn->events = events;
	conn->owner = owner;
	conn->open_handles = 2;
	uv_tcp_init(listener->loop, &conn->tcp);
	uv_timer_init(listener->loop, &conn->timer);
	conn->tcp.data = conn;
	conn->timer.data = conn;
	if (uv_accept(listener, (uv_stream_t *)&conn->tcp) < 0) {
		conn->state = SERVER_CONN_CLOSING;
		uv_close((uv_handle_t *)&conn->timer, on_handle_closed);
		uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
		return NULL;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	await_request(conn);
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	return conn;
}

static void on_shut_down(uv_shutdown_t *request, int status)
{
	/* The caller's end of the stream or the timer closes the connection. */
}

void server_conn_end_flushed(struct server_conn *conn)
{
	if (conn->lingers)
		return;
	if (conn->caller_closes ||
	    uv_shutdown(&conn->shutdown_request, (uv_stream_t *)&conn->tcp,
			on_shut_down) < 0) {
		close_now(conn);
		return;
	}
	conn->lingers = true;
	if (conn->read_paused && !conn->stopped_discarding)
		uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	server_conn_start_wait(conn);
}

static void resume_reading(struct server_conn *conn)
{
	if (!conn->read_paused)
		return;
	conn->read_paused = false;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void read_next(struct server_conn *conn)
{
	await_request(conn);
	if (server_conn_is_full(conn)) {
		server_conn_pause_reading(conn);
		return;
	}
	resume_reading(conn);
	parse_pipelined(conn);
}

void server_conn_read_on(struct server_conn *conn)
{
	if (!conn->request_begun)
		server_conn_start_wait(conn);
	resume_reading(conn);
	parse_pipelined(conn);
}

void server_conn_finish(struct server_conn *conn)
{
	uv_buf_t last_chunk = uv_buf_init("0\r\n\r\n", 5);

	if (conn->state == SERVER_CONN_CLOSING)
		return;
	if (conn->chunked && !conn->is_head_request)
		server_conn_write_parts(conn, &last_chunk, 1);
	if (conn->write_failed) {
		close_now(conn);
		return;
	}
	if (conn->keep_alive) {
		read_next(conn);
		return;
	}
	flush_and_close(conn);
}

void server_conn_abort(struct server_conn *conn)
{
	/* HTTP/1.0 has no chunked coding: only a reset marks a truncated
	 * response of unknown length. */
	if (conn->http_1_0 && conn->state != SERVER_CONN_CLOSING) {
		conn->state = SERVER_CONN_CLOSING;
		conn->events->closed(conn);
		uv_close((uv_handle_t *)&conn->timer, on_handle_closed);
		if (uv_tcp_close_reset(&conn->tcp, on_handle_closed) < 0)
			uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
		return;
	}
	close_now(conn);
}

/* Bytes that wait in the socket count as progress. */
static bool has_stalled(struct server_conn *conn)
{
	return conn->state == SERVER_CONN_READING && conn->request_begun &&
	       !conn->partly_read && !conn->parses_pipelined &&
	       now_ms() - conn->received_at_ms >= conn->limits->stall_room_ms &&
	       stream_input_look(&conn->tcp) == STREAM_INPUT_NONE;
}

bool server_conn_make_room(struct server_conn *conns)
{
	struct server_conn *most = NULL;

	for (struct server_conn *conn = conns; conn; conn = conn->next)
		if (conn->limits->stall_room_ms &&
		    conn->held_input_bytes > HELD_BYTES_ITEM_MIN &&
		    (!most ||
		     conn->held_input_bytes > most->held_input_bytes) &&
		    has_stalled(conn))
			most = conn;
	if (!most)
		return false;
	most->close_reason = SERVER_CLOSE_MADE_ROOM;
	most->refused_status = 503;
	refuse_input(most);
	return true;
}

bool server_conn_is_overdue(const struct server_conn *conn)
{
	return server_conn_waited_ms(conn) >
	       conn->kept_limits.idle_ms + IDLE_MARGIN_MS;
}

bool server_conn_is_idle(const struct server_conn *conn)
{
	return conn->state == SERVER_CONN_READING && !conn->request_begun &&
	       !server_conn_unwritten(conn);
}

static void on_idle_read(uv_timer_t *timer)
{
	struct server_conn *conn = timer->data;

	assert(server_conn_is_idle(conn));
	if (has_to_read(conn))
		uv_timer_start(timer, on_idle_read, READ_ONCE_MS, 0);
	else
		close_for(conn, conn->idle_close_reason);
}

bool server_conn_close_idle(struct server_conn *conn,
			    enum server_close_reason reason)
{
	if (!server_conn_is_idle(conn))
		return false;
	conn->idle_close_reason = reason;
	uv_timer_start(&conn->timer, on_idle_read, READ_ONCE_MS, 0);
	return true;
}
