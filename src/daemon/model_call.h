/**
 * @file model_call.h
 * A chat completion call, from its admission to its settlement.
 */
#ifndef DAEMON_MODEL_CALL_H
#define DAEMON_MODEL_CALL_H

#include "daemon/call.h"
#include "protocol/chat_request.h"

/** The parsed head and body of a request. Read only by model_call_new(). */
struct model_call_input {
	const struct tgw_team *team;
	const char *idempotency_key; /**< NULL for none */
	enum tgw_urgency urgency;
	int64_t deadline_ms; /**< from now */
	const struct chat_request *chat;
	const char *body;
	size_t body_size;
};

/** May be called on any thread.
 * @return a call, to be passed to call_admit() */
struct call *model_call_new(struct gateway_core *core,
			    const struct model_call_input *input);

#endif
