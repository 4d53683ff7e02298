#include "measure/route_run.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "fakes/fake_world.h"
#include "tamarackgw/quarantine.h"

#define REPORT_INTERVAL_US (INT64_C(250) * TGW_US_PER_MS)
#define REPORT_LAG_US (INT64_C(100) * TGW_US_PER_MS)
#define REPORT_LAG_JITTER_US (INT64_C(300) * TGW_US_PER_MS)
#define EVENT_LAG_US (INT64_C(300) * TGW_US_PER_MS)
#define EVENT_LAG_JITTER_US (INT64_C(700) * TGW_US_PER_MS)
#define EVENTS_LOST_PER_1000 30
#define EVENT_HASHES_MAX 64
#define ROUTER_TICK_US (INT64_C(20) * TGW_US_PER_MS)
#define CONFIG_JITTER_US TGW_US_PER_S
#define STOP_AFTER_DRAIN_US (INT64_C(30) * TGW_US_PER_S)
/* Start of the faults, as fractions of the run's length. */
#define DRAIN_FRACTION 0.3
#define CRASH_FRACTION 0.2
#define MAX_CRASH_ATTEMPTS 200
#define CRASH_RETRY_US (INT64_C(50) * TGW_US_PER_MS)
#define ATTEMPTS_MAX 3
#define MIN_RUN_US TGW_US_PER_S
/* The longest deadline of all kinds of work. The run continues for this time
 * after the last arrival, so that all requests end. */
#define MAX_DEADLINE_US (INT64_C(150) * TGW_US_PER_S)
/* Every fifth model engine needs 150 percent of the usual time per token. */
#define SLOW_SERVER_INTERVAL 5
#define SLOW_SERVER_PERCENT 150

struct server {
	struct engine engine;
	struct run *run;
	size_t number;
	uint64_t next_sequence; /**< of the cache events */
	bool batch_stored;	/**< false: the batch was evicted */
	size_t batch_count;
	uint64_t batch[EVENT_HASHES_MAX];
};

struct router {
	struct run *run;
	size_t number;
	struct tgw_router *router;
	struct tgw_quarantine *quarantine;
	struct fake_store store;
	struct fake_net_end end;
	struct tgw_host_view view;
	struct tgw_load_report *reports; /**< latest by server */
};

struct request {
	const struct arrival *arrival;
	struct run *run;
	struct router *router;
	struct tgw_fingerprint fingerprint;
	int attempts;
	bool pending; /**< the caller still waits */
	bool queued;
	uint64_t queue_id;
	uint64_t ticket;
	struct server *server; /**< NULL while it is at no server */
	struct engine_job job;
	size_t excluded_count;
	char excluded[TGW_EXCLUDED_MAX][TGW_NAME_SIZE];
};

struct run {
	const struct workload *workload;
	const struct fleet_shape *shape;
	enum route_policy policy;
	const struct route_faults *faults;
	struct route_result *result;
	struct fake_world world;
	struct fake_store_server store;
	struct fake_net net;
	struct tgw_host *hosts;
	size_t server_count;
	struct server *servers;
	struct router *routers;
	struct tgw_server *configured;
	struct tgw_config_snapshot config;
	int64_t start_us;
	int64_t drained_us; /**< 0 until the drain */
	struct arrival crashing;
	int crash_attempts;
};

static int64_t jitter(struct run *run, int64_t spread_us)
{
	return (int64_t)tgw_random_below(&run->world.random,
					 (uint64_t)spread_us);
}

/* A cache event in flight to the routers of the server's failure domain.
 * Events arrive late and in order; some are lost. */
struct cache_update {
	struct server *server;
	struct tgw_cache_event event;
	uint64_t hashes[EVENT_HASHES_MAX];
};

static bool in_same_domain(const struct router *router,
			   const struct server *server)
{
	size_t domains = router->run->shape->domains;

	return router->number % domains == server->number % domains;
}

static void deliver_cache_update(void *arg)
{
	struct cache_update *update = arg;
	struct run *run = update->server->run;

	update->event.hashes = update->hashes;
	for (size_t i = 0; i < run->shape->routers; i++)
		if (in_same_domain(&run->routers[i], update->server))
			tgw_router_on_cache_event(
				run->routers[i].router,
				run->configured[update->server->number].name,
				&update->event);
	free(update);
}

