#include "daemon/backend_fetch.h"

#include <stdio.h>
#include <stdlib.h>

#include "base/xalloc.h"

struct backend_fetch {
	struct backend_exchange *exchange;
	size_t max_bytes;
	bool too_large;
	int32_t status;
	char content_type[FETCH_CONTENT_TYPE_SIZE];
	struct buffer body;
	void (*done)(void *arg, const struct backend_fetch_result *result);
	void *arg;
};

static void on_started(void *arg, int32_t status, const char *content_type)
{
	struct backend_fetch *fetch = arg;

	fetch->status = status;
	snprintf(fetch->content_type, sizeof(fetch->content_type), "%s",
		 content_type);
}

static enum backend_data_result on_data(void *arg,
					struct backend_exchange *exchange,
					const void *data, size_t size)
{
	struct backend_fetch *fetch = arg;

	if (fetch->too_large)
		return BACKEND_STOP;
	if (fetch->body.size + size > fetch->max_bytes) {
		fetch->too_large = true;
		buffer_free(&fetch->body);
		return BACKEND_STOP;
	}
	buffer_add(&fetch->body, data, size);
	return BACKEND_CONSUMED;
}

static void on_ended(void *arg, enum http_outcome outcome)
{
	struct backend_fetch *fetch = arg;
	struct backend_fetch_result result = {
		.outcome = outcome,
		.too_large = fetch->too_large,
		.status = fetch->status,
		.content_type = fetch->content_type,
		.body = fetch->body.data ? fetch->body.data : "",
		.body_size = fetch->body.size,
	};

	/* If the limit was exceeded by the last bytes, the exchange may have
	 * completed before it was cancelled. */
	if (fetch->too_large)
		result.outcome = HTTP_CANCELLED;
	fetch->done(fetch->arg, &result);
	buffer_free(&fetch->body);
	free(fetch);
}

static const struct backend_exchange_ops fetch_ops = {
	.started = on_started,
	.data = on_data,
	.ended = on_ended,
};

struct backend_fetch *backend_fetch_start(
	struct http_sender *sender, struct executor *coordination,
	const struct http_request *request, size_t max_bytes,
	void (*done)(void *arg, const struct backend_fetch_result *result),
	void *arg)
{
	struct backend_fetch *fetch = xcalloc(1, sizeof(*fetch));

	fetch->max_bytes = max_bytes;
	fetch->done = done;
	fetch->arg = arg;
	fetch->exchange = backend_exchange_start(sender, coordination, request,
						 &fetch_ops, fetch);
	return fetch;
}

void backend_fetch_cancel(struct backend_fetch *fetch)
{
	backend_exchange_cancel(fetch->exchange);
}
