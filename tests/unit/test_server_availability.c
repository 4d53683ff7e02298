/* Tests when a server may get a request, after what its answers and other hosts
 * said about it. */
#include "state/server_availability.h"

#include <string.h>

#include "base/text.h"
#include "state/backend_table.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define NOW_US (100 * TGW_US_PER_S)
#define REST_US (3 * TGW_US_PER_S)

static struct server_availability availability;

static void setup(void)
{
	memset(&availability, 0, sizeof(availability));
}

static bool is_free(int64_t now_us)
{
	return server_availability_free_at_us(&availability, now_us) <= now_us;
}

START_TEST(a_server_that_said_nothing_is_free)
{
	ck_assert(is_free(NOW_US));
	ck_assert(is_free(0));
}
END_TEST

START_TEST(a_rest_lasts_as_long_as_was_asked_for)
{
	server_availability_rest(&availability, REST_US, NOW_US);
	ck_assert_int_eq(server_availability_free_at_us(&availability, NOW_US),
			 NOW_US + REST_US);
	ck_assert(!is_free(NOW_US + REST_US - 1));
	ck_assert(is_free(NOW_US + REST_US));
}
END_TEST

START_TEST(a_request_that_is_served_during_a_rest_does_not_end_it)
{
	server_availability_rest(&availability, REST_US, NOW_US);
	server_availability_on_accepted(&availability, NOW_US + 1);
	ck_assert(!is_free(NOW_US + REST_US - 1));
}
END_TEST

START_TEST(a_later_answer_prolongs_a_rest_and_none_cuts_it_short)
{
	server_availability_rest(&availability, REST_US, NOW_US);
	server_availability_rest(&availability, REST_US / 2, NOW_US + 1);
	ck_assert(!is_free(NOW_US + REST_US - 1));
	server_availability_rest(&availability, REST_US, NOW_US + REST_US / 2);
	ck_assert(!is_free(NOW_US + REST_US));
	ck_assert(is_free(NOW_US + REST_US + REST_US / 2));
}
END_TEST

START_TEST(a_rest_after_a_rest_may_be_shorter)
{
	int64_t again_us = NOW_US + REST_US;

	server_availability_rest(&availability, REST_US, NOW_US);
	server_availability_rest(&availability, REST_US / 3, again_us);
	ck_assert(!is_free(again_us));
	ck_assert(is_free(again_us + REST_US / 3));
}
END_TEST

/* Sends a request whenever the server is free.
 * @return how many within the time */
static unsigned int send_for(int64_t from_us, int64_t span_us)
{
	unsigned int sent = 0;

	for (int64_t now_us = from_us; now_us < from_us + span_us;
	     now_us += TGW_US_PER_MS) {
		if (!is_free(now_us))
			continue;
		server_availability_on_request(&availability, now_us);
		sent++;
	}
	return sent;
}

START_TEST(few_requests_are_sent_after_a_rest_until_one_is_served)
{
	int64_t end_us = NOW_US + REST_US;

	server_availability_rest(&availability, REST_US, NOW_US);
	ck_assert_uint_eq(send_for(NOW_US, REST_US), 0);
	ck_assert_uint_eq(send_for(end_us, 200 * TGW_US_PER_MS), 1);
	server_availability_on_accepted(&availability,
					end_us + 200 * TGW_US_PER_MS);
	ck_assert_uint_eq(
		send_for(end_us + 200 * TGW_US_PER_MS, 10 * TGW_US_PER_MS), 10);
}
END_TEST

START_TEST(a_server_that_answers_nothing_after_a_rest_is_not_held_back_for_long)
{
	int64_t end_us = NOW_US + REST_US;

	server_availability_rest(&availability, REST_US, NOW_US);
	ck_assert_uint_le(send_for(end_us, 400 * TGW_US_PER_MS), 3);
	send_for(end_us + 400 * TGW_US_PER_MS, 100 * TGW_US_PER_MS);
	ck_assert_uint_eq(
		send_for(end_us + 500 * TGW_US_PER_MS, 10 * TGW_US_PER_MS), 10);
}
END_TEST

START_TEST(a_server_that_asks_for_rest_again_and_again_gets_one_request_a_rest)
{
	unsigned int sent = 0;

	for (int64_t now_us = NOW_US; now_us < NOW_US + 100 * TGW_US_PER_S;
	     now_us += TGW_US_PER_MS) {
		if (!is_free(now_us))
			continue;
		server_availability_on_request(&availability, now_us);
		server_availability_rest(&availability, 10 * TGW_US_PER_S,
					 now_us);
		sent++;
	}
	ck_assert_uint_eq(sent, 10);
}
END_TEST

START_TEST(a_leaving_server_is_never_free)
{
	server_availability_set_leaving(&availability,
					SERVER_AVAILABILITY_NEVER_US);
	/* Another host's word about it is bounded in time. */
	server_availability_set_leaving(&availability, NOW_US + 1);
	server_availability_on_accepted(&availability, NOW_US);
	ck_assert_int_eq(server_availability_free_at_us(&availability,
							NOW_US + REST_US),
			 SERVER_AVAILABILITY_NEVER_US);
}
END_TEST

static struct backend_entry entry_of(const char *id, const char *address,
				     int64_t born_ms)
{
	struct backend_entry entry = {.slots = 4, .born_ms = born_ms};

	text_copy(entry.id, sizeof(entry.id), id);
	text_copy(entry.address, sizeof(entry.address), address);
	return entry;
}

static void clear(struct backend_table *table)
{
	while (table->first)
		backend_table_remove(table, table->first->entry.id);
}

