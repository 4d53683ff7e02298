/* Tests hosts that follow the store's keys through a relay: what they know and
 * when, with relays that die, hang, lose the store or tell late, and that no
 * key goes back to an earlier version or comes back once it was deleted. */
#include "coordination/store_mirror.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "fakes/fake_world.h"
#include "state/mirror_table.h"
#include "unit/unit_main.h"

#define HOSTS 6
#define KEYS 8
#define PREFIX "routes/"
#define OTHER "servers/"
#define STEP_US (10 * TGW_US_PER_MS)
#define TICK_US (100 * TGW_US_PER_MS)
#define APPLY_US (2 * TGW_US_PER_S)
#define VALUE_SIZE 8
#define LARGE_SIZE 60000
#define RANDOM_RUNS 60
#define PREFIXES 2
#define DISCOVERY_US (2500 * TGW_US_PER_MS)
/* Within this time a starting host hears of the keys from its relay, or lists
 * them itself. */
#define START_WAIT_MS 1000
#define CHANGES 20

/** One host and what its owner of the watches was told. */
struct host {
	struct fake_store store;
	struct fake_net_end end;
	struct store_mirror *mirror;
	uint64_t handles[2];
	bool list_needed[2];
	bool listing[2];
	int values[2][KEYS]; /**< number in the value; 0: none */
	int64_t versions[2][KEYS];
	size_t value_size;
	int64_t tick_us;
	bool hung;
};

static const char *const prefixes[] = {PREFIX, OTHER};
static struct fake_world world;
static struct fake_store_server server;
static struct fake_net net;
static struct tgw_random fill;
static struct host hosts[HOSTS];
static int64_t discovery_us; /* of hosts that are started; 0: none */

/** A watch's owner. */
struct owner {
	struct host *host;
	int number;
};

static struct owner owners[HOSTS][2];

static void note(struct owner *owner, const struct tgw_store_entry *entry)
{
	struct host *host = owner->host;
	int key;

	key = (int)strtol(strrchr(entry->key, '-') + 1, NULL, 10);
	/* Owners compare versions only while a key exists. */
	if (entry->value && host->values[owner->number][key])
		ck_assert_int_ge(entry->version,
				 host->versions[owner->number][key]);
	host->versions[owner->number][key] = entry->version;
	host->values[owner->number][key] = 0;
	if (!entry->value)
		return;
	memcpy(&host->values[owner->number][key], entry->value, sizeof(int));
	host->value_size = entry->value_size;
}

static void on_changed(void *arg, const struct tgw_store_entry *entry)
{
	note(arg, entry);
}

static void on_lost(void *arg)
{
	struct owner *owner = arg;

	owner->host->list_needed[owner->number] = true;
}

static void on_list(void *arg, const struct tgw_store_result *result)
{
	struct owner *owner = arg;
	struct host *host = owner->host;

	host->listing[owner->number] = false;
	if (result->status != TGW_OK) {
		host->list_needed[owner->number] = true;
		return;
	}
	memset(host->values[owner->number], 0,
	       sizeof(host->values[owner->number]));
	for (size_t i = 0; i < result->entry_count; i++)
		note(owner, &result->entries[i]);
}

static void on_message(void *arg, const struct tgw_peer_message *message)
{
	struct host *host = arg;

	if (host->mirror)
		store_mirror_on_message(host->mirror, message);
}

/* @param number 0 deletes the key */
static void put_sized(int prefix, int key, int number, size_t size)
{
	static char value[LARGE_SIZE];
	char name[TGW_NAME_SIZE];

	/* Such bytes can't be compressed. */
	for (size_t i = 0; i < size; i++)
		value[i] = (char)tgw_random_u64(&fill);
	memcpy(value, &number, sizeof(number));
	snprintf(name, sizeof(name), "%skey-%d", prefixes[prefix], key);
	fake_store_server_put(&server, name, number ? value : NULL,
			      number ? size : 0);
}

static void put(int prefix, int key, int number)
{
	put_sized(prefix, key, number, VALUE_SIZE);
}

