#include "fakes/budget_rig.h"

#include <check.h>
#include <stdio.h>
#include <string.h>

#include "tamarackgw/random.h"

/* Of a host when the rig starts. */
#define FIRST_UPTIME_US (1000 * TGW_US_PER_S)

struct budget_rig budget_rig;

static void on_changed(void *arg)
{
	((struct budget_rig_host *)arg)->changes++;
}

static void on_failed(void *arg, const char *call, enum tgw_status status,
		      const char *message)
{
	((struct budget_rig_host *)arg)->failures++;
}

static void on_written(void *arg, const struct team_budget_write *write)
{
	ck_assert_uint_gt(write->value_bytes, 0);
	ck_assert_int_ge(write->view_age_us, write->duration_us);
	if (write->status != TGW_CONFLICT)
		return;
	ck_assert_uint_gt(write->conflicts, 0);
	((struct budget_rig_host *)arg)->conflicts++;
}

static void on_closed(void *arg)
{
	((struct budget_rig_host *)arg)->closed = true;
}

static void on_message(void *arg, const struct tgw_peer_message *message)
{
	struct budget_rig_host *host = arg;

	if (host->budgets && !host->store.paused)
		team_budget_on_message(host->budgets, message);
}

static int64_t clock_us(const struct tgw_clock *clock)
{
	return budget_rig.world.now_us +
	       ((const struct budget_rig_clock *)clock)->offset_us;
}

static const struct tgw_clock_ops clock_ops = {
	.monotonic_us = clock_us,
	.wall_us = clock_us,
};

void budget_rig_start_host_with_keys(struct budget_rig_host *host,
				     uint32_t keys)
{
	struct team_budget_settings settings = {
		.key_count = keys,
		.boot = host->boot,
		.policy = {.ride_out_s = 25,
			   .hold_fraction = 0.9,
			   .loss_fraction = 1.0,
			   .host_count = BUDGET_RIG_HOSTS},
	};
	struct team_budget_events events = {
		.changed = on_changed,
		.failed = on_failed,
		.written = on_written,
		.closed = on_closed,
		.arg = host,
	};

	size_t index = (size_t)(host - budget_rig.hosts);
	uint64_t incarnation = tgw_random_u64(&budget_rig.world.random) | 1;

	snprintf(settings.host, sizeof(settings.host), "host-%zu", index);
	if (budget_rig.has_peers) {
		settings.peer = &host->end.peer;
		memcpy(settings.failure_domain,
		       budget_rig.peers[index].failure_domain,
		       sizeof(settings.failure_domain));
		fake_net_restart(&host->end, incarnation);
	}
	if (!host->clock.clock.ops) {
		host->clock.clock.ops = &clock_ops;
		host->clock.offset_us = FIRST_UPTIME_US;
	}
	host->closed = false;
	host->open_count = 0;
	host->budgets = team_budget_new(&settings, &host->store.store,
					&host->clock.clock, incarnation,
					&events);
	if (budget_rig.has_peers)
		team_budget_set_hosts(host->budgets, budget_rig.peers,
				      BUDGET_RIG_HOSTS);
	team_budget_raise_paid_in(host->budgets, BUDGET_RIG_TEAM,
				  budget_rig.paid_in_tokens);
}

void budget_rig_start_host(struct budget_rig_host *host)
{
	budget_rig_start_host_with_keys(host, 1);
}

void budget_rig_kill_host(struct budget_rig_host *host)
{
	/* Open requests may have been delivered at their full bound. */
	for (size_t i = 0; i < host->open_count; i++)
		budget_rig.spent_tokens += host->open_tokens[i];
	team_budget_free(host->budgets);
	host->budgets = NULL;
	host->end.up = false;
	fake_store_reset(&host->store);
}

void budget_rig_power_off_host(struct budget_rig_host *host, int64_t behind_us)
{
	budget_rig_kill_host(host);
	host->boot++;
	host->clock.offset_us -= behind_us;
}

