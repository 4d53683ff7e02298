#include "coordination/claim_keeper.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"

#define OPERATIONS_MAX 1024
#define KEY_SIZE 32
#define OUTAGE_RETRY_US (INT64_C(500) * TGW_US_PER_MS)
#define RUNNING_RETRY_AFTER_US TGW_US_PER_S
#define IDLE_US TGW_US_PER_S

/** An ask or an end that waits for the store. */
struct operation {
	struct operation *next;
	char host[TGW_NAME_SIZE];
	int64_t taken_us;
	int64_t due_us; /**< given up then */
	struct claim_message message;
	enum claim_decision decision;
};

struct keeper_bucket {
	struct claim_keeper *keeper;
	uint32_t number;
	struct claim_bucket value;
	int64_t version;    /**< of the value; below 0 when not known */
	int64_t call_us;    /**< when the last store call began */
	int64_t current_us; /**< the value was current then or later */
	int64_t next_us;    /**< no store call before then */
	bool busy;	    /**< a store call is under way */
	size_t count;
	struct operation *first;
	struct operation **end;
	struct operation *in_flight; /**< part of the write under way */
};

struct claim_keeper {
	struct claim_keeper_env env;
	uint64_t sequence;
	uint32_t bucket_count;
	struct keeper_bucket *buckets;
};

static int64_t now_of(const struct claim_keeper *keeper)
{
	return tgw_clock_monotonic_us(keeper->env.claims->clock);
}

struct claim_keeper *claim_keeper_new(const struct claim_keeper_env *env)
{
	struct claim_keeper *keeper = xcalloc(1, sizeof(*keeper));

	keeper->env = *env;
	keeper->bucket_count = env->claims->bucket_count;
	keeper->buckets =
		xcalloc(keeper->bucket_count, sizeof(keeper->buckets[0]));
	for (uint32_t i = 0; i < keeper->bucket_count; i++) {
		struct keeper_bucket *bucket = &keeper->buckets[i];

		bucket->keeper = keeper;
		bucket->number = i;
		bucket->version = -1;
		bucket->end = &bucket->first;
	}
	return keeper;
}

static void free_operation(struct operation *operation)
{
	claim_message_clear(&operation->message);
	free(operation);
}

static void free_list(struct operation *operation)
{
	while (operation) {
		struct operation *next = operation->next;

		free_operation(operation);
		operation = next;
	}
}

void claim_keeper_free(struct claim_keeper *keeper)
{
	if (!keeper)
		return;
	for (uint32_t i = 0; i < keeper->bucket_count; i++) {
		free_list(keeper->buckets[i].first);
		free_list(keeper->buckets[i].in_flight);
		claim_bucket_clear(&keeper->buckets[i].value);
	}
	free(keeper->buckets);
	free(keeper);
}

uint32_t claim_keeper_bucket_of(const struct claim_keeper *keeper,
				const struct tgw_request_key *key)
{
	return (uint32_t)(XXH64(key->bytes, sizeof(key->bytes), 0) %
			  keeper->bucket_count);
}

static void key_of(const struct keeper_bucket *bucket, char key[KEY_SIZE])
{
	snprintf(key, KEY_SIZE, "tgw/claims/%04u", bucket->number);
}

static enum tgw_claim_state state_of(const struct operation *operation,
				     const struct keeper_bucket *bucket,
				     const struct claim_record *record)
{
	const struct claim_keeper_env *env = &bucket->keeper->env;

	switch (operation->decision) {
	case CLAIM_DECISION_GRANTED:
		return TGW_CLAIM_GRANTED;
	case CLAIM_DECISION_RUNNING:
		return record && !env->is_gone(env->arg, &record->owner)
			       ? TGW_CLAIM_RUNNING
			       : TGW_CLAIM_UNKNOWN;
	case CLAIM_DECISION_DONE:
		return TGW_CLAIM_RECORDED;
	case CLAIM_DECISION_LOST:
		return TGW_CLAIM_UNKNOWN;
	case CLAIM_DECISION_KEY_REUSED:
		return TGW_CLAIM_KEY_REUSED;
	case CLAIM_DECISION_FULL:
		return TGW_CLAIM_REFUSED;
	case CLAIM_DECISION_ABSENT:
		break;
	}
	return TGW_CLAIM_UNKNOWN;
}

