#include "state/quarantine_table.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "state/msgpack_field.h"

/* Crashes of one server within this time are the same crash, reported by two
 * hosts. */
#define SAME_CRASH_US (INT64_C(5) * TGW_US_PER_S)
/* Exceeds the number of epochs that served attempts can have started without
 * the operator having seen them. */
#define LIFT_EPOCHS (UINT64_C(1) << 20)
/* An item about a part of a prompt has one field more. */
#define ITEM_FIELDS 4
#define PART_ITEM_FIELDS 5
#define CRASH_FIELDS 2

void quarantine_table_free(struct quarantine_table *table)
{
	free(table->items);
	memset(table, 0, sizeof(*table));
}

struct quarantine_item *quarantine_table_find(
	const struct quarantine_table *table,
	const struct tgw_fingerprint *fingerprint)
{
	for (size_t i = 0; i < table->count; i++)
		if (!memcmp(&table->items[i].fingerprint, fingerprint,
			    sizeof(*fingerprint)))
			return &table->items[i];
	return NULL;
}

/* Chooses the item with the fewest crashes, and among these the one that
 * changed longest ago. */
static struct quarantine_item *eviction_victim(struct quarantine_table *table)
{
	struct quarantine_item *victim = &table->items[0];

	for (size_t i = 1; i < table->count; i++) {
		struct quarantine_item *item = &table->items[i];

		if (item->crash_count < victim->crash_count ||
		    (item->crash_count == victim->crash_count &&
		     item->changed_us < victim->changed_us))
			victim = item;
	}
	return victim;
}

static struct quarantine_item *new_slot(struct quarantine_table *table)
{
	size_t max_count = table->max_count ? table->max_count
					    : QUARANTINE_ENTRIES_MAX;

	if (table->count >= max_count)
		return eviction_victim(table);
	if (table->count == table->capacity) {
		table->capacity = table->capacity * 2 + 16;
		table->items =
			xrealloc(table->items,
				 table->capacity * sizeof(table->items[0]));
	}
	return &table->items[table->count++];
}

struct quarantine_item *quarantine_table_find_or_add(
	struct quarantine_table *table,
	const struct tgw_fingerprint *fingerprint, int64_t now_us)
{
	struct quarantine_item *item =
		quarantine_table_find(table, fingerprint);

	if (item)
		return item;
	item = new_slot(table);
	memset(item, 0, sizeof(*item));
	item->fingerprint = *fingerprint;
	item->changed_us = now_us;
	return item;
}

static bool is_same_crash(const struct quarantine_crash *a,
			  const struct quarantine_crash *b,
			  bool servers_crash_once)
{
	int64_t difference_us = a->wall_us - b->wall_us;

	if (a->server_hash != b->server_hash)
		return false;
	return servers_crash_once || (difference_us < SAME_CRASH_US &&
				      difference_us > -SAME_CRASH_US);
}

/* Hosts that learn of crashes in another order have to drop the same ones. */
static bool is_older(const struct quarantine_crash *a,
		     const struct quarantine_crash *b)
{
	if (a->wall_us != b->wall_us)
		return a->wall_us < b->wall_us;
	return a->server_hash < b->server_hash;
}

static struct quarantine_crash *oldest_crash(struct quarantine_item *item)
{
	struct quarantine_crash *oldest = &item->crashes[0];

	for (size_t i = 1; i < item->crash_count; i++)
		if (is_older(&item->crashes[i], oldest))
			oldest = &item->crashes[i];
	return oldest;
}

bool quarantine_item_add_crash(struct quarantine_item *item,
			       const struct quarantine_crash *crash,
			       bool servers_crash_once)
{
	struct quarantine_crash *oldest;

	for (size_t i = 0; i < item->crash_count; i++)
		if (is_same_crash(&item->crashes[i], crash, servers_crash_once))
			return false;
	if (item->crash_count < QUARANTINE_CRASHES_MAX) {
		item->crashes[item->crash_count++] = *crash;
		return true;
	}
	oldest = oldest_crash(item);
	if (is_older(crash, oldest))
		return false;
	*oldest = *crash;
	return true;
}

void quarantine_item_remove_crash(struct quarantine_item *item, size_t index)
{
	item->crash_count--;
	memmove(&item->crashes[index], &item->crashes[index + 1],
		(item->crash_count - index) * sizeof(item->crashes[0]));
}

