/* Tests that a request whose caller reads slowly, half-closes, pipelines or
 * sends it late gets its whole response, also at a planned stop and when the
 * limits change. */
#include <arpa/inet.h>
#include <errno.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/xalloc.h"
#include "edge/edge_callers.h"
#include "edge/edge_clock.h"
#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define WAIT_MS 4000
#define DISCONNECT_MS 1500
#define RECEIVE_BUFFER_BYTES 4096
#define SEND_BUFFER_BYTES 4096
#define READ_BYTES 8192
#define LARGE_BODY_BYTES (200 * 1024) /* of the stand-in's action large */
#define IDLE_MS 900
#define HEAD_MS 300
#define STOP_NOTICE_MS 300
/* Of the rig's stop, which the platform would end after 3 s. */
#define LAST_RESPONSES_DUE_MS 2200
#define STOP_END_MS 2400

#define FIELDS "Host: a.example\r\nAuthorization: Token key-1\r\n"
#define GET(path) "GET " path " HTTP/1.1\r\n" FIELDS "\r\n"
#define LAST_GET(path) \
	"GET " path " HTTP/1.1\r\n" FIELDS "Connection: close\r\n\r\n"

/** A caller that sends and reads only when a test says so. */
struct caller {
	int fd;
	struct buffer received;
	bool ended; /**< the host ended the connection or reset it */
};

static struct edge_rig rig;
static struct edge *edge;
static struct caller caller;

static void open_caller(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	const char *port = strchr(rig.hosts[0].settings.caller_address, ':');
	int size = RECEIVE_BUFFER_BYTES;

	memset(&caller, 0, sizeof(caller));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons((uint16_t)strtol(port + 1, NULL, 10));
	caller.fd = socket(AF_INET, SOCK_STREAM, 0);
	setsockopt(caller.fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof(size));
	ck_assert(!connect(caller.fd, (struct sockaddr *)&address,
			   sizeof(address)));
}

static void connect_caller(void)
{
	int size = SEND_BUFFER_BYTES;

	open_caller();
	for (int i = 0; i < 100 && !edge->conn_count; i++)
		edge_rig_run(&rig, 1);
	ck_assert_ptr_nonnull(edge->conns);
	/* What the caller does not read has to wait in the host. */
	uv_send_buffer_size((uv_handle_t *)&edge->conns->tcp, &size);
}

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	edge = &rig.hosts[0].edge;
	connect_caller();
}

static void teardown(void)
{
	close(caller.fd);
	buffer_free(&caller.received);
	edge_rig_run(&rig, 20);
	edge_rig_stop(&rig);
}

static void send_text(const char *text)
{
	ssize_t size = (ssize_t)strlen(text);

	ck_assert_int_eq(send(caller.fd, text, (size_t)size, MSG_NOSIGNAL),
			 size);
}

/* Reads once, without waiting. */
static void read_some(void)
{
	char bytes[READ_BYTES];
	ssize_t size = recv(caller.fd, bytes, sizeof(bytes), MSG_DONTWAIT);

	if (size > 0)
		buffer_add(&caller.received, bytes, (size_t)size);
	else if (size == 0 || errno != EAGAIN)
		caller.ended = true;
}

/* Reads every `interval_ms` until `size` bytes have been received. */
static void read_until(size_t size, int64_t interval_ms)
{
	for (int64_t waited_ms = 0; waited_ms < WAIT_MS && !caller.ended &&
				    caller.received.size < size;
	     waited_ms += interval_ms) {
		edge_rig_run(&rig, interval_ms);
		read_some();
	}
}

static void read_until_end(void)
{
	read_until(SIZE_MAX, 1);
}

static bool has_text(const char *text)
{
	return caller.received.size &&
	       memmem(caller.received.data, caller.received.size, text,
		      strlen(text));
}

static void read_until_text(const char *text)
{
	for (int i = 0; i < WAIT_MS && !caller.ended && !has_text(text); i++) {
		edge_rig_run(&rig, 1);
		read_some();
	}
	ck_assert_msg(has_text(text), "no '%s' in %zu bytes", text,
		      caller.received.size);
}

/* The event loop stands still, as while a large configuration is decoded. */
static void block_loop(int64_t ms)
{
	usleep((useconds_t)(ms * 1000));
}

/* Runs until the host has the whole response, most of it unwritten. */
static void wait_until_answered(uint64_t count)
{
	for (int i = 0; i < WAIT_MS && edge->counters.answered < count; i++)
		edge_rig_run(&rig, 1);
	ck_assert_uint_eq(edge->counters.answered, count);
}

