/**
 * @file router.h
 * Chooses the backend server for each attempt of a request, queues the
 * attempts that can't start at once, and sheds load by urgency before the
 * queues grow long.
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
	const char *failure_domain; /**< the local one */
	uint64_t random_seed;
};

/** One attempt that needs a server. Copied by tgw_router_submit(). */
struct tgw_route_request {
	const char *team;
	const char *model;   /**< NULL for a plain service */
	const char *service; /**< NULL for a model */
	enum tgw_urgency urgency;
	int64_t deadline_us; /**< on the monotonic clock */
	int64_t prompt_tokens;
	int64_t output_tokens; /**< expected maximum */
	bool is_retry;	       /**< counts against the retry budget */
	bool is_write; /**< of a plain service: the request is not a read */
	/** Rolling hashes of the prompt's blocks, first block first. */
	size_t prefix_count;
	uint64_t prefix_hashes[TGW_PREFIX_HASHES_MAX];
	/** Servers that this request has already failed on. */
	size_t excluded_count;
	char excluded[TGW_EXCLUDED_MAX][TGW_NAME_SIZE];
	/** The only server that may run it, if the request is on probation;
	 * empty if any server may. */
	char required_server[TGW_NAME_SIZE];
};

/** Decision for an attempt. Valid only during the callback. */
struct tgw_route_answer {
	enum tgw_status status; /**< OK, BUSY (shed or expired), NOT_FOUND */
	uint64_t ticket;	/**< for tgw_router_finish() when OK */
	const struct tgw_server *server; /**< when OK */
	/** When OK, the priority in the server's own queue, where 0 runs first.
	 * At immediate or high urgency it is 0 if the deadline leaves little
	 * time, and 1 otherwise; at lower urgencies it is the urgency. */
	int32_t priority;
	int64_t retry_after_us; /**< when BUSY */
	const char *message;
};

struct tgw_route_callback {
	void (*done)(void *arg, const struct tgw_route_answer *answer);
	void *arg;
};

/** How an attempt ended. */
enum tgw_route_outcome {
	TGW_ROUTE_SERVED,
	TGW_ROUTE_CANCELLED,	  /**< by the caller; no fault of the server */
	TGW_ROUTE_CONNECT_FAILED, /**< no byte was sent */
	TGW_ROUTE_SERVER_ERROR,
	TGW_ROUTE_BROKEN, /**< the connection broke after bytes were sent */
};

/** Load as a server reports it, with a lag. */
struct tgw_load_report {
	int64_t running;
	int64_t waiting;
	int64_t received_at_us; /**< when it arrived, on the monotonic clock */
	double cache_used_ratio;
};

/** A change in a server's prefix cache. Events may be late or missing. */
struct tgw_cache_event {
	uint64_t sequence;
	bool cleared; /**< the whole cache was cleared */
	bool stored;  /**< true: the blocks were stored; false: evicted */
	size_t hash_count;
	const uint64_t *hashes;
};

struct tgw_router_counters {
	uint64_t submitted;
	uint64_t started;
	uint64_t shed; /**< includes expired and retries_refused */
	uint64_t expired;
	uint64_t retries_refused;
	uint64_t ejections;
	uint64_t prefix_hits;
	uint64_t prefix_lookups;
	int64_t queued; /**< attempts in the queues at the last tick */
};

struct tgw_router;

struct tgw_router *tgw_router_new(const struct tgw_router_env *env);

void tgw_router_free(struct tgw_router *router);

/** Applies a configuration. Servers that are in both the old and the new one
 * keep their load, failure and prefix cache state. */
void tgw_router_set_config(struct tgw_router *router,
			   const struct tgw_config_snapshot *config);

/** Sets whether a server is leaving according to the platform's list. */
void tgw_router_set_leaving(struct tgw_router *router, const char *server,
			    bool leaving);

/** @return an id for tgw_router_cancel(); the callback runs exactly once,
 * from this call or later */
uint64_t tgw_router_submit(struct tgw_router *router,
			   const struct tgw_route_request *request,
			   struct tgw_route_callback callback);

/** Lists the servers that may run a request now, regardless of their load, as
 * input for tgw_quarantine_enter(); those of the local failure domain first.
 * The names are valid until the next configuration.
 * @return the number of names written */
size_t tgw_router_candidates(struct tgw_router *router,
			     const struct tgw_route_request *request,
			     const char **names, size_t capacity);

/** Removes an attempt from the queue; its callback won't run. */
void tgw_router_cancel(struct tgw_router *router, uint64_t id);

/** Ends an attempt that was assigned to a server. */
void tgw_router_finish(struct tgw_router *router, uint64_t ticket,
		       enum tgw_route_outcome outcome, int64_t output_tokens);

void tgw_router_on_load(struct tgw_router *router, const char *server,
			const struct tgw_load_report *report);

void tgw_router_on_cache_event(struct tgw_router *router, const char *server,
			       const struct tgw_cache_event *event);

/** Starts queued attempts and expires those that can't meet their deadline.
 * @return when the next call is due, us */
int64_t tgw_router_tick(struct tgw_router *router);

const struct tgw_router_counters *tgw_router_counters(
	const struct tgw_router *router);

#endif
