#include "transport/curl_client.h"

#include <assert.h>
#include <curl/curl.h>
#include <errno.h>
#include <pthread.h>
#include <stdatomic.h>
#include <stdlib.h>
#include <string.h>
#include <sys/epoll.h>
#include <sys/eventfd.h>
#include <sys/queue.h>
#include <time.h>
#include <unistd.h>

#include "base/xalloc.h"
#include "tamarackgw/clock.h"
#include "transport/mailbox.h"

#define POLL_MS 1000
#define SWEEP_INTERVAL_MS 50
#define EVENTS_MAX 256
#define NO_TIMER INT64_MAX
#define DEFAULT_CONNECT_TIMEOUT_US (1 * TGW_US_PER_S)
#define DEFAULT_IDLE_CONNECTIONS 256
#define FIRST_FINAL_STATUS 200

struct http_exchange {
	struct curl_loop *loop;
	LIST_ENTRY(http_exchange) link;
	atomic_int references; /* the loop's, and one a posted letter */
	CURL *easy;
	struct curl_slist *headers;
	void *body;
	struct http_handler handler;
	int64_t idle_timeout_us;
	int64_t last_activity_us;
	bool may_resend;
	bool sending; /* a connection was made, so bytes may be out */
	bool started;
	bool paused;
	bool finished;
};

struct curl_loop {
	struct curl_client_settings settings;
	CURLM *multi;
	int epoll_fd;
	int wake_fd;
	int64_t timer_due_us; /* of libcurl; NO_TIMER */
	struct mailbox *mailbox;
	pthread_t thread;
	atomic_bool stopping;
	LIST_HEAD(, http_exchange) exchanges;
	size_t timed_count; /* exchanges with an idle timeout */
	int64_t next_sweep_us;
};

struct curl_client {
	struct http_sender sender; /* first member */
	atomic_uint next_loop;
	unsigned int loop_count;
	struct curl_loop **loops;
};

static int64_t now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_MONOTONIC, &now);
	return now.tv_sec * TGW_US_PER_S + now.tv_nsec / 1000;
}

static void exchange_unref(struct http_exchange *exchange)
{
	if (atomic_fetch_sub(&exchange->references, 1) > 1)
		return;
	curl_easy_cleanup(exchange->easy);
	curl_slist_free_all(exchange->headers);
	free(exchange->body);
	free(exchange);
}

static void exchange_end(struct http_exchange *exchange,
			 enum http_outcome outcome, const char *message)
{
	struct curl_loop *loop = exchange->loop;

	assert(!exchange->finished);
	exchange->finished = true;
	if (exchange->idle_timeout_us)
		loop->timed_count--;
	curl_multi_remove_handle(loop->multi, exchange->easy);
	LIST_REMOVE(exchange, link);
	exchange->handler.ended(exchange->handler.arg, outcome, message);
	exchange_unref(exchange);
}

static void exchange_start_answer(struct http_exchange *exchange)
{
	long status = 0;
	char *content_type = NULL;

	if (exchange->started)
		return;
	curl_easy_getinfo(exchange->easy, CURLINFO_RESPONSE_CODE, &status);
	if (status < FIRST_FINAL_STATUS)
		return;
	exchange->started = true;
	curl_easy_getinfo(exchange->easy, CURLINFO_CONTENT_TYPE, &content_type);
	exchange->handler.started(exchange->handler.arg, (int32_t)status,
				  content_type ? content_type : "");
}

static size_t on_header(char *line, size_t size, size_t count, void *arg)
{
	struct http_exchange *exchange = arg;
	size_t length = size * count;

	exchange->last_activity_us = now_us();
	if (length <= 2 && (length == 0 || line[0] == '\r' || line[0] == '\n'))
		exchange_start_answer(exchange);
	return length;
}

static size_t on_data(char *data, size_t size, size_t count, void *arg)
{
	struct http_exchange *exchange = arg;

	exchange->last_activity_us = now_us();
	exchange_start_answer(exchange);
	if (exchange->handler.data(exchange->handler.arg, data, size * count))
		return size * count;
	exchange->paused = true;
	return CURL_WRITEFUNC_PAUSE;
}

