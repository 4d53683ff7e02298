#include "transport/answer.h"

#include <pthread.h>
#include <string.h>

#include "unit/unit_main.h"

#define KEEP 100
#define WINDOW 40
#define RACE_BYTES 200000

/* A reader that only counts how often it was parked and woken. */
struct sleeper {
	struct answer_reader reader;
	int parked;
	int woken;
};

static struct answer *answer;
static struct sleeper sleeper;
static int room_calls;

static void on_park(void *arg)
{
	((struct sleeper *)arg)->parked++;
}

static void on_wake(void *arg)
{
	((struct sleeper *)arg)->woken++;
}

static void on_room(void *arg)
{
	room_calls++;
}

static void sleeper_init(struct sleeper *s)
{
	memset(s, 0, sizeof(*s));
	s->reader.park = on_park;
	s->reader.wake = on_wake;
	s->reader.arg = s;
}

static void setup(void)
{
	struct answer_limits limits = {.keep_bytes = KEEP,
				       .window_bytes = WINDOW};

	answer = answer_new(&limits);
	sleeper_init(&sleeper);
	answer_attach(answer, &sleeper.reader);
	room_calls = 0;
}

static void teardown(void)
{
	answer_unref(answer);
}

static void add(size_t size)
{
	char bytes[KEEP * 2];

	memset(bytes, 'x', sizeof(bytes));
	answer_append(answer, bytes, size);
}

static enum answer_read_result take(struct sleeper *s, size_t capacity)
{
	char bytes[KEEP * 4];
	size_t size;

	return answer_read(&s->reader, bytes, capacity, &size);
}

START_TEST(a_reader_sleeps_until_something_comes)
{
	struct answer_head head;

	ck_assert(!answer_read_head(&sleeper.reader, &head));
	ck_assert_int_eq(sleeper.parked, 1);
	answer_start(answer, 200, "text/plain");
	ck_assert_int_eq(sleeper.woken, 0);
	add(10);
	answer_flush(answer);
	ck_assert_int_eq(sleeper.woken, 1);
	ck_assert(answer_read_head(&sleeper.reader, &head));
	ck_assert(!head.size_known);
	ck_assert_int_eq(take(&sleeper, 100), ANSWER_BYTES);
	ck_assert_int_eq(take(&sleeper, 100), ANSWER_WAIT);
	answer_finish(answer, true);
	ck_assert_int_eq(sleeper.woken, 2);
	ck_assert_int_eq(take(&sleeper, 100), ANSWER_END);
	answer_detach(&sleeper.reader);
}
END_TEST

START_TEST(a_cut_answer_is_told_from_a_whole_one)
{
	answer_start(answer, 200, "text/plain");
	add(10);
	answer_finish(answer, false);
	ck_assert_int_eq(take(&sleeper, 100), ANSWER_BYTES);
	ck_assert_int_eq(take(&sleeper, 100), ANSWER_CUT);
	ck_assert(!answer_is_kept(answer));
	answer_detach(&sleeper.reader);
}
END_TEST

START_TEST(the_writer_pauses_until_half_the_window_was_read)
{
	answer_start(answer, 200, "text/plain");
	add(WINDOW);
	ck_assert(!answer_may_write(answer, on_room, NULL));
	take(&sleeper, WINDOW / 2 - 1);
	ck_assert_int_eq(room_calls, 0);
	take(&sleeper, 1);
	ck_assert_int_eq(room_calls, 1);
	ck_assert(answer_may_write(answer, on_room, NULL));
	add(WINDOW);
	ck_assert(!answer_may_write(answer, on_room, NULL));
	answer_forget_writer(answer);
	take(&sleeper, 2 * WINDOW);
	ck_assert_int_eq(room_calls, 1);
	answer_finish(answer, true);
	answer_detach(&sleeper.reader);
}
END_TEST

START_TEST(the_writer_goes_on_when_the_reader_leaves)
{
	answer_start(answer, 200, "text/plain");
	add(WINDOW);
	ck_assert(!answer_may_write(answer, on_room, NULL));
	answer_detach(&sleeper.reader);
	ck_assert_int_eq(room_calls, 1);
	ck_assert(answer_may_write(answer, on_room, NULL));
	answer_finish(answer, true);
}
END_TEST

START_TEST(a_second_reader_has_it_from_the_start)
{
	struct sleeper second;

	answer_start(answer, 200, "text/plain");
	add(30);
	take(&sleeper, 100);
	sleeper_init(&second);
	answer_attach(answer, &second.reader);
	ck_assert_uint_eq(second.reader.offset, 0);
	ck_assert_int_eq(take(&second, 100), ANSWER_BYTES);
	ck_assert_uint_eq(second.reader.offset, 30);
	answer_finish(answer, true);
	answer_detach(&second.reader);
	answer_detach(&sleeper.reader);
}
END_TEST

