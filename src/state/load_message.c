#include "state/load_message.h"

#include <msgpack.h>
#include <string.h>

#include "state/msgpack_field.h"
#include "state/record_reader.h"

#define MESSAGE_FORMAT 1
#define REPORT_FIELDS 5
#define WHAT "a message about servers' loads"
/* Figures beyond this are absurd. */
#define FIGURE_MAX 1000000

void load_message_encode(const struct load_message *message,
			 struct buffer *bytes)
{
	msgpack_packer packer;

	msgpack_packer_init(&packer, bytes, msgpack_field_write);
	msgpack_pack_array(&packer, 2);
	msgpack_pack_uint64(&packer, MESSAGE_FORMAT);
	msgpack_pack_array(&packer, message->count * REPORT_FIELDS);
	for (size_t i = 0; i < message->count; i++) {
		const struct load_report *report = &message->reports[i];

		msgpack_pack_uint32(&packer, report->run);
		msgpack_pack_uint32(&packer, report->age_ms);
		msgpack_pack_uint32(&packer, report->running);
		msgpack_pack_uint32(&packer, report->waiting);
		msgpack_pack_uint32(&packer, report->work_percent);
	}
}

static uint32_t read_figure(struct record_reader *figures, uint64_t max)
{
	uint64_t value = record_reader_u64(figures);

	if (value > max)
		figures->status = TGW_CORRUPT;
	return figures->status == TGW_OK ? (uint32_t)value : 0;
}

static void read_report(struct record_reader *figures,
			struct load_report *report)
{
	report->run = read_figure(figures, UINT32_MAX);
	report->age_ms = read_figure(figures, FIGURE_MAX);
	report->running = read_figure(figures, FIGURE_MAX);
	report->waiting = read_figure(figures, FIGURE_MAX);
	report->work_percent = read_figure(figures, FIGURE_MAX);
}

static enum tgw_status decode_fields(void *arg, const msgpack_object *object,
				     struct tgw_error *error)
{
	struct load_message *message = arg;
	struct record_reader reader;
	struct record_reader figures;

	record_reader_open(&reader, WHAT, object, MESSAGE_FORMAT);
	if (reader.status == TGW_OK && reader.next < reader.field_count)
		record_reader_open_nested(&figures, WHAT,
					  &reader.fields[reader.next]);
	else
		return record_reader_finish(&reader, error);
	if (figures.field_count > LOAD_MESSAGE_REPORTS_MAX * REPORT_FIELDS ||
	    figures.field_count % REPORT_FIELDS)
		figures.status = TGW_CORRUPT;
	while (figures.status == TGW_OK && figures.next < figures.field_count)
		read_report(&figures, &message->reports[message->count++]);
	return record_reader_finish(&figures, error);
}

enum tgw_status load_message_decode(struct load_message *message,
				    const void *bytes, size_t size,
				    struct tgw_error *error)
{
	memset(message, 0, sizeof(*message));
	return record_reader_decode(WHAT, bytes, size, decode_fields, message,
				    error);
}