/* Called when a connection stands and before the first byte goes out. libcurl
 * would send a request anew when a reused connection dies without an answer:
 * that has to be refused, since the server may have run the first one. */
static int on_before_request(void *arg, char *remote_ip, char *local_ip,
			     int remote_port, int local_port)
{
	struct http_exchange *exchange = arg;

	if (exchange->sending && !exchange->may_resend)
		return CURL_PREREQFUNC_ABORT;
	exchange->sending = true;
	return CURL_PREREQFUNC_OK;
}

static void run_start(void *arg)
{
	struct http_exchange *exchange = arg;
	struct curl_loop *loop = exchange->loop;

	LIST_INSERT_HEAD(&loop->exchanges, exchange, link);
	exchange->last_activity_us = now_us();
	if (exchange->idle_timeout_us)
		loop->timed_count++;
	if (curl_multi_add_handle(loop->multi, exchange->easy) != CURLM_OK)
		exchange_end(exchange, HTTP_NOT_CONNECTED,
			     "the request can't be started; check its address");
}

static void run_resume(void *arg)
{
	struct http_exchange *exchange = arg;

	if (!exchange->finished && exchange->paused) {
		exchange->paused = false;
		exchange->last_activity_us = now_us();
		curl_easy_pause(exchange->easy, CURLPAUSE_CONT);
	}
	exchange_unref(exchange);
}

static void run_cancel(void *arg)
{
	struct http_exchange *exchange = arg;

	if (!exchange->finished)
		exchange_end(exchange, HTTP_WAS_CANCELLED, "cancelled");
	exchange_unref(exchange);
}

static void set_body(struct http_exchange *exchange,
		     const struct http_request *request)
{
	if (strcmp(request->method, "HEAD") == 0) {
		curl_easy_setopt(exchange->easy, CURLOPT_NOBODY, 1L);
		return;
	}
	if (!request->body_size && (strcmp(request->method, "GET") == 0)) {
		curl_easy_setopt(exchange->easy, CURLOPT_HTTPGET, 1L);
		return;
	}
	exchange->body = xmemdup(request->body_size ? request->body : "",
				 request->body_size ? request->body_size : 1);
	curl_easy_setopt(exchange->easy, CURLOPT_POSTFIELDS, exchange->body);
	curl_easy_setopt(exchange->easy, CURLOPT_POSTFIELDSIZE_LARGE,
			 (curl_off_t)request->body_size);
	curl_easy_setopt(exchange->easy, CURLOPT_CUSTOMREQUEST,
			 request->method);
}

static void set_headers(struct http_exchange *exchange,
			const struct http_request *request)
{
	bool has_type = false;

	for (size_t i = 0; i < request->header_count; i++) {
		const struct http_header *header = &request->headers[i];
		char *line = xasprintf("%s: %s", header->name, header->value);

		if (strcasecmp(header->name, "content-type") == 0)
			has_type = true;
		exchange->headers = curl_slist_append(exchange->headers, line);
		free(line);
	}
	exchange->headers = curl_slist_append(exchange->headers, "Expect:");
	if (!has_type)
		exchange->headers =
			curl_slist_append(exchange->headers, "Content-Type:");
	curl_easy_setopt(exchange->easy, CURLOPT_HTTPHEADER, exchange->headers);
}

static void set_limits(struct http_exchange *exchange,
		       const struct http_request *request)
{
	const struct curl_loop *loop = exchange->loop;
	int64_t connect_us = request->connect_timeout_us;
	CURL *easy = exchange->easy;

	if (!connect_us)
		connect_us = loop->settings.connect_timeout_us;
	curl_easy_setopt(easy, CURLOPT_CONNECTTIMEOUT_MS,
			 (long)(connect_us / TGW_US_PER_MS + 1));
	if (request->total_timeout_us)
		curl_easy_setopt(
			easy, CURLOPT_TIMEOUT_MS,
			(long)(request->total_timeout_us / TGW_US_PER_MS + 1));
	exchange->idle_timeout_us = request->idle_timeout_us;
	exchange->may_resend = request->may_resend;
	if (request->fresh_connection)
		curl_easy_setopt(easy, CURLOPT_FRESH_CONNECT, 1L);
}

