/**
 * @file answer.h
 * An answer: a reference-counted HTTP response that one writer appends to while
 * any number of readers read it, each at its own offset. It can outlive the
 * writer and the readers, so that a retry reads it from the start.
 */
#ifndef TRANSPORT_ANSWER_H
#define TRANSPORT_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct answer;

struct answer_limits {
	/** An answer is kept from its start up to this size; beyond it, bytes
	 * that the newest reader has read are dropped, or all bytes if there
	 * is no reader. */
	size_t keep_bytes;
	/** Bytes unread by the newest reader at which the writer has to
	 * pause. */
	size_t window_bytes;
};

/** A reader of an answer. Its owner embeds it; the answer links it. */
struct answer_reader {
	/** Set by answer_attach(), changed by answer_move_readers(). */
	struct answer *answer;
	struct answer_reader *next;
	size_t offset;
	bool parked; /**< waits for wake() */
	/** Called with the answer locked, from the reading call, when there is
	 * nothing to read yet. */
	void (*park)(void *arg);
	/** Called with the answer locked, from the thread that writes the
	 * answer, moves its readers or calls answer_wake_reader(). */
	void (*wake)(void *arg);
	void *arg;
};

enum answer_read_result {
	ANSWER_BYTES,	  /**< bytes were read */
	ANSWER_WAIT,	  /**< the reader was parked */
	ANSWER_COMPLETE,  /**< all was read */
	ANSWER_TRUNCATED, /**< the rest is missing: the writer failed, or the
			   * reader fell behind the bytes that are kept */
};

/** The head of an answer; valid as long as the answer. */
struct answer_head {
	int32_t status;
	const char *content_type;
	bool size_known;
	size_t size;
};

struct answer *answer_new(const struct answer_limits *limits);
struct answer *answer_ref(struct answer *answer);
void answer_unref(struct answer *answer);

/** Adds a header; only before answer_start(). */
void answer_add_header(struct answer *answer, const char *name,
		       const char *value);

/** Calls back for each header; only after answer_start(). */
void answer_each_header(const struct answer *answer,
			void (*header)(void *arg, const char *name,
				       const char *value),
			void *arg);

/** The writer's functions. Flush and finish wake the parked readers. */
void answer_start(struct answer *answer, int32_t status,
		  const char *content_type);
void answer_append(struct answer *answer, const void *data, size_t size);
void answer_flush(struct answer *answer);
void answer_finish(struct answer *answer, bool complete);

/** Starts, appends and finishes in one call, so that readers know the size. */
void answer_set(struct answer *answer, int32_t status, const char *content_type,
		const void *body, size_t size);

/**
 * Checks whether the writer may go on. If not, the callback is called once,
 * with the answer locked, when at most half of the window is unread.
 * @param on_writable called from the thread that reads or detaches a reader
 */
bool answer_may_write(struct answer *answer, void (*on_writable)(void *arg),
		      void *arg);

/** No callback of answer_may_write() is called after this returns. */
void answer_cancel_on_writable(struct answer *answer);

bool answer_is_started(struct answer *answer);
bool answer_is_finished(struct answer *answer);

/** @return whether a new reader can still read it from the start, and the
 * writer has not failed */
bool answer_is_replayable(struct answer *answer);

size_t answer_size(struct answer *answer);

void answer_attach(struct answer *answer, struct answer_reader *reader);

/** Detaches the reader from the answer that it reads now. */
void answer_detach(struct answer_reader *reader);

/** Moves the readers of an answer that has not started to another answer, and
 * wakes those that are parked. */
void answer_move_readers(struct answer *from, struct answer *to);

/** @return whether the head was available; otherwise the reader was parked */
bool answer_read_head(struct answer_reader *reader, struct answer_head *head);

enum answer_read_result answer_read(struct answer_reader *reader, char *bytes,
				    size_t capacity, size_t *size);

/** Wakes a parked reader even if there is nothing to read. */
void answer_wake_reader(struct answer_reader *reader);

/** @return whether the reader waits for the writer */
bool answer_reader_is_parked(struct answer_reader *reader);

#endif
