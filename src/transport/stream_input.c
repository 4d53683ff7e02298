#include "transport/stream_input.h"

#include <errno.h>
#include <sys/socket.h>

enum stream_input stream_input_look(const uv_tcp_t *tcp)
{
	uv_os_fd_t descriptor;
	ssize_t size;
	char byte;

	if (uv_fileno((const uv_handle_t *)tcp, &descriptor))
		return STREAM_INPUT_ENDED;
	size = recv(descriptor, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
	if (size > 0)
		return STREAM_INPUT_BYTES;
	return size < 0 && errno == EAGAIN ? STREAM_INPUT_NONE
					   : STREAM_INPUT_ENDED;
}
