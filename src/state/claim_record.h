/**
 * @file claim_record.h
 * One call that may not be repeated, as the store keeps it.
 */
#ifndef STATE_CLAIM_RECORD_H
#define STATE_CLAIM_RECORD_H

#include <msgpack.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/claim.h"

#define CLAIM_CONTENT_TYPE_SIZE 64

enum claim_phase {
	CLAIM_PHASE_RUNNING,
	CLAIM_PHASE_DONE,
	CLAIM_PHASE_UNKNOWN, /**< sent; the outcome is unknown */
	CLAIM_PHASE_COUNT
};

/** Who may run a call: one claim attempt of one process. */
struct claim_owner {
	char host[TGW_NAME_SIZE];
	uint64_t incarnation;
	uint64_t attempt_id; /**< unique within the incarnation */
};

/** The response of a call that has ended. */
struct claim_result {
	int32_t http_status;
	char content_type[CLAIM_CONTENT_TYPE_SIZE];
	bool body_not_kept;
	uint32_t body_size;
	uint8_t *body;
};

struct claim_record {
	struct tgw_request_key key;
	uint8_t body_hash[TGW_BODY_HASH_BYTES];
	enum claim_phase phase;
	struct claim_owner owner;
	int64_t wall_us; /**< of the claim, on the recording host's clock */
	struct claim_result result;
};

bool claim_owner_equals(const struct claim_owner *a,
			const struct claim_owner *b);

void claim_owner_pack(const struct claim_owner *owner, msgpack_packer *packer);

bool claim_owner_unpack(struct claim_owner *owner,
			const msgpack_object *object);

/** Fills in a result; a body larger than body_max_bytes is not kept. */
void claim_result_set(struct claim_result *result, int32_t http_status,
		      const char *content_type, const void *body,
		      size_t body_size, uint32_t body_max_bytes);

void claim_result_copy(struct claim_result *to,
		       const struct claim_result *from);

void claim_result_clear(struct claim_result *result);

void claim_result_pack(const struct claim_result *result,
		       msgpack_packer *packer);

/** The caller clears the result even when it does not decode. */
bool claim_result_unpack(struct claim_result *result,
			 const msgpack_object *object);

void claim_record_pack(const struct claim_record *record,
		       msgpack_packer *packer);

/** The caller clears the result even when it does not decode. */
bool claim_record_unpack(struct claim_record *record,
			 const msgpack_object *object);

#endif
