/* Tests how the HTTP client reports the end of each exchange, when it resends a
 * request, and that a paused response continues without loss. */
#include "transport/loop_client.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdatomic.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/buffer.h"
#include "base/xalloc.h"
#include "tamarackgw/clock.h"
#include "unit/unit_main.h"

#define PAUSES 3

/* A server that handles each request as its path says: /whole is served, /short
 * truncated, /silent left incomplete, /die not served, /once served only as the
 * first request of a test, and /odd answered by what is no HTTP after it. */
struct server {
	int listener;
	uint16_t port;
	pthread_t thread;
	atomic_int requests;
};

struct reply {
	struct buffer body;
	int32_t status;
	int pauses_left;
	int paused;
	bool got_event; /* data or the end arrived since this was reset */
	bool ended;
	enum http_outcome outcome;
};

static struct server server;
static struct event_loop *loop;
static struct loop_client *client;
static struct reply reply;

static void send_text(int fd, const char *text)
{
	ck_assert_int_ge(send(fd, text, strlen(text), MSG_NOSIGNAL), 0);
}

/* @return whether the connection stays open */
static bool respond(int fd, const char *request)
{
	int earlier_requests = atomic_fetch_add(&server.requests, 1);

	if (strstr(request, "/whole"))
		send_text(fd, "HTTP/1.1 201 Created\r\nContent-Length: 5\r\n"
			      "\r\nwhole");
	if (strstr(request, "/short"))
		send_text(fd,
			  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
	if (strstr(request, "/crash"))
		shutdown(server.listener, SHUT_RDWR);
	if (strstr(request, "/end"))
		send_text(fd, "HTTP/1.1 200 OK\r\n\r\nabc");
	if (strstr(request, "/cut"))
		send_text(fd, "HTTP/1.1 200 OK\r\n"
			      "Content-Type: application/json\r\n\r\n{\"a\":");
	if (strstr(request, "/silent"))
		send_text(fd,
			  "HTTP/1.1 200 OK\r\nContent-Length: 9\r\n\r\nabc");
	if (strstr(request, "/once") && earlier_requests == 0)
		send_text(fd, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n");
	if (strstr(request, "/odd"))
		send_text(fd, earlier_requests ? "HTTP/1.1 000 Odd\r\n"
						 "Content-Length: 0\r\n\r\n"
					       : "HTTP/1.1 200 OK\r\n"
						 "Content-Length: 0\r\n\r\n");
	if (strstr(request, "/once"))
		return earlier_requests == 0;
	return !strstr(request, "/short") && !strstr(request, "/die") &&
	       !strstr(request, "/end") && !strstr(request, "/cut");
}

static void *serve_connection(void *arg)
{
	int fd = *(int *)arg;
	struct buffer input = {0};
	char chunk[1024];
	ssize_t size;

	free(arg);
	while ((size = recv(fd, chunk, sizeof(chunk), 0)) > 0) {
		bool keep_open;

		buffer_add(&input, chunk, (size_t)size);
		if (!strstr(input.data, "\r\n\r\n"))
			continue;
		keep_open = respond(fd, input.data);
		buffer_clear(&input);
		if (!keep_open)
			break;
	}
	buffer_free(&input);
	close(fd);
	return NULL;
}

static void *serve(void *arg)
{
	for (;;) {
		int fd = accept(server.listener, NULL, NULL);
		int *copy;
		pthread_t thread;

		if (fd < 0)
			return NULL;
		copy = xmalloc(sizeof(*copy));
		*copy = fd;
		pthread_create(&thread, NULL, serve_connection, copy);
		pthread_detach(thread);
	}
}

static void start_server(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);

	atomic_store(&server.requests, 0);
	memset(&reply, 0, sizeof(reply));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	server.listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(server.listener, (struct sockaddr *)&address,
			      sizeof(address)),
			 0);
	ck_assert_int_eq(listen(server.listener, 16), 0);
	getsockname(server.listener, (struct sockaddr *)&address, &size);
	server.port = ntohs(address.sin_port);
	pthread_create(&server.thread, NULL, serve, NULL);
}

static void setup(void)
{
	struct loop_client_settings settings = loop_client_settings_default();

	start_server();
	loop = event_loop_new();
	client = loop_client_new(loop, &settings);
}

static void teardown(void)
{
	loop_client_free(client);
	event_loop_free(loop);
	shutdown(server.listener, SHUT_RDWR);
	pthread_join(server.thread, NULL);
	close(server.listener);
	buffer_free(&reply.body);
}

static void on_started(void *arg, int32_t status, const char *content_type)
{
	reply.status = status;
}

static bool on_data(void *arg, const void *data, size_t size)
{
	bool accepted = true;

	if (reply.pauses_left > 0) {
		reply.pauses_left--;
		reply.paused++;
		accepted = false;
	} else {
		buffer_add(&reply.body, data, size);
	}
	reply.got_event = true;
	return accepted;
}

static void on_ended(void *arg, enum http_outcome outcome, const char *message)
{
	reply.got_event = true;
	reply.ended = true;
	reply.outcome = outcome;
}

static struct http_exchange *start(const char *path, uint16_t port,
				   const struct http_request *template)
{
	struct http_request request = *template;
	struct http_handler handler = {
		.started = on_started, .data = on_data, .ended = on_ended};
	char *url = xasprintf("http://127.0.0.1:%d%s", port, path);
	struct http_exchange *exchange;

	buffer_clear(&reply.body);
	reply.ended = false;
	reply.status = 0;
	request.method = request.body ? "POST" : "GET";
	request.url = url;
	exchange = http_start(loop_client_sender(client), &request, handler);
	free(url);
	return exchange;
}

