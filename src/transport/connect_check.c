#include "transport/connect_check.h"

#include <stdlib.h>

#include "base/xalloc.h"

#define KEEPALIVE_S 1

static void on_closed(uv_handle_t *handle)
{
	struct connect_check *check = handle->data;

	if (!--check->open_handles)
		free(check);
}

void connect_check_cancel(struct connect_check *check)
{
	if (check->closing)
		return;
	check->closing = true;
	uv_close((uv_handle_t *)&check->tcp, on_closed);
	uv_close((uv_handle_t *)&check->timer, on_closed);
}

static void finish(struct connect_check *check,
		   enum connect_check_result result)
{
	if (check->closing)
		return;
	connect_check_cancel(check);
	check->done(check->arg, result);
}

static void on_alloc(uv_handle_t *handle, size_t suggested, uv_buf_t *buf)
{
	static char ignored[64];

	*buf = uv_buf_init(ignored, sizeof(ignored));
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	struct connect_check *check = stream->data;

	if (size >= 0 || check->closing)
		return;
	connect_check_cancel(check);
	check->ended(check->arg);
}

/* A server that lost power is noticed once it has started again. */
static void watch(struct connect_check *check)
{
	uv_timer_stop(&check->timer);
	uv_tcp_keepalive(&check->tcp, 1, KEEPALIVE_S);
	uv_read_start((uv_stream_t *)&check->tcp, on_alloc, on_read);
	check->done(check->arg, CONNECT_CHECK_ACCEPTED);
}

static void on_connected(uv_connect_t *request, int status)
{
	struct connect_check *check = request->handle->data;

	if (status == 0 && check->ended && !check->closing)
		watch(check);
	else if (status == 0)
		finish(check, CONNECT_CHECK_ACCEPTED);
	else if (status == UV_ECONNREFUSED)
		finish(check, CONNECT_CHECK_REFUSED);
	else
		finish(check, CONNECT_CHECK_UNKNOWN);
}

static void on_timeout(uv_timer_t *timer)
{
	finish(timer->data, CONNECT_CHECK_UNKNOWN);
}

struct connect_check *connect_check_start_watch(
	uv_loop_t *loop, const struct sockaddr *address, int64_t timeout_ms,
	void (*done)(void *arg, enum connect_check_result result),
	void (*ended)(void *arg), void *arg)
{
	struct connect_check *check = xcalloc(1, sizeof(*check));

	uv_tcp_init(loop, &check->tcp);
	uv_timer_init(loop, &check->timer);
	check->open_handles = 2;
	check->tcp.data = check;
	check->timer.data = check;
	check->done = done;
	check->ended = ended;
	check->arg = arg;
	/* An error that it returns at once is reported by the timer. */
	if (uv_tcp_connect(&check->connecting, &check->tcp, address,
			   on_connected))
		timeout_ms = 0;
	uv_timer_start(&check->timer, on_timeout, (uint64_t)timeout_ms, 0);
	return check;
}

struct connect_check *connect_check_start(
	uv_loop_t *loop, const struct sockaddr *address, int64_t timeout_ms,
	void (*done)(void *arg, enum connect_check_result result), void *arg)
{
	return connect_check_start_watch(loop, address, timeout_ms, done, NULL,
					 arg);
}
