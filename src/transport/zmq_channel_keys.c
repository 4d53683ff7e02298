#include "transport/zmq_channel.h"

#include <stdio.h>
#include <string.h>
#include <sys/stat.h>

static bool read_key(FILE *file, char key[ZMQ_CHANNEL_KEY_SIZE])
{
	char line[ZMQ_CHANNEL_KEY_SIZE + 2];

	if (!fgets(line, sizeof(line), file))
		return false;
	line[strcspn(line, "\r\n")] = '\0';
	if (strlen(line) != ZMQ_CHANNEL_KEY_SIZE - 1)
		return false;
	memcpy(key, line, ZMQ_CHANNEL_KEY_SIZE);
	return true;
}

enum tgw_status zmq_channel_keys_read(struct zmq_channel_keys *keys,
				      const char *path, struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;
	struct stat info;
	FILE *file = fopen(path, "r");

	if (!file || fstat(fileno(file), &info)) {
		status = tgw_error_set(error, TGW_NOT_FOUND,
				       "can't read the peer key file %s; "
				       "check [security] peer_secret_file",
				       path);
		goto done;
	}
	if (info.st_mode & (S_IRWXG | S_IRWXO)) {
		status = tgw_error_set(error, TGW_DENIED,
				       "the peer key file %s is open to "
				       "group or others; run chmod 600 on it",
				       path);
		goto done;
	}
	if (!read_key(file, keys->public_key) ||
	    !read_key(file, keys->secret_key))
		status = tgw_error_set(error, TGW_INVALID,
				       "the peer key file %s needs two lines "
				       "of 40 characters, public key then "
				       "secret key",
				       path);
done:
	if (file)
		fclose(file);
	return status;
}
