#include "tamarackgw/router.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "coordination/route_pool.h"
#include "coordination/route_running.h"
#include "state/retry_budget.h"
#include "state/route_choice.h"
#include "tamarackgw/random.h"

#define QUEUE_MAX 4096
#define TICK_US (INT64_C(50) * TGW_US_PER_MS)
#define IDLE_TICK_US TGW_US_PER_S
#define RETRY_AFTER_MIN_US (INT64_C(500) * TGW_US_PER_MS)
#define RETRY_AFTER_MAX_US (INT64_C(30) * TGW_US_PER_S)
#define NO_SERVER_RETRY_AFTER_US (INT64_C(2) * TGW_US_PER_S)
#define SHORT_SLACK_US (INT64_C(2) * TGW_US_PER_S)
#define RETRY_STORM_RETRY_AFTER_US (INT64_C(2) * TGW_US_PER_S)

struct tgw_router {
	struct tgw_router_env env;
	char failure_domain[TGW_NAME_SIZE];
	struct tgw_random random;
	struct tgw_router_counters counters;
	struct server_state **servers;
	size_t server_count;
	struct route_pool *pools;
	struct route_running_table running;
	struct retry_budget retries;
	uint64_t next_id;
};

static int64_t now_of(const struct tgw_router *router)
{
	return tgw_clock_monotonic_us(router->env.clock);
}

struct tgw_router *tgw_router_new(const struct tgw_router_env *env)
{
	struct tgw_router *router = xcalloc(1, sizeof(*router));

	router->env = *env;
	strncpy(router->failure_domain, env->failure_domain,
		sizeof(router->failure_domain) - 1);
	tgw_random_init(&router->random, env->random_seed);
	retry_budget_init(&router->retries, now_of(router));
	return router;
}

static bool match_any(const struct route_entry *entry, const void *arg)
{
	return true;
}

void tgw_router_free(struct tgw_router *router)
{
	if (!router)
		return;
	while (router->pools) {
		struct route_pool *pool = router->pools;
		struct route_entry *entry;

		router->pools = pool->next;
		while ((entry = route_queue_remove_if(&pool->queue, match_any,
						      NULL)))
			free(entry);
		route_pool_free(pool);
	}
	for (size_t i = 0; i < router->server_count; i++)
		server_state_free(router->servers[i]);
	free(router->servers);
	route_running_table_free(&router->running);
	free(router);
}

static struct server_state *find_server(const struct tgw_router *router,
					const char *name)
{
	size_t low = 0;
	size_t high = router->server_count;

	while (low < high) {
		size_t middle = low + (high - low) / 2;
		int order = strcmp(router->servers[middle]->server.name, name);

		if (!order)
			return router->servers[middle];
		if (order < 0)
			low = middle + 1;
		else
			high = middle;
	}
	return NULL;
}

static const struct tgw_server *find_configured(
	const struct tgw_config_snapshot *config, const char *name)
{
	for (size_t i = 0; i < config->server_count; i++)
		if (!strcmp(config->servers[i].name, name))
			return &config->servers[i];
	return NULL;
}

/* Inserts a server, so that the servers stay sorted by name. */
static void add_server(struct tgw_router *router,
		       const struct tgw_server *server)
{
	size_t at = router->server_count++;

	router->servers =
		xrealloc(router->servers,
			 router->server_count * sizeof(router->servers[0]));
	while (at > 0 &&
	       strcmp(router->servers[at - 1]->server.name, server->name) > 0) {
		router->servers[at] = router->servers[at - 1];
		at--;
	}
	router->servers[at] = server_state_new(server);
}

static void remove_unused_servers(struct tgw_router *router)
{
	size_t kept = 0;

	for (size_t i = 0; i < router->server_count; i++) {
		struct server_state *state = router->servers[i];

		if (state->configured || state->in_flight)
			router->servers[kept++] = state;
		else
			server_state_free(state);
	}
	router->server_count = kept;
}

static void answer(struct route_entry *entry,
		   const struct tgw_route_answer *result)
{
	struct tgw_route_callback callback = entry->callback;

	free(entry);
	callback.done(callback.arg, result);
}

static void answer_busy(struct tgw_router *router, struct route_entry *entry,
			int64_t retry_after_us, const char *message)
{
	struct tgw_route_answer result = {
		.status = TGW_BUSY,
		.retry_after_us = retry_after_us,
		.message = message,
	};

	if (result.retry_after_us < RETRY_AFTER_MIN_US)
		result.retry_after_us = RETRY_AFTER_MIN_US;
	if (result.retry_after_us > RETRY_AFTER_MAX_US)
		result.retry_after_us = RETRY_AFTER_MAX_US;
	router->counters.shed++;
	answer(entry, &result);
}

