#include "coordination/budget_reservation.h"

#include <stdlib.h>

#include "base/xalloc.h"

struct reservation *reservation_obtain(struct tgw_budget_agent *agent,
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

void reservation_set_allotment(struct reservation *reservation,
			       struct holder_allotment *allotment)
{
	if (reservation->allotment)
		reservation->allotment->line->reference_count--;
	reservation->allotment = allotment;
	if (allotment)
		allotment->line->reference_count++;
}

void reservation_queue_ended(struct tgw_budget_agent *agent,
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

void reservation_set_not_run(struct budget_bucket *bucket,
			     const struct tgw_request_key *key,
			     struct budget_peer *owner,
			     uint64_t owner_incarnation, uint64_t request_id)
{
	struct reservation *reservation =
		reservation_obtain(bucket->agent, key);

	reservation->bucket = bucket;
	reservation->owner = owner;
	reservation->owner_incarnation = owner_incarnation;
	reservation->request_id = request_id;
	reservation->state = RESERVATION_NOT_RUN;
	reservation_queue_ended(bucket->agent, reservation);
}

void reservation_add_joiner(struct reservation *reservation,
			    struct budget_peer *peer, uint64_t incarnation,
			    uint64_t request_id)
{
	struct reservation_joiner *joiner = reservation->joiners;

	while (joiner &&
	       (joiner->peer != peer || joiner->incarnation != incarnation ||
		joiner->request_id != request_id))
		joiner = joiner->next;
	if (joiner)
		return;
	joiner = xcalloc(1, sizeof(*joiner));
	joiner->peer = peer;
	joiner->incarnation = incarnation;
	joiner->request_id = request_id;
	joiner->next = reservation->joiners;
	reservation->joiners = joiner;
}

void reservation_remove_joiner(struct reservation *reservation,
			       const struct budget_peer *peer,
			       uint64_t incarnation, uint64_t request_id)
{
	struct reservation_joiner **link = &reservation->joiners;
	struct reservation_joiner *joiner;

	while (*link &&
	       ((*link)->peer != peer || (*link)->incarnation != incarnation ||
		(*link)->request_id != request_id))
		link = &(*link)->next;
	joiner = *link;
	if (!joiner)
		return;
	*link = joiner->next;
	free(joiner);
}

void reservation_remove_joiners(struct reservation *reservation)
{
	while (reservation->joiners) {
		struct reservation_joiner *joiner = reservation->joiners;

		reservation->joiners = joiner->next;
		free(joiner);
	}
}

static void remove_unconfirmed(struct tgw_budget_agent *agent,
			       const struct reservation *reservation)
{
	struct reservation **link = &agent->unconfirmed;

	while (*link && *link != reservation)
		link = &(*link)->next_unconfirmed;
	if (*link)
		*link = reservation->next_unconfirmed;
}

void reservation_expire(struct tgw_budget_agent *agent)
{
	int64_t before_us = budget_now_us(agent) -
			    agent->env.settings.duplicate_retention_us;

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
		remove_unconfirmed(agent, reservation);
		reservation_set_allotment(reservation, NULL);
		reservation_remove_joiners(reservation);
		free(reservation);
	}
}
