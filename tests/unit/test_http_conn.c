/* Tests how the client connection reports each kind of response, and each way
 * in which the server can end the connection. A truncated response, or one to
 * another request, must not be reported as complete. */
#include "transport/http_conn.h"

#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <unistd.h>

#include "unit/unit_main.h"

#define TIMEOUT_MS 3000
#define BACKLOG 4
#define SECOND_US INT64_C(1000000)
#define DAY_US (86400 * SECOND_US)

/* How the server ends the connection after its response. */
enum ending {
	KEEP_OPEN, /* waits for the next request */
	END,	   /* a clean end of the stream */
	RESET,
	END_THEN_RESET,
};

enum result { RESULT_NONE, RESULT_COMPLETE, RESULT_BROKEN };

static const struct {
	const char *name;
	const char *response;
	enum ending ending;
	enum result result;
	enum http_conn_fault fault;
	const char *body;
	bool reusable;
} responses[] = {
	{"complete",
	 "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nbody",
	 KEEP_OPEN, RESULT_COMPLETE, 0, "body", true},
	{"chunked",
	 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n"
	 "0\r\n\r\n",
	 KEEP_OPEN, RESULT_COMPLETE, 0, "body", true},
	{"a limit on idleness that no number of microseconds holds",
	 "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=9223372036854775807\r\n"
	 "Content-Length: 4\r\n\r\nbody",
	 KEEP_OPEN, RESULT_COMPLETE, 0, "body", true},
	{"a negative limit on idleness",
	 "HTTP/1.1 200 OK\r\nKeep-Alive: timeout=-9223372036854775807\r\n"
	 "Content-Length: 4\r\n\r\nbody",
	 KEEP_OPEN, RESULT_COMPLETE, 0, "body", true},
	{"last on its connection",
	 "HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody",
	 KEEP_OPEN, RESULT_COMPLETE, 0, "body", false},
	{"body too short", "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nbody",
	 END, RESULT_BROKEN, HTTP_CONN_CLOSED, "body", false},
	{"truncated chunks",
	 "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n",
	 END, RESULT_BROKEN, HTTP_CONN_CLOSED, "body", false},
	{"no length, ended", "HTTP/1.1 200 OK\r\n\r\nbody", END,
	 RESULT_COMPLETE, 0, "body", false},
	{"no length, reset", "HTTP/1.1 200 OK\r\n\r\nbody", RESET,
	 RESULT_BROKEN, HTTP_CONN_CLOSED, NULL, false},
	{"no length, end and reset", "HTTP/1.1 200 OK\r\n\r\nbody",
	 END_THEN_RESET, RESULT_BROKEN, HTTP_CONN_CLOSED, NULL, false},
	{"bytes after the response",
	 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbodyHTTP/1.1 200 OK\r\n",
	 KEEP_OPEN, RESULT_COMPLETE, 0, "body", false},
	{"another request's response first",
	 "HTTP/1.1 200 OK\r\nX-Id: other\r\nContent-Length: 5\r\n\r\nwrong"
	 "HTTP/1.1 200 OK\r\nX-Id: mine\r\nContent-Length: 4\r\n\r\nbody",
	 KEEP_OPEN, RESULT_COMPLETE, 0, "body", true},
	{"interim response that announces a body",
	 "HTTP/1.1 102 Processing\r\nContent-Length: 45\r\n\r\n"
	 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	 KEEP_OPEN, RESULT_COMPLETE, 0, "body", true},
	{"interim response with a body",
	 "HTTP/1.1 102 Processing\r\nContent-Length: 4\r\n\r\nnone"
	 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody",
	 KEEP_OPEN, RESULT_BROKEN, HTTP_CONN_MALFORMED, "", false},
	{"no content, with a body",
	 "HTTP/1.1 204 No Content\r\nContent-Length: 4\r\n\r\nbody", KEEP_OPEN,
	 RESULT_COMPLETE, 0, "", false},
	{"not modified, with the length of what is not sent",
	 "HTTP/1.1 304 Not Modified\r\nContent-Length: 4\r\n\r\n", KEEP_OPEN,
	 RESULT_COMPLETE, 0, "", true},
	{"interim response",
	 "HTTP/1.1 102 Processing\r\n\r\nHTTP/1.1 200 OK\r\n"
	 "Content-Length: 4\r\n\r\nbody",
	 KEEP_OPEN, RESULT_COMPLETE, 0, "body", true},
	{"malformed", "SMTP ready\r\n\r\n", KEEP_OPEN, RESULT_BROKEN,
	 HTTP_CONN_MALFORMED, "", false},
	{"no response", "", END, RESULT_BROKEN, HTTP_CONN_CLOSED, "", false},
	{"two lengths",
	 "HTTP/1.1 200 OK\r\nContent-Length: 4\r\nContent-Length: 5\r\n\r\nbody",
	 KEEP_OPEN, RESULT_BROKEN, HTTP_CONN_MALFORMED, "", false},
};

