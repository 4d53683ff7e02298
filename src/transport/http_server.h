/**
 * @file http_server.h
 * The HTTP server for callers on the event loop, with limits on everything
 * that a caller sends. All functions run on the loop's thread, unless they are
 * marked as thread-safe.
 */
#ifndef TRANSPORT_HTTP_SERVER_H
#define TRANSPORT_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/status.h"
#include "transport/answer.h"
#include "transport/event_loop.h"
#include "transport/server_conn.h"

struct http_server;

/** A request in progress, and its response. */
struct server_exchange;

struct http_server_settings {
	const char *address; /**< IP address and port; port 0 for any */
	int64_t max_connections;
	/** Memory of the host in MB, and the percentage of it that requests may
	 * take together; with 0 percent they have no such limit. */
	int64_t memory_mb;
	int64_t request_memory_percent;
	int64_t max_body_bytes;
	int64_t max_header_bytes;
	int64_t stall_room_ms; /**< see struct server_limits */
	int64_t framing_bytes; /**< see struct server_limits */
	int64_t discard_bytes; /**< see struct server_limits */
	/** Maximum time that a caller may take to send a complete request, to
	 * accept the next bytes of a response, or to begin the next request. */
	int64_t caller_idle_us;
	/** Interval between calls of tick(). */
	int64_t tick_us;
};

struct http_server_handler {
	/**
	 * The head of a request was received.
	 * @return false when the response is set and the body is not needed
	 */
	bool (*head)(void *arg, struct server_exchange *exchange);
	/** The request is complete. The response may be set now or later. */
	void (*request)(void *arg, struct server_exchange *exchange);
	/** The body exceeds the limit: the response has to be set now. */
	void (*too_large)(void *arg, struct server_exchange *exchange);
	/** There is no room for the body in the host's memory: the response
	 * has to be set now. */
	void (*no_room)(void *arg, struct server_exchange *exchange);
	/** Called once for each head(): the exchange has ended, with its
	 * response or because the connection is closed. */
	void (*closed)(void *arg, struct server_exchange *exchange);
	/** Called periodically. */
	void (*tick)(void *arg);
	void *arg;
};

/** @return NULL with the error set when it can't listen on the address */
struct http_server *http_server_new(struct event_loop *loop,
				    const struct http_server_settings *settings,
				    const struct http_server_handler *handler,
				    struct tgw_error *error);

/** What the server holds and has closed. */
struct http_server_figures {
	int64_t held_bytes;	 /**< memory that callers' requests take */
	int64_t held_peak_bytes; /**< the most since the start */
	/** Closed connections, by enum server_close_reason. */
	uint64_t closes[SERVER_CLOSE_REASONS];
};

/** Thread-safe. The memory is that of the last request or close. */
struct http_server_figures http_server_figures(
	const struct http_server *server);

uint16_t http_server_port(const struct http_server *server);

/** From now on, connections are closed after their next response.
 * Thread-safe. */
void http_server_disable_keep_alive(struct http_server *server);

/** @return whether some connection has bytes of a response to write, also of
 * one that is complete here. To be called on the loop's thread. */
bool http_server_is_writing(const struct http_server *server);

/** Aborts all connections and frees the server. */
void http_server_free(struct http_server *server);

/* Thread-safe. */
uint64_t http_server_bytes_sent(const struct http_server *server);
int64_t http_server_connections(const struct http_server *server);

/* A handler's access to an exchange, which is valid until closed() returns. */

const char *server_exchange_method(const struct server_exchange *exchange);

/** @return the path and query as the caller sent them */
const char *server_exchange_target(const struct server_exchange *exchange);

/** @return the value, or NULL when the caller sent none */
const char *server_exchange_header(struct server_exchange *exchange,
				   const char *name);

const char *server_exchange_body(const struct server_exchange *exchange,
				 size_t *size);

/** @return the response of this exchange; the exchange holds a reference */
struct answer *server_exchange_answer(struct server_exchange *exchange);

void server_exchange_set_context(struct server_exchange *exchange,
				 void *context);
void *server_exchange_context(const struct server_exchange *exchange);

#endif
