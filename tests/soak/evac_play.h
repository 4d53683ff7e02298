/**
 * @file evac_play.h
 * The soak's play "evacuate": operators evacuate failure domains and cancel
 * that, and servers warm up, beside faults of hosts, store and network.
 */
#ifndef EVAC_PLAY_H
#define EVAC_PLAY_H

#include <stdint.h>

struct soak;

void evac_play_run(struct soak *soak, int64_t seconds);

#endif
