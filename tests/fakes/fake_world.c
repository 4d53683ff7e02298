#include "fakes/fake_world.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define WALL_OFFSET_US (INT64_C(1767225600) * TGW_US_PER_S)

struct fake_event {
	int64_t due_us;
	uint64_t sequence;
	void (*run)(void *arg);
	void (*release)(void *arg); /* NULL when there is nothing to release */
	void *arg;
};

static int64_t fake_monotonic_us(const struct tgw_clock *clock)
{
	return ((const struct fake_world *)clock)->now_us;
}

static int64_t fake_wall_us(const struct tgw_clock *clock)
{
	return fake_monotonic_us(clock) + WALL_OFFSET_US;
}

static const struct tgw_clock_ops fake_clock_ops = {
	.monotonic_us = fake_monotonic_us,
	.wall_us = fake_wall_us,
};

void fake_world_init(struct fake_world *world, uint64_t seed)
{
	memset(world, 0, sizeof(*world));
	world->clock.ops = &fake_clock_ops;
	world->now_us = TGW_US_PER_S;
	tgw_random_init(&world->random, seed);
}

void fake_world_clear(struct fake_world *world)
{
	for (size_t i = 0; i < world->event_count; i++)
		if (world->events[i].release)
			world->events[i].release(world->events[i].arg);
	free(world->events);
	world->events = NULL;
	world->event_count = 0;
	world->event_capacity = 0;
}

static bool runs_before(const struct fake_event *a, const struct fake_event *b)
{
	if (a->due_us != b->due_us)
		return a->due_us < b->due_us;
	return a->sequence < b->sequence;
}

static void swap_events(struct fake_world *world, size_t a, size_t b)
{
	struct fake_event event = world->events[a];

	world->events[a] = world->events[b];
	world->events[b] = event;
}

void fake_world_after(struct fake_world *world, int64_t delay_us,
		      void (*run)(void *arg), void *arg)
{
	fake_world_after_or_release(world, delay_us, run, NULL, arg);
}

void fake_world_after_or_release(struct fake_world *world, int64_t delay_us,
				 void (*run)(void *arg),
				 void (*release)(void *arg), void *arg)
{
	size_t at = world->event_count++;

	if (world->event_count > world->event_capacity) {
		world->event_capacity = world->event_capacity * 2 + 64;
		world->events = xrealloc(world->events,
					 world->event_capacity *
						 sizeof(world->events[0]));
	}
	world->events[at].due_us = world->now_us + delay_us;
	world->events[at].sequence = world->next_sequence++;
	world->events[at].run = run;
	world->events[at].release = release;
	world->events[at].arg = arg;
	while (at > 0 &&
	       runs_before(&world->events[at], &world->events[(at - 1) / 2])) {
		swap_events(world, at, (at - 1) / 2);
		at = (at - 1) / 2;
	}
}

static struct fake_event pop_event(struct fake_world *world)
{
	struct fake_event first = world->events[0];
	size_t at = 0;

	world->events[0] = world->events[--world->event_count];
	for (;;) {
		size_t earliest = at;

		for (size_t child = 2 * at + 1; child <= 2 * at + 2; child++)
			if (child < world->event_count &&
			    runs_before(&world->events[child],
					&world->events[earliest]))
				earliest = child;
		if (earliest == at)
			return first;
		swap_events(world, at, earliest);
		at = earliest;
	}
}

bool fake_world_step(struct fake_world *world, int64_t until_us)
{
	struct fake_event event;

	if (!world->event_count || world->events[0].due_us > until_us)
		return false;
	event = pop_event(world);
	if (event.due_us > world->now_us)
		world->now_us = event.due_us;
	event.run(event.arg);
	return true;
}

void fake_world_advance(struct fake_world *world, int64_t delay_us)
{
	int64_t until_us = world->now_us + delay_us;

	while (fake_world_step(world, until_us))
		;
	world->now_us = until_us;
}
