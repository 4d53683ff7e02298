/**
 * @file backend_fetch.h
 * An exchange with a backend server that collects the whole response, up to a
 * size limit.
 */
#ifndef DAEMON_BACKEND_FETCH_H
#define DAEMON_BACKEND_FETCH_H

#include "base/buffer.h"
#include "daemon/backend_exchange.h"

#define FETCH_CONTENT_TYPE_SIZE 128

/** Valid only during the callback. */
struct backend_fetch_result {
	enum http_outcome outcome;
	bool too_large; /**< over the limit; outcome is HTTP_CANCELLED */
	int32_t status;
	const char *content_type;
	const char *body;
	size_t body_size;
};

struct backend_fetch;

/** @param max_bytes limit on the body
 * @param done runs on the coordination thread, exactly once */
struct backend_fetch *backend_fetch_start(
	struct http_sender *sender, struct executor *coordination,
	const struct http_request *request, size_t max_bytes,
	void (*done)(void *arg, const struct backend_fetch_result *result),
	void *arg);

/** Cancels the exchange; done() is still called. May be called until then. */
void backend_fetch_cancel(struct backend_fetch *fetch);

#endif