void budget_rig_advance(int64_t delay_us)
{
	int64_t until_us = budget_rig.world.now_us + delay_us;

	while (budget_rig.world.now_us < until_us) {
		for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++)
			if (budget_rig.hosts[i].budgets)
				team_budget_tick(budget_rig.hosts[i].budgets);
		fake_world_advance(&budget_rig.world, BUDGET_RIG_STEP_US);
	}
}

static void install_peer(size_t index)
{
	struct peer_host *peer = &budget_rig.peers[index];
	struct budget_rig_host *host = &budget_rig.hosts[index];

	snprintf(peer->name, sizeof(peer->name), "host-%zu", index);
	snprintf(peer->failure_domain, sizeof(peer->failure_domain),
		 "domain-%zu", index % BUDGET_RIG_DOMAINS);
	peer->memory_mb = (int64_t)(BUDGET_RIG_HOSTS - index);
	fake_net_add(&budget_rig.net, &host->end, peer->name, 0, on_message,
		     host);
}

static void setup(uint64_t seed, bool has_peers)
{
	memset(&budget_rig, 0, sizeof(budget_rig));
	fake_world_init(&budget_rig.world, seed);
	fake_store_server_init(&budget_rig.server, &budget_rig.world);
	fake_net_init(&budget_rig.net, &budget_rig.world);
	budget_rig.has_peers = has_peers;
	budget_rig.paid_in_tokens = BUDGET_RIG_PAID_TOKENS;
	for (size_t i = 0; has_peers && i < BUDGET_RIG_HOSTS; i++)
		install_peer(i);
	for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++) {
		fake_store_init(&budget_rig.hosts[i].store, &budget_rig.server);
		budget_rig.hosts[i].boot = 1;
		budget_rig_start_host(&budget_rig.hosts[i]);
	}
}

void budget_rig_setup(void)
{
	setup(1, false);
}

void budget_rig_setup_with_peers(uint64_t seed)
{
	setup(seed, true);
	budget_rig.net.loss_per_1000 = 100;
	budget_rig.net.duplicate_per_1000 = 200;
	budget_rig.net.jitter_us = 40 * TGW_US_PER_MS;
	budget_rig.net.late_per_1000 = 50;
	budget_rig.net.late_us = 6 * TGW_US_PER_S;
	budget_rig.net.delivers_to_successors = true;
}

void budget_rig_teardown(void)
{
	for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++) {
		if (budget_rig.hosts[i].budgets)
			budget_rig_kill_host(&budget_rig.hosts[i]);
	}
	fake_world_clear(&budget_rig.world);
	fake_store_server_clear(&budget_rig.server);
}

enum tgw_status budget_rig_open_request(struct budget_rig_host *host,
					int64_t tokens)
{
	enum tgw_status status;

	if (host->open_count == BUDGET_RIG_OPEN_REQUESTS)
		return TGW_BUSY;
	team_budget_record_demand(host->budgets, BUDGET_RIG_TEAM, tokens, 0);
	status = team_budget_reserve(host->budgets, BUDGET_RIG_TEAM, tokens, 0);
	if (status == TGW_OK)
		host->open_tokens[host->open_count++] = tokens;
	return status;
}

void budget_rig_end_request(struct budget_rig_host *host, int64_t cost_tokens)
{
	int64_t reserved = host->open_tokens[--host->open_count];

	if (cost_tokens > reserved)
		cost_tokens = reserved;
	team_budget_settle(host->budgets, BUDGET_RIG_TEAM, reserved,
			   cost_tokens);
	budget_rig.spent_tokens += cost_tokens;
}

int64_t budget_rig_limit_of(const struct budget_rig_host *host)
{
	struct team_budget_view view;

	ck_assert(team_budget_get_view(host->budgets, BUDGET_RIG_TEAM, &view));
	return view.limit_tokens;
}

int64_t budget_rig_charged_tokens(void)
{
	int64_t tokens = budget_rig.spent_tokens;

	for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++)
		for (size_t j = 0; j < budget_rig.hosts[i].open_count; j++)
			if (budget_rig.hosts[i].budgets)
				tokens += budget_rig.hosts[i].open_tokens[j];
	return tokens;
}
