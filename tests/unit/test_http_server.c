/* Tests that the HTTP server waits for a handler that responds late, whose
 * caller must not be treated as stalled, and that it tells which responses are
 * not written yet, for a planned stop. */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/xalloc.h"

#include "protocol/http.h"
#include "tamarackgw/clock.h"
#include "transport/http_server.h"
#include "transport/loop_client.h"
#include "unit/unit_main.h"

#define IDLE_US (30 * TGW_US_PER_S)
#define TICK_US (5 * TGW_US_PER_MS)
/* More than the sockets of both sides hold with the values below. */
#define LARGE_BYTES ((size_t)120 * 1024)
#define HUGE_BYTES ((size_t)512 * 1024)
#define RECEIVE_BUFFER_BYTES 4096
#define SEGMENT_BYTES 536
#define SHORT_IDLE_MS 400
#define PAUSE_MS 600
#define WAIT_MS 10000

static struct answer *pending_answer;
static int ticks;
static int due_tick;
static bool ended;
static enum http_outcome outcome;
static int32_t http_status;

static bool on_head(void *arg, struct server_exchange *exchange)
{
	return true;
}

/* Has the response set a few ticks later, well within the time for which a
 * caller may be idle. */
static void on_slow_request(void *arg, struct server_exchange *exchange)
{
	pending_answer = answer_ref(server_exchange_answer(exchange));
	due_tick = ticks + 3;
}

static void ignore_exchange(void *arg, struct server_exchange *exchange)
{
}

static void on_tick(void *arg)
{
	if (!pending_answer || ++ticks < due_tick)
		return;
	answer_set(pending_answer, 200, "text/plain", "ok", 2);
	answer_unref(pending_answer);
	pending_answer = NULL;
}

static void on_started(void *arg, int32_t status, const char *content_type)
{
	http_status = status;
}

static bool on_data(void *arg, const void *data, size_t size)
{
	return true;
}

static void on_ended(void *arg, enum http_outcome how, const char *message)
{
	outcome = how;
	ended = true;
}

static const struct http_server_settings settings = {
	.address = "127.0.0.1:0",
	.max_connections = 8,
	.max_body_bytes = 1024,
	.max_header_bytes = 4096,
	.caller_idle_us = IDLE_US,
	.tick_us = TICK_US,
};

START_TEST(a_caller_that_awaits_a_response_stays_connected)
{
	const struct http_server_handler handler = {
		.head = on_head,
		.request = on_slow_request,
		.too_large = ignore_exchange,
		.closed = ignore_exchange,
		.tick = on_tick,
	};
	const struct http_handler client_handler = {on_started, on_data,
						    on_ended, NULL};
	struct loop_client_settings client_settings =
		loop_client_settings_default();
	struct event_loop *loop = event_loop_new();
	struct loop_client *client = loop_client_new(loop, &client_settings);
	struct tgw_error error;
	struct http_server *server =
		http_server_new(loop, &settings, &handler, &error);
	struct http_request request = {.method = "GET"};
	char url[64];

	ck_assert_ptr_nonnull(server);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/page",
		 (int)http_server_port(server));
	request.url = url;
	http_start(loop_client_sender(client), &request, client_handler);
	event_loop_run_until(loop, &ended);
	ck_assert_int_eq(outcome, HTTP_COMPLETE);
	ck_assert_int_eq(http_status, 200);
	loop_client_free(client);
	http_server_free(server);
	event_loop_free(loop);
}
END_TEST

static bool exchange_closed;

static void on_large_request(void *arg, struct server_exchange *exchange)
{
	char *body = xmalloc(LARGE_BYTES);

	memset(body, 'x', LARGE_BYTES);
	answer_set(server_exchange_answer(exchange), 200, "text/plain", body,
		   LARGE_BYTES);
	free(body);
}

static void on_exchange_closed(void *arg, struct server_exchange *exchange)
{
	exchange_closed = true;
}

static void ignore_tick(void *arg)
{
}

static int connect_slow_caller(const struct http_server *server)
{
	static const char request[] = "GET / HTTP/1.1\r\nHost: a\r\n\r\n";
	struct sockaddr_in address = {.sin_family = AF_INET};
	int buffer_bytes = RECEIVE_BUFFER_BYTES;
	int segment_bytes = SEGMENT_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
		   sizeof(segment_bytes));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(http_server_port(server));
	ck_assert_int_eq(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	ck_assert_int_gt(send(fd, request, strlen(request), 0), 0);
	return fd;
}

