/**
 * @file claim_target.h
 * Chooses the host that a claim message is sent to, and with it what decides
 * the claim: the issuer of its ticket, or the records in the store.
 */
#ifndef COORDINATION_CLAIM_TARGET_H
#define COORDINATION_CLAIM_TARGET_H

#include <stdbool.h>
#include <stdint.h>

#include "coordination/claim_run.h"
#include "tamarackgw/host_view.h"

/** @return whether the process is known to be dead: its host is gone, or was
 *          restarted */
bool claim_target_is_dead(const struct tgw_host_view *view, const char *host,
			  uint64_t incarnation);

/** Sets the authority of the run's message.
 * @param bucket of the run's key
 * @return the host to send the message to; it lives as long as the view or the
 *         run */
const char *claim_target_choose(const struct tgw_host_view *view,
				uint32_t bucket, struct claim_run *run);

#endif
