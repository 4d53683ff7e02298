/**
 * @file http_server.h
 * The callers' HTTP interface on the event loop, with limits on everything
 * that a caller sends. All functions run on the loop's thread, unless they
 * say otherwise.
 */
#ifndef TRANSPORT_HTTP_SERVER_H
#define TRANSPORT_HTTP_SERVER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/status.h"
#include "transport/answer.h"
#include "transport/event_loop.h"

struct http_server;

/** A request under way. */
struct server_exchange;

struct http_server_settings {
	const char *address; /**< IP number and port; port 0 for any */
	int64_t max_connections;
	int64_t max_body_bytes;
	int64_t max_header_bytes;
	/** Longest wait for a caller: to send a request whole, to take the
	 * next bytes of an answer, or between requests. */
	int64_t caller_idle_us;
	/** Longest time between calls of tick(). */
	int64_t tick_us;
};

struct http_server_handler {
	/**
	 * The head of a request came.
	 * @return false when the answer was set: the body is not wanted
	 */
	bool (*head)(void *arg, struct server_exchange *exchange);
	/** The body came, too. The answer may be set now or later. */
	void (*request)(void *arg, struct server_exchange *exchange);
	/** The body is over the limit: set the answer now. */
	void (*too_large)(void *arg, struct server_exchange *exchange);
	/** Comes once for each head(): the exchange is over, by an answer
	 * or by a caller that went away. */
	void (*closed)(void *arg, struct server_exchange *exchange);
	/** Comes from time to time. */
	void (*tick)(void *arg);
	void *arg;
};

/** @return NULL with the error set when the address can't be had */
struct http_server *http_server_new(struct event_loop *loop,
				    const struct http_server_settings *settings,
				    const struct http_server_handler *handler,
				    struct tgw_error *error);

uint16_t http_server_port(const struct http_server *server);

/** Connections are closed after their next answer from now on. Any thread. */
void http_server_stop_keeping_alive(struct http_server *server);

/** Cuts off what is open and releases all. */
void http_server_free(struct http_server *server);

/* Any thread. */
uint64_t http_server_bytes_sent(const struct http_server *server);
int64_t http_server_connections(const struct http_server *server);

/* What a handler sees of an exchange. Valid until closed() returned. */

const char *server_exchange_method(const struct server_exchange *exchange);

/** @return the path and query as the caller sent them */
const char *server_exchange_target(const struct server_exchange *exchange);

/** @return the value, or NULL when the caller sent none */
const char *server_exchange_header(struct server_exchange *exchange,
				   const char *name);

const char *server_exchange_body(const struct server_exchange *exchange,
				 size_t *size);

/** @return the answer of this exchange; the exchange holds a reference */
struct answer *server_exchange_answer(struct server_exchange *exchange);

void server_exchange_set_context(struct server_exchange *exchange,
				 void *context);
void *server_exchange_context(const struct server_exchange *exchange);

#endif
