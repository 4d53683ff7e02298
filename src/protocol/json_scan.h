/**
 * @file json_scan.h
 * Tells whether a JSON text that arrives in pieces has been cut: whether its
 * strings, arrays and objects are closed. It validates nothing else.
 */
#ifndef PROTOCOL_JSON_SCAN_H
#define PROTOCOL_JSON_SCAN_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

/** Empty when zeroed. */
struct json_scan {
	uint64_t depth;	  /**< open arrays and objects */
	bool has_value;	  /**< something other than white space was read */
	bool in_string;	  /**< a string is open */
	bool after_slash; /**< in a string, the next character is escaped */
};

void json_scan_feed(struct json_scan *scan, const char *data, size_t size);

/** @return whether the text may end here */
bool json_scan_is_whole(const struct json_scan *scan);

#endif
