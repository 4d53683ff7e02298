#include "state/config_builder.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"
#include "state/config_index.h"
#include "state/config_rules.h"

#define MIN_TABLE_SLOTS 64

/* Hash table of the templates that were derived by applying a team's
 * parameters, so that teams with the same template and equal parameters share
 * one. */
struct derived_table {
	size_t mask;
	struct derived {
		uint64_t hash; /* 0: free slot */
		const struct tgw_template *base;
		const struct config_parameters *parameters;
		const struct tgw_template *template;
	} * entries;
};

static size_t count_kind(const struct config_set *set, enum config_kind kind)
{
	size_t count = 0;

	for (size_t i = 0; i < set->count; i++)
		count += set->objects[i]->kind == kind;
	return count;
}

/* The set is sorted by kind, then name, so the copies of each kind are sorted
 * by name. */
static void copy_objects(struct tgw_config_snapshot *config,
			 const struct config_set *set)
{
	size_t templates = 0;
	size_t teams = 0;
	size_t servers = 0;
	size_t services = 0;

	for (size_t i = 0; i < set->count; i++) {
		const struct config_object *object = set->objects[i];

		switch (object->kind) {
		case CONFIG_TEMPLATE:
			config->templates[templates++] = *object->template;
			break;
		case CONFIG_TEAM:
			config->teams[teams++] = *object->team;
			break;
		case CONFIG_SERVER:
			config->servers[servers++] = *object->server;
			break;
		default:
			config->services[services++] = *object->service;
			break;
		}
	}
}

static struct tgw_config_snapshot *allocate(const struct config_set *set)
{
	struct tgw_config_snapshot *config = xcalloc(1, sizeof(*config));

	config->template_count = count_kind(set, CONFIG_TEMPLATE);
	config->templates =
		xcalloc(config->template_count, sizeof(config->templates[0]));
	config->team_count = count_kind(set, CONFIG_TEAM);
	config->teams = xcalloc(config->team_count, sizeof(config->teams[0]));
	config->server_count = count_kind(set, CONFIG_SERVER);
	config->servers =
		xcalloc(config->server_count, sizeof(config->servers[0]));
	config->service_count = count_kind(set, CONFIG_SERVICE);
	config->services =
		xcalloc(config->service_count, sizeof(config->services[0]));
	return config;
}

static struct tgw_template *derive(const struct tgw_template *base,
				   const struct config_parameters *parameters)
{
	struct tgw_template *template = xmemdup(base, sizeof(*base));

	if (parameters->has_models)
		template->models = parameters->models;
	if (parameters->has_services)
		template->services = parameters->services;
	if (parameters->has_work_kinds) {
		template->work_kind_count = parameters->work_kind_count;
		memcpy(template->work_kinds, parameters->work_kinds,
		       sizeof(parameters->work_kinds));
	}
	if (parameters->max_output_tokens)
		template->max_output_tokens = parameters->max_output_tokens;
	if (parameters->max_open_requests)
		template->max_open_requests = parameters->max_open_requests;
	return template;
}

/* Compares the bytes. The padding is equal too, because parameters are always
 * written into zeroed memory. */
static bool parameters_equal(const struct config_parameters *a,
			     const struct config_parameters *b)
{
	const void *left = a;
	const void *right = b;

	return !memcmp(left, right, sizeof(*a));
}

static const struct tgw_template *find_or_derive(
	struct derived_table *table, struct tgw_config_index *index,
	const struct tgw_template *base,
	const struct config_parameters *parameters)
{
	uint64_t hash = XXH64(parameters, sizeof(*parameters),
			      (uint64_t)(uintptr_t)base) |
			1;
	size_t pos = (size_t)(hash >> 1) & table->mask;
	struct derived *entry;
	struct tgw_template *template;

	for (entry = &table->entries[pos]; entry->hash;
	     entry = &table->entries[pos]) {
		if (entry->hash == hash && entry->base == base &&
		    parameters_equal(entry->parameters, parameters))
			return entry->template;
		pos = (pos + 1) & table->mask;
	}
	template = derive(base, parameters);
	config_index_add_template(index, template);
	entry->hash = hash;
	entry->base = base;
	entry->parameters = parameters;
	entry->template = template;
	return template;
}

static size_t count_with_parameters(const struct config_set *set)
{
	size_t count = 0;

	for (size_t i = 0; i < set->count; i++)
		count += set->objects[i]->parameters != NULL;
	return count;
}

/* Points each team to its template. The teams have the same order in the set
 * and in the snapshot. */
static void link_teams(struct tgw_config_snapshot *config,
		       const struct config_set *set)
{
	struct derived_table table;
	size_t size = MIN_TABLE_SLOTS;
	size_t pos = 0;

	while (size < count_with_parameters(set) * 2)
		size *= 2;
	table.mask = size - 1;
	table.entries = xcalloc(size, sizeof(table.entries[0]));
	for (size_t i = 0; i < set->count; i++) {
		const struct config_object *object = set->objects[i];
		struct tgw_team *team;

		if (object->kind != CONFIG_TEAM)
			continue;
		team = &config->teams[pos++];
		team->template =
			tgw_config_find_template(config, team->template_name);
		if (object->parameters)
			team->template = find_or_derive(&table, config->index,
							team->template,
							object->parameters);
	}
	free(table.entries);
}

/* Checks an object only once: it is immutable and part of many generations. */
static enum tgw_status check_once(struct config_object *object,
				  struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;

	if (!object->is_checked)
		status = config_rules_check_object(object, error);
	object->is_checked = status == TGW_OK;
	return status;
}

struct tgw_config_snapshot *config_build_snapshot(const struct config_set *set,
						  uint64_t generation,
						  struct tgw_error *error)
{
	struct tgw_config_snapshot *config;
	const struct tgw_team *duplicate;

	for (size_t i = 0; i < set->count; i++) {
		struct config_object *object = set->objects[i];
		struct tgw_error cause;

		if (check_once(object, &cause) != TGW_OK ||
		    config_rules_check_references(set, object, &cause) !=
			    TGW_OK) {
			tgw_error_set(error, cause.status, "%s %s: %s",
				      config_kind_name(object->kind),
				      object->name, cause.message);
			return NULL;
		}
	}
	config = allocate(set);
	copy_objects(config, set);
	config->generation = generation;
	config->index =
		config_index_new(config->teams, config->team_count, &duplicate);
	if (duplicate) {
		tgw_error_set(error, TGW_INVALID,
			      "team %s has a key that another team also has; "
			      "give each team keys of its own",
			      duplicate->name);
		tgw_config_snapshot_free(config);
		return NULL;
	}
	link_teams(config, set);
	return config;
}
