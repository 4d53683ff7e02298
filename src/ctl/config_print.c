#include "ctl/config_print.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/xalloc.h"
#include "state/config_ini.h"
#include "tamarackgw/clock.h"

#define TIME_SIZE 32
#define HEX_SIZE (2 * AUDIT_HASH_BYTES + 1)
#define MAX_CHANGES_SHOWN 200

void config_print_json(json_t *value)
{
	json_dumpf(value, stdout, JSON_INDENT(2));
	putchar('\n');
	json_decref(value);
}

void config_format_time(int64_t wall_us, char *text, size_t size)
{
	time_t seconds = (time_t)(wall_us / TGW_US_PER_S);
	struct tm broken_down;

	gmtime_r(&seconds, &broken_down);
	strftime(text, size, "%Y-%m-%dT%H:%M:%SZ", &broken_down);
}

static json_t *names_to_json(const struct tgw_name_list *list)
{
	json_t *names = json_array();

	for (size_t i = 0; i < list->count; i++)
		json_array_append_new(names, json_string(list->names[i]));
	return names;
}

static json_t *work_kinds_to_json(const struct tgw_work_kind *kinds,
				  size_t count)
{
	json_t *array = json_array();

	for (size_t i = 0; i < count; i++)
		json_array_append_new(
			array,
			json_pack("{s:s, s:s, s:I}", "name", kinds[i].name,
				  "urgency", tgw_urgency_name(kinds[i].urgency),
				  "deadline_ms",
				  (json_int_t)kinds[i].deadline_ms));
	return array;
}

static json_t *template_to_json(const struct tgw_template *template)
{
	return json_pack(
		"{s:s, s:o, s:o, s:o, s:I, s:I, s:I, s:I}", "name",
		template->name, "models", names_to_json(&template->models),
		"services", names_to_json(&template->services), "work_kinds",
		work_kinds_to_json(template->work_kinds,
				   template->work_kind_count),
		"max_output_tokens", (json_int_t) template->max_output_tokens,
		"prompt_fixed_tokens",
		(json_int_t) template->prompt_fixed_tokens,
		"service_call_tokens",
		(json_int_t) template->service_call_tokens, "max_open_requests",
		(json_int_t) template->max_open_requests);
}

static json_t *team_to_json(const struct config_object *object)
{
	const struct tgw_team *team = object->team;
	const struct config_parameters *overrides = object->parameters;
	json_t *hashes = json_array();
	json_t *json;

	for (size_t i = 0; i < team->key_count; i++) {
		char hex[HEX_SIZE];

		sodium_bin2hex(hex, sizeof(hex), team->key_hashes[i],
			       TGW_KEY_HASH_BYTES);
		json_array_append_new(hashes, json_string(hex));
	}
	json = json_pack("{s:s, s:s, s:s, s:o}", "name", team->name, "template",
			 team->template_name, "budget", team->budget,
			 "key_hashes", hashes);
	if (!overrides)
		return json;
	if (overrides->has_models)
		json_object_set_new(json, "models",
				    names_to_json(&overrides->models));
	if (overrides->has_services)
		json_object_set_new(json, "services",
				    names_to_json(&overrides->services));
	if (overrides->has_work_kinds)
		json_object_set_new(
			json, "work_kinds",
			work_kinds_to_json(overrides->work_kinds,
					   overrides->work_kind_count));
	if (overrides->max_output_tokens)
		json_object_set_new(json, "max_output_tokens",
				    json_integer(overrides->max_output_tokens));
	if (overrides->max_open_requests)
		json_object_set_new(json, "max_open_requests",
				    json_integer(overrides->max_open_requests));
	return json;
}

