#include "state/crash_tally.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/host_view.h"

/* Attempts that break off within this time of the first one are attributed to
 * the same crash. */
#define SAME_CRASH_US (1 * TGW_US_PER_S)

struct crash_entry {
	char server[TGW_NAME_SIZE];
	uint32_t running;
	uint32_t running_at_crash;
	int64_t crashed_at_us;
};

struct crash_tally {
	size_t count;
	struct crash_entry *entries; /* few servers; none is ever removed */
};

struct crash_tally *crash_tally_new(void)
{
	return xcalloc(1, sizeof(struct crash_tally));
}

void crash_tally_free(struct crash_tally *tally)
{
	if (!tally)
		return;
	free(tally->entries);
	free(tally);
}

static struct crash_entry *find_or_add_entry(struct crash_tally *tally,
					     const char *server)
{
	struct crash_entry *entry;

	for (size_t i = 0; i < tally->count; i++)
		if (strcmp(tally->entries[i].server, server) == 0)
			return &tally->entries[i];
	tally->entries = xrealloc(tally->entries,
				  (tally->count + 1) * sizeof(*tally->entries));
	entry = &tally->entries[tally->count++];
	memset(entry, 0, sizeof(*entry));
	snprintf(entry->server, sizeof(entry->server), "%s", server);
	return entry;
}

void crash_tally_start(struct crash_tally *tally, const char *server)
{
	find_or_add_entry(tally, server)->running++;
}

void crash_tally_end(struct crash_tally *tally, const char *server)
{
	struct crash_entry *entry = find_or_add_entry(tally, server);

	assert(entry->running > 0);
	entry->running--;
}

uint32_t crash_tally_record_broken_attempt(struct crash_tally *tally,
					   const char *server, int64_t now_us)
{
	struct crash_entry *entry = find_or_add_entry(tally, server);

	assert(entry->running > 0);
	if (!entry->crashed_at_us ||
	    now_us - entry->crashed_at_us > SAME_CRASH_US) {
		entry->crashed_at_us = now_us;
		entry->running_at_crash = entry->running;
	}
	return entry->running_at_crash - 1;
}
