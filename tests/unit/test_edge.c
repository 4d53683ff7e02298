/* Tests one edge host between callers on plain sockets and stand-ins for the
 * store and two backend servers: request checks, retries, streams, budgets,
 * store outages and a planned stop. */
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
	edge_rig_make_ready(&rig);
}

static void teardown(void)
{
	free(received);
	received = NULL;
	edge_rig_stop(&rig);
}

static void request(const char *method, const char *kind, const char *action,
		    const char *fields, const char *body)
{
	free(received);
	received = edge_rig_request(&rig, method, kind, action, fields, body);
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
		      "expected status %d, received: %.200s", status, received);
}

static void expect_text(const char *text)
{
	ck_assert_msg(strstr(received, text), "expected '%s' in: %.900s", text,
		      received);
}

static void expect_no_text(const char *text)
{
	ck_assert_msg(!strstr(received, text), "unexpected '%s' in: %.900s",
		      text, received);
}

static bool server_received(const char *text)
{
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		if (rig.server_standins[i].request.data &&
		    strstr(rig.server_standins[i].request.data, text))
			return true;
	return false;
}

START_TEST(a_request_and_its_response_are_forwarded)
{
	request("POST", "unsafe", "ok",
		DEADLINE "X-Mine: yes\r\nTamarackgw-Tenant: forged\r\n"
			 "Tamarackgw-Hold: forged\r\n",
		"the body");
	expect_status(200);
	expect_text("Tamarackgw-Response-Stamp: by-worker-");
	expect_text("\r\n\r\ndone");
	ck_assert(server_received("X-Mine: yes"));
	ck_assert(server_received("Tamarackgw-Tenant: acme"));
	ck_assert(server_received("Tamarackgw-Deadline-Ms: 9"));
	ck_assert(server_received("Tamarackgw-Expect-Instance: worker-"));
	ck_assert(server_received("POST /unsafe/ok\nthe body"));
	ck_assert(!server_received("forged"));
	ck_assert(!server_received("key-1"));
}
END_TEST

