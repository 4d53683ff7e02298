#include "daemon/gateway.h"

#include <assert.h>
#include <errno.h>
#include <inttypes.h>
#include <sodium.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <urcu.h>

#include "base/xalloc.h"
#include "daemon/backend_monitor.h"
#include "daemon/call.h"
#include "daemon/caller_request.h"
#include "daemon/log.h"
#include "daemon/model_call.h"
#include "daemon/service_call.h"
#include "daemon/ticket_request.h"
#include "transport/http_server.h"
#include "transport/rcu_reader.h"
#include "transport/server_conn.h"
#include "transport/server_conn_limits.h"

#define TICK_US (250 * TGW_US_PER_MS)
#define STOPPING_RETRY_US (1 * TGW_US_PER_S)
#define LIMIT_RETRY_US (1 * TGW_US_PER_S)
#define SERVICE_UNAVAILABLE 503
/* The host's own work keeps this part of the descriptors. */
#define OWN_DIVISOR 8
/* A request takes its caller's connection, one to a server, and one to the
 * store or one that is kept idle after it. */
#define DESCRIPTORS_PER_REQUEST 3

struct gateway {
	struct runtime *runtime;
	struct gateway_core *core;
	struct backend_monitor *monitor;
	struct gateway_pages pages;
	struct http_server *server;
	atomic_bool tick_pending;
	atomic_bool refusing; /* new API requests are refused */
};

/* An admission that is posted to the coordination thread. */
struct admission {
	struct call *call;
	struct caller *caller;
};

/* ---- refusals ---- */

/* Adds a new request id to a response that belongs to no call. */
static void add_request_id(struct answer *answer, char id[CALL_ID_SIZE])
{
	struct tgw_request_key key;

	tgw_request_key_derive(&key, "", NULL, 0);
	sodium_bin2hex(id, CALL_ID_SIZE, key.bytes, sizeof(key.bytes));
	answer_add_header(answer, "X-Request-Id", id);
}

static void refuse(struct gateway *gateway, struct server_exchange *exchange,
		   struct problem problem)
{
	struct answer *answer = server_exchange_answer(exchange);
	char id[CALL_ID_SIZE];

	add_request_id(answer, id);
	problem.request_id = id;
	log_line(LOG_CALLER, LOG_INFO, id, "refused: %s%s%s",
		 problem_name(problem.kind), problem.detail ? ": " : "",
		 problem.detail ? problem.detail : "");
	call_answer_problem(gateway->core, answer, &problem);
}

static void refuse_plain(struct gateway *gateway,
			 struct server_exchange *exchange,
			 enum problem_kind kind, const char *detail)
{
	refuse(gateway, exchange,
	       (struct problem){.kind = kind,
				.not_run = NOT_RUN_TRUE,
				.detail = detail});
}

static void refuse_retry_after(struct gateway *gateway,
			       struct server_exchange *exchange,
			       enum problem_kind kind, int64_t retry_after_us)
{
	refuse(gateway, exchange,
	       (struct problem){.kind = kind,
				.not_run = NOT_RUN_TRUE,
				.retry_after_us = retry_after_us});
}

/* ---- request heads ---- */

static bool is_api(const char *target)
{
	return caller_request_is_chat(target) ||
	       caller_request_is_ticket(target) ||
	       caller_request_is_service(target);
}

/* Until it has read its first configuration, a host knows no team. */
static bool has_configuration(struct gateway *gateway)
{
	const struct tgw_config_snapshot *config;
	bool has_one;

	rcu_reader_enter();
	config = rcu_dereference(gateway->runtime->config);
	has_one = config && config->generation > 0;
	rcu_reader_exit();
	return has_one;
}

static bool is_authorized(struct gateway *gateway,
			  struct server_exchange *exchange)
{
	const char *key = caller_request_bearer(exchange);
	const struct tgw_config_snapshot *config;
	bool authorized;

	if (!key)
		return false;
	rcu_reader_enter();
	config = rcu_dereference(gateway->runtime->config);
	authorized = config &&
		     tgw_config_find_team_by_key(config, key, strlen(key));
	rcu_reader_exit();
	return authorized;
}

