#define JSMN_STATIC
#define JSMN_STRICT
#define JSMN_PARENT_LINKS
#include "protocol/chat_event_scan.h"

#include <inttypes.h>
#include <jsmn.h>
#include <stdlib.h>
#include <string.h>

#define TOKENS_MAX 48
#define NUMBER_SIZE 19

/* Positions in an event's text. */
struct scan {
	const char *data;
	int count;
	jsmntok_t tokens[TOKENS_MAX];
};

static bool equals(const struct scan *scan, int at, const char *text)
{
	const jsmntok_t *token = &scan->tokens[at];
	size_t size = (size_t)(token->end - token->start);

	return size == strlen(text) &&
	       !memcmp(scan->data + token->start, text, size);
}

/* The first token behind one and all that it contains. */
static int behind(const struct scan *scan, int at)
{
	int end = scan->tokens[at].end;

	while (at < scan->count && scan->tokens[at].start < end)
		at++;
	return at;
}

/* @return the value of a member, -1 when there is none */
static int member(const struct scan *scan, int object, const char *name)
{
	int at = object + 1;

	if (object < 0 || scan->tokens[object].type != JSMN_OBJECT)
		return -1;
	for (int i = 0; i < scan->tokens[object].size; i++) {
		if (scan->tokens[at].type != JSMN_STRING ||
		    scan->tokens[at].size != 1)
			return -1;
		if (equals(scan, at, name))
			return at + 1;
		at = behind(scan, at + 1);
	}
	return -1;
}

static bool is_null_or_absent(const struct scan *scan, int at)
{
	return at < 0 || equals(scan, at, "null");
}

static bool read_number(const struct scan *scan, int at, int64_t *number)
{
	char text[NUMBER_SIZE];
	const jsmntok_t *token = &scan->tokens[at];
	size_t size = (size_t)(token->end - token->start);
	char *end;

	if (token->type != JSMN_PRIMITIVE || size >= sizeof(text))
		return false;
	memcpy(text, scan->data + token->start, size);
	text[size] = '\0';
	*number = strtoll(text, &end, 10);
	return !*end;
}

/* Whether a string stands in the text as it is meant. */
static bool is_plain_text(const struct scan *scan, int at)
{
	const jsmntok_t *token = &scan->tokens[at];

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
	int choices = member(scan, 0, "choices");
	int choice = choices + 1;
	int content;

	if (choices < 0 || scan->tokens[choices].type != JSMN_ARRAY ||
	    scan->tokens[choices].size != 1 ||
	    !is_null_or_absent(scan, member(scan, choice, "finish_reason")))
		return false;
	content = member(scan, member(scan, choice, "delta"), "content");
	if (content < 0 || !is_plain_text(scan, content))
		return false;
	event->has_choices = true;
	event->content = scan->data + scan->tokens[content].start;
	event->content_size = (size_t)(scan->tokens[content].end -
				       scan->tokens[content].start);
	return true;
}

static bool read_id(struct chat_event *event, const struct scan *scan)
{
	int id = member(scan, 0, "id");
	size_t size;

	if (id < 0 || !is_plain_text(scan, id))
		return false;
	size = (size_t)(scan->tokens[id].end - scan->tokens[id].start);
	if (size >= sizeof(event->id))
		return false;
	memcpy(event->id, scan->data + scan->tokens[id].start, size);
	event->id[size] = '\0';
	event->stream.id = event->id;
	return true;
}

/* The library finds tokens but passes over what stands between them: this
 * follows the text from token to token. */
struct reader {
	const struct scan *scan;
	int token;
	int at;
};

static bool take_char(struct reader *reader, char wanted)
{
	if (reader->scan->data[reader->at] != wanted)
		return false;
	reader->at++;
	return true;
}

static bool take_text(struct reader *reader)
{
	const jsmntok_t *token = &reader->scan->tokens[reader->token];

	if (!is_plain_text(reader->scan, reader->token) ||
	    token->start != reader->at + 1)
		return false;
	reader->token++;
	reader->at = token->end;
	return take_char(reader, '"');
}

static bool is_plain_primitive(const struct scan *scan, int at)
{
	const char *text = scan->data + scan->tokens[at].start;
	int64_t number;

	if (equals(scan, at, "null") || equals(scan, at, "true") ||
	    equals(scan, at, "false"))
		return true;
	return *text >= '0' && *text <= '9' &&
	       (*text != '0' || equals(scan, at, "0")) &&
	       read_number(scan, at, &number);
}

static bool take_primitive(struct reader *reader)
{
	const jsmntok_t *token = &reader->scan->tokens[reader->token];

	if (token->start != reader->at ||
	    !is_plain_primitive(reader->scan, reader->token))
		return false;
	reader->at = token->end;
	reader->token++;
	return true;
}

static bool take_value(struct reader *reader);

static bool take_members(struct reader *reader)
{
	bool is_object = reader->scan->tokens[reader->token].type ==
			 JSMN_OBJECT;
	int size = reader->scan->tokens[reader->token].size;

	reader->token++;
	if (!take_char(reader, is_object ? '{' : '['))
		return false;
	for (int i = 0; i < size; i++) {
		if (i && !take_char(reader, ','))
			return false;
		if (is_object &&
		    (!take_text(reader) || !take_char(reader, ':')))
			return false;
		if (!take_value(reader))
			return false;
	}
	return take_char(reader, is_object ? '}' : ']');
}

static bool take_value(struct reader *reader)
{
	if (reader->token == reader->scan->count)
		return false;
	switch (reader->scan->tokens[reader->token].type) {
	case JSMN_STRING:
		return take_text(reader);
	case JSMN_PRIMITIVE:
		return take_primitive(reader);
	case JSMN_OBJECT:
	case JSMN_ARRAY:
		return take_members(reader);
	default:
		return false;
	}
}

static bool is_sound(const struct scan *scan, size_t size)
{
	struct reader reader = {.scan = scan};

	return take_value(&reader) && (size_t)reader.at == size &&
	       reader.token == scan->count;
}

bool chat_event_scan(struct chat_event *event, const char *data, size_t size)
{
	struct scan scan = {.data = data};
	jsmn_parser parser;
	int attempt;
	int index;

	memset(event, 0, sizeof(*event));
	jsmn_init(&parser);
	scan.count = jsmn_parse(&parser, data, size, scan.tokens, TOKENS_MAX);
	/* The reader looks one byte past a token. */
	if (data[size] != '\0' || scan.count < 1 ||
	    scan.tokens[0].type != JSMN_OBJECT || !is_sound(&scan, size) ||
	    !is_null_or_absent(&scan, member(&scan, 0, "usage")))
		return false;
	attempt = member(&scan, 0, "attempt");
	index = member(&scan, 0, "index");
	if (attempt < 0 || index < 0 ||
	    !read_number(&scan, attempt, &event->stream.attempt) ||
	    !read_number(&scan, index, &event->stream.index) ||
	    !read_id(event, &scan) || !read_choice(event, &scan))
		return false;
	event->stream.completion_tokens = STREAM_NO_USAGE;
	return true;
}
