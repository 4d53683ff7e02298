#include "coordination/quarantine_probation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"

#define ASK_TIMEOUT_US (INT64_C(500) * TGW_US_PER_MS)
#define ASK_AGAIN_US (INT64_C(100) * TGW_US_PER_MS)
#define BUSY_RETRY_US (INT64_C(2) * TGW_US_PER_S)
#define HOLD_INTERVAL_US (INT64_C(2) * TGW_US_PER_S)
#define HOLD_EXPIRY_US (5 * HOLD_INTERVAL_US)
/* A new arbiter first hears which attempts run. */
#define ARBITER_GRACE_US (HOLD_INTERVAL_US + TGW_US_PER_S)
#define ARBITER_KEY_HASH UINT64_C(0x71617262)
#define ASKS_MAX 1024

struct pending_ask {
	struct pending_ask *next;
	uint64_t ask_id;
	struct tgw_quarantine_callback callback;
	int64_t due_us;	  /**< BUSY from then on */
	int64_t again_us; /**< asked again then */
	bool waits;	  /**< for a server, when none is free */
	struct quarantine_message message;
	char names[QUARANTINE_SERVERS_MAX][TGW_NAME_SIZE];
};

static int64_t now_of(const struct quarantine_probation *probation)
{
	return tgw_clock_monotonic_us(probation->clock);
}

static const struct tgw_host *self_of(
	const struct quarantine_probation *probation)
{
	return tgw_host_view_self(probation->view);
}

bool quarantine_probation_is_arbiter(
	const struct quarantine_probation *probation)
{
	return !strcmp(probation->arbiter, self_of(probation)->name);
}

static void send_message(struct quarantine_probation *probation,
			 const char *host,
			 const struct quarantine_message *message)
{
	struct buffer payload = {0};

	quarantine_message_pack(message, &payload);
	probation->counters->peer_messages_sent++;
	tgw_peer_send(probation->peer, host, TGW_PEER_QUARANTINE, payload.data,
		      payload.size);
	buffer_free(&payload);
}

static uint64_t weight_of(const struct tgw_host *host)
{
	if (host->state != TGW_HOST_ALIVE)
		return 0;
	return XXH64(host->name, strlen(host->name), ARBITER_KEY_HASH);
}

static void choose_arbiter(struct quarantine_probation *probation)
{
	const struct tgw_host_view *view = probation->view;
	const struct tgw_host *arbiter = self_of(probation);

	for (size_t i = 0; i < view->host_count; i++)
		if (view->hosts[i].state == TGW_HOST_ALIVE &&
		    weight_of(&view->hosts[i]) > weight_of(arbiter))
			arbiter = &view->hosts[i];
	if (!strcmp(arbiter->name, probation->arbiter) &&
	    arbiter->incarnation == probation->arbiter_incarnation)
		return;
	snprintf(probation->arbiter, sizeof(probation->arbiter), "%s",
		 arbiter->name);
	probation->arbiter_incarnation = arbiter->incarnation;
	probation->arbiter_since_us = now_of(probation);
	probation->next_hold_us = now_of(probation);
}

void quarantine_probation_init(struct quarantine_probation *probation,
			       const struct tgw_quarantine_env *env,
			       const struct quarantine_table *table,
			       struct tgw_quarantine_counters *counters,
			       const struct tgw_host_view *view)
{
	memset(probation, 0, sizeof(*probation));
	probation->clock = env->clock;
	probation->peer = env->peer;
	probation->crashes_until_refused = env->crashes_until_refused;
	probation->table = table;
	probation->counters = counters;
	quarantine_probation_set_hosts(probation, view);
}

void quarantine_probation_clear(struct quarantine_probation *probation)
{
	while (probation->asks) {
		struct pending_ask *ask = probation->asks;

		probation->asks = ask->next;
		free(ask);
	}
}

void quarantine_probation_set_hosts(struct quarantine_probation *probation,
				    const struct tgw_host_view *view)
{
	probation->view = view;
	choose_arbiter(probation);
}

