/**
 * @file curl_client.h
 * HTTP exchanges by libcurl's multi interface on a few threads. All that
 * belongs to one exchange runs on one of them.
 */
#ifndef TRANSPORT_CURL_CLIENT_H
#define TRANSPORT_CURL_CLIENT_H

#include <stdint.h>

#include "protocol/http.h"

struct curl_client;

struct curl_client_settings {
	int64_t connect_timeout_us; /**< for requests that name none */
	int64_t idle_connections;   /**< kept open at most, for each thread */
	int64_t threads;
};

struct curl_client_settings curl_client_settings_default(void);

/** Starts the client's threads. */
struct curl_client *curl_client_new(
	const struct curl_client_settings *settings);

struct http_sender *curl_client_sender(struct curl_client *client);

/**
 * Ends all exchanges as cancelled, then the thread. No exchange may be
 * started from another thread while this runs.
 */
void curl_client_free(struct curl_client *client);

#endif
