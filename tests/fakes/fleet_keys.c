#include "fakes/fleet_keys.h"

#include <string.h>

/* As the edge's. */
#define TICK_US (100 * TGW_US_PER_MS)
#define DISCOVERY_US (2500 * TGW_US_PER_MS)
#define APPLY_US (2 * TGW_US_PER_S)

#define SERVERS_PREFIX "servers/"

static bool decode_server(const uint8_t *value, size_t size,
			  struct backend_entry *entry)
{
	(void)value;
	(void)size;
	(void)entry;
	return false;
}

static void on_removed(void *arg, const char *id, const char *reason)
{
	(void)arg;
	(void)id;
	(void)reason;
}

static void on_outage(void *arg)
{
	(void)arg;
}

static void on_called(void *arg, bool answered)
{
	struct fleet_keys *keys = arg;

	team_budget_set_store_unreachable(keys->budgets, !answered);
}

void fleet_keys_fill(struct fake_store_server *server)
{
	fake_store_server_put(server, SERVERS_PREFIX "none", "-", 1);
}

void fleet_keys_start(struct fleet_keys *keys, struct tgw_store *store,
		      const struct tgw_clock *clock, struct tgw_peer *peer,
		      struct team_budget *budgets)
{
	static const char *const prefixes[] = {SERVERS_PREFIX};
	struct store_mirror_settings settings = {
		.prefixes = prefixes,
		.prefix_count = 1,
		.peer = peer,
		.apply_us = APPLY_US,
		.discovery_us = DISCOVERY_US,
		.called = on_called,
		.arg = keys,
	};
	struct backend_follower_events events = {
		.decode = decode_server,
		.removed = on_removed,
		.store_outage_start = on_outage,
		.store_outage_end = on_outage,
		.arg = keys,
	};

	memset(keys, 0, sizeof(*keys));
	keys->budgets = budgets;
	keys->mirror = store_mirror_new(&settings, store, clock);
	keys->follower = backend_follower_new(SERVERS_PREFIX,
					      store_mirror_store(keys->mirror),
					      clock, &keys->table, &events);
}

void fleet_keys_stop(struct fleet_keys *keys)
{
	if (!keys->mirror)
		return;
	backend_follower_free(keys->follower);
	store_mirror_free(keys->mirror);
	keys->mirror = NULL;
}

void fleet_keys_tick(struct fleet_keys *keys, int64_t now_us)
{
	if (!keys->mirror || now_us < keys->due_us)
		return;
	keys->due_us = now_us + TICK_US;
	store_mirror_tick(keys->mirror);
	team_budget_note_version(keys->budgets,
				 store_mirror_version(keys->mirror));
	backend_follower_tick(keys->follower);
}
