#include "daemon/backend_exchange.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "daemon/log.h"

struct backend_exchange {
	const struct backend_exchange_ops *ops;
	void *arg;
	struct http_sender *sender;
	struct executor *coordination;
	struct http_exchange *http; /* NULL after the end */
	char *server;		    /* SCHEME://HOST:PORT, for the log */
	enum http_outcome outcome;
};

static void on_started(void *arg, int32_t status, const char *content_type)
{
	struct backend_exchange *exchange = arg;

	exchange->ops->started(exchange->arg, status, content_type);
}

static bool on_data(void *arg, const void *data, size_t size)
{
	struct backend_exchange *exchange = arg;

	switch (exchange->ops->data(exchange->arg, exchange, data, size)) {
	case BACKEND_PAUSE:
		return false;
	case BACKEND_STOP:
		backend_exchange_cancel(exchange);
		return true;
	default:
		return true;
	}
}

static void run_ended(void *arg)
{
	struct backend_exchange *exchange = arg;

	exchange->ops->ended(exchange->arg, exchange->outcome);
	free(exchange->server);
	free(exchange);
}

static void on_ended(void *arg, enum http_outcome outcome, const char *message)
{
	struct backend_exchange *exchange = arg;

	if (outcome == HTTP_BROKEN)
		log_line(LOG_BACKEND, LOG_INFO, NULL,
			 "An exchange with %s broke: %s.", exchange->server,
			 message);
	if (exchange->ops->closing)
		exchange->ops->closing(exchange->arg);
	exchange->http = NULL;
	exchange->outcome = outcome;
	executor_post(exchange->coordination, run_ended, exchange);
}

/* Paths may have what callers sent. */
static char *server_of(const char *url)
{
	const char *host = strstr(url, "://");
	size_t before_host = host ? (size_t)(host - url) + strlen("://") : 0;
	size_t size = before_host + strcspn(url + before_host, "/?#");

	return xasprintf("%.*s", (int)size, url);
}

struct backend_exchange *backend_exchange_start(
	struct http_sender *sender, struct executor *coordination,
	const struct http_request *request,
	const struct backend_exchange_ops *ops, void *arg)
{
	struct backend_exchange *exchange = xcalloc(1, sizeof(*exchange));
	struct http_handler handler = {.started = on_started,
				       .data = on_data,
				       .ended = on_ended,
				       .arg = exchange};

	exchange->ops = ops;
	exchange->arg = arg;
	exchange->sender = sender;
	exchange->coordination = coordination;
	exchange->server = server_of(request->url);
	exchange->http = http_start(sender, request, handler);
	return exchange;
}

void backend_exchange_cancel(struct backend_exchange *exchange)
{
	if (exchange->http)
		http_cancel(exchange->sender, exchange->http);
}

void backend_exchange_resume(struct backend_exchange *exchange)
{
	if (exchange->http)
		http_resume(exchange->sender, exchange->http);
}
