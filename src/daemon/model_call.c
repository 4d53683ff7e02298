#include "daemon/model_call.h"

#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "daemon/log.h"
#include "daemon/model_call_private.h"

/* Attempts that take a request over from another host are numbered by the
 * seconds since 2023-11-14, so that their numbers are higher than those of the
 * earlier attempts. */
#define TAKE_OVER_EPOCH_S INT64_C(1700000000)
#define MAX_CANDIDATES 128

static void check_quarantine(struct model_call *mc, bool is_retry);

static struct model_call *to_model_call(struct call *call)
{
	return (struct model_call *)call;
}

static void release_server(struct model_call *mc,
			   enum tgw_route_outcome outcome)
{
	struct gateway_core *core = mc->call.core;

	if (!mc->has_ticket)
		return;
	mc->has_ticket = false;
	crash_tally_end(core->crashes, mc->engine.name);
	tgw_router_finish(core->runtime->router, mc->ticket, outcome,
			  model_stream_tokens(&mc->stream));
}

/* Reports to the quarantine that the attempt ended without showing whether the
 * request crashes servers. */
static void end_quarantine_attempt(struct model_call *mc)
{
	if (!mc->quarantine_attempt_open)
		return;
	mc->quarantine_attempt_open = false;
	tgw_quarantine_on_ended(mc->call.core->runtime->quarantine,
				&mc->fingerprint);
}

static void settle_usage(struct model_call *mc, const struct chat_usage *usage,
			 enum tgw_settle_basis basis)
{
	int64_t tokens = usage->prompt_tokens + usage->completion_tokens;

	if (tokens > mc->bound_tokens) {
		log_line(LOG_BACKEND, LOG_WARNING, mc->call.id,
			 "%s reports a usage of %" PRId64 " tokens, above the "
			 "bound of %" PRId64 ", which is charged instead; "
			 "check the server's token limit",
			 mc->engine.name, tokens, mc->bound_tokens);
		metrics_add(&mc->call.core->metrics.usage_over_bound, 1);
		tokens = mc->bound_tokens;
	}
	call_settle(&mc->call, tokens, basis);
}

/* Settles a call that ends without a complete answer. */
static void settle_unfinished(struct model_call *mc)
{
	if (!mc->is_reserved)
		return;
	if (!mc->may_have_run)
		call_settle(&mc->call, 0, TGW_SETTLE_NOT_RUN);
	else if (mc->engine_usage.known)
		settle_usage(mc, &mc->engine_usage, TGW_SETTLE_PARTIAL);
	else
		call_settle(&mc->call, mc->bound_tokens, TGW_SETTLE_BOUND);
}

static enum problem_not_run not_run_state(const struct model_call *mc)
{
	if (!mc->may_have_run)
		return NOT_RUN_TRUE;
	return mc->progress.tokens ? NOT_RUN_FALSE : NOT_RUN_UNKNOWN;
}

static void fail(struct model_call *mc, enum problem_kind kind,
		 int64_t retry_after_us, const char *detail)
{
	struct problem problem = {.kind = PROBLEM_STREAM_BROKEN,
				  .not_run = NOT_RUN_FALSE,
				  .detail = detail,
				  .request_id = mc->call.id,
				  .retry_after_us = retry_after_us};

	end_quarantine_attempt(mc);
	mc->failed = true;
	if (mc->engine_may_run)
		model_attempt_cancel(mc);
	else
		settle_unfinished(mc);
	if (!mc->stream.caller_has_tokens) {
		call_refuse(&mc->call, kind, not_run_state(mc), retry_after_us,
			    detail);
		return;
	}
	log_line(LOG_CALLER, LOG_WARNING, mc->call.id,
		 "the answer ends with an error after %" PRId64 " tokens: %s",
		 mc->progress.tokens, problem_name(kind));
	metrics_add(&mc->call.core->metrics.problems[problem.kind], 1);
	model_stream_add_error(&mc->stream, &problem);
	call_end(&mc->call, CALL_BROKEN);
}

/* Ends an abandoned call, unless one of its exchanges or callbacks is still
 * pending. */
static void end_abandoned(struct model_call *mc)
{
	if (mc->exchange || mc->control_requests_pending ||
	    mc->quarantine_check_pending || mc->call.ended)
		return;
	release_server(mc, TGW_ROUTE_CANCELLED);
	end_quarantine_attempt(mc);
	settle_unfinished(mc);
	if (!answer_is_finished(mc->call.answer))
		answer_finish(mc->call.answer, false);
	call_end(&mc->call, CALL_ABANDONED);
}