/* Of valid status lines and header fields only. */
#define LENGTH "Content-Length: 4\r\n\r\nbody"
#define OK_LINE "HTTP/1.1 200 OK\r\n"

#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define TRAILER "X-Trailer: v\r\n"
#define CHUNKS "4\r\nbody\r\n0\r\n\r\n"

/* What is no valid HTTP although a lenient reader takes it. */
static const struct {
	const char *response;
	enum http_defect defect;
} malformed[] = {
	{"HTTP/1.1 000 Broken\r\n" LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/1.1 0 Broken\r\n" LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/1.1 099 Broken\r\n" LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/1.1 020 OK\r\n" LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/1.1 20\r\n" LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/1.1 0200 OK\r\n" LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/1.1 2000 OK\r\n" LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/1.1 600 Broken\r\n" LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/1.1 999 Broken\r\n" LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/1.1 +20 OK\r\n" LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/1.1 101 Switching\r\n\r\n" OK_LINE LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/1.1 100 Continue\r\n\r\nHTTP/1.1 000 Broken\r\n" LENGTH,
	 HTTP_DEFECT_STATUS},
	{OK_LINE "X-Id: other\r\n" LENGTH "HTTP/1.1 000 Broken\r\n" LENGTH,
	 HTTP_DEFECT_STATUS},
	{"HTTP/1.1 200 O\x01K\r\n" LENGTH, HTTP_DEFECT_STATUS_LINE},
	{"HTTP/1.1 200 OK\rX\n" LENGTH, HTTP_DEFECT_STATUS_LINE},
	{"HTTP/1.1  200 OK\r\n" LENGTH, HTTP_DEFECT_STATUS},
	{"HTTP/2.7 200 OK\r\n" LENGTH, HTTP_DEFECT_STATUS_LINE},
	{"HTTP/0.9 200 OK\r\n" LENGTH, HTTP_DEFECT_STATUS_LINE},
	{"\r\n" OK_LINE LENGTH, HTTP_DEFECT_STATUS_LINE},
	{"SMTP ready\r\n\r\n", HTTP_DEFECT_STATUS_LINE},
	{OK_LINE "Bad Name: v\r\n" LENGTH, HTTP_DEFECT_FIELD_NAME},
	{OK_LINE "Name : v\r\n" LENGTH, HTTP_DEFECT_FIELD_NAME},
	{OK_LINE "Name\t: v\r\n" LENGTH, HTTP_DEFECT_FIELD_NAME},
	{OK_LINE "Content Length: 4\r\n\r\nbody", HTTP_DEFECT_FIELD_NAME},
	{OK_LINE "Content-Length : 2\r\n\r\nbody", HTTP_DEFECT_FIELD_NAME},
	{OK_LINE "Transfer-Encoding : chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n",
	 HTTP_DEFECT_FIELD_NAME},
	{OK_LINE "Na\x01me: v\r\n" LENGTH, HTTP_DEFECT_FIELD_NAME},
	{OK_LINE "Na\x7fme: v\r\n" LENGTH, HTTP_DEFECT_FIELD_NAME},
	{OK_LINE "Na(me): v\r\n" LENGTH, HTTP_DEFECT_FIELD_NAME},
	{OK_LINE "N\xc3\xa4me: v\r\n" LENGTH, HTTP_DEFECT_FIELD_NAME},
	{OK_LINE ": v\r\n" LENGTH, HTTP_DEFECT_FIELD_NAME},
	{OK_LINE "Name\r\n" LENGTH, HTTP_DEFECT_FIELD_NAME},
	{OK_LINE " Name: v\r\n" LENGTH, HTTP_DEFECT_FOLDED_LINE},
	{OK_LINE "Name: v\r\n\tw\r\n" LENGTH, HTTP_DEFECT_FOLDED_LINE},
	{OK_LINE "Name: v\x01\r\n" LENGTH, HTTP_DEFECT_FIELD_VALUE},
	{OK_LINE "Name: v\rw\r\n" LENGTH, HTTP_DEFECT_FIELD_VALUE},
	{OK_LINE "Content-Length: 4\r\n\rXbody", HTTP_DEFECT_FRAMING},
	{OK_LINE "Transfer-Encoding: gzip\r\n\r\nbody",
	 HTTP_DEFECT_TRANSFER_CODING},
	{OK_LINE "Transfer-Encoding: xchunked\r\n\r\n" CHUNKS,
	 HTTP_DEFECT_TRANSFER_CODING},
	{OK_LINE "Transfer-Encoding: gzip, chunked\r\n\r\n" CHUNKS,
	 HTTP_DEFECT_TRANSFER_CODING},
	{OK_LINE "Transfer-Encoding: chunked, identity\r\n\r\n" CHUNKS,
	 HTTP_DEFECT_TRANSFER_CODING},
	{OK_LINE "Transfer-Encoding: gzip\r\n" CHUNKED CHUNKS,
	 HTTP_DEFECT_TRANSFER_CODING},
	{OK_LINE "Transfer-Encoding:\r\n\r\nbody", HTTP_DEFECT_TRANSFER_CODING},
	{"HTTP/1.0 200 OK\r\n" CHUNKED CHUNKS, HTTP_DEFECT_TRANSFER_CODING},
	{OK_LINE CHUNKED "4\r\nbodyXX0\r\n\r\n", HTTP_DEFECT_CHUNK},
	{OK_LINE CHUNKED "4\r\nbody\rX0\r\n\r\n", HTTP_DEFECT_CHUNK},
	{OK_LINE CHUNKED "4\rXbody\r\n0\r\n\r\n", HTTP_DEFECT_CHUNK},
	{OK_LINE CHUNKED "4;a\n\r\nbody\r\n0\r\n\r\n", HTTP_DEFECT_CHUNK},
	{OK_LINE CHUNKED "00000000000000004\r\nbody\r\n0\r\n\r\n",
	 HTTP_DEFECT_CHUNK},
	{OK_LINE CHUNKED "\r\nbody\r\n0\r\n\r\n", HTTP_DEFECT_CHUNK},
	{OK_LINE CHUNKED "4g\r\nbody\r\n0\r\n\r\n", HTTP_DEFECT_CHUNK},
	{OK_LINE CHUNKED "10000000000000000\r\n", HTTP_DEFECT_CHUNK},
	{OK_LINE CHUNKED "0\r\nBad Name: v\r\n\r\n", HTTP_DEFECT_FIELD_NAME},
	{OK_LINE CHUNKED "0\r\nName: v\r\n w\r\n\r\n", HTTP_DEFECT_FOLDED_LINE},
	{OK_LINE CHUNKED "0\r\n\rX", HTTP_DEFECT_FRAMING},
	{"HTTP/1.1 103 Early\r\nBad Name: v\r\n\r\n" OK_LINE LENGTH,
	 HTTP_DEFECT_FIELD_NAME},
};

