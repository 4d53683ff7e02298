#include "soak/evac_play.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "soak/evac_judge.h"
#include "soak/lost_config.h"
#include "soak/part_server.h"
#include "soak/soak.h"
#include "soak/soak_faults.h"
#include "transport/http_conn.h"
#include "transport/socket_address.h"

#define TICK_MS 10
#define START_US (4 * SOAK_US_PER_S)
/* No faults and evacuations at the end: domains have to get requests again. */
#define CALM_US (10 * SOAK_US_PER_S)
#define STOP_US ((SOAK_KILL_AFTER_S + 3) * SOAK_US_PER_S)
#define DOMAINS 3
#define EVACUATED_MAX 2
#define SERVERS_PER_DOMAIN 2
#define SERVERS (DOMAINS * SERVERS_PER_DOMAIN)
/* Fewer than three, so that a host in a fleet of three follows a relay. */
#define HOST_DOMAINS 2
/* At this load a server without a limit gets more than a warm-up allows. */
#define CALLERS_PER_HOST 16
#define THINK_MIN_MS 5
#define THINK_SPREAD_MS 60
#define PAUSE_MIN_MS 40 /* after a failure */
#define STREAM_PERCENT 15
#define FIRST_PARTS 40
#define WARMUP_S 3
#define WARMUP_PER_S 17
#define SLOW_MIN_MS 2500
#define SLOW_SPREAD_MS 2500
/* Until hosts have a response of a server that became slow. */
#define LEARN_US (1 * SOAK_US_PER_S)
#define EVACUATE_MS 1500
#define KEY_MIN_MS 300
#define KEY_SPREAD_MS 6000
/* A series of changes of a key is within a second. */
#define SERIES_SPREAD_MS 450
#define SERIES_CHANGES 2
#define SERIES_PERCENT 35
#define PAIR_PERCENT 30
#define WARMUP_EVENT_SPREAD_MS 2500
#define FAULT_SPREAD_MS 6000 /* with FAULT_HOSTS hosts; fewer with more */
#define FAULT_HOSTS 2
/* Longer than a warm-up: in one a host that knows no other may send next to
 * nothing. */
#define IDLE_MAX_US (6 * SOAK_US_PER_S)
/* In a warm-up, while two hosts are in touch, so that they know each other. */
#define WARM_IDLE_MAX_US (2 * SOAK_US_PER_S)
#define HOSTS_LISTED_MIN 2

/* Who sent a request. */
struct sender {
	struct soak_host *host;
	unsigned int start; /* number of its process */
};

struct caller {
	struct soak_host *host;
	struct http_conn *conn;
	uv_timer_t timer;
};

struct domain {
	char name[32];
	struct evac_judge_domain judge;
	int64_t due_us; /* next change of its key */
	unsigned int series;
};

struct server {
	struct part_server *server;
	struct domain *domain;
	bool running;
	struct evac_judge_warmup warmup;
	struct evac_judge_use use;
	struct evac_judge_use warm_use;
	bool warmup_used; /* the present warm-up had a request */
};

static struct soak *soak;
static struct domain domains[DOMAINS];
static struct server servers[SERVERS];
static struct caller *callers;
static struct sender *senders;
static unsigned int sender_count;
static int64_t bound_us;
static int64_t next_warmup_us;
static int64_t next_fault_us;
static int64_t end_us;
static int64_t ticked_us;
static unsigned int key_changes;
static unsigned int warmups;
static unsigned int warm_arrivals;
static unsigned int used_warmups;
static unsigned int evacuated_arrivals;

static unsigned int below(unsigned int bound)
{
	return (unsigned int)tgw_random_below(&soak->random, bound);
}

static struct server *find_server(const struct part_server *server)
{
	for (size_t i = 0; i < SERVERS; i++)
		if (servers[i].server == server)
			return &servers[i];
	return NULL;
}

