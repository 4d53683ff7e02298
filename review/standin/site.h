/**
 * @file site.h
 * Stand-ins for a small deployment on loopback, for the scripts of the review:
 * the platform's store, backend servers ("workers"), callers, and the platform
 * that starts and ends the processes of the edge. All of it follows PROTOCOL.md
 * and DEPLOY.md of the users' pages. One process, one thread a connection.
 */
#ifndef REVIEW_SITE_H
#define REVIEW_SITE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>
#include <sys/types.h>

#define MAX_HOSTS 4
#define MAX_WORKERS 16

/** Opens the record file and takes the time of the start. */
void site_start(const char *record_path);
/** Ends all processes of the edge and closes the record. */
void site_end(void);
/** Milliseconds since site_start(). */
double site_ms(void);
void site_sleep_until(double ms);
void site_sleep(double ms);
/** Writes a line with the time to the record. */
void record(const char *format, ...) __attribute__((format(printf, 1, 2)));
/** The case can't run: exits with 2. */
void cannot_run(const char *format, ...) __attribute__((format(printf, 1, 2)));
bool with_trouble(void);

/* The store. */

/** What the store does to calls; all fields may change at any time. */
struct store_faults {
	/** A watch call that waits is cut after this time, without an answer;
	 * 0: never. */
	volatile int cut_watches_after_ms;
	/** The store does not answer at all. */
	volatile bool silent;
};
extern struct store_faults store_faults;

void store_start(void);
const char *store_address(void);
/** @return the time at which the store acknowledges the write */
double store_put(const char *key, const char *value);
double store_remove(const char *key);

/* Workers. */

struct worker;
struct exchange;

/** Runs a request. @return whether the connection is kept */
typedef bool (*worker_run)(struct exchange *exchange);

struct worker {
	char id[32];
	const char *service;
	const char *zone;
	int slots;
	worker_run run;
	int port;
	int64_t born_ms;
	int64_t sequence;
	int listener;
	volatile bool beats; /* writes its entry in the store */
	volatile bool draining;
	volatile bool ended;	 /* its process is gone */
	volatile double left_ms; /* its leaving was acknowledged; 0: not */
	volatile int running;
	volatile int requests;
};

/** A request at a worker. */
struct exchange {
	struct worker *worker;
	int fd;
	char head[32768];
	char method[16];
	char target[512];
	char id[128];
	char *body;
	size_t body_size;
	int64_t deadline_ms; /* as it was sent; 0: none */
	double arrived_ms;
};

struct worker *worker_start(const char *id, const char *service,
			    const char *zone, int slots, worker_run run);
/** The worker's process ends: its connections are reset, its port closed. */
void worker_kill(struct worker *worker);
/** Its entry is removed; it goes on to serve. */
void worker_leave_silently(struct worker *worker);
void worker_drain(struct worker *worker);
/** @return the field's value, or NULL; in a static buffer of the thread */
const char *head_field(const char *head, const char *name);
/** A complete answer with the worker's stamp. */
bool answer(struct exchange *exchange, int status, const char *type,
	    const char *body);
bool send_all(int fd, const void *data, size_t size);

/* Processes of the edge. */

struct host {
	char name[32];
	char dir[256];
	const char *zone;
	int front_port;
	int ready_port;
	int peer_port;
	int metrics_port;
	pid_t pid; /* 0: not running */
	int starts;
	volatile bool watched;
	volatile double killed_ms; /* for its memory; 0: never */
	volatile long peak_kb;
};

/** As DEPLOY.md fills platform/settings.ini.in in. */
struct deployment {
	int memory_mb;
	int apply_ms;
	int drain_ms;
	int grace_s;
	int heartbeat_ms;
	int retry_slack;
};
extern struct deployment deployment;

struct host *host_add(const char *name, const char *zone);
void host_start(struct host *host);
void host_kill(struct host *host, int signal);
/** Waits until the host says that it is ready. */
void host_await_ready(struct host *host);
/** From now on the platform kills the process when it exceeds memoryMb, and
 * starts it again after a second. */
void host_watch_memory(struct host *host);
long host_rss_kb(const struct host *host);

/* Callers. */

enum outcome {
	OUTCOME_ANSWER, /* a complete response */
	OUTCOME_CUT,	/* it ended early */
	OUTCOME_CLOSED, /* the connection ended without an answer */
	OUTCOME_NOT_CONNECTED,
	OUTCOME_DEADLINE,
};

struct reply {
	enum outcome outcome;
	int status;
	bool stamped;
	bool closes;
	char stamp[64];
	char *body;
	size_t size;
	double sent_ms; /* the last byte of the request */
	double ended_ms;
};

/** @return a descriptor, or -1 */
int caller_connect(int port);
/**
 * Sends a request on a connection, and reads the answer.
 * @param fields further header lines, each with its CRLF
 */
void caller_request(int fd, const char *id, const char *method,
		    const char *target, const char *fields, const void *body,
		    size_t body_size, int deadline_ms, struct reply *reply);
void reply_free(struct reply *reply);
const char *outcome_name(enum outcome outcome);

/** Starts a thread that is not waited for. */
void run_thread(void *(*run)(void *arg), void *arg, void *thread);
int free_port(int type);

#endif
