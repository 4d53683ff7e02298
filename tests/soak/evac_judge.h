/**
 * @file evac_judge.h
 * Judges what hosts do about evacuated failure domains and about servers that
 * warm up, by the rules as they are stated. No I/O, no clock.
 */
#ifndef EVAC_JUDGE_H
#define EVAC_JUDGE_H

#include <stdbool.h>
#include <stdint.h>

/** Requests that a server which warms up may get within any second. */
#define EVAC_JUDGE_RATE_MAX 30

/** A request that a server of an evacuated domain got. */
enum evac_judge_arrival {
	EVAC_JUDGE_ALLOWED,
	/** The host was in touch, and the time to apply it was over. */
	EVAC_JUDGE_LATE,
	/** The process was started when the time to apply it was over. */
	EVAC_JUDGE_NOT_KNOWN_AT_START,
};

/** Whether one that may get requests does get some. */
struct evac_judge_use {
	int64_t idle_us; /**< without a request, while one could be sent */
};

struct evac_judge_domain {
	bool evacuated;
	int64_t changed_us; /**< last change that the store acknowledged */
	struct evac_judge_use use;
};

struct evac_judge_warmup {
	int64_t from_us; /**< requests count from then on */
	int64_t until_us;
	/** Times of the last requests that count. */
	int64_t arrivals_us[EVAC_JUDGE_RATE_MAX + 1];
	unsigned int count;
};

/** The store acknowledged a change of the domain's key. */
void evac_judge_change(struct evac_judge_domain *domain, bool evacuated,
		       int64_t at_us);

/** @param bound_us time to apply a change
 * @return whether a domain that was to be left alone has a request at that
 * time. A process that was started later knows it from its start. */
enum evac_judge_arrival evac_judge_arrived(
	const struct evac_judge_domain *domain, int64_t at_us, int64_t bound_us,
	bool in_touch, int64_t started_us);

/** @return whether hosts in touch send to the domain again */
bool evac_judge_is_open(const struct evac_judge_domain *domain, int64_t at_us,
			int64_t bound_us);

/** A server warms up.
 * @param learn_us until hosts know */
void evac_judge_warmup_begin(struct evac_judge_warmup *warmup, int64_t at_us,
			     int64_t duration_us, int64_t learn_us);

/** A request that is not refused by 421 reached the server.
 * @return whether it was one too many within a second */
bool evac_judge_warmup_arrived(struct evac_judge_warmup *warmup, int64_t at_us);

/** A request came. */
void evac_judge_used(struct evac_judge_use *use);

/** No request came for some time in which one could have.
 * @return whether it is idle for too long; once for each time */
bool evac_judge_unused(struct evac_judge_use *use, int64_t span_us,
		       int64_t limit_us);

#endif
