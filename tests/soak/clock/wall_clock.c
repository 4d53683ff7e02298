/**
 * @file wall_clock.c
 * Loaded into a host's process by the soak, in place of the system's function:
 * its wall clock is wrong by SOAK_WALL_OFFSET_S seconds, and jumps back and
 * forth. The other clocks are right.
 */
#include <dlfcn.h>
#include <stdlib.h>
#include <time.h>

/* The clock is wrong for this long, then right for as long. */
#define JUMP_INTERVAL_S 7

typedef int clock_function(clockid_t clock, struct timespec *now);

static clock_function *system_function(void)
{
	static clock_function *function;

	if (!function)
		*(void **)&function = dlsym(RTLD_NEXT, "clock_gettime");
	return function;
}

int clock_gettime(clockid_t clock, struct timespec *now)
{
	const char *offset_s = getenv("SOAK_WALL_OFFSET_S");
	struct timespec steady;
	int status = system_function()(clock, now);

	if (status < 0 || clock != CLOCK_REALTIME || !offset_s)
		return status;
	system_function()(CLOCK_MONOTONIC, &steady);
	if (steady.tv_sec / JUMP_INTERVAL_S % 2)
		now->tv_sec += strtol(offset_s, NULL, 10);
	return status;
}
