/**
 * @file backend_exchange.h
 * An HTTP exchange with a backend server. The bytes of the response are passed
 * on as they arrive. The end is reported by a function that is posted to the
 * coordination thread.
 */
#ifndef DAEMON_BACKEND_EXCHANGE_H
#define DAEMON_BACKEND_EXCHANGE_H

#include "base/executor.h"
#include "protocol/http.h"

struct backend_exchange;

/** What happens to the bytes that were passed to data(). */
enum backend_data_result {
	BACKEND_CONSUMED, /**< processed */
	BACKEND_PAUSE,	  /**< not processed; passed again after a resume */
	BACKEND_STOP,	  /**< no more bytes are needed: cancels the exchange */
};

struct backend_exchange_ops {
	/** As in struct http_handler. */
	void (*started)(void *arg, int32_t status, const char *content_type);
	enum backend_data_result (*data)(void *arg,
					 struct backend_exchange *exchange,
					 const void *data, size_t size);
	/** Called after the last byte; may be NULL. */
	void (*closing)(void *arg);
	/** Called after closing(); the exchange is freed when it returns. */
	void (*ended)(void *arg, enum http_outcome outcome);
};

struct backend_exchange *backend_exchange_start(
	struct http_sender *sender, struct executor *coordination,
	const struct http_request *request,
	const struct backend_exchange_ops *ops, void *arg);

/** Cancels the exchange; ended() is still called. May be called until then. */
void backend_exchange_cancel(struct backend_exchange *exchange);

/** Continues after a pause. Has no effect between closing() and ended(). */
void backend_exchange_resume(struct backend_exchange *exchange);

#endif
