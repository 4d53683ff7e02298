#include "soak/soak_caller.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "transport/socket_address.h"

#define READ_SIZE_BYTES 65536
#define THINK_SPREAD_MS 120
#define RECONNECT_MS 50
/* One in this many polls ends the request that waits. */
#define GIVE_UP_EVERY 3000
#define NEW_CONNECTION_PERCENT 5
#define POOR_PERCENT 30
#define OLD_VERSION_PERCENT 40
/* A host may be this late with the refusal of a request whose time is over. */
#define LATE_US (1500 * SOAK_US_PER_MS)
/* The caller of a host that is paused or gone ends its request after this. */
#define ABANDON_US (10 * SOAK_US_PER_S)

struct soak_caller_conn {
	struct soak_caller *caller; /* NULL once it has let go of it */
	unsigned int host_start;    /* number of the process at the other end */
	uv_tcp_t tcp;
	uv_connect_t connecting;
	http_parser parser;
	struct http_head head;
};

static void schedule(struct soak_caller *caller, unsigned int delay_ms);

static void on_conn_closed(uv_handle_t *handle)
{
	struct soak_caller_conn *conn = handle->data;

	http_head_free(&conn->head);
	free(conn);
}

static void close_conn(struct soak_caller *caller)
{
	struct soak_caller_conn *conn = caller->conn;

	if (!conn)
		return;
	caller->conn = NULL;
	conn->caller = NULL;
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
}

static void end_request(struct soak_caller *caller)
{
	struct soak_request *request = caller->request;

	caller->request = NULL;
	if (request)
		soak_checks_end(caller->soak, request, &caller->response);
	schedule(caller, (unsigned int)tgw_random_below(&caller->soak->random,
							THINK_SPREAD_MS));
}

static void drop_conn(struct soak_caller *caller)
{
	bool was_waiting = caller->request;

	close_conn(caller);
	if (was_waiting)
		end_request(caller);
	else
		schedule(caller, RECONNECT_MS);
}

static int on_begin(http_parser *parser)
{
	struct soak_caller_conn *conn = parser->data;
	struct soak_response *response = &conn->caller->response;

	http_head_clear(&conn->head);
	buffer_clear(&response->body);
	response->status = 0;
	response->complete = false;
	return 0;
}

static int on_name(http_parser *parser, const char *data, size_t size)
{
	struct soak_caller_conn *conn = parser->data;

	http_head_add_name(&conn->head, data, size);
	return 0;
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
	struct soak_caller_conn *conn = parser->data;

	http_head_add_value(&conn->head, data, size);
	return 0;
}

static int on_head(http_parser *parser)
{
	struct soak_caller_conn *conn = parser->data;
	struct soak_caller *caller = conn->caller;
	struct soak_response *response = &caller->response;
	const char *id = http_head_find(&conn->head, "Tamarackgw-Request-Id");

	response->status = parser->status_code;
	response->signed_by_server =
		http_head_find(&conn->head, "Tamarackgw-Response-Stamp");
	response->id_matches = id && caller->request &&
			       soak_requests_find(&caller->soak->requests,
						  id) == caller->request;
	return 0;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
	struct soak_caller_conn *conn = parser->data;
	struct soak_caller *caller = conn->caller;

	buffer_add(&caller->response.body, data, size);
	if (caller->request && soak_request_is_stream(caller->request) &&
	    caller->response.status == 200)
		soak_checks_events(caller->soak, caller->request,
				   &caller->response.body);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct soak_caller_conn *conn = parser->data;

	conn->caller->response.complete = true;
	http_parser_pause(parser, 1);
	return 0;
}

static const http_parser_settings parser_settings = {
	.on_message_begin = on_begin,
	.on_header_field = on_name,
	.on_header_value = on_value,
	.on_headers_complete = on_head,
	.on_body = on_body,
	.on_message_complete = on_complete,
};

