/* Tests what hosts make of what servers say in their answers: that they are
 * leaving, and that they want no requests for a while. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "edge/edge_clock.h"
#include "edge/server_signals.h"
#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define HOSTS 2
#define REQUESTS 200
/* Time within which a host acts on an answer, scaled down like the others. */
#define BOUND_MS 100
/* A refusal at once takes at most this long, on a busy machine too; the request
 * could wait for 1 s. */
#define AT_ONCE_US (250 * TGW_US_PER_MS)
/* Time for hosts that start together to list each other. */
#define DISCOVERY_MS 3500
#define LONG_ID_BYTES 200
#define LEAVING "Server-Leaving: 1\r\n"
/* More than all requests of a test need, in thousandths of a retry. */
#define AMPLE_CREDIT 1000000

static struct edge_rig rig;
static char *received;

static void set_retry_credit(int64_t thousandths)
{
	for (size_t i = 0; i < rig.host_count; i++) {
		struct retry_budget *budget =
			edge_retry_budget(&rig.hosts[i].edge, "app");

		budget->limits.max_thousandths = thousandths;
		budget->credit_thousandths = thousandths;
	}
}

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	set_retry_credit(AMPLE_CREDIT);
}

static void setup_fleet(void)
{
	edge_rig_start_fleet(&rig, HOSTS);
	edge_rig_make_ready(&rig);
	set_retry_credit(AMPLE_CREDIT);
	edge_rig_run(&rig, DISCOVERY_MS);
}

static void teardown(void)
{
	free(received);
	received = NULL;
	edge_rig_stop(&rig);
}

static struct backend_standin *server(int index)
{
	return &rig.server_standins[index];
}

static struct backend *entry_of(size_t host, int index)
{
	return backend_table_find(&rig.hosts[host].edge.backends,
				  server(index)->id);
}

static int request(size_t host, const char *route, const char *action)
{
	free(received);
	rig.entry_host = host;
	received = edge_rig_request(&rig, "GET", route, action, "", "");
	return (int)strtol(received + strlen("HTTP/1.1 "), NULL, 10);
}

static int64_t retry_after_ms(void)
{
	const char *field = strstr(received, "Retry-After: ");

	ck_assert_ptr_nonnull(field);
	return (int64_t)(strtod(field + strlen("Retry-After: "), NULL) * 1000);
}

/* Sends requests to a host until one was answered by the server. */
static void request_until_answered_by(size_t host, int index,
				      const char *action)
{
	unsigned int before = server(index)->arrivals;

	for (int i = 0; i < 50 && server(index)->arrivals == before; i++)
		request(host, "safe", action);
	ck_assert_uint_gt(server(index)->arrivals, before);
}

/* Sends requests to all hosts in turn. All must be served. */
static void request_at_all_hosts(unsigned int count)
{
	for (unsigned int i = 0; i < count; i++)
		ck_assert_int_eq(request(i % rig.host_count, "safe", "ok"),
				 200);
}

START_TEST(a_server_that_said_it_leaves_gets_nothing_while_the_store_is_away)
{
	unsigned int before;

	server(0)->extra_fields = LEAVING;
	rig.store.silent = true;
	request_until_answered_by(0, 0, "ok");
	before = server(0)->arrivals;
	edge_rig_run(&rig, BOUND_MS);
	request_at_all_hosts(REQUESTS);
	ck_assert_uint_eq(server(0)->arrivals, before);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.servers_left, 1);
	ck_assert_uint_eq(rig.hosts[1].edge.counters.servers_left, 0);
	ck_assert_uint_eq(rig.hosts[1].edge.counters.servers_left_by_hosts, 1);
}
END_TEST

START_TEST(a_later_run_at_the_address_of_a_server_that_left_gets_its_share)
{
	/* The later run has the same id, or another one. */
	const char *id = _i ? "worker-9" : "worker-0";
	unsigned int before;

	server(0)->extra_fields = LEAVING;
	request_until_answered_by(0, 0, "ok");
	backend_standin_crash(server(0));
	server(0)->extra_fields = NULL;
	if (_i)
		kv_standin_put(&rig.store, "servers/worker-0", NULL);
	backend_standin_restart_in_place(server(0), id);
	edge_rig_register_server(&rig, 0, "ready", 1);
	edge_rig_run(&rig, 3 * BOUND_MS);
	before = server(0)->runs;
	request_at_all_hosts(REQUESTS);
	ck_assert_uint_ge(server(0)->runs - before, REQUESTS / 4);
}
END_TEST

