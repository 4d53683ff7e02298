/**
 * @file lost_judge.h
 * Decides for each request that ended at one host whether the host lost it:
 * its connection closed without a complete response, and nothing excuses that.
 * No I/O, no clock.
 */
#ifndef LOST_JUDGE_H
#define LOST_JUDGE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Planned work, which must not cost a response. */
enum lost_work {
	LOST_STOP,   /**< SIGTERM */
	LOST_RELOAD, /**< SIGHUP */
	LOST_CHANGE, /**< of the configuration */
	LOST_WORK_KINDS,
};

/** How a request ended, as its caller and the backend servers saw it. */
struct lost_end {
	int64_t begun_us; /**< its first byte was sent */
	int64_t whole_us; /**< its last byte was sent; 0: never */
	int64_t ended_us;
	int64_t limit_us;	 /**< time that it had, from its first byte */
	unsigned int arrivals;	 /**< at servers */
	int64_t worked_until_us; /**< a server was at work on it; 0: never */
	unsigned int served_before; /**< responses on its connection */
	bool complete;		    /**< its response */
};

enum lost_verdict {
	LOST_ANSWERED,
	LOST_UNREAD,	/**< not read, or it crossed the close */
	LOST_TIME_OVER, /**< its time was up */
	LOST_CUT_AT_STOP,
	LOST_CUT_AT_RELOAD,
	LOST_CUT_BESIDE_CHANGE, /**< counts by how often that happens */
	LOST_CUT_ALONE,		/**< with no planned work near */
	LOST_VERDICTS,
};

struct lost_span {
	enum lost_work work;
	int64_t at_us;
};

/** What is known of one host. */
struct lost_judge {
	int64_t grace_us; /**< from SIGTERM until it is killed */
	struct lost_span *spans;
	size_t span_count;
	size_t span_capacity;
	unsigned int verdicts[LOST_VERDICTS];
	unsigned int requests_beside_change;
	unsigned int requests_elsewhere;
	unsigned int cuts_elsewhere; /**< by other rules, at other times */
	unsigned int kept_cuts;	     /**< passed on from a kept connection */
};

void lost_judge_free(struct lost_judge *judge);

/** Records planned work at this host. */
void lost_judge_plan(struct lost_judge *judge, enum lost_work work,
		     int64_t at_us);

/** Judges and counts a request. */
enum lost_verdict lost_judge_end(struct lost_judge *judge,
				 const struct lost_end *end);

/** @return whether it was sent soon after a planned stop, and a server still
 * worked on it when the time of the stop ended: no host can have its answer */
bool lost_judge_outlasts_stop(const struct lost_judge *judge,
			      const struct lost_end *end);

bool lost_verdict_is_cut(enum lost_verdict verdict);
const char *lost_verdict_name(enum lost_verdict verdict);

/** @return the last planned work before the time, or NULL */
const struct lost_span *lost_judge_last(const struct lost_judge *judge,
					int64_t before_us);

/** @return whether it cut more than three times as often beside changes of the
 * configuration as at other times */
bool lost_judge_cuts_beside_changes(const struct lost_judge *judge);

/** @return whether it closed too many kept connections whose request it had
 * passed on */
bool lost_judge_cuts_kept(const struct lost_judge *judge);

#endif
