#include "ctl/ctl_session.h"

#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <time.h>

#include "base/xalloc.h"
#include "ctl/ctl_authority.h"
#include "protocol/etcd_store.h"
#include "tamarackgw/clock.h"
#include "transport/event_loop.h"
#include "transport/loop_client.h"
#include "transport/system_clock.h"

#define STORE_TIMEOUT_US (5 * TGW_US_PER_S)
#define HOST_TIMEOUT_US (5 * TGW_US_PER_S)
#define MAX_RESPONSE_BYTES (64 * 1024 * 1024)

struct ctl_session {
	struct event_loop *loop;
	struct loop_client *client;
	struct etcd_store *store; /* NULL when no store was named */
};

/* State and result of one store call. */
struct store_call {
	bool done;
	enum tgw_status status;
	char message[TGW_ERROR_MESSAGE_SIZE];
	struct buffer *value; /* receives the values; may be NULL */
	int64_t version;      /* of the last entry */
	/* Called for each entry; may be NULL. */
	void (*each)(void *arg, const char *key, const void *value, size_t size,
		     int64_t version);
	void *arg;
};

struct host_call {
	struct ctl_session *session;
	bool done;
	enum http_outcome outcome;
	char message[TGW_ERROR_MESSAGE_SIZE];
	int32_t http_status;
	bool too_large;
	struct buffer *response;
};

struct ctl_session *ctl_session_new(const char *store_url)
{
	struct ctl_session *session = xcalloc(1, sizeof(*session));
	struct loop_client_settings settings = loop_client_settings_default();

	session->loop = event_loop_new();
	session->client = loop_client_new(session->loop, &settings);
	if (store_url)
		session->store =
			etcd_store_new(loop_client_sender(session->client),
				       event_loop_executor(session->loop),
				       store_url, STORE_TIMEOUT_US);
	return session;
}

void ctl_session_free(struct ctl_session *session)
{
	if (!session)
		return;
	loop_client_free(session->client);
	event_loop_drain(session->loop);
	if (session->store)
		etcd_store_free(session->store);
	event_loop_free(session->loop);
	free(session);
}

void ctl_session_sleep_ms(int64_t duration_ms)
{
	struct timespec duration = {
		.tv_sec = duration_ms / 1000,
		.tv_nsec = (duration_ms % 1000) * 1000000,
	};

	nanosleep(&duration, NULL);
}

int64_t ctl_session_wall_us(void)
{
	return tgw_clock_wall_us(system_clock());
}

static struct tgw_store *require_store(struct ctl *ctl, struct tgw_error *error)
{
	if (ctl->session->store)
		return etcd_store_store(ctl->session->store);
	tgw_error_set(error, TGW_INVALID,
		      "no store is named; give --store URL or set TGW_STORE");
	return NULL;
}

static void on_result(void *arg, const struct tgw_store_result *result)
{
	struct store_call *call = arg;

	call->done = true;
	call->status = result->status;
	snprintf(call->message, sizeof(call->message), "%s", result->message);
	for (size_t i = 0; i < result->entry_count; i++) {
		const struct tgw_store_entry *entry = &result->entries[i];

		call->version = entry->version;
		if (call->value && entry->value)
			buffer_add(call->value, entry->value,
				   entry->value_size);
		if (call->each)
			call->each(call->arg, entry->key, entry->value,
				   entry->value_size, entry->version);
	}
}

static struct tgw_store_callback callback_for(struct store_call *call)
{
	return (struct tgw_store_callback){.done = on_result, .arg = call};
}

/* Returns the status of a completed call and sets the error if it failed. */
static enum tgw_status check_store_call(const struct store_call *call,
					const char *operation, const char *key,
					struct tgw_error *error)
{
	if (call->status == TGW_OK)
		return TGW_OK;
	return tgw_error_set(error, call->status, "%s %s: %s (%s)", operation,
			     key, tgw_status_name(call->status), call->message);
}

