#include "state/route_set.h"

#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/short_name.h"
#include "base/xalloc.h"

#define FIRST_CAPACITY 8
/* Two to the power of 64: draws are below it. */
#define DRAW_END 18446744073709551616.0

struct route_set *route_set_new(void)
{
	return xcalloc(1, sizeof(struct route_set));
}

void route_set_free(struct route_set *set)
{
	if (!set)
		return;
	for (size_t i = 0; i < set->route_count; i++) {
		free(set->routes[i].host);
		free(set->routes[i].path_prefix);
		free(set->routes[i].targets);
		free(set->routes[i].regions.names);
	}
	for (size_t i = 0; i < set->team_count; i++) {
		free(set->teams[i].whole_name);
		free(set->teams[i].regions.names);
	}
	for (size_t i = 0; i < set->key_count; i++)
		free(set->keys[i].key);
	free(set->routes);
	free(set->services);
	free(set->teams);
	free(set->keys);
	config_remarks_clear(&set->remarks);
	free(set);
}

/* Makes room for one more entry. Capacities are powers of two, so they follow
 * from the count and need not be stored. */
static void *grow(void *entries, size_t count, size_t size)
{
	if (count && (count < FIRST_CAPACITY || count & (count - 1)))
		return entries;
	return xrealloc(entries, (count ? count * 2 : FIRST_CAPACITY) * size);
}

struct route *route_set_add_route(struct route_set *set)
{
	struct route *route;

	set->routes = grow(set->routes, set->route_count, sizeof(*route));
	route = &set->routes[set->route_count++];
	memset(route, 0, sizeof(*route));
	return route;
}

struct route_service *route_set_add_service(struct route_set *set)
{
	struct route_service *service;

	set->services =
		grow(set->services, set->service_count, sizeof(*service));
	service = &set->services[set->service_count++];
	memset(service, 0, sizeof(*service));
	return service;
}

struct route_team *route_set_add_team(struct route_set *set)
{
	struct route_team *team;

	set->teams = grow(set->teams, set->team_count, sizeof(*team));
	team = &set->teams[set->team_count++];
	memset(team, 0, sizeof(*team));
	team->paid_in_tokens = ROUTE_TEAM_NO_BUDGET;
	return team;
}

void route_set_add_key(struct route_set *set, const char *key, uint32_t team)
{
	set->keys = grow(set->keys, set->key_count, sizeof(*set->keys));
	set->keys[set->key_count].key = xstrdup(key);
	set->keys[set->key_count++].team = team;
}

void route_add_target(struct route *route, uint32_t service, double weight)
{
	route->targets = grow(route->targets, route->target_count,
			      sizeof(*route->targets));
	route->targets[route->target_count].service = service;
	route->targets[route->target_count++].weight = weight;
}

void route_regions_add(struct route_regions *regions, const char *name)
{
	regions->limited = true;
	regions->names =
		grow(regions->names, regions->count, sizeof(*regions->names));
	short_name_set(regions->names[regions->count++], name);
}

uint32_t route_regions_set(const struct route_regions *regions,
			   const struct region_map *map)
{
	uint32_t set = REGION_SET_NONE;

	if (!regions->limited)
		return REGION_SET_ANY;
	for (size_t i = 0; i < regions->count; i++)
		set |= region_map_of_region(map, regions->names[i]);
	return set;
}

/* By host, then by prefix. */
static int compare_routes(const void *a, const void *b)
{
	const struct route *left = a;
	const struct route *right = b;
	int order = strcasecmp(left->host, right->host);

	return order ? order : strcmp(left->path_prefix, right->path_prefix);
}

static int compare_keys(const void *a, const void *b)
{
	const struct route_key *left = a;
	const struct route_key *right = b;

	return strcmp(left->key, right->key);
}

void route_set_seal(struct route_set *set)
{
	if (set->route_count)
		qsort(set->routes, set->route_count, sizeof(*set->routes),
		      compare_routes);
	if (set->key_count)
		qsort(set->keys, set->key_count, sizeof(*set->keys),
		      compare_keys);
}

static const struct route *find_exact(const struct route_set *set,
				      const char *host, const char *path,
				      size_t prefix_size)
{
	size_t low = 0;
	size_t high = set->route_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		const struct route *route = &set->routes[middle];
		int order = strcasecmp(host, route->host);

		if (!order)
			order = strncmp(path, route->path_prefix, prefix_size);
		if (!order && route->path_prefix[prefix_size])
			order = -1;
		if (!order)
			return route;
		if (order < 0)
			high = middle;
		else
			low = middle + 1;
	}
	return NULL;
}

const struct route *route_set_find(const struct route_set *set,
				   const char *host, const char *path)
{
	size_t size = strcspn(path, "?#");

	/* Every prefix ends with a slash: try the path up to each slash,
	 * longest first. */
	for (; size > 0; size--) {
		const struct route *route;

		if (path[size - 1] != '/')
			continue;
		route = find_exact(set, host, path, size);
		if (route)
			return route;
	}
	return NULL;
}

int route_set_team_of_key(const struct route_set *set, const char *key)
{
	struct route_key sought = {.key = (char *)key};
	const struct route_key *found;

	if (!set->key_count)
		return -1;
	found = bsearch(&sought, set->keys, set->key_count, sizeof(*set->keys),
			compare_keys);
	return found ? (int)found->team : -1;
}

int route_set_find_team(const struct route_set *set, const char *name)
{
	for (size_t i = 0; i < set->team_count; i++)
		if (!strcmp(set->teams[i].name, name))
			return (int)i;
	return -1;
}

int route_set_find_service(const struct route_set *set, const char *name)
{
	for (size_t i = 0; i < set->service_count; i++)
		if (!strcmp(set->services[i].name, name))
			return (int)i;
	return -1;
}

/* @return the greatest weight of the route's targets; 0 without any */
static double greatest_weight(const struct route *route)
{
	double greatest = 0;

	for (size_t i = 0; i < route->target_count; i++)
		greatest = fmax(greatest, route->targets[i].weight);
	return greatest;
}

int route_choose_service(const struct route *route, uint64_t draw)
{
	double greatest = greatest_weight(route);
	double total = 0;
	double left;
	int chosen = -1;

	if (greatest <= 0)
		return -1;
	/* The sum of the weights themselves may be infinite. */
	for (size_t i = 0; i < route->target_count; i++)
		total += route->targets[i].weight / greatest;
	left = total * ((double)draw / DRAW_END);
	for (size_t i = 0; i < route->target_count; i++) {
		double part = route->targets[i].weight / greatest;

		if (part <= 0)
			continue;
		chosen = (int)route->targets[i].service;
		left -= part;
		if (left < 0)
			break;
	}
	return chosen;
}