/* The caller has not closed its side. */
static void expect_disconnected(void)
{
	for (int i = 0; i < DISCONNECT_MS / 10 && edge->conn_count; i++)
		edge_rig_run(&rig, 10);
	ck_assert_uint_eq(edge->conn_count, 0);
}

static void expect_large_response(void)
{
	const char *body = memmem(caller.received.data, caller.received.size,
				  "\r\n\r\n", 4);
	size_t head_size;

	ck_assert(!strncmp(caller.received.data, "HTTP/1.1 200 ", 13));
	ck_assert_ptr_nonnull(body);
	head_size = (size_t)(body + 4 - caller.received.data);
	ck_assert_msg(caller.received.size >= head_size + LARGE_BODY_BYTES,
		      "%zu of %d bytes of the body received",
		      caller.received.size - head_size, LARGE_BODY_BYTES);
}

START_TEST(a_planned_stop_does_not_cut_the_response_to_a_slow_caller)
{
	send_text(GET("/safe/large"));
	wait_until_answered(1);
	edge_stop(edge);
	edge_rig_run(&rig, STOP_NOTICE_MS + 300);
	read_until_end();
	expect_large_response();
}
END_TEST

START_TEST(the_idle_limit_does_not_cut_the_response_to_a_slow_caller)
{
	send_text(GET("/safe/large"));
	read_until(LARGE_BODY_BYTES, 25);
	expect_large_response();
}
END_TEST

START_TEST(the_head_limit_does_not_cut_the_last_response_to_a_slow_caller)
{
	send_text(LAST_GET("/safe/large"));
	read_until(LARGE_BODY_BYTES, 25);
	expect_large_response();
}
END_TEST

START_TEST(a_caller_that_has_sent_all_its_requests_gets_the_whole_response)
{
	send_text(_i ? GET("/safe/large") : LAST_GET("/safe/large"));
	wait_until_answered(1);
	shutdown(caller.fd, SHUT_WR);
	edge_rig_run(&rig, 50);
	read_until_end();
	expect_large_response();
}
END_TEST

START_TEST(a_caller_that_stops_reading_is_disconnected)
{
	edge->limits.stall_ms = 300;
	send_text(_i ? GET("/safe/large") : LAST_GET("/safe/large"));
	wait_until_answered(1);
	expect_disconnected();
}
END_TEST

static unsigned int count_text(const char *text)
{
	const char *at = caller.received.data;
	const char *end = at + caller.received.size;
	unsigned int count = 0;

	while (at &&
	       (at = memmem(at, (size_t)(end - at), text, strlen(text)))) {
		count++;
		at += strlen(text);
	}
	return count;
}

static void wait_for_runs(unsigned int count)
{
	for (int i = 0; i < WAIT_MS && edge_rig_runs(&rig) < count; i++)
		edge_rig_run(&rig, 1);
	ck_assert_uint_eq(edge_rig_runs(&rig), count);
}

static void release_servers(void)
{
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		backend_standin_release(&rig.server_standins[i]);
}

static void complete_one_request(void)
{
	send_text(GET("/safe/ok"));
	read_until_text("\r\n\r\ndone");
	buffer_clear(&caller.received);
}

START_TEST(a_request_that_arrived_within_the_idle_limit_is_served)
{
	complete_one_request();
	edge_rig_run(&rig, IDLE_MS - 300);
	send_text(GET("/safe/ok"));
	block_loop(500);
	read_until_text("\r\n\r\ndone");
}
END_TEST

START_TEST(a_request_whose_rest_arrived_within_the_head_limit_is_served)
{
	const char *request = GET("/safe/ok");
	char *start = xstrdup(request);

	start[10] = '\0';
	send_text(start);
	free(start);
	edge_rig_run(&rig, HEAD_MS / 3);
	send_text(request + 10);
	block_loop(HEAD_MS);
	read_until_text("\r\n\r\ndone");
}
END_TEST

START_TEST(a_request_that_arrived_before_a_planned_stop_closes_is_served)
{
	complete_one_request();
	edge_stop(edge);
	edge_rig_run(&rig, STOP_NOTICE_MS - 100);
	send_text(GET("/safe/ok"));
	block_loop(300);
	read_until_text("\r\n\r\ndone");
	ck_assert(has_text("Connection: close"));
}
END_TEST

