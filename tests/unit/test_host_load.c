/* Tests what callers get of a host's time: the decision, and the turns. */
#include "state/host_load.h"

#include "state/connection_room.h"
#include "tamarackgw/clock.h"
#include "transport/read_turns.h"
#include "unit/unit_main.h"

#define INTERVAL_US (100 * TGW_US_PER_MS)

static struct host_load load;
static int64_t now_us;
static unsigned int changes;

static void setup(void)
{
	host_load_init(&load);
	now_us = TGW_US_PER_S;
	changes = 0;
}

static void update(int count, int64_t lag_ms, int64_t wait_ms)
{
	for (int i = 0; i < count; i++) {
		struct host_load_view view = {
			.now_us = now_us += INTERVAL_US,
			.loop_lag_us = lag_ms * TGW_US_PER_MS,
			.longest_wait_us = wait_ms * TGW_US_PER_MS,
		};

		changes += host_load_update(&load, &view);
	}
}

static const struct {
	const char *name;
	int count;
	int64_t lag_ms;
	int64_t wait_ms;
	uint32_t turns;
	bool overloaded;
} rows[] = {
	{"a loop in time", 5, 0, 0, 64, false},
	{"a loop that is hardly late", 5, 20, 0, 64, false},
	{"a late loop, once", 1, 21, 0, 32, false},
	{"a late loop, twice", 2, 400, 0, 16, false},
	{"a loop that stays late", 9, 4000, 0, 4, false},
	{"callers that wait for a while", 9, 0, 499, 64, false},
	{"callers that wait for long", 1, 0, 500, 64, true},
	{"a late loop and callers that wait", 9, 400, 900, 4, true},
};

START_TEST(turns_and_overload_follow_the_load)
{
	setup();
	update(rows[_i].count, rows[_i].lag_ms, rows[_i].wait_ms);
	ck_assert_msg(load.turns == rows[_i].turns &&
			      load.overloaded == rows[_i].overloaded,
		      "%s: %u turns, overloaded %d", rows[_i].name, load.turns,
		      load.overloaded);
}
END_TEST

START_TEST(callers_get_their_turns_back)
{
	setup();
	update(9, 400, 0);
	update(1, 0, 0);
	ck_assert_uint_eq(load.turns, 8);
	update(14, 0, 0);
	ck_assert_uint_eq(load.turns, HOST_LOAD_MAX_TURNS);
}
END_TEST

/* Not at once, and not by one calm moment: the balancer would send all callers
 * back. */
START_TEST(an_overload_ends_after_a_calm_second)
{
	setup();
	update(1, 0, 600);
	update(9, 0, 0);
	update(1, 0, 100);
	ck_assert(load.overloaded);
	update(10, 0, 99);
	ck_assert(load.overloaded);
	update(1, 0, 99);
	ck_assert(!load.overloaded);
	ck_assert_uint_eq(changes, 2);
}
END_TEST

/* A host keeps so many idle connections that it closes no more of them. */
START_TEST(an_overload_by_connections_ends_although_idle_ones_stay)
{
	struct connection_room room;
	struct host_load_view view = {.now_us = now_us};

	connection_room_init(&room, 4096);
	view.connections_percent = 75;
	host_load_update(&load, &view);
	ck_assert(load.overloaded);
	ck_assert(host_load_ends_connection(&load));
	view.connections_percent =
		connection_room_percent(&room, room.keep_idle_below);
	for (int i = 0; i < 20; i++) {
		view.now_us += INTERVAL_US;
		host_load_update(&load, &view);
	}
	ck_assert(!load.overloaded);
	ck_assert(!host_load_ends_connection(&load));
}
END_TEST

#define CONNECTIONS 10

START_TEST(connections_read_in_the_order_of_their_first_try)
{
	struct read_turns turns = {0};
	struct read_turn conns[CONNECTIONS] = {0};
	int read_in[CONNECTIONS] = {0};

	/* The loop reports the last connection first. */
	for (int iteration = 1; iteration <= 4; iteration++) {
		read_turns_begin(&turns, 3, iteration * TGW_US_PER_MS);
		for (int i = CONNECTIONS - 1; i >= 0; i--)
			if (!read_in[i] && read_turns_take(&turns, &conns[i]))
				read_in[i] = iteration;
		/* A new one does not come before those that wait. */
		if (iteration == 2) {
			struct read_turn late = {0};

			ck_assert(!read_turns_take(&turns, &late));
			read_turns_forget(&turns, &late);
		}
	}
	for (int i = 0; i < CONNECTIONS; i++)
		ck_assert_int_eq(read_in[i], 1 + (CONNECTIONS - 1 - i) / 3);
	ck_assert_uint_eq(turns.waiting, 0);
	ck_assert_int_eq(read_turns_longest_wait_us(&turns), 0);
}
END_TEST

START_TEST(a_connection_that_closes_leaves_its_place)
{
	struct read_turns turns = {0};
	struct read_turn conns[3] = {0};

	read_turns_begin(&turns, 0, 1);
	for (int i = 0; i < 3; i++)
		ck_assert(!read_turns_take(&turns, &conns[i]));
	read_turns_forget(&turns, &conns[1]);
	read_turns_begin(&turns, 1, 5);
	ck_assert_uint_eq(turns.waiting, 1);
	ck_assert_int_eq(read_turns_longest_wait_us(&turns), 4);
	read_turns_forget(&turns, &conns[0]);
	read_turns_forget(&turns, &conns[2]);
	ck_assert_uint_eq(turns.waiting, 0);
	ck_assert_ptr_null(turns.first);
	ck_assert_ptr_null(turns.last);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("host_load");
	TCase *tcase = tcase_create("core");

	tcase_add_loop_test(tcase, turns_and_overload_follow_the_load, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_test(tcase, callers_get_their_turns_back);
	tcase_add_test(tcase, an_overload_ends_after_a_calm_second);
	tcase_add_test(tcase,
		       an_overload_by_connections_ends_although_idle_ones_stay);
	tcase_add_test(tcase, connections_read_in_the_order_of_their_first_try);
	tcase_add_test(tcase, a_connection_that_closes_leaves_its_place);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
