#include "state/route_choice.h"

#include <string.h>
#include <xxhash.h>

#define RANDOM_CHOICES 2
#define PREFERRED_CHOICES 2
#define MAX_CONSIDERED (RANDOM_CHOICES + PREFERRED_CHOICES + 1)
#define MAX_CANDIDATES 1024
/* A full server costs this many blocks of prompt more than an empty one, and
 * BLOCKS_PER_WAITING more for each request that waits there. */
#define BLOCKS_WHEN_FULL 16
#define BLOCKS_PER_WAITING 4
#define BLOCK_THOUSANDTHS 1000
/* The hash of this block, counted from 1, identifies the group of prompts that
 * share their preferred servers. */
#define GROUP_BLOCK 4
/* Writes leave 1/READ_RESERVE_DIVISOR of the slots, and one more, free for
 * reads. */
#define READ_RESERVE_DIVISOR 4
/* A write that has waited this long may use those slots too. */
#define WRITE_RESERVE_WAIT_US (INT64_C(500) * TGW_US_PER_MS)
/* The estimate of the load errs on the high side, so a server gets additional
 * requests, up to 1/QUEUE_DIVISOR of its slots. They keep all slots busy, or
 * wait in the server's own queue behind urgent work. */
#define QUEUE_DIVISOR 8
/* The divisor for a server that has at least MIN_QUEUE_MATCH_THOUSANDTHS of a
 * block of the prompt in its prefix cache. */
#define PREFIX_QUEUE_DIVISOR 1
#define MIN_QUEUE_MATCH_THOUSANDTHS (8 * BLOCK_THOUSANDTHS)
/* Work that has waited this long may use all slots in any failure domain. */
#define LOCAL_DOMAIN_WAIT_US (INT64_C(5) * TGW_US_PER_S)
/* Each failure since the last success counts as this many requests of load. */
#define LOAD_PER_FAILURE 4

struct candidates {
	size_t count;
	struct server_state *states[MAX_CANDIDATES];
};

static bool is_excluded(const struct tgw_route_request *request,
			const char *server)
{
	for (size_t i = 0; i < request->excluded_count; i++)
		if (!strcmp(request->excluded[i], server))
			return true;
	return false;
}

bool route_choice_allows(const struct server_state *state,
			 const struct tgw_route_request *request,
			 int64_t now_us)
{
	return server_state_accepts_work(state) &&
	       !server_state_is_ejected(state, now_us) &&
	       !is_excluded(request, state->server.name) &&
	       (!*request->required_server ||
		!strcmp(request->required_server, state->server.name));
}

/* Returns how many requests may wait in a full server's own queue. Urgent work
 * may: that queue honours priorities and is the first to know when a slot is
 * free. */
static int64_t queue_limit(const struct tgw_route_request *request,
			   int64_t slots)
{
	return request->urgency <= TGW_URGENCY_HIGH ? 2 * slots : 0;
}

/* Returns the load below which a server of another failure domain gets work.
 * Load reports lag, and the routers of all other domains may have seen the same
 * free slots, so work that can wait goes there only if many slots are free. */
static int64_t remote_load_limit(const struct tgw_route_request *request,
				 int64_t slots, int64_t waited_us)
{
	if (waited_us >= LOCAL_DOMAIN_WAIT_US)
		return slots;
	if (request->urgency <= TGW_URGENCY_HIGH)
		return slots - 1 - slots / 4;
	return slots / 2;
}

static int64_t match(const struct server_state *state,
		     const struct tgw_route_request *request)
{
	return prefix_index_match(&state->prefix, request->prefix_hashes,
				  request->prefix_count);
}

/* One step of the search: which servers are eligible, and how full they may
 * be. */
struct tier {
	bool local; /* false: the servers of all other failure domains */
	bool many_free_slots; /* only servers with many free slots */
	bool may_wait; /* also servers with room only in their own queue */
};

static const struct tier local_with_room = {.local = true};
static const struct tier remote_with_room = {.many_free_slots = true};
static const struct tier local_with_queue = {.local = true, .may_wait = true};
static const struct tier remote_with_queue = {.may_wait = true};

static bool has_room(const struct server_state *state,
		     const struct tgw_route_request *request, int64_t now_us,
		     int64_t waited_us, const struct tier *tier)
{
	int64_t slots = server_state_slots(state, now_us);
	int64_t load = server_state_load(state);

	if (tier->many_free_slots &&
	    load >= remote_load_limit(request, slots, waited_us))
		return false;
	if (!request->model) {
		int64_t reserve = 1 + slots / READ_RESERVE_DIVISOR;

		if (!request->is_write)
			return load < 2 * slots;
		if (waited_us >= WRITE_RESERVE_WAIT_US)
			return load < slots;
		return load < slots - reserve || !load;
	}
	if (tier->may_wait)
		return load < slots + queue_limit(request, slots);
	if (load < slots + slots / QUEUE_DIVISOR)
		return true;
	/* A long match in the prefix cache is worth a wait in the server's
	 * own queue. */
	return tier->local && load < slots + slots / PREFIX_QUEUE_DIVISOR &&
	       match(state, request) >= MIN_QUEUE_MATCH_THOUSANDTHS;
}

