#include "coordination/budget_holder.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "coordination/budget_allotment.h"
#include "coordination/budget_entry.h"
#include "coordination/budget_recall.h"
#include "coordination/budget_reservation.h"

/* A request is refused as NOT_FOUND if a read did not find its budget and began
 * no earlier than this long before the request arrived. */
#define NOT_FOUND_MAX_AGE_US BUDGET_S(2)
/* Interval at which waiting requests are checked again. */
#define WAITERS_INTERVAL_US BUDGET_MS(20)
/* Interval at which a host is queried whether it still uses a reservation. */
#define USE_QUERY_INTERVAL_US BUDGET_S(30)
/* Maximum number of runs after an incomplete one under the same key. */
#define RERUNS_MAX 3
#define REFUSE_BACKOFF_MIN_US BUDGET_MS(250)
#define REFUSE_BACKOFF_MAX_US BUDGET_S(2)

/* Replies to one request; the entry host may be this host. */
static void send_reply(struct tgw_budget_agent *agent, struct budget_peer *to,
		       uint64_t line_id, const struct budget_message_item *item)
{
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_RESERVED,
		.line = line_id,
		.item_count = 1,
		.items = (struct budget_message_item *)item,
	};

	if (to == agent->self)
		budget_entry_on_reserved(agent, to, agent->incarnation, line_id,
					 item);
	else
		budget_send(agent, to->name, &message);
}

static void reply_status(struct tgw_budget_agent *agent, struct budget_peer *to,
			 uint64_t request_id, enum tgw_status status,
			 int64_t retry_after_us)
{
	struct budget_message_item item = {
		.id = request_id,
		.code = status,
		.other = retry_after_us > 0 ? retry_after_us : 0,
	};

	if (status == TGW_EXHAUSTED)
		agent->counters.refused_exhausted++;
	if (status == TGW_UNAVAILABLE)
		agent->counters.refused_unavailable++;
	send_reply(agent, to, 0, &item);
}

static void reply_granted(struct tgw_budget_agent *agent,
			  struct budget_peer *to, uint64_t request_id,
			  const struct reservation *reservation, uint32_t flags)
{
	struct budget_message_item item = {
		.id = request_id,
		.code = TGW_OK,
		.flags = flags,
		.tokens = reservation->state == RESERVATION_OPEN
				  ? reservation->min_charge_tokens
				  : reservation->spent_tokens,
	};
	const struct holder_allotment *allotment = reservation->allotment;

	send_reply(agent, to, allotment ? allotment->line->id : 0, &item);
}

static void grant(struct holder_allotment *allotment,
		  const struct budget_waiter *waiter)
{
	struct tgw_budget_agent *agent = allotment->line->bucket->agent;
	struct reservation *reservation =
		reservation_obtain(agent, &waiter->key);
	uint32_t flags = 0;

	reservation->min_charge_tokens = 0;
	if (reservation->state == RESERVATION_SETTLED) {
		flags = BUDGET_FLAG_RUN_AGAIN;
		reservation->reruns++;
		reservation->min_charge_tokens = reservation->spent_tokens;
		budget_holder_credit(reservation, reservation->spent_tokens);
	}
	reservation_set_allotment(reservation, allotment);
	reservation->bucket = allotment->line->bucket;
	reservation->owner = waiter->from;
	reservation->owner_incarnation = waiter->from_incarnation;
	reservation->request_id = waiter->request_id;
	reservation->state = RESERVATION_OPEN;
	reservation_remove_joiners(reservation);
	reservation->owner_run_ended = false;
	reservation->use_checked_us = budget_now_us(agent);
	reservation->withheld_tokens = 0;
	reservation->claim_is_waived = false;
	reservation->is_kept = false;
	reservation->is_partial = false;
	reservation->bound_tokens = waiter->bound_tokens;
	reservation->spent_tokens = 0;
	allotment->open_tokens += waiter->bound_tokens;
	holder_allotment_schedule_check(allotment);
	allotment->refuse_backoff_us = 0;
	allotment->refuse_until_us = 0;
	assert(holder_allotment_left(allotment) >= 0);
	agent->counters.reserved++;
	agent->counters.reserved_tokens += waiter->bound_tokens;
	reply_granted(agent, waiter->from, waiter->request_id, reservation,
		      flags);
}

static bool is_known_missing(const struct budget_bucket *bucket,
			     const char *budget, int64_t since_us)
{
	return bucket->is_read && bucket->read_us >= since_us &&
	       ledger_bucket_find_budget(&bucket->ledger, budget) < 0;
}

