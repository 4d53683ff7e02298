/**
 * @file lost_play.h
 * A play without faults: sound servers fall silent and go on, while the
 * configuration changes, and hosts reload, stop, restart, and are short of
 * processor time. No response may be lost.
 */
#ifndef LOST_PLAY_H
#define LOST_PLAY_H

#include "soak/soak.h"

/** Plays it for some seconds. The loop, the store and the hosts' addresses are
 * ready. */
void lost_play_run(struct soak *soak, int64_t seconds);

#endif
