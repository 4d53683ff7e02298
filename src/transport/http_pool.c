#include "transport/http_pool.h"

#include "tamarackgw/clock.h"

/* Used when the server does not announce an idle limit (Keep-Alive). */
#define DEFAULT_IDLE_LIMIT_US (3 * TGW_US_PER_S)

static void on_idle_broken(struct http_conn *conn, enum http_conn_fault fault)
{
	struct http_pool *pool = conn->owner;
	struct http_conn **link = &pool->idle;

	while (*link && *link != conn)
		link = &(*link)->next;
	if (!*link)
		return;
	*link = conn->next;
	pool->count--;
}

static const struct http_conn_events idle_events = {
	.broken = on_idle_broken,
};

static bool is_stale(const struct http_conn *conn, int64_t now_us)
{
	int64_t limit_us = conn->idle_limit_us ? conn->idle_limit_us
					       : DEFAULT_IDLE_LIMIT_US;

	return now_us - conn->idle_since_us >= limit_us;
}

static struct http_conn *remove_first(struct http_pool *pool)
{
	struct http_conn *conn = pool->idle;

	pool->idle = conn->next;
	pool->count--;
	conn->next = NULL;
	return conn;
}

struct http_conn *http_pool_acquire(struct http_pool *pool, int64_t now_us)
{
	while (pool->idle) {
		struct http_conn *conn = remove_first(pool);

		if (!is_stale(conn, now_us) && http_conn_is_quiet(conn))
			return conn;
		http_conn_close(conn);
	}
	return NULL;
}

void http_pool_release(struct http_pool *pool, struct http_conn *conn,
		       uint32_t max_idle, int64_t now_us)
{
	if (!conn->reusable)
		return;
	if (now_us < pool->keeps_none_until_us || pool->count >= max_idle) {
		conn->reusable = false;
		return;
	}
	conn->events = &idle_events;
	conn->owner = pool;
	conn->idle_since_us = now_us;
	conn->next = pool->idle;
	pool->idle = conn;
	pool->count++;
}

void http_pool_trim(struct http_pool *pool, int64_t now_us)
{
	struct http_conn **link = &pool->idle;

	while (*link) {
		struct http_conn *conn = *link;

		if (!is_stale(conn, now_us)) {
			link = &conn->next;
			continue;
		}
		*link = conn->next;
		pool->count--;
		http_conn_close(conn);
	}
}

void http_pool_clear(struct http_pool *pool)
{
	while (pool->idle)
		http_conn_close(remove_first(pool));
}

void http_pool_keep_none(struct http_pool *pool, int64_t until_us)
{
	http_pool_clear(pool);
	pool->keeps_none_until_us = until_us;
}
