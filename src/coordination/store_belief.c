#include "coordination/store_belief.h"

#include "tamarackgw/clock.h"

/* A host that watches the store makes a call in each second; a host that does
 * not has to make one of its own after this. */
#define RECENT_US (3 * TGW_US_PER_S)

void store_belief_note(struct store_belief *belief,
		       const struct store_belief_evidence *evidence,
		       int64_t now_us)
{
	if (!evidence->answered && !belief->unreachable &&
	    evidence->began_us < belief->known_us)
		return;
	if (!belief->known_us || belief->unreachable == evidence->answered)
		belief->changed_us = now_us;
	belief->unreachable = !evidence->answered;
	belief->source = evidence->source;
	belief->known_us = now_us;
}

bool store_belief_is_recent(const struct store_belief *belief, int64_t now_us)
{
	return belief->known_us && now_us - belief->known_us < RECENT_US;
}

bool store_belief_reaches(const struct store_belief *belief, int64_t now_us)
{
	return !belief->unreachable && store_belief_is_recent(belief, now_us);
}

const char *store_belief_source_name(enum store_belief_source source)
{
	static const char *const names[] = {
		[STORE_BELIEF_NO_CALL] = "none",
		[STORE_BELIEF_WATCH] = "watch",
		[STORE_BELIEF_BUDGETS] = "budgets",
		[STORE_BELIEF_PROBE] = "probe",
	};

	return names[source];
}
