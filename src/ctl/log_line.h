/**
 * @file log_line.h
 * Parses the structured log lines of hosts.
 */
#ifndef CTL_LOG_LINE_H
#define CTL_LOG_LINE_H

#include <stdbool.h>
#include <stddef.h>

#define LOG_LINE_SIZE 1024

/** A parsed line. Its fields are searched for in its text. */
struct log_line {
	char text[LOG_LINE_SIZE]; /**< without what precedes the ts field */
	double ts_s;		  /**< wall-clock time from the ts field */
};

/** Parses a line; text that a log collector put before its ts field is ignored.
 * @return false if the line is not from a host, is longer than LOG_LINE_SIZE
 *         allows, or does not end in a newline because it was truncated */
bool log_line_parse(struct log_line *line, const char *text);

/** Copies the value of a field, without quotes.
 * @return false if the line has no such field; value is unchanged then */
bool log_line_field(const struct log_line *line, const char *key, char *value,
		    size_t size);

/** @return whether the line has the field with exactly this value */
bool log_line_field_is(const struct log_line *line, const char *key,
		       const char *value);

#endif
