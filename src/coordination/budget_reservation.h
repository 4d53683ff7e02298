/**
 * @file budget_reservation.h
 * The reservations that a holder knows, by request key.
 */
#ifndef COORDINATION_BUDGET_RESERVATION_H
#define COORDINATION_BUDGET_RESERVATION_H

#include "coordination/budget_state.h"

/** @return the reservation of the key, added when it is new */
struct reservation *reservation_obtain(struct tgw_budget_agent *agent,
				       const struct tgw_request_key *key);

/** Moves it to a share; NULL for none. */
void reservation_set_share(struct reservation *reservation,
			   struct holder_share *share);

/** It has ended now, and is forgotten in due time. */
void reservation_queue_ended(struct tgw_budget_agent *agent,
			     struct reservation *reservation);

/** Notes that this request of the owner was refused or cancelled: should it
 * come in once more, late by the network, it is dropped. */
void reservation_set_not_run(struct budget_bucket *bucket,
			     const struct tgw_request_key *key,
			     struct budget_peer *owner,
			     uint64_t owner_incarnation, uint64_t request_id);

/** A retry runs under this reservation; told twice, it counts once. */
void reservation_add_taker(struct reservation *reservation,
			   struct budget_peer *peer, uint64_t incarnation,
			   uint64_t request_id);

void reservation_drop_taker(struct reservation *reservation,
			    const struct budget_peer *peer,
			    uint64_t incarnation, uint64_t request_id);

void reservation_drop_takers(struct reservation *reservation);

/** Forgets what ended too long ago. */
void reservation_expire(struct tgw_budget_agent *agent);

#endif
