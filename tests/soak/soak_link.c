#include "soak/soak_link.h"

#include <stdlib.h>

#include "base/buffer.h"
#include "base/xalloc.h"
#include "fakes/loop_listener.h"
#include "transport/socket_address.h"

#define SIDES 2
#define CALLER 0 /* the side that connected to the proxy */
#define TARGET 1
#define READ_SIZE_BYTES 65536
/* Reading from a side pauses while more than this waits for the other one. */
#define HELD_MAX_BYTES (256 * 1024)

/* One end of a proxied connection, and the bytes that wait to be sent there. */
struct soak_side {
	struct soak_pipe *pipe;
	uv_tcp_t tcp;
	uv_timer_t timer; /* until the waiting bytes have had their delay */
	uv_shutdown_t ending;
	struct buffer waiting;
	bool open;   /* connected */
	bool ended;  /* has sent its last byte */
	bool finish; /* ends once the waiting bytes are sent */
};

struct soak_pipe {
	struct soak_link *link;
	struct soak_side sides[SIDES];
	uv_connect_t connecting;
	bool silent;
	bool closing;
	unsigned int open_handles;
	struct soak_pipe *next;
};

static void update_reading(struct soak_side *side);

static struct soak_side *other_side(struct soak_side *side)
{
	return &side->pipe->sides[side == &side->pipe->sides[CALLER]];
}

static void on_handle_closed(uv_handle_t *handle)
{
	struct soak_pipe *pipe = ((struct soak_side *)handle->data)->pipe;

	if (--pipe->open_handles)
		return;
	for (int i = 0; i < SIDES; i++)
		buffer_free(&pipe->sides[i].waiting);
	free(pipe);
}

static void close_pipe(struct soak_pipe *pipe, bool reset)
{
	struct soak_pipe **at = &pipe->link->pipes;

	if (pipe->closing)
		return;
	pipe->closing = true;
	while (*at != pipe)
		at = &(*at)->next;
	*at = pipe->next;
	for (int i = 0; i < SIDES; i++) {
		uv_tcp_t *tcp = &pipe->sides[i].tcp;

		uv_close((uv_handle_t *)&pipe->sides[i].timer,
			 on_handle_closed);
		if (!reset || uv_tcp_close_reset(tcp, on_handle_closed) < 0)
			uv_close((uv_handle_t *)tcp, on_handle_closed);
	}
}

static void on_written(uv_write_t *request, int status)
{
	struct soak_side *side = request->handle->data;

	free(request->data);
	free(request);
	if (status < 0)
		close_pipe(side->pipe, true);
	else
		update_reading(other_side(side));
}

static void on_ended(uv_shutdown_t *request, int status)
{
	struct soak_side *side = request->handle->data;

	if (status < 0 || (side->ended && other_side(side)->ended))
		close_pipe(side->pipe, false);
}

static void send_waiting(struct soak_side *side)
{
	if (!side->open || side->pipe->closing)
		return;
	if (side->waiting.size) {
		uv_write_t *request = xcalloc(1, sizeof(*request));
		uv_buf_t part = uv_buf_init(side->waiting.data,
					    (unsigned int)side->waiting.size);

		request->data = side->waiting.data;
		side->waiting = (struct buffer){0};
		uv_write(request, (uv_stream_t *)&side->tcp, &part, 1,
			 on_written);
	}
	if (side->finish) {
		side->finish = false;
		uv_shutdown(&side->ending, (uv_stream_t *)&side->tcp, on_ended);
	}
	update_reading(other_side(side));
}

static void on_delay_over(uv_timer_t *timer)
{
	send_waiting(timer->data);
}

static void send_later(struct soak_side *side)
{
	unsigned int delay_ms = side->pipe->link->delay_ms;

	if (uv_is_active((uv_handle_t *)&side->timer))
		return;
	if (delay_ms)
		uv_timer_start(&side->timer, on_delay_over, delay_ms, 0);
	else
		send_waiting(side);
}

static void on_alloc(uv_handle_t *handle, size_t suggested_size,
		     uv_buf_t *space)
{
	static char bytes[READ_SIZE_BYTES];

	space->base = bytes;
	space->len = sizeof(bytes);
}

