/**
 * @file soak_faults.h
 * What is broken, and when: a series of overlapping faults chosen by the seed.
 */
#ifndef SOAK_FAULTS_H
#define SOAK_FAULTS_H

#include <stddef.h>

#include "soak/soak.h"

/** Begins one fault, chosen at random; it ends by itself within seconds. */
void soak_faults_begin(struct soak *soak);

/** Prints how often each kind was played. */
void soak_faults_print(void);

#endif
