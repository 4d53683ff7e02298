#include "measure/engine_model.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define DOWNTIME_US (INT64_C(20) * TGW_US_PER_S)
#define NO_BLOCK UINT32_MAX

/* A cached block, in the chain of its hash bucket and in an LRU list. */
struct block {
	uint64_t hash;
	uint32_t newer;
	uint32_t older;
	uint32_t next_in_bucket;
};

struct engine_cache {
	size_t capacity;
	size_t count;
	size_t bucket_count;
	uint32_t *buckets;
	struct block *blocks;
	uint32_t newest;
	uint32_t oldest;
};

struct engine_cache *engine_cache_new(size_t capacity)
{
	struct engine_cache *cache = xcalloc(1, sizeof(*cache));

	cache->capacity = capacity;
	cache->bucket_count = 2 * capacity + 1;
	cache->buckets = xmalloc(cache->bucket_count * sizeof(uint32_t));
	memset(cache->buckets, 0xff, cache->bucket_count * sizeof(uint32_t));
	cache->blocks = xcalloc(capacity, sizeof(cache->blocks[0]));
	cache->newest = NO_BLOCK;
	cache->oldest = NO_BLOCK;
	return cache;
}

void engine_cache_free(struct engine_cache *cache)
{
	if (!cache)
		return;
	free(cache->buckets);
	free(cache->blocks);
	free(cache);
}

static uint32_t *bucket_of(struct engine_cache *cache, uint64_t hash)
{
	return &cache->buckets[hash % cache->bucket_count];
}

static uint32_t find_block(struct engine_cache *cache, uint64_t hash)
{
	uint32_t at = *bucket_of(cache, hash);

	while (at != NO_BLOCK && cache->blocks[at].hash != hash)
		at = cache->blocks[at].next_in_bucket;
	return at;
}

static void unlink_from_lru(struct engine_cache *cache, uint32_t at)
{
	struct block *block = &cache->blocks[at];

	if (block->newer != NO_BLOCK)
		cache->blocks[block->newer].older = block->older;
	else
		cache->newest = block->older;
	if (block->older != NO_BLOCK)
		cache->blocks[block->older].newer = block->newer;
	else
		cache->oldest = block->newer;
}

static void link_newest(struct engine_cache *cache, uint32_t at)
{
	struct block *block = &cache->blocks[at];

	block->newer = NO_BLOCK;
	block->older = cache->newest;
	if (cache->newest != NO_BLOCK)
		cache->blocks[cache->newest].newer = at;
	else
		cache->oldest = at;
	cache->newest = at;
}

static uint32_t evict_oldest(struct engine_cache *cache,
			     struct engine *observer)
{
	uint32_t at = cache->oldest;
	uint32_t *link = bucket_of(cache, cache->blocks[at].hash);

	while (*link != at)
		link = &cache->blocks[*link].next_in_bucket;
	*link = cache->blocks[at].next_in_bucket;
	unlink_from_lru(cache, at);
	if (observer)
		observer->cache_changed(observer->arg, false,
					&cache->blocks[at].hash, 1);
	return at;
}

static void store_block(struct engine_cache *cache, uint64_t hash,
			struct engine *observer)
{
	uint32_t at = cache->count < cache->capacity
			      ? (uint32_t)cache->count++
			      : evict_oldest(cache, observer);
	uint32_t *bucket = bucket_of(cache, hash);

	cache->blocks[at].hash = hash;
	cache->blocks[at].next_in_bucket = *bucket;
	*bucket = at;
	link_newest(cache, at);
	if (observer)
		observer->cache_changed(observer->arg, true, &hash, 1);
}

size_t engine_cache_use(struct engine_cache *cache, const uint64_t *hashes,
			size_t count, struct engine *observer)
{
	size_t found = 0;

	while (found < count && find_block(cache, hashes[found]) != NO_BLOCK)
		found++;
	/* Iterates from the end, so that the first blocks of a prompt become
	 * the newest and its last blocks are evicted first. */
	for (size_t i = count; i > 0; i--) {
		uint32_t at = find_block(cache, hashes[i - 1]);

		if (at == NO_BLOCK) {
			store_block(cache, hashes[i - 1], observer);
			continue;
		}
		unlink_from_lru(cache, at);
		link_newest(cache, at);
	}
	return found;
}

