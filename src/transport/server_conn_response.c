#include <stdio.h>
#include <string.h>

#include "transport/server_conn_private.h"
#include "transport/stream_input.h"
#include "transport/stream_write.h"

/* While more than this is unwritten, no more of a body is taken, and no further
 * request is read: a caller that does not read does not fill the host. */
#define UNWRITTEN_MAX_BYTES (128 * 1024)
#define CHUNK_HEAD_SIZE 24
#define SMALL_CHUNK_BYTES 2048
#define MS_PER_S 1000

size_t server_conn_unwritten(const struct server_conn *conn)
{
	return uv_stream_get_write_queue_size((const uv_stream_t *)&conn->tcp);
}

bool server_conn_is_full(const struct server_conn *conn)
{
	return server_conn_unwritten(conn) > UNWRITTEN_MAX_BYTES;
}

static void on_written(uv_stream_t *stream, int status)
{
	struct server_conn *conn = stream->data;

	if (conn->state == SERVER_CONN_CLOSING)
		return;
	if (status < 0) {
		server_conn_handle_disconnect(conn);
		return;
	}
	if (server_conn_unwritten(conn))
		return;
	if (conn->state == SERVER_CONN_FLUSHING)
		server_conn_end_flushed(conn);
	else if (conn->state == SERVER_CONN_SERVING || conn->partly_read)
		conn->events->drained(conn);
	else
		server_conn_read_on(conn);
}

void server_conn_write_parts(struct server_conn *conn, const uv_buf_t *parts,
			     unsigned int count)
{
	if (conn->state == SERVER_CONN_CLOSING || conn->write_failed)
		return;
	if (conn->link_bytes)
		conn->link_bytes->sent_bytes += stream_write_size(parts, count);
	if (!stream_write_parts((uv_stream_t *)&conn->tcp, parts, count, NULL,
				on_written))
		return;
	/* The owner is in the middle of its response: end it later. */
	conn->write_failed = true;
	server_conn_start_wait(conn);
}

static const char *reason_of(int status)
{
	switch (status) {
#define REASON(code, name, text) \
	case code:               \
		return #text;
		HTTP_STATUS_MAP(REASON)
#undef REASON
	default:
		return "Unknown";
	}
}

/* After a response that announces the close, no further request may be
 * answered, so one that has arrived, also in part, comes first. */
static bool may_announce_close(const struct server_conn *conn)
{
	if (!conn->keep_alive || conn->partly_read)
		return true;
	return !server_conn_pipelined(conn) &&
	       stream_input_look(&conn->tcp) != STREAM_INPUT_BYTES;
}

static int64_t announced_ms(const struct server_limits *limits)
{
	if (limits->crowded_idle_ms &&
	    limits->crowded_idle_ms < limits->idle_ms)
		return limits->crowded_idle_ms;
	return limits->idle_ms;
}

/* Tells the caller how long the connection is kept, which holds until the next
 * response. A limit that can't be told does not replace the one before. */
static void announce_idle_limit(struct server_conn *conn, struct buffer *head)
{
	int64_t idle_ms = announced_ms(conn->limits);

	if (idle_ms < SERVER_MIN_ANNOUNCED_MS) {
		server_conn_keep_limits(conn);
		return;
	}
	conn->kept_limits.idle_ms = idle_ms;
	buffer_add_format(head, "Keep-Alive: timeout=%lld\r\n",
			  (long long)(idle_ms / MS_PER_S));
}

static void add_connection_fields(struct server_conn *conn, bool closing,
				  struct buffer *head)
{
	if (!conn->keep_alive) {
		buffer_add_text(head, "Connection: close\r\n");
	} else if (!closing) {
		buffer_add_text(head, "Connection: keep-alive\r\n");
		announce_idle_limit(conn, head);
	}
}

void server_conn_send_head(struct server_conn *conn, int status,
			   const struct buffer *fields, int64_t body_bytes,
			   bool closing)
{
	struct buffer head = {0};
	uv_buf_t part;
	bool bodiless = status == 204 || status == 304;

	conn->chunked = body_bytes == SERVER_LENGTH_UNKNOWN &&
			!conn->http_1_0 && !bodiless;
	if ((closing && may_announce_close(conn)) ||
	    (body_bytes == SERVER_LENGTH_UNKNOWN && conn->http_1_0))
		conn->keep_alive = false;
	buffer_add_format(&head, "HTTP/1.1 %d %s\r\n", status,
			  reason_of(status));
	buffer_add(&head, fields->data, fields->size);
	if (conn->chunked)
		buffer_add_text(&head, "Transfer-Encoding: chunked\r\n");
	else if (body_bytes >= 0 && !bodiless)
		buffer_add_format(&head, "Content-Length: %lld\r\n",
				  (long long)body_bytes);
	add_connection_fields(conn, closing, &head);
	buffer_add_text(&head, "\r\n");
	part = uv_buf_init(head.data, (unsigned int)head.size);
	server_conn_write_parts(conn, &part, 1);
	buffer_free(&head);
}

static unsigned int write_chunk_head(char *text, size_t size)
{
	return (unsigned int)snprintf(text, CHUNK_HEAD_SIZE, "%zx\r\n", size);
}

static void write_chunk(struct server_conn *conn, const char *data, size_t size)
{
	char head[CHUNK_HEAD_SIZE];
	uv_buf_t parts[] = {
		uv_buf_init(head, write_chunk_head(head, size)),
		uv_buf_init((char *)data, (unsigned int)size),
		uv_buf_init("\r\n", 2),
	};

	server_conn_write_parts(conn, parts, 3);
}

static const char line_end[] = {'\r', '\n'};

/* For a small chunk, a copy costs less than a write of several parts. */
static void write_small_chunk(struct server_conn *conn, const char *data,
			      size_t size)
{
	char chunk[CHUNK_HEAD_SIZE + SMALL_CHUNK_BYTES + sizeof(line_end)];
	unsigned int length = write_chunk_head(chunk, size);
	uv_buf_t part;

	memcpy(chunk + length, data, size);
	memcpy(chunk + length + size, line_end, sizeof(line_end));
	part = uv_buf_init(chunk, length + (unsigned int)size + 2);
	server_conn_write_parts(conn, &part, 1);
}

bool server_conn_send_body(struct server_conn *conn, const char *data,
			   size_t size)
{
	uv_buf_t part = uv_buf_init((char *)data, (unsigned int)size);

	if (!size || conn->is_head_request ||
	    conn->state == SERVER_CONN_CLOSING)
		return true;
	if (!conn->chunked)
		server_conn_write_parts(conn, &part, 1);
	else if (size <= SMALL_CHUNK_BYTES)
		write_small_chunk(conn, data, size);
	else
		write_chunk(conn, data, size);
	return !server_conn_is_full(conn);
}
