#include "state/ledger_bucket.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"

#define RANK_SEED UINT64_C(0x6c6564676572)

void ledger_bucket_key(char key[LEDGER_KEY_SIZE], uint32_t index)
{
	snprintf(key, LEDGER_KEY_SIZE, "tgw/ledger/%04u", index);
}

uint32_t ledger_bucket_of(const char *budget, uint32_t bucket_count)
{
	return (uint32_t)(XXH64(budget, strlen(budget), 0) % bucket_count);
}

uint64_t ledger_bucket_hash(uint32_t index)
{
	return XXH64(&index, sizeof(index), RANK_SEED);
}

static void clear_line(struct ledger_line *line)
{
	for (size_t i = 0; i < line->allotment_count; i++)
		free(line->allotments[i].refunds);
	free(line->allotments);
}

void ledger_bucket_clear(struct ledger_bucket *bucket)
{
	for (size_t i = 0; i < bucket->budget_count; i++)
		free(bucket->budgets[i].top_ups);
	for (size_t i = 0; i < bucket->line_count; i++)
		clear_line(&bucket->lines[i]);
	free(bucket->budgets);
	free(bucket->lines);
	free(bucket->audit);
	memset(bucket, 0, sizeof(*bucket));
}

int ledger_bucket_find_budget(const struct ledger_bucket *bucket,
			      const char *name)
{
	for (size_t i = 0; i < bucket->budget_count; i++)
		if (!strcmp(bucket->budgets[i].name, name))
			return (int)i;
	return -1;
}

static struct ledger_budget *obtain_budget(struct ledger_bucket *bucket,
					   const char *name)
{
	int found = ledger_bucket_find_budget(bucket, name);
	struct ledger_budget *budget;

	if (found >= 0)
		return &bucket->budgets[found];
	bucket->budgets =
		xrealloc(bucket->budgets, (bucket->budget_count + 1) *
						  sizeof(bucket->budgets[0]));
	budget = &bucket->budgets[bucket->budget_count++];
	memset(budget, 0, sizeof(*budget));
	snprintf(budget->name, sizeof(budget->name), "%s", name);
	return budget;
}

static bool is_valid_name(const char *text)
{
	size_t length = strlen(text);

	if (!length || length >= TGW_NAME_SIZE)
		return false;
	for (size_t i = 0; i < length; i++)
		if ((unsigned char)text[i] <= ' ' || text[i] == '/')
			return false;
	return true;
}

static const struct ledger_top_up *find_top_up(
	const struct ledger_budget *budget, const char *id)
{
	for (size_t i = 0; i < budget->top_up_count; i++)
		if (!strcmp(budget->top_ups[i].id, id))
			return &budget->top_ups[i];
	return NULL;
}

static void record_top_up(struct ledger_budget *budget, const char *id,
			  int64_t tokens, int64_t wall_us)
{
	struct ledger_top_up *top_up;

	if (budget->top_up_count == LEDGER_TOP_UPS_MAX) {
		budget->top_up_count--;
		memmove(budget->top_ups, budget->top_ups + 1,
			budget->top_up_count * sizeof(budget->top_ups[0]));
	}
	budget->top_ups =
		xrealloc(budget->top_ups, (budget->top_up_count + 1) *
						  sizeof(budget->top_ups[0]));
	top_up = &budget->top_ups[budget->top_up_count++];
	memset(top_up, 0, sizeof(*top_up));
	snprintf(top_up->id, sizeof(top_up->id), "%s", id);
	top_up->tokens = tokens;
	top_up->wall_us = wall_us;
}

