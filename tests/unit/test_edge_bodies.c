/* Tests that callers' bodies stay within the memory that a host has for them:
 * what finds no room is refused before it is read, and what was taken is
 * answered. */
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/xalloc.h"
#include "fakes/edge_rig.h"
#include "transport/read_turns.h"
#include "transport/socket_address.h"
#include "unit/unit_main.h"

#define BODY_BYTES ((size_t)1024 * 1024)
#define ROOM_BYTES ((int64_t)3 * 1024 * 1024)
#define HEADS_BYTES ((int64_t)64 * 1024)
#define CALLERS 8
#define SMALL_BYTES ((size_t)4000)
#define CHUNK_BYTES ((size_t)64 * 1024)
#define PIPELINED_BYTES ((size_t)1024 * 1024)
#define WAIT_MS 4000

static struct edge_rig rig;
static struct edge_rig_caller callers[CALLERS];
static struct read_turns turns;
static struct held_bytes *held;

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	rig.hosts[0].edge.limits.body_bytes = 4 * ROOM_BYTES;
	held = &rig.hosts[0].edge.held_requests;
	held->limit_bytes = ROOM_BYTES;
	held->item_max_bytes = ROOM_BYTES;
	memset(&turns, 0, sizeof(turns));
	memset(callers, 0, sizeof(callers));
}

/* Servers read nothing until the turns allow it. */
static void stop_servers(void)
{
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		rig.server_standins[i].turns = &turns;
}

static void let_servers_read(void)
{
	read_turns_begin(&turns, 1000, 1);
}

static void teardown(void)
{
	for (int i = 0; i < CALLERS; i++) {
		if (!callers[i].connected)
			continue;
		edge_rig_close_caller(&callers[i]);
		while (!callers[i].released)
			edge_rig_run(&rig, 1);
		buffer_free(&callers[i].received);
	}
	for (int ms = 0; ms < WAIT_MS && held->total_bytes; ms += 5) {
		let_servers_read();
		edge_rig_run(&rig, 5);
	}
	ck_assert_int_eq(held->total_bytes, 0);
	edge_rig_stop(&rig);
}

static void add_head(struct buffer *text, const char *route, int number,
		     const char *framing)
{
	buffer_add_format(text,
			  "POST /%s HTTP/1.1\r\nHost: a.example\r\n"
			  "Authorization: Token key-1\r\n"
			  "Tamarackgw-Request-Id: body-%d\r\n%s\r\n\r\n",
			  route, number, framing);
}

static void add_filler(struct buffer *text, size_t size)
{
	char *filler = xmalloc(size);

	memset(filler, 'x', size);
	buffer_add(text, filler, size);
	free(filler);
}

static void send_body(int number, const char *route, size_t size)
{
	struct buffer text = {0};
	char *framing = xasprintf("Content-Length: %zu", size);

	add_head(&text, route, number, framing);
	add_filler(&text, size);
	edge_rig_call(&rig, &callers[number], text.data);
	edge_rig_run(&rig, 20);
	free(framing);
	buffer_free(&text);
}

static bool was_answered(const struct edge_rig_caller *caller, const char *code)
{
	return caller->received.size > 12 &&
	       !memcmp(caller->received.data + 9, code, 3);
}

static int count_answers(const char *code)
{
	int count = 0;

	for (int i = 0; i < CALLERS; i++)
		count += was_answered(&callers[i], code);
	return count;
}

static void wait_for_answers(int count, const char *code)
{
	for (int ms = 0; ms < WAIT_MS && count_answers(code) < count; ms += 5) {
		let_servers_read();
		edge_rig_run(&rig, 5);
	}
	ck_assert_int_eq(count_answers(code), count);
}

/* Guards against LOST by a burst of bodies that ends the host. */
START_TEST(a_burst_of_large_bodies_is_refused_beyond_the_room)
{
	const struct edge_counters *counters = &rig.hosts[0].edge.counters;

	stop_servers();
	for (int i = 0; i < CALLERS; i++)
		send_body(i, "long-unsafe/ok", BODY_BYTES);
	ck_assert_int_le(held->peak_bytes, ROOM_BYTES + HEADS_BYTES);
	ck_assert_int_eq(count_answers("503"), CALLERS - 2);
	ck_assert_uint_eq(counters->memory_refused, CALLERS - 2);
	for (int i = 2; i < CALLERS; i++)
		ck_assert_ptr_nonnull(strstr(callers[i].received.data,
					     "\r\nRetry-After: 0.500\r\n"));
	wait_for_answers(2, "200");
}
END_TEST

