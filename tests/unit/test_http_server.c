/* What the callers' HTTP interface does when its own side is slow. */
#include <poll.h>
#include <stdatomic.h>
#include <stdio.h>
#include <string.h>

#include "protocol/http.h"
#include "tamarackgw/clock.h"
#include "transport/curl_client.h"
#include "transport/http_server.h"
#include "unit/unit_main.h"

#define IDLE_US (30 * TGW_US_PER_S)
#define TICK_US (5 * TGW_US_PER_MS)
#define WAIT_MS 5

static atomic_int ticks;
static atomic_int ended;
static atomic_int outcome;
static atomic_int http_status;

static bool on_head(void *arg, struct server_exchange *exchange)
{
	return true;
}

/* A page that another thread has to write: the caller has nothing to read
 * for a while that is short of what a caller may be silent for. */
static void on_slow_request(void *arg, struct server_exchange *exchange)
{
	int until = atomic_load(&ticks) + 3;

	while (atomic_load(&ticks) < until)
		poll(NULL, 0, 1);
	answer_set(server_exchange_answer(exchange), 200, "text/plain", "ok",
		   2);
}

static void on_exchange(void *arg, struct server_exchange *exchange)
{
}

static void on_tick(void *arg)
{
	atomic_fetch_add(&ticks, 1);
}

static void on_started(void *arg, int32_t status, const char *content_type)
{
	atomic_store(&http_status, status);
}

static bool on_data(void *arg, const void *data, size_t size)
{
	return true;
}

static void on_ended(void *arg, enum http_outcome how, const char *message)
{
	atomic_store(&outcome, (int)how);
	atomic_store(&ended, 1);
}

START_TEST(a_slow_page_is_not_taken_for_a_silent_caller)
{
	const struct http_server_settings settings = {
		.address = "127.0.0.1:0",
		.threads = 1,
		.max_connections = 8,
		.max_body_bytes = 1024,
		.max_header_bytes = 4096,
		.caller_idle_us = IDLE_US,
		.tick_us = TICK_US,
	};
	const struct http_server_handler handler = {
		.head = on_head,
		.request = on_slow_request,
		.too_large = on_exchange,
		.closed = on_exchange,
		.tick = on_tick,
	};
	const struct http_handler client_handler = {on_started, on_data,
						    on_ended, NULL};
	struct curl_client_settings client_settings =
		curl_client_settings_default();
	struct curl_client *client = curl_client_new(&client_settings);
	struct tgw_error error;
	struct http_server *server =
		http_server_new(&settings, &handler, &error);
	struct http_request request = {.method = "GET"};
	char url[64];

	ck_assert_ptr_nonnull(server);
	snprintf(url, sizeof(url), "http://127.0.0.1:%d/page",
		 (int)http_server_port(server));
	request.url = url;
	http_start(curl_client_sender(client), &request, client_handler);
	while (!atomic_load(&ended))
		poll(NULL, 0, WAIT_MS);
	ck_assert_int_eq(atomic_load(&outcome), HTTP_COMPLETE);
	ck_assert_int_eq(atomic_load(&http_status), 200);
	curl_client_free(client);
	http_server_free(server);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("http_server");
	TCase *tcase = tcase_create("slow");

	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase, a_slow_page_is_not_taken_for_a_silent_caller);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
