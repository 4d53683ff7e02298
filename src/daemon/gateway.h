/**
 * @file gateway.h
 * The HTTP interface for callers: accepts requests and turns them into calls.
 */
#ifndef DAEMON_GATEWAY_H
#define DAEMON_GATEWAY_H

#include "base/buffer.h"
#include "daemon/runtime.h"

struct gateway;

/** Serves requests of operators and the platform on the caller address. */
struct gateway_pages {
	/** Serves one request.
	 * @param authorization value of the header, or NULL
	 * @param answer receives the response body
	 * @param content_type may be set; text/plain by default
	 * @return the HTTP status, or 0 if no page has this path and method */
	int32_t (*serve)(void *arg, const char *method, const char *path,
			 const char *authorization, const char *body,
			 size_t body_size, struct buffer *answer,
			 const char **content_type);
	void *arg;
};

/** Starts listening on the caller address.
 * @return NULL with the error set on failure */
struct gateway *gateway_new(struct runtime *runtime, struct gateway_pages pages,
			    struct tgw_error *error);

/** @return the port that the gateway listens on, also if the settings give
 * port 0 */
uint16_t gateway_port(const struct gateway *gateway);

/** Refuses new API requests from now on and disables keep-alive; open requests
 * continue. */
void gateway_stop_accepting(struct gateway *gateway);

/** @return whether callers still have to be sent parts of responses that are
 * complete here */
bool gateway_is_writing(const struct gateway *gateway);

/** Closes the connections at once. The memory is freed later, by a function
 * posted to the coordination thread. */
void gateway_free(struct gateway *gateway);

/** Adds the gateway's counters in the Prometheus text format. */
void gateway_write_metrics(const struct gateway *gateway, struct buffer *text);

#endif