static void set_callbacks(struct http_exchange *exchange)
{
	CURL *easy = exchange->easy;

	curl_easy_setopt(easy, CURLOPT_PRIVATE, exchange);
	curl_easy_setopt(easy, CURLOPT_WRITEFUNCTION, on_data);
	curl_easy_setopt(easy, CURLOPT_WRITEDATA, exchange);
	curl_easy_setopt(easy, CURLOPT_HEADERFUNCTION, on_header);
	curl_easy_setopt(easy, CURLOPT_HEADERDATA, exchange);
	curl_easy_setopt(easy, CURLOPT_PREREQFUNCTION, on_before_request);
	curl_easy_setopt(easy, CURLOPT_PREREQDATA, exchange);
}

static struct http_exchange *curl_client_start(
	struct http_sender *sender, const struct http_request *request,
	struct http_handler handler)
{
	struct curl_client *client = (struct curl_client *)sender;
	unsigned int turn = atomic_fetch_add(&client->next_loop, 1);
	struct curl_loop *loop = client->loops[turn % client->loop_count];
	struct http_exchange *exchange = xcalloc(1, sizeof(*exchange));
	CURL *easy = curl_easy_init();

	if (!easy)
		abort();
	exchange->loop = loop;
	exchange->easy = easy;
	exchange->handler = handler;
	atomic_init(&exchange->references, 1);
	curl_easy_setopt(easy, CURLOPT_URL, request->url);
	curl_easy_setopt(easy, CURLOPT_PROTOCOLS_STR, "http,https");
	curl_easy_setopt(easy, CURLOPT_PROXY, "");
	curl_easy_setopt(easy, CURLOPT_NOSIGNAL, 1L);
	curl_easy_setopt(easy, CURLOPT_HTTP_VERSION,
			 (long)CURL_HTTP_VERSION_1_1);
	set_body(exchange, request);
	set_headers(exchange, request);
	set_limits(exchange, request);
	set_callbacks(exchange);
	executor_post(mailbox_executor(loop->mailbox), run_start, exchange);
	return exchange;
}

static void curl_client_resume(struct http_sender *sender,
			       struct http_exchange *exchange)
{
	struct curl_loop *loop = exchange->loop;

	atomic_fetch_add(&exchange->references, 1);
	executor_post(mailbox_executor(loop->mailbox), run_resume, exchange);
}

static void curl_client_cancel(struct http_sender *sender,
			       struct http_exchange *exchange)
{
	struct curl_loop *loop = exchange->loop;

	atomic_fetch_add(&exchange->references, 1);
	executor_post(mailbox_executor(loop->mailbox), run_cancel, exchange);
}

static const struct http_sender_ops curl_client_ops = {
	.start = curl_client_start,
	.resume = curl_client_resume,
	.cancel = curl_client_cancel,
};

static enum http_outcome outcome_of(const struct http_exchange *exchange,
				    CURLcode code)
{
	if (code == CURLE_OK)
		return HTTP_COMPLETE;
	if (!exchange->sending)
		return HTTP_NOT_CONNECTED;
	if (code == CURLE_OPERATION_TIMEDOUT)
		return HTTP_TIMED_OUT;
	return HTTP_BROKEN;
}

static void end_finished(struct curl_loop *loop)
{
	CURLMsg *message;
	int left;

	while ((message = curl_multi_info_read(loop->multi, &left))) {
		struct http_exchange *exchange;
		CURLcode code = message->data.result;
		char *arg = NULL;

		if (message->msg != CURLMSG_DONE)
			continue;
		curl_easy_getinfo(message->easy_handle, CURLINFO_PRIVATE, &arg);
		exchange = (struct http_exchange *)(void *)arg;
		if (code == CURLE_OK)
			exchange_start_answer(exchange);
		exchange_end(exchange, outcome_of(exchange, code),
			     curl_easy_strerror(code));
	}
}

