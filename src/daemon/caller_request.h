/**
 * @file caller_request.h
 * What a caller's path and headers say, checked against its team.
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

/** Valid inside the read-side section that the configuration came from. */
struct caller_request {
	const struct tgw_team *team;
	const char *caller_key; /**< NULL for none */
	enum tgw_urgency urgency;
	int64_t deadline_ms; /**< from now */
};

bool caller_request_is_chat(const char *target);
bool caller_request_is_service(const char *target);
bool caller_request_is_ticket(const char *target);

/** @return the caller's key, or NULL */
const char *caller_request_bearer(struct server_exchange *exchange);

/**
 * Splits a service's target.
 * @param name receives the service's name
 * @return the path and query for the service, or NULL when it is no such
 */
const char *caller_request_service_path(const char *target,
					char name[TGW_NAME_SIZE]);

/** Copies the path without the query, cut off at the room that there is. */
void caller_request_plain_path(const char *target, char path[CALLER_PATH_SIZE]);

/** @return false with the problem set */
bool caller_request_read(struct caller_request *request,
			 struct server_exchange *exchange,
			 const struct tgw_config_snapshot *config,
			 const struct settings *settings,
			 struct problem *problem);

#endif
