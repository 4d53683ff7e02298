#define _GNU_SOURCE
#include "site.h"

#include <arpa/inet.h>
#include <errno.h>
#include <jansson.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <pthread.h>
#include <signal.h>
#include <stdarg.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>
#include <sys/resource.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

static FILE *record_file;
static struct timespec started;
static pthread_mutex_t record_lock = PTHREAD_MUTEX_INITIALIZER;
static struct host *hosts[MAX_HOSTS];
static int host_count;

double site_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return (double)(now.tv_sec - started.tv_sec) * 1e3 +
	       (double)(now.tv_nsec - started.tv_nsec) / 1e6;
}

static int64_t wall_ms(void)
{
	struct timespec now;

	clock_gettime(CLOCK_REALTIME, &now);
	return (int64_t)now.tv_sec * 1000 + now.tv_nsec / 1000000;
}

void site_sleep(double ms)
{
	struct timespec span = {
		(time_t)(ms / 1000),
		(long)((ms - (double)(long)(ms / 1000) * 1000) * 1e6)};

	if (ms > 0)
		nanosleep(&span, NULL);
}

void site_sleep_until(double ms)
{
	site_sleep(ms - site_ms());
}

void record(const char *format, ...)
{
	va_list arguments;

	pthread_mutex_lock(&record_lock);
	fprintf(record_file, "%10.1f ms  ", site_ms());
	va_start(arguments, format);
	vfprintf(record_file, format, arguments);
	va_end(arguments);
	fputc('\n', record_file);
	fflush(record_file);
	pthread_mutex_unlock(&record_lock);
}

static void end_hosts(void)
{
	for (int i = 0; i < host_count; i++) {
		hosts[i]->watched = false;
		if (hosts[i]->pid > 0) {
			kill(hosts[i]->pid, SIGKILL);
			waitpid(hosts[i]->pid, NULL, 0);
			hosts[i]->pid = 0;
		}
	}
}

void cannot_run(const char *format, ...)
{
	va_list arguments;

	va_start(arguments, format);
	fprintf(stderr, "the case can't run: ");
	vfprintf(stderr, format, arguments);
	fputc('\n', stderr);
	va_end(arguments);
	end_hosts();
	exit(2);
}

bool with_trouble(void)
{
	const char *text = getenv("TROUBLE");

	return !text || strcmp(text, "0") != 0;
}

static void on_signal(int number)
{
	end_hosts();
	_exit(2);
}

void site_start(const char *record_path)
{
	clock_gettime(CLOCK_MONOTONIC, &started);
	signal(SIGPIPE, SIG_IGN);
	signal(SIGTERM, on_signal);
	signal(SIGINT, on_signal);
	record_file = fopen(record_path, "w");
	if (!record_file) {
		fprintf(stderr, "can't write %s\n", record_path);
		exit(2);
	}
	record("start, %s the disruption", with_trouble() ? "with" : "without");
}

void site_end(void)
{
	end_hosts();
	record("end");
}

void run_thread(void *(*run)(void *arg), void *arg, void *thread)
{
	pthread_attr_t attributes;
	pthread_t unused;

	pthread_attr_init(&attributes);
	pthread_attr_setstacksize(&attributes, 256 * 1024);
	if (!thread)
		pthread_attr_setdetachstate(&attributes,
					    PTHREAD_CREATE_DETACHED);
	if (pthread_create(thread ? thread : &unused, &attributes, run, arg))
		cannot_run("no thread: %s", strerror(errno));
	pthread_attr_destroy(&attributes);
}

static int listen_at(int port, int *bound)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((uint16_t)port)};
	socklen_t size = sizeof(address);
	int on = 1;
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)) ||
	    listen(fd, 500))
		cannot_run("can't listen: %s", strerror(errno));
	getsockname(fd, (struct sockaddr *)&address, &size);
	*bound = ntohs(address.sin_port);
	return fd;
}

