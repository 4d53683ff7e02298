/* Tests hosts that follow the store's keys through a relay: what they know and
 * when, with relays that die, hang, lose the store or tell late, and that no
 * key goes back to an earlier version or comes back once it was deleted. */
#include "coordination/store_mirror.h"

#include <stdlib.h>
#include <string.h>

#include "fakes/mirror_rig.h"
#include "state/mirror_table.h"
#include "unit/unit_main.h"

#define PREFIX "routes/"
#define RANDOM_RUNS 60

START_TEST(followers_learn_of_changes_without_store_calls)
{
	uint64_t calls;
	uint64_t watch_calls;

	mirror_rig_put(0, 1, 10);
	mirror_rig_play_ms(3000);
	ck_assert_uint_eq(mirror_rig_count_following(), MIRROR_RIG_HOSTS - 1);
	ck_assert_uint_eq(
		store_mirror_follower_count(mirror_rig.hosts[0].mirror),
		MIRROR_RIG_HOSTS - 1);
	calls = mirror_rig.server.reads;
	watch_calls = mirror_rig.server.watch_calls;
	mirror_rig_put(0, 1, 11);
	mirror_rig_put(1, 2, 20);
	mirror_rig_play_ms(1200);
	mirror_rig_check_known(0, 1, 11);
	mirror_rig_check_known(1, 2, 20);
	mirror_rig_put(0, 1, 0);
	mirror_rig_play_ms(1200);
	mirror_rig_check_known(0, 1, 0);
	mirror_rig_play_ms(10000);
	ck_assert_uint_eq(mirror_rig.server.reads, calls);
	/* The relay alone watches: each 0.8 s both prefixes. */
	ck_assert_uint_le(mirror_rig.server.watch_calls - watch_calls, 2 * 17);
}
END_TEST

START_TEST(a_large_change_arrives_whole)
{
	mirror_rig_play_ms(3000);
	mirror_rig.net.loss_per_1000 = 50;
	mirror_rig_put_sized(0, 3, 30, MIRROR_RIG_LARGE_SIZE);
	mirror_rig_play_ms(1800);
	mirror_rig_check_known(0, 3, 30);
	for (size_t i = 0; i < MIRROR_RIG_HOSTS; i++)
		ck_assert_uint_eq(mirror_rig.hosts[i].value_size,
				  MIRROR_RIG_LARGE_SIZE);
}
END_TEST

START_TEST(a_change_is_known_in_time_when_the_relay_dies)
{
	mirror_rig_play_ms(3000 + _i * 37);
	mirror_rig_kill_host(0);
	mirror_rig_put(0, 1, 12);
	mirror_rig_put(1, 1, 0);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	mirror_rig_check_known(0, 1, 12);
}
END_TEST

START_TEST(a_change_is_known_in_time_when_the_relay_hangs)
{
	mirror_rig_play_ms(3000 + _i * 37);
	mirror_rig.hosts[0].hung = true;
	mirror_rig.hosts[0].end.paused = true;
	mirror_rig.hosts[0].store.paused = true;
	mirror_rig_put(0, 1, 12);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	mirror_rig_check_known(0, 1, 12);
	/* What it says after the pause is old. */
	mirror_rig_put(0, 1, 13);
	mirror_rig_play_ms(1500);
	mirror_rig.hosts[0].hung = false;
	mirror_rig.hosts[0].end.paused = false;
	mirror_rig.hosts[0].store.paused = false;
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS);
	mirror_rig_check_known(0, 1, 13);
	mirror_rig_play_ms(3000);
	ck_assert_uint_eq(mirror_rig_count_following(), MIRROR_RIG_HOSTS - 1);
}
END_TEST

START_TEST(a_change_is_known_in_time_when_the_relay_loses_the_store)
{
	mirror_rig_play_ms(3000 + _i * 37);
	fake_store_set_partitioned(&mirror_rig.hosts[0].store, true);
	mirror_rig_put(0, 1, 12);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	for (size_t i = 1; i < MIRROR_RIG_HOSTS; i++)
		ck_assert_int_eq(mirror_rig.hosts[i].values[0][1], 12);
	fake_store_set_partitioned(&mirror_rig.hosts[0].store, false);
	mirror_rig_play_ms(4000);
	mirror_rig_check_known(0, 1, 12);
	ck_assert_uint_eq(mirror_rig_count_following(), MIRROR_RIG_HOSTS - 1);
}
END_TEST

