#include <stdio.h>

#include "edge/call_log.h"
#include "edge/call_private.h"
#include "edge/crash_check.h"
#include "edge/server_signals.h"

/* Retry-After when the service has no server, and when its servers are full or
 * rejected the request. */
#define RETRY_AFTER_NO_SERVER_MS 400
#define RETRY_AFTER_FULL_MS 80
/* Retry-After of a quarantined request, which is refused for an hour after its
 * last crash, and of one with a refused part, which is tried again sooner. */
#define RETRY_AFTER_QUARANTINE_MS 60000
#define RETRY_AFTER_PART_MS 10000
#define REASON_SIZE 192
/* Interval at which a host checks again whether another server can take the
 * request of a silent one. */
#define SILENCE_CHECK_US (250 * TGW_US_PER_MS)
#define REASON_UNREACHABLE "the server can't be reached"

static int64_t retry_after_full_ms(const struct call *call)
{
	return server_signals_retry_after_ms(call->edge, call->route.service,
					     call->route.regions,
					     RETRY_AFTER_FULL_MS);
}

static void refuse_without_server(struct call *call,
				  enum placement_result result)
{
	if (call->head_sent || call_may_have_run(call))
		call_refuse(call, 502, 0, "no server is left to go on at");
	else if (result == PLACEMENT_ALL_FULL)
		call_refuse(call, 503, retry_after_full_ms(call),
			    "all servers are full");
	else if (result == PLACEMENT_NO_SERVER)
		call_refuse(call, 503, RETRY_AFTER_NO_SERVER_MS,
			    "the service has no server");
	else
		call_refuse(call, 503, retry_after_full_ms(call),
			    "no server took the request");
}

static void refuse_quarantined(struct call *call)
{
	const struct edge *edge = call->edge;
	const char *part = request_quarantine_refused_part(edge->quarantine,
							   &call->identity);
	int64_t retry_after_ms = part ? RETRY_AFTER_PART_MS
				      : RETRY_AFTER_QUARANTINE_MS;
	char reason[REASON_SIZE] = "backend servers crashed while they ran "
				   "this request; change it, or send it again "
				   "later";

	if (part)
		snprintf(reason, sizeof(reason),
			 "backend servers crashed while they ran requests with "
			 "part %s of this prompt; change the part, or send the "
			 "request again later",
			 part);
	call->edge->counters.quarantine_refused++;
	if (call_may_have_run(call))
		call_refuse(call, 502, 0, reason);
	else
		call_refuse(call, 503, retry_after_ms, reason);
}

static enum placement_result choose_server(struct call *call,
					   struct backend **chosen)
{
	struct edge *edge = call->edge;
	struct placement_request request = {
		.service = call->route.service,
		.failure_domain = edge->settings->failure_domain,
		.regions = call->route.regions,
		.affinity = call->route.affinity
				    ? call->request.shared_prefix_hash
				    : 0,
		.prompt_tokens = call->request.input_tokens,
		.target_pause_ms = call->route.target_pause_ms,
		.long_pause_ms = pause_model_long_pause_ms(&edge->pauses,
							   call->route.name),
		.draw = tgw_random_u64(&edge->random),
		.tried = call->tried,
		.tried_count = call->attempt_count,
		.now_us = edge_now_us(),
	};

	return placement_choose(&edge->backends, &request, chosen);
}

/* Whether a server may run the request although another one may have. */
static bool may_run_again(const struct call *call, enum attempt_trigger trigger)
{
	if (!call->body)
		return false;
	return call_may_repeat(call) ||
	       (trigger != ATTEMPT_SILENT && !call_may_have_run(call));
}

/* A plan, and the server that a request is to be sent to. */
struct dispatch {
	struct attempt_plan plan;
	enum placement_result placement;
	struct backend *backend; /* NULL if none was found */
};

/* A request at a silent server can wait, so it leaves the last credit to one
 * that can't. */
static bool has_retry_credit(struct call *call, enum attempt_trigger trigger,
			     int64_t now_us)
{
	struct retry_budget *budget =
		edge_retry_budget(call->edge, call->route.service);

	if (trigger == ATTEMPT_SILENT)
		return retry_budget_has_spare_credit(budget, now_us);
	return retry_budget_has_credit(budget, now_us);
}

