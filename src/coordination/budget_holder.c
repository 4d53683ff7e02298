#include "coordination/budget_holder.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "coordination/budget_entry.h"
#include "coordination/budget_exchange.h"
#include "coordination/budget_recall.h"
#include "coordination/budget_share.h"
#include "state/request_key.h"

/* A budget that was not found is looked for again after this. */
#define NOT_FOUND_AGE_US BUDGET_S(2)
/* Settlements on a closed line gather for this long. */
#define CLOSED_LINE_WAIT_US BUDGET_S(1)
#define WAITERS_INTERVAL_US BUDGET_MS(20)
#define REFUSE_BACKOFF_MIN_US BUDGET_MS(250)
#define REFUSE_BACKOFF_MAX_US BUDGET_S(2)

/* Answers one request, wherever its entry host is. */
static void answer(struct tgw_budget_agent *agent, struct budget_peer *to,
		   uint64_t line, const struct budget_message_item *item)
{
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_RESERVED,
		.line = line,
		.item_count = 1,
		.items = (struct budget_message_item *)item,
	};

	if (to == agent->self)
		budget_entry_on_reserved(agent, to, agent->incarnation, line,
					 item);
	else
		budget_send(agent, to->name, &message);
}

static void answer_status(struct tgw_budget_agent *agent,
			  struct budget_peer *to, uint64_t request_id,
			  enum tgw_status status, int64_t retry_after_us)
{
	struct budget_message_item item = {
		.id = request_id,
		.code = status,
		.other = retry_after_us > 0 ? retry_after_us : 0,
	};

	if (status == TGW_EXHAUSTED)
		agent->counters.refused_exhausted++;
	if (status == TGW_UNAVAILABLE)
		agent->counters.refused_unavailable++;
	answer(agent, to, 0, &item);
}

static void answer_granted(struct tgw_budget_agent *agent,
			   struct budget_peer *to, uint64_t request_id,
			   const struct reservation *reservation,
			   uint32_t flags)
{
	struct budget_message_item item = {
		.id = request_id,
		.code = TGW_OK,
		.flags = flags,
		.tokens = reservation->spent_tokens,
	};
	const struct holder_share *share = reservation->share;

	answer(agent, to, share ? share->line->id : 0, &item);
}

static struct reservation *obtain_reservation(struct tgw_budget_agent *agent,
					      const struct tgw_request_key *key)
{
	struct reservation *reservation =
		key_table_find(&agent->reservations, key);

	if (reservation)
		return reservation;
	reservation = xcalloc(1, sizeof(*reservation));
	reservation->key = *key;
	key_table_add(&agent->reservations, reservation);
	return reservation;
}

static void set_share(struct reservation *reservation,
		      struct holder_share *share)
{
	if (reservation->share)
		reservation->share->line->reference_count--;
	reservation->share = share;
	if (share)
		share->line->reference_count++;
}

static void queue_ended(struct tgw_budget_agent *agent,
			struct reservation *reservation)
{
	reservation->ended_us = budget_now_us(agent);
	if (reservation->is_queued)
		return;
	reservation->is_queued = true;
	reservation->next_ended = NULL;
	*agent->ended_end = reservation;
	agent->ended_end = &reservation->next_ended;
}

static void grant(struct holder_share *share, const struct budget_waiter *ask)
{
	struct tgw_budget_agent *agent = share->line->bucket->agent;
	struct reservation *reservation = obtain_reservation(agent, &ask->key);

	set_share(reservation, share);
	reservation->bucket = share->line->bucket;
	reservation->owner = ask->from;
	reservation->owner_incarnation = ask->from_incarnation;
	reservation->request_id = ask->request_id;
	reservation->state = RESERVATION_OPEN;
	reservation->taker = NULL;
	reservation->owner_is_done = false;
	reservation->bound_tokens = ask->bound_tokens;
	reservation->spent_tokens = 0;
	share->open_tokens += ask->bound_tokens;
	holder_share_touch(share);
	share->refuse_backoff_us = 0;
	share->refuse_until_us = 0;
	assert(holder_share_left(share) >= 0);
	agent->counters.reserved++;
	agent->counters.reserved_tokens += ask->bound_tokens;
	answer_granted(agent, ask->from, ask->request_id, reservation, 0);
}

