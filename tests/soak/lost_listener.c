#include "soak/lost_listener.h"

#include <stddef.h>

#define NS_PER_US 1000
#define US_PER_MS 1000

static int64_t now_us(void)
{
	return (int64_t)(uv_hrtime() / NS_PER_US);
}

int64_t lost_listener_pause_left_us(const struct lost_listener *listener)
{
	return listener->paused_until_us - now_us();
}

static void resume_later(struct lost_listener *listener);

static void on_resume(uv_timer_t *timer)
{
	struct lost_listener *listener = timer->data;

	/* The timer counts from the loop's time, which may be behind. */
	if (lost_listener_pause_left_us(listener) > 0) {
		resume_later(listener);
		return;
	}
	if (!listener->accept_waits)
		return;
	listener->accept_waits = false;
	listener->accept((uv_stream_t *)listener->tcp);
}

static void resume_later(struct lost_listener *listener)
{
	int64_t left_us = lost_listener_pause_left_us(listener);

	uv_timer_start(&listener->resume, on_resume,
		       (uint64_t)(left_us / US_PER_MS) + 1, 0);
}

void lost_listener_init(struct lost_listener *listener, uv_loop_t *loop,
			uv_tcp_t *tcp, void (*accept)(uv_stream_t *tcp))
{
	*listener = (struct lost_listener){.tcp = tcp, .accept = accept};
	uv_timer_init(loop, &listener->resume);
	listener->resume.data = listener;
}

void lost_listener_on_connection(struct lost_listener *listener)
{
	/* Not accepted, the loop waits with further ones as well. */
	if (lost_listener_pause_left_us(listener) > 0)
		listener->accept_waits = true;
	else
		listener->accept((uv_stream_t *)listener->tcp);
}

void lost_listener_pause(struct lost_listener *listener, unsigned int pause_ms)
{
	listener->paused_until_us = now_us() + (int64_t)pause_ms * US_PER_MS;
	resume_later(listener);
}
