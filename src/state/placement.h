/**
 * @file placement.h
 * Chooses the backend server of a request.
 *
 * Loads that it answers: long prompts, whose reading holds up the tokens of
 * all requests beside them, so that short ones keep away from the servers that
 * read them; and many requests that share parts of their prompts, some
 * parts much more often than others. All hosts rank the servers alike by the
 * shared part, without talking to each other, and pass over a server that
 * has clearly more to do than the rest.
 */
#ifndef STATE_PLACEMENT_H
#define STATE_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "state/backend_table.h"

/** What matters of a request. */
struct placement_request {
	const char *service;
	const char *failure_domain; /**< of this host */
	uint64_t affinity;	    /**< hash of the shared parts; 0 for none */
	int64_t prompt_tokens;	    /**< to be read, unless cached */
	uint64_t draw;		    /**< any number; breaks ties */
	const struct backend *const *tried; /**< servers it was sent to */
	uint32_t tried_count;
	int64_t now_us;
};

/** Why no server was chosen. */
enum placement_result {
	PLACEMENT_FOUND,
	PLACEMENT_NO_SERVER, /**< none is listed that takes new requests */
	PLACEMENT_ALL_TRIED, /**< each was tried by this request */
	PLACEMENT_ALL_FULL,  /**< each said lately that it was full */
};

/** @param chosen set when found */
enum placement_result placement_choose(const struct backend_table *table,
				       const struct placement_request *request,
				       struct backend **chosen);

#endif
