#include "edge/edge_settings.h"

#include <string.h>

#include "protocol/settings_table.h"

#define TEXT(section, key, field, required, help)                     \
	SETTING_TEXT_ENTRY(struct edge_settings, section, key, field, \
			   required, help)
#define NUMBER(section, key, field, min, max, default_value, help)           \
	SETTING_NUMBER_ENTRY(struct edge_settings, section, key, field, min, \
			     max, default_value, help)

static const struct setting entries[] = {
	TEXT("host", "name", name, true, "this host's name in the fleet"),
	TEXT("host", "failure_domain", failure_domain, true,
	     "the failure domain that this host stands in"),
	TEXT("host", "caller_address", caller_address, true,
	     "IP number and port for callers, such as 10.0.0.5:8080"),
	TEXT("host", "ready_address", ready_address, true,
	     "IP number and port for the balancer's question if this host is "
	     "ready"),
	TEXT("host", "metrics_address", metrics_address, false,
	     "IP number and port for the metrics; empty: none"),
	TEXT("store", "address", store_address, true,
	     "IP number and port of the platform's store"),
	NUMBER("store", "timeout_ms", store_timeout_ms, 50, 60000, 1000,
	       "longest wait for an answer of the store"),
	NUMBER("store", "watch_wait_ms", watch_wait_ms, 100, 30000, 600,
	       "how long the store holds a watch without news"),
	NUMBER("store", "apply_ms", apply_ms, 100, 60000, 2000,
	       "time within which a change in the store binds this host; "
	       "watch calls pause for a part of it"),
	NUMBER("store", "drain_ms", drain_ms, 100, 60000, 2000,
	       "the same for a server that leaves"),
	NUMBER("budget", "ledger_keys", ledger_keys, 1, 4096, 1,
	       "keys of the store that the teams' budgets are spread over; "
	       "alike on all hosts"),
	NUMBER("budget", "ride_out_ms", ride_out_ms, 500, 86400000, 25000,
	       "demand held ready against an outage"),
	NUMBER("budget", "hold_percent", hold_percent, 1, 100, 90,
	       "most that a host holds of its fair part of a whole budget; "
	       "less as the budget runs out"),
	NUMBER("budget", "expected_hosts", expected_hosts, 1, 10000, 8,
	       "hosts that share the budgets"),
	NUMBER("retry", "share_percent", retry_percent, 0, 100, 20,
	       "further attempts for each 100 requests of a service"),
	NUMBER("retry", "window_s", retry_window_s, 1, 3600, 10,
	       "window over which the slack is spread"),
	NUMBER("retry", "slack", retry_slack, 0, 100000, 50,
	       "further attempts in a window, of all hosts, beside the share"),
	NUMBER("stop", "notice_ms", stop_notice_ms, 0, 600000, 2500,
	       "a stopping host still takes requests for this long while "
	       "the balancer learns of it"),
	NUMBER("stop", "kill_after_s", stop_kill_after_s, 1, 7200, 8,
	       "the platform kills a stopping host after this time; open "
	       "requests have until shortly before"),
	NUMBER("log", "lines_per_s", log_lines_per_s, 1, 100000, 40,
	       "most lines a second; changes of state always come"),
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
	if (!settings_is_address(settings->caller_address) ||
	    !settings_is_address(settings->ready_address) ||
	    !settings_is_address(settings->store_address))
		return tgw_error_set(error, TGW_INVALID,
				     "%s: caller_address, ready_address and "
				     "the store's address must have the "
				     "form IP:PORT",
				     path);
	if (*settings->metrics_address &&
	    !settings_is_address(settings->metrics_address))
		return tgw_error_set(error, TGW_INVALID,
				     "%s: [host] metrics_address must have "
				     "the form IP:PORT, or be left out",
				     path);
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

void edge_settings_print(const struct edge_settings *settings)
{
	settings_table_print(&table, settings);
}
