/**
 * @file fake_agents.h
 * Fakes of the agents, of the configuration's look-up functions and of the log,
 * for tests of the daemon's components. A test sets their results before it
 * sends its requests.
 */
#ifndef FAKES_AGENTS_FAKE_AGENTS_H
#define FAKES_AGENTS_FAKE_AGENTS_H

#include <stdatomic.h>
#include <stdbool.h>
#include <stdint.h>

#include "tamarackgw/budget.h"
#include "tamarackgw/claim.h"
#include "tamarackgw/config_snapshot.h"
#include "tamarackgw/quarantine.h"
#include "tamarackgw/router.h"

struct fake_agents {
	/* Results that the fakes return. */
	enum tgw_status reserve_status;
	bool already_reserved;
	bool already_settled;
	enum tgw_claim_state claim_state;
	bool body_not_kept;
	enum tgw_status ticket_status;
	/** Status of all routing answers. With OK, a request that no server
	 * serves still gets NOT_FOUND. */
	enum tgw_status route_status;
	bool routes_stay_queued; /**< routing requests stay queued */
	enum tgw_quarantine_verdict verdict;
	const char *probation_server;
	const struct tgw_config_snapshot *config;

	/* How often the fakes were called, and their last arguments. */
	atomic_int reserves;
	_Atomic int64_t last_bound_tokens;
	atomic_int settles;
	_Atomic int64_t last_settled_tokens;
	atomic_int last_settle_basis;
	atomic_int submits;
	atomic_int retries;
	atomic_int finishes;
	atomic_int last_route_outcome;
	atomic_int routes_open; /**< routed attempts that are not finished */
	atomic_int claims;
	atomic_int claims_with_ticket;
	atomic_int first_attempts;
	atomic_int claim_finishes;
	atomic_int last_claim_outcome;
	atomic_int entered; /**< admitted attempts that have not ended */
	atomic_int crashes;
	atomic_int last_others_running;
	atomic_int load_reports;
	atomic_int cache_events;
	atomic_int route_cancels;
};

extern struct fake_agents fake_agents;

/** Resets the counters and the results: the fakes then grant every request. */
void fake_agents_reset(const struct tgw_config_snapshot *config);

#endif
