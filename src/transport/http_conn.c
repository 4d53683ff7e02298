#include "transport/http_conn.h"

#include <assert.h>
#include <linux/sockios.h>
#include <netinet/tcp.h>
#include <stdlib.h>
#include <string.h>
#include <sys/ioctl.h>
#include <sys/socket.h>

#include "base/xalloc.h"
#include "tamarackgw/clock.h"
#include "transport/stream_input.h"
#include "transport/stream_write.h"

/* The kernel gives up sending the rest of a closed connection after this. */
#define CLOSED_UNACKED_TIMEOUT_MS 4000
/* A reset that follows a clean end of the stream arrives within this time. */
#define RESET_WAIT_MS 2
/* A server that has ended its response and acknowledges nothing for so long
 * does not take the rest of the request. */
#define UNTAKEN_REQUEST_MS 1000
/* An idle connection is not reused when less than this is left of its server's
 * idle limit. */
#define IDLE_MARGIN_US (700 * TGW_US_PER_MS)

/* A server that announces a longer limit is taken to mean this one. */
#define IDLE_LIMIT_MAX_S 86400

#define STATUS_NO_CONTENT 204
#define STATUS_NOT_MODIFIED 304

/* Tells the parser that no body follows a head. */
#define SKIP_BODY 1

#define READ_SIZE_BYTES (64 * 1024)

/* The loop has one thread, so one buffer serves all reads. */
static char read_buffer[READ_SIZE_BYTES];

static void forget_unsent(struct http_conn *conn)
{
	buffer_free(&conn->unsent_head);
	held_buffer_unref(conn->unsent_body);
	conn->unsent_body = NULL;
}

static void on_closed(uv_handle_t *handle)
{
	struct http_conn *conn = handle->data;

	if (--conn->open_handles)
		return;
	http_head_free(&conn->head);
	forget_unsent(conn);
	free(conn);
}

/* An open connection has no such limit, which a peer that only pauses would
 * exceed as well: its owner knows how long the request may take. */
static void limit_unacked_time(struct http_conn *conn)
{
	unsigned int unacked_ms = CLOSED_UNACKED_TIMEOUT_MS;
	uv_os_fd_t descriptor;

	if (!uv_fileno((uv_handle_t *)&conn->tcp, &descriptor))
		setsockopt(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
			   &unacked_ms, sizeof(unacked_ms));
}

void http_conn_close(struct http_conn *conn)
{
	if (conn->state == HTTP_CONN_CLOSING)
		return;
	conn->state = HTTP_CONN_CLOSING;
	conn->events = NULL;
	limit_unacked_time(conn);
	uv_close((uv_handle_t *)&conn->tcp, on_closed);
	uv_close((uv_handle_t *)&conn->timer, on_closed);
}

static void fail(struct http_conn *conn, enum http_conn_fault fault)
{
	const struct http_conn_events *events = conn->events;

	if (conn->state == HTTP_CONN_CLOSING)
		return;
	if (events) {
		conn->events = NULL;
		events->broken(conn, fault);
	}
	http_conn_close(conn);
}

static int on_message_begin(http_parser *parser)
{
	struct http_conn *conn = parser->data;

	http_head_clear(&conn->head);
	return 0;
}

/* Fields of a trailer are no header fields (RFC 9110, 6.5.1), and are dropped:
 * no host looks for any. */
static int on_header_field(http_parser *parser, const char *data, size_t size)
{
	struct http_conn *conn = parser->data;

	if (!conn->check.in_trailer)
		http_head_add_name(&conn->head, data, size);
	return 0;
}

static int on_header_value(http_parser *parser, const char *data, size_t size)
{
	struct http_conn *conn = parser->data;

	if (!conn->check.in_trailer)
		http_head_add_value(&conn->head, data, size);
	return 0;
}

static bool is_interim(const struct http_conn *conn)
{
	return conn->status >= 100 && conn->status < 200;
}

/* Such a final response ends with its head, whatever length it announces (RFC
 * 9112, 6.3), as interim ones do. */
