/**
 * @file server_conn_limits.h
 * What the system allows this process, as a basis for limits on callers.
 */
#ifndef TRANSPORT_SERVER_CONN_LIMITS_H
#define TRANSPORT_SERVER_CONN_LIMITS_H

#include <stdint.h>

/** @return file descriptors that the process may have open: the setting, or
 * the system's limit if it is 0 */
uint32_t server_conn_max_descriptors(int64_t setting);

/** @return the memory of the host in MB: the setting, or if it is 0, what the
 * process's control group or the system has; 0 if unknown */
int64_t server_conn_memory_mb(int64_t setting);

#endif
