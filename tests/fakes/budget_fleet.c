#include "fakes/budget_fleet.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "base/xalloc.h"
#include "state/ledger_codec.h"

#define VIEW_INTERVAL_US (INT64_C(500) * TGW_US_PER_MS)
#define SILENT_AFTER_US (2 * TGW_US_PER_S)
#define GONE_AFTER_US (30 * TGW_US_PER_S)
#define PAUSED_RETRY_US (INT64_C(50) * TGW_US_PER_MS)

static void tick(void *arg);

static void tick_now(struct fleet_host *host)
{
	struct fake_world *world = &host->fleet->world;
	int64_t next_us;

	if (!host->is_up || host->is_paused)
		return;
	next_us = tgw_budget_tick(host->agent);
	if (next_us < host->tick_us || host->tick_us <= world->now_us) {
		host->tick_us = next_us;
		fake_world_after(world, next_us - world->now_us, tick, host);
	}
}

static void tick(void *arg)
{
	struct fleet_host *host = arg;

	if (host->fleet->world.now_us == host->tick_us)
		tick_now(host);
}

static void receive(void *arg, const struct tgw_peer_message *message)
{
	struct fleet_host *host = arg;

	if (!host->is_up)
		return;
	tgw_budget_on_message(host->agent, message);
	tick_now(host);
}

static bool reaches(const struct fleet_host *from, const struct fleet_host *to)
{
	return from->is_up && !from->is_paused &&
	       from->end.group == to->end.group;
}

static enum tgw_host_state state_of(const struct fleet_host *host, size_t other)
{
	const struct budget_fleet *fleet = host->fleet;
	const struct fleet_host *to = fleet->hosts[other];
	int64_t now_us = fleet->world.now_us;

	if (now_us - host->last_received_us[other] <= fleet->silent_after_us)
		return to->is_leaving ? TGW_HOST_LEAVING : TGW_HOST_ALIVE;
	if (!to->is_up && now_us - to->died_us >= fleet->gone_after_us)
		return TGW_HOST_GONE;
	return TGW_HOST_SILENT;
}

static bool refresh_view(struct fleet_host *host)
{
	struct budget_fleet *fleet = host->fleet;
	bool changed = host->view.host_count != fleet->host_count;

	for (size_t i = 0; i < fleet->host_count; i++) {
		struct fleet_host *other = fleet->hosts[i];
		struct tgw_host *seen = &host->seen[i];
		enum tgw_host_state state;

		if (reaches(other, host)) {
			host->last_received_us[i] = fleet->world.now_us;
			host->received_incarnation[i] = other->incarnation;
		}
		state = state_of(host, i);
		changed |= seen->state != state ||
			   seen->incarnation != host->received_incarnation[i];
		text_copy(seen->name, TGW_NAME_SIZE, other->name);
		text_copy(seen->failure_domain, TGW_NAME_SIZE, other->domain);
		seen->incarnation = host->received_incarnation[i];
		seen->state = state;
	}
	host->view.host_count = fleet->host_count;
	host->view.hosts = host->seen;
	host->view.self_index = host->index;
	host->view.version += changed;
	return changed;
}

static void refresh_views(void *arg)
{
	struct budget_fleet *fleet = arg;

	for (size_t i = 0; i < fleet->host_count; i++) {
		struct fleet_host *host = fleet->hosts[i];

		if (!host->is_up || host->is_paused || !refresh_view(host))
			continue;
		tgw_budget_set_hosts(host->agent, &host->view);
		tick_now(host);
	}
	fake_world_after(&fleet->world, VIEW_INTERVAL_US, refresh_views, fleet);
}

void budget_fleet_init(struct budget_fleet *fleet, uint64_t seed,
		       uint32_t bucket_count)
{
	memset(fleet, 0, sizeof(*fleet));
	fake_world_init(&fleet->world, seed);
	fake_net_init(&fleet->net, &fleet->world);
	fake_store_server_init(&fleet->server, &fleet->world);
	fleet->settings = tgw_budget_settings_default();
	fleet->settings.bucket_count = bucket_count;
	fleet->silent_after_us = SILENT_AFTER_US;
	fleet->gone_after_us = GONE_AFTER_US;
	fleet->keeps_requests = true;
}

void budget_fleet_clear(struct budget_fleet *fleet)
{
	for (size_t i = 0; i < fleet->host_count; i++) {
		tgw_budget_agent_free(fleet->hosts[i]->agent);
		fake_store_reset(&fleet->hosts[i]->store);
	}
	/* fake_world_clear() frees the messages and answers in flight. */
	for (size_t i = 0; i < fleet->host_count; i++) {
		fleet->hosts[i]->is_up = false;
		fleet->hosts[i]->end.up = false;
	}
	fake_world_clear(&fleet->world);
	fake_store_server_clear(&fleet->server);
	for (size_t i = 0; i < fleet->host_count; i++)
		free(fleet->hosts[i]);
	for (size_t i = 0; i < fleet->request_count; i++)
		free(fleet->requests[i]);
	free(fleet->requests);
}