enum tgw_status ctl_get(struct ctl *ctl, const char *key, struct buffer *value,
			int64_t *version, struct tgw_error *error)
{
	struct tgw_store *store = require_store(ctl, error);
	struct store_call call = {.value = value};

	buffer_clear(value);
	*version = TGW_STORE_ABSENT;
	if (!store)
		return error->status;
	tgw_store_get(store, key, callback_for(&call));
	event_loop_run_until(ctl->session->loop, &call.done);
	*version = call.version;
	return check_store_call(&call, "reading", key, error);
}

enum tgw_status ctl_list(struct ctl *ctl, const char *prefix,
			 void (*each)(void *arg, const char *key,
				      const void *value, size_t size,
				      int64_t version),
			 void *arg, struct tgw_error *error)
{
	struct tgw_store *store = require_store(ctl, error);
	struct store_call call = {.each = each, .arg = arg};

	if (!store)
		return error->status;
	tgw_store_list(store, prefix, callback_for(&call));
	event_loop_run_until(ctl->session->loop, &call.done);
	return check_store_call(&call, "reading", prefix, error);
}

enum tgw_status ctl_swap(struct ctl *ctl, const char *key,
			 int64_t expected_version, const void *value,
			 size_t value_size, struct tgw_error *error)
{
	struct tgw_store *store = require_store(ctl, error);
	struct store_call call = {0};

	if (!store)
		return error->status;
	if (ctl_authority_check(ctl, OPERATOR_OPERATOR, error) != TGW_OK)
		return error->status;
	tgw_store_swap(store, key, expected_version, value, value_size,
		       callback_for(&call));
	event_loop_run_until(ctl->session->loop, &call.done);
	return check_store_call(&call, "writing", key, error);
}

static void on_started(void *arg, int32_t status, const char *content_type)
{
	struct host_call *call = arg;

	call->http_status = status;
}

static bool on_data(void *arg, const void *data, size_t size)
{
	struct host_call *call = arg;

	if (call->response->size + size > MAX_RESPONSE_BYTES)
		call->too_large = true;
	if (!call->too_large)
		buffer_add(call->response, data, size);
	return true;
}

static void set_done(void *arg)
{
	struct host_call *call = arg;

	call->done = true;
}

static void on_ended(void *arg, enum http_outcome outcome, const char *message)
{
	struct host_call *call = arg;

	call->outcome = outcome;
	snprintf(call->message, sizeof(call->message), "%s",
		 message ? message : "");
	executor_post(event_loop_executor(call->session->loop), set_done, call);
}

enum tgw_status ctl_host_request(struct ctl *ctl, const char *host_url,
				 const char *method, const char *path,
				 const char *body, struct buffer *response,
				 int32_t *http_status, struct tgw_error *error)
{
	struct host_call call = {.session = ctl->session, .response = response};
	struct http_request request = {
		.method = method,
		.body = body,
		.body_size = body ? strlen(body) : 0,
		.total_timeout_us = HOST_TIMEOUT_US,
	};
	struct http_handler handler = {
		.started = on_started,
		.data = on_data,
		.ended = on_ended,
		.arg = &call,
	};
	char *url = xasprintf("%s%s", host_url, path);
	char *bearer = NULL;

	buffer_clear(response);
	request.url = url;
	if (ctl->operator_key) {
		bearer = xasprintf("Bearer %s", ctl->operator_key);
		request.headers[0].name = "Authorization";
		request.headers[0].value = bearer;
		request.header_count = 1;
	}
	http_start(loop_client_sender(ctl->session->client), &request, handler);
	event_loop_run_until(ctl->session->loop, &call.done);
	free(bearer);
	free(url);
	*http_status = call.http_status;
	if (call.too_large) {
		buffer_clear(response);
		return tgw_error_set(error, TGW_TOO_LARGE,
				     "%s answers with more than %d MiB; ask "
				     "for less",
				     host_url, MAX_RESPONSE_BYTES >> 20);
	}
	if (call.outcome == HTTP_COMPLETE)
		return TGW_OK;
	return tgw_error_set(error, TGW_UNAVAILABLE, "%s does not answer: %s",
			     host_url, call.message);
}
