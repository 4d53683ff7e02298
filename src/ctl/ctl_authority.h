/**
 * @file ctl_authority.h
 * Checks permissions against the list of operators in the store, which holds
 * their names, roles and key hashes.
 * While the store has no such list, everybody who reaches it may change
 * everything.
 */
#ifndef CTL_CTL_AUTHORITY_H
#define CTL_CTL_AUTHORITY_H

#include "ctl/ctl.h"
#include "state/operator_keys.h"

#define CTL_OPERATORS_KEY "tgw/operators"

struct ctl_authority;

/** Checks that the run's key has a role or a higher one. The first call reads
 * the list of operators.
 * @return DENIED when there is a list and the key does not have the role;
 *         another error when the list can't be read or does not decode */
enum tgw_status ctl_authority_check(struct ctl *ctl, enum operator_role needed,
				    struct tgw_error *error);

/** @return the name of the operator that the run's key belongs to; the name
 * from --as or TGW_OPERATOR when there is no list or the list does not have the
 * key; NULL when no name was given either */
const char *ctl_authority_name(struct ctl *ctl);

void ctl_authority_free(struct ctl_authority *authority);

/* Commands. */
enum ctl_exit operator_list_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit operator_publish_run(struct ctl *ctl, int argc, char **argv);

#endif
