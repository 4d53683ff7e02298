#include "edge/edge_followers.h"

#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "edge/backend_pool.h"
#include "edge/boot_identity.h"
#include "edge/call.h"
#include "edge/crash_check.h"
#include "edge/edge_callers.h"
#include "edge/edge_clock.h"
#include "edge/edge_peers.h"
#include "edge/server_signals.h"
#include "edge/server_warmup.h"
#include "state/request_fingerprint.h"

/* A starting host watches the store by itself if it has no relay by then. */
#define PEER_DISCOVERY_US (2500 * TGW_US_PER_MS)
/* The store removes a server's entry after so many heartbeats without one. */
#define MISSED_HEARTBEATS 3

static void set_limits(struct edge *edge, const struct route_limits *changed)
{
	struct server_limits limits = edge->limits;

	limits.head_bytes = changed->head_bytes;
	limits.body_bytes = changed->body_bytes;
	limits.head_ms = changed->head_ms;
	limits.idle_ms = changed->idle_ms;
	edge_callers_set_limits(edge, &limits);
}

static void log_remarks(struct edge *edge, const struct route_set *set)
{
	const struct config_remarks *remarks = &set->remarks;
	size_t kept = config_remarks_kept(remarks);

	for (size_t i = 0; i < kept; i++) {
		const struct config_remark *remark = &remarks->kept[i];

		edge_log_line(&edge->log, EDGE_LOG_STATE, "config",
			      "not_as_written",
			      "version=%lld member=\"%s\" written=\"%s\" "
			      "in_force=\"%s\"",
			      (long long)set->version, remark->member,
			      remark->written, remark->in_force);
	}
	if (kept < remarks->count)
		edge_log_line(&edge->log, EDGE_LOG_STATE, "config",
			      "not_as_written", "version=%lld more_members=%zu",
			      (long long)set->version, remarks->count - kept);
}

/* A team that no server can be told runs nothing and needs no budget. */
static void raise_budget(struct edge *edge, const struct route_team *team)
{
	if (team->whole_name && team->paid_in_tokens != ROUTE_TEAM_NO_BUDGET)
		team_budget_raise_paid_in(edge->budgets, team->name,
					  team->paid_in_tokens);
}

static void on_routes(void *arg, const struct route_set *set)
{
	struct edge *edge = arg;

	free(edge->config_refusal);
	edge->config_refusal = NULL;
	set_limits(edge, &set->limits);
	server_warmup_on_routes(edge, set);
	for (size_t i = 0; i < set->team_count; i++)
		raise_budget(edge, &set->teams[i]);
	edge_log_line(&edge->log, EDGE_LOG_STATE, "config", "in_force",
		      "version=%lld routes=%zu services=%zu teams=%zu keys=%zu "
		      "not_as_written=%zu",
		      (long long)set->version, set->route_count,
		      set->service_count, set->team_count, set->key_count,
		      set->remarks.count);
	log_remarks(edge, set);
}

static void on_routes_refused(void *arg, const char *reason)
{
	struct edge *edge = arg;
	const struct route_set *set = route_follower_set(edge->route_follower);

	free(edge->config_refusal);
	edge->config_refusal = xstrdup(reason);
	edge->counters.configs_refused++;
	edge_log_line(&edge->log, EDGE_LOG_STATE, "config", "refused",
		      "reason=\"%s\" still_in_force=%lld", reason,
		      set ? (long long)set->version : -1);
}

static bool any_server_accepts(const struct edge *edge)
{
	int64_t now_us = edge_now_us();

	for (const struct backend *backend = edge->backends.first; backend;
	     backend = backend->next)
		if (backend_accepts_requests(backend, now_us))
			return true;
	return false;
}

static void on_evacuated(void *arg, const char *failure_domain, bool active)
{
	struct edge *edge = arg;
	size_t servers = backend_table_set_evacuated(&edge->backends,
						     failure_domain, active);

	edge_log_line(&edge->log, EDGE_LOG_STATE, "domain",
		      active ? "evacuated" : "evacuation_ended",
		      "domain=%s servers=%zu evacuated_domains=%zu",
		      failure_domain, servers,
		      evacuations_count(route_follower_evacuations(
			      edge->route_follower)));
	if (!active)
		server_warmup_on_evacuation_ended(edge, failure_domain);
	if (active && servers && !any_server_accepts(edge))
		edge_log_line(&edge->log, EDGE_LOG_STATE, "domain", "none_left",
			      "domain=%s requests=\"refused: no server of "
			      "another domain accepts them\"",
			      failure_domain);
}