static void answer(struct quarantine_probation *probation,
		   struct tgw_quarantine_callback callback,
		   enum tgw_quarantine_verdict verdict, const char *server)
{
	static const char *const messages[] = {
		[TGW_QUARANTINE_ADMITTED] = "admitted",
		[TGW_QUARANTINE_PROBATION] =
			"admitted on a server of its own, because a server "
			"broke while it ran",
		[TGW_QUARANTINE_BUSY] =
			"a server broke while this request ran, and no "
			"server is free to try it alone; come back later",
		[TGW_QUARANTINE_REFUSED] =
			"servers broke each time this request ran; change "
			"it, or ask an operator to lift its quarantine",
	};
	struct tgw_quarantine_answer what = {
		.verdict = verdict,
		.server = server,
		.message = messages[verdict],
	};

	if (verdict == TGW_QUARANTINE_BUSY) {
		what.retry_after_us = BUSY_RETRY_US;
		probation->counters->probations_busy++;
	} else if (verdict == TGW_QUARANTINE_REFUSED) {
		probation->counters->refused++;
	} else {
		probation->counters->admitted++;
	}
	callback.done(callback.arg, &what);
}

/* Decides as the arbiter. @return the server of a PROBATION */
static const char *arbitrate(struct quarantine_probation *probation,
			     struct quarantine_permit *permit,
			     const struct quarantine_message *ask,
			     enum tgw_quarantine_verdict *verdict)
{
	struct quarantine_permits *permits = &probation->permits;
	const struct quarantine_item *item =
		quarantine_table_find(probation->table, &ask->fingerprint);
	const struct quarantine_permit *given =
		quarantine_permits_find(permits, &ask->fingerprint);

	*verdict = TGW_QUARANTINE_REFUSED;
	if (quarantine_item_is_refused(item, probation->crashes_until_refused))
		return "";
	*verdict = TGW_QUARANTINE_PROBATION;
	if (given && given->ask_id == permit->ask_id &&
	    given->incarnation == permit->incarnation)
		return given->server;
	*verdict = TGW_QUARANTINE_BUSY;
	if (given ||
	    now_of(probation) <
		    probation->arbiter_since_us + ARBITER_GRACE_US ||
	    !quarantine_probation_is_arbiter(probation))
		return "";
	for (size_t i = 0; i < ask->server_count; i++) {
		if (!quarantine_permits_server_is_free(permits,
						       ask->servers[i]))
			continue;
		snprintf(permit->server, sizeof(permit->server), "%s",
			 ask->servers[i]);
		if (!quarantine_permits_add(permits, permit))
			return "";
		*verdict = TGW_QUARANTINE_PROBATION;
		return ask->servers[i];
	}
	return "";
}

static struct quarantine_permit own_permit(
	const struct quarantine_probation *probation, uint64_t ask_id,
	const struct tgw_fingerprint *fingerprint)
{
	struct quarantine_permit permit = {
		.fingerprint = *fingerprint,
		.incarnation = self_of(probation)->incarnation,
		.ask_id = ask_id,
		.last_received_us = now_of(probation),
	};

	snprintf(permit.host, sizeof(permit.host), "%s",
		 self_of(probation)->name);
	return permit;
}

static void send_about(struct quarantine_probation *probation,
		       enum quarantine_message_kind kind,
		       const struct quarantine_permit *permit)
{
	struct quarantine_message message = {
		.kind = kind,
		.ask_id = permit->ask_id,
		.fingerprint = permit->fingerprint,
		.server_count = 1,
		.servers = {permit->server},
	};

	send_message(probation, probation->arbiter, &message);
}

static void release(struct quarantine_probation *probation,
		    const struct quarantine_permit *permit)
{
	if (quarantine_probation_is_arbiter(probation))
		quarantine_permits_release(&probation->permits, permit);
	else
		send_about(probation, QUARANTINE_RELEASE, permit);
}

void quarantine_probation_end(struct quarantine_probation *probation,
			      const struct tgw_fingerprint *fingerprint)
{
	const struct quarantine_permit *held =
		quarantine_permits_find(&probation->held, fingerprint);
	struct quarantine_permit permit;

	if (!held)
		return;
	permit = *held;
	quarantine_permits_release(&probation->held, &permit);
	release(probation, &permit);
}

/* Takes a verdict on an own ask. */
static void conclude(struct quarantine_probation *probation,
		     struct tgw_quarantine_callback callback,
		     struct quarantine_permit *permit,
		     enum tgw_quarantine_verdict verdict, const char *server)
{
	if (verdict == TGW_QUARANTINE_PROBATION) {
		snprintf(permit->server, sizeof(permit->server), "%s", server);
		if (!quarantine_permits_add(&probation->held, permit)) {
			release(probation, permit);
			verdict = TGW_QUARANTINE_BUSY;
			server = "";
		} else {
			probation->counters->probations++;
		}
	}
	answer(probation, callback, verdict, server);
}