/* ---- admission ---- */

static void on_reserved(void *arg, const struct tgw_budget_answer *answer)
{
	struct model_call *mc = arg;
	struct call *call = &mc->call;
	int64_t wall_s =
		tgw_clock_wall_us(call->core->runtime->clock) / TGW_US_PER_S;

	mc->is_reserved = answer->status == TGW_OK && !answer->already_settled;
	if (mc->abandoned) {
		end_abandoned(mc);
	} else if (answer->already_settled) {
		call_refuse(call, PROBLEM_ALREADY_SETTLED, NOT_RUN_FALSE, 0,
			    NULL);
	} else if (answer->status == TGW_EXHAUSTED) {
		call_refuse(call, PROBLEM_BUDGET_EXHAUSTED, NOT_RUN_TRUE,
			    answer->retry_after_us, answer->message);
	} else if (answer->status == TGW_NOT_FOUND) {
		call_refuse(call, PROBLEM_FORBIDDEN, NOT_RUN_TRUE, 0,
			    answer->message);
	} else if (answer->status != TGW_OK) {
		call_refuse(call, PROBLEM_BUDGET_UNAVAILABLE, NOT_RUN_TRUE,
			    answer->retry_after_us, answer->message);
	} else {
		if (answer->already_reserved)
			mc->attempt = wall_s - TAKE_OVER_EPOCH_S;
		check_quarantine(mc, false);
	}
	call_unref(call);
}

static void model_call_begin(struct call *call)
{
	struct model_call *mc = to_model_call(call);
	struct runtime *runtime = call->core->runtime;
	struct tgw_budget_request request = {.budget = call->budget,
					     .key = call->key,
					     .bound_tokens = mc->bound_tokens};
	struct tgw_budget_callback callback = {.done = on_reserved, .arg = mc};

	call_ref(call);
	tgw_budget_reserve(runtime->budget, &request, callback);
}

/* ---- routing ---- */

static void exclude_server(struct model_call *mc)
{
	struct tgw_route_request *route = &mc->route;

	if (route->excluded_count == TGW_EXCLUDED_MAX)
		return;
	memcpy(route->excluded[route->excluded_count++], mc->engine.name,
	       sizeof(mc->engine.name));
}

static void assign_server(struct model_call *mc,
			  const struct tgw_route_answer *answer)
{
	const struct tgw_server *server = answer->server;
	struct engine *engine = &mc->engine;

	snprintf(engine->name, sizeof(engine->name), "%s", server->name);
	snprintf(engine->url, sizeof(engine->url), "%s", server->url);
	engine->can_resume = server->can_resume;
	engine->can_cancel = server->can_cancel;
	mc->priority = answer->priority;
	mc->ticket = answer->ticket;
	mc->has_ticket = true;
	crash_tally_start(mc->call.core->crashes, engine->name);
}

static void start_at_server(struct model_call *mc)
{
	if (mc->must_resume && !mc->engine.can_resume) {
		release_server(mc, TGW_ROUTE_CANCELLED);
		end_quarantine_attempt(mc);
		exclude_server(mc);
		if (mc->route.excluded_count == TGW_EXCLUDED_MAX)
			fail(mc, PROBLEM_BACKEND_FAILED, 0, NULL);
		else
			check_quarantine(mc, false);
		return;
	}
	model_attempt_start(mc, mc->must_resume);
}

static void on_route(void *arg, const struct tgw_route_answer *answer)
{
	struct model_call *mc = arg;

	mc->is_queued = false;
	switch (answer->status) {
	case TGW_OK:
		assign_server(mc, answer);
		start_at_server(mc);
		break;
	case TGW_TIMEOUT:
		fail(mc, PROBLEM_DEADLINE, 0, answer->message);
		break;
	case TGW_NOT_FOUND:
		fail(mc, PROBLEM_NO_SERVER, answer->retry_after_us,
		     answer->message);
		break;
	default:
		fail(mc, PROBLEM_OVERLOADED, answer->retry_after_us,
		     answer->message);
		break;
	}
	call_unref(&mc->call);
}

static void submit(struct model_call *mc, bool is_retry)
{
	struct tgw_route_callback callback = {.done = on_route, .arg = mc};
	uint32_t serial = ++mc->submit_count;
	uint64_t id;

	mc->route.is_retry = is_retry;
	mc->is_queued = true;
	call_ref(&mc->call);
	id = tgw_router_submit(mc->call.core->runtime->router, &mc->route,
			       callback);
	/* The callback may have run already, and may have submitted again. */
	if (mc->is_queued && mc->submit_count == serial)
		mc->route_id = id;
}

