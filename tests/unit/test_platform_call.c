/* Tests calls to a store whose responses do not end, or are no valid HTTP. */
#include "platform_call.h"

#include <arpa/inet.h>
#include <pthread.h>
#include <stdio.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "unit/unit_main.h"

#define CALL_TIMEOUT_MS 1000
/* By then a call has ended that takes its response for endless. */
#define TEST_TIMEOUT_MS 8000
#define BACKLOG 4
#define FILLER_SIZE (64 * 1024)

static const char *const heads[] = {
	"HTTP/1.1 200 OK\r\n\r\n",
	"HTTP/1.1 200 OK\r\nContent-Length: 1000000000000\r\n\r\n",
	"HTTP/1.1 503 Down\r\n\r\n",
};

static uv_loop_t loop;
static uv_timer_t timeout;
static int listener;
static const char *head;
static struct platform_http_client client;
static unsigned int calls_ended;
static enum tgw_status status;

/* Sends until the host closes the connection. */
static void *serve(void *arg)
{
	static char filler[FILLER_SIZE];
	char input[512];
	int fd = accept(listener, NULL, NULL);

	if (fd < 0)
		return NULL;
	if (recv(fd, input, sizeof(input), 0) > 0)
		send(fd, head, strlen(head), MSG_NOSIGNAL);
	while (send(fd, filler, sizeof(filler), MSG_NOSIGNAL) > 0)
		;
	close(fd);
	return NULL;
}

static void on_done(void *arg, const struct platform_reply *reply)
{
	calls_ended++;
	status = reply->status;
	uv_stop(&loop);
}

static void on_timeout(uv_timer_t *timer)
{
	uv_stop(&loop);
}

static void listen_on_free_port(char *text, size_t size)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t length = sizeof(address);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	listener = socket(AF_INET, SOCK_STREAM, 0);
	ck_assert_int_eq(bind(listener, (struct sockaddr *)&address,
			      sizeof(address)),
			 0);
	listen(listener, BACKLOG);
	getsockname(listener, (struct sockaddr *)&address, &length);
	snprintf(text, size, "127.0.0.1:%d", ntohs(address.sin_port));
}

static void setup(void)
{
	char address[32];

	listen_on_free_port(address, sizeof(address));
	uv_loop_init(&loop);
	uv_timer_init(&loop, &timeout);
	uv_timer_start(&timeout, on_timeout, TEST_TIMEOUT_MS, 0);
	platform_http_client_init(&client, &loop);
	ck_assert_int_eq(platform_http_client_set_address(&client, address),
			 TGW_OK);
}

static void teardown(void)
{
	uv_close((uv_handle_t *)&timeout, NULL);
	platform_http_client_close(&client);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_int_eq(uv_loop_close(&loop), 0);
	close(listener);
}

/* Guards against a host that waits for good: each piece of the body restarted
 * the timeout of the call. */
START_TEST(a_call_ends_although_its_response_does_not)
{
	struct platform_reply_callback callback = {.done = on_done};
	pthread_t server;

	head = heads[_i];
	calls_ended = 0;
	pthread_create(&server, NULL, serve, NULL);
	platform_call(&client, "GET", "/kv-range", NULL, CALL_TIMEOUT_MS,
		      callback);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_uint_eq(calls_ended, 1);
	ck_assert_int_eq(status, TGW_UNKNOWN);
	ck_assert_ptr_null(client.pending);
	uv_run(&loop, UV_RUN_NOWAIT);
	pthread_join(server, NULL);
}
END_TEST

/* The store's era is not read from what is no answer. */
static void *answer_invalid(void *arg)
{
	static const char answer[] = "HTTP/1.1 000 Odd\r\n"
				     "Store-Era: 7\r\n"
				     "Content-Length: 2\r\n\r\n{}";
	char input[512];
	int fd = accept(listener, NULL, NULL);

	if (fd < 0)
		return NULL;
	if (recv(fd, input, sizeof(input), 0) > 0)
		send(fd, answer, strlen(answer), MSG_NOSIGNAL);
	recv(fd, input, sizeof(input), 0);
	close(fd);
	return NULL;
}

static const char *ignored_for;

static void on_answer_ignored(void *arg, const char *era_text,
			      const char *reason)
{
	ignored_for = reason;
}

START_TEST(an_answer_that_is_no_valid_http_is_ignored)
{
	struct platform_reply_callback callback = {.done = on_done};
	pthread_t server;

	calls_ended = 0;
	ignored_for = "";
	client.answer_ignored = on_answer_ignored;
	pthread_create(&server, NULL, answer_invalid, NULL);
	platform_call(&client, "POST", "/kv-txn", NULL, CALL_TIMEOUT_MS,
		      callback);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_uint_eq(calls_ended, 1);
	/* The store may have done what it was told. */
	ck_assert_int_eq(status, TGW_UNKNOWN);
	ck_assert(!client.answered);
	ck_assert(strstr(ignored_for, "the answer can't be read: "));
	uv_run(&loop, UV_RUN_NOWAIT);
	pthread_join(server, NULL);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("platform_call");
	TCase *tcase = tcase_create("endless");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 30);
	tcase_add_loop_test(tcase, a_call_ends_although_its_response_does_not,
			    0, sizeof(heads) / sizeof(heads[0]));
	tcase_add_test(tcase, an_answer_that_is_no_valid_http_is_ignored);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
