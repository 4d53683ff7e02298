#include "soak/soak_checks.h"

#include <stdlib.h>
#include <string.h>

#include "soak/soak_server.h"
#include "transport/server_conn.h"

/* A connection that closes this soon after a request was sent on it may have
 * been closed as idle before. */
#define CROSSING_US (200 * SOAK_US_PER_MS)
/* Between two requests that one host handles, the later one may still see the
 * older version of the configuration for this long. */
#define REGRESS_US (250 * SOAK_US_PER_MS)

static void check_drained(struct soak *soak, const struct soak_server *server,
			  const struct soak_request *request)
{
	int64_t limit_us = server->leaving_us + SOAK_DRAIN_MS * SOAK_US_PER_MS;

	if (server->leaving_us && soak_now_us() > limit_us &&
	    request->sent_us > limit_us && soak_host_in_touch(request->host))
		soak_broken(soak, "sent-to-leaving-server",
			    "%s sent r%u to %s, which leaves since %lld ms",
			    request->host->name, request->number, server->id,
			    (long long)((soak_now_us() - server->leaving_us) /
					SOAK_US_PER_MS));
}

static void check_unchanged(struct soak *soak,
			    const struct soak_request *request,
			    const struct server_request *received)
{
	const char *team = http_head_find(&received->head, "Tamarackgw-Tenant");
	struct buffer path = {0};
	struct buffer body = {0};

	soak_request_path(request, &path);
	soak_request_body(request, &body);
	if (strcmp(path.data, received->target.data) ||
	    body.size != received->body.size ||
	    (body.size && memcmp(body.data, received->body.data, body.size)) ||
	    strcmp(team ? team : "", request->team ? request->team : "") ||
	    http_head_find(&received->head, "Authorization"))
		soak_broken(soak, "unknown-request",
			    "r%u reached a server as %s for team %s with %zu "
			    "bytes",
			    request->number, received->target.data,
			    team ? team : "none", received->body.size);
	buffer_free(&path);
	buffer_free(&body);
}

struct soak_request *soak_checks_arrival(struct soak *soak,
					 const struct soak_server *server,
					 const struct server_request *received)
{
	const char *id =
		http_head_find(&received->head, "Tamarackgw-Request-Id");
	struct soak_request *request = soak_requests_find(&soak->requests, id);

	if (!request) {
		soak_broken(soak, "unknown-request", "nobody sent request %s",
			    id ? id : "without an id");
		return NULL;
	}
	request->arrivals++;
	request->server = server;
	check_unchanged(soak, request, received);
	check_drained(soak, server, request);
	return request;
}

static void spend(struct soak *soak, const struct soak_request *request,
		  int64_t tokens)
{
	if (!soak_request_is_stream(request) || !request->team ||
	    strcmp(request->team, SOAK_POOR_TEAM) != 0)
		return;
	soak->poor_spent_tokens += tokens;
	if (soak->poor_spent_tokens > soak->poor_paid_tokens)
		soak_broken(soak, "overspent",
			    "%lld of %lld tokens spent by r%u",
			    (long long)soak->poor_spent_tokens,
			    (long long)soak->poor_paid_tokens, request->number);
}

void soak_checks_run(struct soak *soak, struct soak_request *request)
{
	if (!request->runs++)
		spend(soak, request, SOAK_INPUT_TOKENS);
	if (request->runs > 1 && !soak_request_may_repeat(request))
		soak_broken(soak, "ran-twice", "r%u ran %u times",
			    request->number, request->runs);
	if (request->refused)
		soak_broken(soak, "ran-though-refused",
			    "r%u ran after its refusal", request->number);
}

/* @return whether the request was sent so long after the version was replaced,
 * or came, that it is in force */
static bool is_settled(const struct soak *soak,
		       const struct soak_request *request, long version)
{
	return version <= soak->version &&
	       request->sent_us > soak->version_us[version] +
					  SOAK_APPLY_MS * SOAK_US_PER_MS;
}

static void check_served_version(struct soak *soak,
				 const struct soak_request *request)
{
	struct soak_host *host = request->host;
	long version = request->version;

	if (version < soak->version && is_settled(soak, request, version + 1) &&
	    (soak_host_in_touch(host) ||
	     host->started_us > soak->version_us[version + 1] +
					SOAK_APPLY_MS * SOAK_US_PER_MS))
		soak_broken(soak, "old-configuration",
			    "%s served r%u by version %ld, which was replaced "
			    "%lld ms before",
			    host->name, request->number, version,
			    (long long)((request->sent_us -
					 soak->version_us[version + 1]) /
					SOAK_US_PER_MS));
	if (version < host->version_seen &&
	    request->sent_us > host->version_seen_us + REGRESS_US)
		soak_broken(soak, "reverted-configuration",
			    "%s served r%u by version %ld after %ld",
			    host->name, request->number, version,
			    host->version_seen);
	if (version > host->version_seen) {
		host->version_seen = version;
		host->version_seen_us = soak_now_us();
	}
}

static void check_denied_version(struct soak *soak,
				 const struct soak_request *request)
{
	struct soak_host *host = request->host;
	long version = request->version;

	if (version != soak->version)
		return;
	if (is_settled(soak, request, version) && soak_host_in_touch(host))
		soak_broken(soak, "old-configuration",
			    "%s denied r%u of version %ld %lld ms after it",
			    host->name, request->number, version,
			    (long long)((request->sent_us -
					 soak->version_us[version]) /
					SOAK_US_PER_MS));
	if (version <= host->version_seen &&
	    request->sent_us > host->version_seen_us + REGRESS_US)
		soak_broken(soak, "reverted-configuration",
			    "%s denied r%u of version %ld after it had it",
			    host->name, request->number, version);
}

