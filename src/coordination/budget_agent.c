#include <stdlib.h>
#include <string.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "coordination/budget_allotment.h"
#include "coordination/budget_claims.h"
#include "coordination/budget_entry.h"
#include "coordination/budget_exchange.h"
#include "coordination/budget_holder.h"
#include "coordination/budget_ledger.h"
#include "coordination/budget_plan.h"
#include "coordination/budget_recall.h"
#include "coordination/budget_reservation.h"
#include "coordination/budget_settle_queue.h"
#include "coordination/budget_state.h"
#include "coordination/budget_witness.h"

#define DEFAULT_BUCKETS 4096
#define DEFAULT_FLUSH_S 600
#define DEFAULT_RESERVE_TIMEOUT_MS 2000
#define DEFAULT_RIDE_OUT_S 3600
#define DEFAULT_DEATH_LOSS_S 2
#define DEFAULT_OUTAGE_LOSS_S 600
#define DEFAULT_DUPLICATE_RETENTION_S 7200
/* Maximum time between two ticks. */
#define TICK_MAX_US BUDGET_S(1)
/* Minimum time between two scans of the busy buckets' timers. The next tick
 * processes queued buckets without a scan. */
#define SCAN_INTERVAL_US BUDGET_MS(20)
/* After this time without a response from the store, a read is started to
 * detect outages and recoveries. */
#define PROBE_INTERVAL_US BUDGET_S(10)

struct tgw_budget_settings tgw_budget_settings_default(void)
{
	return (struct tgw_budget_settings){
		.bucket_count = DEFAULT_BUCKETS,
		.flush_interval_us = BUDGET_S(DEFAULT_FLUSH_S),
		.reserve_timeout_us = BUDGET_MS(DEFAULT_RESERVE_TIMEOUT_MS),
		.ride_out_us = BUDGET_S(DEFAULT_RIDE_OUT_S),
		.death_loss_us = BUDGET_S(DEFAULT_DEATH_LOSS_S),
		.outage_loss_us = BUDGET_S(DEFAULT_OUTAGE_LOSS_S),
		.duplicate_retention_us =
			BUDGET_S(DEFAULT_DUPLICATE_RETENTION_S),
	};
}

static void record_incarnation(struct budget_peer *peer, uint64_t incarnation)
{
	if (!incarnation || peer->view_incarnation == incarnation)
		return;
	peer->previous_incarnation = peer->view_incarnation;
	peer->view_incarnation = incarnation;
}

static void set_view(struct tgw_budget_agent *agent,
		     const struct tgw_host_view *view)
{
	tgw_host_view_free(agent->view);
	agent->view = tgw_host_view_copy(view);
	for (size_t i = 0; i < view->host_count; i++)
		record_incarnation(budget_peer_obtain(agent,
						      view->hosts[i].name),
				   view->hosts[i].incarnation);
}

struct tgw_budget_agent *tgw_budget_agent_new(const struct tgw_budget_env *env,
					      const struct tgw_host_view *view)
{
	struct tgw_budget_agent *agent = xcalloc(1, sizeof(*agent));
	const struct tgw_host *self = tgw_host_view_self(view);

	agent->env = *env;
	short_name_copy(agent->name, self->name);
	short_name_copy(agent->domain, self->failure_domain);
	agent->incarnation = self->incarnation;
	agent->started_us = tgw_clock_monotonic_us(env->clock);
	tgw_random_init(&agent->random, env->random_seed);
	/* Late replies to an earlier process must not match. */
	agent->next_request_id = tgw_random_below(&agent->random, UINT32_MAX);
	agent->by_index =
		xcalloc(env->settings.bucket_count, sizeof(agent->by_index[0]));
	agent->ended_end = &agent->ended_first;
	agent->done_end = &agent->done_first;
	agent->reported_end = &agent->reported_first;
	agent->ready_end = &agent->ready;
	agent->self = budget_peer_obtain(agent, agent->name);
	set_view(agent, view);
	return agent;
}

static void free_bucket(struct budget_bucket *bucket)
{
	while (bucket->requesters) {
		struct recall_requester *requester = bucket->requesters;

		bucket->requesters = requester->next;
		free(requester);
	}
	budget_witness_free_all(bucket);
	holder_line_free_all(bucket);
	budget_exchange_free(bucket);
	ledger_bucket_clear(&bucket->ledger);
	ledger_bucket_clear(&bucket->draft);
	free(bucket);
}

