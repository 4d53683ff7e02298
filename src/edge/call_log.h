/**
 * @file call_log.h
 * The log lines of a call: one for each decision, with the figures that it was
 * based on. docs/OPERATIONS.md explains the fields.
 */
#ifndef EDGE_CALL_LOG_H
#define EDGE_CALL_LOG_H

#include "edge/call_private.h"

/** The budget does not cover the call.
 * @param tokens that it asked for */
void call_log_not_reserved(const struct call *call, int64_t tokens,
			   enum tgw_status status);

/** An attempt failed. */
void call_log_attempt_failed(const struct call_attempt *attempt,
			     const char *reason);

/** The server of the current attempt has sent nothing for some time. */
void call_log_attempt_silent(const struct call_attempt *attempt);

/** A server that was silent goes on, before another one has responded. */
void call_log_attempt_continues(const struct call_attempt *attempt);

/** Tells whether the server of a response that ended with its connection was
 * found to accept others. */
void call_log_end_checked(const struct call_attempt *attempt,
			  enum connect_check_result result);

/** A server's response is not known to belong to the attempt's request, which
 * goes on waiting for its own. */
void call_log_response_discarded(const struct call_attempt *attempt,
				 int status);

/** The caller gets an error response of the edge itself. */
void call_log_refused(const struct call *call, int status,
		      int64_t retry_after_ms, const char *reason);

/** The caller disconnected before its response was complete. */
void call_log_caller_left(const struct call *call);

/** A server's response is complete.
 * @param first_us to the first byte, since the arrival
 * @param total_us to the end, since the arrival */
void call_log_answered(const struct call_attempt *attempt, int64_t first_us,
		       int64_t total_us);

#endif
