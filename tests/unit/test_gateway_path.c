/* Tests the path of a request through the gateway without faults: forwarding,
 * settlement, claims, and reports of servers to the router. */
#include <string.h>
#include <unistd.h>

#include "fakes/agents/gateway_rig.h"
#include "unit/unit_main.h"

#define STREAM ",\"stream\":true,\"max_tokens\":20"
#define KEY_HEADER "Idempotency-Key: k1\r\n"

static struct gateway_rig rig;
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

START_TEST(a_completion_is_forwarded_and_settled)
{
	ck_assert_int_eq(rig_chat(&rig, "", ",\"max_tokens\":20", &input), 200);
	ck_assert(has("\"content\":\"t0 t1 t2 t3 t4 \""));
	ck_assert(has("\"completion_tokens\":5"));
	ck_assert(has("X-Request-Id: "));
	RIG_WAIT(fake_agents.settles == 1);
	ck_assert_int_eq(fake_agents.last_settle_basis, TGW_SETTLE_USAGE);
	ck_assert_int_eq(fake_agents.last_settled_tokens, 10);
	/* The prompt counts as the bytes of "role", "user", "content" and
	 * "hello": 4 + 4 + 7 + 5 = 20. */
	ck_assert_int_eq(fake_agents.last_bound_tokens,
			 20 + RIG_FIXED_TOKENS + 20);
	ck_assert_int_eq(fake_agents.routes_open, 0);
}
END_TEST

START_TEST(a_stream_is_forwarded_completely)
{
	ck_assert_int_eq(rig_chat(&rig, "", STREAM, &input), 200);
	ck_assert(has("text/event-stream"));
	ck_assert(has("\"index\":0"));
	ck_assert(has("\"index\":4"));
	ck_assert(has("\"usage\""));
	ck_assert(has("data: [DONE]"));
	RIG_WAIT(fake_agents.settles == 1);
	ck_assert_int_eq(fake_agents.last_settled_tokens, 10);
}
END_TEST

START_TEST(the_engine_request_carries_attempt_and_limits)
{
	struct fake_backend *engine = &rig.engines[0];

	rig_chat(&rig, "X-Urgency: batch\r\n", STREAM, &input);
	ck_assert(strstr(engine->last_request.data, "X-Request-Id: "));
	ck_assert(strstr(engine->last_request.data, "X-Attempt: 1\r\n"));
	ck_assert(strstr(engine->last_request.data, "X-Fencing: 1\r\n"));
	ck_assert(strstr(engine->last_request.data, "\"priority\":3"));
	ck_assert(strstr(engine->last_request.data, "\"max_tokens\":20"));
	ck_assert(strstr(engine->last_request.data, "\"include_usage\":true"));
}
END_TEST

START_TEST(a_service_call_is_forwarded_and_charged)
{
	ck_assert_int_eq(rig_call(&rig, "GET", "/services/booking/list?a=1", "",
				  "", &input),
			 200);
	ck_assert(has("\r\n\r\nbbbb"));
	ck_assert(strstr(rig.booking.last_request.data, "GET /list?a=1 HTTP"));
	ck_assert_int_eq(fake_agents.claims, 0);
	RIG_WAIT(fake_agents.settles == 1);
	ck_assert_int_eq(fake_agents.last_settled_tokens, RIG_CALL_TOKENS);
}
END_TEST

START_TEST(a_booking_is_claimed_and_recorded)
{
	ck_assert_int_eq(rig_call(&rig, "POST", "/services/booking/new",
				  KEY_HEADER, "{}", &input),
			 200);
	ck_assert(has("Idempotency-Key: k1"));
	ck_assert_int_eq(fake_agents.claims, 1);
	ck_assert_int_eq(fake_agents.last_claim_outcome, TGW_CLAIM_DONE);
	ck_assert(strstr(rig.booking.last_request.data, KEY_HEADER));
}
END_TEST

START_TEST(load_reports_and_cache_events_reach_the_router)
{
	RIG_WAIT(fake_agents.load_reports >= RIG_ENGINES + 1);
	RIG_WAIT(fake_agents.cache_events >= RIG_ENGINES);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("gateway_path");
	TCase *tcase = tcase_create("path");

	tcase_set_timeout(tcase, 30);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, a_completion_is_forwarded_and_settled);
	tcase_add_test(tcase, a_stream_is_forwarded_completely);
	tcase_add_test(tcase, the_engine_request_carries_attempt_and_limits);
	tcase_add_test(tcase, a_service_call_is_forwarded_and_charged);
	tcase_add_test(tcase, a_booking_is_claimed_and_recorded);
	tcase_add_test(tcase, load_reports_and_cache_events_reach_the_router);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
