/**
 * @file stream_guard.h
 * Which events of an engine's stream may reach the caller: only those of
 * its own request and attempt, each token once and in order, none past the
 * limit, and an end only when the answer is whole.
 */
#ifndef STATE_STREAM_GUARD_H
#define STATE_STREAM_GUARD_H

#include <stdbool.h>
#include <stdint.h>

#define STREAM_ID_SIZE 40
#define STREAM_NO_INDEX (-1)
#define STREAM_NO_USAGE (-1)

/** What an event says of itself. */
struct stream_event {
	const char *id; /**< NULL when it names none */
	int64_t attempt;
	int64_t index;		   /**< of its token; STREAM_NO_INDEX */
	bool is_final;		   /**< ends the answer */
	int64_t completion_tokens; /**< by its usage; STREAM_NO_USAGE */
};

enum stream_verdict {
	STREAM_DELIVER,	   /**< pass it on */
	STREAM_LATE,	   /**< of an earlier attempt: drop it */
	STREAM_DOUBLED,	   /**< passed on before: drop it */
	STREAM_CROSSED,	   /**< of another request: end the attempt */
	STREAM_OVERTAKEN,  /**< a newer attempt runs: end the attempt */
	STREAM_GAP,	   /**< tokens are missing: end the attempt */
	STREAM_PAST_LIMIT, /**< more tokens than allowed: end the answer */
	STREAM_MALFORMED,  /**< breaks the interface: end the attempt */
	STREAM_VERDICT_COUNT
};

struct stream_guard {
	char id[STREAM_ID_SIZE];
	int64_t attempt;
	int64_t next_index;
	int64_t token_limit;
	int64_t completion_tokens;
	bool final_seen;
	bool done; /**< the end mark came */
};

void stream_guard_init(struct stream_guard *guard, const char *id,
		       int64_t attempt, int64_t token_limit);

/** A further attempt goes on after the tokens that were passed on. */
void stream_guard_resume(struct stream_guard *guard, int64_t attempt);

/** A further attempt starts the answer anew. */
void stream_guard_restart(struct stream_guard *guard, int64_t attempt);

/** Judges the next event and, when it is to be passed on, counts it. */
enum stream_verdict stream_guard_judge(struct stream_guard *guard,
				       const struct stream_event *event);

/** The stream's end mark came. */
void stream_guard_end(struct stream_guard *guard);

/** @return whether the caller has all of the answer */
bool stream_guard_is_whole(const struct stream_guard *guard);

/** Stable name of a verdict, for logs and counters. */
const char *stream_verdict_name(enum stream_verdict verdict);

#endif
