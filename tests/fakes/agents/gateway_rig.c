#include "fakes/agents/gateway_rig.h"

#include <arpa/inet.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/xalloc.h"
#include "daemon/log.h"

#define POLL_INTERVAL_US 1000
#define RECEIVE_TIMEOUT_S 10

static int64_t read_clock(clockid_t id)
{
	struct timespec now;

	clock_gettime(id, &now);
	return now.tv_sec * TGW_US_PER_S + now.tv_nsec / 1000;
}

static int64_t monotonic_us(const struct tgw_clock *clock)
{
	return read_clock(CLOCK_MONOTONIC);
}

static int64_t wall_us(const struct tgw_clock *clock)
{
	return read_clock(CLOCK_REALTIME);
}

static const struct tgw_clock_ops clock_ops = {.monotonic_us = monotonic_us,
					       .wall_us = wall_us};

static void *run_loop(void *arg)
{
	struct gateway_rig *rig = arg;

	event_loop_run_until(rig->loop, &rig->is_done);
	return NULL;
}

static void init_settings(struct settings *settings)
{
	memset(settings, 0, sizeof(*settings));
	snprintf(settings->caller_address, sizeof(settings->caller_address),
		 "127.0.0.1:0");
	settings->max_connections = 64;
	settings->max_open_requests = 16;
	settings->max_body_bytes = 64 * 1024;
	settings->max_header_bytes = 8 * 1024;
	settings->max_answer_bytes = 256 * 1024;
	settings->stream_buffer_bytes = 64 * 1024;
	settings->caller_idle_ms = 5000;
	settings->default_deadline_ms = 8000;
	settings->max_deadline_ms = 9000;
	settings->replay_memory_bytes = 1024 * 1024;
	settings->replay_keep_s = 60;
	settings->load_poll_ms = 3600 * 1000;
	settings->connect_timeout_ms = 1000;
	settings->stream_idle_ms = 5000;
}

static void init_server(struct tgw_server *server, const char *name,
			uint16_t port)
{
	snprintf(server->name, sizeof(server->name), "%s", name);
	snprintf(server->url, sizeof(server->url), "http://127.0.0.1:%u", port);
	server->can_resume = true;
	server->can_cancel = true;
}

static void init_list(struct tgw_name_list *list, const char *name)
{
	list->count = 1;
	snprintf(list->names[0], TGW_NAME_SIZE, "%s", name);
}

static void init_config(struct gateway_rig *rig)
{
	struct tgw_template *template = &rig->template;

	init_list(&template->models, RIG_MODEL);
	init_list(&template->services, "booking");
	template->work_kind_count = 1;
	snprintf(template->work_kinds[0].name, TGW_NAME_SIZE, "summary");
	template->work_kinds[0].urgency = TGW_URGENCY_HIGH;
	template->max_output_tokens = 1000;
	template->prompt_fixed_tokens = RIG_FIXED_TOKENS;
	template->service_call_tokens = RIG_CALL_TOKENS;
	template->max_open_requests = 8;
	snprintf(rig->team.name, TGW_NAME_SIZE, RIG_TEAM);
	snprintf(rig->team.budget, TGW_NAME_SIZE, "budget");
	rig->team.template = template;
	for (int i = 0; i < RIG_ENGINES; i++) {
		char name[TGW_NAME_SIZE];

		snprintf(name, sizeof(name), "engine%d", i);
		init_server(&rig->servers[i], name, rig->engines[i].port);
		init_list(&rig->servers[i].models, RIG_MODEL);
	}
	init_server(&rig->servers[RIG_ENGINES], "office", rig->booking.port);
	rig->servers[RIG_ENGINES].kind = TGW_SERVER_SERVICE;
	snprintf(rig->servers[RIG_ENGINES].service, TGW_NAME_SIZE, "booking");
	snprintf(rig->service.name, TGW_NAME_SIZE, "booking");
	rig->service.repeatable_count = 1;
	snprintf(rig->service.repeatable[0], TGW_METHOD_SIZE, "GET");
	rig->config = (struct tgw_config_snapshot){
		.generation = 1,
		.template_count = 1,
		.templates = template,
		.team_count = 1,
		.teams = &rig->team,
		.server_count = RIG_ENGINES + 1,
		.servers = rig->servers,
		.service_count = 1,
		.services = &rig->service,
	};
}

void gateway_rig_init(struct gateway_rig *rig)
{
	memset(rig, 0, sizeof(*rig));
	init_settings(&rig->settings);
	for (int i = 0; i < RIG_ENGINES; i++)
		fake_backend_start(&rig->engines[i]);
	fake_backend_start(&rig->booking);
	init_config(rig);
	fake_agents_reset(&rig->config);
}

