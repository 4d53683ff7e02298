/**
 * @file secret_file.h
 * Files with secrets in them: read only when nobody else may read them.
 */
#ifndef TRANSPORT_SECRET_FILE_H
#define TRANSPORT_SECRET_FILE_H

#include "base/buffer.h"
#include "tamarackgw/status.h"

/** Checks that a file is a regular one that only its owner may use. */
enum tgw_status secret_file_check(const char *path, struct tgw_error *error);

/** Checks and reads a whole file. No part of it goes into the error. */
enum tgw_status secret_file_read(const char *path, struct buffer *content,
				 struct tgw_error *error);

#endif
