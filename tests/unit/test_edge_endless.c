/* Tests that a host gives up on a server that sends bytes without end, in a
 * head or a body: within the request's deadline, in bounded memory, and by
 * closing the connection. Successes bear the signature without which a host
 * ends an answer at its head, and would never read the body. */
#include <malloc.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/edge_rig.h"
#include "fakes/loop_listener.h"
#include "unit/unit_main.h"

#define DEADLINE_MS 1000
/* After its deadline a request is ended, and its server left, within this. */
#define MARGIN_MS 500
#define MAX_GROWTH_BYTES (16 * 1024 * 1024)
/* What a server sends in all, if it can. */
#define FLOOD_BYTES (64u * 1024 * 1024)
#define FLOOD_DEADLINE_MS 9000
#define FILLER_SIZE (32 * 1024)
#define CALLERS 4

#define SUCCESS                                \
	"HTTP/1.1 200 OK\r\n"                  \
	"Tamarackgw-Request-Id: endless-1\r\n" \
	"Tamarackgw-Response-Stamp: by-endless\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define EVENTS "Content-Type: text/event-stream\r\n"
#define EVENT_1 "id: 1\ndata: a\n\n"

/** What a server sends: a start, then a filler again and again. */
struct endless {
	const char *start;
	const char *filler; /* repeated to fill each write */
	const char *route;
};

/* Each event of a sound server bears a number, as those of the stand-in. */
#define EVENT_0 "id: 0\ndata: part-0\n\n"
#define LAST_EVENT 5
#define EVENT_LIMIT_BYTES (256 * 1024)
#define LIMIT_OF_ALL_BYTES (512 * 1024)
#define BELOW_LIMIT_BYTES (200 * 1024)

static const struct endless event_without_end = {SUCCESS EVENTS "\r\n" EVENT_0,
						 "data: x\n", "resume"};
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
	{SUCCESS "\r\n", "a", "safe"},
	{SUCCESS "Content-Length: 1000000000000\r\n\r\n", "a", "safe"},
	{SUCCESS CHUNKED, "4\r\naaaa\r\n", "safe"},
	{SUCCESS CHUNKED "1;", "x=y;", "safe"},
	{SUCCESS CHUNKED "0\r\n", "X-Trailer: a\r\n", "safe"},
	{SUCCESS CHUNKED "4\r\naaaa\r\n", "0", "safe"},
	{"HTTP/1.1 500 Failed\r\n"
	 "Tamarackgw-Request-Id: endless-1\r\n\r\n",
	 "a", "safe"},
	{"HTTP/1.1 503 Full\r\n"
	 "Tamarackgw-Request-Id: endless-1\r\n"
	 "Tamarackgw-Not-Executed: 1\r\n\r\n",
	 "a", "safe"},
	{SUCCESS EVENTS "\r\n", "data", "stream"},
	{SUCCESS EVENTS "\r\n" EVENT_1, "data: x\n", "stream"},
	{SUCCESS EVENTS "\r\n", "data: x\n\n", "stream"},
	{SUCCESS EVENTS "\r\n", "id: 1\ndata: x\n\n", "resume"},
	{SUCCESS EVENTS "\r\n", ": comment\n\n", "resume"},
	/* An event without end, of a stream that another server may resume. */
	{SUCCESS EVENTS "\r\n", "data: x\n", "resume"},
	{SUCCESS EVENTS "\r\n" EVENT_1, "data: x\n", "resume"},
	{SUCCESS EVENTS "\r\n" EVENT_1 "data: ", "x", "resume"},
	{SUCCESS EVENTS "\r\n" EVENT_1, ": comment\n", "resume"},
	{SUCCESS EVENTS CHUNKED "f\r\n" EVENT_1 "\r\n", "4\r\naaaa\r\n",
	 "resume"},
	/* An answer of another request. */
	{"HTTP/1.1 200 OK\r\n"
	 "Tamarackgw-Request-Id: endless-0\r\n\r\n",
	 "a", "safe"},
	/* Bytes after a complete answer. */
	{SUCCESS "Content-Length: 2\r\n\r\nok", "more", "safe"},
};

struct endless_conn {
	uv_tcp_t tcp;
	struct endless_server *server;
	bool started;
	uint64_t sent_bytes;
};

