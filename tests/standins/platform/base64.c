#include "standins/platform/base64.h"

#include <sodium.h>
#include <stdlib.h>

#include "base/xalloc.h"

json_t *base64_encode(const char *data, size_t size)
{
	size_t capacity =
		sodium_base64_encoded_len(size, sodium_base64_VARIANT_ORIGINAL);
	char *text = xmalloc(capacity);
	json_t *value;

	sodium_bin2base64(text, capacity, (const unsigned char *)data, size,
			  sodium_base64_VARIANT_ORIGINAL);
	value = json_string(text);
	free(text);
	return value;
}

bool base64_field(const json_t *object, const char *name, char **bytes,
		  size_t *size)
{
	const json_t *field = json_object_get(object, name);
	size_t length = json_string_length(field);

	*bytes = NULL;
	*size = 0;
	if (!field)
		return true;
	*bytes = xmalloc(length + 1);
	return json_is_string(field) &&
	       !sodium_base642bin((unsigned char *)*bytes, length,
				  json_string_value(field), length, NULL, size,
				  NULL, sodium_base64_VARIANT_ORIGINAL);
}
