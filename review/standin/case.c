#include "case.h"

#include <pthread.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

struct request requests[MAX_REQUESTS];
static int count;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;

int new_request(const char *kind, int host, bool on_kept_connection)
{
	int number;

	pthread_mutex_lock(&lock);
	number = count++;
	pthread_mutex_unlock(&lock);
	if (number >= MAX_REQUESTS)
		cannot_run("too many requests");
	requests[number].kind = kind;
	requests[number].host = host;
	requests[number].on_kept_connection = on_kept_connection;
	return number;
}

void request_id(int number, char *text, size_t size)
{
	snprintf(text, size, "q-%06d", number);
}

struct request *find_request(const char *id)
{
	int number;

	if (sscanf(id, "q-%d", &number) != 1 || number < 0 || number >= count)
		return NULL;
	return &requests[number];
}

int request_count(void)
{
	return count;
}

void record_requests(void)
{
	record("requests: number, kind, host, sent at, ended at, outcome, "
	       "status, runs, worker, run began at");
	for (int i = 0; i < count; i++) {
		const struct request *request = &requests[i];

		record("q-%06d %s host %d %.1f %.1f %s %d runs=%d %s %.1f", i,
		       request->kind, request->host, request->reply.sent_ms,
		       request->reply.ended_ms,
		       request->ended ? outcome_name(request->reply.outcome)
				      : "open",
		       request->reply.status, request->runs,
		       request->worker ? request->worker : "-",
		       request->ran_ms);
	}
}

void put_config(int version, int64_t prepaid)
{
	char text[8192];
	char budget[64] = "";

	if (prepaid)
		snprintf(budget, sizeof(budget), ",\"prepaid\":%lld",
			 (long long)prepaid);
	snprintf(text, sizeof(text),
		 "{\"version\":%d,\"routes\":["
		 "{\"name\":\"query\",\"host\":\"ficu95.example\","
		 "\"pathPrefix\":\"/query/\",\"kind\":\"streaming\","
		 "\"timeoutMs\":10000,\"targetLatencyMs\":400,\"priority\":0,"
		 "\"service\":\"lm-pool\",\"maxAttempts\":2,\"public\":false,"
		 "\"affinity\":true,\"resumable\":true,\"targetGapMs\":300},"
		 "{\"name\":\"report\",\"host\":\"ficu95.example\","
		 "\"pathPrefix\":\"/report/\",\"kind\":\"streaming\","
		 "\"timeoutMs\":10000,\"targetLatencyMs\":600,\"priority\":1,"
		 "\"service\":\"lm-pool\",\"maxAttempts\":1,\"public\":false,"
		 "\"affinity\":true,\"resumable\":false,\"targetGapMs\":300},"
		 "{\"name\":\"issue\",\"host\":\"ficu95.example\","
		 "\"pathPrefix\":\"/issue/\",\"kind\":\"unsafe\","
		 "\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":2,"
		 "\"service\":\"cert-registry\",\"maxAttempts\":2,"
		 "\"public\":false,\"affinity\":false,\"resumable\":false},"
		 "{\"name\":\"read\",\"host\":\"ficu95.example\","
		 "\"pathPrefix\":\"/read/\",\"kind\":\"safe\","
		 "\"timeoutMs\":2500,\"targetLatencyMs\":150,\"priority\":2,"
		 "\"service\":\"cert-registry\",\"maxAttempts\":2,"
		 "\"public\":false,\"affinity\":false,\"resumable\":false}],"
		 "\"services\":[{\"name\":\"lm-pool\","
		 "\"healthPath\":\"/health\",\"maxConnections\":360,"
		 "\"protocol\":\"h1\",\"tls\":false,\"engine\":{\"slots\":64,"
		 "\"kvCapacity\":444000,\"kvTokenBytes\":131072,\"stride\":8,"
		 "\"models\":[{\"name\":\"m\"}]}},"
		 "{\"name\":\"cert-registry\",\"healthPath\":\"/health\","
		 "\"maxConnections\":96,\"protocol\":\"h1\",\"tls\":false}],"
		 "\"limits\":{\"maxHeaderBytes\":16384,"
		 "\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,"
		 "\"idleTimeoutMs\":15000},"
		 "\"tenants\":[{\"name\":\"hule930\",\"apiKeys\":[\"" API_KEY
		 "\"],\"priority\":1%s}]}",
		 version, budget);
	store_put("op/config", text);
	record("the operator writes version %d, prepaid %lld", version,
	       (long long)prepaid);
}
