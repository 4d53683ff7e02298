#include "edge/server_warmup.h"

#include <string.h>

#include "edge/edge_clock.h"

/* Hosts that start together, or get the store back together, list each other
 * within this time after their first list. */
#define DISCOVERY_US (3 * TGW_US_PER_S)
/* Number of hosts that a host assumes while it does not know the others. */
#define UNKNOWN_HOSTS 1000

static bool knows_hosts(const struct edge *edge, int64_t now_us)
{
	return edge->hosts_listed_us &&
	       now_us - edge->hosts_listed_us >= DISCOVERY_US;
}

static struct warmup_share own_share(const struct edge *edge,
				     const struct backend *backend,
				     int64_t now_us)
{
	struct warmup_share share = {
		.hosts = UNKNOWN_HOSTS,
		.is_estimate = true,
	};
	const struct peer_host *hosts;
	size_t count;

	if (!knows_hosts(edge, now_us))
		return share;
	hosts = peer_directory_hosts(edge->peers.directory, &count);
	return warmup_share_of(hosts, count, edge->settings->name,
			       backend->run_hash);
}

/* @return how long the time is ahead, for the log; 0 if it has passed */
static long long left_ms(int64_t until_us, int64_t now_us)
{
	return until_us > now_us ? (until_us - now_us) / TGW_US_PER_MS : 0;
}

static void decide_share(struct edge *edge, struct backend *backend,
			 int64_t now_us)
{
	struct warmup *warmup = &backend->warmup;
	struct warmup_share share;

	if (!warmup_needs_share(warmup, now_us))
		return;
	share = own_share(edge, backend, now_us);
	warmup_set_share(warmup, &share, tgw_random_u64(&edge->random), now_us);
	edge->counters.warmups++;
	edge_log_line(
		&edge->log, EDGE_LOG_NOTICE, "server", "warming_up",
		"server=%s listed_ms=%lld reported_ms=%lld assumed_ms=%lld "
		"hosts=%u rank=%d interval_ms=%lld",
		backend->entry.id, left_ms(warmup->listed_until_us, now_us),
		left_ms(warmup->reported_until_us, now_us),
		left_ms(warmup->assumed_until_us, now_us), share.hosts,
		share.is_estimate ? -1 : (int)share.rank,
		warmup->interval_us == INT64_MAX
			? -1LL
			: (long long)(warmup->interval_us / TGW_US_PER_MS));
}

static void set_limit(struct backend *backend, const struct route_set *set)
{
	int index = set ? route_set_find_service(set, backend->entry.service)
			: -1;
	struct warmup_limit limit = {0};

	if (index >= 0)
		limit = set->services[index].warmup;
	/* The share that was decided for this limit holds on. */
	if (backend->warmup.limit.requests_per_s != limit.requests_per_s)
		backend->warmup.interval_us = 0;
	backend->warmup.limit = limit;
}

void server_warmup_on_entry(struct edge *edge, struct backend *backend)
{
	int64_t now_us = edge_now_us();

	set_limit(backend, route_follower_set(edge->route_follower));
	warmup_list(&backend->warmup, backend->entry.warmup_ms * TGW_US_PER_MS,
		    now_us);
	decide_share(edge, backend, now_us);
}

void server_warmup_on_response(struct edge *edge, struct backend *backend,
			       int64_t remaining_us)
{
	int64_t now_us = edge_now_us();

	warmup_report(&backend->warmup, remaining_us, now_us);
	decide_share(edge, backend, now_us);
}

void server_warmup_on_routes(struct edge *edge, const struct route_set *set)
{
	int64_t now_us = edge_now_us();

	for (struct backend *backend = edge->backends.first; backend;
	     backend = backend->next) {
		set_limit(backend, set);
		decide_share(edge, backend, now_us);
	}
}

void server_warmup_on_evacuation_ended(struct edge *edge,
				       const char *failure_domain)
{
	int64_t now_us = edge_now_us();

	for (struct backend *backend = edge->backends.first; backend;
	     backend = backend->next) {
		if (strcmp(backend->entry.failure_domain, failure_domain) != 0)
			continue;
		warmup_assume(&backend->warmup, now_us);
		decide_share(edge, backend, now_us);
	}
}

static void forget_shares(struct edge *edge)
{
	for (struct backend *backend = edge->backends.first; backend;
	     backend = backend->next)
		backend->warmup.interval_us = 0;
}

void server_warmup_on_hosts(struct edge *edge)
{
	if (!edge->hosts_listed_us)
		edge->hosts_listed_us = edge_now_us();
	forget_shares(edge);
}

/* An estimated share gives way to the true one. */
static void replace_estimates(struct edge *edge, int64_t now_us)
{
	if (edge->knows_hosts || !knows_hosts(edge, now_us))
		return;
	edge->knows_hosts = true;
	forget_shares(edge);
}

void server_warmup_tick(struct edge *edge)
{
	int64_t now_us = edge_now_us();

	replace_estimates(edge, now_us);
	for (struct backend *backend = edge->backends.first; backend;
	     backend = backend->next)
		decide_share(edge, backend, now_us);
}

uint32_t server_warmup_count(const struct edge *edge)
{
	int64_t now_us = edge_now_us();
	uint32_t count = 0;

	for (const struct backend *backend = edge->backends.first; backend;
	     backend = backend->next)
		count += backend->listed &&
			 warmup_is_active(&backend->warmup, now_us);
	return count;
}
