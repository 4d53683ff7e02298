/**
 * @file model_call.h
 * A chat completion from its admission to its settlement.
 */
#ifndef DAEMON_MODEL_CALL_H
#define DAEMON_MODEL_CALL_H

#include "daemon/call.h"
#include "protocol/chat_request.h"

/** What a request's head and body say. */
struct model_call_input {
	const struct tgw_team *team;
	const char *idempotency_key; /**< NULL for none */
	enum tgw_urgency urgency;
	int64_t deadline_ms; /**< from now */
	const struct chat_request *chat;
	const char *body;
	size_t body_size;
};

/** @return a call for call_admit(); any thread */
struct call *model_call_new(struct gateway_core *core,
			    const struct model_call_input *input);

#endif
