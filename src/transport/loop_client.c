#include "transport/loop_client.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/queue.h>

#include "base/text.h"
#include "base/xalloc.h"
#include "protocol/json_scan.h"
#include "protocol/media_type.h"
#include "tamarackgw/clock.h"
#include "transport/connect_check.h"
#include "transport/http_pool.h"
#include "transport/socket_address.h"

#define DEFAULT_CONNECT_TIMEOUT_US (1 * TGW_US_PER_S)
#define DEFAULT_IDLE_CONNECTIONS 256
#define TRIM_INTERVAL_MS 1000
/* For a server to accept a connection once its response has ended with the one
 * before. */
#define END_CHECK_TIMEOUT_MS 500
/* A server without an exchange for this long is removed. */
#define UNUSED_SERVER_LIMIT_US (60 * TGW_US_PER_S)
#define HOST_SIZE 256
#define PORT_SIZE 8
#define AUTHORITY_SIZE (HOST_SIZE + PORT_SIZE)
#define HTTP_PORT "80"
#define SCHEME "http://"

/* An HTTP server, identified by the name and port in request URLs. */
struct server {
	LIST_ENTRY(server) link;
	char authority[AUTHORITY_SIZE];
	char host[HOST_SIZE];
	char port[PORT_SIZE];
	struct http_pool pool;
	uint32_t exchange_count;
	int64_t last_used_us;
};

struct http_exchange {
	LIST_ENTRY(http_exchange) link;
	struct loop_client *client;
	struct server *server; /* NULL if the URL can't be used */
	struct http_handler handler;
	struct buffer head;
	struct held_buffer *body;  /* NULL for none */
	struct buffer undelivered; /* not accepted by the handler yet */
	struct http_conn *conn;
	uv_timer_t timer;
	uv_getaddrinfo_t resolver_request;
	struct connect_check *end_check; /* running, or NULL */
	struct json_scan json;		 /* of a JSON response */
	bool is_json;
	uint32_t references;
	int64_t connect_timeout_us;
	int64_t total_timeout_us;
	int64_t idle_timeout_us;
	int64_t started_us;
	int64_t progress_us; /* when it started, received bytes or resumed */
	bool is_head_request;
	bool fresh_connection;
	bool may_resend;
	bool has_response; /* the response's head was received */
	bool is_complete;  /* the response was received, maybe not delivered */
	bool paused;
	bool ended;
};

struct loop_client {
	struct http_sender sender; /* first member */
	struct event_loop *loop;
	struct loop_client_settings settings;
	uv_timer_t trim_timer;
	LIST_HEAD(, server) servers;
	LIST_HEAD(, http_exchange) exchanges;
};

static int64_t now_us(const struct loop_client *client)
{
	return (int64_t)uv_now(event_loop_uv(client->loop)) * TGW_US_PER_MS;
}

static void exchange_unref(struct http_exchange *exchange)
{
	if (--exchange->references)
		return;
	buffer_free(&exchange->head);
	held_buffer_unref(exchange->body);
	buffer_free(&exchange->undelivered);
	free(exchange);
}

static void on_timer_closed(uv_handle_t *handle)
{
	exchange_unref(handle->data);
}

static void end(struct http_exchange *exchange, enum http_outcome outcome,
		const char *message)
{
	assert(!exchange->ended);
	exchange->ended = true;
	LIST_REMOVE(exchange, link);
	if (exchange->end_check)
		connect_check_cancel(exchange->end_check);
	if (exchange->conn)
		http_conn_close(exchange->conn);
	exchange->conn = NULL;
	if (exchange->server) {
		exchange->server->exchange_count--;
		exchange->server->last_used_us = now_us(exchange->client);
	}
	uv_close((uv_handle_t *)&exchange->timer, on_timer_closed);
	exchange->handler.ended(exchange->handler.arg, outcome, message);
}

/* ---- the response ---- */

static enum http_conn_verdict on_head(struct http_conn *conn)
{
	struct http_exchange *exchange = conn->arg;
	const char *type = http_head_find(&conn->head, "Content-Type");

