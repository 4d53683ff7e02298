#include "state/own_delay.h"

#include "tamarackgw/clock.h"

/* From this average use on, the host also says that it is not ready: bursts
 * queue on the link for longer than a connection's timeout. */
#define FULL_LINK_PERCENT 75
/* A measurement moves the average by a quarter: one full moment raises an
 * average below this to less than FULL_LINK_PERCENT. */
#define CALM_LINK_PERCENT 65
/* The shortest silence that is held against a server: a loop that is as late
 * causes one by itself. */
#define BLOCKED_LOOP_US (150 * TGW_US_PER_MS)
/* Half of that, since a new connection and the response on it each wait for the
 * loop. */
#define LATE_LOOP_US (75 * TGW_US_PER_MS)
/* Two turns of a loop that is less late leave a server a third of the shortest
 * silence. */
#define CALM_LOOP_US (50 * TGW_US_PER_MS)
/* Load has to be found at two measurements, 100 ms apart: a burst that fits in
 * one is over before the shortest silence. */
#define LOADED_FOR_US (100 * TGW_US_PER_MS)
/* A connection that was begun at the last moment times out after 250 ms, and
 * the kernel sends a lost segment again after 200 ms. */
#define CALM_FOR_US (500 * TGW_US_PER_MS)

static bool is_late(const struct own_delay_facts *facts)
{
	return facts->loop_lag_us >= LATE_LOOP_US;
}

/* Callers that wait while the loop is in time only wait for their turns;
 * responses are read without turns. */
static bool is_blocked(const struct own_delay_facts *facts)
{
	return facts->loop_lag_us >= BLOCKED_LOOP_US ||
	       (is_late(facts) && facts->longest_wait_us >= BLOCKED_LOOP_US);
}

static bool is_loaded(const struct own_delay_facts *facts)
{
	return facts->link_percent >= FULL_LINK_PERCENT || is_late(facts);
}

static bool is_calm(const struct own_delay_facts *facts)
{
	return facts->link_percent < CALM_LINK_PERCENT &&
	       facts->loop_lag_us < CALM_LOOP_US;
}

/* @return whether the condition has lasted for the time */
static bool has_lasted(int64_t *since_us, bool holds, int64_t time_us,
		       int64_t now_us)
{
	if (!holds) {
		*since_us = 0;
		return false;
	}
	if (!*since_us)
		*since_us = now_us;
	return now_us - *since_us >= time_us;
}

bool own_delay_update(struct own_delay *delay,
		      const struct own_delay_facts *facts)
{
	bool was_active = delay->active;

	if (was_active)
		delay->active = !has_lasted(&delay->calm_since_us,
					    is_calm(facts), CALM_FOR_US,
					    facts->now_us);
	else
		delay->active = has_lasted(&delay->loaded_since_us,
					   is_loaded(facts), LOADED_FOR_US,
					   facts->now_us) ||
				is_blocked(facts);
	if (delay->active == was_active)
		return false;
	delay->loaded_since_us = 0;
	delay->calm_since_us = 0;
	return true;
}
