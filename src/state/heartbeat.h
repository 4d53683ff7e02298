/**
 * @file heartbeat.h
 * The message by which a host reports that it is alive, and the newest beats
 * that it knows of the other hosts of its failure domain.
 */
#ifndef STATE_HEARTBEAT_H
#define STATE_HEARTBEAT_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/status.h"

#define HEARTBEAT_ENTRIES_MAX 96

/** Beat counters are compared as serial numbers of this many bits, which wrap
 * around. */
#define HEARTBEAT_BEAT_BITS 22
#define HEARTBEAT_BEAT_MASK ((UINT32_C(1) << HEARTBEAT_BEAT_BITS) - 1)

/** The newest beat of another host that the sender knows. */
struct heartbeat_entry {
	uint32_t name_hash;
	uint32_t beat;
	uint8_t incarnation_tag; /**< low bits of the incarnation */
	bool leaving;
	bool receives_nothing;
};

struct heartbeat {
	uint32_t beat;
	bool leaving;
	bool receives_nothing; /**< no messages from other hosts arrive */
	bool requests_reply;   /**< the receiver replies with a heartbeat */
	uint64_t config_generation;
	/** Highest generation known to be in force, and at which host. */
	uint64_t newest_generation;
	uint32_t newest_name_hash;
	size_t entry_count;
	struct heartbeat_entry entries[HEARTBEAT_ENTRIES_MAX];
};

uint32_t heartbeat_name_hash(const char *name);

uint8_t heartbeat_incarnation_tag(uint64_t incarnation);

/** Whether a beat is later than another of the same incarnation. */
bool heartbeat_is_newer(uint32_t beat, uint32_t than);

void heartbeat_encode(const struct heartbeat *heartbeat,
		      msgpack_sbuffer *payload);

enum tgw_status heartbeat_decode(struct heartbeat *heartbeat,
				 const void *payload, size_t payload_size,
				 struct tgw_error *error);

#endif