/* Its watch is silent: nothing tells it that the store has changes. */
START_TEST(a_change_is_known_in_time_when_the_relay_watches_in_vain)
{
	mirror_rig_play_ms(3000 + _i * 37);
	mirror_rig.hosts[0].store.watch_broken = true;
	mirror_rig_put(0, 1, 12);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	for (size_t i = 1; i < MIRROR_RIG_HOSTS; i++)
		ck_assert_int_eq(mirror_rig.hosts[i].values[0][1], 12);
}
END_TEST

START_TEST(a_change_is_known_in_time_when_the_relay_is_not_heard)
{
	mirror_rig_play_ms(3000 + _i * 37);
	mirror_rig.hosts[0].end.sends_nothing = true;
	mirror_rig_put(0, 1, 12);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	mirror_rig_check_known(0, 1, 12);
}
END_TEST

START_TEST(a_change_is_known_in_time_when_the_relay_hears_nothing)
{
	mirror_rig_play_ms(3000 + _i * 37);
	mirror_rig.hosts[0].end.receives_nothing = true;
	mirror_rig_put(0, 1, 12);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	mirror_rig_check_known(0, 1, 12);
	mirror_rig_put(0, 1, 13);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	mirror_rig_check_known(0, 1, 13);
}
END_TEST

/* Hosts disagree on the relay, one of the two is behind, and they change
 * between them. */
START_TEST(two_relays_bring_no_earlier_version_back)
{
	mirror_rig_play_ms(3000);
	for (size_t i = 3; i < MIRROR_RIG_HOSTS; i++)
		store_mirror_set_relay(mirror_rig.hosts[i].mirror, "host-1");
	store_mirror_set_relay(mirror_rig.hosts[1].mirror, "");
	mirror_rig_play_ms(2000);
	mirror_rig.hosts[1].store.watch_broken = true;
	for (int number = 20; number < 28; number++) {
		mirror_rig_put(0, 1, number);
		mirror_rig_put(1, 2, number % 2 ? number : 0);
		for (size_t i = 2; i < MIRROR_RIG_HOSTS; i++)
			store_mirror_set_relay(
				mirror_rig.hosts[i].mirror,
				(number + (int)i) % 2 ? "host-0" : "host-1");
		mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
		/* The one that is behind is not in touch with the store. */
		for (size_t i = 2; i < MIRROR_RIG_HOSTS; i++)
			ck_assert_int_eq(mirror_rig.hosts[i].values[0][1],
					 number);
	}
}
END_TEST

START_TEST(late_messages_do_not_look_fresh)
{
	mirror_rig_play_ms(3000 + _i * 37);
	mirror_rig.net.latency_us = 5 * TGW_US_PER_S;
	mirror_rig_put(0, 1, 12);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	mirror_rig_check_known(0, 1, 12);
	mirror_rig_put(0, 1, 13);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	mirror_rig_check_known(0, 1, 13);
}
END_TEST

START_TEST(a_host_without_a_path_to_the_store_learns_through_its_relay)
{
	mirror_rig_play_ms(3000);
	for (size_t i = 1; i < MIRROR_RIG_HOSTS; i++)
		fake_store_set_partitioned(&mirror_rig.hosts[i].store, true);
	mirror_rig_put(0, 1, 12);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS);
	mirror_rig_check_known(0, 1, 12);
	/* A process that starts then, too. */
	mirror_rig_kill_host(2);
	mirror_rig_start_host(2);
	mirror_rig_play_ms(3000);
	mirror_rig_check_known(0, 1, 12);
}
END_TEST

START_TEST(after_an_outage_the_relay_tells_first)
{
	uint64_t calls;

	mirror_rig_put(0, 1, 11);
	mirror_rig_play_ms(3000);
	fake_store_server_set_outage(&mirror_rig.server, true);
	mirror_rig_play_ms(8000);
	mirror_rig_put(0, 1, 12);
	calls = mirror_rig.server.reads;
	fake_store_server_set_outage(&mirror_rig.server, false);
	mirror_rig_play_ms(4000);
	mirror_rig_check_known(0, 1, 12);
	ck_assert_uint_eq(mirror_rig_count_following(), MIRROR_RIG_HOSTS - 1);
	/* Both prefixes at the relay, and some at mirror_rig.hosts that were
	 * just trying.
	 */
	ck_assert_uint_le(mirror_rig.server.reads - calls,
			  2 * MIRROR_RIG_HOSTS);
}
END_TEST

