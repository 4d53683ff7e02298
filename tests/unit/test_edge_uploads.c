/* Tests requests whose bodies backend servers read slowly. */
#include <malloc.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "edge/edge_clock.h"
#include "fakes/edge_rig.h"
#include "transport/read_turns.h"
#include "unit/unit_main.h"

#define BODY_BYTES ((size_t)3 * 1024 * 1024)
/* More than the sockets of both sides take. */
#define HUGE_BODY_BYTES ((size_t)24 * 1024 * 1024)
#define READ_INTERVAL_MS 50
/* A request of 10 s goes to another server as well after a silence of 1.5 s. */
#define STALL_MS 2500
#define WAIT_MS 9000
#define AMPLE_CREDIT 1000000

static struct edge_rig rig;
static struct edge_rig_caller caller;
static struct read_turns turns;

static void setup(void)
{
	struct retry_budget *budget;

	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	rig.hosts[0].edge.limits.body_bytes = 2 * BODY_BYTES;
	budget = edge_retry_budget(&rig.hosts[0].edge, "app");
	budget->limits.max_thousandths = AMPLE_CREDIT;
	budget->credit_thousandths = AMPLE_CREDIT;
	memset(&turns, 0, sizeof(turns));
	rig.server_standins[0].turns = &turns;
	/* The request goes to the slow server first. */
	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 300);
}

static void teardown(void)
{
	edge_rig_close_caller(&caller);
	while (!caller.released)
		edge_rig_run(&rig, 1);
	buffer_free(&caller.received);
	edge_rig_stop(&rig);
}

static void send_request(size_t body_bytes)
{
	static const char head[] = "POST /long-safe/ok HTTP/1.1\r\n"
				   "Host: a.example\r\n"
				   "Authorization: Token key-1\r\n"
				   "Connection: close\r\n"
				   "Content-Length: %zu\r\n\r\n";
	struct buffer text = {0};
	char *body = xmalloc(body_bytes);

	memset(body, 'x', body_bytes);
	buffer_add_format(&text, head, body_bytes);
	buffer_add(&text, body, body_bytes);
	buffer_add(&text, "", 1);
	edge_rig_call(&rig, &caller, text.data);
	free(body);
	buffer_free(&text);
	for (int i = 0; i < 100 && !rig.hosts[0].edge.call_count; i++)
		edge_rig_run(&rig, 5);
	edge_rig_register_server(&rig, 1, "ready", 3);
}

/* @return how long the server took to read the request and answer */
static int64_t read_slowly(void)
{
	int64_t start_us = edge_now_us();

	for (int i = 0; i < WAIT_MS / READ_INTERVAL_MS && !caller.closed; i++) {
		read_turns_begin(&turns, 1, edge_now_us());
		edge_rig_run(&rig, READ_INTERVAL_MS);
	}
	return (edge_now_us() - start_us) / TGW_US_PER_MS;
}

START_TEST(a_long_upload_is_not_a_silence)
{
	int64_t taken_ms;

	send_request(BODY_BYTES);
	taken_ms = read_slowly();
	ck_assert(caller.closed);
	ck_assert(!strncmp(caller.received.data, "HTTP/1.1 200 ", 13));
	ck_assert_uint_eq(rig.hosts[0].edge.counters.silences, 0);
	ck_assert_int_ge(taken_ms, 2000);
	ck_assert_uint_eq(rig.server_standins[0].runs, 1);
	ck_assert_uint_eq(rig.server_standins[1].arrivals, 0);
}
END_TEST

START_TEST(an_upload_that_stalls_is_a_silence)
{
	send_request(BODY_BYTES);
	edge_rig_run(&rig, STALL_MS);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.silences, 1);
	ck_assert_uint_eq(rig.server_standins[1].runs, 1);
	ck_assert(caller.closed);
	ck_assert(!strncmp(caller.received.data, "HTTP/1.1 200 ", 13));
}
END_TEST

static size_t allocated_bytes(void)
{
	struct mallinfo2 info = mallinfo2();

	return info.uordblks + info.hblkhd;
}

/* Both servers read too little of it, so that most of it waits here for each.
 */
START_TEST(a_body_that_waits_for_two_servers_is_held_once)
{
	struct edge *edge = &rig.hosts[0].edge;
	struct read_turns none;
	size_t before;

	memset(&none, 0, sizeof(none));
	rig.server_standins[1].turns = &none;
	edge->limits.body_bytes = 2 * HUGE_BODY_BYTES;
	before = allocated_bytes();
	send_request(HUGE_BODY_BYTES);
	edge_rig_run(&rig, STALL_MS);
	ck_assert_uint_eq(edge->counters.silences, 1);
	ck_assert_uint_eq(edge->call_count, 1);
	ck_assert_uint_le(allocated_bytes() - before, HUGE_BODY_BYTES * 3 / 2);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_uploads");
	TCase *tcase = tcase_create("uploads");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 30);
	tcase_add_test(tcase, a_long_upload_is_not_a_silence);
	tcase_add_test(tcase, an_upload_that_stalls_is_a_silence);
	tcase_add_test(tcase, a_body_that_waits_for_two_servers_is_held_once);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
