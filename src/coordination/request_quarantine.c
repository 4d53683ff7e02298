#include "coordination/request_quarantine.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/short_name.h"
#include "base/text.h"
#include "base/xalloc.h"
#include "coordination/quarantine_trials.h"
#include "coordination/stale_keys.h"
#include "state/crash_suspicion.h"

#define KEY_SIZE (sizeof(REQUEST_QUARANTINE_PREFIX) + TGW_NAME_SIZE)
/* Minimum time between two writes of the host's key. */
#define WRITE_INTERVAL_US (250 * TGW_US_PER_MS)
/* Pause before a failed write is made again. */
#define RETRY_US TGW_US_PER_S
/* How long the store may hold a watch call while nothing changes. Changes are
 * rare, and the calls of all hosts add up. A connection that has gone silent is
 * noticed only after it, so the keys are also read when a server is lost. */
#define WATCH_IDLE_US (20 * TGW_US_PER_S)
/* Time in which hosts write their records of a crash. */
#define SETTLE_US (500 * TGW_US_PER_MS)
/* Hosts that see the same event, as the return of the store, read the keys at
 * different times within this span. */
#define LIST_SPREAD_US TGW_US_PER_S
/* Minimum time between two reads of the keys because servers were lost, or
 * after a failure. The return of the store is told by its owner. */
#define LIST_INTERVAL_US (3 * TGW_US_PER_S)
#define CHECK_INTERVAL_US (500 * TGW_US_PER_MS)
#define TICK_US (100 * TGW_US_PER_MS)
#define VERSION_UNKNOWN INT64_C(-1)
struct request_quarantine {
	char own_key[KEY_SIZE];
	struct tgw_store *store;
	const struct tgw_clock *clock;
	struct request_quarantine_events events;
	struct request_quarantine_counters counters;
	struct crash_records records; /* its own report is the host's key */
	struct quarantine_trials *trials;
	struct stale_keys *stale_keys; /* of other hosts */
	uint64_t watch;
	bool listing;
	bool list_needed;
	int64_t list_due_us;
	int64_t list_delay_us; /* of this host, up to LIST_SPREAD_US */
	int64_t listed_us;     /* when the last list call was made */
	int64_t own_version;   /* of the host's key, as last read or written */
	bool writing;
	bool write_needed;
	int64_t write_due_us;
	int64_t check_due_us;
};

static int64_t now_of(const struct request_quarantine *quarantine)
{
	return tgw_clock_monotonic_us(quarantine->clock);
}

static struct crash_records_time time_of(
	const struct request_quarantine *quarantine)
{
	struct crash_records_time now = {
		.monotonic_us = now_of(quarantine),
		.wall_us = tgw_clock_wall_us(quarantine->clock),
	};

	return now;
}

uint32_t request_quarantine_crashes(const struct request_quarantine *quarantine,
				    const struct tgw_fingerprint *fingerprint)
{
	return crash_records_count(&quarantine->records, fingerprint,
				   now_of(quarantine));
}

bool request_quarantine_is_refused(struct request_quarantine *quarantine,
				   const struct request_identity *identity)
{
	const struct quarantine_item *cause;

	if (crash_records_refuse_whole(&quarantine->records, identity,
				       now_of(quarantine)))
		return true;
	cause = crash_suspicion_find_cause(&quarantine->records.all, identity,
					   now_of(quarantine));
	return cause && !quarantine_trials_may_run(quarantine->trials, cause);
}

const char *request_quarantine_refused_part(
	const struct request_quarantine *quarantine,
	const struct request_identity *identity)
{
	const struct quarantine_item *cause = crash_suspicion_find_cause(
		&quarantine->records.all, identity, now_of(quarantine));

	return cause ? cause->part : NULL;
}

