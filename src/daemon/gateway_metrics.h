/**
 * @file gateway_metrics.h
 * Counters of the gateway; any thread may add to them.
 */
#ifndef DAEMON_GATEWAY_METRICS_H
#define DAEMON_GATEWAY_METRICS_H

#include <stdatomic.h>
#include <stdint.h>

#include "base/buffer.h"
#include "protocol/problem.h"
#include "state/stream_guard.h"
#include "tamarackgw/budget.h"

#define FIRST_TOKEN_BUCKETS 12

enum call_kind { CALL_MODEL, CALL_SERVICE, CALL_KIND_COUNT };

/** How a call ended, as its caller saw it. */
enum call_outcome {
	CALL_ANSWERED,	/**< with the complete response */
	CALL_REFUSED,	/**< with a problem document instead of a response */
	CALL_BROKEN,	/**< with an error after the start of the response */
	CALL_ABANDONED, /**< the caller disconnected before the end */
	CALL_OUTCOME_COUNT
};

struct gateway_metrics {
	_Atomic uint64_t calls[CALL_KIND_COUNT][CALL_OUTCOME_COUNT];
	_Atomic uint64_t problems[PROBLEM_KIND_COUNT];
	_Atomic uint64_t verdicts[STREAM_VERDICT_COUNT];
	_Atomic uint64_t settled[TGW_SETTLE_PARTIAL + 1];
	_Atomic uint64_t settled_tokens;
	_Atomic uint64_t streamed_tokens;
	_Atomic uint64_t usage_over_bound;
	_Atomic uint64_t attempts;
	_Atomic uint64_t cancelled;
	_Atomic uint64_t resumed;
	_Atomic uint64_t restarted;
	_Atomic uint64_t joined;
	_Atomic uint64_t replayed;
	_Atomic uint64_t paused;
	_Atomic uint64_t memory_refused;
	_Atomic uint64_t first_token[FIRST_TOKEN_BUCKETS + 1];
	_Atomic uint64_t first_token_sum_us;
};

static inline void metrics_add(_Atomic uint64_t *counter, uint64_t amount)
{
	atomic_fetch_add_explicit(counter, amount, memory_order_relaxed);
}

/** Records the time from a call's creation to its first token. */
void gateway_metrics_add_first_token(struct gateway_metrics *metrics,
				     int64_t latency_us);

/** Appends the counters to a text in the Prometheus format. */
void gateway_metrics_write(const struct gateway_metrics *metrics,
			   struct buffer *text);

#endif
