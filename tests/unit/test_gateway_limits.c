/* Tests what the gateway refuses and limits: bad requests, malformed and
 * oversized input, idle and slow callers, refusals of the agents, and the
 * number of open requests and connections. */
#include <arpa/inet.h>
#include <netinet/tcp.h>
#include <stdatomic.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <unistd.h>

#include "daemon/stop_plan.h"
#include "fakes/agents/gateway_rig.h"
#include "unit/unit_main.h"

#define NO_STREAM ",\"max_tokens\":20"
#define STREAM ",\"stream\":true,\"max_tokens\":20"
#define LONG_IDLE_MS 60000
#define SHORT_IDLE_MS 300
#define OVERSIZE_BYTES (128 * 1024)
/* A response of 5 tokens that the sockets below don't hold. */
#define PAD_BYTES (25 * 1024)
#define RECEIVE_BUFFER_BYTES 4096
#define SEGMENT_BYTES 536
#define CHAT_HEAD                                           \
	"POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\n" \
	"Authorization: Bearer " RIG_TEAM "\r\n"

static struct gateway_rig rig;
static struct buffer input;

static void start(int64_t caller_idle_ms)
{
	gateway_rig_init(&rig);
	rig.settings.caller_idle_ms = caller_idle_ms;
	rig.settings.max_open_requests = 4;
	rig.settings.max_connections = 16;
	gateway_rig_start(&rig);
}

static void setup(void)
{
	start(LONG_IDLE_MS);
}

static void restart_with_short_idle(void)
{
	gateway_rig_stop(&rig);
	start(SHORT_IDLE_MS);
}

static void teardown(void)
{
	gateway_rig_stop(&rig);
	buffer_free(&input);
}

static bool has(const char *text)
{
	return input.data && strstr(input.data, text);
}

/* Sends the text on a new connection and reads until the connection is closed.
 * @return the HTTP status, 0 for none */
static int send_raw(const char *text)
{
	int fd = rig_connect(&rig);
	int status;

	buffer_clear(&input);
	rig_send(fd, text);
	status = rig_read_all(fd, &input);
	close(fd);
	return status;
}

struct refusal_case {
	const char *headers;
	const char *fields;
	int status;
	const char *kind;
};

static const struct refusal_case refusals[] = {
	{"X-Work-Kind: other\r\n", NO_STREAM, 403, "forbidden"},
	{"X-Urgency: soon\r\n", NO_STREAM, 400, "invalid"},
	{"X-Deadline-Ms: 0\r\n", NO_STREAM, 400, "invalid"},
	{"X-Deadline-Ms: 1s\r\n", NO_STREAM, 400, "invalid"},
	{"X-Deadline-Ms: 99999999999999999999\r\n", NO_STREAM, 400, "invalid"},
	{"Idempotency-Key:\r\n", NO_STREAM, 400, "invalid"},
	{"Idempotency-Key: a b\r\n", NO_STREAM, 400, "invalid"},
	{"", ",\"n\":3", 400, "invalid"},
	{"", ",\"max_tokens\":0", 400, "invalid"},
};

START_TEST(a_bad_request_is_refused_as_not_run)
{
	const struct refusal_case *c = &refusals[_i];

	ck_assert_int_eq(rig_chat(&rig, c->headers, c->fields, &input),
			 c->status);
	ck_assert(has("application/problem+json"));
	ck_assert(has(c->kind));
	ck_assert(has("\"not_run\":true"));
	ck_assert(has("X-Request-Id: "));
	ck_assert_int_eq(fake_agents.reserves, 0);
	ck_assert_int_eq(rig.engines[0].streams, 0);
}
END_TEST

