#include <assert.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "coordination/claim_issuer.h"
#include "coordination/claim_run.h"
#include "coordination/claim_target.h"
#include "coordination/claim_writer.h"
#include "state/claim_message.h"
#include "state/claim_text.h"
#include "state/claim_ticket.h"
#include "tamarackgw/claim.h"

#define DEFAULT_BUCKETS 16
#define DEFAULT_BATCH_US (INT64_C(100) * TGW_US_PER_MS)
#define DEFAULT_KEEP_US (INT64_C(24) * 3600 * TGW_US_PER_S)
#define DEFAULT_TIMEOUT_US (INT64_C(3) * TGW_US_PER_S)
#define DEFAULT_MAX_RESPONSE_BYTES (8 * 1024)
#define MAX_RUNS 8192
#define REQUEST_RETRY_US (INT64_C(400) * TGW_US_PER_MS)
#define END_RETRY_US TGW_US_PER_S
#define END_RETRY_MAX_DOUBLINGS 5
#define RETRY_AFTER_US (INT64_C(5) * TGW_US_PER_S)
#define TICK_US (INT64_C(10) * TGW_US_PER_MS)
#define IDLE_TICK_US TGW_US_PER_S

struct tgw_claim_agent {
	struct tgw_claim_env env;
	struct tgw_host_view *view;
	struct claim_writer *writer;
	struct claim_ticket_table tickets;
	struct claim_run_list runs;
	struct tgw_claim_counters counters;
	uint64_t next_request_id;
	bool draining;
};

static int64_t now_of(const struct tgw_claim_agent *agent)
{
	return tgw_clock_monotonic_us(agent->env.clock);
}

static const struct tgw_host *self_of(const struct tgw_claim_agent *agent)
{
	return tgw_host_view_self(agent->view);
}

struct tgw_claim_env tgw_claim_env_default(void)
{
	struct tgw_claim_env env = {
		.bucket_count = DEFAULT_BUCKETS,
		.batch_interval_us = DEFAULT_BATCH_US,
		.keep_us = DEFAULT_KEEP_US,
		.claim_timeout_us = DEFAULT_TIMEOUT_US,
		.max_response_bytes = DEFAULT_MAX_RESPONSE_BYTES,
	};

	return env;
}

static void handle_message(struct tgw_claim_agent *agent, const char *from,
			   const struct claim_message *message);

static void send_to(struct tgw_claim_agent *agent, const char *host,
		    const struct claim_message *message)
{
	struct buffer payload = {0};

	if (!strcmp(host, self_of(agent)->name)) {
		handle_message(agent, host, message);
		return;
	}
	claim_message_pack(message, &payload);
	agent->counters.peer_messages_sent++;
	tgw_peer_send(agent->env.peer, host, TGW_PEER_CLAIM, payload.data,
		      payload.size);
	buffer_free(&payload);
}

static void send_for_writer(void *arg, const char *host,
			    const struct claim_message *message)
{
	send_to(arg, host, message);
}

static bool is_owner_dead(void *arg, const struct claim_owner *owner)
{
	const struct tgw_claim_agent *agent = arg;

	return claim_target_is_dead(agent->view, owner->host,
				    owner->incarnation);
}

struct tgw_claim_agent *tgw_claim_agent_new(const struct tgw_claim_env *env,
					    const struct tgw_host_view *view)
{
	struct tgw_claim_agent *agent = xcalloc(1, sizeof(*agent));
	struct claim_writer_env writer_env = {
		.claims = &agent->env,
		.counters = &agent->counters,
		.send = send_for_writer,
		.is_owner_dead = is_owner_dead,
		.arg = agent,
	};

	agent->env = *env;
	agent->view = tgw_host_view_copy(view);
	writer_env.incarnation = self_of(agent)->incarnation;
	agent->writer = claim_writer_new(&writer_env);
	return agent;
}