int free_port(int type)
{
	struct sockaddr_in address = {.sin_family = AF_INET};
	socklen_t size = sizeof(address);
	int fd = socket(AF_INET, type, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (bind(fd, (struct sockaddr *)&address, sizeof(address)))
		cannot_run("no free port: %s", strerror(errno));
	getsockname(fd, (struct sockaddr *)&address, &size);
	close(fd);
	return ntohs(address.sin_port);
}

bool send_all(int fd, const void *data, size_t size)
{
	const char *at = data;

	while (size) {
		ssize_t sent = send(fd, at, size, MSG_NOSIGNAL);

		if (sent <= 0)
			return false;
		at += sent;
		size -= (size_t)sent;
	}
	return true;
}

static void no_delay(int fd)
{
	int on = 1;

	setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
}

/* HTTP, as far as these peers speak it. */

struct input {
	int fd;
	char *data;
	size_t size;
	size_t capacity;
};

static ssize_t read_more(struct input *input)
{
	ssize_t got;

	if (input->capacity - input->size < 65536) {
		input->capacity = input->capacity * 2 + 131072;
		input->data = realloc(input->data, input->capacity);
	}
	got = recv(input->fd, input->data + input->size,
		   input->capacity - input->size - 1, 0);
	if (got > 0)
		input->size += (size_t)got;
	input->data[input->size] = '\0';
	return got;
}

static void consume(struct input *input, size_t size)
{
	memmove(input->data, input->data + size, input->size - size + 1);
	input->size -= size;
}

/* @return the size of the head with its blank line; 0: none came */
static size_t read_head(struct input *input)
{
	char *end;

	while (!input->size ||
	       !(end = memmem(input->data, input->size, "\r\n\r\n", 4)))
		if (read_more(input) <= 0)
			return 0;
	return (size_t)(end - input->data) + 4;
}

const char *head_field(const char *head, const char *name)
{
	static __thread char value[8192];
	size_t size = strlen(name);
	const char *line = strstr(head, "\r\n");

	while (line && line[2] && line[2] != '\r') {
		line += 2;
		if (!strncasecmp(line, name, size) && line[size] == ':') {
			const char *at = line + size + 1;
			size_t length;

			at += strspn(at, " \t");
			length = strcspn(at, "\r\n");
			if (length >= sizeof(value))
				length = sizeof(value) - 1;
			memcpy(value, at, length);
			value[length] = '\0';
			return value;
		}
		line = strstr(line, "\r\n");
	}
	return NULL;
}

/* The store. */

#define HISTORY_MAX 65536

struct item {
	char *key;
	char *value; /* base64; NULL: the key does not exist */
	int64_t revision;
	int64_t created;
};

struct event {
	char *key;
	char *value;
	int64_t revision;
	int64_t created;
};

struct store_faults store_faults;
static pthread_mutex_t store_lock = PTHREAD_MUTEX_INITIALIZER;
static pthread_cond_t store_changed = PTHREAD_COND_INITIALIZER;
static struct item *items;
static size_t item_count;
static struct event *history;
static size_t event_count;
static int64_t revision = 1;
static char store_text[32];
static int store_port;

static char *encode64(const char *text)
{
	static const char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmno"
				     "pqrstuvwxyz0123456789+/";
	size_t size = strlen(text);
	char *out = malloc(size * 4 / 3 + 8);
	char *at = out;

	for (size_t i = 0; i < size; i += 3) {
		uint32_t block = (uint32_t)(unsigned char)text[i] << 16;
		size_t left = size - i;

		if (left > 1)
			block |= (uint32_t)(unsigned char)text[i + 1] << 8;
		if (left > 2)
			block |= (unsigned char)text[i + 2];
		*at++ = digits[block >> 18];
		*at++ = digits[block >> 12 & 63];
		*at++ = left > 1 ? digits[block >> 6 & 63] : '=';
		*at++ = left > 2 ? digits[block & 63] : '=';
	}
	*at = '\0';
	return out;
}

static struct item *find_item(const char *key)
{
	for (size_t i = 0; i < item_count; i++)
		if (!strcmp(items[i].key, key))
			return &items[i];
	return NULL;
}

static int compare_items(const void *a, const void *b)
{
	return strcmp(((const struct item *)a)->key,
		      ((const struct item *)b)->key);
}

/* With the lock; all writes of one transaction have one revision. */
static void set_item(const char *key, const char *value)
{
	struct item *item = find_item(key);
	struct event *event;

	if (!item) {
		if (!value)
			return;
		items = realloc(items, (item_count + 1) * sizeof(*items));
		items[item_count] = (struct item){.key = strdup(key)};
		item_count++;
		qsort(items, item_count, sizeof(*items), compare_items);
		item = find_item(key);
	}
	if (!item->value)
		item->created = revision;
	free(item->value);
	item->value = value ? strdup(value) : NULL;
	item->revision = revision;
	if (event_count == HISTORY_MAX)
		cannot_run("the history is full");
	event = &history[event_count++];
	event->key = strdup(key);
	event->value = value ? strdup(value) : NULL;
	event->revision = revision;
	event->created = item->created;
}

static double write_item(const char *key, const char *value)
{
	char *encoded = value ? encode64(value) : NULL;
	double at;

	pthread_mutex_lock(&store_lock);
	revision++;
	set_item(key, encoded);
	pthread_cond_broadcast(&store_changed);
	at = site_ms();
	pthread_mutex_unlock(&store_lock);
	free(encoded);
	return at;
}

double store_put(const char *key, const char *value)
{
	return write_item(key, value);
}

double store_remove(const char *key)
{
	return write_item(key, NULL);
}

const char *store_address(void)
{
	return store_text;
}

static json_t *item_json(const struct item *item)
{
	return json_pack("{s:s,s:s,s:I,s:I,s:i}", "key", item->key, "value",
			 item->value, "revision", (json_int_t)item->revision,
			 "created", (json_int_t)item->created, "lease", 0);
}

static bool send_json(int fd, int status, json_t *body)
{
	char *text = json_dumps(body, JSON_COMPACT);
	char head[256];
	size_t size = strlen(text);
	bool sent;

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d X\r\nContent-Type: application/json\r\n"
		 "Content-Length: %zu\r\n\r\n",
		 status, size);
	site_sleep(4); /* "4 ms an answer" */
	sent = send_all(fd, head, strlen(head)) && send_all(fd, text, size);
	free(text);
	json_decref(body);
	return sent;
}

