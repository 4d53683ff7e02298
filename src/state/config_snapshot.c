#include "tamarackgw/config_snapshot.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>

#include "state/config_index.h"

static int compare_template(const void *name, const void *element)
{
	return strcmp(name, ((const struct tgw_template *)element)->name);
}

static int compare_team(const void *name, const void *element)
{
	return strcmp(name, ((const struct tgw_team *)element)->name);
}

static int compare_server(const void *name, const void *element)
{
	return strcmp(name, ((const struct tgw_server *)element)->name);
}

static int compare_service(const void *name, const void *element)
{
	return strcmp(name, ((const struct tgw_service *)element)->name);
}

static const void *find(const void *name, const void *elements, size_t count,
			size_t element_size,
			int (*compare)(const void *, const void *))
{
	if (!count)
		return NULL;
	return bsearch(name, elements, count, element_size, compare);
}

const struct tgw_template *tgw_config_find_template(
	const struct tgw_config_snapshot *config, const char *name)
{
	return find(name, config->templates, config->template_count,
		    sizeof(config->templates[0]), compare_template);
}

const struct tgw_team *tgw_config_find_team(
	const struct tgw_config_snapshot *config, const char *name)
{
	return find(name, config->teams, config->team_count,
		    sizeof(config->teams[0]), compare_team);
}

const struct tgw_team *tgw_config_find_team_by_key(
	const struct tgw_config_snapshot *config, const char *key,
	size_t key_size)
{
	uint8_t hash[TGW_KEY_HASH_BYTES];
	const struct tgw_team *team;

	tgw_key_hash(key, key_size, hash);
	team = config_index_find(config->index, config->teams, hash);
	sodium_memzero(hash, sizeof(hash));
	return team;
}

const struct tgw_server *tgw_config_find_server(
	const struct tgw_config_snapshot *config, const char *name)
{
	return find(name, config->servers, config->server_count,
		    sizeof(config->servers[0]), compare_server);
}

const struct tgw_service *tgw_config_find_service(
	const struct tgw_config_snapshot *config, const char *name)
{
	return find(name, config->services, config->service_count,
		    sizeof(config->services[0]), compare_service);
}

const struct tgw_work_kind *tgw_template_find_work_kind(
	const struct tgw_template *template, const char *name)
{
	for (size_t i = 0; i < template->work_kind_count; i++)
		if (!strcmp(template->work_kinds[i].name, name))
			return &template->work_kinds[i];
	return NULL;
}

bool tgw_name_list_has(const struct tgw_name_list *list, const char *name)
{
	for (size_t i = 0; i < list->count; i++)
		if (!strcmp(list->names[i], name))
			return true;
	return false;
}

bool tgw_service_may_repeat(const struct tgw_service *service,
			    const char *method)
{
	for (size_t i = 0; i < service->repeatable_count; i++)
		if (!strcmp(service->repeatable[i], method))
			return true;
	return false;
}

void tgw_key_hash(const char *key, size_t key_size,
		  uint8_t hash[TGW_KEY_HASH_BYTES])
{
	crypto_generichash(hash, TGW_KEY_HASH_BYTES, (const uint8_t *)key,
			   key_size, NULL, 0);
}

void tgw_config_snapshot_free(struct tgw_config_snapshot *config)
{
	if (!config)
		return;
	config_index_free(config->index);
	free(config->templates);
	free(config->teams);
	free(config->servers);
	free(config->services);
	free(config);
}
