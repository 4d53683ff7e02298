#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "scenario/requests_fleet.h"

static struct tgw_server *find_server(struct fleet *fleet,
				      const struct scenario_step *step,
				      size_t word)
{
	for (size_t i = 0; i < fleet->config.server_count; i++)
		if (!strcmp(fleet->servers[i].name, step->words[word]))
			return &fleet->servers[i];
	scenario_fail(step, "there is no server '%s'", step->words[word]);
}

static void publish(struct fleet *fleet)
{
	fleet->config.generation++;
	fleet->config.servers = fleet->servers;
	for (size_t i = 0; i < fleet->host_count; i++)
		if (fleet->hosts[i].up)
			tgw_router_set_config(fleet->hosts[i].router,
					      &fleet->config);
}

/* server NAME DOMAIN SLOTS model=NAME|service=NAME: adds a backend server. */
static void do_server(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;
	struct tgw_server *server =
		&fleet->servers[fleet->config.server_count++];
	const char *service = scenario_option(step, "service", NULL);

	snprintf(server->name, sizeof(server->name), "%s", step->words[1]);
	snprintf(server->failure_domain, sizeof(server->failure_domain), "%s",
		 step->words[2]);
	server->slots = scenario_number(step, 3);
	server->kind = service ? TGW_SERVER_SERVICE : TGW_SERVER_MODEL;
	if (service) {
		snprintf(server->service, sizeof(server->service), "%s",
			 service);
	} else {
		server->models.count = 1;
		snprintf(server->models.names[0], TGW_NAME_SIZE, "%s",
			 scenario_option(step, "model", "tech"));
	}
	publish(fleet);
}

static void do_drain(void *world, const struct scenario_step *step)
{
	find_server(world, step, 1)->draining = true;
	publish(world);
}

static void do_undrain(void *world, const struct scenario_step *step)
{
	find_server(world, step, 1)->draining = false;
	publish(world);
}

static void do_leaving(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;

	for (size_t i = 0; i < fleet->host_count; i++)
		if (fleet->hosts[i].up)
			tgw_router_set_leaving(fleet->hosts[i].router,
					       step->words[1],
					       !strcmp(step->words[2], "yes"));
}

static void on_routed(void *arg, const struct tgw_route_answer *answer)
{
	struct fleet_attempt *attempt = arg;

	fleet_print_time(attempt->host->fleet);
	if (answer->status) {
		printf("%s: %s\n", attempt->name,
		       tgw_status_name(answer->status));
		return;
	}
	attempt->ticket = answer->ticket;
	snprintf(attempt->server, sizeof(attempt->server), "%s",
		 answer->server->name);
	printf("%s: at %s\n", attempt->name, attempt->server);
}

static enum tgw_urgency parse_urgency(const char *name)
{
	static const char *const names[] = {"immediate", "high", "normal",
					    "batch"};
	int urgency = 0;

	while (urgency < TGW_URGENCY_BATCH && strcmp(names[urgency], name))
		urgency++;
	return (enum tgw_urgency)urgency;
}

/* submit HOST NAME [team=] [urgency=] [deadline_ms=] [model=] [service=]
 * [write=yes] [retry=yes] [tokens=] [only=SERVER] [not=SERVER]: submits an
 * attempt. */
static void do_submit(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;
	struct fleet_attempt *attempt =
		&fleet->attempts[fleet->attempt_count++ % FLEET_CALLS_MAX];
	struct tgw_route_request request = {
		.team = scenario_option(step, "team", "koper"),
		.service = scenario_option(step, "service", NULL),
		.urgency = parse_urgency(
			scenario_option(step, "urgency", "normal")),
		.deadline_us = fleet->world.now_us +
			       fleet_option(step, "deadline_ms", "60000") *
				       TGW_US_PER_MS,
		.prompt_tokens = 160,
		.output_tokens = fleet_option(step, "tokens", "100"),
		.is_retry =
			!strcmp(scenario_option(step, "retry", "no"), "yes"),
		.is_write =
			!strcmp(scenario_option(step, "write", "no"), "yes"),
	};
	struct tgw_route_callback callback = {.done = on_routed,
					      .arg = attempt};
	const char *excluded_server = scenario_option(step, "not", NULL);

	if (!request.service)
		request.model = scenario_option(step, "model", "tech");
	if (excluded_server)
		snprintf(request.excluded[request.excluded_count++],
			 TGW_NAME_SIZE, "%s", excluded_server);
	snprintf(request.required_server, sizeof(request.required_server), "%s",
		 scenario_option(step, "only", ""));
	memset(attempt, 0, sizeof(*attempt));
	attempt->host = fleet_host_find(fleet, step, 1);
	snprintf(attempt->name, sizeof(attempt->name), "%s", step->words[2]);
	attempt->id =
		tgw_router_submit(attempt->host->router, &request, callback);
}