START_TEST(a_raised_idle_limit_holds_for_connections_that_are_idle)
{
	complete_one_request();
	edge_rig_run(&rig, 300);
	edge->limits.idle_ms = 3 * IDLE_MS;
	edge_rig_run(&rig, IDLE_MS);
	send_text(GET("/safe/ok"));
	read_until_text("\r\n\r\ndone");
}
END_TEST

START_TEST(a_raised_head_limit_holds_for_requests_that_have_begun)
{
	send_text("GET /safe/ok HT");
	edge_rig_run(&rig, HEAD_MS / 3);
	edge->limits.head_ms = 3 * HEAD_MS;
	edge_rig_run(&rig, HEAD_MS);
	send_text("TP/1.1\r\n" FIELDS "\r\n");
	read_until_text("\r\n\r\ndone");
}
END_TEST

START_TEST(requests_that_were_read_before_a_planned_stop_are_served)
{
	send_text(GET("/unsafe/hold"));
	wait_for_runs(1);
	send_text(GET("/unsafe/ok") GET("/unsafe/ok"));
	edge_rig_run(&rig, 20);
	edge_stop(edge);
	edge_rig_run(&rig, STOP_NOTICE_MS + 100);
	release_servers();
	read_until_end();
	ck_assert_uint_eq(count_text("HTTP/1.1 200 "), 3);
	ck_assert_uint_eq(count_text("Connection: close"), 1);
	expect_disconnected();
}
END_TEST

START_TEST(the_rest_of_a_request_that_had_begun_at_a_planned_stop_is_served)
{
	send_text(GET("/unsafe/hold"));
	wait_for_runs(1);
	send_text(GET("/unsafe/ok") "GET /unsafe/ok HT");
	edge_rig_run(&rig, 20);
	edge_stop(edge);
	release_servers();
	wait_until_answered(2);
	send_text("TP/1.1\r\n" FIELDS "\r\n");
	read_until_end();
	ck_assert_uint_eq(count_text("HTTP/1.1 200 "), 3);
	ck_assert_uint_eq(count_text("Connection: close"), 1);
	expect_disconnected();
}
END_TEST

/* A connection on which a second request is read after the stop was noticed. */
static void send_late_in_a_stop(const char *second)
{
	send_text(GET("/unsafe/hold"));
	wait_for_runs(1);
	send_text("GET ");
	edge_rig_run(&rig, 20);
	edge_stop(edge);
	edge_rig_run(&rig, STOP_NOTICE_MS + 50);
	release_servers();
	wait_until_answered(1);
	send_text(second);
	read_until_end();
	ck_assert_uint_eq(count_text("Connection: close"), 1);
}