struct fleet_host *budget_fleet_add(struct budget_fleet *fleet,
				    const char *name, const char *domain)
{
	struct fleet_host *host = xcalloc(1, sizeof(*host));

	assert(fleet->host_count < BUDGET_FLEET_HOSTS_MAX);
	host->fleet = fleet;
	host->index = fleet->host_count;
	snprintf(host->name, sizeof(host->name), "%s", name);
	snprintf(host->domain, sizeof(host->domain), "%s", domain);
	host->incarnation = ++fleet->next_incarnation;
	fleet->hosts[fleet->host_count++] = host;
	fake_net_add(&fleet->net, &host->end, name, host->incarnation, receive,
		     host);
	fake_store_init(&host->store, &fleet->server);
	return host;
}

static void start_agent(struct fleet_host *host)
{
	struct tgw_budget_env env = {
		.clock = &host->fleet->world.clock,
		.store = &host->store.store,
		.peer = &host->end.peer,
		.random_seed = host->incarnation,
		.settings = host->fleet->settings,
	};

	host->agent = tgw_budget_agent_new(&env, &host->view);
	host->tick_us = 0;
	tick_now(host);
}

void budget_fleet_start(struct budget_fleet *fleet)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		fleet->hosts[i]->is_up = true;
	for (size_t i = 0; i < fleet->host_count; i++) {
		refresh_view(fleet->hosts[i]);
		start_agent(fleet->hosts[i]);
	}
	fake_world_after(&fleet->world, VIEW_INTERVAL_US, refresh_views, fleet);
}

struct fleet_host *budget_fleet_find(struct budget_fleet *fleet,
				     const char *name)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		if (!strcmp(fleet->hosts[i]->name, name))
			return fleet->hosts[i];
	return NULL;
}

static void add_counters(struct tgw_budget_counters *sum,
			 const struct tgw_budget_counters *more)
{
	sum->reserved += more->reserved;
	sum->refused_exhausted += more->refused_exhausted;
	sum->refused_unavailable += more->refused_unavailable;
	sum->settled_usage += more->settled_usage;
	sum->settled_bound += more->settled_bound;
	sum->duplicate_keys += more->duplicate_keys;
	sum->reversed_duplicates += more->reversed_duplicates;
	sum->ledger_reads += more->ledger_reads;
	sum->ledger_writes += more->ledger_writes;
	sum->ledger_conflicts += more->ledger_conflicts;
	sum->ledger_read_backs += more->ledger_read_backs;
	sum->write_offs += more->write_offs;
	sum->peer_messages_sent += more->peer_messages_sent;
	sum->peer_bytes_sent += more->peer_bytes_sent;
	sum->held_tokens += more->held_tokens;
	sum->reserved_tokens += more->reserved_tokens;
}

struct tgw_budget_counters budget_fleet_counters(
	const struct budget_fleet *fleet)
{
	struct tgw_budget_counters sum = {0};

	for (size_t i = 0; i < fleet->host_count; i++) {
		const struct fleet_host *host = fleet->hosts[i];

		add_counters(&sum, &host->past_counters);
		if (host->agent)
			add_counters(&sum,
				     tgw_budget_agent_counters(host->agent));
	}
	return sum;
}

static void abandon_requests(struct fleet_host *host)
{
	struct budget_fleet *fleet = host->fleet;

	for (size_t i = 0; i < fleet->request_count; i++) {
		struct fleet_request *request = fleet->requests[i];

		if (request->host == host &&
		    request->incarnation == host->incarnation &&
		    (request->state == FLEET_RUNNING ||
		     request->state == FLEET_PENDING))
			request->state = FLEET_ABANDONED;
	}
}

void budget_fleet_kill(struct fleet_host *host)
{
	if (!host->is_up)
		return;
	add_counters(&host->past_counters,
		     tgw_budget_agent_counters(host->agent));
	abandon_requests(host);
	tgw_budget_agent_free(host->agent);
	host->agent = NULL;
	fake_store_reset(&host->store);
	host->is_up = false;
	host->is_paused = false;
	host->is_leaving = false;
	host->end.up = false;
	host->end.paused = false;
	host->store.paused = false;
	host->died_us = host->fleet->world.now_us;
}

void budget_fleet_restart(struct fleet_host *host)
{
	budget_fleet_kill(host);
	host->incarnation = ++host->fleet->next_incarnation;
	fake_net_restart(&host->end, host->incarnation);
	host->is_up = true;
	refresh_view(host);
	start_agent(host);
}

