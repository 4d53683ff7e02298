/**
 * @file edge_clock.h
 * The steady time of the edge. It goes on while the host is suspended, so
 * that a request's deadline is not stretched by a freeze.
 */
#ifndef EDGE_EDGE_CLOCK_H
#define EDGE_EDGE_CLOCK_H

#include <stdint.h>

int64_t edge_now_us(void);

#endif
