/* Tests the messages by which a host follows the store through another one. */
#include "state/change_message.h"

#include <string.h>

#include "state/mirror_table.h"
#include "unit/unit_main.h"

static const uint8_t part[CHANGE_PART_MAX_BYTES] = "changes";

static void fill_message(struct change_message *message)
{
	memset(message, 0, sizeof(*message));
	message->kind = CHANGE_MESSAGE_PART;
	message->sequence = UINT64_C(1) << 40;
	message->stamp_us = INT64_C(1) << 50;
	message->held_us = 999999;
	message->state_count = CHANGE_PREFIXES_MAX;
	for (int i = 0; i < CHANGE_PREFIXES_MAX; i++)
		message->states[i] = (struct change_state){
			.revision = INT64_C(1) << 40,
			.changed_revision = INT64_C(1) << 39,
			.age_us = i ? 1000000 : -1,
			.store_unreachable = i % 2,
		};
	message->prefix = 2;
	message->after_revision = 17;
	message->revision = INT64_C(1) << 40;
	message->offset = 2 * CHANGE_PART_MAX_BYTES;
	message->total_size = 9 * CHANGE_PART_MAX_BYTES;
	message->part = part;
	message->part_size = sizeof(part);
}

static void check_refused(const struct change_message *message)
{
	struct change_message decoded;
	struct buffer bytes = {0};

	change_message_encode(message, &bytes);
	ck_assert_int_eq(change_message_decode(&decoded, bytes.data, bytes.size,
					       NULL),
			 TGW_CORRUPT);
	buffer_free(&bytes);
}

START_TEST(a_message_is_decoded_as_it_was_encoded)
{
	struct change_message message;
	struct change_message decoded;
	struct buffer bytes = {0};

	fill_message(&message);
	change_message_encode(&message, &bytes);
	ck_assert_uint_le(bytes.size, CHANGE_PART_MAX_BYTES + 270);
	ck_assert_int_eq(change_message_decode(&decoded, bytes.data, bytes.size,
					       NULL),
			 TGW_OK);
	ck_assert_mem_eq(decoded.part, part, sizeof(part));
	decoded.part = message.part;
	ck_assert_mem_eq(decoded.states, message.states,
			 sizeof(message.states));
	ck_assert_int_eq(decoded.stamp_us, message.stamp_us);
	ck_assert_uint_eq(decoded.offset, message.offset);
	ck_assert_uint_eq(decoded.total_size, message.total_size);
	buffer_free(&bytes);
}
END_TEST

START_TEST(a_truncated_message_is_refused)
{
	struct change_message message;
	struct change_message decoded;
	struct buffer bytes = {0};

	fill_message(&message);
	change_message_encode(&message, &bytes);
	for (size_t size = 0; size < bytes.size; size++)
		ck_assert_int_ne(change_message_decode(&decoded, bytes.data,
						       size, NULL),
				 TGW_OK);
	buffer_free(&bytes);
}
END_TEST

START_TEST(fields_out_of_range_are_refused)
{
	struct change_message message;

	fill_message(&message);
	message.total_size = MIRROR_CHANGES_MAX_BYTES + 1;
	check_refused(&message);
	fill_message(&message);
	message.offset = message.total_size - 1;
	check_refused(&message);
	fill_message(&message);
	message.prefix = CHANGE_PREFIXES_MAX;
	check_refused(&message);
	fill_message(&message);
	message.kind = CHANGE_MESSAGE_KIND_END;
	check_refused(&message);
	fill_message(&message);
	message.states[3].changed_revision = message.states[3].revision + 1;
	check_refused(&message);
	fill_message(&message);
	message.held_us = -1;
	check_refused(&message);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("change_message");
	TCase *tcase = tcase_create("core");

	tcase_add_test(tcase, a_message_is_decoded_as_it_was_encoded);
	tcase_add_test(tcase, a_truncated_message_is_refused);
	tcase_add_test(tcase, fields_out_of_range_are_refused);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
