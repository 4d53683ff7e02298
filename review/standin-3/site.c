/*
 * Stand-in of the users' site for the scripts of this review: the store, a
 * worker and a client, each as a process of its own on loopback. Blocking
 * sockets, one thread a connection.
 *
 *   site store PORT_FILE
 *   site put STORE_PORT KEY          writes standard input to the key
 *   site remove STORE_PORT KEY
 *   site ports COUNT                 prints free ports
 *   site worker PORT_FILE ID LOG MODE [FLAG_FILE]
 *     MODE: ok, tokens (answers with as many tokens as the request allows at
 *     most), crash (once FLAG_FILE is there, /read/board crashes it)
 *   site call PORT PATH REQUEST_ID KEY DEADLINE_MS [INPUT OUTPUT]
 *   site ready PORT                  exits with 0 if GET /ready gives 200
 */
#include <arpa/inet.h>
#include <errno.h>
#include <fcntl.h>
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
#include <time.h>
#include <unistd.h>

#define HEAD_MAX 32768
#define BODY_MAX (2 * 1024 * 1024)
#define STORE_PAGE_ITEMS 500
#define STORE_ANSWER_US 4000
#define TOKENS_PER_EVENT 9
#define KV_CAPACITY 444000
#define RUN_US 15000

static long long wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (long long)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

static void die(const char *what)
{
	perror(what);
	exit(2);
}

/* Text that grows. */
struct text {
	char *data;
	size_t size;
	size_t capacity;
};

static void text_add(struct text *text, const char *data, size_t size)
{
	if (text->size + size + 1 > text->capacity) {
		text->capacity = (text->size + size + 1) * 2;
		text->data = realloc(text->data, text->capacity);
		if (!text->data)
			die("realloc");
	}
	memcpy(text->data + text->size, data, size);
	text->size += size;
	text->data[text->size] = '\0';
}

__attribute__((format(printf, 2, 3))) static void text_format(
	struct text *text, const char *format, ...)
{
	char buffer[8192];
	va_list args;
	int size;

	va_start(args, format);
	size = vsnprintf(buffer, sizeof(buffer), format, args);
	va_end(args);
	if (size < 0 || size >= (int)sizeof(buffer)) {
		fprintf(stderr, "a line is too long\n");
		exit(2);
	}
	text_add(text, buffer, (size_t)size);
}

/* Sockets. */

static struct sockaddr_in loopback(int port)
{
	struct sockaddr_in address = {
		.sin_family = AF_INET,
		.sin_port = htons((uint16_t)port),
		.sin_addr.s_addr = htonl(INADDR_LOOPBACK),
	};

	return address;
}

static int listen_on(int *port)
{
	struct sockaddr_in address = loopback(0);
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	if (fd < 0 || bind(fd, (struct sockaddr *)&address, size) < 0 ||
	    listen(fd, 256) < 0 ||
	    getsockname(fd, (struct sockaddr *)&address, &size) < 0)
		die("listen");
	*port = ntohs(address.sin_port);
	return fd;
}

static int connect_to(int port)
{
	struct sockaddr_in address = loopback(port);
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
	int on = 1;

	if (fd < 0)
		die("socket");
	if (connect(fd, (struct sockaddr *)&address, sizeof(address)) < 0) {
		close(fd);
		return -1;
	}
	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
	return fd;
}

static bool send_all(int fd, const char *data, size_t size)
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

static bool send_text(int fd, struct text *text)
{
	bool sent = send_all(fd, text->data, text->size);

	free(text->data);
	memset(text, 0, sizeof(*text));
	return sent;
}

/* A message of HTTP with a length. */
struct message {
	char head[HEAD_MAX];
	char method[16];
	char target[4096];
	char *body;
	size_t body_size;
};

/* Copies the value of a field, or an empty text. */
static void find_field(const char *head, const char *name, char *value,
		       size_t size)
{
	size_t length = strlen(name);
	const char *line = strstr(head, "\r\n");

	*value = '\0';
	for (; line && line[2] && line[2] != '\r';
	     line = strstr(line, "\r\n")) {
		line += 2;
		if (strncasecmp(line, name, length) || line[length] != ':')
			continue;
		line += length + 1;
		line += strspn(line, " \t");
		snprintf(value, size, "%.*s", (int)strcspn(line, "\r\n"), line);
		return;
	}
}

