#include "coordination/heartbeat_plan.h"

#include <assert.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

/* A host sends to another failure domain once in this many rounds. */
#define REMOTE_INTERVAL_ROUNDS 2

#define REMOTE_DOMAINS_MAX 64

static bool is_reachable(const struct member *member)
{
	return member->is_self || member->host.state == TGW_HOST_ALIVE ||
	       member->host.state == TGW_HOST_LEAVING;
}

/* Collects the indexes of the local failure domain's hosts, in an order that
 * all its hosts agree on. */
static size_t local_ring(const struct member *members, size_t member_count,
			 size_t *ring, size_t *self_at)
{
	size_t count = 0;

	for (size_t i = 0; i < member_count; i++) {
		if (!members[i].is_local || !is_reachable(&members[i]))
			continue;
		if (members[i].is_self)
			*self_at = count;
		ring[count++] = i;
	}
	return count;
}

size_t heartbeat_plan_rounds(size_t host_count)
{
	size_t rounds = 1;

	for (size_t reach = 3; reach < host_count; reach *= 3)
		rounds++;
	return rounds;
}

static size_t stride_of(size_t ring_count, uint64_t round)
{
	size_t stride = 1;

	for (uint64_t i = 0; i < round % heartbeat_plan_rounds(ring_count); i++)
		stride *= 3;
	return stride;
}

static size_t add_target(size_t *targets, size_t count, size_t target)
{
	for (size_t i = 0; i < count; i++)
		if (targets[i] == target)
			return count;
	targets[count] = target;
	return count + 1;
}

static size_t plan_local(const struct member *members, size_t member_count,
			 uint64_t round, size_t *targets, size_t *self_at)
{
	size_t *ring = xcalloc(member_count, sizeof(ring[0]));
	size_t ring_count = local_ring(members, member_count, ring, self_at);
	size_t stride = stride_of(ring_count, round);
	size_t count = 0;

	assert(ring_count > 0); /* this host is in the ring */
	for (size_t i = 1; i <= 2; i++) {
		size_t at = (*self_at + i * stride) % ring_count;

		if (at != *self_at)
			count = add_target(targets, count, ring[at]);
	}
	free(ring);
	return count;
}

/* Adds a name to a sorted list unless it is listed already. */
static size_t add_domain(const char **domains, size_t count, const char *name)
{
	size_t at = 0;

	while (at < count && strcmp(domains[at], name) < 0)
		at++;
	if (at < count && !strcmp(domains[at], name))
		return count;
	if (count == REMOTE_DOMAINS_MAX)
		return count;
	memmove(&domains[at + 1], &domains[at],
		(count - at) * sizeof(domains[0]));
	domains[at] = name;
	return count + 1;
}

/* Chooses another failure domain to send to: all others, one after another. The
 * hosts of different domains start at different ones. Otherwise, one domain
 * would get the heartbeats of all others in one round, and then none for many
 * rounds. */
static const char *remote_domain(const struct member *members,
				 size_t member_count, uint64_t turn)
{
	const char *domains[REMOTE_DOMAINS_MAX + 1];
	const char *local = "";
	size_t count = 0;

	for (size_t i = 0; i < member_count; i++) {
		if (members[i].is_self)
			local = members[i].host.failure_domain;
		if (!members[i].is_local && is_reachable(&members[i]))
			count = add_domain(domains, count,
					   members[i].host.failure_domain);
	}
	for (size_t i = 0; i < count && strcmp(domains[i], local) < 0; i++)
		turn++;
	return count ? domains[turn % count] : NULL;
}

static size_t plan_remote(const struct member *members, size_t member_count,
			  uint64_t turn, size_t self_at, size_t *targets,
			  size_t count)
{
	const char *domain = remote_domain(members, member_count, turn);
	size_t size = 0;
	size_t to_skip;

	if (!domain)
		return count;
	for (size_t i = 0; i < member_count; i++)
		size += is_reachable(&members[i]) &&
			!strcmp(members[i].host.failure_domain, domain);
	assert(size > 0); /* remote_domain() returns domains with a host only */
	to_skip = (size_t)((self_at + turn) % size);
	for (size_t i = 0; i < member_count; i++) {
		if (!is_reachable(&members[i]) ||
		    strcmp(members[i].host.failure_domain, domain) != 0)
			continue;
		if (!to_skip--)
			return add_target(targets, count, i);
	}
	return count;
}

size_t heartbeat_plan(const struct member *members, size_t member_count,
		      uint64_t round, size_t targets[HEARTBEAT_TARGETS_MAX])
{
	size_t self_at = 0;
	size_t count =
		plan_local(members, member_count, round, targets, &self_at);

	if (round % REMOTE_INTERVAL_ROUNDS)
		return count;
	return plan_remote(members, member_count,
			   round / REMOTE_INTERVAL_ROUNDS, self_at, targets,
			   count);
}
