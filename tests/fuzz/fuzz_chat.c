/* Fuzzes the parsers of callers' chat requests (JSON), of engines' chat events
 * and of their token usage. The first byte of the input selects the parser. */
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "fuzz/fuzz_target.h"
#include "protocol/chat_event.h"
#include "protocol/chat_request.h"

static void fuzz_request(const char *data, size_t size)
{
	struct chat_request request;
	struct tgw_error error;

	memset(&request, 0, sizeof(request));
	if (chat_request_parse(&request, data, size, &error) == TGW_OK)
		free(chat_request_for_engine(&request, 100));
	chat_request_clear(&request);
}

/* chat_event_parse() requires a NUL byte after the event, so it gets a copy of
 * the input. */
static void fuzz_event(const char *data, size_t size)
{
	struct chat_event event;
	char *copy = xmalloc(size + 1);

	memcpy(copy, data, size);
	copy[size] = '\0';
	memset(&event, 0, sizeof(event));
	chat_event_parse(&event, copy, size);
	chat_event_clear(&event);
	free(copy);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct chat_usage usage;

	if (!size)
		return 0;
	switch (data[0] % 3) {
	case 0:
		fuzz_request((const char *)data + 1, size - 1);
		break;
	case 1:
		fuzz_event((const char *)data + 1, size - 1);
		break;
	default:
		chat_usage_parse(&usage, (const char *)data + 1, size - 1);
		break;
	}
	return 0;
}
