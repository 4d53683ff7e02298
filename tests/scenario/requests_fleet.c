#include "scenario/requests_fleet.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define TICK_US (INT64_C(10) * TGW_US_PER_MS)
#define START_US TGW_US_PER_S
#define CLAIM_BUCKETS 4

void fleet_print_time(const struct fleet *fleet)
{
	int64_t since_us = fleet->world.now_us - START_US;

	printf("[%d.%03ds] ", (int)(since_us / TGW_US_PER_S),
	       (int)(since_us % TGW_US_PER_S / TGW_US_PER_MS));
}

struct fleet_host *fleet_host_find(struct fleet *fleet,
				   const struct scenario_step *step,
				   size_t word)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		if (!strcmp(fleet->hosts[i].name, step->words[word]))
			return &fleet->hosts[i];
	scenario_fail(step, "there is no host '%s'", step->words[word]);
}

int64_t fleet_option(const struct scenario_step *step, const char *name,
		     const char *fallback)
{
	return strtoll(scenario_option(step, name, fallback), NULL, 10);
}

static void receive(void *arg, const struct tgw_peer_message *message)
{
	struct fleet_host *host = arg;

	if (message->topic == TGW_PEER_CLAIM)
		tgw_claim_on_message(host->claims, message);
	else if (message->topic == TGW_PEER_QUARANTINE)
		tgw_quarantine_on_message(host->quarantine, message);
}

static void tick(void *arg)
{
	struct fleet_host *host = arg;

	if (host->up && !host->paused) {
		tgw_claim_tick(host->claims);
		tgw_quarantine_tick(host->quarantine);
		tgw_router_tick(host->router);
	}
	if (host->fleet->host_count)
		fake_world_after(&host->fleet->world, TICK_US, tick, host);
}

static void start_agents(struct fleet_host *host)
{
	struct fleet *fleet = host->fleet;
	struct tgw_claim_env claims = tgw_claim_env_default();
	struct tgw_quarantine_env quarantine = tgw_quarantine_env_default();
	struct tgw_router_env router = {
		.clock = &fleet->world.clock,
		.failure_domain =
			host->seen[host->view.self_index].failure_domain,
		.random_seed = host->incarnation,
	};

	claims.clock = &fleet->world.clock;
	claims.store = &host->store.store;
	claims.peer = &host->end.peer;
	claims.bucket_count = CLAIM_BUCKETS;
	quarantine.clock = claims.clock;
	quarantine.store = claims.store;
	quarantine.peer = claims.peer;
	host->claims = tgw_claim_agent_new(&claims, &host->view);
	host->quarantine = tgw_quarantine_new(&quarantine, &host->view);
	host->router = tgw_router_new(&router);
	if (fleet->config.server_count)
		tgw_router_set_config(host->router, &fleet->config);
}

static void stop_agents(struct fleet_host *host)
{
	tgw_claim_agent_free(host->claims);
	tgw_quarantine_free(host->quarantine);
	tgw_router_free(host->router);
}

void fleet_host_set_view(struct fleet_host *host)
{
	host->view.version++;
	if (!host->up)
		return;
	tgw_claim_set_hosts(host->claims, &host->view);
	tgw_quarantine_set_hosts(host->quarantine, &host->view);
}

static void add_host(struct fleet *fleet, const char *word)
{
	struct fleet_host *host = &fleet->hosts[fleet->host_count];
	const char *domain = strchr(word, ':') + 1;

	host->fleet = fleet;
	host->view.hosts = host->seen;
	host->view.self_index = fleet->host_count++;
	host->incarnation = ++fleet->next_incarnation;
	host->up = true;
	snprintf(host->name, sizeof(host->name), "%.*s",
		 (int)(domain - 1 - word), word);
	for (size_t i = 0; i < FLEET_HOSTS_MAX; i++) {
		struct tgw_host *seen =
			&fleet->hosts[i].seen[host->view.self_index];

		snprintf(seen->name, sizeof(seen->name), "%.*s",
			 (int)(domain - 1 - word), word);
		snprintf(seen->failure_domain, sizeof(seen->failure_domain),
			 "%s", domain);
		seen->incarnation = host->incarnation;
	}
}

static void do_fleet(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;

	fake_world_init(&fleet->world, (uint64_t)scenario_number(step, 1));
	fake_store_server_init(&fleet->store, &fleet->world);
	fake_net_init(&fleet->net, &fleet->world);
	for (size_t i = 2; i < step->word_count; i++)
		add_host(fleet, step->words[i]);
	for (size_t i = 0; i < fleet->host_count; i++) {
		struct fleet_host *host = &fleet->hosts[i];

		host->view.host_count = fleet->host_count;
		fake_store_init(&host->store, &fleet->store);
		fake_net_add(&fleet->net, &host->end, host->name,
			     host->incarnation, receive, host);
		start_agents(host);
		tick(host);
	}
}