/* ---- quarantine check ---- */

static void on_quarantine_checked(void *arg,
				  const struct tgw_quarantine_answer *answer)
{
	struct model_call *mc = arg;

	mc->quarantine_attempt_open =
		answer->verdict == TGW_QUARANTINE_ADMITTED ||
		answer->verdict == TGW_QUARANTINE_PROBATION;
	mc->quarantine_check_pending = false;
	if (mc->abandoned) {
		end_abandoned(mc);
	} else if (answer->verdict == TGW_QUARANTINE_REFUSED) {
		fail(mc, PROBLEM_QUARANTINED, 0, answer->message);
	} else if (answer->verdict == TGW_QUARANTINE_BUSY) {
		fail(mc, PROBLEM_OVERLOADED, answer->retry_after_us,
		     answer->message);
	} else {
		snprintf(mc->route.required_server,
			 sizeof(mc->route.required_server), "%s",
			 answer->server ? answer->server : "");
		submit(mc, mc->route.is_retry);
	}
	call_unref(&mc->call);
}

static void check_quarantine(struct model_call *mc, bool is_retry)
{
	struct runtime *runtime = mc->call.core->runtime;
	const char *names[MAX_CANDIDATES];
	struct tgw_quarantine_query query = {
		.fingerprint = mc->fingerprint,
		.wait_until_us = mc->call.deadline_us,
		.servers = names,
	};
	struct tgw_quarantine_callback callback = {
		.done = on_quarantine_checked, .arg = mc};

	mc->route.is_retry = is_retry;
	mc->route.required_server[0] = '\0';
	query.server_count = tgw_router_candidates(runtime->router, &mc->route,
						   names, MAX_CANDIDATES);
	mc->quarantine_check_pending = true;
	call_ref(&mc->call);
	tgw_quarantine_enter(runtime->quarantine, &query, callback);
}

/* ---- the end of an attempt ---- */

static const enum tgw_route_outcome route_outcomes[ATTEMPT_END_COUNT] = {
	[ATTEMPT_COMPLETE] = TGW_ROUTE_SERVED,
	[ATTEMPT_PAST_LIMIT] = TGW_ROUTE_SERVED,
	[ATTEMPT_NOT_SENT] = TGW_ROUTE_CONNECT_FAILED,
	[ATTEMPT_BUSY] = TGW_ROUTE_SERVER_ERROR,
	[ATTEMPT_REFUSED] = TGW_ROUTE_CANCELLED,
	[ATTEMPT_ERROR] = TGW_ROUTE_SERVER_ERROR,
	[ATTEMPT_NOT_FOUND] = TGW_ROUTE_SERVER_ERROR,
	[ATTEMPT_OVERTAKEN] = TGW_ROUTE_CANCELLED,
	[ATTEMPT_BROKEN] = TGW_ROUTE_BROKEN,
	[ATTEMPT_ENGINE_DOWN] = TGW_ROUTE_BROKEN,
	[ATTEMPT_ENGINE_SILENT] = TGW_ROUTE_BROKEN,
	[ATTEMPT_INVALID_EVENTS] = TGW_ROUTE_SERVER_ERROR,
};

/* The problem that is reported to the caller when no attempt can follow. */
static const enum problem_kind end_problems[ATTEMPT_END_COUNT] = {
	[ATTEMPT_NOT_SENT] = PROBLEM_BACKEND_FAILED,
	[ATTEMPT_BUSY] = PROBLEM_OVERLOADED,
	[ATTEMPT_REFUSED] = PROBLEM_BACKEND_REFUSED,
	[ATTEMPT_ERROR] = PROBLEM_BACKEND_FAILED,
	[ATTEMPT_NOT_FOUND] = PROBLEM_BACKEND_FAILED,
	[ATTEMPT_OVERTAKEN] = PROBLEM_STILL_RUNNING,
	[ATTEMPT_BROKEN] = PROBLEM_BACKEND_FAILED,
	[ATTEMPT_ENGINE_DOWN] = PROBLEM_BACKEND_FAILED,
	[ATTEMPT_ENGINE_SILENT] = PROBLEM_BACKEND_FAILED,
	[ATTEMPT_INVALID_EVENTS] = PROBLEM_BACKEND_FAILED,
};

static const bool engine_may_run_after_end[ATTEMPT_END_COUNT] = {
	[ATTEMPT_PAST_LIMIT] = true,
	[ATTEMPT_BROKEN] = true,
	[ATTEMPT_ENGINE_SILENT] = true,
	[ATTEMPT_INVALID_EVENTS] = true,
};

