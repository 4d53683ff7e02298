/* Tests when silent servers and connection timeouts are put down to the host
 * itself, as a table of loads and outcomes. Without this decision, a host with
 * a full link or a late loop takes healthy servers for failed; with one that
 * lasts too long or begins too early, it does not notice silent servers. */
#include "state/own_delay.h"

#include <string.h>

#include "state/link_load.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define TICK_US (100 * TGW_US_PER_MS)
#define LINK_MBPS 10
#define LINK_BYTES_PER_TICK (LINK_MBPS * 1000 * 1000 / 8 / 10)
#define PHASES_MAX 4

/* Load that stays the same for some measurements. */
struct phase {
	int ticks; /* 0 ends a row */
	uint32_t link_percent;
	int64_t lag_ms;
	int64_t wait_ms;
};

struct row {
	const char *name;
	struct phase phases[PHASES_MAX];
	bool active;
};

static const struct row rows[] = {
	{"calm link and loop", {{50, 0, 0, 0}}, false},
	{"a link below the limit", {{50, 74, 0, 0}}, false},
	{"a link at 90 percent", {{2, 90, 0, 0}}, true},
	{"a link at 75 percent", {{2, 75, 0, 0}}, true},
	{"a link with more to send than it carries", {{2, 400, 0, 0}}, true},
	{"a link above the limit for one measurement",
	 {{1, 90, 0, 0}, {1, 70, 0, 0}},
	 false},
	{"a link above the limit every other measurement",
	 {{1, 90, 0, 0}, {1, 70, 0, 0}, {1, 90, 0, 0}, {1, 70, 0, 0}},
	 false},
	{"a loop late by 300 ms", {{1, 0, 300, 0}}, true},
	{"a loop late by the shortest silence", {{1, 0, 150, 0}}, true},
	{"a loop late by less, once", {{1, 0, 149, 0}}, false},
	{"a loop late by less, twice", {{2, 0, 75, 0}}, true},
	{"a loop late by less, and callers that wait", {{1, 0, 75, 150}}, true},
	{"a loop that is hardly late", {{50, 0, 74, 0}}, false},
	{"callers that wait for turns of a loop in time",
	 {{50, 0, 20, 900}},
	 false},
	{"a link of unknown capacity and a loop in time",
	 {{50, 0, 0, 0}},
	 false},
	{"a link of unknown capacity and a late loop", {{1, 0, 300, 0}}, true},
	{"load on the link, then on the loop",
	 {{1, 90, 0, 0}, {1, 0, 80, 0}},
	 true},
	{"calm after load, for less than 0.5 s",
	 {{5, 90, 0, 0}, {5, 0, 0, 0}},
	 true},
	{"calm after load, for 0.5 s", {{5, 90, 0, 0}, {6, 0, 0, 0}}, false},
	{"calm after a late loop, for 0.5 s",
	 {{1, 0, 300, 0}, {6, 0, 0, 0}},
	 false},
	{"a little less load", {{5, 90, 0, 0}, {50, 65, 0, 0}}, true},
	{"less load", {{5, 90, 0, 0}, {6, 64, 0, 0}}, false},
	{"a loop that is a little late, after load",
	 {{1, 0, 300, 0}, {50, 0, 50, 0}},
	 true},
	{"a loop that is hardly late, after load",
	 {{1, 0, 300, 0}, {6, 0, 49, 0}},
	 false},
	{"load that returns during the calm",
	 {{5, 90, 0, 0}, {4, 0, 0, 0}, {1, 90, 0, 0}, {5, 0, 0, 0}},
	 true},
	{"one measurement above the limit, long after load",
	 {{5, 90, 0, 0}, {50, 0, 0, 0}, {1, 90, 0, 0}},
	 false},
};

static struct own_delay delay;
static int64_t now_us;

static unsigned int play(const struct phase *phase)
{
	unsigned int changes = 0;

	for (int i = 0; i < phase->ticks; i++) {
		struct own_delay_facts facts = {
			.now_us = now_us += TICK_US,
			.link_percent = phase->link_percent,
			.loop_lag_us = phase->lag_ms * TGW_US_PER_MS,
			.longest_wait_us = phase->wait_ms * TGW_US_PER_MS,
		};

		changes += own_delay_update(&delay, &facts);
	}
	return changes;
}

static void setup(void)
{
	memset(&delay, 0, sizeof(delay));
	now_us = TGW_US_PER_S;
}

START_TEST(each_load_gets_its_outcome)
{
	const struct row *row = &rows[_i];
	unsigned int changes = 0;

	for (int i = 0; i < PHASES_MAX; i++)
		changes += play(&row->phases[i]);
	ck_assert_msg(delay.active == row->active, "%s: %d", row->name,
		      delay.active);
	ck_assert_msg(changes % 2 == row->active, "%s: %u changes reported",
		      row->name, changes);
}
END_TEST

/* Of a link of 10 Mbit/s, by measured bytes.
 * @return the ticks after which the delay is the host's own; -1: never */
static int play_link(int64_t link_mbps, uint64_t bytes_per_tick, int busy_ticks)
{
	struct link_bytes bytes = {0};
	struct link_load link;

	link_load_init(&link, link_mbps);
	for (int i = 0; i < 50; i++) {
		struct own_delay_facts facts = {.now_us = now_us += TICK_US};

		if (i && i <= busy_ticks)
			bytes.received_bytes += bytes_per_tick;
		link_load_update(&link, &bytes, now_us);
		facts.link_percent = link_load_percent(&link);
		own_delay_update(&delay, &facts);
		if (delay.active)
			return i;
	}
	return -1;
}

START_TEST(a_full_link_is_noticed_within_a_second)
{
	int ticks = play_link(LINK_MBPS, LINK_BYTES_PER_TICK, 50);

	ck_assert_int_ge(ticks, 1);
	ck_assert_int_le(ticks, 10);
}
END_TEST

/* A large response does not hide silent servers. */
START_TEST(a_short_burst_on_the_link_is_no_delay)
{
	ck_assert_int_eq(play_link(LINK_MBPS, LINK_BYTES_PER_TICK, 1), -1);
	setup();
	ck_assert_int_eq(play_link(LINK_MBPS, LINK_BYTES_PER_TICK, 3), -1);
}
END_TEST

START_TEST(a_link_of_unknown_capacity_never_counts)
{
	ck_assert_int_eq(play_link(0, 100 * LINK_BYTES_PER_TICK, 50), -1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("own_delay");
	TCase *tcase = tcase_create("core");

	tcase_add_checked_fixture(tcase, setup, NULL);
	tcase_add_loop_test(tcase, each_load_gets_its_outcome, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_test(tcase, a_full_link_is_noticed_within_a_second);
	tcase_add_test(tcase, a_short_burst_on_the_link_is_no_delay);
	tcase_add_test(tcase, a_link_of_unknown_capacity_never_counts);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
