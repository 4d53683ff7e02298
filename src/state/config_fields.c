#include "state/config_fields.h"

#include <errno.h>
#include <sodium.h>
#include <stddef.h>
#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/text.h"

#define WORK_PREFIX "work."
#define LIST_SEPARATORS ", \t"
#define VALUE_SIZE 256

static const char *const urgency_names[TGW_URGENCY_COUNT] = {
	[TGW_URGENCY_IMMEDIATE] = "immediate",
	[TGW_URGENCY_HIGH] = "high",
	[TGW_URGENCY_NORMAL] = "normal",
	[TGW_URGENCY_BATCH] = "batch",
};

const char *tgw_urgency_name(enum tgw_urgency urgency)
{
	return urgency_names[urgency];
}

static enum tgw_status set_number(const char *key, const char *value,
				  int64_t *number, struct tgw_error *error)
{
	char *end = NULL;

	if (*number)
		return tgw_error_set(error, TGW_INVALID,
				     "%s stands twice; keep one", key);
	errno = 0;
	*number = strtoll(value, &end, 10);
	if (errno || end == value || *end)
		return tgw_error_set(error, TGW_INVALID,
				     "%s = '%.64s' is not a whole number; "
				     "write digits only",
				     key, value);
	return TGW_OK;
}

static enum tgw_status set_flag(const char *key, const char *value, bool *flag,
				struct tgw_error *error)
{
	if (!strcmp(value, "yes") || !strcmp(value, "no")) {
		*flag = *value == 'y';
		return TGW_OK;
	}
	return tgw_error_set(error, TGW_INVALID,
			     "%s = '%.64s' is not valid; write yes or no", key,
			     value);
}

static enum tgw_status set_text(const char *key, const char *value, char *text,
				size_t size, struct tgw_error *error)
{
	if (*text)
		return tgw_error_set(error, TGW_INVALID,
				     "%s stands twice; keep one", key);
	if (strlen(value) >= size)
		return tgw_error_set(
			error, TGW_INVALID,
			"%s is longer than %zu characters; shorten it", key,
			size - 1);
	text_copy(text, size, value);
	return TGW_OK;
}

/* Appends words that are separated by commas or blanks, of at most
 * word_size - 1 characters each, to an array of *count words. */
static enum tgw_status add_words(const char *key, const char *value,
				 char *words, size_t word_size, size_t *count,
				 struct tgw_error *error)
{
	char copy[VALUE_SIZE];
	char *rest = NULL;

	if (strlen(value) >= sizeof(copy))
		return tgw_error_set(error, TGW_INVALID,
				     "%s is too long; split it over several "
				     "lines of the same key",
				     key);
	text_copy(copy, sizeof(copy), value);
	for (char *word = strtok_r(copy, LIST_SEPARATORS, &rest); word;
	     word = strtok_r(NULL, LIST_SEPARATORS, &rest)) {
		if (*count == TGW_LIST_MAX)
			return tgw_error_set(error, TGW_INVALID,
					     "%s has more than %d names; "
					     "remove some",
					     key, TGW_LIST_MAX);
		if (strlen(word) >= word_size)
			return tgw_error_set(error, TGW_INVALID,
					     "%s: '%.64s' is longer than %zu "
					     "characters; shorten it",
					     key, word, word_size - 1);
		text_copy(words + word_size * (*count)++, word_size, word);
	}
	return TGW_OK;
}

static enum tgw_status add_names(const char *key, const char *value,
				 struct tgw_name_list *list,
				 struct tgw_error *error)
{
	return add_words(key, value, list->names[0], TGW_NAME_SIZE,
			 &list->count, error);
}

static enum tgw_status parse_urgency(const char *key, const char *name,
				     enum tgw_urgency *urgency,
				     struct tgw_error *error)
{
	for (int i = 0; i < TGW_URGENCY_COUNT; i++) {
		if (!strcmp(urgency_names[i], name)) {
			*urgency = (enum tgw_urgency)i;
			return TGW_OK;
		}
	}
	return tgw_error_set(error, TGW_INVALID,
			     "%s: '%.32s' is no urgency; use immediate, high, "
			     "normal or batch",
			     key, name);
}

/* Parses "work.NAME = URGENCY, DEADLINE_MS". */
static enum tgw_status add_work_kind(const char *key, const char *value,
				     struct tgw_work_kind *kinds, size_t *count,
				     struct tgw_error *error)
{
	const char *name = key + strlen(WORK_PREFIX);
	struct tgw_work_kind *kind;
	char copy[VALUE_SIZE] = "";
	char *rest = NULL;
	char *urgency;
	char *deadline;
	enum tgw_status status;

