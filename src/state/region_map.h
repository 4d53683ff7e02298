/**
 * @file region_map.h
 * Which region each failure domain lies in, and sets of regions, to keep
 * requests within the regions that their route and team allow.
 */
#ifndef STATE_REGION_MAP_H
#define STATE_REGION_MAP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"

#define REGION_MAP_DOMAINS_MAX 64
#define REGION_MAP_REGIONS_MAX 31

/** A set of regions that a request may go to, one bit for each. */
#define REGION_SET_ANY UINT32_C(0)
/** The bit of no region: a set that is limited and allows no region, and that
 * of a failure domain whose region is unknown. */
#define REGION_SET_NONE (UINT32_C(1) << REGION_MAP_REGIONS_MAX)

struct region_map_domain {
	char name[TGW_NAME_SIZE];
	uint32_t region; /**< index */
};

/** No domain lies in a region when zeroed. */
struct region_map {
	char regions[REGION_MAP_REGIONS_MAX][TGW_NAME_SIZE];
	size_t region_count;
	struct region_map_domain domains[REGION_MAP_DOMAINS_MAX];
	size_t domain_count;
};

/** Reads DOMAIN:REGION pairs, separated by commas.
 * @return false if the text has another form, a domain is named twice, or there
 * are too many */
bool region_map_parse(struct region_map *map, const char *text);

/** @return the set of the one region that the domain lies in; REGION_SET_NONE
 * if that is unknown */
uint32_t region_map_of_domain(const struct region_map *map,
			      const char *failure_domain);

/** @return the set of the one region; REGION_SET_NONE if it is unknown */
uint32_t region_map_of_region(const struct region_map *map, const char *region);

/** @return whether a server of the region may get a request that is allowed in
 * these regions */
static inline bool region_set_allows(uint32_t allowed, uint32_t region)
{
	return allowed == REGION_SET_ANY ||
	       (allowed & region & ~REGION_SET_NONE);
}

/** @return the regions that both sets allow */
static inline uint32_t region_set_intersect(uint32_t a, uint32_t b)
{
	uint32_t both = a & b & ~REGION_SET_NONE;

	if (a == REGION_SET_ANY)
		return b;
	if (b == REGION_SET_ANY)
		return a;
	return both ? both : REGION_SET_NONE;
}

#endif
