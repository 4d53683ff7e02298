/* Tests streams through the gateway: faults in an engine's stream, crashed and
 * unreachable engines, and callers that disconnect, stall or retry. */
#include <stddef.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "fakes/agents/gateway_rig.h"
#include "unit/unit_main.h"

#define STREAM ",\"stream\":true,\"max_tokens\":200"
#define NO_STREAM ",\"max_tokens\":200"
/* The padding of all tokens exceeds what the socket buffers on the path can
 * hold. */
#define SLOW_TOKENS 400
#define SLOW_PAD_BYTES (64 * 1024)
/* More than 60 MB of events; what the sockets on the path take is read, too. */
#define ENDLESS_REPEATS 400000
#define ENDLESS_READ_MAX_BYTES (16 * 1024 * 1024)
#define KEY_HEADER "Idempotency-Key: k1\r\n"
#define COMPLETE_TEXT "\"content\":\"t0 t1 t2 t3 t4 \""

static struct gateway_rig rig;
static struct fake_backend *const engine = &rig.engines[0];
static struct fake_backend *const second_engine = &rig.engines[1];
static struct buffer input;

static void setup(void)
{
	gateway_rig_init(&rig);
	gateway_rig_start(&rig);
}

static void teardown(void)
{
	gateway_rig_stop(&rig);
	buffer_free(&input);
}

static bool has(const char *text)
{
	return input.data && strstr(input.data, text);
}

static int count(const char *text)
{
	int found = 0;

	for (const char *at = input.data; (at = strstr(at, text)); at++)
		found++;
	return found;
}

/* Each token was received once, in order, followed by the end mark. */
static void check_complete_stream(void)
{
	const char *at = input.data;

	for (int i = 0; i < 5; i++) {
		char token[16];

		snprintf(token, sizeof(token), "\"t%d ", i);
		ck_assert_msg(count(token) == 1, "%s in %s", token, input.data);
		ck_assert_ptr_nonnull(at = strstr(at, token));
	}
	ck_assert_ptr_nonnull(strstr(at, "data: [DONE]"));
	ck_assert(!has("event: error"));
	ck_assert(!has("wrong"));
}

static void check_settled(enum tgw_settle_basis basis, int64_t tokens)
{
	RIG_WAIT(fake_agents.settles == 1);
	ck_assert_int_eq(fake_agents.last_settle_basis, basis);
	ck_assert_int_eq(fake_agents.last_settled_tokens, tokens);
	ck_assert_int_eq(fake_agents.routes_open, 0);
	ck_assert_int_eq(fake_agents.entered, 0);
}

/* ---- streams with faults ---- */

struct fault_case {
	const char *name;
	size_t offset; /* of the fault's field in struct fake_script */
	int at;	       /* the token at which the fault occurs */
	int streams;   /* stream requests that the first engine received */
	int resumes;   /* how many of them were resumes */
	int from;      /* the token that the last resume started from */
};

#define FAULT_OFFSET(name) offsetof(struct fake_script, name)

static const struct fault_case faults[] = {
	{"break", FAULT_OFFSET(break_at), 3, 2, 1, 3},
	{"crossed", FAULT_OFFSET(cross_at), 2, 2, 1, 2},
	{"gap", FAULT_OFFSET(skip_at), 3, 2, 1, 3},
	{"truncated", FAULT_OFFSET(end_at), 3, 2, 1, 3},
	{"late", FAULT_OFFSET(late_at), 2, 1, 0, 0},
	{"doubled", FAULT_OFFSET(double_at), 2, 1, 0, 0},
};

static void set_fault(const struct fault_case *fault)
{
	*(int *)((char *)&engine->script + fault->offset) = fault->at;
}

static void check_fault(const struct fault_case *fault)
{
	ck_assert_msg(engine->streams == fault->streams, "%s: %d streams",
		      fault->name, engine->streams);
	ck_assert_int_eq(engine->resumes, fault->resumes);
	ck_assert_int_eq(engine->last_from, fault->from);
	ck_assert_int_eq(second_engine->streams, 0);
	check_settled(TGW_SETTLE_USAGE, 10);
}

