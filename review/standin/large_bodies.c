/* Many callers come at once, each with a body within the configuration's
 * limit. See claim.txt of its case. */
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <unistd.h>

#include "case.h"

#define BODY_BYTES 4194304     /* limits.maxBodyBytes */
#define UPLOAD_BYTES_PER_S 2e6 /* of a caller; all stay below the link's */
#define USUAL_UPLOADS 26
#define BURST 1.7
#define BURST_AT_MS 14000
#define BURST_FOR_MS 3000
#define STOP_AT_MS 24000
#define REGISTRY_CALLERS 20

static double base_ms; /* the hosts were ready 2.5 s after it, or sooner */
static struct host *host;
static char *body;

static void note_run(const struct exchange *exchange)
{
	struct request *request = find_request(exchange->id);

	if (!request)
		return;
	request->runs++;
	request->worker = exchange->worker->id;
	request->ran_ms = site_ms();
	request->sound = true;
}

static bool run_registry(struct exchange *exchange)
{
	note_run(exchange);
	site_sleep(400);
	return answer(exchange, 200, "text/plain", "recorded");
}

static bool run_model(struct exchange *exchange)
{
	char text[512];

	note_run(exchange);
	snprintf(text, sizeof(text),
		 "HTTP/1.1 200 OK\r\nTamarackgw-Request-Id: %s\r\n"
		 "Tamarackgw-Response-Stamp: %s.%s\r\n"
		 "Content-Type: text/event-stream\r\n"
		 "Transfer-Encoding: chunked\r\n\r\n",
		 exchange->id, exchange->worker->id, exchange->id);
	if (!send_all(exchange->fd, text, strlen(text)))
		return false;
	for (int i = 1; i <= 24; i++) {
		char event[128];

		snprintf(event, sizeof(event), "id: %d\ndata: part-%d\n\n", i,
			 i);
		snprintf(text, sizeof(text), "%zx\r\n%s\r\n", strlen(event),
			 event);
		if (!send_all(exchange->fd, text, strlen(text)))
			return false;
		site_sleep(250);
	}
	return send_all(exchange->fd, "0\r\n\r\n", 5);
}

struct caller {
	bool uploads;
	int number;
	double until_ms;
};

/* @return whether the whole request was sent */
static bool send_report(int fd, int number)
{
	char head[1024];
	char id[32];
	double began = site_ms();
	size_t sent = 0;

	request_id(number, id, sizeof(id));
	snprintf(head, sizeof(head),
		 "POST /report/%d HTTP/1.1\r\nHost: ficu95.example\r\n"
		 "Tamarackgw-Request-Id: %s\r\n"
		 "Tamarackgw-Deadline-Ms: 10000\r\n" AUTHORIZATION
		 "Tamarackgw-Model: m\r\nTamarackgw-Token-Count: 12000,200\r\n"
		 "Tamarackgw-Prompt-Prefix: 5c1e07a2:5400,%x:6600\r\n"
		 "Content-Length: %d\r\n\r\n",
		 number, id, number + 1, BODY_BYTES);
	if (!send_all(fd, head, strlen(head)))
		return false;
	while (sent < BODY_BYTES) {
		if (!send_all(fd, body + sent, 65536))
			return false;
		sent += 65536;
		site_sleep((double)sent / UPLOAD_BYTES_PER_S * 1000 -
			   (site_ms() - began));
	}
	return true;
}

