/**
 * @file engine_model.h
 * A model engine or a plain service in virtual time: continuous batching, a
 * queue by priority, a prefix cache of limited memory, and what it tells.
 */
#ifndef MEASURE_ENGINE_MODEL_H
#define MEASURE_ENGINE_MODEL_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/random.h"
#include "tamarackgw/router.h"

#define ENGINE_STEP_US (INT64_C(20) * TGW_US_PER_MS)

struct engine_settings {
	int64_t slots;
	int64_t token_us;	      /**< between tokens, alone */
	int64_t token_us_per_running; /**< more for each that runs beside */
	int64_t prefill_blocks_per_s;
	size_t cache_blocks;
};

/** One attempt at an engine. */
struct engine_job {
	struct engine_job *next;
	int priority;
	double blocks_left; /**< of the prompt, not in the cache */
	double tokens_left;
	size_t prefix_count;
	const uint64_t *prefix;
	bool crashes;
	int64_t prefill_done_us; /**< 0 before */
	void *owner;
};

struct engine_cache;

struct engine {
	struct engine_settings settings;
	struct engine_job *waiting; /**< by priority, then age */
	struct engine_job *running;
	int64_t running_count;
	int64_t waiting_count;
	int64_t down_until_us;
	struct engine_cache *cache;
	uint64_t looked_up_blocks;
	uint64_t found_blocks;
	/** The job ended well, or its server broke under it. */
	void (*ended)(void *arg, struct engine_job *job, bool broke);
	/** Blocks were stored or evicted. */
	void (*cache_changed)(void *arg, bool stored, const uint64_t *hashes,
			      size_t count);
	void *arg;
};

void engine_init(struct engine *engine, const struct engine_settings *settings);

void engine_clear(struct engine *engine);

void engine_submit(struct engine *engine, struct engine_job *job);

/** Takes a job out; it is the owner's again. */
void engine_cancel(struct engine *engine, struct engine_job *job);

/** Moves on by one step. */
void engine_step(struct engine *engine, int64_t now_us);

/** A least-recently-used cache of blocks. */
struct engine_cache *engine_cache_new(size_t capacity);
void engine_cache_free(struct engine_cache *cache);

/** Looks up a prompt and stores all its blocks.
 * @return how many of the first blocks were there */
size_t engine_cache_use(struct engine_cache *cache, const uint64_t *hashes,
			size_t count, struct engine *tell);

#endif
