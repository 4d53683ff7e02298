#include "state/budget_pool_codec.h"

#include <msgpack.h>
#include <string.h>

#include "base/xalloc.h"
#include "state/checked_value.h"
#include "state/ledger_codec.h"
#include "state/msgpack_field.h"
#include "state/wire_reader.h"

static const struct checked_value_kind kind = {
	.format_version = BUDGET_POOL_FORMAT_VERSION,
	.name = "budget pool",
	.remedy = "restore the ledger's key",
};

static void encode_budget(msgpack_packer *packer,
			  const struct pooled_budget *budget)
{
	msgpack_pack_array(packer, 6);
	msgpack_field_pack_text(packer, budget->name);
	msgpack_pack_int64(packer, budget->paid_in_tokens);
	msgpack_pack_int64(packer, budget->taken_tokens);
	msgpack_pack_int64(packer, budget->settled_tokens);
	msgpack_pack_int64(packer, budget->demanded_tokens);
	msgpack_pack_int64(packer, budget->requested_tokens);
}

static void encode_host(msgpack_packer *packer, const struct pool_host *host)
{
	msgpack_pack_array(packer, 2);
	msgpack_pack_uint64(packer, host->id);
	msgpack_pack_uint64(packer, host->sequence);
}

static void encode_body(const struct budget_pool *pool, struct buffer *body)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, body, msgpack_field_write);
	msgpack_pack_array(&packer, 3);
	msgpack_pack_uint32(&packer, pool->key_count);
	msgpack_pack_array(&packer, pool->budget_count);
	for (size_t i = 0; i < pool->budget_count; i++)
		encode_budget(&packer, &pool->budgets[i]);
	msgpack_pack_array(&packer, pool->host_count);
	for (size_t i = 0; i < pool->host_count; i++)
		encode_host(&packer, &pool->hosts[i]);
}

void budget_pool_codec_encode(const struct budget_pool *pool,
			      struct buffer *bytes)
{
	struct buffer body = {0};

	encode_body(pool, &body);
	checked_value_encode(&kind, &body, bytes);
	buffer_free(&body);
}

static void decode_budget(struct pooled_budget *budget,
			  struct wire_reader *reader)
{
	wire_reader_text(reader, budget->name, sizeof(budget->name));
	budget->paid_in_tokens = wire_reader_i64(reader);
	budget->taken_tokens = wire_reader_i64(reader);
	budget->settled_tokens = wire_reader_i64(reader);
	budget->demanded_tokens = wire_reader_i64(reader);
	budget->requested_tokens = wire_reader_i64(reader);
}

static void decode_host(struct pool_host *host, struct wire_reader *reader)
{
	host->id = wire_reader_u64(reader);
	host->sequence = wire_reader_u64(reader);
}

/* @return whether the budgets are sorted by name, without a repetition */
static bool is_sorted(const struct budget_pool *pool)
{
	for (size_t i = 1; i < pool->budget_count; i++)
		if (strcmp(pool->budgets[i - 1].name, pool->budgets[i].name) >=
		    0)
			return false;
	return true;
}

/* Arrays are allocated by their element counts, which the size of the body
 * bounds: each element takes at least one byte. */
/* Arrays are allocated by their element counts, which the size of the body
 * bounds: each element takes at least one byte. */
static bool read_budgets(struct budget_pool *pool, struct wire_reader *budgets)
{
	pool->budgets = xcalloc(budgets->left, sizeof(pool->budgets[0]));
	while (budgets->left) {
		struct wire_reader inner = wire_reader_array(budgets);

		decode_budget(&pool->budgets[pool->budget_count++], &inner);
		if (inner.failed)
			return false;
	}
	return true;
}

static bool read_hosts(struct budget_pool *pool, struct wire_reader *hosts)
{
	pool->hosts = xcalloc(hosts->left, sizeof(pool->hosts[0]));
	while (hosts->left) {
		struct wire_reader inner = wire_reader_array(hosts);

		decode_host(&pool->hosts[pool->host_count++], &inner);
		if (inner.failed)
			return false;
	}
	return true;
}

static bool read_body(void *arg, const msgpack_object *body)
{
	struct wire_reader reader = wire_reader_of(body);
	struct budget_pool *pool = arg;
	uint64_t key_count = wire_reader_u64(&reader);
	struct wire_reader budgets = wire_reader_array(&reader);
	struct wire_reader hosts = wire_reader_array(&reader);

	if (reader.failed || key_count > UINT32_MAX)
		return false;
	pool->key_count = (uint32_t)key_count;
	return read_budgets(pool, &budgets) && read_hosts(pool, &hosts) &&
	       is_sorted(pool);
}

static enum tgw_status decode_earlier_version(struct budget_pool *pool,
					      const void *bytes, size_t size,
					      struct tgw_error *error)
{
	struct ledger_bucket bucket = {0};
	enum tgw_status status =
		ledger_codec_decode(&bucket, bytes, size, error);

	if (status == TGW_OK)
		budget_pool_from_ledger(pool, &bucket);
	ledger_bucket_clear(&bucket);
	return status;
}

enum tgw_status budget_pool_codec_decode(struct budget_pool *pool,
					 const void *bytes, size_t size,
					 struct tgw_error *error)
{
	enum tgw_status status;
	struct wire_reader reader;
	msgpack_unpacked unpacked;
	uint64_t version;

	memset(pool, 0, sizeof(*pool));
	if (!size)
		return TGW_OK;
	status = checked_value_open(&kind, &unpacked, bytes, size, &reader,
				    &version, error);
	if (status != TGW_OK)
		goto out;
	if (version < BUDGET_POOL_FORMAT_VERSION)
		status = decode_earlier_version(pool, bytes, size, error);
	else if (checked_value_read(&reader, read_body, pool))
		status = budget_pool_check(pool, error);
	else
		status = checked_value_report_damage(&kind, size, error);
out:
	if (status != TGW_OK)
		budget_pool_clear(pool);
	msgpack_unpacked_destroy(&unpacked);
	return status;
}
