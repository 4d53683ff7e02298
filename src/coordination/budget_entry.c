#include "coordination/budget_entry_private.h"

#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "coordination/budget_choice.h"
#include "coordination/budget_holder.h"
#include "coordination/budget_settle_queue.h"

/* A request without a reply is sent again after reserve_timeout_us divided by
 * this. */
#define RESERVE_RETRY_DIVISOR 5
#define BUSY_RETRY_US BUDGET_MS(50)
/* After all holders, or REFUSED_MAX of them, have refused a request, requests
 * are sent only to the first one for this long. */
#define FIRST_ONLY_US BUDGET_S(1)
#define TIMED_OUT_RETRY_US BUDGET_S(1)

/** A result whose callback runs in the next tick. */
struct entry_answer {
	struct entry_answer *next;
	struct tgw_budget_callback callback;
	struct tgw_budget_answer answer;
};

static const char *status_message(enum tgw_status status)
{
	switch (status) {
	case TGW_OK:
		return "reserved";
	case TGW_EXHAUSTED:
		return "the budget has too few free tokens now; retry "
		       "after the given time, or top it up";
	case TGW_NOT_FOUND:
		return "there is no such budget; top it up to create it";
	case TGW_INVALID:
		return "name a budget, and a bound within the ledger's range";
	default:
		return "the budget can't be reached now; try again later";
	}
}

static void queue_answer(struct tgw_budget_agent *agent,
			 struct tgw_budget_callback callback,
			 const struct tgw_budget_answer *answer)
{
	struct entry_answer *ready = xcalloc(1, sizeof(*ready));

	ready->callback = callback;
	ready->answer = *answer;
	ready->answer.message = status_message(answer->status);
	*agent->ready_end = ready;
	agent->ready_end = &ready->next;
}

static void run_callbacks(struct tgw_budget_agent *agent)
{
	while (agent->ready) {
		struct entry_answer *ready = agent->ready;

		agent->ready = ready->next;
		if (!agent->ready)
			agent->ready_end = &agent->ready;
		ready->callback.done(ready->callback.arg, &ready->answer);
		free(ready);
	}
}

static void remove_pending(struct tgw_budget_agent *agent,
			   const struct entry_request *entry)
{
	struct entry_request **link = &agent->pending;

	while (*link != entry)
		link = &(*link)->next_pending;
	*link = entry->next_pending;
}

/* Cancels the request at the tried holders other than `except`: they may have
 * granted it. */
static void cancel_others(struct tgw_budget_agent *agent,
			  struct entry_request *entry,
			  const struct budget_peer *except)
{
	for (size_t i = 0; i < entry->tried_count; i++)
		if (entry->tried[i].peer != except)
			budget_settle_queue_add(agent, entry->tried[i].peer,
						budget_entry_make_settlement(
							entry, &entry->tried[i],
							TGW_SETTLE_NOT_RUN));
}

static void answer_callers(struct tgw_budget_agent *agent,
			   struct entry_request *entry,
			   struct tgw_budget_answer *answer)
{
	while (entry->callers) {
		struct entry_caller *caller = entry->callers;

		entry->callers = caller->next;
		queue_answer(agent, caller->callback, answer);
		entry->run_count += entry->state == ENTRY_OPEN;
		/* The remaining callers share the first one's reservation. */
		if (answer->status == TGW_OK && !answer->already_settled)
			answer->already_reserved = true;
		free(caller);
	}
}

static void refuse(struct tgw_budget_agent *agent, struct entry_request *entry,
		   enum tgw_status status, int64_t retry_after_us)
{
	struct tgw_budget_answer answer = {
		.status = status,
		.retry_after_us = retry_after_us,
	};

	remove_pending(agent, entry);
	entry->state = ENTRY_DONE;
	entry->basis = TGW_SETTLE_NOT_RUN;
	entry->spent_tokens = 0;
	budget_entry_queue_done(agent, entry);
	answer_callers(agent, entry, &answer);
}

static void add_tried(struct tgw_budget_agent *agent,
		      struct entry_request *entry, struct budget_peer *peer)
{
	const struct tgw_host *host =
		tgw_host_view_find(agent->view, peer->name);

	for (size_t i = 0; i < entry->tried_count; i++)
		if (entry->tried[i].peer == peer)
			return;
	if (entry->tried_count == TRIED_MAX)
		return;
	entry->tried[entry->tried_count].peer = peer;
	entry->tried[entry->tried_count++].incarnation =
		host ? host->incarnation : 0;
}

static struct budget_bucket *bucket_of(struct tgw_budget_agent *agent,
				       const struct entry_request *entry)
{
	return budget_bucket_obtain(
		agent, ledger_bucket_of(entry->budget,
					agent->env.settings.bucket_count));
}

static struct budget_peer *choose_holder(struct tgw_budget_agent *agent,
					 const struct entry_request *entry,
					 const struct budget_bucket *bucket)
{
	return budget_choose_holder(bucket, entry->request_id, entry->refused,
				    entry->refused_count);
}

