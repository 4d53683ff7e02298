/**
 * @file server_conn.h
 * A caller's HTTP connection: reads one request at a time, passes each to the
 * owner once it is complete, and writes the response. Input that is malformed,
 * too large or too slow is refused here.
 */
#ifndef TRANSPORT_SERVER_CONN_H
#define TRANSPORT_SERVER_CONN_H

#include <http_parser.h>
#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "base/buffer.h"
#include "protocol/http_head.h"
#include "state/held_buffer.h"
#include "state/link_load.h"
#include "transport/read_turns.h"

struct server_conn;

/** Limits on what a caller sends. The owner calls server_conn_keep_limits()
 * before it changes them. */
struct server_limits {
	/** Maximum for the request target and the header fields together. */
	int64_t head_bytes;
	int64_t body_bytes;
	/** Maximum for chunk extensions and trailer fields of one request. 0:
	 * only the parser's limit on each. */
	int64_t framing_bytes;
	/** Time from the first byte of a request until it is complete. */
	int64_t head_ms;
	/** Time to wait for the first byte of a request, once the response
	 * before it is written. That response announces it in whole seconds
	 * (Keep-Alive), and the connection is kept somewhat longer. */
	int64_t idle_ms;
	/** Announced in place of `idle_ms`, if it is shorter and not 0, while
	 * the owner has many connections. */
	int64_t crowded_idle_ms;
	/** Time in which the caller must accept some bytes of a response that
	 * is complete here. */
	int64_t stall_ms;
	/** Bytes that are read on and discarded after the request that ends the
	 * connection, so that its response is not overtaken by a reset; more
	 * if the rest of its body is within the limit. 0: no limit. */
	int64_t discard_bytes;
	/** While there is no room for a request's body, requests of which
	 * nothing arrived for this long are refused. 0: none are. */
	int64_t stall_room_ms;
};

/** Why the host closed a connection. */
enum server_close_reason {
	SERVER_CLOSE_OTHER,	/**< its caller left, its last response is
				 * written, or the owner broke it off */
	SERVER_CLOSE_IDLE,	/**< no request came within the idle limit */
	SERVER_CLOSE_SURPLUS,	/**< idle, and there are too many */
	SERVER_CLOSE_STOP,	/**< idle at a planned stop */
	SERVER_CLOSE_LATE_HEAD, /**< a request was not complete in time */
	SERVER_CLOSE_STALLED,	/**< the caller accepted no bytes */
	SERVER_CLOSE_MADE_ROOM, /**< its request stalled at a full host */
	SERVER_CLOSE_FRAMING,	/**< too long extensions and trailer fields */
	SERVER_CLOSE_SENDS_ON,	/**< the caller sent on after its last response
				 */
	SERVER_CLOSE_REASONS
};

/** @return the name in metrics and logs */
const char *server_close_reason_name(enum server_close_reason reason);

/** Passed to `refused` in place of a status after `head` returned false. */
#define SERVER_REFUSED_BY_OWNER 0

/** Callbacks into the owner. */
struct server_conn_events {
	/** A request's head is in `conn->request`. May be NULL.
	 * @return false when the body is not needed: `refused` follows */
	bool (*head)(struct server_conn *conn);
	/**
	 * The input is refused. May be NULL.
	 * @param status 400, 408, 413, 431, 503 (there is no room for the
	 * body) or SERVER_REFUSED_BY_OWNER
	 * @return whether the owner responds or aborts; otherwise a response
	 * with this status and no body is sent
	 */
	bool (*refused)(struct server_conn *conn, int status);
	/** There is no room for a body. May be NULL. The owner may refuse other
	 * requests, see server_conn_make_room(). @return whether it did */
	bool (*make_room)(struct server_conn *conn);
	/** A complete request is in `conn->request`. */
	void (*request)(struct server_conn *conn);
	/** The caller disconnected while its request was being served. */
	void (*disconnected)(struct server_conn *conn);
	/** All queued bytes were written: a paused response may continue. */
	void (*drained)(struct server_conn *conn);
	/** The last event: the connection closes and is freed afterwards. */
	void (*closed)(struct server_conn *conn);
};

/** The request that is being read or served. */
struct server_request {
	struct http_head head;
	struct buffer target; /**< path and query, as sent */
	struct buffer body;
	const char *method; /**< set once the head is complete */
};

enum server_conn_state {
	SERVER_CONN_READING,  /**< idle, or reading a request */
	SERVER_CONN_SERVING,  /**< the owner serves a request */
	SERVER_CONN_FLUSHING, /**< closes once the response is written */
	SERVER_CONN_CLOSING,
};