START_TEST(a_late_request_is_refused_if_the_stop_could_cut_it_off)
{
	send_late_in_a_stop("/long-unsafe/ok HTTP/1.1\r\n" FIELDS "\r\n");
	ck_assert(has_text("HTTP/1.1 503 "));
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

START_TEST(a_late_request_that_ends_before_the_stop_is_served)
{
	send_late_in_a_stop("/unsafe/ok HTTP/1.1\r\n" FIELDS "\r\n");
	ck_assert_uint_eq(count_text("HTTP/1.1 200 "), 2);
	ck_assert_uint_eq(edge_rig_runs(&rig), 2);
}
END_TEST

START_TEST(a_request_that_is_open_at_the_end_of_a_stop_gets_an_answer)
{
	send_text(GET("/long-unsafe/hold"));
	wait_for_runs(1);
	edge_stop(edge);
	read_until_end();
	ck_assert(has_text("HTTP/1.1 504 "));
	ck_assert(has_text("Connection: close"));
}
END_TEST

START_TEST(a_host_that_stood_still_at_the_end_of_a_stop_answers_before_it_exits)
{
	send_text(GET("/long-unsafe/hold"));
	wait_for_runs(1);
	edge_stop(edge);
	edge_rig_run(&rig, LAST_RESPONSES_DUE_MS - 100);
	block_loop(STOP_END_MS - LAST_RESPONSES_DUE_MS + 200);
	/* The loop ends in the first turn after that. */
	uv_run(&rig.loop, UV_RUN_DEFAULT);
	read_some();
	ck_assert_msg(has_text("HTTP/1.1 504 "), "no answer in %zu bytes",
		      caller.received.size);
}
END_TEST

START_TEST(an_answer_that_arrived_before_the_end_of_a_stop_is_forwarded)
{
	send_text(GET("/long-unsafe/hold"));
	wait_for_runs(1);
	edge_stop(edge);
	edge_rig_run(&rig, LAST_RESPONSES_DUE_MS - 150);
	release_servers();
	block_loop(200);
	read_until_end();
	ck_assert_msg(has_text("HTTP/1.1 200 "), "%.12s", caller.received.data);
}
END_TEST

START_TEST(a_part_of_a_request_does_not_keep_a_stopping_host_open)
{
	send_text(GET("/unsafe/hold"));
	wait_for_runs(1);
	send_text("GET /unsafe/ok HT");
	edge_rig_run(&rig, 20);
	edge_stop(edge);
	release_servers();
	read_until_end();
	ck_assert_uint_eq(count_text("HTTP/1.1 200 "), 1);
	expect_disconnected();
}
END_TEST

START_TEST(a_caller_that_keeps_sending_does_not_keep_a_stopping_host_open)
{
	send_text(GET("/unsafe/hold"));
	wait_for_runs(1);
	send_text(GET("/unsafe/ok"));
	edge_rig_run(&rig, 20);
	edge_stop(edge);
	release_servers();
	for (int i = 0; i < WAIT_MS / 10 && !caller.ended; i++) {
		send(caller.fd, GET("/unsafe/ok"), strlen(GET("/unsafe/ok")),
		     MSG_NOSIGNAL);
		edge_rig_run(&rig, 10);
		read_some();
	}
	ck_assert(caller.ended);
	ck_assert(has_text("Connection: close"));
	expect_disconnected();
}
END_TEST

START_TEST(a_request_after_a_closing_response_does_not_cut_the_response)
{
	edge_stop(edge);
	send_text(GET("/safe/large"));
	wait_until_answered(1);
	/* All that is left lies in the two sockets' buffers. */
	read_until(LARGE_BODY_BYTES - 2 * RECEIVE_BUFFER_BYTES, 1);
	edge_rig_run(&rig, 50);
	send_text(GET("/safe/ok"));
	edge_rig_run(&rig, 50);
	read_until_end();
	expect_large_response();
	ck_assert_uint_eq(count_text("HTTP/1.1 "), 1);
}
END_TEST

START_TEST(a_caller_that_waits_for_100_continue_gets_it_behind_a_response)
{
	send_text(GET("/safe/large"));
	wait_until_answered(1);
	send_text("POST /safe/ok HTTP/1.1\r\n" FIELDS
		  "Expect: 100-continue\r\nContent-Length: 1\r\n\r\n");
	edge_rig_run(&rig, 20);
	read_until_text("HTTP/1.1 100 Continue\r\n\r\n");
	send_text("x");
	read_until_text("\r\n\r\ndone");
}
END_TEST

START_TEST(a_response_without_a_body_has_no_chunks)
{
	send_text(GET("/stream/empty") GET("/safe/ok"));
	read_until_text("\r\n\r\ndone");
	ck_assert(!strncmp(caller.received.data, "HTTP/1.1 204 ", 13));
	ck_assert(!has_text("chunked"));
	ck_assert(has_text("\r\n\r\nHTTP/1.1 200 "));
}
END_TEST

START_TEST(a_connection_is_read_again_after_a_response_to_a_slow_caller)
{
	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 300);
	send_text(GET("/safe/larger"));
	wait_until_answered(1);
	send_text(GET("/unsafe/ok"));
	read_until_text("\r\n\r\ndone");
}
END_TEST

static void on_shut_down(uv_shutdown_t *request, int status)
{
}

START_TEST(a_connection_that_a_response_can_not_be_written_to_is_closed)
{
	static uv_shutdown_t request;

	edge->limits.idle_ms = 10 * IDLE_MS;
	send_text(GET("/unsafe/hold"));
	wait_for_runs(1);
	uv_shutdown(&request, (uv_stream_t *)&edge->conns->tcp, on_shut_down);
	release_servers();
	expect_disconnected();
}
END_TEST

START_TEST(a_connection_that_waits_to_be_accepted_at_a_planned_stop_is_served)
{
	edge_stop(edge);
	edge_rig_run(&rig, STOP_NOTICE_MS - 100);
	close(caller.fd);
	open_caller();
	send_text(GET("/safe/ok"));
	block_loop(300);
	read_until_text("\r\n\r\ndone");
	ck_assert(has_text("Connection: close"));
	for (int i = 0; i < 100 && edge->listening; i++)
		edge_rig_run(&rig, 10);
	ck_assert(!edge->listening);
}
END_TEST