static void end_idle(struct curl_loop *loop)
{
	int64_t now = now_us();
	struct http_exchange *next;

	if (now < loop->next_sweep_us)
		return;
	loop->next_sweep_us = now + SWEEP_INTERVAL_MS * TGW_US_PER_MS;
	for (struct http_exchange *e = LIST_FIRST(&loop->exchanges); e;
	     e = next) {
		next = LIST_NEXT(e, link);
		if (!e->idle_timeout_us || e->paused ||
		    now - e->last_activity_us < e->idle_timeout_us)
			continue;
		exchange_end(e,
			     e->sending ? HTTP_TIMED_OUT : HTTP_NOT_CONNECTED,
			     "the server was silent for too long");
	}
}

static void end_all(struct curl_loop *loop)
{
	struct http_exchange *exchange = LIST_FIRST(&loop->exchanges);

	while (exchange) {
		struct http_exchange *next = LIST_NEXT(exchange, link);

		exchange_end(exchange, HTTP_WAS_CANCELLED,
			     "the client was stopped");
		exchange = next;
	}
}

static void wake(void *arg)
{
	struct curl_loop *loop = arg;
	uint64_t one = 1;

	/* A full counter wakes as well. */
	if (write(loop->wake_fd, &one, sizeof(one)) < 0 && errno != EAGAIN)
		abort();
}

/* libcurl wants to know when the socket is ready, or no more. */
static int on_socket(CURL *easy, curl_socket_t fd, int what, void *arg,
		     void *known)
{
	struct curl_loop *loop = arg;
	struct epoll_event event = {.data.fd = fd};

	if (what == CURL_POLL_REMOVE) {
		epoll_ctl(loop->epoll_fd, EPOLL_CTL_DEL, fd, NULL);
		return 0;
	}
	if (what & CURL_POLL_IN)
		event.events |= EPOLLIN;
	if (what & CURL_POLL_OUT)
		event.events |= EPOLLOUT;
	if (known) {
		epoll_ctl(loop->epoll_fd, EPOLL_CTL_MOD, fd, &event);
		return 0;
	}
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, fd, &event);
	curl_multi_assign(loop->multi, fd, loop);
	return 0;
}

static int on_timer(CURLM *multi, long timeout_ms, void *arg)
{
	struct curl_loop *loop = arg;

	loop->timer_due_us = NO_TIMER;
	if (timeout_ms >= 0)
		loop->timer_due_us = now_us() + timeout_ms * TGW_US_PER_MS;
	return 0;
}

static int wait_ms(const struct curl_loop *loop)
{
	int64_t ms = loop->timed_count ? SWEEP_INTERVAL_MS : POLL_MS;
	int64_t timer_ms;

	if (loop->timer_due_us == NO_TIMER)
		return (int)ms;
	timer_ms = (loop->timer_due_us - now_us() + TGW_US_PER_MS - 1) /
		   TGW_US_PER_MS;
	if (timer_ms < 0)
		timer_ms = 0;
	return (int)(timer_ms < ms ? timer_ms : ms);
}

static void run_socket(struct curl_loop *loop, const struct epoll_event *event)
{
	uint64_t count;
	int running;
	int flags = 0;

	if (event->data.fd == loop->wake_fd) {
		if (read(loop->wake_fd, &count, sizeof(count)) < 0 &&
		    errno != EAGAIN)
			abort();
		return;
	}
	if (event->events & EPOLLIN)
		flags |= CURL_CSELECT_IN;
	if (event->events & EPOLLOUT)
		flags |= CURL_CSELECT_OUT;
	if (event->events & (EPOLLERR | EPOLLHUP))
		flags |= CURL_CSELECT_ERR;
	curl_multi_socket_action(loop->multi, event->data.fd, flags, &running);
}

