/**
 * @file route_workload.h
 * Generates the arrivals of one user's Monday morning. Each routing policy gets
 * the same ones.
 */
#ifndef MEASURE_ROUTE_WORKLOAD_H
#define MEASURE_ROUTE_WORKLOAD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "measure/engine_model.h"

/** One kind of work. */
struct work_shape {
	const char *name;
	enum tgw_urgency urgency;
	bool is_backlog; /**< backlog of the weekend; arrives in the burst */
	/** Fraction of the arrivals with the same is_service and is_backlog. */
	double fraction;
	int64_t deadline_us;
	/** Prompt blocks that all of a team's requests of this kind share. */
	size_t template_blocks;
	/** Prompt blocks about one subject: a lift, a boiler or a manual. */
	size_t subject_blocks;
	size_t unique_blocks; /**< prompt blocks that only one request has */
	size_t subjects; /**< number of subjects; the first are more frequent */
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
	size_t large_teams; /**< teams that send most of the backlog */
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
	double tokens; /**< actual output tokens */
	size_t prefix_count;
	uint64_t prefix[TGW_PREFIX_HASHES_MAX];
	bool crashes; /**< crashes each server that runs it */
};

struct workload {
	const struct fleet_shape *shape;
	size_t count;
	struct arrival *arrivals; /**< by time */
};

void workload_make(struct workload *workload, const struct fleet_shape *shape,
		   uint64_t seed);

void workload_free(struct workload *workload);

/** Simulates one cache per failure domain with the capacity of all its engines.
 * @return the fraction of the looked-up blocks that such a cache holds */
double workload_best_hit_ratio(const struct workload *workload);

#endif
