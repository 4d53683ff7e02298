/* Tests of requests that two backend servers have at once, since the first fell
 * silent, and of responses that end after such a time. */
#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "edge/call_private.h"
#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define WAIT_MS 8000
#define LARGE_BODY_BYTES ((size_t)600 * 1024)
/* After this, the host has sent a request of 10 s to another server as well. */
#define SECOND_ATTEMPT_MS 1700
#define FAILED_REQUESTS 5
#define SILENT_REQUESTS 40
#define AMPLE_CREDIT 1000000
#define BLOCKED_SOCKETS 4

static struct edge_rig rig;
static struct edge_rig_caller caller;

static void setup(void)
{
	struct retry_budget *budget;

	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	memset(&caller, 0, sizeof(caller));
	budget = edge_retry_budget(&rig.hosts[0].edge, "app");
	budget->limits.max_thousandths = AMPLE_CREDIT;
	budget->credit_thousandths = AMPLE_CREDIT;
}

static void teardown(void)
{
	edge_rig_close_caller(&caller);
	while (!caller.released)
		edge_rig_run(&rig, 1);
	buffer_free(&caller.received);
	edge_rig_stop(&rig);
}

static void send_request(const char *path, const char *fields)
{
	char text[512];

	snprintf(text, sizeof(text),
		 "GET %s HTTP/1.1\r\nHost: a.example\r\n"
		 "Authorization: Token key-1\r\n"
		 "Tamarackgw-Request-Id: request-1\r\n%s\r\n",
		 path, fields);
	edge_rig_call(&rig, &caller, text);
}

/* The first server gets the request, and only later is there another one. */
static void send_to_first_server(const char *path, const char *fields)
{
	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 300);
	send_request(path, fields);
	edge_rig_run(&rig, 300);
	ck_assert_uint_eq(rig.server_standins[0].arrivals, 1);
	edge_rig_register_server(&rig, 1, "ready", 3);
}

static void send_to_both_servers(const char *path)
{
	send_to_first_server(path, "Connection: close\r\n");
	edge_rig_run(&rig, SECOND_ATTEMPT_MS);
	ck_assert_ptr_nonnull(rig.server_standins[0].waiting);
	ck_assert_ptr_nonnull(rig.server_standins[1].waiting);
}

static void wait_until_closed(void)
{
	for (int i = 0; i < WAIT_MS / 5 && !caller.closed; i++)
		edge_rig_run(&rig, 5);
	ck_assert(caller.closed);
	buffer_add(&caller.received, "", 1);
}

static bool begins_with(const char *start)
{
	return !strncmp(caller.received.data, start, strlen(start));
}

static bool ends_with(const char *end)
{
	size_t size = strlen(end);
	/* Without the null byte. */
	size_t received = caller.received.size - 1;

	return received >= size &&
	       !memcmp(caller.received.data + received - size, end, size);
}

static size_t count_bytes(char byte)
{
	size_t count = 0;

	for (size_t i = 0; i < caller.received.size; i++)
		count += caller.received.data[i] == byte;
	return count;
}

static size_t count_in_head(char byte)
{
	const char *end = strstr(caller.received.data, "\r\n\r\n");
	size_t count = 0;

	for (const char *at = caller.received.data; end && at < end; at++)
		count += *at == byte;
	return count;
}

static bool no_server_is_busy(void)
{
	const struct backend *backend = rig.hosts[0].edge.backends.first;

	for (; backend; backend = backend->next)
		if (backend->running)
			return false;
	return true;
}

START_TEST(a_large_error_response_is_not_cut_at_its_end)
{
	send_request(_i ? "/long-safe/huge-missing" : "/long-unsafe/huge-fail",
		     "Connection: close\r\n");
	wait_until_closed();
	ck_assert(begins_with(_i ? "HTTP/1.1 404 " : "HTTP/1.1 500 "));
	ck_assert(ends_with("\r\n0\r\n\r\n"));
	ck_assert_uint_ge(count_bytes('x'), LARGE_BODY_BYTES);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.aborted, 0);
}
END_TEST

