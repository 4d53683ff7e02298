/**
 * @file leaving_announcer.h
 * Tells the other hosts of the failure domain which backend servers said in
 * their answers that they are leaving, so that a failure domain that has lost
 * the store needs one such answer, not one for each host. A notice is sent more
 * than once, since messages may be lost.
 */
#ifndef COORDINATION_LEAVING_ANNOUNCER_H
#define COORDINATION_LEAVING_ANNOUNCER_H

#include <stddef.h>
#include <stdint.h>

#include "state/leaving_notice.h"
#include "state/peer_host.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/peer.h"

/** With more notices than this at a time, the oldest is not sent again. */
#define LEAVING_ANNOUNCER_NOTICES_MAX 16

struct leaving_announcement {
	struct leaving_notice notice;
	uint32_t sends_left;
	int64_t due_us;
};

struct leaving_announcer {
	struct tgw_peer *peer; /**< NULL: there are no other hosts */
	const struct tgw_clock *clock;
	const char *host; /**< this one */
	const char *failure_domain;
	uint32_t next; /**< is overwritten next */
	struct leaving_announcement pending[LEAVING_ANNOUNCER_NOTICES_MAX];
};

/** @param host name of this host; it and the failure domain are not copied */
void leaving_announcer_init(struct leaving_announcer *announcer,
			    struct tgw_peer *peer,
			    const struct tgw_clock *clock, const char *host,
			    const char *failure_domain);

/** Adds a notice, to be sent with the next tick. */
void leaving_announcer_add(struct leaving_announcer *announcer,
			   const struct leaving_notice *notice);

/** Sends the notices that are due.
 * @param hosts all that are known, of any failure domain */
void leaving_announcer_tick(struct leaving_announcer *announcer,
			    const struct peer_host *hosts, size_t host_count);

#endif