START_TEST(no_entry_of_the_store_takes_back_that_a_server_leaves)
{
	unsigned int before;

	server(0)->extra_fields = LEAVING;
	request_until_answered_by(0, 0, "ok");
	before = server(0)->arrivals;
	edge_rig_register_server(&rig, 0, "ready", 7);
	edge_rig_run(&rig, 3 * BOUND_MS);
	request_at_all_hosts(20);
	kv_standin_put(&rig.store, "servers/worker-0", NULL);
	edge_rig_run(&rig, 3 * BOUND_MS);
	edge_rig_register_server(&rig, 0, "ready", 8);
	edge_rig_configure(&rig, 2, 1000000, "key-1");
	edge_rig_run(&rig, 3 * BOUND_MS);
	ck_assert_ptr_nonnull(entry_of(0, 0));
	request_at_all_hosts(20);
	ck_assert_uint_eq(server(0)->arrivals, before);
}
END_TEST

START_TEST(another_server_at_an_address_says_nothing_about_the_expected_one)
{
	snprintf(server(0)->id, sizeof(server(0)->id), "stranger");
	server(0)->extra_fields = LEAVING "Retry-After: 60\r\n";
	request_until_answered_by(0, 0, "ok");
	snprintf(server(0)->id, sizeof(server(0)->id), "worker-0");
	ck_assert_uint_eq(rig.hosts[0].edge.counters.servers_left, 0);
	ck_assert_int_eq(entry_of(0, 0)->availability.leaving_until_us, 0);
	ck_assert_int_eq(entry_of(0, 0)->availability.rest_until_us, 0);
}
END_TEST

static unsigned int open_connections(int index)
{
	unsigned int count = 0;

	for (struct server_conn *conn = server(index)->conns; conn;
	     conn = conn->next)
		count++;
	return count;
}

static void start_waiting_request(struct edge_rig_caller *caller)
{
	edge_rig_call(&rig, caller,
		      "GET /long-unsafe/wait HTTP/1.1\r\nHost: a.example\r\n"
		      "Authorization: Token key-1\r\n"
		      "Connection: close\r\n\r\n");
	for (int i = 0; i < 100 && !server(0)->waiting; i++)
		edge_rig_run(&rig, 5);
}

static void expect_served(struct edge_rig_caller *caller)
{
	for (int i = 0; i < 100 && !caller->closed; i++)
		edge_rig_run(&rig, 5);
	buffer_add(&caller->received, "", 1);
	ck_assert_ptr_nonnull(strstr(caller->received.data, "\r\n\r\ndone"));
	edge_rig_close_caller(caller);
	while (!caller->released)
		edge_rig_run(&rig, 1);
	buffer_free(&caller->received);
}

/* Sends requests to the second server only while the first gets a request that
 * it does not answer. */
static void occupy_first_server(struct edge_rig_caller *caller)
{
	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 3 * BOUND_MS);
	start_waiting_request(caller);
	ck_assert_ptr_nonnull(server(0)->waiting);
}

START_TEST(what_runs_at_a_leaving_server_ends_whole)
{
	struct edge_rig_caller caller;

	occupy_first_server(&caller);
	server(0)->extra_fields = LEAVING;
	ck_assert_int_eq(request(0, "safe", "ok"), 200);
	edge_rig_run(&rig, BOUND_MS);
	ck_assert_uint_eq(open_connections(0), 1);
	ck_assert_int_eq(request(0, "safe", "ok"), 503);
	backend_standin_release(server(0));
	expect_served(&caller);
	edge_rig_run(&rig, BOUND_MS);
	ck_assert_uint_eq(open_connections(0), 0);
}
END_TEST

START_TEST(a_broken_stream_is_not_resumed_at_a_server_that_leaves_or_rests)
{
	const struct backend_entry *second = &entry_of(0, 1)->entry;
	struct backend_table *table = &rig.hosts[0].edge.backends;
	int64_t now_us = edge_now_us();

	if (_i)
		backend_table_set_rest(table, second, TGW_US_PER_S, now_us);
	else
		backend_table_set_leaving(table, second, LEAVING_BY_ANSWER,
					  now_us);
	request(0, "resume", "stream-cut");
	ck_assert_uint_eq(server(0)->runs, 1);
	ck_assert_uint_eq(server(1)->arrivals, 0);
}
END_TEST

