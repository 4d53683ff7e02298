#include "edge/call_log.h"
#include "edge/call_private.h"

/* A repeatable request waits for bytes from a server for its total timeout
 * divided by this, within the bounds below, before another server is tried as
 * well. */
#define SILENCE_DIVISOR 3
#define MIN_SILENCE_US (150 * TGW_US_PER_MS)
#define MAX_SILENCE_US (1500 * TGW_US_PER_MS)
#define CONNECT_TIMEOUT_US (250 * TGW_US_PER_MS)

static void on_timer(uv_timer_t *timer);

static int64_t max_silence_us(const struct call *call)
{
	int64_t limit_us =
		(call->deadline_us - call->arrived_us) / SILENCE_DIVISOR;

	if (limit_us < MIN_SILENCE_US)
		limit_us = MIN_SILENCE_US;
	return limit_us > MAX_SILENCE_US ? MAX_SILENCE_US : limit_us;
}

/* @return when the current attempt needs a decision, at the latest the end of
 * the call */
static int64_t attempt_due_us(const struct call *call)
{
	const struct call_attempt *attempt = call->current;
	int64_t due_us;

	if (!attempt)
		return call->deadline_us;
	if (!attempt->conn->connected) {
		due_us = attempt->started_us + CONNECT_TIMEOUT_US;
		return due_us < attempt->next_check_us ? attempt->next_check_us
						       : due_us;
	}
	if (attempt->paused || !call_may_repeat(call) ||
	    call->sent_count >= call->route.max_attempts)
		return call->deadline_us;
	due_us = attempt->last_progress_us + max_silence_us(call);
	if (due_us < attempt->next_check_us)
		due_us = attempt->next_check_us;
	if (attempt->unsent_bytes && due_us > attempt->unsent_check_us)
		due_us = attempt->unsent_check_us;
	return due_us < call->deadline_us ? due_us : call->deadline_us;
}

static int64_t call_due_us(const struct call *call)
{
	int64_t due_us = call->waits_for_tokens ? call->tokens_deadline_us
						: attempt_due_us(call);

	return due_us < call->deadline_us ? due_us : call->deadline_us;
}

void call_schedule(struct call *call)
{
	int64_t left_us = call_due_us(call) - edge_now_us();

	if (left_us < 0)
		left_us = 0;
	uv_timer_start(
		&call->timer, on_timer,
		(uint64_t)((left_us + TGW_US_PER_MS - 1) / TGW_US_PER_MS), 0);
}

void call_timer_init(struct call *call)
{
	uv_timer_init(call->edge->loop, &call->timer);
	call->timer.data = call;
}

static void time_out_call(struct call *call)
{
	if (call->current)
		call_attempt_record_timeout(call->current);
	call_give_up(call, "the time of the request is up");
}

static void on_timer(uv_timer_t *timer)
{
	struct call *call = timer->data;
	int64_t now_us = edge_now_us();

	if (call->ended)
		return;
	if (call->current)
		call_attempt_check_upload(call->current, now_us);
	if (now_us < call_due_us(call)) {
		call->timeout_pending = false;
		call_schedule(call);
		return;
	}
	/* The event loop runs timers before it reads from sockets, so on a busy
	 * host the response may have arrived already. The timeout takes effect
	 * in the next run of the timer, after the loop has read. */
	if (!call->timeout_pending) {
		call->timeout_pending = true;
		uv_timer_start(timer, on_timer, 1, 0);
		return;
	}
	call->timeout_pending = false;
	if (now_us >= call->deadline_us)
		time_out_call(call);
	else if (call->waits_for_tokens)
		call_refuse_without_tokens(call);
	else if (call->current->conn->connected)
		call_attempt_silent(call);
	else
		call_attempt_connect_timed_out(call);
}