/* Past the limit the memory follows the newest reader. */
START_TEST(an_old_reader_that_falls_behind_is_cut)
{
	struct sleeper second;

	answer_start(answer, 200, "text/plain");
	sleeper_init(&second);
	answer_attach(answer, &second.reader);
	for (int i = 0; i < 20; i++) {
		add(WINDOW);
		while (take(&second, 1000) == ANSWER_BYTES)
			continue;
	}
	ck_assert(!answer_is_kept(answer));
	ck_assert_int_eq(take(&sleeper, 10), ANSWER_CUT);
	answer_finish(answer, true);
	ck_assert_int_eq(take(&second, 10), ANSWER_END);
	answer_detach(&second.reader);
	answer_detach(&sleeper.reader);
}
END_TEST

START_TEST(waiting_readers_move_to_the_answer_they_join)
{
	struct answer_limits limits = {.keep_bytes = KEEP,
				       .window_bytes = WINDOW};
	struct answer *other = answer_new(&limits);
	struct answer_head head;

	ck_assert(!answer_read_head(&sleeper.reader, &head));
	answer_set(other, 201, "a/b", "whole", 5);
	answer_join(answer, other);
	ck_assert_int_eq(sleeper.woken, 1);
	ck_assert(answer_read_head(&sleeper.reader, &head));
	ck_assert_int_eq(head.status, 201);
	ck_assert(head.size_known);
	ck_assert_uint_eq(head.size, 5);
	answer_detach(&sleeper.reader);
	answer_unref(other);
}
END_TEST

static pthread_mutex_t race_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t race_change = PTHREAD_COND_INITIALIZER;
static bool race_asleep;
static bool race_room;

static void race_park(void *arg)
{
	pthread_mutex_lock(&race_lock);
	race_asleep = true;
	pthread_mutex_unlock(&race_lock);
}

static void race_wake(void *arg)
{
	pthread_mutex_lock(&race_lock);
	race_asleep = false;
	pthread_cond_broadcast(&race_change);
	pthread_mutex_unlock(&race_lock);
}

static void race_on_room(void *arg)
{
	pthread_mutex_lock(&race_lock);
	race_room = true;
	pthread_cond_broadcast(&race_change);
	pthread_mutex_unlock(&race_lock);
}

static void *race_write(void *arg)
{
	for (size_t i = 0; i < RACE_BYTES; i++) {
		char byte = (char)i;

		while (!answer_may_write(answer, race_on_room, NULL)) {
			pthread_mutex_lock(&race_lock);
			while (!race_room)
				pthread_cond_wait(&race_change, &race_lock);
			race_room = false;
			pthread_mutex_unlock(&race_lock);
		}
		answer_append(answer, &byte, 1);
		answer_flush(answer);
	}
	answer_finish(answer, true);
	return NULL;
}

/* No wake-up is lost, and no byte, between two threads. */
START_TEST(a_writer_and_a_reader_on_two_threads_meet_at_the_end)
{
	enum answer_read_result result;
	pthread_t writer;
	size_t total = 0;

	sleeper.reader.park = race_park;
	sleeper.reader.wake = race_wake;
	answer_start(answer, 200, "text/plain");
	pthread_create(&writer, NULL, race_write, NULL);
	do {
		char bytes[64];
		size_t size;

		result = answer_read(&sleeper.reader, bytes, sizeof(bytes),
				     &size);
		for (size_t i = 0; i < size; i++)
			ck_assert_int_eq(bytes[i], (char)(total + i));
		total += size;
		pthread_mutex_lock(&race_lock);
		while (result == ANSWER_WAIT && race_asleep)
			pthread_cond_wait(&race_change, &race_lock);
		pthread_mutex_unlock(&race_lock);
	} while (result != ANSWER_END);
	pthread_join(writer, NULL);
	ck_assert_uint_eq(total, RACE_BYTES);
	answer_detach(&sleeper.reader);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("answer");
	TCase *tcase = tcase_create("answer");

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, a_reader_sleeps_until_something_comes);
	tcase_add_test(tcase, a_cut_answer_is_told_from_a_whole_one);
	tcase_add_test(tcase, the_writer_pauses_until_half_the_window_was_read);
	tcase_add_test(tcase, the_writer_goes_on_when_the_reader_leaves);
	tcase_add_test(tcase, a_second_reader_has_it_from_the_start);
	tcase_add_test(tcase, an_old_reader_that_falls_behind_is_cut);
	tcase_add_test(tcase, waiting_readers_move_to_the_answer_they_join);
	tcase_add_test(tcase,
		       a_writer_and_a_reader_on_two_threads_meet_at_the_end);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
