#include "fakes/team_fleet.h"

#include <check.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "state/budget_pool_codec.h"

struct team_fleet team_fleet;

/* A host has been up for a random time when it is first seen. */
#define MAX_UPTIME_US (100000 * TGW_US_PER_S)

static void on_changed(void *arg)
{
	((struct team_fleet_host *)arg)->notified = true;
}

static void on_rescheduled(void *arg, int64_t due_us)
{
	struct team_fleet_host *host = arg;

	if (due_us < host->due_us)
		host->due_us = due_us;
}

static void on_closed(void *arg)
{
	((struct team_fleet_host *)arg)->closed = true;
}

static void on_message(void *arg, const struct tgw_peer_message *message)
{
	struct team_fleet_host *host = arg;

	if (host->budgets && message->topic == TGW_PEER_TRANSFER)
		team_budget_on_message(host->budgets, message);
	else if (host->keys.mirror && message->topic == TGW_PEER_CHANGES)
		store_mirror_on_message(host->keys.mirror, message);
}

static void on_relay_changed(void *arg, const char *relay, const char *reason)
{
	struct team_fleet_host *host = arg;

	(void)reason;
	if (host->keys.mirror)
		store_mirror_set_relay(host->keys.mirror,
				       strcmp(relay, host->end.name) ? relay
								     : "");
}

static int64_t host_clock_us(const struct tgw_clock *clock)
{
	const struct team_fleet_clock *own =
		(const struct team_fleet_clock *)clock;

	return own->booted_at_us + team_fleet.world.now_us;
}

static int64_t host_wall_us(const struct tgw_clock *clock)
{
	return team_fleet.world.now_us;
}

static const struct tgw_clock_ops host_clock_ops = {
	.monotonic_us = host_clock_us,
	.wall_us = host_wall_us,
};

static void boot(struct team_fleet_host *host)
{
	struct tgw_random random;

	host->boot++;
	tgw_random_init(&random,
			(uint64_t)(host - team_fleet.hosts) << 32 | host->boot);
	host->clock.clock.ops = &host_clock_ops;
	host->clock.booted_at_us =
		(int64_t)tgw_random_below(&random, MAX_UPTIME_US);
}

static const struct team_account_policy default_policy = {
	.ride_out_s = 12,
	.hold_fraction = 0.5,
	.loss_fraction = 0.35,
	.host_count = 8,
};

void team_fleet_start_host(struct team_fleet_host *host)
{
	struct team_budget_settings settings = {
		.key_count = team_fleet.settings.key_count,
		.boot = host->boot,
		.policy = team_fleet.settings.policy
				  ? *team_fleet.settings.policy
				  : default_policy,
	};
	struct team_budget_events events = {
		.changed = on_changed,
		.rescheduled = on_rescheduled,
		.relay_changed = on_relay_changed,
		.closed = on_closed,
		.arg = host,
	};

	size_t index = (size_t)(host - team_fleet.hosts);

	snprintf(settings.host, sizeof(settings.host), "host-%zu", index);
	host->process = tgw_random_u64(&team_fleet.world.random) | 1;
	host->closed = false;
	if (team_fleet.settings.domain_count) {
		memcpy(settings.failure_domain,
		       team_fleet.peers[index].failure_domain,
		       sizeof(settings.failure_domain));
		settings.peer = &host->end.peer;
		fake_net_restart(&host->end, host->process);
	}
	host->budgets = team_budget_new(&settings, &host->store.store,
					&host->clock.clock, host->process,
					&events);
	host->due_us = 0;
	if (team_fleet.settings.follows_keys)
		fleet_keys_start(&host->keys, &host->store.store,
				 &host->clock.clock, settings.peer,
				 host->budgets);
	if (settings.peer)
		team_budget_set_hosts(host->budgets, team_fleet.peers,
				      team_fleet.settings.host_count);
	for (int i = 0; i < team_fleet.settings.team_count; i++)
		team_budget_raise_paid_in(host->budgets,
					  team_fleet.team_names[i],
					  team_fleet.settings.paid_tokens);
}