static void start_host(size_t index)
{
	struct host *host = &hosts[index];
	struct store_mirror_settings settings = {
		.prefixes = prefixes,
		.prefix_count = 2,
		.peer = &host->end.peer,
		.apply_us = APPLY_US,
		.discovery_us = discovery_us,
	};

	fake_net_restart(&host->end, tgw_random_u64(&world.random) | 1);
	host->mirror =
		store_mirror_new(&settings, &host->store.store, &world.clock);
	for (int i = 0; i < 2; i++) {
		struct tgw_store_watcher watcher = {
			.changed = on_changed,
			.lost = on_lost,
			.arg = &owners[index][i],
		};

		owners[index][i] = (struct owner){host, i};
		host->handles[i] = tgw_store_watch(
			store_mirror_store(host->mirror), prefixes[i], watcher);
		host->list_needed[i] = true;
	}
	if (index && !discovery_us)
		store_mirror_set_relay(host->mirror, "host-0");
}

static void kill_host(size_t index)
{
	struct host *host = &hosts[index];

	if (!host->mirror)
		return;
	for (int i = 0; i < 2; i++)
		tgw_store_unwatch(store_mirror_store(host->mirror),
				  host->handles[i]);
	store_mirror_free(host->mirror);
	host->mirror = NULL;
	host->end.up = false;
	memset(host->values, 0, sizeof(host->values));
	memset(host->versions, 0, sizeof(host->versions));
	memset(host->listing, 0, sizeof(host->listing));
	fake_store_reset(&host->store);
}

static void setup_seeded(uint64_t seed)
{
	memset(hosts, 0, sizeof(hosts));
	discovery_us = 0;
	tgw_random_init(&fill, seed);
	fake_world_init(&world, seed);
	fake_store_server_init(&server, &world);
	fake_net_init(&net, &world);
	fake_world_advance(&world, TGW_US_PER_S);
	put(0, 0, 1);
	for (size_t i = 0; i < HOSTS; i++) {
		char name[TGW_NAME_SIZE];

		snprintf(name, sizeof(name), "host-%zu", i);
		fake_store_init(&hosts[i].store, &server);
		fake_net_add(&net, &hosts[i].end, name, 0, on_message,
			     &hosts[i]);
		start_host(i);
	}
}

static void setup(void)
{
	setup_seeded(1);
}

static void teardown(void)
{
	for (size_t i = 0; i < HOSTS; i++)
		kill_host(i);
	fake_world_clear(&world);
	fake_store_server_clear(&server);
}

static void run_host(struct host *host)
{
	for (int i = 0; i < 2; i++) {
		if (!host->list_needed[i] || host->listing[i])
			continue;
		host->list_needed[i] = false;
		host->listing[i] = true;
		tgw_store_list(store_mirror_store(host->mirror), prefixes[i],
			       (struct tgw_store_callback){
				       on_list, &owners[host - hosts][i]});
	}
	if (world.now_us < host->tick_us)
		return;
	host->tick_us = world.now_us + TICK_US;
	store_mirror_tick(host->mirror);
}

static void play_ms(int64_t duration_ms)
{
	int64_t until_us = world.now_us + duration_ms * TGW_US_PER_MS;

	while (world.now_us < until_us) {
		for (size_t i = 0; i < HOSTS; i++)
			if (hosts[i].mirror && !hosts[i].hung)
				run_host(&hosts[i]);
		fake_world_advance(&world, STEP_US);
	}
}

static void check_known(int prefix, int key, int number)
{
	for (size_t i = 0; i < HOSTS; i++)
		if (hosts[i].mirror && !hosts[i].hung)
			ck_assert_msg(hosts[i].values[prefix][key] == number,
				      "host %zu knows %d of %s%d, not %d", i,
				      hosts[i].values[prefix][key],
				      prefixes[prefix], key, number);
}

static size_t count_following(void)
{
	size_t count = 0;

	for (size_t i = 1; i < HOSTS; i++)
		count += hosts[i].mirror &&
			 store_mirror_follows_relay(hosts[i].mirror);
	return count;
}

START_TEST(followers_learn_of_changes_without_store_calls)
{
	uint64_t calls;
	uint64_t watch_calls;

	put(0, 1, 10);
	play_ms(3000);
	ck_assert_uint_eq(count_following(), HOSTS - 1);
	ck_assert_uint_eq(store_mirror_follower_count(hosts[0].mirror),
			  HOSTS - 1);
	calls = server.reads;
	watch_calls = server.watch_calls;
	put(0, 1, 11);
	put(1, 2, 20);
	play_ms(1200);
	check_known(0, 1, 11);
	check_known(1, 2, 20);
	put(0, 1, 0);
	play_ms(1200);
	check_known(0, 1, 0);
	play_ms(10000);
	ck_assert_uint_eq(server.reads, calls);
	/* The relay alone watches: each 0.8 s both prefixes. */
	ck_assert_uint_le(server.watch_calls - watch_calls, 2 * 17);
}
END_TEST