static void on_evacuation_ignored(void *arg, const char *key,
				  const char *reason)
{
	struct edge *edge = arg;

	edge->counters.evacuations_ignored++;
	edge_log_line(&edge->log, EDGE_LOG_NOTICE, "domain",
		      "evacuation_ignored", "key=\"%.80s\" reason=\"%s\"", key,
		      reason);
}

static void on_backend_joined(void *arg, const struct backend_entry *entry)
{
	struct edge *edge = arg;
	const struct backend *replaced =
		backend_table_find(&edge->backends, entry->id);

	if (replaced && replaced->entry.born_ms != entry->born_ms)
		crash_check_on_replaced(edge, replaced);
	edge_log_line(&edge->log, EDGE_LOG_STATE, "server", "joined",
		      "server=%s service=%s address=%s domain=%s slots=%u "
		      "born_ms=%lld draining=%d",
		      entry->id, entry->service, entry->address,
		      entry->failure_domain, entry->slots,
		      (long long)entry->born_ms, entry->draining);
}

static void on_backend_draining(void *arg, const struct backend_entry *entry)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_STATE, "server", "draining",
		      "server=%s sequence=%lld", entry->id,
		      (long long)entry->sequence);
}

static void on_backend_updated(void *arg, struct backend *backend)
{
	server_warmup_on_entry(arg, backend);
}

static void on_backend_removed(void *arg, const char *id, const char *reason)
{
	struct edge *edge = arg;
	const struct backend *backend = backend_table_find(&edge->backends, id);

	if (backend)
		crash_check_on_removed(edge, backend);
	edge_log_line(&edge->log, EDGE_LOG_STATE, "server", "gone",
		      "server=%s reason=\"%s\"", id, reason);
	request_quarantine_on_server_lost(edge->quarantine);
}

static void on_backend_ignored(void *arg, const char *id, const char *reason)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_NOTICE, "server", "ignored",
		      "server=%s reason=\"%s\"", id, reason);
}

static void on_backend_freed(void *arg, struct backend *backend)
{
	backend_pool_free(backend);
}

static void on_address_reused(void *arg, const struct backend *backend)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_STATE, "server", "address_reused",
		      "server=%s address=%s born_ms=%lld sequence=%lld",
		      backend->entry.id, backend->entry.address,
		      (long long)backend->entry.born_ms,
		      (long long)backend->entry.sequence);
	crash_check_on_replaced(edge, backend);
	request_quarantine_on_server_lost(edge->quarantine);
}

static void on_crash_elsewhere(void *arg, uint64_t run)
{
	crash_check_on_crash_elsewhere(arg, run);
}

static void on_store_unreachable(void *arg)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_STATE, "store", "lost", "-");
}

static void on_store_reachable(void *arg)
{
	struct edge *edge = arg;

	request_quarantine_on_store_reachable(edge->quarantine);
	edge_log_line(&edge->log, EDGE_LOG_STATE, "store", "regained", "-");
}

static void on_budget_timer(uv_timer_t *timer);

static void on_budget_rescheduled(void *arg, int64_t due_us)
{
	struct edge *edge = arg;
	int64_t delay_us = due_us - edge_now_us();

	if (uv_is_active((uv_handle_t *)&edge->budget_timer) &&
	    edge->budget_due_us <= due_us)
		return;
	if (delay_us < 0)
		delay_us = 0;
	edge->budget_due_us = due_us;
	uv_timer_start(
		&edge->budget_timer, on_budget_timer,
		(uint64_t)((delay_us + TGW_US_PER_MS - 1) / TGW_US_PER_MS), 0);
}

static void on_budget_timer(uv_timer_t *timer)
{
	struct edge *edge = timer->data;

	on_budget_rescheduled(edge, team_budget_tick(edge->budgets));
}

static void on_budget_changed(void *arg)
{
	call_retry_reservations(arg);
}

static void on_budget_call_failed(void *arg, const char *call,
				  enum tgw_status status, const char *message)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_NOTICE, "budget", "call_failed",
		      "call=%s status=%s reason=\"%s\"", call,
		      tgw_status_name(status), message);
}

static void on_budget_written(void *arg, const struct team_budget_write *write)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_NOTICE, "budget", "ledger_write",
		      "key=%s outcome=%s bytes=%zu conflicts=%u "
		      "view_age_ms=%lld duration_ms=%lld",
		      write->key, tgw_status_name(write->status),
		      write->value_bytes, write->conflicts,
		      (long long)(write->view_age_us / TGW_US_PER_MS),
		      (long long)(write->duration_us / TGW_US_PER_MS));
}

static void on_budget_recovered(void *arg, const char *key, int64_t tokens)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_STATE, "budget", "recovered",
		      "key=%s tokens=%lld", key, (long long)tokens);
}