static void finish_response(struct soak_caller *caller, bool more_follows)
{
	bool keeps = http_should_keep_alive(&caller->conn->parser);

	if (more_follows)
		soak_broken(caller->soak, "wrong-answer",
			    "%s sent more than one response to r%u",
			    caller->host->name, caller->request->number);
	if (more_follows || !keeps)
		close_conn(caller);
	end_request(caller);
}

static void parse(struct soak_caller *caller, const char *data, size_t size)
{
	struct soak_caller_conn *conn = caller->conn;
	size_t used;

	if (!caller->request && size) {
		soak_broken(caller->soak, "wrong-answer",
			    "%s sent %zu bytes without a request",
			    caller->host->name, size);
		drop_conn(caller);
		return;
	}
	used = http_parser_execute(&conn->parser, &parser_settings, data, size);
	if (caller->response.complete) {
		finish_response(caller, used < size);
	} else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
		if (size && !caller->request->may_break)
			soak_broken(caller->soak, "wrong-answer",
				    "%s answered r%u with no valid HTTP",
				    caller->host->name,
				    caller->request->number);
		drop_conn(caller);
	}
}

static void on_alloc(uv_handle_t *handle, size_t suggested_size,
		     uv_buf_t *space)
{
	static char bytes[READ_SIZE_BYTES];

	space->base = bytes;
	space->len = sizeof(bytes);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *space)
{
	struct soak_caller_conn *conn = stream->data;
	struct soak_caller *caller = conn->caller;

	if (!caller || !size)
		return;
	if (size > 0) {
		parse(caller, space->base, (size_t)size);
		return;
	}
	/* The end may complete a response that has no length. */
	if (size == UV_EOF && caller->request && caller->response.status)
		parse(caller, NULL, 0);
	if (caller->conn == conn)
		drop_conn(caller);
}

static void on_written(uv_write_t *request, int status)
{
	free(request->data);
	free(request);
}

static void choose_version(struct soak *soak, struct soak_request *request)
{
	request->version = soak->version;
	if (soak->version > 1 && soak_happens(soak, OLD_VERSION_PERCENT))
		request->version--;
}

static struct soak_request *new_request(struct soak_caller *caller)
{
	struct soak *soak = caller->soak;
	struct soak_request *request = soak_requests_add(&soak->requests);

	request->kind =
		(enum soak_kind)tgw_random_below(&soak->random, SOAK_KINDS);
	request->host = caller->host;
	request->host_start = caller->conn->host_start;
	request->sent_us = soak_now_us();
	request->uses_link = caller->uses_link;
	request->team = soak_happens(soak, POOR_PERCENT) ? SOAK_POOR_TEAM
							 : SOAK_RICH_TEAM;
	if (request->kind == SOAK_VERSION_ROUTE)
		request->team = NULL;
	if (request->kind == SOAK_VERSION_KEY)
		request->team = SOAK_VERSION_TEAM;
	if (request->kind == SOAK_VERSION_ROUTE ||
	    request->kind == SOAK_VERSION_KEY)
		choose_version(soak, request);
	return request;
}

static void add_key(const struct soak_request *request, struct buffer *text)
{
	if (request->kind == SOAK_VERSION_KEY)
		buffer_add_format(text, "Authorization: Token key-%ld\r\n",
				  request->version);
	else if (request->team)
		buffer_add_format(text, "Authorization: Token key-%s\r\n",
				  request->team);
}

static void write_request(const struct soak_request *request,
			  struct buffer *text)
{
	struct buffer body = {0};

	soak_request_body(request, &body);
	buffer_add_text(text, body.size ? "POST " : "GET ");
	soak_request_path(request, text);
	buffer_add_format(text,
			  " HTTP/1.1\r\nHost: a.example\r\n"
			  "Tamarackgw-Request-Id: r%u\r\n"
			  "Tamarackgw-Deadline-Ms: %d\r\n"
			  "Content-Length: %zu\r\n",
			  request->number, SOAK_TIMEOUT_MS, body.size);
	add_key(request, text);
	if (soak_request_is_stream(request))
		buffer_add_format(text, "Tamarackgw-Token-Count: %d,%u\r\n",
				  SOAK_INPUT_TOKENS,
				  soak_request_event_count(request) *
					  SOAK_EVENT_TOKENS);
	buffer_add_text(text, "\r\n");
	buffer_add(text, body.data, body.size);
	buffer_free(&body);
}

