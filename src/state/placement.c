#include "state/placement.h"

#include <stdlib.h>
#include <string.h>

#include "tamarackgw/clock.h"

/* A ranked server is passed over above this multiple of the mean load ... */
#define BOUND_FACTOR 2.0
/* ... plus this many requests, so that light loads stay together. */
#define BOUND_SLACK 5.0
/* A server that said it was full is left alone for this long. */
#define FULL_PAUSE_US (60 * TGW_US_PER_MS)
/* Extra load, in requests for each slot, that a server costs in another
 * failure domain, and for each part of its requests that fails. */
#define FAR_COST 0.10
#define FAILURE_COST 3.0
/* Servers closer together than this are chosen between by chance. */
#define TIE_COST 0.04
#define DRAW_STEPS 1024
/* Servers that fail more than this part of their requests keep no
 * affinity. */
#define FAILURE_SHARE_MAX 0.3

/* Prompts from this size on are long: their reading takes several steps. */
#define LONG_PROMPT_TOKENS 30000
/* Long prompts go to one server in this many. */
#define LONG_PROMPT_SERVERS 6
/* Servers of one service that are told apart. */
#define SERVERS_MAX 1024

/* Which servers read long prompts: those with the lowest hashes of their ids,
 * on which all hosts agree. */
struct division {
	bool separate;
	uint64_t highest_hash; /* of the servers that read long prompts */
};

struct census {
	uint32_t listed;
	uint32_t untried;
	uint32_t usable;
	double load_total;
	bool any_calm; /* one is neither suspected nor full */
};

static bool was_tried(const struct placement_request *request,
		      const struct backend *backend)
{
	for (uint32_t i = 0; i < request->tried_count; i++)
		if (request->tried[i] == backend)
			return true;
	return false;
}

static bool takes_new(const struct placement_request *request,
		      const struct backend *backend)
{
	return backend->listed && !backend->entry.draining &&
	       !strcmp(backend->entry.service, request->service);
}

static bool is_full(const struct placement_request *request,
		    const struct backend *backend)
{
	return backend->rejected_us &&
	       request->now_us - backend->rejected_us < FULL_PAUSE_US;
}

static bool is_calm(const struct placement_request *request,
		    const struct backend *backend)
{
	return backend->avoid_until_us <= request->now_us &&
	       !is_full(request, backend);
}

static void count(const struct backend_table *table,
		  const struct placement_request *request,
		  struct census *census)
{
	memset(census, 0, sizeof(*census));
	for (const struct backend *backend = table->first; backend;
	     backend = backend->next) {
		if (!takes_new(request, backend))
			continue;
		census->listed++;
		census->load_total +=
			backend_expected_load(backend, request->now_us);
		if (was_tried(request, backend))
			continue;
		census->untried++;
		if (is_full(request, backend))
			continue;
		census->usable++;
		if (is_calm(request, backend))
			census->any_calm = true;
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

/* Lower is better. */
static double cost_of(const struct placement_request *request,
		      const struct backend *backend)
{
	double slots = backend->entry.slots ? backend->entry.slots : 1;
	double cost =
		(backend_expected_load(backend, request->now_us) + 1) / slots;

	if (strcmp(backend->entry.failure_domain, request->failure_domain))
		cost += FAR_COST;
	cost += TIE_COST *
		(double)(mix(backend->hash, request->draw) % DRAW_STEPS) /
		DRAW_STEPS;
	return cost + FAILURE_COST * backend->failure_share;
}

static bool keeps_affinity(const struct placement_request *request,
			   const struct backend *backend, double bound)
{
	return is_calm(request, backend) &&
	       backend->failure_share <= FAILURE_SHARE_MAX &&
	       backend_expected_load(backend, request->now_us) <= bound;
}

static int compare_hashes(const void *a, const void *b)
{
	uint64_t left = *(const uint64_t *)a;
	uint64_t right = *(const uint64_t *)b;

	return left < right ? -1 : left > right;
}

static void divide(const struct backend_table *table,
		   const struct placement_request *request,
		   struct division *division)
{
	uint64_t hashes[SERVERS_MAX];
	size_t count = 0;

	division->separate = false;
	division->highest_hash = 0;
	for (const struct backend *backend = table->first;
	     backend && count < SERVERS_MAX; backend = backend->next)
		if (takes_new(request, backend))
			hashes[count++] = backend->hash;
	if (count < LONG_PROMPT_SERVERS)
		return;
	qsort(hashes, count, sizeof(hashes[0]), compare_hashes);
	division->separate = true;
	division->highest_hash = hashes[count / LONG_PROMPT_SERVERS - 1];
}

static bool is_apart(const struct placement_request *request,
		     const struct backend *backend,
		     const struct division *division)
{
	bool reads_long = backend->hash <= division->highest_hash;
	bool is_long = request->prompt_tokens >= LONG_PROMPT_TOKENS;

	return division->separate && reads_long != is_long;
}

static struct backend *choose_ranked(const struct backend_table *table,
				     const struct placement_request *request,
				     const struct census *census,
				     const struct division *division)
{
	struct backend *best = NULL;
	uint64_t best_rank = 0;
	double bound = BOUND_FACTOR * census->load_total / census->listed +
		       BOUND_SLACK;

	for (struct backend *backend = table->first; backend;
	     backend = backend->next) {
		uint64_t rank = mix(backend->hash, request->affinity);

		if (!takes_new(request, backend) ||
		    was_tried(request, backend) ||
		    is_apart(request, backend, division) ||
		    !keeps_affinity(request, backend, bound))
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
				       bool calm_only)
{
	struct backend *best = NULL;
	double best_cost = 0;

	for (struct backend *backend = table->first; backend;
	     backend = backend->next) {
		double cost;

		if (!takes_new(request, backend) ||
		    was_tried(request, backend) || is_full(request, backend))
			continue;
		if (calm_only && !is_calm(request, backend))
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
	struct census census;

	count(table, request, &census);
	*chosen = NULL;
	if (!census.listed)
		return PLACEMENT_NO_SERVER;
	if (!census.untried)
		return PLACEMENT_ALL_TRIED;
	if (!census.usable)
		return PLACEMENT_ALL_FULL;
	if (request->affinity) {
		struct division division;

		divide(table, request, &division);
		*chosen = choose_ranked(table, request, &census, &division);
	}
	if (!*chosen)
		*chosen = choose_cheapest(table, request, census.any_calm);
	return PLACEMENT_FOUND;
}
