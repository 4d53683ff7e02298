/* Fuzzes the decoder of records of spending caps. The checksum is computed for
 * the input, which is the packed record; else nearly all inputs would end
 * there. */
#include <msgpack.h>
#include <xxhash.h>

#include "fuzz/fuzz_target.h"
#include "state/cap_record.h"
#include "state/msgpack_field.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct cap_record record;
	struct buffer value = {0};
	msgpack_packer packer;

	cap_record_decode(&record, data, size, NULL);
	cap_record_clear(&record);
	msgpack_packer_init(&packer, &value, msgpack_field_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint32(&packer, CAP_RECORD_FORMAT_VERSION);
	msgpack_field_pack_bytes(&packer, data, size);
	msgpack_pack_uint64(&packer, XXH64(data, size, 0));
	cap_record_decode(&record, value.data, value.size, NULL);
	cap_record_clear(&record);
	buffer_free(&value);
	return 0;
}
