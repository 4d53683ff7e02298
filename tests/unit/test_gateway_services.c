/* Tests calls of services through the gateway: claims and tickets that make a
 * call run at most once, retries, refusals, and the check of the path. */
#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fakes/agents/gateway_rig.h"
#include "unit/unit_main.h"

#define KEY_HEADER "Idempotency-Key: k1\r\n"
#define BOOKING_PATH "/services/booking/new"

static struct gateway_rig rig;
static struct fake_backend *const service = &rig.booking;
static struct buffer input;

static void setup(void)
{
	gateway_rig_init(&rig);
	gateway_rig_start(&rig);
}

static void teardown(void)
{
	gateway_rig_stop(&rig);
	buffer_free(&input);
}

static bool has(const char *text)
{
	return input.data && strstr(input.data, text);
}

static int book(const char *headers, const char *body)
{
	return rig_call(&rig, "POST", BOOKING_PATH, headers, body, &input);
}

/* Restarts the gateway with an unreachable server for the service: the only
 * server, or the one before a live server. */
static void restart_with_unreachable_server(bool add_live_server)
{
	gateway_rig_stop(&rig);
	gateway_rig_init(&rig);
	if (add_live_server) {
		/* The fake router assigns the first server that fits. */
		rig.servers[0] = rig.servers[RIG_ENGINES];
		snprintf(rig.servers[0].name, TGW_NAME_SIZE, "unreachable");
		snprintf(rig.servers[0].url, TGW_URL_SIZE,
			 "http://127.0.0.1:1");
	} else {
		snprintf(rig.servers[RIG_ENGINES].url, TGW_URL_SIZE,
			 "http://127.0.0.1:1");
	}
	gateway_rig_start(&rig);
}

struct claim_case {
	enum tgw_claim_state state;
	int status;
	const char *text;
	int runs;
};

static const struct claim_case claims[] = {
	{TGW_CLAIM_GRANTED, 200, "bbbb", 1},
	{TGW_CLAIM_RECORDED, 201, "recorded", 0},
	{TGW_CLAIM_RUNNING, 409, "\"not_run\":false", 0},
	{TGW_CLAIM_UNKNOWN, 502, "\"not_run\":\"unknown\"", 0},
	{TGW_CLAIM_REFUSED, 503, "\"not_run\":true", 0},
	{TGW_CLAIM_KEY_REUSED, 422, "key-reused", 0},
};

START_TEST(a_claim_decides_whether_the_call_runs)
{
	const struct claim_case *c = &claims[_i];

	fake_agents.claim_state = c->state;
	ck_assert_int_eq(book(KEY_HEADER, "{}"), c->status);
	ck_assert_msg(has(c->text), "%s", input.data);
	ck_assert_int_eq(service->service_runs, c->runs);
	/* Only a call that runs is charged. */
	ck_assert_int_eq(fake_agents.settles, c->runs);
}
END_TEST

START_TEST(a_call_whose_response_is_lost_is_never_resent)
{
	service->script.service_closes = true;
	ck_assert_int_eq(book(KEY_HEADER, "{}"), 502);
	ck_assert(has("outcome-unknown"));
	ck_assert(has("\"not_run\":\"unknown\""));
	ck_assert_int_eq(service->service_runs, 1);
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_NO_RESPONSE);
	ck_assert_int_eq(fake_agents.last_settled_tokens, RIG_CALL_TOKENS);
}
END_TEST

/* A status of 0 is none, and the service may have run the call. */
START_TEST(a_call_whose_answer_is_no_valid_http_is_never_resent)
{
	service->script.service_status = _i ? 600 : 0;
	ck_assert_int_eq(book(KEY_HEADER, "{}"), 502);
	ck_assert(has("outcome-unknown"));
	ck_assert(has("\"not_run\":\"unknown\""));
	ck_assert_int_eq(service->service_runs, 1);
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_NO_RESPONSE);
}
END_TEST

