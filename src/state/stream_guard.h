/**
 * @file stream_guard.h
 * Decides which events of an engine's stream may reach the caller: only those
 * of its own request and attempt, each token once and in order, none past the
 * token limit, and an end only when the answer is complete.
 */
#ifndef STATE_STREAM_GUARD_H
#define STATE_STREAM_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#define STREAM_ID_SIZE 40
#define STREAM_NO_INDEX (-1)
#define STREAM_NO_USAGE (-1)

/** The fields of an event that the decision depends on. */
struct stream_event {
	const char *id; /**< of the request; NULL when missing */
	int64_t attempt;
	int64_t index;		   /**< of its token, or STREAM_NO_INDEX */
	bool is_final;		   /**< ends the answer */
	int64_t completion_tokens; /**< from its usage field, or
				    * STREAM_NO_USAGE */
};

enum stream_verdict {
	STREAM_DELIVER,	   /**< pass the event on to the caller */
	STREAM_LATE,	   /**< of an earlier attempt: drop the event */
	STREAM_DOUBLED,	   /**< duplicate, or after the end: drop the event */
	STREAM_CROSSED,	   /**< of another request: end the attempt */
	STREAM_OVERTAKEN,  /**< a newer attempt runs: end the attempt */
	STREAM_GAP,	   /**< tokens are missing: end the attempt */
	STREAM_PAST_LIMIT, /**< more tokens than allowed: end the answer */
	STREAM_MALFORMED,  /**< violates the protocol: end the attempt */
	STREAM_VERDICT_COUNT
};

struct stream_guard {
	char id[STREAM_ID_SIZE];
	int64_t attempt;
	int64_t first_index; /**< of the attempt's tokens */
	int64_t next_index;
	int64_t token_limit;
	int64_t completion_tokens;
	bool final_seen;
	bool done; /**< the stream's end mark has been received */
};

void stream_guard_init(struct stream_guard *guard, const char *id,
		       int64_t attempt, int64_t token_limit);

/** Expects a further attempt that continues after the tokens passed on so
 * far. */
void stream_guard_resume(struct stream_guard *guard, int64_t attempt);

/** Expects a further attempt that starts the answer from the beginning. */
void stream_guard_restart(struct stream_guard *guard, int64_t attempt);

/** Checks the next event, and counts it if it is to be passed on. */
enum stream_verdict stream_guard_check(struct stream_guard *guard,
				       const struct stream_event *event);

/** Records that the stream's end mark has been received. */
void stream_guard_end(struct stream_guard *guard);

/** @return whether the answer is complete: both its final event and the end
 * mark have been received */
bool stream_guard_is_complete(const struct stream_guard *guard);

/** Stable name of a verdict, for logs and counters. */
const char *stream_verdict_name(enum stream_verdict verdict);

#endif
