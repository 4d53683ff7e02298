#include "soak/part_play.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "soak/lost_config.h"
#include "soak/part_judge.h"
#include "soak/part_server.h"
#include "soak/soak.h"
#include "transport/http_conn.h"
#include "transport/socket_address.h"

#define TICK_MS 10
#define WARM_UP_US (4 * SOAK_US_PER_S)
#define SERVERS 9
#define CALLERS_PER_HOST 6
#define THINK_SPREAD_MS 160
/* Second parts are rare, as those of teams and sessions are. */
#define SECOND_PARTS 150
/* A bad part comes for so long, and then none does. */
#define EPISODE_US (14 * SOAK_US_PER_S)
#define CALM_US (9 * SOAK_US_PER_S)
/* Between two requests with a bad part, over all hosts. */
#define BAD_SPREAD_MIN_MS 60
#define BAD_SPREAD_MS 600
#define FAULT_SPREAD_MS 5000
#define RACK_PERCENT 30
#define PAUSE_MS 400
#define DISTURBED_US (3 * SOAK_US_PER_S)
#define STOP_US ((SOAK_KILL_AFTER_S + 3) * SOAK_US_PER_S)
#define TWO_BAD_PERCENT 25
#define BAD_MAX 2

/* A request and, for a sound one, its judgement. */
struct part_request {
	struct soak_host *host;
	unsigned int host_start;
	unsigned int first;
	unsigned int second;
	int bad; /* number of the bad part that it has; -1 for none */
	int64_t sent_us;
	bool begun;
	bool in_touch; /* the host was, when it was sent */
};

struct part_caller {
	struct soak_host *host;
	bool is_bad;
	unsigned int request;
	struct http_conn *conn;
	uv_timer_t timer;
};

struct bad_part {
	bool is_first; /* else a second part */
	unsigned int number;
	struct part_judge judge;
};

static struct soak *soak;
static struct part_server *servers[SERVERS];
static struct part_caller *callers;
static size_t caller_count;
static struct part_request *requests;
static unsigned int request_count;
static struct bad_part bad[BAD_MAX];
static unsigned int bad_count; /* 0 between episodes */
/* Sound requests have no part that was ever bad: hosts try it again late. */
static bool first_was_bad[PART_JUDGE_FIRST_PARTS];
static bool second_was_bad[SECOND_PARTS];
static const char *route;
static unsigned int bad_spread_ms;
static int64_t episode_us; /* the next begins, or this one ends */
static int64_t next_fault_us;
static int64_t last_crash_us;
static int64_t end_us;

static const char *const routes[] = {"unsafe", "safe", "stream", "resume"};

static unsigned int below(unsigned int bound)
{
	return (unsigned int)tgw_random_below(&soak->random, bound);
}

static bool on_arrived(const struct part_server *server, unsigned int number)
{
	const struct part_request *request = &requests[number];
	bool in_touch = request->host_start == request->host->starts &&
			soak_host_in_touch(request->host);

	if (request->bad < 0 || request->bad >= (int)bad_count)
		return false;
	part_judge_arrival(&bad[request->bad].judge, soak_now_us(), in_touch);
	return true;
}

static void on_begun(unsigned int number, bool crashed)
{
	struct part_request *request = &requests[number];

	request->begun = true;
	if (!crashed)
		return;
	last_crash_us = soak_now_us();
	if (request->bad < 0 || request->bad >= (int)bad_count)
		return;
	part_judge_crash(&bad[request->bad].judge, last_crash_us);
	soak_note(soak, "a server crashed by part %d of p%u, the %u.",
		  request->bad, number, bad[request->bad].judge.crashes);
}

static const struct part_server_events server_events = {
	.arrived = on_arrived,
	.begun = on_begun,
};

static void schedule(struct part_caller *caller);

static void judge_sound(const struct part_request *request)
{
	bool disturbed = soak_now_us() - last_crash_us < DISTURBED_US;

	if (!request->in_touch || !soak_host_in_touch(request->host))
		return;
	for (unsigned int i = 0; i < BAD_MAX; i++)
		part_judge_sound(&bad[i].judge, request->first,
				 request->sent_us, request->begun,
				 i < bad_count, disturbed);
}

static void end_request(struct part_caller *caller, bool complete)
{
	const struct part_request *request = &requests[caller->request];

	if (request->bad < 0) {
		judge_sound(request);
		soak->served += complete;
		soak->failed += !complete;
		soak->in_touch += request->in_touch;
	}
	caller->conn = NULL;
	schedule(caller);
}

static enum http_conn_verdict on_head(struct http_conn *conn)
{
	return HTTP_CONN_ACCEPT;
}

static void on_body(struct http_conn *conn, const char *data, size_t size)
{
}

