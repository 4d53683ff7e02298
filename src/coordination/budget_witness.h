/**
 * @file budget_witness.h
 * Witnesses: a second host of the failure domain acknowledges a ceiling that
 * the holder's spending does not exceed, so that few unspent tokens are written
 * off when the holder dies. A line is one host's record in a ledger bucket.
 *
 * The holder never spends more than the ceiling that the witness of the current
 * epoch has acknowledged or that the holder has written to the ledger,
 * whichever is higher. A witness that presumes the holder dead first stops
 * acknowledging, then closes the line at the ceiling, if the ledger still names
 * it as the witness for that epoch. The ledger's compare-and-swap decides all
 * races, so safety does not depend on clocks.
 */
#ifndef COORDINATION_BUDGET_WITNESS_H
#define COORDINATION_BUDGET_WITNESS_H

#include "coordination/budget_state.h"

/** Chooses a new witness for a planned line when the present one is not alive,
 * or there is none. Holder's side. @return whether the line changed */
bool budget_witness_choose(struct budget_bucket *bucket,
			   struct ledger_line *line);

/** Requests higher ceilings where spending comes near them, and lower ones for
 * idle allotments. Holder's side. */
void budget_witness_raise(struct budget_bucket *bucket);

/** @return whether this host's line is in the ledger, and its witness is not
 * alive, or it has none and a host could be its witness. Holder's side. */
bool budget_witness_needs_change(const struct budget_bucket *bucket);

/** Acknowledges or refuses a holder's ceilings. Witness's side. */
void budget_witness_on_raise(struct tgw_budget_agent *agent,
			     struct budget_peer *from,
			     uint64_t from_incarnation,
			     const struct budget_message *message);

/** Applies the witness's reply. Holder's side. */
void budget_witness_on_raised(struct tgw_budget_agent *agent,
			      struct budget_peer *from,
			      uint64_t from_incarnation,
			      const struct budget_message *message);

/** Closes in bucket->draft the lines of holders that are presumed dead.
 * @param wall_us the time to record
 * @return whether any line was closed */
bool budget_witness_plan_closings(struct budget_bucket *bucket,
				  int64_t wall_us);

/** Updates the witness records from bucket->ledger. */
void budget_witness_adopt(struct budget_bucket *bucket);

/** Tracks since when holders are silent, schedules an operation when a line has
 * to be closed, and adds this host's reserve allotments. */
void budget_witness_watch(struct budget_bucket *bucket);

void budget_witness_free_all(struct budget_bucket *bucket);

#endif
