/**
 * @file budget_witness.h
 * Witnesses: a second host of the domain that knows a ceiling which the
 * holder's spending has not passed, so that little is lost when it dies.
 *
 * The holder never spends past the highest ceiling that the witness of the
 * current epoch has acknowledged, or that it has written to the ledger. A
 * witness that gives the holder up first stops to acknowledge, then closes
 * the line at its ceiling, if the ledger still names it for that epoch. The
 * ledger's compare-and-swap decides all races, so that no clock matters.
 */
#ifndef COORDINATION_BUDGET_WITNESS_H
#define COORDINATION_BUDGET_WITNESS_H

#include "coordination/budget_state.h"

/** Names a new witness in a planned line when the old one won't do.
 * @return whether the line changed */
bool budget_witness_choose(struct budget_bucket *bucket,
			   struct ledger_line *line);

/** Asks for higher ceilings where they are near. Holder's side. */
void budget_witness_raise(struct budget_bucket *bucket);

/** Whether the ledger's witness is not there any more. Holder's side. */
bool budget_witness_is_lost(const struct budget_bucket *bucket);

void budget_witness_on_raise(struct tgw_budget_agent *agent,
			     struct budget_peer *from,
			     uint64_t from_incarnation,
			     const struct budget_message *message);

void budget_witness_on_raised(struct tgw_budget_agent *agent,
			      struct budget_peer *from,
			      uint64_t from_incarnation,
			      const struct budget_message *message);

/** Closes lines of gone holders in the draft. @return whether any was */
bool budget_witness_plan_closings(struct budget_bucket *bucket,
				  int64_t wall_us);

/** Takes over what the ledger says of witnessed lines. */
void budget_witness_adopt(struct budget_bucket *bucket);

/** Notes silent holders; asks for an operation when one is to be closed. */
void budget_witness_watch(struct budget_bucket *bucket);

void budget_witness_free_all(struct budget_bucket *bucket);

#endif