static void on_store_returned(void *arg, int64_t history)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_STATE, "budget", "store_returned",
		      "history=%lld tokens=\"what the store lost is counted "
		      "again\"",
		      (long long)history);
}

static void on_relay_changed(void *arg, const char *relay, const char *reason)
{
	struct edge *edge = arg;

	bool is_self = !strcmp(relay, edge->settings->name);

	store_mirror_set_relay(edge->mirror, is_self ? "" : relay);
	load_exchange_set_relay(&edge->loads, relay, is_self);
	edge_log_line(&edge->log, EDGE_LOG_STATE, "budget", "relay",
		      "relay=%s reason=\"%s\"", *relay ? relay : "-", reason);
}

static void on_store_changed(void *arg, bool unreachable, const char *source,
			     int64_t lasted_us)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_STATE, "budget",
		      unreachable ? "store_lost" : "store_regained",
		      "source=%s lasted_ms=%lld", source,
		      (long long)(lasted_us / TGW_US_PER_MS));
}

static void on_budgets_closed(void *arg)
{
	struct edge *edge = arg;

	edge->budgets_closed = true;
}

/* How long the store may still list a server that has crashed. */
static int64_t listed_after_crash_us(const struct edge *edge)
{
	return (MISSED_HEARTBEATS * edge->settings->heartbeat_ms +
		edge->settings->apply_ms) *
	       TGW_US_PER_MS;
}

static enum crash_records_server server_state(void *arg, uint64_t run)
{
	const struct edge *edge = arg;

	if (!backend_table_lists_run(&edge->backends, run))
		return CRASH_RECORDS_SERVER_UNLISTED;
	/* The store's leases may have paused in an outage. */
	if (backend_follower_reachable_us(edge->backend_follower) <
	    listed_after_crash_us(edge))
		return CRASH_RECORDS_SERVER_UNKNOWN;
	return CRASH_RECORDS_SERVER_LISTED;
}

static void on_quarantine_changed(void *arg, const struct quarantine_item *item,
				  bool refused)
{
	struct edge *edge = arg;
	char fingerprint[REQUEST_FINGERPRINT_TEXT_SIZE];

	request_fingerprint_to_text(&item->fingerprint, fingerprint);
	edge_log_line(&edge->log, EDGE_LOG_STATE, "quarantine",
		      refused ? "refused" : "cleared",
		      "fingerprint=%s team=%s part=%s crashes=%zu", fingerprint,
		      item->team, *item->part ? item->part : "-",
		      item->crash_count);
}

static void on_quarantine_failed(void *arg, const char *key,
				 const char *message)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_NOTICE, "quarantine", "failed",
		      "key=%s reason=\"%s\"", key, message);
}

/* The host's own calls, and not what it learns through its relay. */
static void on_mirror_called(void *arg, bool answered)
{
	struct edge *edge = arg;

	team_budget_set_store_unreachable(edge->budgets, !answered);
}

static void on_watch_stalled(void *arg, const char *prefix, int64_t silent_us)
{
	struct edge *edge = arg;

	edge_log_line(&edge->log, EDGE_LOG_STATE, "store", "watch_stalled",
		      "prefix=%s silent_ms=%lld watch=\"opened anew\"", prefix,
		      (long long)(silent_us / TGW_US_PER_MS));
}

/* What all hosts follow is watched by few of them. */
static void start_mirror(struct edge *edge, struct tgw_peer *peer)
{
	const struct edge_settings *settings = edge->settings;
	const char *const prefixes[] = {
		edge->sources.operator_keys.prefix,
		edge->sources.backends_prefix,
		REQUEST_QUARANTINE_PREFIX,
	};
	struct store_mirror_settings mirror = {
		.prefixes = prefixes,
		.prefix_count = sizeof(prefixes) / sizeof(prefixes[0]),
		.peer = peer,
		.apply_us = edge_settings_follow_ms(settings) * TGW_US_PER_MS,
		.discovery_us = PEER_DISCOVERY_US,
		.called = on_mirror_called,
		.stalled = on_watch_stalled,
		.arg = edge,
		.watch_period_us = edge->sources.watch_period_us,
	};

	edge->mirror =
		store_mirror_new(&mirror, edge->sources.store, &edge_clock);
}

