/**
 * @file loop_client.h
 * An HTTP client on the event loop. All functions and handlers run on the
 * loop's thread; no handler is called from inside a call of the sender.
 */
#ifndef TRANSPORT_LOOP_CLIENT_H
#define TRANSPORT_LOOP_CLIENT_H

#include <stdint.h>

#include "protocol/http.h"
#include "transport/event_loop.h"

struct loop_client;

struct loop_client_settings {
	int64_t connect_timeout_us; /**< for requests that set none */
	uint32_t idle_connections;  /**< maximum kept per server */
};

struct loop_client_settings loop_client_settings_default(void);

struct loop_client *loop_client_new(
	struct event_loop *loop, const struct loop_client_settings *settings);

struct http_sender *loop_client_sender(struct loop_client *client);

/** Ends all exchanges with HTTP_CANCELLED. */
void loop_client_free(struct loop_client *client);

#endif
