#include "measure/booking_run.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fakes/fake_net.h"
#include "fakes/fake_store.h"
#include "fakes/fake_world.h"
#include "tamarackgw/claim.h"

#define HOSTS 8
#define DOMAINS 4
#define HOSTS_MAX 400
#define LENGTH_US (INT64_C(600) * TGW_US_PER_S)
#define PARTITION_START_US (INT64_C(150) * TGW_US_PER_S)
#define PARTITION_END_US (INT64_C(350) * TGW_US_PER_S)
#define PARTITIONED_DOMAIN 0
#define TICK_US (INT64_C(10) * TGW_US_PER_MS)
#define BOOKING_INTERVAL_US (INT64_C(100) * TGW_US_PER_MS)
#define FAULT_INTERVAL_US (INT64_C(2) * TGW_US_PER_S)
#define SERVICE_TIME_US (INT64_C(300) * TGW_US_PER_MS)
#define RETRY_DELAY_US (INT64_C(2) * TGW_US_PER_S)
#define ATTEMPTS_MAX 5
#define DETECTION_DELAY_US (INT64_C(3) * TGW_US_PER_S)
#define MEASURED_S 5

struct fleet;

struct host {
	struct fleet *fleet;
	size_t number;
	struct tgw_host seen[HOSTS_MAX]; /**< the hosts as this one sees them */
	struct tgw_host_view view;
	struct fake_store store;
	struct fake_net_end end;
	struct tgw_claim_agent *claims; /**< NULL while the host is down */
	uint64_t incarnation;
	bool paused;
};

struct booking {
	struct fleet *fleet;
	struct tgw_request_key key;
	char ticket[TGW_CLAIM_TICKET_SIZE];
	size_t domain;
	bool in_partition;
	int attempts;
	int runs;
	bool answered;
	bool unknown;
};

struct attempt {
	struct booking *booking;
	struct host *host;
	uint64_t incarnation;
	bool ended; /**< the service's response reached the caller */
};

struct fleet {
	struct fake_world world;
	struct fake_store_server store;
	struct fake_net net;
	size_t host_count;
	size_t domain_count;
	struct host *hosts;
	uint64_t next_incarnation;
	uint64_t next_key;
	bool tickets;
	bool partitioned;
	uint32_t buckets; /**< 0 for the default */
	struct booking_result *result;
	size_t booking_count;
	struct booking **bookings;
};

static bool is_up(const struct host *host)
{
	return host->claims && !host->paused;
}

static void receive(void *arg, const struct tgw_peer_message *message)
{
	struct host *host = arg;

	tgw_claim_on_message(host->claims, message);
}

static void tick(void *arg)
{
	struct host *host = arg;

	if (is_up(host))
		tgw_claim_tick(host->claims);
	fake_world_after(&host->fleet->world, TICK_US, tick, host);
}

static void start_host(struct host *host)
{
	struct tgw_claim_env env = tgw_claim_env_default();

	env.clock = &host->fleet->world.clock;
	env.store = &host->store.store;
	env.peer = &host->end.peer;
	host->incarnation = ++host->fleet->next_incarnation;
	host->seen[host->number].incarnation = host->incarnation;
	if (host->fleet->buckets)
		env.bucket_count = host->fleet->buckets;
	host->claims = tgw_claim_agent_new(&env, &host->view);
}

static size_t domain_of(const struct host *host)
{
	return host->number % host->fleet->domain_count;
}

/* Updates how the other hosts see a host. Runs DETECTION_DELAY_US after its
 * state changed, as a failure detector would. */
