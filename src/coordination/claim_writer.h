/**
 * @file claim_writer.h
 * The claim writer: batches the claims of a bucket from all hosts and writes
 * them to the store, many per write.
 *
 * Any host may write any bucket at any time, because the compare-and-swap alone
 * decides which host runs a call. Normally a single host writes each bucket,
 * which keeps the number of writes low.
 */
#ifndef COORDINATION_CLAIM_WRITER_H
#define COORDINATION_CLAIM_WRITER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/claim_bucket.h"
#include "state/claim_message.h"
#include "tamarackgw/claim.h"

struct claim_writer;

struct claim_writer_env {
	const struct tgw_claim_env *claims;
	uint64_t incarnation; /**< of this host */
	struct tgw_claim_counters *counters;
	/** Sends a CLAIM_REPLY, CLAIM_END_ACK or CLAIM_CHECK to a host. */
	void (*send)(void *arg, const char *host,
		     const struct claim_message *message);
	/** @return whether the owner's process is known to be dead */
	bool (*is_owner_dead)(void *arg, const struct claim_owner *owner);
	void *arg;
};

struct claim_writer *claim_writer_new(const struct claim_writer_env *env);

void claim_writer_free(struct claim_writer *writer);

/** Queues a CLAIM_REQUEST, or a CLAIM_END to be recorded. The message is
 * dropped when the queue is full, as its sender retries until it receives a
 * reply, and when a message of the same kind and owner is already queued.
 * @param host the host that the reply is sent to */
void claim_writer_submit(struct claim_writer *writer, const char *host,
			 const struct claim_message *message);

/** @return the time at which the next tick is due */
int64_t claim_writer_tick(struct claim_writer *writer);

/** @return whether no message waits for the store */
bool claim_writer_is_idle(const struct claim_writer *writer);

uint32_t claim_writer_bucket_of(const struct claim_writer *writer,
				const struct tgw_request_key *key);

#endif
