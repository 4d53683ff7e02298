#include "daemon/stop_plan.h"

#include "daemon/log.h"

#define CHECK_INTERVAL_US (20 * TGW_US_PER_MS)
#define GIVE_BACK_LIMIT_US (10 * TGW_US_PER_S)
#define NOT_DUE_US (3600 * TGW_US_PER_S)

static void enter(struct stop_plan *plan, enum stop_phase phase,
		  int64_t ends_us)
{
	plan->phase = phase;
	plan->phase_ends_us = ends_us;
}

void stop_plan_ask(struct stop_plan *plan, struct runtime *runtime)
{
	int64_t now_us = tgw_clock_monotonic_us(runtime->clock);

	if (plan->phase != STOP_NOT_ASKED) {
		log_line(LOG_DAEMON, LOG_WARNING, NULL,
			 "Asked again to stop: ends at once.");
		enter(plan, STOP_DONE, now_us);
		return;
	}
	log_line(LOG_DAEMON, LOG_INFO, NULL, "A planned stop begins.");
	atomic_store(&runtime->stopping, true);
	tgw_membership_set_self(
		runtime->membership, true,
		tgw_config_follower_generation(runtime->follower));
	enter(plan, STOP_NOTICE,
	      now_us + runtime->settings->stop_notice_ms * TGW_US_PER_MS);
}

static void finish_requests(struct stop_plan *plan, struct runtime *runtime,
			    struct gateway *gateway, int64_t now_us)
{
	gateway_stop_accepting(gateway);
	enter(plan, STOP_FINISH,
	      now_us + runtime->settings->stop_grace_s * TGW_US_PER_S);
	log_line(LOG_DAEMON, LOG_INFO, NULL,
		 "Takes no new requests; %ld are open.",
		 atomic_load(&runtime->open_requests));
}

static void give_back(struct stop_plan *plan, struct runtime *runtime,
		      int64_t now_us)
{
	long open = atomic_load(&runtime->open_requests);

	if (open)
		log_line(LOG_DAEMON, LOG_ERROR, NULL,
			 "%ld requests did not end in time; raise [limits] "
			 "stop_grace_s.",
			 open);
	tgw_claim_drain(runtime->claims);
	tgw_budget_drain(runtime->budget);
	enter(plan, STOP_GIVE_BACK, now_us + GIVE_BACK_LIMIT_US);
}

static void end_plan(struct stop_plan *plan, const struct runtime *runtime,
		     int64_t now_us)
{
	if (!tgw_budget_is_drained(runtime->budget))
		log_line(LOG_DAEMON, LOG_WARNING, NULL,
			 "Allotments were not given back: the store or the "
			 "other hosts did not answer. They will be written "
			 "off.");
	enter(plan, STOP_DONE, now_us);
}

int64_t stop_plan_tick(struct stop_plan *plan, struct runtime *runtime,
		       struct gateway *gateway)
{
	int64_t now_us = tgw_clock_monotonic_us(runtime->clock);
	bool is_late = now_us >= plan->phase_ends_us;

	switch (plan->phase) {
	case STOP_NOT_ASKED:
		return now_us + NOT_DUE_US;
	case STOP_NOTICE:
		if (is_late)
			finish_requests(plan, runtime, gateway, now_us);
		break;
	case STOP_FINISH:
		if (is_late || !atomic_load(&runtime->open_requests))
			give_back(plan, runtime, now_us);
		break;
	case STOP_GIVE_BACK:
		if (is_late || (tgw_budget_is_drained(runtime->budget) &&
				tgw_claim_is_drained(runtime->claims)))
			end_plan(plan, runtime, now_us);
		break;
	case STOP_DONE:
		break;
	}
	return now_us + CHECK_INTERVAL_US;
}
