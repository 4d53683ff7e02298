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
/* Another host's word that a server leaves holds for this long. */
#define LEAVING_BY_HOST_US (120 * TGW_US_PER_S)
/* A load report older than this is ignored. */
#define MAX_REPORT_AGE_US (2 * TGW_US_PER_S)

/* A heartbeat each millisecond reaches it after eleven days. */
#define BELIEVED_SEQUENCE_MAX 1000000000

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

static bool believes_start(const struct backend_table *table, int64_t born_ms)
{
	return !table->believed_born_max_ms ||
	       born_ms <= table->believed_born_max_ms;
}

/* @return false also if just one of the two times can be true */
static bool started_earlier(const struct backend_table *table,
			    const struct backend_entry *a,
			    const struct backend_entry *b)
{
	return believes_start(table, a->born_ms) ==
		       believes_start(table, b->born_ms) &&
	       a->born_ms < b->born_ms;
}

static bool believes_sequence(int64_t sequence)
{
	return sequence <= BELIEVED_SEQUENCE_MAX;
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
		    started_earlier(table, &backend->entry, &other->entry))
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
		    started_earlier(table, &other->entry, &removed->entry) &&
		    !strcmp(other->entry.address, removed->entry.address) &&
		    !has_later_server(table, other))
			other->address_reused = false;
}

static uint64_t run_key(const struct backend_entry *run)
{
	return run_memory_key(run->id, run->address, run->born_ms);
}

/* Runs without a time of start look the same: nothing is remembered of them. */
static bool can_be_remembered(const struct backend_entry *run)
{
	return run->born_ms != 0;
}

static void unlist(struct backend_table *table, struct backend *backend)
{
	if (backend->entry.draining && can_be_remembered(&backend->entry) &&
	    believes_sequence(backend->entry.sequence))
		run_memory_obtain(&table->memory, backend->memory_key)
			->drained_sequence = backend->entry.sequence;
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
		    started_earlier(table, &other->entry, &added->entry))
			backend_table_mark_address_reused(table, other);
	if (has_later_server(table, added))
		backend_table_mark_address_reused(table, added);
}

bool backend_table_set_leaving(struct backend_table *table,
			       const struct backend_entry *run,
			       enum leaving_source source, int64_t now_us)
{
	int64_t until_us = source == LEAVING_BY_ANSWER
				   ? SERVER_AVAILABILITY_NEVER_US
				   : now_us + LEAVING_BY_HOST_US;
	uint64_t key = run_key(run);
	bool known = false;

	if (can_be_remembered(run)) {
		struct server_availability *remembered =
			&run_memory_obtain(&table->memory, key)->availability;

		known = server_availability_is_leaving(remembered, now_us);
		server_availability_set_leaving(remembered, until_us);
	}
	for (struct backend *backend = table->first; backend;
	     backend = backend->next) {
		struct server_availability *availability =
			&backend->availability;

		if (backend->memory_key != key)
			continue;
		known = known ||
			server_availability_is_leaving(availability, now_us);
		server_availability_set_leaving(availability, until_us);
	}
	return !known;
}

void backend_table_set_rest(struct backend_table *table,
			    const struct backend_entry *run, int64_t rest_us,
			    int64_t now_us)
{
	uint64_t key = run_key(run);

	if (can_be_remembered(run))
		server_availability_rest(
			&run_memory_obtain(&table->memory, key)->availability,
			rest_us, now_us);
	for (struct backend *backend = table->first; backend;
	     backend = backend->next)
		if (backend->memory_key == key)
			server_availability_rest(&backend->availability,
						 rest_us, now_us);
}

static void recall(const struct backend_table *table, struct backend *backend)
{
	const struct remembered_run *remembered =
		run_memory_find(&table->memory, backend->memory_key);

	if (remembered)
		backend->availability = remembered->availability;
}

bool backend_is_in_service(const struct backend *backend, int64_t now_us)
{
	return backend->listed && !backend->entry.draining &&
	       !backend->address_reused &&
	       !server_availability_is_leaving(&backend->availability, now_us);
}

bool backend_accepts_requests(const struct backend *backend, int64_t now_us)
{
	return !backend->evacuated && backend_is_in_service(backend, now_us);
}