void request_quarantine_list(const struct request_quarantine *quarantine,
			     void (*each)(void *arg,
					  const struct quarantine_item *item,
					  uint32_t incidents),
			     void *arg)
{
	const struct quarantine_table *table = &quarantine->records.all;

	for (size_t i = 0; i < table->count; i++) {
		const struct quarantine_item *item = &table->items[i];

		if (item->crash_count)
			each(arg, item,
			     *item->part ? crash_suspicion_incidents(
						   item, now_of(quarantine))
					 : 0);
	}
}

bool request_quarantine_is_suspected(
	const struct request_quarantine *quarantine,
	const struct request_identity *identity)
{
	return request_quarantine_crashes(quarantine, &identity->whole) ||
	       crash_suspicion_is_suspected(&quarantine->records.all, identity,
					    now_of(quarantine));
}

void request_quarantine_on_sent(struct request_quarantine *quarantine,
				const struct request_identity *identity)
{
	const struct quarantine_item *cause = crash_suspicion_find_cause(
		&quarantine->records.all, identity, now_of(quarantine));

	if (cause && quarantine_trials_on_sent(quarantine->trials, cause))
		quarantine->counters.trials++;
}

static bool is_own_key(const struct request_quarantine *quarantine,
		       const char *key)
{
	return !strcmp(key, quarantine->own_key);
}

static void tell_crashes(const struct request_quarantine *quarantine,
			 const struct quarantine_table *table)
{
	const struct request_quarantine_events *events = &quarantine->events;

	for (size_t i = 0; i < table->count; i++)
		for (size_t j = 0; j < table->items[i].crash_count; j++)
			events->crashed_elsewhere(
				events->arg,
				table->items[i].crashes[j].server_hash);
}

static void read_report(struct request_quarantine *quarantine,
			const struct tgw_store_entry *entry,
			const struct quarantine_report *report)
{
	struct crash_records_time now = time_of(quarantine);
	bool is_own = is_own_key(quarantine, entry->key);

	crash_records_merge(&quarantine->records, report, is_own, &now);
	if (!is_own && quarantine->events.crashed_elsewhere)
		tell_crashes(quarantine, &report->table);
}

/* If the key is not what this host wrote last, it is written again. */
static void on_own_version(struct request_quarantine *quarantine,
			   int64_t version)
{
	if (quarantine->writing)
		return;
	if (version != quarantine->own_version &&
	    quarantine->own_version != VERSION_UNKNOWN &&
	    quarantine->records.own.table.count)
		quarantine->write_needed = true;
	quarantine->own_version = version;
}

static void read_entry(struct request_quarantine *quarantine,
		       const struct tgw_store_entry *entry)
{
	struct quarantine_report report;
	struct tgw_error error = {0};

	if (is_own_key(quarantine, entry->key))
		on_own_version(quarantine, entry->version);
	else
		stale_keys_on_entry(quarantine->stale_keys, entry);
	if (!entry->value)
		return;
	if (quarantine_report_decode(&report, entry->value, entry->value_size,
				     &error) == TGW_OK)
		read_report(quarantine, entry, &report);
	else
		quarantine->events.failed(quarantine->events.arg, entry->key,
					  error.message);
	quarantine_table_free(&report.table);
}

static void on_changed(void *arg, const struct tgw_store_entry *entry)
{
	read_entry(arg, entry);
}

static void schedule_list(struct request_quarantine *quarantine,
			  int64_t earliest_us)
{
	quarantine->list_needed = true;
	quarantine->list_due_us = earliest_us + quarantine->list_delay_us;
}

static void on_list(void *arg, const struct tgw_store_result *result)
{
	struct request_quarantine *quarantine = arg;
	bool own_found = false;

	quarantine->listing = false;
	if (result->status != TGW_OK) {
		schedule_list(quarantine,
			      now_of(quarantine) + LIST_INTERVAL_US);
		return;
	}
	for (size_t i = 0; i < result->entry_count; i++) {
		read_entry(quarantine, &result->entries[i]);
		if (is_own_key(quarantine, result->entries[i].key))
			own_found = true;
	}
	if (!own_found)
		on_own_version(quarantine, TGW_STORE_ABSENT);
}

