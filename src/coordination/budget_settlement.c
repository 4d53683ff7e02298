/* The holder's side of settlements: applies them, keeps what may still be
 * claimed withheld, and reverses duplicates. */
#include "coordination/budget_holder.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "coordination/budget_allotment.h"
#include "coordination/budget_exchange.h"
#include "coordination/budget_reservation.h"
#include "state/request_key.h"

/* Settlements on a closed line are collected for this long before a write. */
#define CLOSED_LINE_BATCH_US BUDGET_S(1)

/* Subtracts reversed charges from settled tokens, at most to zero; the rest
 * stays as credit. */
static void apply_credit(struct holder_allotment *allotment)
{
	int64_t tokens = allotment->credit_tokens < allotment->settled_tokens
				 ? allotment->credit_tokens
				 : allotment->settled_tokens;

	allotment->credit_tokens -= tokens;
	allotment->settled_tokens -= tokens;
}

static void apply_settlement(struct reservation *reservation, int64_t spent,
			     enum tgw_settle_basis basis)
{
	struct budget_bucket *bucket = reservation->bucket;
	struct tgw_budget_agent *agent = bucket->agent;
	struct holder_allotment *allotment = reservation->allotment;
	int64_t bound = reservation->bound_tokens;

	if (basis == TGW_SETTLE_BOUND || spent > bound)
		spent = bound;
	if (basis == TGW_SETTLE_NOT_RUN)
		spent = 0;
	if (spent < reservation->min_charge_tokens)
		spent = reservation->min_charge_tokens;
	reservation->state = basis == TGW_SETTLE_NOT_RUN && !spent
				     ? RESERVATION_NOT_RUN
				     : RESERVATION_SETTLED;
	reservation->is_partial = budget_basis_is_incomplete(basis);
	reservation->spent_tokens = spent;
	reservation_remove_joiners(reservation);
	reservation_queue_ended(agent, reservation);
	if (allotment) {
		allotment->open_tokens -= bound;
		allotment->settled_tokens += spent;
		apply_credit(allotment);
		holder_allotment_schedule_check(allotment);
		if (!reservation->claim_is_waived)
			reservation->withheld_tokens = bound - spent;
		allotment->withheld_tokens += reservation->withheld_tokens;
		demand_forecast_add(&allotment->demand, budget_now_us(agent),
				    spent);
		agent->counters.reserved_tokens -= bound;
		if (allotment->line->is_closed)
			budget_bucket_schedule(bucket,
					       budget_now_us(agent) +
						       CLOSED_LINE_BATCH_US);
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

/* Releases the withheld tokens, which the owner will not claim any more. */
static void release_withheld(struct reservation *reservation)
{
	reservation->claim_is_waived = true;
	if (reservation->allotment) {
		reservation->allotment->withheld_tokens -=
			reservation->withheld_tokens;
		holder_allotment_schedule_check(reservation->allotment);
	}
	reservation->withheld_tokens = 0;
}

/* Keeps unspent tokens withheld until the owner confirms that it has received
 * the acknowledgement. Before that, it may claim them if it finds this host
 * gone. */
static void await_confirmation(struct tgw_budget_agent *agent,
			       struct reservation *reservation,
			       uint64_t sequence)
{
	if (reservation->owner == agent->self) {
		release_withheld(reservation);
		return;
	}
	if (reservation->is_unconfirmed || reservation->claim_is_waived)
		return;
	reservation->is_unconfirmed = true;
	reservation->settle_sequence = sequence;
	reservation->next_unconfirmed = agent->unconfirmed;
	agent->unconfirmed = reservation;
}

void budget_holder_confirm(struct tgw_budget_agent *agent,
			   const struct budget_peer *from,
			   uint64_t from_incarnation, uint64_t sequence)
{
	struct reservation **link = &agent->unconfirmed;

	while (*link) {
		struct reservation *reservation = *link;

		if (reservation->owner != from ||
		    reservation->owner_incarnation != from_incarnation ||
		    reservation->settle_sequence > sequence) {
			link = &reservation->next_unconfirmed;
			continue;
		}
		*link = reservation->next_unconfirmed;
		reservation->is_unconfirmed = false;
		release_withheld(reservation);
	}
}

/* Records the cancellation, so that a RESERVE that arrives later is ignored. */
static void record_cancelled(struct tgw_budget_agent *agent,
			     struct budget_peer *from,
			     uint64_t from_incarnation,
			     const struct budget_message_item *item)
{
	struct budget_bucket *bucket = budget_bucket_obtain(
		agent, ledger_bucket_of(item->budget,
					agent->env.settings.bucket_count));

	reservation_set_not_run(bucket, &item->key, from, from_incarnation,
				item->id);
}

static void remove_waiter(struct tgw_budget_agent *agent,
			  struct budget_peer *from,
			  const struct budget_message_item *item)
{
	struct budget_bucket *bucket = budget_bucket_obtain(
		agent, ledger_bucket_of(item->budget,
					agent->env.settings.bucket_count));
	struct holder_allotment *allotment =
		holder_line_find_allotment(bucket->line, item->budget);
	struct budget_waiter **link = allotment ? &allotment->waiters : NULL;

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

/* Ends the incomplete run of the owner or of one joiner.
 * @return whether no run uses the reservation any more */
static bool end_incomplete_run(struct tgw_budget_agent *agent,
			       struct reservation *reservation,
			       struct budget_peer *from,
			       uint64_t from_incarnation, uint64_t sequence,
			       const struct budget_message_item *item,
			       bool by_owner)
{
	if (item->code == TGW_SETTLE_PARTIAL &&
	    item->tokens > reservation->min_charge_tokens)
		reservation->min_charge_tokens = item->tokens;
	if (by_owner) {
		reservation->owner_run_ended = true;
		if (reservation->joiners)
			await_confirmation(agent, reservation, sequence);
	} else {
		reservation_remove_joiner(reservation, from, from_incarnation,
					  item->id);
	}
	return reservation->owner_run_ended && !reservation->joiners;
}

void budget_holder_settle(struct tgw_budget_agent *agent,
			  struct budget_peer *from, uint64_t from_incarnation,
			  uint64_t sequence,
			  const struct budget_message_item *item)
{
	struct reservation *reservation =
		key_table_find(&agent->reservations, &item->key);
	enum tgw_settle_basis basis = (enum tgw_settle_basis)item->code;
	bool by_owner;

	if (basis == TGW_SETTLE_NOT_RUN)
		remove_waiter(agent, from, item);
	if (!reservation || reservation->state == RESERVATION_NOT_RUN) {
		if (basis == TGW_SETTLE_NOT_RUN)
			record_cancelled(agent, from, from_incarnation, item);
		return;
	}
	by_owner = reservation->owner == from &&
		   reservation->owner_incarnation == from_incarnation &&
		   reservation->request_id == item->id;
	if (reservation->state != RESERVATION_OPEN) {
		if (by_owner)
			await_confirmation(agent, reservation, sequence);
		return;
	}
	if (budget_basis_is_incomplete(basis) &&
	    !end_incomplete_run(agent, reservation, from, from_incarnation,
				sequence, item, by_owner))
		return;
	apply_settlement(reservation, item->tokens, basis);
	if (by_owner)
		await_confirmation(agent, reservation, sequence);
	budget_holder_serve_waiters(reservation->bucket);
}

/* Reverses the charge of a retry that this host granted before its predecessor
 * reported that the key is settled. */
static void reverse_registered(struct reservation *reservation,
			       const struct budget_message_item *item)
{
	if (!item->code || reservation->state != RESERVATION_SETTLED ||
	    !reservation->allotment || reservation->is_kept)
		return;
	budget_holder_reverse(reservation, item->tokens);
}

void budget_holder_register(struct tgw_budget_agent *agent,
			    struct budget_peer *from, uint64_t from_incarnation,
			    uint32_t index,
			    const struct budget_message_item *item)
{
	struct reservation *reservation =
		key_table_find(&agent->reservations, &item->key);

	if (reservation && reservation->state != RESERVATION_NOT_RUN) {
		reverse_registered(reservation, item);
		return;
	}
	reservation = reservation_obtain(agent, &item->key);
	reservation_set_allotment(reservation, NULL);
	reservation->bucket = budget_bucket_obtain(agent, index);
	reservation->owner = from;
	reservation->owner_incarnation = from_incarnation;
	reservation->request_id = item->id;
	reservation->claim_is_waived = true;
	if (!item->code) {
		reservation->state = RESERVATION_OPEN;
		reservation->bound_tokens = item->tokens;
		return;
	}
	reservation->state = RESERVATION_SETTLED;
	reservation->spent_tokens = item->tokens;
	reservation_queue_ended(agent, reservation);
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
	for (size_t i = 0; i < agent->reservations.capacity; i++) {
		if (agent->reservations.slots[i])
			reservation_remove_joiners(
				agent->reservations.slots[i]);
		free(agent->reservations.slots[i]);
	}
	key_table_free(&agent->reservations);
}

static bool is_gone(const struct tgw_budget_agent *agent,
		    const struct budget_peer *peer, uint64_t incarnation)
{
	return budget_peer_state(agent, peer->name, incarnation) ==
	       TGW_HOST_GONE;
}

/* @return whether every process that still uses the reservation is gone */
static bool is_abandoned(const struct tgw_budget_agent *agent,
			 const struct reservation *reservation)
{
	const struct reservation_joiner *joiner = reservation->joiners;

	for (; joiner; joiner = joiner->next)
		if (!is_gone(agent, joiner->peer, joiner->incarnation))
			return false;
	return reservation->owner_run_ended ||
	       is_gone(agent, reservation->owner,
		       reservation->owner_incarnation);
}

void budget_holder_settle_abandoned(struct tgw_budget_agent *agent)
{
	for (size_t i = 0; i < agent->reservations.capacity; i++) {
		struct reservation *reservation = agent->reservations.slots[i];

		if (!reservation || reservation->state != RESERVATION_OPEN ||
		    !is_abandoned(agent, reservation))
			continue;
		apply_settlement(reservation, reservation->bound_tokens,
				 TGW_SETTLE_BOUND);
	}
}

void budget_holder_credit(struct reservation *reservation, int64_t tokens)
{
	struct budget_bucket *bucket = reservation->bucket;
	/* The line that the reservation was charged to may be closed, so the
	 * open line gets the credit. */
	struct holder_allotment *allotment = holder_line_obtain_allotment(
		holder_line_obtain(bucket), reservation->allotment->budget);

	allotment->credit_tokens += tokens;
	apply_credit(allotment);
	budget_bucket_schedule(bucket, budget_now_us(bucket->agent) +
					       CLOSED_LINE_BATCH_US);
}

void budget_holder_reverse(struct reservation *reservation,
			   int64_t other_tokens)
{
	int64_t tokens = reservation->spent_tokens;

	assert(reservation->state == RESERVATION_SETTLED &&
	       reservation->allotment);
	budget_holder_credit(reservation,
			     other_tokens < tokens ? other_tokens : tokens);
	reservation->state = RESERVATION_REVERSED;
	reservation->bucket->agent->counters.reversed_duplicates++;
}