static void make_plan(struct call *call, enum attempt_trigger trigger,
		      bool crashes_servers, struct dispatch *dispatch)
{
	struct edge *edge = call->edge;
	int64_t now_us = edge_now_us();
	struct attempt_facts facts = {
		.trigger = trigger,
		.caller_left = !call->caller,
		.may_run_again = may_run_again(call, trigger),
		.crashes_servers = crashes_servers,
		.is_quarantined = request_quarantine_is_refused(
			edge->quarantine, &call->identity),
		.attempts = call->attempt_count,
		.sent = call->sent_count,
		.sent_max = call->route.max_attempts,
		.left_us = call->deadline_us - now_us,
		.placement = choose_server(call, &dispatch->backend),
		.has_retry_credit = has_retry_credit(call, trigger, now_us),
		.own_delay = edge->own_delay.active,
		.other_is_open = call->earlier != NULL,
	};

	dispatch->plan = attempt_plan_make(&facts);
	dispatch->placement = facts.placement;
	call->obstacle = dispatch->plan.obstacle;
}

static void send_request(struct call *call, const struct dispatch *dispatch)
{
	struct edge *edge = call->edge;
	/* An unsent retry before this one has returned its credit. */
	bool is_retry = call->attempt_count > call->unsent_count;

	if (is_retry)
		retry_budget_spend(edge_retry_budget(edge, call->route.service),
				   edge_now_us());
	if (dispatch->plan.spends_retry_credit) {
		edge->counters.retries++;
		if (call->events_sent)
			edge->counters.resumed++;
	}
	request_quarantine_on_sent(edge->quarantine, &call->identity);
	call_attempt_start(call, dispatch->backend, is_retry);
}

/* Goes on with the current attempt until the next check. */
static void wait_for_current_attempt(struct call *call)
{
	call->current->next_check_us = edge_now_us() + SILENCE_CHECK_US;
	call_schedule(call);
}

/* The attempt at the server that fell silent is the only one that is left. */
static void wait_for_earlier_attempt(struct call *call)
{
	call->current = call->earlier;
	call->earlier = NULL;
	wait_for_current_attempt(call);
}

static void end_after_failure(struct call *call, const char *reason)
{
	if (call_may_have_run(call))
		call_refuse(call, 502, 0, reason);
	else
		call_refuse(call, 503, retry_after_full_ms(call), reason);
}

/* Ends a call that is sent to no server.
 * @param reason of the last server's failure; NULL if none received it */
static void end_without_server(struct call *call,
			       const struct dispatch *dispatch,
			       const char *reason)
{
	switch (call->obstacle) {
	case ATTEMPT_CALLER_LEFT:
		call_end(call);
		return;
	case ATTEMPT_QUARANTINED:
		refuse_quarantined(call);
		return;
	case ATTEMPT_NO_SERVER:
		refuse_without_server(call, dispatch->placement);
		return;
	default:
		break;
	}
	if (reason)
		end_after_failure(call, reason);
	else if (call->obstacle == ATTEMPT_NO_TIME)
		call_give_up(call, "the time of the request is up");
	else
		refuse_without_server(call, PLACEMENT_ALL_TRIED);
}

/* Sends the call to a server, waits for one that has it, or ends it. */
static void carry_out(struct call *call, const struct dispatch *dispatch,
		      const char *reason)
{
	switch (dispatch->plan.step) {
	case ATTEMPT_STEP_SEND:
		send_request(call, dispatch);
		return;
	case ATTEMPT_STEP_WAIT:
		wait_for_earlier_attempt(call);
		return;
	case ATTEMPT_STEP_CONNECT:
		wait_for_current_attempt(call);
		return;
	case ATTEMPT_STEP_END:
		end_without_server(call, dispatch, reason);
		return;
	}
}

static void proceed(struct call *call, enum attempt_trigger trigger,
		    bool crashes_servers, const char *reason)
{
	struct dispatch dispatch;

	make_plan(call, trigger, crashes_servers, &dispatch);
	carry_out(call, &dispatch, reason);
}

void call_dispatch(struct call *call)
{
	proceed(call, ATTEMPT_NONE_YET, false, NULL);
}

/* A server broke the request off, and another one has crashed while it ran it,
 * or others while they ran requests with a part of its prompt. The host does
 * not repeat it by itself then; its caller may. */
static bool may_crash_servers(const struct call *call,
			      enum backend_outcome outcome)
{
	return outcome == BACKEND_BROKEN &&
	       request_quarantine_is_suspected(call->edge->quarantine,
					       &call->identity);
}

/* Records what the failure says about the server and the request. */
static void record_failure(struct call_attempt *attempt,
			   enum backend_outcome outcome, bool may_have_run)
{
	struct call *call = attempt->call;
	struct edge *edge = call->edge;