START_TEST(a_large_change_arrives_whole)
{
	play_ms(3000);
	net.loss_per_1000 = 50;
	put_sized(0, 3, 30, LARGE_SIZE);
	play_ms(1800);
	check_known(0, 3, 30);
	for (size_t i = 0; i < HOSTS; i++)
		ck_assert_uint_eq(hosts[i].value_size, LARGE_SIZE);
}
END_TEST

START_TEST(a_change_is_known_in_time_when_the_relay_dies)
{
	play_ms(3000 + _i * 37);
	kill_host(0);
	put(0, 1, 12);
	put(1, 1, 0);
	play_ms(APPLY_US / TGW_US_PER_MS - 200);
	check_known(0, 1, 12);
}
END_TEST

START_TEST(a_change_is_known_in_time_when_the_relay_hangs)
{
	play_ms(3000 + _i * 37);
	hosts[0].hung = true;
	hosts[0].end.paused = true;
	hosts[0].store.paused = true;
	put(0, 1, 12);
	play_ms(APPLY_US / TGW_US_PER_MS - 200);
	check_known(0, 1, 12);
	/* What it says after the pause is old. */
	put(0, 1, 13);
	play_ms(1500);
	hosts[0].hung = false;
	hosts[0].end.paused = false;
	hosts[0].store.paused = false;
	play_ms(APPLY_US / TGW_US_PER_MS);
	check_known(0, 1, 13);
	play_ms(3000);
	ck_assert_uint_eq(count_following(), HOSTS - 1);
}
END_TEST

START_TEST(a_change_is_known_in_time_when_the_relay_loses_the_store)
{
	play_ms(3000 + _i * 37);
	fake_store_set_partitioned(&hosts[0].store, true);
	put(0, 1, 12);
	play_ms(APPLY_US / TGW_US_PER_MS - 200);
	for (size_t i = 1; i < HOSTS; i++)
		ck_assert_int_eq(hosts[i].values[0][1], 12);
	fake_store_set_partitioned(&hosts[0].store, false);
	play_ms(4000);
	check_known(0, 1, 12);
	ck_assert_uint_eq(count_following(), HOSTS - 1);
}
END_TEST

/* Its watch is silent: nothing tells it that the store has changes. */
START_TEST(a_change_is_known_in_time_when_the_relay_watches_in_vain)
{
	play_ms(3000 + _i * 37);
	hosts[0].store.watch_broken = true;
	put(0, 1, 12);
	play_ms(APPLY_US / TGW_US_PER_MS - 200);
	for (size_t i = 1; i < HOSTS; i++)
		ck_assert_int_eq(hosts[i].values[0][1], 12);
}
END_TEST

START_TEST(a_change_is_known_in_time_when_the_relay_is_not_heard)
{
	play_ms(3000 + _i * 37);
	hosts[0].end.sends_nothing = true;
	put(0, 1, 12);
	play_ms(APPLY_US / TGW_US_PER_MS - 200);
	check_known(0, 1, 12);
}
END_TEST

START_TEST(a_change_is_known_in_time_when_the_relay_hears_nothing)
{
	play_ms(3000 + _i * 37);
	hosts[0].end.receives_nothing = true;
	put(0, 1, 12);
	play_ms(APPLY_US / TGW_US_PER_MS - 200);
	check_known(0, 1, 12);
	put(0, 1, 13);
	play_ms(APPLY_US / TGW_US_PER_MS - 200);
	check_known(0, 1, 13);
}
END_TEST

/* Hosts disagree on the relay, one of the two is behind, and they change
 * between them. */
START_TEST(two_relays_bring_no_earlier_version_back)
{
	play_ms(3000);
	for (size_t i = 3; i < HOSTS; i++)
		store_mirror_set_relay(hosts[i].mirror, "host-1");
	store_mirror_set_relay(hosts[1].mirror, "");
	play_ms(2000);
	hosts[1].store.watch_broken = true;
	for (int number = 20; number < 28; number++) {
		put(0, 1, number);
		put(1, 2, number % 2 ? number : 0);
		for (size_t i = 2; i < HOSTS; i++)
			store_mirror_set_relay(
				hosts[i].mirror,
				(number + (int)i) % 2 ? "host-0" : "host-1");
		play_ms(APPLY_US / TGW_US_PER_MS - 200);
		/* The one that is behind is not in touch with the store. */
		for (size_t i = 2; i < HOSTS; i++)
			ck_assert_int_eq(hosts[i].values[0][1], number);
	}
}
END_TEST

