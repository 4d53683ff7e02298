/* Fuzzes the decoder of budget pools. The checksum is computed for the input,
 * which is the packed pool; else nearly all inputs would end there. */
#include <msgpack.h>
#include <xxhash.h>

#include "fuzz/fuzz_target.h"
#include "state/budget_pool_codec.h"
#include "state/msgpack_field.h"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	struct budget_pool pool;
	struct buffer value = {0};
	msgpack_packer packer;

	budget_pool_codec_decode(&pool, data, size, NULL);
	budget_pool_clear(&pool);
	msgpack_packer_init(&packer, &value, msgpack_field_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint32(&packer, BUDGET_POOL_FORMAT_VERSION);
	msgpack_field_pack_bytes(&packer, data, size);
	msgpack_pack_uint64(&packer, XXH64(data, size, 0));
	budget_pool_codec_decode(&pool, value.data, value.size, NULL);
	budget_pool_clear(&pool);
	buffer_free(&value);
	return 0;
}