	if (*count == TGW_WORK_KINDS_MAX)
		return tgw_error_set(error, TGW_INVALID,
				     "there are more than %d kinds of work; "
				     "remove some",
				     TGW_WORK_KINDS_MAX);
	kind = &kinds[*count];
	memset(kind, 0, sizeof(*kind));
	status = set_text(key, name, kind->name, sizeof(kind->name), error);
	if (status == TGW_OK)
		status = set_text(key, value, copy, sizeof(copy), error);
	if (status != TGW_OK)
		return status;
	urgency = strtok_r(copy, LIST_SEPARATORS, &rest);
	deadline = strtok_r(NULL, LIST_SEPARATORS, &rest);
	if (!deadline || strtok_r(NULL, LIST_SEPARATORS, &rest))
		return tgw_error_set(error, TGW_INVALID,
				     "%s needs an urgency and a deadline; "
				     "for example '%s = high, 20000'",
				     key, key);
	status = parse_urgency(key, urgency, &kind->urgency, error);
	if (status == TGW_OK)
		status = set_number(key, deadline, &kind->deadline_ms, error);
	if (status == TGW_OK)
		(*count)++;
	return status;
}

static enum tgw_status report_unknown_key(const char *key, const char *known,
					  struct tgw_error *error)
{
	return tgw_error_set(
		error, TGW_INVALID,
		"'%.64s' is not a key of this section; the known keys "
		"are %s",
		key, known);
}

static enum tgw_status set_template(struct tgw_template *template,
				    const char *key, const char *value,
				    struct tgw_error *error)
{
	if (!strncmp(key, WORK_PREFIX, strlen(WORK_PREFIX)))
		return add_work_kind(key, value, template->work_kinds,
				     &template->work_kind_count, error);
	if (!strcmp(key, "models"))
		return add_names(key, value, &template->models, error);
	if (!strcmp(key, "services"))
		return add_names(key, value, &template->services, error);
	if (!strcmp(key, "max_output_tokens"))
		return set_number(key, value, &template->max_output_tokens,
				  error);
	if (!strcmp(key, "prompt_fixed_tokens"))
		return set_number(key, value, &template->prompt_fixed_tokens,
				  error);
	if (!strcmp(key, "service_call_tokens"))
		return set_number(key, value, &template->service_call_tokens,
				  error);
	if (!strcmp(key, "max_open_requests"))
		return set_number(key, value, &template->max_open_requests,
				  error);
	return report_unknown_key(
		key,
		"models, services, work.NAME, max_output_tokens, "
		"prompt_fixed_tokens, service_call_tokens, "
		"max_open_requests",
		error);
}

static enum tgw_status add_key_hash(struct tgw_team *team, const char *value,
				    struct tgw_error *error)
{
	size_t size = 0;

	if (team->key_count == TGW_TEAM_KEYS_MAX)
		return tgw_error_set(error, TGW_INVALID,
				     "there are more than %d key_hash lines; "
				     "remove the oldest",
				     TGW_TEAM_KEYS_MAX);
	if (sodium_hex2bin(team->key_hashes[team->key_count],
			   TGW_KEY_HASH_BYTES, value, strlen(value), NULL,
			   &size, NULL) != 0 ||
	    size != TGW_KEY_HASH_BYTES)
		return tgw_error_set(
			error, TGW_INVALID,
			"key_hash is not 64 hex digits; leave it "
			"out and run 'tamarackgwctl team add-key'");
	team->key_count++;
	return TGW_OK;
}

static enum tgw_status set_team(struct config_fields *fields, const char *key,
				const char *value, struct tgw_error *error)
{
	struct config_parameters *parameters = &fields->parameters;

	if (!strcmp(key, "template"))
		return set_text(key, value, fields->team.template_name,
				TGW_NAME_SIZE, error);
	if (!strcmp(key, "budget"))
		return set_text(key, value, fields->team.budget, TGW_NAME_SIZE,
				error);
	if (!strcmp(key, "key_hash")) {
		fields->has_keys = true;
		return add_key_hash(&fields->team, value, error);
	}
	fields->has_parameters = true;
	if (!strncmp(key, WORK_PREFIX, strlen(WORK_PREFIX))) {
		parameters->has_work_kinds = true;
		return add_work_kind(key, value, parameters->work_kinds,
				     &parameters->work_kind_count, error);
	}
	if (!strcmp(key, "models")) {
		parameters->has_models = true;
		return add_names(key, value, &parameters->models, error);
	}
	if (!strcmp(key, "services")) {
		parameters->has_services = true;
		return add_names(key, value, &parameters->services, error);
	}
	if (!strcmp(key, "max_output_tokens"))
		return set_number(key, value, &parameters->max_output_tokens,
				  error);
	if (!strcmp(key, "max_open_requests"))
		return set_number(key, value, &parameters->max_open_requests,
				  error);
	return report_unknown_key(
		key,
		"template, budget, key_hash, and the template's "
		"models, services, work.NAME, max_output_tokens, "
		"max_open_requests",
		error);
}

