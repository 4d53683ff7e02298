#include "daemon/model_stream.h"

#include <stdio.h>
#include <string.h>

#include "protocol/media_type.h"

#define MAX_EVENT_BYTES (256 * 1024)
/* Maximum size of the events that are kept until the end mark. */
#define MAX_TAIL_BYTES MAX_EVENT_BYTES
#define STATUS_OK 200

void model_stream_init(struct model_stream *stream, int64_t token_limit)
{
	sse_parser_init(&stream->parser, MAX_EVENT_BYTES);
	stream_guard_init(&stream->guard, stream->id, 0, token_limit);
}

void model_stream_clear(struct model_stream *stream)
{
	sse_parser_free(&stream->parser);
	buffer_free(&stream->tail);
	buffer_free(&stream->content);
}

static void truncate_content(struct model_stream *stream, size_t size)
{
	if (stream->content.size <= size)
		return;
	stream->content.size = size;
	stream->content.data[size] = '\0';
}

/* Discards the final events, which were not sent to the caller: the next
 * attempt delivers them again. */
static void discard_tail(struct model_stream *stream)
{
	if (!stream->tail.size)
		return;
	stream->guard.next_index = stream->tail_index;
	truncate_content(stream, stream->tail_content_size);
	buffer_clear(&stream->tail);
}

void model_stream_begin(struct model_stream *stream, int64_t attempt,
			bool from_start)
{
	sse_parser_reset(&stream->parser);
	discard_tail(stream);
	if (from_start) {
		stream_guard_restart(&stream->guard, attempt);
		truncate_content(stream, 0);
	} else {
		stream_guard_resume(&stream->guard, attempt);
	}
	stream->status = 0;
	stream->is_event_stream = false;
	stream->stopped = false;
	stream->verdict = STREAM_DELIVER;
	memset(&stream->usage, 0, sizeof(stream->usage));
}

int64_t model_stream_tokens(const struct model_stream *stream)
{
	if (stream->tail.size)
		return stream->tail_index;
	return stream->guard.next_index;
}

void model_stream_set_head(struct model_stream *stream, int32_t status,
			   const char *content_type)
{
	stream->status = status;
	stream->is_event_stream = media_type_is_event_stream(content_type);
}

static void start_answer(struct model_stream *stream)
{
	if (stream->caller_has_tokens)
		return;
	stream->caller_has_tokens = true;
	answer_start(stream->answer, STATUS_OK, MEDIA_TYPE_EVENT_STREAM);
}

static void count_token(struct model_stream *stream)
{
	if (stream->guard.next_index == 1)
		gateway_metrics_add_first_token(
			stream->metrics, tgw_clock_monotonic_us(stream->clock) -
						 stream->started_us);
	metrics_add(&stream->metrics->streamed_tokens, 1);
}

/* Writes an event on one line: a line break in its data can only be white space
 * between JSON tokens, so it becomes a space. */
static void add_event(struct buffer *text, const char *data, size_t size)
{
	char *at;
	char *end;

	buffer_add_text(text, "data: ");
	buffer_add(text, data, size);
	end = text->data + text->size;
	at = end - size;
	while ((at = memchr(at, '\n', (size_t)(end - at))))
		*at = ' ';
	buffer_add_text(text, "\n\n");
}

static void send_event(struct model_stream *stream, const char *data,
		       size_t size)
{
	struct buffer text = {0};

	add_event(&text, data, size);
	start_answer(stream);
	answer_append(stream->answer, text.data, text.size);
	buffer_free(&text);
}

static void fill_answer(const struct model_stream *stream,
			struct chat_answer *answer)
{
	memset(answer, 0, sizeof(*answer));
	answer->id = stream->id;
	answer->model = stream->model;
	answer->created_s = tgw_clock_wall_us(stream->clock) / TGW_US_PER_S;
	answer->content = stream->content.data;
	answer->content_size = stream->content.size;
	answer->finish_reason = stream->finish_reason[0] ? stream->finish_reason
							 : "stop";
	answer->usage = stream->usage;
}

static void finish_document(struct model_stream *stream)
{
	struct chat_answer answer;
	struct buffer text = {0};

	fill_answer(stream, &answer);
	chat_answer_write(&answer, &text);
	answer_set(stream->answer, STATUS_OK, "application/json", text.data,
		   text.size);
	buffer_free(&text);
}

static void finish_events(struct model_stream *stream)
{
	static const char done[] = "data: " CHAT_DONE_MARK "\n\n";

	start_answer(stream);
	if (stream->tail.size)
		answer_append(stream->answer, stream->tail.data,
			      stream->tail.size);
	answer_append(stream->answer, done, strlen(done));
	answer_finish(stream->answer, true);
}

static bool stop_attempt(struct model_stream *stream,
			 enum stream_verdict verdict)
{
	stream->stopped = true;
	stream->verdict = verdict;
	return false;
}

static bool on_end_mark(struct model_stream *stream)
{
	stream_guard_end(&stream->guard);
	if (!stream_guard_is_complete(&stream->guard))
		return stop_attempt(stream, STREAM_GAP);
	if (stream->sends_events)
		finish_events(stream);
	else
		finish_document(stream);
	buffer_clear(&stream->tail);
	return true;
}

