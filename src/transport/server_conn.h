/**
 * @file server_conn.h
 * A caller's connection: reads one request after the other, hands each over
 * whole, and writes its answer. Errors of the input are answered here.
 */
#ifndef EDGE_SERVER_CONN_H
#define EDGE_SERVER_CONN_H

#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/buffer.h"
#include "protocol/http_head.h"

struct server_conn;

/** What callers may send; in force for requests that begin later. */
struct server_limits {
	int64_t head_bytes;
	int64_t body_bytes;
	int64_t head_ms; /**< for a request, from its first byte */
	int64_t idle_ms; /**< between two requests */
};

#define SERVER_REFUSED_BY_OWNER 0

/** Calls into the owner. */
struct server_conn_events {
	/** The head is in `conn->request`. May be NULL.
	 * @return false when its body is not wanted: `refused` follows */
	bool (*head)(struct server_conn *conn);
	/**
	 * The input is refused: 400, 408, 413, 431, or
	 * SERVER_REFUSED_BY_OWNER. May be NULL.
	 * @return whether the owner answers or aborts; else an answer without
	 * a body is sent
	 */
	bool (*refused)(struct server_conn *conn, int status);
	/** A whole request is in `conn->request`. */
	void (*request)(struct server_conn *conn);
	/** The caller left while its request was open. */
	void (*gone)(struct server_conn *conn);
	/** Queued bytes of a paused answer were written. */
	void (*drained)(struct server_conn *conn);
	void (*closed)(struct server_conn *conn);
};

/** One request as it was read. */
struct server_request {
	struct http_head head;
	struct buffer target; /**< path and query, as sent */
	struct buffer body;
	const char *method; /**< from its head on */
};

enum server_conn_state {
	SERVER_CONN_READING,  /**< idle, or part of a request is in */
	SERVER_CONN_SERVING,  /**< the owner has a request */
	SERVER_CONN_ANSWERED, /**< closes when all is written */
	SERVER_CONN_CLOSING,
};

struct server_conn {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_shutdown_t ending;
	http_parser parser;
	struct server_request request;
	struct buffer pipelined; /**< bytes behind the open request */
	enum server_conn_state state;
	bool request_begun;
	bool keep_alive;
	bool head_method; /**< the answer bears no body */
	bool http_1_0;	  /**< the caller knows no chunks */
	bool chunked;	  /**< the answer's body is sent in chunks */
	bool read_paused;
	int refused_status; /**< of input that was refused while parsed */
	bool unread;	    /**< the request at hand is not read to its end */
	unsigned int open_handles;
	const struct server_limits *limits;
	const struct server_conn_events *events;
	void *owner;
	void *call; /**< the owner's, while a request is open */
	struct server_conn *previous;
	struct server_conn *next;
};

/** Length of an answer's body that is not known beforehand. */
#define SERVER_LENGTH_UNKNOWN INT64_C(-1)

/** Accepts a connection. @return NULL when it is gone already */
struct server_conn *server_conn_accept(uv_stream_t *listener,
				       const struct server_limits *limits,
				       const struct server_conn_events *events,
				       void *owner);

/**
 * Writes an answer's head.
 * @param fields header lines, each with its line end
 * @param closing the connection ends after this answer
 */
void server_conn_answer(struct server_conn *conn, int status,
			const struct buffer *fields, int64_t body_bytes,
			bool closing);

/** Writes a piece of the body. @return false when the caller reads slowly:
 * wait for `drained` */
bool server_conn_body(struct server_conn *conn, const char *data, size_t size);

/** @return bytes of answers that the socket has not taken yet */
size_t server_conn_unwritten(const struct server_conn *conn);

/** Ends the answer as complete. The next request may come. */
void server_conn_finish(struct server_conn *conn);

/** Ends the connection so that the answer is seen to be cut off. */
void server_conn_abort(struct server_conn *conn);

/** Closes if no request is open or partly read. */
void server_conn_close_idle(struct server_conn *conn);

#endif
