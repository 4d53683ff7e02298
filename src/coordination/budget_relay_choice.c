#include <string.h>

#include "base/short_name.h"
#include "coordination/budget_relay_private.h"
#include "coordination/team_budget_caps.h"

/* What a host has said of the store counts for this time. */
#define TOLD_RECENT_US (3 * TGW_US_PER_S)
/* Another host is used instead of the relay once it has been the better one for
 * this time: if the relay reaches the store; if it has lost it; and if it has
 * lost it just now and the other one is in the same failure domain and has
 * reached it since. A call that fails takes half a second; and after an outage
 * hosts notice one after the other that the store is back. */
#define BETTER_WAIT_US (2 * TGW_US_PER_S)
#define LOST_WAIT_US (500 * TGW_US_PER_MS)
#define LOST_NOW_WAIT_US (100 * TGW_US_PER_MS)
#define LOST_NOW_US (1 * TGW_US_PER_S)

static void report_change(const struct budget_relay *relay, const char *reason)
{
	const struct team_budget_events *events = &relay->budgets->events;

	if (events->relay_changed)
		events->relay_changed(
			events->arg, relay->current ? relay->current->host : "",
			reason);
}

bool budget_relay_answers(const struct budget_relay *relay,
			  const struct budget_relay_candidate *candidate)
{
	return candidate->is_self ||
	       budget_relay_now_us(relay) >= candidate->suspect_until_us;
}

/* A host of the own failure domain that was never asked is assumed to reach the
 * store, so that starting hosts agree at once. */
bool budget_relay_candidate_reaches_store(
	const struct budget_relay *relay,
	const struct budget_relay_candidate *candidate)
{
	int64_t now = budget_relay_now_us(relay);

	if (candidate->is_self)
		return budget_relay_reaches_store(relay);
	if (!candidate->told_us)
		return !candidate->is_elsewhere;
	return !candidate->store_unreachable &&
	       now - candidate->told_us < TOLD_RECENT_US;
}

/* While nobody reaches the store, the hosts of the failure domain share what
 * they hold. */
static const struct budget_relay_candidate *best_candidate(
	const struct budget_relay *relay)
{
	const struct budget_relay_candidate *first = NULL;

	for (size_t i = 0; i < relay->candidate_count; i++) {
		const struct budget_relay_candidate *candidate =
			&relay->candidates[i];

		if (!budget_relay_answers(relay, candidate))
			continue;
		if (budget_relay_candidate_reaches_store(relay, candidate))
			return candidate;
		if (!first && !candidate->is_elsewhere)
			first = candidate;
	}
	return first;
}

struct budget_relay_candidate *budget_relay_find_candidate(
	struct budget_relay *relay, const char *host)
{
	for (size_t i = 0; i < relay->candidate_count; i++)
		if (!strcmp(relay->candidates[i].host, host))
			return &relay->candidates[i];
	return NULL;
}

struct budget_relay_candidate *budget_relay_current(struct budget_relay *relay)
{
	return budget_relay_find_candidate(relay, relay->current->host);
}

/* What the host holds as a relay is for the new one. */
static void become_member(struct budget_relay *relay)
{
	relay->member_since_us = budget_relay_now_us(relay);
	team_budget_caps_request(relay->budgets);
}

static int64_t wait_us(const struct budget_relay *relay,
		       const struct budget_relay_candidate *better)
{
	if (budget_relay_candidate_reaches_store(relay, relay->current))
		return BETTER_WAIT_US;
	if (better->is_elsewhere ||
	    !budget_relay_candidate_reaches_store(relay, better) ||
	    budget_relay_now_us(relay) - relay->lost_us >= LOST_NOW_US)
		return LOST_WAIT_US;
	return LOST_NOW_WAIT_US;
}

/* A relay that answers is not left before another one has been better for a
 * while. */
static bool must_wait(struct budget_relay *relay,
		      const struct budget_relay_candidate *better)
{
	if (!relay->current || !better ||
	    !budget_relay_answers(relay, relay->current))
		return false;
	if (strcmp(relay->wanted, better->host)) {
		short_name_copy(relay->wanted, better->host);
		relay->wanted_since_us = budget_relay_now_us(relay);
		team_budget_wake(relay->budgets);
	}
	return budget_relay_now_us(relay) - relay->wanted_since_us <
	       wait_us(relay, better);
}

static void use(struct budget_relay *relay,
		const struct budget_relay_candidate *candidate,
		const char *reason)
{
	relay->current = candidate;
	relay->lost_us = 0;
	*relay->wanted = '\0';
	relay->budgets->counters.relay_changes++;
	relay->chosen_us = budget_relay_now_us(relay);
	/* A report that it got when it was the relay before tells nothing. */
	if (relay->current)
		budget_relay_current(relay)->asked_us = 0;
	report_change(relay, reason);
	if (budget_relay_uses_store(relay))
		relay->member_since_us = 0;
	else if (!relay->member_since_us)
		become_member(relay);
	relay->requested = true;
	team_budget_wake(relay->budgets);
}

/* What it knew before may be from before the outage, too. */
static void note_lost(struct budget_relay *relay)
{
	if (!relay->current ||
	    budget_relay_candidate_reaches_store(relay, relay->current)) {
		relay->lost_us = 0;
		return;
	}
	if (relay->lost_us)
		return;
	relay->lost_us = budget_relay_now_us(relay);
	if (!relay->current->is_self)
		relay->doubted_us = relay->lost_us;
	team_budget_wake(relay->budgets);
}

void budget_relay_choose(struct budget_relay *relay, const char *reason)
{
	const struct budget_relay_candidate *best;

	note_lost(relay);
	best = best_candidate(relay);
	if (best == relay->current)
		*relay->wanted = '\0';
	else if (!must_wait(relay, best))
		use(relay, best, reason);
}
