/**
 * @file soak_checks.h
 * The promises, checked when a server runs a request and when a caller's
 * request ends.
 */
#ifndef SOAK_CHECKS_H
#define SOAK_CHECKS_H

#include <stdbool.h>

#include "protocol/http_head.h"
#include "soak/soak.h"

/** What a caller has received of a response. */
struct soak_response {
	int status; /**< 0: none */
	bool signed_by_server;
	bool complete;
	bool id_matches;
	struct buffer body;
};

struct server_request;

/** A server has received a request. @return NULL if no caller sent it */
struct soak_request *soak_checks_arrival(struct soak *soak,
					 const struct soak_server *server,
					 const struct server_request *received);

/** A server begins to run a request. */
void soak_checks_run(struct soak *soak, struct soak_request *request);

/** The caller's request has ended, by a response, a closed connection, or as it
 * waited too long. */
void soak_checks_end(struct soak *soak, struct soak_request *request,
		     const struct soak_response *response);

/** Counts the events of a stream that the caller has received so far; its team
 * pays for them. */
void soak_checks_events(struct soak *soak, struct soak_request *request,
			const struct buffer *body);

#endif
