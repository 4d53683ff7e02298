#include "state/stream_guard.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

static const char *const verdict_names[STREAM_VERDICT_COUNT] = {
	[STREAM_DELIVER] = "deliver",	    [STREAM_LATE] = "late",
	[STREAM_DOUBLED] = "doubled",	    [STREAM_CROSSED] = "crossed",
	[STREAM_OVERTAKEN] = "overtaken",   [STREAM_GAP] = "gap",
	[STREAM_PAST_LIMIT] = "past_limit", [STREAM_MALFORMED] = "malformed",
};

const char *stream_verdict_name(enum stream_verdict verdict)
{
	assert(verdict < STREAM_VERDICT_COUNT);
	return verdict_names[verdict];
}

void stream_guard_init(struct stream_guard *guard, const char *id,
		       int64_t attempt, int64_t token_limit)
{
	memset(guard, 0, sizeof(*guard));
	snprintf(guard->id, sizeof(guard->id), "%s", id);
	guard->attempt = attempt;
	guard->token_limit = token_limit;
	guard->completion_tokens = STREAM_NO_USAGE;
}

void stream_guard_resume(struct stream_guard *guard, int64_t attempt)
{
	assert(attempt > guard->attempt);
	guard->attempt = attempt;
	guard->first_index = guard->next_index;
	guard->final_seen = false;
	guard->done = false;
	guard->completion_tokens = STREAM_NO_USAGE;
}

void stream_guard_restart(struct stream_guard *guard, int64_t attempt)
{
	guard->next_index = 0;
	stream_guard_resume(guard, attempt);
}

static enum stream_verdict check_origin(const struct stream_guard *guard,
					const struct stream_event *event)
{
	if (!event->id)
		return STREAM_MALFORMED;
	if (strcmp(event->id, guard->id) != 0)
		return STREAM_CROSSED;
	if (event->attempt < guard->attempt)
		return STREAM_LATE;
	if (event->attempt > guard->attempt)
		return STREAM_OVERTAKEN;
	return STREAM_DELIVER;
}

static enum stream_verdict check_index(const struct stream_guard *guard,
				       const struct stream_event *event)
{
	if (event->index == STREAM_NO_INDEX)
		return STREAM_DELIVER;
	/* An engine that ignores where it is to resume runs the request anew:
	 * its further tokens need not go with those of the first run. */
	if (event->index < guard->first_index)
		return STREAM_MALFORMED;
	if (event->index < guard->next_index)
		return STREAM_DOUBLED;
	if (event->index > guard->next_index)
		return STREAM_GAP;
	if (guard->final_seen)
		return STREAM_MALFORMED;
	if (event->index >= guard->token_limit)
		return STREAM_PAST_LIMIT;
	return STREAM_DELIVER;
}

static enum stream_verdict check_usage(const struct stream_guard *guard,
				       const struct stream_event *event)
{
	int64_t tokens = guard->next_index;

	if (event->index != STREAM_NO_INDEX)
		tokens++;
	if (event->completion_tokens > guard->token_limit)
		return STREAM_PAST_LIMIT;
	if (event->completion_tokens > tokens)
		return STREAM_GAP;
	return STREAM_DELIVER;
}

enum stream_verdict stream_guard_check(struct stream_guard *guard,
				       const struct stream_event *event)
{
	enum stream_verdict verdict = check_origin(guard, event);

	if (verdict != STREAM_DELIVER)
		return verdict;
	if (guard->done)
		return STREAM_DOUBLED;
	verdict = check_index(guard, event);
	if (verdict != STREAM_DELIVER)
		return verdict;
	verdict = check_usage(guard, event);
	if (verdict != STREAM_DELIVER)
		return verdict;
	if (event->index != STREAM_NO_INDEX)
		guard->next_index++;
	if (event->completion_tokens != STREAM_NO_USAGE)
		guard->completion_tokens = event->completion_tokens;
	if (event->is_final)
		guard->final_seen = true;
	return STREAM_DELIVER;
}

void stream_guard_end(struct stream_guard *guard)
{
	guard->done = true;
}

bool stream_guard_is_complete(const struct stream_guard *guard)
{
	return guard->done && guard->final_seen;
}
