/* Tests streams that break off and go on at a second server, whatever that
 * server answers: the caller gets a whole stream or one that is seen to be cut,
 * and each event once. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "fakes/edge_rig.h"
#include "unit/unit_main.h"

#define EVENTS 6
#define AMPLE_CREDIT 1000000
/* Just below what a host holds of an event, with a growing buffer's reserve. */
#define LARGE_EVENT_BYTES ((size_t)200 * 1024)
#define LARGE_BODY_BYTES ((size_t)300 * 1024)
/* The first server is silent between two events for so long, which is longer
 * than the host waits before it tries the second one as well. */
#define SILENCE "X-Pause: 4,1300\r\n"

#define STREAM "Content-Type: text/event-stream\r\n"
#define CHUNKED "Transfer-Encoding: chunked\r\n\r\n"
#define SIZED(size) "Content-Length: " size "\r\n\r\n"
#define UNSIZED "Connection: close\r\n\r\n"
#define NOT_RUN "Tamarackgw-Not-Executed: 1\r\n"
#define EVENT(n) "id: " #n "\ndata: part-" #n "\n\n"
#define CHUNK(n) "14\r\n" EVENT(n) "\r\n"
#define END "0\r\n\r\n"
#define CHUNKS_TO_2 CHUNK(0) CHUNK(1) CHUNK(2)
#define CHUNKS_FROM_3 CHUNK(3) CHUNK(4) CHUNK(5)
#define CUT_AFTER_2                                                   \
	{                                                             \
		200, STREAM CHUNKED CHUNKS_TO_2 "8\r\nid: 3\nda\r\n", \
			BACKEND_STANDIN_CLOSES                        \
	}
#define CUT_AFTER_5                                            \
	{                                                      \
		200, STREAM CHUNKED CHUNKS_TO_2 CHUNKS_FROM_3, \
			BACKEND_STANDIN_CLOSES                 \
	}
#define CUT_BEFORE_0                                     \
	{                                                \
		200, STREAM CHUNKED "7\r\nid: 0\nd\r\n", \
			BACKEND_STANDIN_CLOSES           \
	}

/* What the log says of the second server. */
#define NO_EVENT "the server sent no event to go on with"
#define NO_STREAM "the server went on with another kind of body"

static const char whole_stream[] = EVENT(0) EVENT(1) EVENT(2) EVENT(3) EVENT(4)
	EVENT(5);

/* The answers to the first and the second attempt. */
struct joint {
	struct backend_standin_answer answers[3];
	int events; /* that reach the caller */
	const char *log;
};

