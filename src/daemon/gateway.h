/**
 * @file gateway.h
 * The callers' side: takes requests over HTTP and sees each to its end.
 */
#ifndef DAEMON_GATEWAY_H
#define DAEMON_GATEWAY_H

#include "base/buffer.h"
#include "daemon/runtime.h"

struct gateway;

/** Answers operators' and the platform's requests on the caller address. */
struct gateway_pages {
	/** Fills in the answer.
	 * @return the HTTP status, 0 when the path is not one of these */
	int32_t (*serve)(void *arg, const char *method, const char *path,
			 const char *authorization, const char *body,
			 size_t body_size, struct buffer *answer,
			 const char **content_type);
	void *arg;
};

/** Starts to listen. @return NULL with the error set when it can't */
struct gateway *gateway_new(struct runtime *runtime, struct gateway_pages pages,
			    struct tgw_error *error);

/** The port that callers reach, also when the settings said port 0. */
uint16_t gateway_port(const struct gateway *gateway);

/** Takes no new requests; the open ones go on. */
void gateway_stop_accepting(struct gateway *gateway);

/** Ends what is left, then releases all. */
void gateway_free(struct gateway *gateway);

/** Adds the gateway's counters in the Prometheus text format. */
void gateway_write_metrics(const struct gateway *gateway, struct buffer *text);

#endif
