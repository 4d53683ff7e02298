#include "transport/http_server.h"

#include <assert.h>
#include <errno.h>
#include <microhttpd.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/queue.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#include "base/buffer.h"
#include "base/xalloc.h"
#include "tamarackgw/clock.h"
#include "transport/socket_address.h"

#define BLOCK_BYTES 8192
#define POOL_EXTRA_BYTES 8192 /* for the answer's head and chunks */
#define WATCH_EVENTS 64
#define FREE_PATIENCE_US 1000
#define WAKE_SERIAL 0

/* A caller's connection. */
struct connection {
	LIST_ENTRY(connection) link;
	struct http_server *server;
	int fd;
	/* The next three under the server's lock. */
	struct server_exchange *exchange;
	uint64_t watch_serial;	  /* 0 while not watched */
	int64_t read_deadline_us; /* for a request to have come whole */
};

enum exchange_stage {
	STAGE_HEAD,    /* nothing but the request line was seen */
	STAGE_BODY,    /* the body is being read */
	STAGE_REFUSED, /* the body is read and dropped */
	STAGE_ANSWER,  /* the request was handed over */
	STAGE_QUEUED,  /* libmicrohttpd has the answer */
};

struct server_exchange {
	struct http_server *server;
	struct connection *connection;
	struct MHD_Connection *mhd;
	enum exchange_stage stage;
	bool head_seen;
	char *target;
	char method[24];
	struct buffer body;
	struct answer *own;
	struct answer_reader reader;
	void *context;
	atomic_bool aborted;
	_Atomic int64_t last_read_us;
};

struct http_server {
	struct http_server_settings settings;
	struct http_server_handler handler;
	struct MHD_Daemon *daemon;
	pthread_mutex_t lock;
	LIST_HEAD(, connection) connections;
	pthread_t watcher;
	int epoll_fd;
	int wake_fd;
	uint64_t next_serial; /* under the lock */
	atomic_bool closing;
	atomic_bool stopping;
	_Atomic uint64_t bytes_sent;
	_Atomic int64_t connection_count;
};

static int64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * TGW_US_PER_S + now.tv_nsec / 1000;
}

const char *server_exchange_method(const struct server_exchange *exchange)
{
	return exchange->method;
}

const char *server_exchange_target(const struct server_exchange *exchange)
{
	return exchange->target;
}

const char *server_exchange_header(struct server_exchange *exchange,
				   const char *name)
{
	return MHD_lookup_connection_value(exchange->mhd, MHD_HEADER_KIND,
					   name);
}

const char *server_exchange_body(const struct server_exchange *exchange,
				 size_t *size)
{
	*size = exchange->body.size;
	return exchange->body.data ? exchange->body.data : "";
}

struct answer *server_exchange_answer(struct server_exchange *exchange)
{
	return exchange->own;
}

void server_exchange_set_context(struct server_exchange *exchange,
				 void *context)
{
	exchange->context = context;
}

void *server_exchange_context(const struct server_exchange *exchange)
{
	return exchange->context;
}

static void park_exchange(void *arg)
{
	struct server_exchange *exchange = arg;

	MHD_suspend_connection(exchange->mhd);
}

static void wake_exchange(void *arg)
{
	struct server_exchange *exchange = arg;

	atomic_store(&exchange->last_read_us, now_us());
	MHD_resume_connection(exchange->mhd);
}

/* The server's lock is held, so the exchange is not freed meanwhile. */
static void abort_exchange(struct server_exchange *exchange)
{
	atomic_store(&exchange->aborted, true);
	answer_kick(&exchange->reader);
}

static struct connection *connection_of(struct MHD_Connection *mhd)
{
	const union MHD_ConnectionInfo *info = MHD_get_connection_info(
		mhd, MHD_CONNECTION_INFO_SOCKET_CONTEXT);

	return info ? info->socket_context : NULL;
}