START_TEST(a_small_body_is_served_by_a_full_host)
{
	stop_servers();
	for (int i = 0; i < CALLERS - 1; i++)
		send_body(i, "long-unsafe/ok", BODY_BYTES);
	send_body(CALLERS - 1, "long-unsafe/ok", SMALL_BYTES);
	wait_for_answers(3, "200");
	ck_assert(was_answered(&callers[CALLERS - 1], "200"));
}
END_TEST

START_TEST(room_that_is_given_back_is_used_again)
{
	for (int i = 0; i < CALLERS; i++) {
		send_body(i, "unsafe/ok", BODY_BYTES);
		for (int ms = 0; ms < WAIT_MS && !callers[i].received.size;
		     ms++)
			edge_rig_run(&rig, 1);
	}
	ck_assert_int_eq(count_answers("200"), CALLERS);
}
END_TEST

START_TEST(a_body_without_a_length_is_refused_when_the_room_ends)
{
	struct buffer text = {0};

	stop_servers();
	send_body(0, "long-unsafe/ok", BODY_BYTES);
	send_body(1, "long-unsafe/ok", BODY_BYTES);
	add_head(&text, "long-unsafe/ok", 2, "Transfer-Encoding: chunked");
	for (size_t i = 0; i < 2 * BODY_BYTES / CHUNK_BYTES; i++) {
		buffer_add_format(&text, "%zx\r\n", CHUNK_BYTES);
		add_filler(&text, CHUNK_BYTES);
		buffer_add_text(&text, "\r\n");
	}
	buffer_add_text(&text, "0\r\n\r\n");
	edge_rig_call(&rig, &callers[2], text.data);
	edge_rig_run(&rig, 50);
	ck_assert(was_answered(&callers[2], "503"));
	ck_assert_int_le(held->peak_bytes, ROOM_BYTES + HEADS_BYTES);
	wait_for_answers(2, "200");
	buffer_free(&text);
}
END_TEST

START_TEST(a_body_that_never_has_room_is_too_large)
{
	send_body(0, "unsafe/ok", (size_t)ROOM_BYTES + 1);
	ck_assert(was_answered(&callers[0], "413"));
}
END_TEST

/* A stream that no other server may go on with does not need its body. */
START_TEST(a_body_is_given_up_when_its_answer_begins)
{
	struct buffer text = {0};
	char *framing = xasprintf("X-Pause: %d,%d\r\nContent-Length: %zu",
				  BACKEND_STANDIN_PAUSE_BETWEEN_EVENTS, WAIT_MS,
				  BODY_BYTES);

	add_head(&text, "long-stream/stream", 0, framing);
	add_filler(&text, BODY_BYTES);
	edge_rig_call(&rig, &callers[0], text.data);
	for (int ms = 0; ms < WAIT_MS && !callers[0].received.size; ms++)
		edge_rig_run(&rig, 1);
	ck_assert(was_answered(&callers[0], "200"));
	ck_assert_int_ge(held->peak_bytes, (int64_t)BODY_BYTES);
	ck_assert_uint_eq(rig.hosts[0].edge.call_count, 1);
	ck_assert_int_le(held->total_bytes, HEADS_BYTES);
	free(framing);
	buffer_free(&text);
}
END_TEST

/* Requests behind one that is served wait in the caller's system. */
START_TEST(what_waits_on_connections_is_little_at_a_full_host)
{
	struct buffer text = {0};
	int64_t before;

	stop_servers();
	send_body(0, "long-unsafe/ok", BODY_BYTES);
	send_body(1, "long-unsafe/ok", BODY_BYTES);
	held->limit_bytes = held->total_bytes;
	before = held->total_bytes;
	for (int i = 2; i < CALLERS; i++) {
		buffer_clear(&text);
		add_head(&text, "long-unsafe/ok", i, "Content-Length: 0");
		while (text.size < PIPELINED_BYTES)
			add_head(&text, "open/ok", i, "Content-Length: 0");
		edge_rig_call(&rig, &callers[i], text.data);
		edge_rig_run(&rig, 20);
	}
	ck_assert_int_le((held->total_bytes - before) / (CALLERS - 2),
			 5 * HELD_BYTES_ITEM_MIN);
	buffer_free(&text);
}
END_TEST

/* Sends a body but for its last byte. */
static void send_part(int number, size_t size)
{
	struct buffer text = {0};
	char *framing = xasprintf("Content-Length: %zu", size);

	add_head(&text, "unsafe/ok", number, framing);
	add_filler(&text, size - 1);
	edge_rig_call(&rig, &callers[number], text.data);
	edge_rig_run(&rig, 20);
	free(framing);
	buffer_free(&text);
}