	exchange->progress_us = now_us(exchange->client);
	exchange->has_response = true;
	exchange->is_json = media_type_is_json(type);
	exchange->handler.started(exchange->handler.arg, conn->status,
				  type ? type : "");
	return HTTP_CONN_ACCEPT;
}

static void on_body(struct http_conn *conn, const char *data, size_t size)
{
	struct http_exchange *exchange = conn->arg;

	exchange->progress_us = now_us(exchange->client);
	if (exchange->is_json)
		json_scan_feed(&exchange->json, data, size);
	if (!exchange->paused &&
	    exchange->handler.data(exchange->handler.arg, data, size))
		return;
	buffer_add(&exchange->undelivered, data, size);
	if (exchange->paused)
		return;
	exchange->paused = true;
	http_conn_pause(conn);
}

static void on_complete(struct http_conn *conn)
{
	struct http_exchange *exchange = conn->arg;
	struct loop_client *client = exchange->client;

	exchange->conn = NULL;
	exchange->is_complete = true;
	if (exchange->paused)
		http_conn_resume(conn);
	http_pool_release(&exchange->server->pool, conn,
			  client->settings.idle_connections, now_us(client));
	if (!exchange->paused)
		end(exchange, HTTP_COMPLETE, "complete");
}

static void on_end_checked(void *arg, enum connect_check_result result)
{
	struct http_exchange *exchange = arg;

	exchange->end_check = NULL;
	if (result == CONNECT_CHECK_ACCEPTED)
		http_conn_confirm_end(exchange->conn);
	else
		end(exchange, HTTP_BROKEN,
		    "the server can't be reached since its response ended with "
		    "the connection");
}

/* The end of such a connection looks the same if the server crashed there. */
static void on_response_ended(struct http_conn *conn)
{
	struct http_exchange *exchange = conn->arg;
	struct sockaddr_storage address;
	int size = sizeof(address);

	if (exchange->is_json && !exchange->is_head_request &&
	    !json_scan_is_whole(&exchange->json))
		end(exchange, HTTP_BROKEN,
		    "the response ended within its JSON text");
	else if (uv_tcp_getpeername(&conn->tcp, (struct sockaddr *)&address,
				    &size))
		end(exchange, HTTP_BROKEN,
		    "the server can't be checked since its response ended with "
		    "the connection");
	else
		exchange->end_check = connect_check_start(
			event_loop_uv(exchange->client->loop),
			(struct sockaddr *)&address, END_CHECK_TIMEOUT_MS,
			on_end_checked, exchange);
}

static void begin(struct http_exchange *exchange);

/* A server may close a kept connection while a request is on its way to it. One
 * that answered, even if it was no HTTP, has got the request. */
static bool may_resend(const struct http_exchange *exchange,
		       const struct http_conn *conn, enum http_conn_fault fault)
{
	return exchange->may_resend && conn->has_responded &&
	       !exchange->has_response && fault != HTTP_CONN_MALFORMED;
}

static void on_broken(struct http_conn *conn, enum http_conn_fault fault)
{
	struct http_exchange *exchange = conn->arg;

	exchange->conn = NULL;
	if (may_resend(exchange, conn, fault)) {
		exchange->may_resend = false;
		exchange->fresh_connection = true;
		begin(exchange);
	} else if (fault == HTTP_CONN_NOT_CONNECTED || !conn->sent) {
		end(exchange, HTTP_NOT_CONNECTED,
		    "could not connect to the server");
	} else if (fault == HTTP_CONN_MALFORMED) {
		end(exchange, HTTP_BROKEN,
		    http_defect_text(conn->check.defect));
	} else {
		end(exchange, HTTP_BROKEN,
		    "the server closed the connection before the "
		    "response was complete");
	}
}

static const struct http_conn_events response_events = {
	.head = on_head,
	.body = on_body,
	.complete = on_complete,
	.ended = on_response_ended,
	.broken = on_broken,
};

/* ---- time limits ---- */

