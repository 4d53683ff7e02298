/* Tests the choice of a backend server for a request: which servers are
 * avoided, how load is spread, and that all hosts send requests that share
 * parts of their prompts to the same server. */
#include "state/placement.h"

#include <stdio.h>
#include <string.h>

#include "base/text.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/random.h"
#include "unit/unit_main.h"

#define SERVERS 9
#define NOW_US (100 * TGW_US_PER_S)

static struct backend_table table;
static struct placement_request request;

static void put_server(struct backend_table *into, int number,
		       const char *failure_domain)
{
	struct backend_entry entry = {.slots = 64, .born_ms = 1};

	snprintf(entry.id, sizeof(entry.id), "server-%d", number);
	text_copy(entry.service, sizeof(entry.service), "model");
	text_copy(entry.address, sizeof(entry.address), "127.0.0.1:1");
	text_copy(entry.failure_domain, sizeof(entry.failure_domain),
		  failure_domain);
	backend_table_put(into, &entry);
}

static void remove_servers(struct backend_table *from)
{
	while (from->first) {
		from->first->running = 0;
		backend_table_remove(from, from->first->entry.id);
	}
}

static void setup(void)
{
	memset(&table, 0, sizeof(table));
	for (int i = 0; i < SERVERS; i++)
		put_server(&table, i, "east");
	memset(&request, 0, sizeof(request));
	request.service = "model";
	request.failure_domain = "east";
	request.now_us = NOW_US;
}

static void teardown(void)
{
	remove_servers(&table);
}

static struct backend *choose(void)
{
	struct backend *chosen;

	ck_assert_int_eq(placement_choose(&table, &request, &chosen),
			 PLACEMENT_FOUND);
	return chosen;
}

START_TEST(a_service_without_a_server_is_reported)
{
	struct backend *chosen;

	request.service = "other";
	ck_assert_int_eq(placement_choose(&table, &request, &chosen),
			 PLACEMENT_NO_SERVER);
	ck_assert_ptr_null(chosen);
}
END_TEST

START_TEST(a_draining_server_gets_no_new_requests)
{
	for (struct backend *backend = table.first->next; backend;
	     backend = backend->next)
		backend->entry.draining = true;
	for (uint64_t draw = 0; draw < 50; draw++) {
		request.draw = draw;
		request.affinity = draw;
		ck_assert_ptr_eq(choose(), table.first);
	}
	table.first->entry.draining = true;
	ck_assert_int_eq(placement_choose(&table, &request,
					  &(struct backend *){NULL}),
			 PLACEMENT_NO_SERVER);
}
END_TEST

START_TEST(a_request_tries_each_server_once)
{
	uint64_t tried[SERVERS];
	struct backend *chosen;

	request.tried = tried;
	for (int i = 0; i < SERVERS; i++) {
		chosen = choose();
		for (uint32_t j = 0; j < request.tried_count; j++)
			ck_assert_uint_ne(chosen->run_hash, tried[j]);
		tried[request.tried_count++] = chosen->run_hash;
	}
	ck_assert_int_eq(placement_choose(&table, &request, &chosen),
			 PLACEMENT_ALL_TRIED);
}
END_TEST

/* Its entry expired at the store while the request ran there, and is back. */
START_TEST(a_server_that_is_listed_again_is_not_tried_again)
{
	uint64_t tried;
	struct backend *running;
	struct backend *chosen;

	remove_servers(&table);
	put_server(&table, 0, "east");
	running = choose();
	tried = running->run_hash;
	request.tried = &tried;
	request.tried_count = 1;
	backend_begin(running, NOW_US);
	backend_table_remove(&table, "server-0");
	put_server(&table, 0, "east");
	ck_assert_int_eq(placement_choose(&table, &request, &chosen),
			 PLACEMENT_ALL_TRIED);
	backend_end(&table, running);
}
END_TEST

/* Memory of a removed server may be used for the next one. */
START_TEST(a_new_server_does_not_count_as_tried)
{
	uint64_t tried;

	remove_servers(&table);
	put_server(&table, 0, "east");
	tried = choose()->run_hash;
	request.tried = &tried;
	request.tried_count = 1;
	backend_table_remove(&table, "server-0");
	put_server(&table, 1, "east");
	ck_assert_str_eq(choose()->entry.id, "server-1");
}
END_TEST