static enum http_outcome wait_for_end(void)
{
	event_loop_run_until(loop, &reply.ended);
	return reply.outcome;
}

static enum http_outcome run(const char *path,
			     const struct http_request *template)
{
	start(path, server.port, template);
	return wait_for_end();
}

START_TEST(a_complete_response_is_delivered)
{
	struct http_request request = {.body = "x", .body_size = 1};

	ck_assert_int_eq(run("/whole", &request), HTTP_COMPLETE);
	ck_assert_int_eq(reply.status, 201);
	ck_assert_str_eq(reply.body.data, "whole");
}
END_TEST

START_TEST(a_refused_connection_means_that_nothing_was_sent)
{
	struct http_request request = {0};
	uint16_t port = server.port;

	shutdown(server.listener, SHUT_RDWR);
	pthread_join(server.thread, NULL);
	close(server.listener);
	start("/whole", port, &request);
	ck_assert_int_eq(wait_for_end(), HTTP_NOT_CONNECTED);
	start_server();
}
END_TEST

/* The server closes the connection without a response to the second request. */
START_TEST(a_request_is_not_resent_by_default)
{
	struct http_request request = {.body = "x", .body_size = 1};

	ck_assert_int_eq(run("/once", &request), HTTP_COMPLETE);
	ck_assert_int_eq(run("/once", &request), HTTP_BROKEN);
	ck_assert_int_eq(atomic_load(&server.requests), 2);
}
END_TEST

START_TEST(a_repeatable_request_is_resent)
{
	struct http_request request = {.may_resend = true};

	ck_assert_int_eq(run("/once", &request), HTTP_COMPLETE);
	ck_assert_int_eq(run("/once", &request), HTTP_BROKEN);
	ck_assert_int_eq(atomic_load(&server.requests), 3);
}
END_TEST

/* Its server has got it, and may have run it. */
START_TEST(a_request_whose_answer_is_no_http_is_not_resent)
{
	struct http_request request = {.may_resend = true};

	ck_assert_int_eq(run("/odd", &request), HTTP_COMPLETE);
	ck_assert_int_eq(run("/odd", &request), HTTP_BROKEN);
	ck_assert_int_eq(atomic_load(&server.requests), 2);
}
END_TEST

START_TEST(a_response_that_ends_with_its_connection_needs_a_living_server)
{
	struct http_request request = {0};

	ck_assert_int_eq(run("/end", &request), HTTP_COMPLETE);
	ck_assert_str_eq(reply.body.data, "abc");
	ck_assert_int_eq(run("/cut", &request), HTTP_BROKEN);
	ck_assert_int_eq(run("/end/crash", &request), HTTP_BROKEN);
}
END_TEST

START_TEST(truncated_and_stalled_responses_are_reported)
{
	struct http_request request = {.idle_timeout_us = TGW_US_PER_S / 20};

	ck_assert_int_eq(run("/short", &request), HTTP_BROKEN);
	ck_assert_int_eq(run("/die", &request), HTTP_BROKEN);
	ck_assert_int_eq(run("/silent", &request), HTTP_TIMED_OUT);
	request.idle_timeout_us = 0;
	request.total_timeout_us = TGW_US_PER_S / 20;
	ck_assert_int_eq(run("/silent", &request), HTTP_TIMED_OUT);
}
END_TEST

START_TEST(a_paused_response_continues_without_loss)
{
	struct http_request request = {0};
	struct http_exchange *exchange;

	reply.pauses_left = PAUSES;
	exchange = start("/whole", server.port, &request);
	for (int i = 1; i <= PAUSES; i++) {
		while (reply.paused < i) {
			reply.got_event = false;
			event_loop_run_until(loop, &reply.got_event);
		}
		ck_assert(!reply.ended);
		http_resume(loop_client_sender(client), exchange);
	}
	ck_assert_int_eq(wait_for_end(), HTTP_COMPLETE);
	ck_assert_str_eq(reply.body.data, "whole");
}
END_TEST

START_TEST(cancelling_and_freeing_end_open_exchanges)
{
	struct http_request request = {0};
	struct http_exchange *exchange =
		start("/silent", server.port, &request);

	http_cancel(loop_client_sender(client), exchange);
	ck_assert_int_eq(wait_for_end(), HTTP_CANCELLED);
	start("/silent", server.port, &request);
	loop_client_free(client);
	client = NULL;
	ck_assert_int_eq(wait_for_end(), HTTP_CANCELLED);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("loop_client");
	TCase *tcase = tcase_create("exchanges");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_test(tcase, a_complete_response_is_delivered);
	tcase_add_test(tcase, a_refused_connection_means_that_nothing_was_sent);
	tcase_add_test(tcase, a_request_is_not_resent_by_default);
	tcase_add_test(tcase, a_repeatable_request_is_resent);
	tcase_add_test(tcase, a_request_whose_answer_is_no_http_is_not_resent);
	tcase_add_test(
		tcase,
		a_response_that_ends_with_its_connection_needs_a_living_server);
	tcase_add_test(tcase, truncated_and_stalled_responses_are_reported);
	tcase_add_test(tcase, a_paused_response_continues_without_loss);
	tcase_add_test(tcase, cancelling_and_freeing_end_open_exchanges);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