static void update_views(void *arg)
{
	struct host *host = arg;
	struct fleet *fleet = host->fleet;

	for (size_t i = 0; i < fleet->host_count; i++) {
		struct host *other = &fleet->hosts[i];
		struct tgw_host *seen = &other->seen[host->number];
		bool unreachable =
			fleet->partitioned &&
			(domain_of(host) == PARTITIONED_DOMAIN) !=
				(domain_of(other) == PARTITIONED_DOMAIN);

		if (other == host)
			continue;
		seen->state = TGW_HOST_ALIVE;
		if (!host->claims)
			seen->state = TGW_HOST_GONE;
		else if (host->paused || unreachable)
			seen->state = TGW_HOST_SILENT;
		if (!unreachable)
			seen->incarnation = host->incarnation;
		if (other->claims)
			tgw_claim_set_hosts(other->claims, &other->view);
	}
}

static void set_up(struct fleet *fleet, size_t hosts, size_t domains,
		   uint64_t seed)
{
	fake_world_init(&fleet->world, seed);
	fake_store_server_init(&fleet->store, &fleet->world);
	fake_net_init(&fleet->net, &fleet->world);
	fleet->host_count = hosts;
	fleet->domain_count = domains;
	fleet->hosts = xcalloc(hosts, sizeof(fleet->hosts[0]));
	for (size_t i = 0; i < hosts; i++) {
		struct host *host = &fleet->hosts[i];

		host->fleet = fleet;
		host->number = i;
		host->view.self_index = i;
		host->view.host_count = hosts;
		host->view.hosts = host->seen;
		for (size_t k = 0; k < hosts; k++) {
			snprintf(host->seen[k].name, TGW_NAME_SIZE, "host%zu",
				 k);
			snprintf(host->seen[k].failure_domain, TGW_NAME_SIZE,
				 "domain%zu", k % domains);
		}
		fake_store_init(&host->store, &fleet->store);
		fake_net_add(&fleet->net, &host->end, host->seen[i].name, i + 1,
			     receive, host);
		start_host(host);
		tick(host);
	}
	for (size_t i = 0; i < hosts; i++)
		update_views(&fleet->hosts[i]);
}

static void tear_down(struct fleet *fleet)
{
	for (size_t i = 0; i < fleet->host_count; i++)
		tgw_claim_agent_free(fleet->hosts[i].claims);
	for (size_t i = 0; i < fleet->booking_count; i++)
		free(fleet->bookings[i]);
	fake_store_server_clear(&fleet->store);
	fake_world_clear(&fleet->world);
	free(fleet->bookings);
	free(fleet->hosts);
}

/* The service responds to a call that it ran. The response is lost when the
 * host died meanwhile, and waits while the host is paused. */
static void serve(void *arg)
{
	struct attempt *attempt = arg;
	struct host *host = attempt->host;
	static const char body[] = "booked";

	if (host->claims && host->paused) {
		fake_world_after(&host->fleet->world, SERVICE_TIME_US, serve,
				 attempt);
		return;
	}
	if (host->claims && host->incarnation == attempt->incarnation) {
		attempt->booking->answered = true;
		attempt->ended = true;
		tgw_claim_finish(host->claims, &attempt->booking->key,
				 TGW_CLAIM_DONE, 201, "text/plain", body,
				 sizeof(body));
	}
	free(attempt);
}

static void on_answer(void *arg, const struct tgw_claim_answer *answer)
{
	struct attempt *attempt = arg;
	struct booking *booking = attempt->booking;
	struct booking_result *result = booking->fleet->result;

	if (answer->state == TGW_CLAIM_GRANTED) {
		booking->runs++;
		fake_world_after(&booking->fleet->world, SERVICE_TIME_US, serve,
				 attempt);
		return;
	}
	booking->unknown = answer->state == TGW_CLAIM_UNKNOWN;
	if (answer->state == TGW_CLAIM_RECORDED) {
		booking->answered = true;
		result->false_recorded += !booking->runs;
	}
	if (answer->state == TGW_CLAIM_REFUSED ||
	    answer->state == TGW_CLAIM_KEY_REUSED)
		result->false_not_run += booking->runs > 0;
	free(attempt);
}

/* Selects a random host of the caller's failure domain that is not down, as the
 * load balancer does; the host may be paused.
 * @return NULL when none of 20 random hosts is suitable */
