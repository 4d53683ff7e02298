/* Tests what hosts share about requests that crashed servers, in virtual time:
 * propagation, requests that were served, restarts, store faults, expiry
 * and damaged values. */
#include "coordination/request_quarantine.h"

#include <stdio.h>
#include <string.h>

#include "fakes/fake_store.h"
#include "state/quarantine_report.h"
#include "unit/unit_main.h"

#define HOSTS 3
#define STEP_US (50 * TGW_US_PER_MS)
/* Time for all hosts that reach the store to know. */
#define CONTACT_US (3 * TGW_US_PER_S)
#define HOUR_US (INT64_C(3600) * TGW_US_PER_S)
#define LISTED_AFTER_CRASH_US (5 * TGW_US_PER_S)
#define KEY_OF_HOST_0 "tgw/crashes/host-0"

struct test_host {
	struct fake_store store;
	struct request_quarantine *quarantine;
	unsigned int changes;
	unsigned int failures;
};

static const struct tgw_fingerprint deadly = {{1}};
static const struct tgw_fingerprint innocent = {{2}};

static struct fake_world world;
static struct fake_store_server server;
static struct test_host hosts[HOSTS];
/* What the lists of servers of all hosts say about each server. */
static enum crash_records_server server_state;

static enum crash_records_server get_server_state(void *arg, uint64_t run)
{
	return server_state;
}

static void on_changed(void *arg, const struct quarantine_item *item,
		       bool refused)
{
	struct test_host *host = arg;

	host->changes++;
}

static void on_failed(void *arg, const char *key, const char *message)
{
	struct test_host *host = arg;

	host->failures++;
}

static void start_host(int number)
{
	struct test_host *host = &hosts[number];
	struct request_quarantine_settings settings = {
		.listed_after_crash_us = LISTED_AFTER_CRASH_US,
	};
	struct request_quarantine_events events = {
		.records =
			{
				.server_state = get_server_state,
				.changed = on_changed,
				.arg = host,
			},
		.failed = on_failed,
		.arg = host,
	};

	snprintf(settings.host, sizeof(settings.host), "host-%d", number);
	host->quarantine = request_quarantine_new(&settings, &host->store.store,
						  &world.clock, &events);
}

static void kill_host(int number)
{
	fake_store_reset(&hosts[number].store);
	request_quarantine_free(hosts[number].quarantine);
	hosts[number].quarantine = NULL;
}

static void advance(int64_t span_us)
{
	int64_t until_us = world.now_us + span_us;

	while (world.now_us < until_us) {
		for (int i = 0; i < HOSTS; i++)
			if (hosts[i].quarantine)
				request_quarantine_tick(hosts[i].quarantine);
		fake_world_advance(&world, STEP_US);
	}
}

static void setup(void)
{
	memset(hosts, 0, sizeof(hosts));
	server_state = CRASH_RECORDS_SERVER_UNLISTED;
	fake_world_init(&world, 1);
	fake_store_server_init(&server, &world);
	for (int i = 0; i < HOSTS; i++) {
		fake_store_init(&hosts[i].store, &server);
		start_host(i);
	}
	advance(CONTACT_US);
}

static void teardown(void)
{
	for (int i = 0; i < HOSTS; i++)
		if (hosts[i].quarantine)
			kill_host(i);
	fake_world_clear(&world);
	fake_store_server_clear(&server);
}

static struct request_identity whole_request(
	const struct tgw_fingerprint *fingerprint)
{
	struct request_identity identity = {
		.team = "acme",
		.whole = *fingerprint,
	};

	return identity;
}

static void crash(int host, const struct tgw_fingerprint *fingerprint,
		  uint64_t server_run)
{
	struct request_identity identity = whole_request(fingerprint);

	request_quarantine_on_crash(hosts[host].quarantine, &identity,
				    server_run, true);
	request_quarantine_tick(hosts[host].quarantine);
}

static void serve(int host, const struct tgw_fingerprint *fingerprint)
{
	struct request_identity identity = whole_request(fingerprint);

	request_quarantine_on_served(hosts[host].quarantine, &identity);
}

static int refusing_hosts(const struct tgw_fingerprint *fingerprint)
{
	struct request_identity identity = whole_request(fingerprint);
	int count = 0;

	for (int i = 0; i < HOSTS; i++)
		if (request_quarantine_is_refused(hosts[i].quarantine,
						  &identity))
			count++;
	return count;
}

static void quarantine_deadly_request(void)
{
	for (int i = 0; i < CRASH_RECORDS_UNTIL_REFUSED; i++)
		crash(i % HOSTS, &deadly, (uint64_t)i + 1);
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS);
}

START_TEST(crashes_at_different_hosts_add_up_at_all)
{
	crash(0, &deadly, 1);
	crash(1, &deadly, 2);
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), 0);
	crash(2, &deadly, 3);
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS);
	for (int i = 0; i < HOSTS; i++)
		ck_assert_uint_eq(hosts[i].changes, 1);
	ck_assert_int_eq(refusing_hosts(&innocent), 0);
}
END_TEST

