#include "state/region_map.h"

#include <string.h>

#include "base/short_name.h"

static int find_region(const struct region_map *map, const char *region)
{
	for (size_t i = 0; i < map->region_count; i++)
		if (!strcmp(map->regions[i], region))
			return (int)i;
	return -1;
}

/* @return its index, or -1 if there are too many */
static int add_region(struct region_map *map, const char *region)
{
	int found = find_region(map, region);

	if (found >= 0 || map->region_count == REGION_MAP_REGIONS_MAX)
		return found;
	short_name_copy(map->regions[map->region_count], region);
	return (int)map->region_count++;
}

static const struct region_map_domain *find_domain(const struct region_map *map,
						   const char *failure_domain)
{
	for (size_t i = 0; i < map->domain_count; i++)
		if (!strcmp(map->domains[i].name, failure_domain))
			return &map->domains[i];
	return NULL;
}

static bool add_domain(struct region_map *map, const char *failure_domain,
		       const char *region)
{
	struct region_map_domain *added;
	int index = add_region(map, region);

	if (index < 0 || find_domain(map, failure_domain) ||
	    map->domain_count == REGION_MAP_DOMAINS_MAX)
		return false;
	added = &map->domains[map->domain_count++];
	short_name_copy(added->name, failure_domain);
	added->region = (uint32_t)index;
	return true;
}

/* Sets the short form of a name of `size` characters.
 * @return false if it is empty or contains a colon */
static bool set_name(char name[TGW_NAME_SIZE], const char *text, size_t size)
{
	if (!size || memchr(text, ':', size))
		return false;
	short_name_set_bytes(name, text, size);
	return true;
}

bool region_map_parse(struct region_map *map, const char *text)
{
	char failure_domain[TGW_NAME_SIZE];
	char region[TGW_NAME_SIZE];

	memset(map, 0, sizeof(*map));
	while (*text) {
		size_t size = strcspn(text, ",");
		const char *colon = memchr(text, ':', size);

		if (!colon ||
		    !set_name(failure_domain, text, (size_t)(colon - text)) ||
		    !set_name(region, colon + 1,
			      (size_t)(text + size - colon - 1)) ||
		    !add_domain(map, failure_domain, region))
			return false;
		text += size;
		text += *text == ',';
	}
	return true;
}

uint32_t region_map_of_domain(const struct region_map *map,
			      const char *failure_domain)
{
	const struct region_map_domain *found =
		find_domain(map, failure_domain);

	return found ? UINT32_C(1) << found->region : REGION_SET_NONE;
}

uint32_t region_map_of_region(const struct region_map *map, const char *region)
{
	int index = find_region(map, region);

	return index < 0 ? REGION_SET_NONE : UINT32_C(1) << index;
}