static const struct joint joints[] = {
	/* The second server has nothing to send. */
	{{CUT_AFTER_2, {204, "\r\n", 0}}, 3, NO_STREAM},
	{{CUT_AFTER_2, {200, SIZED("0"), 0}}, 3, NO_STREAM},
	{{CUT_AFTER_2, {204, STREAM "\r\n", 0}}, 3, NO_STREAM},
	{{CUT_AFTER_2, {200, STREAM UNSIZED, BACKEND_STANDIN_CLOSES}},
	 3,
	 NO_EVENT},
	{{CUT_AFTER_2,
	  {200, STREAM UNSIZED ": ping\n\n", BACKEND_STANDIN_CLOSES}},
	 3,
	 NO_EVENT},
	{{CUT_AFTER_2, {200, STREAM SIZED("9") "id: 3\nda\n", 0}}, 3, NO_EVENT},
	/* It goes on elsewhere in the stream. */
	{{CUT_AFTER_2,
	  {200, STREAM CHUNKED CHUNK(1) CHUNK(2) CHUNKS_FROM_3 END, 0}},
	 3,
	 "the server went on with event 1 after event 2"},
	{{CUT_AFTER_2, {200, STREAM CHUNKED CHUNKS_TO_2 CHUNKS_FROM_3 END, 0}},
	 3,
	 "the server went on with event 0 after event 2"},
	{{CUT_AFTER_2, {200, STREAM CHUNKED CHUNK(2) CHUNKS_FROM_3 END, 0}},
	 3,
	 "the server went on with event 2 after event 2"},
	{{CUT_AFTER_2, {200, STREAM CHUNKED CHUNK(4) CHUNK(5) END, 0}},
	 3,
	 "the server went on with event 4 after event 2"},
	{{CUT_AFTER_2, {200, STREAM SIZED("15") "data: part-3\n\n\n", 0}},
	 3,
	 "the server went on with an event without an id after event 2"},
	/* Its body is no event stream. */
	{{CUT_AFTER_2,
	  {200,
	   "Content-Type: application/json\r\n" SIZED(
		   "22") "{\"a\":1,\n\n\"id: 3\":2}\n\n",
	   0}},
	 3,
	 NO_STREAM},
	{{CUT_AFTER_2, {200, CHUNKED CHUNKS_FROM_3 END, 0}}, 3, NO_STREAM},
	{{CUT_AFTER_2,
	  {200, "Content-Type: text/event-streams\r\n" CHUNKED CHUNK(3) END,
	   0}},
	 3,
	 NO_STREAM},
	{{CUT_AFTER_2,
	  {200, STREAM "Content-Encoding: gzip\r\n" CHUNKED CHUNKS_FROM_3 END,
	   0}},
	 3,
	 NO_STREAM},
	/* It answers with an error. */
	{{CUT_AFTER_2, {500, CHUNKED "3\r\nbad\r\n" END, 0}}, 3, "refused"},
	{{CUT_AFTER_2, {500, UNSIZED "bad", BACKEND_STANDIN_CLOSES}},
	 3,
	 "refused"},
	{{CUT_AFTER_2, {500, UNSIZED, BACKEND_STANDIN_RESETS}},
	 3,
	 "the server broke the connection off"},
	{{CUT_AFTER_2, {404, SIZED("3") "bad", 0}}, 3, "refused"},
	{{CUT_AFTER_2, {404, UNSIZED "bad", BACKEND_STANDIN_CLOSES}},
	 3,
	 "refused"},
	{{CUT_AFTER_2, {302, SIZED("3") "bad", 0}}, 3, "refused"},
	{{CUT_AFTER_2, {503, NOT_RUN SIZED("0"), 0}}, 3, "did not take"},
	{{CUT_AFTER_2, {421, NOT_RUN SIZED("0"), 0}}, 3, "another server"},
	{{CUT_AFTER_2, {400, STREAM CHUNKED CHUNKS_FROM_3 END, 0}},
	 3,
	 "refused"},
	/* It breaks off, too. */
	{{CUT_AFTER_2, {200, STREAM CHUNKED, BACKEND_STANDIN_CLOSES}},
	 3,
	 "the server broke the connection off"},
	{{CUT_AFTER_2,
	  {200, STREAM CHUNKED "8\r\nid: 3\nda\r\n", BACKEND_STANDIN_CLOSES}},
	 3,
	 "the server broke the connection off"},
	{{CUT_AFTER_2, {200, STREAM CHUNKED CHUNK(3), BACKEND_STANDIN_RESETS}},
	 4,
	 "the server broke the connection off"},
	{{CUT_AFTER_2,
	  {200, STREAM CHUNKED CHUNK(3) "8\r\nid: 4\nda\r\n" END, 0}},
	 4,
	 "the stream ended within an event"},
	{{CUT_AFTER_2, {200, "no head at all\r\n\r\n", BACKEND_STANDIN_CLOSES}},
	 3,
	 "can't be read"},
	/* It goes on as it should. */
	{{CUT_AFTER_2, {200, STREAM CHUNKED CHUNKS_FROM_3 END, 0}},
	 EVENTS,
	 "event=answered"},
	{{CUT_AFTER_2,
	  {200,
	   STREAM CHUNKED "3\r\nid:\r\n11\r\n 3\ndata: part-3\n\n\r\n" CHUNK(4)
		   CHUNK(5) END,
	   0}},
	 EVENTS,
	 "event=answered"},
	{{CUT_AFTER_2,
	  {200,
	   "Content-Type: Text/Event-Stream; charset=utf-8\r\n" UNSIZED EVENT(3)
		   EVENT(4) EVENT(5),
	   BACKEND_STANDIN_CLOSES}},
	 EVENTS,
	 "event=answered"},
	/* Only the head of the first one reached the caller. */
	{{CUT_BEFORE_0, {204, "\r\n", 0}}, 0, NO_STREAM},
	{{CUT_BEFORE_0, {200, SIZED("0"), 0}}, 0, NO_STREAM},
	{{CUT_BEFORE_0, {200, STREAM UNSIZED, BACKEND_STANDIN_CLOSES}},
	 0,
	 NO_EVENT},
	{{CUT_BEFORE_0, {500, SIZED("3") "bad", 0}}, 0, "refused"},
	{{CUT_BEFORE_0,
	  {200, "Content-Type: application/json\r\n" SIZED("5") "{}\n\n\n", 0}},
	 0,
	 NO_STREAM},
	{{CUT_BEFORE_0, {200, STREAM CHUNKED CHUNKS_TO_2 CHUNKS_FROM_3 END, 0}},
	 EVENTS,
	 "event=answered"},
};

