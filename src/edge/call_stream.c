/* Forwards the events of streams, in complete events only where another server
 * can go on with the stream. */
#include <stdio.h>

#include "edge/call_private.h"

/* Room for the text of a failed attempt with two numbers. */
#define REASON_SIZE 160

void call_record_sound_parts(struct call *call)
{
	if (call->parts_served)
		return;
	call->parts_served = true;
	request_quarantine_on_progress(call->edge->quarantine, &call->identity);
}

static void record_pause(struct call_attempt *attempt)
{
	int64_t now_us = edge_now_us();
	int64_t pause_us = now_us - attempt->last_event_us;

	if (attempt->last_event_us && pause_us > attempt->longest_pause_us)
		attempt->longest_pause_us = pause_us;
	attempt->last_event_us = now_us;
}

/* Records events that are forwarded.
 * @param before number of events of the attempt before them */
static void record_events(struct call_attempt *attempt, uint64_t before)
{
	const struct event_scan *events = &attempt->events;
	struct call *call = attempt->call;

	if (events->events == before)
		return;
	record_pause(attempt);
	call->events_sent += events->events - before;
	call->last_event_id = events->resume_id;
	call->skips_ids |= events->skips_ids;
	if (events->events >= CALL_SOUND_EVENTS)
		call_record_sound_parts(call);
}

/* An event that large is not one of a sound server. What the host holds of it
 * is dropped, and the stream goes on at another server where it may. */
static void fail_without_end(struct call_attempt *attempt, size_t size,
			     enum held_verdict verdict)
{
	struct edge *edge = attempt->call->edge;
	char reason[REASON_SIZE];

	edge->counters.events_without_end++;
	snprintf(
		reason, sizeof(reason),
		"the server's event has not ended after %zu bytes; %s may hold "
		"%lld",
		attempt->partial.size + size,
		verdict == HELD_HOST_FULL ? "all answers together"
					  : "an answer",
		(long long)held_bytes_limit(&edge->held_answers, verdict));
	call_attempt_failed(attempt, BACKEND_BROKEN, reason);
}

static void keep_incomplete(struct call_attempt *attempt, const char *data,
			    size_t size)
{
	enum held_verdict verdict =
		call_attempt_may_hold(attempt, &attempt->partial, size);

	if (verdict != HELD_FITS) {
		fail_without_end(attempt, size, verdict);
		return;
	}
	buffer_add(&attempt->partial, data, size);
	call_attempt_record_held(attempt);
}

/* @param complete how many of these bytes precede the incomplete event */
static void forward_complete_events(struct call_attempt *attempt,
				    const char *data, size_t size,
				    size_t complete)
{
	if (complete && attempt->partial.size) {
		call_attempt_forward(attempt, attempt->partial.data,
				     attempt->partial.size);
		buffer_free(&attempt->partial);
		call_attempt_record_held(attempt);
	}
	call_attempt_forward(attempt, data, complete);
	if (size > complete)
		keep_incomplete(attempt, data + complete, size - complete);
}

void call_stream_forward(struct call_attempt *attempt, const char *data,
			 size_t size)
{
	uint64_t before = attempt->events.events;
	size_t complete = event_scan_feed(&attempt->events, data, size);

	record_events(attempt, before);
	if (attempt->call->route.kind == ROUTE_RESUMABLE &&
	    attempt->is_event_stream)
		forward_complete_events(attempt, data, size, complete);
	else
		call_attempt_forward(attempt, data, size);
}

/* Whether the first event of an attempt is the one after those that the caller
 * has. A server that does not go on there runs the request anew, and its events
 * may not be those of the first run. */
static bool goes_on_in_order(const struct call_attempt *attempt)
{
	const struct call *call = attempt->call;
	int64_t first_id = attempt->events.first_id;

	if (!call->events_sent)
		return true;
	if (first_id <= call->last_event_id)
		return false;
	return call->skips_ids || first_id == call->last_event_id + 1;
}

static void fail_out_of_order(struct call_attempt *attempt)
{
	long long last_id = attempt->call->last_event_id;
	long long first_id = attempt->events.first_id;
	char reason[REASON_SIZE];

	if (first_id == EVENT_SCAN_NO_ID)
		snprintf(reason, sizeof(reason),
			 "the server went on with an event without an id after "
			 "event %lld",
			 last_id);
	else
		snprintf(reason, sizeof(reason),
			 "the server went on with event %lld after event %lld",
			 first_id, last_id);
	call_attempt_failed(attempt, BACKEND_FAILED, reason);
}

void call_stream_go_on(struct call_attempt *attempt, const char *data,
		       size_t size)
{
	size_t complete = event_scan_feed(&attempt->events, data, size);

	if (!attempt->events.events) {
		keep_incomplete(attempt, data, size);
		return;
	}
	if (!goes_on_in_order(attempt)) {
		fail_out_of_order(attempt);
		return;
	}
	call_settle_on(attempt);
	call_attempt_begin_forwarding(attempt);
	record_events(attempt, 0);
	forward_complete_events(attempt, data, size, complete);
}