/* Asks the owner of a running claim whether it knows of it: an owner that
 * gave the ask up before it heard of the grant takes the claim back. */
static void check_owner(struct keeper_bucket *bucket,
			const struct claim_record *record)
{
	const struct claim_keeper_env *env = &bucket->keeper->env;
	struct claim_message check = {.kind = CLAIM_CHECK, .record = *record};

	memset(&check.record.result, 0, sizeof(check.record.result));
	env->reply(env->arg, record->owner.host, &check);
}

static void reply_to_ask(struct keeper_bucket *bucket,
			 struct operation *operation)
{
	const struct claim_keeper_env *env = &bucket->keeper->env;
	const struct claim_record *record = claim_bucket_find(
		&bucket->value, &operation->message.record.key);
	struct claim_message tell = {
		.kind = CLAIM_REPLY,
		.record = operation->message.record,
		.retry_after_us = RUNNING_RETRY_AFTER_US,
	};

	tell.state = state_of(operation, bucket, record);
	tell.earlier_attempt_known = record != NULL;
	tell.record.phase = CLAIM_PHASE_RUNNING;
	memset(&tell.record.result, 0, sizeof(tell.record.result));
	if (record && tell.state == TGW_CLAIM_RECORDED) {
		tell.record.phase = CLAIM_PHASE_DONE;
		tell.record.result = record->result;
	}
	if (record && tell.state == TGW_CLAIM_RUNNING)
		check_owner(bucket, record);
	env->reply(env->arg, operation->host, &tell);
}

static void reply_to(struct keeper_bucket *bucket, struct operation *operation)
{
	const struct claim_keeper_env *env = &bucket->keeper->env;
	struct claim_message ended = {
		.kind = CLAIM_END_ACK,
		.record = operation->message.record,
	};

	if (operation->message.kind == CLAIM_REQUEST) {
		reply_to_ask(bucket, operation);
		return;
	}
	ended.record.phase = CLAIM_PHASE_RUNNING;
	memset(&ended.record.result, 0, sizeof(ended.record.result));
	env->reply(env->arg, operation->host, &ended);
}

static void reply_to_all(struct keeper_bucket *bucket,
			 struct operation *operations)
{
	for (struct operation *operation = operations; operation;
	     operation = operation->next)
		reply_to(bucket, operation);
	free_list(operations);
}

/* Puts a batch back in front of what came since. */
static void put_back(struct keeper_bucket *bucket)
{
	struct operation **link = &bucket->in_flight;

	while (*link) {
		bucket->count++;
		link = &(*link)->next;
	}
	*link = bucket->first;
	bucket->first = bucket->in_flight;
	bucket->in_flight = NULL;
	link = &bucket->first;
	while (*link)
		link = &(*link)->next;
	bucket->end = link;
}

static void take_entry(struct keeper_bucket *bucket,
		       const struct tgw_store_entry *entry)
{
	bucket->version = -1;
	claim_bucket_clear(&bucket->value);
	if (entry->value && claim_bucket_unpack(&bucket->value, entry->value,
						entry->value_size, NULL))
		return;
	bucket->version = entry->version;
	bucket->current_us = bucket->call_us;
}

static void pump(struct keeper_bucket *bucket);

static void on_read(void *arg, const struct tgw_store_result *result)
{
	struct keeper_bucket *bucket = arg;

	bucket->busy = false;
	bucket->version = -1;
	if (result->status == TGW_OK && result->entry_count == 1)
		take_entry(bucket, &result->entries[0]);
	if (bucket->version < 0)
		bucket->next_us = now_of(bucket->keeper) + OUTAGE_RETRY_US;
	pump(bucket);
}

