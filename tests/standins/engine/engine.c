#include "standins/engine/engine.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>
#include <xxhash.h>

#include "base/xalloc.h"
#include "standins/common/standin_answer.h"

#define BUCKETS 16384
#define TICK_US 500
#define FINISHED_RETENTION_US (60 * INT64_C(1000000))
#define SWEEP_INTERVAL_US 1000000
#define PROMPT_BLOCKS_MAX 4096
#define CRASH_MARKER "CRASH-ENGINE"
#define CRASH_EXIT_CODE 70

/** A growing list of runs. */
struct run_list {
	struct run **runs;
	size_t count;
	size_t capacity;
};

struct engine {
	struct engine_settings settings;
	struct prefix_cache *cache;
	pthread_mutex_t lock;
	struct run *buckets[BUCKETS];
	struct run_list running;
	struct run_list waiting;
	uint64_t arrivals;
	int64_t submitted;
	int64_t load_sampled_us;
	int64_t load_running;
	int64_t load_waiting;
	int64_t last_sweep_us;
};

static void list_add(struct run_list *list, struct run *run)
{
	if (list->count == list->capacity) {
		list->capacity = list->capacity ? 2 * list->capacity : 64;
		list->runs = xrealloc(list->runs,
				      list->capacity * sizeof(*list->runs));
	}
	list->runs[list->count++] = run;
}

static void list_remove_at(struct run_list *list, size_t index)
{
	list->runs[index] = list->runs[--list->count];
}

static void list_remove(struct run_list *list, const struct run *run)
{
	size_t i;

	for (i = 0; i < list->count; i++)
		if (list->runs[i] == run) {
			list_remove_at(list, i);
			return;
		}
}

static struct run **bucket_of(struct engine *engine, const char *id)
{
	return &engine->buckets[XXH64(id, strlen(id), 0) % BUCKETS];
}

void engine_lock(struct engine *engine)
{
	pthread_mutex_lock(&engine->lock);
}

void engine_unlock(struct engine *engine)
{
	pthread_mutex_unlock(&engine->lock);
}

struct run *engine_find(struct engine *engine, const char *id)
{
	struct run *run = *bucket_of(engine, id);

	while (run && strcmp(run->id, id) != 0)
		run = run->next;
	return run;
}

static void finish(struct engine *engine, struct run *run, enum run_state state)
{
	run->state = state;
	run->due_us = standin_now_us() + FINISHED_RETENTION_US;
	if (run->stream)
		stream_notify(run->stream);
}

static void start_run(struct engine *engine, struct run *run, int64_t now_us)
{
	int64_t first_us = engine->settings.first_token_us;

	/* A fully cached prompt takes a quarter of the time; each
	 * third of its blocks that is not cached adds a quarter. */
	if (run->block_count)
		first_us = first_us *
			   (1 + 3 * run->uncached_blocks / run->block_count) /
			   4;
	run->state = RUN_RUNNING;
	run->due_us = now_us + first_us;
	list_add(&engine->running, run);
}

static bool precedes(const struct run *a, const struct run *b)
{
	if (a->priority != b->priority)
		return a->priority < b->priority;
	return a->arrival_order < b->arrival_order;
}

static void fill_slots(struct engine *engine, int64_t now_us)
{
	struct run_list *waiting = &engine->waiting;

	while (waiting->count &&
	       (int64_t)engine->running.count < engine->settings.slots) {
		size_t best = 0;
		size_t i;

		for (i = 1; i < waiting->count; i++)
			if (precedes(waiting->runs[i], waiting->runs[best]))
				best = i;
		start_run(engine, waiting->runs[best], now_us);
		list_remove_at(waiting, best);
	}
}

static bool is_orphan(const struct engine *engine, const struct run *run,
		      int64_t now_us)
{
	return !run->stream &&
	       now_us - run->last_read_us > engine->settings.orphan_us;
}

/* Produces the tokens that are due. @return whether the run has ended */
static bool advance(struct engine *engine, struct run *run, int64_t now_us)
{
	bool produced = false;

	if (is_orphan(engine, run, now_us)) {
		finish(engine, run, RUN_CANCELLED);
		return true;
	}
	while (run->due_us <= now_us && run->produced < run->answer_tokens) {
		run->produced++;
		run->due_us += engine->settings.inter_token_us;
		produced = true;
	}
	if (run->produced == run->answer_tokens) {
		finish(engine, run, RUN_DONE);
		return true;
	}
	if (produced && run->stream)
		stream_notify(run->stream);
	return false;
}

static void sweep_finished(struct engine *engine, int64_t now_us)
{
	size_t i;

	engine->last_sweep_us = now_us;
	for (i = 0; i < BUCKETS; i++) {
		struct run **link = &engine->buckets[i];

		while (*link) {
			struct run *run = *link;

			if (run->state < RUN_DONE || run->due_us > now_us ||
			    run->stream) {
				link = &run->next;
				continue;
			}
			*link = run->next;
			free(run->id);
			free(run->model);
			free(run);
		}
	}
}

