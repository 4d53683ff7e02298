#include "coordination/config_peers.h"

#include <assert.h>
#include <string.h>

static bool is_candidate(const struct tgw_host_view *view,
			 const struct tgw_host *host, uint64_t generation)
{
	return host != tgw_host_view_self(view) &&
	       (host->state == TGW_HOST_ALIVE ||
		host->state == TGW_HOST_LEAVING) &&
	       host->config_generation >= generation;
}

const struct tgw_host *config_peers_pick(const struct tgw_host_view *view,
					 struct tgw_random *random,
					 uint64_t generation)
{
	const struct tgw_host *self = tgw_host_view_self(view);
	const struct tgw_host *local = NULL;
	const struct tgw_host *remote = NULL;
	uint64_t local_count = 0;
	uint64_t remote_count = 0;

	for (size_t i = 0; i < view->host_count; i++) {
		const struct tgw_host *host = &view->hosts[i];

		if (!is_candidate(view, host, generation))
			continue;
		if (!strcmp(host->failure_domain, self->failure_domain)) {
			if (!tgw_random_below(random, ++local_count))
				local = host;
		} else if (!tgw_random_below(random, ++remote_count)) {
			remote = host;
		}
	}
	return local ? local : remote;
}

/* Rates a host for a query: the two high bits stand for a newer generation and
 * for the local failure domain, the low bits are random. */
static uint64_t query_weight(const struct tgw_host_view *view,
			     struct tgw_random *random,
			     const struct tgw_host *host,
			     uint64_t above_generation)
{
	const struct tgw_host *self = tgw_host_view_self(view);
	uint64_t weight = tgw_random_u64(random) >> 2;

	if (host->config_generation > above_generation)
		weight |= UINT64_C(1) << 63;
	if (!strcmp(host->failure_domain, self->failure_domain))
		weight |= UINT64_C(1) << 62;
	return weight;
}

size_t config_peers_pick_several(const struct tgw_host_view *view,
				 struct tgw_random *random,
				 uint64_t above_generation,
				 const struct tgw_host **hosts, size_t capacity)
{
	uint64_t weights[CONFIG_PEERS_PICK_MAX];
	size_t count = 0;

	assert(capacity <= CONFIG_PEERS_PICK_MAX);
	for (size_t i = 0; i < view->host_count; i++) {
		const struct tgw_host *host = &view->hosts[i];
		uint64_t weight;
		size_t at;

		if (!is_candidate(view, host, 0))
			continue;
		weight = query_weight(view, random, host, above_generation);
		if (count == capacity &&
		    (!count || weight <= weights[count - 1]))
			continue;
		at = count < capacity ? count++ : count - 1;
		for (; at > 0 && weights[at - 1] < weight; at--) {
			weights[at] = weights[at - 1];
			hosts[at] = hosts[at - 1];
		}
		weights[at] = weight;
		hosts[at] = host;
	}
	return count;
}

uint64_t config_peers_newest(const struct tgw_host_view *view)
{
	uint64_t newest = 0;

	for (size_t i = 0; i < view->host_count; i++) {
		const struct tgw_host *host = &view->hosts[i];

		if (is_candidate(view, host, 0) &&
		    host->config_generation > newest)
			newest = host->config_generation;
	}
	return newest;
}

size_t config_peers_count(const struct tgw_host_view *view)
{
	size_t count = 0;

	for (size_t i = 0; i < view->host_count; i++)
		count += is_candidate(view, &view->hosts[i], 0);
	return count;
}

size_t config_peers_send(struct tgw_peer *peer, const char *to,
			 const struct config_message *message)
{
	msgpack_sbuffer payload;
	size_t sent = 0;

	msgpack_sbuffer_init(&payload);
	config_message_encode(message, &payload);
	if (payload.size <= TGW_PEER_PAYLOAD_MAX_BYTES &&
	    tgw_peer_send(peer, to, TGW_PEER_CONFIG, payload.data,
			  payload.size) == TGW_OK)
		sent = payload.size;
	msgpack_sbuffer_destroy(&payload);
	return sent;
}

static size_t reply_with_manifest(struct tgw_peer *peer,
				  const struct config_state *state,
				  const char *to)
{
	struct config_message message = {
		.kind = CONFIG_MANIFEST,
		.value = state->value,
		.value_size = state->value_size,
	};

	if (!state->manifest.generation)
		return 0;
	return config_peers_send(peer, to, &message);
}

static size_t reply_with_shard(struct tgw_peer *peer,
			       const struct config_state *state, const char *to,
			       const struct config_message *query)
{
	const struct config_shard_ref *ref =
		&state->manifest.shards[query->shard];
	struct config_message message = {
		.kind = CONFIG_SHARD,
		.shard = query->shard,
	};
	size_t sent = 0;
	msgpack_sbuffer value;

	if (!ref->generation ||
	    memcmp(ref->digest, query->digest, sizeof(ref->digest)) != 0)
		return 0;
	memcpy(message.digest, ref->digest, sizeof(ref->digest));
	msgpack_sbuffer_init(&value);
	if (config_manifest_encode_shard(&state->manifest, &state->set,
					 query->shard, &value,
					 NULL) == TGW_OK) {
		message.value = value.data;
		message.value_size = value.size;
		sent = config_peers_send(peer, to, &message);
	}
	msgpack_sbuffer_destroy(&value);
	return sent;
}

size_t config_peers_reply(struct tgw_peer *peer,
			  const struct config_state *state, const char *to,
			  const struct config_message *query)
{
	switch (query->kind) {
	case CONFIG_REQUEST_MANIFEST:
		return reply_with_manifest(peer, state, to);
	case CONFIG_REQUEST_SHARD:
		return reply_with_shard(peer, state, to, query);
	default:
		return 0;
	}
}