static void expect_closed_for(enum server_close_reason reason)
{
	expect_disconnected();
	for (int i = 0; i < SERVER_CLOSE_REASONS; i++)
		ck_assert_uint_eq(edge->counters.caller_closes[i],
				  i == (int)reason);
	ck_assert_uint_eq(edge->counters.unread_closes, 0);
}

/* As a change of the configuration does. */
static void set_idle_limit(int64_t idle_ms)
{
	struct server_limits limits = edge->limits;

	limits.idle_ms = idle_ms;
	edge_callers_set_limits(edge, &limits);
}

static void complete_a_held_request(int64_t idle_ms)
{
	send_text(GET("/unsafe/hold"));
	wait_for_runs(1);
	set_idle_limit(idle_ms);
	release_servers();
	read_until_text("\r\n\r\ndone");
}

static void expect_served_after(int64_t idle_ms)
{
	buffer_clear(&caller.received);
	edge_rig_run(&rig, idle_ms);
	send_text(GET("/safe/ok"));
	read_until_text("\r\n\r\ndone");
}

START_TEST(a_response_announces_the_idle_limit_in_whole_seconds)
{
	static const struct {
		int64_t idle_ms;
		const char *field;
	} cases[] = {
		{15000, "Keep-Alive: timeout=15\r\n"},
		{2900, "Keep-Alive: timeout=2\r\n"},
		{1000, "Keep-Alive: timeout=1\r\n"},
		{999, NULL},
		{0, NULL},
	};

	set_idle_limit(cases[_i].idle_ms);
	send_text(GET("/safe/ok"));
	read_until_text("\r\n\r\ndone");
	ck_assert(has_text("Connection: keep-alive\r\n"));
	if (cases[_i].field)
		ck_assert(has_text(cases[_i].field));
	else
		ck_assert(!has_text("Keep-Alive:"));
}
END_TEST

START_TEST(a_closing_response_announces_no_idle_limit)
{
	send_text(LAST_GET("/safe/ok"));
	read_until_end();
	ck_assert(has_text("Connection: close\r\n"));
	ck_assert(!has_text("Keep-Alive"));
}
END_TEST

START_TEST(an_http_1_0_caller_is_told_that_its_connection_is_kept)
{
	set_idle_limit(1000);
	send_text("GET /safe/ok HTTP/1.0\r\n" FIELDS
		  "Connection: keep-alive\r\n\r\n");
	read_until_text("\r\n\r\ndone");
	ck_assert(has_text("Connection: keep-alive\r\nKeep-Alive: timeout=1"));
	expect_served_after(1000);
}
END_TEST

START_TEST(a_lowered_idle_limit_does_not_close_an_idle_connection_early)
{
	complete_one_request();
	edge_rig_run(&rig, IDLE_MS / 2);
	set_idle_limit(IDLE_MS / 3);
	expect_served_after(IDLE_MS / 4);
}
END_TEST

START_TEST(a_limit_lowered_before_the_response_is_announced_and_kept)
{
	set_idle_limit(3000);
	complete_a_held_request(1000);
	ck_assert(has_text("Keep-Alive: timeout=1\r\n"));
	expect_served_after(1000);
}
END_TEST

START_TEST(a_limit_that_can_not_be_announced_does_not_replace_the_earlier)
{
	set_idle_limit(2000);
	complete_a_held_request(IDLE_MS / 3);
	ck_assert(!has_text("Keep-Alive:"));
	expect_served_after(2000);
}
END_TEST

START_TEST(an_idle_limit_that_was_raised_and_lowered_is_kept)
{
	complete_a_held_request(IDLE_MS / 3);
	set_idle_limit(2000);
	set_idle_limit(1000);
	set_idle_limit(IDLE_MS / 3);
	expect_served_after(2000);
}
END_TEST

START_TEST(the_first_request_goes_by_the_highest_limit_since_the_accept)
{
	set_idle_limit(2000);
	set_idle_limit(IDLE_MS / 3);
	expect_served_after(2000);
}
END_TEST

START_TEST(a_lowered_idle_limit_holds_after_the_next_response)
{
	complete_one_request();
	set_idle_limit(5000);
	set_idle_limit(1000);
	complete_one_request();
	edge_rig_run(&rig, 1000);
	ck_assert_uint_eq(edge->conn_count, 1);
	expect_closed_for(SERVER_CLOSE_IDLE);
}
END_TEST

START_TEST(a_close_at_the_idle_limit_is_counted)
{
	complete_one_request();
	edge_rig_run(&rig, IDLE_MS);
	expect_closed_for(SERVER_CLOSE_IDLE);
}
END_TEST

