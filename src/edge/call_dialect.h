/**
 * @file call_dialect.h
 * The information in the heads of requests and responses that the edge acts on.
 * A dialect decodes and writes the header fields of one platform's interface.
 */
#ifndef EDGE_CALL_DIALECT_H
#define EDGE_CALL_DIALECT_H

#include <stdbool.h>
#include <stdint.h>

#include "base/buffer.h"
#include "protocol/http_head.h"
#include "state/backend_table.h"
#include "state/ledger_bucket.h"
#include "state/prompt_parts.h"

#define CALL_ID_SIZE 80
/** More than any budget has; stands for all greater numbers. */
#define REQUEST_TOKENS_MAX (LEDGER_TOKENS_MAX + 1)
#define RESPONSE_UNREADABLE_SIZE 80

/** What the edge reads from the head of a caller's request. */
struct request_info {
	char id[CALL_ID_SIZE]; /**< for the log: its beginning; may be empty */
	uint64_t id_hash;      /**< of the whole id; 0 for none */
	int64_t deadline_ms;   /**< how long the caller waits; 0 if unknown */
	int64_t input_tokens;  /**< of the prompt; 0 without a model */
	int64_t output_tokens; /**< maximum of the response */
	/** Hash of the start of the prompt that other requests may share; 0 for
	 * none. */
	uint64_t shared_prefix_hash;
	struct prompt_parts parts; /**< of the prompt, in its order */
	char model[TGW_NAME_SIZE]; /**< short; empty for none */
	bool resumes; /**< resumes a stream after an earlier event */
};

/** What the edge adds to the caller's head for a backend server. */
struct attempt_info {
	const char *server_id;
	const char *team;      /**< NULL for none */
	int64_t remaining_ms;  /**< until the caller's deadline; 0 if unknown */
	int32_t urgency;       /**< 0 is the most urgent */
	bool is_engine;	       /**< the server is a model engine */
	int64_t last_event_id; /**< resume after it; -1 for the start */
};

/** What the edge reads from the head of a server's response. */
struct response_info {
	bool names_request; /**< the response bears the request's id */
	bool other_request; /**< the response bears another request's id */
	bool has_signature; /**< bears a signature, which is not verified */
	bool not_run;	    /**< the server did not run the request */
	bool misdirected;   /**< another server than the intended one has
			     * the address */
	bool leaving;	    /**< the server takes no more requests */
	int64_t rest_us;    /**< it wants no requests for so long; 0: none */
	bool has_warmup;    /**< the server says how long it warms up */
	int64_t warmup_us;  /**< from now on; 0: not any more */
	bool has_load;
	struct backend_load load;
	/** Name and value of a field that could not be read and counts as
	 * absent; empty for none. */
	char unreadable[RESPONSE_UNREADABLE_SIZE];
};

struct call_dialect {
	void (*read_request)(const struct http_head *head,
			     struct request_info *info);
	/** @return the whole API key, which belongs to the head; NULL for none
	 */
	const char *(*find_key)(const struct http_head *head);
	/** @return whether a field of the caller is forwarded to the server */
	bool (*forwards_field)(const char *field);
	/** Appends the header fields of an attempt. */
	void (*write_attempt)(struct buffer *fields,
			      const struct attempt_info *info);
	void (*read_response)(const struct http_head *head, int status,
			      uint64_t request_id_hash,
			      struct response_info *info);
	/** Appends the header fields of an error response of the edge itself.
	 * @param retry_after_ms value of Retry-After; 0 for none */
	void (*write_refusal)(struct buffer *fields, int64_t retry_after_ms);
};

#endif
