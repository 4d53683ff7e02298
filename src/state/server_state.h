/**
 * @file server_state.h
 * What one router knows of one backend server: its load, whether it may be
 * given work, and the prefixes that it holds.
 */
#ifndef STATE_SERVER_STATE_H
#define STATE_SERVER_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/prefix_index.h"
#include "tamarackgw/config_snapshot.h"
#include "tamarackgw/router.h"

#define SERVER_STATE_RECENT 64

/** The last points in time at which something happened. */
struct server_recent {
	uint32_t next;
	int64_t at_us[SERVER_STATE_RECENT];
};

struct server_state {
	struct tgw_server server; /**< copy of the configuration's entry */
	bool configured;	  /**< false: removed, but with work running */
	bool leaving;		  /**< by the platform's list */
	int64_t in_flight;	  /**< of this router */
	bool has_report;
	struct tgw_load_report report;
	struct server_recent started;
	struct server_recent finished;
	uint32_t failures_in_a_row;
	uint32_t ejections_in_a_row;
	int64_t ejected_until_us;
	int64_t ramp_from_us; /**< slow start since then; 0 when over */
	struct prefix_index prefix;
};

struct server_state *server_state_new(const struct tgw_server *server);

void server_state_free(struct server_state *state);

/** Takes over a changed entry. A server that comes back ramps up. */
void server_state_configure(struct server_state *state,
			    const struct tgw_server *server, int64_t now_us);

void server_state_set_leaving(struct server_state *state, bool leaving,
			      int64_t now_us);

/** @return whether nothing forbids new work, load and ejection aside */
bool server_state_takes_work(const struct server_state *state);

bool server_state_is_ejected(const struct server_state *state, int64_t now_us);

/** The report, corrected by what this router started and ended since. */
int64_t server_state_load(const struct server_state *state);

/** Slots that may be used now; fewer during a slow start. */
int64_t server_state_slots(const struct server_state *state, int64_t now_us);

void server_state_on_start(struct server_state *state, int64_t now_us);

void server_state_on_finish(struct server_state *state, int64_t now_us);

/** @return whether the failures now call for an ejection */
bool server_state_on_failure(struct server_state *state);

void server_state_on_success(struct server_state *state);

void server_state_eject(struct server_state *state, int64_t now_us);

void server_state_on_report(struct server_state *state,
			    const struct tgw_load_report *report);

#endif