static bool read_head(int fd, char *head)
{
	size_t size = 0;

	while (size < HEAD_MAX - 1) {
		if (recv(fd, head + size, 1, 0) != 1)
			return false;
		head[++size] = '\0';
		if (size >= 4 && !memcmp(head + size - 4, "\r\n\r\n", 4))
			return true;
	}
	return false;
}

static bool read_request(int fd, struct message *message)
{
	char length[32];
	size_t got = 0;

	free(message->body);
	message->body = NULL;
	if (!read_head(fd, message->head) ||
	    sscanf(message->head, "%15s %4095s", message->method,
		   message->target) != 2)
		return false;
	find_field(message->head, "Content-Length", length, sizeof(length));
	message->body_size = (size_t)atol(length);
	if (message->body_size > BODY_MAX)
		return false;
	message->body = calloc(1, message->body_size + 1);
	while (got < message->body_size) {
		ssize_t size = recv(fd, message->body + got,
				    message->body_size - got, 0);

		if (size <= 0)
			return false;
		got += (size_t)size;
	}
	return true;
}

/* Serves each connection in a thread of its own. */
static void serve(int listener, void *(*run)(void *arg))
{
	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);
		int on = 1;
		pthread_t thread;

		if (fd < 0)
			continue;
		setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
		if (pthread_create(&thread, NULL, run, (void *)(intptr_t)fd))
			close(fd);
		else
			pthread_detach(thread);
	}
}

static void write_port(const char *path, int port)
{
	char name[512];
	FILE *file;

	snprintf(name, sizeof(name), "%s.new", path);
	file = fopen(name, "w");
	if (!file)
		die(name);
	fprintf(file, "%d\n", port);
	fclose(file);
	if (rename(name, path))
		die(path);
}

/* The store. */

struct change {
	char key[256];
	char *value; /* base64; NULL: removed */
	long long revision;
};

static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static struct change *changes; /* all, in order */
static size_t change_count;
static long long store_revision = 100;

static const struct change *latest(const char *key)
{
	for (size_t i = change_count; i-- > 0;)
		if (!strcmp(changes[i].key, key))
			return &changes[i];
	return NULL;
}

static long long revision_of(const char *key)
{
	const struct change *change = latest(key);

	return change && change->value ? change->revision : 0;
}

static void record_change(const char *key, const char *value, size_t size)
{
	struct change *change;

	changes = realloc(changes, (change_count + 1) * sizeof(*changes));
	change = &changes[change_count++];
	memset(change, 0, sizeof(*change));
	snprintf(change->key, sizeof(change->key), "%s", key);
	change->value = value ? strndup(value, size) : NULL;
	change->revision = ++store_revision;
	pthread_cond_broadcast(&store_changed);
}

static char *to_base64(const char *data, size_t size)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmn"
				     "opqrstuvwxyz0123456789+/";
	char *text = malloc(size * 4 / 3 + 8);
	size_t at = 0;

	for (size_t i = 0; i < size; i += 3) {
		unsigned long bits = (unsigned long)(unsigned char)data[i]
				     << 16;
		size_t left = size - i;

		if (left > 1)
			bits |= (unsigned long)(unsigned char)data[i + 1] << 8;
		if (left > 2)
			bits |= (unsigned char)data[i + 2];
		text[at++] = digits[bits >> 18];
		text[at++] = digits[bits >> 12 & 63];
		text[at++] = left > 1 ? digits[bits >> 6 & 63] : '=';
		text[at++] = left > 2 ? digits[bits & 63] : '=';
	}
	text[at] = '\0';
	return text;
}

static void add_item(struct text *body, const struct change *change)
{
	text_format(body, "{\"key\":\"%s\",\"revision\":%lld", change->key,
		    change->revision);
	if (change->value) {
		text_format(body, ",\"created\":%lld,\"lease\":0,\"value\":\"",
			    change->revision);
		text_add(body, change->value, strlen(change->value));
		text_format(body, "\"}");
	} else {
		text_format(body, ",\"tombstone\":true}");
	}
}

/* Copies a parameter of a query, decoded. */
static void find_parameter(const char *target, const char *name, char *value,
			   size_t size)
{
	size_t length = strlen(name);
	const char *at = strchr(target, '?');
	size_t out = 0;

	*value = '\0';
	for (; at; at = strchr(at, '&')) {
		at++;
		if (!strncmp(at, name, length) && at[length] == '=')
			break;
	}
	if (!at)
		return;
	for (at += length + 1; *at && *at != '&' && out + 1 < size; at++) {
		unsigned int byte = (unsigned char)*at;

		if (byte == '%' && sscanf(at + 1, "%2x", &byte) == 1)
			at += 2;
		value[out++] = (char)byte;
	}
	value[out] = '\0';
}

