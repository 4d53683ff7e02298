/**
 * @file system_clock.h
 * The clocks of the operating system.
 */
#ifndef TRANSPORT_SYSTEM_CLOCK_H
#define TRANSPORT_SYSTEM_CLOCK_H

#include "tamarackgw/clock.h"

const struct tgw_clock *system_clock(void);

#endif
