/* Tests responses that end with their connection: a server that crashes there
 * closes it as cleanly as one that has said everything. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define STREAM_HEAD "Content-Type: text/event-stream\r\n\r\n"
#define JSON_HEAD "Content-Type: application/json\r\n\r\n"

static const struct {
	const char *text;
	bool is_whole; /* as far as its content tells */
} answers[] = {
	{JSON_HEAD "{\"a\":", false},
	{JSON_HEAD "", false},
	{JSON_HEAD "[\"]\\\"\"", false},
	{JSON_HEAD "{\"a\":[1,\"}\"]}\n", true},
	{"Content-Type: application/json; charset=utf-8\r\n\r\n{\"a\"", false},
	{STREAM_HEAD "id: 0\nda", false},
	{STREAM_HEAD "id: 0\ndata: part-0\n", false},
	{STREAM_HEAD "id: 0\ndata: part-0\n\n", true},
	{STREAM_HEAD, true},
	{"Content-Type: text/plain\r\n\r\ndone", true},
	{"\r\n", true},
};

#define ANSWERS ((int)(sizeof(answers) / sizeof(answers[0])))

static const char *const routes[] = {"unsafe", "safe", "stream", "resume"};

#define ROUTES ((int)(sizeof(routes) / sizeof(routes[0])))

static struct edge_rig rig;
static char *received;

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
}

static void teardown(void)
{
	free(received);
	received = NULL;
	edge_rig_stop(&rig);
}

/* Lets both servers answer so, and sends a request. */
static void exchange(const char *route, const char *text,
		     enum backend_standin_end end)
{
	const struct backend_standin_answer script[] = {
		{200, text, end}, {200, text, end}, {0}};
	const struct backend_standin_answer *next = script;

	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		rig.server_standins[i].answers = &next;
	received = edge_rig_request(&rig, "POST", route, "ok",
				    "Tamarackgw-Deadline-Ms: 1500\r\n", "x");
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		rig.server_standins[i].answers = NULL;
}

/* @return whether a caller takes what it received for a whole success */
static bool looks_whole(void)
{
	if (strncmp(received, "HTTP/1.1 200 ", 13) != 0)
		return false;
	return strstr(received, "Content-Length: ") ||
	       strstr(received, "\r\n0\r\n\r\n");
}

START_TEST(an_answer_that_ends_with_its_server_is_not_passed_on_as_whole)
{
	exchange(routes[_i / ANSWERS], answers[_i % ANSWERS].text,
		 BACKEND_STANDIN_CRASHES);
	ck_assert_msg(!looks_whole(), "%s: %s", routes[_i / ANSWERS], received);
}
END_TEST

START_TEST(an_answer_of_a_living_server_is_whole_unless_its_content_is_cut)
{
	exchange(routes[_i / ANSWERS], answers[_i % ANSWERS].text,
		 BACKEND_STANDIN_CLOSES);
	ck_assert_msg(looks_whole() == answers[_i % ANSWERS].is_whole, "%s: %s",
		      routes[_i / ANSWERS], received);
}
END_TEST

/* It exits as planned when its last response is written. */
START_TEST(the_last_answer_of_a_server_that_leaves_is_whole)
{
	for (int i = 0; i < EDGE_RIG_SERVERS; i++)
		rig.server_standins[i].extra_fields = "Server-Leaving: 1\r\n";
	exchange("unsafe", JSON_HEAD "{\"a\":1}", BACKEND_STANDIN_CRASHES);
	ck_assert_msg(looks_whole(), "%s", received);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_cut_ends");
	TCase *tcase = tcase_create("ends");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 30);
	tcase_add_loop_test(
		tcase,
		an_answer_that_ends_with_its_server_is_not_passed_on_as_whole,
		0, ANSWERS * ROUTES);
	tcase_add_loop_test(
		tcase,
		an_answer_of_a_living_server_is_whole_unless_its_content_is_cut,
		0, ANSWERS * ROUTES);
	tcase_add_test(tcase, the_last_answer_of_a_server_that_leaves_is_whole);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