static void begin_warmup(struct server *server, int duration_ms,
			 int64_t learn_us)
{
	evac_judge_warmup_begin(&server->warmup, soak_now_us(),
				duration_ms * SOAK_US_PER_MS, learn_us);
	evac_judge_used(&server->use);
	evac_judge_used(&server->warm_use);
	server->warmup_used = false;
	warmups++;
}

static void on_running(const struct part_server *part_server, bool running)
{
	struct server *server = find_server(part_server);

	/* Not listed while it is started for the first time. */
	if (!server)
		return;
	server->running = running;
	if (!running)
		return;
	memset(&server->warmup, 0, sizeof(server->warmup));
	begin_warmup(server, WARMUP_S * 1000, 0);
	soak_note(soak, "%s starts in %s", part_server_id(part_server),
		  server->domain->name);
}

static void judge_evacuation(const struct server *server, unsigned int number)
{
	const struct sender *sender = &senders[number];
	const struct soak_host *host = sender->host;
	bool is_present = host->pid && sender->start == host->starts;
	const struct evac_judge_domain *judge = &server->domain->judge;
	int64_t now_us = soak_now_us();
	double late_s = (double)(now_us - judge->changed_us) / SOAK_US_PER_S;

	evacuated_arrivals += judge->evacuated;
	switch (evac_judge_arrived(judge, now_us, bound_us,
				   is_present && soak_host_in_touch(host),
				   is_present ? host->started_us : 0)) {
	case EVAC_JUDGE_ALLOWED:
		return;
	case EVAC_JUDGE_LATE:
		soak_broken(soak, "sent-to-evacuated-domain",
			    "p%u of %s reached %s in %s, evacuated for %.3f s",
			    number, host->name, part_server_id(server->server),
			    server->domain->name, late_s);
		return;
	case EVAC_JUDGE_NOT_KNOWN_AT_START:
		soak_broken(soak, "evacuation-not-known-at-start",
			    "p%u of %s, started %.3f s ago, reached %s in %s, "
			    "evacuated for %.3f s",
			    number, host->name,
			    (double)(now_us - host->started_us) / SOAK_US_PER_S,
			    part_server_id(server->server),
			    server->domain->name, late_s);
		return;
	}
}

static void count_warm_arrival(struct server *server, int64_t now_us)
{
	if (now_us < server->warmup.from_us ||
	    now_us >= server->warmup.until_us)
		return;
	warm_arrivals++;
	used_warmups += !server->warmup_used;
	server->warmup_used = true;
}

static bool on_arrived(const struct part_server *part_server,
		       unsigned int number)
{
	struct server *server = find_server(part_server);
	int64_t now_us = soak_now_us();

	count_warm_arrival(server, now_us);
	evac_judge_used(&server->use);
	evac_judge_used(&server->warm_use);
	evac_judge_used(&server->domain->judge.use);
	judge_evacuation(server, number);
	if (evac_judge_warmup_arrived(&server->warmup, now_us))
		soak_broken(soak, "warm-up-exceeded",
			    "%s got more than %d requests in a second, the "
			    "last p%u of %s, %.3f s before its warm-up ends",
			    part_server_id(part_server), EVAC_JUDGE_RATE_MAX,
			    number, senders[number].host->name,
			    (double)(server->warmup.until_us - now_us) /
				    SOAK_US_PER_S);
	return false;
}

static void on_begun(unsigned int number, bool crashed)
{
}

static const struct part_server_events server_events = {
	.arrived = on_arrived,
	.begun = on_begun,
	.running = on_running,
};

static void schedule(struct caller *caller, unsigned int min_ms);

static enum http_conn_verdict on_head(struct http_conn *conn)
{
	return HTTP_CONN_ACCEPT;
}

static void on_body(struct http_conn *conn, const char *data, size_t size)
{
}

static void end_request(struct http_conn *conn, bool complete)
{
	struct caller *caller = conn->arg;
	bool served = complete && conn->status == 200;

	soak->served += served;
	soak->refused += complete && conn->status == 503;
	soak->failed += !complete ||
			(conn->status != 200 && conn->status != 503);
	soak->in_touch += soak_host_in_touch(caller->host);
	caller->conn = NULL;
	schedule(caller, served ? THINK_MIN_MS : PAUSE_MIN_MS);
}