static enum tgw_status set_server_kind(struct tgw_server *server,
				       const char *value,
				       struct tgw_error *error)
{
	if (!strcmp(value, "model")) {
		server->kind = TGW_SERVER_MODEL;
		return TGW_OK;
	}
	if (!strcmp(value, "service")) {
		server->kind = TGW_SERVER_SERVICE;
		return TGW_OK;
	}
	return tgw_error_set(error, TGW_INVALID,
			     "kind = '%.32s' is unknown; write model or "
			     "service",
			     value);
}

static enum tgw_status set_server(struct config_fields *fields, const char *key,
				  const char *value, struct tgw_error *error)
{
	struct tgw_server *server = &fields->server;

	if (!strcmp(key, "failure_domain"))
		return set_text(key, value, server->failure_domain,
				TGW_NAME_SIZE, error);
	if (!strcmp(key, "url"))
		return set_text(key, value, server->url, TGW_URL_SIZE, error);
	if (!strcmp(key, "kind"))
		return set_server_kind(server, value, error);
	if (!strcmp(key, "models"))
		return add_names(key, value, &server->models, error);
	if (!strcmp(key, "service"))
		return set_text(key, value, server->service, TGW_NAME_SIZE,
				error);
	if (!strcmp(key, "can_resume"))
		return set_flag(key, value, &server->can_resume, error);
	if (!strcmp(key, "can_cancel"))
		return set_flag(key, value, &server->can_cancel, error);
	if (!strcmp(key, "checks_fencing"))
		return set_flag(key, value, &server->checks_fencing, error);
	if (!strcmp(key, "draining")) {
		fields->has_draining = true;
		return set_flag(key, value, &server->draining, error);
	}
	if (!strcmp(key, "slots"))
		return set_number(key, value, &server->slots, error);
	return report_unknown_key(
		key,
		"failure_domain, url, kind, models, service, "
		"can_resume, can_cancel, checks_fencing, draining, "
		"slots",
		error);
}

enum tgw_status config_fields_set(struct config_fields *fields, const char *key,
				  const char *value, struct tgw_error *error)
{
	struct tgw_service *service = &fields->service;

	switch (fields->kind) {
	case CONFIG_TEMPLATE:
		return set_template(&fields->template, key, value, error);
	case CONFIG_TEAM:
		return set_team(fields, key, value, error);
	case CONFIG_SERVER:
		return set_server(fields, key, value, error);
	default:
		if (strcmp(key, "repeatable") != 0)
			return report_unknown_key(key, "repeatable", error);
		return add_words(key, value, service->repeatable[0],
				 TGW_METHOD_SIZE, &service->repeatable_count,
				 error);
	}
}

void config_fields_begin(struct config_fields *fields, enum config_kind kind,
			 const char *name)
{
	memset(fields, 0, sizeof(*fields));
	fields->kind = kind;
	short_name_copy(fields->template.name, name);
	short_name_copy(fields->team.name, name);
	short_name_copy(fields->server.name, name);
	short_name_copy(fields->service.name, name);
}

static struct config_object *report_missing(const char *key,
					    const char *example,
					    struct tgw_error *error)
{
	tgw_error_set(error, TGW_INVALID, "lacks '%s'; add a line '%s'", key,
		      example);
	return NULL;
}

static struct config_object *finish_server(const struct tgw_server *server,
					   struct tgw_error *error)
{
	if (!*server->failure_domain)
		return report_missing("failure_domain", "failure_domain = NAME",
				      error);
	if (!*server->url)
		return report_missing("url", "url = http://ADDRESS:PORT",
				      error);
	if (server->kind == TGW_SERVER_SERVICE && !*server->service)
		return report_missing("service", "service = NAME", error);
	if (!server->slots)
		return report_missing("slots", "slots = NUMBER", error);
	return config_object_from_server(server);
}

struct config_object *config_fields_finish(struct config_fields *fields,
					   struct tgw_error *error)
{
	switch (fields->kind) {
	case CONFIG_TEMPLATE:
		if (!fields->template.max_output_tokens)
			return report_missing("max_output_tokens",
					      "max_output_tokens = NUMBER",
					      error);
		if (!fields->template.max_open_requests)
			return report_missing("max_open_requests",
					      "max_open_requests = NUMBER",
					      error);
		return config_object_from_template(&fields->template);
	case CONFIG_TEAM:
		if (!*fields->team.template_name)
			return report_missing("template", "template = NAME",
					      error);
		if (!*fields->team.budget)
			return report_missing("budget", "budget = NAME", error);
		return config_object_from_team(
			&fields->team,
			fields->has_parameters ? &fields->parameters : NULL);
	case CONFIG_SERVER:
		return finish_server(&fields->server, error);
	default:
		return config_object_from_service(&fields->service);
	}
}

void config_fields_clear(struct config_fields *fields)
{
	sodium_memzero(&fields->team, sizeof(fields->team));
}
