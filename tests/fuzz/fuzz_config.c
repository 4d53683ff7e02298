/* Fuzzes the decoders of the configuration values in the store: manifest, shard
 * and segment. A manifest that decodes is also checked as the successor of an
 * empty state, and its deltas are applied. The first byte of the input selects
 * the decoder. */
#include <stdlib.h>

#include "fuzz/fuzz_target.h"
#include "state/config_commit.h"
#include "state/config_state.h"

static void fuzz_manifest(const uint8_t *data, size_t size)
{
	struct config_manifest manifest;
	struct tgw_config_snapshot *snapshot = NULL;
	struct config_state state = {0};
	struct tgw_error error;

	if (config_manifest_decode(&manifest, data, size, &error) != TGW_OK)
		return;
	if (config_state_check_next(&state, &manifest, &error) == TGW_OK)
		config_state_apply_deltas(&state, &manifest, data, size,
					  &snapshot, &error);
	tgw_config_snapshot_free(snapshot);
	config_state_clear(&state);
	config_manifest_clear(&manifest);
}

static void fuzz_shard(const uint8_t *data, size_t size)
{
	struct config_set set = {0};
	struct tgw_error error;

	for (uint32_t shard = 0; shard < CONFIG_SHARD_COUNT; shard += 17)
		config_shard_decode(&set, shard, data, size, &error);
	config_set_sort(&set);
	config_set_clear(&set);
}

static void fuzz_segment(const uint8_t *data, size_t size)
{
	struct config_delta *deltas = NULL;
	size_t count = 0;

	config_segment_decode(data, size, &deltas, &count, NULL);
	for (size_t i = 0; i < count; i++)
		config_delta_clear(&deltas[i]);
	free(deltas);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (!size)
		return 0;
	switch (data[0] % 3) {
	case 0:
		fuzz_manifest(data + 1, size - 1);
		break;
	case 1:
		fuzz_shard(data + 1, size - 1);
		break;
	default:
		fuzz_segment(data + 1, size - 1);
		break;
	}
	return 0;
}
