#include "state/config_rules.h"

#include <ctype.h>
#include <inttypes.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define TOKENS_MAX INT64_C(10000000)
#define OPEN_REQUESTS_MAX INT64_C(100000)
#define SLOTS_MAX INT64_C(100000)
#define DEADLINE_MAX_MS (INT64_C(24) * 3600 * 1000)

static enum tgw_status check_range(const char *key, int64_t value, int64_t min,
				   int64_t max, struct tgw_error *error)
{
	if (value >= min && value <= max)
		return TGW_OK;
	return tgw_error_set(error, TGW_INVALID,
			     "%s is %" PRId64 "; give a number from %" PRId64
			     " to %" PRId64,
			     key, value, min, max);
}

static enum tgw_status check_name(const char *key, const char *name,
				  struct tgw_error *error)
{
	if (config_name_is_valid(name))
		return TGW_OK;
	return tgw_error_set(
		error, TGW_INVALID,
		"%s '%s' is not a valid name; use 1 to %d letters, "
		"digits, '.', '_' and '-'",
		key, name, TGW_NAME_SIZE - 1);
}

/* The names of models come from their publishers and often contain a slash or a
 * colon. A semicolon is excluded because it begins a comment in an INI file. */
static bool is_model_name(const char *name)
{
	for (const char *at = name; *at; at++)
		if (*at == ';' || iscntrl((unsigned char)*at) || *at == ' ')
			return false;
	return *name;
}

static enum tgw_status check_models(const struct tgw_name_list *models,
				    struct tgw_error *error)
{
	for (size_t i = 0; i < models->count; i++)
		if (!is_model_name(models->names[i]))
			return tgw_error_set(error, TGW_INVALID,
					     "models has a name that is empty "
					     "or contains a space, a semicolon "
					     "or a control character; "
					     "separate the names by commas");
	return TGW_OK;
}

static enum tgw_status check_work_kinds(const struct tgw_work_kind *kinds,
					size_t count, struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	for (size_t i = 0; i < count && status == TGW_OK; i++) {
		status = check_name("kind of work", kinds[i].name, error);
		if (status == TGW_OK)
			status = check_range("the deadline_ms of a kind of "
					     "work",
					     kinds[i].deadline_ms, 1,
					     DEADLINE_MAX_MS, error);
		for (size_t j = 0; j < i && status == TGW_OK; j++)
			if (!strcmp(kinds[i].name, kinds[j].name))
				status = tgw_error_set(
					error, TGW_INVALID,
					"work.%s stands twice; keep one",
					kinds[i].name);
	}
	return status;
}

static enum tgw_status check_template(const struct tgw_template *template,
				      struct tgw_error *error)
{
	enum tgw_status status = check_models(&template->models, error);

	if (status == TGW_OK)
		status = check_work_kinds(template->work_kinds,
					  template->work_kind_count, error);
	if (status == TGW_OK && !template->work_kind_count)
		status = tgw_error_set(error, TGW_INVALID,
				       "no kind of work is defined; add a line "
				       "such as 'work.answer = high, 20000'");
	if (status == TGW_OK)
		status = check_range("max_output_tokens",
				     template->max_output_tokens, 1, TOKENS_MAX,
				     error);
	if (status == TGW_OK)
		status = check_range("prompt_fixed_tokens",
				     template->prompt_fixed_tokens, 0,
				     TOKENS_MAX, error);
	if (status == TGW_OK)
		status = check_range("service_call_tokens",
				     template->service_call_tokens, 0,
				     TOKENS_MAX, error);
	if (status == TGW_OK)
		status = check_range("max_open_requests",
				     template->max_open_requests, 1,
				     OPEN_REQUESTS_MAX, error);
	return status;
}

static enum tgw_status check_team(const struct config_object *object,
				  struct tgw_error *error)
{
	const struct config_parameters *parameters = object->parameters;
	enum tgw_status status =
		check_name("template", object->team->template_name, error);

