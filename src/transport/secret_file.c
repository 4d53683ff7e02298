#include "transport/secret_file.h"

#include <errno.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

#define CHUNK_BYTES 4096
#define SECRET_MAX_BYTES (1024 * 1024)

static enum tgw_status check_mode(const char *path, const struct stat *status,
				  struct tgw_error *error)
{
	if (!S_ISREG(status->st_mode))
		return tgw_error_set(error, TGW_INVALID,
				     "%s is not a regular file; name a file "
				     "that holds the secret",
				     path);
	if (status->st_mode & (S_IRWXG | S_IRWXO))
		return tgw_error_set(error, TGW_DENIED,
				     "%s may be used by others (mode %03o); "
				     "run 'chmod 600 %s'",
				     path, (unsigned)status->st_mode & 0777,
				     path);
	return TGW_OK;
}

enum tgw_status secret_file_check(const char *path, struct tgw_error *error)
{
	struct stat status;

	if (stat(path, &status) != 0)
		return tgw_error_set(error, TGW_NOT_FOUND,
				     "%s can't be read: %s", path,
				     strerror(errno));
	return check_mode(path, &status, error);
}

enum tgw_status secret_file_read(const char *path, struct buffer *content,
				 struct tgw_error *error)
{
	char chunk[CHUNK_BYTES];
	struct stat status;
	enum tgw_status result;
	size_t size;
	FILE *file = fopen(path, "rbe");

	if (!file)
		return tgw_error_set(error, TGW_NOT_FOUND,
				     "%s can't be read: %s", path,
				     strerror(errno));
	/* Checks the open file: the path may name another file by now. */
	if (fstat(fileno(file), &status) != 0)
		result = tgw_error_set(error, TGW_NOT_FOUND,
				       "%s can't be read: %s", path,
				       strerror(errno));
	else
		result = check_mode(path, &status, error);
	while (result == TGW_OK &&
	       (size = fread(chunk, 1, sizeof(chunk), file)) > 0) {
		buffer_add(content, chunk, size);
		if (content->size > SECRET_MAX_BYTES)
			result = tgw_error_set(error, TGW_TOO_LARGE,
					       "%s is over 1 MB; name a file "
					       "that holds a secret",
					       path);
	}
	fclose(file);
	return result;
}
