/**
 * @file server_availability.h
 * Whether one run of a backend server may get a request now, by what its own
 * answers and other hosts said about it.
 *
 * A server that leaves gets no more requests. One that asked for rest gets none
 * until the rest is over, and then only few until it answers one of them, so
 * that the load does not return all at once.
 */
#ifndef STATE_SERVER_AVAILABILITY_H
#define STATE_SERVER_AVAILABILITY_H

#include <stdbool.h>
#include <stdint.h>

/** The time at which a server that leaves is free again. */
#define SERVER_AVAILABILITY_NEVER_US INT64_MAX

/** A server that said nothing when zeroed. Times are of the monotonic clock. */
struct server_availability {
	int64_t leaving_until_us; /**< 0: it is not leaving */
	int64_t rest_until_us;	  /**< it asked for rest until then */
	int64_t full_until_us;	  /**< it did not run a request */
	int64_t trial_due_us;	  /**< after a rest, no request before then */
	/** Time between two requests after a rest; 0: no limit. */
	int64_t trial_interval_us;
};

/** The server is leaving. It stays so at least until the time, which only
 * moves to later ones. */
void server_availability_set_leaving(struct server_availability *availability,
				     int64_t until_us);

bool server_availability_is_leaving(
	const struct server_availability *availability, int64_t now_us);

/** The server asked for rest from now on. A rest that lasts longer is not cut
 * short: no request is sent in a rest, so an answer that arrives during one
 * belongs to a request that is older than the rest. */
void server_availability_rest(struct server_availability *availability,
			      int64_t rest_us, int64_t now_us);

bool server_availability_is_resting(
	const struct server_availability *availability, int64_t now_us);

/** The server did not run a request and did not say when it would. */
void server_availability_reject(struct server_availability *availability,
				int64_t now_us);

/** A request is sent to the server. */
void server_availability_on_request(struct server_availability *availability,
				    int64_t now_us);

/** The server took a request. This ends no rest. */
void server_availability_on_accepted(struct server_availability *availability,
				     int64_t now_us);

/** @return when the server may get a request: not later than now if at once,
 * SERVER_AVAILABILITY_NEVER_US if it is leaving */
int64_t server_availability_free_at_us(
	const struct server_availability *availability, int64_t now_us);

#endif
