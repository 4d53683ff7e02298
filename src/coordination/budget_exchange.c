#include "coordination/budget_exchange.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "coordination/budget_allotment.h"
#include "coordination/budget_holder.h"

#define EXCHANGE_INTERVAL_US BUDGET_S(30)
#define MAX_KEYS_PER_MESSAGE 500
/* A host that is not ranked first notifies all hosts for this long after it
 * last settled a key. */
#define NOTIFY_ALL_US BUDGET_S(900)

static void expire_log(struct budget_bucket *bucket)
{
	struct key_log *log = &bucket->log;
	int64_t before_us = budget_now_us(bucket->agent) -
			    bucket->agent->env.settings.duplicate_retention_us;
	size_t old = 0;

	while (old < log->count && log->keys[old].settled_us < before_us)
		old++;
	if (!old)
		return;
	log->count -= old;
	log->first += old;
	memmove(log->keys, log->keys + old, log->count * sizeof(log->keys[0]));
}

static struct key_cursor *obtain_cursor(struct key_log *log,
					struct budget_peer *holder)
{
	struct key_cursor *cursor;

	for (size_t i = 0; i < log->cursor_count; i++)
		if (log->cursors[i].holder == holder)
			return &log->cursors[i];
	log->cursors = xrealloc(log->cursors,
				(log->cursor_count + 1) * sizeof(*cursor));
	cursor = &log->cursors[log->cursor_count++];
	memset(cursor, 0, sizeof(*cursor));
	cursor->holder = holder;
	return cursor;
}

static void send_keys(struct budget_bucket *bucket, struct key_cursor *cursor)
{
	struct key_log *log = &bucket->log;
	uint64_t next = cursor->acked + 1;
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_KEYS,
		.bucket = bucket->index,
	};

	if (next < log->first)
		next = log->first;
	for (; next < log->first + log->count &&
	       message.item_count < MAX_KEYS_PER_MESSAGE;
	     next++)
		budget_message_add(&message)->id =
			key_table_prefix(&log->keys[next - log->first].key);
	message.sequence = next - 1;
	if (message.item_count)
		budget_send(bucket->agent, cursor->holder->name, &message);
	budget_message_clear(&message);
}

/* Finds the domain's highest-ranked host other than this one. The local failure
 * domain is included: another host may have settled a key while this one was
 * partitioned. */
static const struct tgw_host *find_receiver(struct budget_bucket *bucket,
					    const char *domain)
{
	const struct tgw_budget_agent *agent = bucket->agent;
	const struct tgw_host *ranked[2];
	size_t count = tgw_host_view_rank(agent->view, domain,
					  ledger_bucket_hash(bucket->index),
					  ranked, 2);

	for (size_t i = 0; i < count; i++)
		if (strcmp(ranked[i]->name, agent->name))
			return ranked[i];
	return NULL;
}

static void notify_host(struct budget_bucket *bucket,
			const struct tgw_host *host)
{
	struct key_cursor *cursor = obtain_cursor(
		&bucket->log, budget_peer_obtain(bucket->agent, host->name));

	if (cursor->holder_incarnation != host->incarnation) {
		cursor->holder_incarnation = host->incarnation;
		cursor->acked = 0;
	}
	send_keys(bucket, cursor);
}

static void notify_domain(struct budget_bucket *bucket, const char *domain)
{
	const struct tgw_host *receiver = find_receiver(bucket, domain);

	if (receiver)
		notify_host(bucket, receiver);
}

/* This host may have granted while its domain's first host was silent. Any host
 * may have done the same, so all of them are notified. */
static void notify_all(struct budget_bucket *bucket)
{
	const struct tgw_budget_agent *agent = bucket->agent;

	for (size_t i = 0; i < agent->view->host_count; i++) {
		const struct tgw_host *host = &agent->view->hosts[i];

		if (strcmp(host->name, agent->name) &&
		    host->state == TGW_HOST_ALIVE)
			notify_host(bucket, host);
	}
}

static void notify_domains(struct budget_bucket *bucket)
{
	const struct tgw_host_view *view = bucket->agent->view;

	for (size_t i = 0; i < view->host_count; i++) {
		const char *domain = view->hosts[i].failure_domain;
		size_t earlier = 0;

		while (earlier < i &&
		       strcmp(view->hosts[earlier].failure_domain, domain))
			earlier++;
		if (earlier == i)
			notify_domain(bucket, domain);
	}
}

static enum budget_copy_state copy_state(const struct reservation *reservation)
{
	if (reservation->state == RESERVATION_REVERSED)
		return BUDGET_COPY_REVERSED;
	if (!reservation->allotment || reservation->bucket->agent->is_draining)
		return BUDGET_COPY_FINAL;
	return reservation->is_kept ? BUDGET_COPY_KEPT : BUDGET_COPY_REVERSIBLE;
}

static bool has_ended(const struct reservation *reservation)
{
	return reservation && (reservation->state == RESERVATION_SETTLED ||
			       reservation->state == RESERVATION_REVERSED);
}

