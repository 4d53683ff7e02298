#include "daemon/daemon.h"

#include <apr_general.h>
#include <signal.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "base/xalloc.h"
#include "daemon/gateway.h"
#include "daemon/log.h"
#include "daemon/pages.h"
#include "daemon/runtime.h"
#include "daemon/stop_plan.h"
#include "protocol/etcd_store.h"
#include "protocol/host_list.h"
#include "tamarackgw/random.h"
#include "transport/event_loop.h"
#include "transport/loop_client.h"
#include "transport/server_conn_limits.h"
#include "transport/system_clock.h"
#include "transport/zmq_channel.h"

#define MAX_WAIT_MS 500
#define STOP_SIGNAL_COUNT 2
/* Idle connections to one server take at most this part of the descriptors. */
#define IDLE_DIVISOR 64

struct daemon {
	struct runtime runtime;
	struct event_loop *loop;
	struct loop_client *platform_client;
	struct loop_client *backend_client;
	uv_timer_t timer; /* fires at the agents' next due time */
	uv_poll_t peer_input[ZMQ_CHANNEL_DESCRIPTORS];
	uv_signal_t stop_signals[STOP_SIGNAL_COUNT];
	bool is_due;
	bool has_peer_input;
	bool is_done;
	struct zmq_channel *channel;
	struct etcd_store *etcd;
	struct host_list_poller *list_poller;
	struct gateway *gateway;
	struct pages *pages;
	struct stop_plan stop;
};

static void receive_message(void *arg, const struct tgw_peer_message *message)
{
	struct runtime *runtime = &((struct daemon *)arg)->runtime;

	switch (message->topic) {
	case TGW_PEER_MEMBERSHIP:
		tgw_membership_on_message(runtime->membership, message);
		break;
	case TGW_PEER_BUDGET:
		tgw_budget_on_message(runtime->budget, message);
		break;
	case TGW_PEER_CLAIM:
		tgw_claim_on_message(runtime->claims, message);
		break;
	case TGW_PEER_CONFIG:
		tgw_config_follower_on_message(runtime->follower, message);
		break;
	case TGW_PEER_QUARANTINE:
		tgw_quarantine_on_message(runtime->quarantine, message);
		break;
	case TGW_PEER_TRANSFER: /* of edge hosts */
	case TGW_PEER_CHANGES:
	case TGW_PEER_SERVERS:
	case TGW_PEER_LOADS:
	case TGW_PEER_TOPIC_END:
		break;
	}
}

static void log_host_changes(const struct tgw_host_view *old,
			     const struct tgw_host_view *new)
{
	static const char *const names[] = {
		[TGW_HOST_ALIVE] = "alive",
		[TGW_HOST_SILENT] = "silent",
		[TGW_HOST_LEAVING] = "leaving",
		[TGW_HOST_GONE] = "gone",
	};

	for (size_t i = 0; i < new->host_count; i++) {
		const struct tgw_host *host = &new->hosts[i];
		const struct tgw_host *before =
			tgw_host_view_find(old, host->name);

		if (!before || before->state != host->state)
			log_line(LOG_MEMBERS, LOG_INFO, NULL, "Host %s is %s.",
				 host->name, names[host->state]);
	}
}

static void on_hosts_changed(void *arg, const struct tgw_host_view *view)
{
	struct daemon *daemon = arg;
	struct runtime *runtime = &daemon->runtime;
	struct tgw_host_view *old = runtime->hosts;

	/* The first view is reported before the agents that use it exist. */
	if (!runtime->follower)
		return;
	log_host_changes(old, view);
	rcu_assign_pointer(runtime->hosts, tgw_host_view_copy(view));
	zmq_channel_set_hosts(daemon->channel, view);
	tgw_budget_set_hosts(runtime->budget, view);
	tgw_claim_set_hosts(runtime->claims, view);
	tgw_quarantine_set_hosts(runtime->quarantine, view);
	tgw_config_follower_set_hosts(runtime->follower, view);
	synchronize_rcu();
	tgw_host_view_free(old);
}

