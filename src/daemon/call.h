/**
 * @file call.h
 * What model calls and service calls have in common: the callers that wait
 * for the answer, the key that a retry is known by, and the end.
 *
 * All functions run on the coordination thread, unless they say otherwise.
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
#define CALL_BUCKETS 256

struct call;

LIST_HEAD(call_bucket, call);

/** What all calls share; lives until the last of them ended. */
struct gateway_core {
	struct runtime *runtime;
	struct gateway_metrics metrics;
	int references;
	atomic_bool ending; /**< no new attempt is started */
	struct call_bucket
		buckets[CALL_BUCKETS]; /**< by the key's first byte */
	struct replay_cache *replays;
	struct crash_tally *crashes;
};

/** A caller's exchange that waits for a call's answer. */
struct caller {
	LIST_ENTRY(caller) link;
	struct gateway_core *core;
	struct call *call;     /**< NULL before and after */
	struct answer *answer; /**< the exchange's own; a reference */
};

struct call_ops {
	enum call_kind kind;
	/** The call was admitted. */
	void (*begin)(struct call *call);
	/** No caller is left; linger_us after the last went. */
	void (*abandoned)(struct call *call);
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
	bool has_caller_key; /**< the caller named an Idempotency-Key */
	int64_t linger_us;   /**< goes on this long without a caller */
	int64_t left_at_us;  /**< when the last caller went; 0 while one is */
	bool told_abandoned;
	bool is_orphan; /**< counted as open although no caller waits */
	struct tgw_request_key key;
	char id[CALL_ID_SIZE]; /**< the key as text: the request id */
	uint8_t body_hash[TGW_BODY_HASH_BYTES];
	char team[TGW_NAME_SIZE];
	char budget[TGW_NAME_SIZE];
	int64_t team_limit; /**< open calls of the team on this host */
	enum tgw_urgency urgency;
	int64_t started_us;
	int64_t deadline_us;
	struct answer *answer;
};

struct gateway_core *gateway_core_new(struct runtime *runtime);
void gateway_core_unref(struct gateway_core *core);

/** Tells calls without a caller to end, and drops what is too old. */
void gateway_core_tick(struct gateway_core *core);

int64_t gateway_core_now_us(const struct gateway_core *core);

/** Fills in a call, before anything else. */
void call_init(struct call *call, const struct call_ops *ops,
	       struct gateway_core *core, const struct tgw_team *team,
	       const char *caller_key);

/** Joins a running call, replays a kept answer, or begins this call. */
void call_admit(struct call *call, struct caller *caller);

/** A caller's exchange is over; the caller is freed. */
void call_caller_left(struct caller *caller);

void call_ref(struct call *call);
void call_unref(struct call *call);

/** Settles once; later calls do nothing. */
void call_settle(struct call *call, int64_t tokens,
		 enum tgw_settle_basis basis);

/** Sets the answer to a problem and ends the call. */
void call_refuse(struct call *call, enum problem_kind kind,
		 enum problem_not_run not_run, int64_t retry_after_us,
		 const char *detail);

/** Ends the call; a whole answer is kept for retries. */
void call_end(struct call *call, enum call_outcome outcome);

/** Sets an exchange's answer to a problem; any thread. */
void call_answer_problem(struct gateway_core *core, struct answer *answer,
			 const struct problem *problem);

#endif
