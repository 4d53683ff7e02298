#include "state/report_history.h"

#include <string.h>

static bool is_kept(const struct report_history_entry *entry, int64_t now_us)
{
	return now_us - entry->written_us <= REPORT_HISTORY_KEEP_US;
}

static void remove_at(struct report_history *history, size_t at)
{
	history->count--;
	memmove(&history->entries[at], &history->entries[at + 1],
		(history->count - at) * sizeof(history->entries[0]));
}

static void remove_old(struct report_history *history, int64_t now_us)
{
	while (history->count && !is_kept(&history->entries[0], now_us)) {
		history->base = history->entries[0].report;
		remove_at(history, 0);
	}
}

static int64_t min_tokens(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* Allotments are lowered, too. */
static void lower(struct team_account_report *report,
		  const struct team_account_report *other)
{
	report->allotted_tokens =
		min_tokens(report->allotted_tokens, other->allotted_tokens);
	report->settled_tokens =
		min_tokens(report->settled_tokens, other->settled_tokens);
	report->demanded_tokens =
		min_tokens(report->demanded_tokens, other->demanded_tokens);
}

/* Each entry stands for the one after it, too, so that some tokens may be
 * counted again that the store knows of, and none are left out. */
static void thin_out(struct report_history *history)
{
	for (size_t at = 1; at < history->count; at++) {
		lower(&history->entries[at - 1].report,
		      &history->entries[at].report);
		remove_at(history, at);
	}
}

static struct team_account_report lowest(const struct report_history *history)
{
	struct team_account_report report = history->base;

	for (size_t i = 0; i < history->count; i++)
		lower(&report, &history->entries[i].report);
	return report;
}

void report_history_add(struct report_history *history, uint64_t sequence,
			const struct team_account_report *report,
			int64_t now_us)
{
	remove_old(history, now_us);
	if (history->count == REPORT_HISTORY_MAX)
		thin_out(history);
	history->entries[history->count++] = (struct report_history_entry){
		.sequence = sequence,
		.written_us = now_us,
		.report = *report,
	};
}

struct team_account_report report_history_find(struct report_history *history,
					       uint64_t sequence,
					       int64_t now_us)
{
	struct team_account_report found;

	remove_old(history, now_us);
	if (!sequence)
		return lowest(history);
	found = history->base;
	for (size_t i = 0; i < history->count; i++)
		if (history->entries[i].sequence <= sequence)
			found = history->entries[i].report;
	return found;
}

void report_history_cut(struct report_history *history, uint64_t sequence,
			const struct team_account_report *known)
{
	while (history->count &&
	       history->entries[history->count - 1].sequence > sequence)
		history->count--;
	if (!history->count)
		history->base = *known;
}

bool report_history_is_recent(const struct report_history *history,
			      int64_t now_us)
{
	return history->count &&
	       is_kept(&history->entries[history->count - 1], now_us);
}
