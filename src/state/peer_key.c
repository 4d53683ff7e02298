#include "state/peer_key.h"

#include <string.h>

#include "state/checked_value.h"

static const struct checked_value_kind kind = {
	.format_version = PEER_KEY_FORMAT_VERSION,
	.name = "key of the hosts' messages",
	.remedy = "delete it and restart the hosts; one of them writes it anew",
};

void peer_key_encode(const struct peer_key *key, struct buffer *bytes)
{
	struct buffer body = {0};

	buffer_add(&body, key->bytes, sizeof(key->bytes));
	checked_value_encode(&kind, &body, bytes);
	buffer_free(&body);
}

enum tgw_status peer_key_decode(struct peer_key *key, const void *bytes,
				size_t size, struct tgw_error *error)
{
	enum tgw_status status;
	struct wire_reader reader;
	msgpack_unpacked unpacked;
	const uint8_t *body;
	size_t body_size;
	uint64_t version;

	memset(key, 0, sizeof(*key));
	status = checked_value_open(&kind, &unpacked, bytes, size, &reader,
				    &version, error);
	if (status != TGW_OK)
		goto out;
	if (version != PEER_KEY_FORMAT_VERSION ||
	    !checked_value_read(&reader, &body, &body_size) ||
	    body_size != sizeof(key->bytes)) {
		status = checked_value_report_damage(&kind, size, error);
		goto out;
	}
	memcpy(key->bytes, body, sizeof(key->bytes));
out:
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