static bool is_known_missing(const struct budget_bucket *bucket,
			     const char *budget, int64_t since_us)
{
	return bucket->is_read && bucket->read_us >= since_us &&
	       ledger_bucket_find_budget(&bucket->known, budget) < 0;
}

static int64_t backed_off(struct holder_share *share)
{
	if (!share->refuse_backoff_us)
		share->refuse_backoff_us = REFUSE_BACKOFF_MIN_US;
	else if (share->refuse_backoff_us < REFUSE_BACKOFF_MAX_US)
		share->refuse_backoff_us *= 2;
	return share->refuse_backoff_us;
}

/* What becomes of a reservation that does not fit: OK means it waits. */
static enum tgw_status judge(struct holder_share *share,
			     const struct budget_waiter *waiter)
{
	struct budget_bucket *bucket = share->line->bucket;
	struct tgw_budget_agent *agent = bucket->agent;
	int64_t now_us = budget_now_us(agent);
	int64_t short_tokens = waiter->bound_tokens + holder_share_used(share) -
			       share->usable_tokens;

	if (is_known_missing(bucket, share->budget,
			     waiter->started_us - NOT_FOUND_AGE_US))
		return TGW_NOT_FOUND;
	if (agent->is_draining)
		return TGW_UNAVAILABLE;
	if (short_tokens > 0) {
		if (budget_store_is_out(agent))
			return TGW_UNAVAILABLE;
		if (budget_recall_is_hopeless(share, waiter))
			return TGW_EXHAUSTED;
	}
	if (now_us < waiter->deadline_us)
		return TGW_OK;
	if (short_tokens > 0 && bucket->is_read &&
	    bucket->read_us >= waiter->started_us)
		return TGW_EXHAUSTED;
	return TGW_UNAVAILABLE;
}

static void refuse(struct holder_share *share,
		   const struct budget_waiter *waiter, enum tgw_status status)
{
	struct tgw_budget_agent *agent = share->line->bucket->agent;
	int64_t retry_after_us = REFUSE_BACKOFF_MAX_US;

	if (status == TGW_EXHAUSTED) {
		retry_after_us = backed_off(share);
		share->refuse_until_us = budget_now_us(agent) + retry_after_us;
	}
	answer_status(agent, waiter->from, waiter->request_id, status,
		      status == TGW_NOT_FOUND ? 0 : retry_after_us);
}

static void serve_share(struct holder_share *share)
{
	struct budget_waiter **link = &share->waiters;

	while (*link) {
		struct budget_waiter *waiter = *link;
		enum tgw_status status = TGW_OK;
		bool fits = waiter->bound_tokens <= holder_share_left(share);

		if (!fits)
			status = judge(share, waiter);
		if (!fits && status == TGW_OK) {
			link = &waiter->next;
			continue;
		}
		*link = waiter->next;
		if (fits)
			grant(share, waiter);
		else
			refuse(share, waiter, status);
		free(waiter);
	}
}

void budget_holder_serve_waiters(struct budget_bucket *bucket)
{
	struct holder_line *line = bucket->line;

	bucket->waiters_due_us = BUDGET_NEVER_US;
	for (size_t i = 0; line && i < line->share_count; i++) {
		if (!line->shares[i]->waiters)
			continue;
		serve_share(line->shares[i]);
		if (line->shares[i]->waiters)
			bucket->waiters_due_us = budget_now_us(bucket->agent) +
						 WAITERS_INTERVAL_US;
	}
}

static bool is_waiting(const struct holder_share *share,
		       const struct tgw_request_key *key)
{
	for (const struct budget_waiter *waiter = share->waiters; waiter;
	     waiter = waiter->next)
		if (!memcmp(&waiter->key, key, sizeof(*key)))
			return true;
	return false;
}

/* A duplicate is answered by what is known of its key.
 * @return false when the request is to be granted anew */
