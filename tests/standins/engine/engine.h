/**
 * @file engine.h
 * Stand-in for a model engine: runs requests in a continuous batch in real time
 * and keeps each run under its request id, so that it can be resumed and
 * cancelled.
 */
#ifndef STANDINS_ENGINE_ENGINE_H
#define STANDINS_ENGINE_ENGINE_H

#include <pthread.h>
#include <stdbool.h>

#include "base/buffer.h"
#include "standins/common/standin_http.h"
#include "standins/engine/prefix_cache.h"

struct engine_settings {
	int64_t first_token_us; /**< time to first token, nothing cached */
	int64_t inter_token_us;
	int64_t slots;	       /**< requests that run at once */
	int64_t answer_tokens; /**< mean length of an answer */
	int64_t load_lag_us;   /**< maximum age of a load report */
	int64_t orphan_us;     /**< how long a run continues without a reader */
	bool ignores_fencing;
};

enum run_state { RUN_WAITING, RUN_RUNNING, RUN_DONE, RUN_CANCELLED };

struct stream;

/** One request in the engine. */
struct run {
	struct run *next; /**< next run in the same hash bucket */
	char *id;
	char *model;
	int64_t attempt; /**< newest attempt of the request */
	int64_t fencing; /**< highest fencing token received */
	int64_t priority;
	uint64_t arrival_order; /**< grows with each arrival */
	enum run_state state;
	uint64_t prompt_hash;
	int64_t prompt_tokens;
	int64_t uncached_blocks;
	int64_t block_count;
	int64_t answer_tokens; /**< tokens to produce, limited by max_tokens */
	bool is_truncated;     /**< max_tokens shortens the answer */
	int64_t produced;      /**< tokens so far */
	int64_t due_us;	       /**< next token, or removal when finished */
	int64_t last_read_us;  /**< when it last had a reader */
	struct stream *stream; /**< its reader, or NULL */
};

/** A caller's request. */
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

/** Starts a run, or restarts that of a known request.
 * @return the run, or NULL when it is refused because a newer attempt or
 * fencing token is known */
struct run *engine_submit(struct engine *engine,
			  const struct run_request *request);

struct run *engine_find(struct engine *engine, const char *id);

/** Assigns a run to an attempt.
 * @return false when the attempt or its fencing token is older than the run's
 * and the engine does not ignore fencing */
bool engine_reassign(struct engine *engine, struct run *run, int64_t attempt,
		     int64_t fencing);

void engine_cancel(struct engine *engine, struct run *run);

/** @return {"running","waiting","cache_used_ratio"}; the counts are up to
 * load_lag_us old */
json_t *engine_load(struct engine *engine);

/** @return {"submitted"}: requests accepted since the start */
json_t *engine_totals(const struct engine *engine);

json_t *engine_cache_events(struct engine *engine, int64_t since);

/** Resumes the suspended connection of a reader after its run changed or got
 * another reader. Defined in stream.c. */
void stream_notify(struct stream *stream);

/** Streams a run's answer, starting at the token with index from, and sets the
 * run's reader. Unlocks the engine. */
enum MHD_Result stream_start(struct engine *engine, struct run *run,
			     struct standin_call *call, int64_t from,
			     bool as_events);

json_t *run_usage(const struct run *run);

#endif