static const struct {
	const char *name;
	const char *text;
	int status;
} raw_requests[] = {
	{"no such route",
	 "GET /else/ HTTP/1.1\r\nHost: a.example\r\nConnection: close\r\n\r\n",
	 404},
	{"no such host",
	 "GET /safe/ok HTTP/1.1\r\nHost: b.example\r\nConnection: "
	 "close\r\n\r\n",
	 404},
	{"no host field", "GET /safe/ok HTTP/1.1\r\nConnection: close\r\n\r\n",
	 404},
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
	{"both length and chunked encoding",
	 "POST /safe/ok HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n"
	 "Transfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	 400},
	{"two content lengths",
	 "POST /safe/ok HTTP/1.1\r\nHost: a.example\r\nContent-Length: 4\r\n"
	 "Content-Length: 5\r\n\r\nbody",
	 400},
	{"two host fields",
	 "GET /safe/ok HTTP/1.1\r\nHost: a.example\r\nHost: b\r\n\r\n", 400},
	{"a tunnel", "CONNECT a:1 HTTP/1.1\r\nHost: a:1\r\n\r\n", 400},
	{"body too long",
	 "POST /safe/ok HTTP/1.1\r\nHost: a.example\r\n"
	 "Content-Length: 5001\r\n\r\n",
	 413},
	{"incomplete head", "GET /safe/ok HTTP/1.1\r\nHost: a.ex", 408},
};

START_TEST(each_raw_request_gets_its_status_and_refused_ones_do_not_run)
{
	unsigned int before = edge_rig_runs(&rig);

	exchange(raw_requests[_i].text);
	expect_status(raw_requests[_i].status);
	if (raw_requests[_i].status != 200)
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

START_TEST(a_chunked_body_is_forwarded_completely)
{
	exchange("POST /unsafe/ok HTTP/1.1\r\nHost: a.example\r\n"
		 "Authorization: Token key-1\r\nTransfer-Encoding: chunked\r\n"
		 "Connection: close\r\n\r\n3\r\none\r\n4\r\ntwo!\r\n0\r\n\r\n");
	expect_status(200);
	ck_assert(server_received("\nonetwo!"));
}
END_TEST

START_TEST(pipelined_requests_are_answered_in_order)
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

START_TEST(a_safe_request_is_retried_at_another_server)
{
	request("GET", "safe", "break", DEADLINE, "");
	expect_status(502);
	ck_assert_uint_eq(edge_rig_runs(&rig), 2);
}
END_TEST

START_TEST(a_server_error_is_forwarded_after_the_retry)
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

START_TEST(an_unsafe_request_that_timed_out_may_have_run)
{
	/* The server never responds, so the request may have run. */
	request("POST", "unsafe", "hold", "Tamarackgw-Deadline-Ms: 200\r\n",
		"x");
	expect_status(504);
	expect_no_text("Retry-After");
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

START_TEST(a_response_that_arrived_in_time_is_not_replaced_by_a_timeout)
{
	struct edge_rig_caller caller;

	edge_rig_call(&rig, &caller,
		      "GET /unsafe/hold HTTP/1.1\r\nHost: a.example\r\n"
		      "Authorization: Token key-1\r\n"
		      "Tamarackgw-Deadline-Ms: 300\r\n"
		      "Connection: close\r\n\r\n");
	for (int i = 0; i < 40 && !edge_rig_runs(&rig); i++)
		edge_rig_run(&rig, 5);
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		backend_standin_release(&rig.server_standins[i]);
	/* The host's loop stands still until the time is up. */
	usleep(400 * 1000);
	edge_rig_run(&rig, 50);
	buffer_add(&caller.received, "", 1);
	ck_assert_msg(strstr(caller.received.data, "HTTP/1.1 200 "),
		      "received: %.100s", caller.received.data);
	edge_rig_close_caller(&caller);
	buffer_free(&caller.received);
	edge_rig_run(&rig, 20);
}
END_TEST

START_TEST(a_request_that_no_server_accepts_is_refused_as_not_run)
{
	request("POST", "unsafe", "full", DEADLINE, "x");
	expect_status(503);
	expect_text("Retry-After: 0.");
	ck_assert_uint_eq(edge_rig_runs(&rig), 0);
}
END_TEST

START_TEST(a_stream_is_forwarded_completely)
{
	request("POST", "stream", "stream", DEADLINE TOKENS, "x");
	expect_status(200);
	expect_text("id: 0\ndata: part-0\n\n");
	expect_text("id: 5\ndata: part-5\n\n");
	expect_text("\r\n0\r\n\r\n");
	ck_assert(server_received("Tamarackgw-Request-Urgency: 0"));
}
END_TEST

START_TEST(a_truncated_stream_does_not_end_as_a_complete_one)
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

START_TEST(a_resumable_stream_resumes_at_another_server)
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
	ck_assert(server_received("Last-Event-Id: 2"));
	ck_assert_uint_eq(rig.server_standins[0].runs, 1);
	ck_assert_uint_eq(rig.server_standins[1].runs, 1);
}
END_TEST

/* What the caller has received of such a stream can't be told to another
 * server. */
START_TEST(a_stream_without_ids_is_not_begun_again_after_its_events)
{
	request("POST", "resume", "stream-cut-no-ids", DEADLINE TOKENS, "x");
	expect_status(200);
	ck_assert_int_eq(count_text("data: part-0\n\n"), 1);
	expect_no_text("\r\n0\r\n\r\n");
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

/* A response that is too large for the host's buffer is forwarded as it
 * arrives, whatever the kind of route. */
START_TEST(a_forwarded_body_is_not_begun_again_by_another_server)
{
	rig.server_standins[0].cuts_huge = true;
	rig.server_standins[1].cuts_huge = true;
	request("GET", "long-safe", "huge", "", "");
	expect_status(200);
	expect_no_text("\r\n0\r\n\r\n");
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

START_TEST(a_request_is_cancelled_when_its_caller_disconnects)
{
	struct edge_rig_caller caller;
	unsigned int disconnects = 0;

	edge_rig_call(&rig, &caller,
		      "GET /safe/hold HTTP/1.1\r\nHost: a.example\r\n"
		      "Authorization: Token key-1\r\n\r\n");
	for (int i = 0; i < 200 && !edge_rig_runs(&rig); i++)
		edge_rig_run(&rig, 5);
	edge_rig_close_caller(&caller);
	for (int i = 0; i < 40 && !disconnects; i++) {
		edge_rig_run(&rig, 5);
		disconnects = rig.server_standins[0].disconnects +
			      rig.server_standins[1].disconnects;
	}
	ck_assert_uint_eq(disconnects, 1);
	ck_assert_uint_eq(rig.hosts[0].edge.call_count, 0);
	buffer_free(&caller.received);
}
END_TEST

START_TEST(a_draining_server_gets_no_new_requests)
{
	edge_rig_register_server(&rig, 0, "draining", 2);
	edge_rig_run(&rig, 300);
	for (int i = 0; i < 10; i++) {
		request("GET", "safe", "ok", DEADLINE, "");
		expect_status(200);
	}
	ck_assert_uint_eq(rig.server_standins[0].arrivals, 0);
}
END_TEST

START_TEST(a_reused_server_address_is_detected)
{
	snprintf(rig.server_standins[0].id, sizeof(rig.server_standins[0].id),
		 "worker-9");
	for (int i = 0; i < 10; i++) {
		request("POST", "unsafe", "ok", DEADLINE, "x");
		expect_status(200);
	}
	ck_assert_uint_eq(rig.server_standins[0].runs, 0);
}
END_TEST

START_TEST(a_newer_configuration_takes_effect_but_no_older_or_invalid_one)
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
	ck_assert_int_eq(
		route_follower_set(rig.hosts[0].edge.route_follower)->version,
		5);
}
END_TEST

START_TEST(a_request_beyond_an_exhausted_budget_gets_402)
{
	edge_rig_stop(&rig);
	edge_rig_start(&rig);
	edge_rig_configure(&rig, 1, 300, "key-1");
	edge_rig_register_server(&rig, 0, "ready", 1);
	edge_rig_run(&rig, 500);
	request("POST", "stream", "stream", DEADLINE TOKENS, "x");
	expect_status(200);
	request("POST", "stream", "stream", DEADLINE TOKENS, "x");
	expect_status(200);
	/* 2 x (100 + 24) of 300 tokens are spent. */
	edge_rig_run(&rig, 3000);
	request("POST", "stream", "stream", DEADLINE TOKENS, "x");
	expect_status(402);
	ck_assert_uint_eq(edge_rig_runs(&rig), 2);
}
END_TEST

START_TEST(a_host_serves_requests_while_the_store_is_unreachable)
{
	struct team_budget_view view = {0};

	/* Wait for the first allotment, which the host takes without a
	 * request. */
	for (int i = 0; i < 80 && !view.limit_tokens; i++) {
		edge_rig_run(&rig, 100);
		team_budget_get_view(rig.hosts[0].edge.budgets, "acme", &view);
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

START_TEST(the_end_of_a_store_outage_is_detected_quickly)
{
	rig.store.silent = true;
	edge_rig_run(&rig, 1800);
	kv_standin_put(&rig.store, "servers/worker-0", NULL);
	rig.store.silent = false;
	/* The host detects that the store responds again, but keeps a missing
	 * entry for a grace period, since it may have expired in the outage. */
	edge_rig_run(&rig, 700);
	ck_assert_ptr_nonnull(
		backend_table_find(&rig.hosts[0].edge.backends, "worker-0"));
	edge_rig_run(&rig, 2300);
	ck_assert_ptr_null(
		backend_table_find(&rig.hosts[0].edge.backends, "worker-0"));
	ck_assert_ptr_nonnull(
		backend_table_find(&rig.hosts[0].edge.backends, "worker-1"));
}
END_TEST

START_TEST(event_loop_delays_do_not_count_as_a_store_outage)
{
	/* Each delay is longer than the timeout of a store call. */
	for (int i = 0; i < 4; i++) {
		usleep(1300 * 1000);
		for (int iteration = 0; iteration < 4; iteration++)
			uv_run(&rig.loop, UV_RUN_NOWAIT);
		ck_assert(!backend_follower_store_is_unreachable(
			rig.hosts[0].edge.backend_follower));
	}
}
END_TEST

START_TEST(only_the_newest_version_is_read_after_an_outage)
{
	/* A configuration can be large, and a slow link can't transfer each
	 * version that was published in the outage. */
	rig.store.silent = true;
	edge_rig_run(&rig, 1800);
	for (int version = 2; version < 50; version++)
		edge_rig_configure(&rig, version, 1000000, "key-1");
	rig.store.max_watch_lag = 0;
	rig.store.silent = false;
	edge_rig_run(&rig, 1500);
	ck_assert_int_eq(
		route_follower_set(rig.hosts[0].edge.route_follower)->version,
		49);
	ck_assert_int_le(rig.store.max_watch_lag, 5);
}
END_TEST

START_TEST(a_host_without_a_configuration_refuses_requests)
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

START_TEST(lost_store_responses_do_not_block_a_budget)
{
	unsigned int served = 0;

	/* The responses to three executed writes are lost. A request for 20,000
	 * tokens needs a write, as the first allotment is smaller. */
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

#define TICK_MS 100 /* of the edge's timer for periodic work */
#define RACED_WRITES 12

/* The random backoffs would be in vain if all hosts rounded them up to ticks
 * that they make in step. */
START_TEST(retries_of_conflicting_writes_do_not_wait_for_the_tick)
{
	const uint64_t *at_ms = rig.store.conflicted_ms;
	bool differs = false;

	edge_rig_run(&rig, 3000);
	rig.store.race_writes = RACED_WRITES;
	/* The host writes its keys until it has left them. */
	team_budget_close(rig.hosts[0].edge.budgets);
	for (int i = 0; i < 50 && rig.store.race_writes; i++)
		edge_rig_run(&rig, TICK_MS);
	ck_assert_uint_eq(rig.store.conflict_count, RACED_WRITES);
	for (int i = 2; i < RACED_WRITES; i++) {
		uint64_t phase_ms = (at_ms[i] - at_ms[1]) % TICK_MS;

		if (phase_ms > TICK_MS / 5 && phase_ms < TICK_MS * 4 / 5)
			differs = true;
	}
	ck_assert(differs);
}
END_TEST

START_TEST(a_planned_stop_completes_open_requests)
{
	struct edge_rig_caller caller;

	edge_rig_call(
		&rig, &caller,
		"POST /unsafe/hold HTTP/1.1\r\nHost: a.example\r\n"
		"Authorization: Token key-1\r\nContent-Length: 1\r\n\r\nx");
	for (int i = 0; i < 200 && !edge_rig_runs(&rig); i++)
		edge_rig_run(&rig, 5);
	edge_stop(&rig.hosts[0].edge);
	edge_rig_run(&rig, 500);
	ck_assert(!caller.closed);
	backend_standin_release(&rig.server_standins[0]);
	backend_standin_release(&rig.server_standins[1]);
	for (int i = 0; i < 100 && !caller.closed; i++)
		edge_rig_run(&rig, 5);
	buffer_add(&caller.received, "", 1);
	received = caller.received.data;
	expect_status(200);
	expect_text("Connection: close");
	edge_rig_run(&rig, 600);
	ck_assert(rig.hosts[0].edge.budgets_closed);
}
END_TEST

START_TEST(an_idle_caller_is_disconnected_at_the_idle_timeout)
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
	TCase *tcase = tcase_create("requests");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 30);
	tcase_add_test(tcase, a_request_and_its_response_are_forwarded);
	tcase_add_loop_test(
		tcase,
		each_raw_request_gets_its_status_and_refused_ones_do_not_run, 0,
		sizeof(raw_requests) / sizeof(raw_requests[0]));
	tcase_add_test(tcase, a_head_over_the_limit_is_refused);
	tcase_add_test(tcase, a_chunked_body_is_forwarded_completely);
	tcase_add_test(tcase, pipelined_requests_are_answered_in_order);
	tcase_add_test(tcase, a_safe_request_is_retried_at_another_server);
	tcase_add_test(tcase, a_server_error_is_forwarded_after_the_retry);
	tcase_add_test(tcase, an_unsafe_request_runs_once);
	tcase_add_test(tcase, an_unsafe_request_that_timed_out_may_have_run);
	tcase_add_test(
		tcase,
		a_response_that_arrived_in_time_is_not_replaced_by_a_timeout);
	tcase_add_test(tcase,
		       a_request_that_no_server_accepts_is_refused_as_not_run);
	tcase_add_test(tcase, a_stream_is_forwarded_completely);
	tcase_add_test(tcase,
		       a_truncated_stream_does_not_end_as_a_complete_one);
	tcase_add_test(tcase, a_resumable_stream_resumes_at_another_server);
	tcase_add_test(
		tcase,
		a_stream_without_ids_is_not_begun_again_after_its_events);
	tcase_add_test(tcase,
		       a_forwarded_body_is_not_begun_again_by_another_server);
	tcase_add_test(tcase,
		       a_request_is_cancelled_when_its_caller_disconnects);
	tcase_add_test(tcase, a_draining_server_gets_no_new_requests);
	tcase_add_test(tcase, a_reused_server_address_is_detected);
	tcase_add_test(
		tcase,
		a_newer_configuration_takes_effect_but_no_older_or_invalid_one);
	tcase_add_test(tcase, a_request_beyond_an_exhausted_budget_gets_402);
	tcase_add_test(tcase,
		       a_host_serves_requests_while_the_store_is_unreachable);
	tcase_add_test(tcase, the_end_of_a_store_outage_is_detected_quickly);
	tcase_add_test(tcase, event_loop_delays_do_not_count_as_a_store_outage);
	tcase_add_test(tcase, only_the_newest_version_is_read_after_an_outage);
	tcase_add_test(tcase, a_host_without_a_configuration_refuses_requests);
	tcase_add_test(tcase, lost_store_responses_do_not_block_a_budget);
	tcase_add_test(tcase,
		       retries_of_conflicting_writes_do_not_wait_for_the_tick);
	tcase_add_test(tcase, a_planned_stop_completes_open_requests);
	tcase_add_test(tcase,
		       an_idle_caller_is_disconnected_at_the_idle_timeout);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
