/**
 * @file part_judge.h
 * Judges what hosts do about one part of a prompt that crashes servers, by the
 * rules as they are stated. No I/O, no clock.
 *
 * - After the fifth crash, and the time for all hosts in touch to know, few
 *   requests with the part may still reach servers.
 * - Meanwhile sound requests that share their team or their first part begin at
 *   least half as often as before.
 */
#ifndef PART_JUDGE_H
#define PART_JUDGE_H

#include <stdbool.h>
#include <stdint.h>

#define PART_JUDGE_FIRST_PARTS 8
/** Requests that share their first part, and one more group: all of the team.
 */
#define PART_JUDGE_GROUPS (PART_JUDGE_FIRST_PARTS + 1)
#define PART_JUDGE_TEAM PART_JUDGE_FIRST_PARTS

/** How often sound requests of one group began at a server. */
struct part_judge_share {
	unsigned int requests;
	unsigned int begun;
};

struct part_judge {
	unsigned int crashes;
	int64_t last_crash_us; /**< the fifth, or the last of fewer */
	unsigned int late_arrivals;
	struct part_judge_share before[PART_JUDGE_GROUPS];
	struct part_judge_share during[PART_JUDGE_GROUPS];
};

/** A server crashed by the part. */
void part_judge_crash(struct part_judge *judge, int64_t at_us);

/** A request with the part reached a server.
 * @param in_touch whether the host that sent it was */
void part_judge_arrival(struct part_judge *judge, int64_t at_us, bool in_touch);

/** Begins anew with another part; the shares before it stay. */
void part_judge_next_part(struct part_judge *judge);

/** A sound request of a host in touch ended.
 * @param comes whether requests with the part still come
 * @param disturbed whether servers crashed a short time ago for any reason,
 * so that it is not one to compare with */
void part_judge_sound(struct part_judge *judge, unsigned int first_part,
		      int64_t sent_us, bool begun, bool comes, bool disturbed);

/** @return whether too many requests reached servers too late */
bool part_judge_breaks_budget(const struct part_judge *judge);

/** @param group receives the number of the first group that began too seldom
 * @return whether there is one */
bool part_judge_breaks_lost(const struct part_judge *judge,
			    unsigned int *group);

#endif
