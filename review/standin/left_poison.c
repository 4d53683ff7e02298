/* A request that crashes each worker that runs it comes again and again, from
 * a caller that leaves before its deadline. See claim.txt of its case. */
#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "case.h"

#define HOSTS 2
#define WORKERS 4
#define FROM_MS 6000
#define STOP_AT_MS 42000
/* The request comes in the times in which some callers leave early. */
#define WINDOWS 4
#define WINDOW_EVERY_MS 9000
#define POISON_A_WINDOW 5
#define POISON_EVERY_MS 1000
#define LEAVES_AFTER_MS 75   /* half of the route's targetLatencyMs */
#define CRASHES_AFTER_MS 120 /* of the beginning of the run */
#define BACK_AFTER_MS 3000
#define CONTACT_MS 3000
#define CALLERS 6 /* of sound requests, a host */
#define MAX_ARRIVALS 200

static double base_ms; /* the hosts were ready 2.5 s after it, or sooner */
static struct host *hosts[HOSTS];
static struct worker *workers[WORKERS];
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static double arrivals[MAX_ARRIVALS];
static int arrival_count;
static double crashes[MAX_ARRIVALS];
static int crash_count;
static int generation;

static bool run_registry(struct exchange *exchange);

/* The worker is back after some seconds, as a new incarnation. */
static void *restart(void *arg)
{
	int place = (int)(intptr_t)arg;
	char id[32];

	site_sleep(BACK_AFTER_MS);
	snprintf(id, sizeof(id), "reg-%d-%d", place + 1, ++generation);
	workers[place] = worker_start(id, "cert-registry",
				      place % 2 ? "tema" : "accra", 6,
				      run_registry);
	record("worker %s starts", id);
	return NULL;
}

static void crash(struct worker *worker)
{
	pthread_mutex_lock(&lock);
	if (!worker->ended) {
		worker_kill(worker);
		crashes[crash_count++] = site_ms();
		record("crash %d: worker %s", crash_count, worker->id);
		for (int i = 0; i < WORKERS; i++)
			if (workers[i] == worker)
				run_thread(restart, (void *)(intptr_t)i, NULL);
	}
	pthread_mutex_unlock(&lock);
}

static bool run_registry(struct exchange *exchange)
{
	struct worker *worker = exchange->worker;
	struct request *request = find_request(exchange->id);

	if (request) {
		request->runs++;
		request->worker = worker->id;
		request->ran_ms = site_ms();
	}
	if (!strncmp(exchange->target, "/read/poison", 12)) {
		pthread_mutex_lock(&lock);
		arrivals[arrival_count++] = site_ms();
		record("%s, which crashes workers, reaches %s (arrival %d)",
		       exchange->id, worker->id, arrival_count);
		pthread_mutex_unlock(&lock);
		/* It does not look whether the connection is open. */
		site_sleep(CRASHES_AFTER_MS);
		crash(worker);
		return false;
	}
	site_sleep(60);
	if (worker->ended)
		return false;
	return answer(exchange, 200, "text/plain", "recorded");
}

struct caller {
	int host;
	int number;
};

static void *call(void *arg)
{
	const struct caller *caller = arg;
	int fd = -1;
	bool is_kept = false;

	site_sleep(caller->number * 17);
	while (site_ms() < (base_ms + STOP_AT_MS)) {
		struct request *request;
		char id[32];
		char target[64];
		int number;

		if (fd < 0) {
			fd = caller_connect(hosts[caller->host]->front_port);
			is_kept = false;
		}
		if (fd < 0) {
			site_sleep(100);
			continue;
		}
		number = new_request("issue", caller->host, is_kept);
		request = &requests[number];
		request_id(number, id, sizeof(id));
		snprintf(target, sizeof(target), "/issue/%d", number);
		caller_request(fd, id, "POST", target, AUTHORIZATION, "body", 4,
			       2500, &request->reply);
		request->ended = true;
		is_kept = true;
		if (request->reply.outcome != OUTCOME_ANSWER ||
		    request->reply.closes) {
			close(fd);
			fd = -1;
		}
		site_sleep(100);
	}
	return NULL;
}

/* Sends the request that crashes workers; the same path, caller and body each
 * time, at one host after the other. */
static void send_poison(int host, bool leaves)
{
	int number = new_request("poison", host, false);
	struct request *request = &requests[number];
	int fd = caller_connect(hosts[host]->front_port);
	char id[32];

	if (fd < 0)
		return;
	request_id(number, id, sizeof(id));
	caller_request(fd, id, "GET", "/read/poison", AUTHORIZATION, NULL, 0,
		       leaves ? LEAVES_AFTER_MS : 2500, &request->reply);
	request->ended = true;
	record("%s: %s, status %d%s", id, outcome_name(request->reply.outcome),
	       request->reply.status,
	       request->reply.outcome == OUTCOME_DEADLINE && leaves
		       ? "; its caller leaves"
		       : "");
	close(fd);
}

int main(int argc, char **argv)
{
	static struct caller callers[HOSTS * CALLERS];
	int late = 0;
	int lost = 0;

	site_start(argc > 1 ? argv[1] : "record.txt");
	store_start();
	put_config(1, 0);
	for (int i = 0; i < WORKERS; i++) {
		char id[32];

		snprintf(id, sizeof(id), "reg-%d-0", i + 1);
		workers[i] = worker_start(id, "cert-registry",
					  i % 2 ? "tema" : "accra", 6,
					  run_registry);
	}
	hosts[0] = host_add("front-accra-1", "accra");
	hosts[1] = host_add("front-tema-1", "tema");
	for (int i = 0; i < HOSTS; i++)
		host_start(hosts[i]);
	for (int i = 0; i < HOSTS; i++)
		host_await_ready(hosts[i]);
	if (site_ms() > READY_BY_MS)
		base_ms = site_ms() - READY_BY_MS;
	for (int i = 0; i < HOSTS * CALLERS; i++) {
		callers[i].host = i % HOSTS;
		callers[i].number = i;
		run_thread(call, &callers[i], NULL);
	}
	for (int i = 0; i < WINDOWS * POISON_A_WINDOW; i++) {
		site_sleep_until((base_ms + FROM_MS) +
				 i / POISON_A_WINDOW * WINDOW_EVERY_MS +
				 i % POISON_A_WINDOW * POISON_EVERY_MS);
		send_poison(i % HOSTS, with_trouble());
	}
	site_sleep_until((base_ms + STOP_AT_MS) + 500);
	for (int i = 0; crash_count >= 3 && i < arrival_count; i++)
		late += arrivals[i] > crashes[2] + CONTACT_MS;
	for (int i = 0; i < request_count(); i++)
		lost += requests[i].ended &&
			!strcmp(requests[i].kind, "issue") &&
			requests[i].runs && requests[i].reply.status != 200;
	record_requests();
	record("%d crashes; %d arrivals later than contactMs after the third "
	       "(the rule allows 3); %d sound requests that workers ran were "
	       "not answered well",
	       crash_count, late, lost);
	site_end();
	printf("%d crashes, %d late arrivals, %d sound requests run and lost: "
	       "%s\n",
	       crash_count, late, lost,
	       late > 3 ? "the rule is broken" : "the rule held");
	return late > 3;
}