static const bool may_have_run_after_end[ATTEMPT_END_COUNT] = {
	[ATTEMPT_COMPLETE] = true,	[ATTEMPT_PAST_LIMIT] = true,
	[ATTEMPT_ERROR] = true,		[ATTEMPT_OVERTAKEN] = true,
	[ATTEMPT_BROKEN] = true,	[ATTEMPT_ENGINE_DOWN] = true,
	[ATTEMPT_ENGINE_SILENT] = true, [ATTEMPT_INVALID_EVENTS] = true,
};

static void complete(struct model_call *mc, enum attempt_end end)
{
	struct runtime *runtime = mc->call.core->runtime;

	if (end == ATTEMPT_COMPLETE && mc->stream.usage.known)
		settle_usage(mc, &mc->stream.usage, TGW_SETTLE_USAGE);
	else
		call_settle(&mc->call, mc->bound_tokens, TGW_SETTLE_BOUND);
	mc->quarantine_attempt_open = false;
	tgw_quarantine_on_served(runtime->quarantine, &mc->fingerprint);
	call_end(&mc->call, CALL_ANSWERED);
	if (end == ATTEMPT_PAST_LIMIT)
		model_attempt_cancel(mc);
}

static void move_to_other_server(struct model_call *mc, bool resume)
{
	struct gateway_metrics *metrics = &mc->call.core->metrics;

	if (mc->engine_may_run)
		model_attempt_cancel(mc);
	mc->progress.restarts++;
	metrics_add(resume ? &metrics->resumed : &metrics->restarted, 1);
	end_quarantine_attempt(mc);
	mc->must_resume = resume;
	exclude_server(mc);
	check_quarantine(mc, true);
}

static void recover(struct model_call *mc, enum attempt_end end)
{
	enum stream_recovery recovery;

	if (may_have_run_after_end[end])
		mc->may_have_run = true;
	mc->engine_may_run = engine_may_run_after_end[end];
	mc->progress.tokens = model_stream_tokens(&mc->stream);
	mc->progress.caller_has_tokens = mc->stream.caller_has_tokens;
	mc->progress.server_can_resume = mc->engine.can_resume;
	recovery = stream_recovery_choose(end, &mc->progress);
	if (recovery != RECOVERY_NONE && mc->call.core->ending)
		recovery = RECOVERY_FAIL;
	if (recovery != RECOVERY_RESUME)
		release_server(mc, route_outcomes[end]);
	switch (recovery) {
	case RECOVERY_NONE:
		complete(mc, end);
		break;
	case RECOVERY_FAIL:
		fail(mc, end_problems[end], 0, NULL);
		break;
	case RECOVERY_RESUME:
		mc->progress.resumes++;
		metrics_add(&mc->call.core->metrics.resumed, 1);
		model_attempt_start(mc, true);
		break;
	case RECOVERY_RESUME_ELSEWHERE:
		move_to_other_server(mc, true);
		break;
	case RECOVERY_RESTART:
		move_to_other_server(mc, false);
		break;
	}
}

void model_call_attempt_ended(struct model_call *mc, enum http_outcome outcome)
{
	enum attempt_end end = model_stream_attempt_end(&mc->stream);
	struct gateway_core *core = mc->call.core;

	if (outcome == HTTP_NOT_CONNECTED)
		end = ATTEMPT_NOT_SENT;
	if (end != ATTEMPT_COMPLETE && end != ATTEMPT_PAST_LIMIT &&
	    mc->abandoned) {
		mc->may_have_run = mc->may_have_run || end != ATTEMPT_NOT_SENT;
		end_abandoned(mc);
		return;
	}
	if (end != ATTEMPT_COMPLETE)
		log_line(LOG_BACKEND, LOG_INFO, mc->call.id,
			 "attempt %" PRId64 " at %s ended after %" PRId64
			 " tokens (end %d, HTTP outcome %d, HTTP status "
			 "%" PRId32 ", event verdict %s)",
			 mc->attempt, mc->engine.name,
			 model_stream_tokens(&mc->stream), (int)end,
			 (int)outcome, mc->stream.status,
			 stream_verdict_name(mc->stream.verdict));
	if (end != ATTEMPT_BROKEN) {
		recover(mc, end);
		return;
	}
	mc->may_have_run = true;
	if (core->ending) {
		recover(mc, ATTEMPT_ENGINE_DOWN);
		return;
	}
	mc->others_running = crash_tally_record_broken_attempt(
		core->crashes, mc->engine.name, gateway_core_now_us(core));
	model_attempt_query_status(mc);
}

