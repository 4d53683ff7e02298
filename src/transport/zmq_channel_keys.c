#include <string.h>

#include "transport/secret_file.h"
#include "transport/zmq_channel.h"

/* Reads one line with a key and moves the text past it. */
static bool read_key(const char **text, char key[ZMQ_CHANNEL_KEY_SIZE])
{
	size_t length = strcspn(*text, "\r\n");

	if (length != ZMQ_CHANNEL_KEY_SIZE - 1)
		return false;
	memcpy(key, *text, length);
	key[length] = '\0';
	*text += length;
	*text += strspn(*text, "\r\n");
	return true;
}

enum tgw_status zmq_channel_keys_read(struct zmq_channel_keys *keys,
				      const char *path, struct tgw_error *error)
{
	struct buffer content = {0};
	enum tgw_status status = secret_file_read(path, &content, error);
	const char *text = content.data ? content.data : "";

	if (status == TGW_OK && (!read_key(&text, keys->public_key) ||
				 !read_key(&text, keys->secret_key)))
		status = tgw_error_set(error, TGW_INVALID,
				       "the peer key file %s needs two lines "
				       "of 40 characters, public key then "
				       "secret key",
				       path);
	buffer_free(&content);
	return status;
}