void budget_fleet_pause(struct fleet_host *host, bool paused)
{
	if (!host->is_up || host->is_paused == paused)
		return;
	host->is_paused = paused;
	host->end.paused = paused;
	host->store.paused = paused;
	if (!paused)
		tick_now(host);
}

void budget_fleet_drain(struct fleet_host *host)
{
	host->is_leaving = true;
	tgw_budget_drain(host->agent);
	tick_now(host);
}

void budget_fleet_set_group(struct budget_fleet *fleet, const char *domain,
			    size_t group)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		if (!strcmp(fleet->hosts[i]->domain, domain))
			fleet->hosts[i]->end.group = group;
}

void budget_fleet_partition_store(struct budget_fleet *fleet,
				  const char *domain, bool partitioned)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		if (!strcmp(fleet->hosts[i]->domain, domain))
			fake_store_set_partitioned(&fleet->hosts[i]->store,
						   partitioned);
}

static void read_bucket(struct budget_fleet *fleet, const char *budget,
			char key[LEDGER_KEY_SIZE], struct ledger_bucket *bucket)
{
	const struct fake_store_key *found;
	struct tgw_error error;
	enum tgw_status status;

	ledger_bucket_key(key, ledger_bucket_of(budget,
						fleet->settings.bucket_count));
	found = fake_store_server_find(&fleet->server, key);
	status = ledger_codec_decode(bucket, found ? found->value : NULL,
				     found ? found->value_size : 0, &error);
	if (status != TGW_OK) {
		fprintf(stderr, "cannot decode ledger bucket %s: %s\n", key,
			error.message);
		abort();
	}
}

void budget_fleet_top_up(struct budget_fleet *fleet, const char *budget,
			 const char *id, int64_t tokens)
{
	char key[LEDGER_KEY_SIZE];
	struct ledger_bucket bucket;
	struct buffer bytes = {0};
	bool applied;

	read_bucket(fleet, budget, key, &bucket);
	ledger_bucket_top_up(&bucket, budget, id, tokens,
			     tgw_clock_wall_us(&fleet->world.clock), &applied,
			     NULL);
	ledger_codec_encode(&bucket, &bytes);
	fake_store_server_put(&fleet->server, key, bytes.data, bytes.size);
	buffer_free(&bytes);
	ledger_bucket_clear(&bucket);
}

static void notify_change(struct fleet_request *request)
{
	if (request->changed)
		request->changed(request->arg, request);
}

/* Frees an ended request unless the fleet keeps requests. */
static void free_unless_kept(struct fleet_request *request)
{
	if (!request->host->fleet->keeps_requests)
		free(request);
}

void budget_fleet_settle(struct fleet_request *request, int64_t tokens,
			 enum tgw_settle_basis basis)
{
	struct fleet_host *host = request->host;

	if (request->state != FLEET_RUNNING)
		return;
	if (basis == TGW_SETTLE_BOUND)
		tokens = request->bound_tokens;
	request->cost_tokens = basis == TGW_SETTLE_NOT_RUN ? 0 : tokens;
	request->state = FLEET_SETTLED;
	tgw_budget_settle(host->agent, request->budget, &request->key, tokens,
			  basis);
	notify_change(request);
	free_unless_kept(request);
	tick_now(host);
}

static void finish(void *arg)
{
	struct fleet_request *request = arg;

	if (request->state != FLEET_RUNNING)
		return;
	if (request->host->is_paused) {
		fake_world_after(&request->host->fleet->world, PAUSED_RETRY_US,
				 finish, request);
		return;
	}
	budget_fleet_settle(request, request->cost_tokens,
			    request->is_partial ? TGW_SETTLE_PARTIAL
						: TGW_SETTLE_USAGE);
}

static void on_answer(void *arg, const struct tgw_budget_answer *answer)
{
	struct fleet_request *request = arg;
	struct fake_world *world = &request->host->fleet->world;

	request->status = answer->status;
	request->answered_us = world->now_us;
	if (answer->status != TGW_OK)
		request->state = FLEET_REFUSED;
	else if (answer->already_settled)
		request->state = FLEET_REPLAYED;
	else
		request->state = FLEET_RUNNING;
	request->reuses_reservation = answer->already_reserved;
	notify_change(request);
	if (request->state == FLEET_RUNNING && request->run_us)
		fake_world_after(world, request->run_us, finish, request);
	else if (request->state != FLEET_RUNNING)
		free_unless_kept(request);
}

static void make_key(struct tgw_request_key *key, uint64_t number)
{
	char text[32];

	snprintf(text, sizeof(text), "%llu", (unsigned long long)number);
	tgw_request_key_derive(key, "team", text, strlen(text));
}