static void drop_waiting(struct team_fleet_host *host)
{
	while (host->waiting) {
		struct team_fleet_request *request = host->waiting;

		host->waiting = request->next;
		free(request);
	}
}

void team_fleet_kill_host(struct team_fleet_host *host)
{
	drop_waiting(host);
	fleet_keys_stop(&host->keys);
	team_budget_free(host->budgets);
	host->budgets = NULL;
	host->end.up = false;
	fake_store_reset(&host->store);
}

static void for_each_host(void (*run)(struct team_fleet_host *host))
{
	for (size_t i = 0; i < team_fleet.settings.host_count; i++)
		run(&team_fleet.hosts[i]);
}

/* The first hosts are the largest. */
static void install_peer(size_t index)
{
	struct peer_host *peer = &team_fleet.peers[index];
	struct team_fleet_host *host = &team_fleet.hosts[index];

	snprintf(peer->name, sizeof(peer->name), "host-%zu", index);
	snprintf(peer->failure_domain, sizeof(peer->failure_domain),
		 "domain-%zu", index % team_fleet.settings.domain_count);
	peer->memory_mb = (int64_t)(TEAM_FLEET_MAX_HOSTS - index);
	fake_net_add(&team_fleet.net, &host->end, peer->name, 0, on_message,
		     host);
}

static void install_host(struct team_fleet_host *host)
{
	int64_t (*link)(size_t) = team_fleet.settings.link_bytes_per_s;

	fake_store_init(&host->store, &team_fleet.server);
	if (link)
		host->store.link_bytes_per_s =
			link((size_t)(host - team_fleet.hosts));
	boot(host);
	team_fleet_start_host(host);
}

void team_fleet_start(const struct team_fleet_settings *settings, uint64_t seed)
{
	memset(&team_fleet, 0, sizeof(team_fleet));
	team_fleet.settings = *settings;
	fake_world_init(&team_fleet.world, seed);
	fake_store_server_init(&team_fleet.server, &team_fleet.world);
	fake_net_init(&team_fleet.net, &team_fleet.world);
	if (settings->follows_keys)
		fleet_keys_fill(&team_fleet.server);
	for (size_t i = 0; settings->domain_count && i < settings->host_count;
	     i++)
		install_peer(i);
	for (int i = 0; i < settings->team_count; i++)
		snprintf(team_fleet.team_names[i],
			 sizeof(team_fleet.team_names[i]), "team-%d", i);
	for_each_host(install_host);
}

void team_fleet_stop(void)
{
	for_each_host(team_fleet_kill_host);
	fake_world_clear(&team_fleet.world);
	fake_store_server_clear(&team_fleet.server);
}

static void finish_request(void *arg)
{
	struct team_fleet_request *request = arg;
	struct team_fleet_host *host = request->host;

	if (host->budgets && host->process == request->process)
		team_budget_settle(host->budgets,
				   team_fleet.team_names[request->team],
				   team_fleet.settings.request_tokens,
				   team_fleet.settings.request_tokens);
	free(request);
}

static void refuse(struct team_fleet_request *request)
{
	team_fleet.tallies[request->team].waited_us +=
		team_fleet.world.now_us - request->arrived_us;
	free(request);
}

/* @return whether the request no longer waits */
static bool try_request(struct team_fleet_request *request)
{
	struct team_fleet_tally *tally = &team_fleet.tallies[request->team];

	switch (team_budget_reserve(
		request->host->budgets, team_fleet.team_names[request->team],
		team_fleet.settings.request_tokens, request->rank)) {
	case TGW_OK:
		tally->served++;
		tally->urgent_served += !request->rank;
		tally->spent_tokens += team_fleet.settings.request_tokens;
		fake_world_after_or_release(&team_fleet.world,
					    TEAM_FLEET_SERVICE_US,
					    finish_request, free, request);
		return true;
	case TGW_BUSY:
		if (team_fleet.world.now_us - request->arrived_us <
		    TEAM_FLEET_MAX_WAIT_US)
			return false;
		refuse(request);
		return true;
	default:
		refuse(request);
		return true;
	}
}

