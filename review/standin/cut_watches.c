/* The store cuts watches that wait, while a worker leaves. See claim.txt. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "case.h"

#define HOSTS 2
#define CALLERS 6 /* a host */
#define CUT_FROM_MS 6000
#define CUT_AFTER_MS 150
#define LEAVES_AT_MS 12000
#define ENDS_AFTER_MS 4000 /* of its leaving: drainMs, and a little longer */
#define STOP_AT_MS 18000

static double base_ms; /* the hosts were ready 2.5 s after it, or sooner */
static struct host *hosts[HOSTS];
static struct worker *leaving;
static volatile int late;

static bool run_registry(struct exchange *exchange)
{
	struct request *request = find_request(exchange->id);
	double left_ms = exchange->worker->left_ms;

	if (request) {
		request->runs++;
		request->worker = exchange->worker->id;
		request->ran_ms = site_ms();
	}
	if (left_ms && exchange->arrived_ms > left_ms + deployment.drain_ms) {
		late++;
		record("%s reaches %s %.0f ms after its leaving was "
		       "acknowledged",
		       exchange->id, exchange->worker->id,
		       exchange->arrived_ms - left_ms);
	}
	site_sleep(60);
	if (exchange->worker->ended)
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

int main(int argc, char **argv)
{
	static struct caller callers[HOSTS * CALLERS];
	int lost = 0;

	site_start(argc > 1 ? argv[1] : "record.txt");
	store_start();
	put_config(1, 0);
	leaving = worker_start("reg-1", "cert-registry", "accra", 6,
			       run_registry);
	worker_start("reg-2", "cert-registry", "tema", 6, run_registry);
	worker_start("reg-3", "cert-registry", "accra", 6, run_registry);
	hosts[0] = host_add("front-accra-1", "accra");
	hosts[1] = host_add("front-accra-2", "accra");
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
	site_sleep_until(base_ms + CUT_FROM_MS);
	if (with_trouble()) {
		store_faults.cut_watches_after_ms = argc > 2 ? atoi(argv[2])
							     : CUT_AFTER_MS;
		record("from now on the store cuts watches that wait");
	}
	site_sleep_until(base_ms + LEAVES_AT_MS);
	worker_leave_silently(leaving);
	site_sleep_until((base_ms + LEAVES_AT_MS) + ENDS_AFTER_MS);
	worker_kill(leaving);
	site_sleep_until((base_ms + STOP_AT_MS) + 500);
	for (int i = 0; i < request_count(); i++)
		lost += requests[i].ended && requests[i].runs &&
			requests[i].reply.status != 200;
	record_requests();
	record("%d requests reached a worker later than drainMs after its "
	       "leaving was acknowledged; %d requests were run and not "
	       "answered well",
	       late, lost);
	site_end();
	printf("%d late requests, %d run and not answered well: %s\n", late,
	       lost, late ? "the rule is broken" : "the rule held");
	return late > 0;
}
