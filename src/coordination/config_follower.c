#include "tamarackgw/config_follower.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "coordination/config_fetch.h"
#include "coordination/config_offers.h"
#include "coordination/config_peers.h"
#include "state/config_message.h"
#include "state/config_state.h"
#include "tamarackgw/random.h"

/* Checks whether the watch misses changes: one of a domain's hosts does so
 * about this often, and no host more often than the least. */
#define CHECK_SHARE_US TGW_US_PER_S
#define CHECK_LEAST_US (6 * TGW_US_PER_S)
#define RETRY_US (4 * TGW_US_PER_S)

/* Others have a newer generation: the watch has this long to bring it. */
#define GOSSIP_GRACE_US TGW_US_PER_S

/* At boot, the store has this long before other hosts are asked too. */
#define BOOT_GRACE_US (300 * TGW_US_PER_MS)

#define ASK_INTERVAL_US TGW_US_PER_S
#define ASK_HOSTS 3
#define OFFERS_KEEP_US (5 * TGW_US_PER_S)

#define SHARD_TIMEOUT_US TGW_US_PER_S
#define SHARDS_UNDER_WAY 8
#define STORE_SHARDS_UNDER_WAY 2

/* Up to so many missing shards are read from the store at once. */
#define FEW_SHARDS 8

/* A call to the store, which may end after the follower. */
struct store_call {
	struct tgw_config_follower *follower; /* NULL: the follower is gone */
	struct store_call *next;
	int32_t shard;			     /* -1: the manifest */
	uint8_t digest[CONFIG_DIGEST_BYTES]; /* wanted of a shard */
};

struct tgw_config_follower {
	struct tgw_config_follower_env env;
	struct tgw_random random;
	struct tgw_config_follower_counters counters;
	struct tgw_host_view *view;
	struct config_state state;
	struct config_fetch fetch;
	struct config_offers offers;
	struct store_call *calls;
	size_t store_shards_under_way;
	bool manifest_under_way;
	bool store_failed;
	uint64_t watch;
	uint64_t refused_generation;
	int64_t started_us;
	int64_t next_read_us;
	int64_t next_ask_us;
	int64_t newer_since_us; /* 0: no host is known to be newer */
	int64_t offers_until_us;
};

static int64_t now_us(const struct tgw_config_follower *follower)
{
	return tgw_clock_monotonic_us(follower->env.clock);
}

static void refuse(struct tgw_config_follower *follower, uint64_t generation,
		   const struct tgw_error *error)
{
	follower->counters.generations_refused++;
	if (generation && generation == follower->refused_generation)
		return;
	follower->refused_generation = generation;
	if (follower->env.refused)
		follower->env.refused(follower->env.arg, generation,
				      error->message);
}

static void announce(struct tgw_config_follower *follower,
		     struct tgw_config_snapshot *snapshot)
{
	follower->counters.generations_applied++;
	follower->newer_since_us = 0;
	config_offers_clear(&follower->offers);
	follower->env.in_force(follower->env.arg, snapshot);
}

static void pump(struct tgw_config_follower *follower);

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
		announce(follower, snapshot);
	else
		refuse(follower, generation, &error);
}

/* Goes over to a manifest that is known to be genuine. */
static void adopt(struct tgw_config_follower *follower,
		  struct config_manifest *manifest, const void *value,
		  size_t value_size)
{
	uint64_t generation = manifest->generation;
	struct tgw_config_snapshot *snapshot = NULL;
	struct tgw_error error;

	if (generation == follower->refused_generation ||
	    (follower->fetch.active &&
	     generation <= follower->fetch.manifest.generation))
		return;
	if (config_state_step(&follower->state, manifest, value, value_size,
			      &snapshot, &error) != TGW_OK) {
		refuse(follower, generation, &error);
		return;
	}
	if (snapshot) {
		config_fetch_clear(&follower->fetch);
		announce(follower, snapshot);
		return;
	}
	config_fetch_start(&follower->fetch, manifest, value, value_size,
			   &follower->state.set);
	pump(follower);
}

static void consider(struct tgw_config_follower *follower, const void *value,
		     size_t value_size)
{
	struct config_manifest manifest;
	struct tgw_error error;

	if (config_manifest_decode(&manifest, value, value_size, &error) !=
	    TGW_OK) {
		refuse(follower, 0, &error);
		return;
	}
	if (manifest.generation != follower->state.manifest.generation ||
	    value_size != follower->state.value_size ||
	    memcmp(value, follower->state.value, value_size) != 0) {
		if (config_state_check_next(&follower->state, &manifest,
					    &error) != TGW_OK)
			refuse(follower, manifest.generation, &error);
		else
			adopt(follower, &manifest, value, value_size);
	}
	config_manifest_clear(&manifest);
}