/* Answers of the second server that leave the stream to the first. */
static const struct backend_standin_answer beside_silence[][2] = {
	{{204, "\r\n", 0}},
	{{200, SIZED("0"), 0}},
	{{200, STREAM UNSIZED, BACKEND_STANDIN_CLOSES}},
	{{200, STREAM CHUNKED CHUNK(1) CHUNK(2) CHUNKS_FROM_3 END, 0}},
	{{200, STREAM CHUNKED "8\r\nid: 3\nda\r\n", 0}},
	{{200, STREAM CHUNKED "8\r\nid: 3\nda\r\n", BACKEND_STANDIN_CLOSES}},
	{{200, "Content-Type: application/json\r\n" SIZED("6") "{}\n\n\n\n",
	  0}},
	{{500, CHUNKED "3\r\nbad\r\n" END, 0}},
	{{500, UNSIZED, 0}},
	{{404, UNSIZED "bad", BACKEND_STANDIN_RESETS}},
};

static struct edge_rig rig;
static const struct backend_standin_answer none_scripted;
static const struct backend_standin_answer *answers;
static char *received;
static char *body; /* of the response, without its chunks */
static bool is_whole;
static int saved_output;
static FILE *log_file;

static void setup(void)
{
	struct retry_budget *budget;

	saved_output = dup(STDOUT_FILENO);
	log_file = tmpfile();
	dup2(fileno(log_file), STDOUT_FILENO);
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
	dup2(saved_output, STDOUT_FILENO);
	close(saved_output);
	fclose(log_file);
	free(received);
	free(body);
}

static bool log_has(const char *text)
{
	static char log[1 << 20];
	ssize_t size = pread(fileno(log_file), log, sizeof(log) - 1, 0);

	log[size > 0 ? size : 0] = '\0';
	return strstr(log, text);
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

/* The body is the beginning of the whole stream, and is seen to be cut if it is
 * not all of it. */
static void check_body(int events)
{
	size_t event_size = strlen(whole_stream) / EVENTS;

	ck_assert_msg(!strncmp(body, whole_stream, strlen(body)) &&
			      strlen(body) == (size_t)events * event_size,
		      "received %d: %s", is_whole, body);
	ck_assert_msg(is_whole == (events == EVENTS), "received %d: %s",
		      is_whole, body);
	ck_assert(log_has("event=answered") == is_whole);
}

START_TEST(a_second_server_neither_ends_nor_repeats_nor_joins_a_cut_stream)
{
	const struct joint *joint = &joints[_i];

	answers = joint->answers;
	request("GET", "resume", "scripted", "");
	check_body(joint->events);
	ck_assert_uint_eq(edge_rig_runs(&rig), 2);
	ck_assert_msg(log_has(joint->log), "not in the log: %s", joint->log);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.aborted, !is_whole);
}
END_TEST

