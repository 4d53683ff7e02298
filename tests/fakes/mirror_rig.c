#include "fakes/mirror_rig.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_US (100 * TGW_US_PER_MS)
#define VALUE_SIZE 8

struct mirror_rig mirror_rig;

static const char *const prefixes[MIRROR_RIG_PREFIXES] = {"routes/",
							  "servers/"};

/** A watch's owner. */
struct owner {
	struct mirror_rig_host *host;
	int number;
};

static struct owner owners[MIRROR_RIG_HOSTS][2];

static void note(struct owner *owner, const struct tgw_store_entry *entry)
{
	struct mirror_rig_host *host = owner->host;
	int key;

	key = (int)strtol(strrchr(entry->key, '-') + 1, NULL, 10);
	/* Owners compare versions only while a key exists. */
	if (entry->value && host->values[owner->number][key])
		ck_assert_int_ge(entry->version,
				 host->versions[owner->number][key]);
	host->versions[owner->number][key] = entry->version;
	host->values[owner->number][key] = 0;
	if (!entry->value)
		return;
	memcpy(&host->values[owner->number][key], entry->value, sizeof(int));
	host->value_size = entry->value_size;
}

static void on_changed(void *arg, const struct tgw_store_entry *entry)
{
	note(arg, entry);
}

static void on_lost(void *arg)
{
	struct owner *owner = arg;

	owner->host->list_needed[owner->number] = true;
}

static void on_list(void *arg, const struct tgw_store_result *result)
{
	struct owner *owner = arg;
	struct mirror_rig_host *host = owner->host;

	host->listing[owner->number] = false;
	if (result->status != TGW_OK) {
		host->list_needed[owner->number] = true;
		return;
	}
	memset(host->values[owner->number], 0,
	       sizeof(host->values[owner->number]));
	for (size_t i = 0; i < result->entry_count; i++)
		note(owner, &result->entries[i]);
}

static void on_message(void *arg, const struct tgw_peer_message *message)
{
	struct mirror_rig_host *host = arg;

	if (host->mirror)
		store_mirror_on_message(host->mirror, message);
}

void mirror_rig_put_sized(int prefix, int key, int number, size_t size)
{
	static char value[MIRROR_RIG_LARGE_SIZE];
	char name[TGW_NAME_SIZE];

	/* Such bytes can't be compressed. */
	for (size_t i = 0; i < size; i++)
		value[i] = (char)tgw_random_u64(&mirror_rig.fill);
	memcpy(value, &number, sizeof(number));
	snprintf(name, sizeof(name), "%skey-%d", prefixes[prefix], key);
	fake_store_server_put(&mirror_rig.server, name, number ? value : NULL,
			      number ? size : 0);
}

void mirror_rig_put(int prefix, int key, int number)
{
	mirror_rig_put_sized(prefix, key, number, VALUE_SIZE);
}

void mirror_rig_start_host(size_t index)
{
	struct mirror_rig_host *host = &mirror_rig.hosts[index];
	struct store_mirror_settings settings = {
		.prefixes = prefixes,
		.prefix_count = 2,
		.peer = &host->end.peer,
		.apply_us = MIRROR_RIG_APPLY_US,
		.discovery_us = mirror_rig.discovery_us,
		.watch_period_us = FAKE_STORE_WATCH_CALL_US,
	};

	fake_net_restart(&host->end,
			 tgw_random_u64(&mirror_rig.world.random) | 1);
	host->mirror = store_mirror_new(&settings, &host->store.store,
					&mirror_rig.world.clock);
	for (int i = 0; i < 2; i++) {
		struct tgw_store_watcher watcher = {
			.changed = on_changed,
			.lost = on_lost,
			.arg = &owners[index][i],
		};

		owners[index][i] = (struct owner){host, i};
		host->handles[i] = tgw_store_watch(
			store_mirror_store(host->mirror), prefixes[i], watcher);
		host->list_needed[i] = true;
	}
	if (index && !mirror_rig.discovery_us)
		store_mirror_set_relay(host->mirror, "host-0");
}