static bool has_no_body(const struct http_conn *conn)
{
	return conn->ignore_body || conn->status == STATUS_NO_CONTENT ||
	       conn->status == STATUS_NOT_MODIFIED;
}

/* Reads the limit that a server announces for idle connections, at most
 * IDLE_LIMIT_MAX_S. */
static void read_idle_limit(struct http_conn *conn)
{
	const char *field = http_head_find(&conn->head, "Keep-Alive");
	const char *timeout = field ? strstr(field, "timeout=") : NULL;
	long limit_s;

	if (!timeout)
		return;
	limit_s = strtol(timeout + strlen("timeout="), NULL, 10);
	if (limit_s < 0)
		limit_s = 0;
	if (limit_s > IDLE_LIMIT_MAX_S)
		limit_s = IDLE_LIMIT_MAX_S;
	conn->idle_limit_us = limit_s * TGW_US_PER_S - IDLE_MARGIN_US;
}

static int on_headers_complete(http_parser *parser)
{
	struct http_conn *conn = parser->data;

	conn->status = (int)parser->status_code;
	conn->discarding = false;
	if (!http_response_check_codings(&conn->check, &conn->head,
					 parser->flags & F_CHUNKED))
		return -1;
	if (is_interim(conn))
		return SKIP_BODY;
	read_idle_limit(conn);
	if (conn->events->head(conn) == HTTP_CONN_DISCARD)
		conn->discarding = true;
	if (conn->state == HTTP_CONN_CLOSING)
		return -1;
	return has_no_body(conn) ? SKIP_BODY : 0;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
	struct http_conn *conn = parser->data;

	if (!conn->discarding)
		conn->events->body(conn, data, size);
	return conn->state == HTTP_CONN_CLOSING;
}

static int on_message_complete(http_parser *parser)
{
	struct http_conn *conn = parser->data;

	/* What follows, also an interim response, is checked as a head. */
	http_parser_pause(parser, 1);
	if (is_interim(conn))
		return 0;
	conn->has_responded = true;
	/* Whether a late copy of a response to HEAD has a body would be guessed
	 * from a later request's method. */
	conn->reusable = http_should_keep_alive(parser) && !conn->discarding &&
			 !conn->ignore_body;
	conn->response_done = !conn->discarding;
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

static void finish_response(struct http_conn *conn, bool more_bytes)
{
	const struct http_conn_events *events = conn->events;

	/* An early response leaves part of the request unsent. */
	if (more_bytes || conn->write_failed ||
	    uv_stream_get_write_queue_size((uv_stream_t *)&conn->tcp))
		conn->reusable = false;
	/* The last piece of the body may have paused it. */
	http_conn_resume(conn);
	conn->state = HTTP_CONN_IDLE;
	conn->events = NULL;
	events->complete(conn);
	if (conn->state == HTTP_CONN_IDLE && !conn->reusable)
		http_conn_close(conn);
}

/* Prepares the check for what follows the bytes that the parser got.
 * @return false if the parser has refused them */
static bool begin_next_part(struct http_conn *conn)
{
	enum http_errno error = HTTP_PARSER_ERRNO(&conn->parser);

	if (error == HPE_PAUSED) {
		http_parser_pause(&conn->parser, 0);
		http_response_check_begin_head(&conn->check);
		return true;
	}
	if (error != HPE_OK)
		return false;
	if (conn->check.state == HTTP_RESPONSE_AFTER_HEAD)
		http_response_check_begin_body(&conn->check,
					       conn->parser.flags & F_CHUNKED);
	return true;
}

static void fail_malformed(struct http_conn *conn)
{
	if (conn->check.defect == HTTP_DEFECT_NONE)
		conn->check.defect = HTTP_DEFECT_FRAMING;
	fail(conn, HTTP_CONN_MALFORMED);
}

/* The parser gets what is checked: the bytes up to the end of a head, of a
 * trailer, or of the input. */
static void parse(struct http_conn *conn, const char *data, size_t size)
{
	while (size) {
		size_t valid =
			http_response_check_feed(&conn->check, data, size);
		size_t used = 0;

		/* The parser takes no bytes for the end of the stream. */
		if (valid)
			used = http_parser_execute(
				&conn->parser, &parser_settings, data, valid);
		if (conn->state == HTTP_CONN_CLOSING)
			return;
		if (conn->response_done) {
			finish_response(conn, used < size);
			return;
		}
		if (!used || !begin_next_part(conn)) {
			fail_malformed(conn);
			return;
		}
		data += used;
		size -= used;
	}
}

/* A reset may follow right after a clean end of the stream, but the read
 * reports only the end. */
static bool was_reset(const struct http_conn *conn)
{
	uv_os_fd_t descriptor;
	int socket_error = 0;
	socklen_t size = sizeof(socket_error);

	/* The failed write has taken the socket's error. */
	if (conn->write_failed)
		return true;
	if (uv_fileno((const uv_handle_t *)&conn->tcp, &descriptor) ||
	    getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &socket_error, &size) <
		    0)
		return true;
	return socket_error != 0;
}