#define MALFORMED ((int)(sizeof(malformed) / sizeof(malformed[0])))

/* What is valid HTTP although it is unusual. */
static const char *const unusual[] = {
	"HTTP/1.1 200\r\n" LENGTH,
	"HTTP/1.1 200 \r\n" LENGTH,
	"HTTP/1.1 599 \xc3\xa4\t(odd) \r\n" LENGTH,
	OK_LINE "!#$%&'*+-.^_`|~0aZ: \t a\tb \xff\"(,;=\t\r\nEmpty:\r\n" LENGTH,
	OK_LINE "transfer-encoding: Chunked \r\n\r\n" CHUNKS,
	OK_LINE CHUNKED "1;a=\"b c\";d\r\nb\r\n003 ;e\r\nody\r\n000\r\n" TRAILER
			"Empty:\r\n\r\n",
	"HTTP/1.0 404 Not Found\nContent-Length: 4\n\nbody",
	"HTTP/1.1 199 Interim\r\n\r\nHTTP/1.1 100\r\nX-A: b\r\n\r\n" OK_LINE
		LENGTH,
};

#define UNUSUAL ((int)(sizeof(unusual) / sizeof(unusual[0])))

/* Between two bytes that a server sends apart. */
#define BYTE_PAUSE_US 100

static uv_loop_t loop;
static uv_timer_t timeout;
static int listener;
static pthread_t server;
static enum result result;
static enum http_conn_fault fault;
static struct buffer body;
static bool reusable;
static enum http_defect defect;
static int64_t idle_limit_us;

