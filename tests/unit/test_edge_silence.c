/* Tests that callers get whole responses from backend servers that fall silent
 * for a while and go on: at each point of a response, for each kind of route,
 * whether or not another server can take the request. */
#include <fcntl.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "base/xalloc.h"
#include "edge/call_private.h"
#include "fakes/edge_rig.h"
#include "unit/deaf_server.h"
#include "unit/unit_main.h"

#define WAIT_MS 8000
#define CALLERS_MAX 64
/* More than all requests of a test need, in thousandths of a retry. */
#define AMPLE_CREDIT 1000000

static const unsigned int pauses_ms[] = {500, 1000, 2000, 4000};

static const struct {
	const char *route;
	const char *action;
	bool may_repeat;
} kinds[] = {
	{"long-safe", "ok", true},
	{"long-resume", "stream", true},
	{"long-unsafe", "ok", false},
	{"long-stream", "stream", false},
};

static const enum backend_standin_pause places[] = {
	BACKEND_STANDIN_PAUSE_BEFORE_HEAD, BACKEND_STANDIN_PAUSE_AFTER_HEAD,
	BACKEND_STANDIN_PAUSE_MIDWAY,	   BACKEND_STANDIN_PAUSE_BETWEEN_EVENTS,
	BACKEND_STANDIN_PAUSE_BEFORE_END,
};

#define COUNT(array) (sizeof(array) / sizeof((array)[0]))

struct paused_call {
	struct edge_rig_caller caller;
	char name[64];
	bool is_stream;
};

static struct edge_rig rig;
static struct paused_call calls[CALLERS_MAX];
static size_t call_count;

static void setup(void)
{
	edge_rig_start(&rig);
	edge_rig_make_ready(&rig);
	call_count = 0;
}

static void teardown(void)
{
	for (size_t i = 0; i < call_count; i++) {
		edge_rig_close_caller(&calls[i].caller);
		while (!calls[i].caller.released)
			edge_rig_run(&rig, 1);
		buffer_free(&calls[i].caller.received);
	}
	edge_rig_stop(&rig);
}

static void set_retry_credit(int64_t thousandths)
{
	struct retry_budget *budget =
		edge_retry_budget(&rig.hosts[0].edge, "app");

	budget->limits.per_attempt_thousandths = 0;
	budget->limits.refill_thousandths_per_s = 0;
	budget->limits.max_thousandths = thousandths;
	budget->credit_thousandths = thousandths;
}

static void drain_second_server(void)
{
	edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_run(&rig, 300);
}

static void start_call(size_t kind, size_t place, unsigned int pause_ms)
{
	struct paused_call *call = &calls[call_count];
	char *text = xasprintf("GET /%s/%s HTTP/1.1\r\nHost: a.example\r\n"
			       "Authorization: Token key-1\r\n"
			       "Tamarackgw-Request-Id: paused-%zu\r\n"
			       "X-Pause: %d,%u\r\nConnection: close\r\n\r\n",
			       kinds[kind].route, kinds[kind].action,
			       call_count, places[place], pause_ms);

	call->is_stream = !strcmp(kinds[kind].action, "stream");
	snprintf(call->name, sizeof(call->name), "%s place %d pause %u ms",
		 kinds[kind].route, places[place], pause_ms);
	edge_rig_call(&rig, &call->caller, text);
	call_count++;
	free(text);
}

static bool has_place(size_t kind, size_t place)
{
	return places[place] != BACKEND_STANDIN_PAUSE_BETWEEN_EVENTS ||
	       !strcmp(kinds[kind].action, "stream");
}

/* Sends one request for each kind, place and length of a pause. */
static void start_calls(bool may_repeat)
{
	for (size_t kind = 0; kind < COUNT(kinds); kind++)
		for (size_t place = 0; place < COUNT(places); place++)
			for (size_t i = 0; i < COUNT(pauses_ms); i++)
				if (kinds[kind].may_repeat == may_repeat &&
				    has_place(kind, place))
					start_call(kind, place, pauses_ms[i]);
}

static bool all_closed(void)
{
	for (size_t i = 0; i < call_count; i++)
		if (!calls[i].caller.closed)
			return false;
	return true;
}

static void wait_for_calls(void)
{
	for (int i = 0; i < WAIT_MS / 5 && !all_closed(); i++)
		edge_rig_run(&rig, 5);
}

/* Joins the chunks of a body in place.
 * @return whether it ends with the last chunk */