static json_t *server_to_json(const struct tgw_server *server)
{
	return json_pack("{s:s, s:s, s:s, s:s, s:o, s:s, s:b, s:b, s:b, s:b, "
			 "s:I}",
			 "name", server->name, "failure_domain",
			 server->failure_domain, "url", server->url, "kind",
			 server->kind == TGW_SERVER_MODEL ? "model" : "service",
			 "models", names_to_json(&server->models), "service",
			 server->service, "can_resume", (int)server->can_resume,
			 "can_cancel", (int)server->can_cancel,
			 "checks_fencing", (int)server->checks_fencing,
			 "draining", (int)server->draining, "slots",
			 (json_int_t)server->slots);
}

static json_t *service_to_json(const struct tgw_service *service)
{
	json_t *methods = json_array();

	for (size_t i = 0; i < service->repeatable_count; i++)
		json_array_append_new(methods,
				      json_string(service->repeatable[i]));
	return json_pack("{s:s, s:o}", "name", service->name, "repeatable",
			 methods);
}

json_t *config_object_to_json(const struct config_object *object)
{
	switch (object->kind) {
	case CONFIG_TEMPLATE:
		return template_to_json(object->template);
	case CONFIG_TEAM:
		return team_to_json(object);
	case CONFIG_SERVER:
		return server_to_json(object->server);
	default:
		return service_to_json(object->service);
	}
}

static struct config_object *decode_body(const struct config_change *change,
					 const struct config_body *body)
{
	struct tgw_error ignored;

	if (!body->data)
		return NULL;
	return config_object_decode(change->kind, change->name, body->data,
				    body->size, &ignored);
}

static bool has_line(const char *text, const char *line, size_t length)
{
	while (text && *text) {
		const char *end = strchr(text, '\n');

		if ((size_t)(end - text) == length &&
		    !memcmp(text, line, length))
			return true;
		text = end + 1;
	}
	return false;
}

/* Calls a function for each line of a text that another text lacks. */
static void each_unmatched_line(const char *text, const char *other,
				void (*each)(void *arg, const char *line,
					     size_t length),
				void *arg)
{
	while (text && *text) {
		const char *end = strchr(text, '\n');
		size_t length = (size_t)(end - text);

		if (!has_line(other, text, length))
			each(arg, text, length);
		text = end + 1;
	}
}

static void print_line(void *arg, const char *line, size_t length)
{
	printf("  %s %.*s\n", (const char *)arg, (int)length, line);
}

/* Writes the object before and after a change as INI sections. */
static void write_texts(const struct config_change *change,
			struct buffer *before, struct buffer *after)
{
	struct config_object *old = decode_body(change, &change->before);
	struct config_object *new = decode_body(change, &change->after);

	if (old)
		config_ini_write(old, before);
	if (new)
		config_ini_write(new, after);
	config_object_unref(old);
	config_object_unref(new);
}

static const char *verb_of(const struct config_change *change)
{
	if (!change->before.data)
		return "add";
	return change->after.data ? "change" : "remove";
}

static void print_change(const struct config_change *change)
{
	static char minus[] = "-";
	static char plus[] = "+";
	struct buffer before = {0};
	struct buffer after = {0};

	write_texts(change, &before, &after);
	printf("%s %s %s\n", verb_of(change), config_kind_name(change->kind),
	       change->name);
	each_unmatched_line(before.data, after.data, print_line, minus);
	each_unmatched_line(after.data, before.data, print_line, plus);
	buffer_free(&before);
	buffer_free(&after);
}

static json_t *body_to_json(const struct config_change *change,
			    const struct config_body *body)
{
	struct config_object *object = decode_body(change, body);
	json_t *json = object ? config_object_to_json(object) : json_null();

	config_object_unref(object);
	return json;
}

static json_t *change_to_json(const struct config_change *change)
{
	return json_pack("{s:s, s:s, s:s, s:o, s:o}", "verb", verb_of(change),
			 "kind", config_kind_name(change->kind), "name",
			 change->name, "before",
			 body_to_json(change, &change->before), "after",
			 body_to_json(change, &change->after));
}

