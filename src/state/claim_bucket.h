/**
 * @file claim_bucket.h
 * The claims in one key of the store, and the rule that decides which owner
 * runs a call.
 *
 * A claim is granted to the first owner whose record is in the store. Until
 * the record expires, only that owner can have it removed, by reporting that
 * no byte was sent. Decisions are idempotent: when the store's response to a
 * write is lost, the claim writer reads the value and decides again.
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
	uint64_t writer_incarnation; /**< process that wrote the value */
	uint64_t writer_sequence;
	size_t count;
	size_t capacity;
	struct claim_record *records;
	size_t packed_bytes; /**< approximate size of all records */
};

/** The result of an owner's attempt to claim a call. */
enum claim_decision {
	CLAIM_DECISION_GRANTED, /**< the attempt owns the call, once stored */
	CLAIM_DECISION_RUNNING, /**< another attempt owns the call */
	CLAIM_DECISION_DONE,
	CLAIM_DECISION_UNKNOWN,	   /**< sent; the outcome is unknown */
	CLAIM_DECISION_KEY_REUSED, /**< the key was used with another body */
	CLAIM_DECISION_FULL,	   /**< the bucket is full */
	CLAIM_DECISION_ABSENT,	   /**< of a lookup only: there is no record */
};

void claim_bucket_clear(struct claim_bucket *bucket);

const struct claim_record *claim_bucket_find(const struct claim_bucket *bucket,
					     const struct tgw_request_key *key);

/** Decides by an existing record; ABSENT when there is none. */
enum claim_decision claim_bucket_look_up(const struct claim_bucket *bucket,
					 const struct claim_record *attempt);

/** Decides, and adds the record when the attempt is the first.
 * @param changed set when the value has to be written */
enum claim_decision claim_bucket_claim(struct claim_bucket *bucket,
				       const struct claim_record *attempt,
				       bool *changed);

/** Records how a call ended, as its owner reports it.
 * @param end the phase and result; phase RUNNING: no byte was sent, so the
 *        record is removed
 * @param insert add the record when there is none and the bucket has room, as
 *        for a call that was run without the store
 * @param changed set when the value has to be written */
void claim_bucket_end(struct claim_bucket *bucket,
		      const struct claim_record *end, bool insert,
		      bool *changed);

/** Removes the records of ended calls whose claim is older than keep_us. Those
 * of running calls are kept twice as long, so that an owner that was paused can
 * still report how its call ended. */
void claim_bucket_expire(struct claim_bucket *bucket, int64_t wall_us,
			 int64_t keep_us, bool *changed);

void claim_bucket_pack(const struct claim_bucket *bucket, struct buffer *value);

/** @return OK; CORRUPT or NEWER_FORMAT with the bucket empty */
enum tgw_status claim_bucket_unpack(struct claim_bucket *bucket,
				    const void *value, size_t size,
				    struct tgw_error *error);

#endif