START_TEST(late_messages_do_not_look_fresh)
{
	play_ms(3000 + _i * 37);
	net.latency_us = 5 * TGW_US_PER_S;
	put(0, 1, 12);
	play_ms(APPLY_US / TGW_US_PER_MS - 200);
	check_known(0, 1, 12);
	put(0, 1, 13);
	play_ms(APPLY_US / TGW_US_PER_MS - 200);
	check_known(0, 1, 13);
}
END_TEST

START_TEST(a_host_without_a_path_to_the_store_learns_through_its_relay)
{
	play_ms(3000);
	for (size_t i = 1; i < HOSTS; i++)
		fake_store_set_partitioned(&hosts[i].store, true);
	put(0, 1, 12);
	play_ms(APPLY_US / TGW_US_PER_MS);
	check_known(0, 1, 12);
	/* A process that starts then, too. */
	kill_host(2);
	start_host(2);
	play_ms(3000);
	check_known(0, 1, 12);
}
END_TEST

START_TEST(after_an_outage_the_relay_tells_first)
{
	uint64_t calls;

	put(0, 1, 11);
	play_ms(3000);
	fake_store_server_set_outage(&server, true);
	play_ms(8000);
	put(0, 1, 12);
	calls = server.reads;
	fake_store_server_set_outage(&server, false);
	play_ms(4000);
	check_known(0, 1, 12);
	ck_assert_uint_eq(count_following(), HOSTS - 1);
	/* Both prefixes at the relay, and some at hosts that were just trying.
	 */
	ck_assert_uint_le(server.reads - calls, 2 * HOSTS);
}
END_TEST

/* @param relay_us when the relay is known, after the start; negative: never */
static void restart_all(int64_t relay_us)
{
	for (size_t i = 0; i < HOSTS; i++)
		kill_host(i);
	discovery_us = DISCOVERY_US;
	for (size_t i = 0; i < HOSTS; i++)
		start_host(i);
	if (relay_us < 0)
		return;
	play_ms(relay_us / TGW_US_PER_MS);
	for (size_t i = 0; i < HOSTS; i++)
		store_mirror_set_relay(hosts[i].mirror, i ? "host-0" : "");
}

static void put_large_list(void)
{
	for (int key = 0; key < KEYS; key++)
		put_sized(1, key, 1 + key, LARGE_SIZE);
}

static void check_large_list(void)
{
	for (int key = 0; key < KEYS; key++)
		check_known(1, key, 1 + key);
}

START_TEST(hosts_that_start_together_do_not_all_list_the_store)
{
	uint64_t reads;

	put_large_list();
	play_ms(3000);
	reads = server.reads;
	restart_all(50 * TGW_US_PER_MS);
	play_ms(1000);
	check_known(0, 0, 1);
	check_large_list();
	ck_assert_uint_eq(server.reads - reads, PREFIXES);
}
END_TEST

START_TEST(a_starting_host_lists_the_store_if_its_relay_is_silent)
{
	put_large_list();
	restart_all(50 * TGW_US_PER_MS);
	hosts[0].hung = true;
	hosts[0].end.paused = true;
	play_ms(START_WAIT_MS + 200);
	check_known(0, 0, 1);
	check_large_list();
}
END_TEST

START_TEST(a_starting_host_lists_the_store_if_the_relay_breaks_off)
{
	put_large_list();
	restart_all(50 * TGW_US_PER_MS);
	net.loss_per_1000 = 900;
	play_ms(150);
	hosts[0].hung = true;
	hosts[0].end.paused = true;
	play_ms(START_WAIT_MS + 400);
	check_known(0, 0, 1);
	check_large_list();
}
END_TEST

START_TEST(a_starting_host_lists_the_store_at_once_if_its_relay_has_lost_it)
{
	fake_store_set_partitioned(&hosts[0].store, true);
	restart_all(50 * TGW_US_PER_MS);
	play_ms(400);
	for (size_t i = 1; i < HOSTS; i++)
		ck_assert_int_eq(hosts[i].values[0][0], 1);
}
END_TEST

