#include "daemon/pages.h"

#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "base/xalloc.h"
#include "daemon/log.h"
#include "daemon/metrics_page.h"
#include "daemon/status_page.h"
#include "state/operator_keys.h"
#include "transport/rcu_reader.h"
#include "transport/secret_file.h"

#define HTTP_OK 200
#define HTTP_BAD_REQUEST 400
#define HTTP_FORBIDDEN 403
#define HTTP_UNAVAILABLE 503

#define STUCK_AFTER_US (5 * TGW_US_PER_S)
/* Maximum time after the host's start for which it does not report ready
 * because no other host is alive. */
#define MAX_PEER_WAIT_US (3 * TGW_US_PER_S)

struct pages {
	struct runtime *runtime;
	const struct etcd_store *etcd;
	const struct zmq_channel *channel;
	const struct gateway *gateway;
	struct operator_keys *operators; /* NULL: no operators' pages */
	int64_t started_us;
	_Atomic int64_t alive_us; /* time of the last pages_note_alive() */
};

static void write_metrics(const struct pages *pages, struct buffer *text)
{
	metrics_page_write(pages->runtime, pages->etcd, pages->channel, text);
	if (pages->gateway)
		gateway_write_metrics(pages->gateway, text);
}

static bool is_alive(const struct pages *pages)
{
	int64_t now_us = tgw_clock_monotonic_us(pages->runtime->clock);

	return now_us - pages->alive_us < STUCK_AFTER_US;
}

static int32_t serve_health(const struct pages *pages, struct buffer *answer)
{
	if (!is_alive(pages)) {
		buffer_add_text(answer, "stuck\n");
		return HTTP_UNAVAILABLE;
	}
	buffer_add_text(answer, "ok\n");
	return HTTP_OK;
}

/* Must be called within an RCU read-side section. */
static bool has_alive_peer(const struct pages *pages)
{
	const struct tgw_host_view *view =
		rcu_dereference(pages->runtime->hosts);

	for (size_t i = 0; i < view->host_count; i++)
		if (i != view->self_index &&
		    view->hosts[i].state == TGW_HOST_ALIVE)
			return true;
	return false;
}

/* Whether another host is alive or MAX_PEER_WAIT_US has passed. The wait lets
 * the host receive the state of the other hosts, such as the quarantined
 * requests, before it serves its first request. */
static bool has_joined(const struct pages *pages)
{
	int64_t now_us = tgw_clock_monotonic_us(pages->runtime->clock);
	bool joined;

	rcu_reader_enter();
	joined = has_alive_peer(pages);
	rcu_reader_exit();
	return joined || now_us - pages->started_us > MAX_PEER_WAIT_US;
}

static bool has_configuration(const struct pages *pages)
{
	const struct tgw_config_snapshot *config;
	bool has_one;

	rcu_reader_enter();
	config = rcu_dereference(pages->runtime->config);
	has_one = config->generation > 0;
	rcu_reader_exit();
	return has_one;
}

static int32_t serve_readiness(const struct pages *pages, struct buffer *answer)
{
	const char *reason = NULL;

	if (atomic_load(&pages->runtime->stopping))
		reason = "stopping";
	else if (!is_alive(pages))
		reason = "stuck";
	else if (!has_configuration(pages))
		reason = "no configuration yet";
	else if (!has_joined(pages))
		reason = "no other host heard yet";
	if (reason) {
		buffer_add_format(answer, "%s\n", reason);
		return HTTP_UNAVAILABLE;
	}
	buffer_add_text(answer, "ready\n");
	return HTTP_OK;
}

static int32_t serve_log_level(const char *body, size_t size,
			       struct buffer *answer)
{
	enum log_level level;
	char name[TGW_NAME_SIZE];

