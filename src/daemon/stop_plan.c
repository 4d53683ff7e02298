#include "daemon/stop_plan.h"

#include <inttypes.h>

#include "daemon/log.h"

#define CHECK_INTERVAL_US (20 * TGW_US_PER_MS)
#define DRAIN_TIMEOUT_US (10 * TGW_US_PER_S)
#define NOT_DUE_US (3600 * TGW_US_PER_S)

static void enter_phase(struct stop_plan *plan, enum stop_phase phase,
			int64_t ends_us)
{
	plan->phase = phase;
	plan->phase_ends_us = ends_us;
}

void stop_plan_request(struct stop_plan *plan, struct runtime *runtime)
{
	int64_t now_us = tgw_clock_monotonic_us(runtime->clock);

	if (plan->phase != STOP_NOT_REQUESTED) {
		log_line(LOG_DAEMON, LOG_WARNING, NULL,
			 "Second stop request: abandons the planned stop and "
			 "exits at once.");
		enter_phase(plan, STOP_DONE, now_us);
		return;
	}
	log_line(LOG_DAEMON, LOG_INFO, NULL,
		 "Planned stop: not ready any more; accepts requests for "
		 "another %" PRId64 " ms.",
		 runtime->settings->stop_notice_ms);
	atomic_store(&runtime->stopping, true);
	tgw_membership_set_self(
		runtime->membership, true,
		tgw_config_follower_generation(runtime->follower));
	enter_phase(plan, STOP_NOTICE,
		    now_us + runtime->settings->stop_notice_ms * TGW_US_PER_MS);
}

static void finish_requests(struct stop_plan *plan, struct runtime *runtime,
			    struct gateway *gateway, int64_t now_us)
{
	gateway_stop_accepting(gateway);
	enter_phase(plan, STOP_FINISH_REQUESTS,
		    now_us + runtime->settings->stop_grace_s * TGW_US_PER_S);
	log_line(LOG_DAEMON, LOG_INFO, NULL,
		 "Accepts no new requests; waits up to %" PRId64
		 " s for %ld open ones.",
		 runtime->settings->stop_grace_s,
		 atomic_load(&runtime->open_requests));
}

static void drain_agents(struct stop_plan *plan, struct runtime *runtime,
			 int64_t now_us)
{
	long open = atomic_load(&runtime->open_requests);

	if (open)
		log_line(LOG_DAEMON, LOG_ERROR, NULL,
			 "%ld requests did not end within %" PRId64
			 " s; raise [limits] stop_grace_s.",
			 open, runtime->settings->stop_grace_s);
	tgw_claim_drain(runtime->claims);
	tgw_budget_drain(runtime->budget);
	enter_phase(plan, STOP_DRAIN_AGENTS, now_us + DRAIN_TIMEOUT_US);
}

static void finish_plan(struct stop_plan *plan, const struct runtime *runtime,
			int64_t now_us)
{
	if (!tgw_budget_is_drained(runtime->budget))
		log_line(LOG_DAEMON, LOG_WARNING, NULL,
			 "Allotments were not returned to the ledger within "
			 "%" PRId64 " s: the store or the other hosts did not "
			 "answer. They will be written off.",
			 DRAIN_TIMEOUT_US / TGW_US_PER_S);
	enter_phase(plan, STOP_DONE, now_us);
}

static bool is_serving(const struct runtime *runtime,
		       const struct gateway *gateway)
{
	return atomic_load(&runtime->open_requests) ||
	       gateway_is_writing(gateway);
}

int64_t stop_plan_tick(struct stop_plan *plan, struct runtime *runtime,
		       struct gateway *gateway)
{
	int64_t now_us = tgw_clock_monotonic_us(runtime->clock);
	bool phase_expired = now_us >= plan->phase_ends_us;

	switch (plan->phase) {
	case STOP_NOT_REQUESTED:
		return now_us + NOT_DUE_US;
	case STOP_NOTICE:
		if (phase_expired)
			finish_requests(plan, runtime, gateway, now_us);
		break;
	case STOP_FINISH_REQUESTS:
		if (phase_expired || !is_serving(runtime, gateway))
			drain_agents(plan, runtime, now_us);
		break;
	case STOP_DRAIN_AGENTS:
		if (phase_expired || (tgw_budget_is_drained(runtime->budget) &&
				      tgw_claim_is_drained(runtime->claims)))
			finish_plan(plan, runtime, now_us);
		break;
	case STOP_DONE:
		break;
	}
	return now_us + CHECK_INTERVAL_US;
}
