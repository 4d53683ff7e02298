/**
 * @file audit_scan.h
 * Collects the audit entries that are embedded in the values of the store.
 * Anything else that a value contains is ignored.
 */
#ifndef CTL_AUDIT_SCAN_H
#define CTL_AUDIT_SCAN_H

#include <stddef.h>

#include "ctl/ctl.h"

struct audit_scan_entry {
	struct audit_entry entry;
	char key[128];		/**< store key whose value holds the entry */
	bool altered;		/**< the entry does not match its hash */
	bool lacks_predecessor; /**< the entry before it is missing */
};

struct audit_scan {
	size_t count;
	/** Sorted by time after audit_scan_finish(). */
	struct audit_scan_entry *entries;
};

/** Reads all store keys that can hold audit entries, and finishes the scan,
 * also after an error. */
enum tgw_status audit_scan_run(struct audit_scan *scan, struct ctl *ctl,
			       struct tgw_error *error);

/** Adds the audit entries of one store value. */
void audit_scan_add_value(struct audit_scan *scan, const char *key,
			  const void *value, size_t size);

/** Sorts the entries, removes duplicates, and sets lacks_predecessor.
 * Duplicates are normal: the last entry of a segment also stays in the value
 * that the segment was copied from. */
void audit_scan_finish(struct audit_scan *scan);

void audit_scan_clear(struct audit_scan *scan);

#endif
