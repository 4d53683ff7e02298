/* Tests that the HTTP server waits for a handler that responds late. It must
 * not treat the caller, which has nothing to read until then, as stalled and
 * close its connection. */
#include <stdio.h>
#include <string.h>

#include "protocol/http.h"
#include "tamarackgw/clock.h"
#include "transport/http_server.h"
#include "transport/loop_client.h"
#include "unit/unit_main.h"

#define IDLE_US (30 * TGW_US_PER_S)
#define TICK_US (5 * TGW_US_PER_MS)

static struct answer *pending_answer;
static int ticks;
static int due_tick;
static bool ended;
static enum http_outcome outcome;
static int32_t http_status;

static bool on_head(void *arg, struct server_exchange *exchange)
{
	return true;
}

/* Has the response set a few ticks later, well within the time for which a
 * caller may be idle. */
static void on_slow_request(void *arg, struct server_exchange *exchange)
{
	pending_answer = answer_ref(server_exchange_answer(exchange));
	due_tick = ticks + 3;
}

static void ignore_exchange(void *arg, struct server_exchange *exchange)
{
}

static void on_tick(void *arg)
{
	if (!pending_answer || ++ticks < due_tick)
		return;
	answer_set(pending_answer, 200, "text/plain", "ok", 2);
	answer_unref(pending_answer);
	pending_answer = NULL;
}

static void on_started(void *arg, int32_t status, const char *content_type)
{
	http_status = status;
}

static bool on_data(void *arg, const void *data, size_t size)
{
	return true;
}

static void on_ended(void *arg, enum http_outcome how, const char *message)
{
	outcome = how;
	ended = true;
}

START_TEST(a_caller_that_awaits_a_response_stays_connected)
{
	const struct http_server_settings settings = {
		.address = "127.0.0.1:0",
		.max_connections = 8,
		.max_body_bytes = 1024,
		.max_header_bytes = 4096,
		.caller_idle_us = IDLE_US,
		.tick_us = TICK_US,
	};
	const struct http_server_handler handler = {
		.head = on_head,
		.request = on_slow_request,
		.too_large = ignore_exchange,
		.closed = ignore_exchange,
		.tick = on_tick,
	};
	const struct http_handler client_handler = {on_started, on_data,
						    on_ended, NULL};
	struct loop_client_settings client_settings =
		loop_client_settings_default();
	struct event_loop *loop = event_loop_new();
	struct loop_client *client = loop_client_new(loop, &client_settings);
	struct tgw_error error;
	struct http_server *server =
		http_server_new(loop, &settings, &handler, &error);
	struct http_request request = {.method = "GET"};
	char url[64];

	ck_assert_ptr_nonnull(server);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/page",
		 (int)http_server_port(server));
	request.url = url;
	http_start(loop_client_sender(client), &request, client_handler);
	event_loop_run_until(loop, &ended);
	ck_assert_int_eq(outcome, HTTP_COMPLETE);
	ck_assert_int_eq(http_status, 200);
	loop_client_free(client);
	http_server_free(server);
	event_loop_free(loop);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("http_server");
	TCase *tcase = tcase_create("slow");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, a_caller_that_awaits_a_response_stays_connected);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
