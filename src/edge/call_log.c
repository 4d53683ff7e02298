#include "edge/call_log.h"

#include "edge/crash_check.h"

static long long ms_since(int64_t time_us)
{
	return (edge_now_us() - time_us) / TGW_US_PER_MS;
}

/* The end of a line, for an attempt that the host itself has delayed. */
static const char *delay_field(const struct call_attempt *attempt)
{
	return attempt->own_delay ? " own_delay=1" : "";
}

/* What the caller of a refused call gets. */
static const char *caller_state(const struct call *call)
{
	if (!call->caller)
		return "caller_left";
	return call->head_sent ? "aborted" : "done";
}

void call_log_not_reserved(const struct call *call, int64_t tokens,
			   enum tgw_status status)
{
	struct edge *edge = call->edge;
	struct team_budget_view view = {0};
	const char *relay = team_budget_relay(edge->budgets);

	team_budget_get_view(edge->budgets, call->team.name, &view);
	edge_log_line(
		&edge->log, EDGE_LOG_NOTICE, "budget", "not_reserved",
		"request=%s team=%s tokens=%lld outcome=%s paid_in=%lld "
		"limit_here=%lld settled_here=%lld reserved_here=%lld "
		"free=%lld taken_by_all=%lld settled_by_all=%lld "
		"read_ms_ago=%lld given_here=%lld relay=%s",
		call->request.id, call->team.name, (long long)tokens,
		tgw_status_name(status), (long long)view.paid_in_tokens,
		(long long)view.limit_tokens, (long long)view.settled_tokens,
		(long long)view.reserved_tokens, (long long)view.free_tokens,
		(long long)view.taken_by_all_tokens,
		(long long)view.settled_by_all_tokens, ms_since(view.read_us),
		(long long)view.given_tokens, *relay ? relay : "-");
}

void call_log_attempt_failed(const struct call_attempt *attempt,
			     const char *reason)
{
	const struct call *call = attempt->call;
	const struct backend *backend = attempt->backend;
	char fingerprint[REQUEST_FINGERPRINT_TEXT_SIZE];
	char parts[PROMPT_PARTS_TEXT_SIZE];

	prompt_parts_to_text(&call->request.parts, parts);
	request_fingerprint_to_text(&call->identity.whole, fingerprint);
	/* The key failure_share= is the name of failure_rate in the log. */
	edge_log_line(&call->edge->log, EDGE_LOG_NOTICE, "call",
		      "attempt_failed",
		      "request=%s server=%s reason=\"%s\" sent=%d events=%llu "
		      "attempt=%u age_ms=%lld silent_ms=%lld "
		      "server_load=%u+%u/%u "
		      "load_ms_ago=%lld failure_share=%.2f held_bytes=%lld "
		      "held_by_all=%lld fingerprint=%s parts=%s%s",
		      call->request.id, backend->entry.id, reason,
		      call_attempt_is_sent(attempt),
		      (unsigned long long)call->events_sent,
		      call->attempt_count, ms_since(attempt->started_us),
		      ms_since(attempt->last_progress_us),
		      backend->reported.running, backend->reported.waiting,
		      backend->entry.slots, ms_since(backend->reported_us),
		      backend_failure_rate(backend, edge_now_us()),
		      (long long)attempt->held_bytes,
		      (long long)call->edge->held_answers.total_bytes,
		      fingerprint, parts, delay_field(attempt));
}

void call_log_attempt_silent(const struct call_attempt *attempt)
{
	const struct call *call = attempt->call;

	edge_log_line(&call->edge->log, EDGE_LOG_NOTICE, "call",
		      "attempt_silent",
		      "request=%s server=%s reason=\"%s\" "
		      "events=%llu attempt=%u age_ms=%lld silent_ms=%lld "
		      "failure_share=%.2f not_repeated=%s%s",
		      call->request.id, attempt->backend->entry.id,
		      attempt->conn->connected ? "the server is silent"
					       : "the server can't be reached",
		      (unsigned long long)call->events_sent,
		      call->attempt_count, ms_since(attempt->started_us),
		      ms_since(attempt->last_progress_us),
		      backend_failure_rate(attempt->backend, edge_now_us()),
		      attempt_obstacle_name(call->obstacle),
		      delay_field(attempt));
}

