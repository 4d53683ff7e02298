#include "soak/lost_caller.h"

#include <http_parser.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "soak/lost_config.h"
#include "soak/lost_report.h"
#include "soak/lost_sending.h"
#include "soak/soak_checks.h"
#include "transport/socket_address.h"

#define READ_SIZE_BYTES 65536
#define THINK_SPREAD_MS 150
#define RECONNECT_MS 50
#define LONG_WAIT_PERCENT 40
#define NEW_CONNECTION_PERCENT 2
/* A host may be this late with the refusal of a request whose time is over;
 * one that is short of processor time, by more. */
#define LATE_US (4 * SOAK_US_PER_S)
/* Callers use a connection again up to four fifths of the idle limit. */
#define REUSE_TENTHS 8
#define REUSE_MIN_TENTHS 5
#define TENTHS 10
/* By which this process may be late to read the end of a response. */
#define READ_SLACK_US (50 * SOAK_US_PER_MS)

struct lost_conn {
	struct lost_caller *caller; /* NULL once it has let go of it */
	unsigned int host_start;    /* number of the process at the other end */
	uv_tcp_t tcp;
	uv_connect_t connecting;
	uv_timer_t piece_timer;
	unsigned int open_handles;
	http_parser parser;
	struct http_head head;
	struct soak_response response;
	struct lost_sending sending;
	unsigned int served;
	int64_t opened_us;
	int64_t idle_since_us;
	int64_t idle_us;       /* before the last requests */
	int64_t idle_limit_us; /* that the caller may rely on */
	bool announced;	       /* by the host */
	bool closes;	       /* after the response that has begun */
};

static void schedule(struct lost_caller *caller, unsigned int delay_ms);

static void on_conn_closed(uv_handle_t *handle)
{
	struct lost_conn *conn = handle->data;

	if (--conn->open_handles)
		return;
	http_head_free(&conn->head);
	buffer_free(&conn->response.body);
	lost_sending_free(&conn->sending);
	free(conn);
}

static void close_conn(struct lost_caller *caller)
{
	struct lost_conn *conn = caller->conn;

	caller->conn = NULL;
	conn->caller = NULL;
	uv_close((uv_handle_t *)&conn->tcp, on_conn_closed);
	uv_close((uv_handle_t *)&conn->piece_timer, on_conn_closed);
}

static unsigned int below(struct lost_caller *caller, unsigned int bound)
{
	return (unsigned int)tgw_random_below(&caller->soak->random, bound);
}

static int64_t worked_until_us(const struct soak_request *request)
{
	if (!request->arrivals)
		return 0;
	return request->answered_us ? request->answered_us : soak_now_us();
}

static struct lost_ending describe(const struct lost_conn *conn,
				   const struct lost_pending *pending)
{
	return (struct lost_ending){
		.request = pending->request,
		.end = {.begun_us = pending->begun_us,
			.whole_us = pending->whole_us,
			.ended_us = soak_now_us(),
			.limit_us = lost_request_limit_us(pending->begun_us),
			.arrivals = pending->request->arrivals,
			.worked_until_us = worked_until_us(pending->request),
			.served_before = conn->served,
			.complete = conn->response.complete},
		.response = &conn->response,
		.opened_us = conn->opened_us,
		.idle_us = conn->idle_us,
		.idle_limit_us = conn->idle_limit_us,
		.host_start = conn->host_start,
	};
}

/* The host closed the connection: no request that waits has an answer. One
 * behind a request whose time was up could not be answered either, since
 * responses come in order. */
static void end_requests(struct lost_caller *caller)
{
	struct lost_conn *conn = caller->conn;
	struct lost_pending *pending;
	struct lost_ending ending;

	while ((pending = lost_sending_first(&conn->sending))) {
		conn->response.complete = false;
		ending = describe(conn, pending);
		if (lost_report_end(caller->host, &ending) == LOST_TIME_OVER)
			return;
		lost_sending_pop(&conn->sending);
		conn->response.status = 0;
		buffer_clear(&conn->response.body);
	}
}

static void lose_conn(struct lost_caller *caller)
{
	end_requests(caller);
	close_conn(caller);
	schedule(caller, RECONNECT_MS);
}

static void check_idle_close(const struct lost_caller *caller)
{
	const struct lost_conn *conn = caller->conn;
	int64_t now_us = soak_now_us();
	int64_t idle_us = now_us - conn->idle_since_us;
	int64_t due_us = conn->idle_limit_us * REUSE_TENTHS / TENTHS;

	if (!conn->served || idle_us + READ_SLACK_US >= due_us ||
	    caller->soak->stalled_us >= conn->idle_since_us ||
	    !lost_host_runs(caller->host, conn->host_start))
		return;
	lost_report_early_close(caller->host, idle_us, conn->idle_limit_us,
				conn->announced);
}

