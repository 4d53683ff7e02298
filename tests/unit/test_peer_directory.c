/* Tests how the hosts of a fleet find each other through the store. */
#include "coordination/peer_directory.h"

#include <stdio.h>
#include <string.h>

#include "base/text.h"
#include "fakes/fake_store.h"
#include "fakes/fake_world.h"
#include "unit/unit_main.h"

#define HOSTS 20
#define STEP_US (50 * TGW_US_PER_MS)
#define KEY_NAME "tgw/peers/key"

struct host {
	struct fake_store store;
	struct peer_directory *directory;
	bool key_known;
	struct peer_key key;
	int changes;
	int failures;
};

static struct fake_world world;
static struct fake_store_server server;
static struct host hosts[HOSTS];

static void on_key(void *arg, const struct peer_key *key)
{
	struct host *host = arg;

	ck_assert(!host->key_known);
	host->key_known = true;
	host->key = *key;
}

static void on_changed(void *arg)
{
	((struct host *)arg)->changes++;
}

static void on_failed(void *arg, const char *reason)
{
	((struct host *)arg)->failures++;
}

/* @param name of a host that was replaced is another one's later */
static void start_named_host(size_t index, const char *name)
{
	struct host *host = &hosts[index];
	struct peer_host self = {.memory_mb = 160};
	struct peer_key key;
	struct peer_directory_events events = {
		.key = on_key,
		.changed = on_changed,
		.failed = on_failed,
		.arg = host,
	};

	text_copy(self.name, sizeof(self.name), name);
	snprintf(self.address, sizeof(self.address), "10.0.0.%zu:7000", index);
	text_copy(self.failure_domain, sizeof(self.failure_domain), "a");
	memset(&key, (int)index + 1, sizeof(key));
	host->key_known = false;
	if (!host->store.server)
		fake_store_init(&host->store, &server);
	host->directory = peer_directory_new(&self, &key, index + 1,
					     &host->store.store, &world.clock,
					     &events);
}

static void start_host(size_t index)
{
	char name[TGW_NAME_SIZE];

	snprintf(name, sizeof(name), "host-%zu", index);
	start_named_host(index, name);
}

static void stop_host(size_t index)
{
	peer_directory_free(hosts[index].directory);
	hosts[index].directory = NULL;
	fake_store_reset(&hosts[index].store);
}

static void setup(void)
{
	memset(hosts, 0, sizeof(hosts));
	fake_world_init(&world, 1);
	fake_store_server_init(&server, &world);
}

static void teardown(void)
{
	for (size_t i = 0; i < HOSTS; i++)
		if (hosts[i].directory)
			stop_host(i);
	fake_world_clear(&world);
	fake_store_server_clear(&server);
}

static void play_steps(int64_t duration_us, int64_t step_us)
{
	int64_t until_us = world.now_us + duration_us;

	while (world.now_us < until_us) {
		for (size_t i = 0; i < HOSTS; i++)
			if (hosts[i].directory)
				peer_directory_tick(hosts[i].directory);
		fake_world_advance(&world, step_us);
	}
}

static void play_ms(int64_t duration_ms)
{
	play_steps(duration_ms * TGW_US_PER_MS, STEP_US);
}

static void play_minutes(int64_t minutes)
{
	play_steps(minutes * 60 * TGW_US_PER_S, TGW_US_PER_S);
}

/* @return the hosts that have a record in the store */
static size_t stored_count(void)
{
	size_t count = 0;

	for (size_t i = 0; i < server.key_count; i++)
		count += server.keys[i].value &&
			 strcmp(server.keys[i].name, KEY_NAME) != 0;
	return count;
}

static size_t count_of(size_t index)
{
	size_t count;

	peer_directory_hosts(hosts[index].directory, &count);
	return count;
}

START_TEST(hosts_that_start_together_know_each_other_and_one_key)
{
	for (size_t i = 0; i < HOSTS; i++)
		start_host(i);
	play_ms(3000);
	for (size_t i = 0; i < HOSTS; i++) {
		ck_assert(hosts[i].key_known);
		ck_assert_mem_eq(&hosts[i].key, &hosts[0].key,
				 sizeof(hosts[0].key));
		ck_assert_uint_eq(count_of(i), HOSTS);
		ck_assert_int_ge(hosts[i].changes, 1);
	}
	/* Two lists, the host's record, and one attempt to write the key. */
	ck_assert_uint_le(server.reads + server.writes, 4 * HOSTS);
}
END_TEST