struct endless_server {
	uv_tcp_t listener;
	char address[32];
	char filler[FILLER_SIZE];
	size_t filler_size;
	const struct endless *what;
	/* Each connection is silent once it has carried so much; 0: never. */
	uint64_t stop_bytes;
	unsigned int accepted;
	unsigned int closed;
	unsigned int requests;
	uint64_t sent_bytes;
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
	server.sent_bytes += server.filler_size;
	conn->sent_bytes += server.filler_size;
	if (status < 0)
		close_conn(conn);
	else if (!server.stop_bytes || conn->sent_bytes < server.stop_bytes)
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
	server.requests++;
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

/* @param others how many other servers there are */
static void use_endless_server(const struct endless *what, int others)
{
	start_server(what);
	for (int i = others; i < EDGE_RIG_SERVERS; i++)
		edge_rig_register_server(&rig, i, "draining", 2);
	edge_rig_register_entry(&rig, "endless", server.address, "ready", 1, 1);
	for (int i = 0;
	     i < 200 && rig.hosts[0].edge.backends.count < EDGE_RIG_SERVERS + 1;
	     i++)
		edge_rig_run(&rig, 5);
	edge_rig_run(&rig, 100);
}

/* The routes of this name have a timeout above the longest deadline. */
static void send_request(struct edge_rig_caller *caller, const char *route,
			 const char *action, int deadline_ms)
{
	struct buffer text = {0};

	buffer_add_format(&text,
			  "GET /long-%s/%s HTTP/1.1\r\nHost: a.example\r\n"
			  "Tamarackgw-Request-Id: endless-1\r\n"
			  "Authorization: Token key-1\r\n"
			  "Tamarackgw-Deadline-Ms: %d\r\n\r\n",
			  route, action, deadline_ms);
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

/* Callers that keep what they receive would hide what the host holds. */
static void drop_received(struct edge_rig_caller *callers)
{
	for (int i = 0; i < CALLERS; i++)
		buffer_clear(&callers[i].received);
}

/* Lets the loop run in short steps. @return the peak of the memory in use */
static int64_t run_and_measure(struct edge_rig_caller *callers, int64_t ms,
			       uint64_t until_bytes)
{
	int64_t peak = INT64_MIN;

	for (int64_t at_ms = 0; at_ms < ms; at_ms++) {
		int64_t now;

		edge_rig_run(&rig, 1);
		now = memory_bytes(callers);
		if (now > peak)
			peak = now;
		drop_received(callers);
		if (server.sent_bytes >= until_bytes ||
		    (server.accepted && server.closed == server.accepted &&
		     !rig.hosts[0].edge.call_count))
			break;
	}
	return peak;
}

static void assert_growth(int64_t before, int64_t peak)
{
	ck_assert_msg(peak < before + MAX_GROWTH_BYTES,
		      "memory grew from %lld to %lld bytes while the server "
		      "sent %llu",
		      (long long)before, (long long)peak,
		      (unsigned long long)server.sent_bytes);
}

START_TEST(a_server_that_sends_without_end_is_left_at_the_deadline)
{
	static struct edge_rig_caller callers[CALLERS];
	int64_t before;
	int64_t peak;

	use_endless_server(&cases[_i], 0);
	before = memory_bytes(callers);
	for (int i = 0; i < CALLERS; i++)
		send_request(&callers[i], cases[_i].route, "ok", DEADLINE_MS);
	peak = run_and_measure(callers, DEADLINE_MS + MARGIN_MS, UINT64_MAX);
	ck_assert_uint_gt(server.accepted, 0);
	ck_assert_msg(server.closed == server.accepted,
		      "%u of %u connections to the server are closed",
		      server.closed, server.accepted);
	ck_assert_uint_eq(rig.hosts[0].edge.call_count, 0);
	assert_growth(before, peak);
	for (int i = 0; i < CALLERS; i++)
		edge_rig_close_caller(&callers[i]);
}
END_TEST

/* Guards against LOST: the host kept an event without an end until it was
 * killed for its memory, with all that it had passed on. The server sends well
 * above the limit, unless the host ends the answer before; what counts is what
 * was held meanwhile. */
START_TEST(bytes_without_end_are_not_kept)
{
	static struct edge_rig_caller callers[CALLERS];
	int64_t before;
	int64_t peak;

	use_endless_server(&cases[_i], 0);
	before = memory_bytes(callers);
	for (int i = 0; i < CALLERS; i++)
		send_request(&callers[i], cases[_i].route, "ok",
			     FLOOD_DEADLINE_MS);
	peak = run_and_measure(callers, FLOOD_DEADLINE_MS - MARGIN_MS,
			       FLOOD_BYTES);
	ck_assert_uint_gt(server.accepted, 0);
	ck_assert_msg(server.sent_bytes >= FLOOD_BYTES ||
			      server.closed == server.accepted,
		      "the server sent %llu bytes only",
		      (unsigned long long)server.sent_bytes);
	assert_growth(before, peak);
	for (int i = 0; i < CALLERS; i++)
		edge_rig_close_caller(&callers[i]);
}
END_TEST

static int count_of(const char *text, const char *part)
{
	int count = 0;

	while ((text = strstr(text, part))) {
		text += strlen(part);
		count++;
	}
	return count;
}

static void assert_whole_stream(const struct edge_rig_caller *caller)
{
	const char *text = caller->received.data;
	size_t size = caller->received.size;

	for (int i = 0; i <= LAST_EVENT; i++) {
		char event[32];

		snprintf(event, sizeof(event), "id: %d\ndata: part-%d\n\n", i,
			 i);
		ck_assert_msg(count_of(text, event) == 1, "event %d of: %s", i,
			      text);
	}
	ck_assert_msg(!strstr(text, "data: x"), "%s", text);
	ck_assert(size > 5 && !strcmp(text + size - 5, "0\r\n\r\n"));
}

/* Guards against LOST: the caller gets its whole answer, from the server that
 * goes on, although the first one sends no end of an event. */
START_TEST(a_stream_whose_event_does_not_end_goes_on_elsewhere)
{
	static struct edge_rig_caller callers[CALLERS];
	const struct edge_counters *counters = &rig.hosts[0].edge.counters;

	use_endless_server(&event_without_end, 1);
	for (int i = 0; i < CALLERS; i++) {
		send_request(&callers[i], "resume", "stream", 2000);
		for (int ms = 0; ms < 2000 && counters->answered <= (unsigned)i;
		     ms++)
			edge_rig_run(&rig, 1);
		edge_rig_run(&rig, 20);
		assert_whole_stream(&callers[i]);
		edge_rig_close_caller(&callers[i]);
	}
	ck_assert_uint_gt(server.requests, 0);
	ck_assert_uint_eq(counters->events_without_end, server.requests);
	ck_assert_uint_eq(server.closed, server.accepted);
	ck_assert_uint_eq(counters->aborted, 0);
}
END_TEST

/* Where no server is left to go on, the caller sees that its stream is cut: the
 * events that were whole, no byte of the last one, and no end of the body. */
START_TEST(a_stream_that_is_cut_at_the_limit_looks_cut)
{
	static struct edge_rig_caller caller;

	use_endless_server(&event_without_end, 0);
	send_request(&caller, "resume", "stream", 2000);
	for (int ms = 0; ms < 2000 && !caller.closed; ms++)
		edge_rig_run(&rig, 1);
	ck_assert(caller.closed);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.events_without_end, 1);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.aborted, 1);
	ck_assert_int_eq(count_of(caller.received.data, EVENT_0), 1);
	ck_assert_ptr_null(strstr(caller.received.data, "data: x"));
	ck_assert_ptr_null(strstr(caller.received.data, "\r\n0\r\n\r\n"));
}
END_TEST

