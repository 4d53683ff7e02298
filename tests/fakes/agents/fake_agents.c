#include "fakes/agents/fake_agents.h"

#include <sodium.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "daemon/log.h"
#include "tamarackgw/config_follower.h"
#include "tamarackgw/membership.h"

#define TICKET_PREFIX "ticket-"
#define RETRY_AFTER_US INT64_C(2500000)

struct fake_agents fake_agents;

void fake_agents_reset(const struct tgw_config_snapshot *config)
{
	memset(&fake_agents, 0, sizeof(fake_agents));
	fake_agents.config = config;
	fake_agents.claim_state = TGW_CLAIM_GRANTED;
	fake_agents.last_settle_basis = -1;
	fake_agents.last_claim_outcome = -1;
}

/* ---- budget ---- */

void tgw_budget_reserve(struct tgw_budget_agent *agent,
			const struct tgw_budget_request *request,
			struct tgw_budget_callback callback)
{
	struct tgw_budget_answer answer = {
		.status = fake_agents.reserve_status,
		.already_reserved = fake_agents.already_reserved,
		.already_settled = fake_agents.already_settled,
		.retry_after_us = RETRY_AFTER_US,
		.message = "fake budget",
	};

	fake_agents.reserves++;
	fake_agents.last_bound_tokens = request->bound_tokens;
	callback.done(callback.arg, &answer);
}

void tgw_budget_settle(struct tgw_budget_agent *agent, const char *budget,
		       const struct tgw_request_key *key, int64_t spent_tokens,
		       enum tgw_settle_basis basis)
{
	fake_agents.last_settled_tokens = spent_tokens;
	fake_agents.last_settle_basis = (int)basis;
	fake_agents.settles++;
}

void tgw_request_key_derive(struct tgw_request_key *key, const char *team,
			    const char *idempotency_key,
			    size_t idempotency_key_size)
{
	crypto_generichash_state state;

	if (!idempotency_key) {
		randombytes_buf(key, sizeof(*key));
		return;
	}
	crypto_generichash_init(&state, NULL, 0, sizeof(key->bytes));
	crypto_generichash_update(&state, (const unsigned char *)team,
				  strlen(team) + 1);
	crypto_generichash_update(&state,
				  (const unsigned char *)idempotency_key,
				  idempotency_key_size);
	crypto_generichash_final(&state, key->bytes, sizeof(key->bytes));
}

/* ---- claims ---- */

void tgw_claim_begin(struct tgw_claim_agent *agent,
		     const struct tgw_claim_request *request,
		     struct tgw_claim_callback callback)
{
	static const char body[] = "recorded";
	struct tgw_claim_answer answer = {
		.state = fake_agents.claim_state,
		.body_not_kept = fake_agents.body_not_kept,
		.http_status = 201,
		.content_type = "text/plain",
		.body = (const uint8_t *)body,
		.body_size = sizeof(body) - 1,
		.retry_after_us = RETRY_AFTER_US,
		.message = "fake claim",
	};

	fake_agents.claims++;
	if (request->ticket)
		fake_agents.claims_with_ticket++;
	if (request->is_first_attempt)
		fake_agents.first_attempts++;
	callback.done(callback.arg, &answer);
}

void tgw_claim_finish(struct tgw_claim_agent *agent,
		      const struct tgw_request_key *key,
		      enum tgw_claim_outcome outcome, int32_t http_status,
		      const char *content_type, const void *body,
		      size_t body_size)
{
	fake_agents.last_claim_outcome = (int)outcome;
	fake_agents.claim_finishes++;
}

bool tgw_claim_is_ticket(const char *text)
{
	return strncmp(text, TICKET_PREFIX, strlen(TICKET_PREFIX)) == 0;
}

enum tgw_status tgw_claim_issue_ticket(struct tgw_claim_agent *agent,
				       const char *team,
				       char text[TGW_CLAIM_TICKET_SIZE],
				       struct tgw_error *error)
{
	if (fake_agents.ticket_status != TGW_OK)
		return tgw_error_set(error, fake_agents.ticket_status,
				     "fake tickets");
	snprintf(text, TGW_CLAIM_TICKET_SIZE, TICKET_PREFIX "%s", team);
	return TGW_OK;
}

/* ---- router ---- */

static bool is_excluded(const struct tgw_route_request *request,
			const char *name)
{
	for (size_t i = 0; i < request->excluded_count; i++)
		if (strcmp(request->excluded[i], name) == 0)
			return true;
	return false;
}

static bool serves(const struct tgw_server *server,
		   const struct tgw_route_request *request)
{
	if (is_excluded(request, server->name))
		return false;
	if (request->required_server[0] &&
	    strcmp(request->required_server, server->name) != 0)
		return false;
	if (request->model)
		return tgw_name_list_has(&server->models, request->model);
	return strcmp(server->service, request->service) == 0;
}

uint64_t tgw_router_submit(struct tgw_router *router,
			   const struct tgw_route_request *request,
			   struct tgw_route_callback callback)
{
	const struct tgw_config_snapshot *config = fake_agents.config;
	struct tgw_route_answer answer = {.status = TGW_NOT_FOUND,
					  .retry_after_us = RETRY_AFTER_US,
					  .message = "fake router"};

