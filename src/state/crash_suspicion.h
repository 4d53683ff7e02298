/**
 * @file crash_suspicion.h
 * Decides which part of a prompt crashes servers, from the records of all
 * hosts.
 *
 * All parts of all requests that ran at a crashed server are suspected. What
 * tells the guilty one from sound ones that ran beside it, or are in the same
 * prompts: it is in every crash since its first, and in no response that was
 * served since, which would have ended its records. So a part is held to crash
 * servers once it was in several incidents, unless another one that the request
 * does not have fits all of them as well: then this request may be sound, and
 * what it does will tell the two apart.
 */
#ifndef STATE_CRASH_SUSPICION_H
#define STATE_CRASH_SUSPICION_H

#include <stdbool.h>
#include <stdint.h>

#include "state/quarantine_table.h"
#include "state/request_identity.h"

/** Incidents until a part is held to crash servers. */
#define CRASH_SUSPICION_INCIDENTS_MIN 4

/** @return the item's crashes, where crashes at about the same time are one
 * incident: several servers may crash at once for a reason of their own. Those
 * count that this host learned of long enough ago to have learned as well if
 * the part was served since. */
uint32_t crash_suspicion_incidents(const struct quarantine_item *item,
				   int64_t now_us);

/** @return the part for which the request is refused: the last one of its
 * prompt that is held to crash servers; NULL if none is */
const struct quarantine_item *crash_suspicion_find_cause(
	const struct quarantine_table *table,
	const struct request_identity *identity, int64_t now_us);

/** @return whether one of the request's parts may crash servers: it was in more
 * than one incident */
bool crash_suspicion_is_suspected(const struct quarantine_table *table,
				  const struct request_identity *identity,
				  int64_t now_us);

/** @param item of the whole request
 * @return whether a part that crashes servers, and that the request does not
 * have, was in all crashes of the item and in others */
bool crash_suspicion_is_explained(const struct quarantine_table *table,
				  const struct quarantine_item *item,
				  const struct request_identity *identity,
				  int64_t now_us);

#endif