static void lower_deadline(int64_t *deadline_us, int64_t from_us,
			   int64_t timeout_us)
{
	if (timeout_us && from_us + timeout_us < *deadline_us)
		*deadline_us = from_us + timeout_us;
}

static bool is_connected(const struct http_exchange *exchange)
{
	return exchange->is_complete ||
	       (exchange->conn && exchange->conn->connected);
}

static int64_t deadline_us(const struct http_exchange *exchange)
{
	int64_t deadline_us = INT64_MAX;

	lower_deadline(&deadline_us, exchange->started_us,
		       exchange->total_timeout_us);
	if (!is_connected(exchange))
		lower_deadline(&deadline_us, exchange->progress_us,
			       exchange->connect_timeout_us);
	if (!exchange->paused)
		lower_deadline(&deadline_us, exchange->progress_us,
			       exchange->idle_timeout_us);
	return deadline_us;
}

static void on_timer(uv_timer_t *timer);

static void start_timer(struct http_exchange *exchange)
{
	int64_t now = now_us(exchange->client);
	int64_t deadline = deadline_us(exchange);
	int64_t wait_ms = (deadline - now + TGW_US_PER_MS - 1) / TGW_US_PER_MS;

	if (deadline == INT64_MAX)
		return;
	uv_timer_start(&exchange->timer, on_timer,
		       wait_ms > 0 ? (uint64_t)wait_ms : 1, 0);
}

static void on_timer(uv_timer_t *timer)
{
	struct http_exchange *exchange = timer->data;
	bool sent = exchange->is_complete ||
		    (exchange->conn && exchange->conn->sent);

	if (exchange->ended)
		return;
	if (deadline_us(exchange) > now_us(exchange->client))
		start_timer(exchange);
	else if (!sent)
		end(exchange, HTTP_NOT_CONNECTED,
		    "timed out connecting to the server");
	else
		end(exchange, HTTP_TIMED_OUT,
		    "timed out waiting for the server's response");
}

/* ---- the request ---- */

static void send_on(struct http_exchange *exchange, struct http_conn *conn)
{
	exchange->conn = conn;
	conn->ignore_body = exchange->is_head_request;
	http_conn_send(conn, &response_events, exchange, &exchange->head,
		       exchange->body);
}

static void connect_to(struct http_exchange *exchange,
		       const struct sockaddr *address)
{
	send_on(exchange,
		http_conn_open(event_loop_uv(exchange->client->loop), address));
}

static void on_resolved(uv_getaddrinfo_t *request, int status,
			struct addrinfo *found)
{
	struct http_exchange *exchange = request->data;

	if (!exchange->ended && !status && found)
		connect_to(exchange, found->ai_addr);
	else if (!exchange->ended)
		end(exchange, HTTP_NOT_CONNECTED,
		    "the server's name could not be resolved");
	uv_freeaddrinfo(found);
	exchange_unref(exchange);
}

static void resolve(struct http_exchange *exchange)
{
	const struct addrinfo hints = {.ai_socktype = SOCK_STREAM};
	const struct server *server = exchange->server;

	exchange->resolver_request.data = exchange;
	exchange->references++;
	if (uv_getaddrinfo(event_loop_uv(exchange->client->loop),
			   &exchange->resolver_request, on_resolved,
			   server->host, server->port, &hints) == 0)
		return;
	exchange->references--;
	end(exchange, HTTP_NOT_CONNECTED,
	    "the look-up of the server's name could not start");
}

static void begin(struct http_exchange *exchange)
{
	struct server *server = exchange->server;
	struct loop_client *client = exchange->client;
	struct http_conn *reused = NULL;
	union socket_address address;

	if (!exchange->fresh_connection && !exchange->is_head_request)
		reused = http_pool_acquire(&server->pool, now_us(client));
	if (reused)
		send_on(exchange, reused);
	else if (socket_address_parse(server->authority, &address))
		connect_to(exchange, &address.any);
	else
		resolve(exchange);
}