/* ---- the store ---- */

static struct store_call *new_call(struct tgw_config_follower *follower,
				   int32_t shard)
{
	struct store_call *call = xcalloc(1, sizeof(*call));

	call->follower = follower;
	call->shard = shard;
	call->next = follower->calls;
	follower->calls = call;
	return call;
}

static void end_call(struct store_call *call)
{
	struct store_call **link = &call->follower->calls;

	while (*link != call)
		link = &(*link)->next;
	*link = call->next;
	free(call);
}

/* The hosts of a domain share the checks: each checks the more seldom the
 * more there are, and all hear of it by heartbeats when one finds a change. */
static int64_t check_interval_us(const struct tgw_config_follower *follower)
{
	const struct tgw_host *self = tgw_host_view_self(follower->view);
	int64_t interval_us = 0;

	for (size_t i = 0; i < follower->view->host_count; i++) {
		const struct tgw_host *host = &follower->view->hosts[i];

		if (host->state == TGW_HOST_ALIVE &&
		    !strcmp(host->failure_domain, self->failure_domain))
			interval_us += CHECK_SHARE_US;
	}
	return interval_us > CHECK_LEAST_US ? interval_us : CHECK_LEAST_US;
}

/* Between half and one and a half, so that hosts don't go in step. */
static int64_t spread(struct tgw_config_follower *follower, int64_t interval_us)
{
	return interval_us / 2 +
	       (int64_t)tgw_random_below(&follower->random,
					 (uint64_t)interval_us);
}

static void on_manifest(void *arg, const struct tgw_store_result *result)
{
	struct store_call *call = arg;
	struct tgw_config_follower *follower = call->follower;

	if (!follower) {
		free(call);
		return;
	}
	end_call(call);
	follower->manifest_under_way = false;
	follower->store_failed = result->status != TGW_OK;
	if (follower->store_failed) {
		follower->next_read_us =
			now_us(follower) + spread(follower, RETRY_US);
		return;
	}
	if (result->entry_count && result->entries[0].value)
		consider(follower, result->entries[0].value,
			 result->entries[0].value_size);
}

static void read_manifest(struct tgw_config_follower *follower)
{
	if (follower->manifest_under_way)
		return;
	follower->manifest_under_way = true;
	follower->counters.store_reads++;
	tgw_store_get(follower->env.store, CONFIG_MANIFEST_KEY,
		      (struct tgw_store_callback){
			      .done = on_manifest,
			      .arg = new_call(follower, -1),
		      });
}

static void on_changed(void *arg, const struct tgw_store_entry *entry)
{
	struct tgw_config_follower *follower = arg;

	follower->store_failed = false;
	if (strcmp(entry->key, CONFIG_MANIFEST_KEY) != 0 || !entry->value)
		return;
	consider(follower, entry->value, entry->value_size);
}

static void on_lost(void *arg)
{
	struct tgw_config_follower *follower = arg;

	follower->next_read_us = now_us(follower);
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
	end_call(call);
	follower->store_shards_under_way--;
	follower->store_failed = result->status != TGW_OK;
	if (!follower->fetch.active || follower->store_failed ||
	    memcmp(follower->fetch.manifest.shards[shard].digest, digest,
		   sizeof(digest)) != 0)
		return;
	if (!result->entry_count || !result->entries[0].value) {
		/* Replaced since: there is a newer manifest. */
		follower->next_read_us = now_us(follower);
		return;
	}
	if (config_fetch_take(&follower->fetch, shard, result->entries[0].value,
			      result->entries[0].value_size, &error) != TGW_OK)
		refuse(follower, follower->fetch.manifest.generation, &error);
	pump(follower);
}

static void read_shard(struct tgw_config_follower *follower, uint32_t shard)
{
	const struct config_shard_ref *ref =
		&follower->fetch.manifest.shards[shard];
	struct store_call *call = new_call(follower, (int32_t)shard);
	char key[CONFIG_KEY_SIZE];

	memcpy(call->digest, ref->digest, sizeof(call->digest));
	config_shard_key(key, shard, ref);
	follower->store_shards_under_way++;
	follower->counters.store_reads++;
	tgw_store_get(follower->env.store, key,
		      (struct tgw_store_callback){
			      .done = on_shard,
			      .arg = call,
		      });
}

