/* Tests a host beside entries of another writer among those of the backend
 * servers: it keeps following the store, and the servers beside them stay in
 * use. */
#include <stdlib.h>
#include <string.h>

#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define REQUESTS 8
#define APPLY_MS 300

static struct edge_rig rig;
static struct backend_standin odd;

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	memset(&odd, 0, sizeof(odd));
	backend_standin_start(&odd, &rig.loop, "odd");
}

static void teardown(void)
{
	backend_standin_stop(&odd);
	edge_rig_stop(&rig);
}

/* The servers beside the odd one serve, and a change is still followed. */
static void expect_service(void)
{
	for (int i = 0; i < REQUESTS; i++) {
		char *received =
			edge_rig_request(&rig, "GET", "safe", "ok", "", "");

		ck_assert_msg(!strncmp(received, "HTTP/1.1 200 ", 13), "%.200s",
			      received);
		free(received);
	}
	edge_rig_register_server(&rig, 0, "draining", 2);
	edge_rig_run(&rig, APPLY_MS);
	ck_assert(backend_table_find(&rig.hosts[0].edge.backends, "worker-0")
			  ->entry.draining);
}

static const char *const odd_ids[] = {
	"x\r\nX-Injected: yes",
	"x\nX-Injected: yes",
	"x y",
	"x\"",
	"x\\",
	"x\x7f",
	"\xc3\xa9",
};

START_TEST(an_id_that_no_header_field_can_hold_names_no_server)
{
	edge_rig_register_entry(&rig, odd_ids[_i], odd.address, "ready", 1,
				odd.born_ms);
	edge_rig_run(&rig, APPLY_MS);
	expect_service();
	ck_assert_uint_eq(odd.arrivals, 0);
	ck_assert_uint_eq(rig.hosts[0].edge.backends.count, EDGE_RIG_SERVERS);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_odd_entries");
	TCase *tcase = tcase_create("entries");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_loop_test(tcase,
			    an_id_that_no_header_field_can_hold_names_no_server,
			    0, sizeof(odd_ids) / sizeof(odd_ids[0]));
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