/* What the server does with the one request of a test. */
static struct {
	const char *response;
	enum ending ending;
	bool byte_by_byte;
} served;

static void end_connection(int fd, enum ending ending)
{
	struct linger reset_on_close = {1, 0};
	char rest[256];

	if (ending == KEEP_OPEN) {
		while (recv(fd, rest, sizeof(rest), 0) > 0)
			;
	}
	if (ending == END_THEN_RESET)
		shutdown(fd, SHUT_WR);
	if (ending == RESET || ending == END_THEN_RESET)
		setsockopt(fd, SOL_SOCKET, SO_LINGER, &reset_on_close,
			   sizeof(reset_on_close));
	close(fd);
}

static void send_response(int fd)
{
	size_t size = strlen(served.response);
	size_t piece = served.byte_by_byte ? 1 : size;
	int no_delay = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &no_delay, sizeof(no_delay));
	for (size_t at = 0; at < size; at += piece) {
		if (send(fd, served.response + at, piece, MSG_NOSIGNAL) < 0)
			return;
		if (served.byte_by_byte)
			usleep(BYTE_PAUSE_US);
	}
}

static void *serve(void *arg)
{
	int fd = accept(listener, NULL, NULL);
	char input[512];

	if (fd < 0)
		return NULL;
	if (recv(fd, input, sizeof(input), 0) > 0)
		send_response(fd);
	end_connection(fd, served.ending);
	return NULL;
}

static enum http_conn_verdict on_head(struct http_conn *conn)
{
	const char *id = http_head_find(&conn->head, "X-Id");

	return id && !strcmp(id, "other") ? HTTP_CONN_DISCARD
					  : HTTP_CONN_ACCEPT;
}

static void on_body(struct http_conn *conn, const char *data, size_t size)
{
	buffer_add(&body, data, size);
}

static void on_complete(struct http_conn *conn)
{
	result = RESULT_COMPLETE;
	ck_assert_ptr_null(http_head_find(&conn->head, "X-Trailer"));
	reusable = conn->reusable;
	idle_limit_us = conn->idle_limit_us;
	http_conn_close(conn);
	uv_stop(&loop);
}

static void on_broken(struct http_conn *conn, enum http_conn_fault reason)
{
	result = RESULT_BROKEN;
	fault = reason;
	defect = conn->check.defect;
	uv_stop(&loop);
}

