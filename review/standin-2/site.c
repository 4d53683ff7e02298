/* Stand-ins for the scripts of the second review, one program:
 *
 *   site store PORT
 *       the platform's metadata store, as far as a host uses it
 *   site worker PORT STORE_PORT ID SERVICE MODE RECORD [LISTEN_PORT]
 *       a worker that registers itself at PORT, and listens there or behind a
 *       link at LISTEN_PORT; MODE says how it answers, see below.
 *       SIGUSR1: it reports that it drains and serves on
 *   site link PORT WORKER_PORT
 *       the network between hosts and a worker, which listens at WORKER_PORT:
 *       forwards both ways. SIGUSR1 cuts it, so that nothing passes and what is
 *       on its way is held up; SIGUSR2 ends the cut
 *   site put STORE_PORT KEY < VALUE
 *       writes an item as the operator
 *   site send FRONT_PORT HOST PATH KEY ID DEADLINE_MS OUT [TOKENS]
 *       sends one request as a client, with this Tamarackgw-Token-Count; prints
 * the status, the stamp and whether the answer is whole, and writes the body to
 * OUT site ready READY_PORT exits with 0 if the host says that it is ready site
 * ports COUNT prints so many free ports
 *
 * All addresses are loopback addresses. */
#include <arpa/inet.h>
#include <errno.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdbool.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/socket.h>
#include <sys/time.h>
#include <time.h>
#include <unistd.h>

#define TEXT_MAX (256 * 1024)
#define ITEMS_MAX 256
#define KEY_MAX 201
#define HEARTBEAT_MS 1200
/* An answer in pieces: so many lines, with this pause between them. */
#define LINES 60
#define LINE_PAUSE_MS 50
#define CRASH_AFTER_MS 4000
/* The "stride" of the model service. */
#define TOKENS_IN_EVENT 9

struct message {
	char head[16 * 1024];
	char *body;
	size_t body_size;
	bool whole; /* the body is */
};

static int64_t now_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void pause_ms(int ms)
{
	struct timespec left = {ms / 1000, ms % 1000 * 1000000L};

	while (nanosleep(&left, &left) < 0 && errno == EINTR)
		;
}

static bool write_all(int fd, const char *data, size_t size)
{
	while (size) {
		ssize_t sent = send(fd, data, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		data += sent;
		size -= (size_t)sent;
	}
	return true;
}

__attribute__((format(printf, 2, 3))) static bool say(int fd,
						      const char *format, ...)
{
	char *text = NULL;
	va_list args;
	bool sent;
	int size;

	va_start(args, format);
	size = vasprintf(&text, format, args);
	va_end(args);
	sent = size >= 0 && write_all(fd, text, (size_t)size);
	free(text);
	return sent;
}

static struct sockaddr_in loopback(const char *port)
{
	struct sockaddr_in address = {.sin_family = AF_INET};

	address.sin_port = htons((uint16_t)atoi(port));
	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	return address;
}

static int connect_to(const char *port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	if (!connect(fd, (struct sockaddr *)&address, sizeof(address)))
		return fd;
	close(fd);
	return -1;
}

static int listen_at(const char *port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM, 0);
	int on = 1;

	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 128)) {
		perror("listen");
		exit(2);
	}
	return fd;
}

