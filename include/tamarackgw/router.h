/**
 * @file router.h
 * Chooses the backend server for each attempt of a request, queues what
 * can't start at once, and sheds by urgency before queues grow.
 */
#ifndef TAMARACKGW_ROUTER_H
#define TAMARACKGW_ROUTER_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/budget.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/config_snapshot.h"
#include "tamarackgw/status.h"

#define TGW_PREFIX_HASHES_MAX 64
#define TGW_EXCLUDED_MAX 8

struct tgw_router_env {
	const struct tgw_clock *clock;
	const char *failure_domain; /**< the router's own */
	uint64_t random_seed;
};

/** One attempt that wants a server. Copied by tgw_router_submit(). */
struct tgw_route_request {
	const char *team;
	const char *model;   /**< NULL for a plain service */
	const char *service; /**< NULL for a model */
	enum tgw_urgency urgency;
	int64_t deadline_us; /**< on the monotonic clock */
	int64_t prompt_tokens;
	int64_t output_tokens; /**< expected at most */
	bool is_retry;	       /**< counts against the retry budget */
	bool is_write;	       /**< of a plain service: not a read */
	/** Rolling hashes of the prompt's blocks, first block first. */
	size_t prefix_count;
	uint64_t prefix_hashes[TGW_PREFIX_HASHES_MAX];
	/** Servers that this request has already failed on. */
	size_t excluded_count;
	char excluded[TGW_EXCLUDED_MAX][TGW_NAME_SIZE];
	/** The only server to run on, as for a request on probation; empty
	 * when any will do. */
	char required_server[TGW_NAME_SIZE];
};

/** Decision for an attempt. Valid only during the callback. */
struct tgw_route_answer {
	enum tgw_status status; /**< OK, BUSY (shed), NOT_FOUND, TIMEOUT */
	uint64_t ticket;	/**< for tgw_router_finish() when OK */
	const struct tgw_server *server; /**< when OK */
	/** For the engine's own queue, 0 first, when OK: by urgency, and
	 * before that by how little time the deadline leaves. */
	int32_t priority;
	int64_t retry_after_us; /**< when BUSY */
	const char *message;
};

struct tgw_route_callback {
	void (*done)(void *arg, const struct tgw_route_answer *answer);
	void *arg;
};

/** How an attempt ended, as the router has to know it. */
enum tgw_route_outcome {
	TGW_ROUTE_SERVED,
	TGW_ROUTE_CANCELLED, /**< by the caller: says nothing of the server */
	TGW_ROUTE_CONNECT_FAILED, /**< no byte was sent */
	TGW_ROUTE_SERVER_ERROR,
	TGW_ROUTE_BROKEN, /**< the connection broke after bytes were sent */
};

/** A server's own report, which lags. */
struct tgw_load_report {
	int64_t running;
	int64_t waiting;
	int64_t taken_at_us; /**< on the monotonic clock, when it arrived */
	double cache_used_ratio;
};

/** A change in a server's prefix cache; may be late, and with gaps. */
struct tgw_cache_event {
	uint64_t sequence;
	bool cleared; /**< everything was dropped */
	bool stored;  /**< stored, else evicted */
	size_t hash_count;
	const uint64_t *hashes;
};

struct tgw_router_counters {
	uint64_t submitted;
	uint64_t started;
	uint64_t shed;
	uint64_t expired;
	uint64_t retries_refused;
	uint64_t ejections;
	uint64_t prefix_hits;
	uint64_t prefix_lookups;
	int64_t queued; /**< now */
};

struct tgw_router;

struct tgw_router *tgw_router_new(const struct tgw_router_env *env);

void tgw_router_free(struct tgw_router *router);

/** Takes over a configuration; servers that stay keep their history. */
void tgw_router_set_config(struct tgw_router *router,
			   const struct tgw_config_snapshot *config);

/** Marks a server as leaving by the platform's list. */
void tgw_router_set_leaving(struct tgw_router *router, const char *server,
			    bool leaving);

/** @return an id for tgw_router_cancel(); the callback runs exactly once,
 * from this call or later */
uint64_t tgw_router_submit(struct tgw_router *router,
			   const struct tgw_route_request *request,
			   struct tgw_route_callback callback);

/** The servers that could run a request now, room aside, to be offered to
 * tgw_quarantine_enter(); those of the own failure domain first. Names are
 * valid until the next configuration.
 * @return the number written */
size_t tgw_router_candidates(struct tgw_router *router,
			     const struct tgw_route_request *request,
			     const char **names, size_t capacity);

/** Takes a queued attempt back; its callback does not run any more. */
void tgw_router_cancel(struct tgw_router *router, uint64_t id);

/** Ends an attempt that was given a server. */
void tgw_router_finish(struct tgw_router *router, uint64_t ticket,
		       enum tgw_route_outcome outcome, int64_t output_tokens);

void tgw_router_on_load(struct tgw_router *router, const char *server,
			const struct tgw_load_report *report);

void tgw_router_on_cache_event(struct tgw_router *router, const char *server,
			       const struct tgw_cache_event *event);

/** Starts queued work and expires what is late. @return the next due time */
int64_t tgw_router_tick(struct tgw_router *router);

const struct tgw_router_counters *tgw_router_counters(
	const struct tgw_router *router);

#endif
