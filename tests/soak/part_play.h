/**
 * @file part_play.h
 * The soak's play "parts": one part of a prompt after the other crashes
 * servers, beside sound requests that share its requests' team and other parts,
 * crashes for other reasons, and hosts that are killed, stopped and paused.
 */
#ifndef PART_PLAY_H
#define PART_PLAY_H

#include <stdint.h>

struct soak;

void part_play_run(struct soak *soak, int64_t seconds);

#endif