/* The host's watch fails, and so does its list of the keys. Its next list is
 * answered by a relay that it has only until its next tick. */
static void have_a_list_answered_between_ticks(struct mirror_rig_host *host)
{
	store_mirror_set_relay(host->mirror, "");
	mirror_rig_play_ms(1000);
	host->store.refuses_lists = true;
	fake_store_set_partitioned(&host->store, true);
	fake_store_set_partitioned(&host->store, false);
	mirror_rig_play_ms(20);
	ck_assert(host->listing[0]);
	while (host->listing[0])
		mirror_rig_play_ms(10);
	host->hung = true;
	store_mirror_set_relay(host->mirror, "host-0");
	mirror_rig_play_ms(60);
	host->hung = false;
	host->tick_us = mirror_rig.world.now_us + 100 * TGW_US_PER_MS;
	mirror_rig_play_ms(10);
	store_mirror_set_relay(host->mirror, "");
	store_mirror_set_relay(host->mirror, "host-0");
	mirror_rig_play_ms(60);
	ck_assert(!host->list_needed[0] && !host->listing[0]);
	store_mirror_set_relay(host->mirror, "");
	host->store.refuses_lists = false;
}

START_TEST(a_host_follows_the_store_when_its_relay_goes_after_answering_a_list)
{
	mirror_rig_play_ms(3000 + _i * 37);
	have_a_list_answered_between_ticks(&mirror_rig.hosts[1]);
	mirror_rig_play_ms(1000);
	mirror_rig_put(0, 1, 12);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	mirror_rig_check_known(0, 1, 12);
	ck_assert_uint_eq(store_mirror_get_counters(mirror_rig.hosts[1].mirror)
				  ->stalled_watches,
			  0);
}
END_TEST

START_TEST(a_change_is_known_in_time_when_the_watch_tells_nothing)
{
	struct mirror_rig_host *host = &mirror_rig.hosts[1];

	store_mirror_set_relay(host->mirror, "");
	mirror_rig_play_ms(3000 + _i * 37);
	host->store.watch_broken = true;
	mirror_rig_put(0, 1, 12);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	mirror_rig_check_known(0, 1, 12);
	ck_assert_uint_gt(
		store_mirror_get_counters(host->mirror)->stalled_watches, 0);
}
END_TEST

/* Fails the host's calls to follow the store, or changes its relay. */
static void disturb(struct mirror_rig_host *host)
{
	static const char *const relays[] = {"", "host-0", "host-1", "host-2"};
	struct tgw_random *random = &mirror_rig.world.random;

	switch (tgw_random_below(random, 4)) {
	case 0:
		host->store.refuses_lists = !host->store.refuses_lists;
		break;
	case 1:
		fake_store_set_partitioned(&host->store, true);
		mirror_rig_play_ms((int64_t)tgw_random_below(random, 300));
		fake_store_set_partitioned(&host->store, false);
		break;
	default:
		store_mirror_set_relay(host->mirror,
				       relays[tgw_random_below(random, 4)]);
		break;
	}
}

/* Nothing but the calls that a host makes by itself brings it back. */
START_TEST(a_change_is_known_in_time_after_faults_and_changes_of_relays)
{
	struct tgw_random *random = &mirror_rig.world.random;

	mirror_rig_teardown();
	mirror_rig_setup_seeded((uint64_t)_i + 1);
	mirror_rig_play_ms(3000);
	for (int step = 1; step <= 40; step++) {
		for (int i = 0; i < 12; i++) {
			disturb(&mirror_rig.hosts[tgw_random_below(
				random, MIRROR_RIG_HOSTS)]);
			mirror_rig_play_ms(
				(int64_t)tgw_random_below(random, 80));
		}
		for (size_t i = 0; i < MIRROR_RIG_HOSTS; i++)
			mirror_rig.hosts[i].store.refuses_lists = false;
		mirror_rig_play_ms(800);
		mirror_rig_put(0, 1, step);
		mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
		mirror_rig_check_known(0, 1, step);
	}
}
END_TEST

/* All is sent at random while messages are lost, repeated and late, and hosts
 * and their paths fail. In the end all mirror_rig.hosts know what the store
 * has. */
