/* Tests that a planned stop in calm takes no request that it can't end: at any
 * moment of the stop, on new connections and on one that is kept. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define STEP_MS 100
#define KILL_AFTER_S 4
/* The host exits by itself then, and cuts what is open. */
#define EXIT_MS 3400
#define CALLERS (EXIT_MS / STEP_MS)

static const struct {
	const char *path;
	const char *pause; /* of its server; the route's limit is 1 s or 10 s */
} plays[] = {
	{"unsafe/ok", "1,700"},		 {"safe/ok", "3,700"},
	{"stream/stream", "3,700"},	 {"resume/stream", "4,700"},
	{"long-unsafe/ok", "1,900"},	 {"long-safe/ok", "1,900"},
	{"long-stream/stream", "3,900"}, {"long-resume/stream", "2,900"},
};

static struct edge_rig rig;
static struct edge_rig_caller callers[CALLERS];
static struct edge_rig_caller kept;

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	rig.hosts[0].settings.stop_kill_after_s = KILL_AFTER_S;
	memset(callers, 0, sizeof(callers));
	memset(&kept, 0, sizeof(kept));
}

static void teardown(void)
{
	for (int i = 0; i < CALLERS; i++) {
		if (callers[i].connecting.type)
			edge_rig_close_caller(&callers[i]);
		buffer_free(&callers[i].received);
	}
	edge_rig_close_caller(&kept);
	buffer_free(&kept.received);
	edge_rig_stop(&rig);
}

static void make_request(int play, const char *connection, char *text,
			 size_t size)
{
	snprintf(text, size,
		 "POST /%s HTTP/1.1\r\nHost: a.example\r\n"
		 "Authorization: Token key-1\r\nX-Pause: %s\r\n"
		 "Connection: %s\r\nContent-Length: 0\r\n\r\n",
		 plays[play].path, plays[play].pause, connection);
}

static unsigned int count_text(const struct buffer *received, const char *text)
{
	const char *at = received->data;
	unsigned int count = 0;

	for (size_t left = received->size; at && left;) {
		const char *found = memmem(at, left, text, strlen(text));

		if (!found)
			break;
		count++;
		left -= (size_t)(found + strlen(text) - at);
		at = found + strlen(text);
	}
	return count;
}

/* @return responses that have come to their ends */
static unsigned int whole_answers(const struct buffer *received)
{
	return count_text(received, "\r\n\r\ndone") +
	       count_text(received, "part-5\n\n\r\n0\r\n\r\n") +
	       count_text(received, "\"}\n");
}

static unsigned int begun_answers(const struct buffer *received)
{
	return count_text(received, "HTTP/1.1 ");
}

START_TEST(each_request_that_is_taken_in_a_planned_stop_is_answered)
{
	unsigned int served = 0;
	unsigned int sent = 1;
	char once[300];
	char again[300];

	make_request(_i, "close", once, sizeof(once));
	make_request(_i, "keep-alive", again, sizeof(again));
	edge_rig_call(&rig, &kept, again);
	edge_rig_run(&rig, 50);
	edge_stop(&rig.hosts[0].edge);
	for (int i = 0; i < CALLERS; i++) {
		edge_rig_call(&rig, &callers[i], once);
		edge_rig_run(&rig, STEP_MS);
		if (kept.closed || whole_answers(&kept.received) < sent ||
		    count_text(&kept.received, "Connection: close"))
			continue;
		edge_rig_send(&kept, again);
		sent++;
	}
	for (int i = 0; i < CALLERS; i++) {
		const struct buffer *received = &callers[i].received;

		if (!callers[i].connected)
			continue;
		ck_assert_msg(whole_answers(received) == 1, "at %d ms: %.*s",
			      i * STEP_MS, (int)received->size, received->data);
		served += count_text(received, "HTTP/1.1 200 ");
	}
	ck_assert_uint_eq(begun_answers(&kept.received),
			  whole_answers(&kept.received));
	ck_assert_uint_ge(served, 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_late_requests");
	TCase *tcase = tcase_create("stop");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_loop_test(
		tcase, each_request_that_is_taken_in_a_planned_stop_is_answered,
		0, sizeof(plays) / sizeof(plays[0]));
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
