#include "measure/route_workload.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define STEP_US (INT64_C(10) * TGW_US_PER_MS)
#define LENGTH_US (INT64_C(180) * TGW_US_PER_S)
#define SECONDS(n) (INT64_C(n) * TGW_US_PER_S)
/* Load of the arriving requests, as a fraction of the servers' capacity. */
#define STEADY_LOAD 0.55
#define BURST_LOAD 1.6
/* Fraction of a burst's additional load that is not backlog: calls, questions,
 * tags. */
#define BURST_URGENT_FRACTION 0.4
/* Start and end of the burst, as fractions of the workload's length. */
#define BURST_START_FRACTION 0.15
#define BURST_END_FRACTION 0.55
/* Fraction of the backlog that comes from the large teams; the rest comes from
 * all teams. */
#define LARGE_TEAM_FRACTION 0.7
#define SERVICE_LOAD 0.6
/* Minimum output tokens, as a fraction of tokens_max. */
#define MIN_TOKENS_FRACTION 0.3

/* Stairlifts: summaries, answers on parts, triage tags, bookings, schedule. */
static const struct work_shape stairlift_kinds[] = {
	{"answer", TGW_URGENCY_IMMEDIATE, false, 0.30, SECONDS(5), 6, 16, 1, 60,
	 100, false, false},
	{"triage", TGW_URGENCY_HIGH, false, 0.30, SECONDS(2), 8, 0, 1, 1, 16,
	 false, false},
	{"summary", TGW_URGENCY_NORMAL, false, 0.40, SECONDS(30), 6, 40, 2, 300,
	 350, false, false},
	{"backlog", TGW_URGENCY_BATCH, true, 1.0, SECONDS(120), 6, 40, 2, 300,
	 350, false, false},
	{"schedule", TGW_URGENCY_IMMEDIATE, false, 0.8, SECONDS(1), 0, 0, 0, 1,
	 4, true, false},
	{"booking", TGW_URGENCY_HIGH, false, 0.2, SECONDS(5), 0, 0, 0, 1, 40,
	 true, true},
};

/* Boilers: reports, code questions, defect classes, certificates, history. */
static const struct work_shape boiler_kinds[] = {
	{"question", TGW_URGENCY_IMMEDIATE, false, 0.35, SECONDS(7), 6, 24, 1,
	 80, 150, false, false},
	{"defect", TGW_URGENCY_HIGH, false, 0.35, SECONDS(2), 10, 0, 2, 1, 20,
	 false, false},
	{"report", TGW_URGENCY_NORMAL, false, 0.30, SECONDS(60), 8, 44, 4, 200,
	 700, false, false},
	{"dossier", TGW_URGENCY_BATCH, true, 1.0, SECONDS(150), 8, 44, 4, 200,
	 700, false, false},
	{"history", TGW_URGENCY_IMMEDIATE, false, 0.8, SECONDS(1), 0, 0, 0, 1,
	 4, true, false},
	{"certificate", TGW_URGENCY_HIGH, false, 0.2, SECONDS(5), 0, 0, 0, 1,
	 40, true, true},
};

#define SMALL_MODEL                       \
	{                                 \
		16, 18000, 500, 800, 4000 \
	}
#define LARGE_MODEL                         \
	{                                   \
		48, 18000, 250, 2500, 12000 \
	}
#define SERVICE                    \
	{                          \
		8, 9000, 100, 1, 1 \
	}

const struct fleet_shape fleet_shapes[] = {
	{"dvigalka", 4, 8, 10, 4, 10, 2, LENGTH_US, SMALL_MODEL, SERVICE, 6,
	 stairlift_kinds},
	{"boilercert", 4, 8, 10, 4, 10, 3, LENGTH_US, SMALL_MODEL, SERVICE, 6,
	 boiler_kinds},
	{"design/10", 6, 33, 88, 12, 200, 10, LENGTH_US / 4, LARGE_MODEL,
	 SERVICE, 6, stairlift_kinds},
};
const size_t fleet_shape_count = sizeof(fleet_shapes) / sizeof(fleet_shapes[0]);

/* Mean time in seconds for which a request occupies a slot of a fully loaded
 * server. */
static double slot_seconds(const struct fleet_shape *shape,
			   const struct work_shape *kind)
{
	const struct engine_settings *settings =
		kind->is_service ? &shape->service : &shape->model;
	double token_us =
		(double)(settings->token_us +
			 settings->token_us_per_running * settings->slots);
	double tokens =
		(double)kind->tokens_max * (1 + MIN_TOKENS_FRACTION) / 2;

	return tokens * token_us / TGW_US_PER_S;
}

/* Arrivals per second at which one category of work causes this load. */
static double rate_for(const struct fleet_shape *shape, bool service,
		       bool backlog, double load)
{
	double slots =
		service ? (double)shape->services * (double)shape->service.slots
			: (double)shape->models * (double)shape->model.slots;
	double mean = 0;

	for (size_t i = 0; i < shape->kind_count; i++)
		if (shape->kinds[i].is_service == service &&
		    shape->kinds[i].is_backlog == backlog)
			mean += shape->kinds[i].fraction *
				slot_seconds(shape, &shape->kinds[i]);
	return mean > 0 ? load * slots / mean : 0;
}

