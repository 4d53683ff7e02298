/* Tests the answer, the buffer through which one writer passes an HTTP response
 * to its readers: parking and waking of readers, pauses of the writer, replay
 * from the start, and the limit on the bytes that are kept. */
#include "transport/answer.h"

#include <pthread.h>
#include <string.h>

#include "unit/unit_main.h"

#define KEEP_BYTES 100
#define WINDOW_BYTES 40
#define RACE_BYTES 200000

/* A reader that only counts how often it was parked and woken. */
struct test_reader {
	struct answer_reader reader;
	int parked;
	int woken;
};

static struct answer *answer;
static struct test_reader first;
static int writable_calls;

static void on_park(void *arg)
{
	((struct test_reader *)arg)->parked++;
}

static void on_wake(void *arg)
{
	((struct test_reader *)arg)->woken++;
}

static void on_writable(void *arg)
{
	writable_calls++;
}

static void test_reader_init(struct test_reader *r)
{
	memset(r, 0, sizeof(*r));
	r->reader.park = on_park;
	r->reader.wake = on_wake;
	r->reader.arg = r;
}

static void setup(void)
{
	struct answer_limits limits = {.keep_bytes = KEEP_BYTES,
				       .window_bytes = WINDOW_BYTES};

	answer = answer_new(&limits);
	test_reader_init(&first);
	answer_attach(answer, &first.reader);
	writable_calls = 0;
}

static void teardown(void)
{
	answer_unref(answer);
}

static void append(size_t size)
{
	char bytes[KEEP_BYTES * 2];

	memset(bytes, 'x', sizeof(bytes));
	answer_append(answer, bytes, size);
}

static enum answer_read_result read_up_to(struct test_reader *r,
					  size_t capacity)
{
	char bytes[KEEP_BYTES * 4];
	size_t size;

	return answer_read(&r->reader, bytes, capacity, &size);
}

START_TEST(a_reader_is_parked_until_the_answer_grows)
{
	struct answer_head head;

	ck_assert(!answer_read_head(&first.reader, &head));
	ck_assert_int_eq(first.parked, 1);
	answer_start(answer, 200, "text/plain");
	ck_assert_int_eq(first.woken, 0);
	append(10);
	answer_flush(answer);
	ck_assert_int_eq(first.woken, 1);
	ck_assert(answer_read_head(&first.reader, &head));
	ck_assert(!head.size_known);
	ck_assert_int_eq(read_up_to(&first, 100), ANSWER_BYTES);
	ck_assert_int_eq(read_up_to(&first, 100), ANSWER_WAIT);
	answer_finish(answer, true);
	ck_assert_int_eq(first.woken, 2);
	ck_assert_int_eq(read_up_to(&first, 100), ANSWER_COMPLETE);
	answer_detach(&first.reader);
}
END_TEST

START_TEST(a_truncated_answer_is_reported_as_such)
{
	answer_start(answer, 200, "text/plain");
	append(10);
	answer_finish(answer, false);
	ck_assert_int_eq(read_up_to(&first, 100), ANSWER_BYTES);
	ck_assert_int_eq(read_up_to(&first, 100), ANSWER_TRUNCATED);
	ck_assert(!answer_is_replayable(answer));
	answer_detach(&first.reader);
}
END_TEST

START_TEST(the_writer_pauses_until_half_the_window_is_read)
{
	answer_start(answer, 200, "text/plain");
	append(WINDOW_BYTES);
	ck_assert(!answer_may_write(answer, on_writable, NULL));
	read_up_to(&first, WINDOW_BYTES / 2 - 1);
	ck_assert_int_eq(writable_calls, 0);
	read_up_to(&first, 1);
	ck_assert_int_eq(writable_calls, 1);
	ck_assert(answer_may_write(answer, on_writable, NULL));
	append(WINDOW_BYTES);
	ck_assert(!answer_may_write(answer, on_writable, NULL));
	answer_cancel_on_writable(answer);
	read_up_to(&first, 2 * WINDOW_BYTES);
	ck_assert_int_eq(writable_calls, 1);
	answer_finish(answer, true);
	answer_detach(&first.reader);
}
END_TEST

START_TEST(the_writer_resumes_when_the_reader_detaches)
{
	answer_start(answer, 200, "text/plain");
	append(WINDOW_BYTES);
	ck_assert(!answer_may_write(answer, on_writable, NULL));
	answer_detach(&first.reader);
	ck_assert_int_eq(writable_calls, 1);
	ck_assert(answer_may_write(answer, on_writable, NULL));
	answer_finish(answer, true);
}
END_TEST

START_TEST(a_second_reader_reads_from_the_start)
{
	struct test_reader second;

	answer_start(answer, 200, "text/plain");
	append(30);
	read_up_to(&first, 100);
	test_reader_init(&second);
	answer_attach(answer, &second.reader);
	ck_assert_uint_eq(second.reader.offset, 0);
	ck_assert_int_eq(read_up_to(&second, 100), ANSWER_BYTES);
	ck_assert_uint_eq(second.reader.offset, 30);
	answer_finish(answer, true);
	answer_detach(&second.reader);
	answer_detach(&first.reader);
}
END_TEST

