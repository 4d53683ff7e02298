#include "daemon/service_call.h"

#include <assert.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "daemon/backend_fetch.h"
#include "daemon/log.h"

#define MAX_ATTEMPTS 3
/* Extra time that a call that must not be repeated waits for its response after
 * its deadline, because its outcome is unknown without the response. */
#define DEADLINE_EXTENSION_US (10 * TGW_US_PER_S)
#define MAX_RETRIED_STATUS 504
#define MIN_RETRIED_STATUS 502

struct service_call {
	struct call call; /* first member */
	char service[TGW_NAME_SIZE];
	char method[TGW_METHOD_SIZE];
	char *path;
	char *content_type;
	char *accept;
	char *idempotency_key;
	char *body;
	size_t body_size;
	bool may_repeat;
	int64_t price_tokens;
	struct tgw_route_request route;
	bool is_claimed;
	bool is_reserved;
	bool was_sent;
	bool abandoned; /* no caller is left */
	bool is_queued;
	uint64_t route_id;
	char server[TGW_NAME_SIZE];
	char *url;
	uint64_t route_ticket; /* of the router, not a claim ticket */
	int32_t attempts;
	struct backend_fetch *fetch;
};

static struct service_call *to_service_call(struct call *call)
{
	return (struct service_call *)call;
}

static struct runtime *runtime_of(const struct service_call *sc)
{
	return sc->call.core->runtime;
}

static void finish_claim(struct service_call *sc,
			 enum tgw_claim_outcome outcome,
			 const struct backend_fetch_result *result)
{
	if (!sc->is_claimed)
		return;
	sc->is_claimed = false;
	if (result)
		tgw_claim_finish(runtime_of(sc)->claims, &sc->call.key, outcome,
				 result->status, result->content_type,
				 result->body, result->body_size);
	else
		tgw_claim_finish(runtime_of(sc)->claims, &sc->call.key, outcome,
				 0, "", NULL, 0);
}

static void settle(struct service_call *sc)
{
	if (!sc->is_reserved)
		return;
	if (sc->was_sent)
		call_settle(&sc->call, sc->price_tokens, TGW_SETTLE_USAGE);
	else
		call_settle(&sc->call, 0, TGW_SETTLE_NOT_RUN);
}

static enum problem_not_run not_run_state(const struct service_call *sc)
{
	return sc->was_sent ? NOT_RUN_UNKNOWN : NOT_RUN_TRUE;
}

static void fail(struct service_call *sc, enum problem_kind kind,
		 enum problem_not_run not_run, int64_t retry_after_us,
		 const char *detail)
{
	finish_claim(sc,
		     sc->was_sent ? TGW_CLAIM_NO_RESPONSE : TGW_CLAIM_NOT_SENT,
		     NULL);
	settle(sc);
	call_refuse(&sc->call, kind, not_run, retry_after_us, detail);
}

static void end_abandoned(struct service_call *sc)
{
	finish_claim(sc,
		     sc->was_sent ? TGW_CLAIM_NO_RESPONSE : TGW_CLAIM_NOT_SENT,
		     NULL);
	settle(sc);
	if (!answer_is_finished(sc->call.answer))
		answer_finish(sc->call.answer, false);
	call_end(&sc->call, CALL_ABANDONED);
}

/* ---- exchange with the server ---- */

static void submit(struct service_call *sc, bool is_retry);

static void retry_on_other_server(struct service_call *sc)
{
	struct tgw_route_request *route = &sc->route;

	if (route->excluded_count < TGW_EXCLUDED_MAX)
		memcpy(route->excluded[route->excluded_count++], sc->server,
		       sizeof(sc->server));
	submit(sc, true);
}

static enum tgw_route_outcome route_outcome(
	const struct service_call *sc,
	const struct backend_fetch_result *result)
{
	if (result->outcome == HTTP_NOT_CONNECTED)
		return TGW_ROUTE_CONNECT_FAILED;
	if (result->outcome == HTTP_CANCELLED)
		return TGW_ROUTE_CANCELLED;
	if (result->outcome != HTTP_COMPLETE)
		return TGW_ROUTE_BROKEN;
	if (result->status >= MIN_RETRIED_STATUS &&
	    result->status <= MAX_RETRIED_STATUS)
		return TGW_ROUTE_SERVER_ERROR;
	return TGW_ROUTE_SERVED;
}

