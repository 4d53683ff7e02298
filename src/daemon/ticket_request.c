#include "daemon/ticket_request.h"

#include <jansson.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define STATUS_CREATED 201
#define RETRY_AFTER_US (1 * TGW_US_PER_S)

struct ticket_request {
	struct gateway_core *core;
	struct answer *answer;
	char team[TGW_NAME_SIZE];
};

static void send_ticket(struct answer *answer, const char *text)
{
	json_t *document = json_pack("{s:s}", "ticket", text);
	char *body = json_dumps(document, JSON_COMPACT);

	if (!body)
		abort();
	answer_set(answer, STATUS_CREATED, "application/json", body,
		   strlen(body));
	free(body);
	json_decref(document);
}

static void send_refusal(struct ticket_request *request,
			 const struct tgw_error *error)
{
	struct problem problem = {
		.kind = error->status == TGW_CANCELLED ? PROBLEM_STOPPING
						       : PROBLEM_OVERLOADED,
		.not_run = NOT_RUN_TRUE,
		.detail = error->message,
		.retry_after_us = RETRY_AFTER_US,
	};

	call_answer_problem(request->core, request->answer, &problem);
}

static void run_request(void *arg)
{
	struct ticket_request *request = arg;
	struct tgw_error error = {.status = TGW_OK};
	char text[TGW_CLAIM_TICKET_SIZE];

	if (tgw_claim_issue_ticket(request->core->runtime->claims,
				   request->team, text, &error) == TGW_OK)
		send_ticket(request->answer, text);
	else
		send_refusal(request, &error);
	answer_unref(request->answer);
	free(request);
}

void ticket_request_post(struct gateway_core *core, const char *team,
			 struct answer *answer)
{
	struct ticket_request *request = xcalloc(1, sizeof(*request));

	request->core = core;
	request->answer = answer_ref(answer);
	snprintf(request->team, sizeof(request->team), "%s", team);
	executor_post(core->runtime->coordination, run_request, request);
}
