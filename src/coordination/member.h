/**
 * @file member.h
 * What one host knows of another, and how signs of life, or their absence,
 * change its state.
 */
#ifndef COORDINATION_MEMBER_H
#define COORDINATION_MEMBER_H

#include <stdbool.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"

/** Time limits of one member; remote hosts get longer ones. */
struct member_limits {
	int64_t silent_after_us;
	int64_t gone_after_us;
};

struct member {
	struct tgw_host host;
	uint32_t name_hash;
	bool is_self;
	bool is_local; /**< of this host's failure domain */
	bool listed;
	bool listed_as_leaving;
	bool said_leaving;
	bool receives_nothing; /**< hears nobody, by its own word */
	bool was_alive;	       /**< in its present incarnation */
	bool has_beat;	       /**< beat is known */
	uint32_t beat;	       /**< newest known */
	uint64_t former_incarnation;
	int64_t last_heard_us;	/**< when the newest beat came in */
	int64_t unlisted_at_us; /**< when it left the list */
	int64_t silent_at_us;	/**< when it became silent */
	int64_t return_at_us;	/**< first sign of life after silence; 0 none */
	int64_t last_asked_us;	/**< when it was last asked for a sign */
	int64_t last_drop_us;	/**< when it last fell silent */
	uint32_t drops;		/**< times it fell silent lately */
};

void member_init(struct member *member, const char *name, int64_t now_us);

/** A message of the member itself came in.
 * @return false when it is of a former incarnation, to be ignored */
bool member_on_incarnation(struct member *member, uint64_t incarnation);

/** A sign of life, newer or not. */
void member_on_beat(struct member *member, uint32_t beat, int64_t now_us);

/** Whether signs of life are lately missing. */
bool member_is_suspect(const struct member *member,
		       const struct member_limits *limits, int64_t now_us);

/** Works out the state anew. @return whether it changed */
bool member_evaluate(struct member *member, const struct member_limits *limits,
		     int64_t now_us);

#endif
