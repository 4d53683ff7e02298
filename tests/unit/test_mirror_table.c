/* Tests the table of a prefix that is passed on from host to host, where it is
 * large. */
#include "state/mirror_table.h"

#include <stdio.h>
#include <string.h>
#include <time.h>

#include "base/packed.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/random.h"
#include "unit/unit_main.h"

#define KEYS 5000
#define REVISION 7
#define SERVERS 3000
/* Four times the keys take four times as long, or 16 times if the time grows
 * with their square. */
#define MORE_KEYS (4 * KEYS)
#define MAX_TIMES_LONGER 8
#define TRIES 3
#define TIMEOUT_S 60

static void on_changed(void *arg, const struct tgw_store_entry *entry)
{
	int *deleted = arg;

	*deleted += !entry->value;
}

static void put(struct mirror_table *table, int key, int64_t version)
{
	char name[TGW_NAME_SIZE];
	struct tgw_store_entry entry = {
		.key = name,
		.value = (const uint8_t *)"value",
		.value_size = 5,
		.version = version,
	};

	snprintf(name, sizeof(name), "servers/%06d", key);
	mirror_table_apply(table, &entry);
}

static int64_t processor_time_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_PROCESS_CPUTIME_ID, &now);
	return now.tv_sec * TGW_US_PER_S + now.tv_nsec / 1000;
}

/* @return the processor time in which a follower applies so many keys */
static int64_t apply_us(int key_count)
{
	struct mirror_table table = {0};
	struct mirror_table follower = {0};
	struct buffer bytes = {0};
	int deleted = 0;
	struct mirror_listener listener = {on_changed, &deleted};
	int64_t started_us;
	int64_t taken_us;

	for (int key = 0; key < key_count; key++)
		put(&table, key, REVISION);
	mirror_table_confirm(&table, REVISION);
	put(&follower, key_count, 1);
	mirror_table_confirm(&follower, 1);
	ck_assert(mirror_table_encode(&table, 0, &bytes));
	started_us = processor_time_us();
	ck_assert_int_eq(mirror_table_decode(&follower, bytes.data, bytes.size,
					     &listener),
			 TGW_OK);
	taken_us = processor_time_us() - started_us;
	ck_assert_int_eq(deleted, 1);
	ck_assert_int_eq(follower.revision, REVISION);
	ck_assert_uint_eq(follower.count, (size_t)key_count + 1);
	buffer_free(&bytes);
	mirror_table_clear(&follower);
	mirror_table_clear(&table);
	return taken_us;
}

static int64_t shortest_apply_us(int key_count)
{
	int64_t shortest_us = INT64_MAX;

	for (int i = 0; i < TRIES; i++) {
		int64_t taken_us = apply_us(key_count);

		if (taken_us < shortest_us)
			shortest_us = taken_us;
	}
	return shortest_us;
}

START_TEST(applying_all_keys_takes_no_time_by_the_square_of_them)
{
	ck_assert_int_le(shortest_apply_us(MORE_KEYS),
			 MAX_TIMES_LONGER * shortest_apply_us(KEYS));
}
END_TEST

static size_t put_server(struct mirror_table *table, int server,
			 struct tgw_random *random)
{
	char name[TGW_NAME_SIZE];
	char value[256];
	struct tgw_store_entry entry = {
		.key = name,
		.value = (const uint8_t *)value,
		.version = REVISION + server,
	};

	snprintf(name, sizeof(name), "servers/i-%010llx",
		 (unsigned long long)tgw_random_below(random, 1ULL << 40));
	entry.value_size = (size_t)snprintf(
		value, sizeof(value),
		"{\"service\":\"llm\",\"address\":\"10.1.%d.%d:8285\","
		"\"zone\":\"north-a\",\"version\":1,\"slots\":16,\"state\":"
		"\"ready\",\"sequence\":%d,\"born\":%d}",
		server / 250, server % 250, (int)tgw_random_below(random, 1000),
		(int)tgw_random_below(random, 1000000));
	mirror_table_apply(table, &entry);
	return entry.value_size + strlen(name);
}

START_TEST(a_list_of_servers_takes_a_third_of_its_bytes)
{
	struct mirror_table table = {0};
	struct mirror_table follower = {0};
	struct buffer bytes = {0};
	struct tgw_random random;
	int deleted = 0;
	struct mirror_listener listener = {on_changed, &deleted};
	size_t size = 0;

	tgw_random_init(&random, 1);
	for (int server = 0; server < SERVERS; server++)
		size += put_server(&table, server, &random);
	mirror_table_confirm(&table, REVISION + SERVERS);
	ck_assert(mirror_table_encode(&table, 0, &bytes));
	ck_assert_uint_le(bytes.size, size / 3);
	ck_assert_int_eq(mirror_table_decode(&follower, bytes.data,
					     bytes.size - 1, &listener),
			 TGW_CORRUPT);
	ck_assert_int_eq(mirror_table_decode(&follower, bytes.data, bytes.size,
					     &listener),
			 TGW_OK);
	ck_assert_uint_eq(follower.count, SERVERS);
	buffer_free(&bytes);
	mirror_table_clear(&follower);
	mirror_table_clear(&table);
}
END_TEST

START_TEST(compressed_changes_larger_than_allowed_are_rejected)
{
	struct mirror_table follower = {0};
	struct buffer zeros = {0};
	struct buffer bytes = {0};
	struct mirror_listener listener = {on_changed, NULL};

	for (size_t i = 0; i <= MIRROR_CHANGES_MAX_BYTES / KEYS; i++) {
		static const char block[KEYS];

		buffer_add(&zeros, block, sizeof(block));
	}
	packed_add(&bytes, zeros.data, zeros.size);
	ck_assert_int_eq(mirror_table_decode(&follower, bytes.data, bytes.size,
					     &listener),
			 TGW_CORRUPT);
	buffer_free(&zeros);
	buffer_free(&bytes);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("mirror_table");
	TCase *tcase = tcase_create("large");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase,
		       applying_all_keys_takes_no_time_by_the_square_of_them);
	tcase_add_test(tcase, a_list_of_servers_takes_a_third_of_its_bytes);
	tcase_add_test(tcase,
		       compressed_changes_larger_than_allowed_are_rejected);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
