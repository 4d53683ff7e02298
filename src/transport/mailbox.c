#include "transport/mailbox.h"

#include <assert.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <urcu/wfcqueue.h>

#include "base/xalloc.h"

struct task {
	struct cds_wfcq_node node; /* first member */
	/* Synchronizes the threads a second time for ThreadSanitizer, which
	 * does not see the queue's own barriers. */
	atomic_bool published;
	void (*run)(void *arg);
	void *arg;
};

struct mailbox {
	struct executor executor; /* first member */
	struct cds_wfcq_head head;
	struct cds_wfcq_tail tail;
	void (*wake)(void *arg);
	void *arg;
};

static void mailbox_post(struct executor *executor, void (*run)(void *arg),
			 void *arg)
{
	struct mailbox *mailbox = (struct mailbox *)executor;
	struct task *task = xmalloc(sizeof(*task));

	cds_wfcq_node_init(&task->node);
	task->run = run;
	task->arg = arg;
	atomic_store_explicit(&task->published, true, memory_order_release);
	if (!cds_wfcq_enqueue(&mailbox->head, &mailbox->tail, &task->node))
		mailbox->wake(mailbox->arg);
}

static const struct executor_ops mailbox_ops = {.post = mailbox_post};

struct mailbox *mailbox_new(void (*wake)(void *arg), void *arg)
{
	struct mailbox *mailbox = xcalloc(1, sizeof(*mailbox));

	mailbox->executor.ops = &mailbox_ops;
	cds_wfcq_init(&mailbox->head, &mailbox->tail);
	mailbox->wake = wake;
	mailbox->arg = arg;
	return mailbox;
}

void mailbox_free(struct mailbox *mailbox)
{
	if (!mailbox)
		return;
	assert(cds_wfcq_empty(&mailbox->head, &mailbox->tail));
	cds_wfcq_destroy(&mailbox->head, &mailbox->tail);
	free(mailbox);
}

struct executor *mailbox_executor(struct mailbox *mailbox)
{
	return &mailbox->executor;
}

bool mailbox_run(struct mailbox *mailbox)
{
	bool ran = false;

	for (;;) {
		struct cds_wfcq_node *node = __cds_wfcq_dequeue_blocking(
			&mailbox->head, &mailbox->tail);
		struct task *task = (struct task *)node;

		if (!task)
			return ran;
		if (!atomic_load_explicit(&task->published,
					  memory_order_acquire))
			abort();
		task->run(task->arg);
		free(task);
		ran = true;
	}
}
