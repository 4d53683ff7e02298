/**
 * @file budget_reservation.h
 * The reservations that a holder records, by request key.
 */
#ifndef COORDINATION_BUDGET_RESERVATION_H
#define COORDINATION_BUDGET_RESERVATION_H

#include "coordination/budget_state.h"

/** @return the reservation of the key, created if there is none */
struct reservation *reservation_obtain(struct tgw_budget_agent *agent,
				       const struct tgw_request_key *key);

/** Moves the reservation to an allotment, NULL for none, and updates the lines'
 * reference counts. */
void reservation_set_allotment(struct reservation *reservation,
			       struct holder_allotment *allotment);

/** Queues a reservation that ended now; it is freed after
 * duplicate_retention_us. */
void reservation_queue_ended(struct tgw_budget_agent *agent,
			     struct reservation *reservation);

/** Records that this request of the owner was refused or cancelled, so that a
 * delayed copy of it is ignored. */
void reservation_set_not_run(struct budget_bucket *bucket,
			     const struct tgw_request_key *key,
			     struct budget_peer *owner,
			     uint64_t owner_incarnation, uint64_t request_id);

/** Adds a retry that runs under this reservation; idempotent. */
void reservation_add_joiner(struct reservation *reservation,
			    struct budget_peer *peer, uint64_t incarnation,
			    uint64_t request_id);

void reservation_remove_joiner(struct reservation *reservation,
			       const struct budget_peer *peer,
			       uint64_t incarnation, uint64_t request_id);

void reservation_remove_joiners(struct reservation *reservation);

/** Frees reservations that ended more than duplicate_retention_us ago. */
void reservation_expire(struct tgw_budget_agent *agent);

#endif
