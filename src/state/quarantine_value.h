/**
 * @file quarantine_value.h
 * The stored form of the quarantine: its items and the audit entries of
 * operators' lifts, in one value, so that neither is written without the
 * other.
 */
#ifndef STATE_QUARANTINE_VALUE_H
#define STATE_QUARANTINE_VALUE_H

#include "base/buffer.h"
#include "state/quarantine_table.h"

#define QUARANTINE_STORE_KEY "tgw/quarantine/requests"

/** Merges the items of a value into a table.
 * @param audit receives the packed array of audit entries; may be NULL
 * @return OK; CORRUPT or NEWER_FORMAT with the table unchanged */
enum tgw_status quarantine_value_merge(struct quarantine_table *table,
				       struct buffer *audit, const void *value,
				       size_t size, int64_t now_us,
				       bool *changed, struct tgw_error *error);

/** Packs a value.
 * @param audit a packed array of audit entries; NULL or empty for none */
void quarantine_value_pack(const struct quarantine_table *table,
			   const struct buffer *audit, struct buffer *value);

#endif
