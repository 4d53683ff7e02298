#define JSMN_STATIC
#define JSMN_STRICT
#define JSMN_PARENT_LINKS
#include "protocol/chat_event_scan.h"

#include <inttypes.h>
#include <jsmn.h>
#include <stdlib.h>
#include <string.h>

#define JSON_TOKENS_MAX 48
/* 18 digits and the terminator: such a number always fits an int64_t. */
#define NUMBER_SIZE 19

/* The JSON tokens of an event's text. */
struct scan {
	const char *data;
	int count;
	jsmntok_t tokens[JSON_TOKENS_MAX];
};

static bool token_equals(const struct scan *scan, int index, const char *text)
{
	const jsmntok_t *token = &scan->tokens[index];
	size_t size = (size_t)(token->end - token->start);

	return size == strlen(text) &&
	       !memcmp(scan->data + token->start, text, size);
}

/* @return the index of the first token after the value */
static int skip_value(const struct scan *scan, int index)
{
	int end = scan->tokens[index].end;

	while (index < scan->count && scan->tokens[index].start < end)
		index++;
	return index;
}

/* @return the index of the member's value, -1 when there is none */
static int find_member(const struct scan *scan, int object, const char *name)
{
	int index = object + 1;

	if (object < 0 || scan->tokens[object].type != JSMN_OBJECT)
		return -1;
	for (int i = 0; i < scan->tokens[object].size; i++) {
		if (scan->tokens[index].type != JSMN_STRING ||
		    scan->tokens[index].size != 1)
			return -1;
		if (token_equals(scan, index, name))
			return index + 1;
		index = skip_value(scan, index + 1);
	}
	return -1;
}

static bool is_null_or_absent(const struct scan *scan, int index)
{
	return index < 0 || token_equals(scan, index, "null");
}

static bool read_number(const struct scan *scan, int index, int64_t *number)
{
	char text[NUMBER_SIZE];
	const jsmntok_t *token = &scan->tokens[index];
	size_t size = (size_t)(token->end - token->start);
	char *end;

	if (token->type != JSMN_PRIMITIVE || size >= sizeof(text))
		return false;
	memcpy(text, scan->data + token->start, size);
	text[size] = '\0';
	*number = strtoll(text, &end, 10);
	return !*end;
}

/* @return whether the token is a string of printable ASCII without escapes, so
 * that its bytes in the text are its value */
static bool is_plain_string(const struct scan *scan, int index)
{
	const jsmntok_t *token = &scan->tokens[index];

	if (token->type != JSMN_STRING)
		return false;
	for (int i = token->start; i < token->end; i++)
		if (scan->data[i] == '\\' ||
		    (unsigned char)scan->data[i] < ' ' ||
		    (unsigned char)scan->data[i] > '~')
			return false;
	return true;
}

static bool read_choice(struct chat_event *event, const struct scan *scan)
{
	int choices = find_member(scan, 0, "choices");
	int choice = choices + 1;
	int content;

	if (choices < 0 || scan->tokens[choices].type != JSMN_ARRAY ||
	    scan->tokens[choices].size != 1 ||
	    !is_null_or_absent(scan,
			       find_member(scan, choice, "finish_reason")))
		return false;
	content = find_member(scan, find_member(scan, choice, "delta"),
			      "content");
	if (content < 0 || !is_plain_string(scan, content))
		return false;
	event->has_choices = true;
	event->content = scan->data + scan->tokens[content].start;
	event->content_size = (size_t)(scan->tokens[content].end -
				       scan->tokens[content].start);
	return true;
}

static bool read_id(struct chat_event *event, const struct scan *scan)
{
	int id = find_member(scan, 0, "id");
	size_t size;

	if (id < 0 || !is_plain_string(scan, id))
		return false;
	size = (size_t)(scan->tokens[id].end - scan->tokens[id].start);
	if (size >= sizeof(event->id))
		return false;
	memcpy(event->id, scan->data + scan->tokens[id].start, size);
	event->id[size] = '\0';
	event->stream.id = event->id;
	return true;
}

