#include "transport/http_server.h"

#include <errno.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/queue.h>

#include "base/buffer.h"
#include "base/xalloc.h"
#include "state/held_bytes.h"
#include "tamarackgw/clock.h"
#include "transport/server_conn.h"
#include "transport/socket_address.h"

#define BACKLOG 511
#define PIECE_BYTES (16 * 1024)
/* A connection that has just been opened or answered is not closed for others:
 * its next request is probably on its way. */
#define MIN_IDLE_MS 1000
#define STATUS_TIMED_OUT 408
#define STATUS_TOO_LARGE 413
#define STATUS_NO_ROOM 503

struct server_exchange {
	struct http_server *server;
	struct server_conn *conn;
	struct answer *answer; /* answer_move_readers() does not change it */
	struct answer_reader reader;
	void *context;
	bool is_closing;  /* the connection closes after this response */
	bool head_sent;	  /* the response's head was written */
	bool is_blocked;  /* waits for the caller to accept bytes */
	bool is_pending;  /* in the server's `pending` list */
	bool is_late;	  /* stalled, if nothing is accepted until a tick */
	size_t unwritten; /* unwritten bytes at progress_us */
	/* When the response was blocked, or bytes were last accepted. */
	int64_t progress_us;
	TAILQ_ENTRY(server_exchange) link;
};

struct http_server {
	struct event_loop *loop;
	struct http_server_settings settings;
	struct http_server_handler handler;
	struct server_limits limits;
	struct held_bytes held_requests;
	/* Copies of what `held_requests` holds, for other threads. */
	_Atomic int64_t held_bytes;
	_Atomic int64_t held_peak_bytes;
	_Atomic uint64_t closes[SERVER_CLOSE_REASONS];
	uv_tcp_t listener;
	uv_timer_t ticker;
	unsigned int references; /* of two handles and a posted run_pending() */
	bool run_is_posted;
	bool accept_is_deferred; /* a connection waits until another closes */
	struct server_conn *conns;
	/* Exchanges whose answers have something to read again. */
	TAILQ_HEAD(, server_exchange) pending;
	atomic_bool stopping;
	_Atomic uint64_t bytes_sent;
	_Atomic int64_t connection_count;
};

static int64_t now_us(const struct http_server *server)
{
	return (int64_t)uv_now(event_loop_uv(server->loop)) * TGW_US_PER_MS;
}

static void server_unref(struct http_server *server)
{
	if (!--server->references)
		free(server);
}

const char *server_exchange_method(const struct server_exchange *exchange)
{
	return exchange->conn->request.method;
}

const char *server_exchange_target(const struct server_exchange *exchange)
{
	return exchange->conn->request.target.data;
}

const char *server_exchange_header(struct server_exchange *exchange,
				   const char *name)
{
	return http_head_find(&exchange->conn->request.head, name);
}

const char *server_exchange_body(const struct server_exchange *exchange,
				 size_t *size)
{
	const struct buffer *body = &exchange->conn->request.body;

	*size = body->size;
	return body->data ? body->data : "";
}

struct answer *server_exchange_answer(struct server_exchange *exchange)
{
	return exchange->answer;
}

void server_exchange_set_context(struct server_exchange *exchange,
				 void *context)
{
	exchange->context = context;
}

void *server_exchange_context(const struct server_exchange *exchange)
{
	return exchange->context;
}

/* ---- the response ---- */

static void end_exchange(struct server_exchange *exchange)
{
	struct http_server *server = exchange->server;

	exchange->conn->call = NULL;
	server->handler.closed(server->handler.arg, exchange);
	answer_detach(&exchange->reader);
	answer_unref(exchange->answer);
	if (exchange->is_pending)
		TAILQ_REMOVE(&server->pending, exchange, link);
	free(exchange);
}

static void add_field(void *arg, const char *name, const char *value)
{
	buffer_add_format(arg, "%s: %s\r\n", name, value);
}

/* @return whether the head was available */
static bool begin_response(struct server_exchange *exchange)
{
	struct answer_head head;
	struct buffer fields = {0};
	bool closing = exchange->is_closing ||
		       atomic_load(&exchange->server->stopping);

	if (!answer_read_head(&exchange->reader, &head))
		return false;
	if (head.content_type[0])
		add_field(&fields, "Content-Type", head.content_type);
	answer_each_header(exchange->reader.answer, add_field, &fields);
	exchange->head_sent = true;
	server_conn_send_head(exchange->conn, head.status, &fields,
			      head.size_known ? (int64_t)head.size
					      : SERVER_LENGTH_UNKNOWN,
			      closing);
	buffer_free(&fields);
	return true;
}