void tgw_claim_agent_free(struct tgw_claim_agent *agent)
{
	if (!agent)
		return;
	while (agent->runs.first)
		claim_run_remove(&agent->runs, agent->runs.first);
	claim_ticket_table_clear(&agent->tickets);
	claim_writer_free(agent->writer);
	tgw_host_view_free(agent->view);
	free(agent);
}

static void count_result(struct tgw_claim_agent *agent,
			 const struct claim_run *run,
			 enum tgw_claim_state state)
{
	switch (state) {
	case TGW_CLAIM_GRANTED:
		agent->counters.granted++;
		agent->counters.tickets_granted += run->has_ticket;
		return;
	case TGW_CLAIM_RECORDED:
		agent->counters.replayed++;
		return;
	case TGW_CLAIM_UNKNOWN:
		agent->counters.unknown++;
		return;
	case TGW_CLAIM_REFUSED:
	case TGW_CLAIM_KEY_REUSED:
		agent->counters.refused++;
		return;
	case TGW_CLAIM_RUNNING:
		return;
	}
}

/* Passes the result of a claim request to its callback. Unless the claim was
 * granted, the run is removed. */
static void answer_request(struct tgw_claim_agent *agent, struct claim_run *run,
			   const struct claim_message *reply)
{
	const struct claim_result *result = &reply->record.result;
	struct tgw_claim_callback callback = run->callback;
	struct tgw_claim_answer answer = {
		.state = reply->state,
		.earlier_attempt_known = reply->earlier_attempt_known,
		.body_not_kept = result->body_not_kept,
		.http_status = result->http_status,
		.content_type = result->content_type,
		.body = result->body,
		.body_size = result->body_size,
		.retry_after_us = reply->retry_after_us,
		.message = claim_state_message(reply->state),
	};

	count_result(agent, run, reply->state);
	if (reply->state == TGW_CLAIM_GRANTED)
		run->phase = CLAIM_RUN_RUNNING;
	else
		claim_run_remove(&agent->runs, run);
	callback.done(callback.arg, &answer);
}

/* Abandons a claim request that received no reply in time, or that was not sent
 * because the list of runs is full. This attempt never runs, because a late
 * reply finds no pending request; but an earlier attempt may have run. */
static void give_up(struct tgw_claim_agent *agent, struct claim_run *run)
{
	struct claim_message reply = {
		.state = run->is_first_attempt ? TGW_CLAIM_REFUSED
					       : TGW_CLAIM_UNKNOWN,
		.retry_after_us = RETRY_AFTER_US,
	};

	answer_request(agent, run, &reply);
}

static int64_t retry_delay_us(const struct claim_run *run)
{
	uint32_t doublings = run->sent_count < END_RETRY_MAX_DOUBLINGS
				     ? run->sent_count
				     : END_RETRY_MAX_DOUBLINGS;

	if (run->phase != CLAIM_RUN_ENDED)
		return REQUEST_RETRY_US;
	return END_RETRY_US << doublings;
}

static void send_run(struct tgw_claim_agent *agent, struct claim_run *run)
{
	uint32_t bucket =
		claim_writer_bucket_of(agent->writer, &run->message.record.key);
	const char *host = claim_target_choose(agent->view, bucket, run);

	run->next_send_us = now_of(agent) + retry_delay_us(run);
	run->sent_count++;
	send_to(agent, host, &run->message);
}

static void fill_record(struct tgw_claim_agent *agent,
			struct claim_record *record,
			const struct tgw_claim_request *request)
{
	record->key = request->key;
	memcpy(record->body_hash, request->body_hash,
	       sizeof(record->body_hash));
	snprintf(record->owner.host, sizeof(record->owner.host), "%s",
		 self_of(agent)->name);
	record->owner.incarnation = self_of(agent)->incarnation;
	record->owner.attempt_id = ++agent->next_request_id;
	record->wall_us = tgw_clock_wall_us(agent->env.clock);
}

