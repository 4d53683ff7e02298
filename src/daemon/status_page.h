/**
 * @file status_page.h
 * A host's state in JSON, for operators.
 */
#ifndef DAEMON_STATUS_PAGE_H
#define DAEMON_STATUS_PAGE_H

#include "base/buffer.h"
#include "daemon/runtime.h"

/** Appends the page. Must be called on the coordination thread. */
void status_page_write(const struct runtime *runtime, struct buffer *text);

#endif