static void read_value(struct keeper_bucket *bucket)
{
	struct tgw_store_callback callback = {.done = on_read, .arg = bucket};
	const struct claim_keeper_env *env = &bucket->keeper->env;
	char key[KEY_SIZE];

	key_of(bucket, key);
	bucket->busy = true;
	bucket->call_us = now_of(bucket->keeper);
	env->counters->store_reads++;
	tgw_store_get(env->claims->store, key, callback);
}

static void on_written(void *arg, const struct tgw_store_result *result)
{
	struct keeper_bucket *bucket = arg;
	struct tgw_claim_counters *counters = bucket->keeper->env.counters;
	struct operation *done;

	bucket->busy = false;
	if (result->status == TGW_OK && result->entry_count == 1) {
		done = bucket->in_flight;
		bucket->in_flight = NULL;
		bucket->version = result->entries[0].version;
		bucket->current_us = bucket->call_us;
		reply_to_all(bucket, done);
		pump(bucket);
		return;
	}
	put_back(bucket);
	bucket->version = -1;
	if (result->status == TGW_CONFLICT && result->entry_count == 1) {
		counters->store_conflicts++;
		bucket->next_us = now_of(bucket->keeper);
		take_entry(bucket, &result->entries[0]);
	} else {
		counters->store_read_backs++;
		bucket->next_us = now_of(bucket->keeper) + OUTAGE_RETRY_US;
	}
	pump(bucket);
}

static void write_value(struct keeper_bucket *bucket)
{
	struct tgw_store_callback callback = {.done = on_written,
					      .arg = bucket};
	struct claim_keeper *keeper = bucket->keeper;
	struct buffer value = {0};
	char key[KEY_SIZE];

	key_of(bucket, key);
	bucket->value.writer_incarnation = keeper->env.incarnation;
	bucket->value.writer_sequence = ++keeper->sequence;
	claim_bucket_pack(&bucket->value, &value);
	bucket->busy = true;
	bucket->call_us = now_of(keeper);
	bucket->next_us =
		bucket->call_us + keeper->env.claims->batch_interval_us;
	keeper->env.counters->store_writes++;
	tgw_store_swap(keeper->env.claims->store, key, bucket->version,
		       value.data, value.size, callback);
	buffer_free(&value);
}

/* A look-up never grants. */
static enum claim_decision look_up(const struct keeper_bucket *bucket,
				   const struct claim_record *ask)
{
	enum claim_decision decision =
		claim_bucket_look_up(&bucket->value, ask);

	return decision == CLAIM_DECISION_GRANTED ? CLAIM_DECISION_RUNNING
						  : decision;
}

/* Decides what waits, by the value as it is known here. */
static bool decide(struct keeper_bucket *bucket)
{
	struct claim_keeper *keeper = bucket->keeper;
	bool changed = false;

	for (struct operation *operation = bucket->in_flight; operation;
	     operation = operation->next) {
		struct claim_message *message = &operation->message;

		if (message->kind == CLAIM_END)
			claim_bucket_end(&bucket->value, &message->record,
					 message->authority != CLAIM_BY_STORE,
					 &changed);
		else if (message->authority == CLAIM_BY_STORE)
			operation->decision = claim_bucket_claim(
				&bucket->value, &message->record, &changed);
		else
			operation->decision = look_up(bucket, &message->record);
	}
	if (changed)
		claim_bucket_expire(
			&bucket->value,
			tgw_clock_wall_us(keeper->env.claims->clock),
			keeper->env.claims->keep_us, &changed);
	return changed;
}

static void drop_overdue(struct keeper_bucket *bucket)
{
	struct operation **link = &bucket->first;
	int64_t now_us = now_of(bucket->keeper);

	while (*link) {
		struct operation *operation = *link;

		if (now_us < operation->due_us) {
			link = &operation->next;
			continue;
		}
		*link = operation->next;
		bucket->count--;
		free_operation(operation);
	}
	bucket->end = link;
}

