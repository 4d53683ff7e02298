/**
 * @file name_copy.h
 * Copies names of bounded length.
 */
#ifndef STATE_NAME_COPY_H
#define STATE_NAME_COPY_H

#include <string.h>

#include "tamarackgw/host_view.h"

/** Copies a name and its terminator; what does not fit is cut off. */
static inline void name_copy(char to[TGW_NAME_SIZE], const char *from)
{
	size_t length = strnlen(from, TGW_NAME_SIZE - 1);

	memcpy(to, from, length);
	to[length] = '\0';
}

#endif
