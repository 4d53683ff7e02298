#include "coordination/budget_ledger.h"

#include <stdlib.h>
#include <string.h>

#include "coordination/budget_allotment.h"
#include "coordination/budget_holder.h"
#include "coordination/budget_plan.h"
#include "coordination/budget_recall.h"
#include "coordination/budget_witness.h"
#include "state/ledger_codec.h"

#define RETRY_MIN_US BUDGET_MS(20)
#define RETRY_MAX_US BUDGET_S(5)
/* Maximum number of early refills in a flush interval. */
#define MAX_REFILLS_PER_FLUSH 8
/* Interval of the checks for refills, store outages and silent holders. */
#define CHECK_INTERVAL_US BUDGET_S(1)

static void start_read(struct budget_bucket *bucket);

static int64_t retry_delay_us(struct budget_bucket *bucket)
{
	int64_t delay_us = RETRY_MIN_US;

	for (uint32_t i = 0; i < bucket->failures && delay_us < RETRY_MAX_US;
	     i++)
		delay_us *= 2;
	return delay_us + (int64_t)tgw_random_below(&bucket->agent->random,
						    (uint64_t)delay_us);
}

static void record_store_result(struct tgw_budget_agent *agent, bool answered)
{
	int64_t now_us = budget_now_us(agent);

	if (answered) {
		agent->store_failing_since_us = 0;
		agent->store_answered_us = now_us;
	} else if (!agent->store_failing_since_us) {
		agent->store_failing_since_us = now_us;
	}
}

static int64_t next_operation_us(const struct budget_bucket *bucket)
{
	const struct tgw_budget_agent *agent = bucket->agent;
	int64_t flush_us = agent->env.settings.flush_interval_us;

	if (!budget_plan_is_active(bucket))
		return BUDGET_NEVER_US;
	return budget_now_us(agent) + flush_us;
}

/* Called last in each operation's callback, so that the next operation can
 * start. */
static void finish(struct budget_bucket *bucket, enum tgw_status status)
{
	ledger_bucket_clear(&bucket->draft);
	bucket->io = BUCKET_IDLE;
	if (status == TGW_OK) {
		bucket->failures = 0;
		bucket->operations++;
		budget_bucket_schedule(bucket, next_operation_us(bucket));
		budget_recall_reply(bucket);
	} else {
		budget_bucket_schedule(bucket, budget_now_us(bucket->agent) +
						       retry_delay_us(bucket));
		bucket->failures++;
	}
	bucket->ceiling_due_us = budget_now_us(bucket->agent);
	budget_bucket_queue(bucket);
	budget_holder_serve_waiters(bucket);
}

/* Adopts the draft as the value that the store holds at this version. */
static void adopt_draft(struct budget_bucket *bucket, int64_t version)
{
	ledger_bucket_clear(&bucket->ledger);
	bucket->ledger = bucket->draft;
	memset(&bucket->draft, 0, sizeof(bucket->draft));
	bucket->version = version;
	bucket->is_read = true;
	bucket->read_us = bucket->began_us;
	budget_plan_adopt(bucket);
}

/* Called when the planned write had no effect: tokens that it would have
 * returned may be granted again, unless an earlier write is unresolved. */
static void revert_plan(struct budget_bucket *bucket)
{
	if (!bucket->write_unresolved)
		budget_plan_adopt(bucket);
}

static enum tgw_status load_entry(struct budget_bucket *bucket,
				  const struct tgw_store_entry *entry)
{
	enum tgw_status status = ledger_codec_decode(
		&bucket->draft, entry->value, entry->value_size, NULL);

	if (status != TGW_OK)
		return status;
	if (bucket->write_unresolved &&
	    entry->version != bucket->unresolved_version)
		bucket->write_unresolved = false;
	adopt_draft(bucket, entry->version);
	return ledger_codec_decode(&bucket->draft, entry->value,
				   entry->value_size, NULL);
}

static void on_written(void *arg, const struct tgw_store_result *result);

/* Plans changes to the value that was just read, and writes them if they are
 * worth a write. */
static void plan_and_write(struct budget_bucket *bucket)
{
	struct tgw_budget_agent *agent = bucket->agent;
	struct buffer bytes = {0};

	if (!budget_plan_write(bucket)) {
		revert_plan(bucket);
		finish(bucket, TGW_OK);
		return;
	}
	ledger_codec_encode(&bucket->draft, &bytes);
	agent->counters.ledger_writes++;
	bucket->io = BUCKET_WRITING;
	tgw_store_swap(agent->env.store, bucket->key, bucket->version,
		       bytes.data, bytes.size,
		       (struct tgw_store_callback){on_written, bucket});
	buffer_free(&bytes);
}