START_TEST(a_server_that_several_hosts_report_counts_once)
{
	for (int i = 0; i < 2 * CRASH_RECORDS_UNTIL_REFUSED; i++)
		crash(i % HOSTS, &deadly, 7);
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), 0);
	ck_assert_uint_eq(
		request_quarantine_crashes(hosts[0].quarantine, &deadly), 1);
}
END_TEST

START_TEST(records_of_servers_that_stay_listed_are_dropped)
{
	server_state = CRASH_RECORDS_SERVER_LISTED;
	quarantine_deadly_request();
	advance(LISTED_AFTER_CRASH_US);
	ck_assert_int_eq(refusing_hosts(&deadly), 0);
	/* Nor do they count when the servers are unlisted later. */
	advance(CONTACT_US);
	server_state = CRASH_RECORDS_SERVER_UNLISTED;
	for (int i = 0; i < HOSTS; i++) {
		kill_host(i);
		start_host(i);
	}
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), 0);
}
END_TEST

START_TEST(records_are_kept_while_the_list_of_servers_is_out_of_date)
{
	server_state = CRASH_RECORDS_SERVER_UNKNOWN;
	quarantine_deadly_request();
	advance(10 * LISTED_AFTER_CRASH_US);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS);
}
END_TEST

START_TEST(a_request_that_was_served_is_cleared_at_all_hosts)
{
	if (_i)
		quarantine_deadly_request();
	else
		crash(0, &deadly, 1);
	advance(CONTACT_US);
	serve(1, &deadly);
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), 0);
	for (int i = 0; i < HOSTS; i++)
		ck_assert_uint_eq(request_quarantine_crashes(
					  hosts[i].quarantine, &deadly),
				  0);
}
END_TEST

START_TEST(a_request_that_was_served_just_before_is_not_recorded)
{
	serve(0, &innocent);
	for (uint64_t run = 1; run <= CRASH_RECORDS_UNTIL_REFUSED; run++)
		crash(0, &innocent, run);
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&innocent), 0);
	ck_assert_uint_eq(
		request_quarantine_crashes(hosts[0].quarantine, &innocent), 0);
}
END_TEST

START_TEST(a_restart_of_all_hosts_loses_no_record)
{
	quarantine_deadly_request();
	for (int i = 0; i < HOSTS; i++)
		kill_host(i);
	for (int i = 0; i < HOSTS; i++)
		start_host(i);
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS);
	/* Its key still has the earlier record after a new one. */
	crash(0, &innocent, 9);
	advance(CONTACT_US);
	for (int i = 0; i < HOSTS; i++) {
		kill_host(i);
		start_host(i);
	}
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS);
}
END_TEST

START_TEST(records_of_a_store_outage_are_shared_after_it)
{
	fake_store_server_set_outage(&server, true);
	for (int i = 0; i < CRASH_RECORDS_UNTIL_REFUSED; i++)
		crash(0, &deadly, (uint64_t)i + 1);
	advance(10 * TGW_US_PER_S);
	ck_assert_int_eq(refusing_hosts(&deadly), 1);
	fake_store_server_set_outage(&server, false);
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS);
}
END_TEST

START_TEST(a_host_whose_watch_is_silent_reads_the_keys_when_a_server_is_lost)
{
	hosts[2].store.watch_broken = true;
	for (int i = 0; i < CRASH_RECORDS_UNTIL_REFUSED; i++) {
		crash(0, &deadly, (uint64_t)i + 1);
		for (int host = 0; host < HOSTS; host++)
			request_quarantine_on_server_lost(
				hosts[host].quarantine);
	}
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS);
}
END_TEST

START_TEST(a_host_watches_anew_when_the_store_is_reachable_again)
{
	hosts[2].store.watch_broken = true;
	for (int i = 0; i < CRASH_RECORDS_UNTIL_REFUSED; i++)
		crash(0, &deadly, (uint64_t)i + 1);
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS - 1);
	request_quarantine_on_store_reachable(hosts[2].quarantine);
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS);
}
END_TEST

START_TEST(a_write_without_a_response_is_made_again)
{
	hosts[0].store.lose_requests = _i ? 2 : 0;
	hosts[0].store.lose_answers = _i ? 0 : 2;
	for (int i = 0; i < CRASH_RECORDS_UNTIL_REFUSED; i++)
		crash(0, &deadly, (uint64_t)i + 1);
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS);
	ck_assert_uint_eq(hosts[0].store.lose_answers, 0);
	ck_assert_uint_eq(hosts[0].store.lose_requests, 0);
}
END_TEST