/* @param unsent bytes of the request that are on their way
 * @return whether the server still takes the request */
static bool takes_request(struct http_conn *conn, size_t unsent)
{
	uint64_t now_ms = uv_now(conn->tcp.loop);

	if (!conn->unsent_since_ms || unsent < conn->unsent_after_eof) {
		conn->unsent_after_eof = unsent;
		conn->unsent_since_ms = now_ms;
	}
	return now_ms - conn->unsent_since_ms < UNTAKEN_REQUEST_MS;
}

/* A response without a length that ended before its server had the whole
 * request is whole only once it has: until then the rest of the request may be
 * answered by a reset, as it is after a crash. */
static void on_eof_timer(uv_timer_t *timer)
{
	struct http_conn *conn = timer->data;
	size_t unsent;
	bool reset;

	if (conn->state == HTTP_CONN_CLOSING)
		return;
	/* In this order, since the rest of the request may cause the reset. */
	unsent = http_conn_unsent(conn);
	reset = was_reset(conn);
	if (!reset && !conn->response_done)
		http_parser_execute(&conn->parser, &parser_settings, NULL, 0);
	if (conn->state == HTTP_CONN_CLOSING)
		return;
	if (reset || !conn->response_done ||
	    (unsent && !takes_request(conn, unsent))) {
		fail(conn, HTTP_CONN_CLOSED);
		return;
	}
	if (unsent)
		uv_timer_start(timer, on_eof_timer, RESET_WAIT_MS, 0);
	else if (conn->events->ended)
		conn->events->ended(conn);
	else
		http_conn_confirm_end(conn);
}

void http_conn_confirm_end(struct http_conn *conn)
{
	assert(conn->state == HTTP_CONN_AWAITING && conn->response_done);
	conn->reusable = false;
	finish_response(conn, false);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	struct http_conn *conn = stream->data;

	if (size == 0 || conn->state == HTTP_CONN_CLOSING)
		return;
	/* An idle connection that sends bytes or ends can't be reused. */
	if (conn->state == HTTP_CONN_IDLE) {
		fail(conn, HTTP_CONN_CLOSED);
		return;
	}
	if (size > 0) {
		if (conn->link_bytes)
			conn->link_bytes->received_bytes += (uint64_t)size;
		parse(conn, buf->base, (size_t)size);
		return;
	}
	/* A response without a length is complete only after a clean end. */
	if (size == UV_EOF && conn->sent && !conn->eof_seen) {
		conn->eof_seen = true;
		uv_read_stop(stream);
		/* The loop's time is older than the end if the loop is late. */
		uv_update_time(stream->loop);
		uv_timer_start(&conn->timer, on_eof_timer, RESET_WAIT_MS, 0);
		return;
	}
	fail(conn, HTTP_CONN_CLOSED);
}

static void on_alloc(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buf)
{
	buf->base = read_buffer;
	buf->len = sizeof(read_buffer);
}

static void on_written(uv_stream_t *stream, int status)
{
	struct http_conn *conn = stream->data;

	/* The response may have arrived before the connection failed. Reading
	 * reports the end after it. */
	if (status < 0)
		conn->write_failed = true;
}