static void flush_cache_update(struct server *server)
{
	struct run *run = server->run;
	struct cache_update *update;

	if (!server->batch_count)
		return;
	server->next_sequence++;
	if (run->policy == POLICY_ROUTER &&
	    tgw_random_below(&run->world.random, 1000) >=
		    EVENTS_LOST_PER_1000) {
		update = xcalloc(1, sizeof(*update));
		update->server = server;
		update->event.sequence = server->next_sequence;
		update->event.stored = server->batch_stored;
		update->event.hash_count = server->batch_count;
		memcpy(update->hashes, server->batch,
		       server->batch_count * sizeof(server->batch[0]));
		fake_world_after(&run->world, EVENT_LAG_US,
				 deliver_cache_update, update);
	}
	server->batch_count = 0;
}

static void on_cache_changed(void *arg, bool stored, const uint64_t *hashes,
			     size_t count)
{
	struct server *server = arg;

	if (server->batch_count &&
	    (server->batch_stored != stored ||
	     server->batch_count + count > EVENT_HASHES_MAX))
		flush_cache_update(server);
	server->batch_stored = stored;
	memcpy(&server->batch[server->batch_count], hashes,
	       count * sizeof(hashes[0]));
	server->batch_count += count;
}

/* A load report in flight to one router. */
struct load_update {
	struct server *server;
	struct router *router;
	struct tgw_load_report report;
};

static void deliver_load_update(void *arg)
{
	struct load_update *update = arg;
	struct run *run = update->server->run;

	update->report.received_at_us = run->world.now_us;
	update->router->reports[update->server->number] = update->report;
	if (run->policy == POLICY_ROUTER)
		tgw_router_on_load(update->router->router,
				   run->configured[update->server->number].name,
				   &update->report);
	free(update);
}

static void report_load(void *arg)
{
	struct server *server = arg;
	struct run *run = server->run;

	for (size_t i = 0; i < run->shape->routers; i++) {
		struct load_update *update = xcalloc(1, sizeof(*update));

		update->server = server;
		update->router = &run->routers[i];
		update->report.running = server->engine.running_count;
		update->report.waiting = server->engine.waiting_count;
		fake_world_after(&run->world,
				 REPORT_LAG_US +
					 jitter(run, REPORT_LAG_JITTER_US),
				 deliver_load_update, update);
	}
	fake_world_after(&run->world, REPORT_INTERVAL_US, report_load, server);
}

/* ---- requests ---- */

static void retry_crashing_request(struct run *run);

static void retry_elsewhere(void *arg);

static void exclude(struct request *request, const struct server *server)
{
	if (request->excluded_count < TGW_EXCLUDED_MAX)
		snprintf(request->excluded[request->excluded_count++],
			 TGW_NAME_SIZE, "%s",
			 request->run->configured[server->number].name);
}

/* A server that is down refuses the connection, so nothing was sent to it. */
static void fail_to_connect(void *arg)
{
	struct request *request = arg;
	struct server *server = request->server;

	if (!server)
		return;
	request->server = NULL;
	if (request->run->policy != POLICY_ROUTER) {
		request->pending = false;
		return;
	}
	tgw_router_finish(request->router->router, request->ticket,
			  TGW_ROUTE_CONNECT_FAILED, 0);
	exclude(request, server);
	tgw_quarantine_on_ended(request->router->quarantine,
				&request->fingerprint);
	retry_elsewhere(request);
}

static void start_on_server(struct request *request, struct server *server,
			    int priority)
{
	struct run *run = request->run;
	const struct arrival *arrival = request->arrival;

	request->server = server;
	memset(&request->job, 0, sizeof(request->job));
	request->job.priority = priority;
	request->job.prefix = arrival->prefix;
	request->job.prefix_count = arrival->prefix_count;
	request->job.blocks_left = (double)arrival->prefix_count;
	request->job.tokens_left = arrival->tokens;
	request->job.crashes = arrival->crashes;
	request->job.owner = request;
	if (server->number == 0 && run->drained_us)
		run->result->new_work_after_drain_us =
			run->world.now_us - run->drained_us;
	if (run->world.now_us < server->engine.down_until_us)
		fake_world_after(&run->world, 0, fail_to_connect, request);
	else
		engine_submit(&server->engine, &request->job);
}