static void upload(const struct caller *caller)
{
	site_sleep(caller->number % USUAL_UPLOADS * 200);
	if (caller->number >= USUAL_UPLOADS)
		site_sleep_until((base_ms + BURST_AT_MS) + caller->number);
	while (site_ms() < caller->until_ms) {
		int fd = caller_connect(host->front_port);
		struct request *request;
		char bytes[4096];
		int number;

		if (fd < 0) {
			site_sleep(100);
			continue;
		}
		number = new_request("report", 0, false);
		request = &requests[number];
		request->reply.outcome = OUTCOME_CLOSED;
		if (send_report(fd, number)) {
			double until = site_ms() + 9000;

			request->reply.sent_ms = site_ms();
			/* Read to the last chunk, the end, or the deadline. */
			while (site_ms() < until) {
				ssize_t got = read(fd, bytes, sizeof(bytes));

				if (got <= 0)
					break;
				request->reply.outcome = OUTCOME_CUT;
				if (!request->reply.status && got > 12)
					request->reply.status = (int)strtol(
						bytes + 9, NULL, 10);
				if (got >= 5 &&
				    !memcmp(bytes + got - 5, "0\r\n\r\n", 5)) {
					request->reply.outcome = OUTCOME_ANSWER;
					break;
				}
				if (request->reply.status != 200) {
					request->reply.outcome = OUTCOME_ANSWER;
					break;
				}
			}
		}
		request->reply.ended_ms = site_ms();
		request->ended = true;
		close(fd);
		site_sleep(50);
	}
}

static void issue(const struct caller *caller)
{
	int fd = -1;
	bool is_kept = false;

	site_sleep(caller->number * 17);
	while (site_ms() < caller->until_ms) {
		struct request *request;
		char id[32];
		char target[64];
		int number;

		if (fd < 0) {
			fd = caller_connect(host->front_port);
			is_kept = false;
		}
		if (fd < 0) {
			site_sleep(100);
			continue;
		}
		number = new_request("issue", 0, is_kept);
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
		site_sleep(40);
	}
}

static void *call(void *arg)
{
	const struct caller *caller = arg;

	if (caller->uploads)
		upload(caller);
	else
		issue(caller);
	return NULL;
}

int main(int argc, char **argv)
{
	static struct caller callers[256];
	int burst = with_trouble() ? (int)(USUAL_UPLOADS * BURST + 0.5)
				   : USUAL_UPLOADS;
	int count = 0;
	int lost = 0;
	int answered = 0;

	body = malloc(BODY_BYTES);
	memset(body, 'b', BODY_BYTES);
	site_start(argc > 1 ? argv[1] : "record.txt");
	store_start();
	put_config(1, 0);
	worker_start("lm-1", "lm-pool", "accra", 64, run_model);
	worker_start("lm-2", "lm-pool", "accra", 64, run_model);
	worker_start("reg-1", "cert-registry", "accra", 32, run_registry);
	worker_start("reg-2", "cert-registry", "accra", 32, run_registry);
	host = host_add("front-accra-1", "accra");
	host_start(host);
	host_await_ready(host);
	host_watch_memory(host);
	if (site_ms() > READY_BY_MS)
		base_ms = site_ms() - READY_BY_MS;
	for (int i = 0; i < REGISTRY_CALLERS + burst; i++) {
		callers[i].uploads = i >= REGISTRY_CALLERS;
		callers[i].number = callers[i].uploads ? count++ : i;
		callers[i].until_ms =
			callers[i].number >= USUAL_UPLOADS
				? (base_ms + BURST_AT_MS) + BURST_FOR_MS
				: (base_ms + STOP_AT_MS);
		run_thread(call, &callers[i], NULL);
	}
	site_sleep_until(base_ms + BURST_AT_MS);
	if (with_trouble())
		record("burst: %d uploads at once instead of %d", burst,
		       USUAL_UPLOADS);
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
	record("host %s: %d starts, peak %ld KB", host->name, host->starts,
	       host->peak_kb);
	record("%d answered; %d passed on from a kept connection to a sound "
	       "worker and closed without an answer (the rule allows 3)",
	       answered, lost);
	site_end();
	printf("%d answered, %d closed without an answer, peak %ld KB: %s\n",
	       answered, lost, host->peak_kb,
	       lost > 3 ? "the rule is broken" : "the rule held");
	return lost > 3;
}
