/* Tests the documents of the chat interface: callers' requests and their
 * rewrite for the engine, the engine's events, problem documents, and the load
 * and cache reports of servers. */
#include "protocol/chat_request.h"

#include <string.h>
#include <xxhash.h>

#include "protocol/chat_event.h"
#include "protocol/problem.h"
#include "protocol/server_report.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define MESSAGES "\"messages\":[{\"role\":\"user\",\"content\":\"hi\"}]"
#define OK_BODY "{\"model\":\"m\"," MESSAGES

/* Bodies that are refused, and a word that the error message must contain. */
static const char *const refused[][2] = {
	{"", "JSON"},
	{"[]", "object"},
	{"{", "JSON"},
	{"{\"model\":\"m\",\"model\":\"n\"," MESSAGES "}", "JSON"},
	{"{" MESSAGES "}", "\"model\""},
	{"{\"model\":\"\"," MESSAGES "}", "\"model\""},
	{"{\"model\":7," MESSAGES "}", "\"model\""},
	{"{\"model\":\"m\"}", "\"messages\""},
	{"{\"model\":\"m\",\"messages\":[]}", "\"messages\""},
	{"{\"model\":\"m\",\"messages\":[{}]}", "\"role\""},
	{"{\"model\":\"m\",\"messages\":[7]}", "\"role\""},
	{OK_BODY ",\"max_tokens\":0}", "\"max_tokens\""},
	{OK_BODY ",\"max_tokens\":-1}", "\"max_tokens\""},
	{OK_BODY ",\"max_tokens\":1.5}", "\"max_tokens\""},
	{OK_BODY ",\"max_tokens\":9223372036854775807}", "\"max_tokens\""},
	{OK_BODY ",\"max_completion_tokens\":\"9\"}", "\"max_completion"},
	{OK_BODY ",\"n\":2}", "\"n\""},
	{OK_BODY ",\"stream\":\"yes\"}", "\"stream\""},
	{OK_BODY ",\"tools\":[]}", "\"tools\""},
	{OK_BODY ",\"x\":\"\xff\"}", "JSON"},
};

START_TEST(the_error_for_a_refused_body_names_the_cause)
{
	struct tgw_error error = {0};
	struct chat_request request;
	const char *body = refused[_i][0];

	ck_assert_int_eq(chat_request_parse(&request, body, strlen(body),
					    &error),
			 TGW_INVALID);
	ck_assert_msg(strstr(error.message, refused[_i][1]), "%s: %s", body,
		      error.message);
}
END_TEST

static void parse(struct chat_request *request, const char *body)
{
	struct tgw_error error = {0};

	ck_assert_msg(chat_request_parse(request, body, strlen(body), &error) ==
			      TGW_OK,
		      "%s", error.message);
}

START_TEST(the_prompt_bound_counts_the_text_of_messages_and_tools)
{
	struct chat_request request;

	parse(&request, "{\"model\":\"m\",\"messages\":[{\"role\":\"user\","
			"\"content\":\"\\u017e\\u017e\"}]}");
	ck_assert_int_eq(request.prompt_bytes, 4 + 4 + 7 + 4);
	chat_request_clear(&request);
	parse(&request, "{\"model\":\"m\",\"stream\":true,\"tools\":[\"12345\"]"
			",\"messages\":[{\"role\":\"user\",\"content\":[{"
			"\"type\":\"text\",\"text\":\"abc\"}]}]}");
	ck_assert_int_eq(request.prompt_bytes,
			 4 + 4 + 7 +
				 (int)strlen("[{\"type\":\"text\","
					     "\"text\":\"abc\"}]") +
				 (int)strlen("[\"12345\"]"));
	chat_request_clear(&request);
}
END_TEST

START_TEST(the_engine_receives_the_limit_and_always_streams)
{
	struct chat_request request;
	char *plain;
	char *body;

	parse(&request, OK_BODY ",\"max_completion_tokens\":9,\"seed\":1,"
				"\"priority\":0}");
	ck_assert(!request.stream);
	ck_assert_int_eq(request.max_tokens, 9);
	plain = chat_request_for_engine(&request, 9);
	ck_assert(!strstr(plain, "priority"));
	body = chat_request_with_priority(plain, 2);
	ck_assert(strstr(body, "\"max_tokens\":9"));
	ck_assert(strstr(body, "\"priority\":2"));
	ck_assert(strstr(body, "\"stream\":true"));
	ck_assert(strstr(body, "\"include_usage\":true"));
	ck_assert(strstr(body, "\"seed\":1"));
	ck_assert(!strstr(body, "max_completion_tokens"));
	free(plain);
	free(body);
	chat_request_clear(&request);
}
END_TEST

START_TEST(prefix_hashes_cover_full_blocks_and_are_chained)
{
	struct chat_request request;
	struct buffer body = {0};
	char text[2 * CHAT_PREFIX_BLOCK_BYTES + 8];
	uint64_t first;

	/* The hashed text: the role, a line end, and the content. */
	memset(text, 'a', sizeof(text));
	text[0] = 'u';
	text[1] = 's';
	text[2] = 'e';
	text[3] = 'r';
	text[4] = '\n';
	buffer_add_text(&body, "{\"model\":\"m\",\"messages\":[{\"role\":"
			       "\"user\",\"content\":\"");
	buffer_add(&body, text + 5, sizeof(text) - 5);
	buffer_add_text(&body, "\"}]}");
	parse(&request, body.data);
	ck_assert_uint_eq(request.prefix_count, 2);
	first = XXH64(text, CHAT_PREFIX_BLOCK_BYTES, 0);
	ck_assert_uint_eq(request.prefix_hashes[0], first);
	ck_assert_uint_eq(request.prefix_hashes[1],
			  XXH64(text + CHAT_PREFIX_BLOCK_BYTES,
				CHAT_PREFIX_BLOCK_BYTES, first));
	chat_request_clear(&request);
	buffer_free(&body);
}
END_TEST