/* @return the query's value, decoded */
static bool query(const char *target, const char *name, char *value,
		  size_t capacity)
{
	const char *at = strchr(target, '?');
	size_t size = strlen(name);
	size_t length = 0;

	while (at) {
		at++;
		if (!strncmp(at, name, size) && at[size] == '=') {
			for (at += size + 1;
			     *at && *at != '&' && length < capacity - 1; at++) {
				unsigned int code;

				if (*at == '%' &&
				    sscanf(at + 1, "%2x", &code) == 1) {
					value[length++] = (char)code;
					at += 2;
				} else {
					value[length++] = *at;
				}
			}
			value[length] = '\0';
			return true;
		}
		at = strchr(at, '&');
	}
	*value = '\0';
	return false;
}

static bool store_get(int fd, const char *target)
{
	char key[512];
	const struct item *item;
	json_t *body;
	int status = 404;

	query(target, "key", key, sizeof(key));
	pthread_mutex_lock(&store_lock);
	item = find_item(key);
	if (item && item->value) {
		body = item_json(item);
		status = 200;
	} else {
		body = json_object();
	}
	json_object_set_new(body, "storeRevision", json_integer(revision));
	pthread_mutex_unlock(&store_lock);
	return send_json(fd, status, body);
}

static bool store_range(int fd, const char *target)
{
	char prefix[512];
	char after[512];
	json_t *list = json_array();
	bool more = false;
	json_t *body;

	query(target, "pathPrefix", prefix, sizeof(prefix));
	query(target, "after", after, sizeof(after));
	pthread_mutex_lock(&store_lock);
	for (size_t i = 0; i < item_count; i++) {
		const struct item *item = &items[i];

		if (!item->value || strncmp(item->key, prefix, strlen(prefix)))
			continue;
		if (*after && strcmp(item->key, after) <= 0)
			continue;
		if (json_array_size(list) == 500) {
			more = true;
			break;
		}
		json_array_append_new(list, item_json(item));
	}
	body = json_pack("{s:o,s:b,s:I}", "items", list, "hasMore", more,
			 "storeRevision", (json_int_t)revision);
	pthread_mutex_unlock(&store_lock);
	return send_json(fd, 200, body);
}

static json_t *events_after(const char *prefix, int64_t after)
{
	json_t *list = json_array();

	for (size_t i = 0; i < event_count; i++) {
		const struct event *event = &history[i];

		if (event->revision <= after ||
		    strncmp(event->key, prefix, strlen(prefix)))
			continue;
		if (event->value)
			json_array_append_new(
				list,
				json_pack("{s:s,s:s,s:I,s:I,s:i}", "key",
					  event->key, "value", event->value,
					  "revision",
					  (json_int_t)event->revision,
					  "created", (json_int_t)event->created,
					  "lease", 0));
		else
			json_array_append_new(
				list, json_pack("{s:s,s:I,s:b}", "key",
						event->key, "revision",
						(json_int_t)event->revision,
						"tombstone", true));
	}
	return list;
}

