#include "fakes/config_fleet.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "base/xalloc.h"

#define DEFAULT_LIST_INTERVAL_US (5 * TGW_US_PER_S)
#define DRAIN_US (10 * TGW_US_PER_S)
#define START_WALL_US (INT64_C(1700000000) * TGW_US_PER_S)

struct timer {
	struct fleet_host *host;
	uint64_t start_count;
};

static bool is_stale(const struct timer *timer)
{
	return !timer->host->up ||
	       timer->host->start_count != timer->start_count;
}

static void run_after(struct fleet_host *host, int64_t delay_us,
		      void (*run)(void *arg), struct timer *timer)
{
	if (!timer) {
		timer = xcalloc(1, sizeof(*timer));
		timer->host = host;
		timer->start_count = host->start_count;
	}
	fake_world_after_or_release(&host->fleet->world, delay_us, run, free,
				    timer);
}

static void on_tick(void *arg)
{
	struct timer *timer = arg;
	struct fleet_host *host = timer->host;
	int64_t now_us = host->fleet->world.now_us;
	int64_t due_us;
	int64_t config_due_us;

	if (is_stale(timer)) {
		free(timer);
		return;
	}
	if (host->paused) {
		run_after(host, 100 * TGW_US_PER_MS, on_tick, timer);
		return;
	}
	due_us = tgw_membership_tick(host->membership);
	if (host->follower) {
		config_due_us = tgw_config_follower_tick(host->follower);
		if (config_due_us < due_us)
			due_us = config_due_us;
	}
	if (due_us < now_us + TGW_US_PER_MS)
		due_us = now_us + TGW_US_PER_MS;
	run_after(host, due_us - now_us, on_tick, timer);
}

static void on_list_due(void *arg)
{
	struct timer *timer = arg;
	struct fleet_host *host = timer->host;
	struct config_fleet *fleet = host->fleet;

	if (is_stale(timer)) {
		free(timer);
		return;
	}
	if (!host->paused)
		tgw_membership_on_list(host->membership, fleet->listed,
				       fleet->listed_count);
	run_after(host, fleet->list_interval_us, on_list_due, timer);
}

static void on_view(void *arg, const struct tgw_host_view *view)
{
	struct fleet_host *host = arg;

	if (host->follower)
		tgw_config_follower_set_hosts(host->follower, view);
}

static void on_in_force(void *arg, struct tgw_config_snapshot *config)
{
	struct fleet_host *host = arg;
	struct config_fleet *fleet = host->fleet;

	fleet->reverted += config->generation <= host->last_generation;
	host->last_generation = config->generation;
	if (host->first_config_us < 0)
		host->first_config_us = fleet->world.now_us;
	tgw_config_snapshot_free(host->config);
	host->config = config;
	tgw_membership_set_self(host->membership, false, config->generation);
	if (fleet->in_force)
		fleet->in_force(fleet->arg, host, config->generation);
}

static void on_refused(void *arg, uint64_t generation, const char *reason)
{
	struct fleet_host *host = arg;

	host->refused++;
	text_copy(host->refusal, sizeof(host->refusal), reason);
}

static void on_message(void *arg, const struct tgw_peer_message *message)
{
	struct fleet_host *host = arg;

	if (message->topic == TGW_PEER_MEMBERSHIP)
		tgw_membership_on_message(host->membership, message);
	else if (message->topic == TGW_PEER_CONFIG && host->follower)
		tgw_config_follower_on_message(host->follower, message);
}

static void start_follower(struct fleet_host *host)
{
	struct tgw_config_follower_env env = {
		.clock = &host->fleet->world.clock,
		.store = &host->store.store,
		.peer = &host->end.peer,
		.random_seed = host->incarnation,
		.in_force = on_in_force,
		.refused = on_refused,
		.arg = host,
	};

	host->follower = tgw_config_follower_new(
		&env, tgw_membership_view(host->membership));
}

void fleet_host_start(struct fleet_host *host)
{
	struct config_fleet *fleet = host->fleet;
	struct tgw_membership_env env = fleet->membership_env;

	host->incarnation = tgw_random_u64(&fleet->world.random) | 1;
	host->start_count++;
	host->up = true;
	host->paused = false;
	/* A host stores no configuration across restarts. */
	host->last_generation = 0;
	host->started_us = fleet->world.now_us;
	host->first_config_us = -1;
	fake_net_restart(&host->end, host->incarnation);
	env.clock = &fleet->world.clock;
	env.peer = &host->end.peer;
	env.random_seed = host->incarnation;
	text_copy(env.self.name, sizeof(env.self.name), host->end.name);
	text_copy(env.self.failure_domain, sizeof(env.self.failure_domain),
		  host->domain);
	env.self.incarnation = host->incarnation;
	env.changed = on_view;
	env.arg = host;
	host->membership = tgw_membership_new(&env);
	if (fleet->follows_config)
		start_follower(host);
	run_after(host, 0, on_list_due, NULL);
	run_after(
		host,
		(int64_t)tgw_random_below(&fleet->world.random,
					  (uint64_t)env.heartbeat_interval_us),
		on_tick, NULL);
}