START_TEST(kept_connections_to_a_draining_server_are_given_back)
{
	request_at_all_hosts(20);
	ck_assert_uint_gt(open_connections(0), 0);
	edge_rig_register_server(&rig, 0, "draining", 2);
	edge_rig_run(&rig, 4 * BOUND_MS);
	ck_assert_uint_eq(open_connections(0), 0);
}
END_TEST

START_TEST(a_resting_server_gets_at_most_two_requests)
{
	/* Whether or not the server says that it ran nothing. */
	const char *action = _i ? "busy" : "full";
	int64_t until_us;
	unsigned int before;

	server(0)->extra_fields = "Retry-After: 1.5\r\n";
	request_until_answered_by(0, 0, action);
	server(1)->extra_fields = NULL;
	until_us = edge_now_us() + 1300 * TGW_US_PER_MS;
	before = server(0)->arrivals;
	while (edge_now_us() < until_us)
		request(0, "safe", "ok");
	ck_assert_uint_le(server(0)->arrivals - before, 2);
	ck_assert_uint_gt(server(1)->runs, 50);
	/* Its share comes back after the rest. */
	edge_rig_run(&rig, 300);
	before = server(0)->runs;
	request_at_all_hosts(100);
	ck_assert_uint_ge(server(0)->runs - before, 25);
}
END_TEST

START_TEST(an_answer_to_an_earlier_request_does_not_end_a_rest)
{
	struct edge_rig_caller caller;
	unsigned int before;

	occupy_first_server(&caller);
	server(0)->extra_fields = "Retry-After: 1.5\r\n";
	ck_assert_int_eq(request(0, "safe", "full"), 503);
	before = server(0)->arrivals;
	backend_standin_release(server(0));
	expect_served(&caller);
	for (int i = 0; i < 20; i++)
		ck_assert_int_eq(request(0, "safe", "ok"), 503);
	ck_assert_uint_eq(server(0)->arrivals, before);
}
END_TEST

START_TEST(requests_are_refused_at_once_with_a_true_time_while_all_rest)
{
	int64_t rest_us = 2 * TGW_US_PER_S;
	int64_t answered_us;
	int64_t back_us = 0;
	unsigned int before;

	server(0)->extra_fields = "Retry-After: 2\r\n";
	server(1)->extra_fields = "Retry-After: 2\r\n";
	answered_us = edge_now_us();
	request(0, "safe", "full");
	ck_assert_uint_ge(server(0)->arrivals, 1);
	ck_assert_uint_ge(server(1)->arrivals, 1);
	before = server(0)->arrivals + server(1)->arrivals;
	for (int i = 0; i < 20; i++) {
		int64_t start_us = edge_now_us();

		ck_assert_int_eq(request(0, "safe", "ok"), 503);
		ck_assert_int_lt(edge_now_us() - start_us, AT_ONCE_US);
		back_us = edge_now_us() + retry_after_ms() * TGW_US_PER_MS;
		ck_assert_int_ge(back_us, answered_us + rest_us);
		ck_assert_int_le(back_us, answered_us + 2 * rest_us);
	}
	ck_assert_uint_eq(server(0)->arrivals + server(1)->arrivals, before);
	edge_rig_run(&rig, (back_us - edge_now_us()) / TGW_US_PER_MS);
	ck_assert_int_eq(request(0, "safe", "ok"), 200);
}
END_TEST

static const char *const unreadable[] = {
	"Server-Leaving: \r\n",
	"Server-Leaving: yes\r\n",
	"Server-Leaving: 10\r\n",
	"Server-Leaving: \"1\r\n",
	"Retry-After: \r\n",
	"Retry-After: -60\r\n",
	"Retry-After: inf\r\n",
	"Retry-After: 6e9\r\n",
	"Retry-After: 60, 60\r\n",
	"Retry-After: Fri, 31 Dec 2032 23:59:59 GMT\r\n",
};