struct server_conn {
	uv_tcp_t tcp;
	uv_timer_t timer;
	uv_shutdown_t shutdown_request;
	http_parser parser;
	struct server_request request;
	struct buffer pipelined; /**< received after the current request */
	size_t pipelined_read;	 /**< of `pipelined`; the rest is to be read */
	bool parses_pipelined;
	enum server_conn_state state;
	bool request_begun;
	bool head_complete;    /**< of the request that has begun */
	int64_t framing_bytes; /**< received after its head, but for the body */
	bool keep_alive;
	bool caller_closes;   /**< the caller sends no further request */
	bool is_head_request; /**< the response has no body */
	bool http_1_0;	      /**< the caller does not support chunked coding */
	bool chunked;	      /**< the response body is sent in chunks */
	bool read_paused;
	int refused_status; /**< HTTP status for input that is refused */
	bool partly_read;   /**< the current request is not read to its end */
	bool write_failed;  /**< bytes of a response are missing: closes */
	bool lingers;	    /**< discards input after its last response */
	int64_t discarded_bytes;
	bool stopped_discarding;  /**< they reached their limit */
	int64_t received_at_ms;	  /**< when the last bytes arrived */
	int64_t waiting_since_ms; /**< what it waits for has a limit */
	size_t unwritten_before;  /**< unwritten bytes at that time */
	bool timeout_pending;	  /**< takes effect after one more read */
	unsigned int late_reads;  /**< put off the timeout since then */
	enum server_close_reason idle_close_reason; /**< if it stays idle */
	enum server_close_reason close_reason;
	bool unread_at_close; /**< closed for a reason although bytes that
			       * nobody read had arrived */
	unsigned int open_handles;
	const struct server_limits *limits; /**< in force */
	/** Earlier limits that the caller may still rely on. */
	struct server_limits kept_limits;
	const struct server_conn_events *events;
	void *owner;
	/** Bounds the reading of requests; NULL for no bound. The owner forgets
	 * the turn in `closed`. */
	struct read_turns *turns;
	struct read_turn turn;
	struct link_bytes *link_bytes; /**< counts its bytes, unless NULL */
	/** Limits what it holds of requests; NULL for no limit. */
	struct held_bytes *held;
	int64_t held_input_bytes; /**< recorded there */
	void *call; /**< the owner's data for the current request */
	struct server_conn *previous;
	struct server_conn *next;
};

/** Body length of a response whose size is not known in advance. */
#define SERVER_LENGTH_UNKNOWN INT64_C(-1)

/** Accepts a connection. @return NULL when uv_accept() fails */
struct server_conn *server_conn_accept(uv_stream_t *listener,
				       const struct server_limits *limits,
				       const struct server_conn_events *events,
				       void *owner);

/** @return the body's length that the request names, or
 * SERVER_LENGTH_UNKNOWN */
long long server_conn_body_length(const struct server_conn *conn);

/** Takes the body of the request that is served. */
struct held_buffer *server_conn_take_body(struct server_conn *conn);

/** What the connection does or waits for may also go by the limits that are in
 * force now, after they are changed. */
void server_conn_keep_limits(struct server_conn *conn);

/**
 * Writes a response's head, with how long the connection is kept.
 * @param fields header lines, each with its line end
 * @param body_bytes length of the body, or SERVER_LENGTH_UNKNOWN
 * @param closing the connection closes after this response, or after those to
 * requests that have arrived by then
 */
void server_conn_send_head(struct server_conn *conn, int status,
			   const struct buffer *fields, int64_t body_bytes,
			   bool closing);

/** Writes a piece of the body. @return false when too many bytes are unwritten:
 * wait for `drained` */
bool server_conn_send_body(struct server_conn *conn, const char *data,
			   size_t size);

/** @return response bytes that the socket has not accepted yet */
size_t server_conn_unwritten(const struct server_conn *conn);

/** Completes the response. The connection then reads the next request, or
 * closes if it is not kept alive. */
void server_conn_finish(struct server_conn *conn);

/** Closes the connection so that the caller can tell that the response is
 * truncated. */
void server_conn_abort(struct server_conn *conn);

/** @return how long the connection has been waiting for what it waits for */
int64_t server_conn_waited_ms(const struct server_conn *conn);

/** Closes the connection if no request is being read or served and its last
 * response is written. A request that has already arrived is served.
 * @return whether the connection is idle */
bool server_conn_close_idle(struct server_conn *conn,
			    enum server_close_reason reason);

/** @return whether no request is being read or served and the last response is
 * written */
bool server_conn_is_idle(const struct server_conn *conn);

/** Refuses the request that holds the most of those that are not complete and
 * of which nothing arrived for a while: one that sends steadily is never
 * refused.
 * @param conns first of the owner's connections
 * @return whether there was one */
bool server_conn_make_room(struct server_conn *conns);

/** @return whether the connection has waited for longer than was announced */
bool server_conn_is_overdue(const struct server_conn *conn);

#endif
