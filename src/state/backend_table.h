/**
 * @file backend_table.h
 * The backend servers that a host knows, and how each has done lately, from
 * this host's own requests.
 */
#ifndef STATE_BACKEND_TABLE_H
#define STATE_BACKEND_TABLE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"

/** What a server says of itself in the platform's store. */
struct backend_entry {
	char id[TGW_NAME_SIZE];
	char service[TGW_NAME_SIZE];
	char address[TGW_NAME_SIZE]; /**< IP number and port */
	char failure_domain[TGW_NAME_SIZE];
	uint32_t slots;
	bool draining;
	int64_t born_ms;  /**< wall clock of its start: tells incarnations */
	int64_t sequence; /**< grows with each heartbeat of an incarnation */
};

/** Load as a server reports it in its answers. */
struct backend_load {
	uint32_t running;
	uint32_t waiting;
	uint32_t slots;
};

/** How one request at a server ended. */
enum backend_outcome {
	BACKEND_SERVED,	   /**< an answer that is no failure of the server */
	BACKEND_FAILED,	   /**< a 5xx of its own */
	BACKEND_REJECTED,  /**< said that it did not run the request */
	BACKEND_BROKEN,	   /**< reset, garbled, or cut off */
	BACKEND_UNREACHED, /**< no connection could be made */
	BACKEND_SILENT,	   /**< no answer within its time */
	BACKEND_MISTAKEN,  /**< another server has its address now */
};

struct backend {
	struct backend_entry entry;
	uint64_t hash;	  /**< of the id */
	uint32_t running; /**< requests of this host */
	uint32_t running_at_report;
	struct backend_load reported;
	int64_t reported_us;  /**< 0 before the first report */
	double failure_share; /**< moving, 0 to 1 */
	uint32_t failures_in_a_row;
	int64_t avoid_until_us; /**< suspected until then */
	int64_t rejected_us;	/**< last time it said it was full */
	bool listed;		/**< still in the store */
	void *pool;		/**< connections, owned by the edge */
	struct backend *next;
};

struct backend_table {
	struct backend *first;
	size_t count;
	/** Called before a server without requests is forgotten. */
	void (*forget)(void *arg, struct backend *backend);
	void *arg;
};

/** Adds a server or brings its entry up to date; an entry with another
 * `born_ms` is a new server with a clean record.
 * @return the server */
struct backend *backend_table_put(struct backend_table *table,
				  const struct backend_entry *entry);

/** The server is no longer listed: it gets nothing new. */
void backend_table_drop(struct backend_table *table, const char *id);

struct backend *backend_table_find(const struct backend_table *table,
				   const char *id);

/** Counts a request as begun at the server. */
void backend_begin(struct backend *backend);

/** Counts it as ended. The server is freed with its last request when it is
 * no longer listed. */
void backend_end(struct backend_table *table, struct backend *backend);

/** Takes the outcome into the server's record. */
void backend_judge(struct backend *backend, enum backend_outcome outcome,
		   int64_t now_us);

void backend_report(struct backend *backend, const struct backend_load *load,
		    int64_t now_us);

/** @return requests that the server likely has now, of all hosts */
double backend_expected_load(const struct backend *backend, int64_t now_us);

#endif
