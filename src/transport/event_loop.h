/**
 * @file event_loop.h
 * The one thread of a program: libuv's loop, and a mailbox that runs in it.
 */
#ifndef TRANSPORT_EVENT_LOOP_H
#define TRANSPORT_EVENT_LOOP_H

#include <stdbool.h>
#include <uv.h>

#include "base/executor.h"

struct event_loop;

struct event_loop *event_loop_new(void);

/** Runs what is left of the mailbox and waits for handles to close; all that
 * uses the loop must have been closed or freed. */
void event_loop_free(struct event_loop *loop);

uv_loop_t *event_loop_uv(struct event_loop *loop);

/** Functions run on the loop, never from inside the post. */
struct executor *event_loop_executor(struct event_loop *loop);

/** Runs all functions of the mailbox, also those that they post. */
void event_loop_drain(struct event_loop *loop);

/** @param round called in each round before the loop waits
 * (@param ran: functions of the mailbox ran) */
void event_loop_set_round(struct event_loop *loop,
			  void (*round)(void *arg, bool ran), void *arg);

/** Runs on this thread until the flag is set, on this thread, too. */
void event_loop_run_until(struct event_loop *loop, const bool *done);

#endif