static void on_conflict(struct budget_bucket *bucket,
			const struct tgw_store_result *result)
{
	bucket->agent->counters.ledger_conflicts++;
	ledger_bucket_clear(&bucket->draft);
	bucket->write_unresolved = false;
	if (result->entry_count == 1 &&
	    load_entry(bucket, &result->entries[0]) == TGW_OK) {
		finish(bucket, TGW_CONFLICT);
		return;
	}
	finish(bucket, TGW_UNAVAILABLE);
}

static void on_written(void *arg, const struct tgw_store_result *result)
{
	struct budget_bucket *bucket = arg;
	struct tgw_budget_agent *agent = bucket->agent;

	record_store_result(agent, result->status == TGW_OK ||
					   result->status == TGW_CONFLICT);
	switch (result->status) {
	case TGW_OK:
		bucket->write_unresolved = false;
		bucket->written_us = budget_now_us(agent);
		adopt_draft(bucket, result->entries[0].version);
		finish(bucket, TGW_OK);
		return;
	case TGW_CONFLICT:
		on_conflict(bucket, result);
		return;
	case TGW_UNAVAILABLE:
		revert_plan(bucket);
		break;
	default:
		bucket->write_unresolved = true;
		bucket->unresolved_version = bucket->version;
		agent->counters.ledger_read_backs++;
		break;
	}
	finish(bucket, result->status);
}

static void on_read(void *arg, const struct tgw_store_result *result)
{
	struct budget_bucket *bucket = arg;
	enum tgw_status status = result->status;

	record_store_result(bucket->agent, status == TGW_OK);
	if (status == TGW_OK)
		status = load_entry(bucket, &result->entries[0]);
	if (status == TGW_OK)
		plan_and_write(bucket);
	else
		finish(bucket, status);
}

static void start_read(struct budget_bucket *bucket)
{
	struct tgw_budget_agent *agent = bucket->agent;

	bucket->io = BUCKET_READING;
	bucket->began_us = budget_now_us(agent);
	bucket->due_us = BUDGET_NEVER_US;
	agent->counters.ledger_reads++;
	tgw_store_get(agent->env.store, bucket->key,
		      (struct tgw_store_callback){on_read, bucket});
}

/* Whether an allotment is low enough to be refilled before the next flush. */
static bool needs_refill(const struct budget_bucket *bucket)
{
	const struct holder_line *line = bucket->line;

	for (size_t i = 0; line && i < line->allotment_count; i++) {
		const struct holder_allotment *allotment = line->allotments[i];
		int64_t left = allotment->usable_tokens -
			       holder_allotment_used(allotment);

		if (left < allotment->refill_base_tokens / REFILL_DIVISOR)
			return true;
	}
	return false;
}

static void schedule_refill(struct budget_bucket *bucket)
{
	int64_t now_us = budget_now_us(bucket->agent);
	int64_t interval_us = bucket->agent->env.settings.flush_interval_us /
			      MAX_REFILLS_PER_FLUSH;

	if (!bucket->line || bucket->failures ||
	    now_us - bucket->read_us < interval_us || !needs_refill(bucket))
		return;
	budget_bucket_schedule(bucket, now_us);
}

/* While the store is unreachable, ceilings cover outage_loss_us of demand; once
 * it answers again, half of death_loss_us. Schedules the checks that apply the
 * change. */
static void update_outage_ceilings(struct budget_bucket *bucket)
{
	bool unreachable = budget_store_is_unreachable(bucket->agent);
	struct holder_line *line = bucket->line;

	if (bucket->has_outage_ceilings == unreachable)
		return;
	bucket->has_outage_ceilings = unreachable;
	for (size_t i = 0; line && i < line->allotment_count; i++)
		holder_allotment_schedule_check(line->allotments[i]);
}

void budget_ledger_tick(struct budget_bucket *bucket)
{
	if (bucket->io != BUCKET_IDLE)
		return;
	if (bucket->check_due_us <= budget_now_us(bucket->agent)) {
		bucket->check_due_us =
			budget_now_us(bucket->agent) + CHECK_INTERVAL_US;
		schedule_refill(bucket);
		update_outage_ceilings(bucket);
		budget_witness_watch(bucket);
	}
	if (bucket->due_us <= budget_now_us(bucket->agent))
		start_read(bucket);
}
