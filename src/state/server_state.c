#include "state/server_state.h"

#include <stdlib.h>

#include "base/xalloc.h"

/* A load report describes the server at some time between MIN_REPORT_LAG_US and
 * MAX_REPORT_LAG_US before the report arrived. The estimate of the load errs on
 * the high side: it includes a start that the report may lack, and does not
 * deduct an end that the report may already include. */
#define MAX_REPORT_LAG_US (INT64_C(400) * TGW_US_PER_MS)
#define TYPICAL_REPORT_LAG_US (INT64_C(250) * TGW_US_PER_MS)
#define MIN_REPORT_LAG_US (INT64_C(100) * TGW_US_PER_MS)
#define FAILURES_UNTIL_EJECTION 3
#define EJECTION_US (INT64_C(5) * TGW_US_PER_S)
#define MAX_EJECTION_DOUBLINGS 4
#define SLOW_START_US (INT64_C(10) * TGW_US_PER_S)
#define SLOW_START_INITIAL_TENTHS 2
#define DEFAULT_SLOTS 16
#define MAX_ESTIMATED_ROUTERS 4

struct server_state *server_state_new(const struct tgw_server *server)
{
	struct server_state *state = xcalloc(1, sizeof(*state));

	state->server = *server;
	state->configured = true;
	return state;
}

void server_state_free(struct server_state *state)
{
	if (!state)
		return;
	prefix_index_free(&state->prefix);
	free(state);
}

bool server_state_accepts_work(const struct server_state *state)
{
	return state->configured && !state->leaving && !state->server.draining;
}

static void begin_slow_start_if_back(struct server_state *state,
				     bool accepted_work, int64_t now_us)
{
	if (!accepted_work && server_state_accepts_work(state))
		state->slow_start_at_us = now_us;
}

void server_state_configure(struct server_state *state,
			    const struct tgw_server *server, int64_t now_us)
{
	bool accepted_work = server_state_accepts_work(state);

	state->configured = server != NULL;
	if (server)
		state->server = *server;
	begin_slow_start_if_back(state, accepted_work, now_us);
}

void server_state_set_leaving(struct server_state *state, bool leaving,
			      int64_t now_us)
{
	bool accepted_work = server_state_accepts_work(state);

	state->leaving = leaving;
	begin_slow_start_if_back(state, accepted_work, now_us);
}

bool server_state_is_ejected(const struct server_state *state, int64_t now_us)
{
	return now_us < state->ejected_until_us;
}

static void record_time(struct recent_times *recent, int64_t now_us)
{
	recent->at_us[recent->next++ % RECENT_TIMES_MAX] = now_us;
}

static int64_t count_since(const struct recent_times *recent, int64_t since_us)
{
	int64_t count = 0;
	uint32_t used = recent->next < RECENT_TIMES_MAX ? recent->next
							: RECENT_TIMES_MAX;

	for (uint32_t i = 0; i < used; i++)
		if (recent->at_us[(recent->next - 1 - i) % RECENT_TIMES_MAX] >
		    since_us)
			count++;
		else
			break;
	return count;
}

/* Returns the assumed number of routers that send work to the server. What the
 * others have done since the report is not known: the load is estimated as if
 * each had done the same as this one. */
static int64_t estimated_routers(const struct server_state *state)
{
	int64_t total = state->report.running + state->report.waiting;
	int64_t routers = total / (state->in_flight + 1);

	if (routers < 1)
		return 1;
	return routers < MAX_ESTIMATED_ROUTERS ? routers
					       : MAX_ESTIMATED_ROUTERS;
}

/* Calls of a service are short: an end soon follows its start, so both are
 * counted over the same period. */
static int64_t service_load(const struct server_state *state)
{
	int64_t since_us = state->report.received_at_us - TYPICAL_REPORT_LAG_US;

	return state->report.running + state->report.waiting +
	       count_since(&state->started, since_us) -
	       count_since(&state->finished, since_us);
}

static int64_t model_load(const struct server_state *state)
{
	int64_t received_at_us = state->report.received_at_us;
	int64_t started = count_since(&state->started,
				      received_at_us - MAX_REPORT_LAG_US);
	int64_t finished = count_since(&state->finished,
				       received_at_us - MIN_REPORT_LAG_US);

	return state->report.running + state->report.waiting +
	       (started - finished) * estimated_routers(state);
}

int64_t server_state_load(const struct server_state *state)
{
	int64_t load;

	if (!state->has_report)
		return state->in_flight;
	load = state->server.kind == TGW_SERVER_SERVICE ? service_load(state)
							: model_load(state);
	return load > state->in_flight ? load : state->in_flight;
}

int64_t server_state_slots(const struct server_state *state, int64_t now_us)
{
	int64_t slots = state->server.slots > 0 ? state->server.slots
						: DEFAULT_SLOTS;
	int64_t elapsed_us = now_us - state->slow_start_at_us;
	int64_t reduced;

	if (!state->slow_start_at_us || elapsed_us >= SLOW_START_US)
		return slots;
	reduced = slots * SLOW_START_INITIAL_TENTHS / 10 +
		  slots * (10 - SLOW_START_INITIAL_TENTHS) / 10 * elapsed_us /
			  SLOW_START_US;
	return reduced > 1 ? reduced : 1;
}

void server_state_on_start(struct server_state *state, int64_t now_us)
{
	state->in_flight++;
	record_time(&state->started, now_us);
}

void server_state_on_finish(struct server_state *state, int64_t now_us)
{
	state->in_flight--;
	record_time(&state->finished, now_us);
}

bool server_state_on_failure(struct server_state *state)
{
	state->failures_in_a_row++;
	return state->failures_in_a_row >= FAILURES_UNTIL_EJECTION;
}

void server_state_on_success(struct server_state *state)
{
	state->failures_in_a_row = 0;
	state->ejections_in_a_row = 0;
}

void server_state_eject(struct server_state *state, int64_t now_us)
{
	int64_t length_us = EJECTION_US << state->ejections_in_a_row;

	if (state->ejections_in_a_row < MAX_EJECTION_DOUBLINGS)
		state->ejections_in_a_row++;
	state->failures_in_a_row = 0;
	state->ejected_until_us = now_us + length_us;
	state->slow_start_at_us = state->ejected_until_us;
	prefix_index_clear(&state->prefix);
}

void server_state_on_report(struct server_state *state,
			    const struct tgw_load_report *report)
{
	if (state->has_report &&
	    report->received_at_us < state->report.received_at_us)
		return;
	state->report = *report;
	state->has_report = true;
}