static void send_reserve(struct tgw_budget_agent *agent,
			 struct entry_request *entry)
{
	struct budget_bucket *bucket = bucket_of(agent, entry);
	struct budget_peer *holder = choose_holder(agent, entry, bucket);
	struct budget_message message = {.kind = BUDGET_MESSAGE_RESERVE};
	struct budget_message_item *item;

	entry->retry_us =
		budget_now_us(agent) +
		agent->env.settings.reserve_timeout_us / RESERVE_RETRY_DIVISOR;
	if (!holder || entry->tried_count == TRIED_MAX)
		return;
	add_tried(agent, entry, holder);
	item = budget_message_add(&message);
	item->id = entry->request_id;
	item->key = entry->key;
	item->has_key = true;
	short_name_copy(item->budget, entry->budget);
	item->tokens = entry->bound_tokens;
	if (holder == agent->self)
		budget_holder_reserve(agent, agent->self, agent->incarnation,
				      item);
	else
		budget_send(agent, holder->name, &message);
	budget_message_clear(&message);
}

static void add_caller(struct entry_request *entry,
		       struct tgw_budget_callback callback)
{
	struct entry_caller **link = &entry->callers;

	while (*link)
		link = &(*link)->next;
	*link = xcalloc(1, sizeof(**link));
	(*link)->callback = callback;
}

static struct entry_request *obtain_entry(struct tgw_budget_agent *agent,
					  const struct tgw_request_key *key)
{
	struct entry_request *entry = key_table_find(&agent->entries, key);

	if (entry)
		return entry;
	entry = xcalloc(1, sizeof(*entry));
	entry->key = *key;
	entry->state = ENTRY_DONE;
	entry->basis = TGW_SETTLE_NOT_RUN;
	key_table_add(&agent->entries, entry);
	return entry;
}

static void start_reserving(struct tgw_budget_agent *agent,
			    struct entry_request *entry,
			    const struct tgw_budget_request *request)
{
	free(entry->budget);
	entry->budget = xstrdup(request->budget);
	entry->bound_tokens = request->bound_tokens;
	entry->state = ENTRY_PENDING;
	entry->basis = TGW_SETTLE_USAGE;
	entry->request_id = ++agent->next_request_id;
	entry->tried_count = 0;
	entry->run_count = 0;
	entry->refused_count = 0;
	entry->registered_at = NULL;
	entry->deadline_us =
		budget_now_us(agent) + agent->env.settings.reserve_timeout_us;
	entry->next_pending = agent->pending;
	agent->pending = entry;
	send_reserve(agent, entry);
}

static bool is_valid(const struct tgw_budget_request *request)
{
	size_t length = request->budget ? strlen(request->budget) : 0;

	return length && length < TGW_NAME_SIZE && request->bound_tokens > 0 &&
	       request->bound_tokens <= LEDGER_TOKENS_MAX;
}

void budget_entry_reserve(struct tgw_budget_agent *agent,
			  const struct tgw_budget_request *request,
			  struct tgw_budget_callback callback)
{
	struct tgw_budget_answer answer = {.status = TGW_OK};
	struct entry_request *entry;

	if (!is_valid(request))
		answer.status = TGW_INVALID;
	else if (agent->is_draining)
		answer.status = TGW_UNAVAILABLE;
	if (answer.status != TGW_OK) {
		queue_answer(agent, callback, &answer);
		return;
	}
	entry = obtain_entry(agent, &request->key);
	if (entry->state == ENTRY_PENDING) {
		add_caller(entry, callback);
		return;
	}
	if (entry->state == ENTRY_DONE &&
	    budget_basis_is_incomplete(entry->basis)) {
		add_caller(entry, callback);
		start_reserving(agent, entry, request);
		return;
	}
	agent->counters.duplicate_keys++;
	entry->run_count += entry->state == ENTRY_OPEN;
	answer.already_reserved = entry->state == ENTRY_OPEN;
	answer.already_settled = entry->state == ENTRY_DONE;
	answer.settled_tokens = entry->spent_tokens;
	queue_answer(agent, callback, &answer);
}

static struct entry_request *find_pending(const struct tgw_budget_agent *agent,
					  uint64_t request_id)
{
	struct entry_request *entry = agent->pending;

	while (entry && entry->request_id != request_id)
		entry = entry->next_pending;
	return entry;
}

static void accept_grant(struct tgw_budget_agent *agent,
			 struct entry_request *entry,
			 const struct holder_process *holder, uint64_t line_id,
			 const struct budget_message_item *item)
{
	struct tgw_budget_answer answer = {
		.status = TGW_OK,
		.already_reserved =
			item->flags &
			(BUDGET_FLAG_ALREADY_RESERVED | BUDGET_FLAG_RUN_AGAIN),
		.already_settled = item->flags & BUDGET_FLAG_ALREADY_SETTLED,
		.settled_tokens = item->tokens,
	};

	remove_pending(agent, entry);
	entry->holder = *holder;
	entry->line_id = line_id;
	entry->is_owner = !(item->flags & BUDGET_FLAG_ALREADY_RESERVED) &&
			  !answer.already_settled;
	entry->min_charge_tokens =
		item->flags & BUDGET_FLAG_RUN_AGAIN ? item->tokens : 0;
	entry->state = ENTRY_OPEN;
	entry->spent_tokens = 0;
	if (answer.already_settled) {
		entry->state = ENTRY_DONE;
		entry->basis = TGW_SETTLE_USAGE;
		entry->spent_tokens = item->tokens;
		budget_entry_queue_done(agent, entry);
	} else {
		agent->open_entries++;
	}
	cancel_others(agent, entry, holder->peer);
	answer_callers(agent, entry, &answer);
}

