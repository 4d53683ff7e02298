/**
 * @file xalloc.h
 * Allocation that aborts the process when memory runs out.
 */
#ifndef BASE_XALLOC_H
#define BASE_XALLOC_H

#include <stddef.h>

void *xmalloc(size_t size);
void *xcalloc(size_t count, size_t size);
void *xrealloc(void *memory, size_t size);
void *xmemdup(const void *memory, size_t size);
char *xstrdup(const char *text);

/** Formats into new memory, to be released with free(). Aborts also when the
 * format fails. */
char *xasprintf(const char *format, ...) __attribute__((format(printf, 1, 2)));

#endif