static int compare_changes(const void *a, const void *b)
{
	const struct change *const *left = a;
	const struct change *const *right = b;

	return strcmp((*left)->key, (*right)->key);
}

static int store_range(const char *target, struct text *body)
{
	const struct change **items = calloc(change_count + 1, sizeof(*items));
	char prefix[256], after[256];
	size_t count = 0, listed;

	find_parameter(target, "pathPrefix", prefix, sizeof(prefix));
	find_parameter(target, "after", after, sizeof(after));
	for (size_t i = 0; i < change_count; i++)
		if (changes[i].value && latest(changes[i].key) == &changes[i] &&
		    !strncmp(changes[i].key, prefix, strlen(prefix)) &&
		    strcmp(changes[i].key, after) > 0)
			items[count++] = &changes[i];
	qsort(items, count, sizeof(*items), compare_changes);
	listed = count < STORE_PAGE_ITEMS ? count : STORE_PAGE_ITEMS;
	text_format(body, "{\"items\":[");
	for (size_t i = 0; i < listed; i++) {
		if (i)
			text_format(body, ",");
		add_item(body, items[i]);
	}
	text_format(body, "],\"hasMore\":%s,\"storeRevision\":%lld}",
		    listed < count ? "true" : "false", store_revision);
	free(items);
	return 200;
}

static int store_watch(const char *target, struct text *body)
{
	char prefix[256], number[32];
	struct timespec end;
	long long after, wait_ms;
	bool found = false;

	find_parameter(target, "pathPrefix", prefix, sizeof(prefix));
	find_parameter(target, "after", number, sizeof(number));
	after = atoll(number);
	find_parameter(target, "waitMs", number, sizeof(number));
	wait_ms = atoll(number);
	clock_gettime(CLOCK_REALTIME, &end);
	end.tv_sec += wait_ms / 1000;
	end.tv_nsec += wait_ms % 1000 * 1000000;
	if (end.tv_nsec >= 1000000000) {
		end.tv_sec++;
		end.tv_nsec -= 1000000000;
	}
	do {
		for (size_t i = change_count;
		     i-- > 0 && changes[i].revision > after;)
			found |= !strncmp(changes[i].key, prefix,
					  strlen(prefix));
	} while (!found &&
		 !pthread_cond_timedwait(&store_changed, &store_lock, &end));
	text_format(body, "{\"events\":[");
	found = false;
	for (size_t i = 0; i < change_count; i++) {
		if (changes[i].revision <= after ||
		    strncmp(changes[i].key, prefix, strlen(prefix)))
			continue;
		if (found)
			text_format(body, ",");
		found = true;
		add_item(body, &changes[i]);
	}
	text_format(body, "],\"storeRevision\":%lld}", store_revision);
	return 200;
}

/* Copies the text after a marker, up to the next quote. */
static const char *quoted(const char *from, const char *marker, size_t *size)
{
	const char *at = from ? strstr(from, marker) : NULL;

	if (!at)
		return NULL;
	at += strlen(marker);
	*size = strcspn(at, "\"");
	return at;
}

/* A transaction of one key, as the hosts send it. */
static int store_txn(const struct message *request, struct text *body)
{
	const char *writes = strstr(request->body, "\"writes\":[");
	const char *number = strstr(request->body, "\"revision\":");
	const char *at;
	char key[256];
	size_t size;

	at = quoted(request->body, "\"key\":\"", &size);
	if (!at || !number || !writes || size >= sizeof(key))
		return 400;
	snprintf(key, sizeof(key), "%.*s", (int)size, at);
	if (revision_of(key) != atoll(number + strlen("\"revision\":"))) {
		const struct change *change = latest(key);

		text_format(body, "{\"items\":[");
		if (change && change->value)
			add_item(body, change);
		else
			text_format(body, "{\"key\":\"%s\",\"revision\":0}",
				    key);
		text_format(body, "]}");
		return 412;
	}
	at = quoted(writes, "\"value\":\"", &size);
	if (at)
		record_change(key, at, size);
	else if (revision_of(key))
		record_change(key, NULL, 0);
	text_format(body, "{\"revision\":%lld}", store_revision);
	return 200;
}

