/**
 * @file soak_server.h
 * A backend server behind a proxy. It runs requests, at times badly.
 */
#ifndef SOAK_SERVER_H
#define SOAK_SERVER_H

#include <stdbool.h>
#include <stdint.h>
#include <uv.h>

#include "soak/soak_link.h"

struct soak;
struct soak_run;
struct server_conn;

struct soak_server {
	struct soak *soak;
	char id[32];
	char address[32];
	struct soak_link link;
	uv_tcp_t listener;
	uv_timer_t timer; /**< of its heartbeat */
	struct server_conn *conns;
	struct soak_run *runs;
	int sequence;
	int64_t born_ms;
	bool crashed;
	bool listed;	    /**< has an entry in the store */
	int64_t leaving_us; /**< the store accepted that it leaves; 0: no */
	/** Requests in 100 that it runs badly. */
	unsigned int fault_percent;
	/** Answers in 100 that it sends once more, or adds bytes to. */
	unsigned int copy_percent;
};

/** Starts a server and writes its entry.
 * @param id of an earlier server that starts again, or NULL
 * @param address of an earlier server, or NULL */
struct soak_server *soak_server_start(struct soak *soak, const char *id,
				      const char *address);

/** Ends it at once; its entry remains for a while. */
void soak_server_crash(struct soak_server *server);

/** Writes that it drains, or removes its entry; it goes on to serve. */
void soak_server_leave(struct soak_server *server, bool announced);

/** Removes its entry for good and stops listening. */
void soak_server_end(struct soak_server *server);

/** Resets its connections, and records that its requests broke off. */
void soak_server_reset_link(struct soak_server *server);

/** Marks all its requests as ones that may break off. */
void soak_server_excuse(struct soak_server *server);

#endif