START_TEST(key_method_and_path_are_checked)
{
	ck_assert_int_eq(send_raw("POST /v1/chat/completions HTTP/1.1\r\n"
				  "Host: x\r\nConnection: close\r\n"
				  "Content-Length: 2\r\n\r\n{}"),
			 401);
	ck_assert_int_eq(send_raw("POST /v1/chat/completions HTTP/1.1\r\n"
				  "Host: x\r\nConnection: close\r\n"
				  "Authorization: Bearer other\r\n"
				  "Content-Length: 2\r\n\r\n{}"),
			 401);
	ck_assert_int_eq(send_raw("GET /v1/chat/completions HTTP/1.1\r\n"
				  "Host: x\r\nConnection: close\r\n"
				  "Authorization: Bearer " RIG_TEAM "\r\n\r\n"),
			 405);
	ck_assert_int_eq(send_raw("GET /nothing HTTP/1.1\r\nHost: x\r\n"
				  "Connection: close\r\n\r\n"),
			 404);
}
END_TEST

struct agent_case {
	enum tgw_status reserve;
	enum tgw_status route;
	bool settled;
	enum tgw_quarantine_verdict verdict;
	int status;
	const char *kind;
	const char *text;
};

static const struct agent_case agents[] = {
	{TGW_EXHAUSTED, TGW_OK, false, TGW_QUARANTINE_ADMITTED, 402,
	 "budget-exhausted", "\"not_run\":true"},
	{TGW_UNAVAILABLE, TGW_OK, false, TGW_QUARANTINE_ADMITTED, 503,
	 "budget-unavailable", "Retry-After: 3"},
	{TGW_NOT_FOUND, TGW_OK, false, TGW_QUARANTINE_ADMITTED, 403,
	 "forbidden", "\"not_run\":true"},
	{TGW_OK, TGW_BUSY, false, TGW_QUARANTINE_ADMITTED, 503, "overloaded",
	 "Retry-After: 3"},
	{TGW_OK, TGW_BUSY, false, TGW_QUARANTINE_ADMITTED, 503, "overloaded",
	 "\"not_run\":true"},
	{TGW_OK, TGW_TIMEOUT, false, TGW_QUARANTINE_ADMITTED, 504, "deadline",
	 "\"not_run\":true"},
	{TGW_OK, TGW_NOT_FOUND, false, TGW_QUARANTINE_ADMITTED, 503,
	 "no-server", "\"not_run\":true"},
	{TGW_OK, TGW_OK, true, TGW_QUARANTINE_ADMITTED, 409, "already-settled",
	 "\"not_run\":false"},
	{TGW_OK, TGW_OK, false, TGW_QUARANTINE_REFUSED, 422, "quarantined",
	 "\"not_run\":true"},
	{TGW_OK, TGW_OK, false, TGW_QUARANTINE_BUSY, 503, "overloaded",
	 "Retry-After: 3"},
};

START_TEST(each_refusal_of_an_agent_gives_its_problem)
{
	const struct agent_case *c = &agents[_i];

	fake_agents.reserve_status = c->reserve;
	fake_agents.route_status = c->route;
	fake_agents.already_settled = c->settled;
	fake_agents.verdict = c->verdict;
	ck_assert_int_eq(rig_chat(&rig, "", NO_STREAM, &input), c->status);
	ck_assert(has(c->kind));
	ck_assert_msg(has(c->text), "%s", input.data);
	ck_assert_int_eq(rig.engines[0].streams, 0);
	ck_assert_int_eq(fake_agents.entered, 0);
	if (c->route != TGW_OK || c->verdict != TGW_QUARANTINE_ADMITTED) {
		RIG_WAIT(fake_agents.settles == 1);
		ck_assert_int_eq(fake_agents.last_settle_basis,
				 TGW_SETTLE_NOT_RUN);
	}
}
END_TEST

START_TEST(a_model_outside_the_template_is_refused)
{
	ck_assert_int_eq(rig_call(&rig, "POST", "/v1/chat/completions", "",
				  "{\"model\":\"other\",\"messages\":[{"
				  "\"role\":\"user\",\"content\":\"x\"}]}",
				  &input),
			 403);
	ck_assert(has("\"not_run\":true"));
}
END_TEST

