/**
 * @file cap_record.h
 * The spending caps of one process, as it records them in a key of its host.
 */
#ifndef STATE_CAP_RECORD_H
#define STATE_CAP_RECORD_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "state/spending_cap.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/status.h"

#define CAP_RECORD_FORMAT_VERSION 1

/** Value of cap_record.boot if the boot is not known. */
#define CAP_RECORD_BOOT_UNKNOWN 0

struct cap_record_entry {
	char team[TGW_NAME_SIZE];
	struct spending_cap cap;
};

struct cap_record {
	/** Of the process in the budget pools. */
	uint64_t host_id;
	/** Differs between the boots of a host, whose clocks can't be
	 * compared. */
	uint32_t boot;
	/** Of all caps, in whole milliseconds. */
	int64_t written_us;
	int64_t period_us;
	size_t entry_count;
	struct cap_record_entry *entries;
};

void cap_record_clear(struct cap_record *record);

/** Adds a cap with the record's times. */
void cap_record_add(struct cap_record *record, const char *team,
		    const struct spending_cap *cap);

/** @return the team's cap, or NULL */
const struct spending_cap *cap_record_find(const struct cap_record *record,
					   const char *team);

/** Appends the encoded record: a MessagePack array of the format version, the
 * packed record and a checksum over it. */
void cap_record_encode(const struct cap_record *record, struct buffer *bytes);

/**
 * @param record is overwritten; empty for a value of size 0
 * @return OK; CORRUPT or NEWER_FORMAT with the record empty
 */
enum tgw_status cap_record_decode(struct cap_record *record, const void *bytes,
				  size_t size, struct tgw_error *error);

#endif