static struct pending_ask *find_ask(
	const struct quarantine_probation *probation, uint64_t ask_id)
{
	struct pending_ask *ask = probation->asks;

	while (ask && ask->message.ask_id != ask_id)
		ask = ask->next;
	return ask;
}

static void take_ask(struct quarantine_probation *probation,
		     struct pending_ask *ask)
{
	struct pending_ask **link = &probation->asks;

	while (*link != ask)
		link = &(*link)->next;
	*link = ask->next;
	probation->ask_count--;
}

static bool holds(const struct quarantine_probation *probation,
		  const struct quarantine_message *tell)
{
	const struct quarantine_permit *held =
		quarantine_permits_find(&probation->held, &tell->fingerprint);

	return held && held->ask_id == tell->ask_id;
}

static void on_tell(struct quarantine_probation *probation,
		    const struct quarantine_message *tell)
{
	struct quarantine_permit permit =
		own_permit(probation, tell->ask_id, &tell->fingerprint);
	struct pending_ask *ask = find_ask(probation, tell->ask_id);
	const char *server = tell->server_count ? tell->servers[0] : "";
	struct tgw_quarantine_callback callback;

	if (!ask) {
		/* Too late, or twice: what this host holds stays held. */
		if (tell->verdict == TGW_QUARANTINE_PROBATION &&
		    !holds(probation, tell))
			release(probation, &permit);
		return;
	}
	if (tell->verdict == TGW_QUARANTINE_BUSY && ask->waits)
		return;
	callback = ask->callback;
	take_ask(probation, ask);
	/* The server's name may stand in the ask itself. */
	conclude(probation, callback, &permit, tell->verdict, server);
	free(ask);
}

static void keep_names(struct pending_ask *ask,
		       const struct tgw_quarantine_ask *from)
{
	struct quarantine_message *message = &ask->message;

	while (message->server_count < from->server_count &&
	       message->server_count < QUARANTINE_SERVERS_MAX) {
		size_t at = message->server_count++;

		snprintf(ask->names[at], TGW_NAME_SIZE, "%s",
			 from->servers[at]);
		message->servers[at] = ask->names[at];
	}
}

/* Asks under a new id each time, so that a late answer to an earlier one is
 * taken back and can't be mistaken. */
static void send_ask(struct quarantine_probation *probation,
		     struct pending_ask *ask)
{
	struct quarantine_message *message = &ask->message;
	enum tgw_quarantine_verdict verdict;
	struct quarantine_message tell = {.kind = QUARANTINE_REPLY,
					  .server_count = 1};
	struct quarantine_permit permit;

	message->ask_id = ++probation->next_ask_id;
	ask->again_us = now_of(probation) + ASK_AGAIN_US;
	if (!quarantine_probation_is_arbiter(probation)) {
		send_message(probation, probation->arbiter, message);
		return;
	}
	permit = own_permit(probation, message->ask_id, &message->fingerprint);
	tell.ask_id = message->ask_id;
	tell.fingerprint = message->fingerprint;
	tell.servers[0] = arbitrate(probation, &permit, message, &verdict);
	tell.verdict = verdict;
	on_tell(probation, &tell);
}

static struct pending_ask *add_ask(struct quarantine_probation *probation,
				   const struct tgw_quarantine_ask *from,
				   struct tgw_quarantine_callback callback)
{
	struct pending_ask *ask = xcalloc(1, sizeof(*ask));

	ask->message.kind = QUARANTINE_QUERY;
	ask->message.fingerprint = from->fingerprint;
	keep_names(ask, from);
	ask->due_us = now_of(probation) + ASK_TIMEOUT_US;
	ask->waits = from->wait_until_us != 0;
	if (ask->waits)
		ask->due_us = from->wait_until_us;
	ask->callback = callback;
	ask->next = probation->asks;
	probation->asks = ask;
	probation->ask_count++;
	return ask;
}

