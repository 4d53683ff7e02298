#include "protocol/chat_event.h"

#include <jansson.h>
#include <stdlib.h>
#include <string.h>

#include "protocol/chat_event_scan.h"

static int64_t integer_or(const json_t *value, int64_t default_value)
{
	return json_is_integer(value) ? json_integer_value(value)
				      : default_value;
}

static void read_usage(struct chat_usage *usage, const json_t *value)
{
	const json_t *prompt = json_object_get(value, "prompt_tokens");
	const json_t *completion = json_object_get(value, "completion_tokens");

	memset(usage, 0, sizeof(*usage));
	if (!json_is_integer(prompt) || !json_is_integer(completion))
		return;
	usage->prompt_tokens = json_integer_value(prompt);
	usage->completion_tokens = json_integer_value(completion);
	usage->known = usage->prompt_tokens >= 0 &&
		       usage->completion_tokens >= 0;
}

static void read_choice(struct chat_event *event, const json_t *choices)
{
	const json_t *choice = json_array_get(choices, 0);
	const json_t *delta = json_object_get(choice, "delta");
	const json_t *content = json_object_get(delta, "content");
	const json_t *finish = json_object_get(choice, "finish_reason");

	event->has_choices = choice != NULL;
	if (json_is_string(content)) {
		event->content = json_string_value(content);
		event->content_size = json_string_length(content);
	}
	if (json_is_string(finish))
		event->finish_reason = json_string_value(finish);
}

static bool parse_document(struct chat_event *event, const char *data,
			   size_t size)
{
	json_t *document = json_loadb(data, size, 0, NULL);
	const json_t *usage;

	memset(event, 0, sizeof(*event));
	if (!json_is_object(document)) {
		json_decref(document);
		return false;
	}
	event->document = document;
	usage = json_object_get(document, "usage");
	read_usage(&event->usage, usage);
	read_choice(event, json_object_get(document, "choices"));
	event->stream.id = json_string_value(json_object_get(document, "id"));
	event->stream.attempt =
		integer_or(json_object_get(document, "attempt"), -1);
	event->stream.index =
		integer_or(json_object_get(document, "index"), STREAM_NO_INDEX);
	event->stream.is_final = event->finish_reason || event->usage.known;
	event->stream.completion_tokens =
		event->usage.known ? event->usage.completion_tokens
				   : STREAM_NO_USAGE;
	return true;
}

bool chat_event_parse(struct chat_event *event, const char *data, size_t size)
{
	return chat_event_scan(event, data, size) ||
	       parse_document(event, data, size);
}

void chat_event_clear(struct chat_event *event)
{
	json_decref(event->document);
	event->document = NULL;
}

bool chat_usage_parse(struct chat_usage *usage, const char *body, size_t size)
{
	json_t *document = json_loadb(body ? body : "", size, 0, NULL);

	read_usage(usage, json_object_get(document, "usage"));
	json_decref(document);
	return usage->known;
}

static json_t *usage_json(const struct chat_usage *usage)
{
	json_int_t prompt = usage->prompt_tokens;
	json_int_t completion = usage->completion_tokens;
	json_int_t total = prompt + completion;

	if (!usage->known)
		return json_null();
	return json_pack("{s:I,s:I,s:I}", "prompt_tokens", prompt,
			 "completion_tokens", completion, "total_tokens",
			 total);
}

static json_t *answer_json(const struct chat_answer *answer, const char *object,
			   json_t *choice)
{
	return json_pack("{s:s,s:s,s:I,s:s,s:[o],s:o}", "id", answer->id,
			 "object", object, "created",
			 (json_int_t)answer->created_s, "model", answer->model,
			 "choices", choice, "usage",
			 usage_json(&answer->usage));
}

static void add_json(json_t *document, struct buffer *text)
{
	char *dump = json_dumps(document, JSON_COMPACT);

	if (!dump)
		abort();
	buffer_add_text(text, dump);
	free(dump);
	json_decref(document);
}

void chat_answer_write(const struct chat_answer *answer, struct buffer *text)
{
	json_t *content = json_stringn_nocheck(
		answer->content ? answer->content : "", answer->content_size);
	json_t *choice = json_pack("{s:i,s:{s:s,s:o},s:s}", "index", 0,
				   "message", "role", "assistant", "content",
				   content, "finish_reason",
				   answer->finish_reason);

	add_json(answer_json(answer, "chat.completion", choice), text);
}

void chat_answer_write_last_event(const struct chat_answer *answer,
				  struct buffer *text)
{
	json_t *choice = json_pack("{s:i,s:{},s:s}", "index", 0, "delta",
				   "finish_reason", answer->finish_reason);

	buffer_add_text(text, "data: ");
	add_json(answer_json(answer, "chat.completion.chunk", choice), text);
	buffer_add_text(text, "\n\ndata: " CHAT_DONE_MARK "\n\n");
}
