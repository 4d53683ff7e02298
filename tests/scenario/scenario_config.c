/*
 * Scenario language for configuration and membership. See the .scn files.
 *
 *   hosts NAME@DOMAIN...             starts hosts
 *   teams N                          publishes a template with N teams
 *   publish TEAM BUDGET [N]          publishes a team, N times in a row
 *   publish-broken TEAM              publishes a team whose template is missing
 *   advance TIME                     advances the virtual time
 *   within TIME                      advances until all running hosts have the
 *                                    newest generation, at most TIME; prints
 *                                    whether they have it
 *   show TEAM                        prints what each host has in force, and
 *                                    how often a host applied a generation
 *                                    that was not newer
 *   reads TIME                       advances, and prints the store reads of
 *                                    all hosts together
 *   outage on|off                    the store is unreachable for all hosts
 *   store HOST cut|join              cut: the store is unreachable for one host
 *   watch HOST|all break|mend        break: watches silently deliver no changes
 *   pause HOST, wake HOST, kill HOST, start HOST
 *   group N HOST...                  hosts of different groups do not reach
 *                                    each other
 *   damage manifest|shards [newer]   damages values in the store, or gives them
 *                                    a newer format version
 *   restore                          restores the damaged values
 *   keep, put-back                   saves the manifest of the store; writes
 *                                    the saved one back
 *   rogue HOST older|forged          the host offers the saved manifest, or a
 *                                    forged one, to the others
 */
#include "scenario/scenario.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/buffer.h"
#include "base/text.h"
#include "base/xalloc.h"
#include "fakes/config_fleet.h"
#include "state/config_message.h"

#define STEP_US (100 * TGW_US_PER_MS)
#define NEWER_FORMAT_BYTE 0x7f

struct saved_key {
	char *name;
	uint8_t *value;
	size_t size;
};

static struct config_fleet fleet;
/* Saved by the verb keep, or forged by the verb rogue. */
static struct buffer saved_manifest;
static struct saved_key *saved_keys;
static size_t saved_key_count;

static struct fleet_host *host_of(const struct scenario_step *step, size_t word)
{
	struct fleet_host *host = config_fleet_find(&fleet, step->words[word]);

	if (!host)
		scenario_fail(step, "there is no host '%s'", step->words[word]);
	return host;
}

static bool parse_switch(const struct scenario_step *step, size_t word,
			 const char *on, const char *off)
{
	if (!strcmp(step->words[word], on))
		return true;
	if (strcmp(step->words[word], off) != 0)
		scenario_fail(step, "expected %s or %s", on, off);
	return false;
}

static void run_hosts(void *world, const struct scenario_step *step)
{
	for (size_t i = 1; i < step->word_count; i++) {
		char *at = strchr(step->words[i], '@');

		if (!at)
			scenario_fail(step, "expected NAME@DOMAIN");
		*at = '\0';
		config_fleet_add(&fleet, step->words[i], at + 1);
	}
}

static void run_teams(void *world, const struct scenario_step *step)
{
	config_fleet_publish_teams(&fleet, (size_t)scenario_number(step, 1));
}

static void run_publish(void *world, const struct scenario_step *step)
{
	int64_t times = step->word_count > 3 ? scenario_number(step, 3) : 1;

	for (int64_t i = 0; i < times; i++) {
		char budget[TGW_NAME_SIZE];

		snprintf(budget, sizeof(budget),
			 i + 1 < times ? "%s-%" PRId64 : "%s", step->words[2],
			 i);
		config_fleet_publish_team(&fleet, step->words[1], budget);
	}
}

static void run_advance(void *world, const struct scenario_step *step)
{
	fake_world_advance(&fleet.world, scenario_time_us(step, 1));
}

static void run_within(void *world, const struct scenario_step *step)
{
	int64_t until_us = fleet.world.now_us + scenario_time_us(step, 1);
	size_t up = 0;

	for (size_t i = 0; i < fleet.host_count; i++)
		up += fleet.hosts[i]->up;
	while (config_fleet_count_current(&fleet) < up &&
	       fleet.world.now_us < until_us)
		fake_world_advance(&fleet.world, STEP_US);
	if (config_fleet_count_current(&fleet) < up)
		printf("NOT in force everywhere: %zu of %zu\n",
		       config_fleet_count_current(&fleet), up);
	else
		printf("generation %" PRIu64 " is in force at %zu hosts\n",
		       fleet.manifest.generation, up);
}

static void run_outage(void *world, const struct scenario_step *step)
{
	fake_store_server_set_outage(&fleet.store,
				     parse_switch(step, 1, "on", "off"));
}