static bool store_watch(int fd, const char *target)
{
	char prefix[512];
	char text[64];
	int64_t after;
	double began = site_ms();
	double until;
	json_t *list;
	json_t *body;

	query(target, "pathPrefix", prefix, sizeof(prefix));
	query(target, "after", text, sizeof(text));
	after = strtoll(text, NULL, 10);
	query(target, "waitMs", text, sizeof(text));
	until = began + (double)strtoll(text, NULL, 10);
	pthread_mutex_lock(&store_lock);
	for (;;) {
		struct timespec due;
		int cut = store_faults.cut_watches_after_ms;

		list = events_after(prefix, after);
		if (json_array_size(list) || site_ms() >= until)
			break;
		json_decref(list);
		if (cut && site_ms() - began >= cut) {
			pthread_mutex_unlock(&store_lock);
			record("store cuts a waiting watch of %s", prefix);
			return false;
		}
		clock_gettime(CLOCK_REALTIME, &due);
		due.tv_nsec += 10000000;
		if (due.tv_nsec >= 1000000000) {
			due.tv_sec++;
			due.tv_nsec -= 1000000000;
		}
		pthread_cond_timedwait(&store_changed, &store_lock, &due);
	}
	body = json_pack("{s:o,s:I}", "events", list, "storeRevision",
			 (json_int_t)revision);
	pthread_mutex_unlock(&store_lock);
	return send_json(fd, 200, body);
}

static bool is_reserved(const char *key)
{
	return !strncmp(key, "op/", 3) || !strncmp(key, "servers/", 8);
}

static bool store_txn(int fd, const char *text, size_t size)
{
	json_t *call = json_loadb(text, size, 0, NULL);
	json_t *body = json_object();
	json_t *conflicts = json_array();
	json_t *row;
	size_t i;
	int status = 200;

	if (!call)
		return send_json(fd, 400, body);
	pthread_mutex_lock(&store_lock);
	json_array_foreach(
		json_object_get(call, "writes"), i,
		row) if (is_reserved(json_string_value(json_object_get(row,
								       "key"))))
		status = 403;
	json_array_foreach(json_object_get(call, "remove"), i,
			   row) if (is_reserved(json_string_value(row)))
		status = 403;
	json_array_foreach(json_object_get(call, "expectedRevision"), i, row)
	{
		const char *key =
			json_string_value(json_object_get(row, "key"));
		const struct item *item = find_item(key);
		int64_t known = item && item->value ? item->revision : 0;

		if (known != json_integer_value(
				     json_object_get(row, "revision")) &&
		    status == 200)
			status = 412;
		if (known)
			json_array_append_new(conflicts, item_json(item));
	}
	if (status == 200) {
		revision++;
		json_array_foreach(json_object_get(call, "writes"), i, row)
			set_item(json_string_value(json_object_get(row, "key")),
				 json_string_value(
					 json_object_get(row, "value")));
		json_array_foreach(json_object_get(call, "remove"), i, row)
			set_item(json_string_value(row), NULL);
		json_object_set_new(body, "revision", json_integer(revision));
		pthread_cond_broadcast(&store_changed);
	} else if (status == 412) {
		json_object_set(body, "items", conflicts);
	}
	pthread_mutex_unlock(&store_lock);
	json_decref(conflicts);
	json_decref(call);
	return send_json(fd, status, body);
}

static void *serve_store(void *arg)
{
	struct input input = {.fd = (int)(intptr_t)arg};
	bool keeps = true;

	no_delay(input.fd);
	while (keeps) {
		size_t head_size = read_head(&input);
		const char *length;
		size_t body_size;
		char method[16] = "";
		char target[2048] = "";
		char *head;

		if (!head_size)
			break;
		head = strndup(input.data, head_size);
		length = head_field(head, "Content-Length");
		body_size = length ? strtoul(length, NULL, 10) : 0;
		while (input.size < head_size + body_size)
			if (read_more(&input) <= 0)
				goto out;
		sscanf(head, "%15s %2047s", method, target);
		free(head);
		while (store_faults.silent)
			site_sleep(20);
		if (!strncmp(target, "/kv-key", 7))
			keeps = store_get(input.fd, target);
		else if (!strncmp(target, "/kv-range", 9))
			keeps = store_range(input.fd, target);
		else if (!strncmp(target, "/kv-watch", 9))
			keeps = store_watch(input.fd, target);
		else if (!strcmp(target, "/kv-txn"))
			keeps = store_txn(input.fd, input.data + head_size,
					  body_size);
		else
			keeps = send_json(input.fd, 404, json_object());
		consume(&input, head_size + body_size);
	}
out:
	close(input.fd);
	free(input.data);
	return NULL;
}

