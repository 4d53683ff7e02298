#include "fakes/agents/fake_backend.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/xalloc.h"

#define ID_SIZE 64
#define POLL_US 1000

/* A connection and the request that is served on it. */
struct fake_request {
	struct fake_backend *backend;
	struct fake_script script;
	int fd;
	char id[ID_SIZE];
	long attempt;
	long limit;
	int cancels_before;
	bool broken; /* nothing more is sent; the connection closes */
};

static void send_all(struct fake_request *request, const char *data,
		     size_t size)
{
	while (size && !request->broken) {
		ssize_t sent = send(request->fd, data, size, MSG_NOSIGNAL);

		if (sent <= 0) {
			request->broken = true;
			return;
		}
		request->backend->bytes_sent += sent;
		data += sent;
		size -= (size_t)sent;
	}
}

static void send_answer(struct fake_request *request, int status,
			const char *body)
{
	struct buffer text = {0};

	buffer_add_format(&text,
			  "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
			  "Content-Length: %zu\r\n\r\n%s",
			  status, strlen(body), body);
	send_all(request, text.data, text.size);
	buffer_free(&text);
}

static void send_chunk(struct fake_request *request, const char *data)
{
	struct buffer text = {0};

	buffer_add_format(&text, "%zx\r\n%s\r\n", strlen(data), data);
	send_all(request, text.data, text.size);
	buffer_free(&text);
}

/* Tokens of another request or attempt have the text "wrong", so that a test
 * can detect that one reached a caller. */
static void send_token(struct fake_request *request, const char *id,
		       long attempt, int index)
{
	bool is_expected = strcmp(id, request->id) == 0 &&
			   attempt == request->attempt;

	struct buffer event = {0};

	buffer_add_format(&event,
			  "data: {\"id\":\"%s\",\"attempt\":%ld,\"index\":%d,"
			  "\"choices\":[{\"index\":0,\"delta\":{\"content\":"
			  "\"%s%d%*s \"}}]}\n\n",
			  id, attempt, index, is_expected ? "t" : "wrong",
			  index, request->script.pad_bytes, "");
	send_chunk(request, event.data);
	buffer_free(&event);
}

static void send_end(struct fake_request *request, int tokens)
{
	struct buffer event = {0};

	buffer_add_format(&event,
			  "data: {\"id\":\"%s\",\"attempt\":%ld,\"choices\":[{"
			  "\"index\":0,\"delta\":{},\"finish_reason\":\"stop\"}"
			  "],\"usage\":{\"prompt_tokens\":5,"
			  "\"completion_tokens\":%d}}\n\n",
			  request->id, request->attempt, tokens);
	for (int i = 0; i <= request->script.last_event_repeats; i++)
		if (!request->broken)
			send_chunk(request, event.data);
	send_chunk(request, "data: [DONE]\n\n");
	send_chunk(request, "");
	buffer_free(&event);
}

static void hang(struct fake_request *request)
{
	struct fake_backend *backend = request->backend;

	backend->hanging++;
	while (!backend->closing && backend->cancels == request->cancels_before)
		usleep(POLL_US);
	backend->hanging--;
	request->broken = true;
}

static void stream_tokens(struct fake_request *request, int from)
{
	const struct fake_script *script = &request->script;
	int tokens = script->tokens;

	if (!script->ignore_limit && tokens > request->limit)
		tokens = (int)request->limit;
	for (int i = from; i < tokens && !request->broken; i++) {
		if (script->delay_us)
			usleep((useconds_t)script->delay_us);
		if (i == script->break_at) {
			request->broken = true;
			return;
		}
		if (i == script->hang_at) {
			hang(request);
			return;
		}
		if (i == script->end_at)
			break;
		if (i == script->cross_at)
			send_token(request, "another", request->attempt, i);
		if (i == script->late_at)
			send_token(request, request->id, request->attempt - 1,
				   i);
		if (i == script->double_at && i > 0)
			send_token(request, request->id, request->attempt,
				   i - 1);
		if (i != script->skip_at)
			send_token(request, request->id, request->attempt, i);
	}
	send_end(request, tokens);
}

static void stream(struct fake_request *request, int from)
{
	static const char head[] = "HTTP/1.1 200 OK\r\n"
				   "Content-Type: text/event-stream\r\n"
				   "Transfer-Encoding: chunked\r\n\r\n";

	request->backend->streams++;
	if (request->script.status) {
		send_answer(request, request->script.status, "{}");
		return;
	}
	send_all(request, head, strlen(head));
	if (from && request->script.resumes_empty)
		send_chunk(request, "");
	else
		stream_tokens(request, from);
}

static void serve_service(struct fake_request *request)
{
	char *body;

	request->backend->service_runs++;
	if (request->script.service_closes) {
		request->broken = true;
		return;
	}
	usleep((useconds_t)request->script.service_delay_us);
	body = xcalloc(1, (size_t)request->script.service_bytes + 1);
	memset(body, 'b', (size_t)request->script.service_bytes);
	send_answer(request, request->script.service_status, body);
	free(body);
}

static void serve_request_api(struct fake_request *request, const char *text)
{
	struct fake_backend *backend = request->backend;
	const char *from = strstr(text, "from=");

	if (strstr(text, "/cancel ")) {
		backend->cancels++;
		send_answer(request, 200,
			    "{\"state\":\"cancelled\",\"usage\":{"
			    "\"prompt_tokens\":5,\"completion_tokens\":2}}");
	} else if (from) {
		backend->resumes++;
		backend->last_from = (int)strtol(from + 5, NULL, 10);
		if (request->script.requests_unknown)
			send_answer(request, 404, "{}");
		else if (request->script.resumes_from_start)
			stream(request, 0);
		else
			stream(request, backend->last_from);
	} else {
		backend->status_queries++;
		if (request->script.status_hangs) {
			hang(request);
			return;
		}
		send_answer(request,
			    request->script.requests_unknown ? 404 : 200,
			    "{\"state\":\"running\",\"attempt\":1}");
	}
}

