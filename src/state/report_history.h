/**
 * @file report_history.h
 * What a process had reported of one budget with each of its latest writes, to
 * tell what a store that returned from an earlier copy knows of it.
 */
#ifndef STATE_REPORT_HISTORY_H
#define STATE_REPORT_HISTORY_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/clock.h"

/** The store's copies are no older than this. */
#define REPORT_HISTORY_KEEP_US (15 * TGW_US_PER_S)
#define REPORT_HISTORY_MAX 16

/** What this process has reported to the pool. All amounts are cumulative. */
struct team_account_report {
	int64_t allotted_tokens;
	int64_t settled_tokens;
	int64_t demanded_tokens;
};

struct report_history_entry {
	uint64_t sequence; /**< of the write */
	int64_t written_us;
	struct team_account_report report;
};

struct report_history {
	/** Of the last write that is older than any copy; zeros before. */
	struct team_account_report base;
	size_t count;
	struct report_history_entry entries[REPORT_HISTORY_MAX];
};

/** Adds a write that took effect, later than all others. */
void report_history_add(struct report_history *history, uint64_t sequence,
			const struct team_account_report *report,
			int64_t now_us);

/** @param sequence of the last write that the store has; 0: not known
 * @return what the store knows, or less */
struct team_account_report report_history_find(struct report_history *history,
					       uint64_t sequence,
					       int64_t now_us);

/** The writes after this one are lost.
 * @param known what the store knows */
void report_history_cut(struct report_history *history, uint64_t sequence,
			const struct team_account_report *known);

/** @return whether a copy may lack any of the writes */
bool report_history_is_recent(const struct report_history *history,
			      int64_t now_us);

#endif
