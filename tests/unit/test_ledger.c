/* Tests the rules of the ledger: top-ups, charges for closed lines, encoding,
 * messages between the budget agents, and the size of an allotment. A ledger
 * line is one host's record in a ledger bucket. */
#include <stdlib.h>
#include <string.h>

#include "state/allotment_policy.h"
#include "state/budget_message.h"
#include "state/ledger_bucket.h"
#include "state/ledger_codec.h"
#include "tamarackgw/random.h"
#include "unit/unit_main.h"

static struct ledger_bucket bucket;

static void setup(void)
{
	bool applied;

	memset(&bucket, 0, sizeof(bucket));
	ledger_bucket_top_up(&bucket, "acme", "pay-1", 1000, 7, &applied, NULL);
}

static void teardown(void)
{
	ledger_bucket_clear(&bucket);
}

static const struct {
	const char *budget;
	const char *id;
	int64_t tokens;
	enum tgw_status status;
	bool applied;
} top_ups[] = {
	{"acme", "pay-2", 500, TGW_OK, true},
	{"acme", "pay-1", 1000, TGW_OK, false},
	{"acme", "pay-1", 999, TGW_INVALID, false},
	{"acme", "pay-2", 0, TGW_INVALID, false},
	{"acme", "pay-2", -5, TGW_INVALID, false},
	{"acme", "pay-2", INT64_MIN, TGW_INVALID, false},
	{"acme", "pay-2", INT64_MAX, TGW_INVALID, false},
	{"acme", "pay-2", LEDGER_TOKENS_MAX, TGW_INVALID, false},
	{"other", "pay-2", LEDGER_TOKENS_MAX, TGW_OK, true},
	{"", "pay-2", 5, TGW_INVALID, false},
	{"acme", "", 5, TGW_INVALID, false},
	{"a b", "pay-2", 5, TGW_INVALID, false},
	{"a/b", "pay-2", 5, TGW_INVALID, false},
};

START_TEST(top_ups_are_checked_and_applied_once)
{
	struct tgw_error error = {0};
	bool applied;

	ck_assert_int_eq(ledger_bucket_top_up(
				 &bucket, top_ups[_i].budget, top_ups[_i].id,
				 top_ups[_i].tokens, 8, &applied, &error),
			 top_ups[_i].status);
	ck_assert_int_eq(applied, top_ups[_i].applied);
	ck_assert_int_eq(error.message[0] != '\0',
			 top_ups[_i].status != TGW_OK);
	if (!applied)
		ck_assert_int_eq(bucket.budgets[0].paid_in_tokens, 1000);
}
END_TEST

static struct ledger_line *add_line(uint64_t id, int64_t allotted,
				    int64_t ceiling)
{
	struct ledger_line *line = ledger_bucket_add_line(&bucket, id);
	struct ledger_allotment *allotment =
		ledger_line_obtain_allotment(line, 0);

	strcpy(line->host, "h1");
	allotment->allotted_tokens = allotted;
	allotment->ceiling_tokens = ceiling;
	return line;
}

START_TEST(a_witnessed_line_is_charged_its_ceiling_less_refunds)
{
	struct ledger_line *line = add_line(1, 600, 200);

	ck_assert_int_eq(ledger_bucket_free_tokens(&bucket, 0), 400);
	ledger_line_close(line, LEDGER_CLOSE_BY_WITNESS, 9);
	ck_assert_int_eq(ledger_bucket_free_tokens(&bucket, 0), 800);
	ledger_allotment_refund(&line->allotments[0], 5, 30);
	ledger_allotment_refund(&line->allotments[0], 5, 50);
	ledger_allotment_refund(&line->allotments[0], 5, 40);
	ck_assert_int_eq(ledger_bucket_free_tokens(&bucket, 0), 850);
	ledger_bucket_fold_line(&bucket, 1);
	ck_assert_uint_eq(bucket.line_count, 0);
	ck_assert_int_eq(ledger_bucket_free_tokens(&bucket, 0), 850);
}
END_TEST

START_TEST(an_unwitnessed_line_is_charged_its_whole_allotment)
{
	struct ledger_line *line = add_line(1, 600, 200);

	ledger_line_close(line, LEDGER_CLOSE_AT_ALLOTTED, 9);
	ck_assert_int_eq(ledger_bucket_free_tokens(&bucket, 0), 400);
}
END_TEST

START_TEST(an_overallotted_bucket_is_rejected)
{
	struct ledger_bucket copy;
	struct buffer bytes = {0};

	add_line(1, 1001, 0);
	ledger_codec_encode(&bucket, &bytes);
	ck_assert_int_eq(ledger_codec_decode(&copy, bytes.data, bytes.size,
					     NULL),
			 TGW_CORRUPT);
	buffer_free(&bytes);
}
END_TEST

