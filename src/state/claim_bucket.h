/**
 * @file claim_bucket.h
 * The claims of one key of the store, and the rule that decides who runs.
 *
 * A claim is granted to the first owner whose record is in the store; only
 * that owner's own word that no byte was sent takes the record away before
 * its age does. Each decision may be made again with the same result, so
 * that a lost answer is resolved by reading the value and deciding anew.
 */
#ifndef STATE_CLAIM_BUCKET_H
#define STATE_CLAIM_BUCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "state/claim_record.h"

#define CLAIM_BUCKET_RECORDS_MAX 8192
#define CLAIM_BUCKET_BYTES_MAX (900 * 1000)

struct claim_bucket {
	uint64_t writer_incarnation; /**< who wrote the value */
	uint64_t writer_sequence;
	size_t count;
	size_t capacity;
	struct claim_record *records;
	size_t packed_bytes; /**< of the records, about */
};

/** What an owner's ask comes to. */
enum claim_decision {
	CLAIM_DECISION_GRANTED, /**< it is the owner; true once stored */
	CLAIM_DECISION_RUNNING, /**< another ask is */
	CLAIM_DECISION_DONE,
	CLAIM_DECISION_LOST,
	CLAIM_DECISION_KEY_REUSED,
	CLAIM_DECISION_FULL,
	CLAIM_DECISION_ABSENT, /**< of a look-up: there is no record */
};

void claim_bucket_clear(struct claim_bucket *bucket);

const struct claim_record *claim_bucket_find(const struct claim_bucket *bucket,
					     const struct tgw_request_key *key);

/** Decides by an existing record; ABSENT when there is none. */
enum claim_decision claim_bucket_look_up(const struct claim_bucket *bucket,
					 const struct claim_record *ask);

/** Decides, and adds the record when the ask is the first.
 * @param changed set when the value has to be written */
enum claim_decision claim_bucket_claim(struct claim_bucket *bucket,
				       const struct claim_record *ask,
				       bool *changed);

/** Takes the owner's word on how its call ended.
 * @param end the phase and result; of phase RUNNING: no byte was sent
 * @param insert add the record when there is none, as for a call that was
 *        run without the store */
void claim_bucket_end(struct claim_bucket *bucket,
		      const struct claim_record *end, bool insert,
		      bool *changed);

/** Drops what ended or was lost longer than this ago. A RUNNING one stays
 * for as long again, so that a paused owner can still say how it ended. */
void claim_bucket_expire(struct claim_bucket *bucket, int64_t wall_us,
			 int64_t keep_us, bool *changed);

void claim_bucket_pack(const struct claim_bucket *bucket, struct buffer *value);

/** @return OK; CORRUPT or NEWER_FORMAT with the bucket empty */
enum tgw_status claim_bucket_unpack(struct claim_bucket *bucket,
				    const void *value, size_t size,
				    struct tgw_error *error);

#endif
