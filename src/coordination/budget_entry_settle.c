#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "coordination/budget_claims.h"
#include "coordination/budget_entry_private.h"
#include "coordination/budget_holder.h"
#include "coordination/budget_settle_queue.h"

struct settlement *budget_entry_make_settlement(
	const struct entry_request *entry, const struct holder_process *holder,
	enum tgw_settle_basis basis)
{
	struct settlement *settlement = xcalloc(1, sizeof(*settlement));

	settlement->key = entry->key;
	short_name_copy(settlement->budget, entry->budget);
	settlement->request_id = entry->request_id;
	settlement->holder_incarnation = holder->incarnation;
	settlement->bound_tokens = entry->bound_tokens;
	settlement->spent_tokens =
		basis == TGW_SETTLE_NOT_RUN ? 0 : entry->spent_tokens;
	settlement->basis = basis;
	return settlement;
}

void budget_entry_queue_done(struct tgw_budget_agent *agent,
			     struct entry_request *entry)
{
	entry->done_us = budget_now_us(agent);
	if (entry->is_queued)
		return;
	entry->is_queued = true;
	entry->next_done = NULL;
	*agent->done_end = entry;
	agent->done_end = &entry->next_done;
}

static bool uses_reservation(const struct entry_request *entry,
			     const struct holder_process *holder,
			     const struct budget_message_item *item)
{
	return entry && entry->request_id == item->id &&
	       entry->state == ENTRY_OPEN &&
	       entry->holder.peer == holder->peer &&
	       entry->holder.incarnation == holder->incarnation;
}

/* If the request has ended here, its settlement has been delivered, or is
 * queued before this one and so takes effect first. */
void budget_entry_on_use_query(struct tgw_budget_agent *agent,
			       const struct holder_process *holder,
			       const struct budget_message_item *item)
{
	struct entry_request *entry =
		key_table_find(&agent->entries, &item->key);
	struct settlement *settlement;

	if (uses_reservation(entry, holder, item))
		return;
	settlement = xcalloc(1, sizeof(*settlement));
	settlement->key = item->key;
	short_name_copy(settlement->budget, item->budget);
	settlement->request_id = item->id;
	settlement->holder_incarnation = holder->incarnation;
	settlement->basis = TGW_SETTLE_NOT_RUN;
	budget_settle_queue_add(agent, holder->peer, settlement);
}

static bool is_gone(const struct tgw_budget_agent *agent,
		    const struct holder_process *holder)
{
	return budget_peer_state(agent, holder->peer->name,
				 holder->incarnation) == TGW_HOST_GONE;
}

static void send_settlement(struct tgw_budget_agent *agent,
			    struct entry_request *entry)
{
	struct settlement *settlement = budget_entry_make_settlement(
		entry, &entry->holder, entry->basis);

	settlement->line_id = entry->line_id;
	settlement->is_owner = entry->is_owner;
	if (!is_gone(agent, &entry->holder)) {
		budget_settle_queue_add(agent, entry->holder.peer, settlement);
		return;
	}
	budget_claims_add(agent, settlement);
	free(settlement);
}

/* Sends the settlement also to the successor of a holder that is gone, so that
 * it recognizes retries. */
static void notify_successor(struct tgw_budget_agent *agent,
			     struct entry_request *entry)
{
	struct holder_process successor = {.peer = entry->registered_at};
	const struct tgw_host *host;

	if (!successor.peer)
		return;
	host = tgw_host_view_find(agent->view, successor.peer->name);
	successor.incarnation = host ? host->incarnation : 0;
	budget_settle_queue_add(agent, successor.peer,
				budget_entry_make_settlement(entry, &successor,
							     entry->basis));
}

void budget_entry_settle(struct tgw_budget_agent *agent,
			 const struct tgw_request_key *key,
			 int64_t spent_tokens, enum tgw_settle_basis basis)
{
	struct entry_request *entry = key_table_find(&agent->entries, key);

	if (!entry || entry->state != ENTRY_OPEN)
		return;
	if (basis == TGW_SETTLE_BOUND || spent_tokens < 0 ||
	    spent_tokens > entry->bound_tokens)
		spent_tokens = entry->bound_tokens;
	if (basis == TGW_SETTLE_NOT_RUN)
		spent_tokens = 0;
	entry->run_count--;
	if (entry->run_count && budget_basis_is_incomplete(basis)) {
		if (entry->min_charge_tokens < spent_tokens)
			entry->min_charge_tokens = spent_tokens;
		return;
	}
	if (spent_tokens < entry->min_charge_tokens)
		spent_tokens = entry->min_charge_tokens;
	if (basis == TGW_SETTLE_NOT_RUN && spent_tokens)
		basis = TGW_SETTLE_PARTIAL;
	entry->spent_tokens = spent_tokens;
	entry->basis = basis;
	entry->state = ENTRY_DONE;
	agent->open_entries--;
	budget_entry_queue_done(agent, entry);
	send_settlement(agent, entry);
	notify_successor(agent, entry);
}

static void register_at(struct tgw_budget_agent *agent,
			struct entry_request *entry,
			struct budget_bucket *bucket)
{
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_REGISTER,
		.bucket = bucket->index,
	};
	struct budget_message_item *item = budget_message_add(&message);

	entry->registered_at = bucket->ranked[0];
	item->id = entry->request_id;
	item->key = entry->key;
	item->has_key = true;
	item->code = entry->state == ENTRY_DONE;
	item->tokens = entry->state == ENTRY_DONE ? entry->spent_tokens
						  : entry->bound_tokens;
	if (bucket->ranked[0] == agent->self)
		budget_holder_register(agent, agent->self, agent->incarnation,
				       bucket->index, item);
	else
		budget_send(agent, bucket->ranked[0]->name, &message);
	budget_message_clear(&message);
}

void budget_entry_on_view(struct tgw_budget_agent *agent)
{
	for (size_t i = 0; i < agent->entries.capacity; i++) {
		struct entry_request *entry = agent->entries.slots[i];
		struct budget_bucket *bucket;

		if (!entry || entry->state == ENTRY_PENDING ||
		    entry->basis == TGW_SETTLE_NOT_RUN || !entry->holder.peer ||
		    !is_gone(agent, &entry->holder))
			continue;
		bucket = budget_bucket_obtain(
			agent,
			ledger_bucket_of(entry->budget,
					 agent->env.settings.bucket_count));
		if (bucket->rank_count &&
		    bucket->ranked[0] != entry->registered_at)
			register_at(agent, entry, bucket);
	}
}