static void start_budgets(struct edge *edge, struct tgw_peer *peer,
			  uint64_t incarnation)
{
	const struct edge_settings *settings = edge->settings;
	struct team_budget_settings budget = {
		.key_count = (uint32_t)settings->ledger_keys,
		.boot = boot_identity(settings->ready_address),
		.policy =
			{
				.ride_out_s =
					(double)settings->ride_out_ms / 1000,
				.hold_fraction =
					(double)settings->hold_percent / 100,
				.loss_fraction =
					(double)settings->loss_percent / 100,
				.host_count =
					(uint32_t)settings->expected_hosts,
			},
	};
	struct team_budget_events events = {
		.changed = on_budget_changed,
		.rescheduled = on_budget_rescheduled,
		.failed = on_budget_call_failed,
		.written = on_budget_written,
		.recovered = on_budget_recovered,
		.relay_changed = on_relay_changed,
		.store_changed = on_store_changed,
		.store_returned = on_store_returned,
		.closed = on_budgets_closed,
		.arg = edge,
	};

	short_name_copy(budget.host, settings->name);
	short_name_copy(budget.failure_domain, settings->failure_domain);
	budget.peer = peer;
	uv_timer_init(edge->loop, &edge->budget_timer);
	edge->budget_timer.data = edge;
	edge->budgets = team_budget_new(&budget, edge->sources.store,
					&edge_clock, incarnation, &events);
}

static void start_routes(struct edge *edge)
{
	const struct edge_sources *sources = &edge->sources;
	struct route_follower_events events = {
		.decode = sources->decode_routes,
		.in_force = on_routes,
		.refused = on_routes_refused,
		.evacuated = on_evacuated,
		.evacuation_ignored = on_evacuation_ignored,
		.arg = edge,
	};

	edge->route_follower = route_follower_new(
		&sources->operator_keys, store_mirror_store(edge->mirror),
		&edge_clock, &events);
	edge->backends.evacuations =
		route_follower_evacuations(edge->route_follower);
}

static void start_backends(struct edge *edge)
{
	const struct edge_sources *sources = &edge->sources;
	struct backend_follower_events events = {
		.decode = sources->decode_backend,
		.joined = on_backend_joined,
		.draining = on_backend_draining,
		.updated = on_backend_updated,
		.removed = on_backend_removed,
		.ignored = on_backend_ignored,
		.store_outage_start = on_store_unreachable,
		.store_outage_end = on_store_reachable,
		.arg = edge,
	};

	edge->backends.freed = on_backend_freed;
	edge->backends.address_reused = on_address_reused;
	edge->backends.arg = edge;
	edge->backends.regions = &edge->regions;
	edge->backend_follower = backend_follower_new(
		sources->backends_prefix, store_mirror_store(edge->mirror),
		&edge_clock, &edge->backends, &events);
}

static void start_quarantine(struct edge *edge)
{
	struct request_quarantine_settings quarantine = {
		.listed_after_crash_us = listed_after_crash_us(edge),
	};
	struct request_quarantine_events events = {
		.records =
			{
				.server_state = server_state,
				.changed = on_quarantine_changed,
				.arg = edge,
			},
		.crashed_elsewhere = on_crash_elsewhere,
		.failed = on_quarantine_failed,
		.arg = edge,
	};

	short_name_copy(quarantine.host, edge->settings->name);
	edge->quarantine = request_quarantine_new(
		&quarantine, store_mirror_store(edge->mirror), &edge_clock,
		&events);
}

void edge_followers_start(struct edge *edge)
{
	uint64_t incarnation = tgw_random_incarnation();
	struct tgw_peer *peer = edge_peers_start(edge, incarnation);

	/* The settings were checked when they were read. */
	region_map_parse(&edge->regions, edge->settings->regions);
	server_signals_start(edge, peer);
	load_exchange_init(&edge->loads, peer, &edge_clock, &edge->backends,
			   edge->settings->failure_domain);
	start_mirror(edge, peer);
	start_budgets(edge, peer, incarnation);
	start_routes(edge);
	start_backends(edge);
	start_quarantine(edge);
	on_budget_timer(&edge->budget_timer);
}

void edge_followers_tick(struct edge *edge)
{
	store_mirror_tick(edge->mirror);
	team_budget_note_version(edge->budgets,
				 store_mirror_version(edge->mirror));
	backend_follower_tick(edge->backend_follower);
	route_follower_tick(edge->route_follower);
	crash_check_tick(edge);
	request_quarantine_tick(edge->quarantine);
	edge_peers_tick(edge);
	server_warmup_tick(edge);
	server_signals_tick(edge);
	load_exchange_tick(&edge->loads);
}

void edge_followers_free(struct edge *edge)
{
	route_follower_free(edge->route_follower);
	backend_follower_free(edge->backend_follower);
	request_quarantine_free(edge->quarantine);
	store_mirror_free(edge->mirror);
	team_budget_free(edge->budgets);
	edge_peers_free(edge);
	free(edge->config_refusal);
	edge->config_refusal = NULL;
}