static void on_complete(struct http_conn *conn)
{
	conn->reusable = false;
	end_request(conn->arg, conn->status == 200);
}

static void on_broken(struct http_conn *conn, enum http_conn_fault fault)
{
	end_request(conn->arg, false);
}

static const struct http_conn_events conn_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.broken = on_broken,
};

static unsigned int new_request(struct part_caller *caller)
{
	struct part_request *request;

	requests =
		xrealloc(requests, (request_count + 1) * sizeof(requests[0]));
	request = &requests[request_count];
	memset(request, 0, sizeof(*request));
	request->host = caller->host;
	request->host_start = caller->host->starts;
	request->sent_us = soak_now_us();
	request->in_touch = soak_host_in_touch(caller->host);
	do {
		request->first = below(PART_JUDGE_FIRST_PARTS);
		request->second = below(SECOND_PARTS);
	} while (first_was_bad[request->first] ||
		 second_was_bad[request->second]);
	request->bad = -1;
	if (caller->is_bad) {
		request->bad = (int)below(bad_count);
		if (bad[request->bad].is_first)
			request->first = bad[request->bad].number;
		else
			request->second = bad[request->bad].number;
	}
	return request_count++;
}

static void send_request(struct part_caller *caller)
{
	struct held_buffer *sent;
	struct buffer head = {0};
	char body[32];
	struct buffer text = {0};
	union socket_address address;
	const struct part_request *request;

	caller->request = new_request(caller);
	request = &requests[caller->request];
	snprintf(body, sizeof(body), "body %u", caller->request);
	buffer_add_text(&text, body);
	buffer_add_format(&head,
			  "POST /%s/ HTTP/1.1\r\nHost: a.example\r\n"
			  "Connection: close\r\n"
			  "Tamarackgw-Request-Id: p%u\r\n"
			  "Tamarackgw-Deadline-Ms: 6000\r\n"
			  "Tamarackgw-Model: m\r\n"
			  "Tamarackgw-Token-Count: 40,10\r\n"
			  "Tamarackgw-Prompt-Prefix: f%u:10,5%u:10,e%u:20\r\n"
			  "Authorization: Token key-" SOAK_RICH_TEAM "\r\n"
			  "Content-Length: %zu\r\n\r\n",
			  route, caller->request, request->first,
			  request->second, caller->request, text.size);
	socket_address_parse(caller->host->caller_address, &address);
	caller->conn = http_conn_open(&soak->loop, &address.any);
	sent = held_buffer_take(&text, NULL, NULL);
	http_conn_send(caller->conn, &conn_events, caller, &head, sent);
	buffer_free(&head);
	held_buffer_unref(sent);
}

static void on_due(uv_timer_t *timer)
{
	struct part_caller *caller = timer->data;

	if (soak->ending)
		return;
	if ((caller->is_bad && !bad_count) || !caller->host->pid)
		schedule(caller);
	else
		send_request(caller);
}

static void schedule(struct part_caller *caller)
{
	unsigned int spread_ms = THINK_SPREAD_MS;

	if (caller->is_bad)
		spread_ms = bad_spread_ms * (unsigned int)soak->host_count * 2;
	uv_timer_start(&caller->timer, on_due, 1 + below(spread_ms), 0);
}

static void choose_bad_part(struct bad_part *part)
{
	bool *was_bad;

	do {
		part->is_first = !first_was_bad[0] && soak_happens(soak, 30);
		part->number = part->is_first ? 0 : below(SECOND_PARTS);
		was_bad = part->is_first ? first_was_bad : second_was_bad;
	} while (was_bad[part->number]);
	was_bad[part->number] = true;
}

static void begin_episode(void)
{
	enum part_crash crash = (enum part_crash)below(PART_CRASHES);

	bad_count = soak_happens(soak, TWO_BAD_PERCENT) ? 2 : 1;
	for (unsigned int i = 0; i < bad_count; i++) {
		part_judge_next_part(&bad[i].judge);
		choose_bad_part(&bad[i]);
		soak_note(soak, "part %u is bad: %s %u, crash %d, route %s", i,
			  bad[i].is_first ? "first" : "second", bad[i].number,
			  crash, route);
	}
	bad_spread_ms = BAD_SPREAD_MIN_MS + below(BAD_SPREAD_MS);
	for (unsigned int i = 0; i < SERVERS; i++)
		part_server_set_crash(servers[i], crash);
}

static void judge_part(unsigned int number)
{
	const struct part_judge *judge = &bad[number].judge;
	unsigned int group = 0;

	soak_note(soak, "part %u: %u crashes, %u late arrivals", number,
		  judge->crashes, judge->late_arrivals);
	if (part_judge_breaks_budget(judge))
		soak_broken(soak, "part-not-refused",
			    "%u requests reached servers late",
			    judge->late_arrivals);
	if (part_judge_breaks_lost(judge, &group))
		soak_broken(soak, "sound-refused",
			    "group %u: %u of %u began, before %u of %u", group,
			    judge->during[group].begun,
			    judge->during[group].requests,
			    judge->before[group].begun,
			    judge->before[group].requests);
}

