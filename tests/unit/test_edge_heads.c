/* Tests that a host refuses each head that a server could read in another way
 * than the host, and forwards only what it has checked. */
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define WAIT_MS 3000
/* Many times the 4,096 bytes that a head may have here. */
#define FLOOD_BYTES ((size_t)4 * 1024 * 1024)
#define HELD_MAX_BYTES (64 * 1024)

static struct edge_rig rig;
static struct edge_rig_caller caller;

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
}

static void teardown(void)
{
	edge_rig_close_caller(&caller);
	while (!caller.released)
		edge_rig_run(&rig, 1);
	buffer_free(&caller.received);
	edge_rig_stop(&rig);
}

/* A head after its request line and its first three fields, and a body. */
static const char *const ambiguous[] = {
	"Tamarackgw-Tenant : other\r\nContent-Length: 0\r\n\r\n",
	"X-A\t: b\r\nContent-Length: 0\r\n\r\n",
	"Transfer-Encoding : chunked\r\nContent-Length: 5\r\n\r\n0\r\n\r\n",
	"Content-Length : 5\r\n\r\nabcde",
	"Content-Length: 5\r\nContent-Length: 5\r\n\r\nabcde",
	"Content-Length: 5\r\nContent-Length: 0\r\n\r\nabcde",
	"Content-Length: 5\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n",
	"Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n",
	"Transfer-Encoding: chunked, identity\r\n\r\n0\r\n\r\n",
	"Transfer-Encoding: xchunked\r\n\r\n0\r\n\r\n",
	"Content-Length: +5\r\n\r\nabcde",
	"Content-Length: 5 5\r\n\r\nabcde",
	"Content-Length: 5,5\r\n\r\nabcde",
	"Content-Length: 0x5\r\n\r\nabcde",
	"Content-Length: -5\r\n\r\nabcde",
	"X-A: b\rX-B: c\r\nContent-Length: 0\r\n\r\n",
	"Host: b.example\r\nContent-Length: 0\r\n\r\n",
};

static void send_head(const char *rest, size_t rest_size)
{
	struct buffer text = {0};

	buffer_add_text(&text, "POST /safe/ok HTTP/1.1\r\nHost: a.example\r\n"
			       "Authorization: Token key-1\r\n"
			       "Connection: close\r\n");
	buffer_add(&text, rest, rest_size);
	edge_rig_call(&rig, &caller, text.data);
	for (int ms = 0; ms < WAIT_MS && !caller.received.size; ms++)
		edge_rig_run(&rig, 1);
	buffer_free(&text);
}

static bool has_status(const char *code)
{
	return caller.received.size > 12 &&
	       !memcmp(caller.received.data + 9, code, 3);
}

/* Guards against a request of another team, or one hidden in a body. */
START_TEST(a_head_that_can_be_read_in_two_ways_is_refused)
{
	send_head(ambiguous[_i], strlen(ambiguous[_i]));
	ck_assert_msg(has_status("400"), "%s: %.40s", ambiguous[_i],
		      caller.received.size ? caller.received.data : "");
	ck_assert_uint_eq(edge_rig_runs(&rig), 0);
}
END_TEST

START_TEST(fields_after_a_body_are_not_forwarded)
{
	static const char chunked[] = "Transfer-Encoding: chunked\r\n\r\n"
				      "3\r\nabc\r\n0\r\n"
				      "Tamarackgw-Expect-Instance: other\r\n"
				      "X-Late : b\r\n\r\n";

	send_head(chunked, strlen(chunked));
	ck_assert(has_status("200"));
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		ck_assert_ptr_null(
			rig.server_standins[i].request.size
				? strstr(rig.server_standins[i].request.data,
					 "X-Late")
				: NULL);
}
END_TEST

/* Fields after a body, and one such field, without end. Neither is kept, and
 * the request is refused, not read on. */
START_TEST(fields_after_a_body_without_end_are_refused)
{
	static const char *const fillers[] = {"X-Late: b\r\n", "bbbbbbbb"};
	struct edge *edge = &rig.hosts[0].edge;
	struct buffer text = {0};

	buffer_add_text(&text, "Transfer-Encoding: chunked\r\n\r\n"
			       "3\r\nabc\r\n0\r\nX-Long: ");
	if (!_i)
		buffer_add_text(&text, "a\r\n");
	while (text.size < FLOOD_BYTES)
		buffer_add_text(&text, fillers[_i]);
	send_head(text.data, text.size);
	ck_assert_msg(has_status("431") || has_status("400"), "%.40s",
		      caller.received.size ? caller.received.data : "");
	ck_assert_int_le(edge->held_requests.peak_bytes, HELD_MAX_BYTES);
	ck_assert_uint_eq(edge_rig_runs(&rig), 0);
	buffer_free(&text);
}
END_TEST

/* A continued line is forwarded as one line, so that no server reads a field in
 * it. */
START_TEST(a_continued_line_is_forwarded_as_one_field)
{
	static const char folded[] = "X-A: a\r\n X-Hidden: b\r\n"
				     "Content-Length: 0\r\n\r\n";

	send_head(folded, strlen(folded));
	ck_assert(has_status("200"));
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		ck_assert_ptr_null(
			rig.server_standins[i].request.size
				? strstr(rig.server_standins[i].request.data,
					 "\nX-Hidden")
				: NULL);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_heads");
	TCase *tcase = tcase_create("heads");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 20);
	tcase_add_loop_test(tcase,
			    a_head_that_can_be_read_in_two_ways_is_refused, 0,
			    sizeof(ambiguous) / sizeof(ambiguous[0]));
	tcase_add_test(tcase, fields_after_a_body_are_not_forwarded);
	tcase_add_loop_test(tcase, fields_after_a_body_without_end_are_refused,
			    0, 2);
	tcase_add_test(tcase, a_continued_line_is_forwarded_as_one_field);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
