#include "coordination/budget_recall.h"

#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "coordination/budget_allotment.h"

/* Minimum time between two recall requests to the other holders. */
#define RECALL_INTERVAL_US BUDGET_MS(100)
/* Seconds of forecast demand that are requested beyond the shortage, so that
 * the next requests find tokens. */
#define RECALL_EXTRA_DEMAND_S 5.0

static int64_t unsettled_tokens(const struct ledger_allotment *allotment)
{
	int64_t left = allotment->allotted_tokens - allotment->settled_tokens;

	return left > 0 ? left : 0;
}

static bool is_other_open_line(const struct ledger_line *line,
			       const struct holder_allotment *allotment)
{
	return line->state == LEDGER_LINE_OPEN &&
	       line->id != allotment->line->id;
}

static int64_t others_unsettled_tokens(const struct holder_allotment *allotment,
				       uint32_t index)
{
	const struct ledger_bucket *ledger = &allotment->line->bucket->ledger;
	int64_t tokens = 0;

	for (size_t i = 0; i < ledger->line_count; i++) {
		const struct ledger_line *line = &ledger->lines[i];
		const struct ledger_allotment *other =
			ledger_line_find_allotment(line, index);

		if (other && is_other_open_line(line, allotment))
			tokens += unsettled_tokens(other);
	}
	return tokens;
}

static void send_recall(struct holder_allotment *allotment, uint32_t index,
			int64_t short_tokens)
{
	struct budget_bucket *bucket = allotment->line->bucket;
	struct tgw_budget_agent *agent = bucket->agent;
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_RECALL,
		.bucket = bucket->index,
	};
	struct budget_message_item *item = budget_message_add(&message);

	short_name_copy(item->budget, allotment->budget);
	item->tokens = short_tokens +
		       (int64_t)(RECALL_EXTRA_DEMAND_S *
				 demand_forecast_per_s(&allotment->demand,
						       budget_now_us(agent)));
	allotment->recall_sent_us = budget_now_us(agent);
	allotment->recall_replies_pending = 0;
	allotment->recall_operation = bucket->operations;
	for (size_t i = 0; i < bucket->ledger.line_count; i++) {
		const struct ledger_line *line = &bucket->ledger.lines[i];
		const struct ledger_allotment *other =
			ledger_line_find_allotment(line, index);

		if (!other || !is_other_open_line(line, allotment) ||
		    !unsettled_tokens(other))
			continue;
		allotment->recall_replies_pending++;
		budget_send(agent, line->host, &message);
	}
	budget_message_clear(&message);
}

bool budget_recall_is_insufficient(struct holder_allotment *allotment,
				   const struct budget_waiter *waiter)
{
	struct budget_bucket *bucket = allotment->line->bucket;
	int64_t now_us = budget_now_us(bucket->agent);
	int64_t short_tokens = waiter->bound_tokens +
			       holder_allotment_used(allotment) -
			       allotment->usable_tokens;
	int64_t free_tokens;
	int found;

	if (!bucket->is_read || bucket->read_us < waiter->started_us) {
		budget_bucket_schedule(bucket, now_us);
		return false;
	}
	found = ledger_bucket_find_budget(&bucket->ledger, allotment->budget);
	if (found < 0)
		return false;
	free_tokens =
		ledger_bucket_free_tokens(&bucket->ledger, (uint32_t)found);
	if (free_tokens >= short_tokens) {
		budget_bucket_schedule(bucket, now_us);
		return false;
	}
	if (free_tokens + others_unsettled_tokens(allotment, (uint32_t)found) <
	    short_tokens)
		return true;
	if (allotment->recall_sent_us < waiter->started_us) {
		if (now_us - allotment->recall_sent_us >= RECALL_INTERVAL_US)
			send_recall(allotment, (uint32_t)found, short_tokens);
		return false;
	}
	if (allotment->recall_replies_pending) {
		allotment->must_record_wanted = now_us >= waiter->deadline_us;
		return false;
	}
	if (bucket->operations > allotment->recall_operation)
		return true;
	budget_bucket_schedule(bucket, now_us);
	return false;
}

/* Replies to a recall request with the tokens that are free in the ledger,
 * whoever released them. */
static void send_recall_reply(struct budget_bucket *bucket,
			      struct budget_peer *to, const char *budget)
{
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_RELEASED,
		.bucket = bucket->index,
	};
	struct budget_message_item *item = budget_message_add(&message);
	int found = ledger_bucket_find_budget(&bucket->ledger, budget);
	int64_t free_tokens = 0;

	if (found >= 0)
		free_tokens = ledger_bucket_free_tokens(&bucket->ledger,
							(uint32_t)found);
	short_name_copy(item->budget, budget);
	item->tokens = free_tokens;
	budget_send(bucket->agent, to->name, &message);
	budget_message_clear(&message);
}

static void add_pending_reply(struct budget_bucket *bucket,
			      struct budget_peer *from, const char *budget)
{
	struct recall_requester *requester = xcalloc(1, sizeof(*requester));

	requester->from = from;
	short_name_copy(requester->budget, budget);
	/* An operation in flight may have been planned without this request. */
	requester->operation =
		bucket->operations + (bucket->io == BUCKET_IDLE ? 0 : 1);
	requester->next = bucket->requesters;
	bucket->requesters = requester;
}

void budget_recall_on_request(struct tgw_budget_agent *agent,
			      struct budget_peer *from,
			      const struct budget_message *message)
{
	struct budget_bucket *bucket =
		budget_bucket_obtain(agent, message->bucket);

	if (!message->item_count)
		budget_bucket_schedule(bucket, budget_now_us(agent));
	for (size_t i = 0; i < message->item_count; i++) {
		const struct budget_message_item *item = &message->items[i];
		struct holder_allotment *allotment =
			holder_line_find_allotment(bucket->line, item->budget);
		int64_t left = 0;

		if (allotment)
			left = allotment->usable_tokens -
			       holder_allotment_used(allotment) -
			       holder_allotment_waiting(allotment);
		if (left <= 0) {
			send_recall_reply(bucket, from, item->budget);
			continue;
		}
		if (allotment->recalled_tokens < item->tokens)
			allotment->recalled_tokens = item->tokens;
		add_pending_reply(bucket, from, item->budget);
		budget_bucket_schedule(bucket, budget_now_us(agent));
	}
}

void budget_recall_on_released(struct tgw_budget_agent *agent,
			       const struct budget_message *message)
{
	struct budget_bucket *bucket =
		budget_bucket_obtain(agent, message->bucket);

	for (size_t i = 0; i < message->item_count; i++) {
		struct holder_allotment *allotment = holder_line_find_allotment(
			bucket->line, message->items[i].budget);

		if (!allotment)
			continue;
		if (allotment->recall_replies_pending)
			allotment->recall_replies_pending--;
		allotment->recall_operation =
			bucket->operations +
			(bucket->io == BUCKET_IDLE ? 0 : 1);
		if (message->items[i].tokens > 0 ||
		    !allotment->recall_replies_pending)
			budget_bucket_schedule(bucket, budget_now_us(agent));
	}
}

void budget_recall_reply(struct budget_bucket *bucket)
{
	struct recall_requester **link = &bucket->requesters;

	while (*link) {
		struct recall_requester *requester = *link;

		if (requester->operation >= bucket->operations) {
			link = &requester->next;
			continue;
		}
		*link = requester->next;
		send_recall_reply(bucket, requester->from, requester->budget);
		free(requester);
	}
}