static void on_config_in_force(void *arg, struct tgw_config_snapshot *config)
{
	struct daemon *daemon = arg;
	struct runtime *runtime = &daemon->runtime;
	struct tgw_config_snapshot *old = runtime->config;

	log_line(LOG_CONFIG, LOG_INFO, NULL, "Generation %lu is in force.",
		 (unsigned long)config->generation);
	rcu_assign_pointer(runtime->config, config);
	tgw_router_set_config(runtime->router, config);
	tgw_membership_set_self(runtime->membership,
				atomic_load(&runtime->stopping),
				config->generation);
	synchronize_rcu();
	tgw_config_snapshot_free(old);
}

static void on_config_refused(void *arg, uint64_t generation, const char *why)
{
	log_line(LOG_CONFIG, LOG_ERROR, NULL,
		 "Generation %lu is refused; the last valid generation stays "
		 "in force: %s",
		 (unsigned long)generation, why);
}

static void on_host_list(void *arg, const struct host_list_snapshot *list)
{
	struct daemon *daemon = arg;

	tgw_membership_on_list(daemon->runtime.membership, list->hosts,
			       list->host_count);
	for (size_t i = 0; i < list->server_count; i++)
		tgw_router_set_leaving(daemon->runtime.router,
				       list->servers[i].name,
				       list->servers[i].leaving);
}

static void describe_self(struct runtime *runtime)
{
	const struct settings *settings = runtime->settings;
	struct tgw_host *self = &runtime->self;

	memcpy(self->name, settings->name, sizeof(self->name));
	memcpy(self->failure_domain, settings->failure_domain,
	       sizeof(self->failure_domain));
	snprintf(self->peer_url, sizeof(self->peer_url), "tcp://%s",
		 settings->peer_address);
	snprintf(self->caller_url, sizeof(self->caller_url), "http://%s",
		 settings->caller_address);
	self->incarnation = tgw_random_incarnation();
	self->state = TGW_HOST_ALIVE;
}

static enum tgw_status open_channel(struct daemon *daemon,
				    struct tgw_error *error)
{
	const struct settings *settings = daemon->runtime.settings;
	struct zmq_channel_settings channel = {
		.bind_url = daemon->runtime.self.peer_url,
		.host_name = daemon->runtime.self.name,
		.incarnation = daemon->runtime.self.incarnation,
		.receive = receive_message,
		.arg = daemon,
	};

	if (settings->peer_secret_file[0] &&
	    zmq_channel_keys_read(&channel.keys, settings->peer_secret_file,
				  error) != TGW_OK)
		return error->status;
	daemon->channel = zmq_channel_new(&channel, error);
	if (!daemon->channel)
		return error->status;
	daemon->runtime.peer = zmq_channel_peer(daemon->channel);
	return TGW_OK;
}

static void open_platform(struct daemon *daemon)
{
	struct runtime *runtime = &daemon->runtime;
	const struct settings *settings = runtime->settings;
	struct loop_client_settings client = loop_client_settings_default();
	uint32_t max_idle =
		server_conn_max_descriptors(settings->max_descriptors) /
		IDLE_DIVISOR;
	int64_t timeout_us = settings->store_timeout_ms * TGW_US_PER_MS;

	if (max_idle < client.idle_connections)
		client.idle_connections = max_idle;
	daemon->platform_client = loop_client_new(daemon->loop, &client);
	client.connect_timeout_us =
		settings->connect_timeout_ms * TGW_US_PER_MS;
	daemon->backend_client = loop_client_new(daemon->loop, &client);
	runtime->platform_http = loop_client_sender(daemon->platform_client);
	runtime->backend_http = loop_client_sender(daemon->backend_client);
	daemon->etcd = etcd_store_new(runtime->platform_http,
				      runtime->coordination,
				      settings->store_url, timeout_us);
	runtime->store = etcd_store_store(daemon->etcd);
	daemon->list_poller = host_list_poller_new(
		runtime->platform_http, runtime->coordination,
		settings->list_url, settings->list_interval_ms * TGW_US_PER_MS,
		timeout_us, on_host_list, daemon);
}

