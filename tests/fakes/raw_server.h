/**
 * @file raw_server.h
 * A stand-in for a backend server that answers each request with bytes as they
 * are, which need not be HTTP. It runs on the test's libuv loop.
 */
#ifndef FAKES_RAW_SERVER_H
#define FAKES_RAW_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

/** What the server does to the connection once it has answered. */
enum raw_server_end {
	RAW_SERVER_STAYS_OPEN,
	RAW_SERVER_CLOSES,
	RAW_SERVER_RESETS,
	RAW_SERVER_ENDS, /**< its own stream only; see `reset_ms` */
};

struct raw_conn;

struct raw_server {
	struct raw_conn *conns;
	uv_tcp_t listener;
	char address[32];
	const char *answer;
	enum raw_server_end end;
	/** The end comes so long after the answer. */
	uint64_t end_ms;
	/** The connection is reset so long after its stream has ended; 0:
	 * never. */
	uint64_t reset_ms;
	/** Reads what follows the head of a request as well. */
	bool reads_on;
	unsigned int requests; /**< heads received */
	/** Of them, those on a connection that has carried one before. */
	unsigned int kept_requests;
	unsigned int accepted; /**< connections */
	unsigned int closed;   /**< of them */
};

/** Starts the server. The members from `answer` to `reads_on` may be set at any
 * time, and apply to the requests that arrive later. */
void raw_server_start(struct raw_server *server, uv_loop_t *loop,
		      const char *answer);

/** Stops to listen and closes all connections. */
void raw_server_stop(struct raw_server *server);

#endif
