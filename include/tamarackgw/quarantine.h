/**
 * @file quarantine.h
 * Requests that crash backend servers: counted by fingerprint and refused
 * from the second crash on, until an operator lifts it.
 */
#ifndef TAMARACKGW_QUARANTINE_H
#define TAMARACKGW_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/clock.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"
#include "tamarackgw/store.h"

#define TGW_FINGERPRINT_BYTES 16

/** Identity of a request by team and body. */
struct tgw_fingerprint {
	uint8_t bytes[TGW_FINGERPRINT_BYTES];
};

struct tgw_quarantine_env {
	const struct tgw_clock *clock;
	struct tgw_store *store;
	struct tgw_peer *peer;
	uint32_t crashes_until_refused;
	int64_t keep_us; /**< suspicion without a further crash fades */
};

/** A refused or suspected request, for listings. */
struct tgw_quarantine_entry {
	struct tgw_fingerprint fingerprint;
	char team[TGW_NAME_SIZE];
	uint32_t crashes;
	bool refused;
	int64_t last_crash_wall_us;
};

struct tgw_quarantine;

struct tgw_quarantine_env tgw_quarantine_env_default(void);

struct tgw_quarantine *tgw_quarantine_new(const struct tgw_quarantine_env *env,
					  const struct tgw_host_view *view);

void tgw_quarantine_free(struct tgw_quarantine *quarantine);

void tgw_fingerprint_of(struct tgw_fingerprint *fingerprint, const char *team,
			const void *body, size_t body_size);

/** Announces that an attempt starts, and asks whether it may.
 * @return false when the request is refused */
bool tgw_quarantine_admit(struct tgw_quarantine *quarantine,
			  const struct tgw_fingerprint *fingerprint);

/** The server broke while this request, and alone_count others, ran on it. */
void tgw_quarantine_on_crash(struct tgw_quarantine *quarantine,
			     const struct tgw_fingerprint *fingerprint,
			     const char *team, const char *server,
			     uint32_t others_running);

/** The request ended well: it is not what crashes servers. */
void tgw_quarantine_on_served(struct tgw_quarantine *quarantine,
			      const struct tgw_fingerprint *fingerprint);

void tgw_quarantine_lift(struct tgw_quarantine *quarantine,
			 const struct tgw_fingerprint *fingerprint);

/** @return the number of entries; at most capacity are written */
size_t tgw_quarantine_list(const struct tgw_quarantine *quarantine,
			   struct tgw_quarantine_entry *entries,
			   size_t capacity);

void tgw_quarantine_set_hosts(struct tgw_quarantine *quarantine,
			      const struct tgw_host_view *view);

void tgw_quarantine_on_message(struct tgw_quarantine *quarantine,
			       const struct tgw_peer_message *message);

int64_t tgw_quarantine_tick(struct tgw_quarantine *quarantine);

#endif