/* Beyond the limit, bytes that the newest reader has read are dropped. */
START_TEST(an_older_reader_that_falls_behind_gets_a_truncated_answer)
{
	struct test_reader second;

	answer_start(answer, 200, "text/plain");
	test_reader_init(&second);
	answer_attach(answer, &second.reader);
	for (int i = 0; i < 20; i++) {
		append(WINDOW_BYTES);
		while (read_up_to(&second, 1000) == ANSWER_BYTES)
			continue;
	}
	ck_assert(!answer_is_replayable(answer));
	ck_assert_int_eq(read_up_to(&first, 10), ANSWER_TRUNCATED);
	answer_finish(answer, true);
	ck_assert_int_eq(read_up_to(&second, 10), ANSWER_COMPLETE);
	answer_detach(&second.reader);
	answer_detach(&first.reader);
}
END_TEST

START_TEST(parked_readers_move_to_another_answer)
{
	struct answer_limits limits = {.keep_bytes = KEEP_BYTES,
				       .window_bytes = WINDOW_BYTES};
	struct answer *other = answer_new(&limits);
	struct answer_head head;

	ck_assert(!answer_read_head(&first.reader, &head));
	answer_set(other, 201, "a/b", "whole", 5);
	answer_move_readers(answer, other);
	ck_assert_int_eq(first.woken, 1);
	ck_assert(answer_read_head(&first.reader, &head));
	ck_assert_int_eq(head.status, 201);
	ck_assert(head.size_known);
	ck_assert_uint_eq(head.size, 5);
	answer_detach(&first.reader);
	answer_unref(other);
}
END_TEST

static pthread_mutex_t race_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t race_change = PTHREAD_COND_INITIALIZER;
static bool race_parked;
static bool race_writable;

static void race_park(void *arg)
{
	pthread_mutex_lock(&race_lock);
	race_parked = true;
	pthread_mutex_unlock(&race_lock);
}

static void race_wake(void *arg)
{
	pthread_mutex_lock(&race_lock);
	race_parked = false;
	pthread_cond_broadcast(&race_change);
	pthread_mutex_unlock(&race_lock);
}

static void race_on_writable(void *arg)
{
	pthread_mutex_lock(&race_lock);
	race_writable = true;
	pthread_cond_broadcast(&race_change);
	pthread_mutex_unlock(&race_lock);
}

static void *race_write(void *arg)
{
	for (size_t i = 0; i < RACE_BYTES; i++) {
		char byte = (char)i;

		while (!answer_may_write(answer, race_on_writable, NULL)) {
			pthread_mutex_lock(&race_lock);
			while (!race_writable)
				pthread_cond_wait(&race_change, &race_lock);
			race_writable = false;
			pthread_mutex_unlock(&race_lock);
		}
		answer_append(answer, &byte, 1);
		answer_flush(answer);
	}
	answer_finish(answer, true);
	return NULL;
}

/* Guards against a lost wake-up or byte between a writer and a reader that run
 * on two threads. */
START_TEST(two_threads_lose_no_byte_and_no_wake_up)
{
	enum answer_read_result result;
	pthread_t writer;
	size_t total = 0;

	first.reader.park = race_park;
	first.reader.wake = race_wake;
	answer_start(answer, 200, "text/plain");
	pthread_create(&writer, NULL, race_write, NULL);
	do {
		char bytes[64];
		size_t size;

		result =
			answer_read(&first.reader, bytes, sizeof(bytes), &size);
		for (size_t i = 0; i < size; i++)
			ck_assert_int_eq(bytes[i], (char)(total + i));
		total += size;
		pthread_mutex_lock(&race_lock);
		while (result == ANSWER_WAIT && race_parked)
			pthread_cond_wait(&race_change, &race_lock);
		pthread_mutex_unlock(&race_lock);
	} while (result != ANSWER_COMPLETE);
	pthread_join(writer, NULL);
	ck_assert_uint_eq(total, RACE_BYTES);
	answer_detach(&first.reader);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("answer");
	TCase *tcase = tcase_create("answer");

	tcase_set_timeout(tcase, 60);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, a_reader_is_parked_until_the_answer_grows);
	tcase_add_test(tcase, a_truncated_answer_is_reported_as_such);
	tcase_add_test(tcase, the_writer_pauses_until_half_the_window_is_read);
	tcase_add_test(tcase, the_writer_resumes_when_the_reader_detaches);
	tcase_add_test(tcase, a_second_reader_reads_from_the_start);
	tcase_add_test(
		tcase,
		an_older_reader_that_falls_behind_gets_a_truncated_answer);
	tcase_add_test(tcase, parked_readers_move_to_another_answer);
	tcase_add_test(tcase, two_threads_lose_no_byte_and_no_wake_up);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
