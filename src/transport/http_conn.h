/**
 * @file http_conn.h
 * A client's connection over HTTP/1.1 on the event loop: one request at a
 * time, never sent again by itself.
 */
#ifndef TRANSPORT_HTTP_CONN_H
#define TRANSPORT_HTTP_CONN_H

#include <http_parser.h>
#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <uv.h>

#include "base/buffer.h"
#include "protocol/http_head.h"

struct http_conn;

/** Why a connection ended before its answer was complete. */
enum http_conn_fault {
	HTTP_CONN_NOT_CONNECTED, /**< no byte of the request was sent */
	HTTP_CONN_CLOSED,	 /**< ended or reset by the server */
	HTTP_CONN_GARBLED,	 /**< bytes that are not an HTTP answer */
};

/** What the owner says of an answer whose head is complete. */
enum http_conn_verdict {
	HTTP_CONN_TAKE,
	HTTP_CONN_DISCARD, /**< not for this request: wait for the next one */
};

/** Calls into the owner. An event may close the connection. */
struct http_conn_events {
	enum http_conn_verdict (*head)(struct http_conn *conn);
	void (*body)(struct http_conn *conn, const char *data, size_t size);
	/** The answer is whole. The connection is idle if `reusable`. */
	void (*complete)(struct http_conn *conn);
	/** The connection closes itself after this; it is the last event. */
	void (*broken)(struct http_conn *conn, enum http_conn_fault fault);
};

enum http_conn_state {
	HTTP_CONN_IDLE,
	HTTP_CONN_AWAITING, /**< a request was sent, or waits to be */
	HTTP_CONN_CLOSING,
};

struct http_conn {
	uv_tcp_t tcp;
	uv_connect_t connecting;
	uv_timer_t ending; /* see `is_ending` */
	bool is_ending;	   /**< ended cleanly; a reset may follow at once */
	unsigned int open_handles;
	http_parser parser;
	struct http_head head; /**< of the answer at hand */
	int status;	       /**< of the answer at hand */
	struct buffer unsent;  /**< waits for the connection */
	enum http_conn_state state;
	bool connected;
	bool sent; /**< bytes of the request at hand were handed over */
	bool reusable;
	bool discarding;
	bool ignore_body; /**< of an answer to HEAD */
	bool answer_done;
	bool has_served;       /**< an earlier request was answered on it */
	int64_t idle_since_us; /**< for the owner's pool */
	int64_t keep_idle_us;  /**< server's limit less a margin; 0 unknown */
	const struct http_conn_events *events;
	void *arg;
	void *owner;		/**< for the owner's pool */
	struct http_conn *next; /**< for the owner's pool */
};

/** Starts to connect. A failure is told by `broken`, never from inside. */
struct http_conn *http_conn_open(uv_loop_t *loop,
				 const struct sockaddr *address);

/** Sends one request; head and body are copied as far as needed. */
void http_conn_send(struct http_conn *conn,
		    const struct http_conn_events *events, void *arg,
		    const struct buffer *head, const struct buffer *body);

/** Stops and resumes reading, for back-pressure. */
void http_conn_pause(struct http_conn *conn);
void http_conn_resume(struct http_conn *conn);

/** Closes and frees; no event follows. */
void http_conn_close(struct http_conn *conn);

#endif