static const struct http_conn_events events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.broken = on_broken,
};

static void on_timeout(uv_timer_t *timer)
{
	uv_stop(&loop);
}

static struct sockaddr_in listen_on_free_port(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(listener, (struct sockaddr *)&address,
			      sizeof(address)),
			 0);
	listen(listener, BACKLOG);
	getsockname(listener, (struct sockaddr *)&address, &size);
	return address;
}

static void send_short_request(const struct sockaddr_in *address,
			       const struct http_conn_events *short_events)
{
	struct http_conn *conn =
		http_conn_open(&loop, (const struct sockaddr *)address);
	struct buffer head = {0};

	buffer_add_text(&head, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	http_conn_send(conn, short_events, NULL, &head, NULL);
	buffer_free(&head);
	uv_run(&loop, UV_RUN_DEFAULT);
}

static void send_request(const struct sockaddr_in *address)
{
	send_short_request(address, &events);
}

static void setup(void)
{
	result = RESULT_NONE;
	idle_limit_us = 0;
	uv_loop_init(&loop);
	uv_timer_init(&loop, &timeout);
	uv_timer_start(&timeout, on_timeout, TIMEOUT_MS, 0);
}

static void teardown(void)
{
	uv_close((uv_handle_t *)&timeout, NULL);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
	buffer_free(&body);
}

static void exchange(const char *response, enum ending ending,
		     bool byte_by_byte)
{
	struct sockaddr_in address = listen_on_free_port();

	served.response = response;
	served.ending = ending;
	served.byte_by_byte = byte_by_byte;
	pthread_create(&server, NULL, serve, NULL);
	send_request(&address);
	uv_run(&loop, UV_RUN_NOWAIT);
	close(listener);
	pthread_join(server, NULL);
}

START_TEST(each_response_is_reported_as_complete_or_broken)
{
	exchange(responses[_i].response, responses[_i].ending, false);
	ck_assert_msg(result == responses[_i].result, "%s: result %d",
		      responses[_i].name, result);
	if (result == RESULT_BROKEN)
		ck_assert_int_eq(fault, responses[_i].fault);
	else
		ck_assert_int_eq(reusable, responses[_i].reusable);
	/* No announced limit overflows: a day at most, less than a second below
	 * none at least. */
	ck_assert_int_le(idle_limit_us, DAY_US);
	ck_assert_int_gt(idle_limit_us, -SECOND_US);
	if (responses[_i].body)
		ck_assert_str_eq(body.size ? body.data : "",
				 responses[_i].body);
}
END_TEST

/* As a whole, and byte by byte. */
START_TEST(what_is_no_valid_http_is_no_response)
{
	const char *response = malformed[_i % MALFORMED].response;

	exchange(response, KEEP_OPEN, _i >= MALFORMED);
	ck_assert_msg(result == RESULT_BROKEN, "%s", response);
	ck_assert_int_eq(fault, HTTP_CONN_MALFORMED);
	ck_assert_msg(defect == malformed[_i % MALFORMED].defect,
		      "defect %d: %s", defect, response);
	/* What was valid so far may have been delivered. */
	ck_assert(!body.size || !strcmp(body.data, "body"));
}
END_TEST

/* What is valid HTTP, but does not end. */
static const struct {
	const char *start;
	const char *filler;
	enum http_defect defect;
} endless[] = {
	{"", "HTTP/1.1 100 Continue\r\n\r\n", HTTP_DEFECT_TOO_LONG},
	{"HTTP/1.1 200 ", "OK", HTTP_DEFECT_TOO_LONG},
	{OK_LINE, "Name: v\r\n", HTTP_DEFECT_TOO_LONG},
	{OK_LINE "Name: v", "v", HTTP_DEFECT_TOO_LONG},
	{OK_LINE CHUNKED "1;", "a=b;", HTTP_DEFECT_TOO_LONG},
	{OK_LINE CHUNKED "0\r\n", "Name: v\r\n", HTTP_DEFECT_TOO_LONG},
	{OK_LINE CHUNKED, "0", HTTP_DEFECT_CHUNK},
};

START_TEST(what_does_not_end_is_left)
{
	struct buffer response = {0};

	buffer_add_text(&response, endless[_i].start);
	while (response.size < 4 * HTTP_RESPONSE_LINES_MAX_BYTES)
		buffer_add_text(&response, endless[_i].filler);
	exchange(response.data, KEEP_OPEN, false);
	ck_assert_msg(result == RESULT_BROKEN, "%s", endless[_i].filler);
	ck_assert_int_eq(fault, HTTP_CONN_MALFORMED);
	ck_assert_int_eq(defect, endless[_i].defect);
	buffer_free(&response);
}
END_TEST

START_TEST(what_is_valid_http_is_a_response)
{
	const char *response = unusual[_i % UNUSUAL];

	exchange(response, END, _i >= UNUSUAL);
	ck_assert_msg(result == RESULT_COMPLETE, "%s", response);
	ck_assert_str_eq(body.data, "body");
}
END_TEST

START_TEST(a_port_without_a_listener_is_reported_as_not_connected)
{
	struct sockaddr_in address = listen_on_free_port();

	close(listener);
	send_request(&address);
	ck_assert_int_eq(result, RESULT_BROKEN);
	ck_assert_int_eq(fault, HTTP_CONN_NOT_CONNECTED);
}
END_TEST

START_TEST(an_address_that_nothing_can_connect_to_is_reported_at_once)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(1),
		.sin_addr.s_addr = htonl(INADDR_BROADCAST),
	};

	send_request(&address);
	ck_assert_int_eq(result, RESULT_BROKEN);
	ck_assert_int_eq(fault, HTTP_CONN_NOT_CONNECTED);
}
END_TEST

