/**
 * @file answer.h
 * An answer as it grows: one writer, any number of readers at their own
 * places. It outlives both, so that a retry reads it from the start.
 */
#ifndef TRANSPORT_ANSWER_H
#define TRANSPORT_ANSWER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

struct answer;

struct answer_limits {
	/** Bytes up to which the answer is kept from its start on. */
	size_t keep_bytes;
	/** Unread bytes at which the writer has to pause. */
	size_t window_bytes;
};

/** A place in an answer. The owner embeds it; the answer links it. */
struct answer_reader {
	struct answer *answer; /**< changed by answer_join() only */
	struct answer_reader *next;
	size_t offset;
	bool parked; /**< waits for wake() */
	/** Called with the answer locked, from the reading call: no byte is
	 * there yet. */
	void (*park)(void *arg);
	/** Called with the answer locked, from the writer's thread. */
	void (*wake)(void *arg);
	void *arg;
};

enum answer_read_result {
	ANSWER_BYTES, /**< bytes were read */
	ANSWER_WAIT,  /**< the reader was parked */
	ANSWER_END,   /**< that was all, and it is whole */
	ANSWER_CUT,   /**< there will be no more, and it is not whole */
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

/** Adds a header; only before the start. */
void answer_add_header(struct answer *answer, const char *name,
		       const char *value);

/** Calls back for each header; after the start. */
void answer_each_header(const struct answer *answer,
			void (*header)(void *arg, const char *name,
				       const char *value),
			void *arg);

/** The writer's side. Readers wake on flush, start and finish. */
void answer_start(struct answer *answer, int32_t status,
		  const char *content_type);
void answer_append(struct answer *answer, const void *data, size_t size);
void answer_flush(struct answer *answer);
void answer_finish(struct answer *answer, bool whole);

/** Start, append and finish in one, so that the size is known. */
void answer_set(struct answer *answer, int32_t status, const char *content_type,
		const void *body, size_t size);

/**
 * Asks whether the writer may go on. When not, the callback comes once, from
 * the thread of a reader that made room, or of a new reader.
 */
bool answer_may_write(struct answer *answer, void (*room)(void *arg),
		      void *arg);

/** No callback of answer_may_write() comes after this returned. */
void answer_forget_writer(struct answer *answer);

bool answer_is_started(struct answer *answer);
bool answer_is_finished(struct answer *answer);

/** @return whether a new reader can still have it from the start */
bool answer_is_kept(struct answer *answer);

size_t answer_size(struct answer *answer);

void answer_attach(struct answer *answer, struct answer_reader *reader);

/** Takes the reader off whatever answer it reads now. */
void answer_detach(struct answer_reader *reader);

/** Moves the readers of an answer that has not started to another. */
void answer_join(struct answer *from, struct answer *to);

/** @return whether the head is there; else the reader was parked */
bool answer_read_head(struct answer_reader *reader, struct answer_head *head);

enum answer_read_result answer_read(struct answer_reader *reader, char *bytes,
				    size_t capacity, size_t *size);

/** Wakes a parked reader without there being anything to read. */
void answer_kick(struct answer_reader *reader);

/** @return whether the reader waits for the writer */
bool answer_reader_is_parked(struct answer_reader *reader);

#endif
