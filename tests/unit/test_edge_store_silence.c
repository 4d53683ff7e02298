/* Tests what a host does with its watches while the store answers nothing. */
#include "coordination/store_mirror.h"
#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define APPLY_MS 2000 /* the default */
#define READY_MS 3000
#define SILENT_MS 4000

static struct edge_rig rig;

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	rig.apply_ms = APPLY_MS;
	edge_rig_restart_host(&rig, 0);
	edge_rig_run(&rig, READY_MS);
}

static void teardown(void)
{
	edge_rig_stop(&rig);
}

static uint64_t stalled_watches(void)
{
	return store_mirror_get_counters(rig.hosts[0].edge.mirror)
		->stalled_watches;
}

START_TEST(a_silent_store_is_no_stalled_watch)
{
	ck_assert_uint_eq(stalled_watches(), 0);
	rig.store.silent = true;
	edge_rig_run(&rig, SILENT_MS);
	ck_assert_uint_eq(stalled_watches(), 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_store_silence");
	TCase *tcase = tcase_create("host");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 20);
	/* The phase of the polls at the beginning of the silence differs. */
	tcase_add_loop_test(tcase, a_silent_store_is_no_stalled_watch, 0, 3);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
