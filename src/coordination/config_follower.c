#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "coordination/config_follower_private.h"

/* Each host reads the manifest periodically in case the watch misses a change.
 * In a failure domain, about one host does so per CHECK_INTERVAL_PER_HOST_US,
 * and no host checks more often than MIN_CHECK_INTERVAL_US. */
#define CHECK_INTERVAL_PER_HOST_US TGW_US_PER_S
#define MIN_CHECK_INTERVAL_US (6 * TGW_US_PER_S)
#define STORE_RETRY_US (4 * TGW_US_PER_S)

/* At start-up, the store has this long to answer before other hosts are queried
 * as well. */
#define STARTUP_GRACE_US (300 * TGW_US_PER_MS)

/* While no newer generation is found, the interval between queries to other
 * hosts, and between store reads that their heartbeats cause, doubles up to
 * these maxima. The second one applies as long as no generation is in force. */
#define MAX_QUERY_INTERVAL_US (60 * TGW_US_PER_S)
#define MAX_STARTUP_QUERY_INTERVAL_US (4 * TGW_US_PER_S)
#define HOSTS_PER_QUERY 3
/* Offers that arrive later than this after a query are ignored. */
#define OFFERS_WINDOW_US (5 * TGW_US_PER_S)

int64_t config_follower_now_us(const struct tgw_config_follower *follower)
{
	return tgw_clock_monotonic_us(follower->env.clock);
}

void config_follower_refuse(struct tgw_config_follower *follower,
			    uint64_t generation, const struct tgw_error *error)
{
	follower->counters.generations_refused++;
	if (generation && generation == follower->refused_generation)
		return;
	follower->refused_generation = generation;
	if (follower->env.refused)
		follower->env.refused(follower->env.arg, generation,
				      error->message);
}

void config_follower_on_applied(struct tgw_config_follower *follower,
				struct tgw_config_snapshot *snapshot)
{
	follower->counters.generations_applied++;
	follower->newer_since_us = 0;
	follower->query_interval_us = CONFIG_QUERY_INTERVAL_US;
	config_offers_clear(&follower->offers);
	follower->env.in_force(follower->env.arg, snapshot);
}

void config_follower_send(struct tgw_config_follower *follower, const char *to,
			  const struct config_message *message)
{
	follower->counters.peer_bytes_sent +=
		config_peers_send(follower->env.peer, to, message);
}

struct store_call *config_follower_new_call(
	struct tgw_config_follower *follower, int32_t shard)
{
	struct store_call *call = xcalloc(1, sizeof(*call));

	call->follower = follower;
	call->shard = shard;
	call->next = follower->calls;
	follower->calls = call;
	return call;
}

void config_follower_end_call(struct store_call *call)
{
	struct store_call **link = &call->follower->calls;

	while (*link != call)
		link = &(*link)->next;
	*link = call->next;
	free(call);
}

/* Switches to a manifest that has passed the checks: by its deltas if they
 * suffice, otherwise by fetching shards. */
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
	if (config_state_apply_deltas(&follower->state, manifest, value,
				      value_size, &snapshot,
				      &error) != TGW_OK) {
		config_follower_refuse(follower, generation, &error);
		return;
	}
	if (snapshot) {
		config_fetch_clear(&follower->fetch);
		config_follower_on_applied(follower, snapshot);
		return;
	}
	if (!follower->fetch.active)
		follower->fetch_started_us = config_follower_now_us(follower);
	config_fetch_start(&follower->fetch, manifest, value, value_size,
			   &follower->state.set);
	config_follower_load(follower);
}

static void check_manifest(struct tgw_config_follower *follower,
			   const void *value, size_t value_size)
{
	struct config_manifest manifest;
	struct tgw_error error;

	if (config_manifest_decode(&manifest, value, value_size, &error) !=
	    TGW_OK) {
		config_follower_refuse(follower, 0, &error);
		return;
	}
	if (manifest.generation != follower->state.manifest.generation ||
	    value_size != follower->state.value_size ||
	    memcmp(value, follower->state.value, value_size) != 0) {
		if (config_state_check_next(&follower->state, &manifest,
					    &error) != TGW_OK)
			config_follower_refuse(follower, manifest.generation,
					       &error);
		else
			adopt(follower, &manifest, value, value_size);
	}
	config_manifest_clear(&manifest);
}

/* ---- the store ---- */

/* The hosts of a failure domain share the checks: the more hosts there are, the
 * less often each of them checks. When one finds a change, its heartbeats
 * announce the new generation to all others. */
static int64_t check_interval_us(const struct tgw_config_follower *follower)
{
	const struct tgw_host *self = tgw_host_view_self(follower->view);
	int64_t interval_us = 0;

	for (size_t i = 0; i < follower->view->host_count; i++) {
		const struct tgw_host *host = &follower->view->hosts[i];

		if (host->state == TGW_HOST_ALIVE &&
		    !strcmp(host->failure_domain, self->failure_domain))
			interval_us += CHECK_INTERVAL_PER_HOST_US;
	}
	return interval_us > MIN_CHECK_INTERVAL_US ? interval_us
						   : MIN_CHECK_INTERVAL_US;
}

/* Returns 50% to 150% of the interval at random, so that hosts do not read in
 * lockstep. */
static int64_t add_jitter(struct tgw_config_follower *follower,
			  int64_t interval_us)
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
	config_follower_end_call(call);
	follower->manifest_in_flight = false;
	follower->store_failed = result->status != TGW_OK;
	if (follower->store_failed) {
		follower->next_read_us = config_follower_now_us(follower) +
					 add_jitter(follower, STORE_RETRY_US);
		return;
	}
	if (result->entry_count && result->entries[0].value)
		check_manifest(follower, result->entries[0].value,
			       result->entries[0].value_size);
}

