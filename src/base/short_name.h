/**
 * @file short_name.h
 * Names of any length as values of a fixed size, which are equal if and only if
 * the names are.
 *
 * A name that fits stands for itself. In place of a longer one stands its
 * beginning with a digest of the whole: `~BEGINNING~DIGEST`. So a short name
 * can be compared, stored, logged and sent between hosts, and nobody has to
 * look whether something was cut. Where the whole name is needed, it is kept
 * beside the short one.
 */
#ifndef BASE_SHORT_NAME_H
#define BASE_SHORT_NAME_H

#include <stddef.h>

#include "tamarackgw/host_view.h"

/** Sets the short name of a whole one. An empty text is a name as well; its
 * short name is not empty. */
void short_name_set(char name[TGW_NAME_SIZE], const char *text);

/** As short_name_set(), for text that may contain null bytes and need not end
 * with one. */
void short_name_set_bytes(char name[TGW_NAME_SIZE], const char *bytes,
			  size_t size);

/** Copies a short name. */
void short_name_copy(char name[TGW_NAME_SIZE], const char *short_name);

#endif
