/**
 * @file peer_host.h
 * What a host tells the others about itself in the store, so that they can send
 * it messages.
 */
#ifndef STATE_PEER_HOST_H
#define STATE_PEER_HOST_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/status.h"

#define PEER_HOST_FORMAT_VERSION 1

struct peer_host {
	char name[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	char address[TGW_NAME_SIZE]; /**< IP address and port for messages */
	int64_t memory_mb;	     /**< larger hosts relay for smaller ones */
};

/** Appends the encoded record, which has a checksum. */
void peer_host_encode(const struct peer_host *host, struct buffer *bytes);

/** @return OK; CORRUPT or NEWER_FORMAT */
enum tgw_status peer_host_decode(struct peer_host *host, const void *bytes,
				 size_t size, struct tgw_error *error);

/**
 * Ranks the hosts of a failure domain as its relays: larger hosts first, equal
 * ones by a hash of their names. All hosts that know the same hosts agree.
 * @param ranked receives at most capacity hosts, best first
 * @return the number of hosts written
 */
size_t peer_host_rank(const struct peer_host *hosts, size_t count,
		      const char *failure_domain,
		      const struct peer_host **ranked, size_t capacity);

#endif
