/**
 * @file engine.h
 * Stand-in of a model engine: batches continuously in real time and keeps
 * each run by its request id, so that it can be resumed and cancelled.
 */
#ifndef STANDINS_ENGINE_ENGINE_H
#define STANDINS_ENGINE_ENGINE_H

#include <pthread.h>
#include <stdbool.h>

#include "base/buffer.h"
#include "standins/common/standin_http.h"
#include "standins/engine/prefix_cache.h"

struct engine_settings {
	int64_t first_token_us; /**< of a prompt that is not cached */
	int64_t inter_token_us;
	int64_t slots; /**< requests that run at once */
	int64_t answer_tokens;
	int64_t load_lag_us;
	int64_t orphan_us; /**< a run whose reader left goes on this long */
	bool ignores_fencing;
};

enum run_state { RUN_WAITING, RUN_RUNNING, RUN_DONE, RUN_CANCELLED };

struct stream;

/** One request in the engine. */
struct run {
	struct run *next; /**< in its bucket of the table */
	char *id;
	char *model;
	int64_t attempt; /**< the newest */
	int64_t fencing; /**< the highest seen */
	int64_t priority;
	uint64_t order; /**< of arrival */
	enum run_state state;
	uint64_t prompt_hash;
	int64_t prompt_tokens;
	int64_t uncached_blocks;
	int64_t block_count;
	int64_t answer_tokens; /**< it will produce */
	bool cut_short;	       /**< by max_tokens */
	int64_t produced;
	int64_t due_us;	       /**< next token, or the end of a finished run */
	int64_t read_us;       /**< when it last had a reader */
	struct stream *stream; /**< its reader, or NULL */
};

/** What a caller asked for. */
struct run_request {
	const char *id;
	const char *model;
	int64_t attempt;
	int64_t fencing;
	int64_t priority;
	int64_t max_tokens; /**< 0 for no limit */
	const struct buffer *prompt;
};

struct engine;

struct engine *engine_new(const struct engine_settings *settings,
			  struct prefix_cache *cache);

void engine_lock(struct engine *engine);
void engine_unlock(struct engine *engine);

/* All of the following are called with the engine locked. */

/** @return the run, or NULL when an older attempt was refused */
struct run *engine_submit(struct engine *engine,
			  const struct run_request *request);

struct run *engine_find(struct engine *engine, const char *id);

/** Takes over a run with a newer attempt. @return false when refused */
bool engine_take_over(struct engine *engine, struct run *run, int64_t attempt,
		      int64_t fencing);

void engine_cancel(struct engine *engine, struct run *run);

/** @return {"running","waiting","cache_used_ratio"} as of some time ago */
json_t *engine_load(struct engine *engine);

/** @return {"submitted"}: requests that were taken, since the start */
json_t *engine_totals(const struct engine *engine);

json_t *engine_cache_events(struct engine *engine, int64_t since);

/** A reader's connection, in stream.c. */
void stream_wake(struct stream *stream);

/** Sends a run's answer from a token on; sets the run's reader.
 * Unlocks the engine. */
enum MHD_Result stream_start(struct engine *engine, struct run *run,
			     struct standin_call *call, int64_t from,
			     bool as_events);

json_t *run_usage(const struct run *run);

#endif