	if (size >= sizeof(name))
		size = sizeof(name) - 1;
	memcpy(name, body, size);
	name[size] = '\0';
	name[strcspn(name, "\r\n ")] = '\0';
	if (!log_level_parse(name, &level)) {
		buffer_add_text(answer, "give error, warning, info or debug\n");
		return HTTP_BAD_REQUEST;
	}
	log_set_level(level);
	log_line(LOG_DAEMON, LOG_INFO, NULL, "The log level is %s.", name);
	buffer_add_text(answer, "ok\n");
	return HTTP_OK;
}

static int32_t serve_status(const struct pages *pages, struct buffer *answer,
			    const char **type)
{
	*type = "application/json";
	status_page_write(pages->runtime, answer);
	return HTTP_OK;
}

static bool is_operator(const struct pages *pages, const char *authorization,
			enum operator_role role, struct buffer *answer)
{
	if (!pages->operators) {
		buffer_add_text(answer,
				"operators' pages are off; name a file in "
				"[security] operator_keys_file\n");
		return false;
	}
	if (operator_keys_check(pages->operators, authorization, role))
		return true;
	buffer_add_format(answer, "needs the key of an operator as %s\n",
			  operator_role_name(role));
	return false;
}

static int32_t serve_operator(const struct pages *pages, const char *method,
			      const char *path, const char *authorization,
			      const char *body, size_t size,
			      struct buffer *answer, const char **type)
{
	bool is_status = !strcmp(path, "/status") && !strcmp(method, "GET");
	bool is_log_level = !strcmp(path, "/log-level") &&
			    !strcmp(method, "POST");
	enum operator_role role = is_status ? OPERATOR_VIEWER
					    : OPERATOR_OPERATOR;

	if (!is_status && !is_log_level)
		return 0;
	if (!is_operator(pages, authorization, role, answer))
		return HTTP_FORBIDDEN;
	if (is_status)
		return serve_status(pages, answer, type);
	return serve_log_level(body, size, answer);
}

static int32_t serve(void *arg, const char *method, const char *path,
		     const char *authorization, const char *body,
		     size_t body_size, struct buffer *answer,
		     const char **content_type)
{
	struct pages *pages = arg;

	*content_type = "text/plain";
	if (!strcmp(path, "/healthz"))
		return serve_health(pages, answer);
	if (!strcmp(path, "/readyz"))
		return serve_readiness(pages, answer);
	if (!strcmp(path, "/metrics")) {
		write_metrics(pages, answer);
		return HTTP_OK;
	}
	return serve_operator(pages, method, path, authorization, body,
			      body_size, answer, content_type);
}

static enum tgw_status read_operators(struct pages *pages,
				      struct tgw_error *error)
{
	const char *path = pages->runtime->settings->operator_keys_file;
	struct buffer content = {0};
	enum tgw_status status;

	if (!*path)
		return TGW_OK;
	status = secret_file_read(path, &content, error);
	if (status == TGW_OK) {
		pages->operators = operator_keys_parse(path, content.data,
						       content.size, error);
		if (!pages->operators)
			status = error->status;
	}
	buffer_free(&content);
	return status;
}

struct pages *pages_new(struct runtime *runtime, const struct etcd_store *etcd,
			const struct zmq_channel *channel,
			struct tgw_error *error)
{
	struct pages *pages = xcalloc(1, sizeof(*pages));

	pages->runtime = runtime;
	pages->etcd = etcd;
	pages->channel = channel;
	pages_note_alive(pages);
	pages->started_us = pages->alive_us;
	if (read_operators(pages, error) != TGW_OK) {
		pages_free(pages);
		return NULL;
	}
	return pages;
}

void pages_free(struct pages *pages)
{
	if (!pages)
		return;
	operator_keys_free(pages->operators);
	free(pages);
}

void pages_set_gateway(struct pages *pages, const struct gateway *gateway)
{
	pages->gateway = gateway;
}

void pages_note_alive(struct pages *pages)
{
	pages->alive_us = tgw_clock_monotonic_us(pages->runtime->clock);
}

struct gateway_pages pages_handler(struct pages *pages)
{
	return (struct gateway_pages){.serve = serve, .arg = pages};
}
