/* Tests that a host gives up on a server that sends bytes without end, in a
 * head or a body: within the request's deadline, in bounded memory, and by
 * closing the connection. */
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/edge_rig.h"
#include "fakes/loop_listener.h"
#include "unit/unit_main.h"

#define DEADLINE_MS 1000
#define DEADLINE "Tamarackgw-Deadline-Ms: 1000\r\n"
/* After its deadline a request is ended, and its server left, within this. */
#define MARGIN_MS 500
#define MAX_GROWTH_BYTES (16 * 1024 * 1024)
#define FILLER_SIZE (32 * 1024)
#define CALLERS 4

/** What a server sends: a start, then a filler again and again. */
struct endless {
	const char *start;
	const char *filler; /* repeated to fill each write */
	const char *route;
};

static const struct endless cases[] = {
	/* No answer at all. */
	{"", "garbage", "safe"},
	{"", "\r\n", "safe"},
	/* A head without end. */
	{"HTTP/1.1 200 OK\r\nX-Long: ", "a", "safe"},
	{"HTTP/1.1 200 OK\r\n", "X-Many: a\r\n", "safe"},
	{"HTTP/1.1 200 ", "OK", "safe"},
	{"", "HTTP/1.1 100 Continue\r\n\r\n", "safe"},
	{"", "HTTP/1.1 103 Early\r\nX-Many: a\r\n\r\n", "safe"},
	/* A body without end. */
	{"HTTP/1.1 200 OK\r\n\r\n", "a", "safe"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
	 "4\r\naaaa\r\n", "safe"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;", "x=y;",
	 "safe"},
	{"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n",
	 "X-Trailer: a\r\n", "safe"},
	{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n", "data",
	 "stream"},
	{"HTTP/1.1 200 OK\r\nContent-Type: text/event-stream\r\n\r\n",
	 "data: x\n", "resume"},
	/* Bytes after a complete answer. */
	{"HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok", "more", "safe"},
};

struct endless_conn {
	uv_tcp_t tcp;
	struct endless_server *server;
	bool started;
};

struct endless_server {
	uv_tcp_t listener;
	char address[32];
	char filler[FILLER_SIZE];
	size_t filler_size;
	const struct endless *what;
	unsigned int accepted;
	unsigned int closed;
};

static struct edge_rig rig;
static struct endless_server server;

static void on_closed(uv_handle_t *handle)
{
	struct endless_conn *conn = handle->data;

	conn->server->closed++;
	free(conn);
}

static void close_conn(struct endless_conn *conn)
{
	if (!uv_is_closing((uv_handle_t *)&conn->tcp))
		uv_close((uv_handle_t *)&conn->tcp, on_closed);
}

static void send_text(struct endless_conn *conn, const char *text, size_t size);

static void on_sent(uv_write_t *request, int status)
{
	struct endless_conn *conn = request->handle->data;

	free(request);
	if (status < 0)
		close_conn(conn);
	else
		send_text(conn, server.filler, server.filler_size);
}

static void send_text(struct endless_conn *conn, const char *text, size_t size)
{
	uv_write_t *request = xcalloc(1, sizeof(*request));
	uv_buf_t part = uv_buf_init((char *)text, (unsigned int)size);

	if (uv_write(request, (uv_stream_t *)&conn->tcp, &part, 1, on_sent) <
	    0) {
		free(request);
		close_conn(conn);
	}
}

static void on_alloc(uv_handle_t *handle, size_t suggested_size, uv_buf_t *buf)
{
	static char bytes[4096];

	*buf = uv_buf_init(bytes, sizeof(bytes));
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *buf)
{
	struct endless_conn *conn = stream->data;

	if (size < 0) {
		close_conn(conn);
		return;
	}
	if (conn->started || !size)
		return;
	conn->started = true;
	send_text(conn, server.what->start, strlen(server.what->start));
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct endless_conn *conn = xcalloc(1, sizeof(*conn));

	conn->server = listener->data;
	uv_tcp_init(&rig.loop, &conn->tcp);
	conn->tcp.data = conn;
	if (status < 0 || uv_accept(listener, (uv_stream_t *)&conn->tcp) < 0) {
		close_conn(conn);
		return;
	}
	conn->server->accepted++;
	uv_read_start((uv_stream_t *)&conn->tcp, on_alloc, on_read);
}