static void keep_request(struct budget_fleet *fleet,
			 struct fleet_request *request)
{
	fleet->requests =
		xrealloc(fleet->requests, (fleet->request_count + 1) *
						  sizeof(fleet->requests[0]));
	fleet->requests[fleet->request_count++] = request;
}

struct fleet_request *budget_fleet_request(struct fleet_host *host,
					   const char *budget, uint64_t number,
					   int64_t bound_tokens,
					   int64_t cost_tokens, int64_t run_us)
{
	struct budget_fleet *fleet = host->fleet;
	struct fleet_request *request = xcalloc(1, sizeof(*request));
	struct tgw_budget_request reservation = {
		.budget = request->budget,
		.bound_tokens = bound_tokens,
	};

	snprintf(request->budget, sizeof(request->budget), "%s", budget);
	request->host = host;
	request->incarnation = host->incarnation;
	request->number = number;
	request->bound_tokens = bound_tokens;
	request->cost_tokens = cost_tokens;
	request->run_us = run_us;
	request->started_us = fleet->world.now_us;
	make_key(&request->key, number);
	reservation.key = request->key;
	if (fleet->keeps_requests)
		keep_request(fleet, request);
	tgw_budget_reserve(host->agent, &reservation,
			   (struct tgw_budget_callback){on_answer, request});
	tick_now(host);
	return request;
}

bool budget_fleet_balance(struct budget_fleet *fleet, const char *budget,
			  struct fleet_balance *balance)
{
	char key[LEDGER_KEY_SIZE];
	struct ledger_bucket bucket;
	int found;
	bool is_valid;

	memset(balance, 0, sizeof(*balance));
	read_bucket(fleet, budget, key, &bucket);
	is_valid = ledger_bucket_check(&bucket, NULL) == TGW_OK;
	found = ledger_bucket_find_budget(&bucket, budget);
	if (found >= 0) {
		balance->paid_in_tokens = bucket.budgets[found].paid_in_tokens;
		balance->charged_tokens = bucket.budgets[found].folded_tokens;
		balance->free_tokens =
			ledger_bucket_free_tokens(&bucket, (uint32_t)found);
	}
	for (size_t i = 0; found >= 0 && i < bucket.line_count; i++) {
		const struct ledger_line *line = &bucket.lines[i];
		const struct ledger_allotment *allotment =
			ledger_line_find_allotment(line, (uint32_t)found);

		if (!allotment)
			continue;
		if (line->state == LEDGER_LINE_OPEN) {
			balance->open_lines++;
			balance->allotted_tokens += allotment->allotted_tokens;
			balance->settled_tokens += allotment->settled_tokens;
		} else {
			balance->closed_lines++;
			balance->charged_tokens +=
				ledger_allotment_debit(line, allotment);
		}
	}
	ledger_bucket_clear(&bucket);
	return is_valid;
}

static int compare_numbers(const void *a, const void *b)
{
	const struct fleet_request *first = *(struct fleet_request *const *)a;
	const struct fleet_request *second = *(struct fleet_request *const *)b;

	if (first->number != second->number)
		return first->number < second->number ? -1 : 1;
	return 0;
}

/* @return the highest cost of the settled attempts of a request, or, when that
 * is 0, the highest bound of its granted attempts that run or were abandoned */
static int64_t cost_of_attempts(struct fleet_request **attempts, size_t count)
{
	int64_t settled = 0;
	int64_t unsettled = 0;

	for (size_t i = 0; i < count; i++) {
		const struct fleet_request *attempt = attempts[i];

		if (attempt->state == FLEET_SETTLED &&
		    attempt->cost_tokens > settled)
			settled = attempt->cost_tokens;
		if ((attempt->state == FLEET_RUNNING ||
		     attempt->state == FLEET_ABANDONED) &&
		    attempt->status == TGW_OK && attempt->answered_us &&
		    attempt->bound_tokens > unsettled)
			unsettled = attempt->bound_tokens;
	}
	return settled ? settled : unsettled;
}

int64_t budget_fleet_true_cost(const struct budget_fleet *fleet,
			       const char *budget)
{
	struct fleet_request **sorted =
		xcalloc(fleet->request_count, sizeof(struct fleet_request *));
	size_t count = 0;
	size_t end;
	int64_t cost = 0;

	for (size_t i = 0; i < fleet->request_count; i++)
		if (!strcmp(fleet->requests[i]->budget, budget))
			sorted[count++] = fleet->requests[i];
	if (count)
		qsort(sorted, count, sizeof(sorted[0]), compare_numbers);
	for (size_t start = 0; start < count; start = end) {
		end = start + 1;
		while (end < count &&
		       sorted[end]->number == sorted[start]->number)
			end++;
		cost += cost_of_attempts(&sorted[start], end - start);
	}
	free(sorted);
	return cost;
}