START_TEST(a_faulty_stream_reaches_the_caller_complete)
{
	set_fault(&faults[_i]);
	ck_assert_int_eq(rig_chat(&rig, "", STREAM, &input), 200);
	check_complete_stream();
	check_fault(&faults[_i]);
}
END_TEST

START_TEST(a_response_collected_from_a_faulty_stream_is_complete)
{
	set_fault(&faults[_i]);
	ck_assert_int_eq(rig_chat(&rig, "", NO_STREAM, &input), 200);
	ck_assert_msg(has(COMPLETE_TEXT), "%s", input.data);
	check_fault(&faults[_i]);
}
END_TEST

START_TEST(a_stream_that_cannot_be_resumed_ends_with_an_error)
{
	engine->script.break_at = 3;
	rig.servers[0].can_resume = false;
	rig.servers[1].can_resume = false;
	ck_assert_int_eq(rig_chat(&rig, "", STREAM, &input), 200);
	ck_assert(has("event: error\ndata: {\"type\":\"urn:tamarackgw:"
		      "stream-broken\""));
	ck_assert(has("\"not_run\":false"));
	ck_assert(!has("[DONE]"));
	/* The engine reported its usage when it was cancelled. */
	check_settled(TGW_SETTLE_PARTIAL, 7);
}
END_TEST

START_TEST(an_unresumable_stream_of_a_crashed_engine_is_charged_its_bound)
{
	engine->script.break_at = 3;
	engine->script.requests_unknown = true;
	rig.servers[1].can_resume = false;
	rig_chat(&rig, "", STREAM, &input);
	ck_assert(has("event: error"));
	ck_assert(!has("[DONE]"));
	check_settled(TGW_SETTLE_BOUND, 200 + RIG_FIXED_TOKENS + 20);
	ck_assert_int_eq(fake_agents.crashes, 1);
}
END_TEST

START_TEST(the_stream_of_a_crashed_engine_resumes_elsewhere)
{
	engine->script.break_at = 3;
	engine->script.requests_unknown = true;
	rig_chat(&rig, "", STREAM, &input);
	check_complete_stream();
	ck_assert_int_eq(second_engine->last_from, 3);
	ck_assert_int_eq(fake_agents.retries, 1);
	ck_assert_int_eq(fake_agents.crashes, 1);
	ck_assert_int_eq(fake_agents.last_others_running, 0);
}
END_TEST

struct resume_case {
	size_t offset; /* of the field that is set in struct fake_script */
	int value;
};

static const struct resume_case bad_resumes[] = {
	{FAULT_OFFSET(status), 204}, {FAULT_OFFSET(status), 200},
	{FAULT_OFFSET(status), 404}, {FAULT_OFFSET(status), 500},
	{FAULT_OFFSET(break_at), 3}, {FAULT_OFFSET(end_at), 3},
	{FAULT_OFFSET(skip_at), 3},
};

static void check_cut_after_3_tokens(void)
{
	for (int i = 0; i < 5; i++) {
		char token[16];

		snprintf(token, sizeof(token), "\"t%d ", i);
		ck_assert_msg(count(token) == (i < 3), "%s in %s", token,
			      input.data);
	}
	ck_assert(has("event: error"));
	ck_assert(!has("[DONE]"));
}

START_TEST(a_second_engine_that_does_not_resume_a_stream_does_not_end_it)
{
	engine->script.break_at = 3;
	engine->script.requests_unknown = true;
	second_engine->script.fault_count = 100;
	*(int *)((char *)&second_engine->script + bad_resumes[_i].offset) =
		bad_resumes[_i].value;
	rig_chat(&rig, "", STREAM, &input);
	check_cut_after_3_tokens();
	ck_assert_int_ge(second_engine->resumes, 1);
}
END_TEST