enum tgw_status ledger_bucket_top_up(struct ledger_bucket *bucket,
				     const char *name, const char *id,
				     int64_t tokens, int64_t wall_us,
				     bool *applied, struct tgw_error *error)
{
	int found;
	int64_t paid_in = 0;
	const struct ledger_top_up *earlier = NULL;
	struct ledger_budget *budget;

	*applied = false;
	if (!is_valid_name(name) || !is_valid_name(id))
		return tgw_error_set(error, TGW_INVALID,
				     "a budget and a top-up id have 1 to %d "
				     "characters without blanks or slashes",
				     TGW_NAME_SIZE - 1);
	if (tokens <= 0 || tokens > LEDGER_TOKENS_MAX)
		return tgw_error_set(error, TGW_INVALID,
				     "a top-up is 1 to %lld tokens",
				     (long long)LEDGER_TOKENS_MAX);
	found = ledger_bucket_find_budget(bucket, name);
	if (found >= 0) {
		paid_in = bucket->budgets[found].paid_in_tokens;
		earlier = find_top_up(&bucket->budgets[found], id);
	}
	if (earlier && earlier->tokens != tokens)
		return tgw_error_set(error, TGW_INVALID,
				     "top-up id '%s' was used for %lld tokens; "
				     "choose another id",
				     id, (long long)earlier->tokens);
	if (earlier)
		return TGW_OK;
	if (paid_in > LEDGER_TOKENS_MAX - tokens)
		return tgw_error_set(error, TGW_INVALID,
				     "the budget would pass %lld tokens; "
				     "top up less",
				     (long long)LEDGER_TOKENS_MAX);
	budget = obtain_budget(bucket, name);
	budget->paid_in_tokens += tokens;
	record_top_up(budget, id, tokens, wall_us);
	*applied = true;
	return TGW_OK;
}

int ledger_bucket_raise_paid_in(struct ledger_bucket *bucket, const char *name,
				int64_t total_tokens)
{
	struct ledger_budget *budget;

	if (!is_valid_name(name) || total_tokens < 0 ||
	    total_tokens > LEDGER_TOKENS_MAX)
		return -1;
	budget = obtain_budget(bucket, name);
	if (budget->paid_in_tokens < total_tokens)
		budget->paid_in_tokens = total_tokens;
	return (int)(budget - bucket->budgets);
}

struct ledger_line *ledger_bucket_find_line(struct ledger_bucket *bucket,
					    uint64_t id)
{
	for (size_t i = 0; i < bucket->line_count; i++)
		if (bucket->lines[i].id == id)
			return &bucket->lines[i];
	return NULL;
}

struct ledger_line *ledger_bucket_add_line(struct ledger_bucket *bucket,
					   uint64_t id)
{
	struct ledger_line *line;

	bucket->lines = xrealloc(bucket->lines,
				 (bucket->line_count + 1) * sizeof(*line));
	line = &bucket->lines[bucket->line_count++];
	memset(line, 0, sizeof(*line));
	line->id = id;
	return line;
}

int64_t ledger_allotment_debit(const struct ledger_line *line,
			       const struct ledger_allotment *allotment)
{
	int64_t debit = allotment->allotted_tokens;

	if (line->state == LEDGER_LINE_OPEN)
		return debit;
	for (size_t i = 0; i < allotment->refund_count; i++)
		debit -= allotment->refunds[i].tokens;
	return debit;
}

void ledger_bucket_fold_line(struct ledger_bucket *bucket, uint64_t id)
{
	struct ledger_line *line = ledger_bucket_find_line(bucket, id);
	size_t at;

	if (!line)
		return;
	for (size_t i = 0; i < line->allotment_count; i++) {
		const struct ledger_allotment *allotment = &line->allotments[i];

		bucket->budgets[allotment->budget_index].folded_tokens +=
			ledger_allotment_debit(line, allotment);
	}
	clear_line(line);
	at = (size_t)(line - bucket->lines);
	bucket->line_count--;
	memmove(line, line + 1,
		(bucket->line_count - at) * sizeof(bucket->lines[0]));
}

static const struct ledger_line *find_oldest_closed(
	const struct ledger_bucket *bucket, size_t *count)
{
	const struct ledger_line *oldest = NULL;

	*count = 0;
	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_line *line = &bucket->lines[i];

		if (line->state != LEDGER_LINE_CLOSED)
			continue;
		(*count)++;
		if (!oldest || line->closed_wall_us < oldest->closed_wall_us)
			oldest = line;
	}
	return oldest;
}

void ledger_bucket_trim(struct ledger_bucket *bucket)
{
	size_t count;
	const struct ledger_line *oldest = find_oldest_closed(bucket, &count);

	while (count > LEDGER_CLOSED_LINES_MAX) {
		ledger_bucket_fold_line(bucket, oldest->id);
		oldest = find_oldest_closed(bucket, &count);
	}
}

struct ledger_allotment *ledger_line_find_allotment(
	const struct ledger_line *line, uint32_t budget_index)
{
	for (size_t i = 0; i < line->allotment_count; i++)
		if (line->allotments[i].budget_index == budget_index)
			return &line->allotments[i];
	return NULL;
}

