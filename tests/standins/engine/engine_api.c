#include "standins/engine/engine_api.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "standins/common/standin_answer.h"

#define COMPLETIONS_PATH "/v1/chat/completions"
#define REQUESTS_PATH "/v1/requests/"
#define ID_SIZE 160

static const char *const state_names[] = {
	[RUN_WAITING] = "running",
	[RUN_RUNNING] = "running",
	[RUN_DONE] = "done",
	[RUN_CANCELLED] = "cancelled",
};

static int64_t header_number(const struct standin_call *call, const char *name)
{
	return standin_number(call, MHD_HEADER_KIND, name, 0);
}

/* Ids and model names are written into events without escaping. */
static bool is_plain(const char *text)
{
	return text && *text && strlen(text) < ID_SIZE &&
	       !strpbrk(text, "\"\\\n");
}

static enum MHD_Result serve_completions(struct engine *engine,
					 struct standin_call *call)
{
	json_t *body = json_loadb(call->body.data ? call->body.data : "",
				  call->body.size, 0, NULL);
	struct buffer prompt = {0};
	struct run_request request = {
		.id = standin_header(call, "X-Request-Id"),
		.model = json_string_value(json_object_get(body, "model")),
		.attempt = header_number(call, "X-Attempt"),
		.fencing = header_number(call, "X-Fencing"),
		.priority =
			json_integer_value(json_object_get(body, "priority")),
		.max_tokens =
			json_integer_value(json_object_get(body, "max_tokens")),
		.prompt = &prompt,
	};
	enum MHD_Result result;
	struct run *run;

	if (!is_plain(request.id) || !is_plain(request.model)) {
		result = standin_reply_error(
			call, 400, "X-Request-Id and model are required");
		goto out;
	}
	standin_prompt_text(json_object_get(body, "messages"), &prompt);
	engine_lock(engine);
	run = engine_submit(engine, &request);
	if (!run) {
		engine_unlock(engine);
		result = standin_reply_error(call, 409,
					     "a newer attempt is known");
		goto out;
	}
	result = stream_start(engine, run, call, 0,
			      json_is_true(json_object_get(body, "stream")));
out:
	buffer_free(&prompt);
	json_decref(body);
	return result;
}

static json_t *describe(const struct run *run)
{
	return json_pack("{s:s, s:I, s:o}", "state", state_names[run->state],
			 "attempt", (json_int_t)run->attempt, "usage",
			 run_usage(run));
}

/* Serves resume or cancel of a known run; unlocks the engine. */
static enum MHD_Result serve_command(struct engine *engine, struct run *run,
				     struct standin_call *call,
				     const char *command)
{
	bool is_resume = !strcmp(command, "resume");
	int64_t from = standin_number(call, MHD_GET_ARGUMENT_KIND, "from", 0);
	json_t *answer;

	if (!is_resume && strcmp(command, "cancel") != 0) {
		engine_unlock(engine);
		return standin_reply_error(call, 404, "no such order");
	}
	if (!engine_reassign(engine, run, header_number(call, "X-Attempt"),
			     header_number(call, "X-Fencing"))) {
		engine_unlock(engine);
		return standin_reply_error(call, 409,
					   "a newer attempt is known");
	}
	if (is_resume)
		return stream_start(engine, run, call, from, true);
	engine_cancel(engine, run);
	answer = describe(run);
	engine_unlock(engine);
	return standin_reply_json(call, 200, answer);
}

static enum MHD_Result serve_request(struct engine *engine,
				     struct standin_call *call)
{
	char *id = call->path + strlen(REQUESTS_PATH);
	char *command = strchr(id, '/');
	struct run *run;
	json_t *answer;

	if (command)
		*command++ = '\0';
	engine_lock(engine);
	run = engine_find(engine, id);
	if (run && command)
		return serve_command(engine, run, call, command);
	answer = run ? describe(run)
		     : json_pack("{s:s, s:i, s:{s:i, s:i}}", "state", "unknown",
				 "attempt", 0, "usage", "prompt_tokens", 0,
				 "completion_tokens", 0);
	engine_unlock(engine);
	return standin_reply_json(call, command ? 404 : 200, answer);
}

static enum MHD_Result serve_load(struct engine *engine,
				  struct standin_call *call)
{
	json_t *answer;

	engine_lock(engine);
	answer = engine_load(engine);
	engine_unlock(engine);
	return standin_reply_json(call, 200, answer);
}

static enum MHD_Result serve_totals(struct engine *engine,
				    struct standin_call *call)
{
	json_t *answer;

	engine_lock(engine);
	answer = engine_totals(engine);
	engine_unlock(engine);
	return standin_reply_json(call, 200, answer);
}

static enum MHD_Result serve_cache_events(struct engine *engine,
					  struct standin_call *call)
{
	json_t *answer;

	engine_lock(engine);
	answer = engine_cache_events(engine,
				     standin_number(call, MHD_GET_ARGUMENT_KIND,
						    "since", 0));
	engine_unlock(engine);
	return standin_reply_json(call, 200, answer);
}

enum MHD_Result engine_api_serve(void *arg, struct standin_call *call)
{
	if (!strcmp(call->path, COMPLETIONS_PATH))
		return serve_completions(arg, call);
	if (!strncmp(call->path, REQUESTS_PATH, strlen(REQUESTS_PATH)))
		return serve_request(arg, call);
	if (!strcmp(call->path, "/load"))
		return serve_load(arg, call);
	if (!strcmp(call->path, "/cache/events"))
		return serve_cache_events(arg, call);
	if (!strcmp(call->path, "/admin/totals"))
		return serve_totals(arg, call);
	return standin_reply_error(call, 404, "no such path");
}