static void fill_run(struct tgw_claim_agent *agent, struct claim_run *run,
		     const struct tgw_claim_request *request,
		     struct tgw_claim_callback callback)
{
	run->message.kind = CLAIM_REQUEST;
	run->callback = callback;
	run->is_first_attempt = request->is_first_attempt;
	run->deadline_us = now_of(agent) + agent->env.claim_timeout_us;
	run->has_ticket =
		request->ticket &&
		claim_ticket_name_parse(&run->ticket, request->ticket);
	run->message.serial = run->ticket.serial;
	if (request->team)
		snprintf(run->message.team, sizeof(run->message.team), "%s",
			 request->team);
	fill_record(agent, &run->message.record, request);
}

/* Answers the request without a message to another host if this host has a run
 * that was granted the same call, unless that run has released its claim.
 * @return whether the request was answered */
static bool answer_from_local_run(struct tgw_claim_agent *agent,
				  struct claim_run *run)
{
	const struct claim_run *granted =
		claim_run_find_granted(&agent->runs, &run->message.record.key);
	struct claim_message reply = {.earlier_attempt_known = true,
				      .retry_after_us = RETRY_AFTER_US};

	if (!granted)
		return false;
	if (memcmp(granted->message.record.body_hash,
		   run->message.record.body_hash, TGW_BODY_HASH_BYTES)) {
		reply.state = TGW_CLAIM_KEY_REUSED;
	} else if (granted->phase == CLAIM_RUN_RUNNING) {
		reply.state = TGW_CLAIM_RUNNING;
	} else if (granted->message.record.phase == CLAIM_PHASE_DONE) {
		reply.state = TGW_CLAIM_RECORDED;
		reply.record.result = granted->message.record.result;
	} else if (granted->message.record.phase == CLAIM_PHASE_UNKNOWN) {
		reply.state = TGW_CLAIM_UNKNOWN;
	} else {
		return false;
	}
	answer_request(agent, run, &reply);
	return true;
}

void tgw_claim_begin(struct tgw_claim_agent *agent,
		     const struct tgw_claim_request *request,
		     struct tgw_claim_callback callback)
{
	bool full = agent->runs.count >= MAX_RUNS;
	struct claim_run *run = claim_run_add(&agent->runs);

	fill_run(agent, run, request, callback);
	if (answer_from_local_run(agent, run))
		return;
	if (full)
		give_up(agent, run);
	else
		send_run(agent, run);
}

bool tgw_claim_is_ticket(const char *text)
{
	struct claim_ticket_name name;

	return claim_ticket_name_parse(&name, text);
}

enum tgw_status tgw_claim_issue_ticket(struct tgw_claim_agent *agent,
				       const char *team,
				       char text[TGW_CLAIM_TICKET_SIZE],
				       struct tgw_error *error)
{
	struct claim_ticket_name name = {
		.incarnation = self_of(agent)->incarnation,
	};

	if (agent->draining)
		return tgw_error_set(error, TGW_CANCELLED,
				     "this host is stopping; ask another one");
	name.serial =
		claim_ticket_table_issue(&agent->tickets, team, now_of(agent));
	if (!name.serial)
		return tgw_error_set(error, TGW_BUSY,
				     "too many tickets are open; use the ones "
				     "at hand, or ask another host");
	snprintf(name.host, sizeof(name.host), "%s", self_of(agent)->name);
	claim_ticket_name_print(&name, text);
	agent->counters.tickets_issued++;
	return TGW_OK;
}

/* Marks a run as ended; its CLAIM_END is sent until it is acknowledged. */
static void end_run(struct tgw_claim_agent *agent, struct claim_run *run,
		    enum claim_phase phase)
{
	run->phase = CLAIM_RUN_ENDED;
	run->message.kind = CLAIM_END;
	run->message.record.phase = phase;
	run->sent_count = 0;
	send_run(agent, run);
}