static void new_membership(struct daemon *daemon)
{
	struct runtime *runtime = &daemon->runtime;
	const struct settings *settings = runtime->settings;
	struct tgw_membership_env env = tgw_membership_env_default();

	env.clock = runtime->clock;
	env.peer = runtime->peer;
	env.self = runtime->self;
	env.random_seed = runtime->self.incarnation;
	env.heartbeat_interval_us = settings->heartbeat_ms * TGW_US_PER_MS;
	env.silent_after_us = settings->silent_after_ms * TGW_US_PER_MS;
	env.gone_after_us = settings->gone_after_ms * TGW_US_PER_MS;
	env.changed = on_hosts_changed;
	env.arg = daemon;
	runtime->membership = tgw_membership_new(&env);
	runtime->hosts =
		tgw_host_view_copy(tgw_membership_view(runtime->membership));
}

static void new_budget(struct runtime *runtime)
{
	const struct settings *settings = runtime->settings;
	struct tgw_budget_env env = {
		.clock = runtime->clock,
		.store = runtime->store,
		.peer = runtime->peer,
		.random_seed = runtime->self.incarnation,
		.settings = tgw_budget_settings_default(),
	};

	env.settings.flush_interval_us =
		settings->ledger_flush_ms * TGW_US_PER_MS;
	env.settings.ride_out_us = settings->ride_out_s * TGW_US_PER_S;
	runtime->budget = tgw_budget_agent_new(&env, runtime->hosts);
}

static void new_claims(struct runtime *runtime)
{
	const struct settings *settings = runtime->settings;
	struct tgw_claim_env env = tgw_claim_env_default();

	env.clock = runtime->clock;
	env.store = runtime->store;
	env.peer = runtime->peer;
	env.random_seed = runtime->self.incarnation;
	env.batch_interval_us = settings->claim_batch_ms * TGW_US_PER_MS;
	env.keep_us = settings->claim_keep_s * TGW_US_PER_S;
	runtime->claims = tgw_claim_agent_new(&env, runtime->hosts);
}

static void new_quarantine(struct runtime *runtime)
{
	struct tgw_quarantine_env env = tgw_quarantine_env_default();

	env.clock = runtime->clock;
	env.store = runtime->store;
	env.peer = runtime->peer;
	runtime->quarantine = tgw_quarantine_new(&env, runtime->hosts);
}

static void new_router(struct runtime *runtime)
{
	const struct tgw_router_env env = {
		.clock = runtime->clock,
		.failure_domain = runtime->self.failure_domain,
		.random_seed = runtime->self.incarnation,
	};

	runtime->router = tgw_router_new(&env);
}

static void new_follower(struct daemon *daemon)
{
	struct runtime *runtime = &daemon->runtime;
	const struct tgw_config_follower_env env = {
		.clock = runtime->clock,
		.store = runtime->store,
		.peer = runtime->peer,
		.random_seed = runtime->self.incarnation,
		.in_force = on_config_in_force,
		.refused = on_config_refused,
		.arg = daemon,
	};

	runtime->config = xcalloc(1, sizeof(*runtime->config));
	runtime->follower = tgw_config_follower_new(&env, runtime->hosts);
}

static void new_agents(struct daemon *daemon)
{
	new_membership(daemon);
	new_budget(&daemon->runtime);
	new_claims(&daemon->runtime);
	new_quarantine(&daemon->runtime);
	new_router(&daemon->runtime);
	new_follower(daemon);
	zmq_channel_set_hosts(daemon->channel, daemon->runtime.hosts);
}

