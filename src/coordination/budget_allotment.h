/**
 * @file budget_allotment.h
 * A holder's ledger lines and the allotments in them (struct holder_allotment):
 * what is used, and what may still be granted. A line is one host's record in
 * a ledger bucket.
 */
#ifndef COORDINATION_BUDGET_ALLOTMENT_H
#define COORDINATION_BUDGET_ALLOTMENT_H

#include "coordination/budget_state.h"

/** An allotment is refilled early when the tokens left in it are fewer than
 * those left right after its last change, divided by this. */
#define REFILL_DIVISOR 4

/** @return tokens settled, reserved or withheld: what may have been spent */
int64_t holder_allotment_used(const struct holder_allotment *allotment);

/** @return the maximum that used tokens may reach: the higher of the ceilings
 * in the ledger and at the witness, or the usable tokens when the line has no
 * witness; never more than the transition ceiling while the witness changes */
int64_t holder_allotment_ceiling(const struct holder_allotment *allotment);

/** @return tokens that can be granted now */
int64_t holder_allotment_left(const struct holder_allotment *allotment);

/** @return the sum of the bounds of the waiting requests */
int64_t holder_allotment_waiting(const struct holder_allotment *allotment);

/** @return tokens by which the ceiling should exceed what is used: the demand
 * forecast for half of death_loss_us. While the store is unreachable, the
 * forecast for outage_loss_us if this host is ranked first, and otherwise all
 * unused tokens. */
int64_t holder_allotment_headroom(const struct holder_allotment *allotment);

/** Schedules a check of the ceiling, after a change of the used or waiting
 * tokens or of the ceilings. */
void holder_allotment_schedule_check(struct holder_allotment *allotment);

struct holder_allotment *holder_line_find_allotment(
	const struct holder_line *line, const char *budget);

struct holder_allotment *holder_line_obtain_allotment(struct holder_line *line,
						      const char *budget);

/** @return the bucket's open line; a new one when there is none */
struct holder_line *holder_line_obtain(struct budget_bucket *bucket);

/** Ends grants from a line that is no longer open in the ledger. Its waiting
 * requests move to a new line, unless the host is draining. */
void holder_line_set_closed(struct holder_line *line);

/** Frees closed lines that were folded and that no reservation refers to. */
void holder_line_sweep(struct budget_bucket *bucket);

void holder_line_free_all(struct budget_bucket *bucket);

/** @return tokens of the line's open reservations */
int64_t holder_line_open_tokens(const struct holder_line *line);

#endif
