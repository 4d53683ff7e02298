/**
 * @file http_conn.h
 * A client connection for HTTP/1.1 on the event loop. It carries one request
 * at a time and never resends one by itself.
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
#include "protocol/http_response_check.h"
#include "state/held_buffer.h"
#include "state/link_load.h"

struct http_conn;

/** Why a connection ended before its response was complete. */
enum http_conn_fault {
	HTTP_CONN_NOT_CONNECTED, /**< no byte of the request was sent */
	/** Closed or reset by the server, or failed while in use. */
	HTTP_CONN_CLOSED,
	/** The bytes are no HTTP response; `check.defect` says why. */
	HTTP_CONN_MALFORMED,
};

/** The owner's decision on a response whose head is complete. */
enum http_conn_verdict {
	HTTP_CONN_ACCEPT,
	/** Not for this request: wait for the next. */
	HTTP_CONN_DISCARD,
};

/** Callbacks into the owner. They may close the connection. */
struct http_conn_events {
	enum http_conn_verdict (*head)(struct http_conn *conn);
	void (*body)(struct http_conn *conn, const char *data, size_t size);
	/** The response is complete. The connection is idle now if `reusable`;
	 * otherwise it closes itself after this. */
	void (*complete)(struct http_conn *conn);
	/** A response without a length has ended with its connection, which its
	 * server closed cleanly: call http_conn_confirm_end() if it is whole,
	 * otherwise http_conn_close(). NULL: it counts as whole. */
	void (*ended)(struct http_conn *conn);
	/** The connection failed. It closes itself after this last event. */
	void (*broken)(struct http_conn *conn, enum http_conn_fault fault);
};

#define HTTP_CONN_CARRIED_IDS 8

enum http_conn_state {
	HTTP_CONN_IDLE,
	HTTP_CONN_AWAITING, /**< the response is not complete yet */
	HTTP_CONN_CLOSING,
};

struct http_conn {
	uv_tcp_t tcp;
	uv_connect_t connecting;
	uv_timer_t timer; /* for an error of connecting, and see `eof_seen` */
	/** The server ended the stream cleanly; a reset may still follow, which
	 * `timer` waits for. */
	bool eof_seen;
	/** Since then: bytes of the request that the server's system had not
	 * acknowledged at the last look, and the loop's time at which they
	 * last became fewer. */
	size_t unsent_after_eof;
	uint64_t unsent_since_ms;
	unsigned int open_handles;
	struct http_response_check check; /**< of what the parser gets */
	http_parser parser;
	struct http_head head;		 /**< of the current response */
	int status;			 /**< of the current response */
	struct buffer unsent_head;	 /**< of the request until connected */
	struct held_buffer *unsent_body; /**< the same; NULL for none */
	enum http_conn_state state;
	bool connected;
	bool sent;	   /**< writing of the current request has begun */
	bool write_failed; /**< the request was not sent to its end */
	bool reusable;
	bool discarding;  /**< the current response is skipped */
	bool ignore_body; /**< the request's method is HEAD */
	bool response_done;
	/** A whole response came before the current one, accepted or not. */
	bool has_responded;
	int64_t idle_since_us; /**< for the owner's pool */
	/** The server's idle limit less a margin; 0 if it announced none. */
	int64_t idle_limit_us;
	struct link_bytes *link_bytes; /**< counts its bytes, unless NULL */
	const struct http_conn_events *events;
	void *arg;
	void *owner;		/**< for the owner's pool */
	struct http_conn *next; /**< for the owner's pool */
	/** For the owner's pool: hashes of the latest requests' ids, a ring. */
	uint64_t carried_ids[HTTP_CONN_CARRIED_IDS];
	uint32_t carried_count;
};

/** Starts to connect. A failure is reported by `broken` of the request's
 * events, never from inside this call. */
struct http_conn *http_conn_open(uv_loop_t *loop,
				 const struct sockaddr *address);

/** @return whether an idle connection has received nothing since its last
 * response, not even its end, also if the loop has not read that yet */
bool http_conn_is_quiet(const struct http_conn *conn);

/** @return bytes of the request that the server's system has not acknowledged;
 * also 0 if that is not known */
size_t http_conn_unsent(const struct http_conn *conn);

/** Sends one request. Of what the socket does not accept at once, the head is
 * copied and the body is kept by reference.
 * @param body NULL for none */
void http_conn_send(struct http_conn *conn,
		    const struct http_conn_events *events, void *arg,
		    const struct buffer *head, struct held_buffer *body);

/** The response that has ended with its connection is whole; `complete`
 * follows from inside this call. */
void http_conn_confirm_end(struct http_conn *conn);

/** Stop and resume reading, for back-pressure. The end of a response resumes
 * it. */
void http_conn_pause(struct http_conn *conn);
void http_conn_resume(struct http_conn *conn);

/** Closes and frees the connection; no event follows. */
void http_conn_close(struct http_conn *conn);

#endif
