/* Decides whether a response that ended with its connection is whole: the end
 * looks the same if its server crashed there. */
#include "edge/call_log.h"
#include "edge/call_private.h"
#include "edge/crash_check.h"

static bool content_is_cut(const struct call_attempt *attempt)
{
	if (attempt->conn->ignore_body)
		return false;
	if (attempt->is_json)
		return !json_scan_is_whole(&attempt->json);
	return attempt->is_event_stream && attempt->events.in_event;
}

static void on_end_checked(void *arg, enum connect_check_result result)
{
	struct call_attempt *attempt = arg;

	attempt->end_check = NULL;
	call_log_end_checked(attempt, result);
	if (result == CONNECT_CHECK_ACCEPTED)
		http_conn_confirm_end(attempt->conn);
	else
		call_attempt_failed(attempt, BACKEND_BROKEN,
				    "the server can't be reached since its "
				    "answer ended with the connection");
}

/* A server that leaves exits as planned. One that did not run the request has
 * nothing to lose. */
static bool needs_living_server(const struct call_attempt *attempt)
{
	return crash_check_may_crash(attempt->backend) &&
	       !attempt->response.not_run && !attempt->response.misdirected;
}

void call_answer_on_ended(struct http_conn *conn)
{
	struct call_attempt *attempt = conn->arg;

	if (content_is_cut(attempt)) {
		call_attempt_failed(attempt, BACKEND_BROKEN,
				    "the answer ended within its content");
		return;
	}
	if (!needs_living_server(attempt)) {
		http_conn_confirm_end(conn);
		return;
	}
	attempt->end_check = crash_check_connect(
		attempt->backend, attempt->call->edge, on_end_checked, attempt);
	if (!attempt->end_check)
		on_end_checked(attempt, CONNECT_CHECK_UNKNOWN);
}