static void open_connection(struct http_server *server,
			    struct MHD_Connection *mhd, void **context)
{
	const union MHD_ConnectionInfo *info =
		MHD_get_connection_info(mhd, MHD_CONNECTION_INFO_CONNECTION_FD);
	struct connection *connection = xcalloc(1, sizeof(*connection));

	connection->server = server;
	connection->fd = info->connect_fd;
	connection->read_deadline_us =
		now_us() + server->settings.caller_idle_us;
	pthread_mutex_lock(&server->lock);
	LIST_INSERT_HEAD(&server->connections, connection, link);
	pthread_mutex_unlock(&server->lock);
	atomic_fetch_add(&server->connection_count, 1);
	*context = connection;
}

static void unwatch(struct http_server *server, struct connection *connection)
{
	if (!connection->watch_serial)
		return;
	epoll_ctl(server->epoll_fd, EPOLL_CTL_DEL, connection->fd, NULL);
	connection->watch_serial = 0;
}

static void close_connection(struct http_server *server,
			     struct connection *connection)
{
	pthread_mutex_lock(&server->lock);
	unwatch(server, connection);
	LIST_REMOVE(connection, link);
	pthread_mutex_unlock(&server->lock);
	atomic_fetch_sub(&server->connection_count, 1);
	free(connection);
}

static void on_connection(void *arg, struct MHD_Connection *mhd, void **context,
			  enum MHD_ConnectionNotificationCode code)
{
	struct http_server *server = arg;

	if (code == MHD_CONNECTION_NOTIFY_STARTED)
		open_connection(server, mhd, context);
	else if (*context)
		close_connection(server, *context);
}

/* The first that libmicrohttpd tells of a request: its raw target. */
static void *on_request_line(void *arg, const char *target,
			     struct MHD_Connection *mhd)
{
	static const struct answer_limits no_limits = {0};
	struct http_server *server = arg;
	struct server_exchange *exchange = xcalloc(1, sizeof(*exchange));

	exchange->server = server;
	exchange->connection = connection_of(mhd);
	exchange->mhd = mhd;
	exchange->target = xstrdup(target);
	exchange->own = answer_new(&no_limits);
	exchange->reader.park = park_exchange;
	exchange->reader.wake = wake_exchange;
	exchange->reader.arg = exchange;
	answer_attach(exchange->own, &exchange->reader);
	pthread_mutex_lock(&server->lock);
	exchange->connection->read_deadline_us =
		now_us() + server->settings.caller_idle_us;
	pthread_mutex_unlock(&server->lock);
	return exchange;
}

static ssize_t read_answer(void *arg, uint64_t position, char *bytes,
			   size_t capacity)
{
	struct server_exchange *exchange = arg;
	size_t size;

	if (atomic_load(&exchange->aborted))
		return MHD_CONTENT_READER_END_WITH_ERROR;
	atomic_store(&exchange->last_read_us, now_us());
	switch (answer_read(&exchange->reader, bytes, capacity, &size)) {
	case ANSWER_BYTES:
		atomic_fetch_add(&exchange->server->bytes_sent, size);
		return (ssize_t)size;
	case ANSWER_WAIT:
		return 0;
	case ANSWER_END:
		return MHD_CONTENT_READER_END_OF_STREAM;
	default:
		return MHD_CONTENT_READER_END_WITH_ERROR;
	}
}

static void add_header(void *arg, const char *name, const char *value)
{
	MHD_add_response_header(arg, name, value);
}

static enum MHD_Result queue_answer(struct server_exchange *exchange,
				    const struct answer_head *head)
{
	uint64_t size = head->size_known ? head->size : MHD_SIZE_UNKNOWN;
	struct MHD_Response *response = MHD_create_response_from_callback(
		size, BLOCK_BYTES, read_answer, exchange, NULL);
	enum MHD_Result result;

	if (!response)
		return MHD_NO;
	if (head->content_type[0])
		add_header(response, MHD_HTTP_HEADER_CONTENT_TYPE,
			   head->content_type);
	answer_each_header(exchange->reader.answer, add_header, response);
	if (atomic_load(&exchange->server->stopping))
		add_header(response, MHD_HTTP_HEADER_CONNECTION, "close");
	exchange->stage = STAGE_QUEUED;
	atomic_store(&exchange->last_read_us, now_us());
	result = MHD_queue_response(exchange->mhd, (unsigned int)head->status,
				    response);
	MHD_destroy_response(response);
	return result;
}