void tgw_claim_finish(struct tgw_claim_agent *agent,
		      const struct tgw_request_key *key,
		      enum tgw_claim_outcome outcome, int32_t http_status,
		      const char *content_type, const void *body,
		      size_t body_size)
{
	struct claim_run *run = claim_run_find_granted(&agent->runs, key);

	if (!run || run->phase != CLAIM_RUN_RUNNING)
		return;
	switch (outcome) {
	case TGW_CLAIM_DONE:
		claim_result_set(&run->message.record.result, http_status,
				 content_type, body, body_size,
				 agent->env.max_response_bytes);
		end_run(agent, run, CLAIM_PHASE_DONE);
		return;
	case TGW_CLAIM_NOT_SENT:
		end_run(agent, run, CLAIM_PHASE_RUNNING);
		return;
	case TGW_CLAIM_NO_RESPONSE:
		end_run(agent, run, CLAIM_PHASE_UNKNOWN);
		return;
	}
}

void tgw_claim_set_hosts(struct tgw_claim_agent *agent,
			 const struct tgw_host_view *view)
{
	tgw_host_view_free(agent->view);
	agent->view = tgw_host_view_copy(view);
}

/* Releases a claim that this process owns but has no run for: it was granted
 * after the request had been given up, so no byte of the call was sent, and
 * none will be. */
static void release_stale_claim(struct tgw_claim_agent *agent, const char *from,
				const struct claim_message *message)
{
	const struct claim_owner *owner = &message->record.owner;
	const struct tgw_host *host = tgw_host_view_find(agent->view, from);
	struct claim_run *run;

	if (strcmp(owner->host, self_of(agent)->name) ||
	    owner->incarnation != self_of(agent)->incarnation ||
	    claim_run_find(&agent->runs, owner))
		return;
	run = claim_run_add(&agent->runs);
	run->message = *message;
	memset(&run->message.record.result, 0,
	       sizeof(run->message.record.result));
	run->has_ticket = message->authority == CLAIM_BY_ISSUER;
	run->ticket.serial = message->serial;
	snprintf(run->ticket.host, sizeof(run->ticket.host), "%s", from);
	run->ticket.incarnation = host ? host->incarnation : 0;
	end_run(agent, run, CLAIM_PHASE_RUNNING);
}

static void on_reply(struct tgw_claim_agent *agent, const char *from,
		     const struct claim_message *reply)
{
	struct claim_run *run =
		claim_run_find(&agent->runs, &reply->record.owner);

	if (run && run->phase == CLAIM_RUN_REQUESTED)
		answer_request(agent, run, reply);
	else if (!run && reply->state == TGW_CLAIM_GRANTED)
		release_stale_claim(agent, from, reply);
}

static void on_end_ack(struct tgw_claim_agent *agent,
		       const struct claim_record *record)
{
	struct claim_run *run = claim_run_find(&agent->runs, &record->owner);

	if (run && run->phase == CLAIM_RUN_ENDED)
		claim_run_remove(&agent->runs, run);
}

static void decide_as_issuer(struct tgw_claim_agent *agent, const char *from,
			     const struct claim_message *request)
{
	struct claim_message reply;
	const struct claim_record *running =
		claim_issuer_decide(&agent->tickets, request, &reply);

	if (running && is_owner_dead(agent, &running->owner)) {
		reply.state = TGW_CLAIM_UNKNOWN;
		reply.earlier_attempt_known = true;
	} else if (running) {
		struct claim_message check = reply;

		check.kind = CLAIM_CHECK;
		check.record = *running;
		send_to(agent, running->owner.host, &check);
	}
	send_to(agent, from, &reply);
}

static void on_request(struct tgw_claim_agent *agent, const char *from,
		       const struct claim_message *request)
{
	if (request->authority == CLAIM_BY_ISSUER)
		decide_as_issuer(agent, from, request);
	else
		claim_writer_submit(agent->writer, from, request);
}

/* Queues a record of how a ticket's call ended, which is then written to the
 * store: a retry needs it if the issuer has died by then. When the list of runs
 * is full, as in an outage of the store, the oldest queued record is dropped,
 * or the new one if no other is queued. */