static void record_progress(struct server_exchange *exchange)
{
	exchange->unwritten = server_conn_unwritten(exchange->conn);
	exchange->progress_us = now_us(exchange->server);
	exchange->is_late = false;
}

static void finish_response(struct server_exchange *exchange, bool complete)
{
	struct server_conn *conn = exchange->conn;

	end_exchange(exchange);
	if (complete)
		server_conn_finish(conn);
	else
		server_conn_abort(conn);
}

/* Writes what is available. The exchange may have ended on return. */
static void write_response(struct server_exchange *exchange)
{
	static char piece[PIECE_BYTES]; /* the loop has one thread */
	enum answer_read_result result;
	size_t size;

	if (exchange->is_blocked)
		return;
	if (!exchange->head_sent && !begin_response(exchange))
		return;
	while ((result = answer_read(&exchange->reader, piece, sizeof(piece),
				     &size)) == ANSWER_BYTES) {
		atomic_fetch_add(&exchange->server->bytes_sent, size);
		exchange->is_blocked =
			!server_conn_send_body(exchange->conn, piece, size);
		if (!exchange->is_blocked)
			continue;
		record_progress(exchange);
		return;
	}
	if (result != ANSWER_WAIT)
		finish_response(exchange, result == ANSWER_COMPLETE);
}

static void run_pending(void *arg)
{
	struct http_server *server = arg;
	struct server_exchange *exchange;

	server->run_is_posted = false;
	while ((exchange = TAILQ_FIRST(&server->pending))) {
		TAILQ_REMOVE(&server->pending, exchange, link);
		exchange->is_pending = false;
		write_response(exchange);
	}
	server_unref(server);
}

static void on_park(void *arg)
{
	/* on_wake() follows when there is something to read. */
}

/* Called with the response locked, so the read is posted to the loop. */
static void on_wake(void *arg)
{
	struct server_exchange *exchange = arg;
	struct http_server *server = exchange->server;

	if (exchange->is_pending)
		return;
	exchange->is_pending = true;
	TAILQ_INSERT_TAIL(&server->pending, exchange, link);
	if (server->run_is_posted)
		return;
	server->run_is_posted = true;
	server->references++;
	executor_post(event_loop_executor(server->loop), run_pending, server);
}

/* ---- the request ---- */

static struct server_exchange *new_exchange(struct server_conn *conn)
{
	static const struct answer_limits no_limits = {0};
	struct server_exchange *exchange = xcalloc(1, sizeof(*exchange));

	exchange->server = conn->owner;
	exchange->conn = conn;
	exchange->answer = answer_new(&no_limits);
	exchange->reader.park = on_park;
	exchange->reader.wake = on_wake;
	exchange->reader.arg = exchange;
	answer_attach(exchange->answer, &exchange->reader);
	conn->call = exchange;
	return exchange;
}

static bool on_head(struct server_conn *conn)
{
	struct http_server *server = conn->owner;

	return server->handler.head(server->handler.arg, new_exchange(conn));
}

static bool on_refused(struct server_conn *conn, int status)
{
	struct http_server *server = conn->owner;
	struct server_exchange *exchange = conn->call;

	if (exchange && status == STATUS_TOO_LARGE)
		server->handler.too_large(server->handler.arg, exchange);
	if (exchange && status == STATUS_NO_ROOM)
		server->handler.no_room(server->handler.arg, exchange);
	if (exchange &&
	    (status == STATUS_TOO_LARGE || status == STATUS_NO_ROOM ||
	     status == SERVER_REFUSED_BY_OWNER)) {
		exchange->is_closing = true;
		write_response(exchange);
		return true;
	}
	if (exchange)
		end_exchange(exchange);
	/* A caller that timed out probably would not read a response in time,
	 * unless it still reads an earlier one. */
	if (status != STATUS_TIMED_OUT || server_conn_unwritten(conn))
		return false;
	server_conn_abort(conn);
	return true;
}

static void publish_held(struct http_server *server)
{
	atomic_store(&server->held_bytes, server->held_requests.total_bytes);
	atomic_store(&server->held_peak_bytes,
		     server->held_requests.peak_bytes);
}

