/* Fuzzes the decoders of the messages between hosts. The first byte of the
 * input selects the kind of message. */
#include "fuzz/fuzz_target.h"
#include "protocol/peer_frame.h"
#include "state/budget_message.h"
#include "state/change_message.h"
#include "state/claim_message.h"
#include "state/config_message.h"
#include "state/heartbeat.h"
#include "state/leaving_notice.h"
#include "state/mirror_table.h"
#include "state/peer_host.h"
#include "state/peer_key.h"
#include "state/quarantine_message.h"
#include "state/transfer_message.h"

static void fuzz_config(const uint8_t *data, size_t size)
{
	struct config_message message;
	msgpack_unpacked unpacked;

	msgpack_unpacked_init(&unpacked);
	config_message_decode(&message, &unpacked, data, size, NULL);
	msgpack_unpacked_destroy(&unpacked);
}

static void fuzz_claim(const uint8_t *data, size_t size)
{
	struct claim_message message;

	claim_message_unpack(&message, data, size);
	claim_message_clear(&message);
}

static void fuzz_quarantine(const uint8_t *data, size_t size)
{
	struct quarantine_message *message =
		quarantine_message_unpack(data, size);

	if (message)
		quarantine_message_free(message);
}

static void fuzz_budget(const uint8_t *data, size_t size)
{
	struct budget_message message = {0};

	budget_message_decode(&message, data, size);
	budget_message_clear(&message);
}

static void fuzz_records(const uint8_t *data, size_t size)
{
	struct peer_host host;
	struct peer_key key;

	peer_host_decode(&host, data, size, NULL);
	peer_key_decode(&key, data, size, NULL);
}

static void fuzz_transfer(const uint8_t *data, size_t size)
{
	struct transfer_message message;
	struct buffer bytes = {0};

	if (transfer_message_decode(&message, data, size, NULL) == TGW_OK)
		transfer_message_encode(&message, &bytes);
	buffer_free(&bytes);
}

static void fuzz_change(const uint8_t *data, size_t size)
{
	struct change_message message;
	struct buffer bytes = {0};

	if (change_message_decode(&message, data, size, NULL) == TGW_OK)
		change_message_encode(&message, &bytes);
	buffer_free(&bytes);
}

static void ignore_change(void *arg, const struct tgw_store_entry *entry)
{
}

static void fuzz_table(const uint8_t *data, size_t size)
{
	struct mirror_listener listener = {ignore_change, NULL};
	struct mirror_table table = {0};
	struct buffer bytes = {0};

	mirror_table_decode(&table, data, size, &listener);
	mirror_table_encode(&table, 0, &bytes);
	buffer_free(&bytes);
	mirror_table_clear(&table);
}

static void fuzz_leaving(const uint8_t *data, size_t size)
{
	struct leaving_notice notice;
	struct buffer bytes = {0};

	if (leaving_notice_decode(&notice, data, size, NULL) == TGW_OK)
		leaving_notice_encode(&notice, &bytes);
	buffer_free(&bytes);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct heartbeat heartbeat;
	struct peer_frame frame;

	if (!size)
		return 0;
	data++;
	size--;
	switch (data[-1] % 11) {
	case 0:
		heartbeat_decode(&heartbeat, data, size, NULL);
		break;
	case 1:
		fuzz_config(data, size);
		break;
	case 2:
		peer_frame_decode(&frame, data, size, NULL);
		break;
	case 3:
		fuzz_claim(data, size);
		break;
	case 4:
		fuzz_quarantine(data, size);
		break;
	case 6:
		fuzz_transfer(data, size);
		break;
	case 7:
		fuzz_records(data, size);
		break;
	case 8:
		fuzz_change(data, size);
		break;
	case 9:
		fuzz_table(data, size);
		break;
	case 10:
		fuzz_leaving(data, size);
		break;
	default:
		fuzz_budget(data, size);
		break;
	}
	return 0;
}
