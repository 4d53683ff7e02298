/**
 * @file caller_conn.h
 * A caller's connection: reads one request after the other, hands each over
 * whole, and writes its answer. Errors of the input are answered here.
 */
#ifndef EDGE_CALLER_CONN_H
#define EDGE_CALLER_CONN_H

#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/buffer.h"
#include "protocol/http_head.h"

struct caller_conn;

/** What callers may send; in force for requests that begin later. */
struct caller_limits {
	int64_t head_bytes;
	int64_t body_bytes;
	int64_t head_ms; /**< for a request, from its first byte */
	int64_t idle_ms; /**< between two requests */
};

/** Calls into the owner. */
struct caller_conn_events {
	/** A whole request is in `conn->request`. */
	void (*request)(struct caller_conn *conn);
	/** The caller left while its request was open. */
	void (*gone)(struct caller_conn *conn);
	/** Queued bytes of a paused answer were written. */
	void (*drained)(struct caller_conn *conn);
	void (*closed)(struct caller_conn *conn);
};

/** One request as it was read. */
struct caller_request {
	struct http_head head;
	struct buffer target; /**< path and query, as sent */
	struct buffer body;
	const char *method;
	int64_t arrived_us; /**< when its last byte was read */
};

enum caller_conn_state {
	CALLER_CONN_READING,  /**< idle, or part of a request is in */
	CALLER_CONN_SERVING,  /**< the owner has a request */
	CALLER_CONN_ANSWERED, /**< closes when all is written */
	CALLER_CONN_CLOSING,
};

struct caller_conn {
	uv_tcp_t tcp;
	uv_timer_t timer;
	http_parser parser;
	struct caller_request request;
	struct buffer pipelined; /**< bytes behind the open request */
	enum caller_conn_state state;
	bool request_begun;
	bool keep_alive;
	bool head_method; /**< the answer bears no body */
	bool http_1_0;	  /**< the caller knows no chunks */
	bool chunked;	  /**< the answer's body is sent in chunks */
	bool read_paused;
	int refused_status; /**< of input that was refused while parsed */
	unsigned int open_handles;
	const struct caller_limits *limits;
	const struct caller_conn_events *events;
	void *owner;
	void *call; /**< the owner's, while a request is open */
	struct caller_conn *previous;
	struct caller_conn *next;
};

/** Length of an answer's body that is not known beforehand. */
#define CALLER_LENGTH_UNKNOWN INT64_C(-1)

/** Accepts a connection. @return NULL when it is gone already */
struct caller_conn *caller_conn_accept(uv_stream_t *listener,
				       const struct caller_limits *limits,
				       const struct caller_conn_events *events,
				       void *owner);

/**
 * Writes an answer's head.
 * @param fields header lines, each with its line end
 * @param closing the connection ends after this answer
 */
void caller_conn_answer(struct caller_conn *conn, int status,
			const struct buffer *fields, int64_t body_bytes,
			bool closing);

/** Writes a piece of the body. @return false when the caller reads slowly:
 * wait for `drained` */
bool caller_conn_body(struct caller_conn *conn, const char *data, size_t size);

/** Ends the answer as complete. The next request may come. */
void caller_conn_finish(struct caller_conn *conn);

/** Ends the connection so that the answer is seen to be cut off. */
void caller_conn_abort(struct caller_conn *conn);

/** Closes if no request is open or partly read. */
void caller_conn_close_idle(struct caller_conn *conn);

#endif
