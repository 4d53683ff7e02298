#include "state/crash_suspicion.h"

#include <string.h>

#include "tamarackgw/clock.h"

/* Crashes within this time of the first one are one incident. A bad part may
 * crash servers many times a second. */
#define SAME_INCIDENT_US (30 * TGW_US_PER_MS)
/* Until this host knows whether a part was served elsewhere. */
#define SETTLED_US (600 * TGW_US_PER_MS)
/* A sound part may be in one by chance. */
#define SUSPECTED_INCIDENTS_MIN 2

/* @return the first of the crashes that the host learned of by then that is
 * after the time, or INT64_MAX */
static int64_t next_crash_us(const struct quarantine_item *item,
			     int64_t learned_us, int64_t after_us)
{
	int64_t next_us = INT64_MAX;

	for (size_t i = 0; i < item->crash_count; i++) {
		const struct quarantine_crash *crash = &item->crashes[i];

		if (crash->learned_us <= learned_us &&
		    crash->wall_us > after_us && crash->wall_us < next_us)
			next_us = crash->wall_us;
	}
	return next_us;
}

uint32_t crash_suspicion_incidents(const struct quarantine_item *item,
				   int64_t now_us)
{
	int64_t learned_us = now_us - SETTLED_US;
	int64_t at_us = next_crash_us(item, learned_us, INT64_MIN);
	uint32_t count = 0;

	while (at_us != INT64_MAX) {
		count++;
		at_us = next_crash_us(item, learned_us,
				      at_us + SAME_INCIDENT_US);
	}
	return count;
}

static bool has_crash(const struct quarantine_item *item, uint64_t server_hash)
{
	for (size_t i = 0; i < item->crash_count; i++)
		if (item->crashes[i].server_hash == server_hash)
			return true;
	return false;
}

/* @return whether all crashes of the item are among those of the other one */
static bool fits_crashes(const struct quarantine_item *other,
			 const struct quarantine_item *item)
{
	if (other->crash_count < item->crash_count)
		return false;
	for (size_t i = 0; i < item->crash_count; i++)
		if (!has_crash(other, item->crashes[i].server_hash))
			return false;
	return true;
}

/* @return whether something that the request does not have may be the cause of
 * all crashes of the item */
static bool has_rival(const struct quarantine_table *table,
		      const struct quarantine_item *item,
		      const struct request_identity *identity)
{
	for (size_t i = 0; i < table->count; i++) {
		const struct quarantine_item *other = &table->items[i];

		if (fits_crashes(other, item) &&
		    !request_identity_has(identity, &other->fingerprint))
			return true;
	}
	return false;
}

static bool has_incidents(const struct quarantine_item *item, uint32_t minimum,
			  int64_t now_us)
{
	return *item->part && item->crash_count >= minimum &&
	       crash_suspicion_incidents(item, now_us) >= minimum;
}

static bool is_cause(const struct quarantine_table *table,
		     const struct tgw_fingerprint *fingerprint,
		     const struct request_identity *identity, int64_t now_us,
		     const struct quarantine_item **cause)
{
	*cause = quarantine_table_find(table, fingerprint);
	return *cause &&
	       has_incidents(*cause, CRASH_SUSPICION_INCIDENTS_MIN, now_us) &&
	       !has_rival(table, *cause, identity);
}

/* Few requests have any part with so many incidents. */
static bool has_part_with(const struct quarantine_table *table,
			  const struct request_identity *identity,
			  uint32_t incidents, int64_t now_us)
{
	for (size_t i = 0; identity->part_count && i < table->count; i++) {
		const struct quarantine_item *item = &table->items[i];

		if (item->crash_count >= incidents &&
		    request_identity_has_part(identity, &item->fingerprint) &&
		    has_incidents(item, incidents, now_us))
			return true;
	}
	return false;
}

const struct quarantine_item *crash_suspicion_find_cause(
	const struct quarantine_table *table,
	const struct request_identity *identity, int64_t now_us)
{
	const struct quarantine_item *cause;

	if (!has_part_with(table, identity, CRASH_SUSPICION_INCIDENTS_MIN,
			   now_us))
		return NULL;
	for (uint32_t i = identity->part_count; i-- > 0;) {
		const struct request_part *part = &identity->parts[i];

		if (is_cause(table, &part->anywhere.fingerprint, identity,
			     now_us, &cause) ||
		    is_cause(table, &part->here.fingerprint, identity, now_us,
			     &cause))
			return cause;
	}
	return NULL;
}

bool crash_suspicion_is_suspected(const struct quarantine_table *table,
				  const struct request_identity *identity,
				  int64_t now_us)
{
	/* Until it settles, a retry would crash the next server. */
	return has_part_with(table, identity, SUSPECTED_INCIDENTS_MIN,
			     now_us + SETTLED_US);
}

bool crash_suspicion_is_explained(const struct quarantine_table *table,
				  const struct quarantine_item *item,
				  const struct request_identity *identity,
				  int64_t now_us)
{
	for (size_t i = 0; i < table->count; i++) {
		const struct quarantine_item *other = &table->items[i];

		if (has_incidents(other, CRASH_SUSPICION_INCIDENTS_MIN,
				  now_us) &&
		    fits_crashes(other, item) && !fits_crashes(item, other) &&
		    !request_identity_has(identity, &other->fingerprint))
			return true;
	}
	return false;
}