/* @return the value of a field, or NULL; valid until the next call */
static const char *field(const struct message *message, const char *name)
{
	static __thread char value[4096];
	const char *line = strstr(message->head, "\r\n");
	size_t size = strlen(name);

	while (line && line[2]) {
		line += 2;
		if (!strncasecmp(line, name, size) && line[size] == ':') {
			line += size + 1;
			line += strspn(line, " \t");
			snprintf(value, sizeof(value), "%.*s",
				 (int)strcspn(line, "\r\n"), line);
			return value;
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

static bool read_line(FILE *in, char *line, size_t size)
{
	if (!fgets(line, (int)size, in))
		return false;
	return strchr(line, '\n') != NULL;
}

static bool read_exactly(FILE *in, struct message *message, size_t size)
{
	size_t got;

	message->body = realloc(message->body, message->body_size + size + 1);
	got = fread(message->body + message->body_size, 1, size, in);
	message->body_size += got;
	message->body[message->body_size] = '\0';
	return got == size;
}

static bool read_chunks(FILE *in, struct message *message)
{
	char line[128];

	while (read_line(in, line, sizeof(line))) {
		size_t size = strtoul(line, NULL, 16);

		if (!size)
			return read_line(in, line, sizeof(line));
		if (!read_exactly(in, message, size) ||
		    !read_line(in, line, sizeof(line)))
			return false;
	}
	return false;
}

/* Reads a request or a response. @return whether its head is complete */
static bool read_message(FILE *in, struct message *message)
{
	size_t used = 0;
	const char *coding;
	const char *length;

	message->head[0] = '\0';
	message->body_size = 0;
	message->whole = false;
	do {
		if (sizeof(message->head) - used < 2 ||
		    !read_line(in, message->head + used,
			       sizeof(message->head) - used))
			return false;
		used += strlen(message->head + used);
	} while (used < 4 || strcmp(message->head + used - 4, "\r\n\r\n") != 0);
	message->head[used - 2] = '\0';
	coding = field(message, "Transfer-Encoding");
	if (coding && !strcasecmp(coding, "chunked")) {
		message->whole = read_chunks(in, message);
		return true;
	}
	length = field(message, "Content-Length");
	message->whole = read_exactly(in, message,
				      length ? strtoul(length, NULL, 10) : 0);
	return true;
}

/* Calls `serve` for each connection, in a thread of its own. */
static void accept_all(const char *port, void *(*serve)(void *arg))
{
	int listener = listen_at(port);

	for (;;) {
		int fd = accept(listener, NULL, NULL);
		int on = 1;
		pthread_t thread;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		pthread_create(&thread, NULL, serve, (void *)(intptr_t)fd);
		pthread_detach(thread);
	}
}

/* ---- the store ---- */

struct item {
	char key[KEY_MAX];
	char *value; /* base64; NULL: deleted */
	int64_t revision;
	int64_t created;
	int64_t expires_ms; /* 0: never */
};

static struct item items[ITEMS_MAX];
static size_t item_count;
static int64_t store_revision = 1;
static pthread_mutex_t lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t changed = PTHREAD_COND_INITIALIZER;

static struct item *find_item(const char *key)
{
	for (size_t i = 0; i < item_count; i++)
		if (!strcmp(items[i].key, key))
			return &items[i];
	return NULL;
}

static void set_item(const char *key, const char *value, size_t size)
{
	struct item *item = find_item(key);

	if (!item && item_count < ITEMS_MAX) {
		item = &items[item_count++];
		snprintf(item->key, sizeof(item->key), "%s", key);
	}
	if (!item)
		exit(2);
	store_revision++;
	if (!item->value)
		item->created = store_revision;
	free(item->value);
	item->value = value ? strndup(value, size) : NULL;
	item->revision = store_revision;
	pthread_cond_broadcast(&changed);
}

static void expire_items(void)
{
	int64_t now = now_ms();

	for (size_t i = 0; i < item_count; i++)
		if (items[i].value && items[i].expires_ms &&
		    items[i].expires_ms < now)
			set_item(items[i].key, NULL, 0);
}

static void *expire_all(void *arg)
{
	for (;;) {
		pause_ms(100);
		pthread_mutex_lock(&lock);
		expire_items();
		pthread_mutex_unlock(&lock);
	}
	return arg;
}

static void add(char *text, const char *format, ...)
{
	size_t used = strlen(text);
	va_list args;

	va_start(args, format);
	vsnprintf(text + used, TEXT_MAX - used, format, args);
	va_end(args);
}

static void add_item(char *text, const struct item *item)
{
	if (item->value)
		add(text,
		    "{\"key\":\"%s\",\"value\":\"%s\",\"revision\":%lld,"
		    "\"created\":%lld,\"lease\":0}",
		    item->key, item->value, (long long)item->revision,
		    (long long)item->created);
	else
		add(text,
		    "{\"key\":\"%s\",\"revision\":%lld,\"tombstone\":true}",
		    item->key, (long long)item->revision);
}

/* Reads a parameter of the query, with its escapes. */
static bool parameter(const char *target, const char *name, char *value,
		      size_t size)
{
	const char *at = strchr(target, '?');
	size_t length = strlen(name);
	size_t used = 0;

	while (at && (strncmp(at + 1, name, length) || at[1 + length] != '='))
		at = strchr(at + 1, '&');
	if (!at)
		return false;
	for (at += length + 2; *at && *at != '&' && used + 1 < size; at++) {
		unsigned int code;

		if (*at == '%' && sscanf(at + 1, "%2x", &code) == 1) {
			value[used++] = (char)code;
			at += 2;
		} else {
			value[used++] = *at;
		}
	}
	value[used] = '\0';
	return true;
}

static int get_key(const char *target, char *text)
{
	char key[KEY_MAX] = "";
	const struct item *item;

	parameter(target, "key", key, sizeof(key));
	item = find_item(key);
	if (!item || !item->value)
		return 404;
	add_item(text, item);
	return 200;
}

static int get_range(const char *target, char *text)
{
	char prefix[KEY_MAX] = "";
	const char *separator = "";

	parameter(target, "pathPrefix", prefix, sizeof(prefix));
	add(text, "{\"items\":[");
	for (size_t i = 0; i < item_count; i++) {
		if (!items[i].value ||
		    strncmp(items[i].key, prefix, strlen(prefix)) != 0)
			continue;
		add(text, "%s", separator);
		add_item(text, &items[i]);
		separator = ",";
	}
	add(text, "],\"hasMore\":false,\"storeRevision\":%lld}",
	    (long long)store_revision);
	return 200;
}

static size_t add_events(const char *prefix, int64_t after, char *text)
{
	size_t count = 0;

	add(text, "{\"events\":[");
	for (int64_t revision = after + 1; revision <= store_revision;
	     revision++)
		for (size_t i = 0; i < item_count; i++) {
			if (items[i].revision != revision ||
			    strncmp(items[i].key, prefix, strlen(prefix)) != 0)
				continue;
			add(text, "%s", count++ ? "," : "");
			add_item(text, &items[i]);
		}
	add(text, "],\"storeRevision\":%lld}", (long long)store_revision);
	return count;
}

static int watch(const char *target, char *text)
{
	char prefix[KEY_MAX] = "";
	char number[32] = "0";
	struct timespec until;
	int64_t until_ms;
	int64_t after;

	parameter(target, "pathPrefix", prefix, sizeof(prefix));
	parameter(target, "waitMs", number, sizeof(number));
	until_ms = now_ms() + atoll(number);
	parameter(target, "after", number, sizeof(number));
	after = atoll(number);
	until.tv_sec = until_ms / 1000;
	until.tv_nsec = until_ms % 1000 * 1000000L;
	while (!add_events(prefix, after, text) && now_ms() < until_ms) {
		*text = '\0';
		pthread_cond_timedwait(&changed, &lock, &until);
	}
	return 200;
}

/* Reads the value of a member of the JSON that hosts write. */
static const char *member(const char *json, const char *name, size_t *size)
{
	char quoted[64];
	const char *at;

	snprintf(quoted, sizeof(quoted), "\"%s\":", name);
	at = json ? strstr(json, quoted) : NULL;
	if (!at)
		return NULL;
	at += strlen(quoted);
	if (*at == '"')
		at++;
	*size = strcspn(at, "\",}]");
	return at;
}

/* A transaction with one condition and one write or removal. */
static int transact(const char *body, char *text)
{
	const char *condition = strstr(body, "\"expectedRevision\":");
	const char *writes = strstr(body, "\"writes\":[{");
	size_t size = 0;
	const char *at = member(condition, "key", &size);
	char key[KEY_MAX];
	struct item *item;

	if (!at)
		return 400;
	snprintf(key, sizeof(key), "%.*s", (int)size, at);
	if (!strncmp(key, "op/", 3) || !strncmp(key, "servers/", 8))
		return 403;
	item = find_item(key);
	at = member(condition, "revision", &size);
	if (atoll(at) != (item && item->value ? item->revision : 0)) {
		add(text, "{\"items\":[");
		if (item && item->value)
			add_item(text, item);
		else
			add(text, "{\"key\":\"%s\",\"revision\":0}", key);
		add(text, "]}");
		return 412;
	}
	at = writes ? member(writes, "value", &size) : NULL;
	set_item(key, at, size);
	add(text, "{\"revision\":%lld}", (long long)store_revision);
	return 200;
}

/* What workers and the operator do: writes a value that is base64 already.
 * "touch" only puts off its end. */
static int put(const char *target, const char *body, size_t size, bool touch)
{
	char key[KEY_MAX] = "";
	char ttl[32] = "0";
	struct item *item;

	parameter(target, "key", key, sizeof(key));
	parameter(target, "ttl", ttl, sizeof(ttl));
	if (!touch)
		set_item(key, body, size);
	item = find_item(key);
	if (!item || !item->value)
		return 404;
	item->expires_ms = atoll(ttl) ? now_ms() + atoll(ttl) : 0;
	return 200;
}

static int answer_store(const char *method, const char *target,
			const struct message *request, char *text)
{
	if (!strncmp(target, "/kv-key?", 8))
		return get_key(target, text);
	if (!strncmp(target, "/kv-range?", 10))
		return get_range(target, text);
	if (!strncmp(target, "/kv-watch?", 10))
		return watch(target, text);
	if (!strcmp(method, "POST") && !strcmp(target, "/kv-txn"))
		return transact(request->body, text);
	if (!strncmp(target, "/put?", 5))
		return put(target, request->body, request->body_size, false);
	if (!strncmp(target, "/touch?", 7))
		return put(target, request->body, request->body_size, true);
	return 404;
}

static void *serve_store(void *arg)
{
	int fd = (int)(intptr_t)arg;
	FILE *in = fdopen(fd, "r");
	struct message request = {0};
	char *text = malloc(TEXT_MAX);
	char method[16];
	char target[1024];

	while (read_message(in, &request) && request.whole &&
	       sscanf(request.head, "%15s %1023s", method, target) == 2) {
		int status;

		*text = '\0';
		pthread_mutex_lock(&lock);
		status = answer_store(method, target, &request, text);
		pthread_mutex_unlock(&lock);
		if (!say(fd,
			 "HTTP/1.1 %d Status\r\n"
			 "Content-Type: application/json\r\n"
			 "Content-Length: %zu\r\n\r\n%s",
			 status, strlen(text), text))
			break;
	}
	free(request.body);
	free(text);
	fclose(in);
	return NULL;
}

/* ---- calls of workers and the operator to the store ---- */

static char *base64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZ"
				     "abcdefghijklmnopqrstuvwxyz0123456789+/";
	size_t size = strlen(text);
	char *out = calloc(1, size * 4 / 3 + 8);
	size_t used = 0;

	for (size_t i = 0; i < size; i += 3) {
		unsigned int bits = (unsigned char)text[i] << 16;

		if (i + 1 < size)
			bits |= (unsigned char)text[i + 1] << 8;
		if (i + 2 < size)
			bits |= (unsigned char)text[i + 2];
		out[used++] = digits[bits >> 18 & 63];
		out[used++] = digits[bits >> 12 & 63];
		out[used++] = i + 1 < size ? digits[bits >> 6 & 63] : '=';
		out[used++] = i + 2 < size ? digits[bits & 63] : '=';
	}
	return out;
}

static bool call_store(const char *port, const char *target, const char *body)
{
	struct message response = {0};
	int fd = connect_to(port);
	FILE *in;
	bool ok;

	if (fd < 0)
		return false;
	in = fdopen(fd, "r");
	ok = say(fd,
		 "POST %s HTTP/1.1\r\nHost: store\r\n"
		 "Content-Length: %zu\r\n\r\n%s",
		 target, strlen(body), body) &&
	     read_message(in, &response) &&
	     !strncmp(response.head, "HTTP/1.1 200", 12);
	free(response.body);
	fclose(in);
	return ok;
}

static int put_item(const char *port, const char *key)
{
	static char value[TEXT_MAX];
	char target[KEY_MAX + 32];
	char *encoded;
	size_t size = fread(value, 1, sizeof(value) - 1, stdin);
	bool ok;

	value[size] = '\0';
	encoded = base64(value);
	snprintf(target, sizeof(target), "/put?key=%s", key);
	ok = call_store(port, target, encoded);
	free(encoded);
	return ok ? 0 : 2;
}

/* ---- a worker ---- */

static struct {
	const char *port;
	const char *store_port;
	const char *id;
	const char *service;
	const char *mode;
	FILE *record;
	int64_t born_ms;
	volatile sig_atomic_t drains;
} worker;

__attribute__((format(printf, 1, 2))) static void record(const char *format,
							 ...)
{
	va_list args;

	flockfile(worker.record);
	fprintf(worker.record, "%lld worker %s ", (long long)now_ms(),
		worker.id);
	va_start(args, format);
	vfprintf(worker.record, format, args);
	va_end(args);
	fputc('\n', worker.record);
	fflush(worker.record);
	funlockfile(worker.record);
}

static void on_drain(int number)
{
	worker.drains = number;
}

static bool write_entry(int sequence)
{
	char target[KEY_MAX + 64];
	char value[1024];
	char *encoded;
	bool ok;

	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%s\","
		 "\"zone\":\"east\",\"version\":1,\"slots\":8,"
		 "\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":%d,"
		 "\"born\":%lld}",
		 worker.service, worker.port,
		 worker.drains ? "draining" : "ready", sequence,
		 (long long)worker.born_ms);
	snprintf(target, sizeof(target), "/put?key=servers/%s&ttl=%d",
		 worker.id, 3 * HEARTBEAT_MS);
	encoded = base64(value);
	ok = call_store(worker.store_port, target, encoded);
	free(encoded);
	return ok;
}

static void *beat(void *arg)
{
	char target[KEY_MAX + 64];
	int sequence = 1;
	int drains = 0;

	snprintf(target, sizeof(target), "/touch?key=servers/%s&ttl=%d",
		 worker.id, 3 * HEARTBEAT_MS);
	while (!write_entry(sequence))
		pause_ms(100);
	record("is ready");
	for (int i = 1;; i++) {
		pause_ms(50);
		if (worker.drains != drains) {
			drains = worker.drains;
			write_entry(++sequence);
			record("drains");
		} else if (!(i % (HEARTBEAT_MS / 50))) {
			call_store(worker.store_port, target, "");
		}
	}
	return arg;
}

static bool send_head(int fd, const char *status, const char *id,
		      const char *fields)
{
	return say(fd,
		   "HTTP/1.1 %s\r\nTamarackgw-Request-Id: %s\r\n"
		   "Tamarackgw-Response-Stamp: stamp.%s.%s\r\n"
		   "Content-Type: text/plain\r\n%s\r\n",
		   status, id, worker.id, id, fields);
}

/* A long answer that has no length and ends with its connection. */
static void answer_in_pieces(int fd, const char *id)
{
	bool sent = send_head(fd, "200 OK", id, "Connection: close\r\n");

	for (int line = 1; sent && line <= LINES; line++) {
		sent = say(fd, "line %d of %d of %s\n", line, LINES, id);
		pause_ms(LINE_PAUSE_MS);
	}
	record("request %s %s", id,
	       sent ? "answered 200 in full" : "broken off by the host");
}

static void answer_at_once(int fd, const char *id)
{
	char fields[64];
	char body[128];

	snprintf(body, sizeof(body), "booked %s\n", id);
	snprintf(fields, sizeof(fields), "Content-Length: %zu\r\n",
		 strlen(body));
	if (send_head(fd, "200 OK", id, fields) &&
	    write_all(fd, body, strlen(body)))
		record("request %s answered 200", id);
}

/* As many words as the request allows tokens, one a word, TOKENS_IN_EVENT in
 * each event of a stream. */
static void answer_as_model(int fd, const struct message *request,
			    const char *id)
{
	const char *text = field(request, "Tamarackgw-Token-Count");
	const char *comma = text ? strchr(text, ',') : NULL;
	int words = comma ? atoi(comma + 1) : 0;
	bool sent = say(fd,
			"HTTP/1.1 200 OK\r\nTamarackgw-Request-Id: %s\r\n"
			"Tamarackgw-Response-Stamp: stamp.%s.%s\r\n"
			"Content-Type: text/event-stream\r\n"
			"Transfer-Encoding: chunked\r\n\r\n",
			id, worker.id, id);

	for (int event = 1, left = words; sent && left > 0; event++) {
		char body[256] = "";
		int in_event = left < TOKENS_IN_EVENT ? left : TOKENS_IN_EVENT;

		snprintf(body, sizeof(body), "id: %d\ndata:", event);
		for (int i = 0; i < in_event; i++)
			strcat(body, " word");
		strcat(body, "\n\n");
		left -= in_event;
		sent = say(fd, "%zx\r\n%s\r\n", strlen(body), body);
	}
	if (sent && say(fd, "0\r\n\r\n"))
		record("request %s answered 200 with %d tokens", id, words);
}

/* Requests to /bad/ crash the worker some time after they began to run, whoever
 * waits for them; others take half a second. */
static void answer_fragile(int fd, const struct message *request,
			   const char *id)
{
	if (strncmp(request->head, "GET /bad/", 9) != 0) {
		pause_ms(500);
		answer_at_once(fd, id);
		return;
	}
	pause_ms(CRASH_AFTER_MS);
	record("request %s crashes it", id);
	_exit(1);
}

static bool is_this_worker(int fd, const struct message *request,
			   const char *id)
{
	const char *expected = field(request, "Tamarackgw-Expect-Instance");

	if (!expected || !strcmp(expected, worker.id))
		return true;
	say(fd,
	    "HTTP/1.1 421 Misdirected Request\r\n"
	    "Tamarackgw-Request-Id: %s\r\nContent-Length: 0\r\n\r\n",
	    id);
	return false;
}

/* @return whether the connection goes on */
static bool answer_request(int fd, const struct message *request)
{
	const char *text = field(request, "Tamarackgw-Request-Id");
	char id[64];

	snprintf(id, sizeof(id), "%s", text ? text : "-");
	if (!is_this_worker(fd, request, id))
		return true;
	record("request %s runs", id);
	if (!strcmp(worker.mode, "pieces")) {
		answer_in_pieces(fd, id);
		return false;
	}
	if (!strcmp(worker.mode, "fragile"))
		answer_fragile(fd, request, id);
	else if (!strcmp(worker.mode, "model"))
		answer_as_model(fd, request, id);
	else
		answer_at_once(fd, id);
	return true;
}

static void *serve_worker(void *arg)
{
	int fd = (int)(intptr_t)arg;
	FILE *in = fdopen(fd, "r");
	struct message request = {0};

	while (read_message(in, &request) && request.whole &&
	       answer_request(fd, &request))
		;
	free(request.body);
	fclose(in);
	return NULL;
}

static void run_worker(char **argv)
{
	pthread_t thread;

	worker.port = argv[2];
	worker.store_port = argv[3];
	worker.id = argv[4];
	worker.service = argv[5];
	worker.mode = argv[6];
	worker.record = fopen(argv[7], "a");
	worker.born_ms = now_ms();
	if (!worker.record)
		exit(2);
	signal(SIGUSR1, on_drain);
	pthread_create(&thread, NULL, beat, NULL);
	accept_all(argv[8] ? argv[8] : worker.port, serve_worker);
}

/* ---- the network to a worker ---- */

static const char *link_target;
static volatile sig_atomic_t link_is_cut;

/* One direction of a connection. */
struct flow {
	int from;
	int to;
};

static void on_cut(int number)
{
	link_is_cut = number == SIGUSR1;
}

static void wait_for_link(void)
{
	while (link_is_cut)
		pause_ms(5);
}

static void *carry(void *arg)
{
	struct flow *flow = arg;
	char bytes[16 * 1024];
	ssize_t size;

	while ((size = recv(flow->from, bytes, sizeof(bytes), 0)) > 0) {
		wait_for_link();
		if (!write_all(flow->to, bytes, (size_t)size))
			break;
	}
	wait_for_link();
	shutdown(flow->to, SHUT_WR);
	free(flow);
	return NULL;
}

static pthread_t start_carrying(int from, int to)
{
	struct flow *flow = malloc(sizeof(*flow));
	pthread_t thread;

	flow->from = from;
	flow->to = to;
	pthread_create(&thread, NULL, carry, flow);
	return thread;
}

static void *serve_link(void *arg)
{
	int host = (int)(intptr_t)arg;
	int worker_end;
	pthread_t there;
	pthread_t back;

	wait_for_link();
	worker_end = connect_to(link_target);
	if (worker_end < 0) {
		close(host);
		return NULL;
	}
	there = start_carrying(host, worker_end);
	back = start_carrying(worker_end, host);
	pthread_join(there, NULL);
	pthread_join(back, NULL);
	close(worker_end);
	close(host);
	return NULL;
}

static void run_link(char **argv)
{
	link_target = argv[3];
	signal(SIGUSR1, on_cut);
	signal(SIGUSR2, on_cut);
	accept_all(argv[2], serve_link);
}

/* ---- a client ---- */

static int send_request(char **argv)
{
	struct message response = {0};
	int fd = connect_to(argv[2]);
	FILE *in = fd < 0 ? NULL : fdopen(fd, "r");
	FILE *out = fopen(argv[8], "w");
	const char *stamp;
	int status = 0;

	if (!in || !out)
		return 2;
	say(fd,
	    "POST %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\n"
	    "Tamarackgw-Request-Id: %s\r\nTamarackgw-Deadline-Ms: %s\r\n"
	    "%s%s%sContent-Length: 4\r\n\r\nbody",
	    argv[4], argv[3], argv[5], argv[6], argv[7],
	    argv[9] ? "Tamarackgw-Model: m\r\nTamarackgw-Prompt-Prefix: "
		      "5c1e07a2:60\r\nTamarackgw-Token-Count: "
		    : "",
	    argv[9] ? argv[9] : "", argv[9] ? "\r\n" : "");
	if (!read_message(in, &response)) {
		printf("no answer\n");
		return 0;
	}
	sscanf(response.head, "%*s %d", &status);
	stamp = field(&response, "Tamarackgw-Response-Stamp");
	printf("status %d, stamp %s, %zu bytes, %s\n", status,
	       stamp ? stamp : "none", response.body_size,
	       response.whole ? "whole" : "cut");
	fwrite(response.body, 1, response.body_size, out);
	fclose(out);
	return 0;
}

static int send_and_leave(char **argv)
{
	struct timeval stay;
	char byte;
	int fd = connect_to(argv[2]);
	int ms = atoi(argv[8]);

	if (fd < 0)
		return 2;
	stay.tv_sec = ms / 1000;
	stay.tv_usec = ms % 1000 * 1000;
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &stay, sizeof(stay));
	say(fd,
	    "GET %s HTTP/1.1\r\nHost: %s\r\nAuthorization: Token %s\r\n"
	    "Tamarackgw-Request-Id: %s\r\nTamarackgw-Deadline-Ms: %s\r\n\r\n",
	    argv[4], argv[3], argv[5], argv[6], argv[7]);
	puts(recv(fd, &byte, 1, 0) > 0 ? "an answer" : "left");
	close(fd);
	return 0;
}

