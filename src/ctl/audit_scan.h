/**
 * @file audit_scan.h
 * Finds the audit entries in any stored value, whatever else it holds.
 */
#ifndef CTL_AUDIT_SCAN_H
#define CTL_AUDIT_SCAN_H

#include <stddef.h>

#include "ctl/ctl.h"

struct audit_found {
	struct audit_entry entry;
	char key[128]; /**< of the store, where it was found */
	bool altered;  /**< the entry does not match its own hash */
	bool orphaned; /**< the entry before it is missing */
};

struct audit_scan {
	size_t count;
	struct audit_found *found; /**< sorted by time once finished */
};

/** Reads all places where audit entries lie. */
enum tgw_status audit_scan_run(struct audit_scan *scan, struct ctl *ctl,
			       struct tgw_error *error);

/** Adds the entries of one value. */
void audit_scan_value(struct audit_scan *scan, const char *key,
		      const void *value, size_t size);

/** Sorts, drops doubles, and marks what is altered or lacks a predecessor. */
void audit_scan_finish(struct audit_scan *scan);

void audit_scan_clear(struct audit_scan *scan);

#endif