void config_print_changes(const struct ctl *ctl,
			  const struct config_change_list *list)
{
	json_t *array;

	if (!ctl->json) {
		for (size_t i = 0; i < list->count && i < MAX_CHANGES_SHOWN;
		     i++)
			print_change(&list->changes[i]);
		if (list->count > MAX_CHANGES_SHOWN)
			printf("and %zu more; use --json to see all\n",
			       list->count - MAX_CHANGES_SHOWN);
		return;
	}
	array = json_array();
	for (size_t i = 0; i < list->count; i++)
		json_array_append_new(array, change_to_json(&list->changes[i]));
	config_print_json(json_pack("{s:o}", "changes", array));
}

json_t *config_audit_to_json(const struct audit_entry *entry)
{
	char when[TIME_SIZE];
	char hash[HEX_SIZE];

	config_format_time(entry->wall_us, when, sizeof(when));
	sodium_bin2hex(hash, sizeof(hash), entry->hash, AUDIT_HASH_BYTES);
	return json_pack("{s:I, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s, s:s}",
			 "sequence", (json_int_t)entry->sequence, "when", when,
			 "who", entry->who, "from", entry->from, "action",
			 entry->action, "object", entry->object, "before",
			 entry->before, "after", entry->after, "reason",
			 entry->reason, "hash", hash);
}

void config_print_audit(const struct audit_entry *entry, FILE *out)
{
	char when[TIME_SIZE];

	config_format_time(entry->wall_us, when, sizeof(when));
	fprintf(out, "%6" PRIu64 "  %s  %-12s %-18s %s: %s\n", entry->sequence,
		when, entry->who, entry->action, entry->object, entry->reason);
	if (*entry->before)
		fprintf(out, "        before: %s\n", entry->before);
	if (*entry->after)
		fprintf(out, "        after:  %s\n", entry->after);
}

void config_print_history(const struct ctl *ctl,
			  const struct config_delta *deltas, size_t count,
			  FILE *out)
{
	json_t *array;

	if (!ctl->json || out != stdout) {
		for (size_t i = 0; i < count; i++)
			config_print_audit(&deltas[i].audit, out);
		return;
	}
	array = json_array();
	for (size_t i = 0; i < count; i++)
		json_array_append_new(array,
				      config_audit_to_json(&deltas[i].audit));
	config_print_json(json_pack("{s:o}", "history", array));
}

static void add_audit_line(void *arg, const char *line, size_t length)
{
	struct buffer *text = arg;
	const char *key_hash = "key_hash = ";

	if (*line == '[')
		return;
	/* The first eight hex digits are enough to distinguish the keys. */
	if (!strncmp(line, key_hash, strlen(key_hash)) &&
	    length > strlen(key_hash) + 8)
		length = strlen(key_hash) + 8;
	if (text->size)
		buffer_add_text(text, "; ");
	buffer_add(text, line, length);
}

void config_audit_set_texts(const struct config_change_list *list,
			    struct audit_entry *entry)
{
	struct buffer removed = {0};
	struct buffer added = {0};
	struct buffer before = {0};
	struct buffer after = {0};

	if (list->count != 1) {
		snprintf(entry->after, sizeof(entry->after),
			 "%zu objects, first %s %s %s", list->count,
			 verb_of(&list->changes[0]),
			 config_kind_name(list->changes[0].kind),
			 list->changes[0].name);
		return;
	}
	write_texts(&list->changes[0], &before, &after);
	each_unmatched_line(before.data, after.data, add_audit_line, &removed);
	each_unmatched_line(after.data, before.data, add_audit_line, &added);
	snprintf(entry->before, sizeof(entry->before), "%s",
		 removed.data ? removed.data : "");
	snprintf(entry->after, sizeof(entry->after), "%s",
		 added.data ? added.data : "");
	buffer_free(&before);
	buffer_free(&after);
	buffer_free(&removed);
	buffer_free(&added);
}
