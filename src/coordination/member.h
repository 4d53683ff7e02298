/**
 * @file member.h
 * What one host knows about another, and how heartbeats, or their absence,
 * change the state of the other host.
 */
#ifndef COORDINATION_MEMBER_H
#define COORDINATION_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"

/** Time limits of one member. silent_after_us is longer for hosts of other
 * failure domains. */
struct member_limits {
	int64_t silent_after_us;
	int64_t gone_after_us;
};

struct member {
	struct tgw_host host;
	uint32_t name_hash;
	bool is_self;
	bool is_local; /**< in the local failure domain */
	bool listed;   /**< on the platform's list */
	bool listed_as_leaving;
	bool reported_leaving; /**< it reports that it is leaving */
	bool receives_nothing; /**< it reports that it receives nothing */
	bool was_alive;	       /**< in its present incarnation */
	bool has_beat;	       /**< `beat` is set */
	uint32_t beat;	       /**< the newest one received */
	uint64_t previous_incarnation;
	int64_t last_beat_us; /**< when the newest beat was received */
	/** When it was added, or last removed from the platform's list. */
	int64_t unlisted_at_us;
	/** When it was added, or last became silent. */
	int64_t silent_at_us;
	int64_t returned_at_us;	 /**< first beat after silence; 0 if none */
	int64_t last_query_us;	 /**< when it was last sent a query; 0 never */
	int64_t last_silence_us; /**< when it last became silent; 0 never */
	/** How often it became silent, each time soon after the one before. */
	uint32_t recent_silences;
};

void member_init(struct member *member, const char *name, int64_t now_us);

/** Records the incarnation in a message from the member itself.
 * @return false when it is the previous one, so that the message is to be
 * ignored */
bool member_on_incarnation(struct member *member, uint64_t incarnation);

/** Records a beat, unless a newer one is known. */
void member_on_beat(struct member *member, uint32_t beat, int64_t now_us);

/** Whether heartbeats of the member are overdue: it is not gone, and it is
 * silent, has not sent one yet, or half of silent_after_us has passed since the
 * last one. */
bool member_is_suspect(const struct member *member,
		       const struct member_limits *limits, int64_t now_us);

/** Updates the state. @return whether it changed */
bool member_evaluate(struct member *member, const struct member_limits *limits,
		     int64_t now_us);

#endif
