/**
 * @file edge_rig.h
 * One edge host with the platform's adapter, stand-ins of the store and of
 * two servers, and raw callers, all on one loop.
 */
#ifndef FAKES_EDGE_RIG_H
#define FAKES_EDGE_RIG_H

#include "edge/edge.h"
#include "fakes/kv_standin.h"
#include "fakes/worker_standin.h"
#include "platform_store.h"

#define EDGE_RIG_WORKERS 2

struct edge_rig {
	uv_loop_t loop;
	struct kv_standin store;
	struct worker_standin workers[EDGE_RIG_WORKERS];
	struct platform_store platform;
	struct edge_settings settings;
	struct edge edge;
};

/** A caller's connection, byte by byte. */
struct edge_rig_caller {
	uv_tcp_t tcp;
	uv_connect_t connecting;
	struct buffer received;
	bool connected;
	bool closed; /**< by the edge, or by close_caller */
	bool released;
};

/** @return a port on loopback that nobody listens at now */
int edge_rig_free_port(void);

void edge_rig_start(struct edge_rig *rig);

/** Writes the standard configuration and both servers' entries, and waits
 * until the host is ready. */
void edge_rig_serve(struct edge_rig *rig);
void edge_rig_stop(struct edge_rig *rig);

/** Configuration with a version; prepaid tokens of team "acme". */
void edge_rig_configure(struct edge_rig *rig, int version, long prepaid,
			const char *key);

/** Writes the entry of a server. */
void edge_rig_enlist(struct edge_rig *rig, int worker, const char *state,
		     int sequence);

/** Runs the loop for this long. */
void edge_rig_run(struct edge_rig *rig, int64_t ms);

/** Runs the loop until the counter has at least this value, or 3 s. */
void edge_rig_run_until(struct edge_rig *rig, const unsigned int *counter,
			unsigned int least);

void edge_rig_call(struct edge_rig *rig, struct edge_rig_caller *caller,
		   const char *text);
void edge_rig_close_caller(struct edge_rig_caller *caller);

/** Sends a request and waits until the edge closes, or 3 s.
 * @return what was received; to be freed */
char *edge_rig_exchange(struct edge_rig *rig, const char *text);

/** Sends a request with the team's key to /kind/what.
 * @param kind safe, unsafe, stream or resume
 * @param more further header lines */
char *edge_rig_request(struct edge_rig *rig, const char *method,
		       const char *kind, const char *what, const char *more,
		       const char *body);

/** @return runs at both servers together */
unsigned int edge_rig_runs(const struct edge_rig *rig);

#endif