void tgw_budget_agent_free(struct tgw_budget_agent *agent)
{
	if (!agent)
		return;
	budget_settle_queue_free_all(agent);
	budget_claims_free_all(agent);
	budget_entry_free_all(agent);
	budget_holder_free_all(agent);
	budget_exchange_free_all(agent);
	for (size_t i = 0; i < agent->bucket_count; i++)
		free_bucket(agent->buckets[i]);
	while (agent->peers) {
		struct budget_peer *peer = agent->peers;

		agent->peers = peer->next;
		free(peer);
	}
	free(agent->buckets);
	free(agent->busy);
	free(agent->by_index);
	tgw_host_view_free(agent->view);
	free(agent);
}

void tgw_budget_reserve(struct tgw_budget_agent *agent,
			const struct tgw_budget_request *request,
			struct tgw_budget_callback callback)
{
	budget_entry_reserve(agent, request, callback);
}

void tgw_budget_settle(struct tgw_budget_agent *agent, const char *budget,
		       const struct tgw_request_key *key, int64_t spent_tokens,
		       enum tgw_settle_basis basis)
{
	budget_entry_settle(agent, key, spent_tokens, basis);
}

void tgw_budget_set_hosts(struct tgw_budget_agent *agent,
			  const struct tgw_host_view *view)
{
	set_view(agent, view);
	for (size_t i = 0; i < agent->bucket_count; i++) {
		struct budget_bucket *bucket = agent->buckets[i];

		budget_bucket_rank(bucket);
		budget_witness_watch(bucket);
		if (budget_witness_needs_change(bucket))
			budget_bucket_schedule(bucket, budget_now_us(agent));
	}
	budget_holder_settle_abandoned(agent);
	budget_settle_queue_on_view(agent);
	budget_entry_on_view(agent);
}

static void acknowledge_settlements(struct tgw_budget_agent *agent,
				    const struct budget_peer *to,
				    const struct budget_message *message)
{
	struct budget_message settled = {
		.kind = BUDGET_MESSAGE_SETTLED,
		.sequence = message->sequence,
	};

	budget_send(agent, to->name, &settled);
}

static void handle_items(struct tgw_budget_agent *agent,
			 struct budget_peer *from, uint64_t incarnation,
			 const struct budget_message *message)
{
	for (size_t i = 0; i < message->item_count; i++) {
		const struct budget_message_item *item = &message->items[i];

		if (message->kind == BUDGET_MESSAGE_RESERVE)
			budget_holder_reserve(agent, from, incarnation, item);
		else if (message->kind == BUDGET_MESSAGE_RESERVED)
			budget_entry_on_reserved(agent, from, incarnation,
						 message->line, item);
		else if (message->kind == BUDGET_MESSAGE_SETTLE)
			budget_holder_settle(agent, from, incarnation,
					     message->sequence, item);
		else
			budget_holder_register(agent, from, incarnation,
					       message->bucket, item);
	}
}

static void dispatch(struct tgw_budget_agent *agent, struct budget_peer *from,
		     uint64_t incarnation, const struct budget_message *message)
{
	switch (message->kind) {
	case BUDGET_MESSAGE_SETTLE:
		budget_holder_confirm(agent, from, incarnation, message->epoch);
		handle_items(agent, from, incarnation, message);
		if (message->sequence)
			acknowledge_settlements(agent, from, message);
		break;
	case BUDGET_MESSAGE_RESERVE:
	case BUDGET_MESSAGE_RESERVED:
	case BUDGET_MESSAGE_REGISTER:
		handle_items(agent, from, incarnation, message);
		break;
	case BUDGET_MESSAGE_SETTLED:
		budget_settle_queue_on_settled(agent, from, message->sequence);
		break;
	case BUDGET_MESSAGE_RAISE:
		budget_witness_on_raise(agent, from, incarnation, message);
		break;
	case BUDGET_MESSAGE_RAISED:
		budget_witness_on_raised(agent, from, incarnation, message);
		budget_holder_serve_waiters(
			budget_bucket_obtain(agent, message->bucket));
		break;
	case BUDGET_MESSAGE_RECALL:
		budget_recall_on_request(agent, from, message);
		break;
	case BUDGET_MESSAGE_RELEASED:
		budget_recall_on_released(agent, message);
		break;
	case BUDGET_MESSAGE_CLAIM:
		budget_claims_on_claim(agent, from, incarnation, message);
		break;
	case BUDGET_MESSAGE_CLAIMED:
		budget_claims_on_claimed(agent, message);
		break;
	case BUDGET_MESSAGE_KEYS:
		budget_exchange_on_keys(agent, from, message);
		break;
	case BUDGET_MESSAGE_KEYS_SEEN:
		budget_exchange_on_keys_seen(agent, from, incarnation, message);
		break;
	case BUDGET_MESSAGE_DUPLICATE:
		budget_exchange_on_duplicate(agent, from, message);
		break;
	case BUDGET_MESSAGE_KIND_END:
		break;
	}
}