/* Or sends no events at all. */
START_TEST(a_second_engine_that_runs_a_request_anew_is_not_joined)
{
	engine->script.break_at = 3;
	engine->script.requests_unknown = true;
	second_engine->script.resumes_from_start = !_i;
	second_engine->script.resumes_empty = _i;
	rig_chat(&rig, "", STREAM, &input);
	check_cut_after_3_tokens();
	ck_assert_int_ge(second_engine->resumes, 1);
}
END_TEST

START_TEST(a_stream_without_tokens_is_restarted_at_another_server)
{
	engine->script.break_at = 0;
	engine->script.requests_unknown = true;
	rig_chat(&rig, "", STREAM, &input);
	check_complete_stream();
	ck_assert_int_eq(second_engine->streams, 1);
	ck_assert_int_eq(second_engine->resumes, 0);
}
END_TEST

START_TEST(a_suspected_request_runs_on_the_required_server)
{
	fake_agents.verdict = TGW_QUARANTINE_PROBATION;
	fake_agents.probation_server = "engine1";
	rig_chat(&rig, "", STREAM, &input);
	check_complete_stream();
	ck_assert_int_eq(engine->streams, 0);
	ck_assert_int_eq(second_engine->streams, 1);
	check_settled(TGW_SETTLE_USAGE, 10);
}
END_TEST

struct status_case {
	int status;
	int caller_status;
	const char *text;
	int second_streams;
};

static const struct status_case statuses[] = {
	{503, 200, COMPLETE_TEXT, 1},
	{500, 200, COMPLETE_TEXT, 1},
	{429, 200, COMPLETE_TEXT, 1},
	/* No valid HTTP. */
	{600, 200, COMPLETE_TEXT, 1},
	{400, 502, "backend-refused", 0},
};

START_TEST(an_engine_error_is_retried_unless_it_is_final)
{
	engine->script.status = statuses[_i].status;
	ck_assert_int_eq(rig_chat(&rig, "", NO_STREAM, &input),
			 statuses[_i].caller_status);
	ck_assert(has(statuses[_i].text));
	ck_assert_int_eq(second_engine->streams, statuses[_i].second_streams);
	RIG_WAIT(fake_agents.settles == 1);
}
END_TEST

START_TEST(a_call_that_reaches_no_engine_is_reported_as_not_run)
{
	gateway_rig_stop(&rig);
	gateway_rig_init(&rig);
	for (int i = 0; i < RIG_ENGINES; i++)
		snprintf(rig.servers[i].url, TGW_URL_SIZE,
			 "http://127.0.0.1:1");
	gateway_rig_start(&rig);
	ck_assert_int_ge(rig_chat(&rig, "", NO_STREAM, &input), 502);
	ck_assert(has("\"not_run\":true"));
	check_settled(TGW_SETTLE_NOT_RUN, 0);
}
END_TEST

START_TEST(an_engine_past_the_limit_is_cancelled_and_the_response_ends)
{
	engine->script.tokens = 50;
	engine->script.ignore_limit = true;
	rig_chat(&rig, "", ",\"stream\":true,\"max_tokens\":3", &input);
	ck_assert_int_eq(count("\"index\":2,"), 1);
	ck_assert_int_eq(count("\"index\":3,"), 0);
	ck_assert(has("\"finish_reason\":\"length\""));
	ck_assert(has("data: [DONE]"));
	check_settled(TGW_SETTLE_BOUND, 3 + RIG_FIXED_TOKENS + 20);
	RIG_WAIT(engine->cancels == 1);
}
END_TEST

/* Guards against a host that is filled: the events from the last one on wait
 * for the end mark, and an engine that sent such events without end was read
 * until the host had no memory left. */
START_TEST(an_engine_whose_last_events_do_not_end_is_left)
{
	engine->script.last_event_repeats = ENDLESS_REPEATS;
	ck_assert_int_eq(rig_chat(&rig, "", STREAM, &input), 200);
	check_complete_stream();
	ck_assert_int_eq(count("\"finish_reason\":\"stop\""), 1);
	ck_assert_int_lt(engine->bytes_sent, ENDLESS_READ_MAX_BYTES);
}
END_TEST

/* ---- callers that disconnect, stall, or retry ---- */

