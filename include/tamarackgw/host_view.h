/**
 * @file host_view.h
 * One host's view of all hosts of the fleet, as an immutable value.
 */
#ifndef TAMARACKGW_HOST_VIEW_H
#define TAMARACKGW_HOST_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TGW_NAME_SIZE 64
#define TGW_URL_SIZE 96

/** State of a host, as seen by the host that holds the view. */
enum tgw_host_state {
	TGW_HOST_ALIVE,	  /**< its heartbeats arrive */
	TGW_HOST_SILENT,  /**< no recent heartbeats, or reports that it
			   * receives none; may be partitioned, paused
			   * or dead */
	TGW_HOST_LEAVING, /**< planned stop; takes on no new roles */
	TGW_HOST_GONE	  /**< silent, and not on the platform's list */
};

/** One host of the fleet. */
struct tgw_host {
	char name[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	char peer_url[TGW_URL_SIZE];   /**< ZeroMQ endpoint */
	char caller_url[TGW_URL_SIZE]; /**< HTTP base URL, no final slash */
	uint64_t incarnation; /**< random for each process; 0 if unknown */
	enum tgw_host_state state;
	uint64_t config_generation; /**< in force at the host; 0 if unknown */
};

/** All known hosts. The owner replaces views and changes none in place. */
struct tgw_host_view {
	uint64_t version;  /**< grows with each replacement */
	size_t self_index; /**< index of the host that holds this view */
	size_t host_count;
	struct tgw_host *hosts;
};

static inline const struct tgw_host *tgw_host_view_self(
	const struct tgw_host_view *view)
{
	return &view->hosts[view->self_index];
}

/** @return the host of that name, or NULL */
const struct tgw_host *tgw_host_view_find(const struct tgw_host_view *view,
					  const char *name);

/**
 * Ranks the hosts of a failure domain for a key by rendezvous hashing.
 * Only hosts in state ALIVE are ranked.
 * @param ranked receives at most capacity hosts, best first
 * @return the number of hosts written
 */
size_t tgw_host_view_rank(const struct tgw_host_view *view,
			  const char *failure_domain, uint64_t key_hash,
			  const struct tgw_host **ranked, size_t capacity);

/** @return a deep copy, to be released with tgw_host_view_free() */
struct tgw_host_view *tgw_host_view_copy(const struct tgw_host_view *view);

void tgw_host_view_free(struct tgw_host_view *view);

#endif