/* The priority in the server's own queue, where 0 runs first. An attempt of
 * high or immediate urgency gets 0 if its deadline leaves little time beyond
 * its expected run time, and 1 otherwise; others get their urgency. So a short
 * response with a close deadline goes before a long one that has time. */
static int32_t priority_of(const struct route_pool *pool,
			   const struct route_entry *entry, int64_t now_us)
{
	const struct tgw_route_request *request = &entry->request;
	int64_t slack_us = request->deadline_us - now_us -
			   route_pace_run_us(&pool->pace, entry->cost_units);

	if (request->urgency > TGW_URGENCY_HIGH)
		return (int32_t)request->urgency;
	return slack_us < SHORT_SLACK_US ? 0 : 1;
}

/* Starts an attempt, already removed from its queue, on a server. */
static void start(struct tgw_router *router, struct route_pool *pool,
		  struct route_entry *entry, struct server_state *server,
		  int64_t matched)
{
	const struct tgw_route_request *request = &entry->request;
	int64_t now_us = now_of(router);
	struct route_running *running = route_running_add(&router->running);
	struct tgw_route_answer result = {
		.status = TGW_OK,
		.ticket = running->ticket,
		.server = &server->server,
		.priority = priority_of(pool, entry, now_us),
		.message = "started",
	};

	running->server = server;
	running->pool = pool;
	running->cost_units = entry->cost_units;
	running->started_us = now_us;
	server_state_on_start(server, now_us);
	prefix_index_add(&server->prefix, request->prefix_hashes,
			 request->prefix_count, now_us);
	route_pace_on_start(&pool->pace, entry->cost_units,
			    pool->queue.count > 0, now_us);
	router->counters.started++;
	if (request->prefix_count) {
		router->counters.prefix_lookups++;
		router->counters.prefix_hits += matched > 0;
	}
	answer(entry, &result);
}

static enum route_choice_result pick(struct tgw_router *router,
				     const struct route_pool *pool,
				     const struct route_entry *entry,
				     struct server_state **server,
				     int64_t *matched)
{
	struct route_choice choice = {
		.servers = pool->servers,
		.server_count = pool->server_count,
		.failure_domain = router->failure_domain,
		.random = &router->random,
		.now_us = now_of(router),
		.waited_us = now_of(router) - entry->submitted_us,
	};

	return route_choice_pick(&choice, &entry->request, server, matched);
}

static bool start_next(struct tgw_router *router, struct route_pool *pool)
{
	for (enum tgw_urgency u = 0; u < TGW_URGENCY_COUNT; u++) {
		struct route_entry *entry = route_queue_peek(&pool->queue, u);
		struct server_state *server = NULL;
		enum route_choice_result result;
		int64_t matched = 0;

		if (!entry)
			continue;
		result = pick(router, pool, entry, &server, &matched);
		if (result == ROUTE_CHOICE_FULL)
			continue;
		route_queue_pop(&pool->queue, u);
		if (result == ROUTE_CHOICE_OK)
			start(router, pool, entry, server, matched);
		else
			answer_busy(router, entry, NO_SERVER_RETRY_AFTER_US,
				    "no server may run this now; come back "
				    "later");
		return true;
	}
	return false;
}

/* A callback may submit or finish attempts, which calls this function again;
 * the running loop handles those attempts too. */
static void dispatch(struct tgw_router *router, struct route_pool *pool)
{
	if (pool->dispatching)
		return;
	pool->dispatching = true;
	while (start_next(router, pool))
		;
	pool->dispatching = false;
}

static void dispatch_all(struct tgw_router *router)
{
	for (struct route_pool *pool = router->pools; pool; pool = pool->next)
		dispatch(router, pool);
}

void tgw_router_set_config(struct tgw_router *router,
			   const struct tgw_config_snapshot *config)
{
	int64_t now_us = now_of(router);
	struct route_pool *pool;

	for (size_t i = 0; i < router->server_count; i++) {
		struct server_state *state = router->servers[i];

		server_state_configure(
			state, find_configured(config, state->server.name),
			now_us);
	}
	for (size_t i = 0; i < config->server_count; i++)
		if (!find_server(router, config->servers[i].name))
			add_server(router, &config->servers[i]);
	for (pool = router->pools; pool; pool = pool->next)
		route_pool_set_servers(pool, router->servers,
				       router->server_count);
	remove_unused_servers(router);
	dispatch_all(router);
}

