#include "protocol/etcd_json.h"

#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define NUMBER_TEXT_SIZE 24

static json_t *encode_base64(const void *data, size_t size)
{
	size_t capacity =
		sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL);
	char *text = xmalloc(capacity);
	json_t *value;

	sodium_bin2base64(text, capacity, data, size,
			  sodium_base64_VARIANT_ORIGINAL);
	value = json_string(text);
	free(text);
	return value;
}

/* Encodes the first key that sorts after all keys with the prefix. */
static json_t *encode_range_end(const char *prefix)
{
	size_t size = strlen(prefix);
	char *end = xstrdup(prefix);
	json_t *value;

	while (size > 0 && (unsigned char)end[size - 1] == 0xff)
		size--;
	if (size)
		end[size - 1]++;
	value = encode_base64(end, size);
	free(end);
	return value;
}

static char *dump_and_release(json_t *object)
{
	char *text = json_dumps(object, JSON_COMPACT);

	json_decref(object);
	if (!text)
		abort();
	return text;
}

static json_t *key_object(const char *key)
{
	json_t *object = json_object();

	json_object_set_new(object, "key", encode_base64(key, strlen(key)));
	return object;
}

char *etcd_json_range(const char *key, bool is_prefix)
{
	json_t *object = key_object(key);

	if (is_prefix)
		json_object_set_new(object, "range_end", encode_range_end(key));
	return dump_and_release(object);
}

static json_t *array_with(json_t *item)
{
	json_t *array = json_array();

	json_array_append_new(array, item);
	return array;
}

static json_t *object_with(const char *name, json_t *value)
{
	json_t *object = json_object();

	json_object_set_new(object, name, value);
	return object;
}

char *etcd_json_swap(const char *key, int64_t expected_version,
		     const void *value, size_t value_size)
{
	char number[NUMBER_TEXT_SIZE];
	json_t *object = json_object();
	json_t *compare = key_object(key);
	json_t *write = key_object(key);

	snprintf(number, sizeof(number), "%" PRId64, expected_version);
	json_object_set_new(compare, "target", json_string("MOD"));
	json_object_set_new(compare, "result", json_string("EQUAL"));
	json_object_set_new(compare, "mod_revision", json_string(number));
	json_object_set_new(object, "compare", array_with(compare));
	if (value) {
		json_object_set_new(write, "value",
				    encode_base64(value, value_size));
		write = object_with("request_put", write);
	} else {
		write = object_with("request_delete_range", write);
	}
	json_object_set_new(object, "success", array_with(write));
	json_object_set_new(
		object, "failure",
		array_with(object_with("request_range", key_object(key))));
	return dump_and_release(object);
}

char *etcd_json_watch(const char *prefix)
{
	json_t *create = key_object(prefix);

	json_object_set_new(create, "range_end", encode_range_end(prefix));
	return dump_and_release(object_with("create_request", create));
}

int64_t etcd_json_number(const json_t *value)
{
	if (json_is_integer(value))
		return json_integer_value(value);
	if (json_is_string(value))
		return strtoll(json_string_value(value), NULL, 10);
	return 0;
}

/* Decodes into new memory, with a terminator after the bytes.
 * @return NULL when the text is not Base64 */
static uint8_t *decode_base64(const json_t *text, size_t *size)
{
	size_t length = json_string_length(text);
	uint8_t *bytes = xmalloc(length + 1);

	if (sodium_base642bin(bytes, length + 1, json_string_value(text),
			      length, NULL, size, NULL,
			      sodium_base64_VARIANT_ORIGINAL)) {
		free(bytes);
		return NULL;
	}
	bytes[*size] = '\0';
	return bytes;
}

static struct tgw_store_entry *add_entry(struct etcd_entries *entries)
{
	struct tgw_store_entry *entry;

	entries->entries =
		xrealloc(entries->entries,
			 (entries->count + 1) * sizeof(entries->entries[0]));
	entry = &entries->entries[entries->count++];
	memset(entry, 0, sizeof(*entry));
	return entry;
}

static bool read_kv(const json_t *kv, bool deleted,
		    struct etcd_entries *entries)
{
	const json_t *key = json_object_get(kv, "key");
	const json_t *value = json_object_get(kv, "value");
	struct tgw_store_entry *entry;
	size_t key_size = 0;
	char *name;

	if (!json_is_string(key))
		return false;
	name = (char *)decode_base64(key, &key_size);
	if (!name)
		return false;
	/* Cut at its null byte, it would stand for another key. */
	if (strlen(name) != key_size) {
		free(name);
		return true;
	}
	entry = add_entry(entries);
	entry->key = name;
	if (deleted)
		return true;
	entry->version = etcd_json_number(json_object_get(kv, "mod_revision"));
	/* The mapping leaves out empty values. */
	if (!json_is_string(value))
		entry->value = (uint8_t *)xstrdup("");
	else
		entry->value = decode_base64(value, &entry->value_size);
	return entry->value != NULL && entry->version > 0;
}

bool etcd_json_read_kvs(const json_t *kvs, struct etcd_entries *entries)
{
	size_t index;
	json_t *kv;

	json_array_foreach(kvs, index,
			   kv) if (!read_kv(kv, false, entries)) return false;
	return true;
}

bool etcd_json_read_event(const json_t *event, struct etcd_entries *entries)
{
	const char *type = json_string_value(json_object_get(event, "type"));
	bool deleted = type && !strcmp(type, "DELETE");

	return read_kv(json_object_get(event, "kv"), deleted, entries);
}

void etcd_entries_add_key(struct etcd_entries *entries, const char *key,
			  int64_t version)
{
	struct tgw_store_entry *entry = add_entry(entries);

	entry->key = xstrdup(key);
	entry->version = version;
}

void etcd_entries_free(struct etcd_entries *entries)
{
	for (size_t i = 0; i < entries->count; i++) {
		free((char *)entries->entries[i].key);
		free((uint8_t *)entries->entries[i].value);
	}
	free(entries->entries);
	memset(entries, 0, sizeof(*entries));
}
