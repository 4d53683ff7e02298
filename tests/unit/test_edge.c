#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define DEADLINE "Tamarackgw-Deadline-Ms: 1000\r\n"
#define TOKENS "Tamarackgw-Token-Count: 100,40\r\n"

static struct edge_rig rig;
static char *received;

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_serve(&rig);
}

static void teardown(void)
{
	free(received);
	received = NULL;
	edge_rig_stop(&rig);
}

static void request(const char *method, const char *kind, const char *what,
		    const char *more, const char *body)
{
	free(received);
	received = edge_rig_request(&rig, method, kind, what, more, body);
}

static void exchange(const char *text)
{
	free(received);
	received = edge_rig_exchange(&rig, text);
}

static void expect_status(int status)
{
	char line[32];

	snprintf(line, sizeof(line), "HTTP/1.1 %d ", status);
	ck_assert_msg(!strncmp(received, line, strlen(line)),
		      "not %d but: %.200s", status, received);
}

static void expect_text(const char *text)
{
	ck_assert_msg(strstr(received, text), "no '%s' in: %.900s", text,
		      received);
}

static void expect_no_text(const char *text)
{
	ck_assert_msg(!strstr(received, text), "'%s' in: %.900s", text,
		      received);
}

static bool at_worker(const char *text)
{
	for (int i = 0; i < EDGE_RIG_WORKERS; i++)
		if (rig.workers[i].request.data &&
		    strstr(rig.workers[i].request.data, text))
			return true;
	return false;
}

START_TEST(a_request_passes_and_its_answer_comes_back)
{
	request("POST", "unsafe", "ok",
		DEADLINE "X-Mine: yes\r\nTamarackgw-Tenant: forged\r\n"
			 "Tamarackgw-Hold: forged\r\n",
		"the body");
	expect_status(200);
	expect_text("Tamarackgw-Response-Stamp: by-worker-");
	expect_text("\r\n\r\ndone");
	ck_assert(at_worker("X-Mine: yes"));
	ck_assert(at_worker("Tamarackgw-Tenant: acme"));
	ck_assert(at_worker("Tamarackgw-Deadline-Ms: 9"));
	ck_assert(at_worker("Tamarackgw-Expect-Instance: worker-"));
	ck_assert(at_worker("POST /unsafe/ok\nthe body"));
	ck_assert(!at_worker("forged"));
	ck_assert(!at_worker("key-1"));
}
END_TEST

static const struct {
	const char *name;
	const char *text;
	int status;
} bad_input[] = {
	{"no such route",
	 "GET /else/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n",
	 404},
	{"no such host",
	 "GET /safe/ok HTTP/1.1\r\nHost: b.example\r\nConnection: "
	 "close\r\n\r\n",
	 404},
	{"no host", "GET /safe/ok HTTP/1.1\r\nConnection: close\r\n\r\n", 404},
	{"no key",
	 "GET /safe/ok HTTP/1.1\r\nHost: a.example\r\nConnection: "
	 "close\r\n\r\n",
	 401},
	{"unknown key",
	 "GET /safe/ok HTTP/1.1\r\nHost: a.example\r\n"
	 "Authorization: Token key-2\r\nConnection: close\r\n\r\n",
	 401},
	{"public route",
	 "GET /open/ok HTTP/1.1\r\nHost: a.example\r\nConnection: "
	 "close\r\n\r\n",
	 200},
	{"not HTTP", "hello there\r\n\r\n", 400},
	{"two ways of framing",
	 "POST /safe/ok HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n"
	 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	 400},
	{"two lengths",
	 "POST /safe/ok HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n"
	 "Content-Length: 5\r\n\r\nbody",
	 400},
	{"two hosts",
	 "GET /safe/ok HTTP/1.1\r\nHost: a.example\r\nHost: b\r\n\r\n", 400},
	{"a tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", 400},
	{"body too long",
	 "POST /safe/ok HTTP/1.1\r\nHost: a.example\r\n"
	 "Content-Length: 5001\r\n\r\n",
	 413},
	{"head stops midway", "GET /safe/ok HTTP/1.1\r\nHost: a.ex", 408},
};

