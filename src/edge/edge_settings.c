#include "edge/edge_settings.h"

#include <string.h>

#include "protocol/settings_table.h"
#include "state/region_map.h"

#define TEXT(section, key, field, required, help)                     \
	SETTING_TEXT_ENTRY(struct edge_settings, section, key, field, \
			   required, help)
#define NAME(section, key, field, required, help)                     \
	SETTING_NAME_ENTRY(struct edge_settings, section, key, field, \
			   required, help)
#define PAIRS(section, key, field, help) \
	SETTING_PAIRS_ENTRY(struct edge_settings, section, key, field, help)
#define NUMBER(section, key, field, min_value, max_value, default_value, help) \
	SETTING_NUMBER_ENTRY(struct edge_settings, section, key, field,        \
			     min_value, max_value, default_value, help)

static const struct setting entries[] = {
	NAME("host", "name", name, true, "this host's name in the fleet"),
	NAME("host", "failure_domain", failure_domain, true,
	     "the failure domain that this host is in"),
	TEXT("host", "caller_address", caller_address, true,
	     "IP address and port for callers, such as 10.0.0.5:8080"),
	TEXT("host", "ready_address", ready_address, true,
	     "IP address and port for the balancer's readiness checks"),
	TEXT("host", "metrics_address", metrics_address, false,
	     "IP address and port for the metrics page; empty for none"),
	TEXT("host", "peer_address", peer_address, false,
	     "IP address and port for messages of the fleet's other hosts, as "
	     "they reach it; empty if hosts send none"),
	NUMBER("host", "memory_mb", memory_mb, 0, 1000000000, 0,
	       "memory of this host; larger hosts take tokens of budgets for "
	       "smaller ones of their failure domain"),
	NUMBER("host", "answer_memory_percent", answer_memory_percent, 1, 50,
	       15,
	       "percentage of memory_mb that answers of backend servers may "
	       "take until they may be passed on; without memory_mb, of 256"),
	NUMBER("host", "request_memory_percent", request_memory_percent, 1, 50,
	       30,
	       "percentage of memory_mb that callers' requests may take; a "
	       "larger body is refused with 413, and one that finds no room "
	       "with 503; without memory_mb, of 256"),
	NUMBER("host", "stall_room_ms", stall_room_ms, 0, 60000, 1000,
	       "while requests hold request_memory_percent, an incomplete one "
	       "of which nothing arrived for this long is refused with 503 to "
	       "make room, the largest first; 0 for none"),
	NUMBER("host", "max_descriptors", max_descriptors, 0, 1048576, 0,
	       "file descriptors that the process may have open; 0 for the "
	       "limit that the system sets"),
	NUMBER("host", "framing_bytes", framing_bytes, 4096, 67108864, 131072,
	       "chunk extensions and trailer fields that one request may have, "
	       "beside 16 bytes for each byte of its body; more is refused "
	       "with 431"),
	NUMBER("host", "discard_bytes", discard_bytes, 4096, 67108864, 65536,
	       "bytes of a refused request's body that are read on and "
	       "discarded before the host stops reading; callers that were "
	       "refused although their body is within its limit may send all "
	       "of it"),
	NUMBER("host", "link_mbps", link_mbps, 0, 10000000, 0,
	       "capacity of this host's network link in each direction; 0 if "
	       "it is unknown: then a full link is not noticed"),
	PAIRS("regions", "DOMAIN = REGION", regions,
	      "the region of each failure domain, for routes and teams that "
	      "are kept to some regions"),
	TEXT("store", "address", store_address, true,
	     "IP address and port of the platform's store"),
	NUMBER("store", "timeout_ms", store_timeout_ms, 50, 60000, 1000,
	       "timeout of a read or write of one store key"),
	NUMBER("store", "watch_wait_ms", watch_wait_ms, 100, 30000, 600,
	       "maximum time that the store holds a watch call while nothing "
	       "changes"),
	NUMBER("store", "apply_ms", apply_ms, 100, 60000, 2000,
	       "time within which a change in the store takes effect on this "
	       "host; the pause between watch calls is a fraction of it"),
	NUMBER("store", "drain_ms", drain_ms, 100, 60000, 2000,
	       "as apply_ms, for a backend server that starts to drain"),
	NUMBER("store", "evacuate_ms", evacuate_ms, 0, 60000, 0,
	       "as apply_ms, for the evacuation of a failure domain; 0 for "
	       "apply_ms"),
	NUMBER("store", "heartbeat_ms", heartbeat_ms, 50, 60000, 1200,
	       "interval of the backend servers' heartbeats; after three "
	       "without one the store removes a server's entry"),
	NUMBER("budget", "ledger_keys", ledger_keys, 1, 4096, 4,
	       "store keys that the teams' budgets are spread over in a new "
	       "ledger; a ledger in the store keeps its number"),
	NUMBER("budget", "ride_out_ms", ride_out_ms, 500, 86400000, 12000,
	       "length of the store outage that a host's allotments should "
	       "cover"),
	NUMBER("budget", "hold_percent", hold_percent, 1, 100, 50,
	       "percentage of its part of what is left of a budget that a host "
	       "may hold at most"),
	NUMBER("budget", "loss_percent", loss_percent, 1, 100, 35,
	       "percentage of what was paid in that deaths of all hosts, as "
	       "many as there may be, may strand; hosts hold less after each "
	       "loss"),
	NUMBER("budget", "expected_hosts", expected_hosts, 1, 10000, 8,
	       "expected number of hosts that share the budgets"),
	NUMBER("retry", "share_percent", retry_percent, 0, 100, 20,
	       "retries for each 100 requests of a service"),
	NUMBER("retry", "window_s", retry_window_s, 1, 3600, 10,
	       "window over which the slack is spread"),
	NUMBER("retry", "slack", retry_slack, 0, 100000, 50,
	       "retries of a service that all hosts together may make in a "
	       "window in addition to share_percent"),
	NUMBER("stop", "notice_ms", stop_notice_ms, 0, 600000, 2500,
	       "how long a stopping host still accepts requests, so that the "
	       "balancer notices the stop"),
	NUMBER("stop", "kill_after_s", stop_kill_after_s, 1, 7200, 8,
	       "the platform kills a stopping host after this time; the host "
	       "exits shortly before, even if requests are open"),
	NUMBER("log", "lines_per_s", log_lines_per_s, 1, 100000, 40,
	       "maximum log lines per second; state changes are exempt"),
};

