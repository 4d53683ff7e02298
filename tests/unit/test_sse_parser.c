/* Tests the parser of server-sent events: fields, line ends, the size limit,
 * and input that is split at any byte. */
#include "protocol/sse_parser.h"

#include <string.h>

#include "unit/unit_main.h"

#define MAX_EVENT_BYTES 64

struct sse_case {
	const char *bytes;
	const char *events; /* each followed by '|' */
	enum sse_result result;
};

static const struct sse_case cases[] = {
	{"data: a\n\ndata: b\n\n", "a|b|", SSE_OK},
	{"data:a\r\n\r\ndata: b\r\rdata: c\n\n", "a|b|c|", SSE_OK},
	{"data: a\ndata: b\n\n", "a\nb|", SSE_OK},
	{": note\nevent: x\nid: 1\ndata: a\n\n", "a|", SSE_OK},
	{"data:  a\n\n", " a|", SSE_OK},
	{"data\n\n", "|", SSE_OK},
	{"\n\n\r\n", "", SSE_OK},
	{"data: cut off", "", SSE_OK},
	{"data: cut off\n", "", SSE_OK},
	{"database: a\n\n", "", SSE_OK},
	{"data: stop\n\ndata: never\n\n", "stop|", SSE_STOPPED},
	{"data: 0123456789012345678901234567890123456789"
	 "0123456789012345678901234567890\n\n",
	 "", SSE_TOO_LARGE},
	{"data: 01234567890123456789012345678\n"
	 "data: 01234567890123456789012345678\n"
	 "data: 01234567890123456789012345678\n\n",
	 "", SSE_TOO_LARGE},
};

static struct buffer parsed;

static bool on_event(void *arg, const char *data, size_t size)
{
	ck_assert_uint_eq(strlen(data), size);
	buffer_add(&parsed, data, size);
	buffer_add_text(&parsed, "|");
	return strcmp(data, "stop") != 0;
}

static enum sse_result feed(struct sse_parser *parser, const char *bytes,
			    size_t step)
{
	struct sse_handler handler = {.event = on_event};
	enum sse_result result = SSE_OK;
	size_t size = strlen(bytes);

	buffer_clear(&parsed);
	buffer_add_text(&parsed, "");
	for (size_t at = 0; at < size && result == SSE_OK; at += step) {
		size_t left = size - at;

		result = sse_parser_feed(parser, bytes + at,
					 left < step ? left : step, handler);
	}
	return result;
}

START_TEST(events_are_parsed_however_the_bytes_are_split)
{
	const struct sse_case *c = &cases[_i];

	for (size_t step = 1; step <= strlen(c->bytes); step++) {
		struct sse_parser parser;

		sse_parser_init(&parser, MAX_EVENT_BYTES);
		ck_assert_int_eq(feed(&parser, c->bytes, step), c->result);
		ck_assert_str_eq(parsed.data, c->events);
		sse_parser_free(&parser);
	}
	buffer_free(&parsed);
}
END_TEST

START_TEST(a_reset_discards_an_incomplete_event)
{
	struct sse_parser parser;

	sse_parser_init(&parser, MAX_EVENT_BYTES);
	feed(&parser, "data: old\ndata: ol", 1);
	sse_parser_reset(&parser);
	feed(&parser, "data: new\n\n", 1);
	ck_assert_str_eq(parsed.data, "new|");
	sse_parser_free(&parser);
	buffer_free(&parsed);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("sse_parser");
	TCase *tcase = tcase_create("events");

	tcase_add_loop_test(tcase,
			    events_are_parsed_however_the_bytes_are_split, 0,
			    (int)(sizeof(cases) / sizeof(cases[0])));
	tcase_add_test(tcase, a_reset_discards_an_incomplete_event);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
