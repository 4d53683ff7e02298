#include "daemon/backend_monitor.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "daemon/backend_fetch.h"
#include "protocol/server_report.h"

#define MAX_REPORT_BYTES (1024 * 1024)
#define REPORT_TIMEOUT_US (2 * TGW_US_PER_S)
/* Backend servers in other failure domains serve only when those in the local
 * one can't, so they are polled less often. */
#define REMOTE_INTERVAL_FACTOR 10
#define STATUS_OK 200

/* A backend server that is polled. It is freed when it has been removed from
 * the monitor and its last request in flight has ended. */
struct monitored_server {
	struct backend_monitor *monitor; /* NULL after removal */
	int pending_count;		 /* requests in flight */
	char name[TGW_NAME_SIZE];
	bool load_pending;
	bool cache_pending;
	int64_t next_load_us;
	uint64_t next_cache_event;
};

struct backend_monitor {
	struct runtime *runtime;
	uint64_t generation; /* of the configuration that lists the servers */
	size_t count;
	struct monitored_server **servers; /* in the configuration's order */
};

struct backend_monitor *backend_monitor_new(struct runtime *runtime)
{
	struct backend_monitor *monitor = xcalloc(1, sizeof(*monitor));

	monitor->runtime = runtime;
	return monitor;
}

static void free_if_unused(struct monitored_server *server)
{
	if (!server->monitor && !server->pending_count)
		free(server);
}

static void remove_server(struct monitored_server *server)
{
	server->monitor = NULL;
	free_if_unused(server);
}

void backend_monitor_free(struct backend_monitor *monitor)
{
	if (!monitor)
		return;
	for (size_t i = 0; i < monitor->count; i++)
		remove_server(monitor->servers[i]);
	free(monitor->servers);
	free(monitor);
}

/* Returns the monitored server of this name, or a new one. Both lists are
 * sorted by name: servers before it are no longer configured; removes them. */
static struct monitored_server *find_or_add(struct backend_monitor *monitor,
					    size_t *index, const char *name)
{
	struct monitored_server *server;

	while (*index < monitor->count &&
	       strcmp(monitor->servers[*index]->name, name) < 0)
		remove_server(monitor->servers[(*index)++]);
	if (*index < monitor->count &&
	    strcmp(monitor->servers[*index]->name, name) == 0)
		return monitor->servers[(*index)++];
	server = xcalloc(1, sizeof(*server));
	server->monitor = monitor;
	snprintf(server->name, sizeof(server->name), "%s", name);
	return server;
}

static void update_servers(struct backend_monitor *monitor,
			   const struct tgw_config_snapshot *config)
{
	struct monitored_server **servers;
	size_t index = 0;

	if (config->generation == monitor->generation)
		return;
	servers = xcalloc(config->server_count + 1,
			  sizeof(struct monitored_server *));
	for (size_t i = 0; i < config->server_count; i++)
		servers[i] =
			find_or_add(monitor, &index, config->servers[i].name);
	while (index < monitor->count)
		remove_server(monitor->servers[index++]);
	free(monitor->servers);
	monitor->servers = servers;
	monitor->count = config->server_count;
	monitor->generation = config->generation;
}

static bool is_success(const struct backend_fetch_result *result)
{
	return result->outcome == HTTP_COMPLETE && result->status == STATUS_OK;
}

static void on_load(void *arg, const struct backend_fetch_result *result)
{
	struct monitored_server *server = arg;
	struct tgw_load_report report;

	server->pending_count--;
	server->load_pending = false;
	if (server->monitor && is_success(result)) {
		struct runtime *runtime = server->monitor->runtime;

		if (server_report_parse_load(
			    &report, result->body, result->body_size,
			    tgw_clock_monotonic_us(runtime->clock)))
			tgw_router_on_load(runtime->router, server->name,
					   &report);
	}
	free_if_unused(server);
}

static void forward_cache_event(void *arg, const struct tgw_cache_event *event)
{
	struct monitored_server *server = arg;

	tgw_router_on_cache_event(server->monitor->runtime->router,
				  server->name, event);
}

static void on_cache(void *arg, const struct backend_fetch_result *result)
{
	struct monitored_server *server = arg;

	server->pending_count--;
	server->cache_pending = false;
	if (server->monitor && is_success(result))
		server_report_parse_cache_events(result->body,
						 result->body_size,
						 forward_cache_event, server,
						 &server->next_cache_event);
	free_if_unused(server);
}

static void fetch_report(
	struct monitored_server *server, char *url,
	void (*done)(void *arg, const struct backend_fetch_result *result))
{
	const struct runtime *runtime = server->monitor->runtime;
	struct http_request request = {
		.method = "GET",
		.url = url,
		.connect_timeout_us =
			runtime->settings->connect_timeout_ms * TGW_US_PER_MS,
		.total_timeout_us = REPORT_TIMEOUT_US,
		.may_resend = true,
	};

	server->pending_count++;
	backend_fetch_start(runtime->backend_http, runtime->coordination,
			    &request, MAX_REPORT_BYTES, done, server);
	free(url);
}

static void poll_server(struct monitored_server *server,
			const struct tgw_server *config, int64_t now_us)
{
	const struct runtime *runtime = server->monitor->runtime;
	int64_t interval_us = runtime->settings->load_poll_ms * TGW_US_PER_MS;

	if (strcmp(config->failure_domain, runtime->self.failure_domain) != 0)
		interval_us *= REMOTE_INTERVAL_FACTOR;
	if (now_us < server->next_load_us)
		return;
	server->next_load_us = now_us + interval_us;
	if (!server->load_pending) {
		server->load_pending = true;
		fetch_report(server, xasprintf("%s/load", config->url),
			     on_load);
	}
	if (config->kind == TGW_SERVER_MODEL && !server->cache_pending) {
		server->cache_pending = true;
		fetch_report(server,
			     xasprintf("%s/cache/events?since=%" PRIu64,
				       config->url, server->next_cache_event),
			     on_cache);
	}
}

void backend_monitor_tick(struct backend_monitor *monitor)
{
	const struct tgw_config_snapshot *config = monitor->runtime->config;
	int64_t now_us = tgw_clock_monotonic_us(monitor->runtime->clock);

	if (!config)
		return;
	update_servers(monitor, config);
	for (size_t i = 0; i < monitor->count; i++)
		poll_server(monitor->servers[i], &config->servers[i], now_us);
}