static struct http_conn *earlier;

static void begin_without_descriptor(uv_prepare_t *prepare)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons(1),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};
	struct buffer head = {0};
	struct http_conn *conn =
		http_conn_open(&loop, (const struct sockaddr *)&address);

	buffer_add_text(&head, "GET / HTTP/1.1\r\nHost: a\r\n\r\n");
	http_conn_send(conn, &events, NULL, &head, NULL);
	buffer_free(&head);
	http_conn_close(earlier);
	uv_close((uv_handle_t *)prepare, NULL);
}

/* Guards against a process that ends, or a request that waits, since no socket
 * could be opened. */
START_TEST(without_a_descriptor_a_connection_is_reported_as_not_connected)
{
	struct sockaddr_in address = listen_on_free_port();
	struct rlimit limit;
	uv_prepare_t prepare;
	int first_free;

	uv_prepare_init(&loop, &prepare);
	earlier = http_conn_open(&loop, (const struct sockaddr *)&address);
	uv_prepare_start(&prepare, begin_without_descriptor);
	first_free = dup(STDIN_FILENO);
	close(first_free);
	ck_assert_int_eq(getrlimit(RLIMIT_NOFILE, &limit), 0);
	limit.rlim_cur = (rlim_t)first_free;
	ck_assert_int_eq(setrlimit(RLIMIT_NOFILE, &limit), 0);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(result, RESULT_BROKEN);
	ck_assert_int_eq(fault, HTTP_CONN_NOT_CONNECTED);
	close(listener);
}
END_TEST

#define LONG_BODY_BYTES (16 * 1024 * 1024)
#define PAUSE_MS 200
#define UNREAD_MS 6000

/* Answers before the request's body is read, and closes with it unread. */
static void *answer_early(void *arg)
{
	static const char *const response = "HTTP/1.1 200 OK\r\n%s\r\n";
	int fd = accept(listener, NULL, NULL);
	char input[512];

	if (fd < 0)
		return NULL;
	if (recv(fd, input, sizeof(input), 0) > 0) {
		dprintf(fd, response, arg ? "Content-Length: 4\r\n" : "");
		usleep(PAUSE_MS / 2 * 1000);
		dprintf(fd, "body");
	}
	close(fd);
	return NULL;
}

