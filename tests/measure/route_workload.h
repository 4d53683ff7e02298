/**
 * @file route_workload.h
 * A Monday morning's arrivals for one user, the same for each policy.
 */
#ifndef MEASURE_ROUTE_WORKLOAD_H
#define MEASURE_ROUTE_WORKLOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "measure/engine_model.h"

/** What one kind of work looks like. */
struct work_shape {
	const char *name;
	enum tgw_urgency urgency;
	bool is_backlog; /**< the weekend's, which comes with the burst */
	double share;	 /**< of its sort's arrivals */
	int64_t deadline_us;
	size_t template_blocks; /**< the same for a team's requests */
	size_t subject_blocks;	/**< of a lift, a boiler or a manual */
	size_t own_blocks;	/**< of this request alone */
	size_t subjects;	/**< how many, the first ones more often */
	int64_t tokens_max;
	bool is_service;
	bool is_write;
};

struct fleet_shape {
	const char *name;
	size_t domains;
	size_t routers;
	size_t models;
	size_t services;
	size_t teams;
	size_t large_teams; /**< which bring most of the backlog */
	int64_t length_us;
	struct engine_settings model;
	struct engine_settings service;
	size_t kind_count;
	const struct work_shape *kinds;
};

extern const struct fleet_shape fleet_shapes[];
extern const size_t fleet_shape_count;

struct arrival {
	int64_t at_us;
	size_t router;
	size_t team;
	const struct work_shape *kind;
	double tokens; /**< that it truly takes */
	size_t prefix_count;
	uint64_t prefix[TGW_PREFIX_HASHES_MAX];
	bool crashes; /**< each server that runs it */
};

struct workload {
	const struct fleet_shape *shape;
	size_t count;
	struct arrival *arrivals; /**< by time */
};

void workload_make(struct workload *workload, const struct fleet_shape *shape,
		   uint64_t seed);

void workload_free(struct workload *workload);

/** @return the share of blocks that one cache for each domain, with the
 * memory of all its engines, would find */
double workload_best_hit_ratio(const struct workload *workload);

#endif
