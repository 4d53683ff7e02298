#include <string.h>
#include <strings.h>

#include "transport/server_conn_private.h"

/* Any value but 0, 1 and 2 stops the parser from every callback: 1 and 2 have
 * a meaning of their own in on_headers_complete(). */
#define PARSER_ABORT (-1)
/* Framing that each byte of a body may have: a chunk of one byte takes 5 bytes
 * beside it, more with leading zeros. */
#define CHUNK_FRAMING_BYTES 16

static int refuse(struct server_conn *conn, int status)
{
	conn->refused_status = status;
	return PARSER_ABORT;
}

/* A request may go by the limits in force when it began, and by later ones. */
static void begin_request_limits(struct server_conn *conn)
{
	conn->kept_limits.head_bytes = conn->limits->head_bytes;
	conn->kept_limits.body_bytes = conn->limits->body_bytes;
	conn->kept_limits.head_ms = conn->limits->head_ms;
}

static int on_message_begin(http_parser *parser)
{
	struct server_conn *conn = parser->data;

	conn->request_begun = true;
	conn->head_complete = false;
	conn->framing_bytes = 0;
	begin_request_limits(conn);
	server_conn_start_wait(conn);
	return 0;
}

static bool head_exceeds_limit(const struct server_conn *conn, size_t more)
{
	const struct server_request *request = &conn->request;

	return (int64_t)(request->head.text.size + request->target.size +
			 more) >
	       server_conn_max_of(conn->kept_limits.head_bytes,
				  conn->limits->head_bytes);
}

static int on_url(http_parser *parser, const char *data, size_t size)
{
	struct server_conn *conn = parser->data;

	if (head_exceeds_limit(conn, size))
		return refuse(conn, 431);
	buffer_add(&conn->request.target, data, size);
	return 0;
}

/* Fields after a body are dropped: they were not part of what was checked. A
 * name with a space, which the parser lets through, is another field to a
 * server that ignores the space. */
static int on_header_field(http_parser *parser, const char *data, size_t size)
{
	struct server_conn *conn = parser->data;

	if (conn->head_complete)
		return 0;
	if (head_exceeds_limit(conn, size))
		return refuse(conn, 431);
	if (memchr(data, ' ', size))
		return refuse(conn, 400);
	http_head_add_name(&conn->request.head, data, size);
	return 0;
}

static int on_header_value(http_parser *parser, const char *data, size_t size)
{
	struct server_conn *conn = parser->data;

	if (conn->head_complete)
		return 0;
	if (head_exceeds_limit(conn, size))
		return refuse(conn, 431);
	if (memchr(data, '\0', size))
		return refuse(conn, 400);
	http_head_add_value(&conn->request.head, data, size);
	return 0;
}

/* Prevents request smuggling, which relies on a head from which two parties
 * read different body lengths or hosts. */
static bool framing_is_unambiguous(const struct http_head *head)
{
	const char *coding = http_head_find(head, "Transfer-Encoding");

	if (http_head_count(head, "Transfer-Encoding") > 1 ||
	    http_head_count(head, "Content-Length") > 1 ||
	    http_head_count(head, "Host") > 1)
		return false;
	if (!coding)
		return true;
	return !strcasecmp(coding, "chunked") &&
	       !http_head_find(head, "Content-Length");
}

static int64_t max_body_bytes(const struct server_conn *conn)
{
	return server_conn_max_of(conn->kept_limits.body_bytes,
				  conn->limits->body_bytes);
}

void server_conn_record_input(struct server_conn *conn)
{
	const struct server_request *request = &conn->request;

	if (!conn->held)
		return;
	held_bytes_record(conn->held, &conn->held_input_bytes,
			  (int64_t)(request->head.text.capacity +
				    request->target.capacity +
				    request->body.capacity +
				    conn->pipelined.capacity));
}

long long server_conn_body_length(const struct server_conn *conn)
{
	uint64_t length = conn->parser.content_length;
	bool is_chunked = conn->parser.flags & F_CHUNKED;

	return conn->head_complete && !is_chunked && length <= INT64_MAX
		       ? (long long)length
		       : SERVER_LENGTH_UNKNOWN;
}

struct held_buffer *server_conn_take_body(struct server_conn *conn)
{
	struct buffer *body = &conn->request.body;
	int64_t body_bytes = 0;

	if (conn->held) {
		server_conn_record_input(conn);
		body_bytes = (int64_t)body->capacity;
		conn->held_input_bytes -= body_bytes;
	}
	return held_buffer_take(body, conn->held, &body_bytes);
}

static enum held_verdict check_more(const struct server_conn *conn,
				    int64_t more_bytes)
{
	return held_bytes_check(conn->held, conn->held_input_bytes,
				conn->held_input_bytes + more_bytes);
}

