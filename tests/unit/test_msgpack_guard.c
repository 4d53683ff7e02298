/* Tests that the guard accepts only complete MessagePack values. A value of a
 * few bytes can declare so many elements that the library would allocate
 * gigabytes for it. */
#include "base/msgpack_guard.h"

#include <string.h>

#include "tamarackgw/random.h"
#include "unit/unit_main.h"

#define ROUNDS 200000
#define BYTES_MAX 24

/* Values that declare more elements or bytes than follow. */
static const struct {
	const char *bytes;
	size_t size;
} truncated[] = {
	{"\xdd\xff\xff\xff\xff", 5}, {"\xdf\x80\x00\x00\x00", 5},
	{"\xdc\xff\xff", 3},	     {"\x9f\x01", 2},
	{"\xc6\x7f\xff\xff\xff", 5}, {"\xdb\xff\xff\xff\xff", 5},
	{"\x91\xdd\x00\x00\x00", 5}, {"", 0},
};

START_TEST(truncated_values_are_rejected)
{
	ck_assert(!msgpack_guard_is_complete(truncated[_i].bytes,
					     truncated[_i].size));
}
END_TEST

/* The guard must accept exactly the values that the library can unpack. Input
 * that contains a 32-bit array or map header (0xdd, 0xdf) is not given to the
 * library, which may allocate gigabytes for it. */
START_TEST(the_guard_accepts_the_same_values_as_the_library)
{
	struct tgw_random random;
	size_t accepted = 0;

	tgw_random_init(&random, 3);
	for (int i = 0; i < ROUNDS; i++) {
		char bytes[BYTES_MAX];
		size_t size = 1 + tgw_random_below(&random, BYTES_MAX);
		msgpack_unpacked unpacked;
		bool is_complete;

		for (size_t j = 0; j < size; j++)
			bytes[j] = (char)tgw_random_u64(&random);
		bytes[0] = (char)(0x90 + tgw_random_below(&random, 5));
		is_complete = msgpack_guard_is_complete(bytes, size);
		if (memchr(bytes, 0xc1, size)) /* begins no valid value */
			continue;
		if (memchr(bytes, 0xdd, size) || memchr(bytes, 0xdf, size))
			continue;
		msgpack_unpacked_init(&unpacked);
		ck_assert_int_eq(msgpack_unpack_next(&unpacked, bytes, size,
						     NULL) ==
					 MSGPACK_UNPACK_SUCCESS,
				 is_complete);
		msgpack_unpacked_destroy(&unpacked);
		accepted += is_complete;
	}
	ck_assert_uint_gt(accepted, ROUNDS / 100);
	ck_assert_uint_lt(accepted, ROUNDS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("msgpack_guard");
	TCase *tcase = tcase_create("guard");

	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(tcase, truncated_values_are_rejected, 0,
			    sizeof(truncated) / sizeof(truncated[0]));
	tcase_add_test(tcase, the_guard_accepts_the_same_values_as_the_library);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
