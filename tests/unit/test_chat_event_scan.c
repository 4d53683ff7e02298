/* Tests that the fast path for plain token events yields the same fields as the
 * full JSON parser, and leaves all other events to that parser. */
#include <jansson.h>
#include <string.h>

#include "protocol/chat_event_scan.h"
#include "unit/unit_main.h"

static const char plain[] =
	"{\"id\":\"r1\",\"object\":\"chat.completion.chunk\",\"created\":17,"
	"\"model\":\"m\",\"attempt\":2,\"index\":41,\"choices\":[{\"index\":0,"
	"\"delta\":{\"content\":\"word \"},\"finish_reason\":null}]}";

#define MAX_EVENT_BYTES 512

START_TEST(a_plain_event_is_read)
{
	struct chat_event event;

	ck_assert(chat_event_scan(&event, plain, strlen(plain)));
	ck_assert_str_eq(event.stream.id, "r1");
	ck_assert_int_eq(event.stream.attempt, 2);
	ck_assert_int_eq(event.stream.index, 41);
	ck_assert_uint_eq(event.content_size, 5);
	ck_assert(!memcmp(event.content, "word ", 5));
	ck_assert(!event.stream.is_final);
	ck_assert(!event.usage.known);
}
END_TEST

static const char *const not_plain[] = {
	"{\"id\":\"r\",\"attempt\":1,\"index\":1,\"choices\":[]}",
	"{\"id\":\"r\",\"attempt\":1,\"index\":1,\"choices\":[{\"delta\":{"
	"\"content\":\"\\n\"}}]}",
	"{\"id\":\"r\",\"attempt\":1,\"index\":1,\"choices\":[{\"delta\":{"
	"\"content\":\"\xc4\x8d\"}}]}",
	"{\"id\":\"r\",\"attempt\":1,\"index\":1,\"choices\":[{\"delta\":{"
	"\"content\":\"a\"},\"finish_reason\":\"stop\"}]}",
	"{\"id\":\"r\",\"attempt\":1,\"index\":1,\"usage\":{},\"choices\":[{"
	"\"delta\":{\"content\":\"a\"}}]}",
	"{\"id\":\"r\",\"attempt\":1.5,\"index\":1,\"choices\":[{\"delta\":{"
	"\"content\":\"a\"}}]}",
	"{\"id\":\"r\",\"attempt\":1,\"choices\":[{\"delta\":{\"content\":"
	"\"a\"}}]}",
	"[1]",
	"",
};

START_TEST(other_events_are_left_to_the_full_parser)
{
	struct chat_event event;
	const char *text = not_plain[_i];

	ck_assert_msg(!chat_event_scan(&event, text, strlen(text)), "%s", text);
}
END_TEST

static void check_against_full_parser(const char *text, size_t size)
{
	char copy[MAX_EVENT_BYTES];
	struct chat_event event;
	json_t *root;
	json_t *delta;

	memcpy(copy, text, size);
	copy[size] = '\0';
	if (!chat_event_scan(&event, copy, size))
		return;
	root = json_loadb(text, size, 0, NULL);
	ck_assert_msg(root != NULL, "accepted, but not JSON: %.*s", (int)size,
		      text);
	delta = json_object_get(
		json_array_get(json_object_get(root, "choices"), 0), "delta");
	ck_assert_str_eq(json_string_value(json_object_get(root, "id")),
			 event.stream.id);
	ck_assert_int_eq(json_integer_value(json_object_get(root, "attempt")),
			 event.stream.attempt);
	ck_assert_int_eq(json_integer_value(json_object_get(root, "index")),
			 event.stream.index);
	ck_assert_uint_eq(json_string_length(json_object_get(delta, "content")),
			  event.content_size);
	json_decref(root);
}

/* At each offset, replaces the byte by each of some others, inserts each of
 * them, removes the byte, and truncates the text. The fast path has to leave
 * the result to the full parser, or to read the same fields as that parser. */
START_TEST(damaged_events_are_not_misread)
{
	static const char others[] = "\"\\{}[]:,0-.enx \t\n";
	char text[MAX_EVENT_BYTES];
	size_t size = strlen(plain);

	for (size_t at = 0; at < size; at++) {
		for (size_t i = 0; i < strlen(others); i++) {
			memcpy(text, plain, sizeof(plain));
			text[at] = others[i];
			check_against_full_parser(text, size);
			memcpy(text, plain, at);
			text[at] = others[i];
			memcpy(text + at + 1, plain + at, size - at);
			check_against_full_parser(text, size + 1);
		}
		memcpy(text, plain, at);
		memcpy(text + at, plain + at + 1, size - at - 1);
		check_against_full_parser(text, size - 1);
		check_against_full_parser(plain, at);
	}
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("chat_event_scan");
	TCase *tcase = tcase_create("scan");

	tcase_add_test(tcase, a_plain_event_is_read);
	tcase_add_loop_test(tcase, other_events_are_left_to_the_full_parser, 0,
			    sizeof(not_plain) / sizeof(not_plain[0]));
	tcase_add_test(tcase, damaged_events_are_not_misread);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
