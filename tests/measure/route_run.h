/**
 * @file route_run.h
 * Runs a workload through one routing policy in virtual time, with one router
 * per entry host.
 */
#ifndef MEASURE_ROUTE_RUN_H
#define MEASURE_ROUTE_RUN_H

#include "measure/route_workload.h"

enum route_policy {
	POLICY_ROUTER,	   /**< tgw_router */
	POLICY_RANDOM,	   /**< a random server, immediately */
	POLICY_LEAST_LOAD, /**< the least reported load, immediately */
	POLICY_COUNT
};

/** The faults during a run of POLICY_ROUTER. */
struct route_faults {
	/** A request that crashes each server that runs it. Its caller retries
	 * it at two hosts at once after each failure. */
	bool crashing_request;
	bool drain; /**< one server is drained during the burst */
};

struct route_result {
	uint64_t arrived[TGW_URGENCY_COUNT];
	uint64_t in_time[TGW_URGENCY_COUNT];
	uint64_t refused;	/**< by the router */
	uint64_t small_arrived; /**< backlog of the teams that are not large */
	uint64_t small_in_time;
	uint64_t reads_arrived;
	uint64_t reads_in_time;
	uint64_t looked_up_blocks;
	uint64_t found_blocks;
	uint64_t servers_lost; /**< crashes by the crashing request */
	/** Requests other than the crashing one that quarantine refused or
	 * answered with BUSY. */
	uint64_t others_refused;
	/** Requests still at the drained server 30 s after the drain, which its
	 * stop would end; printed as cut_off. */
	uint64_t stopped_requests;
	/** Time from the drain to the last request that the drained server
	 * received. */
	int64_t new_work_after_drain_us;
};

void route_run(const struct workload *workload, enum route_policy policy,
	       const struct route_faults *faults, uint64_t seed,
	       struct route_result *result);

#endif
