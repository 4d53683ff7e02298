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
	bool (*arrived)(const struct part_server *server, unsigned int number);
	/** The server has begun to answer, or has crashed there. */
	void (*begun)(unsigned int number, bool crashed);
	/** The server has started, or crashed. May be NULL. */
	void (*running)(const struct part_server *server, bool running);
};

struct part_server_options {
	const char *failure_domain;
	/** Time after a start during which the server warms up. If it is not 0,
	 * the entry has no heartbeat: it is written when a warm-up begins, and
	 * mostly when it ends. */
	int warmup_ms;
};

struct part_server *part_server_start(
	struct soak *soak, const struct part_server_events *events,
	const struct part_server_options *options);

/** Where it crashes from now on. */
void part_server_set_crash(struct part_server *server, enum part_crash crash);

/** Crashes for a reason of its own. */
void part_server_crash(struct part_server *server);

/** Warms up again from now on, for the given time. */
void part_server_slow(struct part_server *server, int duration_ms);

/** @return its name in the store, which changes at each start */
const char *part_server_id(const struct part_server *server);

#endif
