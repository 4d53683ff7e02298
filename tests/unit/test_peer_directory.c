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

static void start_host(size_t index)
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

	snprintf(self.name, sizeof(self.name), "host-%zu", index);
	snprintf(self.address, sizeof(self.address), "10.0.0.%zu:7000", index);
	text_copy(self.failure_domain, sizeof(self.failure_domain), "a");
	memset(&key, (int)index + 1, sizeof(key));
	host->key_known = false;
	fake_store_init(&host->store, &server);
	host->directory = peer_directory_new(&self, &key, index + 1,
					     &host->store.store, &world.clock,
					     &events);
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

static void play_ms(int64_t duration_ms)
{
	int64_t until_us = world.now_us + duration_ms * TGW_US_PER_MS;

	while (world.now_us < until_us) {
		for (size_t i = 0; i < HOSTS; i++)
			if (hosts[i].directory)
				peer_directory_tick(hosts[i].directory);
		fake_world_advance(&world, STEP_US);
	}
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

int main(void)
{
	Suite *suite = suite_create("peer_directory");
	TCase *tcase = tcase_create("core");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase,
		       hosts_that_start_together_know_each_other_and_one_key);
	tcase_add_test(tcase, a_later_host_knows_the_others_at_once);
	tcase_add_test(tcase, a_host_that_starts_in_an_outage_goes_on_trying);
	tcase_add_test(tcase, a_lost_response_does_not_change_the_key);
	tcase_add_test(tcase, a_damaged_key_is_reported_and_not_used);
	tcase_add_test(tcase, a_host_that_moved_replaces_its_record);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