void call_log_attempt_continues(const struct call_attempt *attempt)
{
	const struct call *call = attempt->call;

	edge_log_line(&call->edge->log, EDGE_LOG_DETAIL, "call",
		      "attempt_continues",
		      "request=%s server=%s events=%llu attempts=%u "
		      "age_ms=%lld",
		      call->request.id, attempt->backend->entry.id,
		      (unsigned long long)call->events_sent,
		      call->attempt_count, ms_since(attempt->started_us));
}

void call_log_end_checked(const struct call_attempt *attempt,
			  enum connect_check_result result)
{
	const struct call *call = attempt->call;

	edge_log_line(&call->edge->log, EDGE_LOG_DETAIL, "call", "end_checked",
		      "request=%s server=%s result=%s events=%llu attempt=%u "
		      "age_ms=%lld",
		      call->request.id, attempt->backend->entry.id,
		      crash_check_result_name(result),
		      (unsigned long long)call->events_sent,
		      call->attempt_count, ms_since(attempt->started_us));
}

void call_log_response_discarded(const struct call_attempt *attempt, int status)
{
	const struct call *call = attempt->call;

	edge_log_line(&call->edge->log, EDGE_LOG_NOTICE, "call",
		      "response_discarded",
		      "request=%s server=%s status=%d reason=\"%s\" "
		      "attempt=%u age_ms=%lld",
		      call->request.id, attempt->backend->entry.id, status,
		      attempt->response.other_request
			      ? "it bears another request's id"
			      : "it bears no id and is not the first one on "
				"its connection",
		      call->attempt_count, ms_since(attempt->started_us));
}

void call_log_refused(const struct call *call, int status,
		      int64_t retry_after_ms, const char *reason)
{
	edge_log_line(
		&call->edge->log, EDGE_LOG_NOTICE, "call", "refused",
		"request=%s team=%s route=%s status=%d reason=\"%s\" "
		"attempts=%u may_have_run=%d events=%llu retry_after_ms=%lld "
		"age_ms=%lld not_repeated=%s caller=%s",
		call->request.id, call->team.name, call->route.name, status,
		reason, call->attempt_count, call_may_have_run(call),
		(unsigned long long)call->events_sent,
		(long long)retry_after_ms, ms_since(call->arrived_us),
		attempt_obstacle_name(call->obstacle), caller_state(call));
}

void call_log_caller_left(const struct call *call)
{
	edge_log_line(
		&call->edge->log, EDGE_LOG_DETAIL, "call", "caller_left",
		"request=%s team=%s route=%s server=%s attempts=%u sent=%d "
		"events=%llu age_ms=%lld",
		call->request.id, call->team.name, call->route.name,
		call->current ? call->current->backend->entry.id : "",
		call->attempt_count, call_attempt_is_sent(call->current),
		(unsigned long long)call->events_sent,
		ms_since(call->arrived_us));
}

void call_log_answered(const struct call_attempt *attempt, int64_t first_us,
		       int64_t total_us)
{
	const struct call *call = attempt->call;

	edge_log_line(&call->edge->log, EDGE_LOG_DETAIL, "call", "answered",
		      "request=%s team=%s route=%s server=%s status=%d "
		      "attempts=%u events=%llu first_ms=%lld whole_ms=%lld "
		      "end=%s caller=%s",
		      call->request.id, call->team.name, call->route.name,
		      attempt->backend->entry.id, attempt->status,
		      call->attempt_count,
		      (unsigned long long)call->events_sent,
		      (long long)(first_us / TGW_US_PER_MS),
		      (long long)(total_us / TGW_US_PER_MS),
		      attempt->conn->eof_seen ? "closed" : "framed",
		      call->caller ? "served" : "left");
}