static void *accept_store(void *arg)
{
	int listener = (int)(intptr_t)arg;

	for (;;) {
		int fd = accept4(listener, NULL, NULL, SOCK_CLOEXEC);

		if (fd >= 0)
			run_thread(serve_store, (void *)(intptr_t)fd, NULL);
	}
	return NULL;
}

void store_start(void)
{
	int listener;

	history = calloc(HISTORY_MAX, sizeof(*history));
	listener = listen_at(0, &store_port);
	snprintf(store_text, sizeof(store_text), "127.0.0.1:%d", store_port);
	run_thread(accept_store, (void *)(intptr_t)listener, NULL);
}

/* Workers. */

static double write_entry(struct worker *worker)
{
	char key[64];
	char value[512];

	snprintf(key, sizeof(key), "servers/%s", worker->id);
	snprintf(value, sizeof(value),
		 "{\"service\":\"%s\",\"address\":\"127.0.0.1:%d\","
		 "\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%d,"
		 "\"state\":\"%s\",\"coldRemainingMs\":0,\"sequence\":%lld,"
		 "\"born\":%lld}",
		 worker->service, worker->port, worker->zone, worker->slots,
		 worker->draining ? "draining" : "ready",
		 (long long)++worker->sequence, (long long)worker->born_ms);
	return store_put(key, value);
}

#define MISSED_HEARTBEATS 3

/* The store removes the entry of one that has ended after three heartbeat
 * intervals of silence. */
static void *beat(void *arg)
{
	struct worker *worker = arg;
	double beat_ms = site_ms();
	char key[64];

	while (!worker->ended) {
		if (site_ms() - beat_ms >= deployment.heartbeat_ms) {
			beat_ms += deployment.heartbeat_ms;
			if (worker->beats)
				write_entry(worker);
		}
		site_sleep(10);
	}
	if (worker->left_ms && !worker->draining)
		return NULL;
	site_sleep_until(beat_ms + MISSED_HEARTBEATS * deployment.heartbeat_ms);
	snprintf(key, sizeof(key), "servers/%s", worker->id);
	store_remove(key);
	return NULL;
}

bool answer(struct exchange *exchange, int status, const char *type,
	    const char *body)
{
	char head[1024];
	size_t size = strlen(body);

	snprintf(head, sizeof(head),
		 "HTTP/1.1 %d X\r\nTamarackgw-Request-Id: %s\r\n"
		 "Tamarackgw-Response-Stamp: %s.%s\r\nContent-Type: %s\r\n"
		 "Tamarackgw-Server-Load: %d,0,%d\r\n"
		 "Content-Length: %zu\r\nKeep-Alive: timeout=10\r\n\r\n",
		 status, exchange->id, exchange->worker->id, exchange->id, type,
		 exchange->worker->running, exchange->worker->slots, size);
	return send_all(exchange->fd, head, strlen(head)) &&
	       send_all(exchange->fd, body, size);
}

struct worker_conn {
	struct worker *worker;
	int fd;
};

static bool misdirected(struct exchange *exchange)
{
	char head[512];

	snprintf(head, sizeof(head),
		 "HTTP/1.1 421 Misdirected Request\r\n"
		 "Tamarackgw-Request-Id: %s\r\nTamarackgw-Not-Executed: 1\r\n"
		 "Tamarackgw-Instance-Id: %s\r\nContent-Length: 0\r\n\r\n",
		 exchange->id, exchange->worker->id);
	return send_all(exchange->fd, head, strlen(head));
}

