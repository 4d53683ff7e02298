#include "state/peer_key.h"

#include <msgpack.h>
#include <string.h>

#include "state/checked_value.h"
#include "state/msgpack_field.h"

static const struct checked_value_kind kind = {
	.format_version = PEER_KEY_FORMAT_VERSION,
	.name = "key of the hosts' messages",
	.remedy = "delete it and restart the hosts; one of them writes it anew",
};

void peer_key_encode(const struct peer_key *key, struct buffer *bytes)
{
	struct buffer body = {0};
	msgpack_packer packer;

	msgpack_packer_init(&packer, &body, msgpack_field_write);
	msgpack_field_pack_bytes(&packer, key->bytes, sizeof(key->bytes));
	checked_value_encode(&kind, &body, bytes);
	buffer_free(&body);
}

static bool read_body(void *arg, const msgpack_object *body)
{
	struct peer_key *key = arg;

	return msgpack_field_bytes(body, key->bytes, sizeof(key->bytes));
}

enum tgw_status peer_key_decode(struct peer_key *key, const void *bytes,
				size_t size, struct tgw_error *error)
{
	memset(key, 0, sizeof(*key));
	return checked_value_decode(&kind, bytes, size, read_body, key, error);
}
