#include "protocol/server_report.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#define HASH_DIGITS 16
#define HASH_BASE 16

static int64_t count_or_0(const json_t *value)
{
	json_int_t number = json_integer_value(value);

	return number > 0 ? number : 0;
}

bool server_report_parse_load(struct tgw_load_report *report, const char *body,
			      size_t size, int64_t now_us)
{
	json_t *document = json_loadb(body, size, 0, NULL);
	const json_t *running = json_object_get(document, "running");
	bool valid = json_is_integer(running);

	memset(report, 0, sizeof(*report));
	report->running = count_or_0(running);
	report->waiting = count_or_0(json_object_get(document, "waiting"));
	report->cache_used_ratio = json_number_value(
		json_object_get(document, "cache_used_ratio"));
	report->received_at_us = now_us;
	json_decref(document);
	return valid;
}

static bool read_hash(const json_t *value, uint64_t *hash)
{
	const char *text = json_string_value(value);
	char *end;

	if (!text || strlen(text) != HASH_DIGITS)
		return false;
	*hash = strtoull(text, &end, HASH_BASE);
	return *end == '\0';
}

static bool read_kind(struct tgw_cache_event *event, const char *kind)
{
	if (!kind)
		return false;
	event->cleared = strcmp(kind, "cleared") == 0;
	event->stored = strcmp(kind, "stored") == 0;
	return event->cleared || event->stored || strcmp(kind, "evicted") == 0;
}

static bool read_event(struct tgw_cache_event *event, const json_t *value,
		       uint64_t hashes[CACHE_EVENT_HASHES_MAX])
{
	const json_t *sequence = json_object_get(value, "sequence");
	const json_t *hash;
	size_t i;

	memset(event, 0, sizeof(*event));
	event->hashes = hashes;
	if (!json_is_integer(sequence) ||
	    !read_kind(event,
		       json_string_value(json_object_get(value, "kind"))))
		return false;
	event->sequence = (uint64_t)json_integer_value(sequence);
	json_array_foreach(json_object_get(value, "hashes"), i, hash)
	{
		if (event->hash_count == CACHE_EVENT_HASHES_MAX)
			break;
		if (read_hash(hash, &hashes[event->hash_count]))
			event->hash_count++;
	}
	return true;
}

bool server_report_parse_cache_events(
	const char *body, size_t size,
	void (*event)(void *arg, const struct tgw_cache_event *event),
	void *arg, uint64_t *next)
{
	json_t *document = json_loadb(body, size, 0, NULL);
	const json_t *next_json = json_object_get(document, "next");
	bool valid = json_is_integer(next_json);
	uint64_t hashes[CACHE_EVENT_HASHES_MAX];
	const json_t *value;
	size_t i;

	json_array_foreach(json_object_get(document, "events"), i, value)
	{
		struct tgw_cache_event parsed;

		if (valid && read_event(&parsed, value, hashes))
			event(arg, &parsed);
	}
	if (valid)
		*next = (uint64_t)json_integer_value(next_json);
	json_decref(document);
	return valid;
}
