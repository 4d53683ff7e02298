#include "protocol/problem.h"

#include <assert.h>
#include <jansson.h>
#include <stdlib.h>

#include "tamarackgw/clock.h"

struct problem_text {
	int32_t status;
	const char *name;
	const char *title;
	const char *remedy;
};

static const struct problem_text texts[PROBLEM_KIND_COUNT] = {
	[PROBLEM_INVALID] = {400, "invalid", "The request is malformed",
			     "Correct the request as the detail says."},
	[PROBLEM_UNAUTHORIZED] = {401, "unauthorized", "Unknown caller",
				  "Send Authorization: Bearer with a key of "
				  "your team."},
	[PROBLEM_FORBIDDEN] = {403, "forbidden", "Not permitted for the team",
			       "Ask an operator to permit this in the team's "
			       "template."},
	[PROBLEM_NOT_FOUND] = {404, "not-found", "No such resource",
			       "Check the path."},
	[PROBLEM_METHOD_NOT_ALLOWED] =
		{405, "method-not-allowed", "The method does not fit the path",
		 "Use the method that the path is made for."},
	[PROBLEM_TOO_LARGE] = {413, "too-large", "The request is too large",
			       "Send a smaller body."},
	[PROBLEM_KEY_REUSED] = {422, "key-reused",
				"The idempotency key belongs to another "
				"request",
				"Use a new Idempotency-Key for a new request."},
	[PROBLEM_QUARANTINED] = {422, "quarantined",
				 "The request crashed backend servers",
				 "Change the request, or ask an operator to "
				 "lift its quarantine."},
	[PROBLEM_BUDGET_EXHAUSTED] =
		{402, "budget-exhausted",
		 "The prepaid budget does not cover the request",
		 "Top up the budget, or lower max_tokens."},
	[PROBLEM_BUDGET_UNAVAILABLE] = {503, "budget-unavailable",
					"The budget can't be reached",
					"Retry after the given time."},
	[PROBLEM_TEAM_LIMIT] = {429, "team-limit",
				"Too many open requests of the team",
				"Wait for open requests to end, then retry."},
	[PROBLEM_OVERLOADED] = {503, "overloaded", "No capacity for now",
				"Retry after the given time."},
	[PROBLEM_NO_SERVER] = {503, "no-server",
			       "No backend server can take the request",
			       "Retry later, or ask an operator whether a "
			       "server is in service."},
	[PROBLEM_CLAIM_UNAVAILABLE] = {503, "claim-unavailable",
				       "The call can't be secured against a "
				       "second run for now",
				       "Retry with the same Idempotency-Key."},
	[PROBLEM_DEADLINE] = {504, "deadline", "The deadline passed",
			      "Retry with a later deadline."},
	[PROBLEM_STOPPING] = {503, "stopping", "This host is stopping",
			      "Retry at another host."},
	[PROBLEM_ALREADY_SETTLED] = {409, "already-settled",
				     "The request ended and its answer is not "
				     "kept here",
				     "Use a new Idempotency-Key to run it "
				     "again, at its price."},
	[PROBLEM_STILL_RUNNING] = {409, "still-running",
				   "The request still runs",
				   "Retry with the same Idempotency-Key after "
				   "the given time."},
	[PROBLEM_OUTCOME_UNKNOWN] = {502, "outcome-unknown",
				     "It can't be learnt whether the call ran",
				     "Look at the service whether the call "
				     "took effect before making a new one."},
	[PROBLEM_BACKEND_REFUSED] = {502, "backend-refused",
				     "The backend server refused the request",
				     "Check the request's fields against what "
				     "the model takes."},
	[PROBLEM_BACKEND_FAILED] = {502, "backend-failed",
				    "The backend servers failed",
				    "Retry the request."},
	[PROBLEM_STREAM_BROKEN] = {502, "stream-broken",
				   "The answer broke off and is not whole",
				   "Discard what came and retry."},
};

int32_t problem_status(enum problem_kind kind)
{
	assert(kind < PROBLEM_KIND_COUNT);
	return texts[kind].status;
}

const char *problem_name(enum problem_kind kind)
{
	assert(kind < PROBLEM_KIND_COUNT);
	return texts[kind].name;
}

int64_t problem_retry_after_s(const struct problem *problem)
{
	if (problem->retry_after_us <= 0)
		return 0;
	return (problem->retry_after_us + TGW_US_PER_S - 1) / TGW_US_PER_S;
}

static json_t *not_run_json(enum problem_not_run not_run)
{
	if (not_run == NOT_RUN_UNKNOWN)
		return json_string("unknown");
	return json_boolean(not_run == NOT_RUN_TRUE);
}

void problem_write(const struct problem *problem, struct buffer *text)
{
	const struct problem_text *entry = &texts[problem->kind];
	json_t *document = json_object();
	char *dump;

	json_object_set_new(document, "type",
			    json_sprintf("urn:tamarackgw:%s", entry->name));
	json_object_set_new(document, "title", json_string(entry->title));
	json_object_set_new(document, "status", json_integer(entry->status));
	/* A detail that is not valid UTF-8 is left out: json_string() returns
	 * NULL for it. */
	if (problem->detail)
		json_object_set_new(document, "detail",
				    json_string(problem->detail));
	json_object_set_new(document, "remedy", json_string(entry->remedy));
	json_object_set_new(document, "not_run",
			    not_run_json(problem->not_run));
	if (problem->request_id)
		json_object_set_new(document, "request_id",
				    json_string(problem->request_id));
	dump = json_dumps(document, JSON_COMPACT | JSON_ENSURE_ASCII);
	buffer_add_text(text, dump ? dump : "{}");
	free(dump);
	json_decref(document);
}