void quarantine_probation_enter(struct quarantine_probation *probation,
				const struct tgw_quarantine_ask *ask,
				struct tgw_quarantine_callback callback)
{
	const struct quarantine_item *item =
		quarantine_table_find(probation->table, &ask->fingerprint);

	if (!item || !item->crash_count) {
		answer(probation, callback, TGW_QUARANTINE_ADMITTED, "");
		return;
	}
	if (quarantine_item_is_refused(item,
				       probation->crashes_until_refused)) {
		answer(probation, callback, TGW_QUARANTINE_REFUSED, "");
		return;
	}
	if (probation->ask_count == ASKS_MAX)
		answer(probation, callback, TGW_QUARANTINE_BUSY, "");
	else
		send_ask(probation, add_ask(probation, ask, callback));
}

static void on_ask(struct quarantine_probation *probation,
		   const struct tgw_peer_message *from,
		   const struct quarantine_message *ask)
{
	struct quarantine_permit permit = {
		.fingerprint = ask->fingerprint,
		.incarnation = from->from_incarnation,
		.ask_id = ask->ask_id,
		.last_received_us = now_of(probation),
	};
	struct quarantine_message tell = {
		.kind = QUARANTINE_REPLY,
		.ask_id = ask->ask_id,
		.fingerprint = ask->fingerprint,
		.server_count = 1,
	};

	snprintf(permit.host, sizeof(permit.host), "%s", from->from_host);
	tell.servers[0] = arbitrate(probation, &permit, ask, &tell.verdict);
	send_message(probation, from->from_host, &tell);
}

static void on_hold(struct quarantine_probation *probation,
		    const struct tgw_peer_message *from,
		    const struct quarantine_message *message)
{
	struct quarantine_permit permit = {
		.fingerprint = message->fingerprint,
		.incarnation = from->from_incarnation,
		.ask_id = message->ask_id,
		.last_received_us = now_of(probation),
	};

	snprintf(permit.host, sizeof(permit.host), "%s", from->from_host);
	if (message->server_count)
		snprintf(permit.server, sizeof(permit.server), "%s",
			 message->servers[0]);
	if (message->kind == QUARANTINE_HOLD)
		quarantine_permits_hold(&probation->permits, &permit);
	else
		quarantine_permits_release(&probation->permits, &permit);
}

static struct pending_ask *due_ask(const struct quarantine_probation *probation)
{
	int64_t now_us = now_of(probation);

	for (struct pending_ask *ask = probation->asks; ask; ask = ask->next)
		if (ask->due_us <= now_us || ask->again_us <= now_us)
			return ask;
	return NULL;
}

static void renew_asks(struct quarantine_probation *probation)
{
	struct pending_ask *ask;

	while ((ask = due_ask(probation))) {
		struct tgw_quarantine_callback callback = ask->callback;

		if (ask->due_us > now_of(probation)) {
			send_ask(probation, ask);
			continue;
		}
		take_ask(probation, ask);
		free(ask);
		answer(probation, callback, TGW_QUARANTINE_BUSY, "");
	}
}

static void renew_holds(struct quarantine_probation *probation)
{
	int64_t now_us = now_of(probation);

	if (now_us >= probation->next_hold_us) {
		probation->next_hold_us = now_us + HOLD_INTERVAL_US;
		for (size_t i = 0; i < probation->held.count; i++) {
			struct quarantine_permit *held =
				&probation->held.permits[i];

			held->last_received_us = now_us;
			if (quarantine_probation_is_arbiter(probation))
				quarantine_permits_hold(&probation->permits,
							held);
			else
				send_about(probation, QUARANTINE_HOLD, held);
		}
	}
	quarantine_permits_expire(&probation->permits, probation->view,
				  now_us - HOLD_EXPIRY_US);
}

void quarantine_probation_on_message(struct quarantine_probation *probation,
				     const struct tgw_peer_message *from,
				     const struct quarantine_message *message)
{
	switch (message->kind) {
	case QUARANTINE_QUERY:
		on_ask(probation, from, message);
		return;
	case QUARANTINE_REPLY:
		on_tell(probation, message);
		return;
	case QUARANTINE_HOLD:
	case QUARANTINE_RELEASE:
		on_hold(probation, from, message);
		return;
	default:
		return;
	}
}

void quarantine_probation_tick(struct quarantine_probation *probation)
{
	renew_asks(probation);
	renew_holds(probation);
}
