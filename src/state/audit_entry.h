/**
 * @file audit_entry.h
 * One operator's change in the audit trail, chained by hash to the entry before
 * it in the same stored value.
 */
#ifndef STATE_AUDIT_ENTRY_H
#define STATE_AUDIT_ENTRY_H

#include <msgpack.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"
#include "tamarackgw/status.h"

#define AUDIT_TEXT_SIZE 256
#define AUDIT_HASH_BYTES 32

struct audit_entry {
	uint64_t sequence; /**< 1 for the first of its chain */
	int64_t wall_us;
	char who[TGW_NAME_SIZE];
	char from[TGW_NAME_SIZE];   /**< USER@HOST that ran the tool */
	char action[TGW_NAME_SIZE]; /**< such as "budget.top-up" */
	char object[TGW_NAME_SIZE];
	char before[AUDIT_TEXT_SIZE];
	char after[AUDIT_TEXT_SIZE];
	char reason[AUDIT_TEXT_SIZE];
	/** Digest of the whole change; zeros when before and after hold all of
	 * it. */
	uint8_t change_digest[AUDIT_HASH_BYTES];
	uint8_t previous_hash[AUDIT_HASH_BYTES];
	uint8_t hash[AUDIT_HASH_BYTES]; /**< over all of the above */
};

/** Sets the sequence and the hashes.
 * @param previous NULL for the first entry */
void audit_entry_chain(struct audit_entry *entry,
		       const struct audit_entry *previous);

/** Checks the entry's hash and, unless previous is NULL, the link to it. */
enum tgw_status audit_entry_verify(const struct audit_entry *entry,
				   const struct audit_entry *previous,
				   struct tgw_error *error);

void audit_entry_pack(const struct audit_entry *entry, msgpack_packer *packer);

enum tgw_status audit_entry_unpack(struct audit_entry *entry,
				   const msgpack_object *object,
				   struct tgw_error *error);

#endif
