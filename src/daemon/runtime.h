/**
 * @file runtime.h
 * The components of a running host. All of them run on the event loop's thread,
 * which is called the coordination thread in its role of running the agents.
 * executor_post(runtime->coordination, ...) runs a function on it later. The
 * configuration and the view of the hosts are read under read-copy-update
 * (RCU).
 */
#ifndef DAEMON_RUNTIME_H
#define DAEMON_RUNTIME_H

#include <stdatomic.h>
#include <stdbool.h>

#include "base/executor.h"
#include "daemon/settings.h"
#include "protocol/http.h"
#include "tamarackgw/budget.h"
#include "tamarackgw/claim.h"
#include "tamarackgw/config_follower.h"
#include "tamarackgw/membership.h"
#include "tamarackgw/quarantine.h"
#include "tamarackgw/router.h"
#include "transport/event_loop.h"

struct runtime {
	const struct settings *settings;
	const struct tgw_clock *clock;
	struct tgw_host self;
	struct event_loop *loop;
	struct executor *coordination;
	struct http_sender *backend_http;  /**< to backend servers */
	struct http_sender *platform_http; /**< to store, host list, hosts */

	/* Read under RCU: rcu_dereference(). Never NULL once running. */
	struct tgw_config_snapshot *config;
	struct tgw_host_view *hosts;

	/* Owned by the coordination thread. */
	struct tgw_store *store;
	struct tgw_peer *peer;
	struct tgw_budget_agent *budget;
	struct tgw_claim_agent *claims;
	struct tgw_router *router;
	struct tgw_quarantine *quarantine;
	struct tgw_membership *membership;
	struct tgw_config_follower *follower;

	/** A planned stop has begun: the host does not report itself ready. */
	atomic_bool stopping;
	/** Open requests, and calls that run on without a caller. */
	atomic_long open_requests;
};

#endif
