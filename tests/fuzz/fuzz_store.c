/* Fuzzes the decoders of the ledger buckets and claim buckets in the store, of
 * the platform's list of hosts and of the store's JSON. The first byte of the
 * input selects the decoder. */
#include <string.h>

#include "fuzz/fuzz_target.h"
#include "protocol/etcd_json.h"
#include "protocol/host_list.h"
#include "state/claim_bucket.h"
#include "state/ledger_codec.h"

static void fuzz_ledger(const uint8_t *data, size_t size)
{
	struct ledger_bucket bucket = {0};

	ledger_codec_decode(&bucket, data, size, NULL);
	ledger_bucket_clear(&bucket);
}

static void fuzz_claims(const uint8_t *data, size_t size)
{
	struct claim_bucket bucket;

	memset(&bucket, 0, sizeof(bucket));
	claim_bucket_unpack(&bucket, data, size, NULL);
	claim_bucket_clear(&bucket);
}

static void fuzz_host_list(const uint8_t *data, size_t size)
{
	struct host_list_snapshot snapshot;

	memset(&snapshot, 0, sizeof(snapshot));
	host_list_decode(&snapshot, (const char *)data, size, NULL);
	host_list_snapshot_clear(&snapshot);
}

static void fuzz_etcd(const uint8_t *data, size_t size)
{
	struct etcd_entries entries = {0};
	json_t *root = json_loadb((const char *)data, size, 0, NULL);

	if (json_is_array(root))
		etcd_json_read_kvs(root, &entries);
	else if (root)
		etcd_json_read_event(root, &entries);
	etcd_entries_free(&entries);
	json_decref(root);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	if (!size)
		return 0;
	switch (data[0] % 4) {
	case 0:
		fuzz_ledger(data + 1, size - 1);
		break;
	case 1:
		fuzz_claims(data + 1, size - 1);
		break;
	case 2:
		fuzz_host_list(data + 1, size - 1);
		break;
	default:
		fuzz_etcd(data + 1, size - 1);
		break;
	}
	return 0;
}
