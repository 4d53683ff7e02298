#include "ctl/budget_print.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <time.h>

#define TIME_SIZE 32

static const char *reason_text(enum ledger_close_reason reason)
{
	if (reason == LEDGER_CLOSE_BY_WITNESS)
		return "host gone; charged the ceiling its witness knew";
	if (reason == LEDGER_CLOSE_AT_ALLOTTED)
		return "host gone without a witness; charged all it held";
	return "";
}

static void format_time(char when[TIME_SIZE], int64_t wall_us)
{
	time_t seconds = (time_t)(wall_us / 1000000);
	struct tm utc;

	gmtime_r(&seconds, &utc);
	strftime(when, TIME_SIZE, "%Y-%m-%dT%H:%M:%SZ", &utc);
}

static int64_t held_tokens(const struct ledger_bucket *bucket, uint32_t index)
{
	int64_t held = 0;

	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_line *line = &bucket->lines[i];
		const struct ledger_allotment *allotment =
			ledger_line_find_allotment(line, index);

		if (allotment && line->state == LEDGER_LINE_OPEN)
			held += allotment->allotted_tokens -
				allotment->settled_tokens;
	}
	return held;
}

static int64_t charged_tokens(const struct ledger_bucket *bucket,
			      uint32_t index)
{
	int64_t charged = bucket->budgets[index].folded_tokens;

	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_line *line = &bucket->lines[i];
		const struct ledger_allotment *allotment =
			ledger_line_find_allotment(line, index);

		if (!allotment)
			continue;
		charged += line->state == LEDGER_LINE_OPEN
				   ? allotment->settled_tokens
				   : ledger_allotment_debit(line, allotment);
	}
	return charged;
}

static json_t *budget_to_json(const struct ledger_bucket *bucket,
			      uint32_t index)
{
	return json_pack("{s:s, s:I, s:I, s:I, s:I}", "budget",
			 bucket->budgets[index].name, "paid_in_tokens",
			 (json_int_t)bucket->budgets[index].paid_in_tokens,
			 "charged_tokens",
			 (json_int_t)charged_tokens(bucket, index),
			 "held_tokens", (json_int_t)held_tokens(bucket, index),
			 "free_tokens",
			 (json_int_t)ledger_bucket_free_tokens(bucket, index));
}

static json_t *line_to_json(const struct ledger_line *line,
			    const struct ledger_allotment *allotment)
{
	char when[TIME_SIZE] = "";

	if (line->closed_wall_us)
		format_time(when, line->closed_wall_us);
	return json_pack(
		"{s:s, s:s, s:s, s:I, s:I, s:s, s:s, s:s}", "host", line->host,
		"failure_domain", line->domain, "state",
		line->state == LEDGER_LINE_OPEN ? "open" : "written-off",
		line->state == LEDGER_LINE_OPEN ? "allotted_tokens"
						: "charged_tokens",
		(json_int_t)ledger_allotment_debit(line, allotment),
		"settled_tokens", (json_int_t)allotment->settled_tokens,
		"witness", line->witness, "closed_at", when, "reason",
		reason_text(line->reason));
}

static void print_json(json_t *object)
{
	json_dumpf(object, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(object);
}

static void print_one_json(const struct ledger_bucket *bucket, uint32_t index)
{
	json_t *object = budget_to_json(bucket, index);
	json_t *lines = json_array();
	json_t *top_ups = json_array();
	const struct ledger_budget *budget = &bucket->budgets[index];

	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_allotment *allotment =
			ledger_line_find_allotment(&bucket->lines[i], index);

		if (allotment)
			json_array_append_new(lines,
					      line_to_json(&bucket->lines[i],
							   allotment));
	}
	for (size_t i = 0; i < budget->top_up_count; i++)
		json_array_append_new(
			top_ups,
			json_pack("{s:s, s:I}", "id", budget->top_ups[i].id,
				  "tokens",
				  (json_int_t)budget->top_ups[i].tokens));
	json_object_set_new(object, "lines", lines);
	json_object_set_new(object, "recent_top_ups", top_ups);
	print_json(object);
}