static int64_t next_refuse_backoff_us(struct holder_allotment *allotment)
{
	if (!allotment->refuse_backoff_us)
		allotment->refuse_backoff_us = REFUSE_BACKOFF_MIN_US;
	else if (allotment->refuse_backoff_us < REFUSE_BACKOFF_MAX_US)
		allotment->refuse_backoff_us *= 2;
	return allotment->refuse_backoff_us;
}

/* Checks a request that does not fit into the tokens left.
 * @return OK if it keeps waiting, else the status to refuse it with */
static enum tgw_status check_waiter(struct holder_allotment *allotment,
				    const struct budget_waiter *waiter)
{
	struct budget_bucket *bucket = allotment->line->bucket;
	struct tgw_budget_agent *agent = bucket->agent;
	int64_t now_us = budget_now_us(agent);
	int64_t short_tokens = waiter->bound_tokens +
			       holder_allotment_used(allotment) -
			       allotment->usable_tokens;

	if (is_known_missing(bucket, allotment->budget,
			     waiter->started_us - NOT_FOUND_MAX_AGE_US))
		return TGW_NOT_FOUND;
	if (agent->is_draining)
		return TGW_UNAVAILABLE;
	if (short_tokens > 0) {
		if (budget_store_is_unreachable(agent))
			return TGW_UNAVAILABLE;
		if (budget_recall_is_insufficient(allotment, waiter))
			return TGW_EXHAUSTED;
	}
	if (now_us < waiter->deadline_us)
		return TGW_OK;
	if (short_tokens > 0 && bucket->is_read &&
	    bucket->read_us >= waiter->started_us)
		return TGW_EXHAUSTED;
	return TGW_UNAVAILABLE;
}

static void refuse(struct holder_allotment *allotment,
		   const struct budget_waiter *waiter, enum tgw_status status)
{
	struct tgw_budget_agent *agent = allotment->line->bucket->agent;
	const struct reservation *reservation =
		key_table_find(&agent->reservations, &waiter->key);
	int64_t retry_after_us = REFUSE_BACKOFF_MAX_US;

	if (status == TGW_EXHAUSTED) {
		retry_after_us = next_refuse_backoff_us(allotment);
		allotment->refuse_until_us =
			budget_now_us(agent) + retry_after_us;
	}
	/* An earlier, incomplete run stays charged. */
	if (!reservation || reservation->state != RESERVATION_SETTLED)
		reservation_set_not_run(allotment->line->bucket, &waiter->key,
					waiter->from, waiter->from_incarnation,
					waiter->request_id);
	reply_status(agent, waiter->from, waiter->request_id, status,
		     status == TGW_NOT_FOUND ? 0 : retry_after_us);
}

static void serve_allotment(struct holder_allotment *allotment)
{
	struct budget_waiter **link = &allotment->waiters;

	while (*link) {
		struct budget_waiter *waiter = *link;
		enum tgw_status status = TGW_OK;
		bool fits = waiter->bound_tokens <=
			    holder_allotment_left(allotment);

		if (!fits)
			status = check_waiter(allotment, waiter);
		if (!fits && status == TGW_OK) {
			link = &waiter->next;
			continue;
		}
		*link = waiter->next;
		if (fits)
			grant(allotment, waiter);
		else
			refuse(allotment, waiter, status);
		free(waiter);
	}
}

void budget_holder_serve_waiters(struct budget_bucket *bucket)
{
	struct holder_line *line = bucket->line;

	bucket->waiters_due_us = BUDGET_NEVER_US;
	for (size_t i = 0; line && i < line->allotment_count; i++) {
		if (!line->allotments[i]->waiters)
			continue;
		serve_allotment(line->allotments[i]);
		if (!line->allotments[i]->waiters)
			continue;
		budget_bucket_queue(bucket);
		bucket->waiters_due_us =
			budget_now_us(bucket->agent) + WAITERS_INTERVAL_US;
	}
}

static bool is_waiting(const struct holder_allotment *allotment,
		       const struct tgw_request_key *key)
{
	for (const struct budget_waiter *waiter = allotment->waiters; waiter;
	     waiter = waiter->next)
		if (!memcmp(&waiter->key, key, sizeof(*key)))
			return true;
	return false;
}

static bool may_run_again(const struct reservation *reservation)
{
	return reservation->is_partial && reservation->allotment &&
	       reservation->reruns < RERUNS_MAX;
}

/* Replies to a request whose key already has a reservation.
 * @return false when the request is to be handled as a new one */
