#include "state/ledger_codec.h"

#include <msgpack.h>
#include <stdlib.h>
#include <string.h>

#include "base/msgpack_guard.h"
#include "base/xalloc.h"
#include "state/msgpack_field.h"
#include "state/wire_reader.h"

/* Decoded arrays are allocated by their element counts. Each element takes at
 * least one byte of the value, which bounds these counts. */

static void encode_budget(msgpack_packer *packer,
			  const struct ledger_budget *budget)
{
	msgpack_pack_array(packer, 4);
	msgpack_field_pack_text(packer, budget->name);
	msgpack_pack_int64(packer, budget->paid_in_tokens);
	msgpack_pack_int64(packer, budget->folded_tokens);
	msgpack_pack_array(packer, budget->top_up_count);
	for (size_t i = 0; i < budget->top_up_count; i++) {
		msgpack_pack_array(packer, 3);
		msgpack_field_pack_text(packer, budget->top_ups[i].id);
		msgpack_pack_int64(packer, budget->top_ups[i].tokens);
		msgpack_pack_int64(packer, budget->top_ups[i].wall_us);
	}
}

static void encode_allotment(msgpack_packer *packer,
			     const struct ledger_allotment *allotment)
{
	msgpack_pack_array(packer, 7);
	msgpack_pack_uint32(packer, allotment->budget_index);
	msgpack_pack_int64(packer, allotment->allotted_tokens);
	msgpack_pack_int64(packer, allotment->settled_tokens);
	msgpack_pack_int64(packer, allotment->ceiling_tokens);
	msgpack_pack_int64(packer, allotment->demand_tokens_per_s);
	msgpack_pack_int64(packer, allotment->requested_tokens);
	msgpack_pack_array(packer, allotment->refund_count);
	for (size_t i = 0; i < allotment->refund_count; i++) {
		msgpack_pack_array(packer, 2);
		msgpack_pack_uint64(packer,
				    allotment->refunds[i].entry_incarnation);
		msgpack_pack_int64(packer, allotment->refunds[i].tokens);
	}
}

static void encode_line(msgpack_packer *packer, const struct ledger_line *line)
{
	msgpack_pack_array(packer, 12);
	msgpack_pack_uint64(packer, line->id);
	msgpack_field_pack_text(packer, line->host);
	msgpack_field_pack_text(packer, line->domain);
	msgpack_pack_uint64(packer, line->incarnation);
	msgpack_pack_uint64(packer, line->sequence);
	msgpack_pack_uint8(packer, (uint8_t)line->state);
	msgpack_field_pack_text(packer, line->witness);
	msgpack_pack_uint64(packer, line->witness_incarnation);
	msgpack_pack_uint64(packer, line->epoch);
	msgpack_pack_int64(packer, line->closed_wall_us);
	msgpack_pack_uint8(packer, (uint8_t)line->reason);
	msgpack_pack_array(packer, line->allotment_count);
	for (size_t i = 0; i < line->allotment_count; i++)
		encode_allotment(packer, &line->allotments[i]);
}

void ledger_codec_encode(const struct ledger_bucket *bucket,
			 struct buffer *bytes)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, bytes, msgpack_field_write);
	msgpack_pack_array(&packer, 4);
	msgpack_pack_uint32(&packer, LEDGER_FORMAT_VERSION);
	msgpack_pack_array(&packer, bucket->budget_count);
	for (size_t i = 0; i < bucket->budget_count; i++)
		encode_budget(&packer, &bucket->budgets[i]);
	msgpack_pack_array(&packer, bucket->line_count);
	for (size_t i = 0; i < bucket->line_count; i++)
		encode_line(&packer, &bucket->lines[i]);
	msgpack_field_pack_bytes(&packer, bucket->audit, bucket->audit_size);
}

static void decode_budget(struct ledger_budget *budget,
			  struct wire_reader *reader)
{
	struct wire_reader top_ups;

	wire_reader_text(reader, budget->name, sizeof(budget->name));
	budget->paid_in_tokens = wire_reader_i64(reader);
	budget->folded_tokens = wire_reader_i64(reader);
	top_ups = wire_reader_array(reader);
	budget->top_ups = xcalloc(top_ups.left, sizeof(budget->top_ups[0]));
	while (top_ups.left && !reader->failed) {
		struct wire_reader inner = wire_reader_array(&top_ups);
		struct ledger_top_up *top_up =
			&budget->top_ups[budget->top_up_count++];

		wire_reader_text(&inner, top_up->id, sizeof(top_up->id));
		top_up->tokens = wire_reader_i64(&inner);
		top_up->wall_us = wire_reader_i64(&inner);
		reader->failed |= inner.failed;
	}
}

static void decode_allotment(struct ledger_allotment *allotment,
			     struct wire_reader *reader)
{
	struct wire_reader refunds;