START_TEST(a_key_that_the_store_lost_is_written_again)
{
	quarantine_deadly_request();
	fake_store_server_put(&server, KEY_OF_HOST_0, NULL, 0);
	advance(CONTACT_US);
	ck_assert_ptr_nonnull(fake_store_server_find(&server, KEY_OF_HOST_0));
	ck_assert_ptr_nonnull(
		fake_store_server_find(&server, KEY_OF_HOST_0)->value);
}
END_TEST

START_TEST(records_expire_and_keys_of_hosts_that_left_are_deleted)
{
	struct request_identity identity = whole_request(&deadly);
	const struct fake_store_key *key;

	quarantine_deadly_request();
	kill_host(0);
	advance(HOUR_US + 20 * TGW_US_PER_S);
	for (int i = 1; i < HOSTS; i++)
		ck_assert(!request_quarantine_is_refused(hosts[i].quarantine,
							 &identity));
	kill_host(1);
	start_host(1);
	advance(CONTACT_US);
	key = fake_store_server_find(&server, KEY_OF_HOST_0);
	ck_assert(!key || !key->value);
	start_host(0);
	advance(CONTACT_US);
	crash(0, &deadly, 4);
	advance(CONTACT_US);
	ck_assert_uint_eq(
		request_quarantine_crashes(hosts[2].quarantine, &deadly), 1);
}
END_TEST

START_TEST(a_damaged_value_is_reported_and_written_again_by_its_host)
{
	quarantine_deadly_request();
	fake_store_server_put(&server, KEY_OF_HOST_0, "damaged", 7);
	advance(CONTACT_US);
	for (int i = 0; i < HOSTS; i++)
		ck_assert_uint_ge(hosts[i].failures, 1);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS);
	for (int i = 0; i < HOSTS; i++) {
		kill_host(i);
		start_host(i);
		hosts[i].failures = 0;
	}
	advance(CONTACT_US);
	ck_assert_int_eq(refusing_hosts(&deadly), HOSTS);
	ck_assert_uint_eq(hosts[1].failures, 0);
}
END_TEST

START_TEST(hosts_make_no_writes_without_a_crash)
{
	uint64_t before = server.writes;

	serve(0, &innocent);
	advance(HOUR_US / 60);
	ck_assert_uint_eq(server.writes, before);
}
END_TEST

START_TEST(every_damaged_byte_of_a_report_is_found)
{
	struct quarantine_report report = {.written_us = 5};
	struct quarantine_report copy;
	struct quarantine_item item = {.fingerprint = deadly, .team = "acme"};
	struct buffer value = {0};

	item.crash_count = 1;
	quarantine_table_merge(&report.table, &item, 0);
	quarantine_report_encode(&report, &value);
	for (size_t at = 0; at < value.size; at++)
		for (int bit = 0; bit < 8; bit++) {
			value.data[at] ^= (char)(1 << bit);
			ck_assert_int_ne(
				quarantine_report_decode(&copy, value.data,
							 value.size, NULL),
				TGW_OK);
			value.data[at] ^= (char)(1 << bit);
		}
	ck_assert_int_eq(quarantine_report_decode(&copy, value.data, value.size,
						  NULL),
			 TGW_OK);
	ck_assert_uint_eq(copy.table.count, 1);
	quarantine_table_free(&copy.table);
	quarantine_table_free(&report.table);
	buffer_free(&value);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("request_quarantine");
	TCase *tcase = tcase_create("records");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, records_of_servers_that_stay_listed_are_dropped);
	tcase_add_test(
		tcase,
		records_are_kept_while_the_list_of_servers_is_out_of_date);
	tcase_add_test(tcase, crashes_at_different_hosts_add_up_at_all);
	tcase_add_test(tcase, a_server_that_several_hosts_report_counts_once);
	tcase_add_loop_test(
		tcase, a_request_that_was_served_is_cleared_at_all_hosts, 0, 2);
	tcase_add_test(tcase,
		       a_request_that_was_served_just_before_is_not_recorded);
	tcase_add_test(tcase, a_restart_of_all_hosts_loses_no_record);
	tcase_add_test(tcase, records_of_a_store_outage_are_shared_after_it);
	tcase_add_test(
		tcase,
		a_host_whose_watch_is_silent_reads_the_keys_when_a_server_is_lost);
	tcase_add_test(tcase,
		       a_host_watches_anew_when_the_store_is_reachable_again);
	tcase_add_loop_test(tcase, a_write_without_a_response_is_made_again, 0,
			    2);
	tcase_add_test(tcase, a_key_that_the_store_lost_is_written_again);
	tcase_add_test(tcase,
		       records_expire_and_keys_of_hosts_that_left_are_deleted);
	tcase_add_test(
		tcase,
		a_damaged_value_is_reported_and_written_again_by_its_host);
	tcase_add_test(tcase, hosts_make_no_writes_without_a_crash);
	tcase_add_test(tcase, every_damaged_byte_of_a_report_is_found);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
