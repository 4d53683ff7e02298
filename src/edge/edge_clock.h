/**
 * @file edge_clock.h
 * The monotonic clock of the edge. It also advances while the host is
 * suspended, so that suspension does not extend a request's deadline.
 */
#ifndef EDGE_EDGE_CLOCK_H
#define EDGE_EDGE_CLOCK_H

#include <stdint.h>

#include "tamarackgw/clock.h"

int64_t edge_now_us(void);

/** @return microseconds since 1970 UTC */
int64_t edge_wall_us(void);

/** Both, for parts that take a clock. */
extern const struct tgw_clock edge_clock;

#endif
