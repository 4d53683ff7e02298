/* Stands in for a command table that is not there yet. */
#include "ctl/ctl.h"

__attribute__((weak))
const struct ctl_command ctl_quarantine_commands[] = {{0}};
