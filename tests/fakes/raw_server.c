#include "fakes/raw_server.h"

#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>

#include "base/buffer.h"
#include "base/xalloc.h"
#include "fakes/loop_listener.h"

struct raw_conn {
	uv_tcp_t tcp;
	uv_timer_t timer;
	unsigned int open_handles;
	struct raw_server *server;
	struct raw_conn *previous;
	struct raw_conn *next;
	struct buffer request;
	bool has_answered;
	bool has_ended; /* its own stream */
};

static void on_handle_closed(uv_handle_t *handle)
{
	struct raw_conn *conn = handle->data;

	if (--conn->open_handles)
		return;
	buffer_free(&conn->request);
	free(conn);
}

static void unlink_conn(struct raw_conn *conn)
{
	if (conn->previous)
		conn->previous->next = conn->next;
	else
		conn->server->conns = conn->next;
	if (conn->next)
		conn->next->previous = conn->previous;
}

static void close_conn(struct raw_conn *conn, bool reset)
{
	if (uv_is_closing((uv_handle_t *)&conn->tcp))
		return;
	unlink_conn(conn);
	conn->server->closed++;
	if (!reset || uv_tcp_close_reset(&conn->tcp, on_handle_closed))
		uv_close((uv_handle_t *)&conn->tcp, on_handle_closed);
	uv_close((uv_handle_t *)&conn->timer, on_handle_closed);
}

/* uv_shutdown() would rule out a reset. */
static void end_stream(struct raw_conn *conn)
{
	uv_os_fd_t descriptor;

	uv_fileno((const uv_handle_t *)&conn->tcp, &descriptor);
	shutdown(descriptor, SHUT_WR);
	conn->has_ended = true;
}

static void on_end(uv_timer_t *timer)
{
	struct raw_conn *conn = timer->data;
	const struct raw_server *server = conn->server;

	if (server->end != RAW_SERVER_ENDS || conn->has_ended) {
		close_conn(conn, server->end != RAW_SERVER_CLOSES);
		return;
	}
	end_stream(conn);
	if (server->reset_ms)
		uv_timer_start(timer, on_end, server->reset_ms, 0);
}

static void answer(struct raw_conn *conn)
{
	struct raw_server *server = conn->server;
	uv_buf_t bytes = uv_buf_init((char *)server->answer,
				     (unsigned int)strlen(server->answer));

	server->requests++;
	server->kept_requests += conn->has_answered;
	conn->has_answered = true;
	uv_try_write((uv_stream_t *)&conn->tcp, &bytes, 1);
	if (!server->reads_on && server->end != RAW_SERVER_STAYS_OPEN)
		uv_read_stop((uv_stream_t *)&conn->tcp);
	if (server->end != RAW_SERVER_STAYS_OPEN)
		uv_timer_start(&conn->timer, on_end, server->end_ms, 0);
}

static void on_alloc(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buf)
{
	static char bytes[4096];

	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	struct raw_conn *conn = stream->data;

	if (size < 0) {
		close_conn(conn, false);
		return;
	}
	if (uv_is_active((uv_handle_t *)&conn->timer) || conn->has_ended)
		return;
	buffer_add(&conn->request, buf->base, (size_t)size);
	if (!conn->request.size || !strstr(conn->request.data, "\r\n\r\n"))
		return;
	buffer_clear(&conn->request);
	answer(conn);
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct raw_conn *conn = xcalloc(1, sizeof(*conn));

	conn->server = listener->data;
	conn->next = conn->server->conns;
	if (conn->next)
		conn->next->previous = conn;
	conn->server->conns = conn;
	conn->open_handles = 2;
	uv_tcp_init(listener->loop, &conn->tcp);
	uv_timer_init(listener->loop, &conn->timer);
	conn->tcp.data = conn;
	conn->timer.data = conn;
	conn->server->accepted++;
	if (status < 0 || uv_accept(listener, (uv_stream_t *)&conn->tcp) < 0)
		close_conn(conn, false);
	else
		uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

void raw_server_start(struct raw_server *server, uv_loop_t *loop,
		      const char *answer)
{
	server->answer = answer;
	loop_listener_start(&server->listener, loop, on_connection, server,
			    server->address, sizeof(server->address));
}

void raw_server_stop(struct raw_server *server)
{
	uv_close((uv_handle_t *)&server->listener, NULL);
	while (server->conns)
		close_conn(server->conns, false);
}