/* Each of these gets an error or a closed connection, and never runs. */
static const char *const malformed[] = {
	"\r\n\r\n\r\n\r\n",
	"NONSENSE\r\n\r\n",
	"GET\r\n\r\n",
	"POST /v1/chat/completions HTTP/9.9\r\n\r\n",
	CHAT_HEAD "Content-Length: -1\r\n\r\n",
	CHAT_HEAD "Content-Length: x\r\n\r\n",
	CHAT_HEAD "Content-Length: 99999999999999999999999\r\n\r\n",
	CHAT_HEAD "Transfer-Encoding: chunked\r\n\r\nzz\r\n",
	CHAT_HEAD "Connection: close\r\nContent-Length: 4\r\n\r\n\xff\xfe{}",
	"\x16\x03\x01\x02\x00\x01\x00\x01\xfc\x03\x03",
};

START_TEST(malformed_requests_never_run)
{
	int status = send_raw(malformed[_i]);

	ck_assert_msg(status == 0 || status >= 400, "status %d", status);
	ck_assert_int_eq(fake_agents.reserves, 0);
	ck_assert_int_eq(rig_chat(&rig, "", NO_STREAM, &input), 200);
}
END_TEST

START_TEST(an_oversized_body_is_refused)
{
	struct buffer text = {0};

	ck_assert_int_eq(send_raw(CHAT_HEAD "Content-Length: 9999999\r\n\r\n"),
			 413);
	ck_assert(has("\"not_run\":true"));
	buffer_add_format(&text,
			  CHAT_HEAD "Connection: close\r\n"
				    "Transfer-Encoding: chunked\r\n\r\n"
				    "%x\r\n%*s\r\n0\r\n\r\n",
			  OVERSIZE_BYTES, OVERSIZE_BYTES, "x");
	ck_assert_int_eq(send_raw(text.data), 413);
	buffer_free(&text);
}
END_TEST

START_TEST(oversized_headers_are_refused)
{
	struct buffer text = {0};
	int status;

	buffer_add_format(&text, CHAT_HEAD "X-Long: %*s\r\n\r\n",
			  OVERSIZE_BYTES, "x");
	status = send_raw(text.data);
	ck_assert_msg(status == 0 || status == 431 || status == 413,
		      "status %d", status);
	ck_assert_int_eq(fake_agents.reserves, 0);
	buffer_free(&text);
}
END_TEST

/* A caller that sends one byte every 100 ms must not keep its connection open
 * for longer than the time in which a request has to be complete. The same
 * applies to a caller that stops in the middle of a body. */
START_TEST(a_caller_that_sends_too_slowly_is_disconnected)
{
	int sent = 0;
	int fd;

	restart_with_short_idle();
	fd = rig_connect(&rig);
	while (send(fd, "G", 1, MSG_NOSIGNAL) == 1 && sent < 100) {
		char byte;

		sent++;
		usleep(100000);
		if (recv(fd, &byte, 1, MSG_DONTWAIT) == 0)
			break;
	}
	ck_assert_int_lt(sent, 100);
	close(fd);
	fd = rig_connect(&rig);
	rig_send(fd, CHAT_HEAD "Content-Length: 500\r\n\r\n{\"model\"");
	ck_assert_int_eq(rig_read_all(fd, &input), 0);
	close(fd);
	ck_assert_int_eq(fake_agents.reserves, 0);
}
END_TEST

START_TEST(an_idle_connection_is_closed)
{
	int fd;

	restart_with_short_idle();
	fd = rig_connect(&rig);
	ck_assert_int_eq(rig_read_all(fd, &input), 0);
	close(fd);
}
END_TEST

/* A caller that shuts down its sending side counts as disconnected, both while
 * it receives a response and in the middle of a request. */
START_TEST(a_half_closed_caller_counts_as_disconnected)
{
	int fd = rig_connect(&rig);

	rig.engines[0].script.hang_at = 2;
	rig_send_chat(fd, "", STREAM);
	ck_assert(rig_read_until(fd, &input, "\"index\":1,"));
	shutdown(fd, SHUT_WR);
	RIG_WAIT(rig.engines[0].cancels == 1);
	RIG_WAIT(rig.runtime.open_requests == 0);
	close(fd);
	/* An incomplete request, followed by the shutdown. */
	fd = rig_connect(&rig);
	rig_send(fd, CHAT_HEAD "Content-Length: 500\r\n\r\n{");
	shutdown(fd, SHUT_WR);
	buffer_clear(&input);
	ck_assert_int_eq(rig_read_all(fd, &input), 0);
	close(fd);
	ck_assert_int_eq(fake_agents.reserves, 1);
}
END_TEST