static void queue_record(struct tgw_claim_agent *agent,
			 const struct claim_message *end)
{
	struct claim_run *run;

	if (agent->runs.count >= MAX_RUNS) {
		run = claim_run_oldest_record(&agent->runs);
		if (!run)
			return;
		claim_run_remove(&agent->runs, run);
	}
	run = claim_run_add(&agent->runs);
	run->message = *end;
	claim_result_copy(&run->message.record.result, &end->record.result);
	run->is_record = true;
	end_run(agent, run, end->record.phase);
}

static void end_as_issuer(struct tgw_claim_agent *agent, const char *from,
			  const struct claim_message *end)
{
	struct claim_message ack = {.kind = CLAIM_END_ACK,
				    .record = end->record};

	if (claim_issuer_end(&agent->tickets, end) &&
	    end->record.phase != CLAIM_PHASE_RUNNING)
		queue_record(agent, end);
	ack.record.phase = CLAIM_PHASE_RUNNING;
	memset(&ack.record.result, 0, sizeof(ack.record.result));
	send_to(agent, from, &ack);
}

static void on_end(struct tgw_claim_agent *agent, const char *from,
		   const struct claim_message *end)
{
	if (end->authority == CLAIM_BY_ISSUER)
		end_as_issuer(agent, from, end);
	else
		claim_writer_submit(agent->writer, from, end);
}

static void handle_message(struct tgw_claim_agent *agent, const char *from,
			   const struct claim_message *message)
{
	switch (message->kind) {
	case CLAIM_REQUEST:
		on_request(agent, from, message);
		return;
	case CLAIM_REPLY:
		on_reply(agent, from, message);
		return;
	case CLAIM_END:
		on_end(agent, from, message);
		return;
	case CLAIM_END_ACK:
		on_end_ack(agent, &message->record);
		return;
	case CLAIM_CHECK:
		release_stale_claim(agent, from, message);
		return;
	case CLAIM_KIND_COUNT:
		return;
	}
}

void tgw_claim_on_message(struct tgw_claim_agent *agent,
			  const struct tgw_peer_message *message)
{
	struct claim_message decoded;

	if (claim_message_unpack(&decoded, message->payload,
				 message->payload_size))
		handle_message(agent, message->from_host, &decoded);
	claim_message_clear(&decoded);
}

static struct claim_run *find_due_run(const struct tgw_claim_agent *agent)
{
	int64_t now_us = now_of(agent);

	for (struct claim_run *run = agent->runs.first; run; run = run->next) {
		if (run->phase == CLAIM_RUN_RUNNING)
			continue;
		if (run->next_send_us <= now_us)
			return run;
		if (run->phase == CLAIM_RUN_REQUESTED &&
		    run->deadline_us <= now_us)
			return run;
	}
	return NULL;
}

int64_t tgw_claim_tick(struct tgw_claim_agent *agent)
{
	int64_t now_us = now_of(agent);
	struct claim_run *run;

	while ((run = find_due_run(agent))) {
		if (run->phase == CLAIM_RUN_REQUESTED &&
		    run->deadline_us <= now_us)
			give_up(agent, run);
		else
			send_run(agent, run);
	}
	claim_ticket_table_expire(&agent->tickets, now_us - agent->env.keep_us);
	claim_writer_tick(agent->writer);
	if (!agent->runs.count && claim_writer_is_idle(agent->writer))
		return now_us + IDLE_TICK_US;
	return now_us + TICK_US;
}

void tgw_claim_drain(struct tgw_claim_agent *agent)
{
	agent->draining = true;
}

bool tgw_claim_is_drained(const struct tgw_claim_agent *agent)
{
	return agent->draining && !agent->runs.count &&
	       claim_writer_is_idle(agent->writer);
}

const struct tgw_claim_counters *tgw_claim_agent_counters(
	const struct tgw_claim_agent *agent)
{
	return &agent->counters;
}
