/**
 * @file crash_tally.h
 * How many requests ran on a backend server when it broke: the smaller the
 * number, the stronger the suspicion against each.
 */
#ifndef STATE_CRASH_TALLY_H
#define STATE_CRASH_TALLY_H

#include <stdint.h>

struct crash_tally;

struct crash_tally *crash_tally_new(void);

void crash_tally_free(struct crash_tally *tally);

/** An attempt starts at a server. */
void crash_tally_start(struct crash_tally *tally, const char *server);

/** An attempt ended there, in whatever way. */
void crash_tally_end(struct crash_tally *tally, const char *server);

/**
 * An attempt that crash_tally_end() was not called for yet broke.
 * Attempts that break within a second of the first broke by one crash.
 * @return how many others ran there when it broke
 */
uint32_t crash_tally_broke(struct crash_tally *tally, const char *server,
			   int64_t now_us);

#endif
