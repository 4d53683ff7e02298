/**
 * @file fake_world.h
 * Virtual time with an event queue, on which the other fakes run.
 */
#ifndef FAKES_FAKE_WORLD_H
#define FAKES_FAKE_WORLD_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/clock.h"
#include "tamarackgw/random.h"

struct fake_event;

struct fake_world {
	struct tgw_clock clock; /**< first member */
	int64_t now_us;
	uint64_t next_sequence;
	struct fake_event *events; /**< binary heap by time, then sequence */
	size_t event_count;
	size_t event_capacity;
	struct tgw_random random;
};

void fake_world_init(struct fake_world *world, uint64_t seed);

/** Releases the events that are still queued, without running them. */
void fake_world_clear(struct fake_world *world);

/** Schedules a call of run(arg) after a delay. Events that are due at the same
 * time run in the order in which they were scheduled. */
void fake_world_after(struct fake_world *world, int64_t delay_us,
		      void (*run)(void *arg), void *arg);

/** As fake_world_after(), for an argument that has to be released when the
 * event never runs: fake_world_clear() then calls release(arg). */
void fake_world_after_or_release(struct fake_world *world, int64_t delay_us,
				 void (*run)(void *arg),
				 void (*release)(void *arg), void *arg);

/** Runs the next event that is due by until_us.
 * @return false when there is none */
bool fake_world_step(struct fake_world *world, int64_t until_us);

/** Advances the time by delay_us and runs all events that become due. */
void fake_world_advance(struct fake_world *world, int64_t delay_us);

#endif
