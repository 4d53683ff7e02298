/**
 * @file part_server.h
 * A backend server that crashes when it begins to answer a request with a bad
 * part in its prompt, and comes back after some seconds as another one.
 */
#ifndef PART_SERVER_H
#define PART_SERVER_H

#include <stdbool.h>
#include <stddef.h>

struct soak;
struct part_server;

/** Where a server crashes. */
enum part_crash {
	PART_CRASH_BEFORE_HEAD,
	PART_CRASH_AFTER_HEAD,
	PART_CRASH_AFTER_EVENT,
	/** After an event of a response without a length, closing cleanly. */
	PART_CRASH_AT_END,
	PART_CRASHES,
};

struct part_server_events {
	/** A request has arrived.
	 * @param number its id
	 * @return whether the server crashes as it begins to answer */
	bool (*arrived)(unsigned int number);
	/** The server has begun to answer, or has crashed there. */
	void (*begun)(unsigned int number, bool crashed);
};

struct part_server *part_server_start(struct soak *soak,
				      const struct part_server_events *events);

/** Where it crashes from now on. */
void part_server_set_crash(struct part_server *server, enum part_crash crash);

/** Crashes for a reason of its own. */
void part_server_crash(struct part_server *server);

#endif