static void on_complete(struct http_conn *conn)
{
	conn->reusable = false;
	end_request(conn, true);
}

static void on_broken(struct http_conn *conn, enum http_conn_fault fault)
{
	end_request(conn, false);
}

static const struct http_conn_events conn_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.broken = on_broken,
};

static unsigned int add_sender(const struct caller *caller)
{
	senders = xrealloc(senders, (sender_count + 1) * sizeof(senders[0]));
	senders[sender_count] = (struct sender){
		.host = caller->host,
		.start = caller->host->starts,
	};
	return sender_count++;
}

static const char *choose_route(void)
{
	static const char *const plain[] = {"safe", "unsafe"};
	static const char *const streams[] = {"stream", "resume"};

	return soak_happens(soak, STREAM_PERCENT) ? streams[below(2)]
						  : plain[below(2)];
}

static void send_request(struct caller *caller)
{
	unsigned int number = add_sender(caller);
	struct buffer head = {0};
	union socket_address address;

	buffer_add_format(&head,
			  "POST /%s/ HTTP/1.1\r\nHost: a.example\r\n"
			  "Connection: close\r\n"
			  "Tamarackgw-Request-Id: p%u\r\n"
			  "Tamarackgw-Deadline-Ms: 6000\r\n"
			  "Tamarackgw-Model: m\r\n"
			  "Tamarackgw-Token-Count: 40,10\r\n"
			  "Tamarackgw-Prompt-Prefix: f%u:10,e%u:20\r\n"
			  "Authorization: Token key-" SOAK_RICH_TEAM "\r\n"
			  "Content-Length: 0\r\n\r\n",
			  choose_route(), number, below(FIRST_PARTS), number);
	socket_address_parse(caller->host->caller_address, &address);
	caller->conn = http_conn_open(&soak->loop, &address.any);
	http_conn_send(caller->conn, &conn_events, caller, &head, NULL);
	buffer_free(&head);
}

static void on_due(uv_timer_t *timer)
{
	struct caller *caller = timer->data;

	if (soak->ending)
		return;
	if (caller->host->pid)
		send_request(caller);
	else
		schedule(caller, PAUSE_MIN_MS);
}

static void schedule(struct caller *caller, unsigned int min_ms)
{
	uv_timer_start(&caller->timer, on_due, min_ms + below(THINK_SPREAD_MS),
		       0);
}

static unsigned int evacuated_count(void)
{
	unsigned int count = 0;

	for (size_t i = 0; i < DOMAINS; i++)
		count += domains[i].judge.evacuated;
	return count;
}

static void write_key(struct domain *domain, bool evacuated)
{
	char *key = xasprintf("op/evacuate/%s", domain->name);

	soak_note(soak, "%s %s", evacuated ? "evacuate" : "cancel",
		  domain->name);
	kv_standin_put(&soak->store, key, evacuated ? "{}" : NULL);
	evac_judge_change(&domain->judge, evacuated, soak_now_us());
	for (size_t i = 0; i < SERVERS; i++) {
		if (servers[i].domain != domain)
			continue;
		evac_judge_used(&servers[i].use);
		evac_judge_used(&servers[i].warm_use);
	}
	key_changes++;
	free(key);
}

/* Changes the key, at times twice again within a second. */
static void change_key(struct domain *domain)
{
	bool evacuated = !domain->judge.evacuated;

	domain->due_us = soak_now_us() +
			 (KEY_MIN_MS + below(KEY_SPREAD_MS)) * SOAK_US_PER_MS;
	if (evacuated && evacuated_count() == EVACUATED_MAX)
		return;
	write_key(domain, evacuated);
	if (domain->series)
		domain->series--;
	else if (soak_happens(soak, SERIES_PERCENT))
		domain->series = SERIES_CHANGES;
	if (domain->series)
		domain->due_us = soak_now_us() +
				 (1 + below(SERIES_SPREAD_MS)) * SOAK_US_PER_MS;
	else if (evacuated && soak_happens(soak, PAIR_PERCENT))
		domains[below(DOMAINS)].due_us = soak_now_us();
}