START_TEST(a_close_of_an_idle_connection_at_a_planned_stop_is_counted)
{
	complete_one_request();
	edge_stop(edge);
	expect_closed_for(SERVER_CLOSE_STOP);
}
END_TEST

START_TEST(a_close_of_a_surplus_connection_is_counted)
{
	complete_one_request();
	edge->room.keep_idle_below = 0;
	expect_closed_for(SERVER_CLOSE_SURPLUS);
}
END_TEST

START_TEST(a_close_after_a_late_head_is_counted)
{
	send_text("GET /safe/ok HT");
	read_until_end();
	ck_assert(has_text("HTTP/1.1 408 "));
	expect_closed_for(SERVER_CLOSE_LATE_HEAD);
}
END_TEST

START_TEST(a_close_of_a_stalled_response_is_counted)
{
	edge->limits.stall_ms = 300;
	send_text(GET("/safe/large"));
	wait_until_answered(1);
	expect_closed_for(SERVER_CLOSE_STALLED);
}
END_TEST

START_TEST(a_connection_that_its_caller_closes_is_counted)
{
	complete_one_request();
	shutdown(caller.fd, SHUT_WR);
	expect_closed_for(SERVER_CLOSE_OTHER);
}
END_TEST

/* A callback takes long right after the last read before a timer closes the
 * connection, and the caller sends meanwhile. */
static const char *sent_before_close;

static void on_check(uv_check_t *check)
{
	const struct server_conn *conn = edge->conns;

	if (!conn || uv_timer_get_due_in(&conn->timer) > 1)
		return;
	if (edge->limits.idle_ms == IDLE_MS && !conn->timeout_pending)
		return;
	send_text(sent_before_close);
	block_loop(10);
	uv_close((uv_handle_t *)check, NULL);
}

static void send_before_close(const char *text)
{
	static uv_check_t check;

	sent_before_close = text;
	uv_check_init(&rig.loop, &check);
	uv_check_start(&check, on_check);
	read_until_text("\r\n\r\ndone");
	ck_assert_uint_eq(edge->counters.unread_closes, 0);
}

START_TEST(a_request_that_arrives_before_the_idle_close_is_served)
{
	complete_one_request();
	send_before_close(GET("/safe/ok"));
}
END_TEST

START_TEST(a_request_that_arrives_before_the_close_of_surplus_is_served)
{
	complete_one_request();
	set_idle_limit(2 * IDLE_MS);
	edge->room.keep_idle_below = 0;
	send_before_close(GET("/safe/ok"));
}
END_TEST

START_TEST(a_request_that_arrives_before_the_close_of_a_stop_is_served)
{
	complete_one_request();
	set_idle_limit(2 * IDLE_MS);
	edge_stop(edge);
	send_before_close(GET("/safe/ok"));
}
END_TEST

START_TEST(the_rest_of_a_request_that_arrives_before_a_408_is_served)
{
	send_text("GET /safe/ok HT");
	send_before_close("TP/1.1\r\n" FIELDS "\r\n");
}
END_TEST

/* Line ends between requests are skipped, and begin none. */
START_TEST(a_caller_that_sends_no_request_is_closed_at_the_idle_limit)
{
	complete_one_request();
	for (int i = 0; i < 2 * IDLE_MS && !caller.ended; i++) {
		send(caller.fd, "\r\n", 2, MSG_NOSIGNAL);
		edge_rig_run(&rig, 1);
		read_some();
	}
	ck_assert(caller.ended);
	expect_disconnected();
}
END_TEST

START_TEST(a_caller_that_sends_its_request_slowly_gets_408)
{
	send_text("GET /safe/");
	for (int i = 0; i < 3 * HEAD_MS && !caller.ended; i++) {
		send(caller.fd, "x", 1, MSG_NOSIGNAL);
		edge_rig_run(&rig, 1);
		read_some();
	}
	ck_assert(has_text("HTTP/1.1 408 "));
}
END_TEST

#define PART_BYTES 1000
#define LOW_BYTES 600

static void set_request_limits(int64_t head_bytes, int64_t body_bytes)
{
	struct server_limits limits = edge->limits;

	limits.head_bytes = head_bytes;
	limits.body_bytes = body_bytes;
	edge_callers_set_limits(edge, &limits);
	edge_rig_run(&rig, 20);
}

static void send_filler(void)
{
	char filler[PART_BYTES + 1];

	memset(filler, 'x', PART_BYTES);
	filler[PART_BYTES] = '\0';
	send_text(filler);
	edge_rig_run(&rig, 20);
}

