/* Tests streams that break off, and whether they go on at another server. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define AMPLE_CREDIT 1000000

#define STREAM "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define EVENT(n) "id: " #n "\ndata: part-" #n "\n\n"
#define CHUNK(n) "14\r\n" EVENT(n) "\r\n"
#define END "0\r\n\r\n"
#define CHUNKS_TO_2 CHUNK(0) CHUNK(1) CHUNK(2)

static struct edge_rig rig;
static const struct backend_standin_answer none_scripted;
static const struct backend_standin_answer *answers;
static char *received;
static char *body; /* of the response, without its chunks */
static bool is_whole;

static void setup(void)
{
	struct retry_budget *budget;

	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	budget = edge_retry_budget(&rig.hosts[0].edge, "app");
	budget->limits.max_thousandths = AMPLE_CREDIT;
	budget->credit_thousandths = AMPLE_CREDIT;
	answers = &none_scripted;
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		rig.server_standins[i].answers = &answers;
}

static void teardown(void)
{
	edge_rig_stop(&rig);
	free(received);
	free(body);
}

/* Splits the received body into what it holds and whether it is whole. */
static void read_body(void)
{
	const char *at = strstr(received, "\r\n\r\n");
	size_t length = 0;

	is_whole = false;
	body = calloc(1, strlen(received) + 1);
	while (at && *(at += length ? 2 : 4)) {
		char *data;

		length = strtoul(at, &data, 16);
		if (!length || strlen(data) < length + 4) {
			is_whole = !length && !strcmp(data, "\r\n\r\n");
			return;
		}
		strncat(body, data + 2, length);
		at = data + 2 + length;
	}
}

static void request(const char *method, const char *route, const char *action,
		    const char *fields)
{
	received = edge_rig_request(&rig, method, route, action, fields, "");
	read_body();
}

/* A repeat after the last id would bring the event without one again. */
START_TEST(a_stream_is_not_resumed_behind_an_event_without_an_id)
{
	static const struct backend_standin_answer mixed[] = {
		{200, STREAM CHUNKED CHUNK(0) "e\r\ndata: part-1\n\n\r\n",
		 BACKEND_STANDIN_CLOSES},
		{200, STREAM CHUNKED CHUNK(1) CHUNK(2) END, 0},
		{0},
	};

	answers = mixed;
	request("GET", "resume", "scripted", "");
	ck_assert_str_eq(body, EVENT(0) "data: part-1\n\n");
	ck_assert(!is_whole);
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

START_TEST(a_stream_whose_ids_go_back_is_not_resumed)
{
	static const struct backend_standin_answer back[] = {
		{200, STREAM CHUNKED CHUNKS_TO_2 CHUNK(1),
		 BACKEND_STANDIN_CLOSES},
		{200, STREAM CHUNKED CHUNK(2) END, 0},
		{0},
	};

	answers = back;
	request("GET", "resume", "scripted", "");
	ck_assert_str_eq(body, EVENT(0) EVENT(1) EVENT(2) EVENT(1));
	ck_assert(!is_whole);
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_resumed_streams");
	TCase *tcase = tcase_create("streams");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 30);
	tcase_add_test(tcase,
		       a_stream_is_not_resumed_behind_an_event_without_an_id);
	tcase_add_test(tcase, a_stream_whose_ids_go_back_is_not_resumed);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
