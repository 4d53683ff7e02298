/**
 * @file crowd.c
 * Plays many clients that exceed their limits, against one process:
 *   crowd PID IP:PORT CROWD CLIENTS BODY_BYTES PATH READ_PATH FIELD...
 * BODY_BYTES is the limit on a request's body at that process. Requests with a
 * body go to PATH, those without one to READ_PATH. Each FIELD is a header line;
 * a % in it is replaced by a number that no other request has. Clients whose
 * connection is closed connect again. Prints the peak of the process's resident
 * memory and the largest number of its open descriptors that was seen.
 */
#include <arpa/inet.h>
#include <dirent.h>
#include <errno.h>
#include <netinet/in.h>
#include <poll.h>
#include <signal.h>
#include <stdbool.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <sys/socket.h>
#include <time.h>
#include <unistd.h>

#define MAX_CLIENTS 512
#define OUT_BYTES 65536
/* Room in the output buffer below which no more is added: the largest piece
 * that a crowd adds at once has 33 KB. */
#define FILL_BELOW_BYTES 16384
#define PLAY_MS 4000
#define SAMPLE_MS 20
#define REOPEN_MS 50
#define DRIP_MS 50
#define HEAD_FILLER_BYTES 2048
/* Of an announced body, as a multiple of the limit. */
#define OVER_FACTOR 64
/* Small, so that responses that are not read stay at the process. */
#define UNREAD_BUFFER_BYTES 4096

struct client;

struct crowd {
	const char *name;
	/** Adds bytes to send; adds none if the client only waits. */
	void (*fill)(struct client *client);
	size_t chunk_bytes;
	size_t extension_bytes; /**< of each chunk */
	bool reads_nothing;
};

struct client {
	const struct crowd *crowd;
	int fd;
	int64_t open_at_ms; /**< if it is not connected */
	int64_t next_ms;    /**< when a slow client sends again */
	int step;
	size_t body_sent;
	size_t out_size;
	size_t out_done;
	char out[OUT_BYTES];
};

static struct {
	const char *pid;
	struct sockaddr_in address;
	size_t body_bytes;
	const char *path;
	const char *read_path;
	char **fields;
	unsigned int serial;
} play;

static struct client clients[MAX_CLIENTS];
static char filler[32768];

static int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

/* ---- what clients send ---- */

static void add(struct client *client, const char *data, size_t size)
{
	if (size > sizeof(client->out) - client->out_size)
		abort();
	memcpy(client->out + client->out_size, data, size);
	client->out_size += size;
}

static void add_text(struct client *client, const char *text)
{
	add(client, text, strlen(text));
}

static void add_line(struct client *client, const char *text)
{
	add_text(client, text);
	add_text(client, "\r\n");
}

static void add_field(struct client *client, const char *field)
{
	const char *mark = strchr(field, '%');
	char number[16];

	if (!mark) {
		add_line(client, field);
		return;
	}
	snprintf(number, sizeof(number), "%u", play.serial);
	add(client, field, (size_t)(mark - field));
	add_text(client, number);
	add_line(client, mark + 1);
}

static void add_request(struct client *client, const char *method,
			const char *path, const char *framing)
{
	play.serial++;
	add_text(client, method);
	add_text(client, " ");
	add_text(client, path);
	add_line(client, " HTTP/1.1");
	for (char **field = play.fields; *field; field++)
		add_field(client, *field);
	if (framing)
		add_line(client, framing);
	add_line(client, "");
}

static void add_chunked_head(struct client *client)
{
	add_request(client, "POST", play.path, "Transfer-Encoding: chunked");
}

static void add_chunk(struct client *client, size_t size)
{
	char head[32];

	snprintf(head, sizeof(head), "%zx", size);
	add_text(client, head);
	if (client->crowd->extension_bytes) {
		add_text(client, ";x=");
		add(client, filler, client->crowd->extension_bytes);
	}
	add_line(client, "");
	add(client, filler, size);
	add_line(client, "");
	client->body_sent += size;
}

/* Sends chunks up to the size, then stays open without an end. */
static void fill_chunks_up_to(struct client *client, size_t body_bytes)
{
	size_t size = client->crowd->chunk_bytes;

	if (!client->step++)
		add_chunked_head(client);
	if (size > body_bytes - client->body_sent)
		size = body_bytes - client->body_sent;
	if (size)
		add_chunk(client, size);
}

static void fill_chunks(struct client *client)
{
	fill_chunks_up_to(client, play.body_bytes - 1);
}

static void fill_endless_chunks(struct client *client)
{
	fill_chunks_up_to(client, SIZE_MAX);
}

static void add_announced_head(struct client *client, size_t body_bytes)
{
	char framing[64];

	snprintf(framing, sizeof(framing), "Content-Length: %zu", body_bytes);
	add_request(client, "POST", play.path, framing);
}

static void fill_short_of_end(struct client *client)
{
	size_t size = sizeof(filler);

	if (!client->step++)
		add_announced_head(client, play.body_bytes);
	if (size > play.body_bytes - 1 - client->body_sent)
		size = play.body_bytes - 1 - client->body_sent;
	add(client, filler, size);
	client->body_sent += size;
}

