#include "state/attempt_plan.h"

#include "tamarackgw/clock.h"

/* No retry is made with less time than this remaining, since a server could
 * hardly complete it. */
#define MIN_RETRY_US (30 * TGW_US_PER_MS)

/* Whether a server received the request: another attempt is a retry then. */
static bool is_retry(const struct attempt_facts *facts)
{
	return facts->trigger == ATTEMPT_FAILED ||
	       facts->trigger == ATTEMPT_SILENT;
}

static enum attempt_obstacle find_obstacle(const struct attempt_facts *facts)
{
	if (facts->caller_left)
		return ATTEMPT_CALLER_LEFT;
	if (facts->left_us <= (is_retry(facts) ? MIN_RETRY_US : 0))
		return ATTEMPT_NO_TIME;
	if (facts->is_quarantined)
		return ATTEMPT_QUARANTINED;
	if (!facts->may_run_again)
		return ATTEMPT_KIND;
	if (facts->crashes_servers)
		return ATTEMPT_CRASHES;
	if (facts->trigger == ATTEMPT_SILENT && facts->own_delay)
		return ATTEMPT_OWN_DELAY;
	if (facts->attempts >= ATTEMPTS_MAX ||
	    (is_retry(facts) && facts->sent >= facts->sent_max))
		return ATTEMPT_LIMIT;
	if (facts->placement != PLACEMENT_FOUND)
		return ATTEMPT_NO_SERVER;
	if (is_retry(facts) && !facts->has_retry_credit)
		return ATTEMPT_NO_RETRY_CREDIT;
	return ATTEMPT_NO_OBSTACLE;
}

/* A delayed connection may still be made, which is better than to refuse the
 * request because no other server is left. */
static bool may_still_connect(const struct attempt_facts *facts,
			      enum attempt_obstacle obstacle)
{
	return facts->trigger == ATTEMPT_CONNECT_DELAYED &&
	       (obstacle == ATTEMPT_LIMIT || obstacle == ATTEMPT_NO_SERVER);
}

struct attempt_plan attempt_plan_make(const struct attempt_facts *facts)
{
	struct attempt_plan plan = {
		.step = ATTEMPT_STEP_SEND,
		.obstacle = find_obstacle(facts),
	};
	bool any_open = facts->trigger == ATTEMPT_SILENT ||
			facts->other_is_open;

	if (plan.obstacle == ATTEMPT_NO_OBSTACLE)
		plan.spends_retry_credit = is_retry(facts);
	else if (may_still_connect(facts, plan.obstacle))
		plan.step = ATTEMPT_STEP_CONNECT;
	else if (any_open && !facts->caller_left && facts->left_us > 0)
		plan.step = ATTEMPT_STEP_WAIT;
	else
		plan.step = ATTEMPT_STEP_END;
	return plan;
}

const char *attempt_obstacle_name(enum attempt_obstacle obstacle)
{
	static const char *const names[] = {
		[ATTEMPT_NO_OBSTACLE] = "-",
		[ATTEMPT_CALLER_LEFT] = "caller_left",
		[ATTEMPT_NO_TIME] = "time",
		[ATTEMPT_QUARANTINED] = "quarantine",
		[ATTEMPT_KIND] = "kind",
		[ATTEMPT_CRASHES] = "crashes",
		[ATTEMPT_OWN_DELAY] = "own_delay",
		[ATTEMPT_LIMIT] = "attempts",
		[ATTEMPT_NO_SERVER] = "no_server",
		[ATTEMPT_NO_RETRY_CREDIT] = "retry_budget",
	};

	return names[obstacle];
}