static bool may_retry(const struct service_call *sc,
		      enum tgw_route_outcome outcome)
{
	if (sc->attempts >= MAX_ATTEMPTS || sc->call.core->ending)
		return false;
	if (outcome == TGW_ROUTE_CONNECT_FAILED)
		return true;
	return sc->may_repeat && (outcome == TGW_ROUTE_BROKEN ||
				  outcome == TGW_ROUTE_SERVER_ERROR);
}

static void forward_response(struct service_call *sc,
			     const struct backend_fetch_result *result)
{
	finish_claim(sc, TGW_CLAIM_DONE, result);
	settle(sc);
	answer_set(sc->call.answer, result->status, result->content_type,
		   result->body, result->body_size);
	call_end(&sc->call, CALL_ANSWERED);
}

static void fail_attempt(struct service_call *sc,
			 const struct backend_fetch_result *result)
{
	if (result->too_large)
		fail(sc, PROBLEM_BACKEND_FAILED, NOT_RUN_FALSE, 0,
		     "the service's answer is over the size limit");
	else if (result->outcome == HTTP_NOT_CONNECTED)
		fail(sc, PROBLEM_BACKEND_FAILED, not_run_state(sc), 0,
		     "no server of the service can be reached");
	else if (sc->may_repeat)
		fail(sc, PROBLEM_BACKEND_FAILED, NOT_RUN_UNKNOWN, 0, NULL);
	else
		fail(sc, PROBLEM_OUTCOME_UNKNOWN, NOT_RUN_UNKNOWN, 0, NULL);
}

static void on_fetched(void *arg, const struct backend_fetch_result *result)
{
	struct service_call *sc = arg;
	enum tgw_route_outcome outcome = route_outcome(sc, result);

	sc->fetch = NULL;
	if (result->outcome != HTTP_NOT_CONNECTED)
		sc->was_sent = true;
	tgw_router_finish(runtime_of(sc)->router, sc->route_ticket, outcome, 0);
	if (sc->abandoned && sc->may_repeat)
		end_abandoned(sc);
	else if (may_retry(sc, outcome))
		retry_on_other_server(sc);
	else if (result->outcome == HTTP_COMPLETE)
		forward_response(sc, result);
	else
		fail_attempt(sc, result);
	call_unref(&sc->call);
}

static void add_header(struct http_request *http, const char *name,
		       const char *value)
{
	if (!value)
		return;
	http->headers[http->header_count].name = name;
	http->headers[http->header_count].value = value;
	http->header_count++;
}

static int64_t total_timeout_us(const struct service_call *sc)
{
	int64_t remaining_us =
		sc->call.deadline_us - gateway_core_now_us(sc->call.core);

	if (remaining_us < TGW_US_PER_MS)
		remaining_us = TGW_US_PER_MS;
	return sc->may_repeat ? remaining_us
			      : remaining_us + DEADLINE_EXTENSION_US;
}

static void send_request(struct service_call *sc)
{
	struct runtime *runtime = runtime_of(sc);
	struct http_request http = {
		.method = sc->method,
		.url = sc->url,
		.body = sc->body,
		.body_size = sc->body_size,
		.connect_timeout_us =
			runtime->settings->connect_timeout_ms * TGW_US_PER_MS,
		.total_timeout_us = total_timeout_us(sc),
		.fresh_connection = !sc->may_repeat,
		.may_resend = sc->may_repeat,
	};

	add_header(&http, "X-Request-Id", sc->call.id);
	add_header(&http, "Idempotency-Key",
		   sc->idempotency_key ? sc->idempotency_key : sc->call.id);
	add_header(&http, "Content-Type", sc->content_type);
	add_header(&http, "Accept", sc->accept);
	sc->attempts++;
	metrics_add(&sc->call.core->metrics.attempts, 1);
	log_line(LOG_BACKEND, LOG_DEBUG, sc->call.id, "sending %s %s to %s",
		 sc->method, sc->path, sc->server);
	call_ref(&sc->call);
	sc->fetch = backend_fetch_start(
		runtime->backend_http, runtime->coordination, &http,
		(size_t)runtime->settings->max_answer_bytes, on_fetched, sc);
}

/* ---- routing ---- */

static void assign_server(struct service_call *sc,
			  const struct tgw_route_answer *answer)
{
	snprintf(sc->server, sizeof(sc->server), "%s", answer->server->name);
	free(sc->url);
	sc->url = xasprintf("%s%s", answer->server->url, sc->path);
	sc->route_ticket = answer->ticket;
}

