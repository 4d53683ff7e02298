/**
 * @file ctl_session.h
 * Connections of one run of the tool: the store and the hosts. Each call
 * waits for its answer.
 */
#ifndef CTL_CTL_SESSION_H
#define CTL_CTL_SESSION_H

#include "ctl/ctl.h"

/** @param store_url NULL when no store was named */
struct ctl_session *ctl_session_new(const char *store_url);

void ctl_session_free(struct ctl_session *session);

/** Waits without doing anything. */
void ctl_session_sleep_ms(int64_t duration_ms);

/** Microseconds since 1970 UTC. */
int64_t ctl_session_wall_us(void);

#endif
