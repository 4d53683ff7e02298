#include "state/mirror_table.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "base/packed.h"
#include "base/xalloc.h"
#include "state/msgpack_field.h"
#include "state/wire_reader.h"

#define MIN_CAPACITY 16
#define CHANGES_FORMAT 1
#define CHANGES_FIELDS 4
#define ENTRY_FIELDS 4
#define KEY_SIZE 256
/* Changes that are larger are compressed; others fit into one message. */
#define PLAIN_MAX_BYTES 1100
/* Maximum number of deleted keys that are remembered. */
#define DELETED_MAX 1000
/* Value of the first field if the changes are all keys. */
#define AFTER_ALL INT64_C(0)

static void clear_entry(struct mirror_entry *entry)
{
	free(entry->key);
	free(entry->value);
}

void mirror_table_clear(struct mirror_table *table)
{
	for (size_t i = 0; i < table->count; i++)
		clear_entry(&table->entries[i]);
	free(table->entries);
	memset(table, 0, sizeof(*table));
}

/* @return the index of the first entry whose key is not less */
static size_t lower_bound(const struct mirror_table *table, const char *key)
{
	size_t low = 0;
	size_t high = table->count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;

		if (strcmp(table->entries[middle].key, key) < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return low;
}

static struct mirror_entry *find(const struct mirror_table *table,
				 const char *key)
{
	size_t at = lower_bound(table, key);

	if (at == table->count || strcmp(table->entries[at].key, key))
		return NULL;
	return &table->entries[at];
}

static struct mirror_entry *obtain(struct mirror_table *table, const char *key)
{
	size_t at = lower_bound(table, key);
	struct mirror_entry *entry = find(table, key);

	if (entry)
		return entry;
	if (table->count == table->capacity) {
		table->capacity = 2 * table->capacity + MIN_CAPACITY;
		table->entries = xrealloc(table->entries,
					  table->capacity * sizeof(*entry));
	}
	entry = &table->entries[at];
	memmove(entry + 1, entry, (table->count - at) * sizeof(*entry));
	table->count++;
	memset(entry, 0, sizeof(*entry));
	entry->key = xstrdup(key);
	return entry;
}

static void set_value(struct mirror_entry *entry, const uint8_t *value,
		      size_t size)
{
	free(entry->value);
	entry->value = value ? xmemdup(value, size) : NULL;
	entry->value_size = value ? size : 0;
}

static void set_version(struct mirror_table *table, struct mirror_entry *entry,
			int64_t version)
{
	entry->version = version;
	entry->dated = true;
	if (table->changed_revision < version)
		table->changed_revision = version;
}

bool mirror_table_apply(struct mirror_table *table,
			const struct tgw_store_entry *found)
{
	int64_t version = found->value ? found->version
				       : found->deleted_version;
	struct mirror_entry *entry = obtain(table, found->key);

	if (version && version <= entry->version && entry->dated)
		return false;
	set_value(entry, found->value, found->value_size);
	if (version)
		set_version(table, entry, version);
	else
		entry->dated = false;
	return true;
}

/* Drops the deleted keys; what was deleted up to now is then unknown to others
 * that ask for it. */
static void drop_deleted(struct mirror_table *table)
{
	size_t kept = 0;

	for (size_t i = 0; i < table->count; i++) {
		if (table->entries[i].value)
			table->entries[kept++] = table->entries[i];
		else
			clear_entry(&table->entries[i]);
	}
	table->count = kept;
	table->base_revision = table->revision;
}

void mirror_table_confirm(struct mirror_table *table, int64_t revision)
{
	size_t deleted = 0;

	if (table->revision < revision)
		table->revision = revision;
	for (size_t i = 0; i < table->count; i++) {
		struct mirror_entry *entry = &table->entries[i];

		deleted += !entry->value;
		if (!entry->dated)
			set_version(table, entry, table->revision);
	}
	if (deleted > DELETED_MAX)
		drop_deleted(table);
}

void mirror_table_replace(struct mirror_table *table,
			  const struct tgw_store_entry *entries, size_t count,
			  int64_t revision)
{
	mirror_table_clear(table);
	for (size_t i = 0; i < count; i++)
		mirror_table_apply(table, &entries[i]);
	table->revision = revision;
	table->base_revision = revision;
	table->changed_revision = revision;
}

static bool is_sent(const struct mirror_entry *entry, int64_t after_revision)
{
	return entry->version > after_revision &&
	       (entry->value || after_revision);
}

static void encode_entry(msgpack_packer *packer,
			 const struct mirror_entry *entry)
{
	static const uint8_t none[1];

	msgpack_pack_array(packer, ENTRY_FIELDS);
	msgpack_field_pack_text(packer, entry->key);
	msgpack_pack_int64(packer, entry->version);
	msgpack_pack_int64(packer, entry->value != NULL);
	msgpack_field_pack_bytes(packer, entry->value ? entry->value : none,
				 entry->value_size);
}

static void encode_changes(const struct mirror_table *table,
			   int64_t after_revision, struct buffer *bytes)
{
	msgpack_packer packer;
	size_t count = 0;

	if (after_revision < table->base_revision)
		after_revision = AFTER_ALL;
	for (size_t i = 0; i < table->count; i++)
		count += is_sent(&table->entries[i], after_revision);
	msgpack_packer_init(&packer, bytes, msgpack_field_write);
	msgpack_pack_array(&packer, CHANGES_FIELDS);
	msgpack_pack_int64(&packer, CHANGES_FORMAT);
	msgpack_pack_int64(&packer, after_revision);
	msgpack_pack_int64(&packer, table->revision);
	msgpack_pack_array(&packer, count);
	for (size_t i = 0; i < table->count; i++)
		if (is_sent(&table->entries[i], after_revision))
			encode_entry(&packer, &table->entries[i]);
}

bool mirror_table_encode(const struct mirror_table *table,
			 int64_t after_revision, struct buffer *bytes)
{
	struct buffer plain = {0};
	bool fits;

	encode_changes(table, after_revision, &plain);
	fits = plain.size <= MIRROR_CHANGES_MAX_BYTES;
	if (plain.size <= PLAIN_MAX_BYTES)
		buffer_add(bytes, plain.data, plain.size);
	else if (fits)
		packed_add(bytes, plain.data, plain.size);
	buffer_free(&plain);
	return fits;
}

/* Encoded changes. */
struct changes {
	int64_t after_revision;
	int64_t revision;
	struct wire_reader entries;
};

static bool read_entry(struct wire_reader *entries, char *key,
		       struct tgw_store_entry *entry)
{
	struct wire_reader reader = wire_reader_array(entries);
	bool has_value;

	wire_reader_text(&reader, key, KEY_SIZE);
	entry->key = key;
	entry->version = wire_reader_i64(&reader);
	has_value = wire_reader_i64(&reader) != 0;
	entry->value = wire_reader_bytes(&reader, &entry->value_size);
	if (!has_value)
		entry->value = NULL;
	return !entries->failed && !reader.failed && !reader.left && *key &&
	       entry->version > 0;
}

static bool read_changes(const msgpack_object *object, struct changes *changes)
{
	struct wire_reader reader = wire_reader_of(object);
	struct wire_reader check;
	int64_t format = wire_reader_i64(&reader);

	changes->after_revision = wire_reader_i64(&reader);
	changes->revision = wire_reader_i64(&reader);
	changes->entries = wire_reader_array(&reader);
	if (reader.failed || reader.left || changes->entries.failed ||
	    format != CHANGES_FORMAT || changes->after_revision < 0 ||
	    changes->revision < changes->after_revision)
		return false;
	check = changes->entries;
	while (check.left) {
		struct tgw_store_entry entry;
		char key[KEY_SIZE];

		if (!read_entry(&check, key, &entry))
			return false;
	}
	return true;
}

/* A key that is missing was deleted if the table once held all keys of that
 * time; a late message must not bring it back.
 * @param is_whole the change is one of all keys
 * @return whether the change is news */
static bool apply_change(struct mirror_table *table,
			 const struct tgw_store_entry *change, bool is_whole)
{
	struct mirror_entry *entry = find(table, change->key);
	bool is_news;

	if (!entry && !is_whole && change->version <= table->base_revision)
		return false;
	entry = obtain(table, change->key);
	if (entry->dated && change->version <= entry->version)
		return false;
	is_news = entry->value || change->value;
	set_value(entry, change->value, change->value_size);
	set_version(table, entry, change->version);
	return is_news;
}

static void report(const struct mirror_listener *listener, const char *key,
		   const struct mirror_entry *entry)
{
	struct tgw_store_entry change = {
		.key = key,
		.value = entry->value,
		.value_size = entry->value_size,
		.version = entry->value ? entry->version : TGW_STORE_ABSENT,
	};

	listener->changed(listener->arg, &change);
}

static void mark_listed(struct mirror_table *table,
			const struct changes *changes)
{
	struct wire_reader entries = changes->entries;

	for (size_t i = 0; i < table->count; i++)
		table->entries[i].is_listed = false;
	while (entries.left) {
		struct tgw_store_entry entry;
		char key[KEY_SIZE];

		read_entry(&entries, key, &entry);
		obtain(table, key)->is_listed = true;
	}
}

/* Keys that all keys do not include were deleted since, unless they are newer
 * than those. */
static void delete_missing(struct mirror_table *table,
			   const struct changes *changes,
			   const struct mirror_listener *listener)
{
	mark_listed(table, changes);
	for (size_t i = 0; i < table->count; i++) {
		struct mirror_entry *entry = &table->entries[i];

		if (!entry->value || entry->version > changes->revision ||
		    entry->is_listed)
			continue;
		set_value(entry, NULL, 0);
		set_version(table, entry, changes->revision);
		report(listener, entry->key, entry);
	}
}

static void apply_changes(struct mirror_table *table, struct changes *changes,
			  const struct mirror_listener *listener)
{
	struct wire_reader entries = changes->entries;
	bool is_whole = changes->after_revision == AFTER_ALL;

	while (entries.left) {
		struct tgw_store_entry change;
		char key[KEY_SIZE];

		read_entry(&entries, key, &change);
		if (apply_change(table, &change, is_whole))
			report(listener, key, obtain(table, key));
	}
	if (is_whole) {
		delete_missing(table, changes, listener);
		table->base_revision = changes->revision;
	}
	mirror_table_confirm(table, changes->revision);
}

static enum tgw_status decode_plain(struct mirror_table *table,
				    const void *bytes, size_t size,
				    const struct mirror_listener *listener)
{
	enum tgw_status status = TGW_CORRUPT;
	struct changes changes;
	msgpack_unpacked unpacked;

	if (!msgpack_guard_unpack(&unpacked, bytes, size) ||
	    !read_changes(&unpacked.data, &changes))
		goto out;
	status = TGW_CONFLICT;
	if (changes.after_revision != AFTER_ALL &&
	    changes.after_revision > table->revision)
		goto out;
	status = TGW_OK;
	/* Keys that were all read before the table's state tell nothing. */
	if (changes.after_revision != AFTER_ALL ||
	    changes.revision >= table->revision)
		apply_changes(table, &changes, listener);
out:
	msgpack_unpacked_destroy(&unpacked);
	return status;
}

enum tgw_status mirror_table_decode(struct mirror_table *table,
				    const void *bytes, size_t size,
				    const struct mirror_listener *listener)
{
	enum tgw_status status = TGW_CORRUPT;
	struct buffer plain = {0};

	if (!packed_is(bytes, size))
		return decode_plain(table, bytes, size, listener);
	if (packed_read(bytes, size, MIRROR_CHANGES_MAX_BYTES, &plain))
		status = decode_plain(table, plain.data, plain.size, listener);
	buffer_free(&plain);
	return status;
}