static void on_watch_lost(void *arg)
{
	struct request_quarantine *quarantine = arg;

	schedule_list(quarantine, now_of(quarantine));
}

static void open_watch(struct request_quarantine *quarantine)
{
	struct tgw_store_watcher watcher = {
		.changed = on_changed,
		.lost = on_watch_lost,
		.arg = quarantine,
		.idle_us = WATCH_IDLE_US,
	};

	quarantine->watch = tgw_store_watch(quarantine->store,
					    REQUEST_QUARANTINE_PREFIX, watcher);
}

static enum crash_records_server get_server_state(void *arg, uint64_t run)
{
	const struct request_quarantine *quarantine = arg;
	const struct crash_records_events *events = &quarantine->events.records;

	return events->server_state(events->arg, run);
}

static void on_refusal_changed(void *arg, const struct quarantine_item *item,
			       bool refused)
{
	struct request_quarantine *quarantine = arg;
	const struct crash_records_events *events = &quarantine->events.records;

	if (!refused)
		quarantine_trials_end(quarantine->trials, &item->fingerprint);
	events->changed(events->arg, item, refused);
}

struct request_quarantine *request_quarantine_new(
	const struct request_quarantine_settings *settings,
	struct tgw_store *store, const struct tgw_clock *clock,
	const struct request_quarantine_events *events)
{
	struct request_quarantine *quarantine = xcalloc(1, sizeof(*quarantine));
	struct crash_records_events records_events = {
		.server_state = get_server_state,
	};

	text_copy(quarantine->own_key, sizeof(quarantine->own_key),
		  REQUEST_QUARANTINE_PREFIX);
	short_name_copy(quarantine->own_key + strlen(REQUEST_QUARANTINE_PREFIX),
			settings->host);
	records_events.changed = on_refusal_changed;
	records_events.arg = quarantine;
	crash_records_init(&quarantine->records, &records_events,
			   settings->listed_after_crash_us);
	quarantine->trials = quarantine_trials_new(store, clock);
	quarantine->stale_keys = stale_keys_new(store, clock);
	quarantine->store = store;
	quarantine->clock = clock;
	quarantine->events = *events;
	quarantine->own_version = VERSION_UNKNOWN;
	quarantine->list_delay_us =
		(int64_t)(XXH64(settings->host, strlen(settings->host), 0) %
			  LIST_SPREAD_US);
	schedule_list(quarantine, now_of(quarantine));
	open_watch(quarantine);
	return quarantine;
}

void request_quarantine_free(struct request_quarantine *quarantine)
{
	if (!quarantine)
		return;
	tgw_store_unwatch(quarantine->store, quarantine->watch);
	crash_records_free(&quarantine->records);
	quarantine_trials_free(quarantine->trials);
	stale_keys_free(quarantine->stale_keys);
	free(quarantine);
}

void request_quarantine_on_crash(struct request_quarantine *quarantine,
				 const struct request_identity *identity,
				 uint64_t run, bool suspects_parts)
{
	struct crash_records_time now = time_of(quarantine);
	bool recorded =
		crash_records_add(&quarantine->records, identity, run, &now);

	if (suspects_parts && identity->part_count) {
		crash_records_add_parts(&quarantine->records, identity, run,
					&now);
		recorded = true;
	}
	if (!recorded)
		return;
	quarantine->counters.crashes++;
	quarantine->write_needed = true;
}

static void record_cleared(struct request_quarantine *quarantine, size_t count)
{
	if (!count)
		return;
	quarantine->counters.cleared += count;
	quarantine->write_needed = true;
}

void request_quarantine_on_served(struct request_quarantine *quarantine,
				  const struct request_identity *identity)
{
	struct crash_records_time now = time_of(quarantine);

	record_cleared(quarantine,
		       crash_records_on_served(&quarantine->records,
					       &identity->whole, &now));
}