START_TEST(a_starting_host_without_a_relay_lists_the_store)
{
	restart_all(-1);
	play_ms(DISCOVERY_US / TGW_US_PER_MS + 200);
	check_known(0, 0, 1);
}
END_TEST

/* With thousands of keys, some of them change all the time. */
START_TEST(changes_meanwhile_do_not_make_hosts_fetch_a_large_one_anew)
{
	uint64_t parts = (HOSTS - 1) * (LARGE_SIZE / CHANGE_PART_MAX_BYTES + 1);
	uint64_t sent;

	play_ms(3000);
	hosts[0].end.link_bytes_per_s = 300000;
	sent = store_mirror_get_counters(hosts[0].mirror)->changes_sent;
	put_sized(0, 3, 30, LARGE_SIZE);
	for (int i = 0; i < CHANGES; i++) {
		play_ms(60);
		put(0, 1, 100 + i);
	}
	play_ms(1200);
	check_known(0, 3, 30);
	check_known(0, 1, 100 + CHANGES - 1);
	sent = store_mirror_get_counters(hosts[0].mirror)->changes_sent - sent;
	ck_assert_uint_le(sent, parts * 5 / 4 + (HOSTS - 1) * CHANGES * 2);
}
END_TEST

/* Parts for some hosts wait behind those for others. */
START_TEST(a_busy_link_of_the_relay_does_not_lead_to_repeated_parts)
{
	uint64_t parts = (HOSTS - 1) * (LARGE_SIZE / CHANGE_PART_MAX_BYTES + 1);
	uint64_t sent;

	play_ms(3000);
	hosts[0].end.link_bytes_per_s = 300000;
	sent = store_mirror_get_counters(hosts[0].mirror)->changes_sent;
	put_sized(0, 3, 30, LARGE_SIZE);
	play_ms(1800);
	check_known(0, 3, 30);
	sent = store_mirror_get_counters(hosts[0].mirror)->changes_sent - sent;
	ck_assert_uint_le(sent, parts * 5 / 4);
}
END_TEST

/* All is sent at random while messages are lost, repeated and late, and hosts
 * and their paths fail. In the end all hosts know what the store has. */
START_TEST(all_hosts_agree_in_the_end)
{
	int numbers[2][KEYS] = {{1}};

	teardown();
	setup_seeded((uint64_t)_i + 1);
	net.loss_per_1000 = 100;
	net.duplicate_per_1000 = 100;
	net.jitter_us = 30 * TGW_US_PER_MS;
	net.late_per_1000 = 50;
	net.late_us = 5 * TGW_US_PER_S;
	net.delivers_to_successors = true;
	for (int step = 1; step < 120; step++) {
		int prefix = (int)tgw_random_below(&world.random, 2);
		int key = (int)tgw_random_below(&world.random, KEYS);
		size_t host = tgw_random_below(&world.random, HOSTS);
		int number = tgw_random_below(&world.random, 3) ? step : 0;

		numbers[prefix][key] = number;
		put(prefix, key, number);
		play_ms((int64_t)tgw_random_below(&world.random, 300));
		switch (tgw_random_below(&world.random, 12)) {
		case 0:
			if (hosts[host].mirror)
				kill_host(host);
			else
				start_host(host);
			break;
		case 1:
			fake_store_set_partitioned(
				&hosts[host].store,
				!hosts[host].store.partitioned);
			break;
		case 2:
			hosts[host].end.receives_nothing =
				!hosts[host].end.receives_nothing;
			break;
		default:
			break;
		}
	}
	for (size_t i = 0; i < HOSTS; i++) {
		fake_store_set_partitioned(&hosts[i].store, false);
		hosts[i].end.receives_nothing = false;
		if (!hosts[i].mirror)
			start_host(i);
	}
	net.late_per_1000 = 0;
	play_ms(6000);
	for (int prefix = 0; prefix < 2; prefix++)
		for (int key = 0; key < KEYS; key++)
			check_known(prefix, key, numbers[prefix][key]);
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

int main(void)
{
	Suite *suite = suite_create("store_mirror");
	TCase *tcase = tcase_create("core");

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
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
	tcase_add_test(tcase,
		       hosts_that_start_together_do_not_all_list_the_store);
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
	tcase_add_loop_test(tcase, all_hosts_agree_in_the_end, 0, RANDOM_RUNS);
	tcase_add_test(tcase, a_late_change_does_not_bring_a_deleted_key_back);
	tcase_add_test(tcase,
		       an_earlier_deletion_does_not_remove_a_later_value);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
