/* Tests the audit trail's entries: a chain of hashes detects an entry that was
 * altered, removed or replaced, and packed entries are checked when they are
 * read. */
#include "state/audit_entry.h"

#include <string.h>

#include "base/text.h"
#include "unit/unit_main.h"

#define ENTRIES 4

static struct audit_entry chain[ENTRIES];

static void setup(void)
{
	memset(chain, 0, sizeof(chain));
	for (int i = 0; i < ENTRIES; i++) {
		chain[i].wall_us = 1000 + i;
		text_copy(chain[i].who, sizeof(chain[i].who), "ana");
		text_copy(chain[i].action, sizeof(chain[i].action),
			  "budget.top-up");
		text_copy(chain[i].object, sizeof(chain[i].object),
			  "field-staff");
		text_copy(chain[i].before, sizeof(chain[i].before), "100");
		text_copy(chain[i].after, sizeof(chain[i].after), "200");
		text_copy(chain[i].reason, sizeof(chain[i].reason),
			  "invoice 17");
		audit_entry_chain(&chain[i], i ? &chain[i - 1] : NULL);
	}
}

static enum tgw_status verify(int at, int previous)
{
	return audit_entry_verify(&chain[at],
				  previous < 0 ? NULL : &chain[previous], NULL);
}

START_TEST(an_unaltered_chain_is_valid)
{
	ck_assert_int_eq(verify(0, -1), TGW_OK);
	for (int i = 1; i < ENTRIES; i++) {
		ck_assert_uint_eq(chain[i].sequence, (uint64_t)i + 1);
		ck_assert_int_eq(verify(i, i - 1), TGW_OK);
	}
}
END_TEST

/* The hash covers every field. */
START_TEST(an_altered_field_is_detected)
{
	struct audit_entry *entry = &chain[1];
	uint8_t *const fields[] = {
		(uint8_t *)&entry->sequence,
		(uint8_t *)&entry->wall_us,
		(uint8_t *)entry->who,
		(uint8_t *)entry->from,
		(uint8_t *)entry->action,
		(uint8_t *)entry->object,
		(uint8_t *)entry->before,
		(uint8_t *)entry->after,
		(uint8_t *)entry->reason,
		entry->previous_hash,
		entry->hash,
		entry->change_digest,
	};

	ck_assert_int_eq(verify(1, 0), TGW_OK);
	*fields[_i] ^= 1;
	ck_assert_int_eq(verify(1, -1), TGW_CORRUPT);
}
END_TEST

START_TEST(a_removed_or_replaced_entry_is_detected)
{
	struct tgw_error error;

	ck_assert_int_eq(audit_entry_verify(&chain[2], &chain[0], &error),
			 TGW_CORRUPT);
	ck_assert_ptr_nonnull(strstr(error.message, "removed"));
	/* The entry is altered and its own hash is recomputed. */
	text_copy(chain[1].after, sizeof(chain[1].after), "900");
	audit_entry_chain(&chain[1], &chain[0]);
	ck_assert_int_eq(verify(1, 0), TGW_OK);
	ck_assert_int_eq(audit_entry_verify(&chain[2], &chain[1], &error),
			 TGW_CORRUPT);
	ck_assert_ptr_nonnull(strstr(error.message, "link"));
}
END_TEST

static enum tgw_status unpack(const msgpack_sbuffer *bytes, size_t size,
			      struct audit_entry *entry)
{
	msgpack_unpacked unpacked;
	enum tgw_status status = TGW_CORRUPT;

	msgpack_unpacked_init(&unpacked);
	if (msgpack_unpack_next(&unpacked, bytes->data, size, NULL) ==
	    MSGPACK_UNPACK_SUCCESS)
		status = audit_entry_unpack(entry, &unpacked.data, NULL);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}

START_TEST(an_entry_round_trips_and_truncations_are_rejected)
{
	msgpack_sbuffer bytes;
	msgpack_packer packer;
	struct audit_entry entry;

	msgpack_sbuffer_init(&bytes);
	msgpack_packer_init(&packer, &bytes, msgpack_sbuffer_write);
	audit_entry_pack(&chain[2], &packer);
	ck_assert_int_eq(unpack(&bytes, bytes.size, &entry), TGW_OK);
	ck_assert_mem_eq(&entry, &chain[2], sizeof(entry));
	for (size_t size = 0; size < bytes.size; size++)
		ck_assert_int_ne(unpack(&bytes, size, &entry), TGW_OK);
	bytes.data[1] = 2; /* the format version */
	ck_assert_int_eq(unpack(&bytes, bytes.size, &entry), TGW_NEWER_FORMAT);
	msgpack_sbuffer_destroy(&bytes);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("audit_entry");
	TCase *tcase = tcase_create("chain");

	tcase_add_checked_fixture(tcase, setup, NULL);
	tcase_add_test(tcase, an_unaltered_chain_is_valid);
	tcase_add_loop_test(tcase, an_altered_field_is_detected, 0, 12);
	tcase_add_test(tcase, a_removed_or_replaced_entry_is_detected);
	tcase_add_test(tcase,
		       an_entry_round_trips_and_truncations_are_rejected);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