void request_quarantine_on_progress(struct request_quarantine *quarantine,
				    const struct request_identity *identity)
{
	struct crash_records_time now = time_of(quarantine);

	record_cleared(quarantine,
		       crash_records_on_parts_served(&quarantine->records,
						     identity, &now));
}

void request_quarantine_on_server_lost(struct request_quarantine *quarantine)
{
	int64_t due_us = now_of(quarantine) + SETTLE_US;

	if (quarantine->list_needed)
		return;
	if (due_us < quarantine->listed_us + LIST_INTERVAL_US)
		due_us = quarantine->listed_us + LIST_INTERVAL_US;
	schedule_list(quarantine, due_us);
}

void request_quarantine_on_store_reachable(
	struct request_quarantine *quarantine)
{
	tgw_store_unwatch(quarantine->store, quarantine->watch);
	open_watch(quarantine);
	schedule_list(quarantine, now_of(quarantine));
}

static void on_written(void *arg, const struct tgw_store_result *result)
{
	struct request_quarantine *quarantine = arg;

	quarantine->writing = false;
	if (result->status == TGW_OK && result->entry_count == 1) {
		quarantine->own_version = result->entries[0].version;
		return;
	}
	quarantine->write_needed = true;
	if (result->status == TGW_CONFLICT && result->entry_count == 1) {
		/* An earlier process of this host wrote, or a write whose
		 * response was lost took effect. */
		read_entry(quarantine, &result->entries[0]);
		return;
	}
	quarantine->write_due_us = now_of(quarantine) + RETRY_US;
	quarantine->events.failed(quarantine->events.arg, quarantine->own_key,
				  result->message);
}

static void write_own(struct request_quarantine *quarantine, int64_t now_us)
{
	struct buffer value = {0};

	quarantine->writing = true;
	quarantine->write_needed = false;
	quarantine->write_due_us = now_us + WRITE_INTERVAL_US;
	quarantine->counters.writes++;
	quarantine->records.own.written_us =
		tgw_clock_wall_us(quarantine->clock);
	quarantine_report_encode(&quarantine->records.own, &value);
	tgw_store_swap(quarantine->store, quarantine->own_key,
		       quarantine->own_version, value.data, value.size,
		       (struct tgw_store_callback){on_written, quarantine});
	buffer_free(&value);
}

static void list_keys(struct request_quarantine *quarantine)
{
	quarantine->list_needed = false;
	quarantine->listing = true;
	quarantine->listed_us = now_of(quarantine);
	tgw_store_list(quarantine->store, REQUEST_QUARANTINE_PREFIX,
		       (struct tgw_store_callback){on_list, quarantine});
}

static void check_records(struct request_quarantine *quarantine)
{
	struct crash_records_time now = time_of(quarantine);
	size_t dropped;

	if (crash_records_check(&quarantine->records, &now, &dropped))
		quarantine->write_needed = true;
	quarantine->counters.dropped += dropped;
	stale_keys_delete(quarantine->stale_keys);
}

static bool may_write(const struct request_quarantine *quarantine)
{
	return quarantine->write_needed && !quarantine->writing &&
	       quarantine->own_version != VERSION_UNKNOWN &&
	       now_of(quarantine) >= quarantine->write_due_us;
}

int64_t request_quarantine_tick(struct request_quarantine *quarantine)
{
	int64_t now_us = now_of(quarantine);

	if (quarantine->list_needed && !quarantine->listing &&
	    now_us >= quarantine->list_due_us)
		list_keys(quarantine);
	if (now_us >= quarantine->check_due_us) {
		quarantine->check_due_us = now_us + CHECK_INTERVAL_US;
		check_records(quarantine);
	}
	if (may_write(quarantine))
		write_own(quarantine, now_us);
	quarantine_trials_tick(quarantine->trials);
	return now_us + TICK_US;
}

const struct request_quarantine_counters *request_quarantine_get_counters(
	const struct request_quarantine *quarantine)
{
	return &quarantine->counters;
}