START_TEST(a_caller_that_disconnects_is_charged_the_reported_usage)
{
	int fd = rig_connect(&rig);

	engine->script.hang_at = 2;
	rig_send_chat(fd, "", STREAM);
	ck_assert(rig_read_until(fd, &input, "\"index\":1,"));
	close(fd);
	RIG_WAIT(engine->cancels == 1);
	check_settled(TGW_SETTLE_PARTIAL, 7);
	RIG_WAIT(rig.runtime.open_requests == 0);
}
END_TEST

START_TEST(a_caller_that_disconnects_while_queued_is_charged_nothing)
{
	int fd = rig_connect(&rig);

	fake_agents.routes_stay_queued = true;
	rig_send_chat(fd, "", STREAM);
	RIG_WAIT(fake_agents.submits == 1);
	close(fd);
	RIG_WAIT(fake_agents.route_cancels == 1);
	check_settled(TGW_SETTLE_NOT_RUN, 0);
}
END_TEST

START_TEST(a_slow_caller_pauses_the_engine)
{
	int64_t sent;
	int fd = rig_connect(&rig);
	int small = 128 * 1024;

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &small, sizeof(small));
	engine->script.tokens = SLOW_TOKENS;
	engine->script.pad_bytes = SLOW_PAD_BYTES;
	rig_send_chat(fd, "", ",\"stream\":true");
	ck_assert(rig_read_until(fd, &input, "\"index\":0,"));
	/* Wait until the engine cannot send any more. */
	do {
		sent = engine->bytes_sent;
		usleep(300000);
	} while (sent != engine->bytes_sent);
	ck_assert_int_lt(sent, SLOW_TOKENS * SLOW_PAD_BYTES);
	buffer_clear(&input);
	rig_read_all(fd, &input);
	ck_assert(has("\"index\":399,"));
	ck_assert(has("data: [DONE]"));
	close(fd);
}
END_TEST

START_TEST(a_caller_that_reads_nothing_is_disconnected)
{
	int fd;

	gateway_rig_stop(&rig);
	gateway_rig_init(&rig);
	rig.settings.caller_idle_ms = 300;
	gateway_rig_start(&rig);
	engine->script.tokens = 150;
	engine->script.pad_bytes = 64 * 1024;
	fd = rig_connect(&rig);
	rig_send_chat(fd, "", STREAM);
	RIG_WAIT(engine->cancels == 1);
	RIG_WAIT(rig.runtime.open_requests == 0);
	close(fd);
}
END_TEST

START_TEST(a_retry_joins_the_running_stream_from_its_start)
{
	int first = rig_connect(&rig);

	engine->script.delay_us = 100000;
	rig_send_chat(first, KEY_HEADER, STREAM);
	ck_assert(rig_read_until(first, &input, "\"index\":1,"));
	close(first);
	ck_assert_int_eq(rig_chat(&rig, KEY_HEADER, STREAM, &input), 200);
	check_complete_stream();
	ck_assert_int_eq(engine->streams, 1);
	check_settled(TGW_SETTLE_USAGE, 10);
	ck_assert_int_eq(engine->cancels, 0);
}
END_TEST

START_TEST(a_retry_of_a_finished_request_gets_the_same_bytes)
{
	struct buffer first = {0};

	rig_chat(&rig, KEY_HEADER, STREAM, &first);
	RIG_WAIT(fake_agents.settles == 1);
	rig_chat(&rig, KEY_HEADER, STREAM, &input);
	rig_dechunk(&first);
	rig_dechunk(&input);
	ck_assert_str_eq(first.data, input.data);
	ck_assert_int_eq(engine->streams, 1);
	ck_assert_int_eq(fake_agents.reserves, 1);
	ck_assert_int_eq(rig_chat(&rig, KEY_HEADER, NO_STREAM, &input), 422);
	ck_assert(has("key-reused"));
	buffer_free(&first);
}
END_TEST

