/**
 * @file host_view.h
 * What one host believes about the fleet's hosts, as an immutable value.
 */
#ifndef TAMARACKGW_HOST_VIEW_H
#define TAMARACKGW_HOST_VIEW_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#define TGW_NAME_SIZE 64
#define TGW_URL_SIZE 96

/** How a host looks from here. */
enum tgw_host_state {
	TGW_HOST_ALIVE,	  /**< heard from lately */
	TGW_HOST_SILENT,  /**< not heard from; may be cut off, paused or dead */
	TGW_HOST_LEAVING, /**< stopping by plan; takes no new duties */
	TGW_HOST_GONE	  /**< off the platform's list and silent */
};

/** One host of the fleet. */
struct tgw_host {
	char name[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	char peer_url[TGW_URL_SIZE];   /**< ZeroMQ endpoint */
	char caller_url[TGW_URL_SIZE]; /**< HTTP base, no slash at the end */
	uint64_t incarnation; /**< random for each process start; 0 unknown */
	enum tgw_host_state state;
	uint64_t config_generation; /**< in force there; 0 unknown */
};

/** All known hosts. Owners replace it whole and never change it in place. */
struct tgw_host_view {
	uint64_t version;  /**< grows with each replacement */
	size_t self_index; /**< the host that holds this view */
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