void tgw_router_set_leaving(struct tgw_router *router, const char *server,
			    bool leaving)
{
	struct server_state *state = find_server(router, server);

	if (!state || state->leaving == leaving)
		return;
	server_state_set_leaving(state, leaving, now_of(router));
	dispatch_all(router);
}

static bool is_local(const struct tgw_router *router,
		     const struct server_state *state)
{
	return !strcmp(state->server.failure_domain, router->failure_domain);
}

static struct route_pool *find_pool(const struct tgw_router *router,
				    const struct tgw_route_request *request)
{
	enum tgw_server_kind kind = request->model ? TGW_SERVER_MODEL
						   : TGW_SERVER_SERVICE;
	const char *name = request->model ? request->model : request->service;
	bool writes = !request->model && request->is_write;
	struct route_pool *pool = router->pools;

	while (pool && (pool->kind != kind || pool->writes != writes ||
			strcmp(pool->name, name)))
		pool = pool->next;
	return pool;
}

static struct route_pool *find_or_add_pool(
	struct tgw_router *router, const struct tgw_route_request *request)
{
	struct route_pool *pool = find_pool(router, request);
	const char *name = request->model ? request->model : request->service;

	if (pool)
		return pool;
	pool = route_pool_new(
		name, request->model ? TGW_SERVER_MODEL : TGW_SERVER_SERVICE,
		!request->model && request->is_write);
	route_pool_set_servers(pool, router->servers, router->server_count);
	if (!pool->server_count) {
		route_pool_free(pool);
		return NULL;
	}
	pool->next = router->pools;
	router->pools = pool;
	return pool;
}

/* The expected time to wait and run; an unknown time counts as 0. */
static int64_t expected_us(const struct route_pool *pool,
			   const struct route_entry *entry)
{
	int64_t ahead = route_queue_units_ahead(&pool->queue, entry->team,
						entry->request.urgency);

	return route_pace_wait_us(&pool->pace, ahead) +
	       route_pace_run_us(&pool->pace, entry->cost_units);
}

/* Queues the attempt, or sheds it or a less urgent one. */
static void enqueue(struct tgw_router *router, struct route_pool *pool,
		    struct route_entry *entry)
{
	int64_t wait_us = expected_us(pool, entry);

	if (pool->queue.count &&
	    now_of(router) + wait_us > entry->request.deadline_us) {
		answer_busy(router, entry, wait_us,
			    "the deadline can't be met behind the work that "
			    "waits; come back later or allow more time");
		return;
	}
	route_queue_push(&pool->queue, entry);
	if (pool->queue.count <= QUEUE_MAX)
		return;
	entry = route_queue_remove_least_urgent(&pool->queue,
						entry->request.urgency);
	if (entry)
		answer_busy(router, entry, wait_us,
			    "more urgent work fills the queue; come back "
			    "later");
}

static void answer_status(struct route_entry *entry, enum tgw_status status,
			  const char *message)
{
	struct tgw_route_answer result = {.status = status, .message = message};

	answer(entry, &result);
}

uint64_t tgw_router_submit(struct tgw_router *router,
			   const struct tgw_route_request *request,
			   struct tgw_route_callback callback)
{
	struct route_entry *entry = route_entry_new(request, callback);
	struct route_pool *pool = find_or_add_pool(router, request);
	int64_t now_us = now_of(router);
	uint64_t id = ++router->next_id;

	entry->id = id;
	entry->submitted_us = now_us;
	router->counters.submitted++;
	if (!pool) {
		answer_status(entry, TGW_NOT_FOUND,
			      "no server runs this model or service; check "
			      "its name, or add a server to the "
			      "configuration");
		return id;
	}
	if (request->is_retry &&
	    !retry_budget_spend(&router->retries, now_us)) {
		router->counters.retries_refused++;
		answer_busy(router, entry, RETRY_STORM_RETRY_AFTER_US,
			    "too many retries; come back later");
		return id;
	}
	if (!request->is_retry)
		retry_budget_on_first_attempt(&router->retries);
	enqueue(router, pool, entry);
	dispatch(router, pool);
	return id;
}

