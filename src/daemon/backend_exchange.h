/**
 * @file backend_exchange.h
 * An exchange with a backend server. Its bytes are handed over as they come;
 * its end is told later, by a function of its own on the loop.
 */
#ifndef DAEMON_BACKEND_EXCHANGE_H
#define DAEMON_BACKEND_EXCHANGE_H

#include "base/executor.h"
#include "protocol/http.h"

struct backend_exchange;

/** What becomes of the bytes that were handed over. */
enum backend_data {
	BACKEND_TAKEN,
	BACKEND_PAUSE, /**< they come again after a resume */
	BACKEND_STOP,  /**< no more is wanted: the exchange is cancelled */
};

struct backend_exchange_ops {
	/** As for struct http_handler. */
	void (*started)(void *arg, int32_t status, const char *content_type);
	enum backend_data (*data)(void *arg, struct backend_exchange *exchange,
				  const void *data, size_t size);
	/** After the last byte; may be NULL. */
	void (*closing)(void *arg);
	/** Later than closing(); the exchange is gone afterwards. */
	void (*ended)(void *arg, enum http_outcome outcome);
};

struct backend_exchange *backend_exchange_start(
	struct http_sender *sender, struct executor *coordination,
	const struct http_request *request,
	const struct backend_exchange_ops *ops, void *arg);

/** Until ended(), which still comes. */
void backend_exchange_cancel(struct backend_exchange *exchange);

/** Goes on after a pause; until closing(). */
void backend_exchange_resume(struct backend_exchange *exchange);

#endif