START_TEST(a_field_that_cannot_be_read_counts_as_absent)
{
	server(0)->extra_fields = unreadable[_i];
	request_until_answered_by(0, 0, "full");
	ck_assert_uint_ge(rig.hosts[0].edge.counters.unreadable_fields, 1);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.servers_left, 0);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.server_rests, 0);
	edge_rig_run(&rig, BOUND_MS);
	request_until_answered_by(0, 0, "ok");
}
END_TEST

static const char *const harmless[] = {
	"Server-Leaving: 0\r\n",
	"Retry-After: 0\r\n",
};

START_TEST(a_field_that_asks_for_nothing_changes_nothing)
{
	server(0)->extra_fields = harmless[_i];
	request_until_answered_by(0, 0, "full");
	ck_assert_uint_eq(rig.hosts[0].edge.counters.unreadable_fields, 0);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.servers_left, 0);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.server_rests, 0);
}
END_TEST

START_TEST(only_a_503_asks_for_rest)
{
	server(0)->extra_fields = "Retry-After: 60\r\n";
	request_until_answered_by(0, 0, _i ? "fail" : "ok");
	ck_assert_uint_eq(rig.hosts[0].edge.counters.server_rests, 0);
}
END_TEST

START_TEST(a_late_or_wrong_notice_of_a_host_costs_no_server_for_good)
{
	struct edge *edge = &rig.hosts[0].edge;
	struct leaving_notice notice = {.server = "worker-0"};
	struct tgw_peer_message message = {.from_host = "host-b"};
	struct buffer bytes = {0};
	struct backend *backend = entry_of(0, 0);

	/* Of an earlier run. */
	notice.born_ms = backend->entry.born_ms - 1;
	snprintf(notice.address, sizeof(notice.address), "%s",
		 backend->entry.address);
	leaving_notice_encode(&notice, &bytes);
	message.payload = (const uint8_t *)bytes.data;
	message.payload_size = bytes.size;
	server_signals_on_message(edge, &message);
	ck_assert(backend_accepts_requests(backend, edge_now_us()));
	/* Of this run, though it stays. */
	buffer_clear(&bytes);
	notice.born_ms++;
	leaving_notice_encode(&notice, &bytes);
	message.payload = (const uint8_t *)bytes.data;
	message.payload_size = bytes.size;
	server_signals_on_message(edge, &message);
	ck_assert(!backend_accepts_requests(backend, edge_now_us()));
	ck_assert(backend_accepts_requests(backend,
					   edge_now_us() + 121 * TGW_US_PER_S));
	buffer_free(&bytes);
}
END_TEST

