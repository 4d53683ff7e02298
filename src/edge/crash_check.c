#include "edge/crash_check.h"

#include <stdlib.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "transport/connect_check.h"
#include "transport/socket_address.h"

#define TIMEOUT_MS 500
/* A server may go on with a request for a moment after its deadline, and one
 * whose clock is late for longer. */
#define DEADLINE_MARGIN_US (500 * TGW_US_PER_MS)
/* A request that the host has given up is suspected for at least this long. */
#define MIN_WATCH_US (3 * TGW_US_PER_S)
/* Whatever deadline a caller sets, it is not suspected for longer. */
#define MAX_WATCH_US (600 * TGW_US_PER_S)
/* A server that ends the connection, or does not answer, is asked again at
 * intervals that double. One that crashed is back after some seconds, so a
 * longer interval could miss it; the longer it was watched, the less often. */
#define FIRST_INTERVAL_MS 100
#define SHORT_INTERVAL_MAX_MS 800
#define INTERVAL_MAX_MS 5000
#define AGE_PER_INTERVAL 8

/* Watches one run of a server at which requests are suspected. */
struct crash_check {
	struct edge *edge;
	char server[TGW_NAME_SIZE];
	uint64_t run;
	struct connect_check *probe; /* NULL while the server is not asked */
	bool watching;		     /* the probe's connection is open */
	int64_t asked_us;	     /* when the probe was begun */
	int64_t started_us;
	uv_timer_t timer;
	uint64_t interval_ms;
	unsigned int asked; /* how often */
	struct crash_check *next;
};

static void on_timer_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void free_check(struct crash_check *check)
{
	if (check->probe)
		connect_check_cancel(check->probe);
	uv_close((uv_handle_t *)&check->timer, on_timer_closed);
}

static void unlink_check(struct crash_check *check)
{
	struct crash_check **link = &check->edge->crash_checks;

	while (*link != check)
		link = &(*link)->next;
	*link = check->next;
}

const char *crash_check_result_name(enum connect_check_result result)
{
	switch (result) {
	case CONNECT_CHECK_ACCEPTED:
		return "accepted";
	case CONNECT_CHECK_REFUSED:
		return "refused";
	case CONNECT_CHECK_UNKNOWN:
		break;
	}
	return "unknown";
}

/* @return the server, or NULL if it is not listed any more, or only as a later
 * process */
static struct backend *find_server(const struct crash_check *check)
{
	struct backend *backend =
		backend_table_find(&check->edge->backends, check->server);

	return backend && backend->run_hash == check->run ? backend : NULL;
}

static void record(void *arg, const struct crash_suspect *suspect)
{
	const struct edge *edge = arg;

	request_quarantine_on_crash(edge->quarantine, &suspect->identity,
				    suspect->run, suspect->suspects_parts);
}

static struct crash_suspects_recorder recorder_of(struct edge *edge)
{
	return (struct crash_suspects_recorder){record, edge};
}

static void log_end(const struct crash_check *check, const char *result)
{
	struct edge *edge = check->edge;

	edge_log_line(&edge->log, EDGE_LOG_NOTICE, "server", "checked",
		      "server=%s result=%s checks=%u requests=%zu "
		      "watched_ms=%lld",
		      check->server, result, check->asked,
		      crash_suspects_count(&edge->crash_suspects, check->run),
		      (long long)(edge_now_us() - check->started_us) /
			      TGW_US_PER_MS);
}

/* Ends a check of a run that has not crashed as far as anybody knows. */
static void end_check(struct crash_check *check, const char *result)
{
	log_end(check, result);
	crash_suspects_forget(&check->edge->crash_suspects, check->run);
	unlink_check(check);
	free_check(check);
}

static void end_crashed(struct crash_check *check, const char *result)
{
	struct edge *edge = check->edge;
	const struct crash_suspects_recorder recorder = recorder_of(edge);
	struct backend *backend = find_server(check);

	log_end(check, result);
	if (backend)
		backend_record_outcome(backend, BACKEND_UNREACHABLE,
				       edge_now_us());
	crash_suspects_on_crash(&edge->crash_suspects, check->run,
				edge_now_us(), &recorder);
	unlink_check(check);
	free_check(check);
}

static void ask_server(struct crash_check *check,
		       const struct backend *backend);

static void on_timer(uv_timer_t *timer);

static void start_timer(struct crash_check *check, int64_t due_us)
{
	int64_t delay_us = due_us - edge_now_us();

	if (delay_us < 0)
		delay_us = 0;
	uv_timer_start(
		&check->timer, on_timer,
		(uint64_t)((delay_us + TGW_US_PER_MS - 1) / TGW_US_PER_MS), 0);
}

/* While the connection is open the run lives: nothing is asked until the last
 * request's time is over. */
