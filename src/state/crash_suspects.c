#include "state/crash_suspects.h"

#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"
#include "tamarackgw/clock.h"

/* Crashes within this time of each other are one incident. */
#define SAME_INCIDENT_US (500 * TGW_US_PER_MS)
/* A request that so many runs in a row have outlived is let off once. */
#define OUTLIVED_RUNS 2

void crash_suspects_clear(struct crash_suspects *suspects)
{
	free(suspects->items);
	memset(suspects, 0, sizeof(*suspects));
}

static bool is_same_request(const struct crash_suspect *a,
			    const struct crash_suspect *b)
{
	return !memcmp(&a->identity.whole, &b->identity.whole,
		       sizeof(a->identity.whole));
}

/* @return whether the request may be running at the run */
static bool is_at(const struct crash_suspect *suspect, uint64_t run)
{
	return suspect->run == run && !suspect->crashed_us;
}

static struct crash_suspect *find_same(const struct crash_suspects *suspects,
				       const struct crash_suspect *sought)
{
	for (size_t i = 0; i < suspects->count; i++)
		if (is_at(&suspects->items[i], sought->run) &&
		    is_same_request(&suspects->items[i], sought))
			return &suspects->items[i];
	return NULL;
}

static void remove_at(struct crash_suspects *suspects, size_t at)
{
	suspects->items[at] = suspects->items[--suspects->count];
}

static void drop_first_to_end(struct crash_suspects *suspects)
{
	size_t first = 0;

	for (size_t i = 1; i < suspects->count; i++)
		if (suspects->items[i].until_us <
		    suspects->items[first].until_us)
			first = i;
	remove_at(suspects, first);
	suspects->dropped++;
}

void crash_suspects_add(struct crash_suspects *suspects,
			const struct crash_suspect *suspect)
{
	struct crash_suspect *known = find_same(suspects, suspect);

	if (known) {
		known->suspects_parts |= suspect->suspects_parts;
		known->broke_off |= suspect->broke_off;
		if (known->until_us < suspect->until_us)
			known->until_us = suspect->until_us;
		return;
	}
	if (suspects->count == CRASH_SUSPECTS_MAX)
		drop_first_to_end(suspects);
	suspects->items =
		xrealloc(suspects->items,
			 (suspects->count + 1) * sizeof(*suspects->items));
	suspects->items[suspects->count++] = *suspect;
}

size_t crash_suspects_count(const struct crash_suspects *suspects, uint64_t run)
{
	size_t count = 0;

	for (size_t i = 0; i < suspects->count; i++)
		count += is_at(&suspects->items[i], run);
	return count;
}

int64_t crash_suspects_until_us(const struct crash_suspects *suspects,
				uint64_t run)
{
	int64_t until_us = INT64_MIN;

	for (size_t i = 0; i < suspects->count; i++)
		if (is_at(&suspects->items[i], run) &&
		    suspects->items[i].until_us > until_us)
			until_us = suspects->items[i].until_us;
	return until_us;
}

bool crash_suspects_is_due(const struct crash_suspects *suspects, uint64_t run,
			   int64_t now_us)
{
	for (size_t i = 0; i < suspects->count; i++)
		if (is_at(&suspects->items[i], run) &&
		    suspects->items[i].until_us <= now_us)
			return true;
	return false;
}

static struct outlived_request *slot_of(struct crash_suspects *suspects,
					const struct crash_suspect *suspect)
{
	const struct tgw_fingerprint *whole = &suspect->identity.whole;

	return &suspects->outlived[XXH3_64bits(whole, sizeof(*whole)) %
				   CRASH_SUSPECTS_OUTLIVED];
}

static void note_outlived(struct crash_suspects *suspects,
			  const struct crash_suspect *suspect)
{
	struct outlived_request *slot = slot_of(suspects, suspect);

	if (memcmp(&slot->whole, &suspect->identity.whole,
		   sizeof(slot->whole)) != 0)
		*slot = (struct outlived_request){
			.whole = suspect->identity.whole};
	if (slot->runs < OUTLIVED_RUNS)
		slot->runs++;
}

