#include "standins/platform/host_list.h"

#include <string.h>

#include "base/xalloc.h"

struct host_list {
	int64_t lag_us;
	json_t *shown;	 /* {"hosts":[...],"servers":[...]} */
	json_t *pending; /* array of [due time, change], in order */
};

struct host_list *host_list_new(int64_t lag_us)
{
	struct host_list *list = xcalloc(1, sizeof(*list));

	list->lag_us = lag_us;
	list->shown = json_pack("{s:[], s:[]}", "hosts", "servers");
	list->pending = json_array();
	return list;
}

static json_int_t find(const json_t *entries, const char *name)
{
	size_t i;
	json_t *entry;

	json_array_foreach(entries, i, entry)
	{
		const char *found =
			json_string_value(json_object_get(entry, "name"));

		if (found && name && !strcmp(found, name))
			return (json_int_t)i;
	}
	return -1;
}

static void add(json_t *entries, json_t *entry)
{
	const char *name = json_string_value(json_object_get(entry, "name"));
	json_int_t index = find(entries, name);

	if (index >= 0) {
		json_object_update(json_array_get(entries, (size_t)index),
				   entry);
		return;
	}
	if (!json_object_get(entry, "leaving"))
		json_object_set_new(entry, "leaving", json_false());
	json_array_append(entries, entry);
}

static void apply_to(json_t *entries, const json_t *change, const char *section)
{
	size_t i;
	json_t *item;

	json_array_foreach(json_object_get(json_object_get(change, "register"),
					   section),
			   i, item) add(entries, item);
	json_array_foreach(
		json_object_get(json_object_get(change, "unregister"), section),
		i, item)
	{
		json_int_t index = find(entries, json_string_value(item));

		if (index >= 0)
			json_array_remove(entries, (size_t)index);
	}
}

void host_list_change(struct host_list *list, json_t *change, int64_t now_us)
{
	json_array_append_new(
		list->pending,
		json_pack("[I, O]", (json_int_t)now_us + list->lag_us, change));
}

json_t *host_list_show(struct host_list *list, int64_t now_us)
{
	while (json_array_size(list->pending)) {
		json_t *first = json_array_get(list->pending, 0);
		json_t *change = json_array_get(first, 1);

		if (json_integer_value(json_array_get(first, 0)) > now_us)
			break;
		apply_to(json_object_get(list->shown, "hosts"), change,
			 "hosts");
		apply_to(json_object_get(list->shown, "servers"), change,
			 "servers");
		json_array_remove(list->pending, 0);
	}
	return json_deep_copy(list->shown);
}