static void on_request(struct server_conn *conn)
{
	struct http_server *server = conn->owner;
	struct server_exchange *exchange = conn->call;

	publish_held(server);
	server->handler.request(server->handler.arg, exchange);
	write_response(exchange);
}

static void on_caller_disconnected(struct server_conn *conn)
{
	end_exchange(conn->call);
}

static void on_drained(struct server_conn *conn)
{
	struct server_exchange *exchange = conn->call;

	if (!exchange)
		return;
	exchange->is_blocked = false;
	write_response(exchange);
}

/* ---- connections ---- */

static void accept_one(struct http_server *server);

static void on_conn_closed(struct server_conn *conn)
{
	struct http_server *server = conn->owner;

	if (conn->call)
		end_exchange(conn->call);
	atomic_fetch_add(&server->closes[conn->close_reason], 1);
	/* The connection may be freed after the server. */
	if (conn->held)
		held_bytes_record(conn->held, &conn->held_input_bytes, 0);
	conn->held = NULL;
	publish_held(server);
	if (conn->previous)
		conn->previous->next = conn->next;
	else
		server->conns = conn->next;
	if (conn->next)
		conn->next->previous = conn->previous;
	atomic_fetch_sub(&server->connection_count, 1);
	if (!server->accept_is_deferred)
		return;
	server->accept_is_deferred = false;
	accept_one(server);
}

static bool on_no_room(struct server_conn *conn)
{
	const struct http_server *server = conn->owner;

	return server_conn_make_room(server->conns);
}

static const struct server_conn_events conn_events = {
	.make_room = on_no_room,
	.head = on_head,
	.refused = on_refused,
	.request = on_request,
	.disconnected = on_caller_disconnected,
	.drained = on_drained,
	.closed = on_conn_closed,
};

static void accept_one(struct http_server *server)
{
	struct server_conn *conn =
		server_conn_accept((uv_stream_t *)&server->listener,
				   &server->limits, &conn_events, server);

	if (!conn)
		return;
	atomic_fetch_add(&server->connection_count, 1);
	if (server->settings.request_memory_percent)
		conn->held = &server->held_requests;
	conn->previous = NULL;
	conn->next = server->conns;
	if (conn->next)
		conn->next->previous = conn;
	server->conns = conn;
}

/* Makes room for a connection that waits. */
static void close_longest_idle(struct http_server *server)
{
	struct server_conn *longest = NULL;

	for (struct server_conn *conn = server->conns; conn; conn = conn->next)
		if (server_conn_is_idle(conn) &&
		    (!longest || server_conn_waited_ms(conn) >
					 server_conn_waited_ms(longest)))
			longest = conn;
	if (longest && server_conn_waited_ms(longest) >= MIN_IDLE_MS)
		server_conn_close_idle(longest, SERVER_CLOSE_SURPLUS);
}

/* While a connection is not accepted, the listener reports no others. */
static void on_connection(uv_stream_t *listener, int status)
{
	struct http_server *server = listener->data;

	if (status < 0)
		return;
	if (atomic_load(&server->connection_count) <
	    server->settings.max_connections) {
		accept_one(server);
		return;
	}
	server->accept_is_deferred = true;
	close_longest_idle(server);
}

/* ---- stalled callers ---- */

/* The loop runs timers before it writes, so the time limit takes effect at the
 * tick after the one that finds it exceeded. */
static bool is_stalled(struct server_exchange *exchange)
{
	struct http_server *server = exchange->server;
	bool was_late = exchange->is_late;

	if (!exchange->is_blocked)
		return false;
	if (server_conn_unwritten(exchange->conn) != exchange->unwritten) {
		record_progress(exchange);
		return false;
	}
	exchange->is_late = now_us(server) - exchange->progress_us >
			    server->settings.caller_idle_us;
	return was_late;
}

static void abort_stalled(struct http_server *server)
{
	struct server_conn *conn = server->conns;

	while (conn) {
		struct server_conn *next = conn->next;

		if (conn->call && is_stalled(conn->call))
			server_conn_abort(conn);
		conn = next;
	}
}

static void on_tick(uv_timer_t *timer)
{
	struct http_server *server = timer->data;

	abort_stalled(server);
	if (server->accept_is_deferred)
		close_longest_idle(server);
	server->handler.tick(server->handler.arg);
}

/* ---- the server ---- */