START_TEST(leaving_belongs_to_one_run_of_a_server)
{
	static const struct backend_entry later_runs[] = {
		{.id = "a", .address = "10.0.0.1:1", .born_ms = 8},
		{.id = "a", .address = "10.0.0.2:1", .born_ms = 8},
		{.id = "b", .address = "10.0.0.1:1", .born_ms = 8},
	};
	struct backend_table table = {0};
	struct backend_entry entry = entry_of("a", "10.0.0.1:1", 7);
	struct backend *backend = backend_table_put(&table, &entry);

	ck_assert(backend_table_set_leaving(&table, &entry, LEAVING_BY_ANSWER,
					    NOW_US));
	ck_assert(!backend_table_set_leaving(&table, &entry, LEAVING_BY_ANSWER,
					     NOW_US));
	ck_assert(!backend_accepts_requests(backend, NOW_US));
	entry.sequence = 9;
	backend = backend_table_put(&table, &entry);
	ck_assert(!backend_accepts_requests(backend, NOW_US));
	backend = backend_table_put(&table, &later_runs[_i]);
	ck_assert(backend_accepts_requests(backend, NOW_US));
	clear(&table);
}
END_TEST

START_TEST(a_run_whose_entry_comes_back_still_leaves_or_rests)
{
	struct backend_table table = {0};
	struct backend_entry leaving = entry_of("a", "10.0.0.1:1", 7);
	struct backend_entry resting = entry_of("b", "10.0.0.2:1", 7);
	struct backend *backend;

	backend_table_put(&table, &resting);
	backend_table_set_leaving(&table, &leaving, LEAVING_BY_HOST, NOW_US);
	backend_table_set_rest(&table, &resting, REST_US, NOW_US);
	backend_table_remove(&table, "b");
	backend = backend_table_put(&table, &leaving);
	ck_assert(!backend_accepts_requests(backend, NOW_US));
	backend = backend_table_put(&table, &resting);
	ck_assert(backend_accepts_requests(backend, NOW_US));
	ck_assert_int_eq(backend_free_at_us(backend, NOW_US), NOW_US + REST_US);
	clear(&table);
}
END_TEST

START_TEST(another_hosts_word_that_a_server_leaves_is_bounded_in_time)
{
	struct backend_table table = {0};
	struct backend_entry entry = entry_of("a", "10.0.0.1:1", 7);
	struct backend *backend = backend_table_put(&table, &entry);
	int64_t later_us = NOW_US + 200 * TGW_US_PER_S;

	backend_table_set_leaving(&table, &entry, LEAVING_BY_HOST, NOW_US);
	ck_assert(!backend_accepts_requests(backend, NOW_US));
	ck_assert(backend_accepts_requests(backend, later_us));
	backend_table_set_leaving(&table, &entry, LEAVING_BY_ANSWER, NOW_US);
	backend_table_set_leaving(&table, &entry, LEAVING_BY_HOST, NOW_US);
	ck_assert(!backend_accepts_requests(backend, later_us));
	clear(&table);
}
END_TEST

START_TEST(runs_without_a_time_of_start_are_not_remembered)
{
	struct backend_table table = {0};
	struct backend_entry entry = entry_of("a", "10.0.0.1:1", 0);
	struct backend *backend = backend_table_put(&table, &entry);

	backend_table_set_leaving(&table, &entry, LEAVING_BY_ANSWER, NOW_US);
	ck_assert(!backend_accepts_requests(backend, NOW_US));
	backend_table_remove(&table, "a");
	backend = backend_table_put(&table, &entry);
	ck_assert(backend_accepts_requests(backend, NOW_US));
	clear(&table);
}
END_TEST

START_TEST(the_memory_of_runs_is_bounded)
{
	static struct backend_table table;
	struct backend_entry entry = entry_of("a", "10.0.0.1:1", 0);

	for (entry.born_ms = 1; entry.born_ms <= 3 * RUN_MEMORY_RUNS_MAX;
	     entry.born_ms++)
		backend_table_set_leaving(&table, &entry, LEAVING_BY_HOST,
					  NOW_US);
	entry.born_ms = 1;
	ck_assert(backend_accepts_requests(backend_table_put(&table, &entry),
					   NOW_US));
	entry.born_ms = 3 * RUN_MEMORY_RUNS_MAX;
	ck_assert(!backend_accepts_requests(backend_table_put(&table, &entry),
					    NOW_US));
	clear(&table);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("server_availability");
	TCase *tcase = tcase_create("server");

	tcase_add_checked_fixture(tcase, setup, NULL);
	tcase_add_test(tcase, a_server_that_said_nothing_is_free);
	tcase_add_test(tcase, a_rest_lasts_as_long_as_was_asked_for);
	tcase_add_test(tcase,
		       a_request_that_is_served_during_a_rest_does_not_end_it);
	tcase_add_test(tcase,
		       a_later_answer_prolongs_a_rest_and_none_cuts_it_short);
	tcase_add_test(tcase, a_rest_after_a_rest_may_be_shorter);
	tcase_add_test(tcase,
		       few_requests_are_sent_after_a_rest_until_one_is_served);
	tcase_add_test(
		tcase,
		a_server_that_answers_nothing_after_a_rest_is_not_held_back_for_long);
	tcase_add_test(
		tcase,
		a_server_that_asks_for_rest_again_and_again_gets_one_request_a_rest);
	tcase_add_test(tcase, a_leaving_server_is_never_free);
	tcase_add_loop_test(tcase, leaving_belongs_to_one_run_of_a_server, 0,
			    3);
	tcase_add_test(tcase,
		       a_run_whose_entry_comes_back_still_leaves_or_rests);
	tcase_add_test(
		tcase,
		another_hosts_word_that_a_server_leaves_is_bounded_in_time);
	tcase_add_test(tcase, runs_without_a_time_of_start_are_not_remembered);
	tcase_add_test(tcase, the_memory_of_runs_is_bounded);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
