/**
 * @file log.h
 * Log lines, written to the standard error output through log4c. Each line
 * holds the time, the level, the component of the daemon that wrote it, the
 * request id if there is one, and the message.
 */
#ifndef DAEMON_LOG_H
#define DAEMON_LOG_H

#include <stdbool.h>

/** Components of the daemon that write log lines. */
enum log_component {
	LOG_DAEMON,
	LOG_CALLER,
	LOG_BACKEND,
	LOG_BUDGET,
	LOG_CLAIM,
	LOG_CONFIG,
	LOG_MEMBERS,
	LOG_STORE,
	LOG_PEER,
	LOG_COMPONENT_COUNT
};

enum log_level { LOG_ERROR, LOG_WARNING, LOG_INFO, LOG_DEBUG };

bool log_level_parse(const char *name, enum log_level *level);

void log_open(enum log_level level);
void log_close(void);

/** Takes effect with the next line. Thread-safe. */
void log_set_level(enum log_level level);

bool log_enabled(enum log_level level);

/** @param request_id NULL for lines that belong to no request */
void log_line(enum log_component component, enum log_level level,
	      const char *request_id, const char *format, ...)
	__attribute__((format(printf, 4, 5)));

#endif