/* @return bytes that were waiting */
static size_t read_some(int fd)
{
	static char bytes[64 * 1024];
	ssize_t size = recv(fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	return size > 0 ? (size_t)size : 0;
}

START_TEST(the_end_of_a_response_is_known_to_be_unwritten)
{
	const struct http_server_handler handler = {
		.head = on_head,
		.request = on_large_request,
		.too_large = ignore_exchange,
		.closed = on_exchange_closed,
		.tick = ignore_tick,
	};
	struct event_loop *loop = event_loop_new();
	uv_loop_t *uv = event_loop_uv(loop);
	struct tgw_error error;
	struct http_server *server =
		http_server_new(loop, &settings, &handler, &error);
	int fd = connect_slow_caller(server);
	size_t received = 0;

	while (!exchange_closed)
		uv_run(uv, UV_RUN_NOWAIT);
	ck_assert(http_server_is_writing(server));
	while (http_server_is_writing(server)) {
		received += read_some(fd);
		uv_run(uv, UV_RUN_NOWAIT);
	}
	http_server_free(server);
	uv_run(uv, UV_RUN_NOWAIT);
	for (size_t size = 1; size; usleep(1000)) {
		size = read_some(fd);
		received += size;
	}
	ck_assert_uint_gt(received, LARGE_BYTES);
	close(fd);
	event_loop_free(loop);
}
END_TEST

/* Its caller has not read the response to the first one by then. */
START_TEST(a_second_request_that_is_late_does_not_cut_the_first_response)
{
	const struct http_server_handler handler = {
		.head = on_head,
		.request = on_large_request,
		.too_large = ignore_exchange,
		.closed = on_exchange_closed,
		.tick = ignore_tick,
	};
	struct http_server_settings short_idle = settings;
	struct event_loop *loop = event_loop_new();
	uv_loop_t *uv = event_loop_uv(loop);
	struct http_server *server;
	struct tgw_error error;
	size_t received = 0;
	int fd;

	short_idle.caller_idle_us = SHORT_IDLE_MS * TGW_US_PER_MS;
	server = http_server_new(loop, &short_idle, &handler, &error);
	fd = connect_slow_caller(server);
	ck_assert_int_eq(send(fd, "GET /", 5, 0), 5);
	for (int i = 0; i < 2 * PAUSE_MS; i++) {
		uv_run(uv, UV_RUN_NOWAIT);
		if (i >= PAUSE_MS)
			received += read_some(fd);
		usleep(1000);
	}
	ck_assert_uint_gt(received, LARGE_BYTES);
	http_server_free(server);
	uv_run(uv, UV_RUN_NOWAIT);
	close(fd);
	event_loop_free(loop);
}
END_TEST

static void on_huge_request(void *arg, struct server_exchange *exchange)
{
	char *body = xmalloc(HUGE_BYTES);

	memset(body, 'x', HUGE_BYTES);
	answer_set(server_exchange_answer(exchange), 200, "text/plain", body,
		   HUGE_BYTES);
	free(body);
}

/* The loop stands still for longer than the caller may accept nothing; the
 * caller has read by then. */
START_TEST(a_response_whose_host_stood_still_is_not_taken_for_stalled)
{
	const struct http_server_handler handler = {
		.head = on_head,
		.request = on_huge_request,
		.too_large = ignore_exchange,
		.closed = ignore_exchange,
		.tick = ignore_tick,
	};
	struct http_server_settings short_idle = settings;
	struct event_loop *loop = event_loop_new();
	uv_loop_t *uv = event_loop_uv(loop);
	struct http_server *server;
	struct tgw_error error;
	size_t received = 0;
	int fd;

	short_idle.caller_idle_us = SHORT_IDLE_MS * TGW_US_PER_MS;
	server = http_server_new(loop, &short_idle, &handler, &error);
	fd = connect_slow_caller(server);
	while (!http_server_is_writing(server))
		uv_run(uv, UV_RUN_NOWAIT);
	for (int i = 0; i < PAUSE_MS; i++) {
		received += read_some(fd);
		usleep(1000);
	}
	ck_assert_uint_lt(received, HUGE_BYTES);
	for (int i = 0; i < WAIT_MS && received < HUGE_BYTES; i++) {
		uv_run(uv, UV_RUN_NOWAIT);
		received += read_some(fd);
		usleep(1000);
	}
	ck_assert_uint_gt(received, HUGE_BYTES);
	http_server_free(server);
	uv_run(uv, UV_RUN_NOWAIT);
	close(fd);
	event_loop_free(loop);
}
END_TEST

START_TEST(a_response_announces_how_long_the_connection_is_kept)
{
	const struct http_server_handler handler = {
		.head = on_head,
		.request = on_large_request,
		.too_large = ignore_exchange,
		.closed = ignore_exchange,
		.tick = ignore_tick,
	};
	struct event_loop *loop = event_loop_new();
	struct tgw_error error;
	struct http_server *server =
		http_server_new(loop, &settings, &handler, &error);
	int fd = connect_slow_caller(server);
	char head[512] = "";

	for (int i = 0; i < PAUSE_MS && !*head; i++) {
		uv_run(event_loop_uv(loop), UV_RUN_NOWAIT);
		recv(fd, head, sizeof(head) - 1, MSG_DONTWAIT);
		usleep(1000);
	}
	ck_assert_ptr_nonnull(strstr(head, "Keep-Alive: timeout=30\r\n"));
	close(fd);
	http_server_free(server);
	uv_run(event_loop_uv(loop), UV_RUN_NOWAIT);
	event_loop_free(loop);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("http_server");
	TCase *tcase = tcase_create("slow");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, a_caller_that_awaits_a_response_stays_connected);
	tcase_add_test(tcase, the_end_of_a_response_is_known_to_be_unwritten);
	tcase_add_test(
		tcase,
		a_second_request_that_is_late_does_not_cut_the_first_response);
	tcase_add_test(
		tcase,
		a_response_whose_host_stood_still_is_not_taken_for_stalled);
	tcase_add_test(tcase,
		       a_response_announces_how_long_the_connection_is_kept);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