/* What the store said of an end or of its own grant is final. All else has
 * to rest on a value read since the operation came: a grant by another
 * host's write may be missing from an older one. */
static bool is_settled(const struct keeper_bucket *bucket,
		       const struct operation *operation)
{
	if (bucket->current_us >= operation->taken_us)
		return true;
	if (operation->message.kind == CLAIM_END)
		return false;
	return operation->decision == CLAIM_DECISION_GRANTED ||
	       operation->decision == CLAIM_DECISION_DONE ||
	       operation->decision == CLAIM_DECISION_LOST;
}

static bool all_are_settled(const struct keeper_bucket *bucket)
{
	for (const struct operation *operation = bucket->in_flight; operation;
	     operation = operation->next)
		if (!is_settled(bucket, operation))
			return false;
	return true;
}

static void pump(struct keeper_bucket *bucket)
{
	int64_t now_us = now_of(bucket->keeper);
	struct operation *done;

	drop_overdue(bucket);
	if (bucket->busy || !bucket->first || now_us < bucket->next_us)
		return;
	if (bucket->version < 0) {
		read_value(bucket);
		return;
	}
	bucket->in_flight = bucket->first;
	bucket->first = NULL;
	bucket->end = &bucket->first;
	bucket->count = 0;
	if (decide(bucket)) {
		write_value(bucket);
		return;
	}
	if (!all_are_settled(bucket)) {
		put_back(bucket);
		read_value(bucket);
		return;
	}
	done = bucket->in_flight;
	bucket->in_flight = NULL;
	reply_to_all(bucket, done);
}

static bool is_same(const struct operation *operation,
		    const struct claim_message *message)
{
	return operation->message.kind == message->kind &&
	       claim_owner_equals(&operation->message.record.owner,
				  &message->record.owner);
}

static bool is_waiting(const struct keeper_bucket *bucket,
		       const struct claim_message *message)
{
	const struct operation *operation;

	for (operation = bucket->first; operation; operation = operation->next)
		if (is_same(operation, message))
			return true;
	for (operation = bucket->in_flight; operation;
	     operation = operation->next)
		if (is_same(operation, message))
			return true;
	return false;
}

void claim_keeper_take(struct claim_keeper *keeper, const char *host,
		       const struct claim_message *message)
{
	struct keeper_bucket *bucket = &keeper->buckets[claim_keeper_bucket_of(
		keeper, &message->record.key)];
	struct operation *operation;

	if (bucket->count >= OPERATIONS_MAX || is_waiting(bucket, message))
		return;
	operation = xcalloc(1, sizeof(*operation));
	snprintf(operation->host, sizeof(operation->host), "%s", host);
	operation->taken_us = now_of(keeper);
	operation->due_us =
		operation->taken_us + keeper->env.claims->claim_timeout_us;
	operation->message = *message;
	operation->message.record.wall_us =
		tgw_clock_wall_us(keeper->env.claims->clock);
	claim_result_copy(&operation->message.record.result,
			  &message->record.result);
	*bucket->end = operation;
	bucket->end = &operation->next;
	bucket->count++;
	pump(bucket);
}

int64_t claim_keeper_tick(struct claim_keeper *keeper)
{
	int64_t now_us = now_of(keeper);
	int64_t next_us = now_us + IDLE_US;

	for (uint32_t i = 0; i < keeper->bucket_count; i++) {
		struct keeper_bucket *bucket = &keeper->buckets[i];

		pump(bucket);
		if (bucket->first && !bucket->busy && bucket->next_us < next_us)
			next_us = bucket->next_us;
	}
	return next_us > now_us ? next_us : now_us + 1;
}

bool claim_keeper_is_idle(const struct claim_keeper *keeper)
{
	for (uint32_t i = 0; i < keeper->bucket_count; i++)
		if (keeper->buckets[i].first || keeper->buckets[i].busy)
			return false;
	return true;
}
