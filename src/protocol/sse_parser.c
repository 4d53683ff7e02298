#include "protocol/sse_parser.h"

#include <string.h>

#include "protocol/event_line.h"

static const char data_field[] = "data";

void sse_parser_init(struct sse_parser *parser, size_t max_event_bytes)
{
	memset(parser, 0, sizeof(*parser));
	parser->max_event_bytes = max_event_bytes;
}

void sse_parser_reset(struct sse_parser *parser)
{
	buffer_clear(&parser->line);
	buffer_clear(&parser->data);
	parser->has_data = false;
	parser->after_cr = false;
}

void sse_parser_free(struct sse_parser *parser)
{
	buffer_free(&parser->line);
	buffer_free(&parser->data);
}

static void add_data(struct sse_parser *parser, const char *value, size_t size)
{
	if (parser->has_data)
		buffer_add(&parser->data, "\n", 1);
	buffer_add(&parser->data, value, size);
	parser->has_data = true;
}

static void end_field(struct sse_parser *parser)
{
	const char *line = parser->line.data;
	size_t size = parser->line.size;
	const char *colon = memchr(line, ':', size);
	size_t name_size = colon ? (size_t)(colon - line) : size;
	size_t value_offset = name_size + 1;

	if (name_size != strlen(data_field) ||
	    memcmp(line, data_field, name_size) != 0)
		return;
	if (value_offset < size && line[value_offset] == ' ')
		value_offset++;
	if (value_offset > size)
		value_offset = size;
	add_data(parser, line + value_offset, size - value_offset);
}

static bool end_event(struct sse_parser *parser, struct sse_handler handler)
{
	bool proceed;

	if (!parser->has_data)
		return true;
	proceed = handler.event(handler.arg, parser->data.data,
				parser->data.size);
	buffer_clear(&parser->data);
	parser->has_data = false;
	return proceed;
}

static bool end_line(struct sse_parser *parser, struct sse_handler handler)
{
	bool proceed = true;

	if (parser->line.size == 0)
		proceed = end_event(parser, handler);
	else
		end_field(parser);
	buffer_clear(&parser->line);
	return proceed;
}

enum sse_result sse_parser_feed(struct sse_parser *parser, const char *bytes,
				size_t size, struct sse_handler handler)
{
	while (size) {
		size_t length = event_line_length(bytes, size);

		if (parser->line.size + parser->data.size + length >
		    parser->max_event_bytes)
			return SSE_TOO_LARGE;
		if (length) {
			buffer_add(&parser->line, bytes, length);
			parser->after_cr = false;
		}
		if (length == size)
			return SSE_OK;
		if (bytes[length] == '\n' && parser->after_cr)
			parser->after_cr = false;
		else if (!end_line(parser, handler))
			return SSE_STOPPED;
		else
			parser->after_cr = bytes[length] == '\r';
		bytes += length + 1;
		size -= length + 1;
	}
	return SSE_OK;
}