static void run_store(void *world, const struct scenario_step *step)
{
	fake_store_set_partitioned(&host_of(step, 1)->store,
				   parse_switch(step, 2, "cut", "join"));
}

static void run_watch(void *world, const struct scenario_step *step)
{
	bool broken = parse_switch(step, 2, "break", "mend");

	if (strcmp(step->words[1], "all") != 0) {
		host_of(step, 1)->store.watch_broken = broken;
		return;
	}
	for (size_t i = 0; i < fleet.host_count; i++)
		fleet.hosts[i]->store.watch_broken = broken;
}

static void run_pause(void *world, const struct scenario_step *step)
{
	fleet_host_set_paused(host_of(step, 1), true);
}

static void run_wake(void *world, const struct scenario_step *step)
{
	fleet_host_set_paused(host_of(step, 1), false);
}

static void run_kill(void *world, const struct scenario_step *step)
{
	fleet_host_kill(host_of(step, 1));
}

static void run_start(void *world, const struct scenario_step *step)
{
	fleet_host_start(host_of(step, 1));
}

static void run_group(void *world, const struct scenario_step *step)
{
	for (size_t i = 2; i < step->word_count; i++)
		host_of(step, i)->end.group = (size_t)scenario_number(step, 1);
}

static void save_key(const struct fake_store_key *key)
{
	saved_keys = xrealloc(saved_keys,
			      (saved_key_count + 1) * sizeof(saved_keys[0]));
	saved_keys[saved_key_count].name = xstrdup(key->name);
	saved_keys[saved_key_count].value =
		xmemdup(key->value, key->value_size);
	saved_keys[saved_key_count++].size = key->value_size;
}

/* Corrupts a byte, or sets a format version that no host supports yet. */
static void damage_key(const struct fake_store_key *key, bool newer)
{
	uint8_t *value = xmemdup(key->value, key->value_size);
	char *name = xstrdup(key->name);

	save_key(key);
	if (newer)
		value[1] = NEWER_FORMAT_BYTE;
	else
		value[key->value_size / 2] ^= 0x55;
	fake_store_server_put(&fleet.store, name, value, key->value_size);
	free(value);
	free(name);
}

static void run_damage(void *world, const struct scenario_step *step)
{
	bool newer = step->word_count > 2;
	bool shards = parse_switch(step, 1, "shards", "manifest");
	const char *prefix = shards ? "tgw/config/shard/" : CONFIG_MANIFEST_KEY;

	for (size_t i = 0; i < fleet.store.key_count; i++) {
		const struct fake_store_key *key = &fleet.store.keys[i];

		if (key->value && !strncmp(key->name, prefix, strlen(prefix)))
			damage_key(key, newer);
	}
}

static void run_restore(void *world, const struct scenario_step *step)
{
	for (size_t i = 0; i < saved_key_count; i++) {
		fake_store_server_put(&fleet.store, saved_keys[i].name,
				      saved_keys[i].value, saved_keys[i].size);
		free(saved_keys[i].name);
		free(saved_keys[i].value);
	}
	saved_key_count = 0;
}

static void run_keep(void *world, const struct scenario_step *step)
{
	const struct fake_store_key *key =
		fake_store_server_find(&fleet.store, CONFIG_MANIFEST_KEY);

	buffer_clear(&saved_manifest);
	buffer_add(&saved_manifest, key->value, key->value_size);
}

static void run_put_back(void *world, const struct scenario_step *step)
{
	fake_store_server_put(&fleet.store, CONFIG_MANIFEST_KEY,
			      saved_manifest.data, saved_manifest.size);
}

/* A rogue host replies to all configuration messages with saved_manifest. */
static void rogue_receive(void *arg, const struct tgw_peer_message *message)
{
	struct fleet_host *host = arg;
	struct config_message answer = {
		.kind = CONFIG_MANIFEST,
		.value = saved_manifest.data,
		.value_size = saved_manifest.size,
	};
	msgpack_sbuffer payload;

	if (message->topic == TGW_PEER_MEMBERSHIP) {
		tgw_membership_on_message(host->membership, message);
		return;
	}
	if (message->topic != TGW_PEER_CONFIG)
		return;
	msgpack_sbuffer_init(&payload);
	config_message_encode(&answer, &payload);
	tgw_peer_send(&host->end.peer, message->from_host, TGW_PEER_CONFIG,
		      payload.data, payload.size);
	msgpack_sbuffer_destroy(&payload);
}

/* Composes the next generation as the operators' tool does, but does not write
 * it to the store. */