START_TEST(full_servers_are_skipped_for_a_short_time)
{
	struct backend *chosen;

	for (struct backend *backend = table.first; backend;
	     backend = backend->next)
		backend_record_outcome(backend, BACKEND_REJECTED, NOW_US);
	ck_assert_int_eq(placement_choose(&table, &request, &chosen),
			 PLACEMENT_ALL_FULL);
	request.now_us += TGW_US_PER_S;
	choose();
}
END_TEST

START_TEST(an_unreachable_server_is_avoided_unless_all_are)
{
	struct backend *avoided = table.first;

	backend_record_outcome(avoided, BACKEND_UNREACHABLE, NOW_US);
	for (uint64_t draw = 0; draw < 100; draw++) {
		request.draw = draw;
		request.affinity = draw | 1;
		ck_assert_ptr_ne(choose(), avoided);
	}
	for (struct backend *backend = table.first; backend;
	     backend = backend->next)
		backend_record_outcome(backend, BACKEND_UNREACHABLE, NOW_US);
	choose();
}
END_TEST

START_TEST(a_server_that_fails_half_its_requests_is_rarely_chosen)
{
	struct backend *failing = table.first;
	int chosen_count = 0;

	for (int i = 0; i < 40; i++)
		backend_record_outcome(failing,
				       i % 2 ? BACKEND_FAILED : BACKEND_SERVED,
				       NOW_US);
	for (uint64_t draw = 0; draw < 900; draw++) {
		request.draw = draw;
		request.affinity = draw % 2 ? 0 : draw * 7919 + 1;
		chosen_count += choose() == failing;
	}
	ck_assert_int_lt(chosen_count, 20);
}
END_TEST

START_TEST(all_hosts_choose_the_same_server_for_a_shared_prompt_part)
{
	struct backend_table other = {0};

	/* The other host has added the servers in reverse order. */
	for (int i = SERVERS - 1; i >= 0; i--)
		put_server(&other, i, "west");
	for (uint64_t prompt_part = 1; prompt_part < 200; prompt_part++) {
		struct placement_request other_request = request;
		struct backend *chosen;

		request.affinity = prompt_part;
		request.draw = prompt_part * 31;
		other_request.affinity = prompt_part;
		other_request.failure_domain = "west";
		placement_choose(&other, &other_request, &chosen);
		ck_assert_str_eq(choose()->entry.id, chosen->entry.id);
	}
	remove_servers(&other);
}
END_TEST

START_TEST(a_frequent_prompt_part_does_not_overload_its_server)
{
	uint32_t max_running = 0;

	request.affinity = 17;
	for (int i = 0; i < 270; i++)
		backend_begin(choose(), NOW_US);
	for (struct backend *backend = table.first; backend;
	     backend = backend->next)
		if (backend->running > max_running)
			max_running = backend->running;
	ck_assert_uint_le(max_running, 2 * 270 / SERVERS + 8);
}
END_TEST

START_TEST(prompt_parts_are_spread_over_the_servers)
{
	for (uint64_t prompt_part = 1; prompt_part <= 900; prompt_part++) {
		request.affinity = prompt_part * 7919;
		backend_begin(choose(), NOW_US);
	}
	for (struct backend *backend = table.first; backend;
	     backend = backend->next)
		ck_assert_uint_le(backend->running, 250);
}
END_TEST

START_TEST(long_and_short_prompts_go_to_different_servers)
{
	bool serves_long[SERVERS] = {false};
	bool serves_short[SERVERS] = {false};

	for (uint64_t prompt_part = 1; prompt_part < 200; prompt_part++) {
		int number;

		request.affinity = prompt_part * 7919;
		request.prompt_tokens = 50000;
		number = choose()->entry.id[strlen("server-")] - '0';
		serves_long[number] = true;
		request.prompt_tokens = 900;
		number = choose()->entry.id[strlen("server-")] - '0';
		serves_short[number] = true;
	}
	for (int i = 0; i < SERVERS; i++)
		ck_assert(!(serves_long[i] && serves_short[i]));
}
END_TEST

START_TEST(servers_of_the_local_domain_are_preferred_at_equal_load)
{
	struct backend *remote;

	put_server(&table, 0, "west");
	remote = backend_table_find(&table, "server-0");
	for (uint64_t draw = 0; draw < 100; draw++) {
		request.draw = draw;
		ck_assert_ptr_ne(choose(), remote);
	}
	for (struct backend *backend = table.first; backend;
	     backend = backend->next)
		backend->running = backend == remote ? 0 : 40;
	ck_assert_ptr_eq(choose(), remote);
}
END_TEST

