#include "edge/server_signals.h"

#include <string.h>

#include "base/short_name.h"
#include "base/text.h"
#include "edge/backend_pool.h"
#include "edge/edge_clock.h"
#include "edge/server_warmup.h"
#include "state/placement.h"

/* The random addition to a Retry-After is at most the time until a server is
 * free divided by this, and at most the limit. */
#define RETRY_SPREAD_DIVISOR 4
#define MAX_RETRY_SPREAD_MS 1000

void server_signals_start(struct edge *edge, struct tgw_peer *peer)
{
	leaving_announcer_init(&edge->leaving_announcer, peer, &edge_clock,
			       edge->settings->name,
			       edge->settings->failure_domain);
}

static void announce_leaving(struct edge *edge, const struct backend *backend)
{
	struct leaving_notice notice = {.born_ms = backend->entry.born_ms};

	short_name_copy(notice.server, backend->entry.id);
	text_copy(notice.address, sizeof(notice.address),
		  backend->entry.address);
	leaving_announcer_add(&edge->leaving_announcer, &notice);
	server_signals_tick(edge);
}

static void record_leaving(struct edge *edge, struct backend *backend,
			   int64_t now_us)
{
	if (!backend_table_set_leaving(&edge->backends, &backend->entry,
				       LEAVING_BY_ANSWER, now_us))
		return;
	edge->counters.servers_left++;
	edge_log_line(&edge->log, EDGE_LOG_STATE, "server", "leaving",
		      "server=%s by=answer born_ms=%lld open_requests=%u",
		      backend->entry.id, (long long)backend->entry.born_ms,
		      backend->running);
	backend_pool_trim(backend, now_us);
	announce_leaving(edge, backend);
}

static void record_rest(struct edge *edge, struct backend *backend,
			int64_t rest_us, int64_t now_us)
{
	const struct server_availability *availability = &backend->availability;

	if (!server_availability_is_resting(availability, now_us)) {
		edge->counters.server_rests++;
		edge_log_line(&edge->log, EDGE_LOG_NOTICE, "server", "resting",
			      "server=%s by=answer rest_ms=%lld "
			      "open_requests=%u",
			      backend->entry.id,
			      (long long)(rest_us / TGW_US_PER_MS),
			      backend->running);
	}
	backend_table_set_rest(&edge->backends, &backend->entry, rest_us,
			       now_us);
}

void server_signals_on_answer(struct edge *edge, struct backend *backend,
			      const struct response_info *response,
			      int64_t now_us)
{
	/* It speaks for another server than the one that was meant. */
	if (response->misdirected)
		return;
	if (*response->unreadable) {
		edge->counters.unreadable_fields++;
		edge_log_line(&edge->log, EDGE_LOG_NOTICE, "server",
			      "unreadable_field",
			      "server=%s field=\"%s\" taken_as=absent",
			      backend->entry.id, response->unreadable);
	}
	if (response->has_warmup)
		server_warmup_on_response(edge, backend, response->warmup_us);
	if (response->leaving)
		record_leaving(edge, backend, now_us);
	if (response->rest_us)
		record_rest(edge, backend, response->rest_us, now_us);
	else if (!response->not_run)
		server_availability_on_accepted(&backend->availability, now_us);
}

void server_signals_on_message(struct edge *edge,
			       const struct tgw_peer_message *message)
{
	struct backend_entry run = {0};
	struct leaving_notice notice;

	if (leaving_notice_decode(&notice, message->payload,
				  message->payload_size, NULL) != TGW_OK)
		return;
	short_name_copy(run.id, notice.server);
	text_copy(run.address, sizeof(run.address), notice.address);
	run.born_ms = notice.born_ms;
	if (!backend_table_set_leaving(&edge->backends, &run, LEAVING_BY_HOST,
				       edge_now_us()))
		return;
	edge->counters.servers_left_by_hosts++;
	edge_log_line(&edge->log, EDGE_LOG_STATE, "server", "leaving",
		      "server=%s by=host host=%s born_ms=%lld", notice.server,
		      message->from_host, (long long)notice.born_ms);
}

void server_signals_tick(struct edge *edge)
{
	const struct peer_host *hosts;
	size_t count;

	if (!edge->peers.directory)
		return;
	hosts = peer_directory_hosts(edge->peers.directory, &count);
	leaving_announcer_tick(&edge->leaving_announcer, hosts, count);
}

int64_t server_signals_retry_after_ms(struct edge *edge, const char *service,
				      uint32_t regions, int64_t min_ms)
{
	int64_t now_us = edge_now_us();
	int64_t free_at_us =
		placement_free_at_us(&edge->backends, service, regions, now_us);
	int64_t left_ms;
	int64_t spread_ms;

	if (free_at_us == SERVER_AVAILABILITY_NEVER_US ||
	    free_at_us <= now_us + min_ms * TGW_US_PER_MS)
		return min_ms;
	left_ms = (free_at_us - now_us + TGW_US_PER_MS - 1) / TGW_US_PER_MS;
	spread_ms = left_ms / RETRY_SPREAD_DIVISOR;
	if (spread_ms > MAX_RETRY_SPREAD_MS)
		spread_ms = MAX_RETRY_SPREAD_MS;
	return left_ms + (int64_t)(tgw_random_u64(&edge->random) %
				   (uint64_t)(spread_ms + 1));
}

void server_signals_count(const struct edge *edge, uint32_t *leaving,
			  uint32_t *resting)
{
	int64_t now_us = edge_now_us();

	*leaving = 0;
	*resting = 0;
	for (const struct backend *backend = edge->backends.first; backend;
	     backend = backend->next) {
		const struct server_availability *availability =
			&backend->availability;

		if (!backend->listed)
			continue;
		if (server_availability_is_leaving(availability, now_us))
			++*leaving;
		else if (server_availability_is_resting(availability, now_us))
			++*resting;
	}
}