/* ---- other hosts ---- */

static void send_message(struct tgw_config_follower *follower, const char *to,
			 const struct config_message *message)
{
	follower->counters.peer_bytes_sent +=
		config_peers_send(follower->env.peer, to, message);
}

static const struct tgw_host *pick_host(struct tgw_config_follower *follower,
					uint64_t generation)
{
	return config_peers_pick(follower->view, &follower->random, generation);
}

static void ask_hosts(struct tgw_config_follower *follower)
{
	struct config_message message = {.kind = CONFIG_WANT_MANIFEST};
	const struct tgw_host *hosts[ASK_HOSTS];
	size_t count = config_peers_pick_several(
		follower->view, &follower->random,
		follower->state.manifest.generation, hosts, ASK_HOSTS);

	follower->next_ask_us = now_us(follower) + ASK_INTERVAL_US;
	follower->offers_until_us = now_us(follower) + OFFERS_KEEP_US;
	for (size_t i = 0; i < count; i++)
		send_message(follower, hosts[i]->name, &message);
}

static void ask_for_shard(struct tgw_config_follower *follower, uint32_t shard,
			  const struct tgw_host *host)
{
	struct config_message message = {
		.kind = CONFIG_WANT_SHARD,
		.shard = shard,
	};

	memcpy(message.digest, follower->fetch.manifest.shards[shard].digest,
	       CONFIG_DIGEST_BYTES);
	send_message(follower, host->name, &message);
}

static void on_offer(struct tgw_config_follower *follower, const char *from,
		     const struct config_message *message)
{
	const struct config_offer *best;
	struct config_manifest manifest;
	struct tgw_error error;

	if (now_us(follower) > follower->offers_until_us)
		return; /* nobody was asked */
	if (config_manifest_decode(&manifest, message->value,
				   message->value_size, &error) == TGW_OK &&
	    config_state_check_next(&follower->state, &manifest, &error) ==
		    TGW_OK) {
		config_offers_add(&follower->offers, from, manifest.generation,
				  message->value, message->value_size);
		config_manifest_clear(&manifest);
	} else {
		config_manifest_clear(&manifest);
		refuse(follower, 0, &error);
		return;
	}
	best = config_offers_best(&follower->offers,
				  follower->state.manifest.generation,
				  config_peers_count(follower->view));
	if (!best)
		return;
	follower->counters.from_peers++;
	consider(follower, best->value, best->value_size);
}

static void on_peer_shard(struct tgw_config_follower *follower,
			  const struct config_message *message)
{
	struct tgw_error error;

	if (!follower->fetch.active ||
	    memcmp(message->digest,
		   follower->fetch.manifest.shards[message->shard].digest,
		   sizeof(message->digest)) != 0)
		return;
	if (config_fetch_take(&follower->fetch, message->shard, message->value,
			      message->value_size, &error) != TGW_OK)
		follower->counters.generations_refused++;
	pump(follower);
}

void tgw_config_follower_on_message(struct tgw_config_follower *follower,
				    const struct tgw_peer_message *message)
{
	struct config_message decoded;
	msgpack_unpacked unpacked;

	if (!tgw_host_view_find(follower->view, message->from_host))
		return;
	msgpack_unpacked_init(&unpacked);
	if (config_message_decode(&decoded, &unpacked, message->payload,
				  message->payload_size, NULL) != TGW_OK)
		goto out;
	if (decoded.kind == CONFIG_MANIFEST)
		on_offer(follower, message->from_host, &decoded);
	else if (decoded.kind == CONFIG_SHARD)
		on_peer_shard(follower, &decoded);
	else
		follower->counters.peer_bytes_sent += config_peers_answer(
			follower->env.peer, &follower->state,
			message->from_host, &decoded);
out:
	msgpack_unpacked_destroy(&unpacked);
}

/* ---- what is due ---- */

static bool prefers_store(const struct tgw_config_follower *follower,
			  const struct config_fetch_shard *shard)
{
	bool store_first = follower->fetch.missing_count <= FEW_SHARDS;

	if (follower->store_failed)
		return false;
	return shard->asked % 2 ? !store_first : store_first;
}