static int64_t earliest(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

static int64_t tick_all(struct daemon *daemon)
{
	struct runtime *runtime = &daemon->runtime;
	int64_t now_us = tgw_clock_monotonic_us(runtime->clock);
	int64_t due_us = now_us + MAX_WAIT_MS * TGW_US_PER_MS;

	due_us = earliest(due_us, etcd_store_tick(daemon->etcd, now_us));
	due_us = earliest(due_us,
			  host_list_poller_tick(daemon->list_poller, now_us));
	due_us = earliest(due_us, tgw_membership_tick(runtime->membership));
	due_us = earliest(due_us, tgw_config_follower_tick(runtime->follower));
	due_us = earliest(due_us, tgw_budget_tick(runtime->budget));
	due_us = earliest(due_us, tgw_claim_tick(runtime->claims));
	due_us = earliest(due_us, tgw_quarantine_tick(runtime->quarantine));
	due_us = earliest(due_us, tgw_router_tick(runtime->router));
	return earliest(due_us, stop_plan_tick(&daemon->stop, runtime,
					       daemon->gateway));
}

static void on_timer(uv_timer_t *timer)
{
	((struct daemon *)timer->data)->is_due = true;
}

static void on_peer_input(uv_poll_t *poll, int status, int events)
{
	((struct daemon *)poll->data)->has_peer_input = true;
}

static void on_stop_signal(uv_signal_t *handle, int number)
{
	struct daemon *daemon = handle->data;

	stop_plan_request(&daemon->stop, &daemon->runtime);
	daemon->is_due = true;
}

/* Runs in each iteration of the event loop, before the loop waits. Ticks the
 * agents if peer messages were read, posted functions ran, or the timer or a
 * signal fired; then sets the timer to the next due time. */
static void on_before_wait(void *arg, bool ran)
{
	struct daemon *daemon = arg;
	int64_t wait_us;

	if (daemon->has_peer_input) {
		daemon->has_peer_input = zmq_channel_receive(daemon->channel);
		ran = true;
	}
	if (!ran && !daemon->is_due)
		return;
	daemon->is_due = false;
	wait_us = tick_all(daemon) -
		  tgw_clock_monotonic_us(daemon->runtime.clock);
	pages_note_alive(daemon->pages);
	if (wait_us < 0 || daemon->has_peer_input)
		wait_us = 0;
	uv_timer_start(
		&daemon->timer, on_timer,
		(uint64_t)((wait_us + TGW_US_PER_MS - 1) / TGW_US_PER_MS), 0);
	daemon->is_done = daemon->stop.phase == STOP_DONE;
	if (daemon->is_done)
		uv_stop(event_loop_uv(daemon->loop));
}

static void watch_events(struct daemon *daemon)
{
	static const int numbers[STOP_SIGNAL_COUNT] = {SIGTERM, SIGINT};
	uv_loop_t *uv = event_loop_uv(daemon->loop);
	int descriptors[ZMQ_CHANNEL_DESCRIPTORS];

	signal(SIGPIPE, SIG_IGN);
	uv_timer_init(uv, &daemon->timer);
	daemon->timer.data = daemon;
	zmq_channel_descriptors(daemon->channel, descriptors);
	for (int i = 0; i < ZMQ_CHANNEL_DESCRIPTORS; i++) {
		if (descriptors[i] < 0)
			continue;
		uv_poll_init(uv, &daemon->peer_input[i], descriptors[i]);
		daemon->peer_input[i].data = daemon;
		uv_poll_start(&daemon->peer_input[i], UV_READABLE,
			      on_peer_input);
	}
	for (int i = 0; i < STOP_SIGNAL_COUNT; i++) {
		uv_signal_init(uv, &daemon->stop_signals[i]);
		daemon->stop_signals[i].data = daemon;
		uv_signal_start(&daemon->stop_signals[i], on_stop_signal,
				numbers[i]);
	}
	daemon->is_due = true;
	/* The descriptors become readable only by new input. Messages that
	 * have arrived already have to be read without an event. */
	daemon->has_peer_input = true;
	event_loop_set_before_wait_hook(daemon->loop, on_before_wait, daemon);
}

static void unwatch_events(struct daemon *daemon)
{
	uv_close((uv_handle_t *)&daemon->timer, NULL);
	for (int i = 0; i < ZMQ_CHANNEL_DESCRIPTORS; i++)
		if (daemon->peer_input[i].data)
			uv_close((uv_handle_t *)&daemon->peer_input[i], NULL);
	for (int i = 0; i < STOP_SIGNAL_COUNT; i++)
		uv_close((uv_handle_t *)&daemon->stop_signals[i], NULL);
	event_loop_set_before_wait_hook(daemon->loop, NULL, NULL);
}

static enum tgw_status open_daemon(struct daemon *daemon,
				   struct tgw_error *error)
{
	struct gateway_pages gateway_pages;

	daemon->loop = event_loop_new();
	daemon->runtime.loop = daemon->loop;
	daemon->runtime.coordination = event_loop_executor(daemon->loop);
	describe_self(&daemon->runtime);
	if (open_channel(daemon, error) != TGW_OK)
		return error->status;
	open_platform(daemon);
	new_agents(daemon);
	daemon->pages = pages_new(&daemon->runtime, daemon->etcd,
				  daemon->channel, error);
	if (!daemon->pages)
		return error->status;
	gateway_pages = pages_handler(daemon->pages);
	daemon->gateway = gateway_new(&daemon->runtime, gateway_pages, error);
	if (!daemon->gateway)
		return error->status;
	pages_set_gateway(daemon->pages, daemon->gateway);
	return TGW_OK;
}

/* Open exchanges with callers and backend servers end first. Then the functions
 * that they posted run, and only then are the agents freed. */
static void close_daemon(struct daemon *daemon)
{
	struct runtime *runtime = &daemon->runtime;

	gateway_free(daemon->gateway);
	loop_client_free(daemon->backend_client);
	loop_client_free(daemon->platform_client);
	event_loop_drain(daemon->loop);
	tgw_router_free(runtime->router);
	tgw_quarantine_free(runtime->quarantine);
	tgw_claim_agent_free(runtime->claims);
	tgw_budget_agent_free(runtime->budget);
	tgw_config_follower_free(runtime->follower);
	tgw_membership_free(runtime->membership);
	pages_free(daemon->pages);
	host_list_poller_free(daemon->list_poller);
	etcd_store_free(daemon->etcd);
	zmq_channel_free(daemon->channel);
	event_loop_free(daemon->loop);
	tgw_config_snapshot_free(runtime->config);
	tgw_host_view_free(runtime->hosts);
}

int daemon_run(const struct settings *settings)
{
	struct daemon daemon = {
		.runtime = {.settings = settings, .clock = system_clock()},
	};
	struct tgw_error error = {.status = TGW_OK};
	enum log_level level = LOG_INFO;
	int exit_code = EXIT_SUCCESS;

	log_level_parse(settings->log_level, &level);
	log_open(level);
	apr_initialize();
	if (sodium_init() < 0)
		abort();
	if (open_daemon(&daemon, &error) != TGW_OK) {
		log_line(LOG_DAEMON, LOG_ERROR, NULL, "Host %s can't start: %s",
			 settings->name, error.message);
		exit_code = EXIT_FAILURE;
		goto done;
	}
	watch_events(&daemon);
	log_line(LOG_DAEMON, LOG_INFO, NULL,
		 "Host %s in failure domain %s listens for callers on %s.",
		 settings->name, settings->failure_domain,
		 settings->caller_address);
	event_loop_run_until(daemon.loop, &daemon.is_done);
	unwatch_events(&daemon);
	log_line(LOG_DAEMON, LOG_INFO, NULL, "Stopped.");
done:
	close_daemon(&daemon);
	apr_terminate();
	log_close();
	return exit_code;
}