static struct server *find_server(struct run *run, const char *name)
{
	for (size_t i = 0; i < run->server_count; i++)
		if (!strcmp(run->configured[i].name, name))
			return &run->servers[i];
	return NULL;
}

static void on_routed(void *arg, const struct tgw_route_answer *answer)
{
	struct request *request = arg;

	request->queued = false;
	if (answer->status) {
		request->pending = false;
		request->run->result->refused++;
		if (request->arrival->crashes)
			retry_crashing_request(request->run);
		tgw_quarantine_on_ended(request->router->quarantine,
					&request->fingerprint);
		return;
	}
	request->ticket = answer->ticket;
	start_on_server(request,
			find_server(request->run, answer->server->name),
			answer->priority);
}

static void fill_route(struct request *request, struct tgw_route_request *route,
		       char *team)
{
	const struct arrival *arrival = request->arrival;

	snprintf(team, TGW_NAME_SIZE, "team%zu", arrival->team);
	memset(route, 0, sizeof(*route));
	route->team = team;
	route->model = arrival->kind->is_service ? NULL : "model";
	route->service = arrival->kind->is_service ? "service" : NULL;
	route->urgency = arrival->kind->urgency;
	route->deadline_us = request->run->start_us + arrival->at_us +
			     arrival->kind->deadline_us;
	route->prompt_tokens = (int64_t)arrival->prefix_count * 64;
	route->output_tokens = arrival->kind->tokens_max;
	route->is_retry = request->attempts > 1;
	route->is_write = arrival->kind->is_write;
	route->prefix_count = arrival->prefix_count;
	memcpy(route->prefix_hashes, arrival->prefix,
	       arrival->prefix_count * sizeof(arrival->prefix[0]));
	route->excluded_count = request->excluded_count;
	memcpy(route->excluded, request->excluded, sizeof(route->excluded));
}

static void on_verdict(void *arg, const struct tgw_quarantine_answer *answer)
{
	struct request *request = arg;
	struct tgw_route_callback callback = {.done = on_routed,
					      .arg = request};
	struct tgw_route_request route;
	char team[TGW_NAME_SIZE];
	uint64_t id;

	if (!request->pending)
		return;
	if (answer->verdict == TGW_QUARANTINE_BUSY ||
	    answer->verdict == TGW_QUARANTINE_REFUSED) {
		request->pending = false;
		request->run->result->others_refused +=
			!request->arrival->crashes;
		if (request->arrival->crashes)
			retry_crashing_request(request->run);
		return;
	}
	fill_route(request, &route, team);
	snprintf(route.required_server, sizeof(route.required_server), "%s",
		 answer->server);
	request->queued = true;
	id = tgw_router_submit(request->router->router, &route, callback);
	request->queue_id = id;
}

static void try_router(struct request *request)
{
	struct tgw_quarantine_callback callback = {.done = on_verdict,
						   .arg = request};
	struct tgw_route_request route;
	char team[TGW_NAME_SIZE];
	const char *names[TGW_PREFIX_HASHES_MAX];
	struct tgw_quarantine_query query = {.servers = names};

	request->attempts++;
	fill_route(request, &route, team);
	query.fingerprint = request->fingerprint;
	query.server_count = tgw_router_candidates(
		request->router->router, &route, names, TGW_PREFIX_HASHES_MAX);
	query.wait_until_us = route.deadline_us - MIN_RUN_US;
	tgw_quarantine_enter(request->router->quarantine, &query, callback);
}

static bool serves(const struct run *run, size_t server,
		   const struct arrival *arrival)
{
	return (server >= run->shape->models) == arrival->kind->is_service;
}

static struct server *pick_random(struct run *run,
				  const struct arrival *arrival)
{
	size_t at;

	do
		at = tgw_random_below(&run->world.random, run->server_count);
	while (!serves(run, at, arrival));
	return &run->servers[at];
}

static struct server *pick_least_loaded(struct run *run,
					const struct router *router,
					const struct arrival *arrival)
{
	struct server *best = pick_random(run, arrival);

	for (size_t i = 0; i < run->server_count; i++) {
		const struct tgw_load_report *a = &router->reports[i];
		const struct tgw_load_report *b =
			&router->reports[best->number];

		if (serves(run, i, arrival) &&
		    a->running + a->waiting < b->running + b->waiting)
			best = &run->servers[i];
	}
	return best;
}