size_t backend_table_set_evacuated(struct backend_table *table,
				   const char *failure_domain, bool evacuated)
{
	size_t count = 0;

	for (struct backend *backend = table->first; backend;
	     backend = backend->next) {
		if (strcmp(backend->entry.failure_domain, failure_domain))
			continue;
		backend->evacuated = evacuated;
		count += backend->listed;
	}
	return count;
}

int64_t backend_free_at_us(const struct backend *backend, int64_t now_us)
{
	int64_t available_us =
		server_availability_free_at_us(&backend->availability, now_us);
	int64_t warmup_us = warmup_free_at_us(&backend->warmup, now_us);

	return available_us > warmup_us ? available_us : warmup_us;
}

/* What can't be true of an entry orders nothing: the one that was written later
 * holds. */
static bool is_older(const struct backend_table *table,
		     const struct backend_entry *entry,
		     const struct backend_entry *current)
{
	if (entry->born_ms != current->born_ms)
		return started_earlier(table, entry, current);
	/* A run that drains does not become ready again. */
	if (entry->draining && !current->draining)
		return false;
	return believes_sequence(entry->sequence) ==
		       believes_sequence(current->sequence) &&
	       entry->sequence < current->sequence;
}

bool backend_table_is_outdated(const struct backend_table *table,
			       const struct backend_entry *entry)
{
	const struct backend *current = backend_table_find(table, entry->id);
	const struct remembered_run *remembered;

	if (current)
		return is_older(table, entry, &current->entry);
	remembered = run_memory_find(&table->memory, run_key(entry));
	return remembered && entry->sequence < remembered->drained_sequence;
}

/* Sets what follows from the server's failure domain. */
static void apply_failure_domain(const struct backend_table *table,
				 struct backend *backend)
{
	const char *failure_domain = backend->entry.failure_domain;

	backend->evacuated =
		table->evacuations &&
		evacuations_has(table->evacuations, failure_domain);
	backend->region = table->regions ? region_map_of_domain(table->regions,
								failure_domain)
					 : REGION_SET_NONE;
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
		apply_failure_domain(table, backend);
		return backend;
	}
	backend = xcalloc(1, sizeof(*backend));
	backend->entry = *entry;
	backend->hash = XXH3_64bits(entry->id, strlen(entry->id));
	backend->run_hash = backend_run_hash(entry);
	backend->memory_key = run_key(entry);
	recall(table, backend);
	apply_failure_domain(table, backend);
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

void backend_begin(struct backend *backend, int64_t now_us)
{
	backend->running++;
	server_availability_on_request(&backend->availability, now_us);
	warmup_on_request(&backend->warmup, now_us);
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
		server_availability_reject(&backend->availability, now_us);
		return;
	case BACKEND_UNREACHABLE:
		avoid(backend, now_us);
		warmup_assume(&backend->warmup, now_us);
		break;
	case BACKEND_FAILED:
		/* A 503 by which it asked for rest is no failure. */
		if (server_availability_is_resting(&backend->availability,
						   now_us))
			return;
		break;
	case BACKEND_ADDRESS_REUSED:
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

static void store_report(struct backend *backend,
			 const struct backend_load *load, int64_t reported_us,
			 int64_t now_us)
{
	backend->heard_us = now_us;
	backend->reported = *load;
	backend->reported_us = reported_us;
	backend->running_at_report = backend->running;
	server_speed_report(&backend->speed, load->work_percent, reported_us);
}

void backend_report(struct backend *backend, const struct backend_load *load,
		    int64_t now_us)
{
	store_report(backend, load, now_us, now_us);
	backend->reported_to_self = true;
}

void backend_report_of_host(struct backend *backend,
			    const struct backend_load *load,
			    int64_t reported_us, int64_t now_us)
{
	if (reported_us <= backend->reported_us)
		return;
	store_report(backend, load, reported_us, now_us);
	backend->reported_to_self = false;
}

bool backend_has_recent_report(const struct backend *backend, int64_t now_us)
{
	return backend->reported_us &&
	       now_us - backend->reported_us <= MAX_REPORT_AGE_US;
}

double backend_expected_load(const struct backend *backend, int64_t now_us)
{
	double reported;
	double started_since_report;

	if (!backend_has_recent_report(backend, now_us))
		return backend->running;
	reported =
		(double)backend->reported.running + backend->reported.waiting;
	started_since_report =
		(double)backend->running - backend->running_at_report;
	reported += started_since_report;
	return reported > backend->running ? reported : backend->running;
}
