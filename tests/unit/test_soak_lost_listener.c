/* Tests the listener of the fault soak that accepts nothing for a while. */
#include "fakes/loop_listener.h"
#include "soak/lost_listener.h"
#include "unit/unit_main.h"

#include <string.h>
#include <time.h>

#define CONNECTIONS 4
#define PAUSE_MS 60
/* By which the loop's time is behind when the pause begins. */
#define BEHIND_MS 40
#define CONNECT_EVERY_MS 12
#define TIME_LIMIT_MS 2000

static uv_loop_t loop;
static uv_tcp_t tcp;
static struct lost_listener listener;
static char address[32];
static uv_tcp_t callers[CONNECTIONS];
static uv_connect_t connecting[CONNECTIONS];
static uv_tcp_t accepted[CONNECTIONS];
static uv_timer_t caller_timer;
static uv_timer_t limit_timer;
static unsigned int caller_count;
static unsigned int accepted_count;
static bool accepted_early;

static void accept_one(uv_stream_t *stream)
{
	uv_tcp_t *conn = &accepted[accepted_count++];

	accepted_early |= lost_listener_pause_left_us(&listener) > 0;
	uv_tcp_init(&loop, conn);
	uv_accept(stream, (uv_stream_t *)conn);
	if (accepted_count == CONNECTIONS)
		uv_stop(&loop);
}

static void on_connection(uv_stream_t *stream, int status)
{
	lost_listener_on_connection(&listener);
}

static void on_connected(uv_connect_t *request, int status)
{
	ck_assert_int_eq(status, 0);
}

static void on_caller_timer(uv_timer_t *timer)
{
	struct sockaddr_in to;
	unsigned int i = caller_count++;

	uv_ip4_addr("127.0.0.1",
		    (int)strtol(strchr(address, ':') + 1, NULL, 10), &to);
	uv_tcp_init(&loop, &callers[i]);
	uv_tcp_connect(&connecting[i], &callers[i], (struct sockaddr *)&to,
		       on_connected);
	if (caller_count == CONNECTIONS)
		uv_timer_stop(timer);
}

static void on_limit(uv_timer_t *timer)
{
	uv_stop(&loop);
}

/* The loop's time stands still while one of its callbacks runs. */
static void on_pause(uv_timer_t *timer)
{
	struct timespec behind = {.tv_nsec = BEHIND_MS * 1000000L};

	nanosleep(&behind, NULL);
	lost_listener_pause(&listener, PAUSE_MS);
	uv_timer_start(&caller_timer, on_caller_timer, 0, CONNECT_EVERY_MS);
}

START_TEST(all_are_accepted_after_a_pause_that_began_in_a_late_loop)
{
	uv_timer_t pause_timer;

	uv_loop_init(&loop);
	loop_listener_start(&tcp, &loop, on_connection, NULL, address,
			    sizeof(address));
	lost_listener_init(&listener, &loop, &tcp, accept_one);
	uv_timer_init(&loop, &caller_timer);
	uv_timer_init(&loop, &limit_timer);
	uv_timer_init(&loop, &pause_timer);
	uv_timer_start(&pause_timer, on_pause, 0, 0);
	uv_timer_start(&limit_timer, on_limit, TIME_LIMIT_MS, 0);
	uv_run(&loop, UV_RUN_DEFAULT);
	ck_assert_uint_eq(accepted_count, CONNECTIONS);
	ck_assert(!accepted_early);
}
END_TEST

int main(void)
{
	Suite *suite = suite_create("soak_lost_listener");
	TCase *tcase = tcase_create("pause");

	tcase_add_test(
		tcase,
		all_are_accepted_after_a_pause_that_began_in_a_late_loop);
	suite_add_tcase(suite, tcase);
	return unit_main(suite);
}