/* The server repeats it in its answer. */
START_TEST(an_answer_to_a_request_with_a_long_id_is_taken)
{
	static const char format[] = "GET /safe/ok HTTP/1.1\r\n"
				     "Host: a.example\r\n"
				     "Authorization: Token key-1\r\n"
				     "Connection: close\r\n"
				     "Tamarackgw-Request-Id: %0*d\r\n\r\n";
	char text[512];

	snprintf(text, sizeof(text), format, LONG_ID_BYTES, 7);
	received = edge_rig_exchange(&rig, text);
	ck_assert(!strncmp(received, "HTTP/1.1 200 ", 13));
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

static void set_stray_bytes(const char *bytes)
{
	server(0)->stray_bytes = bytes;
	server(1)->stray_bytes = bytes;
}

/* Leaves a kept connection to each server. */
static void prime_connections(void)
{
	request_until_answered_by(0, 0, "ok");
	request_until_answered_by(0, 1, "ok");
}

static void expect_one_run_and_its_answer(unsigned int runs_before)
{
	unsigned int runs = edge_rig_runs(&rig) - runs_before;

	ck_assert_msg(runs == 1 && !strncmp(received, "HTTP/1.1 200 ", 13),
		      "%u runs, answered: %s", runs, received);
	ck_assert_ptr_nonnull(strstr(received, "\r\n\r\ndone"));
}

/* Copies of earlier responses; none of them names the request. */
static const char *const copies[] = {
	"HTTP/1.1 503 Full\r\nTamarackgw-Not-Executed: 1\r\n"
	"Content-Length: 0\r\n\r\n",
	"HTTP/1.1 421 Misdirected\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 429 Busy\r\nTamarackgw-Not-Executed: 1\r\n"
	"Content-Length: 0\r\n\r\n",
	"HTTP/1.1 408 Timeout\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 400 Bad\r\nTamarackgw-Not-Executed: 1\r\n"
	"Content-Length: 0\r\n\r\n",
	"HTTP/1.1 500 Failed\r\nTamarackgw-Response-Stamp: old\r\n"
	"Content-Length: 3\r\n\r\nold",
	"HTTP/1.1 200 OK\r\nTamarackgw-Response-Stamp: old\r\n"
	"Content-Length: 3\r\n\r\nold",
	"HTTP/1.1 200 OK\r\nTamarackgw-Response-Stamp: old\r\n"
	"Tamarackgw-Request-Id: older\r\nContent-Length: 3\r\n\r\nold",
	"HTTP/1.1 503 Full\r\nTamarackgw-Not-Executed: 1\r\n"
	"Tamarackgw-Request-Id: older\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 503 Full\r\nTamarackgw-Not-Executed: 1\r\n"
	"Connection: close\r\nContent-Length: 0\r\n\r\n",
	"HTTP/1.1 200 OK\r\nTamarackgw-Response-Stamp: old\r\n"
	"Tamarackgw-Request-Id: older\r\nConnection: close\r\n"
	"Content-Length: 3\r\n\r\nold",
	"HTTP/1.1 100 Continue\r\n\r\n"
	"HTTP/1.1 503 Full\r\nTamarackgw-Not-Executed: 1\r\n"
	"Content-Length: 0\r\n\r\n"
	"HTTP/1.1 103 Hints\r\nLink: a\r\n\r\n",
};

START_TEST(a_copy_of_an_earlier_response_ends_no_request_on_a_kept_connection)
{
	unsigned int before;

	prime_connections();
	before = edge_rig_runs(&rig);
	set_stray_bytes(copies[_i]);
	request(0, "unsafe", "ok");
	expect_one_run_and_its_answer(before);
}
END_TEST

/* On a new connection the order tells whose response it is. */
START_TEST(a_refusal_without_an_id_counts_on_a_new_connection)
{
	server(0)->omits_ids = true;
	server(1)->omits_ids = true;
	server(0)->rejects = true;
	for (unsigned int i = 0; i < 10; i++) {
		unsigned int before = edge_rig_runs(&rig);

		request(0, "unsafe", "ok");
		expect_one_run_and_its_answer(before);
	}
	ck_assert_uint_ge(server(0)->arrivals, 1);
}
END_TEST

/* What was on a kept connection before can't be told from a copy, once. */
START_TEST(a_server_that_leaves_ids_out_costs_one_answer_at_most)
{
	unsigned int unanswered = 0;
	unsigned int before;

	prime_connections();
	server(0)->omits_ids = true;
	before = edge_rig_runs(&rig);
	for (unsigned int i = 0; i < 20; i++)
		if (request(0, "unsafe", "ok") != 200)
			unanswered++;
	ck_assert_uint_le(unanswered, 1);
	ck_assert_uint_eq(edge_rig_runs(&rig) - before, 20);
}
END_TEST

static void request_with_id(const char *method, const char *id)
{
	char text[256];

	snprintf(text, sizeof(text),
		 "%s /unsafe/ok HTTP/1.1\r\nHost: a.example\r\n"
		 "Authorization: Token key-1\r\n"
		 "Connection: close\r\n%s%s\r\n\r\n",
		 method, *id ? "Tamarackgw-Request-Id: " : "X-None: ", id);
	free(received);
	received = edge_rig_exchange(&rig, text);
}

static const char *const ids_between[] = {"twin", "other"};

START_TEST(a_late_copy_ends_no_later_request_with_the_same_id)
{
	unsigned int before;

	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 3 * BOUND_MS);
	request_with_id("GET", "twin");
	request_with_id("GET", ids_between[_i]);
	before = edge_rig_runs(&rig);
	server(0)->stray_bytes = "HTTP/1.1 503 Full\r\n"
				 "Tamarackgw-Request-Id: twin\r\n"
				 "Tamarackgw-Not-Executed: 1\r\n"
				 "Content-Length: 0\r\n\r\n";
	request_with_id("GET", "twin");
	expect_one_run_and_its_answer(before);
}
END_TEST

