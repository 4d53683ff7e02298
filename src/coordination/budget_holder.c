#include "coordination/budget_holder.h"

#include <assert.h>
#include <stdlib.h>
#include <string.h>

#include "base/text.h"
#include "base/xalloc.h"
#include "coordination/budget_entry.h"
#include "coordination/budget_recall.h"
#include "coordination/budget_reservation.h"
#include "coordination/budget_share.h"

/* A budget that was not found is looked for again after this. */
#define NOT_FOUND_AGE_US BUDGET_S(2)
#define WAITERS_INTERVAL_US BUDGET_MS(20)
/* A host is asked this often whether it still uses what it was granted. */
#define ASK_USE_INTERVAL_US BUDGET_S(30)
/* Runs that follow a cut-off one under the same key. */
#define RERUNS_MAX 3
#define REFUSE_BACKOFF_MIN_US BUDGET_MS(250)
#define REFUSE_BACKOFF_MAX_US BUDGET_S(2)

/* Answers one request, wherever its entry host is. */
static void answer(struct tgw_budget_agent *agent, struct budget_peer *to,
		   uint64_t line, const struct budget_message_item *item)
{
	struct budget_message message = {
		.kind = BUDGET_MESSAGE_RESERVED,
		.line = line,
		.item_count = 1,
		.items = (struct budget_message_item *)item,
	};

	if (to == agent->self)
		budget_entry_on_reserved(agent, to, agent->incarnation, line,
					 item);
	else
		budget_send(agent, to->name, &message);
}

static void answer_status(struct tgw_budget_agent *agent,
			  struct budget_peer *to, uint64_t request_id,
			  enum tgw_status status, int64_t retry_after_us)
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
	answer(agent, to, 0, &item);
}

static void answer_granted(struct tgw_budget_agent *agent,
			   struct budget_peer *to, uint64_t request_id,
			   const struct reservation *reservation,
			   uint32_t flags)
{
	struct budget_message_item item = {
		.id = request_id,
		.code = TGW_OK,
		.flags = flags,
		.tokens = reservation->state == RESERVATION_OPEN
				  ? reservation->earlier_tokens
				  : reservation->spent_tokens,
	};
	const struct holder_share *share = reservation->share;

	answer(agent, to, share ? share->line->id : 0, &item);
}

static void grant(struct holder_share *share, const struct budget_waiter *ask)
{
	struct tgw_budget_agent *agent = share->line->bucket->agent;
	struct reservation *reservation = reservation_obtain(agent, &ask->key);
	uint32_t flags = 0;

	reservation->earlier_tokens = 0;
	if (reservation->state == RESERVATION_SETTLED) {
		flags = BUDGET_FLAG_RUN_AGAIN;
		reservation->reruns++;
		reservation->earlier_tokens = reservation->spent_tokens;
		budget_holder_credit(reservation, reservation->spent_tokens);
	}
	reservation_set_share(reservation, share);
	reservation->bucket = share->line->bucket;
	reservation->owner = ask->from;
	reservation->owner_incarnation = ask->from_incarnation;
	reservation->request_id = ask->request_id;
	reservation->state = RESERVATION_OPEN;
	reservation_drop_takers(reservation);
	reservation->owner_gave_up = false;
	reservation->asked_us = budget_now_us(agent);
	reservation->parked_tokens = 0;
	reservation->owner_is_done = false;
	reservation->is_kept = false;
	reservation->is_part = false;
	reservation->bound_tokens = ask->bound_tokens;
	reservation->spent_tokens = 0;
	share->open_tokens += ask->bound_tokens;
	holder_share_touch(share);
	share->refuse_backoff_us = 0;
	share->refuse_until_us = 0;
	assert(holder_share_left(share) >= 0);
	agent->counters.reserved++;
	agent->counters.reserved_tokens += ask->bound_tokens;
	answer_granted(agent, ask->from, ask->request_id, reservation, flags);
}

static bool is_known_missing(const struct budget_bucket *bucket,
			     const char *budget, int64_t since_us)
{
	return bucket->is_read && bucket->read_us >= since_us &&
	       ledger_bucket_find_budget(&bucket->known, budget) < 0;
}

