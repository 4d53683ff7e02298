/**
 * @file call.h
 * What model calls and service calls have in common: the callers that wait
 * for the response, the key that identifies a retry, and the end of the call.
 *
 * All functions run on the coordination thread, unless stated otherwise.
 */
#ifndef DAEMON_CALL_H
#define DAEMON_CALL_H

#include <stdbool.h>
#include <stdint.h>
#include <sys/queue.h>

#include "daemon/gateway_metrics.h"
#include "daemon/replay_cache.h"
#include "daemon/runtime.h"
#include "protocol/problem.h"
#include "state/crash_tally.h"
#include "tamarackgw/budget.h"
#include "tamarackgw/claim.h"
#include "tamarackgw/config_snapshot.h"
#include "transport/answer.h"

#define CALL_ID_SIZE (2 * TGW_REQUEST_KEY_BYTES + 1)
#define CALL_BUCKET_COUNT 256

struct call;

LIST_HEAD(call_bucket, call);

/** State that all calls share. Freed when the gateway and all calls have
 * released it. */
struct gateway_core {
	struct runtime *runtime;
	struct gateway_metrics metrics;
	int references;
	atomic_bool ending; /**< the gateway stops: no new attempt is started */
	/** Running calls, by the first byte of their keys. */
	struct call_bucket buckets[CALL_BUCKET_COUNT];
	struct replay_cache *replays;
	struct crash_tally *crashes;
};

/** A caller's exchange that waits for the response of a call. */
struct caller {
	LIST_ENTRY(caller) link;
	struct gateway_core *core;
	struct call *call;     /**< NULL before admission and after the end */
	struct answer *answer; /**< the exchange's response */
};

struct call_ops {
	enum call_kind kind;
	/** The call was admitted: starts its work. */
	void (*begin)(struct call *call);
	/** No caller is left, and linger_us has passed or the gateway ends:
	 * cancels the work and ends the call. */
	void (*abandon)(struct call *call);
	void (*free)(struct call *call);
};

struct call {
	const struct call_ops *ops;
	struct gateway_core *core;
	LIST_ENTRY(call) link;
	LIST_HEAD(, caller) callers;
	int references;
	bool is_linked;
	bool ended;
	bool settled;
	bool has_idempotency_key; /**< the caller sent an Idempotency-Key */
	int64_t linger_us; /**< how long the call goes on without a caller */
	/** When the last caller disconnected; 0 while there is a caller. */
	int64_t last_caller_left_us;
	bool is_abandoned; /**< ops->abandon() was called */
	/** The call has no caller and counts as an open request itself. */
	bool counted_as_open;
	struct tgw_request_key key;
	char id[CALL_ID_SIZE]; /**< the key as text: the request id */
	uint8_t body_hash[TGW_BODY_HASH_BYTES];
	char team[TGW_NAME_SIZE];
	char budget[TGW_NAME_SIZE];
	/** Maximum of the team's open calls on this host. */
	int64_t team_limit;
	enum tgw_urgency urgency;
	int64_t started_us;
	int64_t deadline_us;
	struct answer *answer;
};

struct gateway_core *gateway_core_new(struct runtime *runtime);
void gateway_core_unref(struct gateway_core *core);

/** Abandons calls that have been without a caller for too long, and removes
 * expired responses. */
void gateway_core_tick(struct gateway_core *core);

int64_t gateway_core_now_us(const struct gateway_core *core);

/** Initializes a call with one reference, which call_admit() takes over. Any
 * thread.
 * @param idempotency_key the Idempotency-Key; NULL for none */
void call_init(struct call *call, const struct call_ops *ops,
	       struct gateway_core *core, const struct tgw_team *team,
	       const char *idempotency_key);

/** Lets the caller join a running call with the same key, replays a stored
 * response, begins this call, or refuses it. */
void call_admit(struct call *call, struct caller *caller);

/** Must be called when a caller's exchange is over. Removes the caller from its
 * call and frees the caller. */
void call_caller_left(struct caller *caller);

void call_ref(struct call *call);
void call_unref(struct call *call);

/** Settles the call's reservation. Only the first settlement of a call counts;
 * later ones do nothing. */
void call_settle(struct call *call, int64_t tokens,
		 enum tgw_settle_basis basis);

/** Sets the call's response to a problem document and ends the call. Does
 * nothing if the call has ended. */
void call_refuse(struct call *call, enum problem_kind kind,
		 enum problem_not_run not_run, int64_t retry_after_us,
		 const char *detail);

/** Ends the call, whose response must be finished. The response is stored for
 * retries if the outcome is CALL_ANSWERED and the caller sent an
 * Idempotency-Key. */
void call_end(struct call *call, enum call_outcome outcome);

/** Sets a response to a problem document. Any thread. */
void call_answer_problem(struct gateway_core *core, struct answer *answer,
			 const struct problem *problem);

#endif