static void check_success(struct soak *soak, struct soak_request *request,
			  const struct soak_response *response)
{
	struct buffer expected = {0};

	soak_request_answer(request, &expected);
	if (!response->signed_by_server || !response->id_matches ||
	    response->body.size != expected.size ||
	    memcmp(response->body.data, expected.data, expected.size))
		soak_broken(soak, "wrong-answer",
			    "r%u got a wrong success: %zu of %zu bytes, %s id, "
			    "%s",
			    request->number, response->body.size, expected.size,
			    response->id_matches ? "its own" : "another",
			    response->signed_by_server ? "signed" : "unsigned");
	buffer_free(&expected);
	soak->served++;
	if (request->version && request->host_start == request->host->starts)
		check_served_version(soak, request);
}

static void check_refusal(struct soak *soak, struct soak_request *request,
			  int status)
{
	soak->refused++;
	request->refused = true;
	if (request->runs)
		soak_broken(soak, "ran-though-refused",
			    "r%u got %d, and has run", request->number, status);
}

static void check_denial(struct soak *soak, const struct soak_request *request,
			 int status)
{
	bool out_of_budget = status == 402 && request->team &&
			     !strcmp(request->team, SOAK_POOR_TEAM);

	if (request->version && (status == 404 || status == 401)) {
		if (request->host_start == request->host->starts)
			check_denied_version(soak, request);
	} else if (!out_of_budget) {
		soak_broken(soak, "wrongly-denied", "%s answered r%u with %d",
			    request->host->name, request->number, status);
	}
}

static void check_status(struct soak *soak, struct soak_request *request,
			 const struct soak_response *response)
{
	int status = response->status;

	if (response->signed_by_server && status >= 300 &&
	    (status != 500 || !request->failed_by_server))
		soak_broken(soak, "wrong-answer",
			    "r%u got a signed %d, which no server sent",
			    request->number, status);
	if (status < 300)
		check_success(soak, request, response);
	else if (status == 429 || status == 503 || status == 408 ||
		 status == 421)
		check_refusal(soak, request, status);
	else if (status < 500)
		check_denial(soak, request, status);
	else
		soak->failed++;
}

/* The proxy accepts a connection before it knows whether the host does. */
static bool was_turned_away(const struct soak_request *request)
{
	const struct soak_host *host = request->host;

	return request->uses_link && !request->arrivals &&
	       (host->stop_us || !host->pid ||
		host->started_us > request->sent_us);
}

/* @return whether the caller's connection may have broken for a cause other
 * than the host */
static bool break_is_excused(const struct soak_request *request)
{
	const struct soak_host *host = request->host;
	int64_t now_us = soak_now_us();

	return request->may_break || was_turned_away(request) ||
	       host->killed_us >= request->sent_us ||
	       host->killed_start == request->host_start ||
	       (request->uses_link &&
		(host->caller_link_faulty ||
		 host->caller_link_us >= request->sent_us)) ||
	       now_us - request->sent_us >= SOAK_TIMEOUT_MS * SOAK_US_PER_MS ||
	       (!request->arrivals &&
		(now_us - request->sent_us < CROSSING_US ||
		 host->soak->stalled_us >= request->sent_us ||
		 host->paused_us >= request->sent_us ||
		 host->soak->servers_disturbed_us >= request->sent_us));
}

/* @return -1 for a time that has not come yet */
static long long ms_since(int64_t at_us)
{
	return at_us ? (long long)((soak_now_us() - at_us) / SOAK_US_PER_MS)
		     : -1;
}

void soak_checks_end(struct soak *soak, struct soak_request *request,
		     const struct soak_response *response)
{
	if (soak_host_in_touch(request->host))
		soak->in_touch++;
	if (response->complete) {
		check_status(soak, request, response);
		return;
	}
	soak->failed++;
	if (!break_is_excused(request))
		soak_broken(soak, "no-answer",
			    "%s closed the connection of r%u after %lld ms; "
			    "%u arrivals, status %d, %zu bytes; through the "
			    "link: %s, whose last fault was %lld ms ago; this "
			    "process last stood still %lld ms ago%s",
			    request->host->name, request->number,
			    (long long)((soak_now_us() - request->sent_us) /
					SOAK_US_PER_MS),
			    request->arrivals, response->status,
			    response->body.size,
			    request->uses_link ? "yes" : "no",
			    ms_since(request->host->caller_link_us),
			    ms_since(soak->stalled_us),
			    request->host->stop_us ? ", while it stops" : "");
}

void soak_checks_events(struct soak *soak, struct soak_request *request,
			const struct buffer *body)
{
	struct buffer event = {0};
	size_t at = 0;

	for (unsigned int i = 0; i < soak_request_event_count(request); i++) {
		buffer_clear(&event);
		soak_request_event(request, i, &event);
		if (body->size - at < event.size)
			break;
		at += event.size;
		if (i < request->events)
			continue;
		request->events = i + 1;
		spend(soak, request, SOAK_EVENT_TOKENS);
	}
	buffer_free(&event);
}