START_TEST(a_later_host_knows_the_others_at_once)
{
	for (size_t i = 0; i < HOSTS - 1; i++)
		start_host(i);
	play_ms(3000);
	start_host(HOSTS - 1);
	play_ms(200);
	ck_assert(hosts[HOSTS - 1].key_known);
	ck_assert_uint_eq(count_of(HOSTS - 1), HOSTS - 1);
	/* Another one learns of it once it gets a message from it. */
	ck_assert_ptr_null(peer_directory_find(hosts[0].directory, "host-19"));
	peer_directory_on_unknown(hosts[0].directory);
	play_ms(2500);
	ck_assert_ptr_nonnull(
		peer_directory_find(hosts[0].directory, "host-19"));
}
END_TEST

START_TEST(hosts_that_restart_together_list_each_other_once)
{
	uint64_t reads;

	for (size_t i = 0; i < HOSTS; i++)
		start_host(i);
	play_ms(5000);
	for (size_t i = 0; i < HOSTS; i++)
		stop_host(i);
	reads = server.reads;
	for (size_t i = 0; i < HOSTS; i++)
		start_host(i);
	play_ms(5000);
	for (size_t i = 0; i < HOSTS; i++)
		ck_assert_uint_eq(count_of(i), HOSTS);
	ck_assert_uint_eq(server.reads - reads, HOSTS);
}
END_TEST

START_TEST(a_host_that_starts_in_an_outage_goes_on_trying)
{
	fake_store_server_set_outage(&server, true);
	start_host(0);
	play_ms(5000);
	ck_assert(!hosts[0].key_known);
	ck_assert_int_gt(hosts[0].failures, 0);
	fake_store_server_set_outage(&server, false);
	play_ms(5000);
	ck_assert(hosts[0].key_known);
	ck_assert_uint_eq(count_of(0), 1);
}
END_TEST

START_TEST(a_lost_response_does_not_change_the_key)
{
	start_host(0);
	start_host(1);
	hosts[0].store.lose_answers = 2;
	hosts[1].store.lose_answers = 1;
	play_ms(8000);
	ck_assert(hosts[0].key_known && hosts[1].key_known);
	ck_assert_mem_eq(&hosts[0].key, &hosts[1].key, sizeof(hosts[0].key));
	ck_assert_uint_eq(count_of(0), 2);
}
END_TEST

START_TEST(a_damaged_key_is_reported_and_not_used)
{
	uint64_t calls;

	fake_store_server_put(&server, KEY_NAME, "damaged", 7);
	start_host(0);
	play_ms(2000);
	ck_assert(!hosts[0].key_known);
	ck_assert_int_gt(hosts[0].failures, 0);
	calls = server.reads + server.writes;
	play_ms(20000);
	/* It is tried again, but seldom. */
	ck_assert_uint_le(server.reads + server.writes - calls, 40);
}
END_TEST

START_TEST(a_host_that_moved_replaces_its_record)
{
	struct peer_host moved = {.memory_mb = 160, .name = "host-0"};
	struct buffer bytes = {0};
	const struct peer_host *found;

	text_copy(moved.address, sizeof(moved.address), "10.9.9.9:7000");
	peer_host_encode(&moved, &bytes);
	fake_store_server_put(&server, "tgw/peers/hosts/host-0", bytes.data,
			      bytes.size);
	buffer_free(&bytes);
	start_host(0);
	start_host(1);
	play_ms(3000);
	found = peer_directory_find(hosts[1].directory, "host-0");
	ck_assert_ptr_nonnull(found);
	ck_assert_str_eq(found->address, "10.0.0.0:7000");
}
END_TEST

START_TEST(a_host_that_is_gone_is_listed_for_an_hour_at_most)
{
	for (size_t i = 0; i < HOSTS; i++)
		start_host(i);
	play_minutes(5);
	for (size_t i = HOSTS - 5; i < HOSTS; i++)
		stop_host(i);
	play_minutes(20);
	/* It may be restarting. */
	ck_assert_uint_eq(count_of(0), HOSTS);
	play_minutes(40);
	for (size_t i = 0; i < HOSTS - 5; i++)
		ck_assert_uint_eq(count_of(i), HOSTS - 5);
	ck_assert_uint_eq(stored_count(), HOSTS - 5);
	start_host(HOSTS - 1);
	play_minutes(3);
	ck_assert_uint_eq(count_of(0), HOSTS - 4);
}
END_TEST