START_TEST(a_repeatable_call_is_retried)
{
	service->script.service_closes = true;
	ck_assert_int_eq(rig_call(&rig, "GET", "/services/booking/list", "", "",
				  &input),
			 503);
	ck_assert(has("\"not_run\":\"unknown\""));
	/* The fake router has one server, which the retry excludes. */
	ck_assert_int_eq(service->service_runs, 1);
	ck_assert_int_eq(fake_agents.retries, 1);
}
END_TEST

START_TEST(a_call_that_was_not_sent_is_retried_at_another_server)
{
	restart_with_unreachable_server(true);
	ck_assert_int_eq(book(KEY_HEADER, "{}"), 200);
	ck_assert_int_eq(service->service_runs, 1);
	ck_assert_int_eq(fake_agents.claims, 1);
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_DONE);
}
END_TEST

START_TEST(a_call_that_reaches_no_server_is_reported_as_not_run)
{
	restart_with_unreachable_server(false);
	ck_assert_int_ge(book(KEY_HEADER, "{}"), 502);
	ck_assert(has("\"not_run\":true"));
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_NOT_SENT);
	ck_assert_int_eq(fake_agents.last_settle_basis, TGW_SETTLE_NOT_RUN);
}
END_TEST

START_TEST(a_budget_refusal_releases_the_claim)
{
	fake_agents.reserve_status = TGW_EXHAUSTED;
	ck_assert_int_eq(book(KEY_HEADER, "{}"), 402);
	ck_assert(has("\"not_run\":true"));
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_NOT_SENT);
	ck_assert_int_eq(fake_agents.settles, 0);
	ck_assert_int_eq(service->service_runs, 0);
}
END_TEST

START_TEST(a_retry_of_a_booking_gets_the_cached_response)
{
	ck_assert_int_eq(book(KEY_HEADER, "{}"), 200);
	ck_assert_int_eq(book(KEY_HEADER, "{}"), 200);
	ck_assert(has("bbbb"));
	ck_assert_int_eq(service->service_runs, 1);
	ck_assert_int_eq(fake_agents.claims, 1);
	ck_assert_int_eq(book(KEY_HEADER, "{1}"), 422);
	ck_assert_int_eq(rig_call(&rig, "POST", "/services/booking/other",
				  KEY_HEADER, "{}", &input),
			 422);
}
END_TEST

START_TEST(a_ticket_is_issued_and_passed_to_the_claim_agent)
{
	ck_assert_int_eq(rig_call(&rig, "POST", "/v1/tickets", "", "", &input),
			 201);
	ck_assert(has("{\"ticket\":\"ticket-" RIG_TEAM "\"}"));
	ck_assert_int_eq(book("Idempotency-Key: ticket-" RIG_TEAM "\r\n", ""),
			 200);
	ck_assert_int_eq(fake_agents.claims_with_ticket, 1);
	ck_assert_int_eq(fake_agents.first_attempts, 0);
	ck_assert_int_eq(rig_call(&rig, "GET", "/v1/tickets", "", "", &input),
			 405);
	fake_agents.ticket_status = TGW_BUSY;
	ck_assert_int_eq(rig_call(&rig, "POST", "/v1/tickets", "", "", &input),
			 503);
	ck_assert(has("Retry-After: 1"));
}
END_TEST

START_TEST(a_recorded_call_without_its_body_is_reported_as_settled)
{
	fake_agents.claim_state = TGW_CLAIM_RECORDED;
	fake_agents.body_not_kept = true;
	ck_assert_int_eq(book(KEY_HEADER, "{}"), 409);
	ck_assert(has("already-settled"));
	ck_assert(has("\"not_run\":false"));
}
END_TEST

START_TEST(a_booking_without_a_key_gets_one_and_runs_each_time)
{
	ck_assert_int_eq(book("", "{}"), 200);
	ck_assert(has("Idempotency-Key: "));
	ck_assert(strstr(service->last_request.data, "Idempotency-Key: "));
	ck_assert_int_eq(book("", "{}"), 200);
	ck_assert_int_eq(service->service_runs, 2);
	ck_assert_int_eq(fake_agents.claims, 2);
	ck_assert_int_eq(fake_agents.first_attempts, 2);
}
END_TEST