/* Guards against LOST by many servers at once: each event stays below its own
 * limit, all of them together do not stay below that of the host. */
START_TEST(many_events_without_end_stay_below_the_limit_of_the_host)
{
	static struct edge_rig_caller callers[2 * CALLERS];
	struct held_bytes *held = &rig.hosts[0].edge.held_answers;
	const struct edge_counters *counters = &rig.hosts[0].edge.counters;

	use_endless_server(&event_without_end, 0);
	server.stop_bytes = BELOW_LIMIT_BYTES;
	held->limit_bytes = LIMIT_OF_ALL_BYTES;
	for (int i = 0; i < 2 * CALLERS; i++)
		send_request(&callers[i], "resume", "stream", DEADLINE_MS);
	for (int ms = 0; ms < DEADLINE_MS / 2; ms++)
		edge_rig_run(&rig, 1);
	ck_assert_uint_ge(server.accepted, CALLERS);
	ck_assert_uint_ge(counters->events_without_end, 1);
	ck_assert_int_ge(held->peak_bytes, EVENT_LIMIT_BYTES);
	ck_assert_int_le(held->peak_bytes,
			 LIMIT_OF_ALL_BYTES +
				 2 * CALLERS * 2 * HELD_BYTES_ITEM_MIN);
	for (int i = 0; i < 2 * CALLERS; i++)
		edge_rig_close_caller(&callers[i]);
	edge_rig_run(&rig, MARGIN_MS);
	ck_assert_int_eq(held->total_bytes, 0);
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
	tcase_add_loop_test(tcase, bytes_without_end_are_not_kept, 0,
			    sizeof(cases) / sizeof(cases[0]));
	tcase_add_test(tcase,
		       a_stream_whose_event_does_not_end_goes_on_elsewhere);
	tcase_add_test(tcase, a_stream_that_is_cut_at_the_limit_looks_cut);
	tcase_add_test(
		tcase,
		many_events_without_end_stay_below_the_limit_of_the_host);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