	if (status == TGW_OK)
		status = check_name("budget", object->team->budget, error);
	if (status != TGW_OK || !parameters)
		return status;
	status = check_models(&parameters->models, error);
	if (status == TGW_OK)
		status = check_work_kinds(parameters->work_kinds,
					  parameters->work_kind_count, error);
	if (status == TGW_OK)
		status = check_range("max_output_tokens",
				     parameters->max_output_tokens, 0,
				     TOKENS_MAX, error);
	if (status == TGW_OK)
		status = check_range("max_open_requests",
				     parameters->max_open_requests, 0,
				     OPEN_REQUESTS_MAX, error);
	return status;
}

static bool is_http_base(const char *url)
{
	size_t length = strlen(url);

	return !strncmp(url, "http://", 7) && url[length - 1] != '/';
}

static enum tgw_status check_server(const struct tgw_server *server,
				    struct tgw_error *error)
{
	enum tgw_status status =
		check_name("failure_domain", server->failure_domain, error);

	if (status == TGW_OK && !is_http_base(server->url))
		status = tgw_error_set(error, TGW_INVALID,
				       "url '%s' is not an HTTP base; write "
				       "it as http://ADDRESS:PORT",
				       server->url);
	if (status == TGW_OK)
		status = check_models(&server->models, error);
	if (status == TGW_OK && server->kind == TGW_SERVER_MODEL &&
	    !server->models.count)
		status = tgw_error_set(error, TGW_INVALID,
				       "a server of kind model needs models; "
				       "name at least one");
	if (status == TGW_OK && server->kind == TGW_SERVER_SERVICE)
		status = check_name("service", server->service, error);
	if (status == TGW_OK)
		status = check_range("slots", server->slots, 1, SLOTS_MAX,
				     error);
	return status;
}

static enum tgw_status check_service(const struct tgw_service *service,
				     struct tgw_error *error)
{
	for (size_t i = 0; i < service->repeatable_count; i++) {
		const char *method = service->repeatable[i];

		if (!*method || strspn(method, "ABCDEFGHIJKLMNOPQRSTUVWXYZ") !=
					strlen(method))
			return tgw_error_set(error, TGW_INVALID,
					     "repeatable has '%s'; give HTTP "
					     "methods in capitals, such as "
					     "GET, HEAD",
					     method);
	}
	return TGW_OK;
}

enum tgw_status config_rules_check_object(const struct config_object *object,
					  struct tgw_error *error)
{
	switch (object->kind) {
	case CONFIG_TEMPLATE:
		return check_template(object->template, error);
	case CONFIG_TEAM:
		return check_team(object, error);
	case CONFIG_SERVER:
		return check_server(object->server, error);
	default:
		return check_service(object->service, error);
	}
}

static enum tgw_status check_subset(const char *key,
				    const struct tgw_name_list *names,
				    const struct tgw_name_list *permitted,
				    const char *template,
				    struct tgw_error *error)
{
	for (size_t i = 0; i < names->count; i++)
		if (!tgw_name_list_has(permitted, names->names[i]))
			return tgw_error_set(error, TGW_INVALID,
					     "%s has '%s', which template %s "
					     "does not permit; add it there or "
					     "leave it out here",
					     key, names->names[i], template);
	return TGW_OK;
}

static enum tgw_status check_limit(const char *key, int64_t value, int64_t max,
				   const char *template,
				   struct tgw_error *error)
{
	if (value <= max)
		return TGW_OK;
	return tgw_error_set(error, TGW_INVALID,
			     "%s is %" PRId64
			     ", but template %s permits at most "
			     "%" PRId64 "; lower it or raise the template's",
			     key, value, template, max);
}

static enum tgw_status check_parameters(
	const struct config_parameters *parameters,
	const struct tgw_template *template, struct tgw_error *error)
{
	enum tgw_status status = check_subset("models", &parameters->models,
					      &template->models, template->name,
					      error);

	if (status == TGW_OK)
		status = check_subset("services", &parameters->services,
				      &template->services, template->name,
				      error);
	if (status == TGW_OK)
		status = check_limit("max_output_tokens",
				     parameters->max_output_tokens,
				     template->max_output_tokens,
				     template->name, error);
	if (status == TGW_OK)
		status = check_limit("max_open_requests",
				     parameters->max_open_requests,
				     template->max_open_requests,
				     template->name, error);
	for (size_t i = 0; i < parameters->work_kind_count && status == TGW_OK;
	     i++)
		if (!tgw_template_find_work_kind(
			    template, parameters->work_kinds[i].name))
			status = tgw_error_set(
				error, TGW_INVALID,
				"work.%s is not a kind of work of template %s; "
				"add it there first",
				parameters->work_kinds[i].name, template->name);
	return status;
}