static void send_request(struct soak_caller *caller)
{
	struct soak_caller_conn *conn = caller->conn;
	struct soak_request *request = new_request(caller);
	uv_write_t *writing = xcalloc(1, sizeof(*writing));
	struct buffer text = {0};
	uv_buf_t part;

	caller->request = request;
	caller->response.status = 0;
	caller->response.complete = false;
	buffer_clear(&caller->response.body);
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
	write_request(request, &text);
	part = uv_buf_init(text.data, (unsigned int)text.size);
	writing->data = text.data;
	uv_write(writing, (uv_stream_t *)&conn->tcp, &part, 1, on_written);
}

static void on_connected(uv_connect_t *connecting, int status)
{
	struct soak_caller_conn *conn = connecting->handle->data;
	struct soak_caller *caller = conn->caller;

	if (!caller)
		return;
	if (status < 0) {
		drop_conn(caller);
		return;
	}
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	send_request(caller);
}

static void open_conn(struct soak_caller *caller)
{
	struct soak_caller_conn *conn = xcalloc(1, sizeof(*conn));
	union socket_address address;

	conn->caller = caller;
	conn->host_start = caller->host->starts;
	caller->conn = conn;
	socket_address_parse(caller->uses_link
				     ? caller->host->caller_link.address
				     : caller->host->caller_address,
			     &address);
	uv_tcp_init(&caller->soak->loop, &conn->tcp);
	conn->tcp.data = conn;
	uv_tcp_connect(&conn->connecting, &conn->tcp, &address.any,
		       on_connected);
}

static void on_timer(uv_timer_t *timer)
{
	struct soak_caller *caller = timer->data;

	if (caller->request)
		return;
	if (caller->conn && soak_happens(caller->soak, NEW_CONNECTION_PERCENT))
		close_conn(caller);
	if (caller->conn)
		send_request(caller);
	else
		open_conn(caller);
}

static void schedule(struct soak_caller *caller, unsigned int delay_ms)
{
	uv_timer_start(&caller->timer, on_timer, delay_ms + 1, 0);
}

void soak_caller_start(struct soak_caller *caller, struct soak *soak,
		       struct soak_host *host, bool uses_link)
{
	caller->soak = soak;
	caller->host = host;
	caller->uses_link = uses_link;
	uv_timer_init(&soak->loop, &caller->timer);
	caller->timer.data = caller;
	schedule(caller, 0);
}

static void give_up(struct soak_caller *caller)
{
	caller->request = NULL;
	drop_conn(caller);
}

void soak_caller_poll(struct soak_caller *caller)
{
	const struct soak_host *host = caller->host;
	int64_t limit_us = SOAK_TIMEOUT_MS * SOAK_US_PER_MS + LATE_US;
	int64_t waited_us;

	if (!caller->request)
		return;
	waited_us = soak_now_us() - caller->request->sent_us;
	if (waited_us > limit_us && host->pid && !host->paused &&
	    soak_now_us() - host->paused_us > limit_us &&
	    soak_now_us() - caller->soak->stalled_us > limit_us &&
	    !caller->uses_link) {
		soak_broken(caller->soak, "late-answer",
			    "%s left r%u without a final answer for %lld ms; "
			    "status %d, %zu bytes",
			    host->name, caller->request->number,
			    (long long)(waited_us / SOAK_US_PER_MS),
			    caller->response.status,
			    caller->response.body.size);
		give_up(caller);
	} else if (waited_us > ABANDON_US ||
		   !tgw_random_below(&caller->soak->random, GIVE_UP_EVERY)) {
		give_up(caller);
	}
}