static void slow_server(void)
{
	struct server *server = &servers[below(SERVERS)];
	int duration_ms = SLOW_MIN_MS + (int)below(SLOW_SPREAD_MS);

	if (!server->running)
		return;
	soak_note(soak, "%s is slow for %d ms", part_server_id(server->server),
		  duration_ms);
	part_server_slow(server->server, duration_ms);
	begin_warmup(server, duration_ms, LEARN_US);
}

static void crash_server(void)
{
	struct part_server *server = servers[below(SERVERS)].server;

	soak_note(soak, "%s crashes", part_server_id(server));
	part_server_crash(server);
}

static void crash_domain(void)
{
	const struct domain *domain = &domains[below(DOMAINS)];

	soak_note(soak, "all servers of %s crash", domain->name);
	for (size_t i = 0; i < SERVERS; i++)
		if (servers[i].domain == domain)
			part_server_crash(servers[i].server);
}

static void (*const warmup_events[])(void) = {
	slow_server, slow_server, slow_server, crash_server, crash_domain,
};

static void play(int64_t now_us)
{
	for (size_t i = 0; i < DOMAINS; i++)
		if (now_us >= domains[i].due_us)
			change_key(&domains[i]);
	if (now_us >= next_warmup_us) {
		warmup_events[below(sizeof(warmup_events) /
				    sizeof(warmup_events[0]))]();
		next_warmup_us =
			now_us + below(WARMUP_EVENT_SPREAD_MS) * SOAK_US_PER_MS;
	}
	if (now_us >= next_fault_us) {
		soak_faults_begin(soak);
		next_fault_us = now_us + below(FAULT_SPREAD_MS * FAULT_HOSTS /
					       (unsigned int)soak->host_count) *
						 SOAK_US_PER_MS;
	}
}

static unsigned int hosts_in_touch(void)
{
	unsigned int count = 0;

	for (size_t i = 0; i < soak->host_count; i++)
		count += soak_host_in_touch(&soak->hosts[i]);
	return count;
}

static bool has_server(const struct domain *domain)
{
	for (size_t i = 0; i < SERVERS; i++)
		if (servers[i].domain == domain && servers[i].running)
			return true;
	return false;
}

static void judge_domain_use(struct domain *domain, int64_t span_us)
{
	if (has_server(domain) &&
	    evac_judge_is_open(&domain->judge, soak_now_us(), bound_us) &&
	    evac_judge_unused(&domain->judge.use, span_us, IDLE_MAX_US))
		soak_broken(soak, "domain-not-used-again", "%s", domain->name);
}

static void judge_server_use(struct server *server, int64_t span_us,
			     bool hosts_are_listed)
{
	const char *id = part_server_id(server->server);
	int64_t now_us = soak_now_us();

	if (!server->running ||
	    !evac_judge_is_open(&server->domain->judge, now_us, bound_us))
		return;
	if (evac_judge_unused(&server->use, span_us, IDLE_MAX_US))
		soak_broken(soak, "server-left-idle", "%s in %s", id,
			    server->domain->name);
	if (hosts_are_listed && now_us >= server->warmup.from_us &&
	    now_us < server->warmup.until_us &&
	    evac_judge_unused(&server->warm_use, span_us, WARM_IDLE_MAX_US))
		soak_broken(soak, "warm-up-left-idle", "%s in %s", id,
			    server->domain->name);
}

static void judge_use(int64_t span_us)
{
	unsigned int in_touch = hosts_in_touch();

	if (!in_touch)
		return;
	for (size_t i = 0; i < DOMAINS; i++)
		judge_domain_use(&domains[i], span_us);
	for (size_t i = 0; i < SERVERS; i++)
		judge_server_use(&servers[i], span_us,
				 in_touch >= HOSTS_LISTED_MIN);
}

