/**
 * @file chat_event.h
 * Events of an engine's chat-completions stream, and the documents for callers
 * that are built from them.
 */
#ifndef PROTOCOL_CHAT_EVENT_H
#define PROTOCOL_CHAT_EVENT_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "state/stream_guard.h"

#define CHAT_FINISH_SIZE 24
#define CHAT_EVENT_ID_SIZE 64
#define CHAT_DONE_MARK "[DONE]"

/** Tokens that a request cost. */
struct chat_usage {
	bool known;
	int64_t prompt_tokens;
	int64_t completion_tokens;
};

/** One parsed event. Valid until chat_event_clear(), and only while the text
 * that it was parsed from exists. */
struct chat_event {
	struct stream_event stream;
	const char *content; /**< of the first choice's delta; NULL for none */
	size_t content_size;
	const char *finish_reason; /**< NULL for none */
	bool has_choices;
	struct chat_usage usage;
	void *document; /**< parsed JSON, private to this module; may be NULL */
	char id[CHAT_EVENT_ID_SIZE]; /**< stream.id may point here */
};

/** @param data must have a '\0' at data[size]
 * @return false when the bytes are not a JSON object */
bool chat_event_parse(struct chat_event *event, const char *data, size_t size);

void chat_event_clear(struct chat_event *event);

/** Reads the usage from the engine's response to a cancel or a status query.
 * @return whether the response has a valid usage */
bool chat_usage_parse(struct chat_usage *usage, const char *body, size_t size);

/** The fields of a complete answer. */
struct chat_answer {
	const char *id;
	const char *model;
	int64_t created_s;
	const char *content;
	size_t content_size;
	const char *finish_reason;
	struct chat_usage usage;
};

/** Appends the document of an answer that is not streamed. */
void chat_answer_write(const struct chat_answer *answer, struct buffer *text);

/** Appends the last event, and the end mark, of a streamed answer that ends at
 * its token limit. */
void chat_answer_write_last_event(const struct chat_answer *answer,
				  struct buffer *text);

#endif