	edge->counters.failed_attempts[outcome]++;
	backend_record_outcome(attempt->backend, outcome, edge_now_us());
	if (outcome == BACKEND_ADDRESS_REUSED)
		backend_table_mark_address_reused(&edge->backends,
						  attempt->backend);
	if (may_have_run)
		call->may_have_run = true;
	if (!call_attempt_is_sent(attempt))
		call_attempt_not_sent(attempt);
	else if (outcome == BACKEND_ADDRESS_REUSED)
		call->sent_count--;
	if (outcome == BACKEND_UNREACHABLE)
		request_quarantine_on_server_lost(edge->quarantine);
	if (may_have_run && outcome == BACKEND_BROKEN)
		crash_check_request(attempt);
}

void call_attempt_failed(struct call_attempt *attempt,
			 enum backend_outcome outcome, const char *reason)
{
	struct call *call = attempt->call;
	bool was_current = attempt == call->current;
	bool sent = call_attempt_is_sent(attempt);
	bool may_have_run = sent && outcome != BACKEND_REJECTED &&
			    outcome != BACKEND_ADDRESS_REUSED;

	attempt->own_delay = false;
	call_log_attempt_failed(attempt, reason);
	record_failure(attempt, outcome, may_have_run);
	call_attempt_end(attempt);
	if (!was_current)
		return;
	proceed(call, sent ? ATTEMPT_FAILED : ATTEMPT_NOT_SENT,
		may_crash_servers(call, outcome), reason);
}

bool call_retry_server_error(struct call_attempt *attempt)
{
	struct call *call = attempt->call;
	struct dispatch dispatch;

	call->may_have_run = true;
	make_plan(call, ATTEMPT_FAILED, false, &dispatch);
	if (dispatch.plan.step == ATTEMPT_STEP_END)
		return false;
	call_log_attempt_failed(attempt, "the server failed the request");
	record_failure(attempt, BACKEND_FAILED, true);
	call_attempt_end(attempt);
	if (dispatch.plan.step == ATTEMPT_STEP_SEND)
		send_request(call, &dispatch);
	else
		wait_for_earlier_attempt(call);
	return true;
}

/* Whether the timeout of an attempt is no evidence against its server. A
 * connection that the host has delayed stays so when the delay has ended: the
 * kernel sends a lost SYN again only after 1 s. */
static bool is_own_delay(const struct call_attempt *attempt)
{
	return attempt->call->edge->own_delay.active ||
	       (attempt->own_delay && !attempt->conn->connected);
}

static void record_own_delay(struct call_attempt *attempt)
{
	struct edge_counters *counters = &attempt->call->edge->counters;

	if (attempt->own_delay)
		return;
	attempt->own_delay = true;
	if (attempt->conn->connected)
		counters->own_delay_silences++;
	else
		counters->own_delay_connects++;
	call_log_attempt_silent(attempt);
}

void call_attempt_record_timeout(struct call_attempt *attempt)
{
	if (is_own_delay(attempt)) {
		record_own_delay(attempt);
		return;
	}
	if (!attempt->silence_recorded)
		backend_record_outcome(attempt->backend, BACKEND_TIMED_OUT,
				       edge_now_us());
}

void call_attempt_connect_timed_out(struct call *call)
{
	struct call_attempt *attempt = call->current;
	struct dispatch dispatch;

	if (!is_own_delay(attempt)) {
		call_attempt_failed(attempt, BACKEND_UNREACHABLE,
				    REASON_UNREACHABLE);
		return;
	}
	make_plan(call, ATTEMPT_CONNECT_DELAYED, false, &dispatch);
	record_own_delay(attempt);
	if (dispatch.plan.step == ATTEMPT_STEP_CONNECT) {
		/* A server can't be silent before it is connected. */
		attempt->last_progress_us = edge_now_us();
	} else {
		call_attempt_not_sent(attempt);
		call_attempt_end(attempt);
	}
	carry_out(call, &dispatch, REASON_UNREACHABLE);
}

static void record_silence(struct call *call)
{
	struct call_attempt *attempt = call->current;

	if (is_own_delay(attempt)) {
		record_own_delay(attempt);
		return;
	}
	if (attempt->silence_recorded)
		return;
	attempt->own_delay = false;
	attempt->silence_recorded = true;
	call->edge->counters.silences++;
	backend_record_outcome(attempt->backend, BACKEND_TIMED_OUT,
			       edge_now_us());
	call_log_attempt_silent(attempt);
}

void call_attempt_silent(struct call *call)
{
	struct dispatch dispatch;

	make_plan(call, ATTEMPT_SILENT, false, &dispatch);
	record_silence(call);
	if (dispatch.plan.step != ATTEMPT_STEP_SEND) {
		wait_for_current_attempt(call);
		return;
	}
	call_end_earlier_attempt(call);
	call->earlier = call->current;
	call->current = NULL;
	send_request(call, &dispatch);
}
