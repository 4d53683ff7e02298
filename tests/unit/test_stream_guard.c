/* Tests three rules for an engine's stream: which events reach the caller, how
 * an attempt that ended is recovered, and how many requests were on a server
 * when it crashed. */
#include "state/stream_guard.h"

#include <string.h>

#include "state/crash_tally.h"
#include "state/stream_recovery.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define ID "r1"
#define ATTEMPT 3
#define LIMIT 4
#define EVENTS_MAX 6

#define TOKEN(i)                                         \
	{                                                \
		ID, ATTEMPT, (i), false, STREAM_NO_USAGE \
	}
#define FINAL(count)                                        \
	{                                                   \
		ID, ATTEMPT, STREAM_NO_INDEX, true, (count) \
	}

/* Events in the order of their arrival, and the verdict on each. */
struct guard_case {
	const char *name;
	size_t count;
	struct stream_event events[EVENTS_MAX];
	enum stream_verdict verdicts[EVENTS_MAX];
	bool end_mark;
	bool complete;
};

static const struct guard_case guard_cases[] = {
	{"complete", 3, {TOKEN(0), TOKEN(1), FINAL(2)}, {0}, true, true},
	{"no end mark", 2, {TOKEN(0), FINAL(1)}, {0}, false, false},
	{"end mark without the last event", 1, {TOKEN(0)}, {0}, true, false},
	{"only an end mark", 0, {{0}}, {0}, true, false},
	{"doubled",
	 4,
	 {TOKEN(0), TOKEN(0), TOKEN(1), FINAL(2)},
	 {STREAM_DELIVER, STREAM_DOUBLED, STREAM_DELIVER, STREAM_DELIVER},
	 true,
	 true},
	{"late",
	 3,
	 {TOKEN(0), {ID, ATTEMPT - 1, 1, false, STREAM_NO_USAGE}, TOKEN(1)},
	 {STREAM_DELIVER, STREAM_LATE, STREAM_DELIVER},
	 false,
	 false},
	{"late end",
	 1,
	 {{ID, ATTEMPT - 1, -1, true, 0}},
	 {STREAM_LATE},
	 true,
	 false},
	{"overtaken",
	 1,
	 {{ID, ATTEMPT + 1, 0, false, STREAM_NO_USAGE}},
	 {STREAM_OVERTAKEN},
	 false,
	 false},
	{"crossed",
	 2,
	 {TOKEN(0), {"r2", ATTEMPT, 1, false, STREAM_NO_USAGE}},
	 {STREAM_DELIVER, STREAM_CROSSED},
	 false,
	 false},
	{"no id",
	 1,
	 {{NULL, ATTEMPT, 0, false, STREAM_NO_USAGE}},
	 {STREAM_MALFORMED},
	 false,
	 false},
	{"gap",
	 2,
	 {TOKEN(0), TOKEN(2)},
	 {STREAM_DELIVER, STREAM_GAP},
	 false,
	 false},
	{"truncated by usage",
	 2,
	 {TOKEN(0), FINAL(2)},
	 {STREAM_DELIVER, STREAM_GAP},
	 true,
	 false},
	{"past the limit",
	 5,
	 {TOKEN(0), TOKEN(1), TOKEN(2), TOKEN(3), TOKEN(4)},
	 {0, 0, 0, 0, STREAM_PAST_LIMIT},
	 false,
	 false},
	{"past the limit by usage",
	 2,
	 {TOKEN(0), FINAL(LIMIT + 1)},
	 {STREAM_DELIVER, STREAM_PAST_LIMIT},
	 false,
	 false},
	{"token after the last",
	 3,
	 {TOKEN(0), FINAL(1), TOKEN(1)},
	 {STREAM_DELIVER, STREAM_DELIVER, STREAM_MALFORMED},
	 false,
	 false},
	{"negative index",
	 1,
	 {{ID, ATTEMPT, -7, false, STREAM_NO_USAGE}},
	 {STREAM_MALFORMED},
	 false,
	 false},
};

START_TEST(each_event_gets_its_verdict)
{
	const struct guard_case *c = &guard_cases[_i];
	struct stream_guard guard;

	stream_guard_init(&guard, ID, ATTEMPT, LIMIT);
	for (size_t i = 0; i < c->count; i++)
		ck_assert_msg(stream_guard_check(&guard, &c->events[i]) ==
				      c->verdicts[i],
			      "%s: event %zu", c->name, i);
	if (c->end_mark)
		stream_guard_end(&guard);
	ck_assert_msg(stream_guard_is_complete(&guard) == c->complete, "%s",
		      c->name);
}
END_TEST

START_TEST(a_new_attempt_resumes_or_restarts_the_stream)
{
	struct stream_event first = TOKEN(0);
	struct stream_event second = TOKEN(1);
	struct stream_guard guard;

	stream_guard_init(&guard, ID, ATTEMPT, LIMIT);
	stream_guard_check(&guard, &first);
	stream_guard_resume(&guard, ATTEMPT + 1);
	ck_assert_int_eq(stream_guard_check(&guard, &second), STREAM_LATE);
	second.attempt++;
	ck_assert_int_eq(stream_guard_check(&guard, &second), STREAM_DELIVER);
	stream_guard_restart(&guard, ATTEMPT + 2);
	first.attempt = ATTEMPT + 2;
	ck_assert_int_eq(stream_guard_check(&guard, &first), STREAM_DELIVER);
}
END_TEST

