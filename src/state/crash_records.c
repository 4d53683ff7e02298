#include "state/crash_records.h"

#include <string.h>

#include "base/short_name.h"
#include "base/text.h"
#include "state/crash_suspicion.h"
#include "tamarackgw/clock.h"

/* A record is dropped when this host has known its newest crash for longer. */
#define RECORD_AGE_MAX_US (INT64_C(3600) * TGW_US_PER_S)
/* Records of one host in its report. All hosts read all reports. */
#define OWN_RECORDS_MAX 192
/* A request that was served within this time before a crash did not cause it:
 * those that do crash each server that runs them. */
#define SERVED_RECENTLY_US (INT64_C(60) * TGW_US_PER_S)

void crash_records_init(struct crash_records *records,
			const struct crash_records_events *events,
			int64_t listed_after_crash_us)
{
	memset(records, 0, sizeof(*records));
	records->events = *events;
	records->listed_after_crash_us = listed_after_crash_us;
	records->own.table.max_count = OWN_RECORDS_MAX;
	records->own.table.servers_crash_once = true;
	records->all.servers_crash_once = true;
}

void crash_records_free(struct crash_records *records)
{
	quarantine_table_free(&records->all);
	quarantine_table_free(&records->own.table);
}

/* @return whether a record is wrong: the server's entry would be removed by now
 * if it had crashed */
static bool is_disproved(const struct crash_records *records,
			 const struct quarantine_crash *crash, int64_t now_us)
{
	const struct crash_records_events *events = &records->events;

	if (now_us - crash->learned_us < records->listed_after_crash_us)
		return false;
	return events->server_state(events->arg, crash->server_hash) ==
	       CRASH_RECORDS_SERVER_LISTED;
}

static uint32_t count_crashes(const struct crash_records *records,
			      const struct quarantine_item *item,
			      int64_t now_us)
{
	uint32_t count = 0;

	for (size_t i = 0; item && i < item->crash_count; i++)
		if (!is_disproved(records, &item->crashes[i], now_us))
			count++;
	return count;
}

static bool is_refused(const struct crash_records *records,
		       const struct quarantine_item *item, int64_t now_us)
{
	if (item && *item->part)
		return crash_suspicion_incidents(item, now_us) >=
		       CRASH_SUSPICION_INCIDENTS_MIN;
	return count_crashes(records, item, now_us) >=
	       CRASH_RECORDS_UNTIL_REFUSED;
}

bool crash_records_refuse_whole(const struct crash_records *records,
				const struct request_identity *identity,
				int64_t now_us)
{
	const struct quarantine_item *item =
		quarantine_table_find(&records->all, &identity->whole);

	return is_refused(records, item, now_us) &&
	       !crash_suspicion_is_explained(&records->all, item, identity,
					     now_us);
}

uint32_t crash_records_count(const struct crash_records *records,
			     const struct tgw_fingerprint *fingerprint,
			     int64_t now_us)
{
	return count_crashes(records,
			     quarantine_table_find(&records->all, fingerprint),
			     now_us);
}

/* Also of an item that starts an epoch. */
static bool is_expired(const struct quarantine_item *item,
		       const struct crash_records_time *now)
{
	int64_t since_us = item->changed_us;

	for (size_t i = 0; i < item->crash_count; i++)
		if (item->crashes[i].learned_us > since_us)
			since_us = item->crashes[i].learned_us;
	return since_us < now->monotonic_us - RECORD_AGE_MAX_US;
}

/* Records of an older epoch count no longer, so this host need not report
 * them. */
static void update_own_epoch(struct crash_records *records,
			     const struct quarantine_item *item)
{
	struct quarantine_item *own =
		quarantine_table_find(&records->own.table, &item->fingerprint);

	if (!own || own->epoch >= item->epoch)
		return;
	own->epoch = item->epoch;
	own->crash_count = 0;
}

/* @param written_us when its host wrote the item, on that host's wall clock
 * @return the item without old records; this host learns of the others now */
static struct quarantine_item learn(const struct quarantine_item *update,
				    int64_t written_us, int64_t now_us)
{
	struct quarantine_item learned = *update;

	learned.crash_count = 0;
	for (size_t i = 0; i < update->crash_count; i++) {
		struct quarantine_crash crash = update->crashes[i];

		if (written_us - crash.wall_us > RECORD_AGE_MAX_US)
			continue;
		crash.learned_us = now_us;
		learned.crashes[learned.crash_count++] = crash;
	}
	return learned;
}

/* Tells whether the item is refused if that has changed. */
static void report_refusal(const struct crash_records *records,
			   struct quarantine_item *item, int64_t now_us)
{
	const struct crash_records_events *events = &records->events;
	bool refused = is_refused(records, item, now_us);

	if (refused == item->is_refused)
		return;
	item->is_refused = refused;
	events->changed(events->arg, item, refused);
}

/* @param update as learn() returns it */
static void merge_item(struct crash_records *records,
		       const struct quarantine_item *update,
		       const struct crash_records_time *now)
{
	struct quarantine_item *item;

	if (!quarantine_table_merge(&records->all, update, now->monotonic_us))
		return;
	item = quarantine_table_find(&records->all, &update->fingerprint);
	update_own_epoch(records, item);
	report_refusal(records, item, now->monotonic_us);
}

static void add_to_own(struct crash_records *records,
		       const struct quarantine_item *item,
		       const struct crash_records_time *now)
{
	quarantine_table_merge(&records->own.table, item, now->monotonic_us);
}