START_TEST(open_requests_are_limited_for_the_host_and_the_team)
{
	int fds[4];

	fake_agents.routes_stay_queued = true;
	for (int i = 0; i < 4; i++) {
		fds[i] = rig_connect(&rig);
		rig_send_chat(fds[i], "", STREAM);
	}
	RIG_WAIT(fake_agents.submits == 4);
	ck_assert_int_eq(rig_chat(&rig, "", NO_STREAM, &input), 503);
	ck_assert(has("overloaded"));
	ck_assert(has("Retry-After: 1"));
	close(fds[0]);
	RIG_WAIT(rig.runtime.open_requests == 3);
	rig.template.max_open_requests = 3;
	ck_assert_int_eq(rig_chat(&rig, "", NO_STREAM, &input), 429);
	ck_assert(has("team-limit"));
	ck_assert(has("\"not_run\":true"));
	for (int i = 1; i < 4; i++)
		close(fds[i]);
}
END_TEST

static long connection_gauge(void)
{
	static const char name[] = "\ntamarackgw_caller_connections ";
	struct buffer text = {0};
	const char *at;
	long value;

	gateway_write_metrics(rig.gateway, &text);
	at = strstr(text.data, name);
	ck_assert_ptr_nonnull(at);
	value = strtol(at + strlen(name), NULL, 10);
	buffer_free(&text);
	return value;
}

/* Connections above the limit wait in the listen backlog. */
START_TEST(connections_above_the_limit_wait_until_others_close)
{
	int fds[40];
	long max = 0;

	for (int i = 0; i < 40; i++)
		fds[i] = rig_connect(&rig);
	for (int i = 0; i < 40; i++) {
		long now = connection_gauge();

		max = now > max ? now : max;
		buffer_clear(&input);
		rig_send(fds[i], "GET /nothing HTTP/1.1\r\nHost: x\r\n"
				 "Connection: close\r\n\r\n");
		ck_assert_int_eq(rig_read_all(fds[i], &input), 404);
		close(fds[i]);
	}
	ck_assert_int_gt(max, 1);
	ck_assert_int_le(max, 16);
}
END_TEST

START_TEST(a_stopping_host_refuses_new_and_completes_open_requests)
{
	int open = rig_connect(&rig);
	int idle = rig_connect(&rig);

	rig.engines[0].script.delay_us = 100000;
	rig_send_chat(open, "", STREAM);
	ck_assert(rig_read_until(open, &input, "\"index\":0,"));
	gateway_stop_accepting(rig.gateway);
	/* A new request on an idle connection is refused, and the connection is
	 * closed. */
	buffer_clear(&input);
	rig_send(idle, CHAT_HEAD "Content-Length: 2\r\n\r\n{}");
	ck_assert_int_eq(rig_read_all(idle, &input), 503);
	ck_assert(has("stopping"));
	ck_assert(has("\"not_run\":true"));
	ck_assert(has("Retry-After: 1"));
	close(idle);
	buffer_clear(&input);
	rig_read_all(open, &input);
	ck_assert(has("\"index\":4,"));
	ck_assert(has("data: [DONE]"));
	close(open);
	RIG_WAIT(rig.runtime.open_requests == 0);
	RIG_WAIT(fake_agents.settles == 1);
}
END_TEST

static struct stop_plan plan;
static atomic_bool plan_ticked;

static void tick_plan(void *arg)
{
	stop_plan_tick(&plan, &rig.runtime, rig.gateway);
	plan_ticked = true;
}

/* @return the phase after the plan has looked at the gateway */
static enum stop_phase next_phase(void)
{
	plan_ticked = false;
	executor_post(event_loop_executor(rig.loop), tick_plan, NULL);
	RIG_WAIT(plan_ticked);
	return plan.phase;
}