/* The first server goes on with a response that is no success. */
START_TEST(a_large_error_response_is_not_joined_with_another_response)
{
	send_to_both_servers("/long-safe/wait");
	backend_standin_begin_huge(&rig.server_standins[0], _i ? 404 : 500);
	edge_rig_run(&rig, 100);
	ck_assert_uint_gt(caller.received.size, LARGE_BODY_BYTES / 4);
	backend_standin_release(&rig.server_standins[1]);
	edge_rig_run(&rig, 100);
	backend_standin_crash(&rig.server_standins[0]);
	wait_until_closed();
	ck_assert(!ends_with("\r\n0\r\n\r\n"));
	ck_assert(no_server_is_busy());
}
END_TEST

START_TEST(an_error_of_the_second_server_does_not_end_the_first_attempt)
{
	rig.server_standins[1].fails = true;
	send_to_first_server("/long-safe/ok",
			     "X-Pause: 1,3000\r\nConnection: close\r\n");
	wait_until_closed();
	ck_assert_uint_eq(rig.server_standins[1].runs, 1);
	ck_assert_msg(begins_with("HTTP/1.1 200 "), "received: %.200s",
		      caller.received.data);
	ck_assert(ends_with("done"));
	ck_assert(no_server_is_busy());
}
END_TEST

/* The second server refuses to go on with a stream that has begun. */
START_TEST(a_large_error_response_is_not_joined_with_a_stream)
{
	rig.server_standins[1].fails_huge = true;
	send_to_first_server("/long-resume/stream",
			     "X-Pause: 4,3000\r\nConnection: close\r\n");
	wait_until_closed();
	ck_assert_uint_eq(rig.server_standins[1].runs, 1);
	ck_assert_uint_eq(count_bytes('x'), count_in_head('x'));
	ck_assert(strstr(caller.received.data, "data: part-5\n"));
	ck_assert(ends_with("\r\n0\r\n\r\n"));
	ck_assert(no_server_is_busy());
}
END_TEST

/* Its refill is all that the requests get. */
static void limit_retry_credit(void)
{
	struct retry_budget *budget =
		edge_retry_budget(&rig.hosts[0].edge, "app");

	budget->limits.per_attempt_thousandths = 0;
	budget->limits.refill_thousandths_per_s = 2000;
	budget->limits.max_thousandths = 3000;
	budget->credit_thousandths = 3000;
}

/* Sends requests that their first server fails, one each second.
 * @return how many got a success */
static unsigned int count_served_of_failed(void)
{
	unsigned int served = 0;

	for (int i = 0; i < FAILED_REQUESTS; i++) {
		char *answer = edge_rig_request(&rig, "GET", "long-safe", "ok",
						"", "");

		served += !strncmp(answer, "HTTP/1.1 200 ",
				   strlen("HTTP/1.1 200 "));
		free(answer);
		edge_rig_run(&rig, 1000);
	}
	return served;
}

START_TEST(requests_at_a_silent_server_leave_retries_to_those_that_failed)
{
	static struct edge_rig_caller silent[SILENT_REQUESTS];
	int count = _i * SILENT_REQUESTS;
	unsigned int served;

	rig.server_standins[1].fails = true;
	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 300);
	limit_retry_credit();
	for (int i = 0; i < count; i++)
		edge_rig_call(&rig, &silent[i],
			      "GET /long-safe/ok HTTP/1.1\r\n"
			      "Host: a.example\r\n"
			      "Authorization: Token key-1\r\n"
			      "X-Pause: 1,9000\r\n\r\n");
	edge_rig_register_server(&rig, 1, "ready", 3);
	edge_rig_run(&rig, 2000);
	served = count_served_of_failed();
	send_request("/long-safe/ok", "Connection: close\r\n");
	for (int i = 0; i < count; i++) {
		edge_rig_close_caller(&silent[i]);
		while (!silent[i].released)
			edge_rig_run(&rig, 1);
		buffer_free(&silent[i].received);
	}
	ck_assert_msg(served == FAILED_REQUESTS, "%u of %u requests are served",
		      served, FAILED_REQUESTS);
}
END_TEST

START_TEST(a_caller_that_leaves_ends_both_attempts)
{
	send_to_both_servers("/long-safe/wait");
	edge_rig_close_caller(&caller);
	edge_rig_run(&rig, 100);
	ck_assert_uint_eq(rig.server_standins[0].disconnects, 1);
	ck_assert_uint_eq(rig.server_standins[1].disconnects, 1);
	ck_assert_uint_eq(rig.hosts[0].edge.call_count, 0);
	ck_assert(no_server_is_busy());
}
END_TEST