static struct http_conn *paused_conn;

static enum http_conn_verdict pause_at_head(struct http_conn *conn)
{
	http_conn_pause(conn);
	paused_conn = conn;
	return HTTP_CONN_ACCEPT;
}

static void on_pause_over(uv_timer_t *timer)
{
	if (paused_conn && result == RESULT_NONE)
		http_conn_resume(paused_conn);
}

static const struct http_conn_events pausing_events = {
	.head = pause_at_head,
	.body = on_body,
	.complete = on_complete,
	.broken = on_broken,
};

static void send_long_request(const struct sockaddr_in *address,
			      const struct http_conn_events *long_events)
{
	struct http_conn *conn =
		http_conn_open(&loop, (const struct sockaddr *)address);
	struct buffer head = {0};
	struct buffer long_body = {0};
	struct held_buffer *held;

	buffer_add_format(
		&head,
		"POST / HTTP/1.1\r\nHost: a\r\nContent-Length: %d\r\n\r\n",
		LONG_BODY_BYTES);
	for (int i = 0; i < LONG_BODY_BYTES / 1024; i++) {
		static const char piece[1024];

		buffer_add(&long_body, piece, sizeof(piece));
	}
	held = held_buffer_take(&long_body, NULL, NULL);
	http_conn_send(conn, long_events, NULL, &head, held);
	buffer_free(&head);
	held_buffer_unref(held);
	uv_run(&loop, UV_RUN_DEFAULT);
}

/* With a length the response is complete; without one, the reset says that it
 * may not be. */
START_TEST(an_early_response_is_read_although_its_request_can_not_be_sent)
{
	struct sockaddr_in address = listen_on_free_port();
	uv_timer_t pause;
	bool has_length = _i;

	paused_conn = NULL;
	uv_timer_init(&loop, &pause);
	uv_timer_start(&pause, on_pause_over, 2 * PAUSE_MS, 0);
	pthread_create(&server, NULL, answer_early, has_length ? &loop : NULL);
	send_long_request(&address, &pausing_events);
	ck_assert_int_eq(result, has_length ? RESULT_COMPLETE : RESULT_BROKEN);
	if (has_length) {
		ck_assert_uint_eq(body.size, 4);
		ck_assert(!reusable);
	}
	close(listener);
	pthread_join(server, NULL);
	uv_close((uv_handle_t *)&pause, NULL);
	uv_run(&loop, UV_RUN_NOWAIT);
}
END_TEST

#define LATE_MS 30
#define MIN_RESET_WAIT_US 1000

static atomic_bool may_end;
static atomic_bool has_ended;
static uint64_t late_until_us;
static uint64_t ended_us;

static void *answer_and_end(void *arg)
{
	int fd = accept(listener, NULL, NULL);
	char input[512];

	if (fd < 0)
		return NULL;
	if (recv(fd, input, sizeof(input), 0) > 0)
		dprintf(fd, OK_LINE "\r\nbody");
	while (!atomic_load(&may_end))
		usleep(100);
	shutdown(fd, SHUT_WR);
	atomic_store(&has_ended, true);
	end_connection(fd, KEEP_OPEN);
	return NULL;
}

/* Another event, which takes the loop long. */
static int other_pipe[2];
static uv_poll_t other_event;
static uv_idle_t before_poll;
static int polls_with_body;

static void be_late(uv_poll_t *poll, int status, int ready)
{
	uv_close((uv_handle_t *)poll, NULL);
	usleep(LATE_MS * 1000);
	late_until_us = uv_hrtime() / 1000;
}

/* Lets the next poll find the other event, and the end after it. A poll that
 * found nothing comes before, or the connection would be looked at first. */