static bool is_local(const struct route_choice *choice,
		     const struct server_state *state)
{
	return !strcmp(state->server.failure_domain, choice->failure_domain);
}

/* Collects the allowed servers of the tier that have room.
 * Returns the number of allowed servers, with or without room. */
static size_t collect(const struct route_choice *choice,
		      const struct tgw_route_request *request,
		      const struct tier *tier, struct candidates *candidates)
{
	size_t allowed = 0;

	candidates->count = 0;
	for (size_t i = 0; i < choice->server_count; i++) {
		struct server_state *state = choice->servers[i];

		if (is_local(choice, state) != tier->local ||
		    !route_choice_allows(state, request, choice->now_us))
			continue;
		allowed++;
		if (candidates->count < MAX_CANDIDATES &&
		    has_room(state, request, choice->now_us, choice->waited_us,
			     tier))
			candidates->states[candidates->count++] = state;
	}
	return allowed;
}

/* Returns the load, expressed in thousandths of a block, less the blocks that
 * are in the server's prefix cache. */
static int64_t server_cost(const struct server_state *state,
			   const struct tgw_route_request *request,
			   int64_t now_us)
{
	int64_t slots = server_state_slots(state, now_us);
	int64_t load = server_state_load(state);
	int64_t excess = load > slots ? load - slots : 0;

	load += LOAD_PER_FAILURE * state->failures_in_a_row;
	return load * BLOCKS_WHEN_FULL * BLOCK_THOUSANDTHS / slots +
	       excess * BLOCKS_PER_WAITING * BLOCK_THOUSANDTHS -
	       match(state, request);
}

/* Rendezvous hashing: all routers prefer the same servers for a group of
 * prompts without exchanging messages. */
static struct server_state *preferred_server(
	const struct candidates *candidates, uint64_t group, uint64_t rank)
{
	struct server_state *preferred = NULL;
	uint64_t best = 0;

	for (size_t i = 0; i < candidates->count; i++) {
		const char *name = candidates->states[i]->server.name;
		uint64_t weight = XXH64(name, strlen(name), group + rank);

		if (!preferred || weight > best) {
			preferred = candidates->states[i];
			best = weight;
		}
	}
	return preferred;
}

static struct server_state *best_match(const struct candidates *candidates,
				       const struct tgw_route_request *request)
{
	struct server_state *best = candidates->states[0];
	int64_t best_matched = -1;

	for (size_t i = 0; i < candidates->count; i++) {
		int64_t matched = match(candidates->states[i], request);

		if (matched > best_matched ||
		    (matched == best_matched &&
		     server_state_load(candidates->states[i]) <
			     server_state_load(best))) {
			best_matched = matched;
			best = candidates->states[i];
		}
	}
	return best;
}

static uint64_t group_of(const struct tgw_route_request *request)
{
	size_t block = request->prefix_count < GROUP_BLOCK
			       ? request->prefix_count
			       : GROUP_BLOCK;

	return request->prefix_hashes[block - 1];
}

static struct server_state *cheapest(const struct route_choice *choice,
				     const struct tgw_route_request *request,
				     const struct candidates *candidates)
{
	struct server_state *considered[MAX_CONSIDERED];
	struct server_state *best = NULL;
	size_t count = 0;
	int64_t best_cost = 0;

	for (int i = 0; i < RANDOM_CHOICES; i++)
		considered[count++] = candidates->states[tgw_random_below(
			choice->random, candidates->count)];
	if (request->prefix_count) {
		considered[count++] = best_match(candidates, request);
		for (uint64_t i = 0; i < PREFERRED_CHOICES; i++)
			considered[count++] = preferred_server(
				candidates, group_of(request), i);
	}
	for (size_t i = 0; i < count; i++) {
		int64_t cost =
			server_cost(considered[i], request, choice->now_us);

		if (!best || cost < best_cost) {
			best = considered[i];
			best_cost = cost;
		}
	}
	return best;
}

enum route_choice_result route_choice_pick(
	const struct route_choice *choice,
	const struct tgw_route_request *request, struct server_state **picked,
	int64_t *matched)
{
	struct candidates candidates;
	size_t allowed =
		collect(choice, request, &local_with_room, &candidates);

	if (!candidates.count && allowed)
		collect(choice, request, &remote_with_room, &candidates);
	if (!candidates.count && allowed)
		collect(choice, request, &local_with_queue, &candidates);
	if (!allowed)
		allowed = collect(choice, request, &remote_with_queue,
				  &candidates);
	if (!allowed)
		return ROUTE_CHOICE_NONE;
	if (!candidates.count)
		return ROUTE_CHOICE_FULL;
	*picked = cheapest(choice, request, &candidates);
	*matched = match(*picked, request);
	return ROUTE_CHOICE_OK;
}
