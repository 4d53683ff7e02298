#include "state/loss_bound.h"

#include <math.h>

/* All hosts together hold this part of the room below the bound that is left
 * after the losses so far. */
#define HOLD_OF_ROOM 0.7
/* Hosts may hold at least this fraction of their part, so that not every
 * request waits for the store. */
#define MIN_HOLD_FRACTION 0.06

/* Near the end of a budget too little is left to make up for a loss: hosts may
 * hold this fraction of their part times the square of the fraction of the
 * budget that is left. */
#define LOW_HOLD_FRACTION 1.2
/* That fraction is taken from the free tokens, which all hosts read alike, with
 * this part of them held, or what a host holds itself. If it took others to
 * hold as little as it does, little would seem to be left to a host that holds
 * little, and it would hold no more. */
#define HELD_OF_FREE 0.25

/* What all hosts hold is HOLD_OF_ROOM of the room without it if each holds
 * this multiple of its part of the room that all leave. */
static double multiple_of_free_room(double weight)
{
	return weight * HOLD_OF_ROOM / (1.0 - HOLD_OF_ROOM);
}

static double max_fraction(const struct loss_bound_inputs *in)
{
	double free = (double)in->free_tokens;
	double held =
		fmax((double)in->own_tokens,
		     fmin((double)in->unsettled_tokens, HELD_OF_FREE * free));
	double left_fraction = (free + held) / (double)in->paid_in_tokens;

	return fmin(in->hold_fraction,
		    LOW_HOLD_FRACTION * left_fraction * left_fraction);
}

static double bound_tokens(const struct loss_bound_inputs *in)
{
	return in->loss_fraction * (double)in->paid_in_tokens;
}

double loss_bound_limit_tokens(const struct loss_bound_inputs *in)
{
	return (double)in->own_tokens +
	       fmax(bound_tokens(in) - (double)in->unsettled_tokens, 0);
}

double loss_bound_hold_fraction(const struct loss_bound_inputs *in)
{
	double room =
		fmax(bound_tokens(in) - (double)in->others_unsettled_tokens, 0);
	double multiple = multiple_of_free_room(in->weight);
	double part = (double)in->left_tokens * in->weight;
	double fraction;

	if (part <= 0)
		return MIN_HOLD_FRACTION;
	fraction = room * multiple / (1.0 + multiple) / part;
	fraction = fmax(fmin(fraction, max_fraction(in)), MIN_HOLD_FRACTION);
	return fmin(fraction, loss_bound_limit_tokens(in) / part);
}
