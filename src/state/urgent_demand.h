/**
 * @file urgent_demand.h
 * How much of the demand for a budget comes from the more urgent requests.
 */
#ifndef STATE_URGENT_DEMAND_H
#define STATE_URGENT_DEMAND_H

#include <stdint.h>

#include "state/demand_forecast.h"

/** Ranks that are told apart: the last one stands for all less urgent ones. */
#define URGENT_DEMAND_RANKS 3

struct urgent_demand {
	struct demand_forecast ranks[URGENT_DEMAND_RANKS];
};

/** @param rank of the request's route, 0 for the most urgent */
void urgent_demand_add(struct urgent_demand *demand, int32_t rank,
		       int64_t tokens, int64_t now_us);

/** @return the fraction of the recent demand that requests of more urgent ranks
 * make up; 0 without any */
double urgent_demand_fraction(const struct urgent_demand *demand, int32_t rank,
			      int64_t now_us);

#endif
