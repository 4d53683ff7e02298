/**
 * @file soak_garbage.h
 * Malformed input: requests that are no HTTP, and entries in the store that
 * come from another writer.
 */
#ifndef SOAK_GARBAGE_H
#define SOAK_GARBAGE_H

#include "soak/soak.h"

/** Sends bytes to a host's address for callers, and leaves. */
void soak_garbage_call(struct soak *soak, const struct soak_host *host);

/** Writes an entry of a server, or of a host, that can't be used, or names a
 * server that does not exist; another call replaces it. */
void soak_garbage_entry(struct soak *soak);

#endif