static void read_header(const char *text, const char *name, char *value,
			size_t size)
{
	const char *at = strcasestr(text, name);

	value[0] = '\0';
	if (!at)
		return;
	at += strlen(name);
	snprintf(value, size, "%.*s", (int)strcspn(at, "\r"), at);
}

/* Copies the script for one request; a stream uses up one of fault_count. */
static void copy_script(struct fake_request *request, bool is_stream)
{
	struct fake_backend *backend = request->backend;
	struct fake_script *script = &request->script;

	pthread_mutex_lock(&backend->lock);
	*script = backend->script;
	if (is_stream && script->fault_count > 0)
		backend->script.fault_count--;
	pthread_mutex_unlock(&backend->lock);
	if (script->fault_count == 0) {
		script->break_at = script->cross_at = script->double_at =
			script->late_at = script->skip_at = script->hang_at =
				script->end_at = FAKE_NEVER;
		script->status = 0;
		script->last_event_repeats = 0;
	}
}

static void record_request(struct fake_backend *backend, const char *text)
{
	pthread_mutex_lock(&backend->lock);
	buffer_clear(&backend->last_request);
	buffer_add_text(&backend->last_request, text);
	pthread_mutex_unlock(&backend->lock);
}

static void handle_request(struct fake_request *request, const char *text)
{
	bool is_chat = strncmp(text, "POST /v1/chat/", 14) == 0;
	bool is_resume = strstr(text, "/resume?") != NULL;
	const char *limit = strstr(text, "\"max_tokens\":");
	char attempt[ID_SIZE];

	read_header(text, "X-Request-Id: ", request->id, sizeof(request->id));
	read_header(text, "X-Attempt: ", attempt, sizeof(attempt));
	request->attempt = strtol(attempt, NULL, 10);
	request->limit = limit ? strtol(limit + 13, NULL, 10) : 0;
	request->cancels_before = request->backend->cancels;
	copy_script(request, is_chat || is_resume);
	if (is_chat) {
		record_request(request->backend, text);
		stream(request, 0);
	} else if (strstr(text, " /v1/requests/")) {
		serve_request_api(request, text);
	} else if (strstr(text, " /load ")) {
		request->backend->loads++;
		send_answer(request, 200, "{\"running\":1,\"waiting\":0}");
	} else if (strstr(text, " /cache/events")) {
		send_answer(request, 200,
			    "{\"events\":[{\"sequence\":1,\"kind\":\"stored\","
			    "\"hashes\":[\"00000000000000ff\"]}],\"next\":2}");
	} else {
		record_request(request->backend, text);
		serve_service(request);
	}
}

/* @return whether the request was received completely */
static bool is_complete(const struct buffer *input)
{
	const char *end = strstr(input->data, "\r\n\r\n");
	char length[ID_SIZE];

	if (!end)
		return false;
	read_header(input->data, "Content-Length: ", length, sizeof(length));
	return input->size >=
	       (size_t)(end - input->data) + 4 + strtoul(length, NULL, 10);
}

static void *serve_connection(void *arg)
{
	struct fake_request request = *(struct fake_request *)arg;
	struct buffer input = {0};
	char chunk[4096];
	ssize_t size;

	free(arg);
	while (!request.broken &&
	       (size = recv(request.fd, chunk, sizeof(chunk), 0)) > 0) {
		buffer_add(&input, chunk, (size_t)size);
		if (!is_complete(&input))
			continue;
		handle_request(&request, input.data);
		buffer_clear(&input);
	}
	buffer_free(&input);
	close(request.fd);
	request.backend->open--;
	return NULL;
}

static void *accept_all(void *arg)
{
	struct fake_backend *backend = arg;

	for (;;) {
		int fd = accept(backend->listener, NULL, NULL);
		struct fake_request *request;
		pthread_t thread;

		if (fd < 0)
			return NULL;
		request = xcalloc(1, sizeof(*request));
		request->backend = backend;
		request->fd = fd;
		backend->open++;
		pthread_create(&thread, NULL, serve_connection, request);
		pthread_detach(thread);
	}
}

void fake_backend_start(struct fake_backend *backend)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);

	memset(backend, 0, sizeof(*backend));
	pthread_mutex_init(&backend->lock, NULL);
	backend->script = (struct fake_script){.tokens = 5,
					       .break_at = FAKE_NEVER,
					       .cross_at = FAKE_NEVER,
					       .double_at = FAKE_NEVER,
					       .late_at = FAKE_NEVER,
					       .skip_at = FAKE_NEVER,
					       .hang_at = FAKE_NEVER,
					       .end_at = FAKE_NEVER,
					       .fault_count = 1,
					       .service_status = 200,
					       .service_bytes = 4};
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	backend->listener = socket(AF_INET, SOCK_STREAM, 0);
	if (bind(backend->listener, (struct sockaddr *)&address,
		 sizeof(address)) != 0 ||
	    listen(backend->listener, 64) != 0)
		abort();
	getsockname(backend->listener, (struct sockaddr *)&address, &size);
	backend->port = ntohs(address.sin_port);
	if (pthread_create(&backend->thread, NULL, accept_all, backend) != 0)
		abort();
}

void fake_backend_stop(struct fake_backend *backend)
{
	backend->closing = true;
	shutdown(backend->listener, SHUT_RDWR);
	pthread_join(backend->thread, NULL);
	close(backend->listener);
	/* The clients have closed their connections, so each thread ends. */
	while (backend->open > 0)
		usleep(POLL_US);
	buffer_free(&backend->last_request);
}
