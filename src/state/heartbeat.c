#include "state/heartbeat.h"

#include <string.h>
#include <xxhash.h>

#include "base/msgpack_guard.h"
#include "state/msgpack_field.h"
#include "state/record_reader.h"

#define HEARTBEAT_FORMAT_VERSION 1
#define ENTRY_BYTES 8

enum heartbeat_flag {
	FLAG_LEAVING = 1,
	FLAG_RECEIVES_NOTHING = 2,
	FLAG_REQUESTS_REPLY = 4,
};

uint32_t heartbeat_name_hash(const char *name)
{
	return XXH32(name, strlen(name), 0);
}

uint8_t heartbeat_incarnation_tag(uint64_t incarnation)
{
	return (uint8_t)(incarnation & 0xff);
}

bool heartbeat_is_newer(uint32_t beat, uint32_t than)
{
	uint32_t ahead = (beat - than) & HEARTBEAT_BEAT_MASK;

	return ahead > 0 && ahead <= HEARTBEAT_BEAT_MASK / 2;
}

static void encode_entry(const struct heartbeat_entry *entry,
			 uint8_t bytes[ENTRY_BYTES])
{
	uint32_t word = (entry->beat & HEARTBEAT_BEAT_MASK) << 2;

	if (entry->leaving)
		word |= FLAG_LEAVING;
	if (entry->receives_nothing)
		word |= FLAG_RECEIVES_NOTHING;
	for (size_t i = 0; i < 4; i++)
		bytes[i] = (uint8_t)(entry->name_hash >> (8 * i));
	for (size_t i = 0; i < 3; i++)
		bytes[4 + i] = (uint8_t)(word >> (8 * i));
	bytes[7] = entry->incarnation_tag;
}

static void decode_entry(struct heartbeat_entry *entry,
			 const uint8_t bytes[ENTRY_BYTES])
{
	uint32_t word = 0;

	memset(entry, 0, sizeof(*entry));
	for (size_t i = 0; i < 4; i++)
		entry->name_hash |= (uint32_t)bytes[i] << (8 * i);
	for (size_t i = 0; i < 3; i++)
		word |= (uint32_t)bytes[4 + i] << (8 * i);
	entry->leaving = word & FLAG_LEAVING;
	entry->receives_nothing = word & FLAG_RECEIVES_NOTHING;
	entry->beat = word >> 2;
	entry->incarnation_tag = bytes[7];
}

void heartbeat_encode(const struct heartbeat *heartbeat,
		      msgpack_sbuffer *payload)
{
	uint8_t entries[HEARTBEAT_ENTRIES_MAX * ENTRY_BYTES];
	uint64_t flags = 0;
	msgpack_packer packer;

	if (heartbeat->leaving)
		flags |= FLAG_LEAVING;
	if (heartbeat->receives_nothing)
		flags |= FLAG_RECEIVES_NOTHING;
	if (heartbeat->requests_reply)
		flags |= FLAG_REQUESTS_REPLY;
	for (size_t i = 0; i < heartbeat->entry_count; i++)
		encode_entry(&heartbeat->entries[i], &entries[i * ENTRY_BYTES]);
	msgpack_packer_init(&packer, payload, msgpack_sbuffer_write);
	msgpack_pack_array(&packer, 7);
	msgpack_pack_uint64(&packer, HEARTBEAT_FORMAT_VERSION);
	msgpack_pack_uint64(&packer, heartbeat->beat);
	msgpack_pack_uint64(&packer, flags);
	msgpack_pack_uint64(&packer, heartbeat->config_generation);
	msgpack_pack_uint64(&packer, heartbeat->newest_generation);
	msgpack_pack_uint64(&packer, heartbeat->newest_name_hash);
	msgpack_field_pack_bytes(&packer, entries,
				 heartbeat->entry_count * ENTRY_BYTES);
}

static void read_entries(struct record_reader *reader,
			 struct heartbeat *heartbeat)
{
	size_t size;
	const char *bytes = record_reader_blob(reader, &size);

	if (reader->status != TGW_OK)
		return;
	if (size % ENTRY_BYTES || size / ENTRY_BYTES > HEARTBEAT_ENTRIES_MAX) {
		reader->status = TGW_CORRUPT;
		return;
	}
	heartbeat->entry_count = size / ENTRY_BYTES;
	for (size_t i = 0; i < heartbeat->entry_count; i++)
		decode_entry(&heartbeat->entries[i],
			     (const uint8_t *)&bytes[i * ENTRY_BYTES]);
}

enum tgw_status heartbeat_decode(struct heartbeat *heartbeat,
				 const void *payload, size_t payload_size,
				 struct tgw_error *error)
{
	struct record_reader reader;
	enum tgw_status status;
	msgpack_unpacked unpacked;
	uint64_t flags;

	memset(heartbeat, 0, sizeof(*heartbeat));
	msgpack_unpacked_init(&unpacked);
	if (msgpack_guard_next(&unpacked, payload, payload_size, NULL) !=
	    MSGPACK_UNPACK_SUCCESS) {
		status = tgw_error_set(error, TGW_CORRUPT,
				       "a heartbeat does not decode; check "
				       "the version of the sender");
		goto out;
	}
	record_reader_open(&reader, "a heartbeat", &unpacked.data,
			   HEARTBEAT_FORMAT_VERSION);
	heartbeat->beat = (uint32_t)record_reader_u64(&reader) &
			  HEARTBEAT_BEAT_MASK;
	flags = record_reader_u64(&reader);
	heartbeat->leaving = flags & FLAG_LEAVING;
	heartbeat->receives_nothing = flags & FLAG_RECEIVES_NOTHING;
	heartbeat->requests_reply = flags & FLAG_REQUESTS_REPLY;
	heartbeat->config_generation = record_reader_u64(&reader);
	heartbeat->newest_generation = record_reader_u64(&reader);
	heartbeat->newest_name_hash = (uint32_t)record_reader_u64(&reader);
	read_entries(&reader, heartbeat);
	status = record_reader_finish(&reader, error);
out:
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