struct ledger_allotment *ledger_line_obtain_allotment(struct ledger_line *line,
						      uint32_t budget_index)
{
	struct ledger_allotment *allotment =
		ledger_line_find_allotment(line, budget_index);

	if (allotment)
		return allotment;
	line->allotments = xrealloc(line->allotments, (line->allotment_count +
						       1) * sizeof(*allotment));
	allotment = &line->allotments[line->allotment_count++];
	memset(allotment, 0, sizeof(*allotment));
	allotment->budget_index = budget_index;
	return allotment;
}

void ledger_allotment_refund(struct ledger_allotment *allotment,
			     uint64_t incarnation, int64_t tokens)
{
	for (size_t i = 0; i < allotment->refund_count; i++) {
		struct ledger_refund *refund = &allotment->refunds[i];

		if (refund->entry_incarnation != incarnation)
			continue;
		if (refund->tokens < tokens)
			refund->tokens = tokens;
		return;
	}
	allotment->refunds = xrealloc(allotment->refunds,
				      (allotment->refund_count + 1) *
					      sizeof(allotment->refunds[0]));
	allotment->refunds[allotment->refund_count].entry_incarnation =
		incarnation;
	allotment->refunds[allotment->refund_count++].tokens = tokens;
}

void ledger_line_close(struct ledger_line *line,
		       enum ledger_close_reason reason, int64_t wall_us)
{
	for (size_t i = 0; i < line->allotment_count; i++) {
		struct ledger_allotment *allotment = &line->allotments[i];

		if (reason == LEDGER_CLOSE_BY_WITNESS &&
		    allotment->ceiling_tokens < allotment->allotted_tokens)
			allotment->allotted_tokens = allotment->ceiling_tokens;
		allotment->requested_tokens = 0;
		allotment->demand_tokens_per_s = 0;
	}
	line->state = LEDGER_LINE_CLOSED;
	line->reason = reason;
	line->closed_wall_us = wall_us;
}

int64_t ledger_bucket_free_tokens(const struct ledger_bucket *bucket,
				  uint32_t budget_index)
{
	const struct ledger_budget *budget = &bucket->budgets[budget_index];
	int64_t free_tokens = budget->paid_in_tokens - budget->folded_tokens;

	for (size_t i = 0; i < bucket->line_count; i++) {
		const struct ledger_line *line = &bucket->lines[i];
		const struct ledger_allotment *allotment =
			ledger_line_find_allotment(line, budget_index);

		if (allotment)
			free_tokens -= ledger_allotment_debit(line, allotment);
	}
	return free_tokens;
}

static bool is_valid_amount(int64_t tokens)
{
	return tokens >= 0 && tokens <= LEDGER_TOKENS_MAX;
}

static bool is_valid_line(const struct ledger_bucket *bucket,
			  const struct ledger_line *line)
{
	for (size_t i = 0; i < line->allotment_count; i++) {
		const struct ledger_allotment *allotment = &line->allotments[i];

		if (allotment->budget_index >= bucket->budget_count ||
		    !is_valid_amount(allotment->allotted_tokens) ||
		    !is_valid_amount(allotment->settled_tokens) ||
		    !is_valid_amount(allotment->ceiling_tokens) ||
		    !is_valid_amount(allotment->demand_tokens_per_s) ||
		    !is_valid_amount(allotment->requested_tokens))
			return false;
		for (size_t j = 0; j < allotment->refund_count; j++)
			if (!is_valid_amount(allotment->refunds[j].tokens))
				return false;
	}
	return true;
}

enum tgw_status ledger_bucket_check(const struct ledger_bucket *bucket,
				    struct tgw_error *error)
{
	for (size_t i = 0; i < bucket->line_count; i++)
		if (!is_valid_line(bucket, &bucket->lines[i]))
			return tgw_error_set(
				error, TGW_CORRUPT,
				"line of host '%s' has amounts out of range; "
				"restore the ledger's key",
				bucket->lines[i].host);
	for (size_t i = 0; i < bucket->budget_count; i++) {
		const struct ledger_budget *budget = &bucket->budgets[i];

		if (!is_valid_amount(budget->paid_in_tokens) ||
		    !is_valid_amount(budget->folded_tokens) ||
		    ledger_bucket_free_tokens(bucket, (uint32_t)i) < 0)
			return tgw_error_set(
				error, TGW_CORRUPT,
				"budget '%s' has amounts out of range, or "
				"more allotted than its %lld paid-in tokens; "
				"restore the ledger's key",
				budget->name,
				(long long)budget->paid_in_tokens);
	}
	return TGW_OK;
}