static void start_server(const struct endless *what)
{
	size_t size = strlen(what->filler);

	memset(&server, 0, sizeof(server));
	server.what = what;
	while (server.filler_size + size <= sizeof(server.filler)) {
		memcpy(server.filler + server.filler_size, what->filler, size);
		server.filler_size += size;
	}
	loop_listener_start(&server.listener, &rig.loop, on_connection, &server,
			    server.address, sizeof(server.address));
}

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
}

static void teardown(void)
{
	uv_close((uv_handle_t *)&server.listener, NULL);
	edge_rig_stop(&rig);
}

/* The endless server is the only one. */
static void use_endless_server(const struct endless *what)
{
	start_server(what);
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		edge_rig_register_server(&rig, i, "draining", 2);
	edge_rig_register_entry(&rig, "endless", server.address, "ready", 1, 1);
	for (int i = 0;
	     i < 200 && rig.hosts[0].edge.backends.count < EDGE_RIG_SERVERS + 1;
	     i++)
		edge_rig_run(&rig, 5);
	edge_rig_run(&rig, 100);
}

static void send_request(struct edge_rig_caller *caller, const char *route)
{
	struct buffer text = {0};

	buffer_add_format(&text,
			  "GET /%s/ok HTTP/1.1\r\nHost: a.example\r\n"
			  "Tamarackgw-Request-Id: endless-1\r\n"
			  "Authorization: Token key-1\r\n" DEADLINE "\r\n",
			  route);
	edge_rig_call(&rig, caller, text.data);
	buffer_free(&text);
}

/* Without what the callers have received. The allocators of sanitizers report
 * 0, so memory is checked in plain builds only. */
static int64_t memory_bytes(const struct edge_rig_caller *callers)
{
	struct mallinfo2 info = mallinfo2();
	int64_t size = (int64_t)(info.uordblks + info.hblkhd);

	for (int i = 0; i < CALLERS; i++)
		size -= (int64_t)callers[i].received.capacity;
	return size;
}

START_TEST(a_server_that_sends_without_end_is_left_at_the_deadline)
{
	static struct edge_rig_caller callers[CALLERS];
	int64_t before;
	int64_t peak = INT64_MIN;

	use_endless_server(&cases[_i]);
	before = memory_bytes(callers);
	for (int i = 0; i < CALLERS; i++)
		send_request(&callers[i], cases[_i].route);
	for (int at_ms = 0; at_ms < DEADLINE_MS + MARGIN_MS; at_ms += 20) {
		int64_t now = memory_bytes(callers);

		if (now > peak)
			peak = now;
		edge_rig_run(&rig, 20);
	}
	ck_assert_uint_gt(server.accepted, 0);
	ck_assert_msg(server.closed == server.accepted,
		      "%u of %u connections to the server are closed",
		      server.closed, server.accepted);
	ck_assert_uint_eq(rig.hosts[0].edge.call_count, 0);
	ck_assert_msg(peak < before + MAX_GROWTH_BYTES,
		      "memory grew from %lld to %lld bytes", (long long)before,
		      (long long)peak);
	for (int i = 0; i < CALLERS; i++)
		edge_rig_close_caller(&callers[i]);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_endless");
	TCase *tcase = tcase_create("endless");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 30);
	tcase_add_loop_test(
		tcase, a_server_that_sends_without_end_is_left_at_the_deadline,
		0, sizeof(cases) / sizeof(cases[0]));
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
