#include <stdio.h>
#include <stdlib.h>

#include "base/xalloc.h"
#include "scenario/requests_fleet.h"

#define VERBS_MAX 64
#define DRAIN_US (INT64_C(10) * TGW_US_PER_S)

static size_t add_verbs(struct scenario_verb *all, size_t count,
			const struct scenario_verb *table)
{
	for (; table->name; table++)
		all[count++] = *table;
	return count;
}

static void clear(struct fleet *fleet)
{
	for (size_t i = 0; i < fleet->host_count; i++) {
		if (!fleet->hosts[i].up)
			continue;
		fake_store_reset(&fleet->hosts[i].store);
		tgw_claim_agent_free(fleet->hosts[i].claims);
		tgw_quarantine_free(fleet->hosts[i].quarantine);
		tgw_router_free(fleet->hosts[i].router);
		fleet->hosts[i].up = false;
		fleet->hosts[i].end.up = false;
	}
	/* Running the fakes' pending events frees them; they reach no host. */
	fleet->host_count = 0;
	fake_world_advance(&fleet->world, DRAIN_US);
	fake_store_server_clear(&fleet->store);
	fake_world_clear(&fleet->world);
}

int main(int argc, char **argv)
{
	struct scenario_verb verbs[VERBS_MAX] = {{0}};
	struct fleet *fleet;
	size_t count = 0;
	int status;

	if (argc != 2) {
		fprintf(stderr, "usage: %s FILE\n", argv[0]);
		return 2;
	}
	count = add_verbs(verbs, count, fleet_verbs);
	count = add_verbs(verbs, count, fleet_claim_verbs);
	count = add_verbs(verbs, count, fleet_quarantine_verbs);
	add_verbs(verbs, count, fleet_routing_verbs);
	fleet = xcalloc(1, sizeof(*fleet));
	status = scenario_run(argv[1], verbs, fleet);
	clear(fleet);
	free(fleet);
	return status;
}
