/* Tests what callers are told when tokens are left but not for them: whether
 * open requests hold them, which frees them soon, or dead hosts did. */
#include <stdlib.h>
#include <string.h>

#include "edge/budget_refusal.h"
#include "fakes/edge_rig.h"
#include "state/team_account.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define PAID_TOKENS 1000000
#define SOON_MS 1500
#define LATE_MS 10000
#define LONG_US (11 * TGW_US_PER_S)

static struct team_account *account;
static int64_t now_us;

static void setup(void)
{
	account = team_account_new("acme");
	account->paid_in_tokens = PAID_TOKENS;
	now_us = TGW_US_PER_S;
}

static void teardown(void)
{
	free(account);
}

/* Plays reads, one a second, with this much taken and not settled. */
static void play(int64_t unsettled_tokens, int seconds)
{
	for (int i = 0; i < seconds; i++) {
		now_us += TGW_US_PER_S;
		team_account_view(account, 0, unsettled_tokens, now_us);
	}
}

static enum unsettled_cause cause(void)
{
	return unsettled_floor_cause(&account->unsettled);
}

static void expect(struct budget_refusal refusal, const char *text,
		   int64_t retry_after_ms)
{
	ck_assert_str_eq(refusal.reason, text);
	ck_assert_int_eq(refusal.retry_after_ms, retry_after_ms);
}

START_TEST(tokens_of_a_burst_are_said_to_come_back)
{
	play(10000, 70);
	play(480000, 25);
	ck_assert_int_eq(cause(), UNSETTLED_BY_OPEN_REQUESTS);
	expect(budget_refusal_kept(cause()),
	       "what is left of the budget is kept for more urgent requests "
	       "until open requests end",
	       SOON_MS);
	expect(budget_refusal_none_free(cause(), LONG_US),
	       "open requests use what is left of the budget", SOON_MS);
}
END_TEST

START_TEST(tokens_lost_with_hosts_are_said_to_need_a_payment)
{
	play(10000, 70);
	play(480000, 70);
	ck_assert_int_eq(cause(), UNSETTLED_FOR_LONG);
	expect(budget_refusal_kept(cause()),
	       "what is left of the budget is kept for more urgent requests: "
	       "the rest was lost with hosts that died, or is held by long "
	       "requests; top up",
	       LATE_MS);
	expect(budget_refusal_none_free(cause(), LONG_US),
	       "open requests use what is left of the budget, or it was lost "
	       "with hosts that died; top up",
	       LATE_MS);
}
END_TEST

START_TEST(nothing_is_claimed_before_it_can_be_told)
{
	play(480000, 20);
	ck_assert_int_eq(cause(), UNSETTLED_UNKNOWN);
	expect(budget_refusal_kept(cause()),
	       "what is left of the budget is kept for more urgent requests: "
	       "open requests hold the rest, or it was lost with hosts that "
	       "died",
	       SOON_MS);
	expect(budget_refusal_none_free(cause(), TGW_US_PER_S),
	       "other hosts hold what is left of the budget", SOON_MS);
}
END_TEST

#define TOKENS "Tamarackgw-Token-Count: 600,0\r\n"

/* An urgent route's requests hold most of the budget; a less urgent one asks.
 */
START_TEST(a_caller_beside_open_requests_is_not_told_to_top_up)
{
	static struct edge_rig rig;
	struct edge_rig_caller callers[2];
	char *received;

	edge_rig_start(&rig);
	edge_rig_configure(&rig, 1, 2000, "key-1");
	edge_rig_register_server(&rig, 0, "ready", 1);
	edge_rig_register_server(&rig, 1, "ready", 1);
	edge_rig_run(&rig, 500);
	for (int i = 0; i < 2; i++)
		edge_rig_call(&rig, &callers[i],
			      "POST /long-stream/wait HTTP/1.1\r\n"
			      "Host: a.example\r\n"
			      "Authorization: Token key-1\r\n"
			      "Tamarackgw-Request-Id: open\r\n"
			      "Content-Length: 0\r\n" TOKENS "\r\n");
	edge_rig_run(&rig, 500);
	received = edge_rig_request(&rig, "POST", "unsafe", "ok", TOKENS, "");
	ck_assert_msg(!strncmp(received, "HTTP/1.1 503 ", 13), "%s", received);
	ck_assert_msg(strstr(received, "kept for more urgent requests"), "%s",
		      received);
	ck_assert_msg(!strstr(received, "top up"), "%s", received);
	ck_assert_msg(strstr(received, "Retry-After: 1.500\r\n"), "%s",
		      received);
	free(received);
	for (int i = 0; i < 2; i++)
		edge_rig_close_caller(&callers[i]);
	edge_rig_run(&rig, 100);
	edge_rig_stop(&rig);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("budget_refusal");
	TCase *tcase = tcase_create("words");
	TCase *edge = tcase_create("edge");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, tokens_of_a_burst_are_said_to_come_back);
	tcase_add_test(tcase,
		       tokens_lost_with_hosts_are_said_to_need_a_payment);
	tcase_add_test(tcase, nothing_is_claimed_before_it_can_be_told);
	suite_add_tcase(suite, tcase);
	tcase_add_test(edge,
		       a_caller_beside_open_requests_is_not_told_to_top_up);
	suite_add_tcase(suite, edge);
	return unit_main(suite);
}
