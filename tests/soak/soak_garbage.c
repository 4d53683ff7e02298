#include "soak/soak_garbage.h"

#include <stdlib.h>
#include <string.h>

#include "base/xalloc.h"
#include "transport/socket_address.h"

#define CHANGES_MAX 4
#define LINGER_MS 300
#define NESTED_ARRAYS 5000

/* No route has their path, so that none of them may reach a server. */
static const char *const requests[] = {
	"GET /none/ HTTP/1.1\r\nHost: a.example\r\n\r\n",
	"POST /none/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: 3\r\n\r\nab",
	"POST /none/ HTTP/1.1\r\nHost: a.example\r\n"
	"Transfer-Encoding: chunked\r\n\r\nffffffffffffffff\r\nab",
	"GET /none/ HTTP/1.1\r\nHost: a.example\r\nContent-Length: -1\r\n\r\n",
	"GET /none/\r\n\r\n",
	"\r\n\r\n\r\n",
	"GET /none/ HTTP/1.1\r\nHost: a.example\r\n"
	"Tamarackgw-Token-Count: 99999999999999999999,-5\r\n"
	"Tamarackgw-Deadline-Ms: 99999999999999999999\r\n\r\n",
};

static const char *const entries[] = {
	"",
	"{",
	"[]",
	"null",
	"\xff\xfe\x80",
	"{\"service\":5,\"address\":[],\"zone\":{},\"slots\":\"x\"}",
	"{\"service\":\"app\",\"address\":\"::::\",\"zone\":\"domain-0\","
	"\"slots\":4,\"state\":\"ready\",\"sequence\":1}",
	"{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":"
	"\"domain-0\",\"slots\":-4,\"state\":\"ready\",\"sequence\":1}",
	"{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":"
	"\"domain-0\",\"slots\":99999999999,\"state\":\"away\",\"sequence\":1}",
	/* Can be used, but no server is there. */
	"{\"service\":\"app\",\"address\":\"127.0.0.1:9\",\"zone\":"
	"\"domain-0\",\"slots\":4,\"state\":\"ready\",\"sequence\":1}",
};

struct garbage_call {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_connect_t connecting;
	uv_write_t writing;
	char *text;
	size_t size;
	unsigned int open_handles;
};

static void on_closed(uv_handle_t *handle)
{
	struct garbage_call *call = handle->data;

	if (--call->open_handles)
		return;
	free(call->text);
	free(call);
}

static void on_timer(uv_timer_t *timer)
{
	struct garbage_call *call = timer->data;

	uv_close((uv_handle_t *)&call->tcp, on_closed);
	uv_close((uv_handle_t *)timer, on_closed);
}

static void on_connected(uv_connect_t *connecting, int status)
{
	struct garbage_call *call = connecting->handle->data;
	uv_buf_t part = uv_buf_init(call->text, (unsigned int)call->size);

	if (status >= 0)
		uv_write(&call->writing, (uv_stream_t *)&call->tcp, &part, 1,
			 NULL);
}

void soak_garbage_call(struct soak *soak, const struct soak_host *host)
{
	struct garbage_call *call = xcalloc(1, sizeof(*call));
	size_t count = sizeof(requests) / sizeof(requests[0]);
	union socket_address address;

	call->text = xstrdup(requests[tgw_random_below(&soak->random, count)]);
	call->size = strlen(call->text);
	for (int i = 0; i < CHANGES_MAX; i++)
		if (soak_happens(soak, 50))
			call->text[tgw_random_below(&soak->random,
						    call->size)] =
				(char)tgw_random_u64(&soak->random);
	uv_tcp_init(&soak->loop, &call->tcp);
	uv_timer_init(&soak->loop, &call->timer);
	call->tcp.data = call;
	call->timer.data = call;
	call->open_handles = 2;
	uv_timer_start(&call->timer, on_timer, LINGER_MS, 0);
	socket_address_parse(host->caller_address, &address);
	uv_tcp_connect(&call->connecting, &call->tcp, &address.any,
		       on_connected);
}

static void put_nested_arrays(struct soak *soak, const char *key)
{
	char *text = xmalloc(NESTED_ARRAYS + 1);

	memset(text, '[', NESTED_ARRAYS);
	text[NESTED_ARRAYS] = '\0';
	kv_standin_put(&soak->store, key, text);
	free(text);
}

void soak_garbage_entry(struct soak *soak)
{
	static const char *const keys[] = {"servers/strange", "servers/",
					   "tgw/peers/hosts/strange",
					   "tgw/crashes/strange"};
	size_t count = sizeof(entries) / sizeof(entries[0]);
	const char *key = keys[tgw_random_below(
		&soak->random, sizeof(keys) / sizeof(keys[0]))];
	size_t index = tgw_random_below(&soak->random, count + 2);

	if (index < count)
		kv_standin_put(&soak->store, key, entries[index]);
	else if (index == count)
		put_nested_arrays(soak, key);
	else
		kv_standin_put(&soak->store, key, NULL);
}
