#include "state/backend_table.h"

#include <assert.h>
#include <math.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"
#include "tamarackgw/clock.h"

/* Weight of the newest outcome in the moving average of failures. */
#define OUTCOME_WEIGHT 0.15
/* Without requests there are no outcomes: the average halves in this time, so
 * that a server that failed once is tried again. */
#define FAILURE_HALF_LIFE_US TGW_US_PER_S
/* A server that is unreachable is avoided for MIN_AVOID_US, and for twice as
 * long with each further such failure in a row, up to MAX_AVOID_US. */
#define MIN_AVOID_US (200 * TGW_US_PER_MS)
#define MAX_AVOID_US (2 * TGW_US_PER_S)
#define MAX_AVOID_DOUBLINGS 4
/* A load report older than this is ignored. */
#define MAX_REPORT_AGE_US (2 * TGW_US_PER_S)

const char *backend_outcome_name(enum backend_outcome outcome)
{
	static const char *const names[BACKEND_OUTCOMES] = {
		[BACKEND_SERVED] = "served",
		[BACKEND_FAILED] = "failed",
		[BACKEND_REJECTED] = "rejected",
		[BACKEND_BROKEN] = "broken",
		[BACKEND_UNREACHABLE] = "unreachable",
		[BACKEND_TIMED_OUT] = "timed_out",
		[BACKEND_ADDRESS_REUSED] = "address_reused",
	};

	return names[outcome];
}

struct backend *backend_table_find(const struct backend_table *table,
				   const char *id)
{
	for (struct backend *backend = table->first; backend;
	     backend = backend->next)
		if (backend->listed && !strcmp(backend->entry.id, id))
			return backend;
	return NULL;
}

uint64_t backend_run_hash(const struct backend_entry *entry)
{
	return XXH64(entry->id, strlen(entry->id), (uint64_t)entry->born_ms);
}

bool backend_table_lists_run(const struct backend_table *table,
			     uint64_t run_hash)
{
	for (const struct backend *backend = table->first; backend;
	     backend = backend->next)
		if (backend->listed && backend->run_hash == run_hash)
			return !backend->address_reused;
	return false;
}

static void remove_backend(struct backend_table *table, struct backend *backend)
{
	struct backend **at = &table->first;

	while (*at != backend)
		at = &(*at)->next;
	*at = backend->next;
	table->count--;
	if (table->freed)
		table->freed(table->arg, backend);
	free(backend);
}

static bool shares_address(const struct backend *a, const struct backend *b)
{
	return a != b && a->listed && b->listed &&
	       !strcmp(a->entry.address, b->entry.address);
}

static bool has_later_server(const struct backend_table *table,
			     const struct backend *backend)
{
	for (const struct backend *other = table->first; other;
	     other = other->next)
		if (shares_address(other, backend) &&
		    other->entry.born_ms > backend->entry.born_ms)
			return true;
	return false;
}

/* An earlier server that was taken to be gone gets requests again when the
 * later one at its address is removed: their clocks may disagree. */
static void release_address(struct backend_table *table,
			    const struct backend *removed)
{
	for (struct backend *other = table->first; other; other = other->next)
		if (other->listed &&
		    other->entry.born_ms < removed->entry.born_ms &&
		    !strcmp(other->entry.address, removed->entry.address) &&
		    !has_later_server(table, other))
			other->address_reused = false;
}

static void unlist(struct backend_table *table, struct backend *backend)
{
	backend->listed = false;
	release_address(table, backend);
	if (!backend->running)
		remove_backend(table, backend);
}

void backend_table_mark_address_reused(struct backend_table *table,
				       struct backend *backend)
{
	if (backend->address_reused)
		return;
	backend->address_reused = true;
	if (table->address_reused)
		table->address_reused(table->arg, backend);
}

