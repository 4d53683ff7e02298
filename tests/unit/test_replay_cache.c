/* Tests the cache of complete answers that are replayed to retries: the lookup,
 * expiry, the limit on memory, and that no incomplete answer is kept. */
#include "daemon/replay_cache.h"

#include <string.h>

#include "base/xalloc.h"
#include "unit/unit_main.h"

#define KEEP_US 1000
#define MAX_BYTES 4096

static const struct answer_limits limits = {.keep_bytes = 1 << 20,
					    .window_bytes = 1 << 20};
static struct replay_cache *cache;

static void setup(void)
{
	cache = replay_cache_new(MAX_BYTES, KEEP_US);
}

static void teardown(void)
{
	replay_cache_free(cache);
}

static void add(uint8_t key, uint8_t body, size_t size, int64_t now_us)
{
	struct tgw_request_key request_key = {{key}};
	uint8_t hash[TGW_BODY_HASH_BYTES] = {body};
	struct answer *answer = answer_new(&limits);
	char *bytes = xcalloc(1, size + 1);

	answer_set(answer, 200, "text/plain", bytes, size);
	replay_cache_add(cache, &request_key, hash, answer, now_us);
	answer_unref(answer);
	free(bytes);
}

static enum replay_result find(uint8_t key, uint8_t body, int64_t now_us)
{
	struct tgw_request_key request_key = {{key}};
	uint8_t hash[TGW_BODY_HASH_BYTES] = {body};
	struct answer *answer;

	return replay_cache_find(cache, &request_key, hash, now_us, &answer);
}

START_TEST(an_answer_is_found_by_key_and_body)
{
	add(1, 1, 10, 0);
	ck_assert_int_eq(find(1, 1, 1), REPLAY_FOUND);
	ck_assert_int_eq(find(1, 2, 1), REPLAY_OTHER_BODY);
	ck_assert_int_eq(find(2, 1, 1), REPLAY_NONE);
}
END_TEST

START_TEST(an_answer_expires)
{
	add(1, 1, 10, 0);
	add(2, 1, 10, KEEP_US / 2);
	ck_assert_int_eq(find(1, 1, KEEP_US - 1), REPLAY_FOUND);
	ck_assert_int_eq(find(1, 1, KEEP_US), REPLAY_NONE);
	ck_assert_int_eq(find(2, 1, KEEP_US), REPLAY_FOUND);
	ck_assert_uint_eq(replay_cache_count(cache), 1);
}
END_TEST

START_TEST(memory_is_bounded_and_the_oldest_answers_are_evicted)
{
	for (uint8_t key = 1; key <= 20; key++) {
		add(key, 1, 500, key);
		ck_assert_uint_le(replay_cache_bytes(cache), MAX_BYTES);
	}
	ck_assert_int_eq(find(20, 1, 20), REPLAY_FOUND);
	ck_assert_int_eq(find(1, 1, 20), REPLAY_NONE);
	add(99, 1, MAX_BYTES, 21);
	ck_assert_int_eq(find(99, 1, 21), REPLAY_NONE);
	ck_assert_int_eq(find(20, 1, 21), REPLAY_FOUND);
}
END_TEST

START_TEST(an_incomplete_answer_is_not_kept)
{
	struct tgw_request_key key = {{1}};
	uint8_t hash[TGW_BODY_HASH_BYTES] = {0};
	struct answer *answer = answer_new(&limits);

	answer_start(answer, 200, "text/plain");
	answer_append(answer, "half", 4);
	answer_finish(answer, false);
	replay_cache_add(cache, &key, hash, answer, 0);
	ck_assert_int_eq(find(1, 0, 1), REPLAY_NONE);
	answer_unref(answer);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("replay_cache");
	TCase *tcase = tcase_create("cache");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, an_answer_is_found_by_key_and_body);
	tcase_add_test(tcase, an_answer_expires);
	tcase_add_test(tcase,
		       memory_is_bounded_and_the_oldest_answers_are_evicted);
	tcase_add_test(tcase, an_incomplete_answer_is_not_kept);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
