#include <inttypes.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "daemon/backend_fetch.h"
#include "daemon/log.h"
#include "daemon/model_call_private.h"
#include "protocol/chat_request.h"

#define CONTROL_TIMEOUT_US (2 * TGW_US_PER_S)
#define MAX_CONTROL_RESPONSE_BYTES (16 * 1024)
#define ATTEMPT_NUMBER_SIZE 24
#define STATUS_OK 200

/* An HTTP request and the strings that it points to, which http_start()
 * copies. */
struct engine_request {
	char attempt_number[ATTEMPT_NUMBER_SIZE];
	char *url;
	struct http_request http;
};

static void add_header(struct http_request *http, const char *name,
		       const char *value)
{
	http->headers[http->header_count].name = name;
	http->headers[http->header_count].value = value;
	http->header_count++;
}

static void engine_request_init(struct engine_request *request,
				const struct model_call *mc, const char *method,
				char *url)
{
	const struct settings *settings = mc->call.core->runtime->settings;
	struct http_request *http = &request->http;

	memset(request, 0, sizeof(*request));
	snprintf(request->attempt_number, sizeof(request->attempt_number),
		 "%" PRId64, mc->attempt);
	request->url = url;
	http->method = method;
	http->url = url;
	http->connect_timeout_us = settings->connect_timeout_ms * TGW_US_PER_MS;
	add_header(http, "X-Request-Id", mc->call.id);
	add_header(http, "X-Attempt", request->attempt_number);
	add_header(http, "X-Fencing", request->attempt_number);
}

/* ---- the attempt's stream, called by the HTTP client ---- */

static void on_started(void *arg, int32_t status, const char *content_type)
{
	struct model_call *mc = arg;

	model_stream_set_head(&mc->stream, status, content_type);
}

/* The answer can be written to again. Called by the code that reads the answer
 * or detaches a reader from it. */
static void on_writable(void *arg)
{
	backend_exchange_resume(arg);
}

static enum backend_data_result on_data(void *arg,
					struct backend_exchange *exchange,
					const void *data, size_t size)
{
	struct model_call *mc = arg;

	if (!answer_may_write(mc->call.answer, on_writable, exchange)) {
		metrics_add(&mc->call.core->metrics.paused, 1);
		return BACKEND_PAUSE;
	}
	if (!model_stream_feed(&mc->stream, data, size))
		return BACKEND_STOP;
	return BACKEND_CONSUMED;
}

static void on_closing(void *arg)
{
	struct model_call *mc = arg;

	answer_cancel_on_writable(mc->call.answer);
}

/* ---- posted to the coordination thread ---- */

static void on_ended(void *arg, enum http_outcome outcome)
{
	struct model_call *mc = arg;

	mc->exchange = NULL;
	model_call_attempt_ended(mc, outcome);
	call_unref(&mc->call);
}

static const struct backend_exchange_ops stream_ops = {
	.started = on_started,
	.data = on_data,
	.closing = on_closing,
	.ended = on_ended,
};

void model_attempt_start(struct model_call *mc, bool resume)
{
	struct runtime *runtime = mc->call.core->runtime;
	struct engine_request request;
	char *body = chat_request_with_priority(mc->body, mc->priority);
	char *url;

	mc->attempt++;
	mc->attempt_count++;
	metrics_add(&mc->call.core->metrics.attempts, 1);
	model_stream_begin(&mc->stream, mc->attempt, !resume);
	if (resume)
		url = xasprintf("%s/v1/requests/%s/resume?from=%" PRId64,
				mc->engine.url, mc->call.id,
				model_stream_tokens(&mc->stream));
	else
		url = xasprintf("%s/v1/chat/completions", mc->engine.url);
	engine_request_init(&request, mc, "POST", url);
	add_header(&request.http, "Content-Type", "application/json");
	add_header(&request.http, "Accept", "text/event-stream");
	request.http.body = body;
	request.http.body_size = strlen(body);
	request.http.idle_timeout_us =
		runtime->settings->stream_idle_ms * TGW_US_PER_MS;
	log_line(LOG_BACKEND, LOG_DEBUG, mc->call.id,
		 "attempt %" PRId64 " starts at %s from token %" PRId64,
		 mc->attempt, mc->engine.name,
		 model_stream_tokens(&mc->stream));
	call_ref(&mc->call);
	mc->exchange = backend_exchange_start(runtime->backend_http,
					      runtime->coordination,
					      &request.http, &stream_ops, mc);
	free(body);
	free(url);
}

static void start_control_request(
	struct model_call *mc, const char *method, char *url,
	void (*done)(void *arg, const struct backend_fetch_result *result))
{
	struct runtime *runtime = mc->call.core->runtime;
	struct engine_request request;

	engine_request_init(&request, mc, method, url);
	request.http.total_timeout_us = CONTROL_TIMEOUT_US;
	request.http.may_resend = true;
	mc->control_requests_pending++;
	call_ref(&mc->call);
	backend_fetch_start(runtime->backend_http, runtime->coordination,
			    &request.http, MAX_CONTROL_RESPONSE_BYTES, done,
			    mc);
	free(url);
}

static void record_usage(struct model_call *mc,
			 const struct backend_fetch_result *result)
{
	if (result->outcome == HTTP_COMPLETE && result->status == STATUS_OK)
		chat_usage_parse(&mc->engine_usage, result->body,
				 result->body_size);
}

static void on_cancelled(void *arg, const struct backend_fetch_result *result)
{
	struct model_call *mc = arg;

	mc->control_requests_pending--;
	record_usage(mc, result);
	model_call_cancel_done(mc);
	call_unref(&mc->call);
}

void model_attempt_cancel(struct model_call *mc)
{
	if (!mc->engine.can_cancel || mc->call.core->ending) {
		model_call_cancel_done(mc);
		return;
	}
	metrics_add(&mc->call.core->metrics.cancelled, 1);
	log_line(LOG_BACKEND, LOG_INFO, mc->call.id,
		 "cancelling attempt %" PRId64 " at %s", mc->attempt,
		 mc->engine.name);
	start_control_request(mc, "POST",
			      xasprintf("%s/v1/requests/%s/cancel",
					mc->engine.url, mc->call.id),
			      on_cancelled);
}

/* @return how the attempt ended, by the server's answer to the query */
static enum attempt_end read_status(const struct backend_fetch_result *result)
{
	if (result->outcome == HTTP_TIMED_OUT)
		return ATTEMPT_ENGINE_SILENT;
	if (result->outcome == HTTP_COMPLETE && result->status == STATUS_OK &&
	    !strstr(result->body, "\"unknown\""))
		return ATTEMPT_BROKEN;
	return ATTEMPT_ENGINE_DOWN;
}

static void on_status(void *arg, const struct backend_fetch_result *result)
{
	struct model_call *mc = arg;

	mc->control_requests_pending--;
	model_call_status_query_done(mc, read_status(result));
	call_unref(&mc->call);
}

void model_attempt_query_status(struct model_call *mc)
{
	start_control_request(mc, "GET",
			      xasprintf("%s/v1/requests/%s", mc->engine.url,
					mc->call.id),
			      on_status);
}
