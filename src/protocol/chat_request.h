/**
 * @file chat_request.h
 * A caller's chat-completions request: parsed, checked, measured, and
 * rewritten for the engine.
 */
#ifndef PROTOCOL_CHAT_REQUEST_H
#define PROTOCOL_CHAT_REQUEST_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"
#include "tamarackgw/router.h"
#include "tamarackgw/status.h"

#define CHAT_PREFIX_BLOCK_BYTES 256

struct chat_request {
	char model[TGW_NAME_SIZE];
	bool stream; /**< the caller requested an event stream */
	/** Token limit in the request; 0 for none. The field
	 * max_completion_tokens takes precedence over max_tokens. */
	int64_t max_tokens;
	/** Size of the prompt's text. It is an upper bound of the prompt's
	 * tokens, without those that the chat template adds. */
	int64_t prompt_bytes;
	size_t prefix_count;
	uint64_t prefix_hashes[TGW_PREFIX_HASHES_MAX];
	void *document; /**< parsed JSON, private to this module */
};

/** Parses and checks a body. The error message for the caller names the field
 * and the remedy. */
enum tgw_status chat_request_parse(struct chat_request *request,
				   const char *body, size_t body_size,
				   struct tgw_error *error);

void chat_request_clear(struct chat_request *request);

/**
 * Builds the request body for the engine. It always requests a stream and
 * the usage.
 * @return text without a priority, to be released with free()
 */
char *chat_request_for_engine(const struct chat_request *request,
			      int64_t max_tokens);

/**
 * Adds a priority to a body of chat_request_for_engine(), for one attempt.
 * @param priority in the engine's queue; 0 is served first
 * @return text to be released with free()
 */
char *chat_request_with_priority(const char *body, int32_t priority);

#endif
