#include "daemon/call.h"

#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "daemon/log.h"

/* How long a call with an Idempotency-Key goes on after its last caller left,
 * so that a retry can join it. */
#define RETRY_LINGER_US (3 * TGW_US_PER_S)
#define RUNNING_RETRY_US (1 * TGW_US_PER_S)
#define TEAM_RETRY_US (1 * TGW_US_PER_S)
#define RETRY_AFTER_SIZE 24

int64_t gateway_core_now_us(const struct gateway_core *core)
{
	return tgw_clock_monotonic_us(core->runtime->clock);
}

struct gateway_core *gateway_core_new(struct runtime *runtime)
{
	struct gateway_core *core = xcalloc(1, sizeof(*core));

	core->runtime = runtime;
	core->references = 1;
	core->replays = replay_cache_new(
		(size_t)runtime->settings->replay_memory_bytes,
		runtime->settings->replay_keep_s * TGW_US_PER_S);
	core->crashes = crash_tally_new();
	return core;
}

void gateway_core_unref(struct gateway_core *core)
{
	if (--core->references > 0)
		return;
	replay_cache_free(core->replays);
	crash_tally_free(core->crashes);
	free(core);
}

void call_answer_problem(struct gateway_core *core, struct answer *answer,
			 const struct problem *problem)
{
	int64_t retry_after_s = problem_retry_after_s(problem);
	struct buffer text = {0};
	char value[RETRY_AFTER_SIZE];

	metrics_add(&core->metrics.problems[problem->kind], 1);
	if (retry_after_s) {
		snprintf(value, sizeof(value), "%" PRId64, retry_after_s);
		answer_add_header(answer, "Retry-After", value);
	}
	problem_write(problem, &text);
	answer_set(answer, problem_status(problem->kind), PROBLEM_CONTENT_TYPE,
		   text.data, text.size);
	buffer_free(&text);
}

/* A planned stop waits for open requests. Each caller counts as one. A call
 * that goes on without a caller counts as one itself, so that the stop also
 * waits for it. */
static void set_counted_as_open(struct call *call, bool counted)
{
	atomic_long *open = &call->core->runtime->open_requests;

	if (call->counted_as_open == counted)
		return;
	call->counted_as_open = counted;
	if (counted)
		atomic_fetch_add(open, 1);
	else
		atomic_fetch_sub(open, 1);
}

static struct call_bucket *bucket_of(struct gateway_core *core,
				     const struct tgw_request_key *key)
{
	return &core->buckets[key->bytes[0]];
}

void call_init(struct call *call, const struct call_ops *ops,
	       struct gateway_core *core, const struct tgw_team *team,
	       const char *idempotency_key)
{
	const struct settings *settings = core->runtime->settings;
	struct answer_limits limits = {
		.keep_bytes = idempotency_key
				      ? (size_t)settings->max_answer_bytes
				      : 0,
		.window_bytes = (size_t)settings->stream_buffer_bytes,
	};

	call->ops = ops;
	call->core = core;
	call->references = 1;
	call->has_idempotency_key = idempotency_key != NULL;
	call->linger_us = idempotency_key ? RETRY_LINGER_US : 0;
	tgw_request_key_derive(&call->key, team->name, idempotency_key,
			       idempotency_key ? strlen(idempotency_key) : 0);
	sodium_bin2hex(call->id, sizeof(call->id), call->key.bytes,
		       sizeof(call->key.bytes));
	snprintf(call->team, sizeof(call->team), "%s", team->name);
	snprintf(call->budget, sizeof(call->budget), "%s", team->budget);
	call->team_limit = team->template->max_open_requests;
	call->started_us = gateway_core_now_us(core);
	call->answer = answer_new(&limits);
	answer_add_header(call->answer, "X-Request-Id", call->id);
}

void call_ref(struct call *call)
{
	call->references++;
}

