#include "soak/lost_play.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>

#include "base/xalloc.h"
#include "soak/lost_caller.h"
#include "soak/lost_config.h"
#include "soak/lost_report.h"
#include "soak/lost_server.h"

#define TICK_MS 10
#define WARM_UP_US (4 * SOAK_US_PER_S)
#define CALLERS_PER_HOST 12
#define SERVERS 3
/* Mean time between two actions. */
#define ACTION_INTERVAL_MS 700
/* Changes come in storms, so that there are times without one to compare. */
#define STORM_US (5 * SOAK_US_PER_S)
#define QUIET_US (9 * SOAK_US_PER_S)
#define CHANGE_MIN_MS 60
#define CHANGE_SPREAD_MS 400
#define PAUSE_MIN_MS 500
#define PAUSE_SPREAD_MS 1500
#define LONG_PAUSE_SPREAD_MS 2000
#define LONG_PAUSE_EVERY 3
#define SERIES_SPREAD_MS 1500
/* A host that is short of processor time runs this long, and then waits. */
#define SLICE_MIN_MS 8
#define SLICE_SPREAD_MS 17
#define WAIT_MIN_MS 20
#define WAIT_SPREAD_MS 70
#define SHORT_MIN_US (2 * SOAK_US_PER_S)
#define SHORT_SPREAD_US (4 * SOAK_US_PER_S)
#define STOP_US ((SOAK_KILL_AFTER_S + 3) * SOAK_US_PER_S)

struct lost_action {
	const char *name;
	unsigned int weight;
	void (*begin)(struct lost_host *host);
};

/* A host that gets the processor in slices. */
struct slicer {
	uv_timer_t timer;
	struct lost_host *host;
	int64_t until_us;
	bool waits;
};

static struct soak *soak;
static struct lost_host *hosts;
static struct lost_caller *callers;
static struct slicer *slicers;
static struct lost_server *servers[SERVERS];
static struct lost_config config = {
	.idle_ms = 2500,
	.timeout_ms = 8000,
	.prepaid_tokens = 1000000000,
};
static int64_t next_action_us;
static int64_t next_change_us;
static int64_t storm_until_us;
static int64_t next_storm_us;

static unsigned int below(unsigned int bound)
{
	return (unsigned int)tgw_random_below(&soak->random, bound);
}

static void plan(struct lost_host *host, enum lost_work work)
{
	lost_judge_plan(&host->judge, work, soak_now_us());
}

static void write_config(void)
{
	for (size_t i = 0; i < soak->host_count; i++)
		plan(&hosts[i], LOST_CHANGE);
	lost_config_write(soak, &config);
}

static void change_idle_limit(void)
{
	static const int limits_ms[] = {500, 1000, 1500, 2500, 4000};

	config.idle_ms =
		limits_ms[below(sizeof(limits_ms) / sizeof(limits_ms[0]))];
}

static void change_timeout(void)
{
	config.timeout_ms = 5000 + (int)below(5) * 1000;
}

static void change_weights(void)
{
	config.second_percent = below(60);
}

static void change_routes(void)
{
	config.extra_routes = below(2) ? 0 : 100 + below(700);
}

static void change_teams(void)
{
	config.extra_teams = below(200);
}

static void change_quota(void)
{
	config.prepaid_tokens += 1000;
}

static void (*const changes[])(void) = {
	change_idle_limit, change_idle_limit, change_timeout, change_weights,
	change_routes,	   change_teams,      change_quota,
};

static void play_change(void)
{
	int64_t now_us = soak_now_us();

	if (now_us >= next_storm_us) {
		storm_until_us = now_us + STORM_US;
		next_storm_us = storm_until_us + QUIET_US;
		soak_note(soak, "storm of changes");
	}
	if (now_us >= storm_until_us || now_us < next_change_us)
		return;
	changes[below(sizeof(changes) / sizeof(changes[0]))]();
	write_config();
	next_change_us =
		now_us + (int64_t)(CHANGE_MIN_MS + below(CHANGE_SPREAD_MS)) *
				 SOAK_US_PER_MS;
}

static void reload(struct lost_host *host)
{
	soak_host_touch_settings(host->host);
	plan(host, LOST_RELOAD);
	soak_host_signal(host->host, SIGHUP);
}

static void stop(struct lost_host *host)
{
	if (!host->host->pid)
		return;
	/* A second signal begins no new time of grace. */
	if (!host->host->stop_us)
		plan(host, LOST_STOP);
	soak_host_signal(host->host, SIGTERM);
}

static void stop_some(struct lost_host *host)
{
	for (size_t i = 0; i < soak->host_count; i++)
		if (below(2))
			stop(&hosts[i]);
}

static unsigned int choose_pause_ms(void)
{
	unsigned int spread_ms = PAUSE_SPREAD_MS;

	if (!below(LONG_PAUSE_EVERY))
		spread_ms += LONG_PAUSE_SPREAD_MS;
	return PAUSE_MIN_MS + below(spread_ms);
}

static void pause_server(struct lost_host *host)
{
	lost_server_pause(servers[below(SERVERS)], choose_pause_ms());
}

