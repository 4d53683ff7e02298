#include "coordination/budget_settle_queue.h"

#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "coordination/budget_claims.h"
#include "coordination/budget_holder.h"

/* Settlements are collected for this long before a batch is sent. */
#define BATCH_INTERVAL_US BUDGET_MS(250)
#define RETRY_MIN_US BUDGET_MS(500)
#define RETRY_MAX_US BUDGET_S(4)
#define MAX_BATCH_ITEMS 400

static void free_settlements(struct settlement **settlements)
{
	while (*settlements) {
		struct settlement *settlement = *settlements;

		*settlements = settlement->next;
		free(settlement);
	}
}

static void fill_item(struct budget_message_item *item,
		      const struct settlement *settlement)
{
	item->id = settlement->request_id;
	item->key = settlement->key;
	item->has_key = true;
	item->tokens = settlement->spent_tokens;
	item->code = settlement->basis;
	/* The holder needs the budget's name only to record a cancelled
	 * request, whose reservation it may not know. */
	if (settlement->basis == TGW_SETTLE_NOT_RUN)
		short_name_copy(item->budget, settlement->budget);
}

void budget_settle_queue_add(struct tgw_budget_agent *agent,
			     struct budget_peer *holder,
			     struct settlement *settlement)
{
	settlement->next = NULL;
	if (holder == agent->self) {
		struct budget_message_item item = {0};

		fill_item(&item, settlement);
		budget_holder_settle(agent, holder, agent->incarnation, 0,
				     &item);
		free(settlement);
		return;
	}
	if (!holder->queue)
		holder->settle_due_us =
			budget_now_us(agent) + BATCH_INTERVAL_US;
	*holder->queue_end = settlement;
	holder->queue_end = &settlement->next;
}

static void start_batch(struct tgw_budget_agent *agent,
			struct budget_peer *holder)
{
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_SETTLE,
		.sequence = ++holder->settle_sequence,
		.epoch = holder->settle_acked,
	};
	struct settlement **end = &holder->sent;

	while (holder->queue && message.item_count < MAX_BATCH_ITEMS) {
		struct settlement *settlement = holder->queue;

		holder->queue = settlement->next;
		settlement->next = NULL;
		*end = settlement;
		end = &settlement->next;
		fill_item(budget_message_add(&message), settlement);
	}
	if (!holder->queue)
		holder->queue_end = &holder->queue;
	holder->settle_retry_us = RETRY_MIN_US;
	holder->confirm_due_us = 0;
	buffer_clear(&holder->settle_bytes);
	budget_message_encode(&message, &holder->settle_bytes);
	budget_message_clear(&message);
}

static void send_batch(struct tgw_budget_agent *agent,
		       struct budget_peer *holder)
{
	holder->settle_sent_us = budget_now_us(agent);
	agent->counters.peer_messages_sent++;
	agent->counters.peer_bytes_sent += holder->settle_bytes.size;
	tgw_peer_send(agent->env.peer, holder->name, TGW_PEER_BUDGET,
		      holder->settle_bytes.data, holder->settle_bytes.size);
}

/* Sends the newest acknowledged sequence on its own, when no batch is due that
 * would carry it. */
static void send_confirmation(struct tgw_budget_agent *agent,
			      struct budget_peer *holder)
{
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_SETTLE,
		.epoch = holder->settle_acked,
	};

	holder->confirm_due_us = 0;
	budget_send(agent, holder->name, &message);
}

static int64_t tick_holder(struct tgw_budget_agent *agent,
			   struct budget_peer *holder)
{
	int64_t now_us = budget_now_us(agent);

	if (!holder->sent && !holder->queue) {
		if (holder->confirm_due_us && now_us >= holder->confirm_due_us)
			send_confirmation(agent, holder);
		return holder->confirm_due_us ? holder->confirm_due_us
					      : BUDGET_NEVER_US;
	}
	if (!holder->sent && now_us >= holder->settle_due_us) {
		start_batch(agent, holder);
		send_batch(agent, holder);
	} else if (holder->sent &&
		   now_us - holder->settle_sent_us >= holder->settle_retry_us) {
		if (holder->settle_retry_us < RETRY_MAX_US)
			holder->settle_retry_us *= 2;
		send_batch(agent, holder);
	}
	if (!holder->sent)
		return holder->settle_due_us;
	return holder->settle_sent_us + holder->settle_retry_us;
}

int64_t budget_settle_queue_tick(struct tgw_budget_agent *agent)
{
	int64_t due_us = BUDGET_NEVER_US;

	for (struct budget_peer *peer = agent->peers; peer; peer = peer->next) {
		int64_t peer_due_us = tick_holder(agent, peer);

		if (peer_due_us < due_us)
			due_us = peer_due_us;
	}
	return due_us;
}

void budget_settle_queue_on_settled(struct tgw_budget_agent *agent,
				    struct budget_peer *holder,
				    uint64_t sequence)
{
	if (sequence != holder->settle_sequence || !holder->sent)
		return;
	free_settlements(&holder->sent);
	holder->settle_acked = sequence;
	holder->confirm_due_us = budget_now_us(agent) + BATCH_INTERVAL_US;
}

static bool is_gone(const struct tgw_budget_agent *agent,
		    const struct budget_peer *holder, uint64_t incarnation)
{
	return budget_peer_state(agent, holder->name, incarnation) ==
	       TGW_HOST_GONE;
}

/* Removes the settlements for gone processes from a list and claims their
 * unspent tokens. This is safe without an acknowledgement: even if the holder
 * applied the settlement, it kept the difference withheld.
 * @return the link at the end of the list */
static struct settlement **claim_from_gone(struct tgw_budget_agent *agent,
					   const struct budget_peer *holder,
					   struct settlement **link)
{
	while (*link) {
		struct settlement *settlement = *link;

		if (!is_gone(agent, holder, settlement->holder_incarnation)) {
			link = &settlement->next;
			continue;
		}
		*link = settlement->next;
		budget_claims_add(agent, settlement);
		free(settlement);
	}
	return link;
}

void budget_settle_queue_on_view(struct tgw_budget_agent *agent)
{
	for (struct budget_peer *peer = agent->peers; peer; peer = peer->next) {
		claim_from_gone(agent, peer, &peer->sent);
		peer->queue_end = claim_from_gone(agent, peer, &peer->queue);
	}
}

bool budget_settle_queue_is_empty(const struct tgw_budget_agent *agent)
{
	for (const struct budget_peer *peer = agent->peers; peer;
	     peer = peer->next)
		if (peer->sent || peer->queue)
			return false;
	return true;
}

void budget_settle_queue_free_all(struct tgw_budget_agent *agent)
{
	for (struct budget_peer *peer = agent->peers; peer; peer = peer->next) {
		free_settlements(&peer->sent);
		free_settlements(&peer->queue);
		peer->queue_end = &peer->queue;
		buffer_free(&peer->settle_bytes);
	}
}
