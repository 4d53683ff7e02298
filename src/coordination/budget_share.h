/**
 * @file budget_share.h
 * A holder's shares and lines: what may still be granted from them.
 */
#ifndef COORDINATION_BUDGET_SHARE_H
#define COORDINATION_BUDGET_SHARE_H

#include "coordination/budget_state.h"

/** A share is refilled early when this part of its allotment is left. */
#define REFILL_PART 4

/** Settled, reserved or parked: what the line may have spent. */
int64_t holder_share_used(const struct holder_allotment *share);

/** The highest that used tokens may rise to by what others have confirmed. */
int64_t holder_share_ceiling(const struct holder_allotment *share);

/** Tokens that can be granted now. */
int64_t holder_share_left(const struct holder_allotment *share);

/** Bounds of the reservations that wait. */
int64_t holder_share_waiting(const struct holder_allotment *share);

/** Tokens to be covered ahead of spending, by the forecast. */
int64_t holder_share_run_ahead(const struct holder_allotment *share);

/** What the share has used changed: its ceiling is to be looked at. */
void holder_share_touch(struct holder_allotment *share);

struct holder_allotment *holder_line_find_share(const struct holder_line *line,
						const char *budget);

struct holder_allotment *holder_line_obtain_share(struct holder_line *line,
						  const char *budget);

/** The bucket's open line; a new one when there is none. */
struct holder_line *holder_line_obtain(struct budget_bucket *bucket);

/** The ledger no longer has the line open: grants from it end. */
void holder_line_set_closed(struct holder_line *line);

/** Frees closed lines that nothing refers to. */
void holder_line_sweep(struct budget_bucket *bucket);

/** Frees all lines of the bucket. */
void holder_line_free_all(struct budget_bucket *bucket);

int64_t holder_line_open_tokens(const struct holder_line *line);

#endif