static void remove_tried(struct entry_request *entry,
			 const struct budget_peer *peer)
{
	for (size_t i = 0; i < entry->tried_count; i++)
		if (entry->tried[i].peer == peer)
			entry->tried[i] = entry->tried[--entry->tried_count];
}

/* Sends the request to the next holder, which may have tokens while this one
 * has none or can't reach the ledger; refuses it when no other is to be tried.
 */
static void on_refused(struct tgw_budget_agent *agent,
		       struct entry_request *entry, struct budget_peer *from,
		       const struct budget_message_item *item)
{
	struct budget_bucket *bucket = bucket_of(agent, entry);
	int64_t now_us = budget_now_us(agent);

	if (!entry->refused_count) {
		entry->refusal = (enum tgw_status)item->code;
		entry->refusal_retry_us = item->other;
	}
	remove_tried(entry, from);
	if (item->code != TGW_NOT_FOUND && entry->refused_count < REFUSED_MAX &&
	    now_us >= bucket->first_only_until_us) {
		entry->refused[entry->refused_count++] = from;
		if (entry->refused_count < REFUSED_MAX &&
		    choose_holder(agent, entry, bucket)) {
			send_reserve(agent, entry);
			return;
		}
		bucket->first_only_until_us = now_us + FIRST_ONLY_US;
	}
	cancel_others(agent, entry, from);
	refuse(agent, entry, entry->refusal, entry->refusal_retry_us);
}

void budget_entry_on_reserved(struct tgw_budget_agent *agent,
			      struct budget_peer *from,
			      uint64_t from_incarnation, uint64_t line_id,
			      const struct budget_message_item *item)
{
	struct entry_request *entry = find_pending(agent, item->id);
	struct holder_process holder = {from, from_incarnation};

	if (!entry && item->has_key && item->code == TGW_OK)
		budget_entry_on_use_query(agent, &holder, item);
	if (!entry)
		return;
	if (item->code == TGW_OK) {
		accept_grant(agent, entry, &holder, line_id, item);
		return;
	}
	if (item->code == TGW_BUSY) {
		entry->retry_us = budget_now_us(agent) + BUSY_RETRY_US;
		return;
	}
	on_refused(agent, entry, from, item);
}

static void expire_done(struct tgw_budget_agent *agent)
{
	int64_t before_us = budget_now_us(agent) -
			    agent->env.settings.duplicate_retention_us;

	while (agent->done_first && (agent->done_first->state != ENTRY_DONE ||
				     agent->done_first->done_us < before_us)) {
		struct entry_request *entry = agent->done_first;

		agent->done_first = entry->next_done;
		if (!agent->done_first)
			agent->done_end = &agent->done_first;
		entry->is_queued = false;
		if (entry->state != ENTRY_DONE)
			continue;
		key_table_remove(&agent->entries, &entry->key);
		free(entry->budget);
		free(entry);
	}
}

static void tick_pending(struct tgw_budget_agent *agent,
			 struct entry_request *entry)
{
	int64_t now_us = budget_now_us(agent);

	if (entry->state != ENTRY_PENDING)
		return;
	if (now_us >= entry->deadline_us) {
		cancel_others(agent, entry, NULL);
		refuse(agent, entry, TGW_UNAVAILABLE, TIMED_OUT_RETRY_US);
	} else if (now_us >= entry->retry_us) {
		send_reserve(agent, entry);
	}
}

int64_t budget_entry_tick(struct tgw_budget_agent *agent)
{
	struct entry_request *entry = agent->pending;
	int64_t due_us = BUDGET_NEVER_US;

	while (entry) {
		struct entry_request *next = entry->next_pending;

		tick_pending(agent, entry);
		entry = next;
	}
	expire_done(agent);
	run_callbacks(agent);
	for (entry = agent->pending; entry; entry = entry->next_pending)
		if (entry->retry_us < due_us)
			due_us = entry->retry_us;
	return agent->ready ? budget_now_us(agent) : due_us;
}

bool budget_entry_is_busy(const struct tgw_budget_agent *agent)
{
	return agent->pending || agent->ready || agent->open_entries;
}

void budget_entry_free_all(struct tgw_budget_agent *agent)
{
	for (size_t i = 0; i < agent->entries.capacity; i++) {
		struct entry_request *entry = agent->entries.slots[i];

		if (!entry)
			continue;
		while (entry->callers) {
			struct entry_caller *caller = entry->callers;

			entry->callers = caller->next;
			free(caller);
		}
		free(entry->budget);
		free(entry);
	}
	key_table_free(&agent->entries);
	while (agent->ready) {
		struct entry_answer *ready = agent->ready;

		agent->ready = ready->next;
		free(ready);
	}
}