size_t tgw_router_candidates(struct tgw_router *router,
			     const struct tgw_route_request *request,
			     const char **names, size_t capacity)
{
	const struct route_pool *pool = find_or_add_pool(router, request);
	size_t count = 0;

	for (int local = 1; local >= 0 && pool; local--)
		for (size_t i = 0; i < pool->server_count; i++) {
			const struct server_state *state = pool->servers[i];

			if (is_local(router, state) == (bool)local &&
			    route_choice_allows(state, request,
						now_of(router)) &&
			    count < capacity)
				names[count++] = state->server.name;
		}
	return count;
}

void tgw_router_cancel(struct tgw_router *router, uint64_t id)
{
	for (struct route_pool *pool = router->pools; pool; pool = pool->next) {
		struct route_entry *entry =
			route_queue_remove(&pool->queue, id);

		if (!entry)
			continue;
		free(entry);
		return;
	}
}

static void record_outcome(struct tgw_router *router,
			   const struct route_running *running,
			   enum tgw_route_outcome outcome, int64_t now_us)
{
	struct server_state *server = running->server;

	switch (outcome) {
	case TGW_ROUTE_SERVED:
		server_state_on_success(server);
		route_pace_on_finish(&running->pool->pace, running->cost_units,
				     now_us - running->started_us);
		return;
	case TGW_ROUTE_CANCELLED:
		return;
	case TGW_ROUTE_CONNECT_FAILED:
	case TGW_ROUTE_SERVER_ERROR:
	case TGW_ROUTE_BROKEN:
		break;
	}
	if (!server_state_on_failure(server) ||
	    !route_pool_may_eject(running->pool, server, now_us))
		return;
	server_state_eject(server, now_us);
	router->counters.ejections++;
}

void tgw_router_finish(struct tgw_router *router, uint64_t ticket,
		       enum tgw_route_outcome outcome, int64_t output_tokens)
{
	struct route_running *found =
		route_running_find(&router->running, ticket);
	int64_t now_us = now_of(router);
	struct route_running running;

	if (!found)
		return;
	running = *found;
	found->ticket = 0;
	server_state_on_finish(running.server, now_us);
	record_outcome(router, &running, outcome, now_us);
	if (!running.server->configured)
		remove_unused_servers(router);
	dispatch(router, running.pool);
}

void tgw_router_on_load(struct tgw_router *router, const char *server,
			const struct tgw_load_report *report)
{
	struct server_state *state = find_server(router, server);

	if (state)
		server_state_on_report(state, report);
}

void tgw_router_on_cache_event(struct tgw_router *router, const char *server,
			       const struct tgw_cache_event *event)
{
	struct server_state *state = find_server(router, server);
	int64_t now_us = now_of(router);

	if (!state || !prefix_index_record_sequence(&state->prefix,
						    event->sequence, now_us))
		return;
	if (event->cleared)
		prefix_index_clear(&state->prefix);
	else if (event->stored)
		prefix_index_add(&state->prefix, event->hashes,
				 event->hash_count, now_us);
	else
		prefix_index_remove(&state->prefix, event->hashes,
				    event->hash_count);
}

struct expiry {
	const struct route_pool *pool;
	int64_t now_us;
};

/* An attempt expires as soon as even an immediate start would miss its
 * deadline. */
static bool is_late(const struct route_entry *entry, const void *arg)
{
	const struct expiry *expiry = arg;
	int64_t run_us =
		route_pace_run_us(&expiry->pool->pace, entry->cost_units);

	return expiry->now_us + run_us > entry->request.deadline_us;
}

static void expire_late(struct tgw_router *router, struct route_pool *pool)
{
	struct expiry expiry = {.pool = pool, .now_us = now_of(router)};
	struct route_entry *entry;

	while ((entry = route_queue_remove_if(&pool->queue, is_late,
					      &expiry))) {
		router->counters.expired++;
		answer_busy(router, entry, expected_us(pool, entry),
			    "no server became free in time; come back later "
			    "or allow more time");
	}
}

int64_t tgw_router_tick(struct tgw_router *router)
{
	int64_t now_us = now_of(router);
	int64_t queued = 0;

	for (struct route_pool *pool = router->pools; pool; pool = pool->next) {
		expire_late(router, pool);
		dispatch(router, pool);
		queued += (int64_t)pool->queue.count;
	}
	router->counters.queued = queued;
	return now_us + (queued ? TICK_US : IDLE_TICK_US);
}

const struct tgw_router_counters *tgw_router_counters(
	const struct tgw_router *router)
{
	return &router->counters;
}
