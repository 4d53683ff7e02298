/**
 * @file loss_bound.h
 * How much of a budget hosts may hold, so that any number of deaths of all of
 * them strands at most a part of what was paid in.
 *
 * What a pool counts as taken and not settled is held, or lost with hosts that
 * died; nobody has to know which. Hosts hold a multiple of the room that is
 * left between that amount and the bound, so a loss leaves less room, and later
 * hosts hold less, but never nothing. No raise takes what is not settled above
 * the bound, but for what requests need at once.
 */
#ifndef STATE_LOSS_BOUND_H
#define STATE_LOSS_BOUND_H

#include <stdint.h>

struct loss_bound_inputs {
	double loss_fraction; /**< of what was paid in that may be stranded */
	double hold_fraction; /**< maximum part of what is left to be held */
	double weight;	      /**< of this host among all hosts */
	int64_t paid_in_tokens;
	int64_t left_tokens; /**< that hosts can still spend */
	int64_t free_tokens; /**< of those, held by no host */
	int64_t own_tokens;  /**< held by this host, unspent */
	/** Taken and not settled, by all and by the other hosts. */
	int64_t unsettled_tokens;
	int64_t others_unsettled_tokens;
};

/** @return what this host may hold, but for what requests need */
double loss_bound_limit_tokens(const struct loss_bound_inputs *in);

/** @return the fraction of this host's part of what is left that it may hold */
double loss_bound_hold_fraction(const struct loss_bound_inputs *in);

#endif