void gateway_rig_start(struct gateway_rig *rig)
{
	struct loop_client_settings client = loop_client_settings_default();
	struct gateway_pages no_pages = {0};
	struct tgw_error error;

	rig->is_done = false;
	rig->clock.ops = &clock_ops;
	rig->loop = event_loop_new();
	rig->client = loop_client_new(rig->loop, &client);
	rig->runtime.settings = &rig->settings;
	rig->runtime.clock = &rig->clock;
	rig->runtime.loop = rig->loop;
	rig->runtime.coordination = event_loop_executor(rig->loop);
	rig->runtime.backend_http = loop_client_sender(rig->client);
	rig->runtime.config = &rig->config;
	rig->gateway = gateway_new(&rig->runtime, no_pages, &error);
	if (!rig->gateway)
		abort();
	pthread_create(&rig->thread, NULL, run_loop, rig);
}

/* Runs on the loop's thread. */
static void run_stop(void *arg)
{
	struct gateway_rig *rig = arg;

	gateway_free(rig->gateway);
	loop_client_free(rig->client);
	rig->is_done = true;
}

void gateway_rig_stop(struct gateway_rig *rig)
{
	executor_post(event_loop_executor(rig->loop), run_stop, rig);
	pthread_join(rig->thread, NULL);
	event_loop_free(rig->loop);
	for (int i = 0; i < RIG_ENGINES; i++)
		fake_backend_stop(&rig->engines[i]);
	fake_backend_stop(&rig->booking);
}

void gateway_rig_sleep(void)
{
	usleep(POLL_INTERVAL_US);
}

int rig_connect(const struct gateway_rig *rig)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	struct timeval timeout = {.tv_sec = RECEIVE_TIMEOUT_S};
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(gateway_port(rig->gateway));
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) != 0)
		abort();
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &timeout, sizeof(timeout));
	return fd;
}

void rig_send(int fd, const char *text)
{
	size_t left = strlen(text);

	while (left) {
		ssize_t sent = send(fd, text, left, MSG_NOSIGNAL);

		if (sent <= 0)
			return; /* the gateway may have closed already */
		text += sent;
		left -= (size_t)sent;
	}
}

void rig_send_chat(int fd, const char *headers, const char *fields)
{
	char *body = xasprintf("{\"model\":\"" RIG_MODEL "\",\"messages\":[{"
			       "\"role\":\"user\",\"content\":\"hello\"}]%s}",
			       fields);
	char *text = xasprintf("POST /v1/chat/completions HTTP/1.1\r\n"
			       "Host: x\r\nConnection: close\r\n"
			       "Authorization: Bearer " RIG_TEAM "\r\n%s"
			       "Content-Length: %zu\r\n\r\n%s",
			       headers, strlen(body), body);

	rig_send(fd, text);
	free(text);
	free(body);
}

bool rig_read_until(int fd, struct buffer *input, const char *text)
{
	char chunk[4096];
	ssize_t size;

	while (!input->data || !strstr(input->data, text)) {
		size = recv(fd, chunk, sizeof(chunk), 0);
		if (size <= 0)
			return false;
		buffer_add(input, chunk, (size_t)size);
	}
	return true;
}

int rig_read_all(int fd, struct buffer *input)
{
	char chunk[4096];
	ssize_t size;

	while ((size = recv(fd, chunk, sizeof(chunk), 0)) > 0)
		buffer_add(input, chunk, (size_t)size);
	if (input->size < 12)
		return 0;
	return (int)strtol(input->data + 9, NULL, 10);
}

int rig_chat(const struct gateway_rig *rig, const char *headers,
	     const char *fields, struct buffer *input)
{
	int fd = rig_connect(rig);
	int status;

	buffer_clear(input);
	rig_send_chat(fd, headers, fields);
	status = rig_read_all(fd, input);
	close(fd);
	return status;
}

int rig_call(const struct gateway_rig *rig, const char *method,
	     const char *path, const char *headers, const char *body,
	     struct buffer *input)
{
	int fd = rig_connect(rig);
	char *text = xasprintf("%s %s HTTP/1.1\r\n"
			       "Host: x\r\nConnection: close\r\n"
			       "Authorization: Bearer " RIG_TEAM "\r\n%s"
			       "Content-Length: %zu\r\n\r\n%s",
			       method, path, headers, strlen(body), body);
	int status;

	buffer_clear(input);
	rig_send(fd, text);
	free(text);
	status = rig_read_all(fd, input);
	close(fd);
	return status;
}

void rig_dechunk(struct buffer *input)
{
	struct buffer body = {0};
	const char *at = strstr(input->data, "\r\n\r\n");

	while (at) {
		char *end;
		size_t size = strtoul(at + (body.size ? 2 : 4), &end, 16);

		if (end + 2 + size > input->data + input->size || !size)
			break;
		buffer_add(&body, end + 2, size);
		at = end + 2 + size;
	}
	buffer_free(input);
	*input = body;
}
