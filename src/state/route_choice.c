#include "state/route_choice.h"

#include <string.h>
#include <xxhash.h>

#define RANDOM_CHOICES 2
#define HOME_CHOICES 2
#define CANDIDATES_MAX (RANDOM_CHOICES + HOME_CHOICES + 1)
#define ELIGIBLE_MAX 1024
/* A full server against an empty one weighs as much as this many blocks of
 * prompt, and each request that waits there as much as so many more. */
#define BLOCKS_WHEN_FULL 16
#define BLOCKS_PER_WAITING 4
#define WHOLE_BLOCK 1000
/* The first blocks name the group of prompts that share a server. */
#define HOME_BLOCK_MAX 4
/* Slots that writes leave free for reads, as a divisor. */
#define READ_RESERVE_DIVISOR 4
/* A write that waited this long may use those slots too. */
#define WRITE_PATIENCE_US (INT64_C(500) * TGW_US_PER_MS)
/* The load is taken on the high side: a few more keep all slots busy, and
 * wait in the server's own queue, behind what is urgent. */
#define QUEUE_DIVISOR 8
#define PREFIX_QUEUE_DIVISOR 1
#define PREFIX_WORTH_WAITING (8 * WHOLE_BLOCK)
/* Work that waited this long is due in any domain. */
#define OWN_DOMAIN_PATIENCE_US (INT64_C(5) * TGW_US_PER_S)
/* A failure since the last success weighs as much as this load. */
#define LOAD_PER_FAILURE 4

struct candidates {
	size_t count;
	struct server_state *states[ELIGIBLE_MAX];
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
	return server_state_takes_work(state) &&
	       !server_state_is_ejected(state, now_us) &&
	       !is_excluded(request, state->server.name) &&
	       (!*request->required_server ||
		!strcmp(request->required_server, state->server.name));
}

/* Urgent work may wait in a full server's own queue, which honours
 * priorities and knows first when a slot is free. */
static int64_t queue_for(const struct tgw_route_request *request, int64_t slots)
{
	return request->urgency <= TGW_URGENCY_HIGH ? 2 * slots : 0;
}

/* Reports lag, and all other domains may have seen the same room: work that
 * can wait goes there only when it is plenty. */
