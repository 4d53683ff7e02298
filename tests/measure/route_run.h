/**
 * @file route_run.h
 * Runs a workload through one routing policy in virtual time, with one
 * router for each entry host.
 */
#ifndef MEASURE_ROUTE_RUN_H
#define MEASURE_ROUTE_RUN_H

#include "measure/route_workload.h"

enum route_policy {
	POLICY_ROUTER,	   /**< tgw_router */
	POLICY_RANDOM,	   /**< any server, at once */
	POLICY_LEAST_LOAD, /**< the least reported load, at once */
	POLICY_COUNT
};

/** What goes wrong during a run of POLICY_ROUTER. */
struct route_faults {
	bool crashing_request; /**< sent again to two hosts at each failure */
	bool drain;	       /**< of one server, in the burst */
};

struct route_result {
	uint64_t arrived[TGW_URGENCY_COUNT];
	uint64_t in_time[TGW_URGENCY_COUNT];
	uint64_t refused;	/**< by the policy, before the deadline */
	uint64_t small_arrived; /**< backlog of the teams that are not large */
	uint64_t small_in_time;
	uint64_t reads_arrived;
	uint64_t reads_in_time;
	uint64_t looked_up_blocks;
	uint64_t found_blocks;
	uint64_t servers_lost;
	uint64_t innocents_refused;	 /**< not the crashing request */
	uint64_t cut_off;		 /**< by the stop after the drain */
	int64_t new_work_after_drain_us; /**< last start after the drain */
};

void route_run(const struct workload *workload, enum route_policy policy,
	       const struct route_faults *faults, uint64_t seed,
	       struct route_result *result);

#endif