START_TEST(a_resumed_attempt_that_begins_again_is_ended)
{
	struct stream_event first = TOKEN(0);
	struct stream_event second = TOKEN(1);
	struct stream_guard guard;

	stream_guard_init(&guard, ID, ATTEMPT, LIMIT);
	stream_guard_check(&guard, &first);
	stream_guard_resume(&guard, ATTEMPT + 1);
	first.attempt++;
	second.attempt++;
	ck_assert_int_eq(stream_guard_check(&guard, &first), STREAM_MALFORMED);
	ck_assert_int_eq(stream_guard_check(&guard, &second), STREAM_DELIVER);
	ck_assert_int_eq(stream_guard_check(&guard, &second), STREAM_DOUBLED);
}
END_TEST

struct recovery_case {
	struct stream_progress progress;
	enum attempt_end end;
	enum stream_recovery recovery;
};

/* The progress: tokens, caller_has_tokens, server_can_resume, resumes,
 * restarts. */
static const struct recovery_case recovery_cases[] = {
	{{5, true, true, 0, 0}, ATTEMPT_COMPLETE, RECOVERY_NONE},
	{{5, true, true, 0, 0}, ATTEMPT_PAST_LIMIT, RECOVERY_NONE},
	{{0, false, true, 0, 0}, ATTEMPT_NOT_SENT, RECOVERY_RESTART},
	{{0, false, true, 0, 0}, ATTEMPT_BUSY, RECOVERY_RESTART},
	{{0, false, true, 0, 0}, ATTEMPT_ERROR, RECOVERY_RESTART},
	{{0, false, true, 0, 0}, ATTEMPT_REFUSED, RECOVERY_FAIL},
	{{2, true, true, 0, 0}, ATTEMPT_OVERTAKEN, RECOVERY_FAIL},
	{{0, false, true, 0, 0}, ATTEMPT_BROKEN, RECOVERY_RESTART},
	{{2, true, true, 0, 0}, ATTEMPT_BROKEN, RECOVERY_RESUME},
	{{2, false, true, 0, 0}, ATTEMPT_BROKEN, RECOVERY_RESUME},
	{{2, true, false, 0, 0}, ATTEMPT_BROKEN, RECOVERY_RESUME_ELSEWHERE},
	{{2, false, false, 0, 0}, ATTEMPT_BROKEN, RECOVERY_RESTART},
	{{2, true, true, STREAM_RESUMES_MAX, 0},
	 ATTEMPT_BROKEN,
	 RECOVERY_RESUME_ELSEWHERE},
	{{2, true, true, STREAM_RESUMES_MAX, STREAM_RESTARTS_MAX},
	 ATTEMPT_BROKEN,
	 RECOVERY_FAIL},
	{{2, true, true, 0, 0}, ATTEMPT_INVALID_EVENTS, RECOVERY_RESUME},
	{{2, true, true, 0, 0}, ATTEMPT_ENGINE_DOWN, RECOVERY_RESUME_ELSEWHERE},
	{{2, false, true, 0, 0}, ATTEMPT_ENGINE_DOWN, RECOVERY_RESTART},
	{{2, true, true, 1, 0}, ATTEMPT_NOT_FOUND, RECOVERY_RESUME_ELSEWHERE},
	{{2, true, true, 1, 0}, ATTEMPT_NOT_SENT, RECOVERY_RESUME_ELSEWHERE},
	{{0, false, true, 0, STREAM_RESTARTS_MAX},
	 ATTEMPT_ENGINE_DOWN,
	 RECOVERY_FAIL},
};

START_TEST(each_end_of_an_attempt_has_its_recovery)
{
	const struct recovery_case *c = &recovery_cases[_i];

	ck_assert_int_eq(stream_recovery_choose(c->end, &c->progress),
			 c->recovery);
}
END_TEST

START_TEST(attempts_that_break_off_together_count_the_others)
{
	struct crash_tally *tally = crash_tally_new();
	int64_t now = TGW_US_PER_S;

	for (int i = 0; i < 3; i++)
		crash_tally_start(tally, "a");
	crash_tally_start(tally, "b");
	ck_assert_uint_eq(crash_tally_record_broken_attempt(tally, "a", now),
			  2);
	crash_tally_end(tally, "a");
	ck_assert_uint_eq(
		crash_tally_record_broken_attempt(tally, "a", now + 1000), 2);
	ck_assert_uint_eq(crash_tally_record_broken_attempt(tally, "b", now),
			  0);
	now += 3 * TGW_US_PER_S;
	ck_assert_uint_eq(crash_tally_record_broken_attempt(tally, "a", now),
			  1);
	crash_tally_free(tally);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("stream_guard");
	TCase *tcase = tcase_create("rules");

	tcase_add_loop_test(
		tcase, each_event_gets_its_verdict, 0,
		(int)(sizeof(guard_cases) / sizeof(guard_cases[0])));
	tcase_add_test(tcase, a_new_attempt_resumes_or_restarts_the_stream);
	tcase_add_test(tcase, a_resumed_attempt_that_begins_again_is_ended);
	tcase_add_loop_test(
		tcase, each_end_of_an_attempt_has_its_recovery, 0,
		(int)(sizeof(recovery_cases) / sizeof(recovery_cases[0])));
	tcase_add_test(tcase,
		       attempts_that_break_off_together_count_the_others);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