static int64_t backed_off(struct holder_share *share)
{
	if (!share->refuse_backoff_us)
		share->refuse_backoff_us = REFUSE_BACKOFF_MIN_US;
	else if (share->refuse_backoff_us < REFUSE_BACKOFF_MAX_US)
		share->refuse_backoff_us *= 2;
	return share->refuse_backoff_us;
}

/* What becomes of a reservation that does not fit: OK means it waits. */
static enum tgw_status judge(struct holder_share *share,
			     const struct budget_waiter *waiter)
{
	struct budget_bucket *bucket = share->line->bucket;
	struct tgw_budget_agent *agent = bucket->agent;
	int64_t now_us = budget_now_us(agent);
	int64_t short_tokens = waiter->bound_tokens + holder_share_used(share) -
			       share->usable_tokens;

	if (is_known_missing(bucket, share->budget,
			     waiter->started_us - NOT_FOUND_AGE_US))
		return TGW_NOT_FOUND;
	if (agent->is_draining)
		return TGW_UNAVAILABLE;
	if (short_tokens > 0) {
		if (budget_store_is_out(agent))
			return TGW_UNAVAILABLE;
		if (budget_recall_is_hopeless(share, waiter))
			return TGW_EXHAUSTED;
	}
	if (now_us < waiter->deadline_us)
		return TGW_OK;
	if (short_tokens > 0 && bucket->is_read &&
	    bucket->read_us >= waiter->started_us)
		return TGW_EXHAUSTED;
	return TGW_UNAVAILABLE;
}

static void refuse(struct holder_share *share,
		   const struct budget_waiter *waiter, enum tgw_status status)
{
	struct tgw_budget_agent *agent = share->line->bucket->agent;
	const struct reservation *known =
		key_table_find(&agent->reservations, &waiter->key);
	int64_t retry_after_us = REFUSE_BACKOFF_MAX_US;

	if (status == TGW_EXHAUSTED) {
		retry_after_us = backed_off(share);
		share->refuse_until_us = budget_now_us(agent) + retry_after_us;
	}
	/* A run that was cut off stays charged. */
	if (!known || known->state != RESERVATION_SETTLED)
		reservation_set_not_run(share->line->bucket, &waiter->key,
					waiter->from, waiter->from_incarnation,
					waiter->request_id);
	answer_status(agent, waiter->from, waiter->request_id, status,
		      status == TGW_NOT_FOUND ? 0 : retry_after_us);
}

static void serve_share(struct holder_share *share)
{
	struct budget_waiter **link = &share->waiters;

	while (*link) {
		struct budget_waiter *waiter = *link;
		enum tgw_status status = TGW_OK;
		bool fits = waiter->bound_tokens <= holder_share_left(share);

		if (!fits)
			status = judge(share, waiter);
		if (!fits && status == TGW_OK) {
			link = &waiter->next;
			continue;
		}
		*link = waiter->next;
		if (fits)
			grant(share, waiter);
		else
			refuse(share, waiter, status);
		free(waiter);
	}
}

void budget_holder_serve_waiters(struct budget_bucket *bucket)
{
	struct holder_line *line = bucket->line;

	bucket->waiters_due_us = BUDGET_NEVER_US;
	for (size_t i = 0; line && i < line->share_count; i++) {
		if (!line->shares[i]->waiters)
			continue;
		serve_share(line->shares[i]);
		if (!line->shares[i]->waiters)
			continue;
		budget_bucket_touch(bucket);
		bucket->waiters_due_us =
			budget_now_us(bucket->agent) + WAITERS_INTERVAL_US;
	}
}

static bool is_waiting(const struct holder_share *share,
		       const struct tgw_request_key *key)
{
	for (const struct budget_waiter *waiter = share->waiters; waiter;
	     waiter = waiter->next)
		if (!memcmp(&waiter->key, key, sizeof(*key)))
			return true;
	return false;
}

static bool may_run_again(const struct reservation *reservation)
{
	return reservation->is_part && reservation->share &&
	       reservation->reruns < RERUNS_MAX;
}

