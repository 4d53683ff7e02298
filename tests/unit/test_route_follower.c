/* Tests the follower of the operators' keys with a store that tells a change
 * before it answers the first list, as a relay may. */
#include "coordination/route_follower.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "unit/unit_main.h"

static const struct route_follower_keys keys = {
	.prefix = "op/",
	.routes = "op/config",
	.evacuations = "op/evacuate/",
};
static struct route_follower *follower;
static struct tgw_store_watcher watcher;
static struct tgw_store_callback listing;
static unsigned int in_force_count;
static bool in_force_before_set;

static void list(struct tgw_store *store, const char *prefix,
		 struct tgw_store_callback callback)
{
	listing = callback;
}

static uint64_t watch(struct tgw_store *store, const char *prefix,
		      struct tgw_store_watcher added)
{
	watcher = added;
	return 1;
}

static void unwatch(struct tgw_store *store, uint64_t handle)
{
}

static const struct tgw_store_ops ops = {
	.list = list,
	.watch = watch,
	.unwatch = unwatch,
};
static struct tgw_store store = {&ops};

static int64_t now(const struct tgw_clock *clock)
{
	return TGW_US_PER_S;
}

static const struct tgw_clock_ops clock_ops = {.monotonic_us = now};
static const struct tgw_clock fixed_clock = {&clock_ops};

static struct route_set *decode(const uint8_t *value, size_t size,
				struct tgw_error *error)
{
	struct route_set *set = xcalloc(1, sizeof(*set));

	set->version = 1;
	return set;
}

static void on_in_force(void *arg, const struct route_set *set)
{
	in_force_count++;
	if (route_follower_set(follower) != set)
		in_force_before_set = true;
}

static void setup(void)
{
	const struct route_follower_events events = {
		.decode = decode,
		.in_force = on_in_force,
	};

	in_force_count = 0;
	in_force_before_set = false;
	follower = route_follower_new(&keys, &store, &fixed_clock, &events);
	route_follower_tick(follower);
}

static void teardown(void)
{
	route_follower_free(follower);
}

static const struct tgw_store_entry config = {
	.key = "op/config",
	.value = (const uint8_t *)"1",
	.value_size = 1,
	.version = 5,
};

static void answer_list(void)
{
	struct tgw_store_result result = {
		.status = TGW_OK,
		.entries = &config,
		.entry_count = 1,
		.message = "",
		.revision = 6,
	};

	listing.done(listing.arg, &result);
}

/* Guards against servers without the limits of their service: those that join
 * after the event and before the list find no set. */
START_TEST(a_set_is_reported_when_it_comes_into_force)
{
	if (_i)
		watcher.changed(watcher.arg, &config);
	ck_assert_ptr_null(route_follower_set(follower));
	answer_list();
	ck_assert_ptr_nonnull(route_follower_set(follower));
	ck_assert_uint_eq(in_force_count, 1);
	ck_assert(!in_force_before_set);
	answer_list();
	watcher.changed(watcher.arg, &config);
	ck_assert_uint_eq(in_force_count, 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("route_follower");
	TCase *tcase = tcase_create("first list");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_loop_test(tcase, a_set_is_reported_when_it_comes_into_force,
			    0, 2);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
