/**
 * @file config_set.h
 * All objects of one generation, sorted by kind and name.
 */
#ifndef STATE_CONFIG_SET_H
#define STATE_CONFIG_SET_H

#include <stddef.h>

#include "state/config_object.h"

struct config_set {
	size_t count;
	size_t capacity;
	/** The set holds a reference to each object. */
	struct config_object **objects;
};

void config_set_clear(struct config_set *set);

/** Copies a set into an empty one. Both share the objects. */
void config_set_copy(struct config_set *copy, const struct config_set *set);

/** @return the object, or NULL */
struct config_object *config_set_find(const struct config_set *set,
				      enum config_kind kind, const char *name);

/** Adds an object, or replaces the one of the same kind and name. Takes
 * ownership of the caller's reference. */
void config_set_put(struct config_set *set, struct config_object *object);

/** @return false when there was no such object */
bool config_set_remove(struct config_set *set, enum config_kind kind,
		       const char *name);

/** Appends an object and takes ownership of the caller's reference. The set has
 * to be sorted with config_set_sort() before it is used. */
void config_set_append(struct config_set *set, struct config_object *object);

/** @return false when two objects have the same kind and name */
bool config_set_sort(struct config_set *set);

/** Removes all objects of a shard. */
void config_set_remove_shard(struct config_set *set, uint32_t shard);

#endif