void mirror_rig_kill_host(size_t index)
{
	struct mirror_rig_host *host = &mirror_rig.hosts[index];

	if (!host->mirror)
		return;
	for (int i = 0; i < 2; i++)
		tgw_store_unwatch(store_mirror_store(host->mirror),
				  host->handles[i]);
	store_mirror_free(host->mirror);
	host->mirror = NULL;
	host->end.up = false;
	memset(host->values, 0, sizeof(host->values));
	memset(host->versions, 0, sizeof(host->versions));
	memset(host->listing, 0, sizeof(host->listing));
	fake_store_reset(&host->store);
}

void mirror_rig_setup_seeded(uint64_t seed)
{
	memset(mirror_rig.hosts, 0, sizeof(mirror_rig.hosts));
	mirror_rig.discovery_us = 0;
	tgw_random_init(&mirror_rig.fill, seed);
	fake_world_init(&mirror_rig.world, seed);
	fake_store_server_init(&mirror_rig.server, &mirror_rig.world);
	fake_net_init(&mirror_rig.net, &mirror_rig.world);
	fake_world_advance(&mirror_rig.world, TGW_US_PER_S);
	mirror_rig_put(0, 0, 1);
	for (size_t i = 0; i < MIRROR_RIG_HOSTS; i++) {
		char name[TGW_NAME_SIZE];

		snprintf(name, sizeof(name), "host-%zu", i);
		fake_store_init(&mirror_rig.hosts[i].store, &mirror_rig.server);
		fake_net_add(&mirror_rig.net, &mirror_rig.hosts[i].end, name, 0,
			     on_message, &mirror_rig.hosts[i]);
		mirror_rig_start_host(i);
	}
}

void mirror_rig_setup(void)
{
	mirror_rig_setup_seeded(1);
}

void mirror_rig_teardown(void)
{
	for (size_t i = 0; i < MIRROR_RIG_HOSTS; i++)
		mirror_rig_kill_host(i);
	fake_world_clear(&mirror_rig.world);
	fake_store_server_clear(&mirror_rig.server);
}

static void run_host(struct mirror_rig_host *host)
{
	for (int i = 0; i < 2; i++) {
		if (!host->list_needed[i] || host->listing[i])
			continue;
		host->list_needed[i] = false;
		host->listing[i] = true;
		tgw_store_list(store_mirror_store(host->mirror), prefixes[i],
			       (struct tgw_store_callback){
				       on_list,
				       &owners[host - mirror_rig.hosts][i]});
	}
	if (mirror_rig.world.now_us < host->tick_us)
		return;
	host->tick_us = mirror_rig.world.now_us + TICK_US;
	store_mirror_tick(host->mirror);
}

void mirror_rig_play_ms(int64_t duration_ms)
{
	int64_t until_us =
		mirror_rig.world.now_us + duration_ms * TGW_US_PER_MS;

	while (mirror_rig.world.now_us < until_us) {
		for (size_t i = 0; i < MIRROR_RIG_HOSTS; i++)
			if (mirror_rig.hosts[i].mirror &&
			    !mirror_rig.hosts[i].hung)
				run_host(&mirror_rig.hosts[i]);
		fake_world_advance(&mirror_rig.world, MIRROR_RIG_STEP_US);
	}
}

void mirror_rig_check_known(int prefix, int key, int number)
{
	for (size_t i = 0; i < MIRROR_RIG_HOSTS; i++)
		if (mirror_rig.hosts[i].mirror && !mirror_rig.hosts[i].hung)
			ck_assert_msg(mirror_rig.hosts[i].values[prefix][key] ==
					      number,
				      "host %zu knows %d of %s%d, not %d", i,
				      mirror_rig.hosts[i].values[prefix][key],
				      prefixes[prefix], key, number);
}

size_t mirror_rig_count_following(void)
{
	size_t count = 0;

	for (size_t i = 1; i < MIRROR_RIG_HOSTS; i++)
		count += mirror_rig.hosts[i].mirror &&
			 store_mirror_follows_relay(mirror_rig.hosts[i].mirror);
	return count;
}
