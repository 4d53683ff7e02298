/**
 * @file request_quarantine.h
 * Finds requests, and parts of prompts, that crash the backend servers that run
 * them, and refuses them on all hosts. (The quarantine of tgw_quarantine does
 * this for hosts that send each other messages.)
 *
 * Each host records the servers that crashed while they ran a request (see
 * crash_records.h), and writes these records to a key of its own, so that hosts
 * never conflict. Each host watches the keys of all.
 */
#ifndef COORDINATION_REQUEST_QUARANTINE_H
#define COORDINATION_REQUEST_QUARANTINE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/crash_records.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/store.h"

/** The keys of all hosts begin with it; the host's name follows. */
#define REQUEST_QUARANTINE_PREFIX "tgw/crashes/"

struct request_quarantine_settings {
	char host[TGW_NAME_SIZE];
	int64_t listed_after_crash_us; /**< see struct crash_records */
};

/** Callbacks into the owner. */
struct request_quarantine_events {
	struct crash_records_events records;
	/** Another host has recorded a crash of this run of a server; may be
	 * NULL. Called again for records that were read before. */
	void (*crashed_elsewhere)(void *arg, uint64_t run);
	/** A value can't be decoded, or a store call failed. */
	void (*failed)(void *arg, const char *key, const char *message);
	void *arg;
};

struct request_quarantine_counters {
	uint64_t crashes; /**< records of this host */
	uint64_t dropped; /**< records of servers that are still listed */
	uint64_t cleared; /**< requests and parts that were served and had
			   * records */
	uint64_t trials;  /**< requests that ran though a part is refused */
	uint64_t writes;
};

struct request_quarantine;

/** The store and the clock must outlive the quarantine.
 * @param clock also its wall clock is used: for the age of records only */
struct request_quarantine *request_quarantine_new(
	const struct request_quarantine_settings *settings,
	struct tgw_store *store, const struct tgw_clock *clock,
	const struct request_quarantine_events *events);

void request_quarantine_free(struct request_quarantine *quarantine);

/** @return how many servers the request is known to have crashed */
uint32_t request_quarantine_crashes(const struct request_quarantine *quarantine,
				    const struct tgw_fingerprint *fingerprint);

/** @return whether the request is refused, and does not run as a trial either;
 * see quarantine_trials.h */
bool request_quarantine_is_refused(struct request_quarantine *quarantine,
				   const struct request_identity *identity);

/** @return the part of its prompt for which the request is refused; NULL if
 * that is for the request as a whole, or it is not refused */
const char *request_quarantine_refused_part(
	const struct request_quarantine *quarantine,
	const struct request_identity *identity);

/** Calls `each` for all requests and parts that are refused or suspected.
 * @param incidents 0 for a whole request */
void request_quarantine_list(const struct request_quarantine *quarantine,
			     void (*each)(void *arg,
					  const struct quarantine_item *item,
					  uint32_t incidents),
			     void *arg);

/** @return whether the request may crash the next server as well: it, or a part
 * of its prompt, was at others that crashed */
bool request_quarantine_is_suspected(
	const struct request_quarantine *quarantine,
	const struct request_identity *identity);

/** Tells that a request that is not refused is sent to a server. */
void request_quarantine_on_sent(struct request_quarantine *quarantine,
				const struct request_identity *identity);

/** Records that a server crashed while it ran the request of this host. The
 * request as a whole is not suspected if this host was served the same one a
 * short time ago.
 * @param suspects_parts whether the server had not got so far with the request
 * that its parts do not crash it
 * @param run see backend_run_hash() */
void request_quarantine_on_crash(struct request_quarantine *quarantine,
				 const struct request_identity *identity,
				 uint64_t run, bool suspects_parts);

/** Records that a server ran the request and stayed up. Nothing is said of its
 * parts. */
void request_quarantine_on_served(struct request_quarantine *quarantine,
				  const struct request_identity *identity);

/** Records that a server has got so far with the request that its parts do not
 * crash it. Call it once, as soon as that is known: a part may turn bad while
 * the answer goes on. */
void request_quarantine_on_progress(struct request_quarantine *quarantine,
				    const struct request_identity *identity);

/** Tells that a server may have crashed, by any sign: others may have made
 * records. Reads the keys soon, in case the watch has gone silent. */
void request_quarantine_on_server_lost(struct request_quarantine *quarantine);

/** Tells that the store is reachable again: watches anew. */
void request_quarantine_on_store_reachable(
	struct request_quarantine *quarantine);

/** Makes the store calls that are due. Call it periodically, and after
 * request_quarantine_on_crash().
 * @return when it has to be called next */
int64_t request_quarantine_tick(struct request_quarantine *quarantine);

const struct request_quarantine_counters *request_quarantine_get_counters(
	const struct request_quarantine *quarantine);

#endif
