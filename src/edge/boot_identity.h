/**
 * @file boot_identity.h
 * Tells whether two processes of a host ran in the same boot, one after the
 * other.
 */
#ifndef EDGE_BOOT_IDENTITY_H
#define EDGE_BOOT_IDENTITY_H

#include <stdint.h>

/**
 * The kernel's id of the boot is what counts. Where it is that of an outer
 * kernel, as in some virtual machines, the time of the boot also differs
 * between boots.
 * @param address that only one process of the host can listen at, and that this
 * process listens at until its end
 * @return the same for processes with this address in one boot; 0 if the
 * kernel's id can't be read
 */
uint32_t boot_identity(const char *address);

#endif
