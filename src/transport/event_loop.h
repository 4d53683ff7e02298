/**
 * @file event_loop.h
 * The event loop of a program that has one thread: libuv's loop, and a mailbox
 * whose functions run in it.
 */
#ifndef TRANSPORT_EVENT_LOOP_H
#define TRANSPORT_EVENT_LOOP_H

#include <stdbool.h>
#include <uv.h>

#include "base/executor.h"

struct event_loop;

struct event_loop *event_loop_new(void);

/** Runs what is left in the mailbox and waits for handles to close. Everything
 * that uses the loop must have been closed or freed before. */
void event_loop_free(struct event_loop *loop);

uv_loop_t *event_loop_uv(struct event_loop *loop);

/** @return an executor whose functions run on the loop's thread, never from
 * inside executor_post() */
struct executor *event_loop_executor(struct event_loop *loop);

/** Runs all functions of the mailbox, including those that they post. */
void event_loop_drain(struct event_loop *loop);

/** @param hook called in each iteration before the loop waits, and again as
 * long as functions of the mailbox ran after it; or NULL. `ran` is whether
 * functions of the mailbox have run since the last call */
void event_loop_set_before_wait_hook(struct event_loop *loop,
				     void (*hook)(void *arg, bool ran),
				     void *arg);

/** Runs the loop on this thread until a function on it sets the flag. */
void event_loop_run_until(struct event_loop *loop, const bool *done);

#endif
