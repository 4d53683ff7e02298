/**
 * @file mailbox.h
 * A queue of functions for one thread, filled by any thread.
 */
#ifndef TRANSPORT_MAILBOX_H
#define TRANSPORT_MAILBOX_H

#include <stdbool.h>

#include "base/executor.h"

struct mailbox;

/** @param wake called after a post to an empty queue; thread-safe */
struct mailbox *mailbox_new(void (*wake)(void *arg), void *arg);

/** Runs nothing that is left; the owner empties it first. */
void mailbox_free(struct mailbox *mailbox);

struct executor *mailbox_executor(struct mailbox *mailbox);

/** Runs what was posted. @return whether anything ran */
bool mailbox_run(struct mailbox *mailbox);

#endif
