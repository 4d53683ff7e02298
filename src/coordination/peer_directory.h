/**
 * @file peer_directory.h
 * Tells the hosts of a fleet from where to reach each other, by one key of the
 * store for each host, and the key that authenticates their messages.
 *
 * A host renews its key. One whose key was not renewed for long is listed no
 * more, and some host deletes the key; a host that lives writes it again. Until
 * then, whoever sends it messages notices that it does not answer.
 */
#ifndef COORDINATION_PEER_DIRECTORY_H
#define COORDINATION_PEER_DIRECTORY_H

#include <stddef.h>
#include <stdint.h>

#include "state/peer_host.h"
#include "state/peer_key.h"
#include "tamarackgw/clock.h"
#include "tamarackgw/store.h"

struct peer_directory;

struct peer_directory_events {
	/** The key of the fleet's messages is known. Called once. */
	void (*key)(void *arg, const struct peer_key *key);
	/** The list of hosts has changed. */
	void (*changed)(void *arg);
	/** A store call failed and will be retried, or a record is damaged. May
	 * be NULL. */
	void (*failed)(void *arg, const char *reason);
	void *arg;
};

/**
 * @param self what this host tells the others
 * @param new_key random; the fleet's key if it has none yet
 * @param seed of the random pauses
 */
struct peer_directory *peer_directory_new(
	const struct peer_host *self, const struct peer_key *new_key,
	uint64_t seed, struct tgw_store *store, const struct tgw_clock *clock,
	const struct peer_directory_events *events);
void peer_directory_free(struct peer_directory *directory);

/** Makes the store call that is due. */
void peer_directory_tick(struct peer_directory *directory);

/** A message came from a host that is not listed: the list is read soon. */
void peer_directory_on_unknown(struct peer_directory *directory);

/** @return the known hosts, this one included once it is listed */
const struct peer_host *peer_directory_hosts(
	const struct peer_directory *directory, size_t *count);

/** @return the host, or NULL */
const struct peer_host *peer_directory_find(
	const struct peer_directory *directory, const char *name);

#endif
