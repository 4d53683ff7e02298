#include "daemon/caller_request.h"

#include <errno.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#define CHAT_PATH "/v1/chat/completions"
#define SERVICES_PATH "/services/"
#define TICKETS_PATH "/v1/tickets"
#define BEARER "Bearer "
#define MAX_KEY_BYTES 255

static const char *const urgency_names[TGW_URGENCY_COUNT] = {
	[TGW_URGENCY_IMMEDIATE] = "immediate",
	[TGW_URGENCY_HIGH] = "high",
	[TGW_URGENCY_NORMAL] = "normal",
	[TGW_URGENCY_BATCH] = "batch",
};

static bool is_path(const char *target, const char *path)
{
	size_t size = strlen(path);

	return strncmp(target, path, size) == 0 &&
	       (target[size] == '\0' || target[size] == '?');
}

bool caller_request_is_chat(const char *target)
{
	return is_path(target, CHAT_PATH);
}

bool caller_request_is_ticket(const char *target)
{
	return is_path(target, TICKETS_PATH);
}

bool caller_request_is_service(const char *target)
{
	return strncmp(target, SERVICES_PATH, strlen(SERVICES_PATH)) == 0;
}

const char *caller_request_bearer(struct server_exchange *exchange)
{
	const char *value = server_exchange_header(exchange, "Authorization");

	if (!value || strncasecmp(value, BEARER, strlen(BEARER)) != 0)
		return NULL;
	value += strlen(BEARER);
	return *value ? value : NULL;
}

/* Whether a path segment is "." or "..", also if a dot is written as %2e. */
static bool is_dot_segment(const char *segment, size_t size)
{
	size_t dots = 0;
	size_t i = 0;

	while (i < size) {
		if (segment[i] == '.')
			i++;
		else if (size - i >= 3 &&
			 strncasecmp(segment + i, "%2e", 3) == 0)
			i += 3;
		else
			return false;
		dots++;
	}
	return dots == 1 || dots == 2;
}

static bool is_normalized_path(const char *path)
{
	const char *end = path + strcspn(path, "?");

	while (path < end) {
		const char *segment = path + 1;
		size_t size = strcspn(segment, "/?");

		if (is_dot_segment(segment, size))
			return false;
		path = segment + size;
	}
	return true;
}

static bool is_printable(const char *text)
{
	for (; *text; text++)
		if (*text <= ' ' || *text > '~')
			return false;
	return true;
}

const char *caller_request_service_path(const char *target,
					char name[TGW_NAME_SIZE])
{
	const char *start = target + strlen(SERVICES_PATH);
	size_t size = strcspn(start, "/?");

	if (!caller_request_is_service(target) || size == 0 ||
	    size >= TGW_NAME_SIZE || start[size] != '/')
		return NULL;
	memcpy(name, start, size);
	name[size] = '\0';
	if (!is_printable(start) || strchr(start, '#') ||
	    !is_normalized_path(start + size))
		return NULL;
	return start + size;
}

void caller_request_copy_path(const char *target, char path[CALLER_PATH_SIZE])
{
	snprintf(path, CALLER_PATH_SIZE, "%.*s", (int)strcspn(target, "?"),
		 target);
}

static bool read_key(struct caller_request *request, const char *value,
		     struct problem *problem)
{
	request->idempotency_key = value;
	if (!value)
		return true;
	if (*value && strlen(value) <= MAX_KEY_BYTES && is_printable(value))
		return true;
	problem->kind = PROBLEM_INVALID;
	problem->detail = "Idempotency-Key must be 1 to 255 printable "
			  "characters without spaces";
	return false;
}

static const struct tgw_work_kind *find_work_kind(
	const struct tgw_template *template, const char *name)
{
	if (name)
		return tgw_template_find_work_kind(template, name);
	return template->work_kind_count ? &template->work_kinds[0] : NULL;
}

/* A caller can only lower the urgency of its kind of work: a more urgent value
 * is ignored. */
static bool read_urgency(struct caller_request *request, const char *value,
			 struct problem *problem)
{
	if (!value)
		return true;
	for (int u = 0; u < TGW_URGENCY_COUNT; u++) {
		if (strcasecmp(value, urgency_names[u]) != 0)
			continue;
		if (u > (int)request->urgency)
			request->urgency = (enum tgw_urgency)u;
		return true;
	}
	problem->kind = PROBLEM_INVALID;
	problem->detail = "X-Urgency must be immediate, high, normal or batch";
	return false;
}

static bool read_deadline(struct caller_request *request, const char *value,
			  const struct settings *settings,
			  struct problem *problem)
{
	char *end = NULL;
	long long requested_ms;

	if (value) {
		errno = 0;
		requested_ms = strtoll(value, &end, 10);
		if (end == value || *end || errno || requested_ms <= 0) {
			problem->kind = PROBLEM_INVALID;
			problem->detail = "X-Deadline-Ms must be a number of "
					  "milliseconds above 0";
			return false;
		}
		request->deadline_ms = requested_ms;
	}
	if (request->deadline_ms > settings->max_deadline_ms)
		request->deadline_ms = settings->max_deadline_ms;
	return true;
}

bool caller_request_read(struct caller_request *request,
			 struct server_exchange *exchange,
			 const struct tgw_config_snapshot *config,
			 const struct settings *settings,
			 struct problem *problem)
{
	const char *key = caller_request_bearer(exchange);
	const char *kind_name = server_exchange_header(exchange, "X-Work-Kind");
	const struct tgw_work_kind *kind;

	memset(request, 0, sizeof(*request));
	if (key && config)
		request->team =
			tgw_config_find_team_by_key(config, key, strlen(key));
	if (!request->team) {
		problem->kind = PROBLEM_UNAUTHORIZED;
		return false;
	}
	kind = find_work_kind(request->team->template, kind_name);
	if (kind_name && !kind) {
		problem->kind = PROBLEM_FORBIDDEN;
		problem->detail = "X-Work-Kind must be a kind of the team's "
				  "template";
		return false;
	}
	request->urgency = kind ? kind->urgency : TGW_URGENCY_NORMAL;
	request->deadline_ms = kind && kind->deadline_ms
				       ? kind->deadline_ms
				       : settings->default_deadline_ms;
	return read_key(request,
			server_exchange_header(exchange, "Idempotency-Key"),
			problem) &&
	       read_urgency(request,
			    server_exchange_header(exchange, "X-Urgency"),
			    problem) &&
	       read_deadline(request,
			     server_exchange_header(exchange, "X-Deadline-Ms"),
			     settings, problem);
}
