#include "coordination/budget_state.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define STORE_UNREACHABLE_AFTER_US BUDGET_S(3)
/* A host that the view does not list counts as gone only this long after the
 * start: until then the view may be incomplete. */
#define VIEW_CONVERGENCE_US BUDGET_S(60)
/* Maximum time by which the view is expected to lag behind messages. */
#define VIEW_MAX_LAG_US BUDGET_S(10)

int64_t budget_now_us(const struct tgw_budget_agent *agent)
{
	return tgw_clock_monotonic_us(agent->env.clock);
}

struct budget_peer *budget_peer_obtain(struct tgw_budget_agent *agent,
				       const char *name)
{
	struct budget_peer *peer = agent->peers;

	while (peer && strcmp(peer->name, name))
		peer = peer->next;
	if (peer)
		return peer;
	peer = xcalloc(1, sizeof(*peer));
	snprintf(peer->name, sizeof(peer->name), "%s", name);
	peer->queue_end = &peer->queue;
	/* A late acknowledgement to an earlier process must not match. */
	peer->settle_sequence = tgw_random_below(&agent->random, UINT32_MAX);
	peer->next = agent->peers;
	agent->peers = peer;
	return peer;
}

static struct budget_peer *find_peer(const struct tgw_budget_agent *agent,
				     const char *name)
{
	struct budget_peer *peer = agent->peers;

	while (peer && strcmp(peer->name, name))
		peer = peer->next;
	return peer;
}

/* The view lags and does not show whether an incarnation is older or newer than
 * the listed one, so a process that it does not list counts as gone only after
 * it has been unlisted for VIEW_MAX_LAG_US. The process that was listed
 * before the present one is known to be older and needs no such delay. */
static bool is_unlisted_for_long(struct budget_peer *peer, uint64_t incarnation,
				 int64_t now_us)
{
	struct unlisted_process *unlisted = NULL;

	for (size_t i = 0; i < UNLISTED_MAX; i++)
		if (peer->unlisted[i].incarnation == incarnation)
			unlisted = &peer->unlisted[i];
	if (!unlisted) {
		unlisted =
			&peer->unlisted[peer->next_unlisted++ % UNLISTED_MAX];
		unlisted->incarnation = incarnation;
		unlisted->since_us = now_us;
	}
	return now_us - unlisted->since_us >= VIEW_MAX_LAG_US;
}

enum tgw_host_state budget_peer_state(const struct tgw_budget_agent *agent,
				      const char *name, uint64_t incarnation)
{
	const struct tgw_host *host = tgw_host_view_find(agent->view, name);
	int64_t now_us = budget_now_us(agent);
	struct budget_peer *peer;

	if (host && (!host->incarnation || host->incarnation == incarnation))
		return host->state;
	peer = find_peer(agent, name);
	if (peer && peer->last_incarnation == incarnation &&
	    now_us - peer->last_received_us < VIEW_MAX_LAG_US)
		return TGW_HOST_ALIVE;
	if (!host)
		return now_us - agent->started_us < VIEW_CONVERGENCE_US
			       ? TGW_HOST_SILENT
			       : TGW_HOST_GONE;
	if (peer && peer->previous_incarnation != incarnation &&
	    !is_unlisted_for_long(peer, incarnation, now_us))
		return TGW_HOST_SILENT;
	return TGW_HOST_GONE;
}

void budget_bucket_rank(struct budget_bucket *bucket)
{
	struct tgw_budget_agent *agent = bucket->agent;
	const struct tgw_host *ranked[BUCKET_RANKS];

	bucket->rank_count = tgw_host_view_rank(
		agent->view, agent->domain, ledger_bucket_hash(bucket->index),
		ranked, BUCKET_RANKS);
	for (size_t i = 0; i < bucket->rank_count; i++)
		bucket->ranked[i] = budget_peer_obtain(agent, ranked[i]->name);
}

struct budget_bucket *budget_bucket_obtain(struct tgw_budget_agent *agent,
					   uint32_t index)
{
	struct budget_bucket *bucket = agent->by_index[index];

	if (bucket)
		return bucket;
	bucket = xcalloc(1, sizeof(*bucket));
	bucket->agent = agent;
	bucket->index = index;
	bucket->due_us = BUDGET_NEVER_US;
	bucket->ceiling_due_us = BUDGET_NEVER_US;
	bucket->waiters_due_us = BUDGET_NEVER_US;
	bucket->log.first = 1;
	ledger_bucket_key(bucket->key, index);
	agent->by_index[index] = bucket;
	agent->buckets =
		xrealloc(agent->buckets,
			 (agent->bucket_count + 1) * sizeof(agent->buckets[0]));
	agent->buckets[agent->bucket_count++] = bucket;
	budget_bucket_rank(bucket);
	return bucket;
}

bool budget_bucket_is_first(const struct budget_bucket *bucket)
{
	return bucket->rank_count && bucket->ranked[0] == bucket->agent->self;
}

void budget_send(struct tgw_budget_agent *agent, const char *to,
		 const struct budget_message *message)
{
	struct buffer bytes = {0};

	budget_message_encode(message, &bytes);
	tgw_peer_send(agent->env.peer, to, TGW_PEER_BUDGET, bytes.data,
		      bytes.size);
	agent->counters.peer_messages_sent++;
	agent->counters.peer_bytes_sent += bytes.size;
	buffer_free(&bytes);
}

bool budget_store_is_unreachable(const struct tgw_budget_agent *agent)
{
	return agent->store_failing_since_us &&
	       budget_now_us(agent) - agent->store_failing_since_us >
		       STORE_UNREACHABLE_AFTER_US;
}

void budget_bucket_queue(struct budget_bucket *bucket)
{
	if (bucket->is_queued)
		return;
	bucket->is_queued = true;
	bucket->next_queued = bucket->agent->queued;
	bucket->agent->queued = bucket;
}

void budget_bucket_schedule(struct budget_bucket *bucket, int64_t due_us)
{
	if (due_us >= bucket->due_us)
		return;
	bucket->due_us = due_us;
	budget_bucket_queue(bucket);
}
