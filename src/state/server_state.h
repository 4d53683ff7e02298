/**
 * @file server_state.h
 * A router's view of one backend server: its load, whether it may get work,
 * and the prefixes in its cache.
 */
#ifndef STATE_SERVER_STATE_H
#define STATE_SERVER_STATE_H

#include <stdbool.h>
#include <stdint.h>

#include "state/prefix_index.h"
#include "tamarackgw/config_snapshot.h"
#include "tamarackgw/router.h"

#define RECENT_TIMES_MAX 64

/** The times of the last events of one kind. */
struct recent_times {
	uint32_t next; /**< counts all events; at_us is a ring */
	int64_t at_us[RECENT_TIMES_MAX];
};

struct server_state {
	struct tgw_server server; /**< copy of the configuration's entry */
	bool configured;   /**< false: removed from the configuration, but
			    * still with attempts in flight */
	bool leaving;	   /**< according to the platform's list */
	int64_t in_flight; /**< attempts of this router */
	bool has_report;
	struct tgw_load_report report;
	struct recent_times started;
	struct recent_times finished;
	uint32_t failures_in_a_row;
	uint32_t ejections_in_a_row;
	int64_t ejected_until_us;
	int64_t slow_start_at_us; /**< begin of the slow start; 0: none */
	struct prefix_index prefix;
};

struct server_state *server_state_new(const struct tgw_server *server);

void server_state_free(struct server_state *state);

/** Applies a changed configuration entry. A server that accepts work again
 * begins with a slow start.
 * @param server NULL when the server was removed from the configuration */
void server_state_configure(struct server_state *state,
			    const struct tgw_server *server, int64_t now_us);

void server_state_set_leaving(struct server_state *state, bool leaving,
			      int64_t now_us);

/** @return whether the server may get new work, regardless of its load and of
 * ejections */
bool server_state_accepts_work(const struct server_state *state);

bool server_state_is_ejected(const struct server_state *state, int64_t now_us);

/** @return the estimated load in requests: the last report, corrected by the
 * attempts that this router has started and finished since and, for a model
 * server, by an estimate for the other routers; at least the attempts of this
 * router in flight */
int64_t server_state_load(const struct server_state *state);

/** @return the slots that may be used now; fewer during a slow start */
int64_t server_state_slots(const struct server_state *state, int64_t now_us);

void server_state_on_start(struct server_state *state, int64_t now_us);

void server_state_on_finish(struct server_state *state, int64_t now_us);

/** Counts a failure.
 * @return whether the failures in a row reach the limit for an ejection */
bool server_state_on_failure(struct server_state *state);

void server_state_on_success(struct server_state *state);

/** Excludes the server from new work for a time that doubles, up to a maximum,
 * with each ejection since the last success. A slow start follows. Clears the
 * prefix index. */
void server_state_eject(struct server_state *state, int64_t now_us);

/** Stores a load report, unless a newer one is stored. */
void server_state_on_report(struct server_state *state,
			    const struct tgw_load_report *report);

#endif