static void wait_for_end(uv_idle_t *idle)
{
	if (!body.size || ++polls_with_body < 3)
		return;
	uv_close((uv_handle_t *)idle, NULL);
	ck_assert_int_eq(write(other_pipe[1], "x", 1), 1);
	atomic_store(&may_end, true);
	while (!atomic_load(&has_ended))
		usleep(100);
}

static void on_ended(struct http_conn *conn)
{
	ended_us = uv_hrtime() / 1000;
	http_conn_confirm_end(conn);
}

static const struct http_conn_events late_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_ended,
	.broken = on_broken,
};

/* A reset that follows the end needs its time on a late loop as well. */
START_TEST(a_late_loop_waits_for_a_reset_as_long_as_another)
{
	struct sockaddr_in address = listen_on_free_port();

	atomic_store(&may_end, false);
	atomic_store(&has_ended, false);
	ck_assert_int_eq(pipe(other_pipe), 0);
	uv_poll_init(&loop, &other_event, other_pipe[0]);
	uv_poll_start(&other_event, UV_READABLE, be_late);
	uv_idle_init(&loop, &before_poll);
	uv_idle_start(&before_poll, wait_for_end);
	pthread_create(&server, NULL, answer_and_end, NULL);
	send_short_request(&address, &late_events);
	ck_assert_int_eq(result, RESULT_COMPLETE);
	ck_assert_uint_ge(ended_us - late_until_us, MIN_RESET_WAIT_US);
	uv_run(&loop, UV_RUN_NOWAIT);
	close(listener);
	pthread_join(server, NULL);
}
END_TEST

/* Reads nothing for a while, then the whole request, and answers it. */
static void *read_late(void *arg)
{
	int fd = accept(listener, NULL, NULL);
	size_t left = LONG_BODY_BYTES;
	static char input[64 * 1024];

	if (fd < 0)
		return NULL;
	usleep(UNREAD_MS * 1000);
	while (left) {
		ssize_t size = recv(fd, input, sizeof(input), 0);

		if (size <= 0)
			break;
		left -= (size_t)size < left ? (size_t)size : left;
	}
	if (!left)
		dprintf(fd, "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody");
	end_connection(fd, KEEP_OPEN);
	return NULL;
}

START_TEST(a_server_that_pauses_in_a_long_request_is_not_cut_off)
{
	struct sockaddr_in address = listen_on_free_port();

	uv_timer_start(&timeout, on_timeout, 2 * UNREAD_MS, 0);
	pthread_create(&server, NULL, read_late, NULL);
	send_long_request(&address, &events);
	ck_assert_int_eq(result, RESULT_COMPLETE);
	uv_run(&loop, UV_RUN_NOWAIT);
	close(listener);
	pthread_join(server, NULL);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("http_conn");
	TCase *tcase = tcase_create("responses");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 20);
	tcase_add_loop_test(tcase,
			    each_response_is_reported_as_complete_or_broken, 0,
			    sizeof(responses) / sizeof(responses[0]));
	tcase_add_loop_test(tcase, what_is_no_valid_http_is_no_response, 0,
			    2 * MALFORMED);
	tcase_add_loop_test(tcase, what_does_not_end_is_left, 0,
			    sizeof(endless) / sizeof(endless[0]));
	tcase_add_loop_test(tcase, what_is_valid_http_is_a_response, 0,
			    2 * UNUSUAL);
	tcase_add_test(tcase,
		       a_port_without_a_listener_is_reported_as_not_connected);
	tcase_add_test(
		tcase,
		an_address_that_nothing_can_connect_to_is_reported_at_once);
	tcase_add_test(
		tcase,
		without_a_descriptor_a_connection_is_reported_as_not_connected);
	tcase_add_loop_test(
		tcase,
		an_early_response_is_read_although_its_request_can_not_be_sent,
		0, 2);
	tcase_add_test(tcase, a_late_loop_waits_for_a_reset_as_long_as_another);
	tcase_add_test(tcase,
		       a_server_that_pauses_in_a_long_request_is_not_cut_off);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
