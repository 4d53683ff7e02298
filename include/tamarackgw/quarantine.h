/**
 * @file quarantine.h
 * Counts, by the request's fingerprint, the crashes of backend servers that ran
 * the request. After crashes_until_refused crashes the request is quarantined:
 * it is refused until an operator lifts the quarantine.
 *
 * A request with crashes that is not refused yet is suspected. It runs on
 * probation: one attempt at a time, on a server without another suspected
 * request.
 */
#ifndef TAMARACKGW_QUARANTINE_H
#define TAMARACKGW_QUARANTINE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/clock.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/peer.h"
#include "tamarackgw/store.h"

#define TGW_FINGERPRINT_BYTES 16

/** Identifies a request by a hash of its team and body. */
struct tgw_fingerprint {
	uint8_t bytes[TGW_FINGERPRINT_BYTES];
};

struct tgw_quarantine_env {
	const struct tgw_clock *clock;
	struct tgw_store *store;
	struct tgw_peer *peer;
	uint32_t crashes_until_refused;
	int64_t keep_us; /**< a suspected request is removed this long after
			  * its entry last changed */
};

/** A refused or suspected request, for listings. */
struct tgw_quarantine_entry {
	struct tgw_fingerprint fingerprint;
	char team[TGW_NAME_SIZE];
	uint32_t crashes;
	bool refused;
	int64_t last_crash_wall_us;
};

struct tgw_quarantine;

struct tgw_quarantine_env tgw_quarantine_env_default(void);

struct tgw_quarantine *tgw_quarantine_new(const struct tgw_quarantine_env *env,
					  const struct tgw_host_view *view);

void tgw_quarantine_free(struct tgw_quarantine *quarantine);

void tgw_fingerprint_of(struct tgw_fingerprint *fingerprint, const char *team,
			const void *body, size_t body_size);

/** Checks whether an attempt may start. Sends no query to other hosts, so a
 * suspected request may run on two hosts at once. Request handling uses
 * tgw_quarantine_enter() instead.
 * @return false when the request is refused, or suspected and running */
bool tgw_quarantine_admit(struct tgw_quarantine *quarantine,
			  const struct tgw_fingerprint *fingerprint);

/** Whether an attempt may run, and where. */
enum tgw_quarantine_verdict {
	TGW_QUARANTINE_ADMITTED,  /**< not suspected; may run on any server */
	TGW_QUARANTINE_PROBATION, /**< suspected; only on the named server */
	/** Suspected, and not permitted to run now: another attempt of it runs,
	 * no server is free for it, or no arbiter has granted a permit in time.
	 * Not run; retry later. */
	TGW_QUARANTINE_BUSY,
	TGW_QUARANTINE_REFUSED, /**< crashed servers too often; not run */
};

/** An attempt that is to run, and the servers that could run it. */
struct tgw_quarantine_query {
	struct tgw_fingerprint fingerprint;
	/** How long a suspected attempt waits for a server without another
	 * suspected request: until the latest time at which a start still meets
	 * the deadline. 0: the attempt does not wait for a server. */
	int64_t wait_until_us;
	size_t server_count;
	const char *const *servers;
};

/** Valid only during the callback. */
struct tgw_quarantine_answer {
	enum tgw_quarantine_verdict verdict;
	const char *server; /**< the server to use if PROBATION, else empty */
	int64_t retry_after_us;
	const char *message;
};

struct tgw_quarantine_callback {
	void (*done)(void *arg, const struct tgw_quarantine_answer *answer);
	void *arg;
};

struct tgw_quarantine_counters {
	uint64_t admitted;
	uint64_t refused;
	uint64_t probations;
	uint64_t probations_busy;
	uint64_t crashes;
	uint64_t cleared; /**< suspicions ended by a served attempt */
	uint64_t store_reads;
	uint64_t store_writes;
	uint64_t peer_messages_sent;
};

/**
 * Checks whether an attempt may run. A request that is not suspected is
 * admitted before this function returns. A suspected request runs one attempt
 * at a time among all hosts that reach each other, on a server that runs no
 * other suspected request, so that a further crash is attributed to one request
 * only. The caller ends an admitted attempt by tgw_quarantine_on_served(),
 * _on_crash() or _on_ended().
 */
void tgw_quarantine_enter(struct tgw_quarantine *quarantine,
			  const struct tgw_quarantine_query *query,
			  struct tgw_quarantine_callback callback);

/** Ends an admitted attempt whose outcome shows nothing about the request. */
void tgw_quarantine_on_ended(struct tgw_quarantine *quarantine,
			     const struct tgw_fingerprint *fingerprint);

const struct tgw_quarantine_counters *tgw_quarantine_counters(
	const struct tgw_quarantine *quarantine);

/** Records that the server crashed while it ran this request. Ends the attempt.
 * @param others_running other requests that the server ran; not used */
void tgw_quarantine_on_crash(struct tgw_quarantine *quarantine,
			     const struct tgw_fingerprint *fingerprint,
			     const char *team, const char *server,
			     uint32_t others_running);

/** Ends an attempt that was served, which shows that the request does not crash
 * servers: it is no longer suspected, unless it is refused already. */
void tgw_quarantine_on_served(struct tgw_quarantine *quarantine,
			      const struct tgw_fingerprint *fingerprint);

void tgw_quarantine_lift(struct tgw_quarantine *quarantine,
			 const struct tgw_fingerprint *fingerprint);

/** @return the number of entries; at most capacity are written */
size_t tgw_quarantine_list(const struct tgw_quarantine *quarantine,
			   struct tgw_quarantine_entry *entries,
			   size_t capacity);

void tgw_quarantine_set_hosts(struct tgw_quarantine *quarantine,
			      const struct tgw_host_view *view);

void tgw_quarantine_on_message(struct tgw_quarantine *quarantine,
			       const struct tgw_peer_message *message);

int64_t tgw_quarantine_tick(struct tgw_quarantine *quarantine);

#endif