/* Answers when the head is there; else the connection was suspended. */
static enum MHD_Result try_to_answer(struct server_exchange *exchange)
{
	struct answer_head head;

	if (atomic_load(&exchange->aborted))
		return MHD_NO;
	if (!answer_read_head(&exchange->reader, &head))
		return MHD_YES;
	return queue_answer(exchange, &head);
}

/* From now on a caller that hangs up is noticed, also while suspended. */
static void watch_for_hang_up(struct server_exchange *exchange)
{
	struct http_server *server = exchange->server;
	struct connection *connection = exchange->connection;
	struct epoll_event event = {.events = EPOLLRDHUP | EPOLLET};

	pthread_mutex_lock(&server->lock);
	event.data.u64 = ++server->next_serial;
	atomic_store(&exchange->last_read_us, now_us());
	connection->exchange = exchange;
	connection->read_deadline_us = 0;
	if (epoll_ctl(server->epoll_fd, EPOLL_CTL_ADD, connection->fd,
		      &event) == 0)
		connection->watch_serial = event.data.u64;
	pthread_mutex_unlock(&server->lock);
	if (atomic_load(&server->closing))
		atomic_store(&exchange->aborted, true);
}

static bool announces_too_much(struct server_exchange *exchange)
{
	const char *length = server_exchange_header(
		exchange, MHD_HTTP_HEADER_CONTENT_LENGTH);

	return length && strtoll(length, NULL, 10) >
				 exchange->server->settings.max_body_bytes;
}

static enum MHD_Result on_head(struct server_exchange *exchange,
			       const char *method)
{
	struct http_server *server = exchange->server;
	const struct http_server_handler *handler = &server->handler;

	exchange->head_seen = true;
	snprintf(exchange->method, sizeof(exchange->method), "%s", method);
	exchange->stage = STAGE_BODY;
	if (!handler->head(handler->arg, exchange))
		return try_to_answer(exchange);
	if (!announces_too_much(exchange))
		return MHD_YES;
	handler->too_large(handler->arg, exchange);
	return try_to_answer(exchange);
}

static void take_body(struct server_exchange *exchange, const char *data,
		      size_t size)
{
	struct http_server *server = exchange->server;

	if (exchange->stage != STAGE_BODY)
		return;
	if (exchange->body.size + size >
	    (size_t)server->settings.max_body_bytes) {
		exchange->stage = STAGE_REFUSED;
		buffer_free(&exchange->body);
		return;
	}
	buffer_add(&exchange->body, data, size);
}

static enum MHD_Result on_whole_request(struct server_exchange *exchange)
{
	const struct http_server_handler *handler = &exchange->server->handler;
	bool refused = exchange->stage == STAGE_REFUSED;

	exchange->stage = STAGE_ANSWER;
	watch_for_hang_up(exchange);
	if (refused)
		handler->too_large(handler->arg, exchange);
	else
		handler->request(handler->arg, exchange);
	return try_to_answer(exchange);
}

static enum MHD_Result on_access(void *arg, struct MHD_Connection *mhd,
				 const char *url, const char *method,
				 const char *version, const char *data,
				 size_t *data_size, void **context)
{
	struct server_exchange *exchange = *context;

	if (!exchange->head_seen)
		return on_head(exchange, method);
	if (*data_size) {
		take_body(exchange, data, *data_size);
		*data_size = 0;
		return MHD_YES;
	}
	if (exchange->stage == STAGE_ANSWER)
		return try_to_answer(exchange);
	if (exchange->stage == STAGE_QUEUED)
		return MHD_YES;
	return on_whole_request(exchange);
}