static void fill_endless_extension(struct client *client)
{
	if (!client->step++) {
		add_chunked_head(client);
		add_text(client, "1;x=");
	}
	add(client, filler, sizeof(filler));
}

static void add_trailer(struct client *client)
{
	add_text(client, "X-Filler: ");
	add(client, filler, HEAD_FILLER_BYTES);
	add_line(client, "");
}

static void begin_trailers(struct client *client)
{
	add_chunked_head(client);
	add_chunk(client, 1);
	add_line(client, "0");
}

static void fill_trailers(struct client *client)
{
	if (client->step++)
		return;
	begin_trailers(client);
	for (int i = 0; i < 8; i++)
		add_trailer(client);
}

static void fill_endless_trailers(struct client *client)
{
	if (!client->step++)
		begin_trailers(client);
	add_trailer(client);
}

static void fill_announced_over(struct client *client)
{
	if (!client->step++)
		add_announced_head(client, play.body_bytes * OVER_FACTOR);
	add(client, filler, sizeof(filler));
}

static void fill_keep_alive(struct client *client)
{
	if (!client->step) {
		add_announced_head(client, 2);
		add_text(client, "ok");
	}
	fill_announced_over(client);
}

/* Without a key, the response comes before the body. */
static void fill_early_response(struct client *client)
{
	if (!client->step++) {
		add_text(client, "POST ");
		add_text(client, play.path);
		add_line(client, " HTTP/1.1");
		add_line(client, "Host: a.example");
		add_line(client, "Content-Length: 1000000000");
		add_line(client, "");
	}
	add(client, filler, sizeof(filler));
}

static void fill_slow_head(struct client *client)
{
	if (!client->step++) {
		add_text(client, "POST ");
		add_text(client, play.path);
		add_line(client, " HTTP/1.1");
		add_text(client, "X-Filler: ");
		add(client, filler, HEAD_FILLER_BYTES);
	} else if (now_ms() >= client->next_ms) {
		add_text(client, "x");
		client->next_ms = now_ms() + DRIP_MS;
	}
}

static void fill_one_read(struct client *client)
{
	if (!client->step++)
		add_request(client, "GET", play.read_path, NULL);
}

static void fill_reads(struct client *client)
{
	add_request(client, "GET", play.read_path, NULL);
}

static const struct crowd crowds[] = {
	{.name = "large-chunks",
	 .fill = fill_chunks,
	 .chunk_bytes = sizeof(filler)},
	{.name = "byte-chunks", .fill = fill_chunks, .chunk_bytes = 1},
	{.name = "short-of-end", .fill = fill_short_of_end},
	{.name = "extensions",
	 .fill = fill_chunks,
	 .chunk_bytes = 1024,
	 .extension_bytes = 2048},
	{.name = "endless-extension", .fill = fill_endless_extension},
	{.name = "trailers", .fill = fill_trailers},
	{.name = "endless-trailers", .fill = fill_endless_trailers},
	{.name = "announced-over", .fill = fill_announced_over},
	{.name = "sent-over",
	 .fill = fill_endless_chunks,
	 .chunk_bytes = sizeof(filler)},
	{.name = "keep-alive-over", .fill = fill_keep_alive},
	{.name = "early-response", .fill = fill_early_response},
	{.name = "slow-heads", .fill = fill_slow_head},
	{.name = "unread", .fill = fill_one_read, .reads_nothing = true},
	{.name = "unread-pipelined", .fill = fill_reads, .reads_nothing = true},
};

#define CROWDS (sizeof(crowds) / sizeof(crowds[0]))

/* ---- connections ---- */

static void drop(struct client *client)
{
	close(client->fd);
	client->fd = -1;
	client->open_at_ms = now_ms() + REOPEN_MS;
}

static void open_client(struct client *client)
{
	int unread_bytes = UNREAD_BUFFER_BYTES;

	client->fd = socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
	if (client->fd < 0)
		abort();
	if (client->crowd->reads_nothing)
		setsockopt(client->fd, SOL_SOCKET, SO_RCVBUF, &unread_bytes,
			   sizeof(unread_bytes));
	client->step = 0;
	client->body_sent = 0;
	client->out_size = 0;
	client->out_done = 0;
	client->next_ms = 0;
	if (connect(client->fd, (struct sockaddr *)&play.address,
		    sizeof(play.address)) < 0 &&
	    errno != EINPROGRESS)
		drop(client);
}

static void fill(struct client *client)
{
	size_t before;

	if (client->out_done) {
		client->out_size -= client->out_done;
		memmove(client->out, client->out + client->out_done,
			client->out_size);
		client->out_done = 0;
	}
	do {
		before = client->out_size;
		if (before < FILL_BELOW_BYTES)
			client->crowd->fill(client);
	} while (client->out_size > before);
}

static bool send_some(struct client *client)
{
	ssize_t size;

	fill(client);
	if (!client->out_size)
		return true;
	size = send(client->fd, client->out, client->out_size, MSG_NOSIGNAL);
	if (size > 0)
		client->out_done = (size_t)size;
	return size >= 0 || errno == EAGAIN || errno == EWOULDBLOCK;
}

