/**
 * @file fake_world.h
 * Virtual time with scheduled events, for the fakes at the interfaces.
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

/** Drops the events that are left without running them. */
void fake_world_clear(struct fake_world *world);

/** Runs a function after a delay; events of one time run in order. */
void fake_world_after(struct fake_world *world, int64_t delay_us,
		      void (*run)(void *arg), void *arg);

/** As fake_world_after(), for an argument that needs its release when the
 * event never runs. */
void fake_world_after_or_drop(struct fake_world *world, int64_t delay_us,
			      void (*run)(void *arg), void (*drop)(void *arg),
			      void *arg);

/** Runs the next event. @return false when none is due until then */
bool fake_world_step(struct fake_world *world, int64_t until_us);

/** Runs all that is due and moves the time on. */
void fake_world_advance(struct fake_world *world, int64_t delay_us);

#endif
