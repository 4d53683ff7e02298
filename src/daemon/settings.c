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
	     "this host's failure domain"),
	TEXT("host", "caller_address", caller_address, true,
	     "IP number and port for callers, such as 10.0.0.5:8080"),
	TEXT("host", "peer_address", peer_address, true,
	     "IP number and port for the other hosts"),
	NUMBER("host", "memory_mb", memory_mb, 0, 1000000000, 0,
	       "memory of this host; 0 for what its control group or the "
	       "system has"),
	NUMBER("host", "request_memory_percent", request_memory_percent, 1, 50,
	       30,
	       "percentage of memory_mb that callers' requests may take; a "
	       "larger body is refused with 413, and one that finds no room "
	       "with 503"),
	NUMBER("host", "stall_room_ms", stall_room_ms, 0, 60000, 1000,
	       "while requests hold request_memory_percent, an incomplete one "
	       "of which nothing arrived for this long is refused with 503 to "
	       "make room, the largest first; 0 for none"),
	NUMBER("host", "max_descriptors", max_descriptors, 0, 1048576, 0,
	       "file descriptors that the process may have open; 0 for the "
	       "limit that the system sets; callers' connections may take 7 "
	       "of 24"),
	TEXT("platform", "store_url", store_url, true,
	     "HTTP base URL of the platform's key-value service"),
	TEXT("platform", "list_url", list_url, true,
	     "HTTP base URL of the platform's list of hosts"),
	NUMBER("platform", "store_timeout_ms", store_timeout_ms, 50, 60000,
	       1000, "timeout of a store call"),
	NUMBER("platform", "list_interval_ms", list_interval_ms, 100, 600000,
	       5000, "time between reads of the list of hosts"),
	NUMBER("limits", "max_connections", max_connections, 1, 100000, 4096,
	       "maximum number of connections from callers"),
	NUMBER("limits", "max_open_requests", max_open_requests, 1, 100000,
	       2048, "maximum number of open requests"),
	NUMBER("limits", "max_body_bytes", max_body_bytes, 1024, 67108864,
	       4194304, "largest request body"),
	NUMBER("limits", "max_header_bytes", max_header_bytes, 1024, 1048576,
	       32768, "largest request head"),
	NUMBER("limits", "framing_bytes", framing_bytes, 4096, 67108864, 131072,
	       "chunk extensions and trailer fields that one request may have, "
	       "beside 16 bytes for each byte of its body; more is refused "
	       "with 431"),
	NUMBER("limits", "discard_bytes", discard_bytes, 4096, 67108864, 65536,
	       "bytes of a refused request's body that are read on and "
	       "discarded before the host stops reading; callers that were "
	       "refused although their body is within its limit may send all "
	       "of it"),
	NUMBER("limits", "max_answer_bytes", max_answer_bytes, 1024, 67108864,
	       4194304, "largest answer that is kept in memory as a whole"),
	NUMBER("limits", "stream_buffer_bytes", stream_buffer_bytes, 4096,
	       16777216, 65536,
	       "unread bytes of an answer at which its server is paused"),
	NUMBER("limits", "caller_idle_ms", caller_idle_ms, 1000, 3600000, 30000,
	       "idle timeout of a caller's connection"),
	NUMBER("limits", "default_deadline_ms", default_deadline_ms, 100,
	       3600000, 60000, "for requests without a deadline"),
	NUMBER("limits", "max_deadline_ms", max_deadline_ms, 100, 3600000,
	       600000, "longest deadline accepted"),
	NUMBER("limits", "replay_memory_bytes", replay_memory_bytes, 0,
	       134217728, 16777216,
	       "memory for answers that are kept for retries"),
	NUMBER("limits", "replay_keep_s", replay_keep_s, 0, 86400, 600,
	       "how long an answer is kept for retries"),
	NUMBER("limits", "stop_notice_ms", stop_notice_ms, 0, 600000, 3000,
	       "how long a stopping host still accepts requests, so that the "
	       "load balancer can notice"),
	NUMBER("limits", "stop_grace_s", stop_grace_s, 1, 7200, 600,
	       "maximum wait of a planned stop for open requests"),
	NUMBER("budget", "ledger_flush_ms", ledger_flush_ms, 100, 3600000, 5000,
	       "minimum time between writes of one key"),
	NUMBER("budget", "ride_out_s", ride_out_s, 1, 86400, 3600,
	       "length of the store outage that held tokens should cover"),
	NUMBER("claims", "claim_batch_ms", claim_batch_ms, 0, 1000, 5,
	       "how long a claim waits for others, to share one write"),
	NUMBER("claims", "claim_keep_s", claim_keep_s, 60, 2592000, 86400,
	       "age at which an ended claim or a ticket is removed"),
	NUMBER("membership", "heartbeat_ms", heartbeat_ms, 50, 60000, 1000,
	       "time between heartbeats"),
	NUMBER("membership", "silent_after_ms", silent_after_ms, 100, 600000,
	       4000, "time without a heartbeat after which a host is silent"),
	NUMBER("membership", "gone_after_ms", gone_after_ms, 1000, 3600000,
	       10000,
	       "time for which a silent host must be missing from the list to "
	       "be gone"),
	NUMBER("backend", "load_poll_ms", load_poll_ms, 50, 60000, 500,
	       "time between reads of a server's load"),
	NUMBER("backend", "connect_timeout_ms", connect_timeout_ms, 10, 60000,
	       500, "timeout for connecting to a server"),
	NUMBER("backend", "stream_idle_ms", stream_idle_ms, 100, 3600000, 30000,
	       "time without data after which a stream counts as broken"),
	TEXT("security", "peer_secret_file", peer_secret_file, false,
	     "the fleet's CURVE key pair; empty: no encryption between hosts"),
	TEXT("security", "operator_keys_file", operator_keys_file, false,
	     "operators' keys; empty: the operators' pages are off"),
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