static void try_request(struct request *request)
{
	struct run *run = request->run;
	int urgency = (int)request->arrival->kind->urgency;

	if (run->policy == POLICY_ROUTER)
		try_router(request);
	else if (run->policy == POLICY_RANDOM)
		start_on_server(request, pick_random(run, request->arrival),
				urgency);
	else
		start_on_server(request,
				pick_least_loaded(run, request->router,
						  request->arrival),
				urgency);
}

static void count_in_time(struct request *request)
{
	struct route_result *result = request->run->result;
	const struct arrival *arrival = request->arrival;
	const struct work_shape *kind = arrival->kind;

	result->in_time[kind->urgency]++;
	if (kind->is_service && !kind->is_write)
		result->reads_in_time++;
	if (kind->is_backlog &&
	    arrival->team >= request->run->shape->large_teams)
		result->small_in_time++;
}

/* Cancels a request whose deadline has passed. */
static void expire(void *arg)
{
	struct request *request = arg;
	struct run *run = request->run;

	if (!request->pending)
		return;
	request->pending = false;
	if (request->queued)
		tgw_router_cancel(request->router->router, request->queue_id);
	if (request->server) {
		engine_cancel(&request->server->engine, &request->job);
		request->server = NULL;
		if (run->policy == POLICY_ROUTER)
			tgw_router_finish(request->router->router,
					  request->ticket, TGW_ROUTE_CANCELLED,
					  0);
	}
	if (run->policy == POLICY_ROUTER)
		tgw_quarantine_on_ended(request->router->quarantine,
					&request->fingerprint);
}

static void start_request(struct run *run, const struct arrival *arrival,
			  struct router *router)
{
	struct request *request = xcalloc(1, sizeof(*request));
	int64_t delay_us = run->start_us + arrival->at_us +
			   arrival->kind->deadline_us - run->world.now_us;

	request->arrival = arrival;
	request->run = run;
	request->router = router;
	request->pending = true;
	tgw_fingerprint_of(&request->fingerprint, "team",
			   arrival->crashes ? "crash" : (const char *)&arrival,
			   arrival->crashes ? 5 : sizeof(arrival));
	fake_world_after(&run->world, delay_us, expire, request);
	try_request(request);
}

/* Sends the crashing request: once at first, then to two hosts at once, as a
 * caller that retries after a failure. */
static void send_crashing_request(void *arg)
{
	struct run *run = arg;
	int copies = run->crash_attempts ? 2 : 1;

	run->crashing.at_us = run->world.now_us - run->start_us;
	for (int i = 0; i < copies; i++)
		start_request(
			run, &run->crashing,
			&run->routers[tgw_random_below(&run->world.random,
						       run->shape->routers)]);
	run->crash_attempts++;
}

static void retry_crashing_request(struct run *run)
{
	if (run->crash_attempts < MAX_CRASH_ATTEMPTS)
		fake_world_after(&run->world, CRASH_RETRY_US,
				 send_crashing_request, run);
}

static void retry_elsewhere(void *arg)
{
	struct request *request = arg;

	if (request->pending && request->attempts < ATTEMPTS_MAX)
		try_request(request);
	else
		request->pending = false;
}

static void on_server_crash(struct request *request, struct server *server)
{
	struct run *run = request->run;

	tgw_quarantine_on_crash(request->router->quarantine,
				&request->fingerprint, "team",
				run->configured[server->number].name, 0);
	tgw_router_finish(request->router->router, request->ticket,
			  TGW_ROUTE_BROKEN, 0);
	exclude(request, server);
	if (request->arrival->crashes) {
		request->pending = false;
		retry_crashing_request(run);
	} else {
		fake_world_after(&run->world, 0, retry_elsewhere, request);
	}
}

static void on_ended(void *arg, struct engine_job *job, bool crashed)
{
	struct server *server = arg;
	struct request *request = job->owner;
	struct run *run = request->run;

	request->server = NULL;
	if (crashed) {
		run->result->servers_lost += job->crashes;
		on_server_crash(request, server);
		return;
	}
	request->pending = false;
	count_in_time(request);
	if (run->policy != POLICY_ROUTER)
		return;
	tgw_router_finish(request->router->router, request->ticket,
			  TGW_ROUTE_SERVED, (int64_t)request->arrival->tokens);
	tgw_quarantine_on_served(request->router->quarantine,
				 &request->fingerprint);
}