static void *serve_worker(void *arg)
{
	struct worker_conn *conn = arg;
	struct input input = {.fd = conn->fd};
	struct worker *worker = conn->worker;
	struct exchange *exchange = calloc(1, sizeof(*exchange));
	bool keeps = true;

	no_delay(input.fd);
	while (keeps) {
		size_t head_size = read_head(&input);
		const char *field;

		if (!head_size || head_size >= sizeof(exchange->head) ||
		    worker->ended)
			break;
		memcpy(exchange->head, input.data, head_size);
		exchange->head[head_size] = '\0';
		exchange->worker = worker;
		exchange->fd = input.fd;
		exchange->arrived_ms = site_ms();
		sscanf(exchange->head, "%15s %511s", exchange->method,
		       exchange->target);
		field = head_field(exchange->head, "Content-Length");
		exchange->body_size = field ? strtoul(field, NULL, 10) : 0;
		while (input.size < head_size + exchange->body_size)
			if (read_more(&input) <= 0)
				goto out;
		exchange->body = input.data + head_size;
		field = head_field(exchange->head, "Tamarackgw-Request-Id");
		snprintf(exchange->id, sizeof(exchange->id), "%s",
			 field ? field : "");
		field = head_field(exchange->head, "Tamarackgw-Deadline-Ms");
		exchange->deadline_ms = field ? strtoll(field, NULL, 10) : 0;
		field = head_field(exchange->head,
				   "Tamarackgw-Expect-Instance");
		if (field && strcmp(field, worker->id)) {
			keeps = misdirected(exchange);
		} else {
			worker->running++;
			worker->requests++;
			keeps = worker->run(exchange);
			worker->running--;
		}
		consume(&input, head_size + exchange->body_size);
	}
out:
	if (worker->ended) {
		struct linger hard = {1, 0};

		setsockopt(input.fd, SOL_SOCKET, SO_LINGER, &hard,
			   sizeof(hard));
	}
	close(input.fd);
	free(input.data);
	free(exchange);
	free(conn);
	return NULL;
}

static void *accept_worker(void *arg)
{
	struct worker *worker = arg;

	while (!worker->ended) {
		struct pollfd listener = {worker->listener, POLLIN, 0};
		struct worker_conn *conn;
		int fd;

		if (poll(&listener, 1, 20) <= 0)
			continue;
		fd = accept4(worker->listener, NULL, NULL, SOCK_CLOEXEC);
		if (fd < 0) {
			site_sleep(1);
			continue;
		}
		conn = calloc(1, sizeof(*conn));
		conn->worker = worker;
		conn->fd = fd;
		run_thread(serve_worker, conn, NULL);
	}
	close(worker->listener);
	return NULL;
}

struct worker *worker_start(const char *id, const char *service,
			    const char *zone, int slots, worker_run run)
{
	struct worker *worker = calloc(1, sizeof(*worker));

	snprintf(worker->id, sizeof(worker->id), "%s", id);
	worker->service = service;
	worker->zone = zone;
	worker->slots = slots;
	worker->run = run;
	worker->born_ms = wall_ms();
	worker->listener = listen_at(0, &worker->port);
	worker->beats = true;
	write_entry(worker);
	run_thread(accept_worker, worker, NULL);
	run_thread(beat, worker, NULL);
	return worker;
}

void worker_kill(struct worker *worker)
{
	worker->beats = false;
	worker->ended = true;
	/* From now on connections are refused. */
	shutdown(worker->listener, SHUT_RDWR);
	record("worker %s ends", worker->id);
}

void worker_leave_silently(struct worker *worker)
{
	char key[64];

	worker->beats = false;
	snprintf(key, sizeof(key), "servers/%s", worker->id);
	worker->left_ms = store_remove(key);
	record("worker %s leaves: the store has acknowledged the removal of "
	       "its entry",
	       worker->id);
}

void worker_drain(struct worker *worker)
{
	worker->draining = true;
	worker->left_ms = write_entry(worker);
	record("worker %s leaves: the store has acknowledged 'draining'",
	       worker->id);
}

/* Processes of the edge. */

struct deployment deployment = {
	.memory_mb = 260,
	.apply_ms = 2000,
	.drain_ms = 2000,
	.grace_s = 8,
	.heartbeat_ms = 1200,
	.retry_slack = 52,
};

struct host *host_add(const char *name, const char *zone)
{
	struct host *host = calloc(1, sizeof(*host));
	const char *dir = getenv("WORK");

	snprintf(host->name, sizeof(host->name), "%s", name);
	snprintf(host->dir, sizeof(host->dir), "%s", dir ? dir : ".");
	host->zone = zone;
	host->front_port = free_port(SOCK_STREAM);
	host->ready_port = free_port(SOCK_STREAM);
	host->metrics_port = free_port(SOCK_STREAM);
	host->peer_port = free_port(SOCK_DGRAM);
	hosts[host_count++] = host;
	return host;
}

