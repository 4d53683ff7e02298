/**
 * @file http.h
 * HTTP exchanges towards backend servers, the platform and other hosts, as
 * the protocol layer sees them. The transport layer implements the sender.
 */
#ifndef PROTOCOL_HTTP_H
#define PROTOCOL_HTTP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define HTTP_HEADERS_MAX 24

/** How an exchange ended. */
enum http_outcome {
	HTTP_COMPLETE,	    /**< the whole answer came */
	HTTP_NOT_CONNECTED, /**< no byte of the request was sent */
	HTTP_BROKEN,	    /**< cut off after bytes may have been sent */
	HTTP_TIMED_OUT,	    /**< as BROKEN, by a time limit */
	HTTP_WAS_CANCELLED, /**< by http_cancel() */
};

struct http_header {
	const char *name;
	const char *value;
};

/** A request; everything is copied by http_start(). */
struct http_request {
	const char *method;
	const char *url;
	size_t header_count;
	struct http_header headers[HTTP_HEADERS_MAX];
	const void *body;
	size_t body_size;
	int64_t connect_timeout_us; /**< 0 for the sender's default */
	int64_t total_timeout_us;   /**< 0 for none */
	int64_t idle_timeout_us;    /**< longest silence; 0 for none */
	/** Don't reuse a connection that the server may be closing. */
	bool fresh_connection;
	/** May be sent again when a reused connection turns out dead. */
	bool may_resend;
};

/** Receiver of an answer; never called from inside a call of the sender. */
struct http_handler {
	/** The head of the answer came. Header look-up is by lower case. */
	void (*started)(void *arg, int32_t status, const char *content_type);
	/** @return false to pause; the same bytes come again on resume */
	bool (*data)(void *arg, const void *data, size_t size);
	/** Called once, last. The exchange is gone afterwards. */
	void (*ended)(void *arg, enum http_outcome outcome,
		      const char *message);
	void *arg;
};

/** An exchange under way. */
struct http_exchange;

struct http_sender;

struct http_sender_ops {
	struct http_exchange *(*start)(struct http_sender *sender,
				       const struct http_request *request,
				       struct http_handler handler);
	/** Until ended() was called. */
	void (*resume)(struct http_sender *sender,
		       struct http_exchange *exchange);
	/** Until ended() was called; ended() still comes. */
	void (*cancel)(struct http_sender *sender,
		       struct http_exchange *exchange);
};

/** A sender; implementations embed it as their first member. */
struct http_sender {
	const struct http_sender_ops *ops;
};

static inline struct http_exchange *http_start(
	struct http_sender *sender, const struct http_request *request,
	struct http_handler handler)
{
	return sender->ops->start(sender, request, handler);
}

static inline void http_resume(struct http_sender *sender,
			       struct http_exchange *exchange)
{
	sender->ops->resume(sender, exchange);
}

static inline void http_cancel(struct http_sender *sender,
			       struct http_exchange *exchange)
{
	sender->ops->cancel(sender, exchange);
}

#endif