START_TEST(a_request_with_a_key_is_cancelled_if_no_retry_joins)
{
	int fd = rig_connect(&rig);

	engine->script.hang_at = 2;
	rig_send_chat(fd, KEY_HEADER, STREAM);
	ck_assert(rig_read_until(fd, &input, "\"index\":1,"));
	close(fd);
	RIG_WAIT(engine->cancels == 1);
	check_settled(TGW_SETTLE_PARTIAL, 7);
}
END_TEST

START_TEST(a_stalled_stream_is_resumed)
{
	gateway_rig_stop(&rig);
	gateway_rig_init(&rig);
	rig.settings.stream_idle_ms = 200;
	gateway_rig_start(&rig);
	engine->script.hang_at = 2;
	rig_chat(&rig, "", STREAM, &input);
	check_complete_stream();
	ck_assert_int_eq(engine->last_from, 2);
}
END_TEST

/* It may be paused: only its other requests tell whether it crashed. */
START_TEST(a_silent_server_does_not_count_as_crashed)
{
	engine->script.break_at = 2;
	engine->script.status_hangs = true;
	rig_chat(&rig, "", STREAM, &input);
	ck_assert_int_eq(engine->status_queries, 1);
	check_complete_stream();
	ck_assert_int_eq(second_engine->last_from, 2);
	ck_assert_int_eq(fake_agents.crashes, 0);
	check_settled(TGW_SETTLE_USAGE, 10);
}
END_TEST

int main(void)
{
	int fault_count = (int)(sizeof(faults) / sizeof(faults[0]));
	Suite *suite = suite_create("gateway_streams");
	TCase *tcase = tcase_create("streams");

	tcase_set_timeout(tcase, 30);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_loop_test(tcase, a_faulty_stream_reaches_the_caller_complete,
			    0, fault_count);
	tcase_add_loop_test(
		tcase, a_response_collected_from_a_faulty_stream_is_complete, 0,
		fault_count);
	tcase_add_test(tcase,
		       a_stream_that_cannot_be_resumed_ends_with_an_error);
	tcase_add_test(
		tcase,
		an_unresumable_stream_of_a_crashed_engine_is_charged_its_bound);
	tcase_add_test(tcase, the_stream_of_a_crashed_engine_resumes_elsewhere);
	tcase_add_loop_test(
		tcase,
		a_second_engine_that_does_not_resume_a_stream_does_not_end_it,
		0, (int)(sizeof(bad_resumes) / sizeof(bad_resumes[0])));
	tcase_add_loop_test(
		tcase, a_second_engine_that_runs_a_request_anew_is_not_joined,
		0, 2);
	tcase_add_test(tcase,
		       a_stream_without_tokens_is_restarted_at_another_server);
	tcase_add_loop_test(tcase,
			    an_engine_error_is_retried_unless_it_is_final, 0,
			    (int)(sizeof(statuses) / sizeof(statuses[0])));
	tcase_add_test(tcase,
		       a_call_that_reaches_no_engine_is_reported_as_not_run);
	tcase_add_test(tcase, a_suspected_request_runs_on_the_required_server);
	tcase_add_test(
		tcase,
		an_engine_past_the_limit_is_cancelled_and_the_response_ends);
	tcase_add_test(tcase,
		       a_caller_that_disconnects_is_charged_the_reported_usage);
	tcase_add_test(
		tcase,
		a_caller_that_disconnects_while_queued_is_charged_nothing);
	tcase_add_test(tcase, an_engine_whose_last_events_do_not_end_is_left);
	tcase_add_test(tcase, a_slow_caller_pauses_the_engine);
	tcase_add_test(tcase, a_caller_that_reads_nothing_is_disconnected);
	tcase_add_test(tcase, a_retry_joins_the_running_stream_from_its_start);
	tcase_add_test(tcase,
		       a_retry_of_a_finished_request_gets_the_same_bytes);
	tcase_add_test(tcase,
		       a_request_with_a_key_is_cancelled_if_no_retry_joins);
	tcase_add_test(tcase, a_stalled_stream_is_resumed);
	tcase_add_test(tcase, a_silent_server_does_not_count_as_crashed);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
