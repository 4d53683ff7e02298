/* Tests the prepaid budgets of a fleet through partitions, lost answers, stops
 * and deaths of hosts: no fault may lead to overspending, and few tokens may
 * stay unused. */
#include "coordination/team_budget.h"
#include "fakes/budget_rig.h"
#include "unit/unit_main.h"

#define RESTARTS 12 /* moments of a restart that are tried */

START_TEST(a_partitioned_host_spends_only_its_allotment)
{
	int64_t limit;
	int64_t spent = 0;

	budget_rig_advance(5 * TGW_US_PER_S);
	fake_store_set_partitioned(&budget_rig.hosts[0].store, true);
	ck_assert_int_eq(budget_rig.hosts[0].failures, 0);
	budget_rig_advance(5 * TGW_US_PER_S);
	ck_assert_int_gt(budget_rig.hosts[0].failures, 0);
	limit = budget_rig_limit_of(&budget_rig.hosts[0]);
	while (budget_rig_open_request(&budget_rig.hosts[0], 500) == TGW_OK) {
		budget_rig_end_request(&budget_rig.hosts[0], 500);
		spent += 500;
	}
	ck_assert_int_le(spent, limit);
	ck_assert_int_eq(budget_rig_open_request(&budget_rig.hosts[0], 500),
			 TGW_UNAVAILABLE);
}
END_TEST

/* Its other calls find out first. */
START_TEST(a_host_that_reaches_the_store_again_gets_tokens_at_once)
{
	struct budget_rig_host *host = &budget_rig.hosts[0];

	budget_rig_advance(5 * TGW_US_PER_S);
	fake_store_set_partitioned(&host->store, true);
	team_budget_set_store_unreachable(host->budgets, true);
	budget_rig_advance(8 * TGW_US_PER_S + _i * BUDGET_RIG_STEP_US);
	while (budget_rig_open_request(host, 500) == TGW_OK)
		budget_rig_end_request(host, 500);
	fake_store_set_partitioned(&host->store, false);
	team_budget_set_store_unreachable(host->budgets, false);
	/* A call that is open fails first, after 200 ms. */
	budget_rig_advance(400 * TGW_US_PER_MS);
	ck_assert_int_eq(budget_rig_open_request(host, 500), TGW_OK);
	budget_rig_end_request(host, 500);
}
END_TEST

START_TEST(a_partitioned_host_keeps_its_last_tokens_for_urgent_routes)
{
	int64_t spent[3] = {0};

	budget_rig_advance(5 * TGW_US_PER_S);
	fake_store_set_partitioned(&budget_rig.hosts[0].store, true);
	team_budget_set_store_unreachable(budget_rig.hosts[0].budgets, true);
	for (int32_t rank = 2; rank >= 0; rank--) {
		while (team_budget_reserve(budget_rig.hosts[0].budgets,
					   BUDGET_RIG_TEAM, 500,
					   rank) == TGW_OK) {
			team_budget_settle(budget_rig.hosts[0].budgets,
					   BUDGET_RIG_TEAM, 500, 500);
			budget_rig.spent_tokens += 500;
			spent[rank] += 500;
		}
	}
	/* All ranks have the same demand, and the least urgent one spends
	 * first. Each gets tokens, as some are kept for more urgent ones. */
	ck_assert_int_ge(spent[0], 2000);
	ck_assert_int_ge(spent[1], 2000);
	ck_assert_int_ge(spent[2], spent[1]);
	ck_assert_int_le(budget_rig.spent_tokens,
			 budget_rig_limit_of(&budget_rig.hosts[0]));
}
END_TEST

START_TEST(a_lowered_allotment_applies_before_its_write_is_confirmed)
{
	int64_t before;

	/* Demand on this host raises its allotment, which is lowered again
	 * while the host is idle. */
	for (int i = 0; i < 200; i++) {
		if (budget_rig_open_request(&budget_rig.hosts[0], 2000) ==
		    TGW_OK)
			budget_rig_end_request(&budget_rig.hosts[0], 2000);
		budget_rig_advance(BUDGET_RIG_STEP_US);
	}
	before = budget_rig_limit_of(&budget_rig.hosts[0]);
	budget_rig.hosts[0].store.lose_answers = 100;
	budget_rig_advance(60 * TGW_US_PER_S);
	/* The writes took effect but their responses were lost: the host must
	 * not spend the tokens that it returned. */
	ck_assert_int_lt(budget_rig_limit_of(&budget_rig.hosts[0]), before);
	budget_rig_advance(5 * TGW_US_PER_S);
	{
		int64_t sum = 0;

		for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++)
			sum += budget_rig_limit_of(&budget_rig.hosts[i]);
		ck_assert_int_le(sum, BUDGET_RIG_PAID_TOKENS);
	}
}
END_TEST

