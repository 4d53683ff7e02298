#include "transport/zap_handler.h"

#include <sodium.h>
#include <stdbool.h>
#include <stdlib.h>
#include <string.h>
#include <zmq.h>

#include "base/xalloc.h"

#define ZAP_ENDPOINT "inproc://zeromq.zap.01"
#define ZAP_VERSION "1.0"
#define CURVE_KEY_BYTES 32
#define PART_MAX_BYTES 256

/* The message parts of a ZAP request, in order. */
enum zap_part {
	ZAP_PART_VERSION,
	ZAP_PART_SEQUENCE,
	ZAP_PART_DOMAIN,
	ZAP_PART_ADDRESS,
	ZAP_PART_IDENTITY,
	ZAP_PART_MECHANISM,
	ZAP_PART_CREDENTIALS,
	ZAP_PART_COUNT
};

struct zap_request {
	size_t count;
	size_t sizes[ZAP_PART_COUNT];
	uint8_t parts[ZAP_PART_COUNT][PART_MAX_BYTES];
};

struct zap_handler {
	void *socket;
	uint8_t public_key[CURVE_KEY_BYTES];
	uint64_t refused;
};

struct zap_handler *zap_handler_new(void *context, const char *public_key)
{
	struct zap_handler *handler = xcalloc(1, sizeof(*handler));

	zmq_z85_decode(handler->public_key, public_key);
	handler->socket = zmq_socket(context, ZMQ_REP);
	zmq_bind(handler->socket, ZAP_ENDPOINT);
	return handler;
}

void zap_handler_free(struct zap_handler *handler)
{
	if (!handler)
		return;
	zmq_close(handler->socket);
	free(handler);
}

void *zap_handler_socket(const struct zap_handler *handler)
{
	return handler ? handler->socket : NULL;
}

static bool receive_request(struct zap_handler *handler,
			    struct zap_request *request)
{
	int more = 1;
	size_t more_size = sizeof(more);

	memset(request, 0, sizeof(*request));
	while (more) {
		uint8_t part[PART_MAX_BYTES];
		int size = zmq_recv(handler->socket, part, sizeof(part),
				    ZMQ_DONTWAIT);

		if (size < 0)
			return false;
		if (request->count < ZAP_PART_COUNT &&
		    (size_t)size <= sizeof(part)) {
			memcpy(request->parts[request->count], part,
			       (size_t)size);
			request->sizes[request->count] = (size_t)size;
		}
		request->count++;
		zmq_getsockopt(handler->socket, ZMQ_RCVMORE, &more, &more_size);
	}
	return true;
}

static bool is_admitted(const struct zap_handler *handler,
			const struct zap_request *request)
{
	return request->count == ZAP_PART_COUNT &&
	       request->sizes[ZAP_PART_MECHANISM] == strlen("CURVE") &&
	       !memcmp(request->parts[ZAP_PART_MECHANISM], "CURVE",
		       strlen("CURVE")) &&
	       request->sizes[ZAP_PART_CREDENTIALS] == CURVE_KEY_BYTES &&
	       !sodium_memcmp(request->parts[ZAP_PART_CREDENTIALS],
			      handler->public_key, CURVE_KEY_BYTES);
}

static void send_part(struct zap_handler *handler, const void *data,
		      size_t size, bool more)
{
	zmq_send(handler->socket, data, size, more ? ZMQ_SNDMORE : 0);
}

void zap_handler_serve(struct zap_handler *handler)
{
	struct zap_request request;

	if (!handler)
		return;
	while (receive_request(handler, &request)) {
		bool admitted = is_admitted(handler, &request);
		const char *code = admitted ? "200" : "400";

		handler->refused += admitted ? 0 : 1;
		send_part(handler, ZAP_VERSION, strlen(ZAP_VERSION), true);
		send_part(handler, request.parts[ZAP_PART_SEQUENCE],
			  request.sizes[ZAP_PART_SEQUENCE], true);
		send_part(handler, code, strlen(code), true);
		send_part(handler, "", 0, true);
		send_part(handler, "", 0, true);
		send_part(handler, "", 0, false);
	}
}

uint64_t zap_handler_refused(const struct zap_handler *handler)
{
	return handler ? handler->refused : 0;
}
