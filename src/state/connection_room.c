#include "state/connection_room.h"

/* The host's own work keeps this part of the descriptors. */
#define OWN_DIVISOR 8
/* A request takes two: its caller's connection and one to a server. */
#define DESCRIPTORS_PER_REQUEST 2
#define KEEP_IDLE_PERCENT 50
/* Connections are kept for the whole idle limit up to this part of those that
 * may be idle. */
#define WHOLE_LIMIT_PERCENT 50
#define MIN_IDLE_MS 1000

void connection_room_init(struct connection_room *room, uint32_t descriptors)
{
	uint32_t others = descriptors - descriptors / OWN_DIVISOR;

	room->max_callers = others / DESCRIPTORS_PER_REQUEST;
	room->keep_idle_below = (uint32_t)((uint64_t)room->max_callers *
					   KEEP_IDLE_PERCENT / 100);
}

bool connection_room_accepts(const struct connection_room *room,
			     uint32_t callers)
{
	return callers < room->max_callers;
}

uint32_t connection_room_surplus(const struct connection_room *room,
				 uint32_t callers)
{
	return callers > room->keep_idle_below ? callers - room->keep_idle_below
					       : 0;
}

int64_t connection_room_idle_ms(const struct connection_room *room,
				uint32_t callers, int64_t limit_ms)
{
	int64_t whole_below =
		(int64_t)room->keep_idle_below * WHOLE_LIMIT_PERCENT / 100;
	int64_t left = (int64_t)room->keep_idle_below - callers;
	int64_t range = (int64_t)room->keep_idle_below - whole_below;

	if (limit_ms <= MIN_IDLE_MS || callers <= whole_below)
		return limit_ms;
	if (left <= 0)
		return MIN_IDLE_MS;
	return MIN_IDLE_MS + (limit_ms - MIN_IDLE_MS) * left / range;
}

uint32_t connection_room_percent(const struct connection_room *room,
				 uint32_t callers)
{
	if (!room->max_callers)
		return 100;
	return (uint32_t)((uint64_t)callers * 100 / room->max_callers);
}
