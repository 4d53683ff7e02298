#include <string.h>

#include "coordination/config_follower_private.h"

#define SHARD_TIMEOUT_US TGW_US_PER_S
#define MAX_SHARDS_IN_FLIGHT 8
#define MAX_STORE_SHARDS_IN_FLIGHT 2

/* If at most this many shards are missing, they are requested from the store
 * first, otherwise from other hosts first. The retries for a shard alternate
 * between the two. */
#define STORE_FIRST_MAX_SHARDS 8

/* When all hosts need many shards at once, the hosts of each failure domain
 * start to read from the store one after another, in order of rank. The first
 * ones read the shards, and the others get them from these hosts. */
#define LOAD_DELAY_PER_RANK_US (600 * TGW_US_PER_MS)
#define LOAD_MAX_RANKS 10

static void finish_fetch(struct tgw_config_follower *follower)
{
	struct config_fetch *fetch = &follower->fetch;
	uint64_t generation = fetch->manifest.generation;
	struct tgw_config_snapshot *snapshot = NULL;
	struct config_set set = {0};
	struct tgw_error error;
	enum tgw_status status;

	status = config_fetch_finish(fetch, &set, &error);
	if (status == TGW_OK)
		status = config_state_replace(&follower->state,
					      &fetch->manifest, fetch->value,
					      fetch->value_size, &set,
					      &snapshot, &error);
	config_set_clear(&set);
	config_fetch_clear(fetch);
	if (status == TGW_OK)
		config_follower_on_applied(follower, snapshot);
	else
		config_follower_refuse(follower, generation, &error);
}

static void on_shard(void *arg, const struct tgw_store_result *result)
{
	struct store_call *call = arg;
	struct tgw_config_follower *follower = call->follower;
	uint32_t shard = (uint32_t)call->shard;
	uint8_t digest[CONFIG_DIGEST_BYTES];
	struct tgw_error error;

	if (!follower) {
		free(call);
		return;
	}
	memcpy(digest, call->digest, sizeof(digest));
	config_follower_end_call(call);
	follower->store_shards_in_flight--;
	follower->store_failed = result->status != TGW_OK;
	if (!follower->fetch.active || follower->store_failed ||
	    memcmp(follower->fetch.manifest.shards[shard].digest, digest,
		   sizeof(digest)) != 0)
		return;
	if (!result->entry_count || !result->entries[0].value) {
		/* The shard was replaced, so there is a newer manifest. */
		follower->next_read_us = config_follower_now_us(follower);
		return;
	}
	if (config_fetch_add(&follower->fetch, shard, result->entries[0].value,
			     result->entries[0].value_size, &error) != TGW_OK)
		config_follower_refuse(
			follower, follower->fetch.manifest.generation, &error);
	config_follower_load(follower);
}

static void read_shard(struct tgw_config_follower *follower, uint32_t shard)
{
	const struct config_shard_ref *ref =
		&follower->fetch.manifest.shards[shard];
	struct store_call *call =
		config_follower_new_call(follower, (int32_t)shard);
	char key[CONFIG_KEY_SIZE];

	memcpy(call->digest, ref->digest, sizeof(call->digest));
	config_shard_key(key, shard, ref);
	follower->store_shards_in_flight++;
	follower->counters.store_reads++;
	tgw_store_get(follower->env.store, key,
		      (struct tgw_store_callback){
			      .done = on_shard,
			      .arg = call,
		      });
}

static void query_shard(struct tgw_config_follower *follower, uint32_t shard,
			const struct tgw_host *host)
{
	struct config_message message = {
		.kind = CONFIG_REQUEST_SHARD,
		.shard = shard,
	};

	memcpy(message.digest, follower->fetch.manifest.shards[shard].digest,
	       CONFIG_DIGEST_BYTES);
	config_follower_send(follower, host->name, &message);
}

void config_follower_on_shard(struct tgw_config_follower *follower,
			      const struct config_message *message)
{
	struct tgw_error error;

	if (!follower->fetch.active ||
	    memcmp(message->digest,
		   follower->fetch.manifest.shards[message->shard].digest,
		   sizeof(message->digest)) != 0)
		return;
	if (config_fetch_add(&follower->fetch, message->shard, message->value,
			     message->value_size, &error) != TGW_OK)
		follower->counters.generations_refused++;
	config_follower_load(follower);
}

static bool prefers_store(const struct tgw_config_follower *follower,
			  const struct config_fetch_shard *shard)
{
	bool store_first = follower->fetch.missing_count <=
			   STORE_FIRST_MAX_SHARDS;

	if (follower->store_failed)
		return false;
	return shard->request_count % 2 ? !store_first : store_first;
}

/* Whether this host may read shards from the store already: at once when few
 * are missing, otherwise after a delay that grows with its rank. */
static bool may_read_store(const struct tgw_config_follower *follower)
{
	const struct tgw_host *ranked[LOAD_MAX_RANKS];
	const struct tgw_host *self = tgw_host_view_self(follower->view);
	size_t count = tgw_host_view_rank(follower->view, self->failure_domain,
					  0, ranked, LOAD_MAX_RANKS);
	int64_t rank = 0;

	if (follower->fetch.missing_count <= STORE_FIRST_MAX_SHARDS)
		return true;
	while ((size_t)rank < count && ranked[rank] != self)
		rank++;
	return config_follower_now_us(follower) - follower->fetch_started_us >=
	       rank * LOAD_DELAY_PER_RANK_US;
}

/* Requests one shard from the store or from another host.
 * @return false when neither can be queried now */
static bool request_shard(struct tgw_config_follower *follower, uint32_t shard)
{
	struct config_fetch_shard *entry = &follower->fetch.shards[shard];
	const struct tgw_host *host =
		config_peers_pick(follower->view, &follower->random,
				  follower->fetch.manifest.folded_generation);
	bool from_store = prefers_store(follower, entry) || !host;

	if (from_store &&
	    (follower->store_shards_in_flight >= MAX_STORE_SHARDS_IN_FLIGHT ||
	     !may_read_store(follower))) {
		if (!host)
			return false;
		from_store = false;
	}
	entry->request_count++;
	entry->requested_us = config_follower_now_us(follower);
	if (from_store)
		read_shard(follower, shard);
	else
		query_shard(follower, shard, host);
	return true;
}

void config_follower_load(struct tgw_config_follower *follower)
{
	struct config_fetch *fetch = &follower->fetch;

	if (!fetch->active)
		return;
	if (!fetch->missing_count) {
		finish_fetch(follower);
		return;
	}
	while (config_fetch_in_flight(fetch, config_follower_now_us(follower),
				      SHARD_TIMEOUT_US) <
	       MAX_SHARDS_IN_FLIGHT) {
		int32_t shard = config_fetch_next(
			fetch, config_follower_now_us(follower),
			SHARD_TIMEOUT_US);

		if (shard < 0 || !request_shard(follower, (uint32_t)shard))
			return;
	}
}
