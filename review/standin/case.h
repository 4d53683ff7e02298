/**
 * @file case.h
 * The parts that several cases share: the configuration, and a table of what
 * became of each request.
 */
#ifndef REVIEW_CASE_H
#define REVIEW_CASE_H

#include "site.h"

#define MAX_REQUESTS 20000
/* A host that is ready later puts off all that follows. */
#define READY_BY_MS 2500
#define API_KEY "n2ctnfzs989anu6wsjnb"
#define AUTHORIZATION "Authorization: Token " API_KEY "\r\n"

/** A request of a caller, by its number. */
struct request {
	const char *kind;
	int host;
	bool on_kept_connection;
	volatile int runs; /* at workers */
	volatile double ran_ms;
	const char *worker;
	volatile bool sound; /* that worker */
	struct reply reply;
	volatile bool ended;
};

extern struct request requests[MAX_REQUESTS];

int new_request(const char *kind, int host, bool on_kept_connection);
void request_id(int number, char *text, size_t size);
/** @return the request with this id; NULL for another id */
struct request *find_request(const char *id);
int request_count(void);
/** Writes a line for each request to the record. */
void record_requests(void);

/** Writes a configuration. @param prepaid of the only tenant; 0: none */
void put_config(int version, int64_t prepaid);

#endif
