#include "measure/load_client.h"

#include <arpa/inet.h>
#include <assert.h>
#include <errno.h>
#include <math.h>
#include <netinet/tcp.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/xalloc.h"
#include "measure/http_stream_reader.h"
#include "standins/common/standin_answer.h"
#include "tamarackgw/random.h"

#define EVENTS_MAX 256
#define READ_BYTES 16384
#define US_PER_S 1000000
#define PROMPT_ROLE "user"

struct client;

/** A connection and its current request. */
struct connection {
	struct client *client;
	struct connection *next; /* in the list of idle ones of this target */
	int socket;
	size_t target;
	bool busy;
	struct http_stream_reader reader;
	uint64_t prompt_hash;
	int64_t sent_us;
	int64_t last_token_us;
	int64_t received_us; /* arrival of the bytes that are being parsed */
	int64_t tokens;
	int64_t usage_tokens; /* of the last usage received; -1 until then */
	bool wrong;
	bool done; /* [DONE] was received */
};

struct client {
	const struct load_client_settings *settings;
	struct load_client_report *report;
	struct tgw_random random;
	int epoll_fd;
	struct connection *idle[LOAD_CLIENT_TARGETS_MAX];
	int64_t in_flight;
	uint64_t next_request;
	int64_t measured_from_us;
	int64_t measured_until_us;
};

static int64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
}

static bool is_measured(const struct client *client, int64_t time_us)
{
	return time_us >= client->measured_from_us &&
	       time_us < client->measured_until_us;
}

static void on_token(struct connection *connection, const char *content)
{
	struct client *client = connection->client;
	char expected[STANDIN_TOKEN_SIZE];

	standin_token(connection->prompt_hash, connection->tokens, expected);
	if (strncmp(content, expected, strlen(expected)) != 0)
		connection->wrong = true;
	if (!connection->tokens) {
		if (is_measured(client, connection->sent_us))
			latency_histogram_add(client->report->first_token,
					      connection->received_us -
						      connection->sent_us);
	} else if (is_measured(client, connection->received_us)) {
		latency_histogram_add(client->report->between_tokens,
				      connection->received_us -
					      connection->last_token_us);
	}
	connection->last_token_us = connection->received_us;
	connection->tokens++;
}

static void on_event(void *arg, const char *data)
{
	static const char content_prefix[] = "\"content\":\"";
	static const char usage_prefix[] = "\"completion_tokens\":";
	struct connection *connection = arg;
	const char *content = strstr(data, content_prefix);
	const char *usage = strstr(data, usage_prefix);

	if (!strcmp(data, "[DONE]"))
		connection->done = true;
	else if (content && content[strlen(content_prefix)] != '"')
		on_token(connection, content + strlen(content_prefix));
	if (usage)
		connection->usage_tokens =
			strtoll(usage + strlen(usage_prefix), NULL, 10);
}

static void close_connection(struct connection *connection)
{
	close(connection->socket);
	http_stream_reader_free(&connection->reader);
	free(connection);
}

/* Counts a response that is complete and keeps the connection for reuse. */
static void complete(struct connection *connection)
{
	struct client *client = connection->client;
	int64_t expected_tokens = client->settings->answer_tokens;

	client->in_flight--;
	connection->busy = false;
	if (connection->wrong || !connection->done ||
	    connection->tokens != expected_tokens ||
	    connection->usage_tokens != expected_tokens)
		client->report->wrong++;
	else
		client->report->completed++;
	connection->next = client->idle[connection->target];
	client->idle[connection->target] = connection;
}

static void fail(struct connection *connection)
{
	struct client *client = connection->client;

	client->in_flight--;
	if (connection->reader.status && connection->reader.status != 200)
		client->report->refused++;
	else
		client->report->broken++;
	close_connection(connection);
}

static void remove_idle_connection(struct connection *connection)
{
	struct connection **link =
		&connection->client->idle[connection->target];

	while (*link != connection)
		link = &(*link)->next;
	*link = connection->next;
	close_connection(connection);
}

