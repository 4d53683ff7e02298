#include "state/warmup.h"

#include <string.h>
#include <xxhash.h>

#include "tamarackgw/clock.h"

/* Spacing of a host's requests, in percent of an even one: they may arrive
 * closer to each other than they were sent. */
#define SPACING_PERCENT 105
#define DRAW_STEPS 1024
/* A host whose interval exceeds a year sends nothing: the interval of a tiny
 * limit does not fit its type. */
#define INTERVAL_MAX_US (365 * 24 * 3600 * TGW_US_PER_S)

static int64_t later_of(int64_t a_us, int64_t b_us)
{
	return a_us > b_us ? a_us : b_us;
}

static int64_t until_us(const struct warmup *warmup)
{
	return later_of(warmup->assumed_until_us,
			later_of(warmup->listed_until_us,
				 warmup->reported_until_us));
}

/* A share of an earlier warm-up would let all hosts send at once: the times
 * that they drew have passed. */
static void forget_earlier_share(struct warmup *warmup, int64_t now_us)
{
	if (!warmup_is_active(warmup, now_us))
		warmup->interval_us = 0;
}

static int64_t end_us(int64_t remaining_us, int64_t now_us)
{
	return remaining_us > 0 ? now_us + remaining_us : 0;
}

void warmup_list(struct warmup *warmup, int64_t remaining_us, int64_t now_us)
{
	forget_earlier_share(warmup, now_us);
	warmup->listed_until_us = end_us(remaining_us, now_us);
}

void warmup_report(struct warmup *warmup, int64_t remaining_us, int64_t now_us)
{
	forget_earlier_share(warmup, now_us);
	warmup->listed_until_us = 0;
	warmup->reported_until_us = end_us(remaining_us, now_us);
}

void warmup_assume(struct warmup *warmup, int64_t now_us)
{
	forget_earlier_share(warmup, now_us);
	warmup->assumed_until_us = now_us + warmup->limit.duration_us;
}

bool warmup_is_active(const struct warmup *warmup, int64_t now_us)
{
	return warmup->limit.requests_per_s > 0 && until_us(warmup) > now_us;
}

bool warmup_needs_share(const struct warmup *warmup, int64_t now_us)
{
	return !warmup->interval_us && warmup_is_active(warmup, now_us);
}

/* @return INT64_MAX for a host that may send nothing */
static int64_t spacing_us(double requests_per_s)
{
	double interval_us;

	if (requests_per_s <= 0)
		return INT64_MAX;
	interval_us =
		(double)TGW_US_PER_S * SPACING_PERCENT / 100 / requests_per_s;
	return interval_us < (double)INTERVAL_MAX_US ? (int64_t)interval_us
						     : INT64_MAX;
}

/* @return the requests a second of one host; 0 if it may send none */
static double rate_of(double requests_per_s, const struct warmup_share *share)
{
	uint64_t whole = (uint64_t)requests_per_s;
	uint64_t rate;

	if (share->is_estimate)
		return requests_per_s / share->hosts;
	if (!whole)
		return share->rank ? 0 : requests_per_s;
	rate = whole / share->hosts + (share->rank < whole % share->hosts);
	return (double)rate;
}

void warmup_set_share(struct warmup *warmup, const struct warmup_share *share,
		      uint64_t draw, int64_t now_us)
{
	warmup->interval_us =
		spacing_us(rate_of(warmup->limit.requests_per_s, share));
	if (warmup->interval_us == INT64_MAX)
		return;
	/* What was due after the longer interval of an estimate is due sooner
	 * now. */
	if (warmup->due_us > now_us + warmup->interval_us)
		warmup->due_us = now_us + warmup->interval_us;
	if (share->is_estimate && warmup->due_us <= now_us)
		warmup->due_us = now_us + warmup->interval_us / DRAW_STEPS *
						  (int64_t)(draw % DRAW_STEPS);
}

void warmup_on_request(struct warmup *warmup, int64_t now_us)
{
	if (warmup->interval_us && warmup->interval_us != INT64_MAX &&
	    warmup_is_active(warmup, now_us))
		warmup->due_us = now_us + warmup->interval_us;
}

int64_t warmup_free_at_us(const struct warmup *warmup, int64_t now_us)
{
	int64_t last_us = until_us(warmup);

	if (!warmup_is_active(warmup, now_us))
		return now_us;
	if (!warmup->interval_us || warmup->interval_us == INT64_MAX)
		return last_us;
	return warmup->due_us < last_us ? warmup->due_us : last_us;
}

static uint64_t hash_of(const char *name, uint64_t run_hash)
{
	return XXH64(name, strlen(name), run_hash);
}

struct warmup_share warmup_share_of(const struct peer_host *hosts, size_t count,
				    const char *self, uint64_t run_hash)
{
	uint64_t own = hash_of(self, run_hash);
	struct warmup_share share = {0};
	bool listed = false;

	for (size_t i = 0; i < count; i++) {
		uint64_t hash = hash_of(hosts[i].name, run_hash);

		if (!strcmp(hosts[i].name, self))
			listed = true;
		else
			share.rank += hash < own;
	}
	share.hosts = (uint32_t)count + !listed;
	if (!listed)
		share.rank = (uint32_t)count;
	return share;
}
