/**
 * @file service_call.h
 * A call to a plain service: at most once, unless the configuration says
 * that it may be repeated.
 */
#ifndef DAEMON_SERVICE_CALL_H
#define DAEMON_SERVICE_CALL_H

#include "daemon/call.h"

/** What a request's head and body say. Copied. */
struct service_call_input {
	const struct tgw_team *team;
	const struct tgw_service *service;
	const char *idempotency_key; /**< NULL for none */
	enum tgw_urgency urgency;
	int64_t deadline_ms; /**< from now */
	const char *method;
	const char *path;	  /**< with the query, starts with '/' */
	const char *content_type; /**< NULL for none */
	const char *accept;	  /**< NULL for none */
	const char *body;
	size_t body_size;
};

/** @return a call for call_admit(); any thread */
struct call *service_call_new(struct gateway_core *core,
			      const struct service_call_input *input);

#endif