/* Marks which servers at the address of a new one must be gone. */
static void compare_addresses(struct backend_table *table,
			      struct backend *added)
{
	for (struct backend *other = table->first; other; other = other->next)
		if (shares_address(other, added) &&
		    other->entry.born_ms < added->entry.born_ms)
			backend_table_mark_address_reused(table, other);
	if (has_later_server(table, added))
		backend_table_mark_address_reused(table, added);
}

struct backend *backend_table_put(struct backend_table *table,
				  const struct backend_entry *entry)
{
	struct backend *backend = backend_table_find(table, entry->id);

	if (backend && (backend->entry.born_ms != entry->born_ms ||
			strcmp(backend->entry.address, entry->address))) {
		unlist(table, backend);
		backend = NULL;
	}
	if (backend) {
		backend->entry = *entry;
		return backend;
	}
	backend = xcalloc(1, sizeof(*backend));
	backend->entry = *entry;
	backend->hash = XXH3_64bits(entry->id, strlen(entry->id));
	backend->run_hash = backend_run_hash(entry);
	backend->listed = true;
	backend->next = table->first;
	table->first = backend;
	table->count++;
	compare_addresses(table, backend);
	return backend;
}

void backend_table_remove(struct backend_table *table, const char *id)
{
	struct backend *backend = backend_table_find(table, id);

	if (backend)
		unlist(table, backend);
}

void backend_begin(struct backend *backend)
{
	backend->running++;
}

void backend_end(struct backend_table *table, struct backend *backend)
{
	assert(backend->running);
	backend->running--;
	if (backend->running_at_report > backend->running)
		backend->running_at_report = backend->running;
	if (!backend->running && !backend->listed)
		remove_backend(table, backend);
}

static void avoid(struct backend *backend, int64_t now_us)
{
	uint32_t doublings = backend->failures_in_a_row;
	int64_t span_us;

	if (doublings > MAX_AVOID_DOUBLINGS)
		doublings = MAX_AVOID_DOUBLINGS;
	span_us = MIN_AVOID_US << doublings;
	if (span_us > MAX_AVOID_US)
		span_us = MAX_AVOID_US;
	backend->avoid_until_us = now_us + span_us;
	backend->failures_in_a_row++;
}

void backend_record_outcome(struct backend *backend,
			    enum backend_outcome outcome, int64_t now_us)
{
	double failed = 1;

	switch (outcome) {
	case BACKEND_SERVED:
		backend->failures_in_a_row = 0;
		failed = 0;
		break;
	case BACKEND_REJECTED:
		backend->rejected_us = now_us;
		return;
	case BACKEND_UNREACHABLE:
		avoid(backend, now_us);
		break;
	case BACKEND_ADDRESS_REUSED:
	case BACKEND_FAILED:
	case BACKEND_BROKEN:
	case BACKEND_TIMED_OUT:
	case BACKEND_OUTCOMES:
		break;
	}
	backend->failure_rate = backend_failure_rate(backend, now_us);
	backend->failure_rate +=
		OUTCOME_WEIGHT * (failed - backend->failure_rate);
	backend->outcome_us = now_us;
}

double backend_failure_rate(const struct backend *backend, int64_t now_us)
{
	double half_lives = (double)(now_us - backend->outcome_us) /
			    (double)FAILURE_HALF_LIFE_US;

	if (half_lives <= 0)
		return backend->failure_rate;
	return backend->failure_rate * exp2(-half_lives);
}

void backend_report(struct backend *backend, const struct backend_load *load,
		    int64_t now_us)
{
	backend->reported = *load;
	backend->reported_us = now_us;
	backend->running_at_report = backend->running;
}

double backend_expected_load(const struct backend *backend, int64_t now_us)
{
	double reported;
	double started_since_report;

	if (!backend->reported_us ||
	    now_us - backend->reported_us > MAX_REPORT_AGE_US)
		return backend->running;
	reported =
		(double)backend->reported.running + backend->reported.waiting;
	started_since_report =
		(double)backend->running - backend->running_at_report;
	reported += started_since_report;
	return reported > backend->running ? reported : backend->running;
}