/* A server counts as crashed if it can't be asked, or has no record of a
 * request that it was running. One that is silent may only be paused. */
void model_call_status_query_done(struct model_call *mc, enum attempt_end end)
{
	if (mc->abandoned) {
		end_abandoned(mc);
		return;
	}
	if (end == ATTEMPT_ENGINE_DOWN) {
		mc->quarantine_attempt_open = false;
		tgw_quarantine_on_crash(mc->call.core->runtime->quarantine,
					&mc->fingerprint, mc->call.team,
					mc->engine.name, mc->others_running);
	}
	recover(mc, end);
}

/* ---- cancellation ---- */

void model_call_cancel_done(struct model_call *mc)
{
	mc->engine_may_run = false;
	if (mc->abandoned)
		end_abandoned(mc);
	else if (mc->failed)
		settle_unfinished(mc);
}

static void model_call_abandon(struct call *call)
{
	struct model_call *mc = to_model_call(call);

	mc->abandoned = true;
	if (mc->is_queued) {
		tgw_router_cancel(call->core->runtime->router, mc->route_id);
		mc->is_queued = false;
		end_abandoned(mc);
		/* The reference of the callback, which won't run. */
		call_unref(call);
	} else if (mc->exchange) {
		backend_exchange_cancel(mc->exchange);
		model_attempt_cancel(mc);
	}
	/* Otherwise a callback is pending, which finds `abandoned` set and ends
	 * the call. */
}

static void model_call_free(struct call *call)
{
	struct model_call *mc = to_model_call(call);

	assert(!mc->exchange && !mc->has_ticket);
	model_stream_clear(&mc->stream);
	free(mc->body);
	free(mc);
}

static const struct call_ops model_call_ops = {
	.kind = CALL_MODEL,
	.begin = model_call_begin,
	.abandon = model_call_abandon,
	.free = model_call_free,
};

static void init_stream(struct model_call *mc, bool sends_events)
{
	const struct runtime *runtime = mc->call.core->runtime;
	struct model_stream *stream = &mc->stream;

	stream->id = mc->call.id;
	stream->model = mc->model;
	stream->sends_events = sends_events;
	stream->max_content_bytes = (size_t)runtime->settings->max_answer_bytes;
	stream->prompt_bound_tokens = mc->prompt_bound_tokens;
	stream->answer = mc->call.answer;
	stream->metrics = &mc->call.core->metrics;
	stream->clock = runtime->clock;
	stream->started_us = mc->call.started_us;
	model_stream_init(stream, mc->token_limit);
}

static void init_route(struct model_call *mc, const struct chat_request *chat)
{
	struct tgw_route_request *route = &mc->route;

	route->team = mc->call.team;
	route->model = mc->model;
	route->urgency = mc->call.urgency;
	route->deadline_us = mc->call.deadline_us;
	route->prompt_tokens = mc->prompt_bound_tokens;
	route->output_tokens = mc->token_limit;
	route->prefix_count = chat->prefix_count;
	memcpy(route->prefix_hashes, chat->prefix_hashes,
	       chat->prefix_count * sizeof(chat->prefix_hashes[0]));
}

struct call *model_call_new(struct gateway_core *core,
			    const struct model_call_input *input)
{
	const struct tgw_template *template = input->team->template;
	const struct chat_request *chat = input->chat;
	struct model_call *mc = xcalloc(1, sizeof(*mc));
	struct call *call = &mc->call;

	call_init(call, &model_call_ops, core, input->team,
		  input->idempotency_key);
	call->urgency = input->urgency;
	call->deadline_us =
		call->started_us + input->deadline_ms * TGW_US_PER_MS;
	crypto_generichash(call->body_hash, sizeof(call->body_hash),
			   (const unsigned char *)input->body, input->body_size,
			   NULL, 0);
	snprintf(mc->model, sizeof(mc->model), "%s", chat->model);
	mc->token_limit = chat->max_tokens ? chat->max_tokens
					   : template->max_output_tokens;
	mc->prompt_bound_tokens =
		chat->prompt_bytes + template->prompt_fixed_tokens;
	mc->bound_tokens = mc->prompt_bound_tokens + mc->token_limit;
	mc->body = chat_request_for_engine(chat, mc->token_limit);
	tgw_fingerprint_of(&mc->fingerprint, call->team, input->body,
			   input->body_size);
	init_stream(mc, chat->stream);
	init_route(mc, chat);
	return call;
}