static int store_answer(const struct message *request, struct text *body)
{
	const char *target = request->target;
	const struct change *change;
	char key[256];
	char *value;

	find_parameter(target, "key", key, sizeof(key));
	if (!strncmp(target, "/kv-range?", 10))
		return store_range(target, body);
	if (!strncmp(target, "/kv-watch?", 10))
		return store_watch(target, body);
	if (!strcmp(target, "/kv-txn"))
		return store_txn(request, body);
	if (!strncmp(target, "/kv-key?", 8)) {
		change = latest(key);
		if (change && change->value) {
			add_item(body, change);
			body->size--; /* the last brace */
			text_format(body, ",\"storeRevision\":%lld}",
				    store_revision);
			return 200;
		}
		text_format(body, "{\"storeRevision\":%lld}", store_revision);
		return 404;
	}
	if (!strncmp(target, "/operator-put?", 14)) {
		value = to_base64(request->body, request->body_size);
		record_change(key, value, strlen(value));
		free(value);
		text_format(body, "{}");
		return 200;
	}
	if (!strncmp(target, "/operator-remove?", 17)) {
		if (revision_of(key))
			record_change(key, NULL, 0);
		text_format(body, "{}");
		return 200;
	}
	text_format(body, "{}");
	return 404;
}

static void *run_store(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct message *request = calloc(1, sizeof(*request));

	while (read_request(fd, request)) {
		struct text body = {0};
		struct text answer = {0};
		int status;

		usleep(STORE_ANSWER_US);
		pthread_mutex_lock(&store_lock);
		status = store_answer(request, &body);
		pthread_mutex_unlock(&store_lock);
		text_format(&answer,
			    "HTTP/1.1 %d Answer\r\n"
			    "Content-Type: application/json\r\n"
			    "Content-Length: %zu\r\n\r\n",
			    status, body.size);
		if (body.size)
			text_add(&answer, body.data, body.size);
		free(body.data);
		if (!send_text(fd, &answer))
			break;
	}
	free(request->body);
	free(request);
	close(fd);
	return NULL;
}

static int operate(const char *verb, int port, const char *key)
{
	static char value[BODY_MAX];
	struct text request = {0};
	char head[HEAD_MAX];
	size_t size = 0;
	int status = 0;
	int fd = connect_to(port);

	if (fd < 0)
		die("connect to the store");
	if (!strcmp(verb, "put"))
		size = fread(value, 1, sizeof(value), stdin);
	text_format(&request,
		    "POST /operator-%s?key=%s HTTP/1.1\r\nHost: store\r\n"
		    "Content-Length: %zu\r\n\r\n",
		    verb, key, size);
	text_add(&request, value, size);
	if (!send_text(fd, &request) || !read_head(fd, head) ||
	    sscanf(head, "HTTP/1.1 %d", &status) != 1 || status != 200)
		return 2;
	printf("%lld\n", wall_ms()); /* when it was acknowledged */
	return 0;
}

/* A worker. */

static const char *worker_id;
static const char *worker_mode;
static const char *worker_flag;
static int worker_log;

__attribute__((format(printf, 1, 2))) static void note(const char *format, ...)
{
	char line[1024];
	int size = snprintf(line, sizeof(line), "%lld worker=%s ", wall_ms(),
			    worker_id);
	va_list args;

	va_start(args, format);
	size += vsnprintf(line + size, sizeof(line) - (size_t)size - 1, format,
			  args);
	va_end(args);
	if (size > (int)sizeof(line) - 2)
		size = (int)sizeof(line) - 2;
	line[size++] = '\n';
	if (write(worker_log, line, (size_t)size) != size)
		_exit(2);
}

static void begin_answer(struct text *answer, const char *id, int status)
{
	text_format(answer,
		    "HTTP/1.1 %d Answer\r\nTamarackgw-Request-Id: %s\r\n"
		    "Tamarackgw-Response-Stamp: 3e1b.%s\r\n"
		    "Tamarackgw-Server-Load: 1,0,64\r\n",
		    status, id, worker_id);
}

static bool answer_whole(int fd, const char *id, const char *type,
			 const char *body)
{
	struct text answer = {0};

	begin_answer(&answer, id, 200);
	text_format(&answer, "Content-Type: %s\r\nContent-Length: %zu\r\n\r\n",
		    type, strlen(body));
	text_add(&answer, body, strlen(body));
	return send_text(fd, &answer);
}

static bool refuse(int fd, const char *id, int status)
{
	struct text answer = {0};

	text_format(&answer,
		    "HTTP/1.1 %d Answer\r\nTamarackgw-Request-Id: %s\r\n"
		    "Tamarackgw-Instance-Id: %s\r\n"
		    "Tamarackgw-Not-Executed: 1\r\n"
		    "Content-Length: 0\r\n\r\n",
		    status, id, worker_id);
	return send_text(fd, &answer);
}

