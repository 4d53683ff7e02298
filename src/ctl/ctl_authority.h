/**
 * @file ctl_authority.h
 * Who may change what: the operators that the store lists, by their keys.
 * While it lists none, everybody who reaches the store may change all.
 */
#ifndef CTL_CTL_AUTHORITY_H
#define CTL_CTL_AUTHORITY_H

#include "ctl/ctl.h"
#include "state/operator_keys.h"

#define CTL_OPERATORS_KEY "tgw/operators"

struct ctl_authority;

/** DENIED when the run's key does not have the role. Reads the list once. */
enum tgw_status ctl_authority_check(struct ctl *ctl, enum operator_role needed,
				    struct tgw_error *error);

/** @return the name that the key belongs to, or what --as says */
const char *ctl_authority_name(struct ctl *ctl);

void ctl_authority_free(struct ctl_authority *authority);

/* Commands. */
enum ctl_exit operator_list_run(struct ctl *ctl, int argc, char **argv);
enum ctl_exit operator_publish_run(struct ctl *ctl, int argc, char **argv);

#endif