bool quarantine_item_is_refused(const struct quarantine_item *item,
				uint32_t crashes_until_refused)
{
	return item && item->crash_count >= crashes_until_refused;
}

void quarantine_item_clear(struct quarantine_item *item)
{
	item->crash_count = 0;
	item->epoch++;
}

void quarantine_item_lift(struct quarantine_item *item)
{
	item->crash_count = 0;
	item->epoch += LIFT_EPOCHS;
}

bool quarantine_table_merge(struct quarantine_table *table,
			    const struct quarantine_item *update,
			    int64_t now_us)
{
	struct quarantine_item *item;
	bool changed = false;
	bool was_refused;

	item = quarantine_table_find(table, &update->fingerprint);
	if (item && update->epoch < item->epoch)
		return false;
	if (!item || update->epoch > item->epoch) {
		item = quarantine_table_find_or_add(table, &update->fingerprint,
						    now_us);
		was_refused = item->is_refused;
		*item = *update;
		item->is_refused = was_refused;
		item->changed_us = now_us;
		return true;
	}
	for (size_t i = 0; i < update->crash_count; i++)
		if (quarantine_item_add_crash(item, &update->crashes[i],
					      table->servers_crash_once))
			changed = true;
	if (changed)
		item->changed_us = now_us;
	return changed;
}

void quarantine_table_expire(struct quarantine_table *table, int64_t before_us,
			     uint32_t crashes_until_refused)
{
	size_t kept = 0;

	for (size_t i = 0; i < table->count; i++) {
		const struct quarantine_item *item = &table->items[i];

		if (item->changed_us >= before_us ||
		    item->crash_count >= crashes_until_refused)
			table->items[kept++] = *item;
	}
	table->count = kept;
}

void quarantine_item_pack(const struct quarantine_item *item,
			  msgpack_packer *packer)
{
	msgpack_pack_array(packer,
			   *item->part ? PART_ITEM_FIELDS : ITEM_FIELDS);
	msgpack_field_pack_bytes(packer, item->fingerprint.bytes,
				 sizeof(item->fingerprint.bytes));
	msgpack_field_pack_text(packer, item->team);
	msgpack_pack_uint64(packer, item->epoch);
	msgpack_pack_array(packer, item->crash_count);
	for (size_t i = 0; i < item->crash_count; i++) {
		msgpack_pack_array(packer, CRASH_FIELDS);
		msgpack_pack_uint64(packer, item->crashes[i].server_hash);
		msgpack_pack_int64(packer, item->crashes[i].wall_us);
	}
	if (*item->part)
		msgpack_field_pack_text(packer, item->part);
}

static bool unpack_crash(struct quarantine_crash *crash,
			 const msgpack_object *object)
{
	const msgpack_object *fields =
		msgpack_field_array(object, CRASH_FIELDS);

	return fields && msgpack_field_u64(&fields[0], &crash->server_hash) &&
	       msgpack_field_i64(&fields[1], &crash->wall_us);
}

bool quarantine_item_unpack(struct quarantine_item *item,
			    const msgpack_object *object)
{
	const msgpack_object *fields = msgpack_field_array(object, ITEM_FIELDS);
	const msgpack_object *with_part =
		msgpack_field_array(object, PART_ITEM_FIELDS);
	const msgpack_object *crashes;

	memset(item, 0, sizeof(*item));
	if (with_part &&
	    !msgpack_field_text(&with_part[4], item->part, sizeof(item->part)))
		return false;
	if (with_part)
		fields = with_part;
	if (!fields ||
	    !msgpack_field_bytes(&fields[0], item->fingerprint.bytes,
				 sizeof(item->fingerprint.bytes)) ||
	    !msgpack_field_text(&fields[1], item->team, sizeof(item->team)) ||
	    !msgpack_field_u64(&fields[2], &item->epoch))
		return false;
	crashes = msgpack_field_array(&fields[3], 0);
	if (!crashes && fields[3].type != MSGPACK_OBJECT_ARRAY)
		return false;
	if (fields[3].via.array.size > QUARANTINE_CRASHES_MAX)
		return false;
	item->crash_count = fields[3].via.array.size;
	for (size_t i = 0; i < item->crash_count; i++)
		if (!unpack_crash(&item->crashes[i], &crashes[i]))
			return false;
	return true;
}