static void cancel_all(void)
{
	for (size_t i = 0; i < DOMAINS; i++)
		if (domains[i].judge.evacuated)
			write_key(&domains[i], false);
}

static void stop_all(void)
{
	soak->ending = true;
	for (size_t i = 0; i < soak->host_count; i++)
		soak_host_signal(&soak->hosts[i], SIGTERM);
}

static bool hosts_are_gone(void)
{
	for (size_t i = 0; i < soak->host_count; i++)
		if (soak->hosts[i].pid)
			return false;
	return true;
}

static void on_tick(uv_timer_t *timer)
{
	int64_t now_us = soak_now_us();

	soak_record_stall(soak);
	for (size_t i = 0; i < soak->host_count; i++)
		soak_host_poll(&soak->hosts[i]);
	if (!soak->ending && ticked_us)
		judge_use(now_us - ticked_us);
	ticked_us = now_us;
	if (now_us < soak->begun_us + START_US)
		return;
	if (now_us < end_us)
		play(now_us);
	else if (now_us < end_us + CALM_US)
		cancel_all();
	else if (!soak->ending)
		stop_all();
	else if (hosts_are_gone() || now_us > end_us + CALM_US + STOP_US)
		uv_stop(&soak->loop);
}

static void start_servers(void)
{
	for (size_t i = 0; i < DOMAINS; i++) {
		snprintf(domains[i].name, sizeof(domains[i].name), "domain-%zu",
			 i);
		domains[i].due_us = soak->begun_us + START_US +
				    below(KEY_SPREAD_MS) * SOAK_US_PER_MS;
	}
	for (size_t i = 0; i < SERVERS; i++) {
		struct part_server_options options = {
			.failure_domain = domains[i % DOMAINS].name,
			.warmup_ms = WARMUP_S * 1000,
		};

		servers[i].domain = &domains[i % DOMAINS];
		servers[i].running = true;
		servers[i].server =
			part_server_start(soak, &server_events, &options);
		begin_warmup(&servers[i], WARMUP_S * 1000, 0);
	}
}

static void start_callers(void)
{
	size_t count = soak->host_count * CALLERS_PER_HOST;

	callers = xcalloc(count, sizeof(*callers));
	for (size_t i = 0; i < count; i++) {
		callers[i].host = &soak->hosts[i % soak->host_count];
		uv_timer_init(&soak->loop, &callers[i].timer);
		callers[i].timer.data = &callers[i];
		schedule(&callers[i], THINK_MIN_MS);
	}
}

void evac_play_run(struct soak *played, int64_t seconds)
{
	const struct lost_config config = {
		.idle_ms = 2500,
		.timeout_ms = 8000,
		.prepaid_tokens = 1000000000,
		.warmup_s = WARMUP_S,
		.warmup_per_s = WARMUP_PER_S,
	};

	soak = played;
	soak->domain_count = HOST_DOMAINS;
	soak->evacuate_ms = below(2) ? EVACUATE_MS : 0;
	bound_us = (soak->evacuate_ms ? soak->evacuate_ms : SOAK_APPLY_MS) *
		   SOAK_US_PER_MS;
	end_us = soak->begun_us + START_US + seconds * SOAK_US_PER_S;
	lost_config_write(soak, &config);
	start_servers();
	soak_hosts_start(soak);
	start_callers();
	uv_timer_init(&soak->loop, &soak->tick);
	uv_timer_start(&soak->tick, on_tick, TICK_MS, TICK_MS);
	uv_run(&soak->loop, UV_RUN_DEFAULT);
	soak_faults_print();
	soak_note(soak,
		  "%u changes of keys, %u requests to evacuated domains, "
		  "%u warm-ups, %u of them with %u requests",
		  key_changes, evacuated_arrivals, warmups, used_warmups,
		  warm_arrivals);
}
