#include "soak/lost_sending.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"

#define SEVERAL_PERCENT 20
#define IN_PIECES_PERCENT 30
#define PIECES_MAX 5
#define LONG_HEAD_PERCENT 20
#define PAD_FIELDS 30
#define PIECE_DELAY_SPREAD_MS 200
static const enum soak_kind kinds[] = {SOAK_SAFE,   SOAK_SAFE,	 SOAK_UNSAFE,
				       SOAK_STREAM, SOAK_RESUME, SOAK_RESUME};

static struct soak_request *new_request(struct lost_sending *sending,
					struct soak_host *host,
					unsigned int host_start)
{
	struct soak *soak = sending->soak;
	struct soak_request *request = soak_requests_add(&soak->requests);

	request->kind = kinds[tgw_random_below(
		&soak->random, sizeof(kinds) / sizeof(kinds[0]))];
	request->host = host;
	request->host_start = host_start;
	request->sent_us = soak_now_us();
	request->team = SOAK_RICH_TEAM;
	return request;
}

static void write_request(struct lost_sending *sending,
			  const struct soak_request *request)
{
	struct buffer *text = &sending->text;
	struct buffer body = {0};

	soak_request_body(request, &body);
	buffer_add_text(text, body.size ? "POST " : "GET ");
	soak_request_path(request, text);
	buffer_add_format(text,
			  " HTTP/1.1\r\nHost: a.example\r\n"
			  "Tamarackgw-Request-Id: r%u\r\n"
			  "Tamarackgw-Deadline-Ms: %d\r\n"
			  "Authorization: Token key-" SOAK_RICH_TEAM "\r\n"
			  "Content-Length: %zu\r\n",
			  request->number, LOST_DEADLINE_MS, body.size);
	if (soak_request_is_stream(request))
		buffer_add_format(text, "Tamarackgw-Token-Count: %d,%u\r\n",
				  SOAK_INPUT_TOKENS,
				  soak_request_event_count(request) *
					  SOAK_EVENT_TOKENS);
	if (soak_happens(sending->soak, LONG_HEAD_PERCENT))
		for (int i = 0; i < PAD_FIELDS; i++)
			buffer_add_format(text, "X-Pad-%d: %0100d\r\n", i, i);
	buffer_add_text(text, "\r\n");
	buffer_add(text, body.data, body.size);
	buffer_free(&body);
}

void lost_sending_fill(struct lost_sending *sending, struct soak *soak,
		       struct soak_host *host, unsigned int host_start)
{
	struct lost_pending *pending;

	sending->soak = soak;
	buffer_clear(&sending->text);
	sending->sent = 0;
	sending->first = 0;
	sending->count = soak_happens(soak, SEVERAL_PERCENT) ? LOST_PENDING_MAX
							     : 1;
	sending->pieces_left =
		soak_happens(soak, IN_PIECES_PERCENT)
			? 2 + (unsigned int)tgw_random_below(&soak->random,
							     PIECES_MAX - 1)
			: 1;
	for (size_t i = 0; i < sending->count; i++) {
		pending = &sending->pending[i];
		memset(pending, 0, sizeof(*pending));
		pending->request = new_request(sending, host, host_start);
		pending->begin = sending->text.size;
		write_request(sending, pending->request);
		pending->end = sending->text.size;
	}
}

static void on_written(uv_write_t *writing, int status)
{
	free(writing->data);
	free(writing);
}

static void record_times(struct lost_sending *sending)
{
	int64_t now_us = soak_now_us();
	struct lost_pending *pending;

	for (size_t i = sending->first; i < sending->count; i++) {
		pending = &sending->pending[i];
		if (!pending->begun_us)
			pending->begun_us = now_us;
		if (!pending->whole_us && sending->sent >= pending->end)
			pending->whole_us = now_us;
	}
}

unsigned int lost_sending_write(struct lost_sending *sending, uv_tcp_t *tcp)
{
	size_t size = sending->text.size - sending->sent;
	uv_write_t *writing = xcalloc(1, sizeof(*writing));
	uv_buf_t part;

	if (sending->pieces_left > 1 && size > 1)
		size = 1 + tgw_random_below(&sending->soak->random, size - 1);
	writing->data = xmalloc(size);
	memcpy(writing->data, sending->text.data + sending->sent, size);
	part = uv_buf_init(writing->data, (unsigned int)size);
	uv_write(writing, (uv_stream_t *)tcp, &part, 1, on_written);
	sending->sent += size;
	record_times(sending);
	if (sending->sent == sending->text.size)
		return 0;
	sending->pieces_left--;
	return 1 + (unsigned int)tgw_random_below(&sending->soak->random,
						  PIECE_DELAY_SPREAD_MS);
}

struct lost_pending *lost_sending_first(struct lost_sending *sending)
{
	return sending->first < sending->count
		       ? &sending->pending[sending->first]
		       : NULL;
}

void lost_sending_pop(struct lost_sending *sending)
{
	sending->first++;
}

bool lost_sending_is_done(const struct lost_sending *sending)
{
	return sending->first == sending->count &&
	       sending->sent == sending->text.size;
}

void lost_sending_free(struct lost_sending *sending)
{
	buffer_free(&sending->text);
}