static void forge_manifest(void)
{
	struct tgw_team team = {
		.name = "a",
		.template_name = "staff",
		.budget = "stolen",
	};
	struct config_object *object = config_object_from_team(&team, NULL);
	struct config_change_list list = {0};
	struct audit_entry audit = {.who = "mallory"};
	struct config_commit commit;
	msgpack_sbuffer value;

	config_change_list_add(
		&list, config_set_find(&fleet.objects, CONFIG_TEAM, "a"),
		object);
	config_commit_prepare(&commit, &fleet.manifest, &fleet.objects, &list,
			      &audit, NULL);
	msgpack_sbuffer_init(&value);
	config_manifest_encode(&commit.manifest, &value);
	buffer_clear(&saved_manifest);
	buffer_add(&saved_manifest, value.data, value.size);
	msgpack_sbuffer_destroy(&value);
	config_commit_clear(&commit);
	config_change_list_clear(&list);
	config_object_unref(object);
}

static void run_rogue(void *world, const struct scenario_step *step)
{
	struct fleet_host *host = host_of(step, 1);

	if (parse_switch(step, 2, "forged", "older"))
		forge_manifest();
	host->end.receive = rogue_receive;
	fake_store_end_operations(&host->store);
	tgw_config_follower_free(host->follower);
	host->follower = NULL;
	tgw_membership_set_self(host->membership, false,
				fleet.manifest.generation + 1);
}

/* Publishes without validation, as a faulty tool might. */
static void run_publish_broken(void *world, const struct scenario_step *step)
{
	struct tgw_team team = {.template_name = "none", .budget = "b"};
	struct config_change_list list = {0};
	struct config_object *object;

	text_copy(team.name, sizeof(team.name), step->words[1]);
	object = config_object_from_team(&team, NULL);
	config_change_list_add(
		&list, config_set_find(&fleet.objects, CONFIG_TEAM, team.name),
		object);
	config_fleet_publish(&fleet, &list);
	config_object_unref(object);
}

static void run_reads(void *world, const struct scenario_step *step)
{
	uint64_t before = fleet.store.reads;

	fake_world_advance(&fleet.world, scenario_time_us(step, 1));
	printf("%" PRIu64 " reads\n", fleet.store.reads - before);
}

static void run_show(void *world, const struct scenario_step *step)
{
	for (size_t i = 0; i < fleet.host_count; i++) {
		const struct fleet_host *host = fleet.hosts[i];
		const struct tgw_team *team = NULL;

		if (!host->up || !host->config) {
			printf("%s %s\n", host->end.name,
			       host->up ? "has none" : "is down");
			continue;
		}
		team = tgw_config_find_team(host->config, step->words[1]);
		printf("%s generation %" PRIu64 " %s%s%s\n", host->end.name,
		       host->config->generation, team ? team->budget : "-",
		       host->refusal[0] ? ", refused: " : "", host->refusal);
	}
	printf("reverted %" PRIu64 "\n", fleet.reverted);
}

static const struct scenario_verb verbs[] = {
	{"hosts", 1, 20, run_hosts},
	{"teams", 1, 1, run_teams},
	{"publish", 2, 3, run_publish},
	{"advance", 1, 1, run_advance},
	{"within", 1, 1, run_within},
	{"outage", 1, 1, run_outage},
	{"store", 2, 2, run_store},
	{"watch", 2, 2, run_watch},
	{"pause", 1, 1, run_pause},
	{"wake", 1, 1, run_wake},
	{"kill", 1, 1, run_kill},
	{"start", 1, 1, run_start},
	{"group", 2, 20, run_group},
	{"damage", 1, 2, run_damage},
	{"restore", 0, 0, run_restore},
	{"keep", 0, 0, run_keep},
	{"put-back", 0, 0, run_put_back},
	{"rogue", 2, 2, run_rogue},
	{"publish-broken", 1, 1, run_publish_broken},
	{"reads", 1, 1, run_reads},
	{"show", 1, 1, run_show},
	{NULL, 0, 0, NULL},
};

int main(int argc, char **argv)
{
	int result;

	if (argc != 2) {
		fprintf(stderr, "usage: %s FILE\n", argv[0]);
		return 2;
	}
	config_fleet_init(&fleet, 5, true);
	result = scenario_run(argv[1], verbs, NULL);
	config_fleet_clear(&fleet);
	buffer_free(&saved_manifest);
	for (size_t i = 0; i < saved_key_count; i++) {
		free(saved_keys[i].name);
		free(saved_keys[i].value);
	}
	free(saved_keys);
	return result;
}