static bool on_head(void *arg, struct server_exchange *exchange)
{
	struct gateway *gateway = arg;
	struct runtime *runtime = gateway->runtime;
	const char *target = server_exchange_target(exchange);

	if (!is_api(target))
		return true;
	if (atomic_load(&gateway->refusing)) {
		refuse_retry_after(gateway, exchange, PROBLEM_STOPPING,
				   STOPPING_RETRY_US);
		return false;
	}
	if (!has_configuration(gateway)) {
		refuse_retry_after(gateway, exchange, PROBLEM_OVERLOADED,
				   LIMIT_RETRY_US);
		return false;
	}
	if (!is_authorized(gateway, exchange)) {
		refuse_plain(gateway, exchange, PROBLEM_UNAUTHORIZED, NULL);
		return false;
	}
	if (!caller_request_is_service(target) &&
	    strcmp(server_exchange_method(exchange), "POST") != 0) {
		refuse_plain(gateway, exchange, PROBLEM_METHOD_NOT_ALLOWED,
			     "use POST");
		return false;
	}
	if (atomic_load(&runtime->open_requests) >=
	    runtime->settings->max_open_requests) {
		refuse_retry_after(gateway, exchange, PROBLEM_OVERLOADED,
				   LIMIT_RETRY_US);
		return false;
	}
	return true;
}

/* ---- requests ---- */

static void run_admission(void *arg)
{
	struct admission *admission = arg;

	call_admit(admission->call, admission->caller);
	free(admission);
}

static void post_admission(struct gateway *gateway,
			   struct server_exchange *exchange, struct call *call)
{
	struct admission *admission = xcalloc(1, sizeof(*admission));
	struct caller *caller = xcalloc(1, sizeof(*caller));

	caller->core = gateway->core;
	caller->answer = answer_ref(server_exchange_answer(exchange));
	admission->call = call;
	admission->caller = caller;
	server_exchange_set_context(exchange, caller);
	atomic_fetch_add(&gateway->runtime->open_requests, 1);
	executor_post(gateway->runtime->coordination, run_admission, admission);
}

static struct call *make_chat_call(struct gateway *gateway,
				   struct server_exchange *exchange,
				   const struct caller_request *request)
{
	struct tgw_error error = {0};
	struct chat_request chat;
	struct call *call = NULL;
	size_t size;
	const char *body = server_exchange_body(exchange, &size);
	struct model_call_input input = {
		.team = request->team,
		.idempotency_key = request->idempotency_key,
		.urgency = request->urgency,
		.deadline_ms = request->deadline_ms,
		.chat = &chat,
		.body = body,
		.body_size = size,
	};

	if (chat_request_parse(&chat, body, size, &error) != TGW_OK) {
		refuse_plain(gateway, exchange, PROBLEM_INVALID, error.message);
		return NULL;
	}
	if (tgw_name_list_has(&request->team->template->models, chat.model))
		call = model_call_new(gateway->core, &input);
	else
		refuse_plain(gateway, exchange, PROBLEM_FORBIDDEN,
			     "the team's template does not permit the model");
	chat_request_clear(&chat);
	return call;
}

static struct call *make_service_call(struct gateway *gateway,
				      struct server_exchange *exchange,
				      const struct caller_request *request,
				      const struct tgw_config_snapshot *config)
{
	struct service_call_input input = {
		.team = request->team,
		.idempotency_key = request->idempotency_key,
		.urgency = request->urgency,
		.deadline_ms = request->deadline_ms,
		.method = server_exchange_method(exchange),
		.content_type =
			server_exchange_header(exchange, "Content-Type"),
		.accept = server_exchange_header(exchange, "Accept"),
	};
	char name[TGW_NAME_SIZE];

	input.body = server_exchange_body(exchange, &input.body_size);
	input.path = caller_request_service_path(
		server_exchange_target(exchange), name);
	if (!input.path) {
		refuse_plain(gateway, exchange, PROBLEM_INVALID,
			     "the path must be /services/NAME/PATH, without "
			     "\".\" and \"..\" parts");
		return NULL;
	}
	if (strlen(input.method) >= TGW_METHOD_SIZE) {
		refuse_plain(gateway, exchange, PROBLEM_METHOD_NOT_ALLOWED,
			     NULL);
		return NULL;
	}
	input.service = tgw_config_find_service(config, name);
	if (!input.service) {
		refuse_plain(gateway, exchange, PROBLEM_NOT_FOUND,
			     "no service has this name");
		return NULL;
	}
	if (!tgw_name_list_has(&request->team->template->services, name)) {
		refuse_plain(gateway, exchange, PROBLEM_FORBIDDEN,
			     "the team's template does not permit the service");
		return NULL;
	}
	return service_call_new(gateway->core, &input);
}

