#include "state/stream_recovery.h"

#include <assert.h>

/* Whether the same server may be asked to go on. */
static const bool server_may_go_on[ATTEMPT_END_COUNT] = {
	[ATTEMPT_BROKEN] = true,
	[ATTEMPT_FAULTY] = true,
};

static enum stream_recovery move_on(const struct stream_progress *progress)
{
	if (progress->restarts >= STREAM_RESTARTS_MAX)
		return RECOVERY_FAIL;
	if (progress->caller_has_some)
		return RECOVERY_RESUME_ELSEWHERE;
	return RECOVERY_RESTART;
}

enum stream_recovery stream_recovery_choose(
	enum attempt_end end, const struct stream_progress *progress)
{
	assert(end < ATTEMPT_END_COUNT);
	if (end == ATTEMPT_WHOLE || end == ATTEMPT_PAST_LIMIT)
		return RECOVERY_NONE;
	if (end == ATTEMPT_REFUSED || end == ATTEMPT_OVERTAKEN)
		return RECOVERY_FAIL;
	if (server_may_go_on[end] && progress->tokens > 0 &&
	    progress->server_can_resume &&
	    progress->resumes < STREAM_RESUMES_MAX)
		return RECOVERY_RESUME;
	return move_on(progress);
}
