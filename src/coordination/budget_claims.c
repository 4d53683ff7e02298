#include "coordination/budget_claims.h"

#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"

#define CLAIM_RETRY_US BUDGET_S(5)
/* Claims are collected for this long before the ledger is written. */
#define CLAIM_BATCH_US BUDGET_S(1)

static struct entry_claim *obtain_claim(struct tgw_budget_agent *agent,
					const struct settlement *settlement)
{
	struct entry_claim *claim = agent->claims;

	while (claim && (claim->line_id != settlement->line_id ||
			 strcmp(claim->budget, settlement->budget)))
		claim = claim->next;
	if (claim)
		return claim;
	claim = xcalloc(1, sizeof(*claim));
	claim->line_id = settlement->line_id;
	short_name_copy(claim->budget, settlement->budget);
	claim->bucket = ledger_bucket_of(settlement->budget,
					 agent->env.settings.bucket_count);
	claim->next = agent->claims;
	agent->claims = claim;
	return claim;
}

void budget_claims_add(struct tgw_budget_agent *agent,
		       const struct settlement *settlement)
{
	struct entry_claim *claim;

	if (!settlement->line_id || !settlement->is_owner ||
	    settlement->spent_tokens >= settlement->bound_tokens)
		return;
	claim = obtain_claim(agent, settlement);
	claim->tokens += settlement->bound_tokens - settlement->spent_tokens;
	claim->due_us = budget_now_us(agent);
}

static void send_claim(struct tgw_budget_agent *agent,
		       const struct entry_claim *claim)
{
	struct budget_bucket *bucket =
		budget_bucket_obtain(agent, claim->bucket);
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_CLAIM,
		.bucket = claim->bucket,
		.line = claim->line_id,
	};
	struct budget_message_item *item;

	if (!bucket->rank_count)
		return;
	item = budget_message_add(&message);
	short_name_copy(item->budget, claim->budget);
	item->tokens = claim->tokens;
	if (bucket->ranked[0] == agent->self)
		budget_claims_on_claim(agent, agent->self, agent->incarnation,
				       &message);
	else
		budget_send(agent, bucket->ranked[0]->name, &message);
	budget_message_clear(&message);
}

int64_t budget_claims_tick(struct tgw_budget_agent *agent)
{
	int64_t now_us = budget_now_us(agent);
	int64_t due_us = BUDGET_NEVER_US;

	for (struct entry_claim *claim = agent->claims; claim;
	     claim = claim->next) {
		if (claim->recorded_tokens == claim->tokens)
			continue;
		if (claim->due_us <= now_us) {
			claim->due_us = now_us + CLAIM_RETRY_US;
			send_claim(agent, claim);
		}
		if (claim->due_us < due_us)
			due_us = claim->due_us;
	}
	return due_us;
}

void budget_claims_on_claimed(struct tgw_budget_agent *agent,
			      const struct budget_message *message)
{
	for (struct entry_claim *claim = agent->claims; claim;
	     claim = claim->next)
		for (size_t i = 0; i < message->item_count; i++)
			if (claim->line_id == message->line &&
			    !strcmp(claim->budget, message->items[i].budget) &&
			    claim->recorded_tokens < message->items[i].tokens)
				claim->recorded_tokens =
					message->items[i].tokens;
}

static struct holder_claim *find_holder_claim(
	const struct budget_bucket *bucket, const struct budget_peer *from,
	uint64_t incarnation, uint64_t line_id, const char *budget)
{
	struct holder_claim *claim = bucket->claims;

	while (claim && (claim->from != from || claim->line_id != line_id ||
			 claim->from_incarnation != incarnation ||
			 strcmp(claim->budget, budget)))
		claim = claim->next;
	return claim;
}

