#include "daemon/settings.h"

#include <string.h>

#include "protocol/settings_table.h"

#define TEXT(section, key, field, required, help) \
	SETTING_TEXT_ENTRY(struct settings, section, key, field, required, help)
#define NUMBER(section, key, field, min_value, max_value, default_value, help) \
	SETTING_NUMBER_ENTRY(struct settings, section, key, field, min_value,  \
			     max_value, default_value, help)

static const struct setting entries[] = {
	TEXT("host", "name", name, true, "this host's name in the fleet"),
	TEXT("host", "failure_domain", failure_domain, true,
	     "the failure domain that this host stands in"),
	TEXT("host", "caller_address", caller_address, true,
	     "IP number and port for callers, such as 10.0.0.5:8080"),
	TEXT("host", "peer_address", peer_address, true,
	     "IP number and port for the other hosts"),
	TEXT("platform", "store_url", store_url, true,
	     "HTTP base of the platform's key-value service"),
	TEXT("platform", "list_url", list_url, true,
	     "HTTP base of the platform's list of hosts"),
	NUMBER("platform", "store_timeout_ms", store_timeout_ms, 50, 60000,
	       1000, "longest wait for an answer of the store"),
	NUMBER("platform", "list_interval_ms", list_interval_ms, 100, 600000,
	       5000, "time between reads of the list"),
	NUMBER("limits", "max_connections", max_connections, 1, 100000, 4096,
	       "open connections from callers"),
	NUMBER("limits", "max_open_requests", max_open_requests, 1, 100000,
	       2048, "requests under way"),
	NUMBER("limits", "max_body_bytes", max_body_bytes, 1024, 67108864,
	       4194304, "largest body of a request"),
	NUMBER("limits", "max_header_bytes", max_header_bytes, 1024, 1048576,
	       32768, "largest head of a request"),
	NUMBER("limits", "max_answer_bytes", max_answer_bytes, 1024, 67108864,
	       4194304, "largest answer of a plain service"),
	NUMBER("limits", "stream_buffer_bytes", stream_buffer_bytes, 4096,
	       16777216, 65536, "kept of a stream for a slow caller"),
	NUMBER("limits", "caller_idle_ms", caller_idle_ms, 1000, 3600000, 30000,
	       "a caller silent for longer is dropped"),
	NUMBER("limits", "default_deadline_ms", default_deadline_ms, 100,
	       3600000, 60000, "for requests that bring no deadline"),
	NUMBER("limits", "max_deadline_ms", max_deadline_ms, 100, 3600000,
	       600000, "longest deadline that is taken"),
	NUMBER("limits", "replay_memory_bytes", replay_memory_bytes, 0,
	       134217728, 16777216, "answers kept for retries"),
	NUMBER("limits", "replay_keep_s", replay_keep_s, 0, 86400, 600,
	       "how long an answer is kept for retries"),
	NUMBER("limits", "stop_notice_ms", stop_notice_ms, 0, 600000, 3000,
	       "a stopping host still takes requests for this long while "
	       "the balancer learns of it"),
	NUMBER("limits", "stop_grace_s", stop_grace_s, 1, 7200, 600,
	       "a planned stop waits this long for open requests"),
	NUMBER("budget", "ledger_flush_ms", ledger_flush_ms, 100, 3600000, 5000,
	       "shortest time between writes of one key"),
	NUMBER("budget", "ride_out_s", ride_out_s, 1, 86400, 3600,
	       "demand held ready against an outage"),
	NUMBER("claims", "claim_batch_ms", claim_batch_ms, 0, 1000, 5,
	       "a claim waits this long for others to share its write"),
	NUMBER("claims", "claim_keep_s", claim_keep_s, 60, 2592000, 86400,
	       "age at which a claim is cleaned up"),
	NUMBER("membership", "heartbeat_ms", heartbeat_ms, 50, 60000, 1000,
	       "time between heartbeats"),
	NUMBER("membership", "silent_after_ms", silent_after_ms, 100, 600000,
	       4000, "a host not heard from for this long is silent"),
	NUMBER("membership", "gone_after_ms", gone_after_ms, 1000, 3600000,
	       10000, "silent and off the list for this long is gone"),
	NUMBER("backend", "load_poll_ms", load_poll_ms, 50, 60000, 500,
	       "time between reads of a server's load"),
	NUMBER("backend", "connect_timeout_ms", connect_timeout_ms, 10, 60000,
	       500, "longest wait for a connection to a server"),
	NUMBER("backend", "stream_idle_ms", stream_idle_ms, 100, 3600000, 30000,
	       "a stream silent for longer is broken"),
	TEXT("security", "peer_secret_file", peer_secret_file, false,
	     "the fleet's CURVE key pair; empty: hosts talk unencrypted"),
	TEXT("security", "operator_keys_file", operator_keys_file, false,
	     "operators' keys; empty: no operators' pages"),
	TEXT("log", "level", log_level, true, "error, warning, info or debug"),
};

static const struct settings_table table = {
	.settings = entries,
	.count = sizeof(entries) / sizeof(entries[0]),
	.hint = "no such setting; see tamarackgwd --print-settings",
};

#define DEFAULT_LOG_LEVEL "info"

void settings_set_defaults(struct settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	settings_table_set_defaults(&table, settings);
	strcpy(settings->log_level, DEFAULT_LOG_LEVEL);
}

static bool is_log_level(const char *name)
{
	static const char *const levels[] = {"error", "warning", "info",
					     "debug"};

	for (size_t i = 0; i < sizeof(levels) / sizeof(levels[0]); i++)
		if (!strcmp(levels[i], name))
			return true;
	return false;
}

static enum tgw_status check_consistency(const struct settings *settings,
					 const char *path,
					 struct tgw_error *error)
{
	if (!settings_is_address(settings->caller_address) ||
	    !settings_is_address(settings->peer_address))
		return tgw_error_set(error, TGW_INVALID,
				     "%s: [host] caller_address and "
				     "peer_address need the form IP:PORT",
				     path);
	if (strncmp(settings->store_url, "http", 4) ||
	    strncmp(settings->list_url, "http", 4))
		return tgw_error_set(error, TGW_INVALID,
				     "%s: [platform] store_url and list_url "
				     "need the form http://IP:PORT",
				     path);
	if (settings->silent_after_ms < 2 * settings->heartbeat_ms)
		return tgw_error_set(error, TGW_INVALID,
				     "%s: [membership] silent_after_ms must "
				     "be at least twice heartbeat_ms",
				     path);
	if (settings->default_deadline_ms > settings->max_deadline_ms)
		return tgw_error_set(error, TGW_INVALID,
				     "%s: [limits] default_deadline_ms must "
				     "not be above max_deadline_ms",
				     path);
	if (!is_log_level(settings->log_level))
		return tgw_error_set(error, TGW_INVALID,
				     "%s: [log] level: '%s' is not one of "
				     "error, warning, info, debug",
				     path, settings->log_level);
	return TGW_OK;
}

enum tgw_status settings_read(struct settings *settings, const char *path,
			      struct tgw_error *error)
{
	settings_set_defaults(settings);
	if (settings_table_read(&table, settings, path, error) != TGW_OK)
		return error->status;
	return check_consistency(settings, path, error);
}

void settings_print(const struct settings *settings)
{
	settings_table_print(&table, settings);
}
