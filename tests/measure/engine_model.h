/**
 * @file engine_model.h
 * Simulates a model engine or a plain service in virtual time: continuous
 * batching, a priority queue, a prefix cache of limited size, and the cache
 * events that it reports.
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
	int64_t token_us;	      /**< base time per token */
	int64_t token_us_per_running; /**< added for each running job */
	int64_t prefill_blocks_per_s;
	size_t cache_blocks;
};

/** One attempt at an engine. */
struct engine_job {
	struct engine_job *next;
	int priority;
	/** Blocks of the prompt that still need prefill; those in the cache are
	 * subtracted when the job starts to run. */
	double blocks_left;
	double tokens_left;
	size_t prefix_count;
	const uint64_t *prefix;
	bool crashes;
	int64_t prefill_done_us; /**< 0 until then */
	void *owner;
};

struct engine_cache;

struct engine {
	struct engine_settings settings;
	struct engine_job *waiting; /**< by priority, then by arrival */
	struct engine_job *running;
	int64_t running_count;
	int64_t waiting_count;
	int64_t down_until_us;
	struct engine_cache *cache;
	uint64_t looked_up_blocks;
	uint64_t found_blocks;
	/** Called when a job has completed, and for each job that the engine
	 * held when it crashed. */
	void (*ended)(void *arg, struct engine_job *job, bool crashed);
	/** Called when blocks were stored in the cache or evicted from it. */
	void (*cache_changed)(void *arg, bool stored, const uint64_t *hashes,
			      size_t count);
	void *arg;
};

void engine_init(struct engine *engine, const struct engine_settings *settings);

void engine_clear(struct engine *engine);

void engine_submit(struct engine *engine, struct engine_job *job);

/** Removes a job, which belongs to its owner again. */
void engine_cancel(struct engine *engine, struct engine_job *job);

/** Advances the engine by ENGINE_STEP_US. */
void engine_step(struct engine *engine, int64_t now_us);

/** Creates a least-recently-used cache of blocks. */
struct engine_cache *engine_cache_new(size_t capacity);
void engine_cache_free(struct engine_cache *cache);

/** Looks up a prompt and stores all its blocks.
 * @param observer its cache_changed is called for each change; may be NULL
 * @return the length in blocks of the longest prefix that was cached */
size_t engine_cache_use(struct engine_cache *cache, const uint64_t *hashes,
			size_t count, struct engine *observer);

#endif