static enum tgw_status check_team_references(const struct config_set *set,
					     const struct config_object *team,
					     struct tgw_error *error)
{
	const char *name = team->team->template_name;
	const struct config_object *template =
		config_set_find(set, CONFIG_TEMPLATE, name);

	if (!template)
		return tgw_error_set(error, TGW_INVALID,
				     "there is no template %s; publish it "
				     "first, or in the same file",
				     name);
	if (!team->parameters)
		return TGW_OK;
	return check_parameters(team->parameters, template->template, error);
}

static enum tgw_status check_service_exists(const struct config_set *set,
					    const char *name,
					    struct tgw_error *error)
{
	if (config_set_find(set, CONFIG_SERVICE, name))
		return TGW_OK;
	return tgw_error_set(error, TGW_INVALID,
			     "there is no service %s; publish it first, or in "
			     "the same file",
			     name);
}

enum tgw_status config_rules_check_references(
	const struct config_set *set, const struct config_object *object,
	struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	switch (object->kind) {
	case CONFIG_TEAM:
		return check_team_references(set, object, error);
	case CONFIG_TEMPLATE:
		for (size_t i = 0;
		     i < object->template->services.count && status == TGW_OK;
		     i++)
			status = check_service_exists(
				set, object->template->services.names[i],
				error);
		return status;
	case CONFIG_SERVER:
		if (object->server->kind == TGW_SERVER_SERVICE)
			return check_service_exists(
				set, object->server->service, error);
		return TGW_OK;
	default:
		return TGW_OK;
	}
}

struct team_key {
	const uint8_t *hash;
	const struct config_object *team;
};

static int compare_keys(const void *a, const void *b)
{
	return memcmp(((const struct team_key *)a)->hash,
		      ((const struct team_key *)b)->hash, TGW_KEY_HASH_BYTES);
}

static enum tgw_status check_keys(const struct config_set *set,
				  const struct config_object **offender,
				  struct tgw_error *error)
{
	struct team_key *keys =
		xcalloc(set->count * TGW_TEAM_KEYS_MAX, sizeof(keys[0]));
	enum tgw_status status = TGW_OK;
	size_t count = 0;

	for (size_t i = 0; i < set->count; i++) {
		const struct config_object *object = set->objects[i];

		if (object->kind != CONFIG_TEAM)
			continue;
		for (size_t k = 0; k < object->team->key_count; k++) {
			keys[count].hash = object->team->key_hashes[k];
			keys[count++].team = object;
		}
	}
	if (count > 1)
		qsort(keys, count, sizeof(keys[0]), compare_keys);
	for (size_t i = 1; i < count && status == TGW_OK; i++) {
		if (compare_keys(&keys[i - 1], &keys[i]))
			continue;
		*offender = keys[i].team;
		status = tgw_error_set(error, TGW_INVALID,
				       "teams %s and %s have a key in common; "
				       "give each team keys of its own",
				       keys[i - 1].team->name,
				       keys[i].team->name);
	}
	free(keys);
	return status;
}

enum tgw_status config_rules_check_set(const struct config_set *set,
				       const struct config_object **offender,
				       struct tgw_error *error)
{
	const struct config_object *unused;
	struct tgw_error cause;
	enum tgw_status status = TGW_OK;

	if (!offender)
		offender = &unused;
	*offender = NULL;
	for (size_t i = 0; i < set->count; i++) {
		const struct config_object *object = set->objects[i];

		status = config_rules_check_object(object, &cause);
		if (status == TGW_OK)
			status = config_rules_check_references(set, object,
							       &cause);
		if (status != TGW_OK) {
			*offender = object;
			return tgw_error_set(error, status, "%s %s: %s",
					     config_kind_name(object->kind),
					     object->name, cause.message);
		}
	}
	return check_keys(set, offender, error);
}
