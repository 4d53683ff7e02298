/* Tests the ranking of a failure domain's alive hosts for a key. */
#include "tamarackgw/host_view.h"

#include <stdio.h>

#include "unit/unit_main.h"

#define HOSTS 6

static struct tgw_host hosts[HOSTS];
static struct tgw_host_view view = {.host_count = HOSTS, .hosts = hosts};

static void setup(void)
{
	for (int i = 0; i < HOSTS; i++) {
		snprintf(hosts[i].name, sizeof(hosts[i].name), "h%d", i);
		snprintf(hosts[i].failure_domain,
			 sizeof(hosts[i].failure_domain), "d%d", i / 3);
		hosts[i].state = TGW_HOST_ALIVE;
	}
}

START_TEST(only_alive_hosts_of_the_failure_domain_are_ranked)
{
	const struct tgw_host *ranked[HOSTS];

	hosts[1].state = TGW_HOST_SILENT;
	ck_assert_uint_eq(tgw_host_view_rank(&view, "d0", 7, ranked, HOSTS), 2);
	ck_assert_ptr_ne(ranked[0], &hosts[1]);
	ck_assert_ptr_ne(ranked[1], &hosts[1]);
	ck_assert_uint_eq(tgw_host_view_rank(&view, "d9", 7, ranked, HOSTS), 0);
}
END_TEST

START_TEST(a_limited_ranking_is_a_prefix_of_the_full_one)
{
	for (uint64_t key = 0; key < 100; key++) {
		const struct tgw_host *all[HOSTS];
		const struct tgw_host *first[1];

		tgw_host_view_rank(&view, "d1", key, all, HOSTS);
		ck_assert_uint_eq(
			tgw_host_view_rank(&view, "d1", key, first, 1), 1);
		ck_assert_ptr_eq(first[0], all[0]);
	}
}
END_TEST

START_TEST(removing_a_host_moves_only_its_keys)
{
	for (uint64_t key = 0; key < 200; key++) {
		const struct tgw_host *before[HOSTS];
		const struct tgw_host *after[HOSTS];

		hosts[0].state = TGW_HOST_ALIVE;
		tgw_host_view_rank(&view, "d0", key, before, HOSTS);
		hosts[0].state = TGW_HOST_GONE;
		tgw_host_view_rank(&view, "d0", key, after, HOSTS);
		if (before[0] != &hosts[0])
			ck_assert_ptr_eq(before[0], after[0]);
		else
			ck_assert_ptr_eq(before[1], after[0]);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("host_view");
	TCase *tcase = tcase_create("rank");

	tcase_add_checked_fixture(tcase, setup, NULL);
	tcase_add_test(tcase,
		       only_alive_hosts_of_the_failure_domain_are_ranked);
	tcase_add_test(tcase, a_limited_ranking_is_a_prefix_of_the_full_one);
	tcase_add_test(tcase, removing_a_host_moves_only_its_keys);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