static struct host *pick_host(struct fleet *fleet, size_t domain)
{
	if (fleet->domain_count == fleet->host_count)
		return &fleet->hosts[domain];
	for (int i = 0; i < 20; i++) {
		struct host *host = &fleet->hosts[tgw_random_below(
			&fleet->world.random, fleet->host_count)];

		if (domain_of(host) == domain && host->claims)
			return host;
	}
	return NULL;
}

static void send_booking(void *arg)
{
	struct booking *booking = arg;
	struct fleet *fleet = booking->fleet;
	struct host *host = pick_host(fleet, booking->domain);
	struct tgw_claim_request request = {.team = "team",
					    .key = booking->key};
	struct tgw_claim_callback callback = {.done = on_answer};
	struct attempt *attempt;

	if (booking->answered || booking->attempts++ == ATTEMPTS_MAX)
		return;
	fake_world_after(&fleet->world, RETRY_DELAY_US, send_booking, booking);
	if (!host)
		return;
	attempt = xcalloc(1, sizeof(*attempt));
	attempt->booking = booking;
	attempt->host = host;
	attempt->incarnation = host->incarnation;
	callback.arg = attempt;
	if (*booking->ticket)
		request.ticket = booking->ticket;
	tgw_claim_begin(host->claims, &request, callback);
}

static void new_booking(struct fleet *fleet, size_t domain)
{
	struct booking *booking = xcalloc(1, sizeof(*booking));
	struct host *issuer = pick_host(fleet, domain);

	booking->fleet = fleet;
	booking->domain = domain;
	booking->in_partition = fleet->partitioned &&
				domain == PARTITIONED_DOMAIN;
	fleet->next_key++;
	memcpy(booking->key.bytes, &fleet->next_key, sizeof(fleet->next_key));
	if (fleet->tickets && issuer)
		tgw_claim_issue_ticket(issuer->claims, "team", booking->ticket,
				       NULL);
	fleet->bookings =
		xrealloc(fleet->bookings, (fleet->booking_count + 1) *
						  sizeof(fleet->bookings[0]));
	fleet->bookings[fleet->booking_count++] = booking;
	send_booking(booking);
}

static void book_next(void *arg)
{
	struct fleet *fleet = arg;

	new_booking(fleet, tgw_random_below(&fleet->world.random,
					    fleet->domain_count));
	fake_world_after(&fleet->world, BOOKING_INTERVAL_US, book_next, fleet);
}

static void resume_host(void *arg)
{
	struct host *host = arg;

	host->paused = false;
	host->store.paused = false;
	host->end.paused = false;
	fake_world_after(&host->fleet->world, DETECTION_DELAY_US, update_views,
			 host);
}

static void restart_host(void *arg)
{
	struct host *host = arg;

	start_host(host);
	fake_net_restart(&host->end, host->incarnation);
	fake_world_after(&host->fleet->world, DETECTION_DELAY_US, update_views,
			 host);
}

static void kill_host(struct host *host)
{
	fake_store_reset(&host->store);
	tgw_claim_agent_free(host->claims);
	host->claims = NULL;
	host->paused = false;
	host->end.up = false;
	host->end.paused = false;
	fake_world_after(&host->fleet->world, DETECTION_DELAY_US, update_views,
			 host);
	fake_world_after(&host->fleet->world, 3 * DETECTION_DELAY_US,
			 restart_host, host);
}

static void pause_host(struct host *host)
{
	host->paused = true;
	host->store.paused = true;
	host->end.paused = true;
	fake_world_after(&host->fleet->world, DETECTION_DELAY_US, update_views,
			 host);
	fake_world_after(&host->fleet->world, 2 * DETECTION_DELAY_US,
			 resume_host, host);
}

/* Starts one random fault, or ends the loss of messages. Faults overlap, since
 * many last longer than the interval between them. */
