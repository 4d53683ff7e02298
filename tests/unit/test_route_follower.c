/* Tests the order in which the follower of routes and evacuations tells its
 * owner of them. */
#include "coordination/route_follower.h"

#include <stdio.h>
#include <string.h>

#include "fakes/fake_store.h"
#include "fakes/fake_world.h"
#include "state/route_set.h"
#include "unit/unit_main.h"

#define STEP_US (50 * TGW_US_PER_MS)
#define STEPS 20

static const struct route_follower_keys keys = {
	.prefix = "op/",
	.routes = "op/config",
	.evacuations = "op/evacuate/",
};

static struct fake_world world;
static struct fake_store_server server;
static struct fake_store store;
static struct route_follower *follower;
static unsigned int told;	   /* of routes */
static unsigned int told_in_force; /* while the follower had them */

static struct route_set *decode(const uint8_t *value, size_t size,
				struct tgw_error *error)
{
	struct route_set *set = route_set_new();

	set->version = 1;
	return set;
}

static void on_in_force(void *arg, const struct route_set *set)
{
	told++;
	told_in_force += route_follower_set(follower) == set;
}

static void on_text(void *arg, const char *text)
{
}

static void on_evacuated(void *arg, const char *failure_domain, bool active)
{
}

static void on_ignored(void *arg, const char *key, const char *reason)
{
}

static void setup(void)
{
	const struct route_follower_events events = {
		.decode = decode,
		.in_force = on_in_force,
		.refused = on_text,
		.evacuated = on_evacuated,
		.evacuation_ignored = on_ignored,
	};

	told = 0;
	told_in_force = 0;
	fake_world_init(&world, 1);
	fake_store_server_init(&server, &world);
	fake_store_init(&store, &server);
	follower =
		route_follower_new(&keys, &store.store, &world.clock, &events);
}

static void teardown(void)
{
	route_follower_free(follower);
	fake_store_reset(&store);
	fake_store_server_clear(&server);
	fake_world_clear(&world);
}

static void run(void)
{
	for (int i = 0; i < STEPS; i++) {
		route_follower_tick(follower);
		fake_world_advance(&world, STEP_US);
	}
}

/* Guards against routes whose owner is told of them only while the follower
 * does not give them out: what depends on both, such as the limits of servers
 * that join meanwhile, is never set. */
START_TEST(routes_that_a_watch_told_before_the_first_list_are_told_in_force)
{
	store.refuses_lists = true;
	run();
	fake_store_server_put(&server, keys.routes, "{}", 2);
	run();
	ck_assert_uint_gt(told, 0);
	ck_assert_ptr_null(route_follower_set(follower));
	store.refuses_lists = false;
	run();
	ck_assert_ptr_nonnull(route_follower_set(follower));
	ck_assert_uint_gt(told_in_force, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("route_follower");
	TCase *tcase = tcase_create("order");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(
		tcase,
		routes_that_a_watch_told_before_the_first_list_are_told_in_force);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
