#include "state/placement.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>

#include "tamarackgw/clock.h"

/* A ranked server is skipped when its load exceeds LOAD_BOUND_FACTOR times
 * the mean load plus LOAD_BOUND_SLACK_REQUESTS. The slack keeps requests that
 * share parts of their prompts on one server while the load is light. */
#define LOAD_BOUND_FACTOR 2.0
#define LOAD_BOUND_SLACK_REQUESTS 5.0
/* The same where servers report how long work takes, so that hosts know their
 * loads: a server's load may exceed a share in proportion to its speed by
 * little. */
#define RATED_BOUND_FACTOR 1.3
#define RATED_BOUND_SLACK_REQUESTS 1.5
/* With one request served and one waiting in each slot, it takes less time to
 * read a prompt again at another server than to wait. */
#define RATED_BOUND_SLOTS 2.0
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
	double recent_load_total; /* of those with a recent report */
	uint32_t recent;
	bool any_healthy; /* an untried one is neither avoided nor full */
	/* Servers whose speed is known, and the sum of these speeds. */
	uint32_t rated;
	double speed_total;
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

/* @return work in the time in which a server as the service expects it does 1;
 * 0 if that is not known */
static double usual_speed(const struct backend *backend)
{
	uint32_t percent = server_speed_usual_percent(&backend->speed);

	return percent ? 100.0 / percent : 0;
}

/* @return the speed of a server compared with the mean of the service, which
 * stands for those that have reported none; 1 if no server reports any */
static double relative_speed(const struct server_counts *counts,
			     const struct backend *backend)
{
	double speed = usual_speed(backend);

	if (!counts->rated || speed <= 0)
		return 1;
	return speed * counts->rated / counts->speed_total;
}

static void count_speed(const struct backend *backend,
			struct server_counts *counts)
{
	double speed = usual_speed(backend);

	if (speed <= 0)
		return;
	counts->rated++;
	counts->speed_total += speed;
}

static void count_load(const struct placement_request *request,
		       const struct backend *backend,
		       struct server_counts *counts)
{
	double load = backend_expected_load(backend, request->now_us);

	counts->load_total += load;
	if (!backend_has_recent_report(backend, request->now_us))
		return;
	counts->recent_load_total += load;
	counts->recent++;
}

/* @return the mean load of the service's servers. Where they are rated, hosts
 * tell each other their loads, so that those of most are known. */
static double mean_load(const struct server_counts *counts)
{
	if (counts->rated && counts->recent)
		return counts->recent_load_total / counts->recent;
	return counts->load_total / counts->listed;
}

/* A rated server of which nothing was heard lately has the mean load of one as
 * fast, not none. */
static double expected_load(const struct placement_request *request,
			    const struct server_counts *counts,
			    const struct backend *backend)
{
	double load = backend_expected_load(backend, request->now_us);

	if (!counts->rated ||
	    backend_has_recent_report(backend, request->now_us))
		return load;
	return fmax(load, mean_load(counts) * relative_speed(counts, backend));
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
		count_load(request, backend, counts);
		count_speed(backend, counts);
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

/* @return the time that work takes at a server now, compared with the mean of
 * the service */
static double relative_time(const struct placement_request *request,
			    const struct server_counts *counts,
			    const struct backend *backend)
{
	uint32_t usual = server_speed_usual_percent(&backend->speed);
	uint32_t present =
		server_speed_present_percent(&backend->speed, request->now_us);

	if (!usual)
		return 1;
	return (double)present / usual / relative_speed(counts, backend);
}

/* The server with the lowest cost is chosen. */
static double cost_of(const struct placement_request *request,
		      const struct server_counts *counts,
		      const struct backend *backend)
{
	double slots = backend->entry.slots ? backend->entry.slots : 1;
	double cost = (expected_load(request, counts, backend) + 1) / slots *
		      relative_time(request, counts, backend);

	if (strcmp(backend->entry.failure_domain, request->failure_domain))
		cost += REMOTE_DOMAIN_COST;
	cost += TIE_BREAK_COST *
		(double)(mix(backend->hash, request->draw) % DRAW_STEPS) /
		DRAW_STEPS;
	return cost +
	       FAILURE_COST * backend_failure_rate(backend, request->now_us);
}

static bool allows_affinity(const struct placement_request *request,
			    const struct server_counts *counts,
			    const struct backend *backend, double bound)
{
	return is_healthy(request, backend) &&
	       backend_failure_rate(backend, request->now_us) <=
		       MAX_AFFINITY_FAILURE_RATE &&
	       expected_load(request, counts, backend) <= bound;
}

/* A server at which one stream in ten pauses for longer than the route wants
 * gets none of them while others have room. */
static bool pauses_too_long(const struct placement_request *request,
			    const struct backend *backend)
{
	uint32_t percent = server_speed_usual_percent(&backend->speed);

	return request->target_pause_ms && percent &&
	       request->long_pause_ms * percent / 100 >
		       (double)request->target_pause_ms;
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

/* Rendezvous hashing in proportion to the servers' speeds: all hosts that know
 * the same speeds agree, and one server's speed moves only its own requests. */
static double rank_of(const struct placement_request *request,
		      const struct server_counts *counts,
		      const struct backend *backend)
{
	uint64_t hash = mix(backend->hash, request->affinity);
	/* More than 0 and less than 1, without rounding. */
	double unit =
		((double)(hash >> 12) + 0.5) / (double)(UINT64_C(1) << 52);

	return relative_speed(counts, backend) / -log(unit);
}

/* @return the load beyond which a ranked server is skipped */
static double load_bound(const struct server_counts *counts,
			 const struct backend *backend)
{
	double mean = mean_load(counts);
	double fair;

	if (!counts->rated)
		return LOAD_BOUND_FACTOR * mean + LOAD_BOUND_SLACK_REQUESTS;
	fair = RATED_BOUND_FACTOR * mean * relative_speed(counts, backend) +
	       RATED_BOUND_SLACK_REQUESTS;
	return fmin(fair, RATED_BOUND_SLOTS * backend->entry.slots);
}

static struct backend *choose_ranked(const struct backend_table *table,
				     const struct placement_request *request,
				     const struct server_counts *counts,
				     const struct prompt_split *split,
				     bool steady_only)
{
	struct backend *best = NULL;
	double best_rank = 0;

	for (struct backend *backend = table->first; backend;
	     backend = backend->next) {
		double bound = load_bound(counts, backend);
		double rank;

		if (!accepts_requests(request, backend) ||
		    was_tried(request, backend) ||
		    is_excluded_by_split(request, backend, split) ||
		    !allows_affinity(request, counts, backend, bound) ||
		    (steady_only && pauses_too_long(request, backend)))
			continue;
		rank = rank_of(request, counts, backend);
		if (!best || rank > best_rank) {
			best = backend;
			best_rank = rank;
		}
	}
	return best;
}

static struct backend *choose_by_affinity(
	const struct backend_table *table,
	const struct placement_request *request,
	const struct server_counts *counts)
{
	struct prompt_split split;
	struct backend *chosen;

	split_servers(table, request, &split);
	chosen = choose_ranked(table, request, counts, &split, true);
	if (!chosen)
		chosen = choose_ranked(table, request, counts, &split, false);
	return chosen;
}

static struct backend *choose_cheapest(const struct backend_table *table,
				       const struct placement_request *request,
				       const struct server_counts *counts,
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
		cost = cost_of(request, counts, backend);
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
	if (request->affinity)
		*chosen = choose_by_affinity(table, request, &counts);
	if (!*chosen)
		*chosen = choose_cheapest(table, request, &counts,
					  counts.any_healthy);
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