static struct call *make_call(struct gateway *gateway,
			      struct server_exchange *exchange)
{
	const struct tgw_config_snapshot *config =
		rcu_dereference(gateway->runtime->config);
	struct caller_request request;
	struct problem problem = {.not_run = NOT_RUN_TRUE};
	char id[CALL_ID_SIZE];

	if (!caller_request_read(&request, exchange, config,
				 gateway->runtime->settings, &problem)) {
		refuse(gateway, exchange, problem);
		return NULL;
	}
	if (caller_request_is_ticket(server_exchange_target(exchange))) {
		add_request_id(server_exchange_answer(exchange), id);
		ticket_request_post(gateway->core, request.team->name,
				    server_exchange_answer(exchange));
		return NULL;
	}
	if (caller_request_is_chat(server_exchange_target(exchange)))
		return make_chat_call(gateway, exchange, &request);
	return make_service_call(gateway, exchange, &request, config);
}

static void serve_page(struct gateway *gateway,
		       struct server_exchange *exchange)
{
	struct buffer text = {0};
	const char *content_type = "text/plain";
	char path[CALLER_PATH_SIZE];
	char id[CALL_ID_SIZE];
	size_t size;
	const char *body = server_exchange_body(exchange, &size);
	int32_t status = 0;

	caller_request_copy_path(server_exchange_target(exchange), path);
	if (gateway->pages.serve)
		status = gateway->pages.serve(
			gateway->pages.arg, server_exchange_method(exchange),
			path, server_exchange_header(exchange, "Authorization"),
			body, size, &text, &content_type);
	if (status) {
		add_request_id(server_exchange_answer(exchange), id);
		answer_set(server_exchange_answer(exchange), status,
			   content_type, text.data ? text.data : "", text.size);
	} else {
		refuse_plain(gateway, exchange, PROBLEM_NOT_FOUND, NULL);
	}
	buffer_free(&text);
}

static void on_request(void *arg, struct server_exchange *exchange)
{
	struct gateway *gateway = arg;
	struct call *call;

	if (!is_api(server_exchange_target(exchange))) {
		serve_page(gateway, exchange);
		return;
	}
	rcu_reader_enter();
	call = make_call(gateway, exchange);
	rcu_reader_exit();
	if (call)
		post_admission(gateway, exchange, call);
}

static void on_too_large(void *arg, struct server_exchange *exchange)
{
	refuse_plain(arg, exchange, PROBLEM_TOO_LARGE, NULL);
}

static void on_no_room(void *arg, struct server_exchange *exchange)
{
	struct gateway *gateway = arg;

	metrics_add(&gateway->core->metrics.memory_refused, 1);
	refuse_retry_after(gateway, exchange, PROBLEM_OVERLOADED,
			   LIMIT_RETRY_US);
}

static void run_closed(void *arg)
{
	call_caller_left(arg);
}

static void on_closed(void *arg, struct server_exchange *exchange)
{
	struct gateway *gateway = arg;
	struct caller *caller = server_exchange_context(exchange);

	if (!caller)
		return;
	executor_post(gateway->runtime->coordination, run_closed, caller);
}

/* ---- ticks ---- */

static void run_tick(void *arg)
{
	struct gateway *gateway = arg;

	atomic_store(&gateway->tick_pending, false);
	if (gateway->core->ending)
		return;
	gateway_core_tick(gateway->core);
	backend_monitor_tick(gateway->monitor);
}

static void on_tick(void *arg)
{
	struct gateway *gateway = arg;

	if (!atomic_exchange(&gateway->tick_pending, true))
		executor_post(gateway->runtime->coordination, run_tick,
			      gateway);
}

/* ---- life cycle ---- */

static int64_t max_connections(const struct settings *settings)
{
	int64_t descriptors =
		server_conn_max_descriptors(settings->max_descriptors);
	int64_t room = (descriptors - descriptors / OWN_DIVISOR) /
		       DESCRIPTORS_PER_REQUEST;

	return room < settings->max_connections ? room
						: settings->max_connections;
}

