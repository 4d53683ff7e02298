/* Stands in for command tables that are not there yet. */
#include "ctl/ctl.h"

__attribute__((weak)) const struct ctl_command ctl_budget_commands[] = {{0}};
__attribute__((weak))
const struct ctl_command ctl_quarantine_commands[] = {{0}};
