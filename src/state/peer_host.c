#include "state/peer_host.h"

#include <msgpack.h>
#include <stdbool.h>
#include <string.h>
#include <xxhash.h>

#include "state/checked_value.h"
#include "state/msgpack_field.h"

#define RECORD_FIELDS 4

static const struct checked_value_kind kind = {
	.format_version = PEER_HOST_FORMAT_VERSION,
	.name = "record of a host's address",
	.remedy = "delete the key; the host then writes it anew",
};

void peer_host_encode(const struct peer_host *host, struct buffer *bytes)
{
	struct buffer body = {0};
	msgpack_packer packer;

	msgpack_packer_init(&packer, &body, msgpack_field_write);
	msgpack_pack_array(&packer, RECORD_FIELDS);
	msgpack_field_pack_text(&packer, host->name);
	msgpack_field_pack_text(&packer, host->failure_domain);
	msgpack_field_pack_text(&packer, host->address);
	msgpack_pack_int64(&packer, host->memory_mb);
	checked_value_encode(&kind, &body, bytes);
	buffer_free(&body);
}

static bool read_body(void *arg, const msgpack_object *body)
{
	struct wire_reader reader = wire_reader_of(body);
	struct peer_host *host = arg;

	wire_reader_text(&reader, host->name, sizeof(host->name));
	wire_reader_text(&reader, host->failure_domain,
			 sizeof(host->failure_domain));
	wire_reader_text(&reader, host->address, sizeof(host->address));
	host->memory_mb = wire_reader_i64(&reader);
	return !reader.failed && !reader.left && *host->name &&
	       *host->address && host->memory_mb >= 0;
}

enum tgw_status peer_host_decode(struct peer_host *host, const void *bytes,
				 size_t size, struct tgw_error *error)
{
	memset(host, 0, sizeof(*host));
	return checked_value_decode(&kind, bytes, size, read_body, host, error);
}

static uint64_t name_hash(const struct peer_host *host)
{
	return XXH64(host->name, strlen(host->name), 0);
}

static bool is_better(const struct peer_host *host,
		      const struct peer_host *other)
{
	if (host->memory_mb != other->memory_mb)
		return host->memory_mb > other->memory_mb;
	return name_hash(host) > name_hash(other);
}

size_t peer_host_rank(const struct peer_host *hosts, size_t count,
		      const char *failure_domain,
		      const struct peer_host **ranked, size_t capacity)
{
	size_t ranked_count = 0;

	for (size_t i = 0; i < count; i++) {
		size_t at = ranked_count;

		if (strcmp(hosts[i].failure_domain, failure_domain))
			continue;
		if (ranked_count < capacity)
			ranked_count++;
		else if (!is_better(&hosts[i], ranked[--at]))
			continue;
		for (; at && is_better(&hosts[i], ranked[at - 1]); at--)
			ranked[at] = ranked[at - 1];
		ranked[at] = &hosts[i];
	}
	return ranked_count;
}