static bool needs_budget(enum budget_message_kind kind)
{
	return kind == BUDGET_MESSAGE_RESERVE || kind == BUDGET_MESSAGE_RAISE ||
	       kind == BUDGET_MESSAGE_RECALL || kind == BUDGET_MESSAGE_CLAIM;
}

static bool needs_key(enum budget_message_kind kind)
{
	return kind == BUDGET_MESSAGE_RESERVE ||
	       kind == BUDGET_MESSAGE_SETTLE ||
	       kind == BUDGET_MESSAGE_REGISTER ||
	       kind == BUDGET_MESSAGE_DUPLICATE;
}

static bool is_valid(const struct tgw_budget_agent *agent,
		     const struct budget_message *message)
{
	if (message->bucket >= agent->env.settings.bucket_count)
		return false;
	for (size_t i = 0; i < message->item_count; i++) {
		const struct budget_message_item *item = &message->items[i];

		if ((needs_budget(message->kind) && !item->budget[0]) ||
		    (needs_key(message->kind) && !item->has_key) ||
		    (message->kind == BUDGET_MESSAGE_RESERVE && !item->tokens))
			return false;
	}
	return true;
}

void tgw_budget_on_message(struct tgw_budget_agent *agent,
			   const struct tgw_peer_message *incoming)
{
	struct budget_message message;
	struct budget_peer *from;

	if (budget_message_decode(&message, incoming->payload,
				  incoming->payload_size) != TGW_OK)
		return;
	if (is_valid(agent, &message)) {
		from = budget_peer_obtain(agent, incoming->from_host);
		from->last_incarnation = incoming->from_incarnation;
		from->last_received_us = budget_now_us(agent);
		dispatch(agent, from, incoming->from_incarnation, &message);
	}
	budget_message_clear(&message);
}

static int64_t min_time(int64_t a, int64_t b)
{
	return a < b ? a : b;
}

/* @return when the bucket has to be processed again */
static int64_t tick_bucket(struct budget_bucket *bucket)
{
	int64_t now_us = budget_now_us(bucket->agent);
	int64_t due_us;

	if (!budget_plan_is_active(bucket) && bucket->due_us == BUDGET_NEVER_US)
		return BUDGET_NEVER_US;
	budget_ledger_tick(bucket);
	if (bucket->waiters_due_us <= now_us)
		budget_holder_serve_waiters(bucket);
	if (bucket->ceiling_due_us <= now_us)
		budget_witness_raise(bucket);
	due_us = min_time(bucket->waiters_due_us, bucket->ceiling_due_us);
	if (bucket->io == BUCKET_IDLE)
		due_us = min_time(due_us, bucket->due_us);
	return min_time(due_us, bucket->check_due_us);
}

static void add_busy(struct tgw_budget_agent *agent,
		     struct budget_bucket *bucket)
{
	if (bucket->is_busy)
		return;
	bucket->is_busy = true;
	agent->busy = xrealloc(agent->busy, (agent->busy_count + 1) *
						    sizeof(agent->busy[0]));
	agent->busy[agent->busy_count++] = bucket;
}

static int64_t tick_queued(struct tgw_budget_agent *agent)
{
	int64_t due_us = BUDGET_NEVER_US;
	struct budget_bucket *bucket = agent->queued;

	agent->queued = NULL;
	while (bucket) {
		struct budget_bucket *next = bucket->next_queued;

		bucket->is_queued = false;
		add_busy(agent, bucket);
		due_us = min_time(due_us, tick_bucket(bucket));
		bucket = next;
	}
	return due_us;
}

