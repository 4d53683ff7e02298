#include "daemon/metrics_page.h"

#include <inttypes.h>

static void write_metric(struct buffer *text, const char *name,
			 const char *type, int64_t value)
{
	buffer_add_format(text,
			  "# TYPE tamarackgw_%s %s\ntamarackgw_%s %" PRId64
			  "\n",
			  name, type, name, value);
}

static void counter(struct buffer *text, const char *name, uint64_t value)
{
	write_metric(text, name, "counter", (int64_t)value);
}

static void gauge(struct buffer *text, const char *name, int64_t value)
{
	write_metric(text, name, "gauge", value);
}

static void write_budget(const struct tgw_budget_counters *budget,
			 struct buffer *text)
{
	counter(text, "budget_reserved_total", budget->reserved);
	counter(text, "budget_refused_exhausted_total",
		budget->refused_exhausted);
	counter(text, "budget_refused_unavailable_total",
		budget->refused_unavailable);
	counter(text, "budget_settled_usage_total", budget->settled_usage);
	counter(text, "budget_settled_bound_total", budget->settled_bound);
	counter(text, "budget_duplicate_keys_total", budget->duplicate_keys);
	counter(text, "budget_reversed_duplicates_total",
		budget->reversed_duplicates);
	counter(text, "budget_ledger_reads_total", budget->ledger_reads);
	counter(text, "budget_ledger_writes_total", budget->ledger_writes);
	counter(text, "budget_ledger_conflicts_total",
		budget->ledger_conflicts);
	counter(text, "budget_ledger_read_backs_total",
		budget->ledger_read_backs);
	counter(text, "budget_write_offs_total", budget->write_offs);
	counter(text, "budget_peer_messages_total", budget->peer_messages_sent);
	counter(text, "budget_peer_bytes_total", budget->peer_bytes_sent);
	gauge(text, "budget_held_tokens", budget->held_tokens);
	gauge(text, "budget_reserved_tokens", budget->reserved_tokens);
}

static void write_claims(const struct tgw_claim_counters *claims,
			 struct buffer *text)
{
	counter(text, "claims_granted_total", claims->granted);
	counter(text, "claims_refused_total", claims->refused);
	counter(text, "claims_replayed_total", claims->replayed);
	counter(text, "claims_unknown_total", claims->unknown);
	counter(text, "claims_store_writes_total", claims->store_writes);
	counter(text, "claims_store_reads_total", claims->store_reads);
}

static void write_router(const struct tgw_router_counters *router,
			 struct buffer *text)
{
	counter(text, "router_submitted_total", router->submitted);
	counter(text, "router_started_total", router->started);
	counter(text, "router_shed_total", router->shed);
	counter(text, "router_expired_total", router->expired);
	counter(text, "router_retries_refused_total", router->retries_refused);
	counter(text, "router_ejections_total", router->ejections);
	counter(text, "router_prefix_hits_total", router->prefix_hits);
	counter(text, "router_prefix_lookups_total", router->prefix_lookups);
	gauge(text, "router_queued", router->queued);
}

static void write_config(const struct runtime *runtime, struct buffer *text)
{
	const struct tgw_config_follower_counters *config =
		tgw_config_follower_counters(runtime->follower);

	gauge(text, "config_generation",
	      (int64_t)tgw_config_follower_generation(runtime->follower));
	counter(text, "config_applied_total", config->generations_applied);
	counter(text, "config_refused_total", config->generations_refused);
	counter(text, "config_store_reads_total", config->store_reads);
	counter(text, "config_from_peers_total", config->from_peers);
	counter(text, "config_peer_bytes_total", config->peer_bytes_sent);
}

static void write_members(const struct tgw_membership_counters *members,
			  struct buffer *text)
{
	counter(text, "heartbeats_sent_total", members->heartbeats_sent);
	counter(text, "heartbeat_bytes_total", members->heartbeat_bytes_sent);
	counter(text, "hosts_became_silent_total", members->became_silent);
	counter(text, "hosts_became_alive_total", members->became_alive);
	counter(text, "hosts_became_gone_total", members->became_gone);
}

static void write_transports(const struct etcd_store_counters *store,
			     const struct zmq_channel_counters *peers,
			     struct buffer *text)
{
	counter(text, "store_reads_total", store->reads);
	counter(text, "store_writes_total", store->writes);
	counter(text, "store_watches_opened_total", store->watches_opened);
	counter(text, "store_failures_total", store->failures);
	counter(text, "store_bytes_sent_total", store->bytes_sent);
	counter(text, "store_bytes_received_total", store->bytes_received);
	counter(text, "peer_messages_sent_total", peers->messages_sent);
	counter(text, "peer_bytes_sent_total", peers->bytes_sent);
	counter(text, "peer_messages_received_total", peers->messages_received);
	counter(text, "peer_bytes_received_total", peers->bytes_received);
	counter(text, "peer_messages_dropped_total", peers->messages_dropped);
	counter(text, "peer_messages_damaged_total", peers->messages_rejected);
	counter(text, "peers_refused_total", peers->peers_refused);
}

void metrics_page_write(const struct runtime *runtime,
			const struct etcd_store *etcd,
			const struct zmq_channel *channel, struct buffer *text)
{
	write_budget(tgw_budget_agent_counters(runtime->budget), text);
	write_claims(tgw_claim_agent_counters(runtime->claims), text);
	write_router(tgw_router_counters(runtime->router), text);
	write_config(runtime, text);
	write_members(tgw_membership_counters(runtime->membership), text);
	write_transports(etcd_store_counters(etcd),
			 zmq_channel_counters(channel), text);
	gauge(text, "open_requests",
	      atomic_load(&((struct runtime *)runtime)->open_requests));
}