static void begin_body(void)
{
	send_text("POST /safe/ok HTTP/1.1\r\n" FIELDS
		  "Content-Length: 2000\r\n\r\n");
	send_filler();
}

START_TEST(a_lowered_body_limit_does_not_refuse_a_request_that_has_begun)
{
	begin_body();
	set_request_limits(4096, LOW_BYTES);
	send_filler();
	read_until_text("\r\n\r\ndone");
	buffer_clear(&caller.received);
	begin_body();
	read_until_text("HTTP/1.1 413 ");
}
END_TEST

START_TEST(a_lowered_limit_does_not_refuse_a_chunk_of_a_request_that_has_begun)
{
	send_text("POST /safe/ok HTTP/1.1\r\n" FIELDS
		  "Transfer-Encoding: chunked\r\n\r\n7d0\r\n");
	send_filler();
	set_request_limits(4096, LOW_BYTES);
	send_filler();
	send_text("\r\n0\r\n\r\n");
	read_until_text("\r\n\r\ndone");
}
END_TEST

START_TEST(a_lowered_head_limit_does_not_refuse_a_request_that_has_begun)
{
	send_text("GET /safe/ok HTTP/1.1\r\n" FIELDS "X-Filler: ");
	send_filler();
	set_request_limits(LOW_BYTES, 5000);
	send_text("\r\n\r\n");
	read_until_text("\r\n\r\ndone");
	buffer_clear(&caller.received);
	send_text("GET /safe/ok HTTP/1.1\r\n" FIELDS "X-Filler: ");
	send_filler();
	read_until_text("HTTP/1.1 431 ");
}
END_TEST

START_TEST(a_limit_that_was_raised_and_lowered_holds_for_a_begun_request)
{
	set_request_limits(4096, LOW_BYTES);
	send_text("POST /safe/ok HTTP/1.1\r\n" FIELDS);
	edge_rig_run(&rig, 20);
	set_request_limits(4096, 5000);
	set_request_limits(4096, LOW_BYTES);
	send_text("Content-Length: 1000\r\n\r\n");
	send_filler();
	read_until_text("\r\n\r\ndone");
}
END_TEST

static void set_head_time(int64_t head_ms)
{
	struct server_limits limits = edge->limits;

	limits.head_ms = head_ms;
	edge_callers_set_limits(edge, &limits);
}

START_TEST(a_head_time_that_was_raised_and_lowered_holds_for_a_begun_request)
{
	send_text("GET /safe/ok HT");
	edge_rig_run(&rig, 20);
	set_head_time(3 * HEAD_MS);
	set_head_time(HEAD_MS / 3);
	edge_rig_run(&rig, 2 * HEAD_MS);
	send_text("TP/1.1\r\n" FIELDS "\r\n");
	read_until_text("\r\n\r\ndone");
}
END_TEST

