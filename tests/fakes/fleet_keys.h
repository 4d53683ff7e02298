/**
 * @file fleet_keys.h
 * What a host of a team_fleet follows in the store besides its budgets, through
 * its relay or by itself, as the edge does, and what it learns by that of
 * whether the store answers.
 */
#ifndef FAKES_FLEET_KEYS_H
#define FAKES_FLEET_KEYS_H

#include "coordination/backend_follower.h"
#include "coordination/store_mirror.h"
#include "coordination/team_budget.h"
#include "fakes/fake_store.h"

struct fleet_keys {
	struct store_mirror *mirror; /**< NULL while no process runs */
	struct backend_table table;
	struct backend_follower *follower;
	struct team_budget *budgets;
	int64_t due_us;
};

/** Writes the keys, before the first host starts. */
void fleet_keys_fill(struct fake_store_server *server);

/** @param budgets are told of outages of the store */
void fleet_keys_start(struct fleet_keys *keys, struct tgw_store *store,
		      const struct tgw_clock *clock, struct tgw_peer *peer,
		      struct team_budget *budgets);
void fleet_keys_stop(struct fleet_keys *keys);

void fleet_keys_tick(struct fleet_keys *keys, int64_t now_us);

#endif