static void on_route(void *arg, const struct tgw_route_answer *answer)
{
	struct service_call *sc = arg;

	sc->is_queued = false;
	switch (answer->status) {
	case TGW_OK:
		assign_server(sc, answer);
		send_request(sc);
		break;
	case TGW_TIMEOUT:
		fail(sc, PROBLEM_DEADLINE, not_run_state(sc), 0,
		     answer->message);
		break;
	case TGW_NOT_FOUND:
		fail(sc, PROBLEM_NO_SERVER, not_run_state(sc),
		     answer->retry_after_us, answer->message);
		break;
	default:
		fail(sc, PROBLEM_OVERLOADED, not_run_state(sc),
		     answer->retry_after_us, answer->message);
		break;
	}
	call_unref(&sc->call);
}

static void submit(struct service_call *sc, bool is_retry)
{
	struct tgw_route_callback callback = {.done = on_route, .arg = sc};
	uint64_t id;

	sc->route.is_retry = is_retry;
	sc->is_queued = true;
	call_ref(&sc->call);
	id = tgw_router_submit(runtime_of(sc)->router, &sc->route, callback);
	if (sc->is_queued)
		sc->route_id = id;
}

/* ---- admission ---- */

static void on_reserved(void *arg, const struct tgw_budget_answer *answer)
{
	struct service_call *sc = arg;

	/* A key that was settled before has been paid for, so the call runs
	 * without a reservation. */
	sc->is_reserved = answer->status == TGW_OK && !answer->already_settled;
	if (sc->abandoned)
		end_abandoned(sc);
	else if (answer->status == TGW_OK || answer->already_settled)
		submit(sc, false);
	else if (answer->status == TGW_EXHAUSTED)
		fail(sc, PROBLEM_BUDGET_EXHAUSTED, NOT_RUN_TRUE,
		     answer->retry_after_us, answer->message);
	else if (answer->status == TGW_NOT_FOUND)
		fail(sc, PROBLEM_FORBIDDEN, NOT_RUN_TRUE, 0, answer->message);
	else
		fail(sc, PROBLEM_BUDGET_UNAVAILABLE, NOT_RUN_TRUE,
		     answer->retry_after_us, answer->message);
	call_unref(&sc->call);
}

static void reserve(struct service_call *sc)
{
	struct tgw_budget_request request = {.budget = sc->call.budget,
					     .key = sc->call.key,
					     .bound_tokens = sc->price_tokens};
	struct tgw_budget_callback callback = {.done = on_reserved, .arg = sc};

	if (sc->price_tokens == 0) {
		submit(sc, false);
		return;
	}
	call_ref(&sc->call);
	tgw_budget_reserve(runtime_of(sc)->budget, &request, callback);
}

static void replay_recorded_response(struct service_call *sc,
				     const struct tgw_claim_answer *answer)
{
	metrics_add(&sc->call.core->metrics.replayed, 1);
	if (answer->body_not_kept) {
		call_refuse(&sc->call, PROBLEM_ALREADY_SETTLED, NOT_RUN_FALSE,
			    0,
			    "the call ran; its answer was too large to keep");
		return;
	}
	answer_set(sc->call.answer, answer->http_status,
		   answer->content_type ? answer->content_type : "",
		   answer->body, answer->body_size);
	call_end(&sc->call, CALL_ANSWERED);
}

static void on_claimed(void *arg, const struct tgw_claim_answer *answer)
{
	struct service_call *sc = arg;

	sc->is_claimed = answer->state == TGW_CLAIM_GRANTED;
	switch (sc->abandoned ? TGW_CLAIM_REFUSED : answer->state) {
	case TGW_CLAIM_GRANTED:
		reserve(sc);
		break;
	case TGW_CLAIM_RECORDED:
		replay_recorded_response(sc, answer);
		break;
	case TGW_CLAIM_RUNNING:
		call_refuse(&sc->call, PROBLEM_STILL_RUNNING, NOT_RUN_FALSE,
			    answer->retry_after_us, answer->message);
		break;
	case TGW_CLAIM_UNKNOWN:
		call_refuse(&sc->call, PROBLEM_OUTCOME_UNKNOWN, NOT_RUN_UNKNOWN,
			    answer->retry_after_us, answer->message);
		break;
	case TGW_CLAIM_KEY_REUSED:
		call_refuse(&sc->call, PROBLEM_KEY_REUSED, NOT_RUN_TRUE, 0,
			    answer->message);
		break;
	case TGW_CLAIM_REFUSED:
		if (sc->abandoned)
			end_abandoned(sc);
		else
			call_refuse(&sc->call, PROBLEM_CLAIM_UNAVAILABLE,
				    NOT_RUN_TRUE, answer->retry_after_us,
				    answer->message);
		break;
	}
	call_unref(&sc->call);
}