static void end_episode(void)
{
	unsigned int count = bad_count;

	bad_count = 0;
	for (unsigned int i = 0; i < count; i++)
		judge_part(i);
	/* The next shares are of another route. */
	memset(bad, 0, sizeof(bad));
	route = routes[below(sizeof(routes) / sizeof(routes[0]))];
}

static void play_episodes(void)
{
	if (soak_now_us() < episode_us)
		return;
	if (bad_count) {
		end_episode();
		episode_us = soak_now_us() + CALM_US;
	} else {
		begin_episode();
		episode_us = soak_now_us() + EPISODE_US;
	}
}

static void crash_some(struct soak_host *host)
{
	unsigned int count = soak_happens(soak, RACK_PERCENT) ? 3 : 1;

	for (unsigned int i = 0; i < count; i++)
		part_server_crash(servers[below(SERVERS)]);
	last_crash_us = soak_now_us();
}

static void kill_host(struct soak_host *host)
{
	soak_host_signal(host, SIGKILL);
}

static void stop_host(struct soak_host *host)
{
	soak_host_signal(host, SIGTERM);
}

static void pause_host(struct soak_host *host)
{
	if (host->pid && !host->paused)
		soak_host_signal(host, SIGSTOP);
}

static const struct {
	const char *name;
	void (*begin)(struct soak_host *host);
} faults[] = {
	{"crash servers", crash_some}, {"kill", kill_host},
	{"stop", stop_host},	       {"pause", pause_host},
	{"crash servers", crash_some},
};

static void play_fault(void)
{
	struct soak_host *host =
		&soak->hosts[below((unsigned int)soak->host_count)];
	unsigned int at = below(sizeof(faults) / sizeof(faults[0]));

	for (size_t i = 0; i < soak->host_count; i++)
		if (soak->hosts[i].paused &&
		    soak_now_us() - soak->hosts[i].paused_us >
			    PAUSE_MS * SOAK_US_PER_MS)
			soak_host_signal(&soak->hosts[i], SIGCONT);
	if (soak_now_us() < next_fault_us)
		return;
	soak_note(soak, "%s (%s)", faults[at].name, host->name);
	faults[at].begin(host);
	next_fault_us = soak_now_us() + below(FAULT_SPREAD_MS) * SOAK_US_PER_MS;
}

static void stop_all(void)
{
	if (bad_count)
		end_episode();
	soak->ending = true;
	for (size_t i = 0; i < soak->host_count; i++) {
		if (soak->hosts[i].paused)
			soak_host_signal(&soak->hosts[i], SIGCONT);
		soak_host_signal(&soak->hosts[i], SIGTERM);
	}
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
	if (now_us < soak->begun_us + WARM_UP_US)
		return;
	if (now_us < end_us) {
		play_episodes();
		play_fault();
	} else if (!soak->ending) {
		stop_all();
	} else if (hosts_are_gone() || now_us > end_us + STOP_US) {
		uv_stop(&soak->loop);
	}
}

static void start_callers(void)
{
	caller_count = soak->host_count * (CALLERS_PER_HOST + 1);
	callers = xcalloc(caller_count, sizeof(*callers));
	for (size_t i = 0; i < caller_count; i++) {
		callers[i].host = &soak->hosts[i % soak->host_count];
		callers[i].is_bad = i < soak->host_count;
		uv_timer_init(&soak->loop, &callers[i].timer);
		callers[i].timer.data = &callers[i];
		schedule(&callers[i]);
	}
}

void part_play_run(struct soak *played, int64_t seconds)
{
	const struct lost_config config = {
		.idle_ms = 2500,
		.timeout_ms = 8000,
		.prepaid_tokens = 1000000000,
	};
	const struct part_server_options options = {
		.failure_domain = "domain-0",
	};

	soak = played;
	end_us = soak_now_us() + WARM_UP_US + seconds * SOAK_US_PER_S;
	episode_us = soak_now_us() + WARM_UP_US + CALM_US;
	bad_spread_ms = BAD_SPREAD_MS;
	route = routes[below(sizeof(routes) / sizeof(routes[0]))];
	lost_config_write(soak, &config);
	for (unsigned int i = 0; i < SERVERS; i++)
		servers[i] = part_server_start(soak, &server_events, &options);
	soak_hosts_start(soak);
	start_callers();
	uv_timer_init(&soak->loop, &soak->tick);
	uv_timer_start(&soak->tick, on_tick, TICK_MS, TICK_MS);
	uv_run(&soak->loop, UV_RUN_DEFAULT);
}
