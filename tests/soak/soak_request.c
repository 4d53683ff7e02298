#include "soak/soak_request.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

/* Numbers without common factors spread sizes over requests. */
#define EVENTS_MIN 2
#define EVENTS_SPREAD 37
#define BODY_MAX_BYTES 3000
#define ANSWER_SPREAD_BYTES 9000
/* One answer in this many is larger than a host buffers. */
#define LARGE_EVERY 61
#define LARGE_BYTES (400 * 1024)

static const char *const route_names[SOAK_KINDS] = {
	[SOAK_SAFE] = "safe",	     [SOAK_UNSAFE] = "unsafe",
	[SOAK_STREAM] = "stream",    [SOAK_RESUME] = "resume",
	[SOAK_VERSION_KEY] = "safe",
};

struct soak_request *soak_requests_add(struct soak_requests *requests)
{
	struct soak_request *request = xcalloc(1, sizeof(*request));

	if (requests->count == requests->capacity) {
		requests->capacity = requests->capacity * 2 + 1024;
		requests->list =
			xrealloc(requests->list,
				 requests->capacity * sizeof(*requests->list));
	}
	request->number = (unsigned int)requests->count;
	requests->list[requests->count++] = request;
	return request;
}

struct soak_request *soak_requests_find(const struct soak_requests *requests,
					const char *id)
{
	char *end;
	unsigned long number;

	if (!id || *id != 'r')
		return NULL;
	number = strtoul(id + 1, &end, 10);
	return *end || number >= requests->count ? NULL
						 : requests->list[number];
}

bool soak_request_is_stream(const struct soak_request *request)
{
	return request->kind == SOAK_STREAM || request->kind == SOAK_RESUME;
}

bool soak_request_may_repeat(const struct soak_request *request)
{
	return request->kind != SOAK_UNSAFE && request->kind != SOAK_STREAM;
}

unsigned int soak_request_event_count(const struct soak_request *request)
{
	return EVENTS_MIN + request->number % EVENTS_SPREAD;
}

void soak_request_path(const struct soak_request *request, struct buffer *text)
{
	if (request->kind == SOAK_VERSION_ROUTE)
		buffer_add_format(text, "/version-%ld/%u", request->version,
				  request->number);
	else
		buffer_add_format(text, "/%s/%u", route_names[request->kind],
				  request->number);
}

static void add_pattern(const struct soak_request *request, size_t size,
			struct buffer *text)
{
	char bytes[64];

	for (size_t i = 0; i < sizeof(bytes); i++)
		bytes[i] = (char)('a' + (request->number * 7 + i) % 26);
	for (; size > sizeof(bytes); size -= sizeof(bytes))
		buffer_add(text, bytes, sizeof(bytes));
	buffer_add(text, bytes, size);
}

void soak_request_body(const struct soak_request *request, struct buffer *text)
{
	if (request->kind == SOAK_UNSAFE || soak_request_is_stream(request))
		add_pattern(request, request->number * 31 % BODY_MAX_BYTES,
			    text);
}

void soak_request_event(const struct soak_request *request, unsigned int index,
			struct buffer *text)
{
	buffer_add_format(text, "id: %u\ndata: %u-%u-", index, request->number,
			  index);
	add_pattern(request, (request->number + index * 13) % 200, text);
	buffer_add_text(text, "\n\n");
}

void soak_request_answer(const struct soak_request *request,
			 struct buffer *text)
{
	size_t size = request->number * 101 % ANSWER_SPREAD_BYTES;

	if (!soak_request_is_stream(request)) {
		if (request->number % LARGE_EVERY == 0)
			size = LARGE_BYTES;
		buffer_add_format(text, "%u;", request->number);
		add_pattern(request, size, text);
		return;
	}
	for (unsigned int i = 0; i < soak_request_event_count(request); i++)
		soak_request_event(request, i, text);
}