static void run_timer(struct curl_loop *loop)
{
	int running;

	if (loop->timer_due_us == NO_TIMER || now_us() < loop->timer_due_us)
		return;
	loop->timer_due_us = NO_TIMER;
	curl_multi_socket_action(loop->multi, CURL_SOCKET_TIMEOUT, 0, &running);
}

static void *run_loop(void *arg)
{
	struct curl_loop *loop = arg;
	struct epoll_event events[EVENTS_MAX];

	while (!atomic_load(&loop->stopping)) {
		int count = epoll_wait(loop->epoll_fd, events, EVENTS_MAX,
				       wait_ms(loop));

		for (int i = 0; i < count; i++)
			run_socket(loop, &events[i]);
		mailbox_run(loop->mailbox);
		run_timer(loop);
		end_finished(loop);
		end_idle(loop);
	}
	do {
		end_all(loop);
	} while (mailbox_run(loop->mailbox));
	return NULL;
}

static void open_events(struct curl_loop *loop)
{
	struct epoll_event event = {.events = EPOLLIN};

	loop->epoll_fd = epoll_create1(EPOLL_CLOEXEC);
	loop->wake_fd = eventfd(0, EFD_CLOEXEC | EFD_NONBLOCK);
	if (loop->epoll_fd < 0 || loop->wake_fd < 0)
		abort();
	event.data.fd = loop->wake_fd;
	epoll_ctl(loop->epoll_fd, EPOLL_CTL_ADD, loop->wake_fd, &event);
	loop->timer_due_us = NO_TIMER;
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETFUNCTION, on_socket);
	curl_multi_setopt(loop->multi, CURLMOPT_SOCKETDATA, loop);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERFUNCTION, on_timer);
	curl_multi_setopt(loop->multi, CURLMOPT_TIMERDATA, loop);
}

struct curl_client_settings curl_client_settings_default(void)
{
	return (struct curl_client_settings){
		.connect_timeout_us = DEFAULT_CONNECT_TIMEOUT_US,
		.idle_connections = DEFAULT_IDLE_CONNECTIONS,
		.threads = 1,
	};
}

static struct curl_loop *loop_new(const struct curl_client_settings *settings)
{
	struct curl_loop *loop = xcalloc(1, sizeof(*loop));

	loop->settings = *settings;
	atomic_init(&loop->stopping, false);
	loop->multi = curl_multi_init();
	if (!loop->multi)
		abort();
	curl_multi_setopt(loop->multi, CURLMOPT_MAXCONNECTS,
			  (long)settings->idle_connections);
	open_events(loop);
	loop->mailbox = mailbox_new(wake, loop);
	if (pthread_create(&loop->thread, NULL, run_loop, loop) != 0)
		abort();
	return loop;
}

static void loop_free(struct curl_loop *loop)
{
	atomic_store(&loop->stopping, true);
	wake(loop);
	pthread_join(loop->thread, NULL);
	mailbox_free(loop->mailbox);
	curl_multi_cleanup(loop->multi);
	close(loop->epoll_fd);
	close(loop->wake_fd);
	free(loop);
}

struct curl_client *curl_client_new(const struct curl_client_settings *settings)
{
	struct curl_client *client = xcalloc(1, sizeof(*client));

	assert(settings->threads > 0);
	curl_global_init(CURL_GLOBAL_DEFAULT);
	client->sender.ops = &curl_client_ops;
	client->loop_count = (unsigned int)settings->threads;
	client->loops = xcalloc(client->loop_count, sizeof(struct curl_loop *));
	for (unsigned int i = 0; i < client->loop_count; i++)
		client->loops[i] = loop_new(settings);
	return client;
}

struct http_sender *curl_client_sender(struct curl_client *client)
{
	return &client->sender;
}

void curl_client_free(struct curl_client *client)
{
	if (!client)
		return;
	for (unsigned int i = 0; i < client->loop_count; i++)
		loop_free(client->loops[i]);
	curl_global_cleanup();
	free(client->loops);
	free(client);
}