static void write_settings(const struct host *host, const char *path)
{
	FILE *file = fopen(path, "w");

	if (!file)
		cannot_run("can't write %s", path);
	fprintf(file,
		"[host]\nname = %s\nfailure_domain = %s\n"
		"caller_address = 127.0.0.1:%d\n"
		"ready_address = 127.0.0.1:%d\n"
		"metrics_address = 127.0.0.1:%d\n"
		"peer_address = 127.0.0.1:%d\nmemory_mb = %d\n"
		"max_descriptors = 4100\nlink_mbps = 1000.0\n\n"
		"[store]\naddress = %s\napply_ms = %d\ndrain_ms = %d\n"
		"heartbeat_ms = %d\n\n[retry]\nwindow_s = 10\nslack = %d\n\n"
		"[stop]\nkill_after_s = %d\n",
		host->name, host->zone, host->front_port, host->ready_port,
		host->metrics_port, host->peer_port, deployment.memory_mb,
		store_text, deployment.apply_ms, deployment.drain_ms,
		deployment.heartbeat_ms, deployment.retry_slack,
		deployment.grace_s);
	fclose(file);
}

void host_start(struct host *host)
{
	const char *program = getenv("EDGE");
	char settings[512];
	char log[512];
	pid_t pid;

	if (!program)
		cannot_run("EDGE is not set");
	snprintf(settings, sizeof(settings), "%s/%s.ini", host->dir,
		 host->name);
	snprintf(log, sizeof(log), "%s/%s.log", host->dir, host->name);
	write_settings(host, settings);
	pid = fork();
	if (!pid) {
		FILE *out = freopen(log, "a", stdout);

		if (!out || dup2(fileno(stdout), 2) < 0)
			_exit(127);
		signal(SIGPIPE, SIG_DFL);
		setenv("TAMARACKGW_SETTINGS", settings, 1);
		execl(program, program, (char *)NULL);
		_exit(127);
	}
	if (pid < 0)
		cannot_run("fork: %s", strerror(errno));
	host->pid = pid;
	host->starts++;
	record("host %s starts (start %d)", host->name, host->starts);
}

void host_kill(struct host *host, int signal)
{
	if (host->pid > 0) {
		kill(host->pid, signal);
		if (signal == SIGKILL) {
			waitpid(host->pid, NULL, 0);
			host->pid = 0;
		}
	}
}

void host_await_ready(struct host *host)
{
	for (int i = 0; i < 300; i++) {
		struct reply reply;
		int fd = caller_connect(host->ready_port);

		if (fd >= 0) {
			caller_request(fd, "ready", "GET", "/ready", "", NULL,
				       0, 1000, &reply);
			close(fd);
			if (reply.outcome == OUTCOME_ANSWER &&
			    reply.status == 200) {
				reply_free(&reply);
				record("host %s is ready", host->name);
				return;
			}
			reply_free(&reply);
		}
		if (waitpid(host->pid, NULL, WNOHANG) == host->pid) {
			host->pid = 0;
			cannot_run("%s ended; see its log", host->name);
		}
		site_sleep(50);
	}
	cannot_run("%s does not get ready", host->name);
}

long host_rss_kb(const struct host *host)
{
	char path[64];
	char line[256];
	long kb = 0;
	FILE *file;

	snprintf(path, sizeof(path), "/proc/%d/status", (int)host->pid);
	file = fopen(path, "r");
	if (!file)
		return 0;
	while (fgets(line, sizeof(line), file))
		if (sscanf(line, "VmRSS: %ld", &kb) == 1)
			break;
	fclose(file);
	return kb;
}

static void *watch_memory(void *arg)
{
	struct host *host = arg;

	while (host->watched) {
		long kb = host->pid > 0 ? host_rss_kb(host) : 0;

		if (kb > host->peak_kb)
			host->peak_kb = kb;
		if (kb > (long)deployment.memory_mb * 1024 && host->watched) {
			record("host %s uses %ld KB, over memoryMb = %d: the "
			       "platform kills it",
			       host->name, kb, deployment.memory_mb);
			host->killed_ms = site_ms();
			host_kill(host, SIGKILL);
			site_sleep(1000);
			if (host->watched)
				host_start(host);
		}
		site_sleep(5);
	}
	return NULL;
}

void host_watch_memory(struct host *host)
{
	host->watched = true;
	run_thread(watch_memory, host, NULL);
}

/* Callers. */

int caller_connect(int port)
{
	struct sockaddr_in address = {.sin_family = AF_INET,
				      .sin_port = htons((uint16_t)port)};
	int fd = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);

	address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
	if (connect(fd, (struct sockaddr *)&address, sizeof(address))) {
		close(fd);
		return -1;
	}
	no_delay(fd);
	return fd;
}