START_TEST(bad_input_gets_a_clear_answer_and_runs_nothing)
{
	unsigned int before = edge_rig_runs(&rig);

	exchange(bad_input[_i].text);
	expect_status(bad_input[_i].status);
	if (bad_input[_i].status != 200)
		ck_assert_uint_eq(edge_rig_runs(&rig), before);
}
END_TEST

START_TEST(a_head_over_the_limit_is_refused)
{
	char text[6000];

	memset(text, 'a', sizeof(text) - 1);
	text[sizeof(text) - 1] = '\0';
	memcpy(text, "GET /safe/ok HTTP/1.1\r\nX: ", 26);
	exchange(text);
	expect_status(431);
}
END_TEST

START_TEST(a_chunked_body_arrives_whole)
{
	exchange("POST /unsafe/ok HTTP/1.1\r\nHost: a.example\r\n"
		 "Authorization: Token key-1\r\nTransfer-Encoding: chunked\r\n"
		 "Connection: close\r\n\r\n3\r\none\r\n4\r\ntwo!\r\n0\r\n\r\n");
	expect_status(200);
	ck_assert(at_worker("\nonetwo!"));
}
END_TEST

START_TEST(pipelined_requests_are_answered_in_turn)
{
	exchange("GET /open/ok HTTP/1.1\r\nHost: a.example\r\n\r\n"
		 "GET /else/ HTTP/1.1\r\nHost: a.example\r\n\r\n"
		 "GET /open/ok HTTP/1.1\r\nHost: a.example\r\n"
		 "Connection: close\r\n\r\n");
	expect_status(200);
	expect_text("doneHTTP/1.1 404");
	ck_assert_uint_eq(edge_rig_runs(&rig), 2);
}
END_TEST

START_TEST(a_safe_request_is_tried_at_another_server)
{
	request("GET", "safe", "break", DEADLINE, "");
	expect_status(502);
	ck_assert_uint_eq(edge_rig_runs(&rig), 2);
}
END_TEST

START_TEST(a_failure_of_the_server_is_passed_on_after_the_retry)
{
	request("GET", "safe", "fail", DEADLINE, "");
	expect_status(500);
	expect_text("Tamarackgw-Response-Stamp: by-worker-");
	ck_assert_uint_eq(edge_rig_runs(&rig), 2);
}
END_TEST

START_TEST(an_unsafe_request_runs_once)
{
	request("POST", "unsafe", "break", DEADLINE, "x");
	expect_status(502);
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
	request("POST", "unsafe", "fail", DEADLINE, "x");
	expect_status(500);
	ck_assert_uint_eq(edge_rig_runs(&rig), 2);
}
END_TEST