static void retry_waiting(struct team_fleet_host *host)
{
	struct team_fleet_request **link = &host->waiting;

	if (!host->notified)
		return;
	host->notified = false;
	while (*link) {
		struct team_fleet_request *request = *link;
		struct team_fleet_request *next = request->next;

		if (try_request(request))
			*link = next;
		else
			link = &request->next;
	}
}

static void give_up_waiting(struct team_fleet_host *host)
{
	struct team_fleet_request **link = &host->waiting;

	while (*link) {
		struct team_fleet_request *request = *link;

		if (team_fleet.world.now_us - request->arrived_us <
		    TEAM_FLEET_MAX_WAIT_US) {
			link = &request->next;
			continue;
		}
		*link = request->next;
		refuse(request);
	}
}

static struct team_fleet_host *host_of(int team)
{
	const struct team_fleet_settings *settings = &team_fleet.settings;

	if (settings->choose_host)
		return &team_fleet.hosts[settings->choose_host(
			team, team_fleet.world.now_us,
			&team_fleet.world.random)];
	if (team < settings->one_host_team_count)
		return &team_fleet.hosts[settings->first_one_team_host +
					 (size_t)team];
	return &team_fleet.hosts[tgw_random_below(&team_fleet.world.random,
						  settings->host_count)];
}

static int32_t random_rank(void)
{
	if (!team_fleet.settings.rank_count)
		return 0;
	return (int32_t)tgw_random_below(
		&team_fleet.world.random,
		(uint64_t)team_fleet.settings.rank_count);
}

static void send_request(int team)
{
	struct team_fleet_request *request;
	struct team_fleet_host *host = host_of(team);

	team_fleet.tallies[team].asked++;
	if (!host->budgets)
		return;
	request = xcalloc(1, sizeof(*request));
	request->host = host;
	request->process = host->process;
	request->team = team;
	request->arrived_us = team_fleet.world.now_us;
	request->rank = random_rank();
	team_fleet.tallies[team].urgent_asked += !request->rank;
	team_budget_record_demand(host->budgets, team_fleet.team_names[team],
				  team_fleet.settings.request_tokens,
				  request->rank);
	if (try_request(request))
		return;
	request->next = host->waiting;
	host->waiting = request;
}

static uint64_t requests_per_s(int team)
{
	if (team_fleet.settings.rate)
		return team_fleet.settings.rate(team, team_fleet.world.now_us);
	return team_fleet.settings.requests_per_s;
}

static void send_requests(void)
{
	const uint64_t steps_per_s = TGW_US_PER_S / TEAM_FLEET_STEP_US;

	for (int team = 0; team < team_fleet.settings.team_count; team++)
		if (tgw_random_below(&team_fleet.world.random, steps_per_s) <
		    requests_per_s(team))
			send_request(team);
}

static void tick(struct team_fleet_host *host)
{
	fleet_keys_tick(&host->keys,
			tgw_clock_monotonic_us(&host->clock.clock));
	if (tgw_clock_monotonic_us(&host->clock.clock) < host->due_us)
		return;
	host->due_us = INT64_MAX;
	on_rescheduled(host, team_budget_tick(host->budgets));
}

void team_fleet_play(int64_t duration_us, bool has_traffic)
{
	int64_t until_us = team_fleet.world.now_us + duration_us;

	while (team_fleet.world.now_us < until_us) {
		if (has_traffic)
			send_requests();
		for (size_t i = 0; i < team_fleet.settings.host_count; i++) {
			if (!team_fleet.hosts[i].budgets)
				continue;
			retry_waiting(&team_fleet.hosts[i]);
			give_up_waiting(&team_fleet.hosts[i]);
			tick(&team_fleet.hosts[i]);
		}
		fake_world_advance(&team_fleet.world, TEAM_FLEET_STEP_US);
	}
}

static void play_down(int64_t down_us, bool loses_power)
{
	for_each_host(team_fleet_kill_host);
	if (loses_power)
		for_each_host(boot);
	team_fleet_play(down_us, true);
	for_each_host(team_fleet_start_host);
}

