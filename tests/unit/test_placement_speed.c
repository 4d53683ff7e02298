/* Tests the choice among servers that report how long work takes: servers of
 * different speeds, streams that pause at slow ones, loads that are not known,
 * and a busy machine. */
#include <stdio.h>
#include <string.h>

#include "base/text.h"
#include "state/placement.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/random.h"
#include "unit/unit_main.h"

#define SERVERS 30
#define SLOTS 12
#define NOW_US (100 * TGW_US_PER_S)
#define PARTS 3000
/* Of three servers one needs 170 percent of the usual time, the others 70. */
#define FAST_PERCENT 70
#define SLOW_PERCENT 170
#define IS_SLOW(number) ((number) % 3 == 0)

static struct backend_table table;
static struct placement_request request;

static void put_servers(bool rated)
{
	for (int i = 0; i < SERVERS; i++) {
		struct backend_entry entry = {.slots = SLOTS, .born_ms = 1};
		struct backend_load load = {.slots = SLOTS, .running = 4};

		snprintf(entry.id, sizeof(entry.id), "server-%d", i);
		text_copy(entry.service, sizeof(entry.service), "model");
		snprintf(entry.address, sizeof(entry.address), "127.0.0.1:%d",
			 i + 1);
		text_copy(entry.failure_domain, sizeof(entry.failure_domain),
			  "east");
		if (rated)
			load.work_percent = IS_SLOW(i) ? SLOW_PERCENT
						       : FAST_PERCENT;
		backend_report(backend_table_put(&table, &entry), &load,
			       NOW_US);
	}
}

static void remove_servers(void)
{
	while (table.first) {
		table.first->running = 0;
		backend_table_remove(&table, table.first->entry.id);
	}
}

static void setup(void)
{
	memset(&table, 0, sizeof(table));
	memset(&request, 0, sizeof(request));
	request.service = "model";
	request.failure_domain = "east";
	request.now_us = NOW_US;
	put_servers(true);
}

static struct backend *choose(void)
{
	struct backend *chosen;

	ck_assert_int_eq(placement_choose(&table, &request, &chosen),
			 PLACEMENT_FOUND);
	return chosen;
}

static bool is_slow(const struct backend *backend)
{
	return IS_SLOW(strtol(backend->entry.id + strlen("server-"), NULL, 10));
}

/* @return how many of the shared parts are read at slow servers */
static int parts_at_slow_servers(void)
{
	int count = 0;

	for (uint64_t part = 1; part <= PARTS; part++) {
		request.affinity = part * 7919;
		count += is_slow(choose());
	}
	return count;
}

/* Slow servers do 17 in 100 of the work: 10 / 1.7 of 10 / 1.7 + 20 / 0.7. */
START_TEST(servers_get_shared_parts_in_proportion_to_their_speed)
{
	int slow = parts_at_slow_servers();

	ck_assert_int_ge(slow, PARTS * 13 / 100);
	ck_assert_int_le(slow, PARTS * 21 / 100);
}
END_TEST

START_TEST(servers_that_report_no_speed_get_equal_parts)
{
	int slow;

	remove_servers();
	put_servers(false);
	slow = parts_at_slow_servers();
	ck_assert_int_ge(slow, PARTS * 28 / 100);
	ck_assert_int_le(slow, PARTS * 39 / 100);
}
END_TEST

/* Guards against prompts that are read again everywhere since one server's
 * speed has changed. */
START_TEST(a_servers_speed_moves_only_its_own_parts)
{
	struct backend *changed = backend_table_find(&table, "server-1");
	struct backend *before[PARTS];
	struct backend_load load = {
		.slots = SLOTS, .running = 4, .work_percent = 35};

	for (uint64_t part = 0; part < PARTS; part++) {
		request.affinity = (part + 1) * 7919;
		before[part] = choose();
	}
	backend_report(changed, &load, NOW_US);
	for (uint64_t part = 0; part < PARTS; part++) {
		struct backend *now;

		request.affinity = (part + 1) * 7919;
		now = choose();
		ck_assert(now == before[part] || now == changed);
	}
}
END_TEST

/* One stream in ten pauses for 350 ms at a server as the service expects it:
 * 245 ms at the fast ones, 595 ms at the slow ones. */