START_TEST(either_server_answers_a_request_that_both_have)
{
	send_to_both_servers("/long-safe/wait");
	backend_standin_release(&rig.server_standins[_i]);
	wait_until_closed();
	edge_rig_run(&rig, 100);
	ck_assert(begins_with("HTTP/1.1 200 ") && ends_with("done"));
	ck_assert_uint_eq(rig.server_standins[1 - _i].disconnects, 1);
	ck_assert(no_server_is_busy());
}
END_TEST

START_TEST(a_crash_of_one_server_leaves_the_request_to_the_other)
{
	send_to_both_servers("/long-safe/wait");
	backend_standin_crash(&rig.server_standins[_i]);
	edge_rig_run(&rig, 700);
	backend_standin_release(&rig.server_standins[1 - _i]);
	wait_until_closed();
	ck_assert(begins_with("HTTP/1.1 200 ") && ends_with("done"));
	ck_assert(no_server_is_busy());
}
END_TEST

/* Its entry is gone, and later the same id has another address. */
START_TEST(a_silent_server_may_be_removed_and_restarted)
{
	char address[32];

	snprintf(address, sizeof(address), "127.0.0.1:%d",
		 edge_rig_free_port());
	send_to_both_servers("/long-safe/wait");
	kv_standin_put(&rig.store, "servers/worker-0", NULL);
	edge_rig_run(&rig, 300);
	edge_rig_register_entry(&rig, "worker-0", address, "ready", 1, 5000);
	edge_rig_run(&rig, 300);
	backend_standin_release(&rig.server_standins[_i]);
	wait_until_closed();
	ck_assert(begins_with("HTTP/1.1 200 ") && ends_with("done"));
	ck_assert(no_server_is_busy());
}
END_TEST

START_TEST(a_planned_stop_waits_for_a_request_that_two_servers_have)
{
	send_to_both_servers("/long-safe/wait");
	edge_stop(&rig.hosts[0].edge);
	edge_rig_run(&rig, 1000);
	backend_standin_release(&rig.server_standins[_i]);
	wait_until_closed();
	ck_assert(begins_with("HTTP/1.1 200 ") && ends_with("done"));
}
END_TEST

START_TEST(a_deadline_ends_both_attempts)
{
	send_to_both_servers("/long-safe/wait");
	rig.hosts[0].edge.calls->deadline_us = edge_now_us();
	call_schedule(rig.hosts[0].edge.calls);
	wait_until_closed();
	edge_rig_run(&rig, 100);
	ck_assert(begins_with("HTTP/1.1 504 "));
	ck_assert_uint_eq(rig.server_standins[0].disconnects, 1);
	ck_assert_uint_eq(rig.server_standins[1].disconnects, 1);
	ck_assert(no_server_is_busy());
}
END_TEST

START_TEST(a_request_that_neither_server_ran_is_refused_with_503)
{
	send_to_both_servers("/long-safe/wait");
	backend_standin_reject_waiting(&rig.server_standins[_i]);
	edge_rig_run(&rig, 100);
	ck_assert(!caller.closed);
	backend_standin_reject_waiting(&rig.server_standins[1 - _i]);
	wait_until_closed();
	ck_assert_msg(begins_with("HTTP/1.1 503 "), "received: %.200s",
		      caller.received.data);
	ck_assert(strstr(caller.received.data, "Retry-After: "));
	ck_assert(no_server_is_busy());
}
END_TEST

START_TEST(a_request_that_one_server_may_have_run_is_refused_with_502)
{
	send_to_both_servers("/long-safe/wait");
	backend_standin_reject_waiting(&rig.server_standins[_i]);
	edge_rig_run(&rig, 100);
	backend_standin_crash(&rig.server_standins[1 - _i]);
	wait_until_closed();
	ck_assert(begins_with("HTTP/1.1 502 "));
}
END_TEST

/* A listener that accepts nothing, whose queue is full: connections to it are
 * neither made nor refused. */
