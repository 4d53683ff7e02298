#include "state/host_load.h"

#include <string.h>

#include "tamarackgw/clock.h"

/* Own work waits at most about this long for callers' requests. */
#define MAX_LAG_US (20 * TGW_US_PER_MS)
/* Turns that callers gain with each decision while the loop is in time. */
#define TURNS_STEP 4
/* A caller gives a host up that has not read its request after about a second.
 */
#define OVERLOADED_WAIT_US (500 * TGW_US_PER_MS)
#define CALM_WAIT_US (100 * TGW_US_PER_MS)
#define CALM_FOR_US (1 * TGW_US_PER_S)
#define OVERLOADED_CONNECTIONS_PERCENT 75
#define CALM_CONNECTIONS_PERCENT 60
#define OVERLOADED_LINK_PERCENT 75
#define CALM_LINK_PERCENT 55
/* Callers that leave at once would overload the next host together. */
#define ENDED_FOR_LINK_PERCENT 25

void host_load_init(struct host_load *load)
{
	memset(load, 0, sizeof(*load));
	load->turns = HOST_LOAD_MAX_TURNS;
}

static uint32_t next_turns(uint32_t turns, int64_t loop_lag_us)
{
	if (loop_lag_us > MAX_LAG_US)
		return turns / 2 < HOST_LOAD_MIN_TURNS ? HOST_LOAD_MIN_TURNS
						       : turns / 2;
	return turns + TURNS_STEP > HOST_LOAD_MAX_TURNS ? HOST_LOAD_MAX_TURNS
							: turns + TURNS_STEP;
}

static bool is_pressed(const struct host_load_view *view)
{
	return view->longest_wait_us >= OVERLOADED_WAIT_US ||
	       view->link_percent >= OVERLOADED_LINK_PERCENT ||
	       view->connections_percent >= OVERLOADED_CONNECTIONS_PERCENT;
}

static bool is_calm(struct host_load *load, const struct host_load_view *view)
{
	if (view->longest_wait_us >= CALM_WAIT_US ||
	    view->link_percent >= CALM_LINK_PERCENT ||
	    view->connections_percent >= CALM_CONNECTIONS_PERCENT) {
		load->calm_since_us = 0;
		return false;
	}
	if (!load->calm_since_us)
		load->calm_since_us = view->now_us;
	return view->now_us - load->calm_since_us >= CALM_FOR_US;
}

static uint32_t ended_percent(const struct host_load_view *view)
{
	if (view->connections_percent >= OVERLOADED_CONNECTIONS_PERCENT)
		return 100;
	return view->link_percent >= OVERLOADED_LINK_PERCENT
		       ? ENDED_FOR_LINK_PERCENT
		       : 0;
}

bool host_load_update(struct host_load *load, const struct host_load_view *view)
{
	bool was_overloaded = load->overloaded;

	load->loop_lag_us = view->loop_lag_us;
	load->longest_wait_us = view->longest_wait_us;
	load->turns = next_turns(load->turns, view->loop_lag_us);
	load->ended_percent = ended_percent(view);
	if (was_overloaded)
		load->overloaded = !is_calm(load, view);
	else
		load->overloaded = is_pressed(view);
	if (load->overloaded != was_overloaded)
		load->calm_since_us = 0;
	return load->overloaded != was_overloaded;
}

bool host_load_ends_connection(struct host_load *load)
{
	load->ended_carry_percent += load->ended_percent;
	if (load->ended_carry_percent < 100)
		return false;
	load->ended_carry_percent -= 100;
	return true;
}