/* A duplicate is answered by what is known of its key.
 * @return false when the request is to be granted anew */
static bool answer_duplicate(struct tgw_budget_agent *agent,
			     struct budget_peer *from,
			     uint64_t from_incarnation,
			     const struct budget_message_item *item)
{
	struct reservation *known =
		key_table_find(&agent->reservations, &item->key);
	bool is_same;

	if (!known)
		return false;
	is_same = known->owner == from &&
		  known->owner_incarnation == from_incarnation &&
		  known->request_id == item->id;
	switch (known->state) {
	case RESERVATION_OPEN:
		if (!is_same) {
			reservation_add_taker(known, from, from_incarnation,
					      item->id);
			agent->counters.duplicate_keys++;
		}
		answer_granted(agent, from, item->id, known,
			       is_same ? 0 : BUDGET_FLAG_ALREADY_RESERVED);
		return true;
	case RESERVATION_SETTLED:
		if (!is_same && may_run_again(known)) {
			if (!known->owner_is_done)
				answer_status(agent, from, item->id, TGW_BUSY,
					      0);
			return !known->owner_is_done;
		}
		/* fall through */
	case RESERVATION_REVERSED:
		agent->counters.duplicate_keys++;
		answer_granted(agent, from, item->id, known,
			       BUDGET_FLAG_ALREADY_SETTLED);
		return true;
	case RESERVATION_NOT_RUN:
		if (!is_same && known->is_unconfirmed)
			answer_status(agent, from, item->id, TGW_BUSY, 0);
		return is_same || known->is_unconfirmed;
	}
	return false;
}

static void append_waiter(struct holder_share *share,
			  struct budget_waiter *waiter)
{
	struct budget_waiter **link = &share->waiters;

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
	struct holder_share *share;
	struct budget_waiter *waiter;

	if (answer_duplicate(agent, from, from_incarnation, item))
		return;
	if (agent->is_draining) {
		answer_status(agent, from, item->id, TGW_BUSY, 0);
		return;
	}
	share = holder_line_obtain_share(holder_line_obtain(bucket),
					 item->budget);
	if (is_waiting(share, &item->key))
		return;
	if (item->tokens > holder_share_left(share) &&
	    now_us < share->refuse_until_us) {
		answer_status(agent, from, item->id, TGW_EXHAUSTED,
			      share->refuse_until_us - now_us);
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
	append_waiter(share, waiter);
	holder_share_touch(share);
	bucket->waiters_due_us = now_us;
	serve_share(share);
}

/* The answer is sent again, with the key: a host that does not know of it
 * says so by a settlement as not run. */
static void ask_user(struct tgw_budget_agent *agent, struct budget_peer *user,
		     uint64_t request_id, const struct reservation *reservation)
{
	struct budget_message_item item = {
		.id = request_id,
		.key = reservation->key,
		.has_key = true,
		.code = TGW_OK,
	};

	text_copy(item.budget, TGW_NAME_SIZE, reservation->share->budget);
	answer(agent, user, reservation->share->line->id, &item);
}

static void ask_users(struct tgw_budget_agent *agent,
		      struct reservation *reservation)
{
	struct reservation_taker *taker = reservation->takers;
	struct reservation_taker *next;

	reservation->asked_us = budget_now_us(agent);
	/* An answer of this host itself comes from inside. */
	for (; taker; taker = next) {
		next = taker->next;
		ask_user(agent, taker->peer, taker->request_id, reservation);
	}
	if (reservation->state == RESERVATION_OPEN &&
	    !reservation->owner_gave_up)
		ask_user(agent, reservation->owner, reservation->request_id,
			 reservation);
}

void budget_holder_ask_use(struct tgw_budget_agent *agent)
{
	int64_t before_us = budget_now_us(agent) - ASK_USE_INTERVAL_US;

	for (size_t i = 0; i < agent->reservations.capacity; i++) {
		struct reservation *reservation = agent->reservations.slots[i];

		if (reservation && reservation->state == RESERVATION_OPEN &&
		    reservation->share && reservation->asked_us <= before_us)
			ask_users(agent, reservation);
	}
}