static void on_completed(void *arg, struct MHD_Connection *mhd, void **context,
			 enum MHD_RequestTerminationCode code)
{
	struct http_server *server = arg;
	struct server_exchange *exchange = *context;
	struct connection *connection;

	if (!exchange)
		return;
	connection = exchange->connection;
	pthread_mutex_lock(&server->lock);
	unwatch(server, connection);
	connection->exchange = NULL;
	connection->read_deadline_us =
		now_us() + server->settings.caller_idle_us;
	pthread_mutex_unlock(&server->lock);
	if (exchange->head_seen)
		server->handler.closed(server->handler.arg, exchange);
	answer_detach(&exchange->reader);
	answer_unref(exchange->own);
	buffer_free(&exchange->body);
	free(exchange->target);
	free(exchange);
	*context = NULL;
}

/* The server's lock is held. */
static bool is_stuck(const struct connection *connection, int64_t now)
{
	struct server_exchange *exchange = connection->exchange;
	int64_t idle_us = connection->server->settings.caller_idle_us;

	if (connection->read_deadline_us)
		return now > connection->read_deadline_us;
	if (!exchange || answer_reader_is_parked(&exchange->reader))
		return false;
	return now - atomic_load(&exchange->last_read_us) > idle_us;
}

/* The server's lock is held. Each shutdown() is an event of its own, so the
 * connection must not be watched any more. */
static void cut_off(struct http_server *server, struct connection *connection)
{
	unwatch(server, connection);
	if (connection->exchange)
		abort_exchange(connection->exchange);
	shutdown(connection->fd, SHUT_RDWR);
}

static void drop_stuck(struct http_server *server)
{
	struct connection *connection;
	int64_t now = now_us();

	pthread_mutex_lock(&server->lock);
	LIST_FOREACH(connection, &server->connections, link)
	{
		if (!is_stuck(connection, now))
			continue;
		cut_off(server, connection);
	}
	pthread_mutex_unlock(&server->lock);
}

static void abort_hung_up(struct http_server *server, uint64_t serial)
{
	struct connection *connection;

	pthread_mutex_lock(&server->lock);
	LIST_FOREACH(connection, &server->connections, link)
	{
		if (connection->watch_serial == serial)
			cut_off(server, connection);
	}
	pthread_mutex_unlock(&server->lock);
}

static void *watch(void *arg)
{
	struct http_server *server = arg;
	int tick_ms = (int)(server->settings.tick_us / TGW_US_PER_MS);
	int64_t next_tick_us = 0;

	while (!atomic_load(&server->closing)) {
		struct epoll_event events[WATCH_EVENTS];
		int count = epoll_wait(server->epoll_fd, events, WATCH_EVENTS,
				       tick_ms);

		for (int i = 0; i < count; i++)
			if (events[i].data.u64 != WAKE_SERIAL)
				abort_hung_up(server, events[i].data.u64);
		if (now_us() < next_tick_us)
			continue;
		next_tick_us = now_us() + server->settings.tick_us;
		drop_stuck(server);
		server->handler.tick(server->handler.arg);
	}
	return NULL;
}

static struct MHD_Daemon *start_daemon(struct http_server *server,
				       const union socket_address *address)
{
	const struct http_server_settings *settings = &server->settings;
	unsigned int flags = MHD_USE_EPOLL_INTERNAL_THREAD |
			     MHD_ALLOW_SUSPEND_RESUME | MHD_USE_ITC;

	if (address->any.sa_family == AF_INET6)
		flags |= MHD_USE_IPv6;
	return MHD_start_daemon(
		flags, 0, NULL, NULL, on_access, server, MHD_OPTION_SOCK_ADDR,
		&address->any, MHD_OPTION_THREAD_POOL_SIZE,
		(unsigned int)settings->threads, MHD_OPTION_CONNECTION_LIMIT,
		(unsigned int)settings->max_connections,
		MHD_OPTION_CONNECTION_MEMORY_LIMIT,
		(size_t)(settings->max_header_bytes + POOL_EXTRA_BYTES),
		MHD_OPTION_NOTIFY_CONNECTION, on_connection, server,
		MHD_OPTION_NOTIFY_COMPLETED, on_completed, server,
		MHD_OPTION_URI_LOG_CALLBACK, on_request_line, server,
		MHD_OPTION_LISTENING_ADDRESS_REUSE, 1u, MHD_OPTION_END);
}

