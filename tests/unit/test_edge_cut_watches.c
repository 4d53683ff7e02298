/* Tests a store that cuts watches which wait for changes, with and without
 * outages between: a server that leaves is left, and one whose entry an outage
 * has let lapse is kept. */
#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define APPLY_MS 2000 /* the default */
#define READY_MS 3000
/* A host goes by a removal within it. */
#define DRAIN_MS 2000
#define STEP_MS 10
#define TURNS 3
#define OUTAGE_MS 1500
#define CALM_MS 2500
/* Live servers restore their entries within it. */
#define RESTORE_MS 1200

static const int64_t cuts_ms[] = {1, 30, 60, 150, 300};

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

static bool has_server(const char *id)
{
	return backend_table_find(&rig.hosts[0].edge.backends, id);
}

static void assert_server_leaves(void)
{
	int64_t waited_ms = 0;

	kv_standin_put(&rig.store, "servers/worker-1", NULL);
	for (; waited_ms < DRAIN_MS && has_server("worker-1");
	     waited_ms += STEP_MS)
		edge_rig_run(&rig, STEP_MS);
	ck_assert(!has_server("worker-1"));
}

/* Guards against DRAIN: each cut was taken for an outage, which held the
 * removal of a server's entry back. */
START_TEST(a_server_that_leaves_is_left_although_watches_are_cut)
{
	unsigned int before;

	rig.store.cut_watches_ms = cuts_ms[_i];
	edge_rig_run(&rig, DRAIN_MS);
	before = rig.store.cuts;
	ck_assert_uint_gt(before, 0);
	assert_server_leaves();
	ck_assert_uint_gt(rig.store.cuts, 0);
	ck_assert(has_server("worker-0"));
}
END_TEST

START_TEST(cut_watches_are_no_outage)
{
	rig.store.cut_watches_ms = cuts_ms[_i];
	for (int64_t ms = 0; ms < DRAIN_MS; ms += STEP_MS) {
		edge_rig_run(&rig, STEP_MS);
		ck_assert(!backend_follower_store_is_unreachable(
			rig.hosts[0].edge.backend_follower));
	}
}
END_TEST

START_TEST(an_entry_that_lapses_in_an_outage_stays_in_use_beside_cuts)
{
	rig.store.cut_watches_ms = cuts_ms[_i];
	for (int turn = 0; turn < TURNS; turn++) {
		rig.store.silent = true;
		edge_rig_run(&rig, OUTAGE_MS);
		kv_standin_put(&rig.store, "servers/worker-1", NULL);
		rig.store.silent = false;
		for (int64_t ms = 0; ms < RESTORE_MS; ms += STEP_MS) {
			edge_rig_run(&rig, STEP_MS);
			ck_assert(has_server("worker-1"));
		}
		edge_rig_register_server(&rig, 1, "ready", 2 + turn);
		edge_rig_run(&rig, CALM_MS);
		ck_assert(has_server("worker-1"));
	}
	assert_server_leaves();
}
END_TEST

START_TEST(a_store_that_refuses_all_after_a_cut_is_an_outage)
{
	rig.store.cut_watches_ms = cuts_ms[_i];
	edge_rig_run(&rig, DRAIN_MS);
	rig.store.refuse_status = 503;
	edge_rig_run(&rig, DRAIN_MS / 2);
	ck_assert(backend_follower_store_is_unreachable(
		rig.hosts[0].edge.backend_follower));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_cut_watches");
	TCase *tcase = tcase_create("cuts");
	int count = sizeof(cuts_ms) / sizeof(cuts_ms[0]);

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(
		tcase, a_server_that_leaves_is_left_although_watches_are_cut, 0,
		count);
	tcase_add_loop_test(tcase, cut_watches_are_no_outage, 0, count);
	tcase_add_loop_test(
		tcase,
		an_entry_that_lapses_in_an_outage_stays_in_use_beside_cuts, 2,
		4);
	tcase_add_loop_test(tcase,
			    a_store_that_refuses_all_after_a_cut_is_an_outage,
			    0, count);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
