/* Fuzzes what the platform's adapter decodes from the store: the configuration
 * and the entries of backend servers. Each number that is accepted lies in its
 * range. The first byte of the input selects the decoder. */
#include <assert.h>

#include "../../platform/platform_routes.h"
#include "../../platform/platform_servers.h"
#include "fuzz/fuzz_target.h"

static void check_route(const struct route *route)
{
	assert(route->timeout_ms >= 0);
	assert(route->target_latency_ms >= 0);
	assert(route->max_attempts > 0);
	for (size_t i = 0; i < route->target_count; i++)
		assert(route->targets[i].weight > 0);
}

static void fuzz_routes(const uint8_t *data, size_t size)
{
	struct tgw_error error = {0};
	struct route_set *set = platform_routes_decode(data, size, &error);

	assert(!set == (error.status != TGW_OK));
	if (!set)
		return;
	assert(set->version >= 0);
	assert(set->limits.head_bytes >= 0 && set->limits.body_bytes >= 0);
	for (size_t i = 0; i < set->route_count; i++)
		check_route(&set->routes[i]);
	for (size_t i = 0; i < set->team_count; i++)
		assert(set->teams[i].paid_in_tokens >= ROUTE_TEAM_NO_BUDGET);
	route_set_free(set);
}

static void fuzz_server(const uint8_t *data, size_t size)
{
	struct backend_entry entry = {0};

	if (platform_servers_decode(data, size, &entry))
		assert(entry.slots > 0);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (!size)
		return 0;
	if (data[0] % 2)
		fuzz_routes(data + 1, size - 1);
	else
		fuzz_server(data + 1, size - 1);
	return 0;
}