START_TEST(a_restarted_server_is_no_longer_avoided)
{
	struct backend *backend = backend_table_find(&table, "server-3");
	struct backend_entry entry = backend->entry;

	backend_record_outcome(backend, BACKEND_UNREACHABLE, NOW_US);
	entry.born_ms = 2;
	backend = backend_table_put(&table, &entry);
	ck_assert_int_eq(backend->avoid_until_us, 0);
	ck_assert_uint_eq(table.count, SERVERS);
}
END_TEST

static struct backend_entry entry_of_age(const char *id, int64_t born_ms)
{
	struct backend_entry entry = {
		.slots = 64,
		.born_ms = born_ms,
		.sequence = 1,
	};

	text_copy(entry.id, sizeof(entry.id), id);
	text_copy(entry.service, sizeof(entry.service), "other");
	text_copy(entry.address, sizeof(entry.address), "127.0.0.1:2");
	text_copy(entry.failure_domain, sizeof(entry.failure_domain), "east");
	return entry;
}

START_TEST(of_two_servers_with_one_address_the_later_one_is_used)
{
	struct backend_entry first = entry_of_age("first", 1000);
	struct backend_entry second = entry_of_age("second", 2000);

	backend_table_put(&table, _i ? &second : &first);
	backend_table_put(&table, _i ? &first : &second);
	request.service = "other";
	for (request.draw = 0; request.draw < 20; request.draw++)
		ck_assert_str_eq(choose()->entry.id, "second");
}
END_TEST

START_TEST(a_server_that_lost_its_address_gets_no_requests)
{
	struct backend_entry entry = entry_of_age("first", 1000);
	struct backend *backend = backend_table_put(&table, &entry);
	struct backend *chosen;

	request.service = "other";
	ck_assert_ptr_eq(choose(), backend);
	backend_table_mark_address_reused(&table, backend);
	backend_table_put(&table, &entry);
	ck_assert_int_eq(placement_choose(&table, &request, &chosen),
			 PLACEMENT_NO_SERVER);
}
END_TEST

START_TEST(
	an_earlier_server_is_used_when_the_later_one_at_its_address_is_removed)
{
	struct backend_entry first = entry_of_age("first", 1000);
	struct backend_entry second = entry_of_age("second", 2000);

	struct backend_entry third = entry_of_age("third", 3000);
	struct backend *chosen;

	backend_table_put(&table, &first);
	backend_table_put(&table, &second);
	backend_table_put(&table, &third);
	request.service = "other";
	backend_table_remove(&table, "second");
	ck_assert_str_eq(choose()->entry.id, "third");
	backend_table_find(&table, "third")->entry.draining = true;
	ck_assert_int_eq(placement_choose(&table, &request, &chosen),
			 PLACEMENT_NO_SERVER);
	backend_table_remove(&table, "third");
	ck_assert_str_eq(choose()->entry.id, "first");
}
END_TEST

START_TEST(a_removed_server_is_kept_until_its_last_request_ends)
{
	struct backend *backend = backend_table_find(&table, "server-3");

	backend_begin(backend, NOW_US);
	backend_table_remove(&table, "server-3");
	ck_assert_uint_eq(table.count, SERVERS);
	ck_assert_ptr_null(backend_table_find(&table, "server-3"));
	backend_end(&table, backend);
	ck_assert_uint_eq(table.count, SERVERS - 1);
}
END_TEST

/* All requests at a server time out at once while it pauses. */
static struct backend *pause_one_server(void)
{
	struct backend *paused;

	request.affinity = 1;
	paused = choose();
	request.affinity = 0;
	for (int i = 0; i < 20; i++)
		backend_record_outcome(paused, BACKEND_TIMED_OUT, NOW_US);
	return paused;
}

START_TEST(a_server_that_paused_is_avoided)
{
	struct backend *paused = pause_one_server();

	request.now_us = NOW_US + TGW_US_PER_S;
	for (int i = 0; i < 1000; i++) {
		request.draw = (uint64_t)i;
		ck_assert_ptr_ne(choose(), paused);
	}
}
END_TEST

START_TEST(a_server_that_paused_gets_its_share_again)
{
	struct backend *paused = pause_one_server();
	int chosen = 0;

	request.now_us = NOW_US + 10 * TGW_US_PER_S;
	for (int i = 0; i < 9000; i++) {
		request.draw = (uint64_t)i;
		request.affinity = _i ? (uint64_t)i * 2 + 1 : 0;
		chosen += choose() == paused;
	}
	ck_assert_int_ge(chosen, 500);
}
END_TEST