static void run_start(void *arg)
{
	struct http_exchange *exchange = arg;

	if (!exchange->ended && !exchange->server)
		end(exchange, HTTP_NOT_CONNECTED,
		    "the URL is not http://HOST:PORT/PATH");
	if (!exchange->ended)
		begin(exchange);
	if (!exchange->ended)
		start_timer(exchange);
	exchange_unref(exchange);
}

/* Delivers the bytes again that the handler did not accept. */
static void run_resume(void *arg)
{
	struct http_exchange *exchange = arg;

	if (exchange->ended || !exchange->paused)
		goto done;
	if (!exchange->handler.data(exchange->handler.arg,
				    exchange->undelivered.data,
				    exchange->undelivered.size))
		goto done;
	buffer_free(&exchange->undelivered);
	exchange->paused = false;
	exchange->progress_us = now_us(exchange->client);
	if (exchange->is_complete) {
		end(exchange, HTTP_COMPLETE, "complete");
	} else {
		http_conn_resume(exchange->conn);
		start_timer(exchange);
	}
done:
	exchange_unref(exchange);
}

static void run_cancel(void *arg)
{
	struct http_exchange *exchange = arg;

	if (!exchange->ended)
		end(exchange, HTTP_CANCELLED, "cancelled");
	exchange_unref(exchange);
}

static struct server *find_or_add_server(struct loop_client *client,
					 const char *authority)
{
	const char *colon = strrchr(authority, ':');
	struct server *server;

	LIST_FOREACH(server, &client->servers, link)
	{
		if (!strcmp(server->authority, authority))
			return server;
	}
	server = xcalloc(1, sizeof(*server));
	text_copy(server->authority, sizeof(server->authority), authority);
	snprintf(server->host, sizeof(server->host), "%.*s",
		 (int)(colon - authority), authority);
	text_copy(server->port, sizeof(server->port), colon + 1);
	LIST_INSERT_HEAD(&client->servers, server, link);
	return server;
}

/* @return the path, or NULL if the URL can't be used */
static const char *split_url(const char *url, char authority[AUTHORITY_SIZE])
{
	const char *at = url + strlen(SCHEME);
	size_t length;
	const char *colon;

	if (strncasecmp(url, SCHEME, strlen(SCHEME)))
		return NULL;
	length = strcspn(at, "/?#");
	if (!length || length >= HOST_SIZE)
		return NULL;
	colon = memrchr(at, ':', length);
	if (colon && memchr(colon, ']', (size_t)(at + length - colon)))
		colon = NULL; /* within an IPv6 address */
	if (colon && (size_t)(at + length - colon) > PORT_SIZE)
		return NULL;
	snprintf(authority, AUTHORITY_SIZE, "%.*s%s", (int)length, at,
		 colon ? "" : ":" HTTP_PORT);
	return at[length] ? at + length : "/";
}

static void write_head(struct http_exchange *exchange,
		       const struct http_request *request,
		       const char *authority, const char *path)
{
	struct buffer *head = &exchange->head;
	struct buffer body = {0};
	bool is_get_or_head = !strcmp(request->method, "GET") ||
			      !strcmp(request->method, "HEAD");

	buffer_add_format(head, "%s %s%s HTTP/1.1\r\nHost: %s\r\n",
			  request->method, path[0] == '?' ? "/" : "", path,
			  authority);
	for (size_t i = 0; i < request->header_count; i++)
		buffer_add_format(head, "%s: %s\r\n", request->headers[i].name,
				  request->headers[i].value);
	if (request->body_size || !is_get_or_head)
		buffer_add_format(head, "Content-Length: %zu\r\n",
				  request->body_size);
	buffer_add_text(head, "\r\n");
	if (request->body_size) {
		buffer_add(&body, request->body, request->body_size);
		exchange->body = held_buffer_take(&body, NULL, NULL);
	}
}

