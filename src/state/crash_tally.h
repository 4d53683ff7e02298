/**
 * @file crash_tally.h
 * Counts the requests that ran on a backend server when it crashed: the
 * smaller the number, the stronger the suspicion against each of them.
 */
#ifndef STATE_CRASH_TALLY_H
#define STATE_CRASH_TALLY_H

#include <stdint.h>

struct crash_tally;

struct crash_tally *crash_tally_new(void);

void crash_tally_free(struct crash_tally *tally);

/** Counts an attempt as started at the server. */
void crash_tally_start(struct crash_tally *tally, const char *server);

/** Counts an attempt at the server as ended, whatever its outcome. */
void crash_tally_end(struct crash_tally *tally, const char *server);

/**
 * Records that an attempt broke off before its response was complete, perhaps
 * because its server crashed. Must be called before crash_tally_end() for the
 * attempt. All attempts that break off within a second of the first one are
 * attributed to the same crash.
 * @return the number of other attempts that ran at the server when the first
 * one broke off
 */
uint32_t crash_tally_record_broken_attempt(struct crash_tally *tally,
					   const char *server, int64_t now_us);

#endif
