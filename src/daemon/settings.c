#include "daemon/settings.h"

#include <ini.h>
#include <inttypes.h>
#include <stddef.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

enum setting_type { SETTING_TEXT, SETTING_NUMBER };

/** One key of the file: where it goes, and what it may be. */
struct setting {
	const char *section;
	const char *key;
	enum setting_type type;
	size_t offset;
	size_t size;	  /* of a text */
	bool required;	  /* a text that must not be empty */
	int64_t least;	  /* of a number */
	int64_t most;	  /* of a number */
	int64_t standard; /* of a number */
	const char *help;
};

#define TEXT(section, key, field, required, help)                              \
	{                                                                      \
		section, key, SETTING_TEXT, offsetof(struct settings, field),  \
			sizeof(((struct settings *)0)->field), required, 0, 0, \
			0, help                                                \
	}
#define NUMBER(section, key, field, least, most, standard, help)           \
	{                                                                  \
		section, key, SETTING_NUMBER,                              \
			offsetof(struct settings, field), 0, false, least, \
			most, standard, help                               \
	}

static const struct setting table[] = {
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
	NUMBER("limits", "request_threads", request_threads, 1, 64, 4,
	       "threads that serve callers"),
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

#define SETTING_COUNT (sizeof(table) / sizeof(table[0]))
#define DEFAULT_LOG_LEVEL "info"

static char *text_of(const struct settings *settings,
		     const struct setting *setting)
{
	return (char *)settings + setting->offset;
}

static int64_t *number_of(const struct settings *settings,
			  const struct setting *setting)
{
	return (int64_t *)(void *)((char *)settings + setting->offset);
}

void settings_set_defaults(struct settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	for (size_t i = 0; i < SETTING_COUNT; i++)
		if (table[i].type == SETTING_NUMBER)
			*number_of(settings, &table[i]) = table[i].standard;
	strcpy(settings->log_level, DEFAULT_LOG_LEVEL);
}

/** A file being read; the library tells no line numbers. */
struct reading {
	struct settings *settings;
	struct tgw_error *error;
	const char *path;
	FILE *file;
	int line;
	bool seen[SETTING_COUNT];
};

static char *read_line(char *text, int size, void *arg)
{
	struct reading *reading = arg;
	char *line = fgets(text, size, reading->file);

	if (line)
		reading->line++;
	return line;
}

static int refuse(struct reading *reading, const char *section, const char *key,
		  const char *remedy)
{
	if (reading->error->status == TGW_OK)
		tgw_error_set(reading->error, TGW_INVALID, "%s:%d: [%s] %s: %s",
			      reading->path, reading->line, section, key,
			      remedy);
	return 0;
}

static int take_number(struct reading *reading, const struct setting *setting,
		       const char *value)
{
	char remedy[160];
	char *end = NULL;
	long long number = strtoll(value, &end, 10);

	if (end == value || *end || number < setting->least ||
	    number > setting->most) {
		snprintf(remedy, sizeof(remedy),
			 "'%.40s' is not a number from %" PRId64 " to %" PRId64
			 "; correct it or leave the key out for %" PRId64,
			 value, setting->least, setting->most,
			 setting->standard);
		return refuse(reading, setting->section, setting->key, remedy);
	}
	*number_of(reading->settings, setting) = number;
	return 1;
}

static int take_text(struct reading *reading, const struct setting *setting,
		     const char *value)
{
	char remedy[160];

	if (strlen(value) >= setting->size) {
		snprintf(remedy, sizeof(remedy),
			 "longer than %zu characters; shorten it",
			 setting->size - 1);
		return refuse(reading, setting->section, setting->key, remedy);
	}
	memcpy(text_of(reading->settings, setting), value, strlen(value) + 1);
	return 1;
}

static int take_value(void *arg, const char *section, const char *key,
		      const char *value)
{
	struct reading *reading = arg;

	for (size_t i = 0; i < SETTING_COUNT; i++) {
		const struct setting *setting = &table[i];

		if (strcmp(setting->section, section) ||
		    strcmp(setting->key, key))
			continue;
		if (reading->seen[i])
			return refuse(reading, section, key,
				      "given twice; remove one");
		reading->seen[i] = true;
		if (setting->type == SETTING_NUMBER)
			return take_number(reading, setting, value);
		return take_text(reading, setting, value);
	}
	return refuse(reading, section, key,
		      "no such setting; see tamarackgwd --print-settings");
}

static enum tgw_status require_texts(const struct settings *settings,
				     const char *path, struct tgw_error *error)
{
	for (size_t i = 0; i < SETTING_COUNT; i++)
		if (table[i].required && !*text_of(settings, &table[i]))
			return tgw_error_set(error, TGW_INVALID,
					     "%s: [%s] %s is missing; give %s",
					     path, table[i].section,
					     table[i].key, table[i].help);
	return TGW_OK;
}

static bool is_address(const char *text)
{
	const char *colon = strrchr(text, ':');
	char *end = NULL;
	long port;

	if (!colon || colon == text)
		return false;
	port = strtol(colon + 1, &end, 10);
	return end != colon + 1 && !*end && port >= 0 && port <= UINT16_MAX;
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

static enum tgw_status check_together(const struct settings *settings,
				      const char *path, struct tgw_error *error)
{
	if (!is_address(settings->caller_address) ||
	    !is_address(settings->peer_address))
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
	struct reading reading = {
		.settings = settings,
		.error = error,
		.path = path,
	};
	int bad_line;

	tgw_error_clear(error);
	settings_set_defaults(settings);
	reading.file = fopen(path, "r");
	if (!reading.file)
		return tgw_error_set(error, TGW_NOT_FOUND,
				     "%s: can't be read; check the path and "
				     "its mode",
				     path);
	bad_line = ini_parse_stream(read_line, &reading, take_value, &reading);
	fclose(reading.file);
	if (error->status != TGW_OK)
		return error->status;
	if (bad_line)
		return tgw_error_set(error, TGW_INVALID,
				     "%s:%d: not of the form key = value", path,
				     bad_line);
	if (require_texts(settings, path, error) != TGW_OK)
		return error->status;
	return check_together(settings, path, error);
}

void settings_print(const struct settings *settings)
{
	const char *section = "";

	for (size_t i = 0; i < SETTING_COUNT; i++) {
		const struct setting *setting = &table[i];

		if (strcmp(section, setting->section))
			printf("%s[%s]\n", *section ? "\n" : "",
			       setting->section);
		section = setting->section;
		printf("; %s\n", setting->help);
		if (setting->type == SETTING_TEXT)
			printf("%s =%s%s\n", setting->key,
			       *text_of(settings, setting) ? " " : "",
			       text_of(settings, setting));
		else
			printf("; %" PRId64 " to %" PRId64 "\n%s = %" PRId64
			       "\n",
			       setting->least, setting->most, setting->key,
			       *number_of(settings, setting));
	}
}
