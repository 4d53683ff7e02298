#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "standins/common/standin_answer.h"
#include "standins/engine/engine.h"

/* Maximum size of one event; request ids and model names are short. */
#define MAX_EVENT_BYTES 1024

/** A reader of a run's answer. */
struct stream {
	struct engine *engine;
	/* Its field stream points to the run's newest reader, which may be
	 * another than this one. */
	struct run *run;
	struct MHD_Connection *connection;
	int64_t attempt;
	int64_t next_index;
	bool as_events; /* else one JSON object at the end */
	bool suspended;
	bool finished;
	struct buffer pending; /* unsent bytes of an answer as one object */
};

json_t *run_usage(const struct run *run)
{
	return json_pack("{s:I, s:I, s:I}", "prompt_tokens",
			 (json_int_t)run->prompt_tokens, "completion_tokens",
			 (json_int_t)run->produced, "total_tokens",
			 (json_int_t)run->prompt_tokens +
				 (json_int_t)run->produced);
}

static const char *finish_reason(const struct run *run)
{
	if (run->state == RUN_CANCELLED)
		return "cancelled";
	return run->is_truncated ? "length" : "stop";
}

void stream_notify(struct stream *stream)
{
	if (!stream->suspended)
		return;
	stream->suspended = false;
	MHD_resume_connection(stream->connection);
}

/* @return bytes written */
static size_t write_token(struct stream *stream, char *target, size_t size)
{
	const struct run *run = stream->run;
	char token[STANDIN_TOKEN_SIZE];

	standin_token(run->prompt_hash, stream->next_index, token);
	return (size_t)snprintf(
		target, size,
		"data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\","
		"\"attempt\":%lld,\"index\":%lld,\"model\":\"%s\",\"choices\":"
		"[{\"index\":0,\"delta\":{\"content\":\"%s\"},"
		"\"finish_reason\":null}]}\n\n",
		run->id, (long long)stream->attempt,
		(long long)stream->next_index, run->model, token);
}

static size_t write_end(struct stream *stream, char *target, size_t size)
{
	const struct run *run = stream->run;
	json_t *usage = run_usage(run);
	char *text = json_dumps(usage, JSON_COMPACT);
	size_t written = (size_t)snprintf(
		target, size,
		"data: {\"id\":\"%s\",\"object\":\"chat.completion.chunk\","
		"\"attempt\":%lld,\"model\":\"%s\",\"choices\":[{\"index\":0,"
		"\"delta\":{},\"finish_reason\":\"%s\"}],\"usage\":%s}\n\n"
		"data: [DONE]\n\n",
		run->id, (long long)stream->attempt, run->model,
		finish_reason(run), text);

	free(text);
	json_decref(usage);
	return written;
}

static size_t write_events(struct stream *stream, char *target, size_t size)
{
	const struct run *run = stream->run;
	size_t written = 0;

	while (stream->next_index < run->produced &&
	       size - written >= MAX_EVENT_BYTES) {
		written +=
			write_token(stream, target + written, size - written);
		stream->next_index++;
	}
	if (stream->next_index >= run->produced && run->state >= RUN_DONE &&
	    size - written >= MAX_EVENT_BYTES) {
		written += write_end(stream, target + written, size - written);
		stream->finished = true;
	}
	return written;
}

static void compose_object(struct stream *stream)
{
	const struct run *run = stream->run;
	struct buffer content = {0};
	json_t *answer;
	int64_t i;
	char *text;

	buffer_add_text(&content, "");
	for (i = 0; i < run->produced; i++) {
		char token[STANDIN_TOKEN_SIZE];

		standin_token(run->prompt_hash, i, token);
		buffer_add_text(&content, token);
	}
	answer = json_pack(
		"{s:s, s:s, s:I, s:s, s:[{s:i, s:{s:s, s:s}, s:s}], s:o}", "id",
		run->id, "object", "chat.completion", "attempt",
		(json_int_t)stream->attempt, "model", run->model, "choices",
		"index", 0, "message", "role", "assistant", "content",
		content.data, "finish_reason", finish_reason(run), "usage",
		run_usage(run));
	text = json_dumps(answer, JSON_COMPACT);
	buffer_add_text(&stream->pending, text);
	free(text);
	json_decref(answer);
	buffer_free(&content);
}

static size_t write_object(struct stream *stream, char *target, size_t size)
{
	if (stream->run->state < RUN_DONE)
		return 0;
	if (!stream->pending.size)
		compose_object(stream);
	if (size > stream->pending.size)
		size = stream->pending.size;
	memcpy(target, stream->pending.data, size);
	buffer_consume(&stream->pending, size);
	stream->finished = !stream->pending.size;
	return size;
}

static ssize_t read_stream(void *arg, uint64_t position, char *target,
			   size_t size)
{
	struct stream *stream = arg;
	ssize_t written = MHD_CONTENT_READER_END_WITH_ERROR;

	engine_lock(stream->engine);
	if (stream->finished) {
		written = MHD_CONTENT_READER_END_OF_STREAM;
		goto out;
	}
	if (!stream->run || stream->run->stream != stream)
		goto out;
	written = (ssize_t)(stream->as_events
				    ? write_events(stream, target, size)
				    : write_object(stream, target, size));
	if (!written) {
		stream->suspended = true;
		MHD_suspend_connection(stream->connection);
	}
out:
	engine_unlock(stream->engine);
	return written;
}

static void release_stream(void *arg)
{
	struct stream *stream = arg;
	struct run *run = stream->run;

	engine_lock(stream->engine);
	if (run && run->stream == stream) {
		run->stream = NULL;
		run->last_read_us = standin_now_us();
	}
	engine_unlock(stream->engine);
	buffer_free(&stream->pending);
	free(stream);
}

enum MHD_Result stream_start(struct engine *engine, struct run *run,
			     struct standin_call *call, int64_t from,
			     bool as_events)
{
	struct stream *stream = xcalloc(1, sizeof(*stream));
	struct stream *old = run->stream;

	stream->engine = engine;
	stream->run = run;
	stream->connection = call->connection;
	stream->attempt = run->attempt;
	stream->next_index = from;
	stream->as_events = as_events;
	run->stream = stream;
	if (old)
		stream_notify(old);
	engine_unlock(engine);
	return standin_reply_stream(
		call, as_events ? "text/event-stream" : "application/json",
		read_stream, stream, release_stream);
}
