/**
 * @file config_change.h
 * The objects that one operator's change adds, replaces or removes, and the
 * delta that combines them with the audit entry of the change.
 */
#ifndef STATE_CONFIG_CHANGE_H
#define STATE_CONFIG_CHANGE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/audit_entry.h"
#include "state/config_set.h"

/** Packed fields of an object; data is NULL when the object does not exist. */
struct config_body {
	uint8_t *data;
	size_t size;
};

/** One object before and after the change. */
struct config_change {
	enum config_kind kind;
	char name[TGW_NAME_SIZE];
	struct config_body before;
	struct config_body after;
};

struct config_change_list {
	size_t count;
	struct config_change *changes;
};

/** The change that leads from one generation to the next. */
struct config_delta {
	uint64_t generation; /**< that the change leads to */
	struct audit_entry audit;
	/** Number of stored values that hold the changes when they are too
	 * large for the manifest; the packed list is then empty. 0: the
	 * list holds the changes. */
	uint32_t part_count;
	struct config_change_list list;
};

/** Adds a change. @param before NULL for a new object
 * @param after NULL for a removal */
void config_change_list_add(struct config_change_list *list,
			    const struct config_object *before,
			    const struct config_object *after);

void config_change_list_clear(struct config_change_list *list);

void config_change_list_pack(const struct config_change_list *list,
			     msgpack_packer *packer);

/** Unpacks a list and appends its changes. */
enum tgw_status config_change_list_unpack(struct config_change_list *list,
					  const msgpack_object *object,
					  struct tgw_error *error);

/** Digest of a packed list, for the audit entry. */
void config_change_list_digest(const struct config_change_list *list,
			       uint8_t digest[AUDIT_HASH_BYTES]);

/** Applies the changes to a set. After an error only some are applied. */
enum tgw_status config_change_list_apply(const struct config_change_list *list,
					 struct config_set *set,
					 struct tgw_error *error);

/** Reverts the changes. After an error only some are reverted. */
enum tgw_status config_change_list_undo(const struct config_change_list *list,
					struct config_set *set,
					struct tgw_error *error);

void config_delta_clear(struct config_delta *delta);

void config_delta_pack(const struct config_delta *delta,
		       msgpack_packer *packer);

/** Unpacks a delta, verifies its audit entry, and checks that the entry's
 * digest matches the changes, unless they are stored in parts. */
enum tgw_status config_delta_unpack(struct config_delta *delta,
				    const msgpack_object *object,
				    struct tgw_error *error);

#endif
