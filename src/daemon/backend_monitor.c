#include "daemon/backend_monitor.h"

#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "daemon/backend_fetch.h"
#include "protocol/server_report.h"

#define REPORT_MAX_BYTES (1024 * 1024)
#define REPORT_TIMEOUT_US (2 * TGW_US_PER_S)
/* Servers of other failure domains serve only when the own can't. */
#define FAR_FACTOR 10
#define STATUS_OK 200

/* A server that is asked. Requests under way outlive the monitor's line. */
struct monitored {
	struct backend_monitor *monitor; /* NULL once it is off the list */
	int pending;			 /* requests under way */
	char name[TGW_NAME_SIZE];
	bool load_pending;
	bool cache_pending;
	int64_t next_load_us;
	uint64_t next_cache_event;
};

struct backend_monitor {
	struct runtime *runtime;
	uint64_t generation; /* that the list was made of */
	size_t count;
	struct monitored **servers; /* as in the configuration */
};

struct backend_monitor *backend_monitor_new(struct runtime *runtime)
{
	struct backend_monitor *monitor = xcalloc(1, sizeof(*monitor));

	monitor->runtime = runtime;
	return monitor;
}

static void release(struct monitored *server)
{
	if (!server->monitor && !server->pending)
		free(server);
}

static void take_off(struct monitored *server)
{
	server->monitor = NULL;
	release(server);
}

void backend_monitor_free(struct backend_monitor *monitor)
{
	if (!monitor)
		return;
	for (size_t i = 0; i < monitor->count; i++)
		take_off(monitor->servers[i]);
	free(monitor->servers);
	free(monitor);
}

static struct monitored *take_or_make(struct backend_monitor *monitor,
				      size_t *at, const char *name)
{
	struct monitored *server;

	/* Both lists are sorted by name. */
	while (*at < monitor->count &&
	       strcmp(monitor->servers[*at]->name, name) < 0)
		take_off(monitor->servers[(*at)++]);
	if (*at < monitor->count &&
	    strcmp(monitor->servers[*at]->name, name) == 0)
		return monitor->servers[(*at)++];
	server = xcalloc(1, sizeof(*server));
	server->monitor = monitor;
	snprintf(server->name, sizeof(server->name), "%s", name);
	return server;
}

static void follow_config(struct backend_monitor *monitor,
			  const struct tgw_config_snapshot *config)
{
	struct monitored **servers;
	size_t at = 0;

	if (config->generation == monitor->generation)
		return;
	servers = xcalloc(config->server_count + 1, sizeof(struct monitored *));
	for (size_t i = 0; i < config->server_count; i++)
		servers[i] =
			take_or_make(monitor, &at, config->servers[i].name);
	while (at < monitor->count)
		take_off(monitor->servers[at++]);
	free(monitor->servers);
	monitor->servers = servers;
	monitor->count = config->server_count;
	monitor->generation = config->generation;
}

static bool is_answer(const struct backend_fetch_result *result)
{
	return result->outcome == HTTP_COMPLETE && result->status == STATUS_OK;
}

static void on_load(void *arg, const struct backend_fetch_result *result)
{
	struct monitored *server = arg;
	struct tgw_load_report report;

	server->pending--;
	server->load_pending = false;
	if (server->monitor && is_answer(result)) {
		struct runtime *runtime = server->monitor->runtime;

		if (server_report_parse_load(
			    &report, result->body, result->body_size,
			    tgw_clock_monotonic_us(runtime->clock)))
			tgw_router_on_load(runtime->router, server->name,
					   &report);
	}
	release(server);
}

static void pass_cache_event(void *arg, const struct tgw_cache_event *event)
{
	struct monitored *server = arg;

	tgw_router_on_cache_event(server->monitor->runtime->router,
				  server->name, event);
}

static void on_cache(void *arg, const struct backend_fetch_result *result)
{
	struct monitored *server = arg;

	server->pending--;
	server->cache_pending = false;
	if (server->monitor && is_answer(result))
		server_report_parse_cache_events(result->body,
						 result->body_size,
						 pass_cache_event, server,
						 &server->next_cache_event);
	release(server);
}

static void ask(struct monitored *server, char *url,
		void (*done)(void *arg,
			     const struct backend_fetch_result *result))
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

	server->pending++;
	backend_fetch_start(runtime->backend_http, runtime->coordination,
			    &request, REPORT_MAX_BYTES, done, server);
	free(url);
}

static void ask_server(struct monitored *server,
		       const struct tgw_server *config, int64_t now_us)
{
	const struct runtime *runtime = server->monitor->runtime;
	int64_t interval_us = runtime->settings->load_poll_ms * TGW_US_PER_MS;

	if (strcmp(config->failure_domain, runtime->self.failure_domain) != 0)
		interval_us *= FAR_FACTOR;
	if (now_us < server->next_load_us)
		return;
	server->next_load_us = now_us + interval_us;
	if (!server->load_pending) {
		server->load_pending = true;
		ask(server, xasprintf("%s/load", config->url), on_load);
	}
	if (config->kind == TGW_SERVER_MODEL && !server->cache_pending) {
		server->cache_pending = true;
		ask(server,
		    xasprintf("%s/cache/events?since=%" PRIu64, config->url,
			      server->next_cache_event),
		    on_cache);
	}
}

void backend_monitor_tick(struct backend_monitor *monitor)
{
	const struct tgw_config_snapshot *config = monitor->runtime->config;
	int64_t now_us = tgw_clock_monotonic_us(monitor->runtime->clock);

	if (!config)
		return;
	follow_config(monitor, config);
	for (size_t i = 0; i < monitor->count; i++)
		ask_server(monitor->servers[i], &config->servers[i], now_us);
}