static void on_readable(struct connection *connection)
{
	char data[READ_BYTES];
	ssize_t size = recv(connection->socket, data, sizeof(data), 0);

	if (size < 0 && (errno == EAGAIN || errno == EINTR))
		return;
	if (!connection->busy) {
		remove_idle_connection(connection);
		return;
	}
	if (size <= 0) {
		fail(connection);
		return;
	}
	connection->received_us = now_us();
	http_stream_reader_feed(&connection->reader, data, (size_t)size);
	if (connection->reader.state == HTTP_STREAM_COMPLETE)
		complete(connection);
	else if (connection->reader.state == HTTP_STREAM_REFUSED)
		fail(connection);
}

static void parse_address(const char *text, struct sockaddr_in *address)
{
	const char *colon = strrchr(text, ':');
	char host[INET_ADDRSTRLEN] = "";

	if (colon && colon - text < INET_ADDRSTRLEN)
		memcpy(host, text, (size_t)(colon - text));
	if (!colon || inet_pton(AF_INET, host, &address->sin_addr) != 1) {
		fprintf(stderr,
			"target %s: expected an IPv4 address and a port "
			"(ADDRESS:PORT)\n",
			text);
		exit(EXIT_FAILURE);
	}
	address->sin_port = htons((uint16_t)strtol(colon + 1, NULL, 10));
}

static struct connection *connect_to(struct client *client, size_t target)
{
	struct connection *connection = xcalloc(1, sizeof(*connection));
	struct epoll_event event = {.events = EPOLLIN};
	struct sockaddr_in address = {.sin_family = AF_INET};
	int on = 1;

	parse_address(client->settings->targets[target], &address);
	connection->client = client;
	connection->target = target;
	connection->reader.event = on_event;
	connection->reader.arg = connection;
	connection->socket = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	if (connection->socket < 0 ||
	    connect(connection->socket, (struct sockaddr *)&address,
		    sizeof(address))) {
		close_connection(connection);
		return NULL;
	}
	setsockopt(connection->socket, IPPROTO_TCP, TCP_NODELAY, &on,
		   sizeof(on));
	event.data.ptr = connection;
	epoll_ctl(client->epoll_fd, EPOLL_CTL_ADD, connection->socket, &event);
	return connection;
}

static struct connection *get_connection(struct client *client, size_t target)
{
	struct connection *connection = client->idle[target];

	if (!connection)
		return connect_to(client, target);
	client->idle[target] = connection->next;
	return connection;
}

static uint64_t hash_of_prompt(const char *content)
{
	struct buffer prompt = {0};
	uint64_t hash;

	buffer_add_format(&prompt, "%s\n%s\n", PROMPT_ROLE, content);
	hash = standin_prompt_hash(&prompt);
	buffer_free(&prompt);
	return hash;
}

/* Formats the request and stores the hash from which the tokens of the expected
 * response follow. */
static char *format_request(const struct client *client,
			    struct connection *connection, uint64_t number)
{
	const struct load_client_settings *settings = client->settings;
	char *content = xasprintf(
		"Summary of visit %llu-%llu. ANSWER-TOKENS=%lld",
		(unsigned long long)settings->seed, (unsigned long long)number,
		(long long)settings->answer_tokens);
	char *body = xasprintf(
		"{\"model\":\"%s\",\"stream\":true,\"max_tokens\":%lld,"
		"\"messages\":[{\"role\":\"" PROMPT_ROLE
		"\",\"content\":\"%s\"}]}",
		settings->model, (long long)settings->answer_tokens + 1,
		content);
	char *text = xasprintf(
		"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n"
		"Authorization: Bearer %s\r\nX-Request-Id: load-%llu-%llu\r\n"
		"X-Attempt: 1\r\nContent-Type: application/json\r\n"
		"Content-Length: %zu\r\n\r\n%s",
		settings->key, (unsigned long long)settings->seed,
		(unsigned long long)number, strlen(body), body);

