/* Tests hosts that start and get all keys from their relay, and large changes
 * that many hosts fetch from it. */
#include "coordination/store_mirror.h"
#include "fakes/mirror_rig.h"
#include "unit/unit_main.h"

#define DISCOVERY_US (2500 * TGW_US_PER_MS)
/* Within this time a starting host hears of the keys from its relay, or lists
 * them itself. */
#define START_WAIT_MS 1000
#define CHANGES 20

/* @param relay_us when the relay is known, after the start; negative: never */
static void restart_all(int64_t relay_us)
{
	for (size_t i = 0; i < MIRROR_RIG_HOSTS; i++)
		mirror_rig_kill_host(i);
	mirror_rig.discovery_us = DISCOVERY_US;
	for (size_t i = 0; i < MIRROR_RIG_HOSTS; i++)
		mirror_rig_start_host(i);
	if (relay_us < 0)
		return;
	mirror_rig_play_ms(relay_us / TGW_US_PER_MS);
	for (size_t i = 0; i < MIRROR_RIG_HOSTS; i++)
		store_mirror_set_relay(mirror_rig.hosts[i].mirror,
				       i ? "host-0" : "");
}

static void put_large_list(void)
{
	for (int key = 0; key < MIRROR_RIG_KEYS; key++)
		mirror_rig_put_sized(1, key, 1 + key, MIRROR_RIG_LARGE_SIZE);
}

static void check_large_list(void)
{
	for (int key = 0; key < MIRROR_RIG_KEYS; key++)
		mirror_rig_check_known(1, key, 1 + key);
}

START_TEST(hosts_that_start_together_do_not_all_list_the_store)
{
	uint64_t reads;

	put_large_list();
	mirror_rig_play_ms(3000);
	reads = mirror_rig.server.reads;
	restart_all(50 * TGW_US_PER_MS);
	mirror_rig_play_ms(1000);
	mirror_rig_check_known(0, 0, 1);
	check_large_list();
	ck_assert_uint_eq(mirror_rig.server.reads - reads, MIRROR_RIG_PREFIXES);
}
END_TEST

START_TEST(a_starting_relay_lists_the_store_at_once)
{
	restart_all((50 + 10 * _i) * TGW_US_PER_MS);
	mirror_rig_play_ms(20);
	ck_assert_int_eq(mirror_rig.hosts[0].values[0][0], 1);
}
END_TEST

START_TEST(a_relay_that_starts_later_is_soon_told_of_its_followers)
{
	uint64_t reads = mirror_rig.server.reads;

	restart_all(50 * TGW_US_PER_MS);
	mirror_rig.hosts[0].end.receives_nothing = true;
	mirror_rig_play_ms(150);
	mirror_rig.hosts[0].end.receives_nothing = false;
	mirror_rig_play_ms(250);
	mirror_rig_check_known(0, 0, 1);
	ck_assert_uint_eq(mirror_rig.server.reads - reads, MIRROR_RIG_PREFIXES);
}
END_TEST

START_TEST(a_starting_host_lists_the_store_if_its_relay_is_silent)
{
	put_large_list();
	restart_all(50 * TGW_US_PER_MS);
	mirror_rig.hosts[0].hung = true;
	mirror_rig.hosts[0].end.paused = true;
	mirror_rig_play_ms(START_WAIT_MS + 200);
	mirror_rig_check_known(0, 0, 1);
	check_large_list();
}
END_TEST

START_TEST(a_starting_host_lists_the_store_if_the_relay_breaks_off)
{
	put_large_list();
	restart_all(50 * TGW_US_PER_MS);
	mirror_rig.net.loss_per_1000 = 900;
	mirror_rig_play_ms(150);
	mirror_rig.hosts[0].hung = true;
	mirror_rig.hosts[0].end.paused = true;
	mirror_rig_play_ms(START_WAIT_MS + 400);
	mirror_rig_check_known(0, 0, 1);
	check_large_list();
}
END_TEST

