/**
 * @file edge.h
 * A host's data path: its callers, the backend servers, the team budgets and
 * the host's view of their state, on one event loop in one thread.
 */
#ifndef EDGE_EDGE_H
#define EDGE_EDGE_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "coordination/backend_follower.h"
#include "coordination/leaving_announcer.h"
#include "coordination/load_exchange.h"
#include "coordination/request_quarantine.h"
#include "coordination/route_follower.h"
#include "coordination/store_mirror.h"
#include "coordination/team_budget.h"
#include "edge/call_dialect.h"
#include "edge/edge_log.h"
#include "edge/edge_peers.h"
#include "edge/edge_settings.h"
#include "protocol/http_response_check.h"
#include "state/backend_table.h"
#include "state/connection_room.h"
#include "state/crash_suspects.h"
#include "state/held_bytes.h"
#include "state/host_load.h"
#include "state/latency_buckets.h"
#include "state/link_load.h"
#include "state/own_delay.h"
#include "state/pause_model.h"
#include "state/retry_budget.h"
#include "tamarackgw/random.h"
#include "transport/read_turns.h"
#include "transport/server_conn.h"

struct call;
struct crash_check;

/** Where the edge reads routes and backend servers from, and how they are
 * decoded; set by the platform's adapter. */
struct edge_sources {
	struct tgw_store *store;
	/** Longest time between two answers to a watch of the store, while it
	 * answers. */
	int64_t watch_period_us;
	const struct call_dialect *dialect;
	struct route_follower_keys operator_keys;
	struct route_set *(*decode_routes)(const uint8_t *value, size_t size,
					   struct tgw_error *error);
	const char *backends_prefix;
	bool (*decode_backend)(const uint8_t *value, size_t size,
			       struct backend_entry *entry);
};

/** The retry budget of one service's requests. */
struct edge_service {
	char name[TGW_NAME_SIZE];
	struct retry_budget retry_budget;
	struct edge_service *next;
};

/** Counters of the metrics page. */
struct edge_counters {
	uint64_t requests;
	uint64_t answered;
	uint64_t refused;
	/** Of the refused, responses that were broken off after their head. */
	uint64_t aborted;
	/** Attempts by their outcome, but for BACKEND_SERVED. */
	uint64_t failed_attempts[BACKEND_OUTCOMES];
	/** Attempts whose servers fell silent, and those of them that went on
	 * before another server had responded. */
	uint64_t silences;
	uint64_t silences_ended;
	/** Silences, ends of the request's time, and connection timeouts that
	 * did not count as failures, since the host itself was late. */
	uint64_t own_delay_silences;
	uint64_t own_delay_connects;
	/** Attempts that were ended since an event did not end. */
	uint64_t events_without_end;
	/** Answers of servers that were no valid HTTP. */
	uint64_t invalid_answers[HTTP_DEFECTS];
	uint64_t memory_refused; /* no room for their bodies */
	uint64_t caller_left;
	uint64_t caller_closes[SERVER_CLOSE_REASONS];
	/** Of these, closes for a reason other than SERVER_CLOSE_OTHER, though
	 * bytes that nobody read had arrived. */
	uint64_t unread_closes;
	uint64_t retries;
	uint64_t resumed;
	uint64_t budget_refused;
	uint64_t quarantine_refused;
	/** Runs of servers that are leaving, by their own answers, and by other
	 * hosts' word. */
	uint64_t servers_left;
	uint64_t servers_left_by_hosts;
	uint64_t server_rests; /**< rests that servers asked for */
	uint64_t warmups;      /**< shares of warm-ups that were decided */
	uint64_t evacuations_ignored; /**< keys that name no failure domain */
	uint64_t unreadable_fields;   /**< of servers' answers */
	uint64_t configs_refused;     /**< stored values that are none */
};

struct edge {
	uv_loop_t *loop;
	const struct edge_settings *settings;
	struct edge_sources sources;
	uv_tcp_t caller_listener;
	uv_tcp_t ready_listener;
	uv_tcp_t metrics_listener; /* unused without an address */
	uv_timer_t tick;
	uint64_t tick_due_ms; /* by the loop's time; 0 before the first */
	uv_prepare_t poll_begins;
	/* The reserve of the host's own work: what callers get of the time
	 * between two polls. */
	struct host_load load;
	struct read_turns turns;
	uint32_t accepts_left;
	bool accept_waits; /* the listener pauses until then */
	/* Budgets have a timer of their own: hosts that start together tick in
	 * step, and so would their retries of writes that conflicted. */
	uv_timer_t budget_timer;
	int64_t budget_due_us;
	struct server_limits limits; /* on callers' requests */
	struct connection_room room;
	struct held_bytes held_answers;	 /* of servers */
	struct held_bytes held_requests; /* of callers */
	struct link_bytes link_bytes;	 /* of requests and their responses */
	struct link_load link_load;
	struct own_delay own_delay;
	/* Callers' connections, by their last request, the latest first. */
	struct server_conn *conns;
	struct server_conn *conns_last;
	struct server_conn *page_conns;
	uint32_t conn_count;
	struct call *calls;
	uint32_t call_count;
	struct region_map regions;
	struct backend_table backends;
	struct backend_follower *backend_follower;
	struct route_follower *route_follower;
	/* Why the latest stored configuration is not in force; NULL if it is.
	 */
	char *config_refusal;
	struct edge_peers peers;
	int64_t hosts_listed_us; /* first list of the fleet; 0: none yet */
	bool knows_hosts;	 /* the list of the fleet is complete */
	struct leaving_announcer leaving_announcer;
	struct load_exchange loads;
	struct pause_model pauses;
	struct store_mirror *mirror;
	struct team_budget *budgets;
	struct request_quarantine *quarantine;
	struct crash_suspects crash_suspects;
	struct crash_check *crash_checks; /* that have not ended */
	struct edge_service *services;
	struct edge_counters counters;
	/* Both are measured from the arrival of the request. */
	struct latency_buckets first_byte_latency;
	struct latency_buckets total_latency;
	struct edge_log log;
	struct tgw_random random;
	bool stopping;
	bool listening;
	bool budgets_closed;
	bool stop_ends; /* open requests are about to be given up */
	int64_t stop_requested_us;
};

/** Starts to listen and to watch the store.
 * @return INVALID for an address that can't be parsed, UNAVAILABLE for one that
 * can't be listened on; a failure of the metrics address is only logged */
enum tgw_status edge_start(struct edge *edge, uv_loop_t *loop,
			   const struct edge_settings *settings,
			   const struct edge_sources *sources,
			   struct tgw_error *error);

/** Starts a planned stop. The event loop ends when the stop is complete, or
 * shortly before the platform would kill the host. */
void edge_stop(struct edge *edge);

/** @return whether the host is to exit, in a planned stop that has been
 * noticed, before a request with this deadline has surely ended */
bool edge_may_be_cut_off(const struct edge *edge, int64_t deadline_us);

/** Ends all calls and connections and frees what `edge_start` allocated. The
 * loop has to run once more to close the handles. */
void edge_free(struct edge *edge);

/** @return the retry budget of a service. It is created on first use, with
 * limits for the number of hosts at that time. */
struct retry_budget *edge_retry_budget(struct edge *edge, const char *service);

#endif