/* A generation of as many tokens as the request allows at most. */
static bool answer_tokens(int fd, const char *id, const char *target,
			  int output)
{
	int events = (output + TOKENS_PER_EVENT - 1) / TOKENS_PER_EVENT;
	struct text answer = {0};
	char body[64];

	usleep(RUN_US);
	if (strncmp(target, "/stream/", 8)) {
		snprintf(body, sizeof(body), "{\"tokens\":%d}", output);
		return answer_whole(fd, id, "application/json", body);
	}
	begin_answer(&answer, id, 200);
	text_format(&answer, "Content-Type: text/event-stream\r\n"
			     "Transfer-Encoding: chunked\r\n\r\n");
	for (int i = 1; i <= events; i++) {
		char event[64];
		int size = snprintf(event, sizeof(event),
				    "id: %d\ndata: tokens\n\n", i);

		text_format(&answer, "%x\r\n%s\r\n", (unsigned int)size, event);
	}
	text_format(&answer, "0\r\n\r\n");
	return send_text(fd, &answer);
}

static bool answer_request(int fd, const struct message *request)
{
	char id[128], expected[128], tenant[256], tokens[64];
	long long input = 0, output = 0;

	find_field(request->head, "Tamarackgw-Request-Id", id, sizeof(id));
	find_field(request->head, "Tamarackgw-Expect-Instance", expected,
		   sizeof(expected));
	find_field(request->head, "Tamarackgw-Tenant", tenant, sizeof(tenant));
	find_field(request->head, "Tamarackgw-Token-Count", tokens,
		   sizeof(tokens));
	if (sscanf(tokens, "%lld,%lld", &input, &output) != 2)
		input = output = 0;
	if (*expected && strcmp(expected, worker_id))
		return refuse(fd, id, 421);
	/* Larger than the memory: rejected as if the worker were full. */
	if (input > KV_CAPACITY || output > KV_CAPACITY - input)
		return refuse(fd, id, 503);
	note("request=%s runs target=%s tokens=%s tenant=\"%s\"", id,
	     request->target, *tokens ? tokens : "-", tenant);
	if (!strcmp(worker_mode, "crash") &&
	    !strcmp(request->target, "/read/board") && worker_flag &&
	    !access(worker_flag, F_OK)) {
		note("request=%s crashes", id);
		_exit(1);
	}
	if (!strcmp(worker_mode, "tokens"))
		return answer_tokens(fd, id, request->target, (int)output);
	usleep(RUN_US);
	return answer_whole(fd, id, "text/plain", "done\n");
}

static void *run_worker(void *arg)
{
	int fd = (int)(intptr_t)arg;
	struct message *request = calloc(1, sizeof(*request));

	while (read_request(fd, request) && answer_request(fd, request))
		;
	free(request->body);
	free(request);
	close(fd);
	return NULL;
}

/* A client. */

struct received {
	struct text bytes;
	bool reset;
};

static void receive(int fd, struct received *received)
{
	char buffer[65536];
	ssize_t size;

	while ((size = recv(fd, buffer, sizeof(buffer), 0)) > 0)
		text_add(&received->bytes, buffer, (size_t)size);
	received->reset = size < 0;
}

/* Copies what the chunks contain. @return whether the last one came */
static bool read_chunks(const char *data, size_t size, struct text *content)
{
	size_t at = 0;

	while (at < size) {
		char *end;
		unsigned long length = strtoul(data + at, &end, 16);
		const char *line_end = strstr(end, "\r\n");

		if (!line_end)
			return false;
		at = (size_t)(line_end - data) + 2;
		if (!length)
			return at + 2 <= size;
		if (at + length + 2 > size) {
			text_add(content, data + at, size - at);
			return false;
		}
		text_add(content, data + at, length);
		at += length + 2;
	}
	return false;
}

static int count(const char *text, const char *word)
{
	int found = 0;

	while (text && (text = strstr(text, word))) {
		found++;
		text += strlen(word);
	}
	return found;
}