static bool answer_duplicate(struct tgw_budget_agent *agent,
			     struct budget_peer *from,
			     uint64_t from_incarnation,
			     const struct budget_message_item *item)
{
	struct reservation *known =
		key_table_find(&agent->reservations, &item->key);
	bool is_same;

	if (!known)
		return false;
	is_same = known->owner == from &&
		  known->owner_incarnation == from_incarnation &&
		  known->request_id == item->id;
	switch (known->state) {
	case RESERVATION_OPEN:
		if (!is_same) {
			known->taker = from;
			known->taker_incarnation = from_incarnation;
			agent->counters.duplicate_keys++;
		}
		answer_granted(agent, from, item->id, known,
			       is_same ? 0 : BUDGET_FLAG_ALREADY_RESERVED);
		return true;
	case RESERVATION_SETTLED:
	case RESERVATION_REVERSED:
		agent->counters.duplicate_keys++;
		answer_granted(agent, from, item->id, known,
			       BUDGET_FLAG_ALREADY_SETTLED);
		return true;
	case RESERVATION_NOT_RUN:
		return is_same;
	}
	return false;
}

static void append_waiter(struct holder_share *share,
			  struct budget_waiter *waiter)
{
	struct budget_waiter **link = &share->waiters;

	while (*link)
		link = &(*link)->next;
	*link = waiter;
}

void budget_holder_reserve(struct tgw_budget_agent *agent,
			   struct budget_peer *from, uint64_t from_incarnation,
			   const struct budget_message_item *item)
{
	struct budget_bucket *bucket = budget_bucket_obtain(
		agent, ledger_bucket_of(item->budget,
					agent->env.settings.bucket_count));
	int64_t now_us = budget_now_us(agent);
	struct holder_share *share;
	struct budget_waiter *waiter;

	if (answer_duplicate(agent, from, from_incarnation, item))
		return;
	if (agent->is_draining) {
		answer_status(agent, from, item->id, TGW_BUSY, 0);
		return;
	}
	share = holder_line_obtain_share(holder_line_obtain(bucket),
					 item->budget);
	if (is_waiting(share, &item->key))
		return;
	if (item->tokens > holder_share_left(share) &&
	    now_us < share->refuse_until_us) {
		answer_status(agent, from, item->id, TGW_EXHAUSTED,
			      share->refuse_until_us - now_us);
		return;
	}
	waiter = xcalloc(1, sizeof(*waiter));
	waiter->from = from;
	waiter->from_incarnation = from_incarnation;
	waiter->request_id = item->id;
	waiter->key = item->key;
	waiter->bound_tokens = item->tokens;
	waiter->started_us = now_us;
	waiter->deadline_us =
		now_us + agent->env.settings.reserve_timeout_us / 2;
	append_waiter(share, waiter);
	holder_share_touch(share);
	bucket->waiters_due_us = now_us;
	serve_share(share);
}

static void apply_settlement(struct reservation *reservation, int64_t spent,
			     enum tgw_settle_basis basis, bool by_owner)
{
	struct budget_bucket *bucket = reservation->bucket;
	struct tgw_budget_agent *agent = bucket->agent;
	struct holder_share *share = reservation->share;
	int64_t bound = reservation->bound_tokens;

	if (basis == TGW_SETTLE_BOUND || spent > bound)
		spent = bound;
	if (basis == TGW_SETTLE_NOT_RUN)
		spent = 0;
	reservation->state = basis == TGW_SETTLE_NOT_RUN ? RESERVATION_NOT_RUN
							 : RESERVATION_SETTLED;
	reservation->spent_tokens = spent;
	reservation->owner_is_done |= by_owner;
	queue_ended(agent, reservation);
	if (share) {
		share->open_tokens -= bound;
		share->settled_tokens += spent;
		holder_share_touch(share);
		if (!reservation->owner_is_done)
			reservation->parked_tokens = bound - spent;
		share->parked_tokens += reservation->parked_tokens;
		demand_forecast_add(&share->demand, budget_now_us(agent),
				    spent);
		agent->counters.reserved_tokens -= bound;
		if (share->line->is_closed)
			budget_bucket_due(bucket, budget_now_us(agent) +
							  CLOSED_LINE_WAIT_US);
	}
	if (reservation->state != RESERVATION_SETTLED)
		return;
	if (basis == TGW_SETTLE_BOUND)
		agent->counters.settled_bound++;
	else
		agent->counters.settled_usage++;
	if (!request_key_is_unique(&reservation->key))
		budget_exchange_log(bucket, &reservation->key);
}

