/**
 * @file edge_log.h
 * Structured lines on standard output: fields in a fixed order, never
 * blocking, bounded in number.
 */
#ifndef EDGE_EDGE_LOG_H
#define EDGE_EDGE_LOG_H

#include <stdbool.h>
#include <stdint.h>

/** Importance; a line of a lower one makes way for a higher one. */
enum edge_log_level {
	EDGE_LOG_DETAIL, /**< a decision on a request that went well */
	EDGE_LOG_NOTICE, /**< a refusal or failure of a request */
	EDGE_LOG_STATE,	 /**< a change of what the host believes */
	EDGE_LOG_LEVELS
};

struct edge_log {
	int64_t lines_per_s;
	int64_t second;	 /**< that the counts belong to */
	int64_t written; /**< lines in it */
	uint64_t dropped[EDGE_LOG_LEVELS];
	uint64_t dropped_total;
};

/** Makes standard output non-blocking. */
void edge_log_open(struct edge_log *log, int64_t lines_per_s);

/**
 * Writes one line: time, part and event first, then the given fields as
 * key=value.
 */
void edge_log_line(struct edge_log *log, enum edge_log_level level,
		   const char *part, const char *event, const char *format, ...)
	__attribute__((format(printf, 5, 6)));

#endif
