/**
 * @file stream_recovery.h
 * Decides what to do after an attempt at a model engine has ended.
 */
#ifndef STATE_STREAM_RECOVERY_H
#define STATE_STREAM_RECOVERY_H

#include <stdbool.h>
#include <stdint.h>

#define STREAM_RESUMES_MAX 3
#define STREAM_RESTARTS_MAX 3

/** How an attempt ended. */
enum attempt_end {
	ATTEMPT_COMPLETE,
	ATTEMPT_PAST_LIMIT,  /**< the engine went past its token limit */
	ATTEMPT_NOT_SENT,    /**< no byte went out */
	ATTEMPT_BUSY,	     /**< the engine accepts no requests for now */
	ATTEMPT_REFUSED,     /**< the engine rejected the request as invalid */
	ATTEMPT_ERROR,	     /**< the engine answered with an error */
	ATTEMPT_NOT_FOUND,   /**< the engine no longer knows the request */
	ATTEMPT_OVERTAKEN,   /**< a newer attempt runs elsewhere */
	ATTEMPT_BROKEN,	     /**< connection lost; the engine still knows it */
	ATTEMPT_ENGINE_DOWN, /**< connection lost; the engine went down */
	/** Connection lost; the engine is silent, and may still run it. */
	ATTEMPT_ENGINE_SILENT,
	ATTEMPT_INVALID_EVENTS, /**< its events violated the protocol */
	ATTEMPT_END_COUNT
};

enum stream_recovery {
	RECOVERY_NONE,		   /**< the answer has ended */
	RECOVERY_FAIL,		   /**< end it with an error */
	RECOVERY_RESUME,	   /**< resume at the same server */
	RECOVERY_RESUME_ELSEWHERE, /**< at another server that can resume */
	RECOVERY_RESTART,	   /**< start from the beginning at another
				    * server */
};

struct stream_progress {
	int64_t tokens;		/**< received so far */
	bool caller_has_tokens; /**< some tokens were passed on to the caller,
				 * so the answer can't be restarted */
	bool server_can_resume;
	int32_t resumes;
	int32_t restarts;
};

/** Chooses how to recover from the end of an attempt. */
enum stream_recovery stream_recovery_choose(
	enum attempt_end end, const struct stream_progress *progress);

#endif
