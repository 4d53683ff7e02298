#include "coordination/claim_writer.h"

#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <xxhash.h>

#include "base/xalloc.h"

#define MAX_OPERATIONS 1024
#define KEY_SIZE 32
#define OUTAGE_RETRY_US (INT64_C(500) * TGW_US_PER_MS)
#define RUNNING_RETRY_AFTER_US TGW_US_PER_S
#define IDLE_TICK_US TGW_US_PER_S

/** A CLAIM_REQUEST or CLAIM_END that waits for the store. */
struct operation {
	struct operation *next;
	char host[TGW_NAME_SIZE];
	int64_t received_us;
	int64_t deadline_us; /**< when the operation is dropped */
	struct claim_message message;
	enum claim_decision decision;
};

struct writer_bucket {
	struct claim_writer *writer;
	uint32_t number;
	struct claim_bucket value;
	int64_t version;      /**< of the value; negative if unknown */
	int64_t call_us;      /**< when the last store call began */
	int64_t current_us;   /**< start of the store call that returned or
			       * wrote the value, which is at least as new */
	int64_t next_call_us; /**< no store call starts before this time */
	bool busy;	      /**< a store call is in flight */
	size_t queued_count;  /**< operations from `first` on */
	struct operation *first;
	struct operation **tail;
	struct operation *in_flight; /**< the batch of the write in flight */
};

struct claim_writer {
	struct claim_writer_env env;
	uint64_t sequence;
	uint32_t bucket_count;
	struct writer_bucket *buckets;
};

static int64_t now_of(const struct claim_writer *writer)
{
	return tgw_clock_monotonic_us(writer->env.claims->clock);
}

struct claim_writer *claim_writer_new(const struct claim_writer_env *env)
{
	struct claim_writer *writer = xcalloc(1, sizeof(*writer));