START_TEST(all_hosts_agree_in_the_end)
{
	int numbers[2][MIRROR_RIG_KEYS] = {{1}};

	mirror_rig_teardown();
	mirror_rig_setup_seeded((uint64_t)_i + 1);
	mirror_rig.net.loss_per_1000 = 100;
	mirror_rig.net.duplicate_per_1000 = 100;
	mirror_rig.net.jitter_us = 30 * TGW_US_PER_MS;
	mirror_rig.net.late_per_1000 = 50;
	mirror_rig.net.late_us = 5 * TGW_US_PER_S;
	mirror_rig.net.delivers_to_successors = true;
	for (int step = 1; step < 120; step++) {
		int prefix = (int)tgw_random_below(&mirror_rig.world.random, 2);
		int key = (int)tgw_random_below(&mirror_rig.world.random,
						MIRROR_RIG_KEYS);
		size_t host = tgw_random_below(&mirror_rig.world.random,
					       MIRROR_RIG_HOSTS);
		int number = tgw_random_below(&mirror_rig.world.random, 3)
				     ? step
				     : 0;

		numbers[prefix][key] = number;
		mirror_rig_put(prefix, key, number);
		mirror_rig_play_ms((int64_t)tgw_random_below(
			&mirror_rig.world.random, 300));
		switch (tgw_random_below(&mirror_rig.world.random, 12)) {
		case 0:
			if (mirror_rig.hosts[host].mirror)
				mirror_rig_kill_host(host);
			else
				mirror_rig_start_host(host);
			break;
		case 1:
			fake_store_set_partitioned(
				&mirror_rig.hosts[host].store,
				!mirror_rig.hosts[host].store.partitioned);
			break;
		case 2:
			mirror_rig.hosts[host].end.receives_nothing =
				!mirror_rig.hosts[host].end.receives_nothing;
			break;
		default:
			break;
		}
	}
	for (size_t i = 0; i < MIRROR_RIG_HOSTS; i++) {
		fake_store_set_partitioned(&mirror_rig.hosts[i].store, false);
		mirror_rig.hosts[i].end.receives_nothing = false;
		if (!mirror_rig.hosts[i].mirror)
			mirror_rig_start_host(i);
	}
	mirror_rig.net.late_per_1000 = 0;
	mirror_rig_play_ms(6000);
	for (int prefix = 0; prefix < 2; prefix++)
		for (int key = 0; key < MIRROR_RIG_KEYS; key++)
			mirror_rig_check_known(prefix, key,
					       numbers[prefix][key]);
}
END_TEST

static void ignore_change(void *arg, const struct tgw_store_entry *entry)
{
	(*(int *)arg)++;
}

START_TEST(a_late_change_does_not_bring_a_deleted_key_back)
{
	struct mirror_table from = {0};
	struct mirror_table to = {0};
	struct buffer late = {0};
	int changes = 0;
	struct mirror_listener listener = {ignore_change, &changes};
	struct tgw_store_entry entry = {.key = "a",
					.value = (const uint8_t *)"1",
					.value_size = 1,
					.version = 5};

	mirror_table_replace(&from, NULL, 0, 3);
	mirror_table_apply(&from, &entry);
	mirror_table_confirm(&from, 5);
	ck_assert(mirror_table_encode(&from, 3, &late));
	mirror_table_replace(&to, NULL, 0, 9);
	ck_assert_int_eq(mirror_table_decode(&to, late.data, late.size,
					     &listener),
			 TGW_OK);
	ck_assert_int_eq(changes, 0);
	ck_assert_int_eq(to.revision, 9);
	for (size_t size = 0; size < late.size; size++)
		ck_assert_int_eq(mirror_table_decode(&to, late.data, size,
						     &listener),
				 TGW_CORRUPT);
	buffer_free(&late);
	mirror_table_clear(&from);
	mirror_table_clear(&to);
}
END_TEST

/* A relay may tell of a change before this host's own watch tells of an earlier
 * deletion. */
START_TEST(an_earlier_deletion_does_not_remove_a_later_value)
{
	struct mirror_table table = {0};
	struct tgw_store_entry value = {.key = "a",
					.value = (const uint8_t *)"1",
					.value_size = 1,
					.version = 80};
	struct tgw_store_entry deletion = {.key = "a", .deleted_version = 70};

	mirror_table_replace(&table, NULL, 0, 60);
	ck_assert(mirror_table_apply(&table, &value));
	mirror_table_confirm(&table, 85);
	ck_assert(!mirror_table_apply(&table, &deletion));
	deletion.deleted_version = 90;
	ck_assert(mirror_table_apply(&table, &deletion));
	ck_assert_int_eq(table.changed_revision, 90);
	mirror_table_clear(&table);
}
END_TEST

