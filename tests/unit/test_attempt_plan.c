/* Tests the decision on a request's next attempt, as a table. */
#include "state/attempt_plan.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define SEND ATTEMPT_STEP_SEND
#define WAIT ATTEMPT_STEP_WAIT
#define CONNECT ATTEMPT_STEP_CONNECT
#define END ATTEMPT_STEP_END

/* How the facts of a row differ from those under which any request may be sent
 * again. */
enum change {
	NO_CREDIT = 1,
	MUST_NOT_RUN_AGAIN = 2,
	CRASHES = 4,
	QUARANTINED = 8,
	ALL_ATTEMPTS_MADE = 16,
	ALL_SENT = 32,
	TIME_IS_UP = 64,
	LITTLE_TIME = 128,
	LEFT = 256,
	OTHER_OPEN = 512,
	OWN_DELAY = 1024,
};

struct row {
	const char *name;
	enum attempt_trigger trigger;
	unsigned int changes;
	enum placement_result placement;
	enum attempt_step step;
	enum attempt_obstacle obstacle;
	bool spends_retry_credit;
};

static int64_t left_us(unsigned int changes)
{
	if (changes & TIME_IS_UP)
		return 0;
	return changes & LITTLE_TIME ? 20 * TGW_US_PER_MS : 5 * TGW_US_PER_S;
}

static struct attempt_facts make_facts(const struct row *row)
{
	unsigned int changes = row->changes;

	return (struct attempt_facts){
		.trigger = row->trigger,
		.caller_left = changes & LEFT,
		.may_run_again = !(changes & MUST_NOT_RUN_AGAIN),
		.crashes_servers = changes & CRASHES,
		.is_quarantined = changes & QUARANTINED,
		.attempts = changes & ALL_ATTEMPTS_MADE ? ATTEMPTS_MAX : 1,
		.sent = changes & ALL_SENT ? 2 : 1,
		.sent_max = 2,
		.left_us = left_us(changes),
		.placement = row->placement,
		.has_retry_credit = !(changes & NO_CREDIT),
		.own_delay = changes & OWN_DELAY,
		.other_is_open = changes & OTHER_OPEN,
	};
}

