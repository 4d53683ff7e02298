#include "edge/edge_peers.h"

#include <sodium.h>
#include <string.h>

#include "base/short_name.h"
#include "base/text.h"
#include "edge/edge.h"
#include "edge/edge_clock.h"
#include "edge/server_signals.h"
#include "edge/server_warmup.h"

static const char *address_of(void *arg, const char *host)
{
	const struct edge *edge = arg;
	const struct peer_host *found =
		peer_directory_find(edge->peers.directory, host);

	return found ? found->address : NULL;
}

static void on_message(void *arg, const struct tgw_peer_message *message)
{
	struct edge *edge = arg;

	if (!peer_directory_find(edge->peers.directory, message->from_host))
		peer_directory_on_unknown(edge->peers.directory);
	if (message->topic == TGW_PEER_TRANSFER)
		team_budget_on_message(edge->budgets, message);
	else if (message->topic == TGW_PEER_CHANGES)
		store_mirror_on_message(edge->mirror, message);
	else if (message->topic == TGW_PEER_SERVERS)
		server_signals_on_message(edge, message);
	else if (message->topic == TGW_PEER_LOADS)
		load_exchange_on_message(&edge->loads, message);
}

static void on_key(void *arg, const struct peer_key *key)
{
	struct edge *edge = arg;

	datagram_channel_set_key(&edge->peers.channel, key);
}

static void on_changed(void *arg)
{
	struct edge *edge = arg;
	const struct peer_host *hosts;
	size_t count;

	hosts = peer_directory_hosts(edge->peers.directory, &count);
	team_budget_set_hosts(edge->budgets, hosts, count);
	load_exchange_set_hosts(&edge->loads, hosts, count);
	server_warmup_on_hosts(edge);
	edge_log_line(&edge->log, EDGE_LOG_STATE, "peers", "listed",
		      "hosts=%zu", count);
}

static void on_failed(void *arg, const char *reason)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_NOTICE, "peers", "call_failed",
		      "reason=\"%s\"", reason);
}

static void start_directory(struct edge *edge, uint64_t incarnation)
{
	const struct edge_settings *settings = edge->settings;
	struct peer_host self = {.memory_mb = settings->memory_mb};
	struct peer_directory_events events = {
		.key = on_key,
		.changed = on_changed,
		.failed = on_failed,
		.arg = edge,
	};
	struct peer_key new_key;

	short_name_copy(self.name, settings->name);
	short_name_copy(self.failure_domain, settings->failure_domain);
	text_copy(self.address, sizeof(self.address), settings->peer_address);
	randombytes_buf(new_key.bytes, sizeof(new_key.bytes));
	edge->peers.directory = peer_directory_new(&self, &new_key, incarnation,
						   edge->sources.store,
						   &edge_clock, &events);
}

struct tgw_peer *edge_peers_start(struct edge *edge, uint64_t incarnation)
{
	const struct edge_settings *settings = edge->settings;
	struct datagram_channel_settings channel = {
		.address = settings->peer_address,
		.host_name = settings->name,
		.incarnation = incarnation,
		.address_of = address_of,
		.receive = on_message,
		.arg = edge,
	};
	struct tgw_error error;

	if (!*settings->peer_address)
		return NULL;
	if (datagram_channel_open(&edge->peers.channel, edge->loop, &channel,
				  &error) != TGW_OK) {
		edge_log_line(&edge->log, EDGE_LOG_STATE, "peers", "off",
			      "reason=\"%s\"", error.message);
		return NULL;
	}
	start_directory(edge, incarnation);
	return &edge->peers.channel.peer;
}

void edge_peers_tick(struct edge *edge)
{
	if (edge->peers.directory)
		peer_directory_tick(edge->peers.directory);
}

void edge_peers_free(struct edge *edge)
{
	datagram_channel_close(&edge->peers.channel);
	peer_directory_free(edge->peers.directory);
	edge->peers.directory = NULL;
}

size_t edge_peers_count(const struct edge *edge)
{
	size_t count = 0;

	if (edge->peers.directory)
		peer_directory_hosts(edge->peers.directory, &count);
	return count;
}
