/* One of three model workers hands out wrong bytes once: an event of a stream
 * that may be resumed does not end. See claim.txt of its case. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "case.h"

#define HOSTS 2
#define BYTES_PER_S 100e6 /* under the 1,000 Mbit/s of a machine's link */
#define SPOIL_AT_MS 6000
#define STOP_AT_MS 14000
#define REGISTRY_CALLERS 20 /* a host */
#define STREAM_CALLERS 8    /* a host */

static double base_ms; /* the hosts were ready 2.5 s after it, or sooner */
static struct host *hosts[HOSTS];
static volatile bool spoils;
static volatile bool spoiled;

static void note_run(const struct exchange *exchange, bool sound)
{
	struct request *request = find_request(exchange->id);

	if (!request)
		return;
	request->runs++;
	request->worker = exchange->worker->id;
	request->ran_ms = site_ms();
	request->sound = sound;
}

static bool run_registry(struct exchange *exchange)
{
	note_run(exchange, true);
	site_sleep(400);
	return answer(exchange, 200, "text/plain", "recorded");
}

static bool send_chunk(int fd, const char *data, size_t size)
{
	char head[32];

	snprintf(head, sizeof(head), "%zx\r\n", size);
	return send_all(fd, head, strlen(head)) && send_all(fd, data, size) &&
	       send_all(fd, "\r\n", 2);
}

/* Bytes without the blank line that ends an event, until the peer closes. */
static bool send_wrong_bytes(struct exchange *exchange)
{
	static char bytes[65536];
	double began = site_ms();
	double sent = 0;

	record("worker %s hands out wrong bytes in its answer to %s",
	       exchange->worker->id, exchange->id);
	memset(bytes, 'x', sizeof(bytes));
	while (site_ms() - began < 5000 &&
	       send_chunk(exchange->fd, bytes, sizeof(bytes))) {
		sent += sizeof(bytes);
		site_sleep(sent / BYTES_PER_S * 1000 - (site_ms() - began));
	}
	record("worker %s has sent %.0f MB of them", exchange->worker->id,
	       sent / 1e6);
	return false;
}

static bool run_model(struct exchange *exchange)
{
	bool is_wrong = spoils && !spoiled &&
			!strcmp(exchange->worker->id, "lm-3");
	char text[512];

	if (is_wrong)
		spoiled = true;
	note_run(exchange, !is_wrong);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nTamarackgw-Request-Id: %s\r\n"
		 "Tamarackgw-Response-Stamp: %s.%s\r\n"
		 "Content-Type: text/event-stream\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n",
		 exchange->id, exchange->worker->id, exchange->id);
	if (!send_all(exchange->fd, text, strlen(text)))
		return false;
	for (int i = 1; i <= 10; i++) {
		if (is_wrong && i == 3)
			return send_wrong_bytes(exchange);
		snprintf(text, sizeof(text), "id: %d\ndata: part-%d\n\n", i, i);
		if (!send_chunk(exchange->fd, text, strlen(text)))
			return false;
		site_sleep(60);
	}
	return send_all(exchange->fd, "0\r\n\r\n", 5);
}

static const char stream_fields[] = AUTHORIZATION
	"Tamarackgw-Model: m\r\nTamarackgw-Token-Count: 300,80\r\n"
	"Tamarackgw-Prompt-Prefix: 5c1e07a2:200,%x:100\r\n";

struct caller {
	int host;
	bool streams;
	int number;
};

static void *call(void *arg)
{
	const struct caller *caller = arg;
	const char *kind = caller->streams ? "query" : "issue";
	int fd = -1;
	bool is_kept = false;

	site_sleep(caller->number * 17);
	while (site_ms() < (base_ms + STOP_AT_MS)) {
		struct request *request;
		char id[32];
		char target[64];
		char fields[512];
		int number;

		if (fd < 0) {
			fd = caller_connect(hosts[caller->host]->front_port);
			is_kept = false;
		}
		if (fd < 0) {
			site_sleep(100);
			continue;
		}
		number = new_request(kind, caller->host, is_kept);
		request = &requests[number];
		request_id(number, id, sizeof(id));
		snprintf(target, sizeof(target), "/%s/%d", kind, number);
		if (caller->streams)
			snprintf(fields, sizeof(fields), stream_fields,
				 number + 1);
		else
			snprintf(fields, sizeof(fields), "%s", AUTHORIZATION);
		caller_request(fd, id, "POST", target, fields, "body", 4,
			       caller->streams ? 10000 : 2500, &request->reply);
		request->ended = true;
		is_kept = true;
		if (request->reply.outcome != OUTCOME_ANSWER ||
		    request->reply.closes) {
			close(fd);
			fd = -1;
		}
		site_sleep(40);
	}
	return NULL;
}

int main(int argc, char **argv)
{
	static struct caller
		callers[HOSTS * (REGISTRY_CALLERS + STREAM_CALLERS)];
	int count = 0;
	int lost = 0;
	int answered = 0;

	site_start(argc > 1 ? argv[1] : "record.txt");
	store_start();
	put_config(1, 0);
	worker_start("lm-1", "lm-pool", "accra", 64, run_model);
	worker_start("lm-2", "lm-pool", "tema", 64, run_model);
	worker_start("lm-3", "lm-pool", "accra", 64, run_model);
	worker_start("reg-1", "cert-registry", "accra", 32, run_registry);
	worker_start("reg-2", "cert-registry", "tema", 32, run_registry);
	hosts[0] = host_add("front-accra-1", "accra");
	hosts[1] = host_add("front-tema-1", "tema");
	for (int i = 0; i < HOSTS; i++)
		host_start(hosts[i]);
	for (int i = 0; i < HOSTS; i++) {
		host_await_ready(hosts[i]);
		host_watch_memory(hosts[i]);
	}
	if (site_ms() > READY_BY_MS)
		base_ms = site_ms() - READY_BY_MS;
	for (int i = 0; i < HOSTS * (REGISTRY_CALLERS + STREAM_CALLERS); i++) {
		callers[i].host = i % HOSTS;
		callers[i].streams = i >= HOSTS * REGISTRY_CALLERS;
		callers[i].number = count++;
		run_thread(call, &callers[i], NULL);
	}
	site_sleep_until(base_ms + SPOIL_AT_MS);
	spoils = with_trouble();
	site_sleep_until((base_ms + STOP_AT_MS) + 500);
	for (int i = 0; i < request_count(); i++) {
		const struct request *request = &requests[i];

		if (!request->ended)
			continue;
		answered += request->reply.outcome == OUTCOME_ANSWER;
		lost += request->on_kept_connection && request->runs &&
			request->sound &&
			request->reply.outcome == OUTCOME_CLOSED;
	}
	record_requests();
	for (int i = 0; i < HOSTS; i++)
		record("host %s: %d starts, peak %ld KB", hosts[i]->name,
		       hosts[i]->starts, hosts[i]->peak_kb);
	record("%d answered; %d passed on from a kept connection to a sound "
	       "worker and closed without an answer (the rule allows 3)",
	       answered, lost);
	site_end();
	printf("%d answered, %d closed without an answer: %s\n", answered, lost,
	       lost > 3 ? "the rule is broken" : "the rule held");
	return lost > 3;
}