START_TEST(streams_do_not_go_where_they_would_pause_too_long)
{
	request.target_pause_ms = 400;
	request.long_pause_ms = 350;
	ck_assert_int_eq(parts_at_slow_servers(), 0);
	request.target_pause_ms = 600;
	ck_assert_int_gt(parts_at_slow_servers(), 0);
}
END_TEST

START_TEST(streams_that_would_pause_everywhere_go_to_all)
{
	request.target_pause_ms = 100;
	request.long_pause_ms = 350;
	ck_assert_int_gt(parts_at_slow_servers(), 0);
}
END_TEST

START_TEST(streams_go_to_slow_servers_while_the_fast_ones_are_full)
{
	struct backend_load busy = {.slots = SLOTS,
				    .running = SLOTS,
				    .waiting = 20,
				    .work_percent = FAST_PERCENT};
	struct backend_load idle = {.slots = SLOTS,
				    .work_percent = SLOW_PERCENT};

	for (struct backend *backend = table.first; backend;
	     backend = backend->next)
		backend_report(backend, is_slow(backend) ? &idle : &busy,
			       NOW_US);
	request.target_pause_ms = 400;
	request.long_pause_ms = 350;
	ck_assert_int_gt(parts_at_slow_servers(), PARTS / 2);
}
END_TEST

/* Guards against a server that is taken for idle since nothing was heard of it:
 * it got more than its part. */
START_TEST(a_server_of_unknown_load_has_the_mean_load)
{
	int before = 0;
	int after = 0;
	struct backend *silent = backend_table_find(&table, "server-1");

	for (uint64_t part = 1; part <= PARTS; part++) {
		request.affinity = part * 7919;
		before += choose() == silent;
	}
	request.now_us = NOW_US + 3 * TGW_US_PER_S;
	for (struct backend *backend = table.first; backend;
	     backend = backend->next) {
		struct backend_load load = backend->reported;

		load.running = is_slow(backend) ? 4 : 10;
		if (backend != silent)
			backend_report(backend, &load, request.now_us);
	}
	for (uint64_t part = 1; part <= PARTS; part++) {
		request.affinity = part * 7919;
		after += choose() == silent;
	}
	ck_assert_int_le(after, before + PARTS / 100);
}
END_TEST

START_TEST(a_server_on_a_busy_machine_is_left_for_the_moment)
{
	request.affinity = 0;
	for (struct backend *backend = table.first; backend;
	     backend = backend->next) {
		struct backend_load load = backend->reported;

		if (!is_slow(backend))
			load.work_percent = FAST_PERCENT * 5 / 2;
		backend_report(backend, &load, NOW_US);
	}
	request.draw = 5;
	ck_assert(is_slow(choose()));
	request.now_us = NOW_US + TGW_US_PER_S;
	ck_assert(!is_slow(choose()));
}
END_TEST

/* Hosts hear of all loads, each by itself, and choose before they hear of the
 * others' requests. */
START_TEST(hosts_that_know_the_same_loads_do_not_all_choose_one_server)
{
	struct tgw_random random;

	tgw_random_init(&random, 3);
	for (int i = 0; i < 300; i++) {
		request.affinity = tgw_random_u64(&random) | 1;
		request.draw = tgw_random_u64(&random);
		choose()->failures_in_a_row++;
	}
	for (struct backend *backend = table.first; backend;
	     backend = backend->next)
		ck_assert_uint_le(backend->failures_in_a_row, 300 / 8);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("placement_speed");
	TCase *tcase = tcase_create("choice");

	tcase_add_checked_fixture(tcase, setup, remove_servers);
	tcase_add_test(tcase,
		       servers_get_shared_parts_in_proportion_to_their_speed);
	tcase_add_test(tcase, servers_that_report_no_speed_get_equal_parts);
	tcase_add_test(tcase, a_servers_speed_moves_only_its_own_parts);
	tcase_add_test(tcase,
		       streams_do_not_go_where_they_would_pause_too_long);
	tcase_add_test(tcase, streams_that_would_pause_everywhere_go_to_all);
	tcase_add_test(tcase,
		       streams_go_to_slow_servers_while_the_fast_ones_are_full);
	tcase_add_test(tcase, a_server_of_unknown_load_has_the_mean_load);
	tcase_add_test(tcase,
		       a_server_on_a_busy_machine_is_left_for_the_moment);
	tcase_add_test(
		tcase,
		hosts_that_know_the_same_loads_do_not_all_choose_one_server);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