#define LONG_KEY_BYTES 300
/* Together more than a relay may pass on. */
#define LARGE_KEYS 5
#define LARGE_VALUE_BYTES 900000

static void put_long_key(void)
{
	static const char end[] = "-7";
	char key[LONG_KEY_BYTES + 1] = PREFIX;

	memset(key + strlen(PREFIX), 'x', LONG_KEY_BYTES - strlen(PREFIX));
	memcpy(key + sizeof(key) - sizeof(end), end, sizeof(end));
	fake_store_server_put(&mirror_rig.server, key, "1234", 4);
}

static void put_large_values(void)
{
	static const char value[LARGE_VALUE_BYTES];
	char key[] = PREFIX "key-2";

	for (int i = 0; i < LARGE_KEYS; i++) {
		fake_store_server_put(&mirror_rig.server, key, value,
				      sizeof(value));
		key[sizeof(key) - 2]++;
	}
}

static void check_odd_entries(void (*put_odd)(void), int offset)
{
	mirror_rig_play_ms(3000 + offset * 37);
	put_odd();
	mirror_rig_put(0, 1, 13);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	mirror_rig_check_known(0, 1, 13);
	mirror_rig_put(0, 1, 14);
	mirror_rig_put(1, 1, 15);
	mirror_rig_play_ms(MIRROR_RIG_APPLY_US / TGW_US_PER_MS - 200);
	mirror_rig_check_known(0, 1, 14);
	mirror_rig_check_known(1, 1, 15);
	mirror_rig_kill_host(1);
	mirror_rig_start_host(1);
	mirror_rig_play_ms(3 * MIRROR_RIG_APPLY_US / TGW_US_PER_MS);
	mirror_rig_check_known(0, 1, 14);
}

START_TEST(a_change_is_known_in_time_beside_a_key_that_no_relay_can_tell)
{
	check_odd_entries(put_long_key, _i);
}
END_TEST

START_TEST(a_change_is_known_in_time_beside_values_too_large_for_a_relay)
{
	check_odd_entries(put_large_values, _i);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("store_mirror");
	TCase *tcase = tcase_create("core");

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, mirror_rig_setup, mirror_rig_teardown);
	tcase_add_test(tcase, followers_learn_of_changes_without_store_calls);
	tcase_add_test(tcase, a_large_change_arrives_whole);
	tcase_add_loop_test(
		tcase, a_change_is_known_in_time_when_the_relay_dies, 0, 30);
	tcase_add_loop_test(
		tcase, a_change_is_known_in_time_when_the_relay_hangs, 0, 30);
	tcase_add_loop_test(
		tcase, a_change_is_known_in_time_when_the_relay_loses_the_store,
		0, 30);
	tcase_add_loop_test(
		tcase, a_change_is_known_in_time_when_the_relay_watches_in_vain,
		0, 30);
	tcase_add_loop_test(
		tcase, a_change_is_known_in_time_when_the_relay_is_not_heard, 0,
		30);
	tcase_add_loop_test(
		tcase, a_change_is_known_in_time_when_the_relay_hears_nothing,
		0, 30);
	tcase_add_test(tcase, two_relays_bring_no_earlier_version_back);
	tcase_add_loop_test(tcase, late_messages_do_not_look_fresh, 0, 10);
	tcase_add_test(
		tcase,
		a_host_without_a_path_to_the_store_learns_through_its_relay);
	tcase_add_test(tcase, after_an_outage_the_relay_tells_first);
	tcase_add_loop_test(
		tcase,
		a_host_follows_the_store_when_its_relay_goes_after_answering_a_list,
		0, 28);
	tcase_add_loop_test(
		tcase, a_change_is_known_in_time_when_the_watch_tells_nothing,
		0, 28);
	tcase_add_loop_test(
		tcase,
		a_change_is_known_in_time_after_faults_and_changes_of_relays, 0,
		RANDOM_RUNS);
	tcase_add_loop_test(tcase, all_hosts_agree_in_the_end, 0, RANDOM_RUNS);
	tcase_add_loop_test(
		tcase,
		a_change_is_known_in_time_beside_a_key_that_no_relay_can_tell,
		0, 10);
	tcase_add_loop_test(
		tcase,
		a_change_is_known_in_time_beside_values_too_large_for_a_relay,
		0, 10);
	tcase_add_test(tcase, a_late_change_does_not_bring_a_deleted_key_back);
	tcase_add_test(tcase,
		       an_earlier_deletion_does_not_remove_a_later_value);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