static int ask_ready(const char *port)
{
	struct message response = {0};
	int fd = connect_to(port);

	if (fd < 0 || !say(fd, "GET /ready HTTP/1.1\r\nHost: h\r\n\r\n") ||
	    !read_message(fdopen(fd, "r"), &response))
		return 1;
	return strncmp(response.head, "HTTP/1.1 200", 12) ? 1 : 0;
}

/* All are bound at the same time, so that they differ. */
static int print_ports(int count)
{
	for (int i = 0; i < count; i++) {
		struct sockaddr_in address = loopback("0");
		socklen_t size = sizeof(address);
		int fd = socket(AF_INET, SOCK_STREAM, 0);

		if (bind(fd, (struct sockaddr *)&address, size) ||
		    getsockname(fd, (struct sockaddr *)&address, &size))
			return 2;
		printf("%d ", ntohs(address.sin_port));
	}
	printf("\n");
	return 0;
}

int main(int argc, char **argv)
{
	pthread_t thread;

	signal(SIGPIPE, SIG_IGN);
	setvbuf(stdout, NULL, _IOLBF, 0);
	if (argc == 3 && !strcmp(argv[1], "store")) {
		pthread_create(&thread, NULL, expire_all, NULL);
		accept_all(argv[2], serve_store);
	} else if ((argc == 8 || argc == 9) && !strcmp(argv[1], "worker")) {
		run_worker(argv);
	} else if (argc == 4 && !strcmp(argv[1], "link")) {
		run_link(argv);
	} else if (argc == 4 && !strcmp(argv[1], "put")) {
		return put_item(argv[2], argv[3]);
	} else if ((argc == 9 || argc == 10) && !strcmp(argv[1], "send")) {
		return send_request(argv);
	} else if (argc == 9 && !strcmp(argv[1], "leave")) {
		return send_and_leave(argv);
	} else if (argc == 3 && !strcmp(argv[1], "ready")) {
		return ask_ready(argv[2]);
	} else if (argc == 3 && !strcmp(argv[1], "ports")) {
		return print_ports(atoi(argv[2]));
	}
	fprintf(stderr, "see the head of site.c\n");
	return 2;
}