static void on_write_refused(uv_timer_t *timer)
{
	fail(timer->data, HTTP_CONN_CLOSED);
}

static size_t body_size(const struct held_buffer *body)
{
	return body ? body->bytes.size : 0;
}

static void write_request(struct http_conn *conn, const struct buffer *head,
			  struct held_buffer *body)
{
	uv_buf_t parts[2];
	unsigned int count = 1;

	parts[0] = uv_buf_init(head->data, (unsigned int)head->size);
	if (body_size(body))
		parts[count++] = uv_buf_init(body->bytes.data,
					     (unsigned int)body->bytes.size);
	conn->sent = true;
	if (conn->link_bytes)
		conn->link_bytes->sent_bytes += stream_write_size(parts, count);
	if (stream_write_parts((uv_stream_t *)&conn->tcp, parts, count,
			       count > 1 ? body : NULL, on_written))
		uv_timer_start(&conn->timer, on_write_refused, 0, 0);
}

static void on_connected(uv_connect_t *request, int status)
{
	struct http_conn *conn = request->handle->data;

	if (conn->state == HTTP_CONN_CLOSING)
		return;
	if (status < 0) {
		fail(conn, HTTP_CONN_NOT_CONNECTED);
		return;
	}
	conn->connected = true;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	if (!conn->unsent_head.size)
		return;
	write_request(conn, &conn->unsent_head, conn->unsent_body);
	forget_unsent(conn);
}

static void on_connect_failed(uv_timer_t *timer)
{
	fail(timer->data, HTTP_CONN_NOT_CONNECTED);
}

struct http_conn *http_conn_open(uv_loop_t *loop,
				 const struct sockaddr *address)
{
	struct http_conn *conn = xcalloc(1, sizeof(*conn));

	/* The socket is opened by uv_tcp_connect(), which reports a failure. */
	uv_tcp_init(loop, &conn->tcp);
	uv_timer_init(loop, &conn->timer);
	conn->timer.data = conn;
	conn->open_handles = 2;
	conn->tcp.data = conn;
	conn->parser.data = conn;
	uv_tcp_nodelay(&conn->tcp, 1);
	if (uv_tcp_connect(&conn->connecting, &conn->tcp, address,
			   on_connected) < 0)
		uv_timer_start(&conn->timer, on_connect_failed, 0, 0);
	return conn;
}

bool http_conn_is_quiet(const struct http_conn *conn)
{
	return stream_input_look(&conn->tcp) == STREAM_INPUT_NONE;
}

size_t http_conn_unsent(const struct http_conn *conn)
{
	uv_os_fd_t descriptor;
	int in_kernel = 0;

	if (uv_fileno((const uv_handle_t *)&conn->tcp, &descriptor) ||
	    ioctl(descriptor, SIOCOUTQ, &in_kernel) < 0)
		return 0;
	return conn->unsent_head.size + body_size(conn->unsent_body) +
	       uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp) +
	       (size_t)in_kernel;
}

void http_conn_send(struct http_conn *conn,
		    const struct http_conn_events *events, void *arg,
		    const struct buffer *head, struct held_buffer *body)
{
	assert(conn->state == HTTP_CONN_IDLE);
	conn->state = HTTP_CONN_AWAITING;
	conn->events = events;
	conn->arg = arg;
	conn->sent = false;
	conn->response_done = false;
	conn->reusable = false;
	conn->write_failed = false;
	memset(&conn->check, 0, sizeof(conn->check));
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	if (conn->connected) {
		write_request(conn, head, body);
		return;
	}
	buffer_add(&conn->unsent_head, head->data, head->size);
	conn->unsent_body = held_buffer_ref(body);
}

void http_conn_pause(struct http_conn *conn)
{
	if (conn->state != HTTP_CONN_CLOSING && conn->connected)
		uv_read_stop((uv_stream_t *)&conn->tcp);
}

void http_conn_resume(struct http_conn *conn)
{
	if (conn->state != HTTP_CONN_CLOSING && conn->connected)
		uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}