void engine_init(struct engine *engine, const struct engine_settings *settings)
{
	memset(engine, 0, sizeof(*engine));
	engine->settings = *settings;
	engine->cache = engine_cache_new(settings->cache_blocks);
}

void engine_clear(struct engine *engine)
{
	engine_cache_free(engine->cache);
}

void engine_submit(struct engine *engine, struct engine_job *job)
{
	struct engine_job **link = &engine->waiting;

	while (*link && (*link)->priority <= job->priority)
		link = &(*link)->next;
	job->next = *link;
	*link = job;
	engine->waiting_count++;
}

static bool unlink_job(struct engine_job **list, struct engine_job *job)
{
	while (*list && *list != job)
		list = &(*list)->next;
	if (!*list)
		return false;
	*list = job->next;
	return true;
}

void engine_cancel(struct engine *engine, struct engine_job *job)
{
	if (unlink_job(&engine->waiting, job))
		engine->waiting_count--;
	else if (unlink_job(&engine->running, job))
		engine->running_count--;
}

static void admit(struct engine *engine)
{
	while (engine->waiting &&
	       engine->running_count < engine->settings.slots) {
		struct engine_job *job = engine->waiting;
		size_t found = engine_cache_use(engine->cache, job->prefix,
						job->prefix_count, engine);

		engine->waiting = job->next;
		engine->waiting_count--;
		engine->looked_up_blocks += job->prefix_count;
		engine->found_blocks += found;
		job->blocks_left -= (double)found;
		job->next = engine->running;
		engine->running = job;
		engine->running_count++;
	}
}

static void crash_engine(struct engine *engine, int64_t now_us)
{
	struct engine_job *jobs = engine->running;
	struct engine_job **last = &jobs;

	while (*last)
		last = &(*last)->next;
	*last = engine->waiting;
	engine->running = NULL;
	engine->waiting = NULL;
	engine->running_count = 0;
	engine->waiting_count = 0;
	engine->down_until_us = now_us + DOWNTIME_US;
	engine_cache_free(engine->cache);
	engine->cache = engine_cache_new(engine->settings.cache_blocks);
	while (jobs) {
		struct engine_job *job = jobs;

		jobs = job->next;
		engine->ended(engine->arg, job, true);
	}
}

/* @return whether the job has ended */
static bool advance_job(struct engine *engine, struct engine_job *job,
			double *prefill, double tokens, int64_t now_us)
{
	if (job->blocks_left > 0) {
		double blocks = job->blocks_left < *prefill ? job->blocks_left
							    : *prefill;

		*prefill -= blocks;
		job->blocks_left -= blocks;
		if (job->blocks_left > 0)
			return false;
	}
	if (!job->prefill_done_us)
		job->prefill_done_us = now_us;
	job->tokens_left -= tokens;
	return job->tokens_left <= 0;
}

void engine_step(struct engine *engine, int64_t now_us)
{
	double prefill = (double)engine->settings.prefill_blocks_per_s *
			 ENGINE_STEP_US / TGW_US_PER_S;
	struct engine_job **link;
	double tokens;

	if (now_us < engine->down_until_us)
		return;
	admit(engine);
	tokens = (double)ENGINE_STEP_US /
		 (double)(engine->settings.token_us +
			  engine->settings.token_us_per_running *
				  engine->running_count);
	link = &engine->running;
	while (*link) {
		struct engine_job *job = *link;

		if (!advance_job(engine, job, &prefill, tokens, now_us)) {
			link = &job->next;
			continue;
		}
		if (job->crashes) {
			crash_engine(engine, now_us);
			return;
		}
		*link = job->next;
		engine->running_count--;
		engine->ended(engine->arg, job, false);
	}
}
