/**
 * @file secret_file.h
 * Reads files that hold secrets. Only their owner may have access to them.
 */
#ifndef TRANSPORT_SECRET_FILE_H
#define TRANSPORT_SECRET_FILE_H

#include "base/buffer.h"
#include "tamarackgw/status.h"

/** Checks that a file is a regular file that only its owner may use. */
enum tgw_status secret_file_check(const char *path, struct tgw_error *error);

/** Checks and reads a whole file. The error never contains any of it. */
enum tgw_status secret_file_read(const char *path, struct buffer *content,
				 struct tgw_error *error);

#endif
