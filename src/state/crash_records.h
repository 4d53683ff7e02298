/**
 * @file crash_records.h
 * The records of all hosts about requests, and parts of their prompts, that
 * crashed backend servers, and whether they suffice to refuse a request.
 *
 * A record names a request or a part and one run of a server. A request that
 * was served starts a new epoch without records: it does not crash every server
 * that runs it. A partition can look like a crash. So a record counts at once,
 * but is dropped if the server is still listed after the time in which its
 * entry would have been removed.
 */
#ifndef STATE_CRASH_RECORDS_H
#define STATE_CRASH_RECORDS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/quarantine_report.h"
#include "state/request_identity.h"
#include "state/served_memory.h"

/** Servers that a request must have crashed before it is refused. */
#define CRASH_RECORDS_UNTIL_REFUSED 3

/** What the list of servers says about one run of a server. */
enum crash_records_server {
	CRASH_RECORDS_SERVER_LISTED,
	CRASH_RECORDS_SERVER_UNLISTED,
	/** Listed, but the list may be out of date: the store is unreachable,
	 * or was a short time ago. */
	CRASH_RECORDS_SERVER_UNKNOWN,
};

struct crash_records_events {
	enum crash_records_server (*server_state)(void *arg, uint64_t run);
	/** The request, or the part, is refused from now on, or no longer. */
	void (*changed)(void *arg, const struct quarantine_item *item,
			bool refused);
	void *arg;
};

struct crash_records {
	struct crash_records_events events;
	/** How long after its crash a server may still be listed. */
	int64_t listed_after_crash_us;
	struct quarantine_table all;  /**< records of all hosts, merged */
	struct quarantine_report own; /**< records of this host */
	struct served_memory served;
};

/** The present time, on both clocks. The wall clocks of hosts may differ by any
 * time: what one wrote is compared only with what the same one wrote. */
struct crash_records_time {
	int64_t monotonic_us;
	int64_t wall_us;
};

void crash_records_init(struct crash_records *records,
			const struct crash_records_events *events,
			int64_t listed_after_crash_us);

void crash_records_free(struct crash_records *records);

/** @return how many servers the request is known to have crashed */
uint32_t crash_records_count(const struct crash_records *records,
			     const struct tgw_fingerprint *fingerprint,
			     int64_t now_us);

/** @return whether the request as a whole has crashed too many servers, and no
 * part that others have explains that */
bool crash_records_refuse_whole(const struct crash_records *records,
				const struct request_identity *identity,
				int64_t now_us);

/** Records a crash that this host saw, against the request as a whole.
 * @param run see backend_run_hash()
 * @return false if this host was served the request a short time ago, so that
 * nothing is recorded */
bool crash_records_add(struct crash_records *records,
		       const struct request_identity *identity, uint64_t run,
		       const struct crash_records_time *now);

/** Records a crash against all parts of the request's prompt. */
void crash_records_add_parts(struct crash_records *records,
			     const struct request_identity *identity,
			     uint64_t run,
			     const struct crash_records_time *now);

/** Records that a server ran the request and stayed up.
 * @return whether the request had records, which are cleared */
bool crash_records_on_served(struct crash_records *records,
			     const struct tgw_fingerprint *fingerprint,
			     const struct crash_records_time *now);

/** Records that a server ran the request so far that its parts do not crash it.
 * @return how many parts had records, which are cleared */
size_t crash_records_on_parts_served(struct crash_records *records,
				     const struct request_identity *identity,
				     const struct crash_records_time *now);

/** Merges the report of a host.
 * @param is_own whether an earlier process of this host made it */
void crash_records_merge(struct crash_records *records,
			 const struct quarantine_report *report, bool is_own,
			 const struct crash_records_time *now);

/** Drops wrong and expired records.
 * @param dropped receives the number of wrong ones
 * @return whether the report of this host has changed */
bool crash_records_check(struct crash_records *records,
			 const struct crash_records_time *now, size_t *dropped);

#endif