/* ---- routers and servers ---- */

static void receive(void *arg, const struct tgw_peer_message *message)
{
	struct router *router = arg;

	tgw_quarantine_on_message(router->quarantine, message);
}

static void tick_router(void *arg)
{
	struct router *router = arg;

	tgw_router_tick(router->router);
	tgw_quarantine_tick(router->quarantine);
	fake_world_after(&router->run->world, ROUTER_TICK_US, tick_router,
			 router);
}

static void add_router(struct run *run, size_t number)
{
	struct router *router = &run->routers[number];
	struct tgw_quarantine_env quarantine = tgw_quarantine_env_default();
	struct tgw_router_env env = {
		.clock = &run->world.clock,
		.failure_domain = run->hosts[number].failure_domain,
		.random_seed = tgw_random_u64(&run->world.random),
	};

	router->run = run;
	router->number = number;
	router->view.self_index = number;
	router->view.host_count = run->shape->routers;
	router->view.hosts = run->hosts;
	router->reports =
		xcalloc(run->server_count, sizeof(router->reports[0]));
	fake_store_init(&router->store, &run->store);
	fake_net_add(&run->net, &router->end, run->hosts[number].name,
		     number + 1, receive, router);
	quarantine.clock = &run->world.clock;
	quarantine.store = &router->store.store;
	quarantine.peer = &router->end.peer;
	router->quarantine = tgw_quarantine_new(&quarantine, &router->view);
	router->router = tgw_router_new(&env);
	tgw_router_set_config(router->router, &run->config);
	fake_world_after(&run->world, jitter(run, ROUTER_TICK_US), tick_router,
			 router);
}

static void slow_down(struct engine_settings *settings)
{
	settings->token_us = settings->token_us * SLOW_SERVER_PERCENT / 100;
	settings->token_us_per_running =
		settings->token_us_per_running * SLOW_SERVER_PERCENT / 100;
}

static void add_server(struct run *run, size_t number)
{
	const struct fleet_shape *shape = run->shape;
	bool service = number >= shape->models;
	const struct engine_settings *settings = service ? &shape->service
							 : &shape->model;
	struct server *server = &run->servers[number];
	struct tgw_server *configured = &run->configured[number];

	snprintf(configured->name, sizeof(configured->name), "server%zu",
		 number);
	snprintf(configured->failure_domain, sizeof(configured->failure_domain),
		 "domain%zu", number % shape->domains);
	configured->kind = service ? TGW_SERVER_SERVICE : TGW_SERVER_MODEL;
	configured->slots = settings->slots;
	snprintf(configured->service, sizeof(configured->service), "service");
	configured->models.count = 1;
	snprintf(configured->models.names[0], TGW_NAME_SIZE, "model");
	server->run = run;
	server->number = number;
	engine_init(&server->engine, settings);
	if (!service &&
	    number % SLOW_SERVER_INTERVAL == SLOW_SERVER_INTERVAL - 1)
		slow_down(&server->engine.settings);
	server->engine.ended = on_ended;
	server->engine.cache_changed = on_cache_changed;
	server->engine.arg = server;
}

static void set_up(struct run *run, uint64_t seed)
{
	const struct fleet_shape *shape = run->shape;

	fake_world_init(&run->world, seed);
	fake_store_server_init(&run->store, &run->world);
	fake_net_init(&run->net, &run->world);
	run->server_count = shape->models + shape->services;
	run->hosts = xcalloc(shape->routers, sizeof(run->hosts[0]));
	run->routers = xcalloc(shape->routers, sizeof(run->routers[0]));
	run->servers = xcalloc(run->server_count, sizeof(run->servers[0]));
	run->configured =
		xcalloc(run->server_count, sizeof(run->configured[0]));
	for (size_t i = 0; i < run->server_count; i++)
		add_server(run, i);
	run->config.servers = run->configured;
	run->config.server_count = run->server_count;
	for (size_t i = 0; i < shape->routers; i++) {
		snprintf(run->hosts[i].name, TGW_NAME_SIZE, "host%zu", i);
		snprintf(run->hosts[i].failure_domain, TGW_NAME_SIZE,
			 "domain%zu", i % shape->domains);
		run->hosts[i].incarnation = i + 1;
	}
	for (size_t i = 0; i < shape->routers; i++)
		add_router(run, i);
	for (size_t i = 0; i < run->server_count; i++)
		fake_world_after(&run->world, jitter(run, REPORT_INTERVAL_US),
				 report_load, &run->servers[i]);
	/* A new arbiter grants no permits for probation at first. Requests
	 * arrive after that time. */
	fake_world_advance(&run->world, 4 * TGW_US_PER_S);
	run->start_us = run->world.now_us;
}

