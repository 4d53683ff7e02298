/**
 * @file crash_suspects.h
 * The requests of a host that may be running at a server although the host no
 * longer has a connection for them: their callers left, their time was over, or
 * another server answered. Or they broke off, and it is not known yet whether
 * their server crashed. If a run of a server crashes, its suspects are the
 * requests that it may have run at that moment.
 *
 * A request is suspected until the run is known to have lived at a time at
 * which it no longer ran the request. No I/O, and no clock of its own: the
 * owner finds out which runs live and which have crashed.
 */
#ifndef STATE_CRASH_SUSPECTS_H
#define STATE_CRASH_SUSPECTS_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "state/request_identity.h"

/** Requests that are suspected at most, at all servers together: of a host with
 * 23 requests a second, a third of which are left after 60 s. */
#define CRASH_SUSPECTS_MAX 512
/** Crashes that are remembered to be compared with later ones. */
#define CRASH_SUSPECTS_CRASHES 16
#define CRASH_SUSPECTS_OUTLIVED 1024

struct crash_suspect {
	struct request_identity identity;
	uint64_t run;	     /**< see backend_run_hash() */
	bool suspects_parts; /**< see request_quarantine_on_crash() */
	int64_t until_us;    /**< the run may have it until then */
	bool broke_off;	     /**< its connection did, at until_us */
	int64_t crashed_us;  /**< when its run did; 0: not known to have */
};

struct crashed_run {
	uint64_t run;
	int64_t crashed_us; /**< 0: unused */
};

/** How many runs in a row have outlived a request. */
struct outlived_request {
	struct tgw_fingerprint whole;
	uint32_t runs; /**< 0: unused */
};

struct crash_suspects {
	size_t count;
	struct crash_suspect *items;
	struct crashed_run crashes[CRASH_SUSPECTS_CRASHES];
	size_t next_crash;
	/** Each in the slot of its hash; a newer request replaces another. */
	struct outlived_request outlived[CRASH_SUSPECTS_OUTLIVED];
	uint64_t dropped; /**< for lack of room, since the start */
};

/** Records a crash against a request. */
struct crash_suspects_recorder {
	void (*record)(void *arg, const struct crash_suspect *suspect);
	void *arg;
};

void crash_suspects_clear(struct crash_suspects *suspects);

/** Adds a request at a run that lives. The same one at the same run is
 * suspected until the later time. Of too many, the one whose time ends first is
 * dropped.
 */
void crash_suspects_add(struct crash_suspects *suspects,
			const struct crash_suspect *suspect);

/** @return how many requests are suspected at the run, while it lives */
size_t crash_suspects_count(const struct crash_suspects *suspects,
			    uint64_t run);

/** @return the latest time until which the run may have a request; INT64_MIN if
 * it has none */
int64_t crash_suspects_until_us(const struct crash_suspects *suspects,
				uint64_t run);

/** @return whether the time of one of the run's requests is over, so that the
 * run is to be asked whether it lives */
bool crash_suspects_is_due(const struct crash_suspects *suspects, uint64_t run,
			   int64_t now_us);

/** The run lived at this time: requests whose time was over clear. */
void crash_suspects_on_alive(struct crash_suspects *suspects, uint64_t run,
			     int64_t alive_us);

/** The run has ended as planned, or nobody can say how. */
void crash_suspects_forget(struct crash_suspects *suspects, uint64_t run);

/** The run has crashed. Those of its requests that broke off are recorded at
 * once, the others by crash_suspects_tick(). */
void crash_suspects_on_crash(struct crash_suspects *suspects, uint64_t run,
			     int64_t now_us,
			     const struct crash_suspects_recorder *recorder);

/**
 * Records the requests whose runs have crashed a moment ago, but for those that
 * are likely to be sound:
 * - Servers that crash together do so for one reason. A request that was at
 *   some of them only is not that.
 * - A request that crashes servers does so nearly always. One that the last
 *   runs outlived is let off this time, and not the next.
 * Call it several times a second.
 */
void crash_suspects_tick(struct crash_suspects *suspects, int64_t now_us,
			 const struct crash_suspects_recorder *recorder);

#endif