void fleet_host_kill(struct fleet_host *host)
{
	if (!host->up)
		return;
	host->up = false;
	host->end.up = false;
	fake_store_end_operations(&host->store);
	tgw_config_follower_free(host->follower);
	host->follower = NULL;
	host->store.paused = false;
	host->store.watch_broken = false;
	tgw_membership_free(host->membership);
	host->membership = NULL;
	tgw_config_snapshot_free(host->config);
	host->config = NULL;
}

void fleet_host_set_paused(struct fleet_host *host, bool paused)
{
	host->paused = paused;
	host->end.paused = paused;
	host->store.paused = paused;
}

enum tgw_host_state fleet_host_sees(const struct fleet_host *host,
				    const char *name)
{
	const struct tgw_host *seen =
		tgw_host_view_find(tgw_membership_view(host->membership), name);

	return seen ? seen->state : TGW_HOST_GONE;
}

void config_fleet_init(struct config_fleet *fleet, uint64_t seed,
		       bool follows_config)
{
	memset(fleet, 0, sizeof(*fleet));
	fake_world_init(&fleet->world, seed);
	fake_net_init(&fleet->net, &fleet->world);
	fake_store_server_init(&fleet->store, &fleet->world);
	fleet->follows_config = follows_config;
	fleet->list_interval_us = DEFAULT_LIST_INTERVAL_US;
	fleet->membership_env = tgw_membership_env_default();
}

void config_fleet_clear(struct config_fleet *fleet)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		fleet_host_kill(fleet->hosts[i]);
	/* Operations in flight complete and free their data. */
	fake_world_advance(&fleet->world, DRAIN_US);
	fake_world_clear(&fleet->world);
	fake_store_server_clear(&fleet->store);
	for (size_t i = 0; i < fleet->host_count; i++)
		free(fleet->hosts[i]);
	config_set_clear(&fleet->objects);
	config_manifest_clear(&fleet->manifest);
}

struct fleet_host *config_fleet_find(struct config_fleet *fleet,
				     const char *name)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		if (!strcmp(fleet->hosts[i]->end.name, name))
			return fleet->hosts[i];
	return NULL;
}

void config_fleet_set_listed(struct config_fleet *fleet, const char *name,
			     bool listed, bool leaving)
{
	struct fleet_host *host = config_fleet_find(fleet, name);
	struct tgw_listed_host *entry;
	size_t at = 0;

	while (at < fleet->listed_count &&
	       strcmp(fleet->listed[at].name, name) != 0)
		at++;
	if (!listed) {
		if (at < fleet->listed_count)
			fleet->listed[at] =
				fleet->listed[--fleet->listed_count];
		return;
	}
	entry = &fleet->listed[at];
	if (at == fleet->listed_count)
		fleet->listed_count++;
	memset(entry, 0, sizeof(*entry));
	text_copy(entry->name, sizeof(entry->name), name);
	if (host)
		text_copy(entry->failure_domain, sizeof(entry->failure_domain),
			  host->domain);
	entry->leaving = leaving;
}

void config_fleet_send_list(struct config_fleet *fleet)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		if (fleet->hosts[i]->up && !fleet->hosts[i]->paused)
			tgw_membership_on_list(fleet->hosts[i]->membership,
					       fleet->listed,
					       fleet->listed_count);
}

struct fleet_host *config_fleet_add(struct config_fleet *fleet,
				    const char *name, const char *domain)
{
	struct fleet_host *host = xcalloc(1, sizeof(*host));

	assert(fleet->host_count < CONFIG_FLEET_HOSTS_MAX);
	host->fleet = fleet;
	text_copy(host->domain, sizeof(host->domain), domain);
	fake_store_init(&host->store, &fleet->store);
	fake_net_add(&fleet->net, &host->end, name, 0, on_message, host);
	fleet->hosts[fleet->host_count++] = host;
	config_fleet_set_listed(fleet, name, true, false);
	fleet_host_start(host);
	return host;
}