static int64_t remote_slots_for(const struct tgw_route_request *request,
				int64_t slots, int64_t waited_us)
{
	if (waited_us >= OWN_DOMAIN_PATIENCE_US)
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

/** Where to look, one after the other. */
struct tier {
	bool local;
	bool remote; /**< only with room to spare */
	bool may_wait;
};

static const struct tier own_with_room = {.local = true};
static const struct tier others_with_room = {.remote = true};
static const struct tier own_with_queue = {.local = true, .may_wait = true};
static const struct tier others_with_queue = {.may_wait = true};

static bool has_room(const struct server_state *state,
		     const struct tgw_route_request *request, int64_t now_us,
		     int64_t waited_us, const struct tier *tier)
{
	int64_t slots = server_state_slots(state, now_us);
	int64_t load = server_state_load(state);

	if (tier->remote && load >= remote_slots_for(request, slots, waited_us))
		return false;
	if (!request->model) {
		int64_t reserve = 1 + slots / READ_RESERVE_DIVISOR;

		if (!request->is_write)
			return load < 2 * slots;
		if (waited_us >= WRITE_PATIENCE_US)
			return load < slots;
		return load < slots - reserve || !load;
	}
	if (tier->may_wait)
		return load < slots + queue_for(request, slots);
	if (load < slots + slots / QUEUE_DIVISOR)
		return true;
	/* Its prefix is worth a wait in the server's own queue. */
	return tier->local && load < slots + slots / PREFIX_QUEUE_DIVISOR &&
	       match(state, request) >= PREFIX_WORTH_WAITING;
}

static bool is_local(const struct route_choice *choice,
		     const struct server_state *state)
{
	return !strcmp(state->server.failure_domain, choice->failure_domain);
}

/* Collects the allowed servers of this domain, or of the others. */
static size_t collect(const struct route_choice *choice,
		      const struct tgw_route_request *request,
		      const struct tier *tier, struct candidates *roomy)
{
	size_t allowed = 0;

	roomy->count = 0;
	for (size_t i = 0; i < choice->server_count; i++) {
		struct server_state *state = choice->servers[i];

		if (is_local(choice, state) != tier->local ||
		    !route_choice_allows(state, request, choice->now_us))
			continue;
		allowed++;
		if (roomy->count < ELIGIBLE_MAX &&
		    has_room(state, request, choice->now_us, choice->waited_us,
			     tier))
			roomy->states[roomy->count++] = state;
	}
	return allowed;
}

/* Load in thousandths of a block; a match is worth its blocks. */
static int64_t cost(const struct server_state *state,
		    const struct tgw_route_request *request, int64_t now_us)
{
	int64_t slots = server_state_slots(state, now_us);
	int64_t load = server_state_load(state);
	int64_t over = load > slots ? load - slots : 0;

	load += LOAD_PER_FAILURE * state->failures_in_a_row;
	return load * BLOCKS_WHEN_FULL * WHOLE_BLOCK / slots +
	       over * BLOCKS_PER_WAITING * WHOLE_BLOCK - match(state, request);
}

/* Routers that don't talk to each other send like prompts to like servers. */
static struct server_state *home_of(const struct candidates *roomy,
				    uint64_t group, uint64_t rank)
{
	struct server_state *home = NULL;
	uint64_t best = 0;

	for (size_t i = 0; i < roomy->count; i++) {
		const char *name = roomy->states[i]->server.name;
		uint64_t weight = XXH64(name, strlen(name), group + rank);

		if (!home || weight > best) {
			home = roomy->states[i];
			best = weight;
		}
	}
	return home;
}

static struct server_state *best_match(const struct candidates *roomy,
				       const struct tgw_route_request *request)
{
	struct server_state *best = roomy->states[0];
	int64_t most = -1;

	for (size_t i = 0; i < roomy->count; i++) {
		int64_t matched = match(roomy->states[i], request);

		if (matched > most ||
		    (matched == most && server_state_load(roomy->states[i]) <
						server_state_load(best))) {
			most = matched;
			best = roomy->states[i];
		}
	}
	return best;
}

static uint64_t group_of(const struct tgw_route_request *request)
{
	size_t block = request->prefix_count < HOME_BLOCK_MAX
			       ? request->prefix_count
			       : HOME_BLOCK_MAX;

	return request->prefix_hashes[block - 1];
}

static struct server_state *cheapest(const struct route_choice *choice,
				     const struct tgw_route_request *request,
				     const struct candidates *roomy)
{
	struct server_state *tried[CANDIDATES_MAX];
	struct server_state *best = NULL;
	size_t count = 0;
	int64_t least = 0;

	for (int i = 0; i < RANDOM_CHOICES; i++)
		tried[count++] = roomy->states[tgw_random_below(choice->random,
								roomy->count)];
	if (request->prefix_count) {
		tried[count++] = best_match(roomy, request);
		for (uint64_t i = 0; i < HOME_CHOICES; i++)
			tried[count++] = home_of(roomy, group_of(request), i);
	}
	for (size_t i = 0; i < count; i++) {
		int64_t own = cost(tried[i], request, choice->now_us);

		if (!best || own < least) {
			best = tried[i];
			least = own;
		}
	}
	return best;
}

enum route_choice_result route_choice_pick(
	const struct route_choice *choice,
	const struct tgw_route_request *request, struct server_state **picked,
	int64_t *matched)
{
	struct candidates roomy;
	size_t allowed = collect(choice, request, &own_with_room, &roomy);

	if (!roomy.count && allowed)
		collect(choice, request, &others_with_room, &roomy);
	if (!roomy.count && allowed)
		collect(choice, request, &own_with_queue, &roomy);
	if (!allowed)
		allowed = collect(choice, request, &others_with_queue, &roomy);
	if (!allowed)
		return ROUTE_CHOICE_NONE;
	if (!roomy.count)
		return ROUTE_CHOICE_FULL;
	*picked = cheapest(choice, request, &roomy);
	*matched = match(*picked, request);
	return ROUTE_CHOICE_OK;
}
