#include "transport/server_conn_limits.h"

#include <sys/resource.h>
#include <uv.h>

/* Used if neither the settings nor the system set a limit. */
#define DEFAULT_DESCRIPTORS 4096
#define MAX_DESCRIPTORS (1024 * 1024)
#define BYTES_PER_MB (1024 * 1024)

uint32_t server_conn_max_descriptors(int64_t setting)
{
	struct rlimit limit;

	if (setting)
		return (uint32_t)setting;
	if (getrlimit(RLIMIT_NOFILE, &limit) < 0 ||
	    limit.rlim_cur == RLIM_INFINITY)
		return DEFAULT_DESCRIPTORS;
	return limit.rlim_cur > MAX_DESCRIPTORS ? MAX_DESCRIPTORS
						: (uint32_t)limit.rlim_cur;
}

int64_t server_conn_memory_mb(int64_t setting)
{
	uint64_t system_bytes = uv_get_total_memory();
	uint64_t group_bytes = uv_get_constrained_memory();

	if (setting)
		return setting;
	/* The control group's limit is 0 or absurdly large if there is none. */
	if (group_bytes && group_bytes < system_bytes)
		return (int64_t)(group_bytes / BYTES_PER_MB);
	return (int64_t)(system_bytes / BYTES_PER_MB);
}
