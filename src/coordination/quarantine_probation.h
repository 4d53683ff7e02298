/**
 * @file quarantine_probation.h
 * Grants permits to suspected requests: one attempt of a request at a time, on
 * a server that runs no other suspected request.
 *
 * Among the hosts that reach each other, one host, the arbiter, grants the
 * permits for all failure domains, because the retries of a request may arrive
 * in any of them. The other hosts send it queries, and report the permits that
 * they hold.
 */
#ifndef COORDINATION_QUARANTINE_PROBATION_H
#define COORDINATION_QUARANTINE_PROBATION_H

#include <stdbool.h>
#include <stdint.h>

#include "state/quarantine_message.h"
#include "state/quarantine_permits.h"
#include "state/quarantine_table.h"
#include "tamarackgw/quarantine.h"

struct pending_query;

struct quarantine_probation {
	const struct tgw_clock *clock;
	struct tgw_peer *peer;
	uint32_t crashes_until_refused;
	const struct quarantine_table *table;
	struct tgw_quarantine_counters *counters;
	const struct tgw_host_view *view;
	struct quarantine_permits permits; /**< granted as the arbiter */
	struct quarantine_permits held;	   /**< held by this host's attempts */
	struct pending_query *queries;
	size_t query_count;
	uint64_t next_query_id;
	char arbiter[TGW_NAME_SIZE];
	uint64_t arbiter_incarnation;
	int64_t arbiter_since_us;
	int64_t next_hold_us;
};

/** All arguments except the environment must outlive the probation. */
void quarantine_probation_init(struct quarantine_probation *probation,
			       const struct tgw_quarantine_env *env,
			       const struct quarantine_table *table,
			       struct tgw_quarantine_counters *counters,
			       const struct tgw_host_view *view);

void quarantine_probation_clear(struct quarantine_probation *probation);

/** Sets the view, which must stay valid until the next call. */
void quarantine_probation_set_hosts(struct quarantine_probation *probation,
				    const struct tgw_host_view *view);

/** @return whether this host is the arbiter */
bool quarantine_probation_is_arbiter(
	const struct quarantine_probation *probation);

/** See tgw_quarantine_enter(). */
void quarantine_probation_enter(struct quarantine_probation *probation,
				const struct tgw_quarantine_query *query,
				struct tgw_quarantine_callback callback);

/** Ends this host's attempt for the request and releases its permit, if it ran
 * on probation. */
void quarantine_probation_end(struct quarantine_probation *probation,
			      const struct tgw_fingerprint *fingerprint);

/** Handles all kinds of messages except QUARANTINE_UPDATE. */
void quarantine_probation_on_message(struct quarantine_probation *probation,
				     const struct tgw_peer_message *from,
				     const struct quarantine_message *message);

void quarantine_probation_tick(struct quarantine_probation *probation);

#endif
