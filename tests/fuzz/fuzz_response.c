/* Fuzzes the check of what servers send: how the bytes arrive must change
 * neither what is valid nor the defect. The first byte of the input selects
 * where it is split, and its lowest bit whether a body is in chunks. */
#include <stdlib.h>

#include "fuzz/fuzz_target.h"
#include "protocol/http_response_check.h"

/* @return how many bytes are valid */
static size_t feed(struct http_response_check *check, const char *data,
		   size_t size, bool is_chunked)
{
	size_t valid = 0;

	while (valid < size) {
		size_t part = http_response_check_feed(check, data + valid,
						       size - valid);

		if (part > size - valid)
			abort();
		valid += part;
		if (check->state == HTTP_RESPONSE_AFTER_HEAD &&
		    check->status >= 200)
			http_response_check_begin_body(check, is_chunked);
		else if (check->state == HTTP_RESPONSE_AFTER_HEAD ||
			 check->state == HTTP_RESPONSE_AFTER_TRAILER)
			http_response_check_begin_head(check);
		else if (!part)
			break;
	}
	return valid;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *bytes = (const char *)data + 1;
	struct http_response_check whole = {0};
	struct http_response_check split = {0};
	size_t first;
	size_t valid;

	if (!size)
		return 0;
	size--;
	first = data[0] < size ? data[0] : size;
	valid = feed(&split, bytes, first, data[0] & 1);
	if (valid == first)
		valid += feed(&split, bytes + first, size - first, data[0] & 1);
	if (feed(&whole, bytes, size, data[0] & 1) != valid ||
	    whole.defect != split.defect || (valid < size && !whole.defect))
		abort();
	return 0;
}
