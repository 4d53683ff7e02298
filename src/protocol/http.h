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
	HTTP_COMPLETE,	    /**< the complete response was received */
	HTTP_NOT_CONNECTED, /**< no byte of the request was sent */
	HTTP_BROKEN,	    /**< failed after bytes may have been sent */
	HTTP_TIMED_OUT,	    /**< as HTTP_BROKEN, because a timeout expired */
	HTTP_CANCELLED, /**< ended by http_cancel(), or the sender was freed */
};

struct http_header {
	const char *name;
	const char *value;
};

/** A request. http_start() copies all of it. */
struct http_request {
	const char *method;
	const char *url;
	size_t header_count;
	struct http_header headers[HTTP_HEADERS_MAX];
	const void *body;
	size_t body_size;
	int64_t connect_timeout_us; /**< 0 for the sender's default */
	int64_t total_timeout_us;   /**< 0 for none */
	int64_t idle_timeout_us; /**< maximum time without a byte; 0 for none */
	/** Open a new connection instead of reusing one that the server may be
	 * closing. */
	bool fresh_connection;
	/** The request may be sent again when a reused connection fails before
	 * a response was received. */
	bool may_resend;
};

/** Receiver of a response. Its functions are never called from inside a call
 * of the sender. */
struct http_handler {
	/** The head of the response was received. */
	void (*started)(void *arg, int32_t status, const char *content_type);
	/** @return false to pause; http_resume() delivers the same bytes
	 * again, followed by those received since */
	bool (*data)(void *arg, const void *data, size_t size);
	/** Called once, as the last call. The exchange must not be used
	 * afterwards. */
	void (*ended)(void *arg, enum http_outcome outcome,
		      const char *message);
	void *arg;
};

/** An exchange in flight. */
struct http_exchange;

struct http_sender;

struct http_sender_ops {
	struct http_exchange *(*start)(struct http_sender *sender,
				       const struct http_request *request,
				       struct http_handler handler);
	/** Must not be called after ended(). */
	void (*resume)(struct http_sender *sender,
		       struct http_exchange *exchange);
	/** Must not be called after ended(); ended() still follows. */
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
