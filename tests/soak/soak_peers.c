#include "soak/soak_peers.h"

#include <arpa/inet.h>
#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "transport/socket_address.h"

#define DATAGRAM_MAX_BYTES 2048
#define LATE_MAX_MS 6000
#define PERCENT 100

struct soak_peer_path {
	struct soak_peers *peers;
	uv_udp_t socket;
	char address[32];
	union socket_address target;
	bool cut;
};

struct late_datagram {
	struct soak_peer_path *path;
	uv_timer_t timer;
	size_t size;
	char data[DATAGRAM_MAX_BYTES];
};

static void send_on(struct soak_peer_path *path, char *data, size_t size)
{
	uv_buf_t part = uv_buf_init(data, (unsigned int)size);

	uv_udp_try_send(&path->socket, &part, 1, &path->target.any);
}

static void on_late_closed(uv_handle_t *handle)
{
	free(handle->data);
}

static void on_late(uv_timer_t *timer)
{
	struct late_datagram *late = timer->data;

	if (!late->path->cut)
		send_on(late->path, late->data, late->size);
	uv_close((uv_handle_t *)timer, on_late_closed);
}

static void send_late(struct soak_peer_path *path, const char *data,
		      size_t size)
{
	struct late_datagram *late = xcalloc(1, sizeof(*late));

	late->path = path;
	late->size = size;
	memcpy(late->data, data, size);
	uv_timer_init(path->peers->loop, &late->timer);
	late->timer.data = late;
	uv_timer_start(&late->timer, on_late,
		       tgw_random_below(path->peers->random, LATE_MAX_MS), 0);
}

static bool happens(const struct soak_peers *peers, unsigned int percent)
{
	return percent && tgw_random_below(peers->random, PERCENT) < percent;
}

/* Changes a byte, or cuts the datagram short.
 * @return the new size */
static size_t corrupt(const struct soak_peers *peers, char *data, size_t size)
{
	size_t at = tgw_random_below(peers->random, size);

	if (tgw_random_below(peers->random, 2))
		return at;
	data[at] = (char)tgw_random_u64(peers->random);
	return size;
}

static void on_alloc(uv_handle_t *handle, size_t suggested_size,
		     uv_buf_t *space)
{
	static char bytes[DATAGRAM_MAX_BYTES];

	space->base = bytes;
	space->len = sizeof(bytes);
}

static void on_datagram(uv_udp_t *socket, ssize_t size, const uv_buf_t *space,
			const struct sockaddr *from, unsigned int flags)
{
	struct soak_peer_path *path = socket->data;
	struct soak_peers *peers = path->peers;
	size_t length = size > 0 ? (size_t)size : 0;

	if (!length || path->cut || happens(peers, peers->loss_percent))
		return;
	if (happens(peers, peers->late_percent)) {
		send_late(path, space->base, length);
		return;
	}
	if (happens(peers, peers->repeat_percent))
		send_late(path, space->base, length);
	if (happens(peers, peers->corrupt_percent))
		length = corrupt(peers, space->base, length);
	send_on(path, space->base, length);
}

static struct soak_peer_path *path_of(const struct soak_peers *peers,
				      size_t from, size_t to)
{
	return &peers->paths[from * peers->host_count + to];
}

static void start_path(struct soak_peers *peers, struct soak_peer_path *path,
		       const char *target)
{
	struct sockaddr_in bound;
	int size = sizeof(bound);

	path->peers = peers;
	socket_address_parse(target, &path->target);
	uv_ip4_addr("127.0.0.1", 0, &bound);
	uv_udp_init(peers->loop, &path->socket);
	path->socket.data = path;
	uv_udp_bind(&path->socket, (struct sockaddr *)&bound, 0);
	uv_udp_getsockname(&path->socket, (struct sockaddr *)&bound, &size);
	snprintf(path->address, sizeof(path->address), "127.0.0.1:%d",
		 ntohs(bound.sin_port));
	uv_udp_recv_start(&path->socket, on_alloc, on_datagram);
}

void soak_peers_start(struct soak_peers *peers, uv_loop_t *loop,
		      struct tgw_random *random, size_t host_count,
		      const char *const *addresses)
{
	*peers = (struct soak_peers){
		.loop = loop,
		.random = random,
		.host_count = host_count,
		.paths =
			xcalloc(host_count * host_count, sizeof(*peers->paths)),
	};
	for (size_t from = 0; from < host_count; from++)
		for (size_t to = 0; to < host_count; to++)
			if (from != to)
				start_path(peers, path_of(peers, from, to),
					   addresses[to]);
}

const char *soak_peers_address(const struct soak_peers *peers, size_t from,
			       size_t to)
{
	return path_of(peers, from, to)->address;
}

void soak_peers_cut(struct soak_peers *peers, size_t from, size_t to, bool cut)
{
	if (from != to)
		path_of(peers, from, to)->cut = cut;
}