static int on_begin(http_parser *parser)
{
	struct lost_conn *conn = parser->data;

	http_head_clear(&conn->head);
	buffer_clear(&conn->response.body);
	conn->response.status = 0;
	conn->response.complete = false;
	return 0;
}

static int on_name(http_parser *parser, const char *data, size_t size)
{
	struct lost_conn *conn = parser->data;

	http_head_add_name(&conn->head, data, size);
	return 0;
}

static int on_value(http_parser *parser, const char *data, size_t size)
{
	struct lost_conn *conn = parser->data;

	http_head_add_value(&conn->head, data, size);
	return 0;
}

static int on_head(http_parser *parser)
{
	struct lost_conn *conn = parser->data;
	const struct lost_pending *pending = lost_sending_first(&conn->sending);
	const char *id = http_head_find(&conn->head, "Tamarackgw-Request-Id");

	conn->closes = !http_should_keep_alive(parser);
	conn->response.status = parser->status_code;
	conn->response.signed_by_server =
		http_head_find(&conn->head, "Tamarackgw-Response-Stamp");
	conn->response.id_matches =
		id && pending &&
		soak_requests_find(&conn->caller->soak->requests, id) ==
			pending->request;
	return 0;
}

static int on_body(http_parser *parser, const char *data, size_t size)
{
	struct lost_conn *conn = parser->data;

	buffer_add(&conn->response.body, data, size);
	return 0;
}

