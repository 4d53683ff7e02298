/**
 * @file claim_keeper.h
 * Gathers the claims of one bucket from all hosts and brings them to the
 * store, many with one write.
 *
 * Any host may do this for any bucket at any time: who runs is decided by
 * the compare-and-swap alone. One host does it for a bucket
 * so that writes stay few.
 */
#ifndef COORDINATION_CLAIM_KEEPER_H
#define COORDINATION_CLAIM_KEEPER_H

#include <stdbool.h>
#include <stdint.h>

#include "state/claim_bucket.h"
#include "state/claim_message.h"
#include "tamarackgw/claim.h"

struct claim_keeper;

struct claim_keeper_env {
	const struct tgw_claim_env *claims;
	uint64_t incarnation; /**< of this host */
	struct tgw_claim_counters *counters;
	/** Sends an answer to an ask, or that an end is recorded. */
	void (*reply)(void *arg, const char *host,
		      const struct claim_message *message);
	/** @return whether the process of this incarnation is surely gone */
	bool (*is_gone)(void *arg, const struct claim_owner *owner);
	void *arg;
};

struct claim_keeper *claim_keeper_new(const struct claim_keeper_env *env);

void claim_keeper_free(struct claim_keeper *keeper);

/** Takes an ASK, or an END to be recorded. The host asks again when it
 * hears nothing, so that a full keeper just drops it.
 * @param host where the reply goes */
void claim_keeper_take(struct claim_keeper *keeper, const char *host,
		       const struct claim_message *message);

/** @return the time of the next call that is needed */
int64_t claim_keeper_tick(struct claim_keeper *keeper);

/** @return whether anything waits for the store */
bool claim_keeper_is_idle(const struct claim_keeper *keeper);

uint32_t claim_keeper_bucket_of(const struct claim_keeper *keeper,
				const struct tgw_request_key *key);

#endif