START_TEST(a_planned_stop_returns_all_unspent_tokens)
{
	int64_t spent = 0;

	budget_rig_advance(5 * TGW_US_PER_S);
	for (int i = 0; i < 5; i++) {
		ck_assert_int_eq(budget_rig_open_request(&budget_rig.hosts[0],
							 1000),
				 TGW_OK);
		budget_rig_end_request(&budget_rig.hosts[0], 700);
		spent += 700;
	}
	for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++)
		team_budget_close(budget_rig.hosts[i].budgets);
	budget_rig_advance(5 * TGW_US_PER_S);
	for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++) {
		ck_assert(budget_rig.hosts[i].closed);
		budget_rig_kill_host(&budget_rig.hosts[i]);
	}
	budget_rig_start_host(&budget_rig.hosts[0]);
	budget_rig_advance(3 * TGW_US_PER_S);
	{
		struct team_budget_view view;

		team_budget_get_view(budget_rig.hosts[0].budgets,
				     BUDGET_RIG_TEAM, &view);
		ck_assert_int_eq(view.free_tokens + view.limit_tokens,
				 BUDGET_RIG_PAID_TOKENS - spent);
	}
}
END_TEST

START_TEST(a_stop_during_a_write_returns_all_unspent_tokens)
{
	struct team_budget_view view;
	int64_t charged = 0;
	uint64_t writes;

	budget_rig_advance(5 * TGW_US_PER_S);
	for (size_t i = 1; i < BUDGET_RIG_HOSTS; i++) {
		charged += budget_rig_limit_of(&budget_rig.hosts[i]);
		budget_rig_kill_host(&budget_rig.hosts[i]);
	}
	/* The host needs more tokens and writes; it is stopped before the
	 * response arrives. */
	while (budget_rig_open_request(&budget_rig.hosts[0], 1000) == TGW_OK) {
		budget_rig_end_request(&budget_rig.hosts[0], 1000);
		charged += 1000;
	}
	writes = budget_rig.server.writes;
	while (budget_rig.server.writes == writes) {
		team_budget_tick(budget_rig.hosts[0].budgets);
		fake_world_advance(&budget_rig.world, TGW_US_PER_MS / 2);
	}
	team_budget_close(budget_rig.hosts[0].budgets);
	budget_rig_advance(5 * TGW_US_PER_S);
	ck_assert(budget_rig.hosts[0].closed);
	budget_rig_kill_host(&budget_rig.hosts[0]);
	budget_rig_start_host(&budget_rig.hosts[0]);
	budget_rig_advance(5 * TGW_US_PER_S);
	team_budget_get_view(budget_rig.hosts[0].budgets, BUDGET_RIG_TEAM,
			     &view);
	ck_assert_int_eq(view.free_tokens + view.limit_tokens,
			 BUDGET_RIG_PAID_TOKENS - charged);
}
END_TEST

START_TEST(a_write_with_a_lost_answer_is_charged_once)
{
	struct team_budget_view before;
	struct team_budget_view after;

	budget_rig_advance(5 * TGW_US_PER_S);
	team_budget_get_view(budget_rig.hosts[0].budgets, BUDGET_RIG_TEAM,
			     &before);
	budget_rig.hosts[0].store.lose_answers = 1;
	budget_rig_open_request(&budget_rig.hosts[0],
				before.limit_tokens + 5000);
	budget_rig_advance(3 * TGW_US_PER_S);
	ck_assert_uint_eq(budget_rig.hosts[0].store.lose_answers, 0);
	team_budget_get_view(budget_rig.hosts[0].budgets, BUDGET_RIG_TEAM,
			     &after);
	/* The tokens left the pool and arrived here. */
	ck_assert_int_ge(after.limit_tokens, before.limit_tokens + 5000);
	ck_assert_int_le(after.limit_tokens - before.limit_tokens,
			 before.free_tokens - after.free_tokens);
}
END_TEST

static void spend_evenly(int64_t duration_us)
{
	int64_t until_us = budget_rig.world.now_us + duration_us;

	while (budget_rig.world.now_us < until_us) {
		for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++)
			if (budget_rig_open_request(&budget_rig.hosts[i], 50) ==
			    TGW_OK)
				budget_rig_end_request(&budget_rig.hosts[i],
						       50);
		budget_rig_advance(BUDGET_RIG_STEP_US);
	}
}

static int64_t left_of(const struct budget_rig_host *host)
{
	struct team_budget_view view;

	ck_assert(team_budget_get_view(host->budgets, BUDGET_RIG_TEAM, &view));
	return view.limit_tokens - view.settled_tokens - view.reserved_tokens;
}

/* What all budget_rig.hosts demanded before must not count as demand of this
 * moment. */
START_TEST(a_restarted_host_holds_as_much_as_the_others)
{
	spend_evenly(30 * TGW_US_PER_S + _i * 460 * TGW_US_PER_MS);
	budget_rig_kill_host(&budget_rig.hosts[0]);
	budget_rig_start_host(&budget_rig.hosts[0]);
	spend_evenly(10 * TGW_US_PER_S);
	ck_assert_int_ge(left_of(&budget_rig.hosts[0]),
			 left_of(&budget_rig.hosts[1]) / 2);
}
END_TEST

