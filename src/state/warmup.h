/**
 * @file warmup.h
 * Limits the requests to a backend server that warms up: after its start, or
 * when it says so, it tolerates only few requests a second, of all hosts
 * together, and crashes when it gets many more.
 *
 * Answers the load of a failure domain whose servers return all at once, empty
 * and idle: each host would send them its next requests.
 *
 * Hosts exchange no messages for it. All hosts rank each other by a hash of
 * their names and of the server's run. With a limit of 17 requests a second and
 * 79 hosts, the first 17 send one a second each, and the others none; with 7
 * hosts, the first 3 send three a second and the others two. So hosts that know
 * the same list of hosts stay within the limit in any second, also while they
 * can't reach each other.
 */
#ifndef STATE_WARMUP_H
#define STATE_WARMUP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/peer_host.h"

/** What the servers of one service tolerate while they warm up. */
struct warmup_limit {
	int64_t duration_us;   /**< after a start */
	double requests_per_s; /**< of all hosts together; 0: no limit */
};

/** The part of the limit that one host has. */
struct warmup_share {
	uint32_t hosts; /**< that may send */
	uint32_t rank;	/**< of this one, from 0 */
	/** The hosts are only estimated, so that the rank is unknown. */
	bool is_estimate;
};

/** Warm-up of one run of a server; zeroed: without a limit. */
struct warmup {
	struct warmup_limit limit;
	int64_t listed_until_us;   /**< by the server's entry */
	int64_t reported_until_us; /**< by its latest response */
	int64_t assumed_until_us;  /**< since it may have started again */
	/** Time between two requests of this host; 0: not decided yet, so that
	 * it sends none. */
	int64_t interval_us;
	int64_t due_us; /**< no request of this host before */
};

/** A new entry of the server says how long it warmed up when it was written,
 * which may be long ago: it does not shorten what a response said. */
void warmup_list(struct warmup *warmup, int64_t remaining_us, int64_t now_us);

/** A response of the server says how long it warms up from now on. */
void warmup_report(struct warmup *warmup, int64_t remaining_us, int64_t now_us);

/** The server may have started just now. */
void warmup_assume(struct warmup *warmup, int64_t now_us);

/** @return whether requests to the server are limited */
bool warmup_is_active(const struct warmup *warmup, int64_t now_us);

/** @return whether the server warms up, and the host's share is not decided */
bool warmup_needs_share(const struct warmup *warmup, int64_t now_us);

/** Decides how often this host may send.
 * @param draw random; with an estimate, hosts begin at different times */
void warmup_set_share(struct warmup *warmup, const struct warmup_share *share,
		      uint64_t draw, int64_t now_us);

/** A request is sent to the server. */
void warmup_on_request(struct warmup *warmup, int64_t now_us);

/** @return when the server may get a request of this host; not later than now
 * if at once */
int64_t warmup_free_at_us(const struct warmup *warmup, int64_t now_us);

/** Ranks a host for one run of a server. All hosts that know the same hosts
 * agree, whatever their order. A host that is not among them comes last. */
struct warmup_share warmup_share_of(const struct peer_host *hosts, size_t count,
				    const char *self, uint64_t run_hash);

#endif
