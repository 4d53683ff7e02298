#include "soak/lost_judge.h"

#include <stdlib.h>

#include "base/xalloc.h"

#define US_PER_MS 1000
#define US_PER_S 1000000
/* A request that was sent so shortly before the close may have crossed it. */
#define CROSSING_US (200 * US_PER_MS)
/* Within this a host follows a change of configuration or settings. */
#define APPLY_US (2 * US_PER_S)
#define SLACK_US (1 * US_PER_S)
/* A host's clock of a request may begin a little before its caller's. */
#define LIMIT_SLACK_US (20 * US_PER_MS)
/* Of its time; a request that has used more is not counted beside a change. */
#define USED_TENTHS_MAX 7
#define TENTHS 10
#define RATE_FACTOR 3
/* A stop may cut what a server still works on in this last part of the grace
 * time, if it was sent soon after the signal. */
#define GRACE_PARTS 6
#define SENT_SOON_US (3 * US_PER_S)
#define KEPT_CUTS_MAX 3

static const char *const verdict_names[LOST_VERDICTS] = {
	[LOST_ANSWERED] = "answered",
	[LOST_UNREAD] = "unread",
	[LOST_TIME_OVER] = "time-over",
	[LOST_CUT_AT_STOP] = "cut-at-stop",
	[LOST_CUT_AT_RELOAD] = "cut-at-reload",
	[LOST_CUT_BESIDE_CHANGE] = "cut-beside-change",
	[LOST_CUT_ALONE] = "cut-alone",
};

const char *lost_verdict_name(enum lost_verdict verdict)
{
	return verdict_names[verdict];
}

bool lost_verdict_is_cut(enum lost_verdict verdict)
{
	return verdict >= LOST_CUT_AT_STOP;
}

void lost_judge_free(struct lost_judge *judge)
{
	free(judge->spans);
	judge->spans = NULL;
	judge->span_count = 0;
	judge->span_capacity = 0;
}

void lost_judge_plan(struct lost_judge *judge, enum lost_work work,
		     int64_t at_us)
{
	if (judge->span_count == judge->span_capacity) {
		judge->span_capacity = judge->span_capacity * 2 + 16;
		judge->spans =
			xrealloc(judge->spans,
				 judge->span_capacity * sizeof(*judge->spans));
	}
	judge->spans[judge->span_count++] =
		(struct lost_span){.work = work, .at_us = at_us};
}

/* @return whether the request belongs to this planned work */
static bool belongs(const struct lost_judge *judge,
		    const struct lost_span *span, const struct lost_end *end)
{
	if (end->ended_us < span->at_us)
		return false;
	switch (span->work) {
	case LOST_STOP:
		return end->ended_us <=
		       span->at_us + judge->grace_us + SLACK_US;
	case LOST_RELOAD:
		return end->begun_us <= span->at_us + APPLY_US;
	default:
		return end->ended_us <= span->at_us + APPLY_US + SLACK_US;
	}
}

static bool is_near(const struct lost_judge *judge, enum lost_work work,
		    const struct lost_end *end)
{
	for (size_t i = judge->span_count; i > 0; i--)
		if (judge->spans[i - 1].work == work &&
		    belongs(judge, &judge->spans[i - 1], end))
			return true;
	return false;
}

static bool was_read(const struct lost_end *end)
{
	return end->whole_us &&
	       (end->arrivals || end->ended_us - end->whole_us > CROSSING_US);
}

/* @return whether the time of a stop ended before a server could answer */
static bool outlasts_stop(const struct lost_judge *judge,
			  const struct lost_span *span,
			  const struct lost_end *end)
{
	int64_t last_part_us =
		span->at_us + judge->grace_us - judge->grace_us / GRACE_PARTS;

	return end->begun_us <= span->at_us + SENT_SOON_US &&
	       end->ended_us >= last_part_us &&
	       end->worked_until_us >= last_part_us;
}

bool lost_judge_outlasts_stop(const struct lost_judge *judge,
			      const struct lost_end *end)
{
	for (size_t i = judge->span_count; i > 0; i--)
		if (judge->spans[i - 1].work == LOST_STOP &&
		    belongs(judge, &judge->spans[i - 1], end))
			return outlasts_stop(judge, &judge->spans[i - 1], end);
	return false;
}

static enum lost_verdict judge_cut(const struct lost_judge *judge,
				   const struct lost_end *end)
{
	int64_t used_us = end->ended_us - end->begun_us;

	if (!was_read(end))
		return LOST_UNREAD;
	if (used_us + LIMIT_SLACK_US >= end->limit_us)
		return LOST_TIME_OVER;
	if (lost_judge_outlasts_stop(judge, end))
		return LOST_TIME_OVER;
	if (is_near(judge, LOST_STOP, end))
		return LOST_CUT_AT_STOP;
	if (is_near(judge, LOST_RELOAD, end))
		return LOST_CUT_AT_RELOAD;
	if (!is_near(judge, LOST_CHANGE, end))
		return LOST_CUT_ALONE;
	if (used_us * TENTHS >= end->limit_us * USED_TENTHS_MAX)
		return LOST_TIME_OVER;
	return LOST_CUT_BESIDE_CHANGE;
}

enum lost_verdict lost_judge_end(struct lost_judge *judge,
				 const struct lost_end *end)
{
	enum lost_verdict verdict = LOST_ANSWERED;
	bool beside_change = is_near(judge, LOST_CHANGE, end);

	if (!end->complete)
		verdict = judge_cut(judge, end);
	judge->verdicts[verdict]++;
	if (beside_change)
		judge->requests_beside_change++;
	else
		judge->requests_elsewhere++;
	if (!lost_verdict_is_cut(verdict))
		return verdict;
	if (!beside_change)
		judge->cuts_elsewhere++;
	if (end->arrivals && end->served_before)
		judge->kept_cuts++;
	return verdict;
}

const struct lost_span *lost_judge_last(const struct lost_judge *judge,
					int64_t before_us)
{
	for (size_t i = judge->span_count; i > 0; i--)
		if (judge->spans[i - 1].at_us <= before_us)
			return &judge->spans[i - 1];
	return NULL;
}

bool lost_judge_cuts_beside_changes(const struct lost_judge *judge)
{
	uint64_t cuts = judge->verdicts[LOST_CUT_BESIDE_CHANGE];

	if (!judge->cuts_elsewhere)
		return cuts;
	/* Compares the two rates without a division. */
	return cuts * judge->requests_elsewhere >
	       RATE_FACTOR * (uint64_t)judge->cuts_elsewhere *
		       judge->requests_beside_change;
}

bool lost_judge_cuts_kept(const struct lost_judge *judge)
{
	return judge->kept_cuts > KEPT_CUTS_MAX;
}