static void on_read(uv_stream_t *stream, ssize_t size, const uv_buf_t *space)
{
	struct soak_side *side = stream->data;
	struct soak_side *other = other_side(side);

	if (size < 0 && size != UV_EOF) {
		close_pipe(side->pipe, true);
		return;
	}
	if (side->pipe->silent || !size)
		return;
	if (size > 0) {
		buffer_add(&other->waiting, space->base, (size_t)size);
	} else {
		side->ended = true;
		other->finish = true;
	}
	send_later(other);
	update_reading(side);
}

static void update_reading(struct soak_side *side)
{
	const struct soak_link *link = side->pipe->link;
	bool is_caller = side == &side->pipe->sides[CALLER];
	bool held = is_caller ? link->requests_held : link->answers_held;

	if (!side->open || side->ended || side->pipe->closing)
		return;
	if (held ||
	    other_side(side)->waiting.size +
			    uv_stream_get_write_queue_size(
				    (uv_stream_t *)&other_side(side)->tcp) >
		    HELD_MAX_BYTES)
		uv_read_stop((uv_stream_t *)&side->tcp);
	else
		uv_read_start((uv_stream_t *)&side->tcp, on_alloc, on_read);
}

static void on_connected(uv_connect_t *request, int status)
{
	struct soak_side *side = request->handle->data;

	if (status < 0) {
		close_pipe(side->pipe, true);
		return;
	}
	side->open = true;
	update_reading(side);
	send_later(side);
}

static void init_side(struct soak_pipe *pipe, int index)
{
	struct soak_side *side = &pipe->sides[index];

	side->pipe = pipe;
	uv_tcp_init(pipe->link->loop, &side->tcp);
	uv_timer_init(pipe->link->loop, &side->timer);
	side->tcp.data = side;
	side->timer.data = side;
	pipe->open_handles += 2;
}

static void on_connection(uv_stream_t *listener, int status)
{
	struct soak_link *link = listener->data;
	struct soak_pipe *pipe;
	union socket_address address;

	if (status < 0)
		return;
	pipe = xcalloc(1, sizeof(*pipe));
	pipe->link = link;
	pipe->next = link->pipes;
	link->pipes = pipe;
	for (int i = 0; i < SIDES; i++)
		init_side(pipe, i);
	if (uv_accept(listener, (uv_stream_t *)&pipe->sides[CALLER].tcp) < 0 ||
	    link->refuses || !socket_address_parse(link->target, &address)) {
		close_pipe(pipe, true);
		return;
	}
	uv_tcp_nodelay(&pipe->sides[CALLER].tcp, 1);
	pipe->sides[CALLER].open = true;
	update_reading(&pipe->sides[CALLER]);
	uv_tcp_nodelay(&pipe->sides[TARGET].tcp, 1);
	if (uv_tcp_connect(&pipe->connecting, &pipe->sides[TARGET].tcp,
			   &address.any, on_connected) < 0)
		close_pipe(pipe, true);
}

void soak_link_start(struct soak_link *link, uv_loop_t *loop,
		     const char *target)
{
	link->loop = loop;
	snprintf(link->target, sizeof(link->target), "%s", target);
	loop_listener_start(&link->listener, loop, on_connection, link,
			    link->address, sizeof(link->address));
}

void soak_link_stop(struct soak_link *link)
{
	soak_link_reset(link);
	uv_close((uv_handle_t *)&link->listener, NULL);
}

void soak_link_hold(struct soak_link *link, bool requests, bool answers)
{
	link->requests_held = requests;
	link->answers_held = answers;
	for (struct soak_pipe *pipe = link->pipes; pipe; pipe = pipe->next)
		for (int i = 0; i < SIDES; i++)
			update_reading(&pipe->sides[i]);
}

void soak_link_reset(struct soak_link *link)
{
	while (link->pipes)
		close_pipe(link->pipes, true);
}

void soak_link_silence(struct soak_link *link)
{
	for (struct soak_pipe *pipe = link->pipes; pipe; pipe = pipe->next)
		pipe->silent = true;
}