/* Spends the budget of retries. */
static void pause_servers(struct lost_host *host)
{
	for (unsigned int i = 0; i < SERVERS; i++)
		lost_server_pause(servers[i], choose_pause_ms());
}

static void on_slice(uv_timer_t *timer)
{
	struct slicer *slicer = timer->data;
	const struct soak_host *host = slicer->host->host;
	bool ends = soak_now_us() >= slicer->until_us;

	slicer->waits = !ends && !slicer->waits;
	if (host->pid)
		kill(host->pid, slicer->waits ? SIGSTOP : SIGCONT);
	if (ends)
		return;
	uv_timer_start(timer, on_slice,
		       slicer->waits ? WAIT_MIN_MS + below(WAIT_SPREAD_MS)
				     : SLICE_MIN_MS + below(SLICE_SPREAD_MS),
		       0);
}

static void make_slow(struct lost_host *host)
{
	struct slicer *slicer = &slicers[host - hosts];

	slicer->until_us =
		soak_now_us() + SHORT_MIN_US + below(SHORT_SPREAD_US);
	if (!uv_is_active((uv_handle_t *)&slicer->timer))
		on_slice(&slicer->timer);
}

static const struct lost_action actions[] = {
	{"reload", 4, reload},
	{"stop", 2, stop},
	{"stop-some", 1, stop_some},
	{"server-silent", 4, pause_server},
	{"servers-silent", 4, pause_servers},
	{"short-of-processor", 5, make_slow},
};

#define ACTIONS (sizeof(actions) / sizeof(actions[0]))

static const struct lost_action *choose_action(void)
{
	unsigned int total = 0;
	unsigned int at;
	size_t i;

	for (i = 0; i < ACTIONS; i++)
		total += actions[i].weight;
	at = below(total);
	for (i = 0; at >= actions[i].weight; i++)
		at -= actions[i].weight;
	return &actions[i];
}

static void play_action(void)
{
	const struct lost_action *action;
	struct lost_host *host;

	if (soak_now_us() < next_action_us)
		return;
	action = choose_action();
	host = &hosts[below((unsigned int)soak->host_count)];
	soak_note(soak, "%s %s", action->name, host->host->name);
	action->begin(host);
	next_action_us =
		soak_now_us() + below(2 * ACTION_INTERVAL_MS) * SOAK_US_PER_MS;
}

static bool hosts_are_gone(void)
{
	for (size_t i = 0; i < soak->host_count; i++)
		if (soak->hosts[i].pid)
			return false;
	return true;
}

static void stop_all(void)
{
	soak->ending = true;
	soak_note(soak, "planned stop of all hosts");
	for (size_t i = 0; i < soak->host_count; i++) {
		slicers[i].until_us = 0;
		stop(&hosts[i]);
	}
}

static void on_tick(uv_timer_t *timer)
{
	const int64_t *end_us = timer->data;
	int64_t now_us = soak_now_us();

	soak_record_stall(soak);
	for (size_t i = 0; i < soak->host_count; i++)
		soak_host_poll(&soak->hosts[i]);
	for (size_t i = 0; i < soak->host_count * CALLERS_PER_HOST; i++)
		lost_caller_poll(&callers[i]);
	if (now_us < soak->begun_us + WARM_UP_US)
		return;
	if (now_us < *end_us) {
		play_change();
		play_action();
	} else if (!soak->ending) {
		stop_all();
	} else if (hosts_are_gone() || now_us > *end_us + STOP_US) {
		uv_stop(&soak->loop);
	}
}

static void start_callers(void)
{
	size_t count = soak->host_count * CALLERS_PER_HOST;

	hosts = xcalloc(soak->host_count, sizeof(*hosts));
	slicers = xcalloc(soak->host_count, sizeof(*slicers));
	callers = xcalloc(count, sizeof(*callers));
	for (size_t i = 0; i < soak->host_count; i++) {
		hosts[i].host = &soak->hosts[i];
		hosts[i].judge.grace_us = SOAK_KILL_AFTER_S * SOAK_US_PER_S;
		slicers[i].host = &hosts[i];
		uv_timer_init(&soak->loop, &slicers[i].timer);
		slicers[i].timer.data = &slicers[i];
	}
	for (size_t i = 0; i < count; i++)
		lost_caller_start(&callers[i], soak,
				  &hosts[i / CALLERS_PER_HOST]);
}

void lost_play_run(struct soak *played, int64_t seconds)
{
	static const char *const services[SERVERS] = {"app", "app", "second"};
	int64_t end_us = soak_now_us() + WARM_UP_US + seconds * SOAK_US_PER_S;
	size_t i;

	soak = played;
	lost_config_write(soak, &config);
	for (i = 0; i < SERVERS; i++)
		servers[i] = lost_server_start(soak, (unsigned int)i,
					       services[i], 20 + below(40));
	soak_hosts_start(soak);
	start_callers();
	uv_timer_init(&soak->loop, &soak->tick);
	soak->tick.data = &end_us;
	uv_timer_start(&soak->tick, on_tick, TICK_MS, TICK_MS);
	uv_run(&soak->loop, UV_RUN_DEFAULT);
	for (i = 0; i < soak->host_count; i++) {
		lost_report_host(&hosts[i]);
		lost_judge_free(&hosts[i].judge);
	}
}
