/**
 * @file standin_http.h
 * The HTTP server of the platform, engine and service stand-ins.
 */
#ifndef STANDINS_COMMON_STANDIN_HTTP_H
#define STANDINS_COMMON_STANDIN_HTTP_H

#include <jansson.h>
#include <microhttpd.h>
#include <stdint.h>

#include "base/buffer.h"

/** One HTTP request with its complete body. */
struct standin_call {
	struct MHD_Connection *connection;
	const char *method;
	char *path;
	struct buffer body;
};

/** How a server listens and which function serves requests. */
struct standin_http {
	uint16_t port;	       /**< 0 picks a free one */
	const char *port_file; /**< NULL for none */
	/** 0 for one thread per connection, so that serve() may block. */
	unsigned int pool_threads;
	/** Replies with a standin_reply_...(), or returns MHD_NO to close the
	 * connection without a reply. */
	enum MHD_Result (*serve)(void *arg, struct standin_call *call);
	void *arg;
};

/** Listens, prints "port N" and serves until SIGTERM or SIGINT. */
void standin_http_run(const struct standin_http *http);

/** Replies with a JSON value and releases it. */
enum MHD_Result standin_reply_json(struct standin_call *call, int status,
				   json_t *value);

/** Replies with {"error": text}. */
enum MHD_Result standin_reply_error(struct standin_call *call, int status,
				    const char *text);

/** Replies with a stream; the response then owns arg and frees it by
 * release(). */
enum MHD_Result standin_reply_stream(struct standin_call *call,
				     const char *content_type,
				     MHD_ContentReaderCallback read, void *arg,
				     MHD_ContentReaderFreeCallback release);

/** @return the value of a request header, or NULL */
const char *standin_header(const struct standin_call *call, const char *name);

/** @return the number in a header or query argument, or the fallback when it is
 * missing */
int64_t standin_number(const struct standin_call *call, enum MHD_ValueKind kind,
		       const char *name, int64_t fallback);

/** Monotonic time in microseconds. */
int64_t standin_now_us(void);

void standin_sleep_us(int64_t duration_us);

#endif
