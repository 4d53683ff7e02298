/**
 * @file config_status.h
 * Shows which configuration generation each host has in force.
 */
#ifndef CTL_CONFIG_STATUS_H
#define CTL_CONFIG_STATUS_H

#include <jansson.h>

#include "ctl/ctl.h"

enum ctl_exit config_status_run(struct ctl *ctl, int argc, char **argv);

/** Reads a host's status page.
 * @return its JSON, which the caller releases; NULL with the error set */
json_t *host_status_read(struct ctl *ctl, const char *url,
			 struct tgw_error *error);

#endif