static void sample_load(struct engine *engine, int64_t now_us)
{
	engine->load_sampled_us = now_us;
	engine->load_running = (int64_t)engine->running.count;
	engine->load_waiting = (int64_t)engine->waiting.count;
}

static void tick(struct engine *engine)
{
	int64_t now_us = standin_now_us();
	size_t i;

	engine_lock(engine);
	for (i = engine->running.count; i-- > 0;)
		if (advance(engine, engine->running.runs[i], now_us))
			list_remove_at(&engine->running, i);
	fill_slots(engine, now_us);
	if (now_us - engine->load_sampled_us >= engine->settings.load_lag_us)
		sample_load(engine, now_us);
	if (now_us - engine->last_sweep_us >= SWEEP_INTERVAL_US)
		sweep_finished(engine, now_us);
	engine_unlock(engine);
}

static void *run_timer(void *arg)
{
	for (;;) {
		standin_sleep_us(TICK_US);
		tick(arg);
	}
	return NULL;
}

struct engine *engine_new(const struct engine_settings *settings,
			  struct prefix_cache *cache)
{
	struct engine *engine = xcalloc(1, sizeof(*engine));
	pthread_t timer;

	engine->settings = *settings;
	engine->cache = cache;
	pthread_mutex_init(&engine->lock, NULL);
	if (pthread_create(&timer, NULL, run_timer, engine))
		abort();
	pthread_detach(timer);
	return engine;
}

bool engine_reassign(struct engine *engine, struct run *run, int64_t attempt,
		     int64_t fencing)
{
	bool is_old = attempt < run->attempt || fencing < run->fencing;

	if (is_old && !engine->settings.ignores_fencing)
		return false;
	run->attempt = attempt;
	run->fencing = fencing;
	return true;
}

void engine_cancel(struct engine *engine, struct run *run)
{
	if (run->state >= RUN_DONE)
		return;
	list_remove(&engine->running, run);
	list_remove(&engine->waiting, run);
	finish(engine, run, RUN_CANCELLED);
}

/* Cancels and reuses the run of a known request, unless the attempt is
 * refused. */
static struct run *find_or_add(struct engine *engine,
			       const struct run_request *request)
{
	struct run *run = engine_find(engine, request->id);
	struct run **bucket = bucket_of(engine, request->id);

	if (run) {
		if (!engine_reassign(engine, run, request->attempt,
				     request->fencing))
			return NULL;
		engine_cancel(engine, run);
		run->stream = NULL;
		run->produced = 0;
		free(run->model);
		return run;
	}
	run = xcalloc(1, sizeof(*run));
	run->id = xstrdup(request->id);
	run->attempt = request->attempt;
	run->fencing = request->fencing;
	run->next = *bucket;
	*bucket = run;
	return run;
}

struct run *engine_submit(struct engine *engine,
			  const struct run_request *request)
{
	struct run *run;
	uint64_t hashes[PROMPT_BLOCKS_MAX];
	int64_t now_us = standin_now_us();

	if (strstr(request->prompt->data, CRASH_MARKER)) {
		fprintf(stderr, "crash on request %s\n", request->id);
		_exit(CRASH_EXIT_CODE);
	}
	run = find_or_add(engine, request);
	if (!run)
		return NULL;
	engine->submitted++;
	run->model = xstrdup(request->model);
	run->priority = request->priority;
	run->arrival_order = ++engine->arrivals;
	run->prompt_hash = standin_prompt_hash(request->prompt);
	run->prompt_tokens = standin_prompt_tokens(request->prompt);
	run->block_count = (int64_t)standin_prefix_hashes(
		request->prompt, hashes, PROMPT_BLOCKS_MAX);
	run->uncached_blocks =
		run->block_count -
		(int64_t)prefix_cache_store(engine->cache, hashes,
					    (size_t)run->block_count, now_us);
	run->answer_tokens = standin_answer_tokens(
		request->prompt, engine->settings.answer_tokens);
	run->is_truncated = request->max_tokens &&
			    run->answer_tokens > request->max_tokens;
	if (run->is_truncated)
		run->answer_tokens = request->max_tokens;
	run->state = RUN_WAITING;
	run->last_read_us = now_us;
	list_add(&engine->waiting, run);
	fill_slots(engine, now_us);
	return run;
}

json_t *engine_load(struct engine *engine)
{
	return json_pack("{s:I, s:I, s:f}", "running",
			 (json_int_t)engine->load_running, "waiting",
			 (json_int_t)engine->load_waiting, "cache_used_ratio",
			 prefix_cache_used_ratio(engine->cache));
}

json_t *engine_totals(const struct engine *engine)
{
	return json_pack("{s:I}", "submitted", (json_int_t)engine->submitted);
}

json_t *engine_cache_events(struct engine *engine, int64_t since)
{
	return prefix_cache_events(engine->cache, since, standin_now_us());
}