static void inject_fault(void *arg)
{
	struct fleet *fleet = arg;
	struct host *host = &fleet->hosts[tgw_random_below(&fleet->world.random,
							   fleet->host_count)];

	fake_world_after(&fleet->world, FAULT_INTERVAL_US, inject_fault, fleet);
	if (!is_up(host))
		return;
	switch (tgw_random_below(&fleet->world.random, 8)) {
	case 0:
		kill_host(host);
		return;
	case 1:
		pause_host(host);
		return;
	case 2:
	case 3:
		host->store.lose_answers++;
		return;
	case 4:
		host->store.lose_requests++;
		return;
	case 5:
		fleet->net.loss_per_1000 = 50;
		fleet->net.duplicate_per_1000 = 50;
		fleet->net.jitter_us = 20 * TGW_US_PER_MS;
		return;
	default:
		fleet->net.loss_per_1000 = 0;
		return;
	}
}

static void set_partition(struct fleet *fleet, bool partitioned)
{
	fleet->partitioned = partitioned;
	for (size_t i = 0; i < fleet->host_count; i++) {
		struct host *host = &fleet->hosts[i];

		if (domain_of(host) == PARTITIONED_DOMAIN) {
			host->end.group = partitioned;
			fake_store_set_partitioned(&host->store, partitioned);
		}
	}
	for (size_t i = 0; i < fleet->host_count; i++)
		fake_world_after(&fleet->world, DETECTION_DELAY_US,
				 update_views, &fleet->hosts[i]);
}

static void start_partition(void *arg)
{
	set_partition(arg, true);
}

static void end_partition(void *arg)
{
	set_partition(arg, false);
}

static void sum_results(const struct fleet *fleet,
			struct booking_result *result)
{
	for (size_t i = 0; i < fleet->booking_count; i++) {
		const struct booking *booking = fleet->bookings[i];

		result->bookings++;
		result->answered += booking->answered;
		result->ran_twice += booking->runs > 1;
		result->partition_bookings += booking->in_partition;
		result->partition_not_run += booking->in_partition &&
					     !booking->runs;
		result->unknown += booking->unknown && !booking->answered;
	}
	result->store_writes += fleet->store.writes;
	result->store_reads += fleet->store.reads;
}

void booking_run(bool tickets, uint64_t seed, struct booking_result *result)
{
	struct fleet fleet = {.tickets = tickets, .result = result};

	set_up(&fleet, HOSTS, DOMAINS, seed);
	fake_world_after(&fleet.world, PARTITION_START_US, start_partition,
			 &fleet);
	fake_world_after(&fleet.world, PARTITION_END_US, end_partition, &fleet);
	book_next(&fleet);
	inject_fault(&fleet);
	fake_world_advance(&fleet.world, LENGTH_US);
	sum_results(&fleet, result);
	tear_down(&fleet);
}

double booking_store_writes(uint32_t hosts, uint32_t domains,
			    uint32_t bookings_per_s, uint32_t buckets,
			    bool batched, double *reads_per_s)
{
	struct booking_result result = {0};
	struct fleet fleet = {.result = &result, .buckets = buckets};
	double writes;

	set_up(&fleet, hosts, batched ? domains : hosts, 1);
	/* Unbatched: each host sees all others as silent. */
	for (uint32_t i = 0; i < hosts && !batched; i++) {
		struct host *host = &fleet.hosts[i];

		for (uint32_t k = 0; k < hosts; k++)
			if (k != i)
				host->seen[k].state = TGW_HOST_SILENT;
		tgw_claim_set_hosts(host->claims, &host->view);
	}
	for (uint32_t i = 0; i < MEASURED_S * bookings_per_s; i++) {
		new_booking(&fleet, tgw_random_below(&fleet.world.random,
						     fleet.domain_count));
		fake_world_advance(&fleet.world, TGW_US_PER_S / bookings_per_s);
	}
	writes = (double)fleet.store.writes / MEASURED_S;
	*reads_per_s = (double)fleet.store.reads / MEASURED_S;
	tear_down(&fleet);
	return writes;
}