START_TEST(an_unsafe_request_that_ran_is_never_said_not_to_have)
{
	/* The server never answers: the request may have run. */
	request("POST", "unsafe", "hold", "Tamarackgw-Deadline-Ms: 200\r\n",
		"x");
	expect_status(504);
	expect_no_text("Retry-After");
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

START_TEST(a_request_that_no_server_takes_is_refused_as_not_run)
{
	request("POST", "unsafe", "full", DEADLINE, "x");
	expect_status(503);
	expect_text("Retry-After: 0.");
	ck_assert_uint_eq(edge_rig_runs(&rig), 0);
}
END_TEST

START_TEST(a_stream_passes_whole)
{
	request("POST", "stream", "stream", DEADLINE TOKENS, "x");
	expect_status(200);
	expect_text("id: 0\ndata: part-0\n\n");
	expect_text("id: 5\ndata: part-5\n\n");
	expect_text("\r\n0\r\n\r\n");
	ck_assert(at_worker("Tamarackgw-Request-Urgency: 0"));
}
END_TEST

START_TEST(a_stream_that_is_cut_does_not_look_whole)
{
	request("POST", "stream", "stream-cut", DEADLINE TOKENS, "x");
	expect_status(200);
	expect_text("data: part-2");
	expect_no_text("\r\n0\r\n\r\n");
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

static int count_text(const char *text)
{
	int count = 0;

	for (const char *at = received; (at = strstr(at, text)); at++)
		count++;
	return count;
}

START_TEST(a_resumable_stream_goes_on_elsewhere)
{
	request("POST", "resume", "stream-cut", DEADLINE TOKENS, "x");
	expect_status(200);
	for (int i = 0; i < 6; i++) {
		char text[32];

		snprintf(text, sizeof(text), "id: %d\ndata: part-%d\n\n", i, i);
		ck_assert_int_eq(count_text(text), 1);
	}
	expect_text("\r\n0\r\n\r\n");
	ck_assert_int_eq(count_text("HTTP/1.1"), 1);
	ck_assert_int_eq(count_text("Response-Stamp"), 1);
	ck_assert(at_worker("Last-Event-Id: 2"));
	ck_assert_uint_eq(rig.workers[0].runs, 1);
	ck_assert_uint_eq(rig.workers[1].runs, 1);
}
END_TEST

START_TEST(work_stops_when_its_caller_leaves)
{
	struct edge_rig_caller caller;
	unsigned int left = 0;

	edge_rig_call(&rig, &caller,
		      "GET /safe/hold HTTP/1.1\r\nHost: a.example\r\n"
		      "Authorization: Token key-1\r\n\r\n");
	for (int i = 0; i < 200 && !edge_rig_runs(&rig); i++)
		edge_rig_run(&rig, 5);
	edge_rig_close_caller(&caller);
	for (int i = 0; i < 40 && !left; i++) {
		edge_rig_run(&rig, 5);
		left = rig.workers[0].left + rig.workers[1].left;
	}
	ck_assert_uint_eq(left, 1);
	ck_assert_uint_eq(rig.edge.call_count, 0);
	buffer_free(&caller.received);
}
END_TEST

START_TEST(a_draining_server_gets_nothing_new)
{
	edge_rig_enlist(&rig, 0, "draining", 2);
	edge_rig_run(&rig, 300);
	for (int i = 0; i < 10; i++) {
		request("GET", "safe", "ok", DEADLINE, "");
		expect_status(200);
	}
	ck_assert_uint_eq(rig.workers[0].arrivals, 0);
}
END_TEST

START_TEST(another_server_at_the_address_is_noticed)
{
	snprintf(rig.workers[0].id, sizeof(rig.workers[0].id), "worker-9");
	for (int i = 0; i < 10; i++) {
		request("POST", "unsafe", "ok", DEADLINE, "x");
		expect_status(200);
	}
	ck_assert_uint_eq(rig.workers[0].runs, 0);
}
END_TEST

START_TEST(a_new_configuration_is_in_force_soon_and_never_an_older_one)
{
	edge_rig_configure(&rig, 5, 1000000, "key-2");
	edge_rig_run(&rig, 300);
	request("GET", "safe", "ok", DEADLINE, "");
	expect_status(401);
	edge_rig_configure(&rig, 4, 1000000, "key-1");
	edge_rig_run(&rig, 300);
	request("GET", "safe", "ok", DEADLINE, "");
	expect_status(401);
	kv_standin_put(&rig.store, "op/config", "{\"version\":");
	edge_rig_run(&rig, 300);
	request("GET", "safe", "ok", DEADLINE, "");
	expect_status(401);
	ck_assert_int_eq(route_follower_set(rig.edge.route_follower)->version,
			 5);
}
END_TEST

START_TEST(a_budget_that_is_used_up_is_refused_for_good)
{
	edge_rig_stop(&rig);
	edge_rig_start(&rig);
	edge_rig_configure(&rig, 1, 300, "key-1");
	edge_rig_enlist(&rig, 0, "ready", 1);
	edge_rig_run(&rig, 500);
	request("POST", "stream", "stream", DEADLINE TOKENS, "x");
	expect_status(200);
	request("POST", "stream", "stream", DEADLINE TOKENS, "x");
	expect_status(200);
	/* 2 x (100 + 24) tokens are spent of 300. */
	edge_rig_run(&rig, 3000);
	request("POST", "stream", "stream", DEADLINE TOKENS, "x");
	expect_status(402);
	ck_assert_uint_eq(edge_rig_runs(&rig), 2);
}
END_TEST

START_TEST(a_host_goes_on_while_the_store_is_away)
{
	struct team_budget_view view = {0};

	/* Until the first allotment that no request asked for. */
	for (int i = 0; i < 80 && !view.limit_tokens; i++) {
		edge_rig_run(&rig, 100);
		team_budget_get_view(rig.edge.budgets, "acme", &view);
	}
	ck_assert_int_gt(view.limit_tokens, 0);
	rig.store.silent = true;
	edge_rig_run(&rig, 1500);
	request("GET", "safe", "ok", DEADLINE, "");
	expect_status(200);
	request("POST", "stream", "stream", DEADLINE TOKENS, "x");
	expect_status(200);
}
END_TEST

START_TEST(the_stores_return_is_noticed_soon)
{
	rig.store.silent = true;
	edge_rig_run(&rig, 1800);
	kv_standin_put(&rig.store, "servers/worker-0", NULL);
	rig.store.silent = false;
	/* A probe, and the grace for entries that lapsed meanwhile. */
	edge_rig_run(&rig, 700);
	ck_assert_ptr_nonnull(
		backend_table_find(&rig.edge.backends, "worker-0"));
	edge_rig_run(&rig, 2300);
	ck_assert_ptr_null(backend_table_find(&rig.edge.backends, "worker-0"));
	ck_assert_ptr_nonnull(
		backend_table_find(&rig.edge.backends, "worker-1"));
}
END_TEST

START_TEST(a_busy_host_does_not_take_its_own_lateness_for_an_outage)
{
	/* Each turn of the loop comes later than any call's time. */
	for (int i = 0; i < 4; i++) {
		usleep(1300 * 1000);
		for (int turn = 0; turn < 4; turn++)
			uv_run(&rig.loop, UV_RUN_NOWAIT);
		ck_assert(!backend_follower_store_is_unreachable(
			rig.edge.backend_follower));
	}
}
END_TEST

START_TEST(after_an_outage_the_newest_is_read_not_all_that_came)
{
	/* Each version is large; a narrow link can't carry all of them. */
	rig.store.silent = true;
	edge_rig_run(&rig, 1800);
	for (int version = 2; version < 50; version++)
		edge_rig_configure(&rig, version, 1000000, "key-1");
	rig.store.furthest_behind = 0;
	rig.store.silent = false;
	edge_rig_run(&rig, 1500);
	ck_assert_int_eq(route_follower_set(rig.edge.route_follower)->version,
			 49);
	ck_assert_int_le(rig.store.furthest_behind, 5);
}
END_TEST

START_TEST(a_host_without_configuration_says_so)
{
	edge_rig_stop(&rig);
	edge_rig_start(&rig);
	rig.store.refuse_status = 503;
	edge_rig_run(&rig, 200);
	request("GET", "safe", "ok", DEADLINE, "");
	expect_status(503);
	expect_text("Retry-After");
}
END_TEST

START_TEST(lost_answers_of_the_store_do_no_harm)
{
	unsigned int served = 0;

	/* 20,000 tokens each: more than a first allotment. */
	rig.store.lose_answers = 3;
	for (int i = 0; i < 20 && rig.store.lose_answers; i++) {
		request("POST", "stream", "stream",
			DEADLINE "Tamarackgw-Token-Count: 20000,40\r\n", "x");
		if (strncmp(received, "HTTP/1.1 200", 12))
			expect_status(503);
		else
			served++;
	}
	ck_assert_uint_eq(edge_rig_runs(&rig), served);
	edge_rig_run(&rig, 2500);
	request("POST", "stream", "stream",
		DEADLINE "Tamarackgw-Token-Count: 20000,40\r\n", "x");
	expect_status(200);
}
END_TEST

START_TEST(a_planned_stop_cuts_off_nothing)
{
	struct edge_rig_caller caller;

	edge_rig_call(
		&rig, &caller,
		"POST /unsafe/hold HTTP/1.1\r\nHost: a.example\r\n"
		"Authorization: Token key-1\r\nContent-Length: 1\r\n\r\nx");
	for (int i = 0; i < 200 && !edge_rig_runs(&rig); i++)
		edge_rig_run(&rig, 5);
	edge_stop(&rig.edge);
	edge_rig_run(&rig, 500);
	ck_assert(!caller.closed);
	worker_standin_release(&rig.workers[0]);
	worker_standin_release(&rig.workers[1]);
	for (int i = 0; i < 100 && !caller.closed; i++)
		edge_rig_run(&rig, 5);
	buffer_add(&caller.received, "", 1);
	received = caller.received.data;
	expect_status(200);
	expect_text("Connection: close");
	edge_rig_run(&rig, 600);
	ck_assert(rig.edge.budgets_closed);
}
END_TEST

START_TEST(an_idle_caller_is_closed_at_its_limit)
{
	struct edge_rig_caller caller;

	edge_rig_call(&rig, &caller,
		      "GET /open/ok HTTP/1.1\r\nHost: a.example\r\n\r\n");
	edge_rig_run(&rig, 600);
	ck_assert(!caller.closed);
	edge_rig_run(&rig, 600);
	ck_assert(caller.closed);
	buffer_free(&caller.received);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge");
	TCase *cases = tcase_create("requests");

	tcase_add_checked_fixture(cases, setup, teardown);
	tcase_set_timeout(cases, 30);
	tcase_add_test(cases, a_request_passes_and_its_answer_comes_back);
	tcase_add_loop_test(cases,
			    bad_input_gets_a_clear_answer_and_runs_nothing, 0,
			    sizeof(bad_input) / sizeof(bad_input[0]));
	tcase_add_test(cases, a_head_over_the_limit_is_refused);
	tcase_add_test(cases, a_chunked_body_arrives_whole);
	tcase_add_test(cases, pipelined_requests_are_answered_in_turn);
	tcase_add_test(cases, a_safe_request_is_tried_at_another_server);
	tcase_add_test(cases,
		       a_failure_of_the_server_is_passed_on_after_the_retry);
	tcase_add_test(cases, an_unsafe_request_runs_once);
	tcase_add_test(cases,
		       an_unsafe_request_that_ran_is_never_said_not_to_have);
	tcase_add_test(cases,
		       a_request_that_no_server_takes_is_refused_as_not_run);
	tcase_add_test(cases, a_stream_passes_whole);
	tcase_add_test(cases, a_stream_that_is_cut_does_not_look_whole);
	tcase_add_test(cases, a_resumable_stream_goes_on_elsewhere);
	tcase_add_test(cases, work_stops_when_its_caller_leaves);
	tcase_add_test(cases, a_draining_server_gets_nothing_new);
	tcase_add_test(cases, another_server_at_the_address_is_noticed);
	tcase_add_test(
		cases,
		a_new_configuration_is_in_force_soon_and_never_an_older_one);
	tcase_add_test(cases, a_budget_that_is_used_up_is_refused_for_good);
	tcase_add_test(cases, a_host_goes_on_while_the_store_is_away);
	tcase_add_test(cases, the_stores_return_is_noticed_soon);
	tcase_add_test(
		cases,
		a_busy_host_does_not_take_its_own_lateness_for_an_outage);
	tcase_add_test(cases,
		       after_an_outage_the_newest_is_read_not_all_that_came);
	tcase_add_test(cases, a_host_without_configuration_says_so);
	tcase_add_test(cases, lost_answers_of_the_store_do_no_harm);
	tcase_add_test(cases, a_planned_stop_cuts_off_nothing);
	tcase_add_test(cases, an_idle_caller_is_closed_at_its_limit);
	suite_add_tcase(suite, cases);
	return unit_main(suite);
}
