/**
 * @file connection_room.h
 * Decides how many connections callers may keep open at a host, so that its
 * file descriptors also suffice for connections to servers and for the host's
 * own work: store, other hosts, readiness checks, files.
 */
#ifndef STATE_CONNECTION_ROOM_H
#define STATE_CONNECTION_ROOM_H

#include <stdbool.h>
#include <stdint.h>

struct connection_room {
	/** Connections that callers may have. No more are accepted. */
	uint32_t max_callers;
	/** More than these are too many to keep idle ones. */
	uint32_t keep_idle_below;
};

/** @param descriptors that the process may have open */
void connection_room_init(struct connection_room *room, uint32_t descriptors);

/** @return whether one more connection may be accepted */
bool connection_room_accepts(const struct connection_room *room,
			     uint32_t callers);

/** @return how many idle connections should be closed, those first that were
 * used least recently */
uint32_t connection_room_surplus(const struct connection_room *room,
				 uint32_t callers);

/** @return how long a connection whose response is written now should be kept
 * idle: the limit while there are few, less the more there are */
int64_t connection_room_idle_ms(const struct connection_room *room,
				uint32_t callers, int64_t limit_ms);

/** @return the connections in percent of their maximum */
uint32_t connection_room_percent(const struct connection_room *room,
				 uint32_t callers);

#endif