void call_unref(struct call *call)
{
	struct gateway_core *core = call->core;

	if (--call->references > 0)
		return;
	assert(!call->is_linked && LIST_EMPTY(&call->callers));
	set_counted_as_open(call, false);
	answer_unref(call->answer);
	call->ops->free(call);
	gateway_core_unref(core);
}

static struct call *find_running(struct gateway_core *core,
				 const struct tgw_request_key *key)
{
	struct call *call;

	LIST_FOREACH(call, bucket_of(core, key), link)
	{
		if (memcmp(&call->key, key, sizeof(*key)) == 0)
			return call;
	}
	return NULL;
}

static int64_t count_open(const struct gateway_core *core, const char *team)
{
	const struct call *call;
	int64_t count = 0;

	for (size_t b = 0; b < CALL_BUCKET_COUNT; b++) {
		LIST_FOREACH(call, &core->buckets[b], link)
		{
			if (strcmp(call->team, team) == 0)
				count++;
		}
	}
	return count;
}

static void refuse_caller(struct call *call, struct caller *caller,
			  enum problem_kind kind, enum problem_not_run not_run,
			  int64_t retry_after_us, const char *detail)
{
	struct problem problem = {.kind = kind,
				  .not_run = not_run,
				  .detail = detail,
				  .request_id = call->id,
				  .retry_after_us = retry_after_us};

	log_line(LOG_CALLER, LOG_INFO, call->id, "refused: %s",
		 problem_name(kind));
	metrics_add(&call->core->metrics.calls[call->ops->kind][CALL_REFUSED],
		    1);
	answer_add_header(caller->answer, "X-Request-Id", call->id);
	call_answer_problem(call->core, caller->answer, &problem);
}

static void add_caller(struct call *call, struct caller *caller)
{
	caller->call = call;
	call->last_caller_left_us = 0;
	set_counted_as_open(call, false);
	LIST_INSERT_HEAD(&call->callers, caller, link);
	answer_move_readers(caller->answer, call->answer);
}

/* Handles a retry of a call that runs on this host.
 * @return false if there is no such call */
static bool join_running(struct call *call, struct caller *caller)
{
	struct call *running = find_running(call->core, &call->key);

	if (!running)
		return false;
	if (memcmp(running->body_hash, call->body_hash,
		   sizeof(call->body_hash)) != 0) {
		refuse_caller(call, caller, PROBLEM_KEY_REUSED, NOT_RUN_TRUE, 0,
			      NULL);
	} else if (running->is_abandoned ||
		   !answer_is_replayable(running->answer)) {
		refuse_caller(call, caller, PROBLEM_STILL_RUNNING,
			      NOT_RUN_FALSE, RUNNING_RETRY_US, NULL);
	} else {
		log_line(LOG_CALLER, LOG_INFO, call->id,
			 "a retry joins the running call");
		metrics_add(&call->core->metrics.joined, 1);
		add_caller(running, caller);
	}
	return true;
}

/* Handles a retry of a call whose response is stored.
 * @return false if there is no such response */
static bool replay(struct call *call, struct caller *caller)
{
	struct gateway_core *core = call->core;
	struct answer *stored = NULL;

	switch (replay_cache_find(core->replays, &call->key, call->body_hash,
				  gateway_core_now_us(core), &stored)) {
	case REPLAY_FOUND:
		log_line(LOG_CALLER, LOG_INFO, call->id,
			 "the stored response is replayed");
		metrics_add(&core->metrics.replayed, 1);
		answer_move_readers(caller->answer, stored);
		return true;
	case REPLAY_OTHER_BODY:
		refuse_caller(call, caller, PROBLEM_KEY_REUSED, NOT_RUN_TRUE, 0,
			      NULL);
		return true;
	default:
		return false;
	}
}

