/**
 * @file placement.h
 * Chooses the backend server of a request.
 *
 * The choice handles two kinds of load. Reading a long prompt delays the
 * tokens of all other requests on the same server, so requests with short
 * prompts go to other servers than those with long ones, if they have an
 * affinity and the service has enough servers. Many requests share parts of
 * their prompts, and some parts are much more frequent than others: all hosts
 * rank the servers by a hash of the shared parts in the same way (rendezvous
 * hashing), without exchanging messages, and skip a server whose load is
 * clearly above the mean.
 */
#ifndef STATE_PLACEMENT_H
#define STATE_PLACEMENT_H

#include <stdbool.h>
#include <stdint.h>

#include "state/backend_table.h"

/** The properties of a request that the choice depends on. */
struct placement_request {
	const char *service;
	const char *failure_domain; /**< of this host */
	uint32_t regions;	    /**< set of those that it may go to */
	uint64_t affinity;	    /**< hash of the shared parts; 0 for none */
	int64_t prompt_tokens; /**< for the server to read, unless cached */
	/** Longest pause between events that the route wants, and the one to
	 * be expected at a server that works as the service expects; 0: not
	 * known. */
	int64_t target_pause_ms;
	double long_pause_ms;
	uint64_t draw;	       /**< random; breaks ties */
	const uint64_t *tried; /**< run hashes of servers that it was already
				* sent to */
	uint32_t tried_count;
	int64_t now_us;
};

/** Whether a server was chosen, or why not. */
enum placement_result {
	PLACEMENT_FOUND,
	PLACEMENT_NO_SERVER, /**< no listed server accepts new requests */
	PLACEMENT_ALL_TRIED, /**< this request was sent to each */
	PLACEMENT_ALL_FULL,  /**< each untried server reported recently
			      * that it was full, or asked for rest */
};

/** Chooses the server of a request.
 * @param chosen receives the server if one was found, otherwise NULL */
enum placement_result placement_choose(const struct backend_table *table,
				       const struct placement_request *request,
				       struct backend **chosen);

/** @param regions set of those that count
 * @return when the first server of the service may get a request, whichever
 * were tried: not later than now if one may at once,
 * SERVER_AVAILABILITY_NEVER_US if none accepts requests */
int64_t placement_free_at_us(const struct backend_table *table,
			     const char *service, uint32_t regions,
			     int64_t now_us);

#endif