	fake_agents.submits++;
	if (request->is_retry)
		fake_agents.retries++;
	if (fake_agents.routes_stay_queued)
		return 1;
	for (size_t i = 0; !answer.server && i < config->server_count; i++)
		if (serves(&config->servers[i], request))
			answer.server = &config->servers[i];
	if (fake_agents.route_status != TGW_OK)
		answer.status = fake_agents.route_status;
	else if (answer.server)
		answer.status = TGW_OK;
	if (answer.status == TGW_OK)
		fake_agents.routes_open++;
	answer.priority = (int32_t)request->urgency;
	callback.done(callback.arg, &answer);
	return 1;
}

size_t tgw_router_candidates(struct tgw_router *router,
			     const struct tgw_route_request *request,
			     const char **names, size_t capacity)
{
	return 0;
}

void tgw_router_cancel(struct tgw_router *router, uint64_t id)
{
	fake_agents.route_cancels++;
}

void tgw_router_finish(struct tgw_router *router, uint64_t ticket,
		       enum tgw_route_outcome outcome, int64_t output_tokens)
{
	fake_agents.last_route_outcome = (int)outcome;
	fake_agents.routes_open--;
	fake_agents.finishes++;
}

void tgw_router_on_load(struct tgw_router *router, const char *server,
			const struct tgw_load_report *report)
{
	fake_agents.load_reports++;
}

void tgw_router_on_cache_event(struct tgw_router *router, const char *server,
			       const struct tgw_cache_event *event)
{
	fake_agents.cache_events++;
}

/* ---- quarantine ---- */

void tgw_fingerprint_of(struct tgw_fingerprint *fingerprint, const char *team,
			const void *body, size_t body_size)
{
	crypto_generichash(fingerprint->bytes, sizeof(fingerprint->bytes), body,
			   body_size, NULL, 0);
}

void tgw_quarantine_enter(struct tgw_quarantine *quarantine,
			  const struct tgw_quarantine_query *query,
			  struct tgw_quarantine_callback callback)
{
	struct tgw_quarantine_answer answer = {
		.verdict = fake_agents.verdict,
		.server = fake_agents.probation_server,
		.retry_after_us = RETRY_AFTER_US,
		.message = "fake quarantine",
	};

	if (answer.verdict == TGW_QUARANTINE_ADMITTED ||
	    answer.verdict == TGW_QUARANTINE_PROBATION)
		fake_agents.entered++;
	callback.done(callback.arg, &answer);
}

void tgw_quarantine_on_ended(struct tgw_quarantine *quarantine,
			     const struct tgw_fingerprint *fingerprint)
{
	fake_agents.entered--;
}

void tgw_quarantine_on_crash(struct tgw_quarantine *quarantine,
			     const struct tgw_fingerprint *fingerprint,
			     const char *team, const char *server,
			     uint32_t others_running)
{
	fake_agents.entered--;
	fake_agents.last_others_running = (int)others_running;
	fake_agents.crashes++;
}

void tgw_quarantine_on_served(struct tgw_quarantine *quarantine,
			      const struct tgw_fingerprint *fingerprint)
{
	fake_agents.entered--;
}

/* ---- planned stop ---- */

void tgw_budget_drain(struct tgw_budget_agent *agent)
{
}

bool tgw_budget_is_drained(const struct tgw_budget_agent *agent)
{
	return true;
}

void tgw_claim_drain(struct tgw_claim_agent *agent)
{
}

bool tgw_claim_is_drained(const struct tgw_claim_agent *agent)
{
	return true;
}

void tgw_membership_set_self(struct tgw_membership *membership, bool leaving,
			     uint64_t config_generation)
{
}

/* ---- configuration ---- */

uint64_t tgw_config_follower_generation(
	const struct tgw_config_follower *follower)
{
	return fake_agents.config->generation;
}

const struct tgw_team *tgw_config_find_team_by_key(
	const struct tgw_config_snapshot *config, const char *key,
	size_t key_size)
{
	/* In this fake, a team's API key is the team's name. */
	for (size_t i = 0; i < config->team_count; i++)
		if (strlen(config->teams[i].name) == key_size &&
		    memcmp(config->teams[i].name, key, key_size) == 0)
			return &config->teams[i];
	return NULL;
}

const struct tgw_service *tgw_config_find_service(
	const struct tgw_config_snapshot *config, const char *name)
{
	for (size_t i = 0; i < config->service_count; i++)
		if (strcmp(config->services[i].name, name) == 0)
			return &config->services[i];
	return NULL;
}

const struct tgw_work_kind *tgw_template_find_work_kind(
	const struct tgw_template *template, const char *name)
{
	for (size_t i = 0; i < template->work_kind_count; i++)
		if (strcmp(template->work_kinds[i].name, name) == 0)
			return &template->work_kinds[i];
	return NULL;
}

bool tgw_name_list_has(const struct tgw_name_list *list, const char *name)
{
	for (size_t i = 0; i < list->count; i++)
		if (strcmp(list->names[i], name) == 0)
			return true;
	return false;
}

bool tgw_service_may_repeat(const struct tgw_service *service,
			    const char *method)
{
	for (size_t i = 0; i < service->repeatable_count; i++)
		if (strcmp(service->repeatable[i], method) == 0)
			return true;
	return false;
}

/* ---- log ---- */

void log_line(enum log_component component, enum log_level level,
	      const char *request_id, const char *format, ...)
{
	va_list args;

	if (!getenv("TGW_TEST_LOG"))
		return;
	fprintf(stderr, "%s: ", request_id ? request_id : "-");
	va_start(args, format);
	vfprintf(stderr, format, args);
	va_end(args);
	fputc('\n', stderr);
}
