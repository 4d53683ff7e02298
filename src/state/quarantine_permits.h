/**
 * @file quarantine_permits.h
 * The permits by which suspected requests run on the servers of a failure
 * domain: each request on at most one server at a time, and at most one such
 * request on each server.
 */
#ifndef STATE_QUARANTINE_PERMITS_H
#define STATE_QUARANTINE_PERMITS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/quarantine.h"

#define QUARANTINE_PERMITS_MAX 256

struct quarantine_permit {
	struct tgw_fingerprint fingerprint;
	char server[TGW_NAME_SIZE];
	char host[TGW_NAME_SIZE];
	uint64_t incarnation;	  /**< of the host */
	uint64_t query_id;	  /**< of the host's query */
	int64_t last_received_us; /**< when the host last reported the attempt
				   * as running */
};

struct quarantine_permits {
	size_t count;
	struct quarantine_permit permits[QUARANTINE_PERMITS_MAX];
};

const struct quarantine_permit *quarantine_permits_find(
	const struct quarantine_permits *permits,
	const struct tgw_fingerprint *fingerprint);

bool quarantine_permits_server_is_free(const struct quarantine_permits *permits,
				       const char *server);

/** Records a permit. @return false when the table is full */
bool quarantine_permits_add(struct quarantine_permits *permits,
			    const struct quarantine_permit *permit);

/** Records a permit that its host reports as held, unless the table is full. A
 * permit that is recorded already gets the new time. */
void quarantine_permits_refresh(struct quarantine_permits *permits,
				const struct quarantine_permit *permit);

/** Ends the permit that its host got by the query with its `query_id`. */
void quarantine_permits_release(struct quarantine_permits *permits,
				const struct quarantine_permit *permit);

/** Ends the permits of hosts that are gone, unknown or have a new incarnation,
 * and the permits that an alive host has not reported as held since
 * `since_us`. Keeps the permits of a silent host, which may still run its
 * attempt. */
void quarantine_permits_expire(struct quarantine_permits *permits,
			       const struct tgw_host_view *view,
			       int64_t since_us);

#endif