	connection->prompt_hash = hash_of_prompt(content);
	free(content);
	free(body);
	return text;
}

static void send_request(struct client *client)
{
	uint64_t number = client->next_request++;
	struct connection *connection =
		get_connection(client, number % client->settings->target_count);
	char *text;
	size_t size;

	client->report->requests++;
	if (!connection) {
		client->report->broken++;
		return;
	}
	text = format_request(client, connection, number);
	size = strlen(text);
	http_stream_reader_reset(&connection->reader);
	connection->tokens = 0;
	connection->usage_tokens = -1;
	connection->wrong = false;
	connection->done = false;
	connection->busy = true;
	connection->sent_us = now_us();
	client->in_flight++;
	if (send(connection->socket, text, size, MSG_NOSIGNAL) != (ssize_t)size)
		fail(connection);
	free(text);
}

static void poll_until(struct client *client, int64_t until_us)
{
	struct epoll_event events[EVENTS_MAX];
	int64_t wait_us = until_us - now_us();
	struct timespec wait = {0};
	int count;
	int i;

	if (wait_us > 0) {
		wait.tv_sec = wait_us / US_PER_S;
		wait.tv_nsec = wait_us % US_PER_S * 1000;
	}
	count = epoll_pwait2(client->epoll_fd, events, EVENTS_MAX, &wait, NULL);
	for (i = 0; i < count; i++)
		on_readable(events[i].data.ptr);
}

/* Returns a random time to the next arrival of a Poisson process. */
static int64_t next_gap_us(struct client *client)
{
	double uniform = 1.0 - tgw_random_unit(&client->random);

	return (int64_t)(-log(uniform) / client->settings->requests_per_s *
			 US_PER_S);
}

static void send_load(struct client *client, int64_t until_us)
{
	int64_t due_us = now_us() + next_gap_us(client);

	while (due_us < until_us) {
		while (now_us() < due_us)
			poll_until(client, due_us);
		send_request(client);
		due_us += next_gap_us(client);
	}
	while (now_us() < until_us)
		poll_until(client, until_us);
}

static void close_idle_connections(struct client *client)
{
	size_t i;

	for (i = 0; i < client->settings->target_count; i++) {
		struct connection *connection = client->idle[i];

		while (connection) {
			struct connection *next = connection->next;

			close_connection(connection);
			connection = next;
		}
		client->idle[i] = NULL;
	}
}

void load_client_run(const struct load_client_settings *settings,
		     void (*on_measurement)(void *arg, int starts), void *arg,
		     struct load_client_report *report)
{
	struct client client = {.settings = settings, .report = report};
	int64_t start_us = now_us();
	int64_t drain_end_us;

	assert(settings->target_count > 0);
	memset(report, 0, sizeof(*report));
	report->first_token = latency_histogram_new();
	report->between_tokens = latency_histogram_new();
	tgw_random_init(&client.random, settings->seed);
	client.epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	client.measured_from_us = start_us + settings->warm_up_us;
	client.measured_until_us =
		client.measured_from_us + settings->measured_us;
	drain_end_us = client.measured_until_us + settings->drain_us;

	send_load(&client, client.measured_from_us);
	on_measurement(arg, 1);
	send_load(&client, client.measured_until_us);
	on_measurement(arg, 0);
	while (client.in_flight && now_us() < drain_end_us)
		poll_until(&client, drain_end_us);
	report->unfinished = (uint64_t)client.in_flight;
	close_idle_connections(&client);
	close(client.epoll_fd);
}

uint64_t load_client_errors(const struct load_client_report *report)
{
	return report->refused + report->wrong + report->broken +
	       report->unfinished;
}

void load_client_report_free(struct load_client_report *report)
{
	latency_histogram_free(report->first_token);
	latency_histogram_free(report->between_tokens);
}
