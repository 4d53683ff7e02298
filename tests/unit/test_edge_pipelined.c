/* Tests callers that send requests one after the other without waiting for the
 * responses: what a host holds of them, and that each is answered in order. */
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>

#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define MAX_GROWTH_KB 32768
#define REQUESTS 8000
/* A request that the host answers by itself, at once. */
#define REQUEST "GET /missing HTTP/1.1\r\n\r\n"
#define RUN_MS 6000
/* More responses than the sockets between host and caller hold. */
#define UNREAD_REQUESTS 100000
#define UNREAD_MS 500
#define UNWRITTEN_MAX_BYTES ((size_t)256 * 1024)

static struct edge_rig rig;

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
}

static void teardown(void)
{
	edge_rig_stop(&rig);
}

/* What was held within a callback counts as well. Sanitizers hold more, so
 * memory is checked in plain builds only. */
static long peak_memory_kb(void)
{
	struct rusage usage;

	getrusage(RUSAGE_SELF, &usage);
#if defined(__SANITIZE_ADDRESS__) || defined(__SANITIZE_THREAD__)
	return 0;
#else
	return usage.ru_maxrss;
#endif
}

static char *requests(size_t count, const char *last)
{
	struct buffer text = {0};

	for (size_t i = 0; i < count; i++)
		buffer_add_text(&text, REQUEST);
	buffer_add_text(&text, last);
	return text.data;
}

/* Each byte is looked at once: the sanitizers' strstr() looks at all that
 * follows in each call. */
static int count_of(const char *text, const char *part)
{
	size_t size = strlen(part);
	int count = 0;

	for (; *text; text++)
		if (*text == *part && !strncmp(text, part, size))
			count++;
	return count;
}

/* Guards against LOST: reading one request within the answer of the one before
 * took a level of the stack and a copy of the rest for each of them. */
START_TEST(many_small_requests_take_little_memory_and_are_all_answered)
{
	static struct edge_rig_caller caller;
	char *text = requests(REQUESTS, "GET /last HTTP/1.1\r\n"
					"Connection: close\r\n\r\n");
	uint64_t refused = rig.hosts[0].edge.counters.refused;
	long before_kb = peak_memory_kb();

	edge_rig_call(&rig, &caller, text);
	for (int ms = 0; ms < RUN_MS && !caller.closed; ms++)
		edge_rig_run(&rig, 1);
	ck_assert(caller.closed);
	ck_assert_int_eq(count_of(caller.received.data, "HTTP/1.1 404"),
			 REQUESTS + 1);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.refused - refused,
			  REQUESTS + 1);
	ck_assert_int_le(peak_memory_kb() - before_kb, MAX_GROWTH_KB);
	edge_rig_close_caller(&caller);
	free(text);
}
END_TEST

/* Guards against a host that is filled by responses that nobody reads: a caller
 * that sends requests and reads nothing is not served further, until it reads.
 */
START_TEST(a_caller_that_does_not_read_is_not_served_further)
{
	static struct edge_rig_caller caller;
	char *text = requests(UNREAD_REQUESTS, "GET /last HTTP/1.1\r\n"
					       "Connection: close\r\n\r\n");
	size_t unwritten = 0;

	edge_rig_call(&rig, &caller, "");
	uv_read_stop((uv_stream_t *)&caller.tcp);
	edge_rig_send(&caller, text);
	for (int ms = 0; ms < UNREAD_MS; ms++) {
		edge_rig_run(&rig, 1);
		ck_assert_ptr_nonnull(rig.hosts[0].edge.conns);
		if (server_conn_unwritten(rig.hosts[0].edge.conns) > unwritten)
			unwritten =
				server_conn_unwritten(rig.hosts[0].edge.conns);
	}
	ck_assert_uint_le(unwritten, UNWRITTEN_MAX_BYTES);
	edge_rig_resume_caller(&caller);
	for (int ms = 0; ms < RUN_MS && !caller.closed; ms++)
		edge_rig_run(&rig, 1);
	ck_assert(caller.closed);
	ck_assert_int_eq(count_of(caller.received.data, "HTTP/1.1 404"),
			 UNREAD_REQUESTS + 1);
	free(text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_pipelined");
	TCase *tcase = tcase_create("pipelined");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 30);
	tcase_add_test(
		tcase,
		many_small_requests_take_little_memory_and_are_all_answered);
	tcase_add_test(tcase,
		       a_caller_that_does_not_read_is_not_served_further);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