static bool join_chunks(char *body)
{
	const char *from = body;
	char *to = body;

	for (;;) {
		char *end;
		size_t size = strtoul(from, &end, 16);

		if (end == from || strncmp(end, "\r\n", 2) ||
		    strlen(end + 2) < size + 2)
			return false;
		memmove(to, end + 2, size);
		to += size;
		from = end + 2 + size + 2;
		if (!size) {
			*to = '\0';
			return !*from;
		}
	}
}

static bool has_all_events_once(const char *text)
{
	for (int i = 0; i < 6; i++) {
		char event[32];
		const char *at;

		snprintf(event, sizeof(event), "data: part-%d\n", i);
		at = strstr(text, event);
		if (!at || strstr(at + 1, event))
			return false;
		text = at;
	}
	return true;
}

static bool is_whole(const struct paused_call *call, char *text)
{
	char *body = strstr(text, "\r\n\r\n");

	if (strncmp(text, "HTTP/1.1 200 ", strlen("HTTP/1.1 200 ")) || !body)
		return false;
	body += strlen("\r\n\r\n");
	if (!call->is_stream)
		return !strcmp(body, "done");
	return join_chunks(body) && has_all_events_once(body);
}

static void expect_whole_responses(void)
{
	unsigned int cut = 0;

	wait_for_calls();
	for (size_t i = 0; i < call_count; i++) {
		struct buffer *received = &calls[i].caller.received;

		buffer_add(received, "", 1);
		if (is_whole(&calls[i], received->data))
			continue;
		cut++;
		printf("%s: %s, received: %.300s\n", calls[i].name,
		       calls[i].caller.closed ? "closed" : "still open",
		       received->data);
	}
	ck_assert_msg(!cut, "%u of %zu responses are not whole", cut,
		      call_count);
	ck_assert_uint_eq(rig.hosts[0].edge.counters.aborted, 0);
}

START_TEST(a_silent_server_without_another_one_is_waited_for)
{
	drain_second_server();
	set_retry_credit(AMPLE_CREDIT);
	start_calls(true);
	expect_whole_responses();
}
END_TEST

START_TEST(a_silent_server_is_waited_for_when_the_retry_budget_is_spent)
{
	set_retry_credit(0);
	start_calls(true);
	expect_whole_responses();
}
END_TEST

START_TEST(a_silent_server_is_waited_for_when_the_other_one_is_silent_too)
{
	set_retry_credit(AMPLE_CREDIT);
	start_calls(true);
	expect_whole_responses();
}
END_TEST

START_TEST(a_silent_server_is_waited_for_when_the_other_one_rejects)
{
	rig.server_standins[1].rejects = true;
	set_retry_credit(AMPLE_CREDIT);
	start_calls(true);
	expect_whole_responses();
}
END_TEST

START_TEST(a_silent_server_is_waited_for_when_the_other_one_is_gone)
{
	backend_standin_crash(&rig.server_standins[1]);
	set_retry_credit(AMPLE_CREDIT);
	start_calls(true);
	expect_whole_responses();
}
END_TEST

START_TEST(another_server_takes_requests_from_a_silent_one)
{
	rig.server_standins[1].never_pauses = true;
	drain_second_server();
	set_retry_credit(AMPLE_CREDIT);
	start_calls(true);
	edge_rig_register_server(&rig, 1, "ready", 3);
	edge_rig_run(&rig, 1900);
	ck_assert_msg(all_closed(), "responses wait for the silent server");
	expect_whole_responses();
	ck_assert_uint_gt(rig.hosts[0].edge.counters.retries, 0);
}
END_TEST

START_TEST(a_change_of_the_configuration_ends_no_request_at_a_silent_server)
{
	set_retry_credit(0);
	start_calls(_i);
	/* A request that is read after the change has an unknown key. */
	for (int i = 0;
	     i < 600 && rig.hosts[0].edge.counters.requests < call_count; i++)
		edge_rig_run(&rig, 5);
	for (int version = 2; version < 10; version++) {
		edge_rig_configure(&rig, version, 1000000, "key-2");
		edge_rig_run(&rig, 400);
	}
	expect_whole_responses();
	if (!_i)
		ck_assert_uint_eq(edge_rig_runs(&rig), call_count);
}
END_TEST

START_TEST(a_request_that_must_not_be_repeated_waits_and_runs_once)
{
	set_retry_credit(_i ? AMPLE_CREDIT : 0);
	start_calls(false);
	expect_whole_responses();
	ck_assert_uint_eq(edge_rig_runs(&rig), call_count);
}
END_TEST