START_TEST(a_half_closed_caller_has_left_while_its_request_is_served)
{
	send_text(GET("/safe/hold"));
	wait_for_runs(1);
	shutdown(caller.fd, SHUT_WR);
	expect_closed_for(SERVER_CLOSE_OTHER);
	ck_assert_uint_eq(edge->counters.caller_left, 1);
	release_servers();
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_callers");
	TCase *tcase = tcase_create("callers");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 20);
	tcase_add_test(
		tcase,
		a_planned_stop_does_not_cut_the_response_to_a_slow_caller);
	tcase_add_test(
		tcase,
		the_idle_limit_does_not_cut_the_response_to_a_slow_caller);
	tcase_add_test(
		tcase,
		the_head_limit_does_not_cut_the_last_response_to_a_slow_caller);
	tcase_add_loop_test(
		tcase,
		a_caller_that_has_sent_all_its_requests_gets_the_whole_response,
		0, 2);
	tcase_add_loop_test(tcase, a_caller_that_stops_reading_is_disconnected,
			    0, 2);
	tcase_add_test(tcase,
		       a_request_that_arrived_within_the_idle_limit_is_served);
	tcase_add_test(
		tcase,
		a_request_whose_rest_arrived_within_the_head_limit_is_served);
	tcase_add_test(
		tcase,
		a_request_that_arrived_before_a_planned_stop_closes_is_served);
	tcase_add_test(tcase,
		       a_raised_idle_limit_holds_for_connections_that_are_idle);
	tcase_add_test(tcase,
		       a_raised_head_limit_holds_for_requests_that_have_begun);
	tcase_add_test(
		tcase,
		requests_that_were_read_before_a_planned_stop_are_served);
	tcase_add_test(
		tcase,
		the_rest_of_a_request_that_had_begun_at_a_planned_stop_is_served);
	tcase_add_test(tcase,
		       a_late_request_is_refused_if_the_stop_could_cut_it_off);
	tcase_add_test(tcase,
		       a_late_request_that_ends_before_the_stop_is_served);
	tcase_add_test(
		tcase,
		a_request_that_is_open_at_the_end_of_a_stop_gets_an_answer);
	tcase_add_test(
		tcase,
		a_host_that_stood_still_at_the_end_of_a_stop_answers_before_it_exits);
	tcase_add_test(
		tcase,
		an_answer_that_arrived_before_the_end_of_a_stop_is_forwarded);
	tcase_add_test(tcase,
		       a_part_of_a_request_does_not_keep_a_stopping_host_open);
	tcase_add_test(
		tcase,
		a_caller_that_keeps_sending_does_not_keep_a_stopping_host_open);
	tcase_add_test(
		tcase,
		a_request_after_a_closing_response_does_not_cut_the_response);
	tcase_add_test(
		tcase,
		a_caller_that_waits_for_100_continue_gets_it_behind_a_response);
	tcase_add_test(
		tcase,
		a_connection_that_a_response_can_not_be_written_to_is_closed);
	tcase_add_test(
		tcase,
		a_connection_that_waits_to_be_accepted_at_a_planned_stop_is_served);
	tcase_add_test(tcase, a_response_without_a_body_has_no_chunks);
	tcase_add_test(
		tcase,
		a_connection_is_read_again_after_a_response_to_a_slow_caller);
	tcase_add_test(tcase, a_close_at_the_idle_limit_is_counted);
	tcase_add_test(
		tcase,
		a_close_of_an_idle_connection_at_a_planned_stop_is_counted);
	tcase_add_test(tcase, a_close_of_a_surplus_connection_is_counted);
	tcase_add_test(tcase, a_close_after_a_late_head_is_counted);
	tcase_add_test(tcase, a_close_of_a_stalled_response_is_counted);
	tcase_add_test(tcase, a_connection_that_its_caller_closes_is_counted);
	tcase_add_loop_test(
		tcase, a_response_announces_the_idle_limit_in_whole_seconds, 0,
		5);
	tcase_add_test(tcase, a_closing_response_announces_no_idle_limit);
	tcase_add_test(tcase,
		       an_http_1_0_caller_is_told_that_its_connection_is_kept);
	tcase_add_test(
		tcase,
		a_lowered_idle_limit_does_not_close_an_idle_connection_early);
	tcase_add_test(
		tcase,
		a_limit_lowered_before_the_response_is_announced_and_kept);
	tcase_add_test(tcase,
		       an_idle_limit_that_was_raised_and_lowered_is_kept);
	tcase_add_test(
		tcase,
		the_first_request_goes_by_the_highest_limit_since_the_accept);
	tcase_add_test(tcase,
		       a_lowered_idle_limit_holds_after_the_next_response);
	tcase_add_test(
		tcase,
		a_limit_that_can_not_be_announced_does_not_replace_the_earlier);
	tcase_add_test(tcase,
		       a_request_that_arrives_before_the_idle_close_is_served);
	tcase_add_test(
		tcase,
		a_request_that_arrives_before_the_close_of_surplus_is_served);
	tcase_add_test(
		tcase,
		a_request_that_arrives_before_the_close_of_a_stop_is_served);
	tcase_add_test(
		tcase,
		the_rest_of_a_request_that_arrives_before_a_408_is_served);
	tcase_add_test(
		tcase,
		a_caller_that_sends_no_request_is_closed_at_the_idle_limit);
	tcase_add_test(tcase, a_caller_that_sends_its_request_slowly_gets_408);
	tcase_add_test(
		tcase,
		a_lowered_body_limit_does_not_refuse_a_request_that_has_begun);
	tcase_add_test(
		tcase,
		a_lowered_limit_does_not_refuse_a_chunk_of_a_request_that_has_begun);
	tcase_add_test(
		tcase,
		a_lowered_head_limit_does_not_refuse_a_request_that_has_begun);
	tcase_add_test(
		tcase,
		a_limit_that_was_raised_and_lowered_holds_for_a_begun_request);
	tcase_add_test(
		tcase,
		a_head_time_that_was_raised_and_lowered_holds_for_a_begun_request);
	tcase_add_test(
		tcase,
		a_half_closed_caller_has_left_while_its_request_is_served);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
