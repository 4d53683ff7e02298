/**
 * @file caller_request.h
 * Parses the path and headers of a caller's request and checks them against the
 * settings and the template of the caller's team.
 */
#ifndef DAEMON_CALLER_REQUEST_H
#define DAEMON_CALLER_REQUEST_H

#include <stdbool.h>
#include <stdint.h>

#include "daemon/settings.h"
#include "protocol/problem.h"
#include "tamarackgw/config_snapshot.h"
#include "transport/http_server.h"

#define CALLER_PATH_SIZE 512

/** Valid only within the RCU read-side section in which the configuration was
 * read. */
struct caller_request {
	const struct tgw_team *team;
	const char *idempotency_key; /**< the Idempotency-Key; NULL for none */
	enum tgw_urgency urgency;
	int64_t deadline_ms; /**< from now */
};

bool caller_request_is_chat(const char *target);
bool caller_request_is_service(const char *target);
bool caller_request_is_ticket(const char *target);

/** @return the API key of the Authorization header, or NULL */
const char *caller_request_bearer(struct server_exchange *exchange);

/**
 * Splits a target of the form /services/NAME/PATH.
 * @param name receives the service's name
 * @return the path and query to send to the service, or NULL if the target does
 * not have this form, the name is too long, the path has a "." or ".." segment,
 * or the target holds a '#', a space or a byte that is not printable ASCII
 */
const char *caller_request_service_path(const char *target,
					char name[TGW_NAME_SIZE]);

/** Copies the path without the query, truncated to CALLER_PATH_SIZE. */
void caller_request_copy_path(const char *target, char path[CALLER_PATH_SIZE]);

/** Parses and checks a request.
 * @return false with the problem set if the request is refused */
bool caller_request_read(struct caller_request *request,
			 struct server_exchange *exchange,
			 const struct tgw_config_snapshot *config,
			 const struct settings *settings,
			 struct problem *problem);

#endif
