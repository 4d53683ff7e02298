/**
 * @file membership.h
 * Tracks which hosts are alive, from the platform's list of hosts, which lags,
 * and from the heartbeats that hosts exchange.
 */
#ifndef TAMARACKGW_MEMBERSHIP_H
#define TAMARACKGW_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/clock.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"

/** One entry of the platform's list of hosts. */
struct tgw_listed_host {
	char name[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	char peer_url[TGW_URL_SIZE];
	char caller_url[TGW_URL_SIZE];
	bool leaving;
	/** The other fields can't be read: a known host counts as listed and
	 * stays as it is, another one is not added. */
	bool has_name_only;
};

struct tgw_membership_env {
	const struct tgw_clock *clock;
	struct tgw_peer *peer;
	struct tgw_host self; /**< name, domain, addresses, incarnation */
	uint64_t random_seed;
	int64_t heartbeat_interval_us;
	/** A minimum: the larger the local failure domain, the longer a
	 * heartbeat takes to reach all its hosts, so the limit in use may be
	 * higher. */
	int64_t silent_after_us;
	/** A host that has been silent and not on the platform's list for this
	 * long is gone. */
	int64_t gone_after_us;
	/** The view has changed. It is valid until the next change. */
	void (*changed)(void *arg, const struct tgw_host_view *view);
	void *arg;
};

struct tgw_membership_counters {
	uint64_t heartbeats_sent;
	uint64_t heartbeat_bytes_sent;
	uint64_t became_silent;
	uint64_t became_alive;
	uint64_t became_gone;
};

struct tgw_membership;

struct tgw_membership_env tgw_membership_env_default(void);

struct tgw_membership *tgw_membership_new(const struct tgw_membership_env *env);

void tgw_membership_free(struct tgw_membership *membership);

const struct tgw_host_view *tgw_membership_view(
	const struct tgw_membership *membership);

/** Applies the platform's list. The caller skips this call when it could not
 * read the list. */
void tgw_membership_on_list(struct tgw_membership *membership,
			    const struct tgw_listed_host *hosts, size_t count);

void tgw_membership_on_message(struct tgw_membership *membership,
			       const struct tgw_peer_message *message);

/** Sets what this host reports about itself in its heartbeats. */
void tgw_membership_set_self(struct tgw_membership *membership, bool leaving,
			     uint64_t config_generation);

int64_t tgw_membership_tick(struct tgw_membership *membership);

const struct tgw_membership_counters *tgw_membership_counters(
	const struct tgw_membership *membership);

#endif