/* Guards against a few callers that stop short of their ends and keep all
 * others out; and against a refusal of one that sends steadily. */
START_TEST(a_stalled_body_makes_room_for_another)
{
	struct edge *edge = &rig.hosts[0].edge;

	edge->limits.stall_room_ms = 100;
	edge->limits.head_ms = 10000;
	send_part(0, BODY_BYTES);
	send_part(1, BODY_BYTES + CHUNK_BYTES);
	edge_rig_run(&rig, 150);
	send_part(2, BODY_BYTES / 2);
	send_body(3, "unsafe/ok", BODY_BYTES);
	wait_for_answers(1, "200");
	ck_assert(was_answered(&callers[3], "200"));
	ck_assert(was_answered(&callers[1], "503"));
	ck_assert_uint_eq(callers[0].received.size, 0);
	ck_assert_uint_eq(callers[2].received.size, 0);
	edge_rig_send(&callers[2], "x");
	wait_for_answers(2, "200");
}
END_TEST

/* Sends chunks of one byte, each with an extension. */
static void send_chunks(int number, int count, int extension_bytes)
{
	struct buffer text = {0};

	add_head(&text, "unsafe/ok", number, "Transfer-Encoding: chunked");
	for (int i = 0; i < count; i++)
		buffer_add_format(&text, "1;%0*d\r\nx\r\n", extension_bytes, 0);
	buffer_add_text(&text, "0\r\n\r\n");
	edge_rig_call(&rig, &callers[number], text.data);
	buffer_free(&text);
}

/* Guards against a small body that takes as long to read as a large one. */
START_TEST(long_chunk_extensions_are_refused)
{
	const uint64_t *closes = rig.hosts[0].edge.counters.caller_closes;

	send_chunks(0, 200, 4000);
	wait_for_answers(1, "431");
	for (int ms = 0; ms < WAIT_MS && !closes[SERVER_CLOSE_FRAMING]; ms++)
		edge_rig_run(&rig, 1);
	ck_assert_uint_eq(closes[SERVER_CLOSE_FRAMING], 1);
	send_chunks(1, 20, 4000);
	wait_for_answers(1, "200");
	send_chunks(2, 100000, 1);
	wait_for_answers(2, "200");
	ck_assert(was_answered(&callers[2], "200"));
}
END_TEST

/* A caller on a plain socket, which goes on after the end of the response. */
static int connect_plainly(void)
{
	union socket_address address;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	if (!socket_address_parse(rig.hosts[0].settings.caller_address,
				  &address) ||
	    connect(fd, &address.any, sizeof(address.v4)) < 0)
		abort();
	return fd;
}

/* Guards against a host that spends its time and its link on bodies that it has
 * refused. */
START_TEST(the_rest_of_a_refused_body_is_not_read)
{
	struct edge *edge = &rig.hosts[0].edge;
	struct buffer text = {0};
	int fd = connect_plainly();

	edge->limits.discard_bytes = 2 * CHUNK_BYTES;
	add_head(&text, "unsafe/ok", 0, "Content-Length: 1000000000");
	add_filler(&text, CHUNK_BYTES);
	for (int ms = 0; ms < WAIT_MS &&
			 !edge->counters.caller_closes[SERVER_CLOSE_SENDS_ON];
	     ms++) {
		(void)send(fd, text.data, text.size,
			   MSG_DONTWAIT | MSG_NOSIGNAL);
		edge_rig_run(&rig, 1);
	}
	ck_assert_uint_eq(edge->counters.caller_closes[SERVER_CLOSE_SENDS_ON],
			  1);
	ck_assert_uint_le(edge->link_bytes.received_bytes, 6 * CHUNK_BYTES);
	close(fd);
	buffer_free(&text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_bodies");
	TCase *tcase = tcase_create("bodies");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 30);
	tcase_add_test(tcase,
		       a_burst_of_large_bodies_is_refused_beyond_the_room);
	tcase_add_test(tcase, a_small_body_is_served_by_a_full_host);
	tcase_add_test(tcase, room_that_is_given_back_is_used_again);
	tcase_add_test(tcase,
		       a_body_without_a_length_is_refused_when_the_room_ends);
	tcase_add_test(tcase, a_body_that_never_has_room_is_too_large);
	tcase_add_test(tcase, a_body_is_given_up_when_its_answer_begins);
	tcase_add_test(tcase,
		       what_waits_on_connections_is_little_at_a_full_host);
	tcase_add_test(tcase, a_stalled_body_makes_room_for_another);
	tcase_add_test(tcase, long_chunk_extensions_are_refused);
	tcase_add_test(tcase, the_rest_of_a_refused_body_is_not_read);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
