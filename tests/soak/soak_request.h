/**
 * @file soak_request.h
 * What callers asked for and what backend servers and callers saw of it. All
 * servers answer a request with the same bytes, derived from its number.
 */
#ifndef SOAK_REQUEST_H
#define SOAK_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"

#define SOAK_INPUT_TOKENS 100 /**< of each stream */
/** Output tokens of each event of a stream. */
#define SOAK_EVENT_TOKENS 4

enum soak_kind {
	SOAK_SAFE,
	SOAK_UNSAFE,
	SOAK_STREAM, /**< may run once */
	SOAK_RESUME, /**< a stream that may be resumed */
	/** On the route, or by the key, that only one version of the
	 * configuration has. */
	SOAK_VERSION_ROUTE,
	SOAK_VERSION_KEY,
	SOAK_KINDS,
};

struct soak_host;
struct soak_server;

struct soak_request {
	unsigned int number; /**< its id */
	enum soak_kind kind;
	const char *team; /**< or NULL, on a public route */
	long version;	  /**< of the configuration that it needs, or 0 */
	struct soak_host *host;
	unsigned int host_start; /**< number of the host's process */
	int64_t sent_us;
	bool uses_link; /**< came through the proxy before its host */
	const struct soak_server *server; /**< that it reached last */
	unsigned int arrivals;
	unsigned int runs;
	bool may_break;	       /**< a server broke off, or was cut off */
	bool failed_by_server; /**< a server answered 500 */
	bool refused;	       /**< the caller was told that it has not run */
	unsigned int events;   /**< that reached the caller */
	/** What the server that it reached last did. */
	int64_t arrived_us;
	size_t answer_sent;	 /**< bytes, with the head */
	int64_t answered_us;	 /**< it was complete then; 0: not yet */
	const char *pause_point; /**< of its silence, or NULL */
	unsigned int pause_ms;
};

/** All requests of a run, by number. */
struct soak_requests {
	struct soak_request **list;
	size_t count;
	size_t capacity;
};

struct soak_request *soak_requests_add(struct soak_requests *requests);

/** @return NULL if no caller sent it */
struct soak_request *soak_requests_find(const struct soak_requests *requests,
					const char *id);

bool soak_request_is_stream(const struct soak_request *request);
bool soak_request_may_repeat(const struct soak_request *request);

/** @return events of a complete stream; their ids begin with 0 */
unsigned int soak_request_event_count(const struct soak_request *request);

/** Writes the path to which the caller sends it. */
void soak_request_path(const struct soak_request *request, struct buffer *text);

/** Writes the body that the caller sends; it may be empty. */
void soak_request_body(const struct soak_request *request, struct buffer *text);

/** Writes one event of the response to a stream. */
void soak_request_event(const struct soak_request *request, unsigned int index,
			struct buffer *text);

/** Writes the whole body of the response. */
void soak_request_answer(const struct soak_request *request,
			 struct buffer *text);

#endif