static void watch_wake_fd(struct http_server *server)
{
	struct epoll_event event = {.events = EPOLLIN, .data.u64 = WAKE_SERIAL};

	server->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	server->wake_fd = eventfd(0, EFD_CLOEXEC);
	epoll_ctl(server->epoll_fd, EPOLL_CTL_ADD, server->wake_fd, &event);
}

struct http_server *http_server_new(const struct http_server_settings *settings,
				    const struct http_server_handler *handler,
				    struct tgw_error *error)
{
	struct http_server *server;
	union socket_address address;

	if (!socket_address_parse(settings->address, &address)) {
		tgw_error_set(error, TGW_INVALID,
			      "\"%s\" is no IP number with a port, such as "
			      "127.0.0.1:8080",
			      settings->address);
		return NULL;
	}
	server = xcalloc(1, sizeof(*server));
	server->settings = *settings;
	server->handler = *handler;
	pthread_mutex_init(&server->lock, NULL);
	watch_wake_fd(server);
	server->daemon = start_daemon(server, &address);
	if (!server->daemon) {
		tgw_error_set(error, TGW_UNAVAILABLE,
			      "can't listen on %s (%s); choose a free address "
			      "of this host",
			      settings->address, strerror(errno));
		goto cleanup;
	}
	if (pthread_create(&server->watcher, NULL, watch, server) != 0)
		abort();
	return server;
cleanup:
	close(server->epoll_fd);
	close(server->wake_fd);
	pthread_mutex_destroy(&server->lock);
	free(server);
	return NULL;
}

uint16_t http_server_port(const struct http_server *server)
{
	const union MHD_DaemonInfo *info =
		MHD_get_daemon_info(server->daemon, MHD_DAEMON_INFO_BIND_PORT);

	return info ? info->port : 0;
}

void http_server_stop_keeping_alive(struct http_server *server)
{
	atomic_store(&server->stopping, true);
}

static bool abort_all(struct http_server *server)
{
	struct connection *connection;
	bool any = false;

	pthread_mutex_lock(&server->lock);
	LIST_FOREACH(connection, &server->connections, link)
	{
		if (!connection->exchange)
			continue;
		abort_exchange(connection->exchange);
		shutdown(connection->fd, SHUT_RDWR);
		any = true;
	}
	pthread_mutex_unlock(&server->lock);
	return any;
}

void http_server_free(struct http_server *server)
{
	uint64_t one = 1;
	int listener;

	if (!server)
		return;
	atomic_store(&server->closing, true);
	if (write(server->wake_fd, &one, sizeof(one)) != sizeof(one))
		abort();
	pthread_join(server->watcher, NULL);
	/* libmicrohttpd can't be stopped while a connection is suspended. */
	listener = MHD_quiesce_daemon(server->daemon);
	while (abort_all(server))
		usleep(FREE_PATIENCE_US);
	MHD_stop_daemon(server->daemon);
	if (listener >= 0)
		close(listener);
	close(server->epoll_fd);
	close(server->wake_fd);
	pthread_mutex_destroy(&server->lock);
	free(server);
}

uint64_t http_server_bytes_sent(const struct http_server *server)
{
	return atomic_load(&server->bytes_sent);
}

int64_t http_server_connections(const struct http_server *server)
{
	return atomic_load(&server->connection_count);
}
