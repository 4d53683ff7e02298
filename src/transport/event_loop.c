#include "transport/event_loop.h"

#include <assert.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>

#include "base/xalloc.h"
#include "transport/mailbox.h"

struct event_loop {
	uv_loop_t uv;
	uv_async_t wake;
	uv_prepare_t before_wait;
	uv_check_t after_wait;
	struct mailbox *mailbox;
	void (*before_wait_hook)(void *arg, bool ran);
	void *arg;
	bool ran; /* mailbox functions ran since the last hook call */
	atomic_bool is_running;
	pthread_t thread; /* valid while is_running */
};

/* The loop's thread needs no wake-up: it runs the mailbox before it waits. */
static void wake(void *arg)
{
	struct event_loop *loop = arg;

	if (atomic_load(&loop->is_running) &&
	    pthread_equal(loop->thread, pthread_self()))
		return;
	uv_async_send(&loop->wake);
}

static void on_wake(uv_async_t *async)
{
	/* after_wait() runs the mailbox in this iteration. */
}

static void before_wait(uv_prepare_t *handle)
{
	struct event_loop *loop = handle->data;
	bool ran = loop->ran;

	do {
		ran |= mailbox_run(loop->mailbox);
		if (loop->before_wait_hook)
			loop->before_wait_hook(loop->arg, ran);
		ran = mailbox_run(loop->mailbox);
	} while (ran);
	loop->ran = false;
}

static void after_wait(uv_check_t *handle)
{
	struct event_loop *loop = handle->data;

	loop->ran |= mailbox_run(loop->mailbox);
}

struct event_loop *event_loop_new(void)
{
	struct event_loop *loop = xcalloc(1, sizeof(*loop));

	if (uv_loop_init(&loop->uv) < 0 ||
	    uv_async_init(&loop->uv, &loop->wake, on_wake) < 0)
		abort();
	loop->mailbox = mailbox_new(wake, loop);
	uv_prepare_init(&loop->uv, &loop->before_wait);
	uv_check_init(&loop->uv, &loop->after_wait);
	loop->before_wait.data = loop;
	loop->after_wait.data = loop;
	uv_prepare_start(&loop->before_wait, before_wait);
	uv_check_start(&loop->after_wait, after_wait);
	return loop;
}

void event_loop_drain(struct event_loop *loop)
{
	while (mailbox_run(loop->mailbox))
		;
}

void event_loop_free(struct event_loop *loop)
{
	if (!loop)
		return;
	loop->before_wait_hook = NULL;
	event_loop_drain(loop);
	uv_close((uv_handle_t *)&loop->wake, NULL);
	uv_close((uv_handle_t *)&loop->before_wait, NULL);
	uv_close((uv_handle_t *)&loop->after_wait, NULL);
	uv_run(&loop->uv, UV_RUN_DEFAULT);
	while (mailbox_run(loop->mailbox))
		uv_run(&loop->uv, UV_RUN_DEFAULT);
	if (uv_loop_close(&loop->uv) < 0)
		abort();
	mailbox_free(loop->mailbox);
	free(loop);
}

uv_loop_t *event_loop_uv(struct event_loop *loop)
{
	return &loop->uv;
}

struct executor *event_loop_executor(struct event_loop *loop)
{
	return mailbox_executor(loop->mailbox);
}

void event_loop_set_before_wait_hook(struct event_loop *loop,
				     void (*hook)(void *arg, bool ran),
				     void *arg)
{
	loop->before_wait_hook = hook;
	loop->arg = arg;
}

void event_loop_run_until(struct event_loop *loop, const bool *done)
{
	loop->thread = pthread_self();
	atomic_store(&loop->is_running, true);
	while (!*done)
		uv_run(&loop->uv, UV_RUN_ONCE);
	atomic_store(&loop->is_running, false);
}