static bool reply_duplicate(struct tgw_budget_agent *agent,
			    struct budget_peer *from, uint64_t from_incarnation,
			    const struct budget_message_item *item)
{
	struct reservation *reservation =
		key_table_find(&agent->reservations, &item->key);
	bool is_same;

	if (!reservation)
		return false;
	is_same = reservation->owner == from &&
		  reservation->owner_incarnation == from_incarnation &&
		  reservation->request_id == item->id;
	switch (reservation->state) {
	case RESERVATION_OPEN:
		if (!is_same) {
			reservation_add_joiner(reservation, from,
					       from_incarnation, item->id);
			agent->counters.duplicate_keys++;
		}
		reply_granted(agent, from, item->id, reservation,
			      is_same ? 0 : BUDGET_FLAG_ALREADY_RESERVED);
		return true;
	case RESERVATION_SETTLED:
		if (!is_same && may_run_again(reservation)) {
			if (!reservation->claim_is_waived)
				reply_status(agent, from, item->id, TGW_BUSY,
					     0);
			return !reservation->claim_is_waived;
		}
		/* fall through */
	case RESERVATION_REVERSED:
		agent->counters.duplicate_keys++;
		reply_granted(agent, from, item->id, reservation,
			      BUDGET_FLAG_ALREADY_SETTLED);
		return true;
	case RESERVATION_NOT_RUN:
		if (!is_same && reservation->is_unconfirmed)
			reply_status(agent, from, item->id, TGW_BUSY, 0);
		return is_same || reservation->is_unconfirmed;
	}
	return false;
}

static void append_waiter(struct holder_allotment *allotment,
			  struct budget_waiter *waiter)
{
	struct budget_waiter **link = &allotment->waiters;

	while (*link)
		link = &(*link)->next;
	*link = waiter;
}

void budget_holder_reserve(struct tgw_budget_agent *agent,
			   struct budget_peer *from, uint64_t from_incarnation,
			   const struct budget_message_item *item)
{
	struct budget_bucket *bucket = budget_bucket_obtain(
		agent, ledger_bucket_of(item->budget,
					agent->env.settings.bucket_count));
	int64_t now_us = budget_now_us(agent);
	struct holder_allotment *allotment;
	struct budget_waiter *waiter;

	if (reply_duplicate(agent, from, from_incarnation, item))
		return;
	if (agent->is_draining) {
		reply_status(agent, from, item->id, TGW_BUSY, 0);
		return;
	}
	allotment = holder_line_obtain_allotment(holder_line_obtain(bucket),
						 item->budget);
	if (is_waiting(allotment, &item->key))
		return;
	if (item->tokens > holder_allotment_left(allotment) &&
	    now_us < allotment->refuse_until_us) {
		reply_status(agent, from, item->id, TGW_EXHAUSTED,
			     allotment->refuse_until_us - now_us);
		return;
	}
	waiter = xcalloc(1, sizeof(*waiter));
	waiter->from = from;
	waiter->from_incarnation = from_incarnation;
	waiter->request_id = item->id;
	waiter->key = item->key;
	waiter->bound_tokens = item->tokens;
	waiter->started_us = now_us;
	waiter->deadline_us =
		now_us + agent->env.settings.reserve_timeout_us / 2;
	append_waiter(allotment, waiter);
	holder_allotment_schedule_check(allotment);
	bucket->waiters_due_us = now_us;
	serve_allotment(allotment);
}

/* Sends the reply again, with the key. A host that does not use the reservation
 * replies with a settlement as not run. */
static void query_user(struct tgw_budget_agent *agent, struct budget_peer *user,
		       uint64_t request_id,
		       const struct reservation *reservation)
{
	struct budget_message_item item = {
		.id = request_id,
		.key = reservation->key,
		.has_key = true,
		.code = TGW_OK,
	};

	short_name_copy(item.budget, reservation->allotment->budget);
	send_reply(agent, user, reservation->allotment->line->id, &item);
}

static void query_users(struct tgw_budget_agent *agent,
			struct reservation *reservation)
{
	struct reservation_joiner *joiner = reservation->joiners;
	struct reservation_joiner *next;

	reservation->use_checked_us = budget_now_us(agent);
	/* A query to this host is a direct call, which may remove the joiner
	 * and settle the reservation. */
	for (; joiner; joiner = next) {
		next = joiner->next;
		query_user(agent, joiner->peer, joiner->request_id,
			   reservation);
	}
	if (reservation->state == RESERVATION_OPEN &&
	    !reservation->owner_run_ended)
		query_user(agent, reservation->owner, reservation->request_id,
			   reservation);
}

void budget_holder_query_use(struct tgw_budget_agent *agent)
{
	int64_t before_us = budget_now_us(agent) - USE_QUERY_INTERVAL_US;

	for (size_t i = 0; i < agent->reservations.capacity; i++) {
		struct reservation *reservation = agent->reservations.slots[i];

		if (reservation && reservation->state == RESERVATION_OPEN &&
		    reservation->allotment &&
		    reservation->use_checked_us <= before_us)
			query_users(agent, reservation);
	}
}