/* @return false when the time is up or the connection has ended */
static bool await(struct input *input, double until, struct reply *reply)
{
	struct pollfd one = {input->fd, POLLIN, 0};
	double left = until - site_ms();

	if (left <= 0 || poll(&one, 1, (int)left + 1) <= 0) {
		reply->outcome = OUTCOME_DEADLINE;
		return false;
	}
	if (read_more(input) <= 0) {
		reply->outcome = OUTCOME_CUT;
		return false;
	}
	return true;
}

static bool read_chunks(struct input *input, double until, struct reply *reply)
{
	for (;;) {
		char *end;
		size_t size;
		size_t line;

		while (!input->size ||
		       !(end = memmem(input->data, input->size, "\r\n", 2)))
			if (!await(input, until, reply))
				return false;
		line = (size_t)(end - input->data) + 2;
		size = strtoul(input->data, NULL, 16);
		while (input->size < line + size + 2)
			if (!await(input, until, reply))
				return false;
		reply->body = realloc(reply->body, reply->size + size + 1);
		memcpy(reply->body + reply->size, input->data + line, size);
		reply->size += size;
		reply->body[reply->size] = '\0';
		consume(input, line + size + 2);
		if (!size)
			return true;
	}
}

void caller_request(int fd, const char *id, const char *method,
		    const char *target, const char *fields, const void *body,
		    size_t body_size, int deadline_ms, struct reply *reply)
{
	struct input input = {.fd = fd};
	char head[4096];
	char *text;
	const char *field;
	double until;
	size_t head_size;

	memset(reply, 0, sizeof(*reply));
	snprintf(head, sizeof(head),
		 "%s %s HTTP/1.1\r\nHost: ficu95.example\r\n"
		 "Tamarackgw-Request-Id: %s\r\nTamarackgw-Deadline-Ms: %d\r\n"
		 "%sContent-Length: %zu\r\n\r\n",
		 method, target, id, deadline_ms, fields, body_size);
	until = site_ms() + deadline_ms;
	if (!send_all(fd, head, strlen(head)) ||
	    (body_size && !send_all(fd, body, body_size))) {
		reply->outcome = OUTCOME_CLOSED;
		goto out;
	}
	reply->sent_ms = site_ms();
	do {
		char *end;

		while (!input.size ||
		       !(end = memmem(input.data, input.size, "\r\n\r\n", 4)))
			if (!await(&input, until, reply)) {
				if (reply->outcome == OUTCOME_CUT &&
				    !input.size)
					reply->outcome = OUTCOME_CLOSED;
				goto out;
			}
		head_size = (size_t)(end - input.data) + 4;
		text = strndup(input.data, head_size);
		consume(&input, head_size);
		reply->status = (int)strtol(text + 9, NULL, 10);
		if (reply->status < 200)
			free(text);
	} while (reply->status < 200);
	field = head_field(text, "Tamarackgw-Response-Stamp");
	if (field) {
		reply->stamped = true;
		snprintf(reply->stamp, sizeof(reply->stamp), "%s", field);
	}
	field = head_field(text, "Connection");
	reply->closes = field && !strcasecmp(field, "close");
	field = head_field(text, "Content-Length");
	if (field) {
		size_t size = strtoul(field, NULL, 10);

		free(text);
		while (input.size < size)
			if (!await(&input, until, reply))
				goto out;
		reply->body = strndup(size ? input.data : "", size);
		reply->size = size;
	} else {
		field = head_field(text, "Transfer-Encoding");
		free(text);
		if (!field || !read_chunks(&input, until, reply)) {
			if (!field)
				reply->outcome = OUTCOME_CUT;
			goto out;
		}
	}
	reply->outcome = OUTCOME_ANSWER;
out:
	reply->ended_ms = site_ms();
	free(input.data);
}

void reply_free(struct reply *reply)
{
	free(reply->body);
	reply->body = NULL;
}

const char *outcome_name(enum outcome outcome)
{
	static const char *const names[] = {
		[OUTCOME_ANSWER] = "answered",
		[OUTCOME_CUT] = "cut",
		[OUTCOME_CLOSED] = "closed without an answer",
		[OUTCOME_NOT_CONNECTED] = "not connected",
		[OUTCOME_DEADLINE] = "no answer in time",
	};

	return names[outcome];
}