static const struct work_shape *pick_kind(const struct fleet_shape *shape,
					  struct tgw_random *random,
					  bool service, bool backlog)
{
	double at = tgw_random_unit(random);
	const struct work_shape *last = NULL;

	for (size_t i = 0; i < shape->kind_count; i++) {
		const struct work_shape *kind = &shape->kinds[i];

		if (kind->is_service != service || kind->is_backlog != backlog)
			continue;
		last = kind;
		if (at < kind->fraction)
			break;
		at -= kind->fraction;
	}
	return last;
}

static uint64_t mix_hash(uint64_t a, uint64_t b)
{
	a = (a ^ b) * UINT64_C(0x9e3779b97f4a7c15);
	a = (a ^ (a >> 29)) * UINT64_C(0xbf58476d1ce4e5b9);
	return a ^ (a >> 32);
}

static void fill_prefix(struct arrival *arrival, struct tgw_random *random,
			size_t kind_number)
{
	const struct work_shape *kind = arrival->kind;
	double uniform = tgw_random_unit(random);
	uint64_t subject =
		(uint64_t)(uniform * uniform * (double)kind->subjects);
	uint64_t template = mix_hash(arrival->team + 1, kind_number % 3 + 1);
	uint64_t hash = template;
	size_t shared = kind->template_blocks + kind->subject_blocks;

	arrival->prefix_count = shared + kind->unique_blocks;
	for (size_t i = 0; i < arrival->prefix_count; i++) {
		if (i == kind->template_blocks)
			hash = mix_hash(hash, subject + 77);
		if (i == shared)
			hash = mix_hash(hash, tgw_random_u64(random));
		hash = mix_hash(hash, i + 1);
		arrival->prefix[i] = hash;
	}
}

static void add_arrival(struct workload *workload, struct tgw_random *random,
			int64_t at_us, bool service, bool backlog)
{
	const struct fleet_shape *shape = workload->shape;
	struct arrival *arrival;
	bool large = backlog && tgw_random_unit(random) < LARGE_TEAM_FRACTION;

	workload->arrivals =
		xrealloc(workload->arrivals,
			 (workload->count + 1) * sizeof(workload->arrivals[0]));
	arrival = &workload->arrivals[workload->count++];
	memset(arrival, 0, sizeof(*arrival));
	arrival->at_us = at_us;
	arrival->router = tgw_random_below(random, shape->routers);
	arrival->team = tgw_random_below(random, large ? shape->large_teams
						       : shape->teams);
	arrival->kind = pick_kind(shape, random, service, backlog);
	arrival->tokens = (double)arrival->kind->tokens_max *
			  (MIN_TOKENS_FRACTION +
			   (1 - MIN_TOKENS_FRACTION) * tgw_random_unit(random));
	fill_prefix(arrival, random, (size_t)(arrival->kind - shape->kinds));
}

static void add_arrivals(struct workload *workload, struct tgw_random *random,
			 int64_t at_us, bool service, bool backlog, double load)
{
	double rate = rate_for(workload->shape, service, backlog, load);
	double expected = rate * STEP_US / TGW_US_PER_S;

	while (tgw_random_unit(random) < expected) {
		add_arrival(workload, random, at_us, service, backlog);
		expected -= 1;
	}
}

void workload_make(struct workload *workload, const struct fleet_shape *shape,
		   uint64_t seed)
{
	struct tgw_random random;

	memset(workload, 0, sizeof(*workload));
	workload->shape = shape;
	tgw_random_init(&random, seed);
	for (int64_t at_us = 0; at_us < shape->length_us; at_us += STEP_US) {
		double fraction = (double)at_us / (double)shape->length_us;
		bool burst = fraction >= BURST_START_FRACTION &&
			     fraction < BURST_END_FRACTION;

		add_arrivals(workload, &random, at_us, false, false,
			     STEADY_LOAD);
		add_arrivals(workload, &random, at_us, true, false,
			     SERVICE_LOAD);
		if (!burst)
			continue;
		add_arrivals(workload, &random, at_us, false, false,
			     (BURST_LOAD - STEADY_LOAD) *
				     BURST_URGENT_FRACTION);
		add_arrivals(workload, &random, at_us, false, true,
			     (BURST_LOAD - STEADY_LOAD) *
				     (1 - BURST_URGENT_FRACTION));
	}
}

void workload_free(struct workload *workload)
{
	free(workload->arrivals);
	workload->arrivals = NULL;
}

double workload_best_hit_ratio(const struct workload *workload)
{
	const struct fleet_shape *shape = workload->shape;
	struct engine_cache **caches =
		xcalloc(shape->domains, sizeof(caches[0]));
	size_t blocks =
		shape->model.cache_blocks * shape->models / shape->domains;
	uint64_t looked_up = 0;
	uint64_t found = 0;

	for (size_t i = 0; i < shape->domains; i++)
		caches[i] = engine_cache_new(blocks);
	for (size_t i = 0; i < workload->count; i++) {
		const struct arrival *arrival = &workload->arrivals[i];
		size_t domain = arrival->router % shape->domains;

		looked_up += arrival->prefix_count;
		found += engine_cache_use(caches[domain], arrival->prefix,
					  arrival->prefix_count, NULL);
	}
	for (size_t i = 0; i < shape->domains; i++)
		engine_cache_free(caches[i]);
	free(caches);
	return (double)found / (double)looked_up;
}