static void read_manifest(struct tgw_config_follower *follower)
{
	if (follower->manifest_in_flight)
		return;
	follower->manifest_in_flight = true;
	follower->counters.store_reads++;
	tgw_store_get(follower->env.store, CONFIG_MANIFEST_KEY,
		      (struct tgw_store_callback){
			      .done = on_manifest,
			      .arg = config_follower_new_call(follower, -1),
		      });
}

static void on_changed(void *arg, const struct tgw_store_entry *entry)
{
	struct tgw_config_follower *follower = arg;

	follower->store_failed = false;
	if (strcmp(entry->key, CONFIG_MANIFEST_KEY) != 0 || !entry->value)
		return;
	check_manifest(follower, entry->value, entry->value_size);
}

static void on_watch_lost(void *arg)
{
	struct tgw_config_follower *follower = arg;

	follower->next_read_us = config_follower_now_us(follower);
}

/* ---- other hosts ---- */

static void back_off(struct tgw_config_follower *follower)
{
	int64_t max_us = follower->state.manifest.generation
				 ? MAX_QUERY_INTERVAL_US
				 : MAX_STARTUP_QUERY_INTERVAL_US;

	follower->query_interval_us *= 2;
	if (follower->query_interval_us > max_us)
		follower->query_interval_us = max_us;
}

static void query_hosts(struct tgw_config_follower *follower)
{
	struct config_message message = {.kind = CONFIG_REQUEST_MANIFEST};
	const struct tgw_host *hosts[HOSTS_PER_QUERY];
	size_t count = config_peers_pick_several(
		follower->view, &follower->random,
		follower->state.manifest.generation, hosts, HOSTS_PER_QUERY);

	follower->next_query_us =
		config_follower_now_us(follower) + follower->query_interval_us;
	back_off(follower);
	follower->offers_until_us =
		config_follower_now_us(follower) + OFFERS_WINDOW_US;
	for (size_t i = 0; i < count; i++)
		config_follower_send(follower, hosts[i]->name, &message);
}

static void on_offer(struct tgw_config_follower *follower, const char *from,
		     const struct config_message *message)
{
	const struct config_offer *best;
	struct config_manifest manifest;
	struct tgw_error error;

	if (config_follower_now_us(follower) > follower->offers_until_us)
		return; /* no query is pending */
	if (config_manifest_decode(&manifest, message->value,
				   message->value_size, &error) == TGW_OK &&
	    config_state_check_next(&follower->state, &manifest, &error) ==
		    TGW_OK) {
		config_offers_add(&follower->offers, from, manifest.generation,
				  message->value, message->value_size);
		config_manifest_clear(&manifest);
	} else {
		config_manifest_clear(&manifest);
		config_follower_refuse(follower, 0, &error);
		return;
	}
	best = config_offers_best(&follower->offers,
				  follower->state.manifest.generation,
				  config_peers_count(follower->view));
	if (!best)
		return;
	follower->counters.from_peers++;
	check_manifest(follower, best->value, best->value_size);
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
		config_follower_on_shard(follower, &decoded);
	else
		follower->counters.peer_bytes_sent +=
			config_peers_reply(follower->env.peer, &follower->state,
					   message->from_host, &decoded);
out:
	msgpack_unpacked_destroy(&unpacked);
}

/* ---- periodic work ---- */

static void check_newest_generation(struct tgw_config_follower *follower)
{
	if (config_peers_newest(follower->view) <=
	    follower->state.manifest.generation) {
		follower->newer_since_us = 0;
		return;
	}
	if (!follower->newer_since_us) {
		follower->newer_since_us = config_follower_now_us(follower);
		return;
	}
	if (config_follower_now_us(follower) - follower->newer_since_us <
	    follower->query_interval_us)
		return;
	if (!follower->store_failed) {
		follower->newer_since_us = config_follower_now_us(follower);
		back_off(follower);
		read_manifest(follower);
	}
}

static bool needs_peers(const struct tgw_config_follower *follower)
{
	if (!follower->state.manifest.generation)
		return follower->store_failed ||
		       config_follower_now_us(follower) - follower->started_us >
			       STARTUP_GRACE_US;
	return follower->store_failed && follower->newer_since_us;
}

int64_t tgw_config_follower_tick(struct tgw_config_follower *follower)
{
	int64_t next_us = config_follower_now_us(follower) + TGW_US_PER_S;

	/* Only a check schedules the next check. After a change all hosts read
	 * at once; if those reads scheduled the next check, the hosts would
	 * keep reading in lockstep. */
	if (config_follower_now_us(follower) >= follower->next_read_us) {
		follower->next_read_us =
			config_follower_now_us(follower) +
			add_jitter(follower, check_interval_us(follower));
		read_manifest(follower);
	}
	check_newest_generation(follower);
	if (needs_peers(follower) &&
	    config_follower_now_us(follower) >= follower->next_query_us)
		query_hosts(follower);
	if (config_follower_now_us(follower) > follower->offers_until_us)
		config_offers_clear(&follower->offers);
	config_follower_load(follower);
	if (!follower->state.manifest.generation || follower->fetch.active)
		next_us = config_follower_now_us(follower) + STARTUP_GRACE_US;
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
	follower->started_us = config_follower_now_us(follower);
	follower->query_interval_us = CONFIG_QUERY_INTERVAL_US;
	follower->next_read_us = config_follower_now_us(follower);
	follower->watch = tgw_store_watch(env->store, CONFIG_MANIFEST_KEY,
					  (struct tgw_store_watcher){
						  .changed = on_changed,
						  .lost = on_watch_lost,
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
