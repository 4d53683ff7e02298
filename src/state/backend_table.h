/**
 * @file backend_table.h
 * The backend servers that a host knows, and the recent outcomes of this
 * host's own requests to each.
 */
#ifndef STATE_BACKEND_TABLE_H
#define STATE_BACKEND_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/evacuations.h"
#include "state/region_map.h"
#include "state/run_memory.h"
#include "state/server_availability.h"
#include "state/server_speed.h"
#include "state/warmup.h"
#include "tamarackgw/host_view.h"

/** Size of a server's whole id, which is part of a key of the store. */
#define BACKEND_WHOLE_ID_SIZE 201

/** A server's own entry in the platform's store. */
struct backend_entry {
	char id[TGW_NAME_SIZE];		      /**< short; see short_name.h */
	char whole_id[BACKEND_WHOLE_ID_SIZE]; /**< as the server has it */
	char service[TGW_NAME_SIZE];	      /**< short */
	char address[TGW_NAME_SIZE];	      /**< IP number and port */
	char failure_domain[TGW_NAME_SIZE];   /**< short */
	uint32_t slots;
	bool draining;
	int64_t born_ms;   /**< wall time of its start: identifies the run */
	int64_t sequence;  /**< grows with each heartbeat of an incarnation */
	int64_t warmup_ms; /**< how long it warmed up when it wrote this */
};

/** Load as a server reports it in its responses. */
struct backend_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
	/** Time that work takes now, 100 as the service expects it; 0 if the
	 * server does not report it. */
	uint32_t work_percent;
};

/** How one request at a server ended. */
enum backend_outcome {
	BACKEND_SERVED,	     /**< a response that is no failure of the server */
	BACKEND_FAILED,	     /**< a 5xx response of the server itself */
	BACKEND_REJECTED,    /**< reported that it did not run the request */
	BACKEND_BROKEN,	     /**< reset, malformed or truncated response */
	BACKEND_UNREACHABLE, /**< no connection could be made */
	BACKEND_TIMED_OUT,   /**< no response within the time limit */
	BACKEND_ADDRESS_REUSED, /**< another server has its address now */
	BACKEND_OUTCOMES
};

/** @return the name of the outcome in metrics */
const char *backend_outcome_name(enum backend_outcome outcome);

struct backend {
	struct backend_entry entry;
	uint64_t hash;		    /**< of the id */
	uint64_t run_hash;	    /**< see backend_run_hash() */
	uint64_t memory_key;	    /**< see run_memory_key() */
	uint32_t running;	    /**< this host's requests in flight */
	uint32_t running_at_report; /**< `running` at the report; at most the
				     * present value */
	struct backend_load reported;
	int64_t reported_us;   /**< 0 before the first report */
	int64_t heard_us;      /**< when this host heard of that report */
	bool reported_to_self; /**< and not to another host */
	double failure_rate; /**< at `outcome_us`; see backend_failure_rate() */
	int64_t outcome_us;  /**< of the last outcome in `failure_rate` */
	uint32_t failures_in_a_row;
	int64_t avoid_until_us; /**< until then, chosen only when no untried
				 * server is healthy */
	struct server_availability availability;
	struct warmup warmup;
	struct server_speed speed;
	/** Another server has its address, by that server's response or by a
	 * later entry: it is gone, and gets no requests. */
	bool address_reused;
	bool evacuated;	 /**< its failure domain is */
	uint32_t region; /**< set of the region that it lies in */
	bool listed;	 /**< still in the store */
	void *pool;	 /**< connections, owned by the edge */
	struct backend *next;
};

struct backend_table {
	struct backend *first;
	size_t count;
	struct run_memory memory;
	/** Failure domains that are evacuated; NULL: none ever is. */
	const struct evacuations *evacuations;
	/** Regions of the failure domains; NULL: none is known. */
	const struct region_map *regions;
	/** Latest start of a server that its entry may tell and be believed, as
	 * wall time; 0: any. */
	int64_t believed_born_max_ms;
	/** Called before a server without requests is freed. */
	void (*freed)(void *arg, struct backend *backend);
	/** Called when a server is found to have lost its address; may be
	 * NULL. */
	void (*address_reused)(void *arg, const struct backend *backend);
	void *arg;
};

