#include "edge/edge_clock.h"

#include <time.h>

#include "tamarackgw/clock.h"

#define NS_PER_US 1000

int64_t edge_now_us(void)
{
	struct timespec now;

	clock_gettime(CLOCK_BOOTTIME, &now);
	return now.tv_sec * TGW_US_PER_S + now.tv_nsec / NS_PER_US;
}