/* Asks for one shard. @return false when there is nobody to ask now */
static bool ask_one(struct tgw_config_follower *follower, uint32_t shard)
{
	struct config_fetch_shard *wanted = &follower->fetch.shards[shard];
	const struct tgw_host *host =
		pick_host(follower, follower->fetch.manifest.folded_generation);
	bool by_store = prefers_store(follower, wanted) || !host;

	if (by_store &&
	    follower->store_shards_under_way >= STORE_SHARDS_UNDER_WAY) {
		if (!host)
			return false;
		by_store = false;
	}
	wanted->asked++;
	wanted->asked_at_us = now_us(follower);
	if (by_store)
		read_shard(follower, shard);
	else
		ask_for_shard(follower, shard, host);
	return true;
}

static void pump(struct tgw_config_follower *follower)
{
	struct config_fetch *fetch = &follower->fetch;

	if (!fetch->active)
		return;
	if (!fetch->missing_count) {
		finish_fetch(follower);
		return;
	}
	while (config_fetch_under_way(fetch, now_us(follower),
				      SHARD_TIMEOUT_US) < SHARDS_UNDER_WAY) {
		int32_t shard = config_fetch_next(fetch, now_us(follower),
						  SHARD_TIMEOUT_US);

		if (shard < 0 || !ask_one(follower, (uint32_t)shard))
			return;
	}
}

static void check_gossip(struct tgw_config_follower *follower)
{
	if (config_peers_newest(follower->view) <=
	    follower->state.manifest.generation) {
		follower->newer_since_us = 0;
		return;
	}
	if (!follower->newer_since_us) {
		follower->newer_since_us = now_us(follower);
		return;
	}
	if (now_us(follower) - follower->newer_since_us < GOSSIP_GRACE_US)
		return;
	if (!follower->store_failed) {
		follower->newer_since_us = now_us(follower);
		read_manifest(follower);
	}
}

static bool needs_hosts(const struct tgw_config_follower *follower)
{
	if (!follower->state.manifest.generation)
		return follower->store_failed ||
		       now_us(follower) - follower->started_us > BOOT_GRACE_US;
	return follower->store_failed && follower->newer_since_us;
}

int64_t tgw_config_follower_tick(struct tgw_config_follower *follower)
{
	int64_t next_us = now_us(follower) + TGW_US_PER_S;

	/* Only checks set the time of the next one: after a change all hosts
	 * read at once, and must not go in step from there. */
	if (now_us(follower) >= follower->next_read_us) {
		follower->next_read_us =
			now_us(follower) +
			spread(follower, check_interval_us(follower));
		read_manifest(follower);
	}
	check_gossip(follower);
	if (needs_hosts(follower) && now_us(follower) >= follower->next_ask_us)
		ask_hosts(follower);
	if (now_us(follower) > follower->offers_until_us)
		config_offers_clear(&follower->offers);
	pump(follower);
	if (!follower->state.manifest.generation || follower->fetch.active)
		next_us = now_us(follower) + BOOT_GRACE_US;
	if (follower->next_read_us < next_us)
		next_us = follower->next_read_us;
	return next_us;
}

struct tgw_config_follower *tgw_config_follower_new(
	const struct tgw_config_follower_env *env,
	const struct tgw_host_view *view)
{
	struct tgw_config_follower *follower = xcalloc(1, sizeof(*follower));

	follower->env = *env;
	tgw_random_init(&follower->random, env->random_seed);
	follower->view = tgw_host_view_copy(view);
	follower->started_us = now_us(follower);
	follower->next_read_us = now_us(follower);
	follower->watch = tgw_store_watch(env->store, CONFIG_MANIFEST_KEY,
					  (struct tgw_store_watcher){
						  .changed = on_changed,
						  .lost = on_lost,
						  .arg = follower,
					  });
	return follower;
}

void tgw_config_follower_free(struct tgw_config_follower *follower)
{
	if (!follower)
		return;
	tgw_store_unwatch(follower->env.store, follower->watch);
	for (struct store_call *call = follower->calls; call; call = call->next)
		call->follower = NULL;
	config_fetch_clear(&follower->fetch);
	config_offers_clear(&follower->offers);
	config_state_clear(&follower->state);
	tgw_host_view_free(follower->view);
	free(follower);
}

uint64_t tgw_config_follower_generation(
	const struct tgw_config_follower *follower)
{
	return follower->state.manifest.generation;
}

void tgw_config_follower_set_hosts(struct tgw_config_follower *follower,
				   const struct tgw_host_view *view)
{
	struct tgw_host_view *copy = tgw_host_view_copy(view);

	tgw_host_view_free(follower->view);
	follower->view = copy;
}

const struct tgw_config_follower_counters *tgw_config_follower_counters(
	const struct tgw_config_follower *follower)
{
	return &follower->counters;
}