START_TEST(a_killed_host_is_charged_its_whole_allotment)
{
	int64_t limit;
	struct team_budget_view view;

	budget_rig_advance(5 * TGW_US_PER_S);
	for (size_t i = 1; i < BUDGET_RIG_HOSTS; i++) {
		team_budget_close(budget_rig.hosts[i].budgets);
		budget_rig_advance(TGW_US_PER_S);
		budget_rig_kill_host(&budget_rig.hosts[i]);
	}
	limit = budget_rig_limit_of(&budget_rig.hosts[0]);
	budget_rig_kill_host(&budget_rig.hosts[0]);
	budget_rig_start_host(&budget_rig.hosts[0]);
	budget_rig_advance(3 * TGW_US_PER_S);
	team_budget_get_view(budget_rig.hosts[0].budgets, BUDGET_RIG_TEAM,
			     &view);
	ck_assert_int_eq(view.free_tokens + view.limit_tokens,
			 BUDGET_RIG_PAID_TOKENS - limit);
}
END_TEST

static struct budget_rig_host *random_host(void)
{
	return &budget_rig.hosts[tgw_random_below(&budget_rig.world.random,
						  BUDGET_RIG_HOSTS)];
}

static void random_fault(void)
{
	struct budget_rig_host *host = random_host();

	switch (tgw_random_below(&budget_rig.world.random, 12)) {
	case 0:
		fake_store_set_partitioned(&host->store,
					   !host->store.partitioned);
		break;
	case 1:
		host->store.lose_answers = 3;
		break;
	case 2:
		host->store.lose_requests = 3;
		break;
	case 3:
		fake_store_server_set_outage(&budget_rig.server,
					     !budget_rig.server.outage);
		break;
	case 4:
		if (host->budgets)
			budget_rig_kill_host(host);
		break;
	case 5:
		if (host->budgets)
			team_budget_close(host->budgets);
		break;
	case 6:
		budget_rig.paid_in_tokens += 10000;
		for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++)
			if (budget_rig.hosts[i].budgets)
				team_budget_raise_paid_in(
					budget_rig.hosts[i].budgets,
					BUDGET_RIG_TEAM,
					budget_rig.paid_in_tokens);
		break;
	case 7:
		host->store.paused = !host->store.paused;
		if (!host->store.paused)
			fake_store_set_partitioned(&host->store, false);
		break;
	default:
		if (!host->budgets)
			budget_rig_start_host(host);
		break;
	}
}

static void random_request(void)
{
	struct budget_rig_host *host = random_host();

	if (!host->budgets)
		return;
	if (host->open_count && tgw_random_below(&budget_rig.world.random, 2))
		budget_rig_end_request(host, (int64_t)tgw_random_below(
						     &budget_rig.world.random,
						     20000));
	else if (!host->closed)
		budget_rig_open_request(
			host, 1 + (int64_t)tgw_random_below(
					  &budget_rig.world.random, 20000));
}

START_TEST(random_faults_do_not_lead_to_overspending)
{
	budget_rig.world.random.seed = 0;
	tgw_random_init(&budget_rig.world.random, (uint64_t)_i + 1);
	for (int i = 0; i < 1500; i++) {
		random_request();
		if (!tgw_random_below(&budget_rig.world.random, 20))
			random_fault();
		budget_rig_advance(BUDGET_RIG_STEP_US);
		ck_assert_msg(budget_rig_charged_tokens() <=
				      budget_rig.paid_in_tokens,
			      "seed %d: %lld spent of %lld", _i + 1,
			      (long long)budget_rig_charged_tokens(),
			      (long long)budget_rig.paid_in_tokens);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("team_budget_faults");
	TCase *tcase = tcase_create("rules");

	tcase_add_checked_fixture(tcase, budget_rig_setup, budget_rig_teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, a_partitioned_host_spends_only_its_allotment);
	tcase_add_loop_test(
		tcase, a_host_that_reaches_the_store_again_gets_tokens_at_once,
		0, 50);
	tcase_add_test(
		tcase,
		a_partitioned_host_keeps_its_last_tokens_for_urgent_routes);
	tcase_add_test(
		tcase,
		a_lowered_allotment_applies_before_its_write_is_confirmed);
	tcase_add_test(tcase, a_planned_stop_returns_all_unspent_tokens);
	tcase_add_test(tcase, a_stop_during_a_write_returns_all_unspent_tokens);
	tcase_add_test(tcase, a_write_with_a_lost_answer_is_charged_once);
	tcase_add_loop_test(tcase, a_restarted_host_holds_as_much_as_the_others,
			    0, RESTARTS);
	tcase_add_test(tcase, a_killed_host_is_charged_its_whole_allotment);
	tcase_add_loop_test(tcase, random_faults_do_not_lead_to_overspending, 0,
			    200);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