/* submits COUNT HOST NAME [options of submit]: submits COUNT attempts, NAME0,
 * NAME1 and so on. */
static void do_submits(void *world, const struct scenario_step *step)
{
	struct scenario_step one = *step;
	char name[TGW_NAME_SIZE];

	one.word_count--;
	memmove(&one.words[1], &one.words[2],
		(step->word_count - 2) * sizeof(one.words[0]));
	one.words[2] = name;
	for (int i = 0; i < scenario_number(step, 1); i++) {
		snprintf(name, sizeof(name), "%s%d", step->words[3], i);
		do_submit(world, &one);
	}
}

static struct fleet_attempt *find_attempt(struct fleet *fleet,
					  const struct scenario_step *step)
{
	for (size_t i = 0; i < FLEET_CALLS_MAX; i++)
		if (!strcmp(fleet->attempts[i].name, step->words[1]))
			return &fleet->attempts[i];
	scenario_fail(step, "there is no attempt '%s'", step->words[1]);
}

/* end NAME served|cancelled|connect|error|broken: ends an attempt. */
static void do_end(void *world, const struct scenario_step *step)
{
	static const char *const names[] = {"served", "cancelled", "connect",
					    "error", "broken"};
	struct fleet_attempt *attempt = find_attempt(world, step);
	int outcome = 0;

	while (outcome < TGW_ROUTE_BROKEN &&
	       strcmp(names[outcome], step->words[2]))
		outcome++;
	if (!attempt->ticket) {
		printf("%s has no server\n", attempt->name);
		return;
	}
	tgw_router_finish(attempt->host->router, attempt->ticket,
			  (enum tgw_route_outcome)outcome, 100);
	attempt->ticket = 0;
}

static void do_cancel(void *world, const struct scenario_step *step)
{
	struct fleet_attempt *attempt = find_attempt(world, step);

	tgw_router_cancel(attempt->host->router, attempt->id);
}

/* report SERVER RUNNING WAITING: passes a load report to all running
 * hosts. */
static void do_report(void *world, const struct scenario_step *step)
{
	struct fleet *fleet = world;
	struct tgw_load_report report = {
		.running = scenario_number(step, 2),
		.waiting = scenario_number(step, 3),
		.received_at_us = fleet->world.now_us,
	};

	for (size_t i = 0; i < fleet->host_count; i++)
		if (fleet->hosts[i].up)
			tgw_router_on_load(fleet->hosts[i].router,
					   step->words[1], &report);
}

static void do_routing(void *world, const struct scenario_step *step)
{
	struct fleet_host *host = fleet_host_find(world, step, 1);
	const struct tgw_router_counters *counters;

	tgw_router_tick(host->router);
	counters = tgw_router_counters(host->router);
	printf("submitted=%d started=%d shed=%d queued=%d retries_refused=%d "
	       "ejections=%d\n",
	       (int)counters->submitted, (int)counters->started,
	       (int)counters->shed, (int)counters->queued,
	       (int)counters->retries_refused, (int)counters->ejections);
}

const struct scenario_verb fleet_routing_verbs[] = {
	{"server", 3, 4, do_server},
	{"drain", 1, 1, do_drain},
	{"undrain", 1, 1, do_undrain},
	{"leaving", 2, 2, do_leaving},
	{"submit", 2, 10, do_submit},
	{"submits", 3, 10, do_submits},
	{"end", 2, 2, do_end},
	{"cancel", 1, 1, do_cancel},
	{"report", 3, 3, do_report},
	{"routing", 1, 1, do_routing},
	{NULL, 0, 0, NULL},
};