static void block_second_server(int *sockets)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	char text[32];

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	sockets[0] = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(sockets[0], (struct sockaddr *)&address,
			      sizeof(address)),
			 0);
	listen(sockets[0], 0);
	getsockname(sockets[0], (struct sockaddr *)&address, &size);
	for (int i = 1; i < BLOCKED_SOCKETS; i++) {
		sockets[i] = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
		(void)connect(sockets[i], (struct sockaddr *)&address,
			      sizeof(address));
	}
	snprintf(text, sizeof(text), "127.0.0.1:%d", ntohs(address.sin_port));
	edge_rig_register_entry(&rig, "worker-1", text, "ready", 1, 5000);
}

/* The first server goes on before the second one is given up, or after. */
START_TEST(an_unsent_second_attempt_counts_as_no_retry)
{
	struct retry_budget *budget =
		edge_retry_budget(&rig.hosts[0].edge, "app");
	const struct call *call;
	int sockets[BLOCKED_SOCKETS];

	budget->limits.refill_thousandths_per_s = 0;
	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 300);
	send_request("/long-safe/wait", "Connection: close\r\n");
	block_second_server(sockets);
	edge_rig_run_until(&rig, &rig.hosts[0].edge.call_count, 1);
	call = rig.hosts[0].edge.calls;
	for (int i = 0; i < WAIT_MS && call->attempt_count < 2; i++)
		edge_rig_run(&rig, 1);
	ck_assert_uint_eq(call->attempt_count, 2);
	edge_rig_run(&rig, _i ? 400 : 100);
	backend_standin_begin_huge(&rig.server_standins[0], 200);
	edge_rig_run(&rig, 50);
	ck_assert_uint_eq(call->sent_count, 1);
	ck_assert_int_eq(budget->credit_thousandths, AMPLE_CREDIT);
	for (int i = 0; i < BLOCKED_SOCKETS; i++)
		close(sockets[i]);
}
END_TEST

/* Its deadline does not tell anything new of a server that was silent before.
 */
START_TEST(a_silence_is_recorded_once)
{
	struct edge *edge = &rig.hosts[0].edge;
	const struct backend *backend;
	double rate;

	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 300);
	send_request("/long-safe/wait", "Connection: close\r\n");
	edge_rig_run(&rig, SECOND_ATTEMPT_MS);
	ck_assert_uint_eq(edge->counters.silences, 1);
	backend = backend_table_find(&edge->backends, "worker-0");
	rate = backend->failure_rate;
	edge->calls->deadline_us = edge_now_us();
	call_schedule(edge->calls);
	wait_until_closed();
	ck_assert(begins_with("HTTP/1.1 504 "));
	ck_assert(backend->failure_rate <= rate);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_second_attempt");
	TCase *tcase = tcase_create("second_attempt");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, a_large_error_response_is_not_cut_at_its_end,
			    0, 2);
	tcase_add_loop_test(
		tcase,
		a_large_error_response_is_not_joined_with_another_response, 0,
		2);
	tcase_add_test(tcase,
		       a_large_error_response_is_not_joined_with_a_stream);
	tcase_add_test(
		tcase,
		an_error_of_the_second_server_does_not_end_the_first_attempt);
	tcase_add_test(tcase, a_caller_that_leaves_ends_both_attempts);
	tcase_add_loop_test(
		tcase, either_server_answers_a_request_that_both_have, 0, 2);
	tcase_add_loop_test(
		tcase, a_crash_of_one_server_leaves_the_request_to_the_other, 0,
		2);
	tcase_add_loop_test(tcase, a_silent_server_may_be_removed_and_restarted,
			    0, 2);
	tcase_add_loop_test(
		tcase, a_planned_stop_waits_for_a_request_that_two_servers_have,
		0, 2);
	tcase_add_test(tcase, a_deadline_ends_both_attempts);
	tcase_add_loop_test(
		tcase,
		requests_at_a_silent_server_leave_retries_to_those_that_failed,
		0, 2);
	tcase_add_loop_test(
		tcase, a_request_that_neither_server_ran_is_refused_with_503, 0,
		2);
	tcase_add_loop_test(
		tcase,
		a_request_that_one_server_may_have_run_is_refused_with_502, 0,
		2);
	tcase_add_loop_test(tcase, an_unsent_second_attempt_counts_as_no_retry,
			    0, 2);
	tcase_add_test(tcase, a_silence_is_recorded_once);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
