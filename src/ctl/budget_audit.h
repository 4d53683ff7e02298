/**
 * @file budget_audit.h
 * The audit entries of operators' changes in a ledger bucket, packed one after
 * the other.
 */
#ifndef CTL_BUDGET_AUDIT_H
#define CTL_BUDGET_AUDIT_H

#include "ctl/ctl.h"
#include "state/ledger_bucket.h"

/**
 * Appends an entry to the bucket's audit chain. A full chain is first copied
 * to a segment key under tgw/audit/, and only its last entry stays in the
 * bucket. A dry run writes no segment.
 */
enum tgw_status budget_audit_append(struct ctl *ctl,
				    struct ledger_bucket *bucket,
				    uint32_t bucket_index,
				    struct audit_entry *entry,
				    struct tgw_error *error);

#endif
