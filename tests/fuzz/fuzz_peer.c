/* Fuzzes the decoders of the messages between hosts. The first byte of the
 * input selects the kind of message. */
#include "fuzz/fuzz_target.h"
#include "protocol/peer_frame.h"
#include "state/budget_message.h"
#include "state/claim_message.h"
#include "state/config_message.h"
#include "state/heartbeat.h"
#include "state/quarantine_message.h"

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

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	static struct heartbeat heartbeat;
	struct peer_frame frame;

	if (!size)
		return 0;
	data++;
	size--;
	switch (data[-1] % 6) {
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
	default:
		fuzz_budget(data, size);
		break;
	}
	return 0;
}
