#include <string.h>
#include <strings.h>

#include "transport/server_conn_private.h"

/* Any value but 0, 1 and 2 stops the parser from every callback: 1 and 2 have
 * a meaning of their own in on_headers_complete(). */
#define PARSER_ABORT (-1)

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

static int on_header_field(http_parser *parser, const char *data, size_t size)
{
	struct server_conn *conn = parser->data;

	if (head_exceeds_limit(conn, size))
		return refuse(conn, 431);
	http_head_add_name(&conn->request.head, data, size);
	return 0;
}

static int on_header_value(http_parser *parser, const char *data, size_t size)
{
	struct server_conn *conn = parser->data;

	if (head_exceeds_limit(conn, size))
		return refuse(conn, 431);
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

static int on_headers_complete(http_parser *parser)
{
	struct server_conn *conn = parser->data;
	const char *expect;

	parser->upgrade = 0;
	conn->http_1_0 = parser->http_major < 1 ||
			 (parser->http_major == 1 && parser->http_minor < 1);
	conn->is_head_request = parser->method == HTTP_HEAD;
	conn->request.method = http_method_str(parser->method);
	if (!framing_is_unambiguous(&conn->request.head) ||
	    parser->method == HTTP_CONNECT)
		return refuse(conn, 400);
	if (conn->events->head && !conn->events->head(conn))
		return refuse(conn, SERVER_REFUSED_BY_OWNER);
	if (parser->content_length != UINT64_MAX &&
	    parser->content_length > (uint64_t)max_body_bytes(conn))
		return refuse(conn, 413);
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

	if ((int64_t)(conn->request.body.size + size) > max_body_bytes(conn))
		return refuse(conn, 413);
	buffer_add(&conn->request.body, data, size);
	return 0;
}

static int on_message_complete(http_parser *parser)
{
	struct server_conn *conn = parser->data;

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

size_t server_conn_parse(struct server_conn *conn, const char *data,
			 size_t size)
{
	return http_parser_execute(&conn->parser, &parser_settings, data, size);
}
