#include "edge/crash_check.h"

#include <stdlib.h>

#include "base/text.h"
#include "base/xalloc.h"
#include "transport/connect_check.h"
#include "transport/socket_address.h"

#define TIMEOUT_MS 500

/* A request that broke off at the server. */
struct broken_request {
	struct request_identity identity;
	bool suspects_parts; /* see request_quarantine_on_crash() */
};

struct crash_check {
	struct edge *edge;
	char server[TGW_NAME_SIZE];
	uint64_t run_hash;
	struct connect_check *connecting;
	struct broken_request *requests;
	size_t request_count;
	struct crash_check *next;
};

static void free_check(struct crash_check *check)
{
	free(check->requests);
	free(check);
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

static void record_crash(struct crash_check *check)
{
	struct edge *edge = check->edge;
	struct backend *backend =
		backend_table_find(&edge->backends, check->server);

	if (backend && backend->run_hash == check->run_hash)
		backend_record_outcome(backend, BACKEND_UNREACHABLE,
				       edge_now_us());
	for (size_t i = 0; i < check->request_count; i++)
		request_quarantine_on_crash(edge->quarantine,
					    &check->requests[i].identity,
					    check->run_hash,
					    check->requests[i].suspects_parts);
	request_quarantine_tick(edge->quarantine);
}

static void on_done(void *arg, enum connect_check_result result)
{
	struct crash_check *check = arg;

	edge_log_line(&check->edge->log, EDGE_LOG_NOTICE, "server", "checked",
		      "server=%s result=%s broken_requests=%zu", check->server,
		      crash_check_result_name(result), check->request_count);
	if (result == CONNECT_CHECK_REFUSED)
		record_crash(check);
	unlink_check(check);
	free_check(check);
}

static struct crash_check *find_check(const struct edge *edge,
				      const struct backend *backend)
{
	struct crash_check *check = edge->crash_checks;

	while (check && check->run_hash != backend->run_hash)
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

static struct crash_check *start_check(struct edge *edge,
				       const struct backend *backend)
{
	struct crash_check *check = xcalloc(1, sizeof(*check));

	check->connecting = crash_check_connect(backend, edge, on_done, check);
	if (!check->connecting) {
		free(check);
		return NULL;
	}
	check->edge = edge;
	text_copy(check->server, sizeof(check->server), backend->entry.id);
	check->run_hash = backend->run_hash;
	check->next = edge->crash_checks;
	edge->crash_checks = check;
	return check;
}

/* What another server does at the address says nothing about this one. */
bool crash_check_may_crash(const struct backend *backend)
{
	return backend_accepts_requests(backend, edge_now_us());
}

void crash_check_request(const struct call_attempt *attempt)
{
	const struct call *call = attempt->call;
	struct crash_check *check;
	struct broken_request *request;

	if (!crash_check_may_crash(attempt->backend))
		return;
	check = find_check(call->edge, attempt->backend);
	if (!check)
		check = start_check(call->edge, attempt->backend);
	if (!check)
		return;
	check->requests =
		xrealloc(check->requests, (check->request_count + 1) *
						  sizeof(check->requests[0]));
	request = &check->requests[check->request_count++];
	request->identity = call->identity;
	request->suspects_parts = attempt->events.events < CALL_SOUND_EVENTS;
}

void crash_check_cancel_all(struct edge *edge)
{
	struct crash_check *check = edge->crash_checks;

	edge->crash_checks = NULL;
	while (check) {
		struct crash_check *next = check->next;

		connect_check_cancel(check->connecting);
		free_check(check);
		check = next;
	}
}
