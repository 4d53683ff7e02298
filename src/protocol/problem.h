/**
 * @file problem.h
 * Refusals and failures as callers see them: application/problem+json.
 */
#ifndef PROTOCOL_PROBLEM_H
#define PROTOCOL_PROBLEM_H

#include <stdint.h>

#include "base/buffer.h"

#define PROBLEM_CONTENT_TYPE "application/problem+json"

enum problem_kind {
	PROBLEM_INVALID,
	PROBLEM_UNAUTHORIZED,
	PROBLEM_FORBIDDEN,
	PROBLEM_NOT_FOUND,
	PROBLEM_METHOD_NOT_ALLOWED,
	PROBLEM_TOO_LARGE,
	PROBLEM_KEY_REUSED,
	PROBLEM_QUARANTINED,
	PROBLEM_BUDGET_EXHAUSTED,
	PROBLEM_BUDGET_UNAVAILABLE,
	PROBLEM_TEAM_LIMIT,
	PROBLEM_OVERLOADED,
	PROBLEM_NO_SERVER,
	PROBLEM_CLAIM_UNAVAILABLE,
	PROBLEM_DEADLINE,
	PROBLEM_STOPPING,
	PROBLEM_ALREADY_SETTLED,
	PROBLEM_STILL_RUNNING,
	PROBLEM_OUTCOME_UNKNOWN,
	PROBLEM_BACKEND_REFUSED,
	PROBLEM_BACKEND_FAILED,
	PROBLEM_STREAM_BROKEN,
	PROBLEM_KIND_COUNT
};

/** Whether it is certain that the request did not run at a backend server. */
enum problem_not_run { NOT_RUN_TRUE, NOT_RUN_FALSE, NOT_RUN_UNKNOWN };

struct problem {
	enum problem_kind kind;
	enum problem_not_run not_run;
	const char *detail;	/**< NULL for none */
	const char *request_id; /**< NULL for none */
	int64_t retry_after_us; /**< delay after which a retry may succeed; 0
				 * for none */
};

/** @return the HTTP status of a kind */
int32_t problem_status(enum problem_kind kind);

/** @return the stable name, which ends the document's "type" */
const char *problem_name(enum problem_kind kind);

/** @return the value of Retry-After in seconds, rounded up; 0 for none */
int64_t problem_retry_after_s(const struct problem *problem);

/** Appends the JSON document. */
void problem_write(const struct problem *problem, struct buffer *text);

#endif