START_TEST(malformed_events_are_rejected)
{
	static const char *const bad[] = {"", "7", "[]", "{", "\"x\""};
	static const char good[] = "{\"id\":\"a\",\"attempt\":2,\"index\":1,"
				   "\"choices\":[{\"delta\":{\"content\":"
				   "\"x\"}}]}";
	struct chat_event event;

	for (size_t i = 0; i < sizeof(bad) / sizeof(bad[0]); i++)
		ck_assert(!chat_event_parse(&event, bad[i], strlen(bad[i])));
	ck_assert(chat_event_parse(&event, good, strlen(good)));
	ck_assert_str_eq(event.stream.id, "a");
	ck_assert_int_eq(event.stream.index, 1);
	ck_assert_int_eq(event.stream.completion_tokens, STREAM_NO_USAGE);
	ck_assert(!event.stream.is_final);
	ck_assert_uint_eq(event.content_size, 1);
	ck_assert_int_eq(event.content[0], 'x');
	chat_event_clear(&event);
}
END_TEST

START_TEST(a_problem_states_whether_the_request_ran)
{
	static const char *const not_run_fields[] = {"\"not_run\":true",
						     "\"not_run\":false",
						     "\"not_run\":\"unknown\""};
	struct buffer text = {0};

	for (int i = 0; i < 3; i++) {
		struct problem problem = {.kind = PROBLEM_BUDGET_EXHAUSTED,
					  .not_run = (enum problem_not_run)i,
					  .detail = "bad \xff byte",
					  .request_id = "r1"};

		buffer_clear(&text);
		problem_write(&problem, &text);
		ck_assert(strstr(text.data, not_run_fields[i]));
		ck_assert(strstr(text.data, "urn:tamarackgw:budget-exhausted"));
		ck_assert(strstr(text.data, "\"status\":402"));
		ck_assert(strstr(text.data, "\"request_id\":\"r1\""));
		ck_assert(strstr(text.data, "\"remedy\":\""));
	}
	buffer_free(&text);
}
END_TEST

START_TEST(each_kind_of_problem_has_a_name_and_a_status)
{
	for (int k = 0; k < PROBLEM_KIND_COUNT; k++) {
		ck_assert_ptr_nonnull(problem_name((enum problem_kind)k));
		ck_assert_int_ge(problem_status((enum problem_kind)k), 400);
	}
}
END_TEST

START_TEST(a_retry_time_is_rounded_up)
{
	struct problem problem = {.retry_after_us = 1};

	ck_assert_int_eq(problem_retry_after_s(&problem), 1);
	problem.retry_after_us = 2 * TGW_US_PER_S;
	ck_assert_int_eq(problem_retry_after_s(&problem), 2);
	problem.retry_after_us = 0;
	ck_assert_int_eq(problem_retry_after_s(&problem), 0);
}
END_TEST

static void count_event(void *arg, const struct tgw_cache_event *event)
{
	int *hashes = arg;

	*hashes += (int)event->hash_count + (event->cleared ? 100 : 0);
}

START_TEST(server_reports_are_parsed_or_rejected)
{
	static const char events[] =
		"{\"events\":[{\"sequence\":7,\"kind\":\"stored\",\"hashes\":["
		"\"00000000000000ff\",\"xyz\"]},{\"kind\":\"stored\"},"
		"{\"sequence\":8,\"kind\":\"cleared\"},{\"sequence\":9,"
		"\"kind\":\"other\"}],\"next\":10}";
	struct tgw_load_report report;
	uint64_t next = 0;
	int hashes = 0;

	ck_assert(server_report_parse_load(&report, "{\"running\":3}", 13, 1));
	ck_assert_int_eq(report.running, 3);
	ck_assert(!server_report_parse_load(&report, "{}", 2, 1));
	ck_assert(server_report_parse_cache_events(
		events, strlen(events), count_event, &hashes, &next));
	ck_assert_uint_eq(next, 10);
	ck_assert_int_eq(hashes, 101);
	ck_assert(!server_report_parse_cache_events("{}", 2, count_event,
						    &hashes, &next));
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("chat_request");
	TCase *tcase = tcase_create("documents");

	tcase_add_loop_test(tcase, the_error_for_a_refused_body_names_the_cause,
			    0, (int)(sizeof(refused) / sizeof(refused[0])));
	tcase_add_test(tcase,
		       the_prompt_bound_counts_the_text_of_messages_and_tools);
	tcase_add_test(tcase, the_engine_receives_the_limit_and_always_streams);
	tcase_add_test(tcase, prefix_hashes_cover_full_blocks_and_are_chained);
	tcase_add_test(tcase, malformed_events_are_rejected);
	tcase_add_test(tcase, a_problem_states_whether_the_request_ran);
	tcase_add_test(tcase, each_kind_of_problem_has_a_name_and_a_status);
	tcase_add_test(tcase, a_retry_time_is_rounded_up);
	tcase_add_test(tcase, server_reports_are_parsed_or_rejected);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