	writer->env = *env;
	writer->bucket_count = env->claims->bucket_count;
	writer->buckets =
		xcalloc(writer->bucket_count, sizeof(writer->buckets[0]));
	for (uint32_t i = 0; i < writer->bucket_count; i++) {
		struct writer_bucket *bucket = &writer->buckets[i];

		bucket->writer = writer;
		bucket->number = i;
		bucket->version = -1;
		bucket->tail = &bucket->first;
	}
	return writer;
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

void claim_writer_free(struct claim_writer *writer)
{
	if (!writer)
		return;
	for (uint32_t i = 0; i < writer->bucket_count; i++) {
		free_list(writer->buckets[i].first);
		free_list(writer->buckets[i].in_flight);
		claim_bucket_clear(&writer->buckets[i].value);
	}
	free(writer->buckets);
	free(writer);
}

uint32_t claim_writer_bucket_of(const struct claim_writer *writer,
				const struct tgw_request_key *key)
{
	return (uint32_t)(XXH64(key->bytes, sizeof(key->bytes), 0) %
			  writer->bucket_count);
}

static void key_of(const struct writer_bucket *bucket, char key[KEY_SIZE])
{
	snprintf(key, KEY_SIZE, "tgw/claims/%04u", bucket->number);
}

static enum tgw_claim_state state_of(const struct operation *operation,
				     const struct writer_bucket *bucket,
				     const struct claim_record *record)
{
	const struct claim_writer_env *env = &bucket->writer->env;

	switch (operation->decision) {
	case CLAIM_DECISION_GRANTED:
		return TGW_CLAIM_GRANTED;
	case CLAIM_DECISION_RUNNING:
		return record && !env->is_owner_dead(env->arg, &record->owner)
			       ? TGW_CLAIM_RUNNING
			       : TGW_CLAIM_UNKNOWN;
	case CLAIM_DECISION_DONE:
		return TGW_CLAIM_RECORDED;
	case CLAIM_DECISION_UNKNOWN:
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

/* Sends a CLAIM_CHECK to the process that owns a running claim. That process
 * releases the claim if it had given up the request before the grant arrived.
 */
static void check_owner(struct writer_bucket *bucket,
			const struct claim_record *record)
{
	const struct claim_writer_env *env = &bucket->writer->env;
	struct claim_message check = {.kind = CLAIM_CHECK, .record = *record};

	memset(&check.record.result, 0, sizeof(check.record.result));
	env->send(env->arg, record->owner.host, &check);
}

static void reply_to_request(struct writer_bucket *bucket,
			     struct operation *operation)
{
	const struct claim_writer_env *env = &bucket->writer->env;
	const struct claim_record *record = claim_bucket_find(
		&bucket->value, &operation->message.record.key);
	struct claim_message reply = {
		.kind = CLAIM_REPLY,
		.record = operation->message.record,
		.retry_after_us = RUNNING_RETRY_AFTER_US,
	};

	reply.state = state_of(operation, bucket, record);
	reply.earlier_attempt_known = record != NULL;
	reply.record.phase = CLAIM_PHASE_RUNNING;
	memset(&reply.record.result, 0, sizeof(reply.record.result));
	if (record && reply.state == TGW_CLAIM_RECORDED) {
		reply.record.phase = CLAIM_PHASE_DONE;
		reply.record.result = record->result;
	}
	if (record && reply.state == TGW_CLAIM_RUNNING)
		check_owner(bucket, record);
	env->send(env->arg, operation->host, &reply);
}

static void reply_to(struct writer_bucket *bucket, struct operation *operation)
{
	const struct claim_writer_env *env = &bucket->writer->env;
	struct claim_message ack = {
		.kind = CLAIM_END_ACK,
		.record = operation->message.record,
	};

	if (operation->message.kind == CLAIM_REQUEST) {
		reply_to_request(bucket, operation);
		return;
	}
	ack.record.phase = CLAIM_PHASE_RUNNING;
	memset(&ack.record.result, 0, sizeof(ack.record.result));
	env->send(env->arg, operation->host, &ack);
}

static void reply_to_all(struct writer_bucket *bucket,
			 struct operation *operations)
{
	for (struct operation *operation = operations; operation;
	     operation = operation->next)
		reply_to(bucket, operation);
	free_list(operations);
}

/* Puts the batch back into the queue, before the operations that arrived after
 * it was taken out. */
static void requeue_batch(struct writer_bucket *bucket)
{
	struct operation **link = &bucket->in_flight;

	while (*link) {
		bucket->queued_count++;
		link = &(*link)->next;
	}
	*link = bucket->first;
	bucket->first = bucket->in_flight;
	bucket->in_flight = NULL;
	link = &bucket->first;
	while (*link)
		link = &(*link)->next;
	bucket->tail = link;
}

static void load_entry(struct writer_bucket *bucket,
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

static void advance_bucket(struct writer_bucket *bucket);

static void on_read(void *arg, const struct tgw_store_result *result)
{
	struct writer_bucket *bucket = arg;

	bucket->busy = false;
	bucket->version = -1;
	if (result->status == TGW_OK && result->entry_count == 1)
		load_entry(bucket, &result->entries[0]);
	if (bucket->version < 0)
		bucket->next_call_us = now_of(bucket->writer) + OUTAGE_RETRY_US;
	advance_bucket(bucket);
}

static void read_value(struct writer_bucket *bucket)
{
	struct tgw_store_callback callback = {.done = on_read, .arg = bucket};
	const struct claim_writer_env *env = &bucket->writer->env;
	char key[KEY_SIZE];

	key_of(bucket, key);
	bucket->busy = true;
	bucket->call_us = now_of(bucket->writer);
	env->counters->store_reads++;
	tgw_store_get(env->claims->store, key, callback);
}

static void on_written(void *arg, const struct tgw_store_result *result)
{
	struct writer_bucket *bucket = arg;
	struct tgw_claim_counters *counters = bucket->writer->env.counters;
	struct operation *done;

	bucket->busy = false;
	if (result->status == TGW_OK && result->entry_count == 1) {
		done = bucket->in_flight;
		bucket->in_flight = NULL;
		bucket->version = result->entries[0].version;
		bucket->current_us = bucket->call_us;
		reply_to_all(bucket, done);
		advance_bucket(bucket);
		return;
	}
	requeue_batch(bucket);
	bucket->version = -1;
	if (result->status == TGW_CONFLICT && result->entry_count == 1) {
		counters->store_conflicts++;
		bucket->next_call_us = now_of(bucket->writer);
		load_entry(bucket, &result->entries[0]);
	} else {
		counters->store_read_backs++;
		bucket->next_call_us = now_of(bucket->writer) + OUTAGE_RETRY_US;
	}
	advance_bucket(bucket);
}

static void write_value(struct writer_bucket *bucket)
{
	struct tgw_store_callback callback = {.done = on_written,
					      .arg = bucket};
	struct claim_writer *writer = bucket->writer;
	struct buffer value = {0};
	char key[KEY_SIZE];

	key_of(bucket, key);
	bucket->value.writer_incarnation = writer->env.incarnation;
	bucket->value.writer_sequence = ++writer->sequence;
	claim_bucket_pack(&bucket->value, &value);
	bucket->busy = true;
	bucket->call_us = now_of(writer);
	bucket->next_call_us =
		bucket->call_us + writer->env.claims->batch_interval_us;
	writer->env.counters->store_writes++;
	tgw_store_swap(writer->env.claims->store, key, bucket->version,
		       value.data, value.size, callback);
	buffer_free(&value);
}

/* A look-up never grants, not even to the owner of the claim. */
static enum claim_decision look_up(const struct writer_bucket *bucket,
				   const struct claim_record *request)
{
	enum claim_decision decision =
		claim_bucket_look_up(&bucket->value, request);

	return decision == CLAIM_DECISION_GRANTED ? CLAIM_DECISION_RUNNING
						  : decision;
}

/* Decides the operations of the batch, and applies them to the local copy of
 * the value.
 * @return whether the copy has changed and has to be written */
static bool decide_batch(struct writer_bucket *bucket)
{
	struct claim_writer *writer = bucket->writer;
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
			tgw_clock_wall_us(writer->env.claims->clock),
			writer->env.claims->keep_us, &changed);
	return changed;
}

static void drop_expired(struct writer_bucket *bucket)
{
	struct operation **link = &bucket->first;
	int64_t now_us = now_of(bucket->writer);

	while (*link) {
		struct operation *operation = *link;

		if (now_us < operation->deadline_us) {
			link = &operation->next;
			continue;
		}
		*link = operation->next;
		bucket->queued_count--;
		free_operation(operation);
	}
	bucket->tail = link;
}

/* Returns whether the reply needs no further read of the store. For a request,
 * the recorded end of the call and a grant to the request itself are final,
 * even in an old copy of the value. Any other reply has to rest on a value that
 * was current after the operation arrived: an older one may lack a grant that
 * another host wrote. */
static bool is_final(const struct writer_bucket *bucket,
		     const struct operation *operation)
{
	if (bucket->current_us >= operation->received_us)
		return true;
	if (operation->message.kind == CLAIM_END)
		return false;
	return operation->decision == CLAIM_DECISION_GRANTED ||
	       operation->decision == CLAIM_DECISION_DONE ||
	       operation->decision == CLAIM_DECISION_UNKNOWN;
}

static bool all_are_final(const struct writer_bucket *bucket)
{
	for (const struct operation *operation = bucket->in_flight; operation;
	     operation = operation->next)
		if (!is_final(bucket, operation))
			return false;
	return true;
}

static void advance_bucket(struct writer_bucket *bucket)
{
	int64_t now_us = now_of(bucket->writer);
	struct operation *done;

	drop_expired(bucket);
	if (bucket->busy || !bucket->first || now_us < bucket->next_call_us)
		return;
	if (bucket->version < 0) {
		read_value(bucket);
		return;
	}
	bucket->in_flight = bucket->first;
	bucket->first = NULL;
	bucket->tail = &bucket->first;
	bucket->queued_count = 0;
	if (decide_batch(bucket)) {
		write_value(bucket);
		return;
	}
	if (!all_are_final(bucket)) {
		requeue_batch(bucket);
		read_value(bucket);
		return;
	}
	done = bucket->in_flight;
	bucket->in_flight = NULL;
	reply_to_all(bucket, done);
}

static bool is_duplicate(const struct operation *operation,
			 const struct claim_message *message)
{
	return operation->message.kind == message->kind &&
	       claim_owner_equals(&operation->message.record.owner,
				  &message->record.owner);
}

static bool is_pending(const struct writer_bucket *bucket,
		       const struct claim_message *message)
{
	const struct operation *operation;

	for (operation = bucket->first; operation; operation = operation->next)
		if (is_duplicate(operation, message))
			return true;
	for (operation = bucket->in_flight; operation;
	     operation = operation->next)
		if (is_duplicate(operation, message))
			return true;
	return false;
}

void claim_writer_submit(struct claim_writer *writer, const char *host,
			 const struct claim_message *message)
{
	struct writer_bucket *bucket = &writer->buckets[claim_writer_bucket_of(
		writer, &message->record.key)];
	struct operation *operation;

	if (bucket->queued_count >= MAX_OPERATIONS ||
	    is_pending(bucket, message))
		return;
	operation = xcalloc(1, sizeof(*operation));
	snprintf(operation->host, sizeof(operation->host), "%s", host);
	operation->received_us = now_of(writer);
	operation->deadline_us =
		operation->received_us + writer->env.claims->claim_timeout_us;
	operation->message = *message;
	operation->message.record.wall_us =
		tgw_clock_wall_us(writer->env.claims->clock);
	claim_result_copy(&operation->message.record.result,
			  &message->record.result);
	*bucket->tail = operation;
	bucket->tail = &operation->next;
	bucket->queued_count++;
	advance_bucket(bucket);
}

int64_t claim_writer_tick(struct claim_writer *writer)
{
	int64_t now_us = now_of(writer);
	int64_t next_us = now_us + IDLE_TICK_US;

	for (uint32_t i = 0; i < writer->bucket_count; i++) {
		struct writer_bucket *bucket = &writer->buckets[i];

		advance_bucket(bucket);
		if (bucket->first && !bucket->busy &&
		    bucket->next_call_us < next_us)
			next_us = bucket->next_call_us;
	}
	return next_us > now_us ? next_us : now_us + 1;
}

bool claim_writer_is_idle(const struct claim_writer *writer)
{
	for (uint32_t i = 0; i < writer->bucket_count; i++)
		if (writer->buckets[i].first || writer->buckets[i].busy)
			return false;
	return true;
}