/* @return the store calls that the operators' tool makes for a change */
static uint64_t count_calls(const struct config_fleet *fleet,
			    const struct config_change_list *list,
			    const struct config_commit *commit)
{
	/* The operators' keys and the manifest are read, and the manifest is
	 * swapped. */
	uint64_t calls = 3;

	for (uint32_t i = 0; i < CONFIG_SHARD_COUNT; i++)
		calls += config_commit_needs_shard(&fleet->manifest, list, i);
	return calls + commit->write_count + 2 * commit->retired_count;
}

void config_fleet_publish(struct config_fleet *fleet,
			  struct config_change_list *list)
{
	struct audit_entry audit = {
		.who = "ana",
		.reason = "test",
		.wall_us = START_WALL_US + fleet->world.now_us,
	};
	struct config_commit commit;
	struct tgw_error error;
	msgpack_sbuffer value;

	if (config_commit_prepare(&commit, &fleet->manifest, &fleet->objects,
				  list, &audit, &error) != TGW_OK) {
		fprintf(stderr, "cannot prepare the configuration change: %s\n",
			error.message);
		abort();
	}
	fleet->operator_calls += count_calls(fleet, list, &commit);
	for (size_t i = 0; i < commit.write_count; i++)
		fake_store_server_put(&fleet->store, commit.writes[i].key,
				      commit.writes[i].value,
				      commit.writes[i].value_size);
	msgpack_sbuffer_init(&value);
	config_manifest_encode(&commit.manifest, &value);
	fleet->manifest_bytes += value.size;
	assert(commit.manifest.generation < CONFIG_FLEET_GENERATIONS_MAX);
	fleet->accepted_us[commit.manifest.generation] = fleet->world.now_us;
	fake_store_server_put(&fleet->store, CONFIG_MANIFEST_KEY, value.data,
			      value.size);
	for (size_t i = 0; i < commit.retired_count; i++)
		fake_store_server_put(&fleet->store, commit.retired[i], NULL,
				      0);
	config_manifest_clear(&fleet->manifest);
	if (config_manifest_decode(&fleet->manifest, value.data, value.size,
				   &error) != TGW_OK ||
	    config_change_list_apply(list, &fleet->objects, &error) != TGW_OK) {
		fprintf(stderr,
			"cannot apply the published configuration: %s\n",
			error.message);
		abort();
	}
	msgpack_sbuffer_destroy(&value);
	config_commit_clear(&commit);
	config_change_list_clear(list);
}

static void add_put(const struct config_fleet *fleet,
		    struct config_change_list *list,
		    struct config_object *object)
{
	config_change_list_add(list,
			       config_set_find(&fleet->objects, object->kind,
					       object->name),
			       object);
	config_object_unref(object);
}

static void add_template(const struct config_fleet *fleet,
			 struct config_change_list *list)
{
	struct tgw_template template = {
		.name = "staff",
		.models = {.count = 1, .names = {"m-large"}},
		.work_kind_count = 1,
		.work_kinds = {{"answer", TGW_URGENCY_HIGH, 20000}},
		.max_output_tokens = 1000,
		.max_open_requests = 10,
	};

	add_put(fleet, list, config_object_from_template(&template));
}

static void add_team(const struct config_fleet *fleet,
		     struct config_change_list *list, const char *name,
		     const char *budget)
{
	struct tgw_team team = {.template_name = "staff", .key_count = 1};

	text_copy(team.name, sizeof(team.name), name);
	text_copy(team.budget, sizeof(team.budget), budget);
	tgw_key_hash(name, strlen(name), team.key_hashes[0]);
	add_put(fleet, list, config_object_from_team(&team, NULL));
}

void config_fleet_publish_team(struct config_fleet *fleet, const char *team,
			       const char *budget)
{
	struct config_change_list list = {0};

	if (!config_set_find(&fleet->objects, CONFIG_TEMPLATE, "staff"))
		add_template(fleet, &list);
	add_team(fleet, &list, team, budget);
	config_fleet_publish(fleet, &list);
}

void config_fleet_publish_teams(struct config_fleet *fleet, size_t count)
{
	struct config_change_list list = {0};

	add_template(fleet, &list);
	for (size_t i = 0; i < count; i++) {
		char name[TGW_NAME_SIZE];

		snprintf(name, sizeof(name), "team-%05zu", i);
		add_team(fleet, &list, name, name);
	}
	config_fleet_publish(fleet, &list);
}

size_t config_fleet_count_current(const struct config_fleet *fleet)
{
	size_t count = 0;

	for (size_t i = 0; i < fleet->host_count; i++)
		count += fleet->hosts[i]->up && fleet->hosts[i]->config &&
			 fleet->hosts[i]->config->generation ==
				 fleet->manifest.generation;
	return count;
}
