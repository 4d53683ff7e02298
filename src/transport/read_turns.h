/**
 * @file read_turns.h
 * Bounds how many connections read between two polls of the event loop. Those
 * that have to wait read first after the next poll, the longest waiting first.
 */
#ifndef TRANSPORT_READ_TURNS_H
#define TRANSPORT_READ_TURNS_H

#include <stdbool.h>
#include <stdint.h>

/** One connection's place; embedded in it. */
struct read_turn {
	bool waits;
	bool granted;
	int64_t since_us; /**< while it waits */
	struct read_turn *previous;
	struct read_turn *next;
};

struct read_turns {
	uint32_t left; /**< for connections that do not wait yet */
	int64_t now_us;
	uint32_t waiting;
	struct read_turn *first;
	struct read_turn *last;
};

/** Begins an iteration of the loop, in which so many connections may read. */
void read_turns_begin(struct read_turns *turns, uint32_t count, int64_t now_us);

/** A connection has bytes to read. @return whether it may read them now; if
 * not, it has to try again in the next iteration */
bool read_turns_take(struct read_turns *turns, struct read_turn *turn);

/** The connection closes. */
void read_turns_forget(struct read_turns *turns, struct read_turn *turn);

/** @return how long the connection has been waiting that waits longest */
int64_t read_turns_longest_wait_us(const struct read_turns *turns);

#endif