START_TEST(a_stream_that_may_not_be_resumed_is_cut_where_it_breaks_off)
{
	answers = joints[_i].answers;
	request("GET", "stream", "scripted", "");
	ck_assert(!is_whole);
	ck_assert(!strncmp(body, whole_stream, strlen(body)));
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

START_TEST(a_large_error_response_does_not_end_a_cut_stream)
{
	static struct backend_standin_answer large[] = {
		CUT_AFTER_2,
		{500, NULL, BACKEND_STANDIN_CLOSES},
		{0},
	};
	char *text = malloc(LARGE_BODY_BYTES + 1);

	memset(text, 'x', LARGE_BODY_BYTES);
	memcpy(text, UNSIZED, strlen(UNSIZED));
	text[LARGE_BODY_BYTES] = '\0';
	large[1].text = text;
	answers = large;
	request("GET", "resume", "scripted", "");
	free(text);
	check_body(3);
}
END_TEST

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

/* Only a server that sends a whole event stream without events says that
 * nothing comes after the last one. */
START_TEST(a_stream_that_breaks_off_after_its_last_event_ends_whole)
{
	static const struct backend_standin_answer lists[][3] = {
		{CUT_AFTER_5, {200, STREAM CHUNKED END, 0}},
		{CUT_AFTER_5, {200, STREAM SIZED("0"), 0}},
		{CUT_AFTER_5, {200, STREAM SIZED("8") ": ping\n\n", 0}},
	};

	answers = lists[_i];
	request("GET", "resume", "scripted", "");
	ck_assert_uint_eq(edge_rig_runs(&rig), 2);
	check_body(EVENTS);
}
END_TEST

/* Ids need only increase. */
START_TEST(a_stream_whose_ids_skip_numbers_is_resumed_at_a_later_one)
{
	static const struct backend_standin_answer skipping[] = {
		{200, STREAM CHUNKED CHUNK(0) CHUNK(3), BACKEND_STANDIN_CLOSES},
		{200, STREAM CHUNKED CHUNK(5) CHUNK(8) END, 0},
		{0},
	};
	static const struct backend_standin_answer repeating[] = {
		{200, STREAM CHUNKED CHUNK(0) CHUNK(3), BACKEND_STANDIN_CLOSES},
		{200, STREAM CHUNKED CHUNK(3) CHUNK(5) END, 0},
		{0},
	};

	answers = _i ? repeating : skipping;
	request("GET", "resume", "scripted", "");
	ck_assert_str_eq(body, _i ? EVENT(0) EVENT(3)
				  : EVENT(0) EVENT(3) EVENT(5) EVENT(8));
	ck_assert(is_whole == !_i);
}
END_TEST

/* One id does not tell yet that the next one is not its successor. */
START_TEST(a_stream_whose_ids_skip_numbers_is_resumed_after_its_first_event)
{
	static const struct backend_standin_answer skipping[] = {
		{200, STREAM CHUNKED CHUNK(0), BACKEND_STANDIN_CLOSES},
		{200, STREAM CHUNKED CHUNK(3) CHUNK(5) END, 0},
		{0},
	};

	answers = skipping;
	request("GET", "resume", "scripted", "");
	ck_assert_str_eq(body, EVENT(0) EVENT(3) EVENT(5));
	ck_assert(is_whole);
}
END_TEST

/* The answer to a caller that goes on with a stream of its own is the server's
 * whole one, also if it is empty. */
/* A sound server may send events far larger than those of the model engines. */
START_TEST(a_large_event_of_a_sound_server_is_passed_on)
{
	static struct backend_standin_answer large[2];
	struct buffer text = {0};
	char *data = calloc(1, LARGE_EVENT_BYTES + 1);

	memset(data, 'x', LARGE_EVENT_BYTES);
	buffer_add_format(&text,
			  STREAM CHUNKED "%zx\r\nid: 0\ndata: %s\n\n\r\n" END,
			  strlen("id: 0\ndata: \n\n") + LARGE_EVENT_BYTES,
			  data);
	large[0].status = 200;
	large[0].text = text.data;
	answers = large;
	request("GET", "resume", "scripted", "");
	ck_assert(is_whole);
	ck_assert_uint_eq(strlen(body),
			  strlen("id: 0\ndata: \n\n") + LARGE_EVENT_BYTES);
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
	buffer_free(&text);
	free(data);
}
END_TEST

/* Guards against held events: a host that did not see the ends of a sound
 * server's lines held the whole stream, and cut it at its end. */
START_TEST(a_stream_whose_lines_end_with_cr_is_resumed_like_others)
{
	static const struct backend_standin_answer returns[] = {
		{200, STREAM CHUNKED "10\r\nid: 0\rdata: a0\r\r\r\n",
		 BACKEND_STANDIN_CLOSES},
		{200, STREAM CHUNKED "10\r\nid: 1\rdata: a1\r\r\r\n" END, 0},
		{0},
	};

	answers = returns;
	request("GET", "resume", "scripted", "");
	ck_assert(is_whole);
	ck_assert_str_eq(body, "id: 0\rdata: a0\r\rid: 1\rdata: a1\r\r");
}
END_TEST

START_TEST(an_empty_stream_of_the_first_server_reaches_its_caller)
{
	static const struct backend_standin_answer empty[] = {
		{200, STREAM CHUNKED END, 0},
		{0},
	};

	answers = empty;
	request("GET", "resume", "scripted", "Last-Event-Id: 5\r\n");
	ck_assert_str_eq(body, "");
	ck_assert(is_whole);
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

/* It is forwarded as it is, and nothing can be joined with it. */
START_TEST(a_first_body_that_is_no_event_stream_is_not_resumed)
{
	static const struct backend_standin_answer whole[] = {
		{200,
		 "Content-Type: text/plain\r\n" SIZED("10") "a\n\nid: 1\nb", 0},
		{0},
	};
	static const struct backend_standin_answer cut[] = {
		{200,
		 "Content-Type: text/plain\r\n" CHUNKED "9\r\na\n\nid: 1\n\r\n",
		 BACKEND_STANDIN_CLOSES},
		{200, STREAM CHUNKED CHUNK(2) END, 0},
		{0},
	};

	answers = _i ? cut : whole;
	request("GET", "resume", "scripted", "");
	ck_assert_msg(!strcmp(body, _i ? "a\n\nid: 1\n" : "a\n\nid: 1\nb"),
		      "received %d: %s", is_whole, body);
	ck_assert(is_whole == !_i);
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
}
END_TEST

START_TEST(a_head_request_to_a_stream_is_answered_with_a_head)
{
	request("HEAD", _i ? "stream" : "resume", "stream", "");
	ck_assert(!strncmp(received, "HTTP/1.1 200 ", 13));
	ck_assert_str_eq(strstr(received, "\r\n\r\n"), "\r\n\r\n");
	ck_assert_uint_eq(edge_rig_runs(&rig), 1);
	ck_assert(log_has("event=answered"));
}
END_TEST

/* The first server gets the request, and only later is there another one. */
static void make_second_server_late(void)
{
	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 300);
	rig.server_standins[0].answers = NULL;
	rig.server_standins[1].answers = &answers;
}

static void exchange_beside_silence(void)
{
	struct edge_rig_caller caller;

	make_second_server_late();
	edge_rig_call(&rig, &caller,
		      "GET /resume/stream HTTP/1.1\r\nHost: a.example\r\n"
		      "Authorization: Token key-1\r\n"
		      "Tamarackgw-Request-Id: silent-1\r\n" SILENCE
		      "Connection: close\r\n\r\n");
	edge_rig_run(&rig, 100);
	edge_rig_register_server(&rig, 1, "ready", 3);
	for (int i = 0; i < 600 && !caller.closed; i++)
		edge_rig_run(&rig, 5);
	edge_rig_close_caller(&caller);
	while (!caller.released)
		edge_rig_run(&rig, 1);
	buffer_add(&caller.received, "", 1);
	received = strdup(caller.received.data);
	buffer_free(&caller.received);
	read_body();
}

START_TEST(a_second_server_that_does_not_go_on_leaves_the_stream_to_the_first)
{
	answers = beside_silence[_i];
	exchange_beside_silence();
	ck_assert_uint_eq(rig.server_standins[1].runs, 1);
	check_body(EVENTS);
}
END_TEST

START_TEST(events_of_two_open_attempts_are_not_mixed)
{
	static const struct backend_standin_answer some[] = {
		{200, STREAM CHUNKED CHUNK(3), 0},
		{0},
	};
	static const struct backend_standin_answer all[] = {
		{200, STREAM CHUNKED CHUNKS_FROM_3 END, 0},
		{0},
	};

	answers = _i ? all : some;
	exchange_beside_silence();
	ck_assert_uint_eq(rig.server_standins[1].runs, 1);
	check_body(_i ? EVENTS : 4);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_resumed_streams");
	TCase *tcase = tcase_create("streams");
	int joint_count = sizeof(joints) / sizeof(joints[0]);
	int beside_count = sizeof(beside_silence) / sizeof(beside_silence[0]);

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 30);
	tcase_add_loop_test(
		tcase,
		a_second_server_neither_ends_nor_repeats_nor_joins_a_cut_stream,
		0, joint_count);
	tcase_add_test(
		tcase,
		a_stream_that_may_not_be_resumed_is_cut_where_it_breaks_off);
	tcase_add_test(tcase, a_large_error_response_does_not_end_a_cut_stream);
	tcase_add_test(tcase,
		       a_stream_is_not_resumed_behind_an_event_without_an_id);
	tcase_add_test(tcase, a_stream_whose_ids_go_back_is_not_resumed);
	tcase_add_loop_test(
		tcase, a_stream_that_breaks_off_after_its_last_event_ends_whole,
		0, 3);
	tcase_add_test(
		tcase,
		a_stream_whose_ids_skip_numbers_is_resumed_after_its_first_event);
	tcase_add_loop_test(
		tcase,
		a_stream_whose_ids_skip_numbers_is_resumed_at_a_later_one, 0,
		2);
	tcase_add_test(tcase, a_large_event_of_a_sound_server_is_passed_on);
	tcase_add_test(tcase,
		       a_stream_whose_lines_end_with_cr_is_resumed_like_others);
	tcase_add_test(tcase,
		       an_empty_stream_of_the_first_server_reaches_its_caller);
	tcase_add_loop_test(tcase,
			    a_first_body_that_is_no_event_stream_is_not_resumed,
			    0, 2);
	tcase_add_loop_test(tcase,
			    a_head_request_to_a_stream_is_answered_with_a_head,
			    0, 2);
	tcase_add_loop_test(
		tcase,
		a_second_server_that_does_not_go_on_leaves_the_stream_to_the_first,
		0, beside_count);
	tcase_add_loop_test(tcase, events_of_two_open_attempts_are_not_mixed, 0,
			    2);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