void budget_claims_on_claim(struct tgw_budget_agent *agent,
			    struct budget_peer *from, uint64_t from_incarnation,
			    const struct budget_message *message)
{
	struct budget_bucket *bucket =
		budget_bucket_obtain(agent, message->bucket);

	for (size_t i = 0; i < message->item_count; i++) {
		const struct budget_message_item *item = &message->items[i];
		struct holder_claim *claim =
			find_holder_claim(bucket, from, from_incarnation,
					  message->line, item->budget);

		if (!claim) {
			claim = xcalloc(1, sizeof(*claim));
			claim->from = from;
			claim->from_incarnation = from_incarnation;
			claim->line_id = message->line;
			short_name_copy(claim->budget, item->budget);
			claim->next = bucket->claims;
			bucket->claims = claim;
		}
		if (claim->tokens < item->tokens)
			claim->tokens = item->tokens;
		budget_bucket_schedule(bucket,
				       budget_now_us(agent) + CLAIM_BATCH_US);
	}
}

static struct ledger_allotment *find_closed_allotment(
	struct ledger_bucket *ledger, const struct holder_claim *claim)
{
	struct ledger_line *line =
		ledger_bucket_find_line(ledger, claim->line_id);
	int found = ledger_bucket_find_budget(ledger, claim->budget);

	if (!line || line->state != LEDGER_LINE_CLOSED || found < 0)
		return NULL;
	return ledger_line_find_allotment(line, (uint32_t)found);
}

static int64_t recorded_refund(const struct ledger_allotment *allotment,
			       uint64_t incarnation)
{
	for (size_t i = 0; i < allotment->refund_count; i++)
		if (allotment->refunds[i].entry_incarnation == incarnation)
			return allotment->refunds[i].tokens;
	return 0;
}

bool budget_claims_plan(struct budget_bucket *bucket)
{
	bool changed = false;

	for (struct holder_claim *claim = bucket->claims; claim;
	     claim = claim->next) {
		struct ledger_allotment *allotment =
			find_closed_allotment(&bucket->draft, claim);

		if (!allotment ||
		    recorded_refund(allotment, claim->from_incarnation) >=
			    claim->tokens)
			continue;
		ledger_allotment_refund(allotment, claim->from_incarnation,
					claim->tokens);
		changed = true;
	}
	return changed;
}

static void send_claimed(struct tgw_budget_agent *agent,
			 const struct budget_bucket *bucket,
			 const struct holder_claim *claim)
{
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_CLAIMED,
		.bucket = bucket->index,
		.line = claim->line_id,
	};
	struct budget_message_item *item = budget_message_add(&message);

	short_name_copy(item->budget, claim->budget);
	item->tokens = claim->tokens;
	if (claim->from == agent->self)
		budget_claims_on_claimed(agent, &message);
	else
		budget_send(agent, claim->from->name, &message);
	budget_message_clear(&message);
}

/* A line that is no longer in the ledger was folded, so nothing can be
 * refunded. Its claims get a reply, too, so that they are not sent again. */
static bool is_resolved(struct budget_bucket *bucket,
			const struct holder_claim *claim)
{
	const struct ledger_allotment *allotment;

	if (!ledger_bucket_find_line(&bucket->ledger, claim->line_id))
		return true;
	allotment = find_closed_allotment(&bucket->ledger, claim);
	return allotment &&
	       recorded_refund(allotment, claim->from_incarnation) >=
		       claim->tokens;
}

void budget_claims_adopt(struct budget_bucket *bucket)
{
	struct holder_claim **link = &bucket->claims;

	while (*link) {
		struct holder_claim *claim = *link;

		if (!is_resolved(bucket, claim)) {
			link = &claim->next;
			continue;
		}
		*link = claim->next;
		send_claimed(bucket->agent, bucket, claim);
		free(claim);
	}
}

void budget_claims_free_all(struct tgw_budget_agent *agent)
{
	while (agent->claims) {
		struct entry_claim *claim = agent->claims;

		agent->claims = claim->next;
		free(claim);
	}
	for (size_t i = 0; i < agent->bucket_count; i++)
		while (agent->buckets[i]->claims) {
			struct holder_claim *claim = agent->buckets[i]->claims;

			agent->buckets[i]->claims = claim->next;
			free(claim);
		}
}
