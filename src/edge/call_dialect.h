/**
 * @file call_dialect.h
 * What requests and answers say in their heads, as far as the edge decides
 * by it. A dialect decodes and writes the field names of one interface.
 */
#ifndef EDGE_CALL_DIALECT_H
#define EDGE_CALL_DIALECT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "protocol/http_head.h"
#include "state/backend_table.h"

#define CALL_ID_SIZE 80
#define CALL_KEY_SIZE 128

/** What a caller's head asks for. */
struct call_terms {
	char id[CALL_ID_SIZE]; /**< of this attempt of the caller; may be "" */
	char key[CALL_KEY_SIZE]; /**< API key; "" for none */
	int64_t deadline_ms;	 /**< the caller waits this long; 0: unsaid */
	int64_t input_tokens;	 /**< of the prompt; 0 for no model */
	int64_t output_tokens;	 /**< at most */
	uint64_t shared_parts;	 /**< hash of what others share; 0: none */
	bool resumes;		 /**< goes on after an earlier event */
};

/** What the edge says to a backend server beside the caller's head. */
struct attempt_terms {
	const char *server_id;
	const char *team;      /**< NULL for none */
	int64_t left_ms;       /**< until the caller's deadline; 0: unsaid */
	int32_t urgency;       /**< 0 is first */
	bool is_model;	       /**< the server is a model engine */
	int64_t last_event_id; /**< resume after it; -1: from the start */
};

/** What an answer's head says. */
struct answer_terms {
	bool other_request; /**< answers another request */
	bool signed_answer; /**< bears the server's signature */
	bool not_run;	    /**< the server did not run the request */
	bool mistaken;	    /**< the server is not the one that was meant */
	bool has_load;
	struct backend_load load;
};

struct call_dialect {
	void (*read_request)(const struct http_head *head,
			     struct call_terms *terms);
	/** @return whether a caller's field goes on to the server */
	bool (*passes_on)(const char *field);
	/** Appends the fields of an attempt. */
	void (*write_attempt)(struct buffer *fields,
			      const struct attempt_terms *terms);
	void (*read_answer)(const struct http_head *head, int status,
			    const char *request_id, struct answer_terms *terms);
	/** Appends the fields of the edge's own refusal.
	 * @param retry_after_ms 0 for none */
	void (*write_refusal)(struct buffer *fields, int64_t retry_after_ms);
};

#endif
