#include "soak/part_judge.h"

#include <string.h>

/* Crashes after which the part has to be known. */
#define CRASHES_BEFORE 5
#define CONTACT_US 3000000
#define LATE_ARRIVALS_MAX 3
/* Fewer requests of a group are not compared. */
#define REQUESTS_MIN 20

void part_judge_crash(struct part_judge *judge, int64_t at_us)
{
	judge->crashes++;
	if (judge->crashes <= CRASHES_BEFORE)
		judge->last_crash_us = at_us;
}

void part_judge_arrival(struct part_judge *judge, int64_t at_us, bool in_touch)
{
	if (in_touch && judge->crashes >= CRASHES_BEFORE &&
	    at_us > judge->last_crash_us + CONTACT_US)
		judge->late_arrivals++;
}

void part_judge_next_part(struct part_judge *judge)
{
	judge->crashes = 0;
	judge->last_crash_us = 0;
	judge->late_arrivals = 0;
	memset(judge->during, 0, sizeof(judge->during));
}

static void count(struct part_judge_share shares[PART_JUDGE_GROUPS],
		  unsigned int first_part, bool begun)
{
	const unsigned int groups[] = {first_part, PART_JUDGE_TEAM};

	for (unsigned int i = 0; i < 2; i++) {
		shares[groups[i]].requests++;
		shares[groups[i]].begun += begun;
	}
}

void part_judge_sound(struct part_judge *judge, unsigned int first_part,
		      int64_t sent_us, bool begun, bool comes, bool disturbed)
{
	if (!comes && !disturbed)
		count(judge->before, first_part, begun);
	else if (comes && judge->crashes &&
		 sent_us > judge->last_crash_us + 2 * CONTACT_US)
		count(judge->during, first_part, begun);
}

bool part_judge_breaks_budget(const struct part_judge *judge)
{
	return judge->late_arrivals > LATE_ARRIVALS_MAX;
}

bool part_judge_breaks_lost(const struct part_judge *judge, unsigned int *group)
{
	for (unsigned int i = 0; i < PART_JUDGE_GROUPS; i++) {
		const struct part_judge_share *before = &judge->before[i];
		const struct part_judge_share *during = &judge->during[i];

		if (before->requests < REQUESTS_MIN ||
		    during->requests < REQUESTS_MIN)
			continue;
		*group = i;
		if ((uint64_t)2 * during->begun * before->requests <
		    (uint64_t)before->begun * during->requests)
			return true;
	}
	return false;
}