static struct http_server *start_server(struct gateway *gateway,
					struct tgw_error *error)
{
	const struct settings *settings = gateway->runtime->settings;
	struct http_server_settings server_settings = {
		.address = settings->caller_address,
		.max_connections = max_connections(settings),
		.memory_mb = server_conn_memory_mb(settings->memory_mb),
		.request_memory_percent = settings->request_memory_percent,
		.max_body_bytes = settings->max_body_bytes,
		.max_header_bytes = settings->max_header_bytes,
		.framing_bytes = settings->framing_bytes,
		.discard_bytes = settings->discard_bytes,
		.stall_room_ms = settings->stall_room_ms,
		.caller_idle_us = settings->caller_idle_ms * TGW_US_PER_MS,
		.tick_us = TICK_US,
	};
	struct http_server_handler handler = {
		.head = on_head,
		.request = on_request,
		.too_large = on_too_large,
		.no_room = on_no_room,
		.closed = on_closed,
		.tick = on_tick,
		.arg = gateway,
	};

	return http_server_new(gateway->runtime->loop, &server_settings,
			       &handler, error);
}

struct gateway *gateway_new(struct runtime *runtime, struct gateway_pages pages,
			    struct tgw_error *error)
{
	struct gateway *gateway = xcalloc(1, sizeof(*gateway));

	gateway->runtime = runtime;
	gateway->pages = pages;
	gateway->core = gateway_core_new(runtime);
	gateway->monitor = backend_monitor_new(runtime);
	gateway->server = start_server(gateway, error);
	if (gateway->server)
		return gateway;
	backend_monitor_free(gateway->monitor);
	gateway_core_unref(gateway->core);
	free(gateway);
	return NULL;
}

uint16_t gateway_port(const struct gateway *gateway)
{
	return http_server_port(gateway->server);
}

void gateway_stop_accepting(struct gateway *gateway)
{
	atomic_store(&gateway->refusing, true);
	http_server_disable_keep_alive(gateway->server);
}

bool gateway_is_writing(const struct gateway *gateway)
{
	return http_server_is_writing(gateway->server);
}

/* Runs after all functions that the gateway posted before. */
static void run_release(void *arg)
{
	struct gateway *gateway = arg;

	backend_monitor_free(gateway->monitor);
	gateway_core_unref(gateway->core);
	free(gateway);
}

void gateway_free(struct gateway *gateway)
{
	if (!gateway)
		return;
	gateway->core->ending = true;
	http_server_free(gateway->server);
	gateway->server = NULL;
	executor_post(gateway->runtime->coordination, run_release, gateway);
}

static void write_closes(const uint64_t *closes, struct buffer *text)
{
	buffer_add_text(text,
			"# TYPE tamarackgw_caller_closes_total counter\n");
	for (enum server_close_reason i = 0; i < SERVER_CLOSE_REASONS; i++)
		buffer_add_format(text,
				  "tamarackgw_caller_closes_total"
				  "{reason=\"%s\"} %" PRIu64 "\n",
				  server_close_reason_name(i), closes[i]);
}

void gateway_write_metrics(const struct gateway *gateway, struct buffer *text)
{
	struct http_server_figures figures =
		http_server_figures(gateway->server);

	gateway_metrics_write(&gateway->core->metrics, text);
	write_closes(figures.closes, text);
	buffer_add_format(text,
			  "# TYPE tamarackgw_request_held_bytes gauge\n"
			  "tamarackgw_request_held_bytes %" PRId64 "\n"
			  "# TYPE tamarackgw_request_held_peak_bytes gauge\n"
			  "tamarackgw_request_held_peak_bytes %" PRId64 "\n",
			  figures.held_bytes, figures.held_peak_bytes);
	buffer_add_format(text,
			  "# TYPE tamarackgw_caller_bytes_sent_total counter\n"
			  "tamarackgw_caller_bytes_sent_total %" PRIu64 "\n"
			  "# TYPE tamarackgw_caller_connections gauge\n"
			  "tamarackgw_caller_connections %" PRId64 "\n",
			  http_server_bytes_sent(gateway->server),
			  http_server_connections(gateway->server));
}