static const struct row rows[] = {
	{"the first attempt needs no retry credit", ATTEMPT_NONE_YET, NO_CREDIT,
	 PLACEMENT_FOUND, SEND, ATTEMPT_NO_OBSTACLE, false},
	{"the first attempt without a server", ATTEMPT_NONE_YET, 0,
	 PLACEMENT_ALL_FULL, END, ATTEMPT_NO_SERVER, false},
	{"the first attempt when the time is up", ATTEMPT_NONE_YET, TIME_IS_UP,
	 PLACEMENT_FOUND, END, ATTEMPT_NO_TIME, false},
	{"a quarantined request", ATTEMPT_NONE_YET, QUARANTINED,
	 PLACEMENT_FOUND, END, ATTEMPT_QUARANTINED, false},
	{"an unsent attempt needs no retry credit", ATTEMPT_NOT_SENT,
	 NO_CREDIT | ALL_SENT, PLACEMENT_FOUND, SEND, ATTEMPT_NO_OBSTACLE,
	 false},
	{"unsent attempts are limited, too", ATTEMPT_NOT_SENT,
	 ALL_ATTEMPTS_MADE, PLACEMENT_FOUND, END, ATTEMPT_LIMIT, false},
	{"a failed attempt is retried", ATTEMPT_FAILED, 0, PLACEMENT_FOUND,
	 SEND, ATTEMPT_NO_OBSTACLE, true},
	{"a failed attempt that must not run again", ATTEMPT_FAILED,
	 MUST_NOT_RUN_AGAIN, PLACEMENT_FOUND, END, ATTEMPT_KIND, false},
	{"a failed attempt of a request that crashes servers", ATTEMPT_FAILED,
	 CRASHES, PLACEMENT_FOUND, END, ATTEMPT_CRASHES, false},
	{"a failed attempt at the route's limit", ATTEMPT_FAILED, ALL_SENT,
	 PLACEMENT_FOUND, END, ATTEMPT_LIMIT, false},
	{"a failed attempt without retry credit", ATTEMPT_FAILED, NO_CREDIT,
	 PLACEMENT_FOUND, END, ATTEMPT_NO_RETRY_CREDIT, false},
	{"a failed attempt with too little time for a retry", ATTEMPT_FAILED,
	 LITTLE_TIME, PLACEMENT_FOUND, END, ATTEMPT_NO_TIME, false},
	{"a failed attempt whose caller has left", ATTEMPT_FAILED,
	 LEFT | OTHER_OPEN, PLACEMENT_FOUND, END, ATTEMPT_CALLER_LEFT, false},
	{"a failed attempt without retry credit, another one is open",
	 ATTEMPT_FAILED, NO_CREDIT | OTHER_OPEN, PLACEMENT_FOUND, WAIT,
	 ATTEMPT_NO_RETRY_CREDIT, false},
	{"a failed attempt at the limit, another one is open", ATTEMPT_FAILED,
	 ALL_SENT | OTHER_OPEN, PLACEMENT_FOUND, WAIT, ATTEMPT_LIMIT, false},
	{"an unsent attempt without a further server, another one is open",
	 ATTEMPT_NOT_SENT, OTHER_OPEN, PLACEMENT_ALL_TRIED, WAIT,
	 ATTEMPT_NO_SERVER, false},
	{"a failed attempt when the time is up, another one is open",
	 ATTEMPT_FAILED, TIME_IS_UP | OTHER_OPEN, PLACEMENT_FOUND, END,
	 ATTEMPT_NO_TIME, false},
	{"a silent server's request goes to another one as well",
	 ATTEMPT_SILENT, 0, PLACEMENT_FOUND, SEND, ATTEMPT_NO_OBSTACLE, true},
	{"a silent server without retry credit", ATTEMPT_SILENT, NO_CREDIT,
	 PLACEMENT_FOUND, WAIT, ATTEMPT_NO_RETRY_CREDIT, false},
	{"a silent server at the route's limit", ATTEMPT_SILENT, ALL_SENT,
	 PLACEMENT_FOUND, WAIT, ATTEMPT_LIMIT, false},
	{"a silent server, all others tried", ATTEMPT_SILENT, 0,
	 PLACEMENT_ALL_TRIED, WAIT, ATTEMPT_NO_SERVER, false},
	{"a silent server, all others full", ATTEMPT_SILENT, 0,
	 PLACEMENT_ALL_FULL, WAIT, ATTEMPT_NO_SERVER, false},
	{"a silent server, no server is listed any more", ATTEMPT_SILENT, 0,
	 PLACEMENT_NO_SERVER, WAIT, ATTEMPT_NO_SERVER, false},
	{"a silent server with a request that must not run again",
	 ATTEMPT_SILENT, MUST_NOT_RUN_AGAIN, PLACEMENT_FOUND, WAIT,
	 ATTEMPT_KIND, false},
	{"a silent server with a quarantined request", ATTEMPT_SILENT,
	 QUARANTINED, PLACEMENT_FOUND, WAIT, ATTEMPT_QUARANTINED, false},
	{"a silent server with too little time for a retry", ATTEMPT_SILENT,
	 LITTLE_TIME, PLACEMENT_FOUND, WAIT, ATTEMPT_NO_TIME, false},
	{"a silent server while the host itself is late", ATTEMPT_SILENT,
	 OWN_DELAY, PLACEMENT_FOUND, WAIT, ATTEMPT_OWN_DELAY, false},
	{"a failed attempt while the host itself is late", ATTEMPT_FAILED,
	 OWN_DELAY, PLACEMENT_FOUND, SEND, ATTEMPT_NO_OBSTACLE, true},
	{"a refused connection while the host itself is late", ATTEMPT_NOT_SENT,
	 OWN_DELAY, PLACEMENT_ALL_TRIED, END, ATTEMPT_NO_SERVER, false},
	{"a delayed connection, another server is left",
	 ATTEMPT_CONNECT_DELAYED, OWN_DELAY | NO_CREDIT | ALL_SENT,
	 PLACEMENT_FOUND, SEND, ATTEMPT_NO_OBSTACLE, false},
	{"a delayed connection, all others tried", ATTEMPT_CONNECT_DELAYED,
	 OWN_DELAY, PLACEMENT_ALL_TRIED, CONNECT, ATTEMPT_NO_SERVER, false},
	{"a delayed connection, all others tried, another attempt is open",
	 ATTEMPT_CONNECT_DELAYED, OWN_DELAY | OTHER_OPEN, PLACEMENT_ALL_TRIED,
	 CONNECT, ATTEMPT_NO_SERVER, false},
	{"a delayed connection after all attempts", ATTEMPT_CONNECT_DELAYED,
	 OWN_DELAY | ALL_ATTEMPTS_MADE, PLACEMENT_FOUND, CONNECT, ATTEMPT_LIMIT,
	 false},
	{"a delayed connection of a quarantined request",
	 ATTEMPT_CONNECT_DELAYED, OWN_DELAY | QUARANTINED, PLACEMENT_FOUND, END,
	 ATTEMPT_QUARANTINED, false},
	{"a delayed connection when the time is up", ATTEMPT_CONNECT_DELAYED,
	 OWN_DELAY | TIME_IS_UP, PLACEMENT_FOUND, END, ATTEMPT_NO_TIME, false},
	{"a delayed connection whose caller has left", ATTEMPT_CONNECT_DELAYED,
	 OWN_DELAY | LEFT, PLACEMENT_ALL_TRIED, END, ATTEMPT_CALLER_LEFT,
	 false},
};

START_TEST(each_row_gets_its_step)
{
	const struct row *row = &rows[_i];
	struct attempt_facts facts = make_facts(row);
	struct attempt_plan plan = attempt_plan_make(&facts);

	ck_assert_msg(plan.step == row->step, "%s: step %d, expected %d",
		      row->name, plan.step, row->step);
	ck_assert_msg(plan.obstacle == row->obstacle,
		      "%s: obstacle %s, expected %s", row->name,
		      attempt_obstacle_name(plan.obstacle),
		      attempt_obstacle_name(row->obstacle));
	ck_assert_msg(plan.spends_retry_credit == row->spends_retry_credit,
		      "%s: spends retry credit: %d", row->name,
		      plan.spends_retry_credit);
}
END_TEST

/* While the caller waits and time is left, no silence ends a request, whatever
 * else holds. */
START_TEST(no_silence_ends_a_request)
{
	struct row row = {.trigger = ATTEMPT_SILENT};

	for (row.changes = 0; row.changes < 2 * OWN_DELAY; row.changes++)
		for (int placement = PLACEMENT_FOUND;
		     placement <= PLACEMENT_ALL_FULL; placement++) {
			struct attempt_facts facts;

			row.placement = (enum placement_result)placement;
			facts = make_facts(&row);
			if (!facts.caller_left && facts.left_us > 0)
				ck_assert_int_ne(attempt_plan_make(&facts).step,
						 END);
		}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("attempt_plan");
	TCase *tcase = tcase_create("plan");

	tcase_add_loop_test(tcase, each_row_gets_its_step, 0,
			    sizeof(rows) / sizeof(rows[0]));
	tcase_add_test(tcase, no_silence_ends_a_request);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
