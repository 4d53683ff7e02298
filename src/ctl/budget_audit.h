/**
 * @file budget_audit.h
 * Audit entries inside a ledger bucket, one after the other.
 */
#ifndef CTL_BUDGET_AUDIT_H
#define CTL_BUDGET_AUDIT_H

#include "ctl/ctl.h"
#include "state/ledger_bucket.h"

/**
 * Appends an entry to the bucket's chain. When there are many, the older
 * ones are first written to a segment of their own under tgw/audit/.
 */
enum tgw_status budget_audit_append(struct ctl *ctl,
				    struct ledger_bucket *bucket,
				    uint32_t bucket_index,
				    struct audit_entry *entry,
				    struct tgw_error *error);

#endif