static void send_duplicate(const struct reservation *reservation,
			   const struct budget_peer *to, bool is_reply)
{
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_DUPLICATE,
		.bucket = reservation->bucket->index,
	};
	struct budget_message_item *item = budget_message_add(&message);

	item->key = reservation->key;
	item->has_key = true;
	item->tokens = reservation->spent_tokens;
	item->code = copy_state(reservation);
	item->flags = is_reply ? BUDGET_FLAG_REPLY : 0;
	budget_send(reservation->bucket->agent, to->name, &message);
	budget_message_clear(&message);
}

static struct unresolved_duplicate **find_duplicate(
	struct tgw_budget_agent *agent, const struct tgw_request_key *key,
	const struct budget_peer *peer)
{
	struct unresolved_duplicate **link = &agent->unresolved_duplicates;

	while (*link && ((*link)->peer != peer ||
			 memcmp(&(*link)->key, key, sizeof(*key))))
		link = &(*link)->next;
	return link;
}

static void add_duplicate(struct tgw_budget_agent *agent,
			  const struct reservation *reservation,
			  struct budget_peer *peer)
{
	struct unresolved_duplicate **link =
		find_duplicate(agent, &reservation->key, peer);

	if (*link)
		return;
	*link = xcalloc(1, sizeof(**link));
	(*link)->key = reservation->key;
	(*link)->peer = peer;
}

static void remove_duplicate(struct tgw_budget_agent *agent,
			     const struct tgw_request_key *key,
			     const struct budget_peer *peer)
{
	struct unresolved_duplicate **link = find_duplicate(agent, key, peer);
	struct unresolved_duplicate *removed = *link;

	if (!removed)
		return;
	*link = removed->next;
	free(removed);
}

static void add_reported(struct tgw_budget_agent *agent, uint64_t prefix,
			 struct budget_peer *peer)
{
	struct reported_key *reported =
		key_table_find_prefix(&agent->reported, prefix);

	if (reported)
		return;
	reported = xcalloc(1, sizeof(*reported));
	memcpy(reported->key.bytes, &prefix, sizeof(prefix));
	reported->peer = peer;
	reported->reported_us = budget_now_us(agent);
	key_table_add(&agent->reported, reported);
	*agent->reported_end = reported;
	agent->reported_end = &reported->next;
}

static void expire_reported(struct tgw_budget_agent *agent, int64_t before_us)
{
	while (agent->reported_first &&
	       agent->reported_first->reported_us < before_us) {
		struct reported_key *reported = agent->reported_first;

		agent->reported_first = reported->next;
		if (!agent->reported_first)
			agent->reported_end = &agent->reported_first;
		key_table_remove(&agent->reported, &reported->key);
		free(reported);
	}
}

/* If another host reported the key before it was settled here, this host starts
 * the query. */
static void query_reporter(struct tgw_budget_agent *agent,
			   const struct tgw_request_key *key)
{
	const struct reported_key *reported =
		key_table_find_prefix(&agent->reported, key_table_prefix(key));
	const struct reservation *reservation =
		key_table_find(&agent->reservations, key);

	if (reported && reservation)
		add_duplicate(agent, reservation, reported->peer);
}

void budget_exchange_log(struct budget_bucket *bucket,
			 const struct tgw_request_key *key)
{
	struct key_log *log = &bucket->log;
	struct logged_key *logged;

	if (log->count == log->capacity) {
		log->capacity = log->capacity * 2 + 16;
		log->keys = xrealloc(log->keys,
				     log->capacity * sizeof(log->keys[0]));
	}
	logged = &log->keys[log->count++];
	logged->key = *key;
	logged->settled_us = budget_now_us(bucket->agent);
	query_reporter(bucket->agent, key);
}

/* Repeats the queries about unresolved duplicates. */
static void retry_queries(struct tgw_budget_agent *agent)
{
	struct unresolved_duplicate *duplicate = agent->unresolved_duplicates;

	while (duplicate) {
		struct unresolved_duplicate *next = duplicate->next;
		const struct reservation *reservation =
			key_table_find(&agent->reservations, &duplicate->key);

		if (!reservation || reservation->state == RESERVATION_NOT_RUN)
			remove_duplicate(agent, &duplicate->key,
					 duplicate->peer);
		else if (has_ended(reservation))
			send_duplicate(reservation, duplicate->peer, false);
		duplicate = next;
	}
}

static int64_t newest_us(const struct key_log *log)
{
	return log->keys[log->count - 1].settled_us;
}

void budget_exchange_tick(struct tgw_budget_agent *agent)
{
	int64_t now_us = budget_now_us(agent);

	if (now_us < agent->exchange_due_us)
		return;
	agent->exchange_due_us = now_us + EXCHANGE_INTERVAL_US;
	retry_queries(agent);
	budget_holder_query_use(agent);
	expire_reported(agent,
			now_us - agent->env.settings.duplicate_retention_us);
	for (size_t i = 0; i < agent->bucket_count; i++) {
		struct budget_bucket *bucket = agent->buckets[i];

		expire_log(bucket);
		if (!bucket->log.count)
			continue;
		notify_domains(bucket);
		if (!budget_bucket_is_first(bucket) &&
		    now_us - newest_us(&bucket->log) < NOTIFY_ALL_US)
			notify_all(bucket);
	}
}