static struct http_exchange *start(struct http_sender *sender,
				   const struct http_request *request,
				   struct http_handler handler)
{
	struct loop_client *client = (struct loop_client *)sender;
	struct http_exchange *exchange = xcalloc(1, sizeof(*exchange));
	char authority[AUTHORITY_SIZE];
	const char *path = split_url(request->url, authority);

	exchange->client = client;
	exchange->handler = handler;
	exchange->references = 2; /* of the timer and run_start() */
	exchange->connect_timeout_us =
		request->connect_timeout_us
			? request->connect_timeout_us
			: client->settings.connect_timeout_us;
	exchange->total_timeout_us = request->total_timeout_us;
	exchange->idle_timeout_us = request->idle_timeout_us;
	exchange->fresh_connection = request->fresh_connection;
	exchange->may_resend = request->may_resend;
	exchange->is_head_request = !strcmp(request->method, "HEAD");
	exchange->started_us = now_us(client);
	exchange->progress_us = exchange->started_us;
	uv_timer_init(event_loop_uv(client->loop), &exchange->timer);
	exchange->timer.data = exchange;
	LIST_INSERT_HEAD(&client->exchanges, exchange, link);
	if (path) {
		exchange->server = find_or_add_server(client, authority);
		exchange->server->exchange_count++;
		write_head(exchange, request, authority, path);
	}
	executor_post(event_loop_executor(client->loop), run_start, exchange);
	return exchange;
}

static void resume(struct http_sender *sender, struct http_exchange *exchange)
{
	exchange->references++;
	executor_post(event_loop_executor(exchange->client->loop), run_resume,
		      exchange);
}

static void cancel(struct http_sender *sender, struct http_exchange *exchange)
{
	exchange->references++;
	executor_post(event_loop_executor(exchange->client->loop), run_cancel,
		      exchange);
}

static const struct http_sender_ops loop_client_ops = {
	.start = start,
	.resume = resume,
	.cancel = cancel,
};

/* ---- the client ---- */

static void remove_server(struct server *server)
{
	http_pool_clear(&server->pool);
	LIST_REMOVE(server, link);
	free(server);
}

static void on_trim(uv_timer_t *timer)
{
	struct loop_client *client = timer->data;
	struct server *server = LIST_FIRST(&client->servers);

	while (server) {
		struct server *next = LIST_NEXT(server, link);

		http_pool_trim(&server->pool, now_us(client));
		if (!server->exchange_count &&
		    now_us(client) - server->last_used_us >
			    UNUSED_SERVER_LIMIT_US)
			remove_server(server);
		server = next;
	}
}

struct loop_client_settings loop_client_settings_default(void)
{
	return (struct loop_client_settings){
		.connect_timeout_us = DEFAULT_CONNECT_TIMEOUT_US,
		.idle_connections = DEFAULT_IDLE_CONNECTIONS,
	};
}

struct loop_client *loop_client_new(struct event_loop *loop,
				    const struct loop_client_settings *settings)
{
	struct loop_client *client = xcalloc(1, sizeof(*client));

	client->sender.ops = &loop_client_ops;
	client->loop = loop;
	client->settings = *settings;
	uv_timer_init(event_loop_uv(loop), &client->trim_timer);
	client->trim_timer.data = client;
	uv_timer_start(&client->trim_timer, on_trim, TRIM_INTERVAL_MS,
		       TRIM_INTERVAL_MS);
	uv_unref((uv_handle_t *)&client->trim_timer);
	return client;
}

struct http_sender *loop_client_sender(struct loop_client *client)
{
	return &client->sender;
}

static void on_closed(uv_handle_t *handle)
{
	free(handle->data);
}

void loop_client_free(struct loop_client *client)
{
	struct server *server;
	struct server *next;

	if (!client)
		return;
	while (!LIST_EMPTY(&client->exchanges))
		end(LIST_FIRST(&client->exchanges), HTTP_CANCELLED,
		    "the client was stopped");
	for (server = LIST_FIRST(&client->servers); server; server = next) {
		next = LIST_NEXT(server, link);
		remove_server(server);
	}
	uv_close((uv_handle_t *)&client->trim_timer, on_closed);
}
