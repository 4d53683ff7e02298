/**
 * @file quarantine_permits.h
 * Which suspected request runs on which server of a failure domain: each
 * request once, and one on a server.
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
	uint64_t incarnation; /**< of the host */
	uint64_t ask_id;      /**< of the host's ask */
	int64_t heard_us;     /**< when the host last said that it runs */
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

/** Notes a permit. @return false when there is no room */
bool quarantine_permits_add(struct quarantine_permits *permits,
			    const struct quarantine_permit *permit);

/** Notes a permit that its host says it holds, unless it is known. */
void quarantine_permits_hold(struct quarantine_permits *permits,
			     const struct quarantine_permit *permit);

/** Ends the permit that this host got by this ask. */
void quarantine_permits_release(struct quarantine_permits *permits,
				const struct quarantine_permit *permit);

/** Ends the permits of hosts that are surely gone, and of hosts that are
 * heard from, but have not said since then that they hold it. A silent
 * host may still run its attempt. */
void quarantine_permits_expire(struct quarantine_permits *permits,
			       const struct tgw_host_view *view,
			       int64_t since_us);

#endif
