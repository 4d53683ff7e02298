#include "standins/common/standin_http.h"

#include <signal.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/resource.h>
#include <time.h>
#include <unistd.h>

#include "base/xalloc.h"

#define CONNECTION_LIMIT 16384
#define STREAM_BLOCK_BYTES 8192

static void on_completed(void *arg, struct MHD_Connection *connection,
			 void **state, enum MHD_RequestTerminationCode code)
{
	struct standin_call *call = *state;

	if (!call)
		return;
	buffer_free(&call->body);
	free(call->path);
	free(call);
	*state = NULL;
}

static enum MHD_Result on_request(void *arg, struct MHD_Connection *connection,
				  const char *url, const char *method,
				  const char *version, const char *upload,
				  size_t *upload_size, void **state)
{
	const struct standin_http *http = arg;
	struct standin_call *call = *state;

	if (!call) {
		call = xcalloc(1, sizeof(*call));
		call->connection = connection;
		call->path = xstrdup(url);
		*state = call;
		return MHD_YES;
	}
	call->method = method;
	if (*upload_size) {
		buffer_add(&call->body, upload, *upload_size);
		*upload_size = 0;
		return MHD_YES;
	}
	return http->serve(http->arg, call);
}

static void raise_file_limit(void)
{
	struct rlimit limit;

	if (getrlimit(RLIMIT_NOFILE, &limit))
		return;
	limit.rlim_cur = limit.rlim_max;
	setrlimit(RLIMIT_NOFILE, &limit);
}

static void write_port_file(const char *path, uint16_t port)
{
	char *temp_path = xasprintf("%s.part", path);
	FILE *file = fopen(temp_path, "w");

	if (!file || fprintf(file, "%u\n", port) < 0 || fclose(file) ||
	    rename(temp_path, path)) {
		fprintf(stderr, "cannot write the port to %s\n", path);
		exit(EXIT_FAILURE);
	}
	free(temp_path);
}

static struct MHD_Daemon *listen_on(const struct standin_http *http)
{
	unsigned int flags = MHD_ALLOW_SUSPEND_RESUME;

	if (!http->pool_threads)
		return MHD_start_daemon(MHD_USE_POLL_INTERNAL_THREAD |
						MHD_USE_THREAD_PER_CONNECTION,
					http->port, NULL, NULL, on_request,
					(void *)http,
					MHD_OPTION_NOTIFY_COMPLETED,
					on_completed, NULL,
					MHD_OPTION_CONNECTION_LIMIT,
					CONNECTION_LIMIT, MHD_OPTION_END);
	return MHD_start_daemon(flags | MHD_USE_EPOLL_INTERNAL_THREAD,
				http->port, NULL, NULL, on_request,
				(void *)http, MHD_OPTION_NOTIFY_COMPLETED,
				on_completed, NULL, MHD_OPTION_CONNECTION_LIMIT,
				CONNECTION_LIMIT, MHD_OPTION_THREAD_POOL_SIZE,
				http->pool_threads, MHD_OPTION_END);
}

void standin_http_run(const struct standin_http *http)
{
	struct MHD_Daemon *daemon;
	sigset_t signals;
	uint16_t port;
	int received;

	raise_file_limit();
	sigemptyset(&signals);
	sigaddset(&signals, SIGTERM);
	sigaddset(&signals, SIGINT);
	pthread_sigmask(SIG_BLOCK, &signals, NULL);
	daemon = listen_on(http);
	if (!daemon) {
		fprintf(stderr, "cannot listen on port %u\n", http->port);
		exit(EXIT_FAILURE);
	}
	port = MHD_get_daemon_info(daemon, MHD_DAEMON_INFO_BIND_PORT)->port;
	printf("port %u\n", port);
	fflush(stdout);
	if (http->port_file)
		write_port_file(http->port_file, port);
	sigwait(&signals, &received);
	/* Streams may still be open; the process does not wait for them. */
	_exit(EXIT_SUCCESS);
}

static enum MHD_Result reply_bytes(struct standin_call *call, int status,
				   const char *type, char *text)
{
	struct MHD_Response *response = MHD_create_response_from_buffer(
		strlen(text), text, MHD_RESPMEM_MUST_FREE);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", type);
	result = MHD_queue_response(call->connection, (unsigned int)status,
				    response);
	MHD_destroy_response(response);
	return result;
}

enum MHD_Result standin_reply_json(struct standin_call *call, int status,
				   json_t *value)
{
	char *text = json_dumps(value, JSON_COMPACT);

	json_decref(value);
	return reply_bytes(call, status, "application/json", text);
}

enum MHD_Result standin_reply_error(struct standin_call *call, int status,
				    const char *text)
{
	return standin_reply_json(call, status,
				  json_pack("{s:s}", "error", text));
}

enum MHD_Result standin_reply_stream(struct standin_call *call,
				     const char *content_type,
				     MHD_ContentReaderCallback read, void *arg,
				     MHD_ContentReaderFreeCallback release)
{
	struct MHD_Response *response = MHD_create_response_from_callback(
		MHD_SIZE_UNKNOWN, STREAM_BLOCK_BYTES, read, arg, release);
	enum MHD_Result result;

	MHD_add_response_header(response, "Content-Type", content_type);
	result = MHD_queue_response(call->connection, MHD_HTTP_OK, response);
	MHD_destroy_response(response);
	return result;
}

const char *standin_header(const struct standin_call *call, const char *name)
{
	return MHD_lookup_connection_value(call->connection, MHD_HEADER_KIND,
					   name);
}

int64_t standin_number(const struct standin_call *call, enum MHD_ValueKind kind,
		       const char *name, int64_t fallback)
{
	const char *text =
		MHD_lookup_connection_value(call->connection, kind, name);

	return text ? strtoll(text, NULL, 10) : fallback;
}

int64_t standin_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * INT64_C(1000000) + now.tv_nsec / 1000;
}

void standin_sleep_us(int64_t duration_us)
{
	struct timespec duration = {duration_us / 1000000,
				    duration_us % 1000000 * 1000};

	if (duration_us > 0)
		nanosleep(&duration, NULL);
}