void call_admit(struct call *call, struct caller *caller)
{
	struct gateway_core *core = call->core;

	core->references++;
	if (join_running(call, caller) || replay(call, caller))
		goto cleanup;
	if (core->ending) {
		refuse_caller(call, caller, PROBLEM_STOPPING, NOT_RUN_TRUE,
			      RUNNING_RETRY_US, NULL);
		goto cleanup;
	}
	if (count_open(core, call->team) >= call->team_limit) {
		refuse_caller(call, caller, PROBLEM_TEAM_LIMIT, NOT_RUN_TRUE,
			      TEAM_RETRY_US, NULL);
		goto cleanup;
	}
	LIST_INSERT_HEAD(bucket_of(core, &call->key), call, link);
	call->is_linked = true;
	call_ref(call);
	add_caller(call, caller);
	call->ops->begin(call);
cleanup:
	call_unref(call);
}

static void abandon_call(struct call *call)
{
	call->is_abandoned = true;
	call_ref(call);
	call->ops->abandon(call);
	call_unref(call);
}

static void remove_caller(struct call *call, struct caller *caller)
{
	LIST_REMOVE(caller, link);
	if (!LIST_EMPTY(&call->callers) || answer_is_finished(call->answer))
		return;
	log_line(LOG_CALLER, LOG_INFO, call->id, "the caller went away");
	call->last_caller_left_us = gateway_core_now_us(call->core);
	set_counted_as_open(call, true);
	if (!call->linger_us || call->core->ending)
		abandon_call(call);
}

void call_caller_left(struct caller *caller)
{
	if (caller->call)
		remove_caller(caller->call, caller);
	atomic_fetch_sub(&caller->core->runtime->open_requests, 1);
	answer_unref(caller->answer);
	free(caller);
}

void gateway_core_tick(struct gateway_core *core)
{
	int64_t now = gateway_core_now_us(core);

	replay_cache_expire(core->replays, now);
	for (size_t b = 0; b < CALL_BUCKET_COUNT; b++) {
		struct call *call = LIST_FIRST(&core->buckets[b]);

		while (call) {
			struct call *next = LIST_NEXT(call, link);

			if (call->last_caller_left_us && !call->is_abandoned &&
			    now - call->last_caller_left_us >= call->linger_us)
				abandon_call(call);
			call = next;
		}
	}
}

void call_settle(struct call *call, int64_t tokens, enum tgw_settle_basis basis)
{
	struct gateway_metrics *metrics = &call->core->metrics;

	if (call->settled)
		return;
	call->settled = true;
	metrics_add(&metrics->settled[basis], 1);
	metrics_add(&metrics->settled_tokens, (uint64_t)tokens);
	tgw_budget_settle(call->core->runtime->budget, call->budget, &call->key,
			  tokens, basis);
}

void call_refuse(struct call *call, enum problem_kind kind,
		 enum problem_not_run not_run, int64_t retry_after_us,
		 const char *detail)
{
	struct problem problem = {.kind = kind,
				  .not_run = not_run,
				  .detail = detail,
				  .request_id = call->id,
				  .retry_after_us = retry_after_us};

	if (call->ended)
		return;
	log_line(LOG_CALLER, LOG_INFO, call->id, "refused: %s%s%s",
		 problem_name(kind), detail ? ": " : "", detail ? detail : "");
	call_answer_problem(call->core, call->answer, &problem);
	call_end(call, CALL_REFUSED);
}

void call_end(struct call *call, enum call_outcome outcome)
{
	struct gateway_core *core = call->core;
	struct caller *caller;

	if (call->ended)
		return;
	assert(answer_is_finished(call->answer));
	call->ended = true;
	metrics_add(&core->metrics.calls[call->ops->kind][outcome], 1);
	if (outcome == CALL_ANSWERED && call->has_idempotency_key)
		replay_cache_add(core->replays, &call->key, call->body_hash,
				 call->answer, gateway_core_now_us(core));
	while ((caller = LIST_FIRST(&call->callers))) {
		LIST_REMOVE(caller, link);
		caller->call = NULL;
	}
	LIST_REMOVE(call, link);
	call->is_linked = false;
	call_unref(call);
}