static void tear_down(struct run *run)
{
	for (size_t i = 0; i < run->shape->routers; i++) {
		tgw_router_free(run->routers[i].router);
		tgw_quarantine_free(run->routers[i].quarantine);
		free(run->routers[i].reports);
	}
	for (size_t i = 0; i < run->server_count; i++)
		engine_clear(&run->servers[i].engine);
	fake_store_server_clear(&run->store);
	fake_world_clear(&run->world);
	free(run->hosts);
	free(run->routers);
	free(run->servers);
	free(run->configured);
}

static void apply_config(void *arg)
{
	struct router *router = arg;

	tgw_router_set_config(router->router, &router->run->config);
}

static void drain_first_server(struct run *run)
{
	run->drained_us = run->world.now_us;
	run->configured[0].draining = true;
	for (size_t i = 0; i < run->shape->routers; i++)
		fake_world_after(&run->world, jitter(run, CONFIG_JITTER_US),
				 apply_config, &run->routers[i]);
}

static void inject_faults(struct run *run, int64_t since_us)
{
	double fraction = (double)since_us / (double)run->shape->length_us;

	if (run->faults->crashing_request && !run->crash_attempts &&
	    fraction >= CRASH_FRACTION) {
		run->crashing = run->workload->arrivals[0];
		run->crashing.kind = &run->shape->kinds[2];
		run->crashing.tokens = 20;
		run->crashing.crashes = true;
		send_crashing_request(run);
	}
	if (run->faults->drain && !run->drained_us &&
	    fraction >= DRAIN_FRACTION)
		drain_first_server(run);
	if (run->drained_us &&
	    run->world.now_us - run->drained_us == STOP_AFTER_DRAIN_US)
		run->result->stopped_requests +=
			(uint64_t)(run->servers[0].engine.running_count +
				   run->servers[0].engine.waiting_count);
}

static void count_arrival(struct run *run, const struct arrival *arrival)
{
	struct route_result *result = run->result;
	const struct work_shape *kind = arrival->kind;

	result->arrived[kind->urgency]++;
	if (kind->is_service && !kind->is_write)
		result->reads_arrived++;
	if (kind->is_backlog && arrival->team >= run->shape->large_teams)
		result->small_arrived++;
}

static void step(struct run *run, size_t *next)
{
	const struct workload *workload = run->workload;
	int64_t since_us = run->world.now_us - run->start_us;

	inject_faults(run, since_us);
	while (*next < workload->count &&
	       workload->arrivals[*next].at_us <= since_us) {
		const struct arrival *arrival = &workload->arrivals[(*next)++];

		count_arrival(run, arrival);
		start_request(run, arrival, &run->routers[arrival->router]);
	}
	for (size_t i = 0; i < run->server_count; i++) {
		engine_step(&run->servers[i].engine, run->world.now_us);
		flush_cache_update(&run->servers[i]);
	}
	fake_world_advance(&run->world, ENGINE_STEP_US);
}

void route_run(const struct workload *workload, enum route_policy policy,
	       const struct route_faults *faults, uint64_t seed,
	       struct route_result *result)
{
	struct run *run = xcalloc(1, sizeof(*run));
	int64_t until_us;
	size_t next = 0;

	run->workload = workload;
	run->shape = workload->shape;
	run->policy = policy;
	run->faults = faults;
	run->result = result;
	set_up(run, seed);
	until_us = run->start_us + run->shape->length_us + MAX_DEADLINE_US;
	while (run->world.now_us < until_us)
		step(run, &next);
	for (size_t i = 0; i < run->shape->models; i++) {
		result->looked_up_blocks +=
			run->servers[i].engine.looked_up_blocks;
		result->found_blocks += run->servers[i].engine.found_blocks;
	}
	tear_down(run);
	free(run);
}