START_TEST(hosts_that_live_stay_listed_with_few_calls)
{
	uint64_t calls;
	uint64_t writes;

	for (size_t i = 0; i < HOSTS; i++)
		start_host(i);
	play_minutes(5);
	calls = server.reads;
	writes = server.writes;
	for (int hour = 0; hour < 4; hour++) {
		play_minutes(60);
		for (size_t i = 0; i < HOSTS; i++)
			ck_assert_uint_eq(count_of(i), HOSTS);
	}
	/* A list in two minutes, and a record in ten. */
	ck_assert_uint_le(server.reads - calls, (uint64_t)4 * 31 * HOSTS);
	ck_assert_uint_le(server.writes - writes, (uint64_t)4 * 7 * HOSTS);
}
END_TEST

/* Nobody renews its record meanwhile. */
START_TEST(an_outage_of_hours_removes_no_host)
{
	for (size_t i = 0; i < HOSTS; i++)
		start_host(i);
	play_minutes(5);
	fake_store_server_set_outage(&server, true);
	play_minutes(180);
	fake_store_server_set_outage(&server, false);
	for (int minute = 0; minute < 60; minute++) {
		play_minutes(1);
		for (size_t i = 0; i < HOSTS; i++)
			ck_assert_uint_eq(count_of(i), HOSTS);
	}
	ck_assert_uint_eq(stored_count(), HOSTS);
}
END_TEST

/* One is cut off, and comes back when its record has been deleted. */
START_TEST(a_host_without_the_store_for_hours_is_listed_again)
{
	for (size_t i = 0; i < HOSTS; i++)
		start_host(i);
	play_minutes(5);
	fake_store_set_partitioned(&hosts[3].store, true);
	play_minutes(120);
	ck_assert_uint_eq(count_of(0), HOSTS - 1);
	ck_assert_uint_eq(stored_count(), HOSTS - 1);
	fake_store_set_partitioned(&hosts[3].store, false);
	play_minutes(5);
	ck_assert_uint_eq(count_of(0), HOSTS);
	ck_assert_uint_eq(count_of(3), HOSTS);
}
END_TEST

START_TEST(months_of_replaced_hosts_leave_no_records)
{
	for (size_t i = 0; i < HOSTS; i++)
		start_host(i);
	play_minutes(5);
	/* As many as the largest fleet replaces in ten days. */
	for (size_t replaced = 0; replaced < 700; replaced++) {
		size_t index = 1 + replaced % (HOSTS - 1);
		char name[TGW_NAME_SIZE];

		snprintf(name, sizeof(name), "later-%zu", replaced);
		stop_host(index);
		start_named_host(index, name);
		play_minutes(20);
		/* Those of the last hour, and those that live. */
		ck_assert_uint_le(stored_count(), HOSTS + 4);
	}
	play_minutes(65);
	ck_assert_uint_eq(count_of(0), HOSTS);
	ck_assert_uint_eq(stored_count(), HOSTS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("peer_directory");
	TCase *tcase = tcase_create("core");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase,
		       hosts_that_start_together_know_each_other_and_one_key);
	tcase_add_test(tcase, a_later_host_knows_the_others_at_once);
	tcase_add_test(tcase, hosts_that_restart_together_list_each_other_once);
	tcase_add_test(tcase, a_host_that_starts_in_an_outage_goes_on_trying);
	tcase_add_test(tcase, a_lost_response_does_not_change_the_key);
	tcase_add_test(tcase, a_damaged_key_is_reported_and_not_used);
	tcase_add_test(tcase, a_host_that_moved_replaces_its_record);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase,
		       a_host_that_is_gone_is_listed_for_an_hour_at_most);
	tcase_add_test(tcase, hosts_that_live_stay_listed_with_few_calls);
	tcase_add_test(tcase, an_outage_of_hours_removes_no_host);
	tcase_add_test(tcase,
		       a_host_without_the_store_for_hours_is_listed_again);
	tcase_add_test(tcase, months_of_replaced_hosts_leave_no_records);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
