#include <stdio.h>
#include <string.h>
#include <unistd.h>

#include "fakes/agents/gateway_rig.h"
#include "unit/unit_main.h"

#define KEYED "Idempotency-Key: k1\r\n"
#define BOOKING "/services/booking/new"

static struct gateway_rig rig;
static struct fake_backend *const office = &rig.booking;
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
	return rig_call(&rig, "POST", BOOKING, headers, body, &input);
}

/* Restarts with the service's only server out of reach, or added to. */
static void restart_with_dead_server(bool and_a_live_one)
{
	gateway_rig_stop(&rig);
	gateway_rig_init(&rig);
	if (and_a_live_one) {
		/* The fake router takes servers in their order. */
		rig.servers[0] = rig.servers[RIG_ENGINES];
		snprintf(rig.servers[0].name, TGW_NAME_SIZE, "attic");
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
	ck_assert_int_eq(book(KEYED, "{}"), c->status);
	ck_assert_msg(has(c->text), "%s", input.data);
	ck_assert_int_eq(office->service_runs, c->runs);
	/* Only a call that runs is charged. */
	ck_assert_int_eq(fake_agents.settles, c->runs);
}
END_TEST

START_TEST(a_call_whose_answer_is_lost_is_never_sent_again)
{
	office->script.service_dies = true;
	ck_assert_int_eq(book(KEYED, "{}"), 502);
	ck_assert(has("outcome-unknown"));
	ck_assert(has("\"not_run\":\"unknown\""));
	ck_assert_int_eq(office->service_runs, 1);
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_LOST);
	ck_assert_int_eq(fake_agents.last_settled_tokens, RIG_CALL_TOKENS);
}
END_TEST

START_TEST(a_repeatable_call_is_sent_again_a_few_times)
{
	office->script.service_dies = true;
	ck_assert_int_eq(rig_call(&rig, "GET", "/services/booking/list", "", "",
				  &input),
			 503);
	ck_assert(has("\"not_run\":\"unknown\""));
	/* The fake router has one server, which the retry excludes. */
	ck_assert_int_eq(office->service_runs, 1);
	ck_assert_int_eq(fake_agents.retries, 1);
}
END_TEST

START_TEST(a_call_that_was_not_sent_may_go_elsewhere)
{
	restart_with_dead_server(true);
	ck_assert_int_eq(book(KEYED, "{}"), 200);
	ck_assert_int_eq(office->service_runs, 1);
	ck_assert_int_eq(fake_agents.claims, 1);
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_DONE);
}
END_TEST

START_TEST(a_call_that_was_not_sent_anywhere_is_not_run)
{
	restart_with_dead_server(false);
	ck_assert_int_ge(book(KEYED, "{}"), 502);
	ck_assert(has("\"not_run\":true"));
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_NOT_SENT);
	ck_assert_int_eq(fake_agents.last_settle_basis, TGW_SETTLE_NOT_RUN);
}
END_TEST

START_TEST(a_refused_budget_gives_the_claim_back)
{
	fake_agents.reserve_status = TGW_EXHAUSTED;
	ck_assert_int_eq(book(KEYED, "{}"), 402);
	ck_assert(has("\"not_run\":true"));
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_NOT_SENT);
	ck_assert_int_eq(fake_agents.settles, 0);
	ck_assert_int_eq(office->service_runs, 0);
}
END_TEST

START_TEST(a_retry_of_a_booking_is_answered_from_memory)
{
	ck_assert_int_eq(book(KEYED, "{}"), 200);
	ck_assert_int_eq(book(KEYED, "{}"), 200);
	ck_assert(has("bbbb"));
	ck_assert_int_eq(office->service_runs, 1);
	ck_assert_int_eq(fake_agents.claims, 1);
	ck_assert_int_eq(book(KEYED, "{1}"), 422);
	ck_assert_int_eq(rig_call(&rig, "POST", "/services/booking/other",
				  KEYED, "{}", &input),
			 422);
}
END_TEST

START_TEST(a_ticket_is_issued_and_handed_to_the_claims)
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

START_TEST(a_recorded_answer_that_was_not_kept_is_no_refusal)
{
	fake_agents.claim_state = TGW_CLAIM_RECORDED;
	fake_agents.body_not_kept = true;
	ck_assert_int_eq(book(KEYED, "{}"), 409);
	ck_assert(has("already-settled"));
	ck_assert(has("\"not_run\":false"));
}
END_TEST

START_TEST(a_booking_without_a_key_gets_one_and_runs_each_time)
{
	ck_assert_int_eq(book("", "{}"), 200);
	ck_assert(has("Idempotency-Key: "));
	ck_assert(strstr(office->last_head.data, "Idempotency-Key: "));
	ck_assert_int_eq(book("", "{}"), 200);
	ck_assert_int_eq(office->service_runs, 2);
	ck_assert_int_eq(fake_agents.claims, 2);
	ck_assert_int_eq(fake_agents.first_attempts, 2);
}
END_TEST

START_TEST(a_booking_whose_caller_left_is_still_recorded)
{
	int fd = rig_connect(&rig);

	office->script.service_delay_us = 200000;
	rig_send(fd, "POST " BOOKING " HTTP/1.1\r\nHost: x\r\n"
		     "Authorization: Bearer " RIG_TEAM "\r\n" KEYED
		     "Content-Length: 2\r\n\r\n{}");
	RIG_WAIT(office->service_runs == 1);
	close(fd);
	RIG_WAIT(fake_agents.claim_finishes == 1);
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_DONE);
	ck_assert_int_eq(book(KEYED, "{}"), 200);
	ck_assert_int_eq(office->service_runs, 1);
}
END_TEST

START_TEST(an_answer_over_the_limit_is_refused_as_run)
{
	office->script.service_bytes = 300 * 1024;
	ck_assert_int_eq(book(KEYED, "{}"), 502);
	ck_assert(has("\"not_run\":false"));
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_LOST);
}
END_TEST

START_TEST(the_services_own_answer_is_passed_on)
{
	office->script.service_status = 404;
	ck_assert_int_eq(book(KEYED, "{}"), 404);
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

START_TEST(a_path_is_checked_before_it_is_passed_on)
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
	tcase_add_test(tcase, a_call_whose_answer_is_lost_is_never_sent_again);
	tcase_add_test(tcase, a_repeatable_call_is_sent_again_a_few_times);
	tcase_add_test(tcase, a_call_that_was_not_sent_may_go_elsewhere);
	tcase_add_test(tcase, a_call_that_was_not_sent_anywhere_is_not_run);
	tcase_add_test(tcase, a_refused_budget_gives_the_claim_back);
	tcase_add_test(tcase, a_retry_of_a_booking_is_answered_from_memory);
	tcase_add_test(tcase,
		       a_booking_without_a_key_gets_one_and_runs_each_time);
	tcase_add_test(tcase, a_booking_whose_caller_left_is_still_recorded);
	tcase_add_test(tcase, a_ticket_is_issued_and_handed_to_the_claims);
	tcase_add_test(tcase,
		       a_recorded_answer_that_was_not_kept_is_no_refusal);
	tcase_add_test(tcase, an_answer_over_the_limit_is_refused_as_run);
	tcase_add_test(tcase, the_services_own_answer_is_passed_on);
	tcase_add_loop_test(tcase, a_path_is_checked_before_it_is_passed_on, 0,
			    (int)(sizeof(paths) / sizeof(paths[0])));
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
