#include "state/stream_recovery.h"

#include <assert.h>

/* The ends after which the request may be resumed at the same server. */
static const bool may_resume_at_server[ATTEMPT_END_COUNT] = {
	[ATTEMPT_BROKEN] = true,
	[ATTEMPT_INVALID_EVENTS] = true,
};

static enum stream_recovery use_other_server(
	const struct stream_progress *progress)
{
	if (progress->restarts >= STREAM_RESTARTS_MAX)
		return RECOVERY_FAIL;
	if (progress->caller_has_tokens)
		return RECOVERY_RESUME_ELSEWHERE;
	return RECOVERY_RESTART;
}

enum stream_recovery stream_recovery_choose(
	enum attempt_end end, const struct stream_progress *progress)
{
	assert(end < ATTEMPT_END_COUNT);
	if (end == ATTEMPT_COMPLETE || end == ATTEMPT_PAST_LIMIT)
		return RECOVERY_NONE;
	if (end == ATTEMPT_REFUSED || end == ATTEMPT_OVERTAKEN)
		return RECOVERY_FAIL;
	if (may_resume_at_server[end] && progress->tokens > 0 &&
	    progress->server_can_resume &&
	    progress->resumes < STREAM_RESUMES_MAX)
		return RECOVERY_RESUME;
	return use_other_server(progress);
}
