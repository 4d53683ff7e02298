/**
 * @file quarantine_probation.h
 * Runs suspected requests one at a time, each on a server without another
 * suspected one. One host of all that reach each other, the arbiter, decides:
 * a request's retries may land in any failure domain.
 */
#ifndef COORDINATION_QUARANTINE_PROBATION_H
#define COORDINATION_QUARANTINE_PROBATION_H

#include <stdbool.h>
#include <stdint.h>

#include "state/quarantine_message.h"
#include "state/quarantine_permits.h"
#include "state/quarantine_table.h"
#include "tamarackgw/quarantine.h"

struct pending_ask;

struct quarantine_probation {
	const struct tgw_clock *clock;
	struct tgw_peer *peer;
	uint32_t crashes_until_refused;
	const struct quarantine_table *table;
	struct tgw_quarantine_counters *counters;
	const struct tgw_host_view *view;
	struct quarantine_permits permits; /**< as the arbiter */
	struct quarantine_permits held;	   /**< this host's own attempts */
	struct pending_ask *asks;
	size_t ask_count;
	uint64_t next_ask_id;
	char arbiter[TGW_NAME_SIZE];
	uint64_t arbiter_incarnation;
	int64_t arbiter_since_us;
	int64_t next_hold_us;
};

/** All that is given must outlive it, but for the environment. */
void quarantine_probation_init(struct quarantine_probation *probation,
			       const struct tgw_quarantine_env *env,
			       const struct quarantine_table *table,
			       struct tgw_quarantine_counters *counters,
			       const struct tgw_host_view *view);

void quarantine_probation_clear(struct quarantine_probation *probation);

/** The view is kept, not copied. */
void quarantine_probation_set_hosts(struct quarantine_probation *probation,
				    const struct tgw_host_view *view);

/** @return whether this host decides */
bool quarantine_probation_is_arbiter(
	const struct quarantine_probation *probation);

/** See tgw_quarantine_enter(). */
void quarantine_probation_enter(struct quarantine_probation *probation,
				const struct tgw_quarantine_ask *ask,
				struct tgw_quarantine_callback callback);

/** Ends this host's own attempt, if it was one on probation. */
void quarantine_probation_end(struct quarantine_probation *probation,
			      const struct tgw_fingerprint *fingerprint);

/** Handles all kinds but NEWS. */
void quarantine_probation_on_message(struct quarantine_probation *probation,
				     const struct tgw_peer_message *from,
				     const struct quarantine_message *message);

void quarantine_probation_tick(struct quarantine_probation *probation);

#endif
