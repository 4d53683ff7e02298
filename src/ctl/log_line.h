/**
 * @file log_line.h
 * A structured log line of a host, taken apart.
 */
#ifndef CTL_LOG_LINE_H
#define CTL_LOG_LINE_H

#include <stdbool.h>
#include <stddef.h>

#define LOG_LINE_SIZE 1024

/** The text of the line is kept; fields are looked up in it. */
struct log_line {
	char text[LOG_LINE_SIZE]; /**< from its first field on */
	double ts_s;		  /**< wall clock; 0 if the line has none */
};

/** Takes a line, whatever a collector put before its first field.
 * @return false if it is no line of a host, or was cut off */
bool log_line_read(struct log_line *line, const char *text);

/** Copies the value of a field, without quotes. @return false if absent */
bool log_line_field(const struct log_line *line, const char *key, char *value,
		    size_t size);

/** @return whether the field has exactly this value */
bool log_line_is(const struct log_line *line, const char *key,
		 const char *value);

#endif