/* @return whether the request is let off, which it is not again at once */
static bool let_off(struct crash_suspects *suspects,
		    const struct crash_suspect *suspect)
{
	struct outlived_request *slot = slot_of(suspects, suspect);
	bool is_outlived = slot->runs >= OUTLIVED_RUNS &&
			   !memcmp(&slot->whole, &suspect->identity.whole,
				   sizeof(slot->whole));

	if (is_outlived)
		slot->runs = OUTLIVED_RUNS - 1;
	return is_outlived;
}

void crash_suspects_on_alive(struct crash_suspects *suspects, uint64_t run,
			     int64_t alive_us)
{
	for (size_t i = suspects->count; i-- > 0;) {
		const struct crash_suspect *suspect = &suspects->items[i];

		if (!is_at(suspect, run) || suspect->until_us > alive_us)
			continue;
		if (!suspect->broke_off)
			note_outlived(suspects, suspect);
		remove_at(suspects, i);
	}
}

void crash_suspects_forget(struct crash_suspects *suspects, uint64_t run)
{
	for (size_t i = suspects->count; i-- > 0;)
		if (is_at(&suspects->items[i], run))
			remove_at(suspects, i);
}

static void note_crash(struct crash_suspects *suspects, uint64_t run,
		       int64_t now_us)
{
	struct crashed_run *crashes = suspects->crashes;

	for (size_t i = 0; i < CRASH_SUSPECTS_CRASHES; i++)
		if (crashes[i].crashed_us && crashes[i].run == run)
			return;
	crashes[suspects->next_crash++ % CRASH_SUSPECTS_CRASHES] =
		(struct crashed_run){.run = run, .crashed_us = now_us};
}

void crash_suspects_on_crash(struct crash_suspects *suspects, uint64_t run,
			     int64_t now_us,
			     const struct crash_suspects_recorder *recorder)
{
	note_crash(suspects, run, now_us);
	for (size_t i = suspects->count; i-- > 0;) {
		struct crash_suspect suspect = suspects->items[i];

		if (!is_at(&suspect, run))
			continue;
		suspects->items[i].crashed_us = now_us;
		if (!suspect.broke_off)
			continue;
		remove_at(suspects, i);
		recorder->record(recorder->arg, &suspect);
	}
}

static bool is_same_incident(int64_t a_us, int64_t b_us)
{
	return a_us - b_us <= SAME_INCIDENT_US &&
	       b_us - a_us <= SAME_INCIDENT_US;
}

static bool was_at(const struct crash_suspects *suspects, uint64_t run,
		   const struct crash_suspect *sought)
{
	for (size_t i = 0; i < suspects->count; i++)
		if (suspects->items[i].run == run &&
		    is_same_request(&suspects->items[i], sought))
			return true;
	return false;
}

/* @return whether the request was at all runs that crashed when its own did */
static bool fits_incident(const struct crash_suspects *suspects,
			  const struct crash_suspect *suspect)
{
	for (size_t i = 0; i < CRASH_SUSPECTS_CRASHES; i++) {
		const struct crashed_run *crash = &suspects->crashes[i];

		if (crash->crashed_us &&
		    is_same_incident(crash->crashed_us, suspect->crashed_us) &&
		    !was_at(suspects, crash->run, suspect))
			return false;
	}
	return true;
}

static bool is_over(const struct crash_suspect *suspect, int64_t now_us)
{
	return suspect->crashed_us &&
	       now_us - suspect->crashed_us >= SAME_INCIDENT_US;
}

void crash_suspects_tick(struct crash_suspects *suspects, int64_t now_us,
			 const struct crash_suspects_recorder *recorder)
{
	for (size_t i = 0; i < suspects->count; i++) {
		const struct crash_suspect *suspect = &suspects->items[i];

		if (is_over(suspect, now_us) &&
		    fits_incident(suspects, suspect) &&
		    !let_off(suspects, suspect))
			recorder->record(recorder->arg, suspect);
	}
	for (size_t i = suspects->count; i-- > 0;)
		if (is_over(&suspects->items[i], now_us))
			remove_at(suspects, i);
}
