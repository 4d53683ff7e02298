#include "coordination/budget_exchange.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "coordination/budget_holder.h"
#include "coordination/budget_share.h"
#include "state/name_copy.h"

#define EXCHANGE_INTERVAL_US BUDGET_S(30)
#define KEYS_MAX 500

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
}

static void expire(struct budget_bucket *bucket)
{
	struct key_log *log = &bucket->log;
	int64_t before_us = budget_now_us(bucket->agent) -
			    bucket->agent->env.settings.duplicate_memory_us;
	size_t old = 0;

	while (old < log->count && log->keys[old].settled_us < before_us)
		old++;
	if (!old)
		return;
	log->count -= old;
	log->first += old;
	memmove(log->keys, log->keys + old, log->count * sizeof(log->keys[0]));
}

static struct key_cursor *obtain_cursor(struct key_log *log, const char *domain)
{
	struct key_cursor *cursor;

	for (size_t i = 0; i < log->cursor_count; i++)
		if (!strcmp(log->cursors[i].domain, domain))
			return &log->cursors[i];
	log->cursors = xrealloc(log->cursors,
				(log->cursor_count + 1) * sizeof(*cursor));
	cursor = &log->cursors[log->cursor_count++];
	memset(cursor, 0, sizeof(*cursor));
	name_copy(cursor->domain, domain);
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
	for (; next < log->first + log->count && message.item_count < KEYS_MAX;
	     next++)
		budget_message_add(&message)->id =
			key_table_prefix(&log->keys[next - log->first].key);
	message.sequence = next - 1;
	if (message.item_count)
		budget_send(bucket->agent, cursor->holder->name, &message);
	budget_message_clear(&message);
}

static void tell_domain(struct budget_bucket *bucket, const char *domain)
{
	struct tgw_budget_agent *agent = bucket->agent;
	struct key_cursor *cursor = obtain_cursor(&bucket->log, domain);
	const struct tgw_host *ranked[1];

	if (!tgw_host_view_rank(agent->view, domain,
				ledger_bucket_hash(bucket->index), ranked, 1))
		return;
	if (!cursor->holder || strcmp(cursor->holder->name, ranked[0]->name) ||
	    cursor->holder_incarnation != ranked[0]->incarnation) {
		cursor->holder = budget_peer_obtain(agent, ranked[0]->name);
		cursor->holder_incarnation = ranked[0]->incarnation;
		cursor->acked = 0;
	}
	send_keys(bucket, cursor);
}

static void tell_domains(struct budget_bucket *bucket)
{
	const struct tgw_host_view *view = bucket->agent->view;

	for (size_t i = 0; i < view->host_count; i++) {
		const char *domain = view->hosts[i].failure_domain;
		size_t earlier = 0;

		while (earlier < i &&
		       strcmp(view->hosts[earlier].failure_domain, domain))
			earlier++;
		if (earlier == i && strcmp(domain, bucket->agent->domain))
			tell_domain(bucket, domain);
	}
}

void budget_exchange_tick(struct tgw_budget_agent *agent)
{
	int64_t now_us = budget_now_us(agent);

	if (now_us < agent->exchange_due_us)
		return;
	agent->exchange_due_us = now_us + EXCHANGE_INTERVAL_US;
	for (size_t i = 0; i < agent->bucket_count; i++) {
		struct budget_bucket *bucket = agent->buckets[i];

		expire(bucket);
		if (bucket->log.count)
			tell_domains(bucket);
	}
}

static enum budget_copy_state copy_state(const struct reservation *reservation)
{
	const struct holder_share *share = reservation->share;

	if (reservation->state == RESERVATION_REVERSED)
		return BUDGET_COPY_REVERSED;
	if (!share || share->line->is_closed ||
	    reservation->bucket->agent->is_draining)
		return BUDGET_COPY_FINAL;
	return BUDGET_COPY_REVERSIBLE;
}

static bool has_ended(const struct reservation *reservation)
{
	return reservation && (reservation->state == RESERVATION_SETTLED ||
			       reservation->state == RESERVATION_REVERSED);
}

static void send_duplicate(const struct reservation *reservation,
			   const struct budget_peer *to)
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
	budget_send(reservation->bucket->agent, to->name, &message);
	budget_message_clear(&message);
}

void budget_exchange_on_keys(struct tgw_budget_agent *agent,
			     const struct budget_peer *from,
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

		if (has_ended(reservation))
			send_duplicate(reservation, from);
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

static bool sorts_last(const struct tgw_budget_agent *agent,
		       const struct budget_peer *other)
{
	const struct tgw_host *host =
		tgw_host_view_find(agent->view, other->name);
	int order = host ? strcmp(agent->domain, host->failure_domain) : 0;

	if (!order)
		order = strcmp(agent->name, other->name);
	return order > 0;
}

void budget_exchange_on_duplicate(struct tgw_budget_agent *agent,
				  const struct budget_peer *from,
				  const struct budget_message *message)
{
	for (size_t i = 0; i < message->item_count; i++) {
		const struct budget_message_item *item = &message->items[i];
		struct reservation *reservation =
			key_table_find(&agent->reservations, &item->key);
		enum budget_copy_state mine;

		if (!has_ended(reservation))
			continue;
		mine = copy_state(reservation);
		if (item->code == BUDGET_COPY_REVERSED ||
		    mine == BUDGET_COPY_REVERSED ||
		    (mine == BUDGET_COPY_FINAL &&
		     item->code == BUDGET_COPY_FINAL))
			continue;
		if (mine == BUDGET_COPY_REVERSIBLE &&
		    (item->code == BUDGET_COPY_FINAL ||
		     sorts_last(agent, from)))
			budget_holder_reverse(reservation);
		else
			send_duplicate(reservation, from);
	}
}

void budget_exchange_free(struct budget_bucket *bucket)
{
	free(bucket->log.keys);
	free(bucket->log.cursors);
}
