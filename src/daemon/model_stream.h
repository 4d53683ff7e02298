/**
 * @file model_stream.h
 * The path of a model's tokens from the engine to the caller's answer.
 *
 * While an attempt is open the stream belongs to the backend client's
 * thread, between attempts to the coordination thread.
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
	/* Set once. */
	const char *id;
	const char *model;
	bool to_events; /**< the caller wants events, not one document */
	size_t max_content_bytes;
	int64_t prompt_bound_tokens;
	struct answer *answer;
	struct gateway_metrics *metrics;
	const struct tgw_clock *clock;
	int64_t started_us;
	/* Of the whole answer. */
	struct stream_guard guard;
	struct buffer content; /**< for one document */
	char finish_reason[CHAT_FINISH_SIZE];
	struct chat_usage usage;
	/** Bytes and tokens of the engine, for checks against the bound. */
	bool caller_has_tokens;
	bool content_too_large;
	/* Of the attempt. */
	struct sse_parser parser;
	struct buffer tail; /**< last events, held back until the end mark */
	int64_t tail_index;
	size_t tail_content_size;
	int32_t status;
	bool is_event_stream;
	bool stopped;
	enum stream_verdict verdict; /**< why it was stopped */
};

void model_stream_init(struct model_stream *stream, int64_t token_limit);
void model_stream_clear(struct model_stream *stream);

/** Gets ready for the first, or for a further attempt. */
void model_stream_begin(struct model_stream *stream, int64_t attempt,
			bool from_start);

/** @return the tokens that were taken over for good */
int64_t model_stream_tokens(const struct model_stream *stream);

/** The head of an attempt's answer came. */
void model_stream_head(struct model_stream *stream, int32_t status,
		       const char *content_type);

/** @return false when the attempt is to be stopped */
bool model_stream_feed(struct model_stream *stream, const char *data,
		       size_t size);

/** @return how the attempt ended, apart from what the connection did */
enum attempt_end model_stream_end(const struct model_stream *stream);

/** Ends a started answer with a typed error event. */
void model_stream_add_error(struct model_stream *stream,
			    const struct problem *problem);

#endif