/* Prints status, whether the answer is complete, and what it has. */
static int call(int port, char **argv, int argc)
{
	const char *path = argv[0], *id = argv[1], *key = argv[2];
	long deadline_ms = atol(argv[3]);
	const char *body = "please";
	bool is_read = !strncmp(path, "/read/", 6);
	struct received received = {0};
	struct text request = {0};
	struct text content = {0};
	char field[64], stamp[128];
	struct timeval limit = {.tv_sec = deadline_ms / 1000 + 3};
	bool complete = false;
	const char *rest;
	int status = 0;
	int fd = connect_to(port);

	if (fd < 0) {
		printf("%lld request=%s status=0 complete=0 refused\n",
		       wall_ms(), id);
		return 0;
	}
	setsockopt(fd, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof(limit));
	text_format(&request,
		    "%s %s HTTP/1.1\r\nHost: a.example\r\n"
		    "Tamarackgw-Request-Id: %s\r\n"
		    "Tamarackgw-Deadline-Ms: %ld\r\n"
		    "Authorization: Token %s\r\nConnection: close\r\n",
		    is_read ? "GET" : "POST", path, id, deadline_ms, key);
	if (argc > 5)
		text_format(&request,
			    "Tamarackgw-Model: m\r\n"
			    "Tamarackgw-Token-Count: %s,%s\r\n"
			    "Tamarackgw-Prompt-Prefix: 5c1e07a2:%s\r\n",
			    argv[4], argv[5], argv[4]);
	if (is_read)
		text_format(&request, "\r\n");
	else
		text_format(&request, "Content-Length: %zu\r\n\r\n%s",
			    strlen(body), body);
	send_text(fd, &request);
	receive(fd, &received);
	rest = received.bytes.data ? strstr(received.bytes.data, "\r\n\r\n")
				   : NULL;
	if (rest) {
		size_t left;

		rest += 4;
		left = received.bytes.size -
		       (size_t)(rest - received.bytes.data);
		sscanf(received.bytes.data, "HTTP/1.1 %d", &status);
		find_field(received.bytes.data, "Transfer-Encoding", field,
			   sizeof(field));
		if (!strcasecmp(field, "chunked")) {
			complete = read_chunks(rest, left, &content);
		} else {
			find_field(received.bytes.data, "Content-Length", field,
				   sizeof(field));
			text_add(&content, rest, left);
			complete = *field && left == (size_t)atol(field);
		}
		find_field(received.bytes.data, "Tamarackgw-Response-Stamp",
			   stamp, sizeof(stamp));
	} else {
		*stamp = '\0';
	}
	printf("%lld request=%s status=%d complete=%d reset=%d events=%d "
	       "bytes=%zu stamp=%s\n",
	       wall_ms(), id, status, complete, received.reset,
	       count(content.data, "data: "), content.size,
	       *stamp ? stamp : "-");
	return 0;
}

static int is_ready(int port)
{
	struct text request = {0};
	char head[HEAD_MAX];
	int fd = connect_to(port);

	if (fd < 0)
		return 1;
	text_format(&request, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
	if (!send_text(fd, &request) || !read_head(fd, head))
		return 1;
	return strncmp(head, "HTTP/1.1 200", 12) != 0;
}

static int print_ports(int wanted)
{
	for (int i = 0; i < wanted; i++) {
		int port;

		listen_on(&port); /* kept until the end, so none comes twice */
		printf("%d\n", port);
	}
	return 0;
}

int main(int argc, char **argv)
{
	const char *verb = argc > 1 ? argv[1] : "";
	int port;
	int listener;

	signal(SIGPIPE, SIG_IGN);
	if (!strcmp(verb, "store") && argc == 3) {
		listener = listen_on(&port);
		write_port(argv[2], port);
		serve(listener, run_store);
	}
	if ((!strcmp(verb, "put") || !strcmp(verb, "remove")) && argc == 4)
		return operate(verb, atoi(argv[2]), argv[3]);
	if (!strcmp(verb, "ports") && argc == 3)
		return print_ports(atoi(argv[2]));
	if (!strcmp(verb, "worker") && argc >= 6) {
		worker_id = argv[3];
		worker_mode = argv[5];
		worker_flag = argc > 6 ? argv[6] : NULL;
		worker_log = open(argv[4],
				  O_WRONLY | O_APPEND | O_CREAT | O_CLOEXEC,
				  0644);
		if (worker_log < 0)
			die(argv[4]);
		listener = listen_on(&port);
		write_port(argv[2], port);
		serve(listener, run_worker);
	}
	if (!strcmp(verb, "call") && argc >= 7)
		return call(atoi(argv[2]), argv + 3, argc - 3);
	if (!strcmp(verb, "ready") && argc == 3)
		return is_ready(atoi(argv[2]));
	fprintf(stderr, "see the beginning of site.c\n");
	return 2;
}