static void do_advance(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;

	fake_world_advance(&fleet->world, scenario_time_us(step, 1));
}

static enum tgw_host_state parse_state(const struct scenario_step *step,
				       size_t word)
{
	static const char *const names[] = {"alive", "silent", "leaving",
					    "gone"};

	for (int i = 0; i < 4; i++)
		if (!strcmp(names[i], step->words[word]))
			return (enum tgw_host_state)i;
	scenario_fail(step, "'%s' is not a host state", step->words[word]);
}

/* see HOST STATE: sets the state in which all other hosts see HOST; they also
 * learn its current incarnation. */
static void do_see(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;
	struct fleet_host *seen = fleet_host_find(fleet, step, 1);
	size_t at = seen->view.self_index;

	for (size_t i = 0; i < fleet->host_count; i++) {
		struct fleet_host *host = &fleet->hosts[i];

		if (host == seen)
			continue;
		host->seen[at].state = parse_state(step, 2);
		host->seen[at].incarnation = seen->incarnation;
		fleet_host_set_view(host);
	}
}

/* group NUMBER HOST...: hosts of different groups do not reach each other. */
static void do_group(void *world, const struct scenario_step *step)
{
	for (size_t i = 2; i < step->word_count; i++)
		fleet_host_find(world, step, i)->end.group =
			(size_t)scenario_number(step, 1);
}

static void do_cut_store(void *world, const struct scenario_step *step)
{
	for (size_t i = 1; i < step->word_count; i++)
		fake_store_set_partitioned(
			&fleet_host_find(world, step, i)->store, true);
}

static void do_heal_store(void *world, const struct scenario_step *step)
{
	for (size_t i = 1; i < step->word_count; i++)
		fake_store_set_partitioned(
			&fleet_host_find(world, step, i)->store, false);
}

static void do_outage(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;

	fake_store_server_set_outage(&fleet->store,
				     !strcmp(step->words[1], "on"));
}

static void do_lose_answer(void *world, const struct scenario_step *step)
{
	fleet_host_find(world, step, 1)->store.lose_answers++;
}

static void do_lose_request(void *world, const struct scenario_step *step)
{
	fleet_host_find(world, step, 1)->store.lose_requests++;
}

/* net [lose=N] [double=N] [jitter_ms=N] [latency_ms=N]: how many of 1000
 * messages are lost and duplicated, the maximum random delay, and the delay of
 * all. */
static void do_net(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;

	fleet->net.loss_per_1000 = (uint32_t)fleet_option(step, "lose", "0");
	fleet->net.duplicate_per_1000 =
		(uint32_t)fleet_option(step, "double", "0");
	fleet->net.jitter_us =
		fleet_option(step, "jitter_ms", "0") * TGW_US_PER_MS;
	fleet->net.latency_us =
		fleet_option(step, "latency_ms", "1") * TGW_US_PER_MS;
}

static void set_paused(struct fleet_host *host, bool paused)
{
	host->paused = paused;
	host->store.paused = paused;
	host->end.paused = paused;
}

static void do_pause(void *world, const struct scenario_step *step)
{
	set_paused(fleet_host_find(world, step, 1), true);
}

static void do_resume(void *world, const struct scenario_step *step)
{
	set_paused(fleet_host_find(world, step, 1), false);
}

static void do_kill(void *world, const struct scenario_step *step)
{
	struct fleet_host *host = fleet_host_find(world, step, 1);

	host->up = false;
	host->end.up = false;
	fake_store_reset(&host->store);
	stop_agents(host);
}

static void do_restart(void *world, const struct scenario_step *step)
{
	struct fleet_host *host = fleet_host_find(world, step, 1);

	host->incarnation = ++host->fleet->next_incarnation;
	host->seen[host->view.self_index].incarnation = host->incarnation;
	host->up = true;
	host->paused = false;
	fake_net_restart(&host->end, host->incarnation);
	start_agents(host);
}

const struct scenario_verb fleet_verbs[] = {
	{"fleet", 2, FLEET_HOSTS_MAX + 1, do_fleet},
	{"advance", 1, 1, do_advance},
	{"see", 2, 2, do_see},
	{"group", 2, FLEET_HOSTS_MAX + 1, do_group},
	{"cut-store", 1, FLEET_HOSTS_MAX, do_cut_store},
	{"heal-store", 1, FLEET_HOSTS_MAX, do_heal_store},
	{"outage", 1, 1, do_outage},
	{"lose-answer", 1, 1, do_lose_answer},
	{"lose-request", 1, 1, do_lose_request},
	{"net", 0, 4, do_net},
	{"pause", 1, 1, do_pause},
	{"resume", 1, 1, do_resume},
	{"kill", 1, 1, do_kill},
	{"restart", 1, 1, do_restart},
	{NULL, 0, 0, NULL},
};
