#include "coordination/cap_writer.h"

#include <assert.h>
#include <stdio.h>
#include <string.h>

/* Backoff after a failed store call; doubles up to the maximum. */
#define RETRY_MIN_US (100 * TGW_US_PER_MS)
#define RETRY_MAX_US (1000 * TGW_US_PER_MS)

void cap_writer_init(struct cap_writer *writer, const char *host,
		     struct tgw_store *store, const struct tgw_clock *clock,
		     const struct cap_writer_events *events)
{
	memset(writer, 0, sizeof(*writer));
	snprintf(writer->key, sizeof(writer->key), CAP_WRITER_PREFIX "%s",
		 host);
	writer->store = store;
	writer->clock = clock;
	writer->events = *events;
}

void cap_writer_clear(struct cap_writer *writer)
{
	cap_record_clear(&writer->previous);
	buffer_free(&writer->open_bytes);
}

bool cap_writer_is_idle(const struct cap_writer *writer)
{
	return writer->state == CAP_WRITER_IDLE;
}

static void back_off(struct cap_writer *writer, const char *call,
		     const struct tgw_store_result *result)
{
	const struct cap_writer_events *events = &writer->events;

	writer->backoff_us = writer->backoff_us ? writer->backoff_us * 2
						: RETRY_MIN_US;
	if (writer->backoff_us > RETRY_MAX_US)
		writer->backoff_us = RETRY_MAX_US;
	writer->due_us =
		tgw_clock_monotonic_us(writer->clock) + writer->backoff_us;
	writer->state = writer->known ? CAP_WRITER_WAITING : CAP_WRITER_UNREAD;
	events->failed(events->arg, call, result->status, result->message);
}

static void end_write(struct cap_writer *writer, bool took_effect)
{
	writer->open = false;
	writer->state = CAP_WRITER_IDLE;
	writer->backoff_us = 0;
	writer->events.ended(writer->events.arg, took_effect);
}

/* A record that can't be read is one without caps: its process is charged its
 * whole allotment. */
static void decode_entry(struct cap_writer *writer, struct cap_record *record,
			 const struct tgw_store_entry *entry)
{
	const struct cap_writer_events *events = &writer->events;
	struct tgw_error error;
	enum tgw_status status = TGW_OK;

	memset(record, 0, sizeof(*record));
	if (entry->value)
		status = cap_record_decode(record, entry->value,
					   entry->value_size, &error);
	if (status != TGW_OK)
		events->failed(events->arg, "read", status, error.message);
}

static void send_open(struct cap_writer *writer);

/* Finds out from the key's current value what became of the open write. While
 * the key has the version that it expects, it may still take effect. */
static void resolve_open(struct cap_writer *writer,
			 const struct tgw_store_entry *entry)
{
	struct cap_record record;
	bool took_effect;

	if (entry->version == writer->version) {
		send_open(writer);
		return;
	}
	writer->version = entry->version;
	decode_entry(writer, &record, entry);
	took_effect = record.host_id == writer->open_host_id &&
		      record.written_us == writer->open_written_us;
	cap_record_clear(&record);
	end_write(writer, took_effect);
}

static void on_read(void *arg, const struct tgw_store_result *result)
{
	struct cap_writer *writer = arg;

	if (result->status != TGW_OK || result->entry_count != 1) {
		back_off(writer, "read", result);
		return;
	}
	if (writer->open) {
		resolve_open(writer, &result->entries[0]);
		return;
	}
	writer->version = result->entries[0].version;
	decode_entry(writer, &writer->previous, &result->entries[0]);
	writer->known = true;
	writer->state = CAP_WRITER_IDLE;
	writer->backoff_us = 0;
	writer->events.read(writer->events.arg);
}

static void on_written(void *arg, const struct tgw_store_result *result)
{
	struct cap_writer *writer = arg;

	switch (result->status) {
	case TGW_OK:
		writer->version = result->entries[0].version;
		end_write(writer, true);
		return;
	case TGW_CONFLICT:
		resolve_open(writer, &result->entries[0]);
		return;
	default:
		back_off(writer, "write", result);
		return;
	}
}

static void send_open(struct cap_writer *writer)
{
	writer->state = CAP_WRITER_CALLING;
	writer->called_us = tgw_clock_monotonic_us(writer->clock);
	tgw_store_swap(writer->store, writer->key, writer->version,
		       writer->open_bytes.data, writer->open_bytes.size,
		       (struct tgw_store_callback){on_written, writer});
}

void cap_writer_write(struct cap_writer *writer,
		      const struct cap_record *record)
{
	assert(cap_writer_is_idle(writer));
	assert(record->written_us > writer->open_written_us);
	writer->open = true;
	writer->open_host_id = record->host_id;
	writer->open_written_us = record->written_us;
	writer->open_bytes.size = 0;
	cap_record_encode(record, &writer->open_bytes);
	send_open(writer);
}

void cap_writer_retry(struct cap_writer *writer)
{
	writer->backoff_us = 0;
	writer->due_us = 0;
}

void cap_writer_tick(struct cap_writer *writer)
{
	if (writer->state != CAP_WRITER_UNREAD &&
	    writer->state != CAP_WRITER_WAITING)
		return;
	if (tgw_clock_monotonic_us(writer->clock) < writer->due_us)
		return;
	writer->state = CAP_WRITER_CALLING;
	writer->called_us = tgw_clock_monotonic_us(writer->clock);
	tgw_store_get(writer->store, writer->key,
		      (struct tgw_store_callback){on_read, writer});
}