void team_fleet_kill_all(int64_t down_us)
{
	play_down(down_us, false);
}

void team_fleet_power_off_all(int64_t down_us)
{
	play_down(down_us, true);
}

void team_fleet_set_outage(bool outage)
{
	fake_store_server_set_outage(&team_fleet.server, outage);
	for (size_t i = 0; i < team_fleet.settings.host_count; i++) {
		if (team_fleet.hosts[i].budgets)
			team_budget_set_store_unreachable(
				team_fleet.hosts[i].budgets, outage);
		team_fleet_play(TEAM_FLEET_NOTICE_US /
					(int64_t)team_fleet.settings.host_count,
				true);
	}
}

struct team_fleet_host *team_fleet_relay(size_t domain)
{
	return &team_fleet.hosts[domain];
}

uint64_t team_fleet_store_calls(void)
{
	return team_fleet.server.reads + team_fleet.server.writes;
}

void team_fleet_reset_tallies(void)
{
	for (int i = 0; i < team_fleet.settings.team_count; i++) {
		team_fleet.tallies[i].asked = 0;
		team_fleet.tallies[i].served = 0;
		team_fleet.tallies[i].urgent_asked = 0;
		team_fleet.tallies[i].urgent_served = 0;
		team_fleet.tallies[i].waited_us = 0;
	}
}

int64_t team_fleet_served_percent(void)
{
	int64_t asked = 0;
	int64_t served = 0;

	for (int i = 0; i < team_fleet.settings.team_count; i++) {
		asked += team_fleet.tallies[i].asked;
		served += team_fleet.tallies[i].served;
	}
	return asked ? served * 100 / asked : 100;
}

void team_fleet_check_no_overspending(void)
{
	for (int i = 0; i < team_fleet.settings.team_count; i++)
		ck_assert_int_le(team_fleet.tallies[i].spent_tokens,
				 team_fleet.settings.paid_tokens);
}

int64_t team_fleet_overspent_tokens(void)
{
	int64_t tokens = 0;

	for (int i = 0; i < team_fleet.settings.team_count; i++)
		if (team_fleet.tallies[i].spent_tokens >
		    team_fleet.settings.paid_tokens)
			tokens += team_fleet.tallies[i].spent_tokens -
				  team_fleet.settings.paid_tokens;
	return tokens;
}

static int64_t left_of(const struct team_fleet_host *host, int team)
{
	struct team_budget_view view;

	if (!host->budgets ||
	    !team_budget_get_view(host->budgets, team_fleet.team_names[team],
				  &view))
		return 0;
	return view.limit_tokens - view.settled_tokens - view.reserved_tokens -
	       view.given_tokens;
}

static int64_t free_tokens(int team)
{
	const char *name = team_fleet.team_names[team];
	char key[LEDGER_KEY_SIZE];
	const struct fake_store_key *entry;
	struct budget_pool pool;
	const struct pooled_budget *budget;
	int64_t tokens = team_fleet.settings.paid_tokens;

	ledger_bucket_key(key, ledger_bucket_of(name,
						team_fleet.settings.key_count));
	entry = fake_store_server_find(&team_fleet.server, key);
	if (!entry)
		return tokens;
	if (budget_pool_codec_decode(&pool, entry->value, entry->value_size,
				     NULL) != TGW_OK)
		abort();
	budget = budget_pool_find(&pool, name);
	if (budget)
		tokens = pooled_budget_free_tokens(budget);
	budget_pool_clear(&pool);
	return tokens;
}

int64_t team_fleet_stranded_tokens(void)
{
	int64_t tokens = 0;

	for (int team = 0; team < team_fleet.settings.team_count; team++) {
		tokens += team_fleet.settings.paid_tokens -
			  team_fleet.tallies[team].spent_tokens -
			  free_tokens(team);
		for (size_t i = 0; i < team_fleet.settings.host_count; i++)
			tokens -= left_of(&team_fleet.hosts[i], team);
	}
	return tokens;
}
