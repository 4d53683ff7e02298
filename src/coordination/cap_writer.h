/**
 * @file cap_writer.h
 * Reads what the host's previous process recorded of its spending caps, and
 * writes the record of this process over it, in a key of the host alone.
 *
 * A write whose outcome is unknown is sent again unchanged until the key shows
 * the outcome, so there is at most one that may still take effect.
 */
#ifndef COORDINATION_CAP_WRITER_H
#define COORDINATION_CAP_WRITER_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "state/cap_record.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/store.h"

/** Keys are named by this and the host's name. */
#define CAP_WRITER_PREFIX "tgw/caps/"
#define CAP_WRITER_KEY_SIZE (sizeof(CAP_WRITER_PREFIX) + TGW_NAME_SIZE)

enum cap_writer_state {
	CAP_WRITER_UNREAD, /**< the previous record is not known yet */
	CAP_WRITER_IDLE,
	CAP_WRITER_CALLING, /**< a store call is open */
	CAP_WRITER_WAITING, /**< the open write's outcome is unknown */
};

struct cap_writer_events {
	/** The record of the previous process is known. */
	void (*read)(void *arg);
	/** The open write ended. */
	void (*ended)(void *arg, bool took_effect);
	/** A store call failed, or the previous record can't be read.
	 * @param call "read" or "write" */
	void (*failed)(void *arg, const char *call, enum tgw_status status,
		       const char *message);
	void *arg;
};

struct cap_writer {
	char key[CAP_WRITER_KEY_SIZE];
	struct tgw_store *store;
	const struct tgw_clock *clock;
	struct cap_writer_events events;
	enum cap_writer_state state;
	bool known;		    /**< the previous record */
	bool open;		    /**< a write without a known outcome */
	struct cap_record previous; /**< of the previous process */
	uint64_t open_host_id;	    /**< with the time, names the open write */
	int64_t open_written_us;
	struct buffer open_bytes;
	int64_t version;   /**< that the open write expects */
	int64_t called_us; /**< when the last call began */
	int64_t due_us;	   /**< of the next attempt after a failure */
	int64_t backoff_us;
};

void cap_writer_init(struct cap_writer *writer, const char *host,
		     struct tgw_store *store, const struct tgw_clock *clock,
		     const struct cap_writer_events *events);
void cap_writer_clear(struct cap_writer *writer);

/** @return whether a record can be written now */
bool cap_writer_is_idle(const struct cap_writer *writer);

/** Writes a record; the writer has to be idle. Its time has to be later than
 * that of the record before. */
void cap_writer_write(struct cap_writer *writer,
		      const struct cap_record *record);

/** Ends the backoff after a failed call. */
void cap_writer_retry(struct cap_writer *writer);

/** Makes the store call that is due. */
void cap_writer_tick(struct cap_writer *writer);

#endif
