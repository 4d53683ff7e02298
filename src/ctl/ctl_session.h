/**
 * @file ctl_session.h
 * Connections of one run of the tool to the store and the hosts. Each call
 * blocks until its response has arrived or its timeout has expired.
 */
#ifndef CTL_CTL_SESSION_H
#define CTL_CTL_SESSION_H

#include "ctl/ctl.h"

/** @param store_url NULL when no store was named */
struct ctl_session *ctl_session_new(const char *store_url);

void ctl_session_free(struct ctl_session *session);

/** Blocks without running the event loop. */
void ctl_session_sleep_ms(int64_t duration_ms);

/** Microseconds since 1970 UTC. */
int64_t ctl_session_wall_us(void);

#endif
