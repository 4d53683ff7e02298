#include "state/config_set.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define MIN_CAPACITY 64

void config_set_clear(struct config_set *set)
{
	for (size_t i = 0; i < set->count; i++)
		config_object_unref(set->objects[i]);
	free(set->objects);
	memset(set, 0, sizeof(*set));
}

void config_set_copy(struct config_set *copy, const struct config_set *set)
{
	copy->count = set->count;
	copy->capacity = set->count;
	copy->objects =
		xmemdup(set->objects, set->count * sizeof(set->objects[0]));
	for (size_t i = 0; i < copy->count; i++)
		config_object_ref(copy->objects[i]);
}

static size_t lower_bound(const struct config_set *set, enum config_kind kind,
			  const char *name)
{
	size_t low = 0;
	size_t high = set->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		const struct config_object *object = set->objects[middle];

		if (config_object_compare(object->kind, object->name, kind,
					  name) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static bool matches_at(const struct config_set *set, size_t pos,
		       enum config_kind kind, const char *name)
{
	return pos < set->count &&
	       config_object_compare(set->objects[pos]->kind,
				     set->objects[pos]->name, kind, name) == 0;
}

struct config_object *config_set_find(const struct config_set *set,
				      enum config_kind kind, const char *name)
{
	size_t pos = lower_bound(set, kind, name);

	return matches_at(set, pos, kind, name) ? set->objects[pos] : NULL;
}

static void ensure_capacity(struct config_set *set)
{
	if (set->count < set->capacity)
		return;
	set->capacity = set->capacity ? set->capacity * 2 : MIN_CAPACITY;
	set->objects =
		xrealloc(set->objects, set->capacity * sizeof(set->objects[0]));
}

void config_set_put(struct config_set *set, struct config_object *object)
{
	size_t pos = lower_bound(set, object->kind, object->name);

	if (matches_at(set, pos, object->kind, object->name)) {
		config_object_unref(set->objects[pos]);
		set->objects[pos] = object;
		return;
	}
	ensure_capacity(set);
	memmove(&set->objects[pos + 1], &set->objects[pos],
		(set->count - pos) * sizeof(set->objects[0]));
	set->objects[pos] = object;
	set->count++;
}

bool config_set_remove(struct config_set *set, enum config_kind kind,
		       const char *name)
{
	size_t pos = lower_bound(set, kind, name);

	if (!matches_at(set, pos, kind, name))
		return false;
	config_object_unref(set->objects[pos]);
	set->count--;
	memmove(&set->objects[pos], &set->objects[pos + 1],
		(set->count - pos) * sizeof(set->objects[0]));
	return true;
}

void config_set_append(struct config_set *set, struct config_object *object)
{
	ensure_capacity(set);
	set->objects[set->count++] = object;
}

static int compare_objects(const void *a, const void *b)
{
	const struct config_object *left = *(struct config_object *const *)a;
	const struct config_object *right = *(struct config_object *const *)b;

	return config_object_compare(left->kind, left->name, right->kind,
				     right->name);
}

bool config_set_sort(struct config_set *set)
{
	if (set->count > 1)
		qsort(set->objects, set->count, sizeof(set->objects[0]),
		      compare_objects);
	for (size_t i = 1; i < set->count; i++)
		if (!compare_objects(&set->objects[i - 1], &set->objects[i]))
			return false;
	return true;
}

void config_set_remove_shard(struct config_set *set, uint32_t shard)
{
	size_t kept = 0;

	for (size_t i = 0; i < set->count; i++) {
		if (set->objects[i]->shard == shard)
			config_object_unref(set->objects[i]);
		else
			set->objects[kept++] = set->objects[i];
	}
	set->count = kept;
}
