/**
 * @file stream_recovery.h
 * What to do when an attempt at a model engine ended.
 */
#ifndef STATE_STREAM_RECOVERY_H
#define STATE_STREAM_RECOVERY_H

#include <stdbool.h>
#include <stdint.h>

#define STREAM_RESUMES_MAX 3
#define STREAM_RESTARTS_MAX 3

/** How an attempt ended. */
enum attempt_end {
	ATTEMPT_WHOLE,
	ATTEMPT_PAST_LIMIT, /**< the engine went past its token limit */
	ATTEMPT_NOT_SENT,   /**< no byte went out */
	ATTEMPT_BUSY,	    /**< the engine takes nothing for now */
	ATTEMPT_REFUSED,    /**< the engine finds fault with the request */
	ATTEMPT_ERROR,	    /**< the engine answered with an error */
	ATTEMPT_FORGOTTEN,  /**< the engine does not know it any more */
	ATTEMPT_OVERTAKEN,  /**< a newer attempt runs somewhere else */
	ATTEMPT_BROKEN,	    /**< cut off; the engine still knows it */
	ATTEMPT_LOST,	    /**< cut off, and the engine went down */
	ATTEMPT_FAULTY,	    /**< its events broke the rules */
	ATTEMPT_END_COUNT
};

enum stream_recovery {
	RECOVERY_NONE,		   /**< the answer is complete */
	RECOVERY_FAIL,		   /**< end it with an error */
	RECOVERY_RESUME,	   /**< go on at the same server */
	RECOVERY_RESUME_ELSEWHERE, /**< go on at another that can */
	RECOVERY_RESTART,	   /**< start anew at another server */
};

struct stream_progress {
	int64_t tokens;	      /**< that came so far */
	bool caller_has_some; /**< of them: no way back to the start */
	bool server_can_resume;
	int32_t resumes;
	int32_t restarts;
};

enum stream_recovery stream_recovery_choose(
	enum attempt_end end, const struct stream_progress *progress);

#endif
