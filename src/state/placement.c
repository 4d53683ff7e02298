#include "state/placement.h"

#include <stdlib.h>
#include <string.h>

#include "tamarackgw/clock.h"

/* A ranked server is skipped when its load exceeds LOAD_BOUND_FACTOR times
 * the mean load plus LOAD_BOUND_SLACK_REQUESTS. The slack keeps requests that
 * share parts of their prompts on one server while the load is light. */
#define LOAD_BOUND_FACTOR 2.0
#define LOAD_BOUND_SLACK_REQUESTS 5.0
/* Additional cost, in requests per slot, of a server in another failure
 * domain, and of a server whose requests all fail (in proportion for a lower
 * failure rate). */
#define REMOTE_DOMAIN_COST 0.10
#define FAILURE_COST 3.0
/* Servers whose costs differ by less than this are chosen at random. */
#define TIE_BREAK_COST 0.04
#define DRAW_STEPS 1024
/* Servers with a higher failure rate get no requests by affinity. */
#define MAX_AFFINITY_FAILURE_RATE 0.3

/* Prompts of at least this size are long: a server needs several steps to read
 * one. */
#define MIN_LONG_PROMPT_TOKENS 30000
/* One in this many servers reads long prompts. */
#define LONG_PROMPT_SERVER_DIVISOR 6
/* Maximum number of servers of one service that the split takes into
 * account. */
#define MAX_SERVERS 1024

/* Which servers read long prompts: those with the lowest hashes of their ids,
 * so that all hosts agree without exchanging messages. */
struct prompt_split {
	bool enabled;	       /* false if there are too few servers to split */
	uint64_t highest_hash; /* of the servers that read long prompts */
};

struct server_counts {
	uint32_t listed;
	uint32_t untried;
	uint32_t usable;
	double load_total;
	bool any_healthy; /* an untried one is neither avoided nor full */
};

static bool was_tried(const struct placement_request *request,
		      const struct backend *backend)
{
	for (uint32_t i = 0; i < request->tried_count; i++)
		if (request->tried[i] == backend->run_hash)
			return true;
	return false;
}

static bool accepts_requests(const struct placement_request *request,
			     const struct backend *backend)
{
	return backend_accepts_requests(backend, request->now_us) &&
	       region_set_allows(request->regions, backend->region) &&
	       !strcmp(backend->entry.service, request->service);
}

static bool is_full(const struct placement_request *request,
		    const struct backend *backend)
{
	return backend_free_at_us(backend, request->now_us) > request->now_us;
}

static bool is_healthy(const struct placement_request *request,
		       const struct backend *backend)
{
	return backend->avoid_until_us <= request->now_us &&
	       !is_full(request, backend);
}

static void count_servers(const struct backend_table *table,
			  const struct placement_request *request,
			  struct server_counts *counts)
{
	memset(counts, 0, sizeof(*counts));
	for (const struct backend *backend = table->first; backend;
	     backend = backend->next) {
		if (!accepts_requests(request, backend))
			continue;
		counts->listed++;
		counts->load_total +=
			backend_expected_load(backend, request->now_us);
		if (was_tried(request, backend))
			continue;
		counts->untried++;
		if (is_full(request, backend))
			continue;
		counts->usable++;
		if (is_healthy(request, backend))
			counts->any_healthy = true;
	}
}

/* Spreads the pair evenly (the finalizer of SplitMix64). */
static uint64_t mix(uint64_t a, uint64_t b)
{
	uint64_t x = a ^ (b + UINT64_C(0x9e3779b97f4a7c15));

	x = (x ^ (x >> 30)) * UINT64_C(0xbf58476d1ce4e5b9);
	x = (x ^ (x >> 27)) * UINT64_C(0x94d049bb133111eb);
	return x ^ (x >> 31);
}

/* The server with the lowest cost is chosen. */
static double cost_of(const struct placement_request *request,
		      const struct backend *backend)
{
	double slots = backend->entry.slots ? backend->entry.slots : 1;
	double cost =
		(backend_expected_load(backend, request->now_us) + 1) / slots;

	if (strcmp(backend->entry.failure_domain, request->failure_domain))
		cost += REMOTE_DOMAIN_COST;
	cost += TIE_BREAK_COST *
		(double)(mix(backend->hash, request->draw) % DRAW_STEPS) /
		DRAW_STEPS;
	return cost +
	       FAILURE_COST * backend_failure_rate(backend, request->now_us);
}