START_TEST(a_starting_host_lists_the_store_at_once_if_its_relay_has_lost_it)
{
	fake_store_set_partitioned(&mirror_rig.hosts[0].store, true);
	restart_all(50 * TGW_US_PER_MS);
	mirror_rig_play_ms(400);
	for (size_t i = 1; i < MIRROR_RIG_HOSTS; i++)
		ck_assert_int_eq(mirror_rig.hosts[i].values[0][0], 1);
}
END_TEST

START_TEST(a_starting_host_without_a_relay_lists_the_store)
{
	restart_all(-1);
	mirror_rig_play_ms(DISCOVERY_US / TGW_US_PER_MS + 200);
	mirror_rig_check_known(0, 0, 1);
}
END_TEST

/* With thousands of keys, some of them change all the time. */
START_TEST(changes_meanwhile_do_not_make_hosts_fetch_a_large_one_anew)
{
	uint64_t parts = (MIRROR_RIG_HOSTS - 1) *
			 (MIRROR_RIG_LARGE_SIZE / CHANGE_PART_MAX_BYTES + 1);
	uint64_t sent;

	mirror_rig_play_ms(3000);
	mirror_rig.hosts[0].end.link_bytes_per_s = 300000;
	sent = store_mirror_get_counters(mirror_rig.hosts[0].mirror)
		       ->changes_sent;
	mirror_rig_put_sized(0, 3, 30, MIRROR_RIG_LARGE_SIZE);
	for (int i = 0; i < CHANGES; i++) {
		mirror_rig_play_ms(60);
		mirror_rig_put(0, 1, 100 + i);
	}
	mirror_rig_play_ms(1200);
	mirror_rig_check_known(0, 3, 30);
	mirror_rig_check_known(0, 1, 100 + CHANGES - 1);
	sent = store_mirror_get_counters(mirror_rig.hosts[0].mirror)
		       ->changes_sent -
	       sent;
	ck_assert_uint_le(sent,
			  parts * 5 / 4 + (MIRROR_RIG_HOSTS - 1) * CHANGES * 2);
}
END_TEST

/* Parts for some mirror_rig.hosts wait behind those for others. */
START_TEST(a_busy_link_of_the_relay_does_not_lead_to_repeated_parts)
{
	uint64_t parts = (MIRROR_RIG_HOSTS - 1) *
			 (MIRROR_RIG_LARGE_SIZE / CHANGE_PART_MAX_BYTES + 1);
	uint64_t sent;

	mirror_rig_play_ms(3000);
	mirror_rig.hosts[0].end.link_bytes_per_s = 300000;
	sent = store_mirror_get_counters(mirror_rig.hosts[0].mirror)
		       ->changes_sent;
	mirror_rig_put_sized(0, 3, 30, MIRROR_RIG_LARGE_SIZE);
	mirror_rig_play_ms(1800);
	mirror_rig_check_known(0, 3, 30);
	sent = store_mirror_get_counters(mirror_rig.hosts[0].mirror)
		       ->changes_sent -
	       sent;
	ck_assert_uint_le(sent, parts * 5 / 4);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store_mirror_start");
	TCase *tcase = tcase_create("core");

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, mirror_rig_setup, mirror_rig_teardown);
	tcase_add_loop_test(tcase, a_starting_relay_lists_the_store_at_once, 0,
			    10);
	tcase_add_test(tcase,
		       hosts_that_start_together_do_not_all_list_the_store);
	tcase_add_test(tcase,
		       a_relay_that_starts_later_is_soon_told_of_its_followers);
	tcase_add_test(tcase,
		       a_starting_host_lists_the_store_if_its_relay_is_silent);
	tcase_add_test(tcase,
		       a_starting_host_lists_the_store_if_the_relay_breaks_off);
	tcase_add_test(
		tcase,
		a_starting_host_lists_the_store_at_once_if_its_relay_has_lost_it);
	tcase_add_test(tcase, a_starting_host_without_a_relay_lists_the_store);
	tcase_add_test(
		tcase,
		changes_meanwhile_do_not_make_hosts_fetch_a_large_one_anew);
	tcase_add_test(
		tcase,
		a_busy_link_of_the_relay_does_not_lead_to_repeated_parts);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