START_TEST(a_late_copy_ends_no_request_without_an_id)
{
	unsigned int before;

	prime_connections();
	before = edge_rig_runs(&rig);
	set_stray_bytes(copies[_i]);
	request_with_id("GET", "");
	expect_one_run_and_its_answer(before);
}
END_TEST

/* Whose response has a body decides where the next response begins. */
START_TEST(a_late_copy_ends_no_request_beside_head)
{
	static const char *const methods[] = {"GET", "HEAD"};
	static const char *const late_copies[] = {
		"HTTP/1.1 200 OK\r\nTamarackgw-Request-Id: older\r\n"
		"Content-Length: 4\r\n\r\ndone",
		"HTTP/1.1 200 OK\r\nTamarackgw-Request-Id: older\r\n"
		"Content-Length: 4\r\n\r\n",
	};
	unsigned int before;

	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 3 * BOUND_MS);
	request_with_id(methods[_i], "older");
	before = edge_rig_runs(&rig);
	server(0)->stray_bytes = late_copies[_i];
	request_with_id(methods[!_i], "mine");
	ck_assert_msg(!strncmp(received, "HTTP/1.1 200 ", 13), "%s", received);
	ck_assert_uint_eq(edge_rig_runs(&rig) - before, 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_server_answers");
	TCase *fleet = tcase_create("fleet");
	TCase *tcase = tcase_create("host");

	tcase_add_checked_fixture(fleet, setup_fleet, teardown);
	tcase_set_timeout(fleet, 40);
	tcase_add_test(
		fleet,
		a_server_that_said_it_leaves_gets_nothing_while_the_store_is_away);
	tcase_add_loop_test(
		fleet,
		a_later_run_at_the_address_of_a_server_that_left_gets_its_share,
		0, 2);
	suite_add_tcase(suite, fleet);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 40);
	tcase_add_test(tcase,
		       no_entry_of_the_store_takes_back_that_a_server_leaves);
	tcase_add_test(
		tcase,
		another_server_at_an_address_says_nothing_about_the_expected_one);
	tcase_add_test(tcase, what_runs_at_a_leaving_server_ends_whole);
	tcase_add_loop_test(
		tcase,
		a_broken_stream_is_not_resumed_at_a_server_that_leaves_or_rests,
		0, 2);
	tcase_add_test(tcase,
		       kept_connections_to_a_draining_server_are_given_back);
	tcase_add_loop_test(tcase, a_resting_server_gets_at_most_two_requests,
			    0, 2);
	tcase_add_test(tcase,
		       an_answer_to_an_earlier_request_does_not_end_a_rest);
	tcase_add_test(
		tcase,
		requests_are_refused_at_once_with_a_true_time_while_all_rest);
	tcase_add_loop_test(tcase, a_field_that_cannot_be_read_counts_as_absent,
			    0, sizeof(unreadable) / sizeof(unreadable[0]));
	tcase_add_loop_test(tcase,
			    a_field_that_asks_for_nothing_changes_nothing, 0,
			    sizeof(harmless) / sizeof(harmless[0]));
	tcase_add_test(tcase, an_answer_to_a_request_with_a_long_id_is_taken);
	tcase_add_loop_test(tcase, only_a_503_asks_for_rest, 0, 2);
	tcase_add_loop_test(
		tcase,
		a_copy_of_an_earlier_response_ends_no_request_on_a_kept_connection,
		0, sizeof(copies) / sizeof(copies[0]));
	tcase_add_test(tcase,
		       a_refusal_without_an_id_counts_on_a_new_connection);
	tcase_add_test(tcase,
		       a_server_that_leaves_ids_out_costs_one_answer_at_most);
	tcase_add_loop_test(tcase,
			    a_late_copy_ends_no_later_request_with_the_same_id,
			    0, sizeof(ids_between) / sizeof(ids_between[0]));
	tcase_add_loop_test(tcase, a_late_copy_ends_no_request_without_an_id, 0,
			    sizeof(copies) / sizeof(copies[0]));
	tcase_add_loop_test(tcase, a_late_copy_ends_no_request_beside_head, 0,
			    2);
	tcase_add_test(
		tcase,
		a_late_or_wrong_notice_of_a_host_costs_no_server_for_good);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
