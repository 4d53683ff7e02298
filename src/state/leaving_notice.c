#include "state/leaving_notice.h"

#include <msgpack.h>
#include <string.h>

#include "state/msgpack_field.h"
#include "state/record_reader.h"

#define MESSAGE_FORMAT 1
#define MESSAGE_FIELDS 4
#define WHAT "a notice that a server is leaving"

void leaving_notice_encode(const struct leaving_notice *notice,
			   struct buffer *bytes)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, bytes, msgpack_field_write);
	msgpack_pack_array(&packer, MESSAGE_FIELDS);
	msgpack_pack_uint64(&packer, MESSAGE_FORMAT);
	msgpack_field_pack_text(&packer, notice->server);
	msgpack_field_pack_text(&packer, notice->address);
	msgpack_pack_int64(&packer, notice->born_ms);
}

static enum tgw_status decode_fields(void *arg, const msgpack_object *object,
				     struct tgw_error *error)
{
	struct leaving_notice *notice = arg;
	struct record_reader reader;

	record_reader_open(&reader, WHAT, object, MESSAGE_FORMAT);
	record_reader_text(&reader, notice->server, sizeof(notice->server));
	record_reader_text(&reader, notice->address, sizeof(notice->address));
	notice->born_ms = record_reader_i64(&reader);
	if (record_reader_finish(&reader, error) != TGW_OK)
		return reader.status;
	if (!*notice->server || !*notice->address || notice->born_ms < 0)
		return tgw_error_set(error, TGW_CORRUPT,
				     WHAT " names no run of a server; check "
					  "the sender's version");
	return TGW_OK;
}

enum tgw_status leaving_notice_decode(struct leaving_notice *notice,
				      const void *bytes, size_t size,
				      struct tgw_error *error)
{
	memset(notice, 0, sizeof(*notice));
	return record_reader_decode(WHAT, bytes, size, decode_fields, notice,
				    error);
}
