#include "protocol/peer_frame.h"

#include <inttypes.h>
#include <msgpack.h>
#include <string.h>

#include "base/msgpack_guard.h"

#define PEER_FRAME_FORMAT 1
#define PEER_FRAME_FIELDS 4

static int write_bytes(void *arg, const char *bytes, size_t size)
{
	buffer_add(arg, bytes, size);
	return 0;
}

void peer_frame_encode(const struct peer_frame *frame, struct buffer *bytes)
{
	size_t name_size = strlen(frame->from_host);
	msgpack_packer packer;

	msgpack_packer_init(&packer, bytes, write_bytes);
	msgpack_pack_array(&packer, PEER_FRAME_FIELDS);
	msgpack_pack_uint64(&packer, PEER_FRAME_FORMAT);
	msgpack_pack_str(&packer, name_size);
	msgpack_pack_str_body(&packer, frame->from_host, name_size);
	msgpack_pack_uint64(&packer, frame->from_incarnation);
	msgpack_pack_uint64(&packer, (uint64_t)frame->topic);
}

static enum tgw_status read_fields(struct peer_frame *frame,
				   const msgpack_object *root,
				   struct tgw_error *error)
{
	const msgpack_object *fields;

	if (root->type != MSGPACK_OBJECT_ARRAY || root->via.array.size < 1 ||
	    root->via.array.ptr[0].type != MSGPACK_OBJECT_POSITIVE_INTEGER)
		return tgw_error_set(error, TGW_CORRUPT,
				     "a peer message has no header; check that "
				     "the sender runs tamarackgw");
	fields = root->via.array.ptr;
	if (fields[0].via.u64 > PEER_FRAME_FORMAT)
		return tgw_error_set(error, TGW_NEWER_FORMAT,
				     "a peer message has format %" PRIu64
				     ", newer than %d; update this host",
				     fields[0].via.u64, PEER_FRAME_FORMAT);
	if (root->via.array.size != PEER_FRAME_FIELDS ||
	    fields[1].type != MSGPACK_OBJECT_STR ||
	    fields[1].via.str.size == 0 ||
	    fields[1].via.str.size >= sizeof(frame->from_host) ||
	    fields[2].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields[3].type != MSGPACK_OBJECT_POSITIVE_INTEGER ||
	    fields[3].via.u64 == 0 || fields[3].via.u64 >= TGW_PEER_TOPIC_END)
		return tgw_error_set(error, TGW_CORRUPT,
				     "a peer message has a malformed header; "
				     "check the sender's version");
	memset(frame, 0, sizeof(*frame));
	memcpy(frame->from_host, fields[1].via.str.ptr, fields[1].via.str.size);
	frame->from_incarnation = fields[2].via.u64;
	frame->topic = (enum tgw_peer_topic)fields[3].via.u64;
	return TGW_OK;
}

enum tgw_status peer_frame_decode(struct peer_frame *frame, const void *bytes,
				  size_t size, struct tgw_error *error)
{
	msgpack_unpacked unpacked;
	enum tgw_status status;

	if (!msgpack_guard_unpack(&unpacked, bytes, size))
		status = tgw_error_set(error, TGW_CORRUPT,
				       "the header of a peer message can't be "
				       "decoded; check the sender's version");
	else
		status = read_fields(frame, &unpacked.data, error);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