static void set_limits(struct http_server *server)
{
	const struct http_server_settings *settings = &server->settings;

	server->limits = (struct server_limits){
		.head_bytes = settings->max_header_bytes,
		.framing_bytes = settings->framing_bytes,
		.discard_bytes = settings->discard_bytes,
		.stall_room_ms = settings->stall_room_ms,
		.body_bytes = settings->max_body_bytes,
		.head_ms = settings->caller_idle_us / TGW_US_PER_MS,
		.idle_ms = settings->caller_idle_us / TGW_US_PER_MS,
		.stall_ms = settings->caller_idle_us / TGW_US_PER_MS,
	};
}

static int listen_at(struct http_server *server,
		     const union socket_address *address)
{
	int uv_error = uv_tcp_bind(&server->listener, &address->any, 0);

	if (!uv_error)
		uv_error = uv_listen((uv_stream_t *)&server->listener, BACKLOG,
				     on_connection);
	return uv_error;
}

static void on_handle_closed(uv_handle_t *handle)
{
	server_unref(handle->data);
}

static void close_handles(struct http_server *server)
{
	uv_close((uv_handle_t *)&server->listener, on_handle_closed);
	uv_close((uv_handle_t *)&server->ticker, on_handle_closed);
}

static void start_ticking(struct http_server *server)
{
	uint64_t tick_ms = (uint64_t)(server->settings.tick_us / TGW_US_PER_MS);

	uv_timer_start(&server->ticker, on_tick, tick_ms, tick_ms);
}

struct http_server *http_server_new(struct event_loop *loop,
				    const struct http_server_settings *settings,
				    const struct http_server_handler *handler,
				    struct tgw_error *error)
{
	struct http_server *server;
	union socket_address address;
	int uv_error;

	if (!socket_address_parse(settings->address, &address)) {
		tgw_error_set(error, TGW_INVALID,
			      "\"%s\" is not an IP address with a port, "
			      "such as 127.0.0.1:8080",
			      settings->address);
		return NULL;
	}
	server = xcalloc(1, sizeof(*server));
	server->loop = loop;
	server->settings = *settings;
	server->handler = *handler;
	server->references = 2;
	TAILQ_INIT(&server->pending);
	set_limits(server);
	held_bytes_init(&server->held_requests, settings->memory_mb,
			settings->request_memory_percent, 0);
	uv_tcp_init(event_loop_uv(loop), &server->listener);
	uv_timer_init(event_loop_uv(loop), &server->ticker);
	server->listener.data = server;
	server->ticker.data = server;
	uv_error = listen_at(server, &address);
	if (!uv_error) {
		start_ticking(server);
		return server;
	}
	tgw_error_set(error, TGW_UNAVAILABLE,
		      "can't listen on %s (%s); choose a free address of this "
		      "host",
		      settings->address, uv_strerror(uv_error));
	close_handles(server);
	return NULL;
}

uint16_t http_server_port(const struct http_server *server)
{
	union socket_address address;
	int size = sizeof(address);

	if (uv_tcp_getsockname(&server->listener, &address.any, &size) < 0)
		return 0;
	return ntohs(address.any.sa_family == AF_INET6 ? address.v6.sin6_port
						       : address.v4.sin_port);
}

void http_server_disable_keep_alive(struct http_server *server)
{
	atomic_store(&server->stopping, true);
}

struct http_server_figures http_server_figures(const struct http_server *server)
{
	struct http_server_figures figures = {
		.held_bytes = atomic_load(&server->held_bytes),
		.held_peak_bytes = atomic_load(&server->held_peak_bytes),
	};

	for (size_t i = 0; i < SERVER_CLOSE_REASONS; i++)
		figures.closes[i] = atomic_load(&server->closes[i]);
	return figures;
}

bool http_server_is_writing(const struct http_server *server)
{
	for (const struct server_conn *conn = server->conns; conn;
	     conn = conn->next)
		if (server_conn_unwritten(conn))
			return true;
	return false;
}

void http_server_free(struct http_server *server)
{
	if (!server)
		return;
	server->accept_is_deferred = false;
	while (server->conns)
		server_conn_abort(server->conns);
	close_handles(server);
}

uint64_t http_server_bytes_sent(const struct http_server *server)
{
	return atomic_load(&server->bytes_sent);
}

int64_t http_server_connections(const struct http_server *server)
{
	return atomic_load(&server->connection_count);
}
