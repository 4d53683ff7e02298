#include "fakes/budget_faults.h"

#include <check.h>
#include <string.h>

#include "fakes/budget_rig.h"

#define RUN_US (9 * TGW_US_PER_S)
#define REQUEST_TOKENS 1000
#define PAUSE_US (5 * TGW_US_PER_S)
#define CUT_US (4 * TGW_US_PER_S)
#define SHORT_DOWN_US (500 * TGW_US_PER_MS)
#define LIFE_US (300 * TGW_US_PER_MS)
#define LONG_DOWN_US (2500 * TGW_US_PER_MS)

/* A run has some hundred messages. */
#define MESSAGES_PER_POINT 8

/* What becomes of a host after a fault. */
struct recovery {
	int64_t start_us; /* 0: nothing is due */
	int64_t heal_us;
	int64_t kill_us;
	int64_t power_us;
};

static struct recovery recoveries[BUDGET_RIG_HOSTS];
static int64_t outage_until_us;

static int64_t now_us(void)
{
	return budget_rig.world.now_us;
}

static void kill_host(size_t index, int64_t down_us)
{
	if (!budget_rig.hosts[index].budgets)
		return;
	budget_rig_kill_host(&budget_rig.hosts[index]);
	recoveries[index].start_us = now_us() + down_us;
}

static void lose_power(size_t index, int64_t behind_us)
{
	if (!budget_rig.hosts[index].budgets)
		return;
	budget_rig_power_off_host(&budget_rig.hosts[index], behind_us);
	recoveries[index].start_us = now_us() + SHORT_DOWN_US;
}

static void top_up(void)
{
	budget_rig.paid_in_tokens += 50000;
	for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++)
		if (budget_rig.hosts[i].budgets)
			team_budget_raise_paid_in(budget_rig.hosts[i].budgets,
						  BUDGET_RIG_TEAM,
						  budget_rig.paid_in_tokens);
}

static void cut_host(size_t index)
{
	fake_store_set_partitioned(&budget_rig.hosts[index].store, true);
	recoveries[index].heal_us = now_us() + CUT_US;
}

static void set_messages(size_t index, bool sends_nothing,
			 bool receives_nothing)
{
	struct fake_net_end *end = &budget_rig.hosts[index].end;

	end->sends_nothing = sends_nothing;
	end->receives_nothing = receives_nothing;
	recoveries[index].heal_us = now_us() + CUT_US;
}

static void apply(const struct budget_fault *fault)
{
	struct budget_rig_host *host = &budget_rig.hosts[fault->host];

	switch (fault->kind) {
	case BUDGET_FAULT_LOSE_RESPONSE:
		host->store.lose_answers = 1;
		break;
	case BUDGET_FAULT_LOSE_REQUEST:
		host->store.lose_requests = 1;
		break;
	case BUDGET_FAULT_LOSE_THREE_RESPONSES:
		host->store.lose_answers = 3;
		break;
	case BUDGET_FAULT_KILL:
		kill_host(fault->host, SHORT_DOWN_US);
		break;
	case BUDGET_FAULT_KILL_AND_STAY_DOWN:
		kill_host(fault->host, LONG_DOWN_US);
		break;
	case BUDGET_FAULT_KILL_ALL:
		for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++)
			kill_host(i, SHORT_DOWN_US);
		break;
	case BUDGET_FAULT_LOSE_POWER:
		lose_power(fault->host, SHORT_DOWN_US);
		break;
	case BUDGET_FAULT_CUT_AND_LOSE_POWER:
		cut_host(fault->host);
		recoveries[fault->host].power_us = now_us() + CUT_US;
		break;
	case BUDGET_FAULT_KILL_TWICE:
		kill_host(fault->host, SHORT_DOWN_US);
		recoveries[fault->host].kill_us =
			now_us() + SHORT_DOWN_US + LIFE_US;
		break;
	case BUDGET_FAULT_CUT:
		cut_host(fault->host);
		break;
	case BUDGET_FAULT_CUT_AND_KILL:
		cut_host(fault->host);
		recoveries[fault->host].kill_us = now_us() + CUT_US / 2;
		break;
	case BUDGET_FAULT_PAUSE:
		host->store.paused = true;
		recoveries[fault->host].heal_us = now_us() + PAUSE_US;
		break;
	case BUDGET_FAULT_STOP:
		if (host->budgets)
			team_budget_close(host->budgets);
		break;
	case BUDGET_FAULT_OUTAGE:
		fake_store_server_set_outage(&budget_rig.server, true);
		outage_until_us = now_us() + CUT_US;
		break;
	case BUDGET_FAULT_TOP_UP:
		top_up();
		break;
	case BUDGET_FAULT_DEAF:
		set_messages(fault->host, false, true);
		break;
	case BUDGET_FAULT_MUTE:
		set_messages(fault->host, true, false);
		break;
	case BUDGET_FAULT_ISOLATE:
		set_messages(fault->host, true, true);
		break;
	case BUDGET_FAULT_KIND_COUNT:
		break;
	}
}