static bool allows_affinity(const struct placement_request *request,
			    const struct backend *backend, double bound)
{
	return is_healthy(request, backend) &&
	       backend_failure_rate(backend, request->now_us) <=
		       MAX_AFFINITY_FAILURE_RATE &&
	       backend_expected_load(backend, request->now_us) <= bound;
}

static int compare_hashes(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? -1 : left > right;
}

static void split_servers(const struct backend_table *table,
			  const struct placement_request *request,
			  struct prompt_split *split)
{
	uint64_t hashes[MAX_SERVERS];
	size_t count = 0;

	split->enabled = false;
	split->highest_hash = 0;
	for (const struct backend *backend = table->first;
	     backend && count < MAX_SERVERS; backend = backend->next)
		if (accepts_requests(request, backend))
			hashes[count++] = backend->hash;
	if (count < LONG_PROMPT_SERVER_DIVISOR)
		return;
	qsort(hashes, count, sizeof(hashes[0]), compare_hashes);
	split->enabled = true;
	split->highest_hash = hashes[count / LONG_PROMPT_SERVER_DIVISOR - 1];
}

static bool is_excluded_by_split(const struct placement_request *request,
				 const struct backend *backend,
				 const struct prompt_split *split)
{
	bool reads_long = backend->hash <= split->highest_hash;
	bool is_long = request->prompt_tokens >= MIN_LONG_PROMPT_TOKENS;

	return split->enabled && reads_long != is_long;
}

static struct backend *choose_ranked(const struct backend_table *table,
				     const struct placement_request *request,
				     const struct server_counts *counts,
				     const struct prompt_split *split)
{
	struct backend *best = NULL;
	uint64_t best_rank = 0;
	double bound = LOAD_BOUND_FACTOR * counts->load_total / counts->listed +
		       LOAD_BOUND_SLACK_REQUESTS;

	for (struct backend *backend = table->first; backend;
	     backend = backend->next) {
		uint64_t rank = mix(backend->hash, request->affinity);

		if (!accepts_requests(request, backend) ||
		    was_tried(request, backend) ||
		    is_excluded_by_split(request, backend, split) ||
		    !allows_affinity(request, backend, bound))
			continue;
		if (!best || rank > best_rank) {
			best = backend;
			best_rank = rank;
		}
	}
	return best;
}

static struct backend *choose_cheapest(const struct backend_table *table,
				       const struct placement_request *request,
				       bool healthy_only)
{
	struct backend *best = NULL;
	double best_cost = 0;

	for (struct backend *backend = table->first; backend;
	     backend = backend->next) {
		double cost;

		if (!accepts_requests(request, backend) ||
		    was_tried(request, backend) || is_full(request, backend))
			continue;
		if (healthy_only && !is_healthy(request, backend))
			continue;
		cost = cost_of(request, backend);
		if (!best || cost < best_cost) {
			best = backend;
			best_cost = cost;
		}
	}
	return best;
}

enum placement_result placement_choose(const struct backend_table *table,
				       const struct placement_request *request,
				       struct backend **chosen)
{
	struct server_counts counts;

	count_servers(table, request, &counts);
	*chosen = NULL;
	if (!counts.listed)
		return PLACEMENT_NO_SERVER;
	if (!counts.untried)
		return PLACEMENT_ALL_TRIED;
	if (!counts.usable)
		return PLACEMENT_ALL_FULL;
	if (request->affinity) {
		struct prompt_split split;

		split_servers(table, request, &split);
		*chosen = choose_ranked(table, request, &counts, &split);
	}
	if (!*chosen)
		*chosen = choose_cheapest(table, request, counts.any_healthy);
	return PLACEMENT_FOUND;
}

int64_t placement_free_at_us(const struct backend_table *table,
			     const char *service, uint32_t regions,
			     int64_t now_us)
{
	int64_t first_us = SERVER_AVAILABILITY_NEVER_US;

	for (const struct backend *backend = table->first; backend;
	     backend = backend->next) {
		int64_t free_at_us = backend_free_at_us(backend, now_us);

		if (backend_accepts_requests(backend, now_us) &&
		    region_set_allows(regions, backend->region) &&
		    !strcmp(backend->entry.service, service) &&
		    free_at_us < first_us)
			first_us = free_at_us;
	}
	return first_us;
}
