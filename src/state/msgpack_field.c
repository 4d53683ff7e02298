#include "state/msgpack_field.h"

#include <string.h>

#include "base/buffer.h"

const msgpack_object *msgpack_field_array(const msgpack_object *object,
					  size_t min_count)
{
	if (object->type != MSGPACK_OBJECT_ARRAY ||
	    object->via.array.size < min_count)
		return NULL;
	return object->via.array.ptr;
}

bool msgpack_field_u64(const msgpack_object *object, uint64_t *value)
{
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return false;
	*value = object->via.u64;
	return true;
}

bool msgpack_field_i64(const msgpack_object *object, int64_t *value)
{
	if (object->type == MSGPACK_OBJECT_NEGATIVE_INTEGER) {
		*value = object->via.i64;
		return true;
	}
	if (object->type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    object->via.u64 > INT64_MAX)
		return false;
	*value = (int64_t)object->via.u64;
	return true;
}

bool msgpack_field_text(const msgpack_object *object, char *text, size_t size)
{
	if (object->type != MSGPACK_OBJECT_STR || object->via.str.size >= size)
		return false;
	if (object->via.str.size &&
	    memchr(object->via.str.ptr, '\0', object->via.str.size))
		return false;
	if (object->via.str.size)
		memcpy(text, object->via.str.ptr, object->via.str.size);
	text[object->via.str.size] = '\0';
	return true;
}

bool msgpack_field_bytes(const msgpack_object *object, void *bytes, size_t size)
{
	if (object->type != MSGPACK_OBJECT_BIN || object->via.bin.size != size)
		return false;
	memcpy(bytes, object->via.bin.ptr, size);
	return true;
}

int msgpack_field_write(void *data, const char *bytes, size_t size)
{
	buffer_add(data, bytes, size);
	return 0;
}

void msgpack_field_pack_text(msgpack_packer *packer, const char *text)
{
	size_t size = strlen(text);

	msgpack_pack_str(packer, size);
	msgpack_pack_str_body(packer, text, size);
}

void msgpack_field_pack_bytes(msgpack_packer *packer, const void *bytes,
			      size_t size)
{
	msgpack_pack_bin(packer, size);
	msgpack_pack_bin_body(packer, bytes, size);
}
