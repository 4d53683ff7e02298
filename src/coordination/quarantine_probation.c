#include "coordination/quarantine_probation.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"

#define QUERY_TIMEOUT_US (INT64_C(500) * TGW_US_PER_MS)
#define QUERY_RETRY_US (INT64_C(100) * TGW_US_PER_MS)
#define BUSY_RETRY_US (INT64_C(2) * TGW_US_PER_S)
#define HOLD_INTERVAL_US (INT64_C(2) * TGW_US_PER_S)
#define HOLD_EXPIRY_US (5 * HOLD_INTERVAL_US)
/* A new arbiter grants no permits for this long, so that all hosts can first
 * report the permits that they hold. */
#define ARBITER_GRACE_US (HOLD_INTERVAL_US + TGW_US_PER_S)
#define ARBITER_KEY_HASH UINT64_C(0x71617262)
#define QUERIES_MAX 1024

struct pending_query {
	struct pending_query *next;
	uint64_t query_id;
	struct tgw_quarantine_callback callback;
	int64_t deadline_us;   /**< when the query ends as BUSY */
	int64_t retry_us;      /**< when it is sent again */
	bool waits_for_server; /**< a reply BUSY does not end the query */
	/** The arbiter that knows the query by its present id. */
	char arbiter[TGW_NAME_SIZE];
	uint64_t arbiter_incarnation;
	struct quarantine_message message;
	/** The strings that message.servers refers to. */
	char server_names[QUARANTINE_SERVERS_MAX][TGW_NAME_SIZE];
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

static uint64_t rank_weight(const struct tgw_host *host)
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
		    rank_weight(&view->hosts[i]) > rank_weight(arbiter))
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
	while (probation->queries) {
		struct pending_query *query = probation->queries;

		probation->queries = query->next;
		free(query);
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
	struct tgw_quarantine_answer result = {
		.verdict = verdict,
		.server = server,
		.message = messages[verdict],
	};

	if (verdict == TGW_QUARANTINE_BUSY) {
		result.retry_after_us = BUSY_RETRY_US;
		probation->counters->probations_busy++;
	} else if (verdict == TGW_QUARANTINE_REFUSED) {
		probation->counters->refused++;
	} else {
		probation->counters->admitted++;
	}
	callback.done(callback.arg, &result);
}

/* Decides on a query as the arbiter.
 * @return the server if the verdict is PROBATION, else an empty string */
static const char *arbitrate(struct quarantine_probation *probation,
			     struct quarantine_permit *permit,
			     const struct quarantine_message *query,
			     enum tgw_quarantine_verdict *verdict)
{
	struct quarantine_permits *permits = &probation->permits;
	const struct quarantine_item *item =
		quarantine_table_find(probation->table, &query->fingerprint);
	const struct quarantine_permit *existing =
		quarantine_permits_find(permits, &query->fingerprint);

	*verdict = TGW_QUARANTINE_REFUSED;
	if (quarantine_item_is_refused(item, probation->crashes_until_refused))
		return "";
	*verdict = TGW_QUARANTINE_PROBATION;
	if (existing && existing->query_id == permit->query_id &&
	    existing->incarnation == permit->incarnation)
		return existing->server;
	*verdict = TGW_QUARANTINE_BUSY;
	if (existing ||
	    now_of(probation) <
		    probation->arbiter_since_us + ARBITER_GRACE_US ||
	    !quarantine_probation_is_arbiter(probation))
		return "";
	for (size_t i = 0; i < query->server_count; i++) {
		if (!quarantine_permits_server_is_free(permits,
						       query->servers[i]))
			continue;
		snprintf(permit->server, sizeof(permit->server), "%s",
			 query->servers[i]);
		if (!quarantine_permits_add(permits, permit))
			return "";
		*verdict = TGW_QUARANTINE_PROBATION;
		return query->servers[i];
	}
	return "";
}

static struct quarantine_permit local_permit(
	const struct quarantine_probation *probation, uint64_t query_id,
	const struct tgw_fingerprint *fingerprint)
{
	struct quarantine_permit permit = {
		.fingerprint = *fingerprint,
		.incarnation = self_of(probation)->incarnation,
		.query_id = query_id,
		.last_received_us = now_of(probation),
	};

	snprintf(permit.host, sizeof(permit.host), "%s",
		 self_of(probation)->name);
	return permit;
}

