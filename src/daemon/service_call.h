/**
 * @file service_call.h
 * A call to a plain service. The service runs it at most once, unless the
 * configuration says that it may be repeated.
 */
#ifndef DAEMON_SERVICE_CALL_H
#define DAEMON_SERVICE_CALL_H

#include "daemon/call.h"

/** The parsed head and body of a request. Copied by service_call_new(). */
struct service_call_input {
	const struct tgw_team *team;
	const struct tgw_service *service;
	const char *idempotency_key; /**< NULL for none */
	enum tgw_urgency urgency;
	int64_t deadline_ms; /**< from now */
	const char *method;
	const char *path;	  /**< includes the query; starts with '/' */
	const char *content_type; /**< NULL for none */
	const char *accept;	  /**< NULL for none */
	const char *body;
	size_t body_size;
};

/** May be called on any thread.
 * @return a call, to be passed to call_admit() */
struct call *service_call_new(struct gateway_core *core,
			      const struct service_call_input *input);

#endif
