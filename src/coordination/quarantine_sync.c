#include "coordination/quarantine_sync.h"

#include <string.h>

#define READ_INTERVAL_US (INT64_C(5) * TGW_US_PER_S)
#define RETRY_US TGW_US_PER_S

static int64_t now_of(const struct quarantine_sync *sync)
{
	return tgw_clock_monotonic_us(sync->clock);
}

void quarantine_sync_init(struct quarantine_sync *sync,
			  const struct tgw_quarantine_env *env,
			  struct quarantine_table *table,
			  struct tgw_quarantine_counters *counters)
{
	memset(sync, 0, sizeof(*sync));
	sync->clock = env->clock;
	sync->store = env->store;
	sync->table = table;
	sync->counters = counters;
	sync->next_read_us = now_of(sync);
	sync->version = -1;
}

void quarantine_sync_clear(struct quarantine_sync *sync)
{
	buffer_free(&sync->audit);
}

static void apply_entry(struct quarantine_sync *sync,
			const struct tgw_store_entry *entry)
{
	bool changed = false;

	if (!entry->value) {
		sync->version = TGW_STORE_ABSENT;
		buffer_clear(&sync->audit);
		return;
	}
	/* A value that does not decode is not overwritten; operators have to
	 * repair it. */
	if (quarantine_value_merge(sync->table, &sync->audit, entry->value,
				   entry->value_size, now_of(sync), &changed,
				   NULL))
		sync->version = -1;
	else
		sync->version = entry->version;
	if (changed)
		sync->changed = true;
}

static void on_read(void *arg, const struct tgw_store_result *result)
{
	struct quarantine_sync *sync = arg;

	sync->busy = false;
	if (result->status == TGW_OK && result->entry_count == 1)
		apply_entry(sync, &result->entries[0]);
	else
		sync->next_read_us = now_of(sync) + RETRY_US;
}

static void read_value(struct quarantine_sync *sync)
{
	struct tgw_store_callback callback = {.done = on_read, .arg = sync};

	sync->busy = true;
	sync->next_read_us = now_of(sync) + READ_INTERVAL_US;
	sync->counters->store_reads++;
	tgw_store_get(sync->store, QUARANTINE_STORE_KEY, callback);
}

static void on_written(void *arg, const struct tgw_store_result *result)
{
	struct quarantine_sync *sync = arg;

	sync->busy = false;
	if (result->status == TGW_OK && result->entry_count == 1) {
		sync->version = result->entries[0].version;
		return;
	}
	sync->dirty = true;
	if (result->status == TGW_CONFLICT && result->entry_count == 1)
		apply_entry(sync, &result->entries[0]);
	else
		sync->version = -1;
}

static void write_value(struct quarantine_sync *sync)
{
	struct tgw_store_callback callback = {.done = on_written, .arg = sync};
	struct buffer value = {0};

	quarantine_value_pack(sync->table, &sync->audit, &value);
	sync->busy = true;
	sync->dirty = false;
	sync->counters->store_writes++;
	tgw_store_swap(sync->store, QUARANTINE_STORE_KEY, sync->version,
		       value.data, value.size, callback);
	buffer_free(&value);
}

void quarantine_sync_tick(struct quarantine_sync *sync, bool is_representative)
{
	int64_t now_us = now_of(sync);
	bool is_version_unknown = sync->version < 0;

	if (sync->busy)
		return;
	if ((is_representative || is_version_unknown) &&
	    now_us >= sync->next_read_us)
		read_value(sync);
	else if (is_representative && sync->dirty && !is_version_unknown)
		write_value(sync);
}