/* Its socket, and with small segments the gateway's, hold little. */
static int connect_slow_caller(void)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	int buffer_bytes = RECEIVE_BUFFER_BYTES;
	int segment_bytes = SEGMENT_BYTES;
	int fd = socket(AF_INET, SOCK_STREAM, 0);

	setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &buffer_bytes,
		   sizeof(buffer_bytes));
	setsockopt(fd, IPPROTO_TCP, TCP_MAXSEG, &segment_bytes,
		   sizeof(segment_bytes));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	address.sin_port = htons(gateway_port(rig.gateway));
	ck_assert_int_eq(
		connect(fd, (struct sockaddr *)&address, sizeof(address)), 0);
	return fd;
}

START_TEST(a_planned_stop_waits_until_responses_are_written)
{
	int fd = connect_slow_caller();

	rig.engines[0].script.pad_bytes = PAD_BYTES;
	rig_send_chat(fd, "", STREAM);
	RIG_WAIT(fake_agents.settles == 1);
	RIG_WAIT(rig.runtime.open_requests == 0);
	plan = (struct stop_plan){
		.phase = STOP_FINISH_REQUESTS,
		.phase_ends_us = INT64_MAX,
	};
	ck_assert_int_eq(next_phase(), STOP_FINISH_REQUESTS);
	rig_read_all(fd, &input);
	ck_assert(has("data: [DONE]"));
	RIG_WAIT(next_phase() == STOP_DONE);
	close(fd);
}
END_TEST

START_TEST(the_metrics_count_calls_and_tokens)
{
	struct buffer text = {0};

	rig_chat(&rig, "", STREAM, &input);
	rig_chat(&rig, "", ",\"n\":2", &input);
	RIG_WAIT(fake_agents.settles == 1);
	gateway_write_metrics(rig.gateway, &text);
	ck_assert(strstr(text.data, "tamarackgw_calls_total{kind=\"model\","
				    "outcome=\"answered\"} 1\n"));
	ck_assert(strstr(text.data, "problems_total{kind=\"invalid\"} 1\n"));
	ck_assert(strstr(text.data, "settled_total{basis=\"usage\"} 1\n"));
	ck_assert(strstr(text.data, "tamarackgw_settled_tokens_total 10\n"));
	ck_assert(strstr(text.data, "tamarackgw_streamed_tokens_total 5\n"));
	ck_assert(strstr(text.data, "first_token_seconds_count 1\n"));
	buffer_free(&text);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("gateway_limits");
	TCase *tcase = tcase_create("limits");

	tcase_set_timeout(tcase, 30);
	tcase_add_checked_fixture(tcase, setup, teardown);
	tcase_add_loop_test(tcase, a_bad_request_is_refused_as_not_run, 0,
			    (int)(sizeof(refusals) / sizeof(refusals[0])));
	tcase_add_test(tcase, key_method_and_path_are_checked);
	tcase_add_loop_test(tcase, each_refusal_of_an_agent_gives_its_problem,
			    0, (int)(sizeof(agents) / sizeof(agents[0])));
	tcase_add_test(tcase, a_model_outside_the_template_is_refused);
	tcase_add_loop_test(tcase, malformed_requests_never_run, 0,
			    (int)(sizeof(malformed) / sizeof(malformed[0])));
	tcase_add_test(tcase, an_oversized_body_is_refused);
	tcase_add_test(tcase, oversized_headers_are_refused);
	tcase_add_test(tcase, a_caller_that_sends_too_slowly_is_disconnected);
	tcase_add_test(tcase, an_idle_connection_is_closed);
	tcase_add_test(tcase, a_half_closed_caller_counts_as_disconnected);
	tcase_add_test(tcase,
		       open_requests_are_limited_for_the_host_and_the_team);
	tcase_add_test(tcase,
		       connections_above_the_limit_wait_until_others_close);
	tcase_add_test(tcase,
		       a_stopping_host_refuses_new_and_completes_open_requests);
	tcase_add_test(tcase, a_planned_stop_waits_until_responses_are_written);
	tcase_add_test(tcase, the_metrics_count_calls_and_tokens);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