static void send_permit(struct quarantine_probation *probation,
			enum quarantine_message_kind kind,
			const struct quarantine_permit *permit)
{
	struct quarantine_message message = {
		.kind = kind,
		.query_id = permit->query_id,
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
		send_permit(probation, QUARANTINE_RELEASE, permit);
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

/* Ends a query of this host with its verdict. */
static void finish_query(struct quarantine_probation *probation,
			 struct tgw_quarantine_callback callback,
			 struct quarantine_permit *permit,
			 enum tgw_quarantine_verdict verdict,
			 const char *server)
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

static struct pending_query *find_query(
	const struct quarantine_probation *probation, uint64_t query_id)
{
	struct pending_query *query = probation->queries;

	while (query && query->message.query_id != query_id)
		query = query->next;
	return query;
}

static void remove_query(struct quarantine_probation *probation,
			 struct pending_query *query)
{
	struct pending_query **link = &probation->queries;

	while (*link != query)
		link = &(*link)->next;
	*link = query->next;
	probation->query_count--;
}

static bool holds_permit(const struct quarantine_probation *probation,
			 const struct quarantine_message *reply)
{
	const struct quarantine_permit *held =
		quarantine_permits_find(&probation->held, &reply->fingerprint);

	return held && held->query_id == reply->query_id;
}

static void on_reply(struct quarantine_probation *probation,
		     const struct quarantine_message *reply)
{
	struct quarantine_permit permit =
		local_permit(probation, reply->query_id, &reply->fingerprint);
	struct pending_query *query = find_query(probation, reply->query_id);
	const char *server = reply->server_count ? reply->servers[0] : "";
	struct tgw_quarantine_callback callback;

	if (!query) {
		/* A late or duplicate reply: release its permit, unless this
		 * host holds it. */
		if (reply->verdict == TGW_QUARANTINE_PROBATION &&
		    !holds_permit(probation, reply))
			release(probation, &permit);
		return;
	}
	if (reply->verdict == TGW_QUARANTINE_BUSY && query->waits_for_server)
		return;
	callback = query->callback;
	remove_query(probation, query);
	/* `server` may point into the query, so the query is freed last. */
	finish_query(probation, callback, &permit, reply->verdict, server);
	free(query);
}

static void copy_servers(struct pending_query *query,
			 const struct tgw_quarantine_query *from)
{
	struct quarantine_message *message = &query->message;

	while (message->server_count < from->server_count &&
	       message->server_count < QUARANTINE_SERVERS_MAX) {
		size_t at = message->server_count++;

		snprintf(query->server_names[at], TGW_NAME_SIZE, "%s",
			 from->servers[at]);
		message->servers[at] = query->server_names[at];
	}
}

/* Gives the query a new id when the arbiter has changed. A late reply of the
 * earlier arbiter then matches no query, and on_reply() releases the permit
 * that it grants. Retries at one arbiter keep the id, so that it repeats its
 * reply and one that takes longer than the interval of retries counts. */
static void choose_id(struct quarantine_probation *probation,
		      struct pending_query *query)
{
	if (query->message.query_id &&
	    query->arbiter_incarnation == probation->arbiter_incarnation &&
	    !strcmp(query->arbiter, probation->arbiter))
		return;
	query->message.query_id = ++probation->next_query_id;
	query->arbiter_incarnation = probation->arbiter_incarnation;
	snprintf(query->arbiter, sizeof(query->arbiter), "%s",
		 probation->arbiter);
}

static void send_query(struct quarantine_probation *probation,
		       struct pending_query *query)
{
	struct quarantine_message *message = &query->message;
	enum tgw_quarantine_verdict verdict;
	struct quarantine_message reply = {.kind = QUARANTINE_REPLY,
					   .server_count = 1};
	struct quarantine_permit permit;

	choose_id(probation, query);
	query->retry_us = now_of(probation) + QUERY_RETRY_US;
	if (!quarantine_probation_is_arbiter(probation)) {
		send_message(probation, probation->arbiter, message);
		return;
	}
	permit = local_permit(probation, message->query_id,
			      &message->fingerprint);
	reply.query_id = message->query_id;
	reply.fingerprint = message->fingerprint;
	reply.servers[0] = arbitrate(probation, &permit, message, &verdict);
	reply.verdict = verdict;
	on_reply(probation, &reply);
}

static struct pending_query *add_query(struct quarantine_probation *probation,
				       const struct tgw_quarantine_query *from,
				       struct tgw_quarantine_callback callback)
{
	struct pending_query *query = xcalloc(1, sizeof(*query));

	query->message.kind = QUARANTINE_QUERY;
	query->message.fingerprint = from->fingerprint;
	copy_servers(query, from);
	query->deadline_us = now_of(probation) + QUERY_TIMEOUT_US;
	query->waits_for_server = from->wait_until_us != 0;
	if (query->waits_for_server)
		query->deadline_us = from->wait_until_us;
	query->callback = callback;
	query->next = probation->queries;
	probation->queries = query;
	probation->query_count++;
	return query;
}

void quarantine_probation_enter(struct quarantine_probation *probation,
				const struct tgw_quarantine_query *query,
				struct tgw_quarantine_callback callback)
{
	const struct quarantine_item *item =
		quarantine_table_find(probation->table, &query->fingerprint);

	if (!item || !item->crash_count) {
		answer(probation, callback, TGW_QUARANTINE_ADMITTED, "");
		return;
	}
	if (quarantine_item_is_refused(item,
				       probation->crashes_until_refused)) {
		answer(probation, callback, TGW_QUARANTINE_REFUSED, "");
		return;
	}
	if (probation->query_count == QUERIES_MAX)
		answer(probation, callback, TGW_QUARANTINE_BUSY, "");
	else
		send_query(probation, add_query(probation, query, callback));
}

static void on_query(struct quarantine_probation *probation,
		     const struct tgw_peer_message *from,
		     const struct quarantine_message *query)
{
	struct quarantine_permit permit = {
		.fingerprint = query->fingerprint,
		.incarnation = from->from_incarnation,
		.query_id = query->query_id,
		.last_received_us = now_of(probation),
	};
	struct quarantine_message reply = {
		.kind = QUARANTINE_REPLY,
		.query_id = query->query_id,
		.fingerprint = query->fingerprint,
		.server_count = 1,
	};

	snprintf(permit.host, sizeof(permit.host), "%s", from->from_host);
	reply.servers[0] = arbitrate(probation, &permit, query, &reply.verdict);
	send_message(probation, from->from_host, &reply);
}

static void on_hold_or_release(struct quarantine_probation *probation,
			       const struct tgw_peer_message *from,
			       const struct quarantine_message *message)
{
	struct quarantine_permit permit = {
		.fingerprint = message->fingerprint,
		.incarnation = from->from_incarnation,
		.query_id = message->query_id,
		.last_received_us = now_of(probation),
	};

	snprintf(permit.host, sizeof(permit.host), "%s", from->from_host);
	if (message->server_count)
		snprintf(permit.server, sizeof(permit.server), "%s",
			 message->servers[0]);
	if (message->kind == QUARANTINE_HOLD)
		quarantine_permits_refresh(&probation->permits, &permit);
	else
		quarantine_permits_release(&probation->permits, &permit);
}

static struct pending_query *find_due_query(
	const struct quarantine_probation *probation)
{
	int64_t now_us = now_of(probation);

	for (struct pending_query *query = probation->queries; query;
	     query = query->next)
		if (query->deadline_us <= now_us || query->retry_us <= now_us)
			return query;
	return NULL;
}

static void handle_due_queries(struct quarantine_probation *probation)
{
	struct pending_query *query;

	while ((query = find_due_query(probation))) {
		struct tgw_quarantine_callback callback = query->callback;

		if (query->deadline_us > now_of(probation)) {
			send_query(probation, query);
			continue;
		}
		remove_query(probation, query);
		free(query);
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
				quarantine_permits_refresh(&probation->permits,
							   held);
			else
				send_permit(probation, QUARANTINE_HOLD, held);
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
		on_query(probation, from, message);
		return;
	case QUARANTINE_REPLY:
		on_reply(probation, message);
		return;
	case QUARANTINE_HOLD:
	case QUARANTINE_RELEASE:
		on_hold_or_release(probation, from, message);
		return;
	default:
		return;
	}
}

void quarantine_probation_tick(struct quarantine_probation *probation)
{
	handle_due_queries(probation);
	renew_holds(probation);
}