/* The owner has given up its right to claim: the parked rest is free. */
static void unpark(struct reservation *reservation)
{
	reservation->owner_is_done = true;
	if (reservation->share)
		reservation->share->parked_tokens -= reservation->parked_tokens;
	reservation->parked_tokens = 0;
}

/* A cancelled request that comes later, late by the network, is dropped. */
static void remember_cancelled(struct tgw_budget_agent *agent,
			       struct budget_peer *from,
			       uint64_t from_incarnation,
			       const struct budget_message_item *item)
{
	struct reservation *reservation = obtain_reservation(agent, &item->key);

	reservation->bucket = budget_bucket_obtain(
		agent, ledger_bucket_of(item->budget,
					agent->env.settings.bucket_count));
	reservation->owner = from;
	reservation->owner_incarnation = from_incarnation;
	reservation->request_id = item->id;
	reservation->state = RESERVATION_NOT_RUN;
	queue_ended(agent, reservation);
}

static void drop_waiter(struct tgw_budget_agent *agent,
			struct budget_peer *from,
			const struct budget_message_item *item)
{
	struct budget_bucket *bucket = budget_bucket_obtain(
		agent, ledger_bucket_of(item->budget,
					agent->env.settings.bucket_count));
	struct holder_share *share =
		holder_line_find_share(bucket->line, item->budget);
	struct budget_waiter **link = share ? &share->waiters : NULL;

	while (link && *link) {
		struct budget_waiter *waiter = *link;

		if (waiter->from != from || waiter->request_id != item->id) {
			link = &waiter->next;
			continue;
		}
		*link = waiter->next;
		free(waiter);
	}
}

void budget_holder_settle(struct tgw_budget_agent *agent,
			  struct budget_peer *from, uint64_t from_incarnation,
			  const struct budget_message_item *item)
{
	struct reservation *known =
		key_table_find(&agent->reservations, &item->key);
	enum tgw_settle_basis basis = (enum tgw_settle_basis)item->code;
	bool by_owner;

	if (basis == TGW_SETTLE_NOT_RUN)
		drop_waiter(agent, from, item);
	if (!known || known->state == RESERVATION_NOT_RUN) {
		if (basis == TGW_SETTLE_NOT_RUN)
			remember_cancelled(agent, from, from_incarnation, item);
		return;
	}
	by_owner = known->owner == from &&
		   known->owner_incarnation == from_incarnation &&
		   known->request_id == item->id;
	if (known->state != RESERVATION_OPEN) {
		if (by_owner)
			unpark(known);
		return;
	}
	if (basis == TGW_SETTLE_NOT_RUN && !by_owner) {
		known->taker = NULL;
		return;
	}
	if (basis == TGW_SETTLE_NOT_RUN && known->taker) {
		known->owner_is_done = true;
		return;
	}
	apply_settlement(known, item->tokens, basis, by_owner);
	budget_holder_serve_waiters(known->bucket);
}

/* A retry that came before the successor knew the key was charged too. */
static void meet_registered(struct reservation *known, bool is_settled)
{
	struct holder_share *share = known->share;

	if (!is_settled || known->state != RESERVATION_SETTLED || !share ||
	    share->line->is_closed)
		return;
	budget_holder_reverse(known);
}