/* @return 0 if the host may hold a body of this capacity, otherwise the status
 * of the refusal */
static int refusal_of_body(struct server_conn *conn, size_t capacity)
{
	enum held_verdict verdict;
	int64_t more_bytes;

	if (!conn->held)
		return 0;
	server_conn_record_input(conn);
	more_bytes = (int64_t)capacity - (int64_t)conn->request.body.capacity;
	verdict = check_more(conn, more_bytes);
	while (verdict == HELD_HOST_FULL && conn->events->make_room &&
	       conn->events->make_room(conn))
		verdict = check_more(conn, more_bytes);
	switch (verdict) {
	case HELD_FITS:
		return 0;
	case HELD_ITEM_TOO_LARGE:
		return 413;
	default:
		return 503;
	}
}

/* Makes room for a body whose length is known, before any of it is read.
 * @return 0, or the status of the refusal */
static int make_room(struct server_conn *conn, uint64_t length)
{
	int status;

	if (length > (uint64_t)max_body_bytes(conn))
		return 413;
	status = refusal_of_body(conn, (size_t)length + 1);
	if (status)
		return status;
	buffer_set_capacity(&conn->request.body, (size_t)length);
	server_conn_record_input(conn);
	return 0;
}

static int on_headers_complete(http_parser *parser)
{
	struct server_conn *conn = parser->data;
	const char *expect;
	int status;

	parser->upgrade = 0;
	conn->head_complete = true;
	conn->http_1_0 = parser->http_major < 1 ||
			 (parser->http_major == 1 && parser->http_minor < 1);
	conn->is_head_request = parser->method == HTTP_HEAD;
	conn->request.method = http_method_str(parser->method);
	if (!framing_is_unambiguous(&conn->request.head) ||
	    parser->method == HTTP_CONNECT)
		return refuse(conn, 400);
	if (conn->events->head && !conn->events->head(conn))
		return refuse(conn, SERVER_REFUSED_BY_OWNER);
	if (parser->content_length != UINT64_MAX && parser->content_length) {
		status = make_room(conn, parser->content_length);
		if (status)
			return refuse(conn, status);
	}
	expect = http_head_find(&conn->request.head, "Expect");
	if (expect && !strcasecmp(expect, "100-continue")) {
		uv_buf_t interim =
			uv_buf_init("HTTP/1.1 100 Continue\r\n\r\n", 25);

		server_conn_write_parts(conn, &interim, 1);
	}
	return 0;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
	struct server_conn *conn = parser->data;
	struct buffer *body = &conn->request.body;
	int status;

	if ((int64_t)(body->size + size) > max_body_bytes(conn))
		return refuse(conn, 413);
	status = refusal_of_body(conn, buffer_capacity_with(body, size));
	if (status)
		return refuse(conn, status);
	buffer_add(body, data, size);
	conn->framing_bytes -= (int64_t)size;
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct server_conn *conn = parser->data;

	if (conn->request.body.size)
		buffer_set_capacity(&conn->request.body, 0);
	conn->keep_alive = http_should_keep_alive(parser);
	conn->caller_closes = !conn->keep_alive;
	conn->state = SERVER_CONN_SERVING;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_message_begin,
	.on_url = on_url,
	.on_header_field = on_header_field,
	.on_header_value = on_header_value,
	.on_headers_complete = on_headers_complete,
	.on_body = on_body,
	.on_message_complete = on_message_complete,
};

void server_conn_parse_next(struct server_conn *conn)
{
	http_parser_init(&conn->parser, HTTP_REQUEST);
	conn->parser.data = conn;
}

/* Without a limit, each chunk may have an extension as long as the parser
 * allows, however little of the body it carries. */
static void check_framing(struct server_conn *conn, bool had_head, size_t used)
{
	int64_t max_bytes =
		conn->limits->framing_bytes +
		CHUNK_FRAMING_BYTES * (int64_t)conn->request.body.size;

	if (!had_head || conn->state != SERVER_CONN_READING ||
	    HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK)
		return;
	conn->framing_bytes += (int64_t)used;
	if (!conn->limits->framing_bytes || conn->framing_bytes <= max_bytes)
		return;
	conn->refused_status = 431;
	conn->close_reason = SERVER_CLOSE_FRAMING;
	/* As if a callback had stopped the parser. */
	conn->parser.http_errno = HPE_CB_chunk_header;
}

size_t server_conn_parse(struct server_conn *conn, const char *data,
			 size_t size)
{
	bool had_head = conn->request_begun && conn->head_complete;
	size_t used = http_parser_execute(&conn->parser, &parser_settings, data,
					  size);

	check_framing(conn, had_head, used);
	server_conn_record_input(conn);
	return used;
}