void crash_records_merge(struct crash_records *records,
			 const struct quarantine_report *report, bool is_own,
			 const struct crash_records_time *now)
{
	for (size_t i = 0; i < report->table.count; i++) {
		struct quarantine_item item = learn(&report->table.items[i],
						    report->written_us,
						    now->monotonic_us);

		merge_item(records, &item, now);
		if (is_own)
			add_to_own(records, &item, now);
	}
}

static uint64_t epoch_of(const struct crash_records *records,
			 const struct tgw_fingerprint *fingerprint)
{
	const struct quarantine_item *known =
		quarantine_table_find(&records->all, fingerprint);

	return known ? known->epoch : 0;
}

/* @param item without its epoch and its crash */
static void add_crash(struct crash_records *records,
		      struct quarantine_item *item, uint64_t run,
		      const struct crash_records_time *now)
{
	item->epoch = epoch_of(records, &item->fingerprint);
	item->crash_count = 1;
	item->crashes[0] = (struct quarantine_crash){
		.server_hash = run,
		.wall_us = now->wall_us,
		.learned_us = now->monotonic_us,
	};
	merge_item(records, item, now);
	add_to_own(records, item, now);
}

bool crash_records_add(struct crash_records *records,
		       const struct request_identity *identity, uint64_t run,
		       const struct crash_records_time *now)
{
	struct quarantine_item item = {.fingerprint = identity->whole};

	if (served_memory_has(&records->served, &identity->whole,
			      now->monotonic_us - SERVED_RECENTLY_US))
		return false;
	short_name_copy(item.team, identity->team);
	add_crash(records, &item, run, now);
	return true;
}

static void add_part(struct crash_records *records,
		     const struct part_identity *part, uint64_t run,
		     const struct crash_records_time *now)
{
	struct quarantine_item item = {.fingerprint = part->fingerprint};

	text_copy(item.part, sizeof(item.part), part->text);
	add_crash(records, &item, run, now);
}

/* A part that was served a moment ago may have turned bad since. */
void crash_records_add_parts(struct crash_records *records,
			     const struct request_identity *identity,
			     uint64_t run, const struct crash_records_time *now)
{
	for (uint32_t i = 0; i < identity->part_count; i++) {
		add_part(records, &identity->parts[i].anywhere, run, now);
		add_part(records, &identity->parts[i].here, run, now);
	}
}

static void clear(struct crash_records *records,
		  const struct quarantine_item *known,
		  const struct crash_records_time *now)
{
	struct quarantine_item cleared = *known;

	quarantine_item_clear(&cleared);
	merge_item(records, &cleared, now);
	add_to_own(records, &cleared, now);
}

bool crash_records_on_served(struct crash_records *records,
			     const struct tgw_fingerprint *fingerprint,
			     const struct crash_records_time *now)
{
	const struct quarantine_item *known =
		quarantine_table_find(&records->all, fingerprint);

	served_memory_add(&records->served, fingerprint, now->monotonic_us);
	if (!known || !known->crash_count)
		return false;
	clear(records, known, now);
	return true;
}

/* A part that many hosts serve is cleared by those that suspected it, and by
 * any only if it is about to be refused: all of them would write their records.
 */
static bool is_to_clear(const struct crash_records *records,
			const struct quarantine_item *item)
{
	const struct quarantine_item *own;

	if (!*item->part || !item->crash_count)
		return false;
	if (crash_suspicion_incidents(item, INT64_MAX) + 1 >=
	    CRASH_SUSPICION_INCIDENTS_MIN)
		return true;
	own = quarantine_table_find(&records->own.table, &item->fingerprint);
	return own && own->crash_count;
}

size_t crash_records_on_parts_served(struct crash_records *records,
				     const struct request_identity *identity,
				     const struct crash_records_time *now)
{
	size_t cleared = 0;

	for (size_t i = 0; identity->part_count && i < records->all.count;
	     i++) {
		const struct quarantine_item *item = &records->all.items[i];

		if (!is_to_clear(records, item) ||
		    !request_identity_has_part(identity, &item->fingerprint))
			continue;
		clear(records, item, now);
		cleared++;
	}
	return cleared;
}

/* @return whether items were dropped */
static bool expire(struct quarantine_table *table,
		   const struct crash_records_time *now)
{
	size_t before = table->count;
	size_t kept = 0;

	for (size_t i = 0; i < table->count; i++)
		if (!is_expired(&table->items[i], now))
			table->items[kept++] = table->items[i];
	table->count = kept;
	return kept < before;
}

/* @return how many records were dropped */
static size_t drop_disproved(const struct crash_records *records,
			     struct quarantine_table *table, int64_t now_us)
{
	size_t dropped = 0;

	for (size_t i = 0; i < table->count; i++) {
		struct quarantine_item *item = &table->items[i];
		size_t at = 0;

		while (at < item->crash_count) {
			if (!is_disproved(records, &item->crashes[at],
					  now_us)) {
				at++;
				continue;
			}
			quarantine_item_remove_crash(item, at);
			dropped++;
		}
	}
	return dropped;
}

/* Wrong records are dropped for good: the server may be unlisted later for
 * another reason. */
bool crash_records_check(struct crash_records *records,
			 const struct crash_records_time *now, size_t *dropped)
{
	size_t own_dropped =
		drop_disproved(records, &records->own.table, now->monotonic_us);

	*dropped = drop_disproved(records, &records->all, now->monotonic_us);
	for (size_t i = 0; i < records->all.count; i++)
		report_refusal(records, &records->all.items[i],
			       now->monotonic_us);
	expire(&records->all, now);
	return expire(&records->own.table, now) || own_dropped > 0;
}
