/**
 * @file membership.h
 * Which hosts are there: the platform's lagging list joined with heartbeats.
 */
#ifndef TAMARACKGW_MEMBERSHIP_H
#define TAMARACKGW_MEMBERSHIP_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/clock.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"

/** One line of the platform's list. */
struct tgw_listed_host {
	char name[TGW_NAME_SIZE];
	char failure_domain[TGW_NAME_SIZE];
	char peer_url[TGW_URL_SIZE];
	char caller_url[TGW_URL_SIZE];
	bool leaving;
};

struct tgw_membership_env {
	const struct tgw_clock *clock;
	struct tgw_peer *peer;
	struct tgw_host self; /**< name, domain, addresses, incarnation */
	uint64_t random_seed;
	int64_t heartbeat_interval_us;
	/** Raised where the size of the domain needs more. */
	int64_t silent_after_us;
	int64_t gone_after_us; /**< silent and off the list for this long */
	/** The view changed; valid until the next change. */
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

/** Takes over the platform's list; a failed read is simply not reported. */
void tgw_membership_on_list(struct tgw_membership *membership,
			    const struct tgw_listed_host *hosts, size_t count);

void tgw_membership_on_message(struct tgw_membership *membership,
			       const struct tgw_peer_message *message);

/** What this host tells others of itself. */
void tgw_membership_set_self(struct tgw_membership *membership, bool leaving,
			     uint64_t config_generation);

int64_t tgw_membership_tick(struct tgw_membership *membership);

const struct tgw_membership_counters *tgw_membership_counters(
	const struct tgw_membership *membership);

#endif