void budget_holder_register(struct tgw_budget_agent *agent,
			    struct budget_peer *from, uint64_t from_incarnation,
			    uint32_t index,
			    const struct budget_message_item *item)
{
	struct reservation *reservation =
		key_table_find(&agent->reservations, &item->key);

	if (reservation && reservation->state != RESERVATION_NOT_RUN) {
		meet_registered(reservation, item->code);
		return;
	}
	reservation = obtain_reservation(agent, &item->key);
	set_share(reservation, NULL);
	reservation->bucket = budget_bucket_obtain(agent, index);
	reservation->owner = from;
	reservation->owner_incarnation = from_incarnation;
	reservation->request_id = item->id;
	reservation->owner_is_done = true;
	if (!item->code) {
		reservation->state = RESERVATION_OPEN;
		reservation->bound_tokens = item->tokens;
		return;
	}
	reservation->state = RESERVATION_SETTLED;
	reservation->spent_tokens = item->tokens;
	queue_ended(agent, reservation);
	if (!request_key_is_unique(&item->key))
		budget_exchange_log(reservation->bucket, &item->key);
}

static void hand_over_key(struct tgw_budget_agent *agent,
			  const struct reservation *reservation)
{
	const struct budget_bucket *bucket = reservation->bucket;
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_REGISTER,
		.bucket = bucket->index,
	};
	struct budget_message_item *item;

	if (!bucket->rank_count || bucket->ranked[0] == agent->self)
		return;
	item = budget_message_add(&message);
	item->id = reservation->request_id;
	item->key = reservation->key;
	item->has_key = true;
	item->code = 1;
	item->tokens = reservation->spent_tokens;
	budget_send(agent, bucket->ranked[0]->name, &message);
	budget_message_clear(&message);
}

void budget_holder_hand_over(struct tgw_budget_agent *agent)
{
	for (size_t i = 0; i < agent->reservations.capacity; i++) {
		const struct reservation *reservation =
			agent->reservations.slots[i];

		if (reservation && reservation->state == RESERVATION_SETTLED)
			hand_over_key(agent, reservation);
	}
}

void budget_holder_free_all(struct tgw_budget_agent *agent)
{
	for (size_t i = 0; i < agent->reservations.capacity; i++)
		free(agent->reservations.slots[i]);
	key_table_free(&agent->reservations);
}

static bool is_abandoned(const struct tgw_budget_agent *agent,
			 const struct reservation *reservation)
{
	const struct budget_peer *peer = reservation->taker;
	uint64_t incarnation = reservation->taker_incarnation;

	if (!peer) {
		peer = reservation->owner;
		incarnation = reservation->owner_incarnation;
	}
	return budget_peer_state(agent, peer->name, incarnation) ==
	       TGW_HOST_GONE;
}

void budget_holder_settle_gone(struct tgw_budget_agent *agent)
{
	for (size_t i = 0; i < agent->reservations.capacity; i++) {
		struct reservation *reservation = agent->reservations.slots[i];

		if (!reservation || reservation->state != RESERVATION_OPEN ||
		    !is_abandoned(agent, reservation))
			continue;
		apply_settlement(reservation, reservation->bound_tokens,
				 TGW_SETTLE_BOUND, false);
	}
}

void budget_holder_reverse(struct reservation *reservation)
{
	struct holder_share *share = reservation->share;

	assert(reservation->state == RESERVATION_SETTLED && share &&
	       !share->line->is_closed);
	share->settled_tokens -= reservation->spent_tokens;
	reservation->state = RESERVATION_REVERSED;
	reservation->bucket->agent->counters.reversed_duplicates++;
}

void budget_holder_expire(struct tgw_budget_agent *agent)
{
	int64_t before_us =
		budget_now_us(agent) - agent->env.settings.duplicate_memory_us;

	while (agent->ended_first &&
	       (agent->ended_first->state == RESERVATION_OPEN ||
		agent->ended_first->ended_us < before_us)) {
		struct reservation *reservation = agent->ended_first;

		agent->ended_first = reservation->next_ended;
		if (!agent->ended_first)
			agent->ended_end = &agent->ended_first;
		reservation->is_queued = false;
		if (reservation->state == RESERVATION_OPEN)
			continue;
		key_table_remove(&agent->reservations, &reservation->key);
		set_share(reservation, NULL);
		free(reservation);
	}
}