static int64_t scan_busy(struct tgw_budget_agent *agent)
{
	int64_t due_us = BUDGET_NEVER_US;
	size_t kept = 0;

	for (size_t i = 0; i < agent->busy_count; i++) {
		struct budget_bucket *bucket = agent->busy[i];
		int64_t bucket_due_us = tick_bucket(bucket);

		due_us = min_time(due_us, bucket_due_us);
		bucket->is_busy = bucket_due_us != BUDGET_NEVER_US;
		if (bucket->is_busy)
			agent->busy[kept++] = bucket;
	}
	agent->busy_count = kept;
	return due_us;
}

static int64_t tick_buckets(struct tgw_budget_agent *agent)
{
	int64_t now_us = budget_now_us(agent);

	if (now_us >= agent->scan_due_us &&
	    now_us - agent->scanned_us >= SCAN_INTERVAL_US) {
		agent->scanned_us = now_us;
		agent->scan_due_us = scan_busy(agent);
	}
	if (agent->queued)
		agent->scan_due_us =
			min_time(agent->scan_due_us, tick_queued(agent));
	if (agent->queued)
		return now_us;
	if (agent->scan_due_us < agent->scanned_us + SCAN_INTERVAL_US)
		return agent->scanned_us + SCAN_INTERVAL_US;
	return agent->scan_due_us;
}

/* Any response of the store serves as a probe. Without one, the active bucket
 * that was read longest ago is read. */
static void probe_store(struct tgw_budget_agent *agent)
{
	int64_t now_us = budget_now_us(agent);
	struct budget_bucket *oldest = NULL;

	if (now_us - agent->store_answered_us < PROBE_INTERVAL_US ||
	    now_us - agent->probed_us < PROBE_INTERVAL_US)
		return;
	for (size_t i = 0; i < agent->bucket_count; i++) {
		struct budget_bucket *bucket = agent->buckets[i];

		if (budget_plan_is_active(bucket) &&
		    (!oldest || bucket->read_us < oldest->read_us))
			oldest = bucket;
	}
	agent->probed_us = now_us;
	if (oldest)
		budget_bucket_schedule(oldest, now_us);
}

static void update_held_tokens(struct tgw_budget_agent *agent)
{
	int64_t held = 0;

	for (size_t i = 0; i < agent->bucket_count; i++) {
		const struct holder_line *line = agent->buckets[i]->line;

		for (size_t j = 0; line && j < line->allotment_count; j++)
			held += line->allotments[j]->usable_tokens -
				holder_allotment_used(line->allotments[j]);
	}
	agent->counters.held_tokens = held;
}

int64_t tgw_budget_tick(struct tgw_budget_agent *agent)
{
	int64_t now_us = budget_now_us(agent);
	int64_t due_us = now_us + TICK_MAX_US;

	probe_store(agent);
	due_us = min_time(due_us, tick_buckets(agent));
	due_us = min_time(due_us, budget_claims_tick(agent));
	due_us = min_time(due_us, budget_settle_queue_tick(agent));
	budget_exchange_tick(agent);
	reservation_expire(agent);
	due_us = min_time(due_us, budget_entry_tick(agent));
	return due_us > now_us ? due_us : now_us + TGW_US_PER_MS;
}

void tgw_budget_drain(struct tgw_budget_agent *agent)
{
	if (agent->is_draining)
		return;
	agent->is_draining = true;
	budget_holder_hand_over(agent);
	for (size_t i = 0; i < agent->bucket_count; i++) {
		budget_holder_serve_waiters(agent->buckets[i]);
		if (budget_plan_is_active(agent->buckets[i]))
			budget_bucket_schedule(agent->buckets[i],
					       budget_now_us(agent));
	}
}

bool tgw_budget_is_drained(const struct tgw_budget_agent *agent)
{
	if (!agent->is_draining || budget_entry_is_busy(agent) ||
	    !budget_settle_queue_is_empty(agent))
		return false;
	for (size_t i = 0; i < agent->bucket_count; i++) {
		const struct budget_bucket *bucket = agent->buckets[i];

		if (bucket->io != BUCKET_IDLE ||
		    (bucket->line && bucket->line->is_in_ledger))
			return false;
		for (const struct holder_line *line = bucket->closed_lines;
		     line; line = line->next)
			if (!line->is_folded)
				return false;
	}
	return true;
}

const struct tgw_budget_counters *tgw_budget_agent_counters(
	const struct tgw_budget_agent *agent)
{
	update_held_tokens((struct tgw_budget_agent *)agent);
	return &agent->counters;
}
