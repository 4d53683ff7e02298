/**
 * @file edge_log.h
 * A structured log on standard output. The fields of an event have a fixed
 * order, writing never blocks, and the lines per second are limited.
 */
#ifndef EDGE_EDGE_LOG_H
#define EDGE_EDGE_LOG_H

#include <stdbool.h>
#include <stdint.h>

/** Importance of a line. Details are dropped once half of the limit is used,
 * notices once all of it is. State lines count towards the limit but are never
 * dropped because of it. */
enum edge_log_level {
	EDGE_LOG_DETAIL, /**< a request was served, or its caller left */
	EDGE_LOG_NOTICE, /**< a refusal or failure of a request */
	EDGE_LOG_STATE,	 /**< a change in the host's view of the fleet */
	EDGE_LOG_LEVELS
};

struct edge_log {
	int64_t lines_per_s; /**< limit on details and notices */
	int64_t second;	     /**< current second of the edge's clock */
	int64_t written;     /**< lines of all levels in that second */
	uint64_t dropped[EDGE_LOG_LEVELS]; /**< not yet reported in the log */
	uint64_t dropped_total;
};

/** Makes standard output non-blocking, so that a slow reader of the log does
 * not delay requests. */
void edge_log_open(struct edge_log *log, int64_t lines_per_s);

/**
 * Writes one line, or drops and counts it if the limit is reached or standard
 * output does not accept it.
 * @param subsystem value of the key part=
 * @param event what happened; value of the key event=
 * @param format further fields as key=value
 */
void edge_log_line(struct edge_log *log, enum edge_log_level level,
		   const char *subsystem, const char *event, const char *format,
		   ...) __attribute__((format(printf, 5, 6)));

#endif
