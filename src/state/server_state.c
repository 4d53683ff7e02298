#include "state/server_state.h"

#include <stdlib.h>

#include "base/xalloc.h"

/* A report tells of the server as it was between these times before it
 * arrived. The load is taken on the high side: a start that may be missing
 * counts, an end that may be in it does not. */
#define REPORT_LAG_MOST_US (INT64_C(400) * TGW_US_PER_MS)
#define REPORT_LAG_MIDDLE_US (INT64_C(250) * TGW_US_PER_MS)
#define REPORT_LAG_LEAST_US (INT64_C(100) * TGW_US_PER_MS)
#define FAILURES_UNTIL_EJECTION 3
#define EJECTION_US (INT64_C(5) * TGW_US_PER_S)
#define EJECTION_DOUBLINGS_MAX 4
#define RAMP_US (INT64_C(10) * TGW_US_PER_S)
#define RAMP_FIRST_TENTHS 2
#define DEFAULT_SLOTS 16
#define ROUTERS_LIKE_THIS_MAX 4

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

bool server_state_takes_work(const struct server_state *state)
{
	return state->configured && !state->leaving && !state->server.draining;
}

static void ramp_when_back(struct server_state *state, bool took_work,
			   int64_t now_us)
{
	if (!took_work && server_state_takes_work(state))
		state->ramp_from_us = now_us;
}

void server_state_configure(struct server_state *state,
			    const struct tgw_server *server, int64_t now_us)
{
	bool took_work = server_state_takes_work(state);

	state->configured = server != NULL;
	if (server)
		state->server = *server;
	ramp_when_back(state, took_work, now_us);
}

void server_state_set_leaving(struct server_state *state, bool leaving,
			      int64_t now_us)
{
	bool took_work = server_state_takes_work(state);

	state->leaving = leaving;
	ramp_when_back(state, took_work, now_us);
}

bool server_state_is_ejected(const struct server_state *state, int64_t now_us)
{
	return now_us < state->ejected_until_us;
}

static void note(struct server_recent *recent, int64_t now_us)
{
	recent->at_us[recent->next++ % SERVER_STATE_RECENT] = now_us;
}

static int64_t count_since(const struct server_recent *recent, int64_t since_us)
{
	int64_t count = 0;
	uint32_t used = recent->next < SERVER_STATE_RECENT
				? recent->next
				: SERVER_STATE_RECENT;

	for (uint32_t i = 0; i < used; i++)
		if (recent->at_us[(recent->next - 1 - i) %
				  SERVER_STATE_RECENT] > since_us)
			count++;
		else
			break;
	return count;
}

/* What others did since the report is not known: they are taken to have done
 * as this router did. */
static int64_t routers_like_this(const struct server_state *state)
{
	int64_t total = state->report.running + state->report.waiting;
	int64_t routers = total / (state->in_flight + 1);

	if (routers < 1)
		return 1;
	return routers < ROUTERS_LIKE_THIS_MAX ? routers
					       : ROUTERS_LIKE_THIS_MAX;
}

/* Calls of a service are short: a start is soon followed by its end, so that
 * both are counted over the same time. */
static int64_t service_load(const struct server_state *state)
{
	int64_t since_us = state->report.taken_at_us - REPORT_LAG_MIDDLE_US;

	return state->report.running + state->report.waiting +
	       count_since(&state->started, since_us) -
	       count_since(&state->finished, since_us);
}

static int64_t model_load(const struct server_state *state)
{
	int64_t taken_at_us = state->report.taken_at_us;
	int64_t started =
		count_since(&state->started, taken_at_us - REPORT_LAG_MOST_US);
	int64_t finished = count_since(&state->finished,
				       taken_at_us - REPORT_LAG_LEAST_US);

	return state->report.running + state->report.waiting +
	       (started - finished) * routers_like_this(state);
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
	int64_t elapsed_us = now_us - state->ramp_from_us;
	int64_t ramped;

	if (!state->ramp_from_us || elapsed_us >= RAMP_US)
		return slots;
	ramped = slots * RAMP_FIRST_TENTHS / 10 +
		 slots * (10 - RAMP_FIRST_TENTHS) / 10 * elapsed_us / RAMP_US;
	return ramped > 1 ? ramped : 1;
}

void server_state_on_start(struct server_state *state, int64_t now_us)
{
	state->in_flight++;
	note(&state->started, now_us);
}

void server_state_on_finish(struct server_state *state, int64_t now_us)
{
	state->in_flight--;
	note(&state->finished, now_us);
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

	if (state->ejections_in_a_row < EJECTION_DOUBLINGS_MAX)
		state->ejections_in_a_row++;
	state->failures_in_a_row = 0;
	state->ejected_until_us = now_us + length_us;
	state->ramp_from_us = state->ejected_until_us;
	prefix_index_clear(&state->prefix);
}

void server_state_on_report(struct server_state *state,
			    const struct tgw_load_report *report)
{
	if (state->has_report &&
	    report->taken_at_us < state->report.taken_at_us)
		return;
	state->report = *report;
	state->has_report = true;
}