static int on_complete(http_parser *parser)
{
	struct lost_conn *conn = parser->data;

	conn->response.complete = true;
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

static void init_parser(struct lost_conn *conn)
{
	http_parser_init(&conn->parser, HTTP_RESPONSE);
	conn->parser.data = conn;
}

/* Learns how long the host keeps the connection: what it says, or else what
 * each configuration that may be in force allows. */
static void learn_idle_limit(struct lost_conn *conn)
{
	const char *field = http_head_find(&conn->head, "Keep-Alive");
	const char *timeout = field ? strstr(field, "timeout=") : NULL;

	conn->idle_since_us = soak_now_us();
	conn->announced = timeout;
	conn->idle_limit_us =
		timeout ? strtol(timeout + strlen("timeout="), NULL, 10) *
				  SOAK_US_PER_S
			: lost_config_idle_us();
}

static unsigned int choose_wait_ms(struct lost_caller *caller)
{
	int64_t limit_ms = caller->conn->idle_limit_us / SOAK_US_PER_MS;
	unsigned int from_ms =
		(unsigned int)(limit_ms * REUSE_MIN_TENTHS / TENTHS);
	unsigned int to_ms = (unsigned int)(limit_ms * REUSE_TENTHS / TENTHS);

	if (!soak_happens(caller->soak, LONG_WAIT_PERCENT))
		return below(caller, THINK_SPREAD_MS < to_ms ? THINK_SPREAD_MS
							     : to_ms + 1);
	caller->host->long_waits++;
	return from_ms + below(caller, to_ms - from_ms + 1);
}

/* @return whether the connection goes on */
static bool finish_response(struct lost_caller *caller)
{
	struct lost_conn *conn = caller->conn;
	struct lost_ending ending =
		describe(conn, lost_sending_first(&conn->sending));
	lost_report_end(caller->host, &ending);
	lost_sending_pop(&conn->sending);
	conn->served++;
	learn_idle_limit(conn);
	conn->response.status = 0;
	conn->response.complete = false;
	if (conn->closes) {
		/* Requests behind it count, if the host had read them. */
		lose_conn(caller);
		return false;
	}
	init_parser(conn);
	if (lost_sending_is_done(&conn->sending))
		schedule(caller, choose_wait_ms(caller));
	return true;
}

static void refuse_bytes(struct lost_caller *caller, size_t size)
{
	soak_broken(caller->soak, "wrong-answer",
		    "%s sent %zu bytes that answer no request, or are not HTTP",
		    caller->host->host->name, size);
	lose_conn(caller);
}

static void parse(struct lost_caller *caller, const char *data, size_t size)
{
	struct lost_conn *conn = caller->conn;
	size_t used;

	do {
		if (!lost_sending_first(&conn->sending)) {
			refuse_bytes(caller, size);
			return;
		}
		used = http_parser_execute(&conn->parser, &parser_settings,
					   data, size);
		if (conn->response.complete) {
			if (!finish_response(caller))
				return;
		} else if (HTTP_PARSER_ERRNO(&conn->parser) != HPE_OK) {
			refuse_bytes(caller, size);
			return;
		}
		data += used;
		size -= used;
	} while (size);
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
	struct lost_conn *conn = stream->data;
	struct lost_caller *caller = conn->caller;

	if (!caller || !size)
		return;
	if (size > 0) {
		parse(caller, space->base, (size_t)size);
		return;
	}
	/* The end may complete a response that has no length. */
	if (size == UV_EOF && conn->response.status)
		http_parser_execute(&conn->parser, &parser_settings, NULL, 0);
	if (conn->response.complete && !finish_response(caller))
		return;
	if (!lost_sending_first(&conn->sending))
		check_idle_close(caller);
	lose_conn(caller);
}

static void on_piece(uv_timer_t *timer)
{
	struct lost_conn *conn = timer->data;
	unsigned int delay_ms;

	if (!conn->caller || conn->closes)
		return;
	delay_ms = lost_sending_write(&conn->sending, &conn->tcp);
	if (delay_ms)
		uv_timer_start(&conn->piece_timer, on_piece, delay_ms, 0);
	else if (lost_sending_is_done(&conn->sending))
		schedule(conn->caller, choose_wait_ms(conn->caller));
}

static void send_requests(struct lost_caller *caller)
{
	struct lost_conn *conn = caller->conn;

	init_parser(conn);
	conn->idle_us = soak_now_us() - conn->idle_since_us;
	lost_sending_fill(&conn->sending, caller->soak, caller->host->host,
			  conn->host_start);
	on_piece(&conn->piece_timer);
}

static void on_connected(uv_connect_t *connecting, int status)
{
	struct lost_conn *conn = connecting->handle->data;
	struct lost_caller *caller = conn->caller;

	if (!caller)
		return;
	if (status < 0) {
		lose_conn(caller);
		return;
	}
	uv_tcp_nodelay(&conn->tcp, 1);
	conn->opened_us = soak_now_us();
	conn->idle_since_us = conn->opened_us;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
	send_requests(caller);
}

static void open_conn(struct lost_caller *caller)
{
	struct lost_conn *conn = xcalloc(1, sizeof(*conn));
	union socket_address address;

	conn->caller = caller;
	conn->host_start = caller->host->host->starts;
	conn->open_handles = 2;
	caller->conn = conn;
	socket_address_parse(caller->host->host->caller_address, &address);
	uv_tcp_init(&caller->soak->loop, &conn->tcp);
	uv_timer_init(&caller->soak->loop, &conn->piece_timer);
	conn->tcp.data = conn;
	conn->piece_timer.data = conn;
	uv_tcp_connect(&conn->connecting, &conn->tcp, &address.any,
		       on_connected);
}

static void on_timer(uv_timer_t *timer)
{
	struct lost_caller *caller = timer->data;

	if (caller->conn && lost_sending_first(&caller->conn->sending))
		return;
	if (caller->conn && soak_happens(caller->soak, NEW_CONNECTION_PERCENT))
		close_conn(caller);
	if (caller->conn)
		send_requests(caller);
	else
		open_conn(caller);
}

static void schedule(struct lost_caller *caller, unsigned int delay_ms)
{
	uv_timer_start(&caller->timer, on_timer, delay_ms + 1, 0);
}

void lost_caller_start(struct lost_caller *caller, struct soak *soak,
		       struct lost_host *host)
{
	caller->soak = soak;
	caller->host = host;
	uv_timer_init(&soak->loop, &caller->timer);
	caller->timer.data = caller;
	schedule(caller, below(caller, THINK_SPREAD_MS));
}

void lost_caller_poll(struct lost_caller *caller)
{
	struct lost_conn *conn = caller->conn;
	const struct lost_pending *pending =
		conn ? lost_sending_first(&conn->sending) : NULL;
	int64_t waited_us;

	if (!pending)
		return;
	/* A host may count the time from the response before. */
	waited_us = soak_now_us() - (pending->begun_us > conn->idle_since_us
					     ? pending->begun_us
					     : conn->idle_since_us);
	if (waited_us <= LOST_DEADLINE_MS * SOAK_US_PER_MS + LATE_US)
		return;
	soak_broken(caller->soak, "late-answer",
		    "%s left r%u without a final answer for %lld ms; status "
		    "%d, %zu bytes, %u arrivals",
		    caller->host->host->name, pending->request->number,
		    (long long)(waited_us / SOAK_US_PER_MS),
		    conn->response.status, conn->response.body.size,
		    pending->request->arrivals);
	close_conn(caller);
	schedule(caller, RECONNECT_MS);
}
