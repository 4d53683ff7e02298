/* Tests the table of a prefix that is passed on from host to host, where it is
 * large. */
#include "state/mirror_table.h"

#include <stdio.h>

#include "tamarackgw/host_view.h"
#include "unit/unit_main.h"

#define KEYS 20000
#define REVISION 7
/* Time that grows with the square of the keys is many times this one. */
#define TIMEOUT_S 3

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

START_TEST(applying_all_keys_takes_no_time_by_the_square_of_them)
{
	struct mirror_table table = {0};
	struct mirror_table follower = {0};
	struct buffer bytes = {0};
	int deleted = 0;
	struct mirror_listener listener = {on_changed, &deleted};

	for (int key = 0; key < KEYS; key++)
		put(&table, key, REVISION);
	mirror_table_confirm(&table, REVISION);
	put(&follower, KEYS, 1);
	mirror_table_confirm(&follower, 1);
	ck_assert(mirror_table_encode(&table, 0, &bytes));
	ck_assert_int_eq(mirror_table_decode(&follower, bytes.data, bytes.size,
					     &listener),
			 TGW_OK);
	ck_assert_int_eq(deleted, 1);
	ck_assert_int_eq(follower.revision, REVISION);
	ck_assert_uint_eq(follower.count, KEYS + 1);
	buffer_free(&bytes);
	mirror_table_clear(&follower);
	mirror_table_clear(&table);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("mirror_table");
	TCase *tcase = tcase_create("large");

	tcase_set_timeout(tcase, TIMEOUT_S);
	tcase_add_test(tcase,
		       applying_all_keys_takes_no_time_by_the_square_of_them);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
