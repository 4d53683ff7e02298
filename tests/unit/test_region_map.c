/* Tests which servers a request may go to if its route and its team are kept to
 * some regions. */
#include "state/region_map.h"

#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "state/placement.h"
#include "state/route_set.h"
#include "unit/unit_main.h"

static const char domains[] = "a1:north,a2:north,b1:south,c1:west";

static const struct {
	const char *text;
	bool valid;
} texts[] = {
	{"", true},
	{"a:north", true},
	{"a:north,", true},
	{domains, true},
	{"a", false},
	{":north", false},
	{"a:", false},
	{"a:north,,b:south", false},
	{"a:north,b", false},
	/* One of the two regions would be ignored. */
	{"a:north,a:south", false},
	{"a:north:south", false},
};

START_TEST(only_pairs_of_domain_and_region_are_read)
{
	struct region_map map;

	ck_assert_msg(region_map_parse(&map, texts[_i].text) == texts[_i].valid,
		      "'%s'", texts[_i].text);
}
END_TEST

#define NOWHERE "-"

/* Regions of the route and the team, and the domains that remain. */
static const struct {
	const char *route[3];
	const char *team[3];
	const char *domains;
} cases[] = {
	{{NULL}, {NULL}, "a1 a2 b1 c1 lost"},
	{{"north"}, {NULL}, "a1 a2"},
	{{NULL}, {"south", "west"}, "b1 c1"},
	{{"north", "south"}, {"south", "west"}, "b1"},
	{{"north"}, {"south"}, NOWHERE},
	{{"east"}, {NULL}, NOWHERE},
	{{"east", "west"}, {NULL}, "c1"},
	{{"east"}, {"north"}, NOWHERE},
};

static void add_regions(struct route_regions *regions, const char *const *names)
{
	for (int i = 0; i < 3 && names[i]; i++)
		route_regions_add(regions, names[i]);
}

/* A domain of which no region is known is in none. */
START_TEST(a_request_stays_within_the_regions_of_its_route_and_its_team)
{
	static const char *const all[] = {"a1", "a2", "b1", "c1", "lost"};
	struct route_regions route = {0};
	struct route_regions team = {0};
	struct backend_table table = {0};
	struct region_map map;

	ck_assert(region_map_parse(&map, domains));
	table.regions = &map;
	add_regions(&route, cases[_i].route);
	add_regions(&team, cases[_i].team);
	for (size_t i = 0; i < sizeof(all) / sizeof(all[0]); i++) {
		struct backend_entry entry = {.slots = 1, .id = "s"};
		struct placement_request request = {
			.service = "app",
			.failure_domain = "a1",
			.regions = region_set_intersect(
				route_regions_set(&route, &map),
				route_regions_set(&team, &map)),
			.now_us = 1,
		};
		struct backend *chosen;

		text_copy(entry.service, sizeof(entry.service), "app");
		text_copy(entry.failure_domain, sizeof(entry.failure_domain),
			  all[i]);
		backend_table_put(&table, &entry);
		ck_assert_msg((placement_choose(&table, &request, &chosen) ==
			       PLACEMENT_FOUND) == (strstr(cases[_i].domains,
							   all[i]) != NULL),
			      "case %d, domain %s", _i, all[i]);
		backend_table_remove(&table, "s");
	}
	free(route.names);
	free(team.names);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("region_map");
	TCase *tcase = tcase_create("regions");

	tcase_add_loop_test(tcase, only_pairs_of_domain_and_region_are_read, 0,
			    sizeof(texts) / sizeof(texts[0]));
	tcase_add_loop_test(
		tcase,
		a_request_stays_within_the_regions_of_its_route_and_its_team, 0,
		sizeof(cases) / sizeof(cases[0]));
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
