/**
 * @file model_stream.h
 * Passes a model's tokens from the engine's event stream to the caller's
 * answer.
 *
 * Not thread-safe. While an attempt is in flight, only the callbacks of its
 * exchange use the stream; between attempts, only the model call does.
 */
#ifndef DAEMON_MODEL_STREAM_H
#define DAEMON_MODEL_STREAM_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon/gateway_metrics.h"
#include "protocol/chat_event.h"
#include "protocol/sse_parser.h"
#include "state/stream_guard.h"
#include "state/stream_recovery.h"
#include "tamarackgw/clock.h"
#include "transport/answer.h"

struct model_stream {
	/* Set once, before the first attempt. */
	const char *id;
	const char *model;
	bool sends_events; /**< the caller requested events, not one document */
	size_t max_content_bytes;
	int64_t prompt_bound_tokens;
	struct answer *answer;
	struct gateway_metrics *metrics;
	const struct tgw_clock *clock;
	int64_t started_us;
	/* State of the answer, over all attempts. */
	struct stream_guard guard;
	struct buffer content; /**< collected text of a document */
	char finish_reason[CHAT_FINISH_SIZE];
	struct chat_usage usage;
	bool caller_has_tokens; /**< the caller's answer has been started */
	bool content_too_large; /**< it would exceed max_content_bytes */
	/* State of the attempt. */
	struct sse_parser parser;
	struct buffer tail; /**< final events, not sent before the end mark */
	int64_t tail_index; /**< guard.next_index before the tail */
	size_t tail_content_size; /**< content.size before the tail */
	int32_t status;
	bool is_event_stream;
	bool stopped;
	enum stream_verdict verdict; /**< why it was stopped */
};

void model_stream_init(struct model_stream *stream, int64_t token_limit);
void model_stream_clear(struct model_stream *stream);

/** Prepares for the first or a further attempt.
 * @param from_start whether the attempt restarts the answer; otherwise it
 *        resumes after model_stream_tokens() */
void model_stream_begin(struct model_stream *stream, int64_t attempt,
			bool from_start);

/** @return the number of accepted tokens, without those of the final events
 * that have not been sent */
int64_t model_stream_tokens(const struct model_stream *stream);

/** Sets the status and content type of the engine's response. */
void model_stream_set_head(struct model_stream *stream, int32_t status,
			   const char *content_type);

/** Handles bytes of the engine's response.
 * @return false when the attempt is to be stopped */
bool model_stream_feed(struct model_stream *stream, const char *data,
		       size_t size);

/** @return how the attempt ended, as far as the response shows it:
 * ATTEMPT_BROKEN when there is no response or it is incomplete */
enum attempt_end model_stream_attempt_end(const struct model_stream *stream);

/** Ends a started answer with an error event that contains the problem. */
void model_stream_add_error(struct model_stream *stream,
			    const struct problem *problem);

#endif