static void service_call_begin(struct call *call)
{
	struct service_call *sc = to_service_call(call);
	struct tgw_claim_callback callback = {.done = on_claimed, .arg = sc};
	struct tgw_claim_request request = {
		.key = call->key,
		.team = call->team,
		.is_first_attempt = !call->has_idempotency_key,
	};

	if (sc->may_repeat) {
		reserve(sc);
		return;
	}
	if (sc->idempotency_key && tgw_claim_is_ticket(sc->idempotency_key))
		request.ticket = sc->idempotency_key;
	memcpy(request.body_hash, call->body_hash, sizeof(request.body_hash));
	call_ref(call);
	tgw_claim_begin(runtime_of(sc)->claims, &request, callback);
}

static void service_call_abandon(struct call *call)
{
	struct service_call *sc = to_service_call(call);

	sc->abandoned = true;
	if (sc->is_queued) {
		tgw_router_cancel(runtime_of(sc)->router, sc->route_id);
		sc->is_queued = false;
		end_abandoned(sc);
		/* Drops the reference that was held for the callback, which
		 * does not run after the cancellation. */
		call_unref(call);
	} else if (sc->fetch && sc->may_repeat) {
		backend_fetch_cancel(sc->fetch);
	}
	/* Otherwise the server may be running a call that must not be repeated,
	 * which goes on so that its outcome is recorded, or the callback of a
	 * claim or a reservation is pending, which ends the abandoned call. */
}

static void service_call_free(struct call *call)
{
	struct service_call *sc = to_service_call(call);

	assert(!sc->is_claimed);
	free(sc->path);
	free(sc->content_type);
	free(sc->accept);
	free(sc->idempotency_key);
	free(sc->body);
	free(sc->url);
	free(sc);
}

static const struct call_ops service_call_ops = {
	.kind = CALL_SERVICE,
	.begin = service_call_begin,
	.abandon = service_call_abandon,
	.free = service_call_free,
};

static void hash_field(crypto_generichash_state *state, const void *field,
		       size_t size)
{
	uint64_t length = size;

	crypto_generichash_update(state, (const unsigned char *)&length,
				  sizeof(length));
	crypto_generichash_update(state, field, size);
}

static void hash_request(struct call *call,
			 const struct service_call_input *input)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(call->body_hash));
	hash_field(&state, input->service->name, strlen(input->service->name));
	hash_field(&state, input->method, strlen(input->method));
	hash_field(&state, input->path, strlen(input->path));
	hash_field(&state, input->body, input->body_size);
	crypto_generichash_final(&state, call->body_hash,
				 sizeof(call->body_hash));
}

static char *copy_or_null(const char *text)
{
	return text ? xstrdup(text) : NULL;
}

static bool is_read_method(const char *method)
{
	return strcmp(method, "GET") == 0 || strcmp(method, "HEAD") == 0;
}

struct call *service_call_new(struct gateway_core *core,
			      const struct service_call_input *input)
{
	struct service_call *sc = xcalloc(1, sizeof(*sc));
	struct call *call = &sc->call;

	call_init(call, &service_call_ops, core, input->team,
		  input->idempotency_key);
	call->urgency = input->urgency;
	call->deadline_us =
		call->started_us + input->deadline_ms * TGW_US_PER_MS;
	hash_request(call, input);
	snprintf(sc->service, sizeof(sc->service), "%s", input->service->name);
	snprintf(sc->method, sizeof(sc->method), "%s", input->method);
	sc->path = xstrdup(input->path);
	sc->content_type = copy_or_null(input->content_type);
	sc->accept = copy_or_null(input->accept);
	sc->idempotency_key = copy_or_null(input->idempotency_key);
	sc->body = xmemdup(input->body, input->body_size + 1);
	sc->body_size = input->body_size;
	sc->may_repeat = tgw_service_may_repeat(input->service, input->method);
	sc->price_tokens = input->team->template->service_call_tokens;
	sc->route.team = call->team;
	sc->route.service = sc->service;
	sc->route.urgency = call->urgency;
	sc->route.deadline_us = call->deadline_us;
	sc->route.is_write = !is_read_method(input->method);
	if (!sc->may_repeat)
		answer_add_header(call->answer, "Idempotency-Key",
				  sc->idempotency_key ? sc->idempotency_key
						      : call->id);
	return call;
}