	allotment->budget_index = (uint32_t)wire_reader_u64(reader);
	allotment->allotted_tokens = wire_reader_i64(reader);
	allotment->settled_tokens = wire_reader_i64(reader);
	allotment->ceiling_tokens = wire_reader_i64(reader);
	allotment->demand_tokens_per_s = wire_reader_i64(reader);
	allotment->requested_tokens = wire_reader_i64(reader);
	refunds = wire_reader_array(reader);
	allotment->refunds =
		xcalloc(refunds.left, sizeof(allotment->refunds[0]));
	while (refunds.left && !reader->failed) {
		struct wire_reader inner = wire_reader_array(&refunds);
		struct ledger_refund *refund =
			&allotment->refunds[allotment->refund_count++];

		refund->entry_incarnation = wire_reader_u64(&inner);
		refund->tokens = wire_reader_i64(&inner);
		reader->failed |= inner.failed;
	}
}

static void decode_line(struct ledger_line *line, struct wire_reader *reader)
{
	struct wire_reader allotments;
	uint64_t state;
	uint64_t reason;

	line->id = wire_reader_u64(reader);
	wire_reader_text(reader, line->host, sizeof(line->host));
	wire_reader_text(reader, line->domain, sizeof(line->domain));
	line->incarnation = wire_reader_u64(reader);
	line->sequence = wire_reader_u64(reader);
	state = wire_reader_u64(reader);
	wire_reader_text(reader, line->witness, sizeof(line->witness));
	line->witness_incarnation = wire_reader_u64(reader);
	line->epoch = wire_reader_u64(reader);
	line->closed_wall_us = wire_reader_i64(reader);
	reason = wire_reader_u64(reader);
	if (state > LEDGER_LINE_CLOSED || reason > LEDGER_CLOSE_AT_ALLOTTED)
		reader->failed = true;
	line->state = (enum ledger_line_state)state;
	line->reason = (enum ledger_close_reason)reason;
	allotments = wire_reader_array(reader);
	line->allotments =
		xcalloc(allotments.left, sizeof(line->allotments[0]));
	while (allotments.left && !reader->failed) {
		struct wire_reader inner = wire_reader_array(&allotments);

		decode_allotment(&line->allotments[line->allotment_count++],
				 &inner);
		reader->failed |= inner.failed;
	}
}

static void decode_all(struct ledger_bucket *bucket, struct wire_reader *reader)
{
	struct wire_reader budgets = wire_reader_array(reader);
	struct wire_reader lines = wire_reader_array(reader);
	const uint8_t *audit = wire_reader_bytes(reader, &bucket->audit_size);

	if (reader->failed)
		return;
	bucket->budgets = xcalloc(budgets.left, sizeof(bucket->budgets[0]));
	while (budgets.left && !reader->failed) {
		struct wire_reader inner = wire_reader_array(&budgets);

		decode_budget(&bucket->budgets[bucket->budget_count++], &inner);
		reader->failed |= inner.failed;
	}
	bucket->lines = xcalloc(lines.left, sizeof(bucket->lines[0]));
	while (lines.left && !reader->failed) {
		struct wire_reader inner = wire_reader_array(&lines);

		decode_line(&bucket->lines[bucket->line_count++], &inner);
		reader->failed |= inner.failed;
	}
	if (bucket->audit_size)
		bucket->audit = xmemdup(audit, bucket->audit_size);
}

enum tgw_status ledger_codec_decode(struct ledger_bucket *bucket,
				    const void *bytes, size_t size,
				    struct tgw_error *error)
{
	enum tgw_status status = TGW_OK;
	struct wire_reader reader;
	msgpack_unpacked unpacked;
	size_t at = 0;

	memset(bucket, 0, sizeof(*bucket));
	if (!size)
		return TGW_OK;
	msgpack_unpacked_init(&unpacked);
	if (msgpack_guard_next(&unpacked, bytes, size, &at) !=
		    MSGPACK_UNPACK_SUCCESS ||
	    at != size) {
		status = tgw_error_set(error, TGW_CORRUPT,
				       "the ledger value of %zu bytes is not "
				       "a single MessagePack value; restore "
				       "the key",
				       size);
		goto out;
	}
	reader = wire_reader_of(&unpacked.data);
	if (wire_reader_u64(&reader) > LEDGER_FORMAT_VERSION) {
		status = tgw_error_set(error, TGW_NEWER_FORMAT,
				       "the ledger value was written by a "
				       "newer version; upgrade this program");
		goto out;
	}
	decode_all(bucket, &reader);
	if (reader.failed) {
		status = tgw_error_set(error, TGW_CORRUPT,
				       "the ledger value of %zu bytes does "
				       "not match format version %d; restore "
				       "the key",
				       size, LEDGER_FORMAT_VERSION);
		goto out;
	}
	status = ledger_bucket_check(bucket, error);
out:
	if (status != TGW_OK)
		ledger_bucket_clear(bucket);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