START_TEST(a_bucket_round_trips_and_truncations_are_rejected)
{
	struct ledger_bucket copy;
	struct buffer bytes = {0};
	struct buffer again = {0};

	ledger_allotment_refund(&add_line(1, 600, 200)->allotments[0], 3, 1);
	ledger_codec_encode(&bucket, &bytes);
	ck_assert_int_eq(ledger_codec_decode(&copy, bytes.data, bytes.size,
					     NULL),
			 TGW_OK);
	ledger_codec_encode(&copy, &again);
	ck_assert_uint_eq(bytes.size, again.size);
	ck_assert_int_eq(memcmp(bytes.data, again.data, bytes.size), 0);
	ledger_bucket_clear(&copy);
	for (size_t size = 1; size < bytes.size; size++)
		ck_assert_int_eq(ledger_codec_decode(&copy, bytes.data, size,
						     NULL),
				 TGW_CORRUPT);
	bytes.data[1] = 2;
	ck_assert_int_eq(ledger_codec_decode(&copy, bytes.data, bytes.size,
					     NULL),
			 TGW_NEWER_FORMAT);
	buffer_free(&bytes);
	buffer_free(&again);
}
END_TEST

START_TEST(mutated_messages_are_rejected_or_have_valid_amounts)
{
	struct budget_message message = {.kind = BUDGET_MESSAGE_RESERVE,
					 .bucket = 3};
	struct budget_message_item *item = budget_message_add(&message);
	struct buffer bytes = {0};
	struct tgw_random random;

	strcpy(item->budget, "acme");
	item->has_key = true;
	item->tokens = 100;
	item->flags = 1;
	budget_message_encode(&message, &bytes);
	budget_message_clear(&message);
	tgw_random_init(&random, 1);
	for (int i = 0; i < 20000; i++) {
		char *mutated = malloc(bytes.size);

		memcpy(mutated, bytes.data, bytes.size);
		for (int j = 0; j < 3; j++)
			mutated[tgw_random_below(&random, bytes.size)] =
				(char)tgw_random_u64(&random);
		if (budget_message_decode(&message, mutated, bytes.size) ==
		    TGW_OK) {
			for (size_t j = 0; j < message.item_count; j++)
				ck_assert_int_ge(message.items[j].tokens, 0);
			budget_message_clear(&message);
		}
		free(mutated);
	}
	buffer_free(&bytes);
}
END_TEST

START_TEST(an_allotment_covers_used_tokens_and_takes_only_free_ones)
{
	struct tgw_random random;

	tgw_random_init(&random, 2);
	for (int i = 0; i < 20000; i++) {
		struct allotment_inputs in = {
			.free_tokens = (int64_t)tgw_random_below(&random, 999),
			.allotted_tokens =
				(int64_t)tgw_random_below(&random, 999),
			.needed_tokens =
				(int64_t)tgw_random_below(&random, 999),
			.recalled_tokens =
				(int64_t)tgw_random_below(&random, 3) * 100,
			.demand_per_s = tgw_random_unit(&random) * 9,
			.others_demand_per_s = tgw_random_unit(&random) * 9,
			.others_left_tokens =
				(int64_t)tgw_random_below(&random, 999),
			.others_count = (uint32_t)tgw_random_below(&random, 5),
			.ride_out_s = 3600,
			.domains = 4,
		};
		int64_t decided;

		in.used_tokens = (int64_t)tgw_random_below(
			&random, (uint64_t)in.allotted_tokens + 1);
		decided = allotment_policy_decide(&in);
		ck_assert_int_ge(decided, in.used_tokens);
		ck_assert_int_le(decided, in.allotted_tokens + in.free_tokens);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("ledger");
	TCase *tcase = tcase_create("state");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_loop_test(tcase, top_ups_are_checked_and_applied_once, 0,
			    sizeof(top_ups) / sizeof(top_ups[0]));
	tcase_add_test(tcase,
		       a_witnessed_line_is_charged_its_ceiling_less_refunds);
	tcase_add_test(tcase,
		       an_unwitnessed_line_is_charged_its_whole_allotment);
	tcase_add_test(tcase, an_overallotted_bucket_is_rejected);
	tcase_add_test(tcase,
		       a_bucket_round_trips_and_truncations_are_rejected);
	tcase_add_test(tcase,
		       mutated_messages_are_rejected_or_have_valid_amounts);
	tcase_add_test(
		tcase,
		an_allotment_covers_used_tokens_and_takes_only_free_ones);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
