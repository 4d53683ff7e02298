/* Tests the scan for the ends and ids of events in a text/event-stream, however
 * its bytes are split. */
#include "protocol/event_scan.h"

#include <string.h>

#include "unit/unit_main.h"

static const struct {
	const char *text;
	uint64_t events;
	int64_t last_id;
	size_t complete; /* bytes before the incomplete event */
} streams[] = {
	{"", 0, -1, 0},
	{"id: 0\ndata: a\n\n", 1, 0, 15},
	{"id: 0\ndata: a\n\nid: 1\nda", 1, 0, 15},
	{"id:7\r\ndata: a\r\n\r\n", 1, 7, 17},
	{"data: a\n\ndata: b\n\n", 2, -1, 18},
	/* Lines that end with CR, and a mix of all ends. */
	{"id: 4\rdata: a\r\r", 1, 4, 15},
	{"id: 4\rdata: a\r\rid: 5\rda", 1, 4, 15},
	{"id: 4\rdata: a\r\rid: 5\rdata: b\r\r", 2, 5, 30},
	{"id: 4\r\ndata: a\n\rid: 5\rdata: b\r\n\n", 2, 5, 32},
	{"data: a\r\ndata: b\r\n", 0, -1, 0},
	{"\r\r\n\r", 0, -1, 4},
	{"id: 3\ndata: a\n\ndata: b\n\n", 2, 3, 24},
	{"id: x\ndata: a\n\n", 1, -1, 15},
	{"id: -4\ndata: a\n\n", 1, -1, 16},
	{"\n\n\n", 0, -1, 3},
	{"tamarackgw: 3\nid: 1\ndata: a\n\n", 1, 1, 29},
	{"id: 99999999999999999999999999999999999999999999999999999999\n\n", 1,
	 -1, 62},
};

START_TEST(a_stream_is_scanned_in_one_piece)
{
	struct event_scan scan;
	size_t complete;

	event_scan_init(&scan);
	complete = event_scan_feed(&scan, streams[_i].text,
				   strlen(streams[_i].text));
	ck_assert_uint_eq(scan.events, streams[_i].events);
	ck_assert_int_eq(scan.last_id, streams[_i].last_id);
	ck_assert_uint_eq(complete, streams[_i].complete);
}
END_TEST

START_TEST(a_stream_fed_byte_by_byte_gives_the_same_result)
{
	const char *text = streams[_i].text;
	struct event_scan scan;
	size_t complete = 0;

	event_scan_init(&scan);
	for (size_t i = 0; i < strlen(text); i++)
		if (event_scan_feed(&scan, text + i, 1))
			complete = i + 1;
	ck_assert_uint_eq(scan.events, streams[_i].events);
	ck_assert_int_eq(scan.last_id, streams[_i].last_id);
	ck_assert_uint_eq(complete, streams[_i].complete);
}
END_TEST

START_TEST(a_discarded_incomplete_event_has_no_effect)
{
	struct event_scan scan;

	event_scan_init(&scan);
	event_scan_feed(&scan, "id: 4\ndata: a\n\nid: 5\nda", 23);
	ck_assert(scan.in_event);
	event_scan_discard_partial(&scan);
	ck_assert(!scan.in_event);
	event_scan_feed(&scan, "id: 5\ndata: b\n\n", 15);
	ck_assert_uint_eq(scan.events, 2);
	ck_assert_int_eq(scan.last_id, 5);
}
END_TEST

static const struct {
	const char *text;
	uint64_t events;
	int64_t first_id;
	int64_t resume_id;
	bool skips_ids;
} ids[] = {
	{"id: 0\n\nid: 1\n\nid: 2\n\nid: 3\nd", 3, 0, 2, false},
	{"id: 5\n\nid: 9\n\n", 2, 5, 9, true},
	/* After an event without an id, or with one that is no number. */
	{"id: 0\n\ndata: a\n\n", 2, 0, -1, false},
	{"id: 0\n\ndata: a\n\nid: 1\n\n", 3, 0, 1, false},
	{"data: a\n\nid: 1\n\n", 2, -1, 1, false},
	{"id: 0\n\nid: 1x\n\n", 2, 0, -1, false},
	{"id: 0\n\nid: +1\n\n", 2, 0, -1, false},
	{"id: 0\n\nid: \n\n", 2, 0, -1, false},
	{"id: 9223372036854775807\n\n", 1, -1, -1, false},
	{"id: 0\r\n\r\nid: 1\r\n\r\n", 2, 0, 1, false},
	/* After ids that do not increase. */
	{"id: 0\n\nid: 0\n\n", 2, 0, -1, true},
	{"id: 0\n\nid: 1\n\nid: 0\n\nid: 2\n\n", 4, 0, -1, true},
	/* Comments are not an event. */
	{"id: 0\n\n: ping\n\n", 1, 0, 0, false},
	{": ping\n\nid: 0\n: ping\ndata: a\n\n", 1, 0, 0, false},
};

START_TEST(a_stream_is_resumed_after_an_id_and_only_if_all_ids_increase)
{
	struct event_scan scan;

	event_scan_init(&scan);
	event_scan_feed(&scan, ids[_i].text, strlen(ids[_i].text));
	ck_assert_uint_eq(scan.events, ids[_i].events);
	ck_assert_int_eq(scan.first_id, ids[_i].first_id);
	ck_assert_int_eq(scan.resume_id, ids[_i].resume_id);
	ck_assert_int_eq(scan.skips_ids, ids[_i].skips_ids);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("event_scan");
	TCase *tcase = tcase_create("streams");
	int count = sizeof(streams) / sizeof(streams[0]);

	tcase_add_loop_test(tcase, a_stream_is_scanned_in_one_piece, 0, count);
	tcase_add_loop_test(tcase,
			    a_stream_fed_byte_by_byte_gives_the_same_result, 0,
			    count);
	tcase_add_loop_test(
		tcase,
		a_stream_is_resumed_after_an_id_and_only_if_all_ids_increase, 0,
		sizeof(ids) / sizeof(ids[0]));
	tcase_add_test(tcase, a_discarded_incomplete_event_has_no_effect);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