static void watch_on(struct crash_check *check)
{
	start_timer(check, crash_suspects_until_us(&check->edge->crash_suspects,
						   check->run));
}

static void clear_over(struct crash_check *check, int64_t alive_us)
{
	crash_suspects_on_alive(&check->edge->crash_suspects, check->run,
				alive_us);
}

static bool has_suspects(const struct crash_check *check)
{
	return crash_suspects_count(&check->edge->crash_suspects, check->run);
}

static void stop_watching(struct crash_check *check)
{
	if (check->probe)
		connect_check_cancel(check->probe);
	check->probe = NULL;
	check->watching = false;
}

static void on_timer(uv_timer_t *timer)
{
	struct crash_check *check = timer->data;
	const struct backend *backend = find_server(check);

	if (check->watching) {
		clear_over(check, edge_now_us());
		if (has_suspects(check))
			watch_on(check);
		else
			end_check(check, "accepted");
		return;
	}
	if (backend && crash_check_may_crash(backend))
		ask_server(check, backend);
	else
		end_check(check, "unknown");
}

/* @return how long to wait between two questions */
static int64_t interval_us(struct crash_check *check)
{
	uint64_t age_ms =
		(uint64_t)((edge_now_us() - check->started_us) / TGW_US_PER_MS);
	uint64_t interval_ms = check->interval_ms;

	if (interval_ms < age_ms / AGE_PER_INTERVAL)
		interval_ms = age_ms / AGE_PER_INTERVAL;
	if (interval_ms > INTERVAL_MAX_MS)
		interval_ms = INTERVAL_MAX_MS;
	check->interval_ms *= 2;
	if (check->interval_ms > SHORT_INTERVAL_MAX_MS)
		check->interval_ms = SHORT_INTERVAL_MAX_MS;
	return (int64_t)interval_ms * TGW_US_PER_MS;
}

/* The server has ended the connection, since it was idle or too many, or since
 * it has crashed. */
static void on_ended(void *arg)
{
	struct crash_check *check = arg;

	check->probe = NULL;
	check->watching = false;
	start_timer(check, check->asked_us + interval_us(check));
}

/* The connection was begun after the time of those that it clears. */
static void on_accepted(struct crash_check *check)
{
	const struct crash_suspects *suspects = &check->edge->crash_suspects;

	clear_over(check, check->asked_us);
	if (!has_suspects(check)) {
		end_check(check, "accepted");
		return;
	}
	if (crash_suspects_is_due(suspects, check->run, edge_now_us())) {
		/* It broke off while the connection was made. */
		stop_watching(check);
		start_timer(check, edge_now_us());
		return;
	}
	check->watching = true;
	watch_on(check);
}

static void on_done(void *arg, enum connect_check_result result)
{
	struct crash_check *check = arg;
	const struct backend *backend = find_server(check);

	if (result != CONNECT_CHECK_ACCEPTED)
		check->probe = NULL;
	/* One that leaves meanwhile exits as planned. */
	if (backend && !crash_check_may_crash(backend)) {
		end_check(check, "unknown");
		return;
	}
	if (result == CONNECT_CHECK_REFUSED) {
		end_crashed(check, "refused");
		request_quarantine_tick(check->edge->quarantine);
		return;
	}
	if (result == CONNECT_CHECK_ACCEPTED && backend) {
		on_accepted(check);
		return;
	}
	clear_over(check, check->asked_us);
	if (backend && has_suspects(check))
		start_timer(check, check->asked_us + interval_us(check));
	else
		end_check(check, crash_check_result_name(result));
}

static struct crash_check *find_check(const struct edge *edge, uint64_t run)
{
	struct crash_check *check = edge->crash_checks;

	while (check && check->run != run)
		check = check->next;
	return check;
}

struct connect_check *crash_check_connect(
	const struct backend *backend, struct edge *edge,
	void (*done)(void *arg, enum connect_check_result result), void *arg)
{
	union socket_address address;

	if (!socket_address_parse(backend->entry.address, &address))
		return NULL;
	return connect_check_start(edge->loop, &address.any, TIMEOUT_MS, done,
				   arg);
}

static void ask_server(struct crash_check *check, const struct backend *backend)
{
	union socket_address address;

	if (!socket_address_parse(backend->entry.address, &address)) {
		end_check(check, "unknown");
		return;
	}
	stop_watching(check);
	uv_timer_stop(&check->timer);
	check->asked_us = edge_now_us();
	check->asked++;
	check->probe = connect_check_start_watch(check->edge->loop,
						 &address.any, TIMEOUT_MS,
						 on_done, on_ended, check);
}