START_TEST(no_request_is_sent_to_servers_that_leave_or_rest)
{
	struct backend *leaving = backend_table_find(&table, "server-1");
	struct backend *resting = backend_table_find(&table, "server-2");

	backend_table_set_leaving(&table, &leaving->entry, LEAVING_BY_ANSWER,
				  NOW_US);
	backend_table_set_rest(&table, &resting->entry, TGW_US_PER_S, NOW_US);
	for (request.draw = 0; request.draw < 200; request.draw++) {
		struct backend *chosen;

		request.affinity = request.draw % 2 ? request.draw : 0;
		chosen = choose();
		ck_assert_ptr_ne(chosen, leaving);
		ck_assert_ptr_ne(chosen, resting);
	}
}
END_TEST

START_TEST(the_time_until_the_first_server_is_free_is_known_while_all_rest)
{
	struct backend *chosen;
	int number = SERVERS;

	for (struct backend *backend = table.first; backend;
	     backend = backend->next)
		backend_table_set_rest(&table, &backend->entry,
				       number-- * TGW_US_PER_S, NOW_US);
	ck_assert_int_eq(placement_choose(&table, &request, &chosen),
			 PLACEMENT_ALL_FULL);
	ck_assert_int_eq(placement_free_at_us(&table, "model", REGION_SET_ANY,
					      NOW_US),
			 NOW_US + TGW_US_PER_S);
	ck_assert_int_eq(placement_free_at_us(&table, "other", REGION_SET_ANY,
					      NOW_US),
			 SERVER_AVAILABILITY_NEVER_US);
	request.now_us = NOW_US + TGW_US_PER_S;
	backend_begin(choose(), request.now_us);
	/* Only one request is sent at the moment at which a rest ends. */
	ck_assert_int_eq(placement_choose(&table, &request, &chosen),
			 PLACEMENT_ALL_FULL);
}
END_TEST

START_TEST(a_service_whose_servers_all_leave_has_no_server)
{
	struct backend *chosen;

	for (struct backend *backend = table.first; backend;
	     backend = backend->next)
		backend_table_set_leaving(&table, &backend->entry,
					  LEAVING_BY_HOST, NOW_US);
	ck_assert_int_eq(placement_choose(&table, &request, &chosen),
			 PLACEMENT_NO_SERVER);
	ck_assert_int_eq(placement_free_at_us(&table, "model", REGION_SET_ANY,
					      NOW_US),
			 SERVER_AVAILABILITY_NEVER_US);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("placement");
	TCase *tcase = tcase_create("choices");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, a_service_without_a_server_is_reported);
	tcase_add_test(tcase, a_draining_server_gets_no_new_requests);
	tcase_add_test(tcase, a_request_tries_each_server_once);
	tcase_add_test(tcase, a_server_that_is_listed_again_is_not_tried_again);
	tcase_add_test(tcase, a_new_server_does_not_count_as_tried);
	tcase_add_test(tcase, full_servers_are_skipped_for_a_short_time);
	tcase_add_test(tcase, an_unreachable_server_is_avoided_unless_all_are);
	tcase_add_test(tcase,
		       a_server_that_fails_half_its_requests_is_rarely_chosen);
	tcase_add_test(
		tcase,
		all_hosts_choose_the_same_server_for_a_shared_prompt_part);
	tcase_add_test(tcase,
		       a_frequent_prompt_part_does_not_overload_its_server);
	tcase_add_test(tcase, prompt_parts_are_spread_over_the_servers);
	tcase_add_test(tcase, long_and_short_prompts_go_to_different_servers);
	tcase_add_test(tcase,
		       servers_of_the_local_domain_are_preferred_at_equal_load);
	tcase_add_loop_test(
		tcase, of_two_servers_with_one_address_the_later_one_is_used, 0,
		2);
	tcase_add_test(tcase, a_server_that_lost_its_address_gets_no_requests);
	tcase_add_test(
		tcase,
		an_earlier_server_is_used_when_the_later_one_at_its_address_is_removed);
	tcase_add_test(tcase, a_restarted_server_is_no_longer_avoided);
	tcase_add_test(tcase,
		       a_removed_server_is_kept_until_its_last_request_ends);
	tcase_add_test(tcase, a_server_that_paused_is_avoided);
	tcase_add_loop_test(tcase, a_server_that_paused_gets_its_share_again, 0,
			    2);
	tcase_add_test(tcase, no_request_is_sent_to_servers_that_leave_or_rest);
	tcase_add_test(
		tcase,
		the_time_until_the_first_server_is_free_is_known_while_all_rest);
	tcase_add_test(tcase, a_service_whose_servers_all_leave_has_no_server);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