static const struct settings_table table = {
	.settings = entries,
	.count = sizeof(entries) / sizeof(entries[0]),
	.hint = "no such setting; see --print-settings",
};

void edge_settings_set_defaults(struct edge_settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	settings_table_set_defaults(&table, settings);
}

static enum tgw_status check_together(const struct edge_settings *settings,
				      const char *path, struct tgw_error *error)
{
	struct region_map regions;

	if (!settings_is_address(settings->caller_address) ||
	    !settings_is_address(settings->ready_address) ||
	    !settings_is_address(settings->store_address))
		return tgw_error_set(error, TGW_INVALID,
				     "%s: [host] caller_address, [host] "
				     "ready_address and [store] address "
				     "must have the form IP:PORT",
				     path);
	if (*settings->metrics_address &&
	    !settings_is_address(settings->metrics_address))
		return tgw_error_set(error, TGW_INVALID,
				     "%s: [host] metrics_address must have "
				     "the form IP:PORT, or be left out",
				     path);
	if (*settings->peer_address &&
	    !settings_is_address(settings->peer_address))
		return tgw_error_set(error, TGW_INVALID,
				     "%s: [host] peer_address must have the "
				     "form IP:PORT, or be left out",
				     path);
	if (!region_map_parse(&regions, settings->regions))
		return tgw_error_set(
			error, TGW_INVALID,
			"%s: [regions] must have one line DOMAIN = "
			"REGION for each failure domain, at most "
			"%d domains in at most %d regions",
			path, REGION_MAP_DOMAINS_MAX, REGION_MAP_REGIONS_MAX);
	if (settings->stop_notice_ms > settings->stop_kill_after_s * 1000)
		return tgw_error_set(error, TGW_INVALID,
				     "%s: [stop] notice_ms must not exceed "
				     "kill_after_s",
				     path);
	return TGW_OK;
}

enum tgw_status edge_settings_read(struct edge_settings *settings,
				   const char *path, struct tgw_error *error)
{
	edge_settings_set_defaults(settings);
	if (settings_table_read(&table, settings, path, error) != TGW_OK)
		return error->status;
	return check_together(settings, path, error);
}

int64_t edge_settings_follow_ms(const struct edge_settings *settings)
{
	int64_t shortest_ms = settings->apply_ms;

	if (settings->drain_ms < shortest_ms)
		shortest_ms = settings->drain_ms;
	if (settings->evacuate_ms && settings->evacuate_ms < shortest_ms)
		shortest_ms = settings->evacuate_ms;
	return shortest_ms;
}

void edge_settings_print(const struct edge_settings *settings)
{
	settings_table_print(&table, settings);
}
