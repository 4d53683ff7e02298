/**
 * @file mailbox.h
 * A queue of functions for one thread, filled by any thread.
 */
#ifndef TRANSPORT_MAILBOX_H
#define TRANSPORT_MAILBOX_H

#include <stdbool.h>

#include "base/executor.h"

struct mailbox;

/** @param wake called after a post to an empty queue, from any thread */
struct mailbox *mailbox_new(void (*wake)(void *arg), void *arg);

/** The mailbox must be empty: functions that are left would never run. */
void mailbox_free(struct mailbox *mailbox);

struct executor *mailbox_executor(struct mailbox *mailbox);

/** Runs posted functions until none is left. @return whether any ran */
bool mailbox_run(struct mailbox *mailbox);

#endif