/* Ends the answer at its token limit, although the engine sends more. */
static void finish_at_limit(struct model_stream *stream)
{
	struct chat_answer answer;
	struct buffer text = {0};

	snprintf(stream->finish_reason, sizeof(stream->finish_reason),
		 "length");
	stream->usage.known = true;
	stream->usage.prompt_tokens = stream->prompt_bound_tokens;
	stream->usage.completion_tokens = stream->guard.token_limit;
	if (!stream->sends_events) {
		finish_document(stream);
		return;
	}
	fill_answer(stream, &answer);
	chat_answer_write_last_event(&answer, &text);
	start_answer(stream);
	answer_append(stream->answer, text.data, text.size);
	answer_finish(stream->answer, true);
	buffer_free(&text);
}

static bool add_content(struct model_stream *stream,
			const struct chat_event *event)
{
	if (stream->sends_events || !event->content)
		return true;
	if (stream->content.size + event->content_size >
	    stream->max_content_bytes) {
		stream->content_too_large = true;
		return false;
	}
	buffer_add(&stream->content, event->content, event->content_size);
	return true;
}

/* @return whether there was room */
static bool add_to_tail(struct model_stream *stream, const char *data,
			size_t size)
{
	if (stream->tail.size + size > MAX_TAIL_BYTES)
		return false;
	add_event(&stream->tail, data, size);
	return true;
}

static void record_final_fields(struct model_stream *stream,
				const struct chat_event *event)
{
	if (event->finish_reason)
		snprintf(stream->finish_reason, sizeof(stream->finish_reason),
			 "%s", event->finish_reason);
	if (event->usage.known)
		stream->usage = event->usage;
}

static bool deliver(struct model_stream *stream, const struct chat_event *event,
		    const char *data, size_t size)
{
	if (event->stream.index != STREAM_NO_INDEX)
		count_token(stream);
	record_final_fields(stream, event);
	if (!add_content(stream, event))
		return stop_attempt(stream, STREAM_MALFORMED);
	if (stream->guard.final_seen)
		return add_to_tail(stream, data, size) ||
		       stop_attempt(stream, STREAM_MALFORMED);
	if (stream->sends_events)
		send_event(stream, data, size);
	return true;
}

static bool check_event(struct model_stream *stream,
			const struct chat_event *event, const char *data,
			size_t size)
{
	int64_t index = stream->guard.next_index;
	size_t content_size = stream->content.size;
	enum stream_verdict verdict =
		stream_guard_check(&stream->guard, &event->stream);

	metrics_add(&stream->metrics->verdicts[verdict], 1);
	switch (verdict) {
	case STREAM_DELIVER:
		if (!stream->tail.size) {
			stream->tail_index = index;
			stream->tail_content_size = content_size;
		}
		return deliver(stream, event, data, size);
	case STREAM_LATE:
	case STREAM_DOUBLED:
		return true;
	case STREAM_PAST_LIMIT:
		finish_at_limit(stream);
		return stop_attempt(stream, verdict);
	default:
		return stop_attempt(stream, verdict);
	}
}

static bool on_event(void *arg, const char *data, size_t size)
{
	struct model_stream *stream = arg;
	struct chat_event event;
	bool proceed;

	if (stream->guard.done)
		return true;
	if (strcmp(data, CHAT_DONE_MARK) == 0)
		return on_end_mark(stream);
	if (!chat_event_parse(&event, data, size)) {
		metrics_add(&stream->metrics->verdicts[STREAM_MALFORMED], 1);
		return stop_attempt(stream, STREAM_MALFORMED);
	}
	proceed = check_event(stream, &event, data, size);
	chat_event_clear(&event);
	return proceed;
}

bool model_stream_feed(struct model_stream *stream, const char *data,
		       size_t size)
{
	struct sse_handler handler = {.event = on_event, .arg = stream};

	if (stream->stopped)
		return false;
	if (stream->status != STATUS_OK || !stream->is_event_stream)
		return true;
	if (sse_parser_feed(&stream->parser, data, size, handler) ==
	    SSE_TOO_LARGE)
		return stop_attempt(stream, STREAM_MALFORMED);
	answer_flush(stream->answer);
	return !stream->stopped;
}

static enum attempt_end attempt_end_of_status(int32_t status)
{
	switch (status) {
	case 404:
	case 410:
		return ATTEMPT_NOT_FOUND;
	case 409:
		return ATTEMPT_OVERTAKEN;
	case 408:
	case 429:
	case 503:
		return ATTEMPT_BUSY;
	default:
		return status >= 400 && status < 500 ? ATTEMPT_REFUSED
						     : ATTEMPT_ERROR;
	}
}

enum attempt_end model_stream_attempt_end(const struct model_stream *stream)
{
	if (stream_guard_is_complete(&stream->guard))
		return ATTEMPT_COMPLETE;
	if (stream->verdict == STREAM_PAST_LIMIT)
		return ATTEMPT_PAST_LIMIT;
	if (stream->verdict == STREAM_OVERTAKEN)
		return ATTEMPT_OVERTAKEN;
	if (stream->stopped)
		return ATTEMPT_INVALID_EVENTS;
	if (stream->status && stream->status != STATUS_OK)
		return attempt_end_of_status(stream->status);
	if (stream->status && !stream->is_event_stream)
		return ATTEMPT_ERROR;
	return ATTEMPT_BROKEN;
}

void model_stream_add_error(struct model_stream *stream,
			    const struct problem *problem)
{
	struct buffer text = {0};

	buffer_add_text(&text, "event: error\ndata: ");
	problem_write(problem, &text);
	buffer_add_text(&text, "\n\n");
	answer_append(stream->answer, text.data, text.size);
	answer_finish(stream->answer, true);
	buffer_free(&text);
}