/** Adds a server or updates its entry; an entry with another `born_ms` or
 * address is a new server without recorded failures. Of two servers with one
 * address, the one that started earlier is taken to be gone.
 * @return the server */
struct backend *backend_table_put(struct backend_table *table,
				  const struct backend_entry *entry);

/** @return whether a later entry is known, of a server that is listed or of one
 * that was draining when its entry was removed. A start or sequence that can't
 * be true does not count, so that one odd entry hides no later ones. */
bool backend_table_is_outdated(const struct backend_table *table,
			       const struct backend_entry *entry);

/** Marks a server as no longer listed, so that it gets no new requests. The
 * server is freed when its last request ends. */
void backend_table_remove(struct backend_table *table, const char *id);

struct backend *backend_table_find(const struct backend_table *table,
				   const char *id);

/** @return a hash of the id and the start time, which identifies one run of a
 * server */
uint64_t backend_run_hash(const struct backend_entry *entry);

/** @return whether the run is listed, and no other server has its address */
bool backend_table_lists_run(const struct backend_table *table,
			     uint64_t run_hash);

/** Records that another server answered at the server's address. */
void backend_table_mark_address_reused(struct backend_table *table,
				       struct backend *backend);

/** Who said that a server is leaving. */
enum leaving_source {
	LEAVING_BY_ANSWER, /**< the server itself: until its run ends */
	/** Another host: for a bounded time, after which the server is asked
	 * with a request. */
	LEAVING_BY_HOST,
};

/** Records that one run of a server is leaving, whether or not it is listed.
 * A later run of the server is not concerned.
 * @return whether it was not known to leave */
bool backend_table_set_leaving(struct backend_table *table,
			       const struct backend_entry *run,
			       enum leaving_source source, int64_t now_us);

/** Records that a run of a server asked for rest from now on. */
void backend_table_set_rest(struct backend_table *table,
			    const struct backend_entry *run, int64_t rest_us,
			    int64_t now_us);

/** Records that a failure domain is evacuated, or no longer.
 * @return the number of its listed servers */
size_t backend_table_set_evacuated(struct backend_table *table,
				   const char *failure_domain, bool evacuated);

/** @return whether the server stays in service: it is listed, and neither
 * leaves nor has lost its address */
bool backend_is_in_service(const struct backend *backend, int64_t now_us);

/** @return whether the server may get new requests, now or after a rest: it
 * stays in service, and its failure domain is not evacuated */
bool backend_accepts_requests(const struct backend *backend, int64_t now_us);

/** @return when a server that accepts requests may get the next one of this
 * host; not later than now if at once */
int64_t backend_free_at_us(const struct backend *backend, int64_t now_us);

/** Counts a request as begun at the server. */
void backend_begin(struct backend *backend, int64_t now_us);

/** Counts a request as ended. A server that is no longer listed is freed
 * when its last request ends. */
void backend_end(struct backend_table *table, struct backend *backend);

/** Records the outcome of a request in the server's failure statistics. */
void backend_record_outcome(struct backend *backend,
			    enum backend_outcome outcome, int64_t now_us);

/** @return the moving average of the failures, 0 to 1. It falls while there are
 * no outcomes. */
double backend_failure_rate(const struct backend *backend, int64_t now_us);

/** Stores a load report of the server. */
void backend_report(struct backend *backend, const struct backend_load *load,
		    int64_t now_us);

/** Stores a load report that the server made to another host, unless a later
 * one is known. */
void backend_report_of_host(struct backend *backend,
			    const struct backend_load *load,
			    int64_t reported_us, int64_t now_us);

/** @return whether the last load report is recent enough to count */
bool backend_has_recent_report(const struct backend *backend, int64_t now_us);

/** @return the estimated number of requests of all hosts at the server; only
 * this host's without a recent load report */
double backend_expected_load(const struct backend *backend, int64_t now_us);

#endif