static bool is_due(int64_t *at_us)
{
	if (!*at_us || now_us() < *at_us)
		return false;
	*at_us = 0;
	return true;
}

static void recover(size_t index)
{
	struct budget_rig_host *host = &budget_rig.hosts[index];
	struct recovery *recovery = &recoveries[index];

	if (is_due(&recovery->kill_us))
		kill_host(index, SHORT_DOWN_US);
	/* By its new clock the host seems to have been cut off just now. */
	if (is_due(&recovery->power_us))
		lose_power(index, CUT_US);
	if (is_due(&recovery->heal_us)) {
		host->store.paused = false;
		fake_store_set_partitioned(&host->store, false);
		host->end.sends_nothing = false;
		host->end.receives_nothing = false;
	}
	if (host->budgets && host->closed)
		kill_host(index, SHORT_DOWN_US);
	if (is_due(&recovery->start_us) && !host->budgets)
		budget_rig_start_host(host);
}

static void spend(struct budget_rig_host *host)
{
	if (!host->budgets || host->store.paused)
		return;
	if (budget_rig_open_request(host, REQUEST_TOKENS) != TGW_OK)
		return;
	/* Some requests stay open for a step. */
	if (host->open_count > 1)
		budget_rig_end_request(host, REQUEST_TOKENS);
}

static uint64_t operations(void)
{
	return budget_rig.server.reads + budget_rig.server.writes +
	       budget_rig.net.messages / MESSAGES_PER_POINT;
}

static void step(struct budget_fault *faults, size_t count)
{
	for (size_t i = 0; i < count; i++) {
		if (faults[i].done || operations() < faults[i].point)
			continue;
		faults[i].done = true;
		apply(&faults[i]);
	}
	if (is_due(&outage_until_us))
		fake_store_server_set_outage(&budget_rig.server, false);
	for (size_t i = 0; i < BUDGET_RIG_HOSTS; i++) {
		recover(i);
		spend(&budget_rig.hosts[i]);
	}
	budget_rig_advance(BUDGET_RIG_STEP_US);
}

void budget_faults_run(struct budget_fault *faults, size_t count, uint64_t seed,
		       const char *what, uint64_t number)
{
	if (seed)
		budget_rig_setup_with_peers(seed);
	else
		budget_rig_setup();
	memset(recoveries, 0, sizeof(recoveries));
	outage_until_us = 0;
	while (now_us() < RUN_US) {
		step(faults, count);
		ck_assert_msg(budget_rig_charged_tokens() <=
				      budget_rig.paid_in_tokens,
			      "%s %llu: %lld spent of %lld", what,
			      (unsigned long long)number,
			      (long long)budget_rig_charged_tokens(),
			      (long long)budget_rig.paid_in_tokens);
	}
	budget_rig_teardown();
}
