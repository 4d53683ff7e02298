/**
 * @file quarantine_trials.h
 * Lets single requests with a refused part of a prompt run, to find out whether
 * it still crashes servers, or was suspected wrongly.
 *
 * A trial is allowed some time after the last crash, and the more trials have
 * been made, the later. A host claims each trial by a swap of a key that all
 * hosts share, so that only one of them makes it.
 */
#ifndef COORDINATION_QUARANTINE_TRIALS_H
#define COORDINATION_QUARANTINE_TRIALS_H

#include <stdbool.h>
#include <stdint.h>

#include "state/quarantine_table.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/store.h"

/** The keys of the trials begin with it; the part's fingerprint and the epoch
 * of its records follow. */
#define QUARANTINE_TRIALS_PREFIX "tgw/crash-trials/"

struct quarantine_trials;

/** The store and the clock must outlive the trials. */
struct quarantine_trials *quarantine_trials_new(struct tgw_store *store,
						const struct tgw_clock *clock);

void quarantine_trials_free(struct quarantine_trials *trials);

/** Tells that a request with the part is to be refused.
 * @return whether it may run, as a trial of this host */
bool quarantine_trials_may_run(struct quarantine_trials *trials,
			       const struct quarantine_item *part);

/** The request was sent to a server.
 * @return whether that was a trial */
bool quarantine_trials_on_sent(struct quarantine_trials *trials,
			       const struct quarantine_item *part);

/** The part is refused no longer. */
void quarantine_trials_end(struct quarantine_trials *trials,
			   const struct tgw_fingerprint *fingerprint);

/** Makes the store calls that are due. Call it periodically. */
void quarantine_trials_tick(struct quarantine_trials *trials);

#endif