START_TEST(a_booking_whose_caller_disconnects_is_still_recorded)
{
	int fd = rig_connect(&rig);

	service->script.service_delay_us = 200000;
	rig_send(fd, "POST " BOOKING_PATH " HTTP/1.1\r\nHost: x\r\n"
		     "Authorization: Bearer " RIG_TEAM "\r\n" KEY_HEADER
		     "Content-Length: 2\r\n\r\n{}");
	RIG_WAIT(service->service_runs == 1);
	close(fd);
	RIG_WAIT(fake_agents.claim_finishes == 1);
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_DONE);
	ck_assert_int_eq(book(KEY_HEADER, "{}"), 200);
	ck_assert_int_eq(service->service_runs, 1);
}
END_TEST

START_TEST(a_response_over_the_limit_is_reported_as_run)
{
	service->script.service_bytes = 300 * 1024;
	ck_assert_int_eq(book(KEY_HEADER, "{}"), 502);
	ck_assert(has("\"not_run\":false"));
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_NO_RESPONSE);
}
END_TEST

START_TEST(an_error_of_the_service_is_forwarded)
{
	service->script.service_status = 404;
	ck_assert_int_eq(book(KEY_HEADER, "{}"), 404);
	ck_assert(has("bbbb"));
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_DONE);
}
END_TEST

struct path_case {
	const char *path;
	int status;
};

static const struct path_case paths[] = {
	{"/services/booking/a/b?c=../d", 200},
	{"/services/booking/", 200},
	{"/services/booking/..a", 200},
	{"/services/booking", 400},
	{"/services//x", 400},
	{"/services/booking/../load", 400},
	{"/services/booking/%2e%2E/load", 400},
	{"/services/booking/a/.", 400},
	{"/services/booking/.%2e?x", 400},
	{"/services/unknown/x", 404},
};

START_TEST(a_path_is_checked_before_it_is_forwarded)
{
	ck_assert_int_eq(rig_call(&rig, "GET", paths[_i].path, "", "", &input),
			 paths[_i].status);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("gateway_services");
	TCase *tcase = tcase_create("services");

	tcase_set_timeout(tcase, 30);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_loop_test(tcase, a_claim_decides_whether_the_call_runs, 0,
			    (int)(sizeof(claims) / sizeof(claims[0])));
	tcase_add_loop_test(
		tcase, a_call_whose_answer_is_no_valid_http_is_never_resent, 0,
		2);
	tcase_add_test(tcase, a_call_whose_response_is_lost_is_never_resent);
	tcase_add_test(tcase, a_repeatable_call_is_retried);
	tcase_add_test(tcase,
		       a_call_that_was_not_sent_is_retried_at_another_server);
	tcase_add_test(tcase,
		       a_call_that_reaches_no_server_is_reported_as_not_run);
	tcase_add_test(tcase, a_budget_refusal_releases_the_claim);
	tcase_add_test(tcase, a_retry_of_a_booking_gets_the_cached_response);
	tcase_add_test(tcase,
		       a_booking_without_a_key_gets_one_and_runs_each_time);
	tcase_add_test(tcase,
		       a_booking_whose_caller_disconnects_is_still_recorded);
	tcase_add_test(tcase, a_ticket_is_issued_and_passed_to_the_claim_agent);
	tcase_add_test(tcase,
		       a_recorded_call_without_its_body_is_reported_as_settled);
	tcase_add_test(tcase, a_response_over_the_limit_is_reported_as_run);
	tcase_add_test(tcase, an_error_of_the_service_is_forwarded);
	tcase_add_loop_test(tcase, a_path_is_checked_before_it_is_forwarded, 0,
			    (int)(sizeof(paths) / sizeof(paths[0])));
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
