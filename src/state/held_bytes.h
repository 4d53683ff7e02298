/**
 * @file held_bytes.h
 * Accounts for what a host holds of one kind: of servers' answers until it may
 * pass them on, or of callers' requests. Decides how much more one of them may
 * hold. Without I/O.
 *
 * All sizes are those of the memory that is taken, with what a growing buffer
 * has in reserve.
 */
#ifndef STATE_HELD_BYTES_H
#define STATE_HELD_BYTES_H

#include <stdbool.h>
#include <stdint.h>

/** Maximum that is held of one answer: of a body that may still be replaced by
 * another server's, or of one event. An event of these engines has some hundred
 * bytes and a whole answer some ten thousand, so an event that reaches it has
 * no end. */
#define HELD_BYTES_ANSWER_MAX ((int64_t)256 * 1024)

/** Each answer or request may hold this much, however much the others hold. It
 * has room for any event of a sound model engine. */
#define HELD_BYTES_ITEM_MIN ((int64_t)8 * 1024)

struct held_bytes {
	int64_t limit_bytes; /**< of all items; see HELD_BYTES_ITEM_MIN */
	int64_t item_max_bytes;
	int64_t total_bytes; /**< held now */
	int64_t peak_bytes;  /**< most that was held since the start */
};

enum held_verdict {
	HELD_FITS,
	HELD_ITEM_TOO_LARGE, /**< the item exceeds its own maximum */
	HELD_HOST_FULL,	     /**< all items together exceed their limit */
};

/** @param memory_mb memory of the host; 0: unknown
 * @param percent of it that all items together may take
 * @param item_max_bytes of one; 0: that limit is the only one */
void held_bytes_init(struct held_bytes *held, int64_t memory_mb,
		     int64_t percent, int64_t item_max_bytes);

/** @return whether an item that holds `own_bytes` may hold `next_bytes` */
enum held_verdict held_bytes_check(const struct held_bytes *held,
				   int64_t own_bytes, int64_t next_bytes);

/** Records what an item holds now.
 * @param own_bytes what was recorded for it before; set to `now_bytes` */
void held_bytes_record(struct held_bytes *held, int64_t *own_bytes,
		       int64_t now_bytes);

/** @return the limit behind a verdict */
int64_t held_bytes_limit(const struct held_bytes *held,
			 enum held_verdict verdict);

/** @return whether the items hold all that they may */
static inline bool held_bytes_is_full(const struct held_bytes *held)
{
	return held->total_bytes >= held->limit_bytes;
}

#endif
