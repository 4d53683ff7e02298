/**
 * @file config_change.h
 * What one operator's change does to the objects, and the delta that
 * carries it together with its audit entry.
 */
#ifndef STATE_CONFIG_CHANGE_H
#define STATE_CONFIG_CHANGE_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/audit_entry.h"
#include "state/config_set.h"

/** Packed fields of an object; data is NULL when there is no object. */
struct config_body {
	uint8_t *data;
	size_t size;
};

/** One object before and after. */
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

/** One generation. */
struct config_delta {
	uint64_t generation;
	struct audit_entry audit;
	/** Above zero: the changes are too large, and are kept in parts. */
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

/** Adds the changes of a packed list. */
enum tgw_status config_change_list_unpack(struct config_change_list *list,
					  const msgpack_object *object,
					  struct tgw_error *error);

/** Digest of a packed list, for the audit entry. */
void config_change_list_digest(const struct config_change_list *list,
			       uint8_t digest[AUDIT_HASH_BYTES]);

/** Applies the changes to a set. On an error the set is half changed. */
enum tgw_status config_change_list_apply(const struct config_change_list *list,
					 struct config_set *set,
					 struct tgw_error *error);

/** Takes the changes back. On an error the set is half changed. */
enum tgw_status config_change_list_undo(const struct config_change_list *list,
					struct config_set *set,
					struct tgw_error *error);

void config_delta_clear(struct config_delta *delta);

void config_delta_pack(const struct config_delta *delta,
		       msgpack_packer *packer);

/** Unpacks, and checks the audit entry and that it covers the changes. */
enum tgw_status config_delta_unpack(struct config_delta *delta,
				    const msgpack_object *object,
				    struct tgw_error *error);

#endif
