/**
 * @file held_bytes.h
 * Accounts for what a host holds of servers' answers until it may pass them on,
 * and decides how much more of one answer it may hold. Without I/O.
 *
 * All sizes are those of the memory that is taken, with what a growing buffer
 * has in reserve. An event of these engines has some hundred bytes and a whole
 * answer some ten thousand, so an event that reaches a limit has no end.
 */
#ifndef STATE_HELD_BYTES_H
#define STATE_HELD_BYTES_H

#include <stdint.h>

/** Maximum that is held of one answer: of a body that may still be replaced by
 * another server's, or of one event. */
#define HELD_BYTES_ANSWER_MAX ((int64_t)256 * 1024)

/** Each answer may hold this much, however much the others hold. It has room
 * for any event of a sound model engine. */
#define HELD_BYTES_ANSWER_MIN ((int64_t)8 * 1024)

struct held_bytes {
	int64_t limit_bytes; /**< of all answers; see HELD_BYTES_ANSWER_MIN */
	int64_t total_bytes; /**< held now */
	int64_t peak_bytes;  /**< most that was held since the start */
};

enum held_verdict {
	HELD_FITS,
	HELD_ANSWER_TOO_LARGE, /**< the answer exceeds its own maximum */
	HELD_HOST_FULL,	       /**< all answers together exceed their limit */
};

/** @param memory_mb memory of the host; 0: unknown
 * @param percent of it that answers may take */
void held_bytes_init(struct held_bytes *held, int64_t memory_mb,
		     int64_t percent);

/** @return whether an answer that holds `own_bytes` may hold `next_bytes` */
enum held_verdict held_bytes_check(const struct held_bytes *held,
				   int64_t own_bytes, int64_t next_bytes);

/** Records what an answer holds now.
 * @param own_bytes what was recorded for it before; set to `now_bytes` */
void held_bytes_record(struct held_bytes *held, int64_t *own_bytes,
		       int64_t now_bytes);

/** @return the limit behind a verdict */
int64_t held_bytes_limit(const struct held_bytes *held,
			 enum held_verdict verdict);

#endif