static struct crash_check *obtain_check(struct edge *edge,
					const struct backend *backend)
{
	struct crash_check *check = find_check(edge, backend->run_hash);

	if (check)
		return check;
	check = xcalloc(1, sizeof(*check));
	check->edge = edge;
	short_name_copy(check->server, backend->entry.id);
	check->run = backend->run_hash;
	check->started_us = edge_now_us();
	check->interval_ms = FIRST_INTERVAL_MS;
	uv_timer_init(edge->loop, &check->timer);
	check->timer.data = check;
	check->next = edge->crash_checks;
	edge->crash_checks = check;
	return check;
}

/* What another server does at the address says nothing about this one. */
bool crash_check_may_crash(const struct backend *backend)
{
	return backend_is_in_service(backend, edge_now_us());
}

static struct crash_check *add_suspect(const struct call_attempt *attempt,
				       int64_t until_us, bool broke_off)
{
	const struct call *call = attempt->call;
	const struct crash_suspect suspect = {
		.identity = call->identity,
		.run = attempt->backend->run_hash,
		.suspects_parts = attempt->events.events < CALL_SOUND_EVENTS,
		.until_us = until_us,
		.broke_off = broke_off,
	};

	crash_suspects_add(&call->edge->crash_suspects, &suspect);
	return obtain_check(call->edge, attempt->backend);
}

void crash_check_request(const struct call_attempt *attempt)
{
	struct crash_check *check;

	if (!crash_check_may_crash(attempt->backend))
		return;
	check = add_suspect(attempt, edge_now_us(), true);
	/* Only a connection that is begun from now on clears it. */
	if (!check->probe || check->watching)
		ask_server(check, attempt->backend);
}

/* @return until when a server may run a request that the host gave up: it was
 * told the caller's deadline, or may take the time of the route */
static int64_t left_until_us(const struct call *call)
{
	int64_t now_us = edge_now_us();
	int64_t until_us = call->deadline_us;

	if (call->request.deadline_ms > 0)
		until_us = call->arrived_us +
			   call->request.deadline_ms * TGW_US_PER_MS;
	until_us += DEADLINE_MARGIN_US;
	if (until_us > now_us + MAX_WATCH_US)
		return now_us + MAX_WATCH_US;
	return until_us > now_us + MIN_WATCH_US ? until_us
						: now_us + MIN_WATCH_US;
}

void crash_check_abandoned(const struct call_attempt *attempt)
{
	struct crash_check *check;

	if (!crash_check_may_crash(attempt->backend))
		return;
	check = add_suspect(attempt, left_until_us(attempt->call), false);
	if (check->watching)
		watch_on(check);
	/* Callers that leave one after the other do not put it off. */
	else if (!check->probe && !uv_is_active((uv_handle_t *)&check->timer))
		start_timer(check,
			    edge_now_us() + FIRST_INTERVAL_MS * TGW_US_PER_MS);
}

void crash_check_on_replaced(struct edge *edge, const struct backend *backend)
{
	struct crash_check *check = find_check(edge, backend->run_hash);

	/* What left while the store was away was not seen to drain. */
	if (!check ||
	    backend_follower_store_is_unreachable(edge->backend_follower))
		return;
	if (backend->entry.draining ||
	    server_availability_is_leaving(&backend->availability,
					   edge_now_us()))
		end_check(check, "unknown");
	else
		end_crashed(check, "replaced");
}

void crash_check_on_removed(struct edge *edge, const struct backend *backend)
{
	struct crash_check *check = find_check(edge, backend->run_hash);

	if (!check)
		return;
	/* A server may take its entry away and serve on for a while. */
	if (check->watching || !crash_check_may_crash(backend))
		end_check(check, "unknown");
	else if (!check->probe)
		ask_server(check, backend);
}

void crash_check_on_crash_elsewhere(struct edge *edge, uint64_t run)
{
	struct crash_check *check = find_check(edge, run);
	const struct backend *backend = check ? find_server(check) : NULL;

	if (backend && crash_check_may_crash(backend))
		end_crashed(check, "crashed_elsewhere");
}

void crash_check_tick(struct edge *edge)
{
	const struct crash_suspects_recorder recorder = recorder_of(edge);

	crash_suspects_tick(&edge->crash_suspects, edge_now_us(), &recorder);
}

bool crash_check_keeps_host(const struct edge *edge)
{
	const struct crash_suspects *suspects = &edge->crash_suspects;

	for (size_t i = 0; i < suspects->count; i++)
		if (request_quarantine_is_suspected(
			    edge->quarantine, &suspects->items[i].identity))
			return true;
	return false;
}

void crash_check_cancel_all(struct edge *edge)
{
	struct crash_check *check = edge->crash_checks;

	edge->crash_checks = NULL;
	while (check) {
		struct crash_check *next = check->next;

		free_check(check);
		check = next;
	}
	crash_suspects_clear(&edge->crash_suspects);
}