/* @return whether the connection is open */
static bool read_all(struct client *client)
{
	static char bytes[65536];
	ssize_t size;

	do
		size = recv(client->fd, bytes, sizeof(bytes), 0);
	while (size > 0);
	return size < 0 && (errno == EAGAIN || errno == EWOULDBLOCK);
}

static void run_client(struct client *client, short events)
{
	bool is_open = true;

	if (events & (POLLERR | POLLHUP))
		is_open = false;
	else if (events & POLLIN)
		is_open = client->crowd->reads_nothing || read_all(client);
	if (is_open && (events & POLLOUT))
		is_open = send_some(client);
	if (!is_open)
		drop(client);
}

/* Clients that wait are asked again after a pause, so that they don't keep the
 * loop busy. */
static bool has_to_send(const struct client *client)
{
	return client->out_size > client->out_done ||
	       client->next_ms <= now_ms();
}

static void run_clients(size_t count)
{
	static struct pollfd polled[MAX_CLIENTS];

	for (size_t i = 0; i < count; i++) {
		struct client *client = &clients[i];

		if (client->fd < 0 && now_ms() >= client->open_at_ms)
			open_client(client);
		polled[i].fd = client->fd;
		polled[i].events = client->crowd->reads_nothing ? 0 : POLLIN;
		polled[i].revents = 0;
		if (has_to_send(client))
			polled[i].events |= POLLOUT;
	}
	poll(polled, count, SAMPLE_MS);
	for (size_t i = 0; i < count; i++) {
		struct client *client = &clients[i];

		if (client->fd < 0 || !polled[i].revents)
			continue;
		run_client(client, polled[i].revents);
		if (client->fd >= 0 && client->out_size <= client->out_done &&
		    client->next_ms <= now_ms())
			client->next_ms = now_ms() + SAMPLE_MS;
	}
}

/* ---- the process ---- */

static long count_descriptors(void)
{
	char path[64];
	DIR *folder;
	long count = 0;

	snprintf(path, sizeof(path), "/proc/%s/fd", play.pid);
	folder = opendir(path);
	if (!folder)
		return -1;
	for (const struct dirent *entry = readdir(folder); entry;
	     entry = readdir(folder))
		count += *entry->d_name != '.';
	closedir(folder);
	return count;
}

static long peak_memory_kb(void)
{
	char path[64];
	char line[256];
	long peak_kb = -1;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%s/status", play.pid);
	file = fopen(path, "r");
	if (!file)
		return -1;
	while (fgets(line, sizeof(line), file))
		if (!strncmp(line, "VmHWM:", 6))
			peak_kb = strtol(line + 6, NULL, 10);
	fclose(file);
	return peak_kb;
}

/* Makes the peak count from now on. */
static void reset_peak(void)
{
	char path[64];
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%s/clear_refs", play.pid);
	file = fopen(path, "w");
	if (!file)
		return;
	fputs("5", file);
	fclose(file);
}

static long run_play(size_t count)
{
	int64_t end_ms = now_ms() + PLAY_MS;
	int64_t sample_ms = 0;
	long most = 0;

	while (now_ms() < end_ms) {
		run_clients(count);
		if (now_ms() < sample_ms)
			continue;
		sample_ms = now_ms() + SAMPLE_MS;
		long descriptors = count_descriptors();

		if (descriptors > most)
			most = descriptors;
	}
	return most;
}

/* The crowd "all" has clients of every kind. */
static bool choose_crowd(const char *name, size_t count)
{
	bool all = !strcmp(name, "all");
	size_t chosen = 0;

	while (!all && chosen < CROWDS &&
	       strcmp(crowds[chosen].name, name) != 0)
		chosen++;
	if (chosen == CROWDS)
		return false;
	for (size_t i = 0; i < count; i++) {
		clients[i].crowd = &crowds[all ? i % CROWDS : chosen];
		clients[i].fd = -1;
	}
	return true;
}

static bool read_address(char *text)
{
	char *port = strchr(text, ':');

	if (!port)
		return false;
	*port++ = '\0';
	play.address.sin_family = AF_INET;
	play.address.sin_port = htons((uint16_t)strtoul(port, NULL, 10));
	return inet_pton(AF_INET, text, &play.address.sin_addr) == 1;
}

int main(int argc, char **argv)
{
	size_t count;
	long descriptors;

	if (argc < 8 || !read_address(argv[2]))
		return EXIT_FAILURE;
	count = strtoul(argv[4], NULL, 10);
	if (!count || count > MAX_CLIENTS || !choose_crowd(argv[3], count))
		return EXIT_FAILURE;
	play.pid = argv[1];
	play.body_bytes = strtoul(argv[5], NULL, 10);
	play.path = argv[6];
	play.read_path = argv[7];
	play.fields = argv + 8;
	memset(filler, 'x', sizeof(filler));
	reset_peak();
	descriptors = run_play(count);
	printf("%ld %ld\n", peak_memory_kb(), descriptors);
	return EXIT_SUCCESS;
}