static void print_line(const struct ledger_line *line,
		       const struct ledger_allotment *allotment)
{
	if (line->state == LEDGER_LINE_CLOSED)
		printf("  %s in %s: written off, charged %" PRId64
		       " of which %" PRId64 " known as settled; %s\n",
		       line->host, line->domain,
		       ledger_allotment_debit(line, allotment),
		       allotment->settled_tokens, reason_text(line->reason));
	else
		printf("  %s in %s: holds %" PRId64 ", reserved or not yet "
		       "spent; settled %" PRId64 "%s%s\n",
		       line->host, line->domain,
		       allotment->allotted_tokens - allotment->settled_tokens,
		       allotment->settled_tokens,
		       line->witness[0] ? "; witness " : "; no witness",
		       line->witness);
}

void budget_print_one(const struct ctl *ctl, const struct ledger_bucket *bucket,
		      uint32_t index)
{
	const struct ledger_budget *budget = &bucket->budgets[index];

	if (ctl->json) {
		print_one_json(bucket, index);
		return;
	}
	printf("%s: paid in %" PRId64 ", charged %" PRId64
	       ", held by hosts %" PRId64 ", free %" PRId64 "\n",
	       budget->name, budget->paid_in_tokens,
	       charged_tokens(bucket, index), held_tokens(bucket, index),
	       ledger_bucket_free_tokens(bucket, index));
	printf("  charged by lines that were returned: %" PRId64 "\n",
	       budget->folded_tokens);
	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_allotment *allotment =
			ledger_line_find_allotment(&bucket->lines[i], index);

		if (allotment)
			print_line(&bucket->lines[i], allotment);
	}
	for (size_t i = 0; i < budget->top_up_count; i++)
		printf("  top-up %s: %" PRId64 "\n", budget->top_ups[i].id,
		       budget->top_ups[i].tokens);
}

void budget_printer_start(struct budget_printer *printer, bool json)
{
	printer->rows = json ? json_array() : NULL;
}

void budget_printer_finish(struct budget_printer *printer)
{
	if (printer->rows)
		print_json(printer->rows);
}

void budget_print_row(struct budget_printer *printer,
		      const struct ledger_bucket *bucket, uint32_t index)
{
	if (printer->rows) {
		json_array_append_new(printer->rows,
				      budget_to_json(bucket, index));
		return;
	}
	printf("%-32s paid in %12" PRId64 "  charged %12" PRId64
	       "  held %12" PRId64 "  free %12" PRId64 "\n",
	       bucket->budgets[index].name,
	       bucket->budgets[index].paid_in_tokens,
	       charged_tokens(bucket, index), held_tokens(bucket, index),
	       ledger_bucket_free_tokens(bucket, index));
}

static void add_write_off(struct budget_printer *printer,
			  const struct ledger_bucket *bucket, uint32_t index,
			  const struct ledger_line *line,
			  const struct ledger_allotment *allotment)
{
	json_t *object = line_to_json(line, allotment);

	if (printer->rows) {
		json_object_set_new(object, "budget",
				    json_string(bucket->budgets[index].name));
		json_array_append_new(printer->rows, object);
		return;
	}
	printf("%s  %s  %s in %s: charged %" PRId64
	       ", known as settled %" PRId64 "; %s\n",
	       json_string_value(json_object_get(object, "closed_at")),
	       bucket->budgets[index].name, line->host, line->domain,
	       ledger_allotment_debit(line, allotment),
	       allotment->settled_tokens, reason_text(line->reason));
	json_decref(object);
}

void budget_print_write_offs(struct budget_printer *printer,
			     const struct ledger_bucket *bucket, uint32_t index)
{
	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_line *line = &bucket->lines[i];
		const struct ledger_allotment *allotment =
			ledger_line_find_allotment(line, index);

		if (allotment && line->state == LEDGER_LINE_CLOSED)
			add_write_off(printer, bucket, index, line, allotment);
	}
}