void budget_exchange_on_keys(struct tgw_budget_agent *agent,
			     struct budget_peer *from,
			     const struct budget_message *message)
{
	struct budget_message seen = {
		.kind = BUDGET_MESSAGE_KEYS_SEEN,
		.bucket = message->bucket,
		.sequence = message->sequence,
	};

	for (size_t i = 0; i < message->item_count; i++) {
		const struct reservation *reservation = key_table_find_prefix(
			&agent->reservations, message->items[i].id);

		if (!reservation || reservation->state == RESERVATION_NOT_RUN) {
			add_reported(agent, message->items[i].id, from);
			continue;
		}
		/* The query for a request that still runs is sent once it has
		 * ended. */
		add_duplicate(agent, reservation, from);
		if (has_ended(reservation))
			send_duplicate(reservation, from, false);
	}
	budget_send(agent, from->name, &seen);
}

void budget_exchange_on_keys_seen(struct tgw_budget_agent *agent,
				  const struct budget_peer *from,
				  uint64_t from_incarnation,
				  const struct budget_message *message)
{
	struct key_log *log =
		&budget_bucket_obtain(agent, message->bucket)->log;

	for (size_t i = 0; i < log->cursor_count; i++) {
		struct key_cursor *cursor = &log->cursors[i];

		if (cursor->holder == from &&
		    cursor->holder_incarnation == from_incarnation &&
		    cursor->acked < message->sequence)
			cursor->acked = message->sequence;
	}
}

static bool sorts_after(const struct tgw_budget_agent *agent,
			const struct budget_peer *other)
{
	const struct tgw_host *host =
		tgw_host_view_find(agent->view, other->name);
	int order = host ? strcmp(agent->domain, host->failure_domain) : 0;

	if (!order)
		order = strcmp(agent->name, other->name);
	return order > 0;
}

/* Whether the local copy is the one to keep. Incomplete runs of a request may
 * differ in usage; then the larger copy is kept. */
static bool keeps_own_copy(const struct tgw_budget_agent *agent,
			   const struct budget_peer *other,
			   const struct reservation *reservation,
			   const struct budget_message_item *item)
{
	if (reservation->spent_tokens != item->tokens)
		return reservation->spent_tokens > item->tokens;
	return !sorts_after(agent, other);
}

/* Of two copies that can be reversed, the larger one, or of equal ones the one
 * that sorts first, is marked as kept for good before the other is reversed, so
 * that one copy always stays charged.
 * @return whether this pair of copies is resolved */
static bool resolve_pair(struct tgw_budget_agent *agent,
			 const struct budget_peer *from,
			 struct reservation *reservation,
			 const struct budget_message_item *item)
{
	enum budget_copy_state own_state = copy_state(reservation);
	enum budget_copy_state other_state = (enum budget_copy_state)item->code;

	if (other_state == BUDGET_COPY_REVERSED ||
	    own_state == BUDGET_COPY_REVERSED)
		return true;
	if (own_state == BUDGET_COPY_FINAL)
		return other_state != BUDGET_COPY_REVERSIBLE;
	if (own_state == BUDGET_COPY_KEPT && other_state == BUDGET_COPY_FINAL)
		return true;
	if (own_state == other_state &&
	    keeps_own_copy(agent, from, reservation, item)) {
		reservation->is_kept = true;
		return false;
	}
	if (other_state == BUDGET_COPY_REVERSIBLE)
		return false;
	budget_holder_reverse(reservation, item->tokens);
	return true;
}

void budget_exchange_on_duplicate(struct tgw_budget_agent *agent,
				  const struct budget_peer *from,
				  const struct budget_message *message)
{
	for (size_t i = 0; i < message->item_count; i++) {
		const struct budget_message_item *item = &message->items[i];
		struct reservation *reservation =
			key_table_find(&agent->reservations, &item->key);

		if (!has_ended(reservation))
			continue;
		if (resolve_pair(agent, from, reservation, item))
			remove_duplicate(agent, &item->key, from);
		if (!(item->flags & BUDGET_FLAG_REPLY))
			send_duplicate(reservation, from, true);
	}
}

void budget_exchange_free_all(struct tgw_budget_agent *agent)
{
	expire_reported(agent, BUDGET_NEVER_US);
	key_table_free(&agent->reported);
	while (agent->unresolved_duplicates) {
		struct unresolved_duplicate *duplicate =
			agent->unresolved_duplicates;

		agent->unresolved_duplicates = duplicate->next;
		free(duplicate);
	}
}

void budget_exchange_free(struct budget_bucket *bucket)
{
	free(bucket->log.keys);
	free(bucket->log.cursors);
}
