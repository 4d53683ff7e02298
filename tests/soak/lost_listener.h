/**
 * @file lost_listener.h
 * A listener that accepts no connection for a while, and then goes on. What
 * connects meanwhile waits.
 */
#ifndef LOST_LISTENER_H
#define LOST_LISTENER_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

struct lost_listener {
	uv_tcp_t *tcp;
	/** Has to accept one connection. */
	void (*accept)(uv_stream_t *tcp);
	uv_timer_t resume;
	int64_t paused_until_us;
	bool accept_waits;
};

/** @param tcp a listener whose connection callback calls
 * lost_listener_on_connection() */
void lost_listener_init(struct lost_listener *listener, uv_loop_t *loop,
			uv_tcp_t *tcp, void (*accept)(uv_stream_t *tcp));

/** Accepts a connection, or leaves it waiting. */
void lost_listener_on_connection(struct lost_listener *listener);

void lost_listener_pause(struct lost_listener *listener, unsigned int pause_ms);

/** @return the rest of the pause, not above 0 if there is none */
int64_t lost_listener_pause_left_us(const struct lost_listener *listener);

#endif