/* jsmn finds the tokens but does not check the bytes between them. The checker
 * walks the text from token to token, and accepts only valid JSON without white
 * space between the tokens. */
struct checker {
	const struct scan *scan;
	int token;
	int offset;
};

static bool match_char(struct checker *checker, char expected)
{
	if (checker->scan->data[checker->offset] != expected)
		return false;
	checker->offset++;
	return true;
}

static bool match_string(struct checker *checker)
{
	const jsmntok_t *token = &checker->scan->tokens[checker->token];

	if (!is_plain_string(checker->scan, checker->token) ||
	    token->start != checker->offset + 1)
		return false;
	checker->token++;
	checker->offset = token->end;
	return match_char(checker, '"');
}

static bool is_plain_primitive(const struct scan *scan, int index)
{
	const char *text = scan->data + scan->tokens[index].start;
	int64_t number;

	if (token_equals(scan, index, "null") ||
	    token_equals(scan, index, "true") ||
	    token_equals(scan, index, "false"))
		return true;
	return *text >= '0' && *text <= '9' &&
	       (*text != '0' || token_equals(scan, index, "0")) &&
	       read_number(scan, index, &number);
}

static bool match_primitive(struct checker *checker)
{
	const jsmntok_t *token = &checker->scan->tokens[checker->token];

	if (token->start != checker->offset ||
	    !is_plain_primitive(checker->scan, checker->token))
		return false;
	checker->offset = token->end;
	checker->token++;
	return true;
}

static bool match_value(struct checker *checker);

static bool match_members(struct checker *checker)
{
	bool is_object = checker->scan->tokens[checker->token].type ==
			 JSMN_OBJECT;
	int size = checker->scan->tokens[checker->token].size;

	checker->token++;
	if (!match_char(checker, is_object ? '{' : '['))
		return false;
	for (int i = 0; i < size; i++) {
		if (i && !match_char(checker, ','))
			return false;
		if (is_object &&
		    (!match_string(checker) || !match_char(checker, ':')))
			return false;
		if (!match_value(checker))
			return false;
	}
	return match_char(checker, is_object ? '}' : ']');
}

static bool match_value(struct checker *checker)
{
	if (checker->token == checker->scan->count)
		return false;
	switch (checker->scan->tokens[checker->token].type) {
	case JSMN_STRING:
		return match_string(checker);
	case JSMN_PRIMITIVE:
		return match_primitive(checker);
	case JSMN_OBJECT:
	case JSMN_ARRAY:
		return match_members(checker);
	default:
		return false;
	}
}

static bool is_compact_json(const struct scan *scan, size_t size)
{
	struct checker checker = {.scan = scan};

	return match_value(&checker) && (size_t)checker.offset == size &&
	       checker.token == scan->count;
}

bool chat_event_scan(struct chat_event *event, const char *data, size_t size)
{
	struct scan scan = {.data = data};
	jsmn_parser parser;
	int attempt;
	int index;

	memset(event, 0, sizeof(*event));
	jsmn_init(&parser);
	scan.count =
		jsmn_parse(&parser, data, size, scan.tokens, JSON_TOKENS_MAX);
	/* The checker reads one byte past the end of a token. */
	if (data[size] != '\0' || scan.count < 1 ||
	    scan.tokens[0].type != JSMN_OBJECT ||
	    !is_compact_json(&scan, size) ||
	    !is_null_or_absent(&scan, find_member(&scan, 0, "usage")))
		return false;
	attempt = find_member(&scan, 0, "attempt");
	index = find_member(&scan, 0, "index");
	if (attempt < 0 || index < 0 ||
	    !read_number(&scan, attempt, &event->stream.attempt) ||
	    !read_number(&scan, index, &event->stream.index) ||
	    !read_id(event, &scan) || !read_choice(event, &scan))
		return false;
	event->stream.completion_tokens = STREAM_NO_USAGE;
	return true;
}