/* Drains all servers but the deaf one and, if `keeps_one`, worker-1. */
static int leave_deaf_server(bool keeps_one)
{
	char address[32];
	int fd = start_deaf_server(address, sizeof(address));

	edge_rig_register_server(&rig, 0, "draining", 2);
	if (!keeps_one)
		edge_rig_register_server(&rig, 1, "draining", 2);
	edge_rig_register_entry(&rig, "deaf", address, "ready", 1, 1);
	edge_rig_run(&rig, 300);
	return fd;
}

START_TEST(another_server_takes_requests_from_one_that_accepts_no_connection)
{
	int fd = leave_deaf_server(true);

	set_retry_credit(0);
	start_calls(_i);
	edge_rig_configure(&rig, 2, 1000000, "key-1");
	expect_whole_responses();
	ck_assert_uint_eq(edge_rig_runs(&rig), call_count);
	stop_deaf_server(fd);
}
END_TEST

/* Nothing of it is sent, so the refusal is true. */
START_TEST(a_request_for_a_server_that_accepts_no_connection_is_refused)
{
	int fd = leave_deaf_server(false);
	char byte;

	set_retry_credit(0);
	start_calls(_i);
	edge_rig_configure(&rig, 2, 1000000, "key-1");
	wait_for_calls();
	for (size_t i = 0; i < call_count; i++) {
		struct buffer *received = &calls[i].caller.received;

		buffer_add(received, "", 1);
		ck_assert_msg(strstr(received->data, "HTTP/1.1 503 ") &&
				      strstr(received->data, "Retry-After: "),
			      "%s: %.100s", calls[i].name, received->data);
	}
	ck_assert_uint_eq(edge_rig_runs(&rig), 0);
	fcntl(fd, F_SETFL, O_NONBLOCK);
	for (int conn; (conn = accept4(fd, NULL, NULL, SOCK_NONBLOCK)) >= 0;) {
		ck_assert_int_le(recv(conn, &byte, 1, 0), 0);
		close(conn);
	}
	stop_deaf_server(fd);
}
END_TEST

/* The host itself has paused the server's connection. */
START_TEST(a_slow_caller_does_not_make_its_server_count_as_silent)
{
	struct paused_call *call = &calls[call_count++];
	const struct edge_counters *counters = &rig.hosts[0].edge.counters;

	edge_rig_call(&rig, &call->caller,
		      "GET /long-resume/stream-large HTTP/1.1\r\n"
		      "Host: a.example\r\nAuthorization: Token key-1\r\n"
		      "Connection: close\r\n\r\n");
	uv_read_stop((uv_stream_t *)&call->caller.tcp);
	edge_rig_run(&rig, 2500);
	ck_assert(rig.hosts[0].edge.calls && rig.hosts[0].edge.calls->current &&
		  rig.hosts[0].edge.calls->current->paused);
	ck_assert_uint_eq(counters->silences, 0);
	edge_rig_resume_caller(&call->caller);
	wait_for_calls();
	ck_assert(call->caller.closed);
	ck_assert_uint_eq(counters->answered, 1);
	ck_assert_uint_eq(counters->retries, 0);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("edge_silence");
	TCase *tcase = tcase_create("silence");

	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_set_timeout(tcase, 60);
	tcase_add_test(tcase,
		       a_silent_server_without_another_one_is_waited_for);
	tcase_add_test(
		tcase,
		a_silent_server_is_waited_for_when_the_retry_budget_is_spent);
	tcase_add_test(
		tcase,
		a_silent_server_is_waited_for_when_the_other_one_is_silent_too);
	tcase_add_test(
		tcase,
		a_silent_server_is_waited_for_when_the_other_one_rejects);
	tcase_add_test(
		tcase,
		a_silent_server_is_waited_for_when_the_other_one_is_gone);
	tcase_add_test(tcase, another_server_takes_requests_from_a_silent_one);
	tcase_add_loop_test(
		tcase,
		a_change_of_the_configuration_ends_no_request_at_a_silent_server,
		0, 2);
	tcase_add_loop_test(
		tcase, a_request_that_must_not_be_repeated_waits_and_runs_once,
		0, 2);
	tcase_add_loop_test(
		tcase,
		another_server_takes_requests_from_one_that_accepts_no_connection,
		0, 2);
	tcase_add_loop_test(
		tcase,
		a_request_for_a_server_that_accepts_no_connection_is_refused, 0,
		2);
	tcase_add_test(tcase,
		       a_slow_caller_does_not_make_its_server_count_as_silent);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
