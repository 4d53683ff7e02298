/**
 * @file budget_state.h
 * What the parts of a budget agent share.
 *
 * A host plays up to three roles for a bucket. As an entry host it reserves
 * for its callers. As a holder it has a line in the ledger and grants from
 * it. As a witness it keeps, for a holder of its domain, the ceiling that the
 * holder's spending has not passed.
 */
#ifndef COORDINATION_BUDGET_STATE_H
#define COORDINATION_BUDGET_STATE_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "state/budget_message.h"
#include "state/demand_forecast.h"
#include "state/key_table.h"
#include "state/ledger_bucket.h"
#include "tamarackgw/budget.h"
#include "tamarackgw/random.h"

#define BUDGET_NEVER_US INT64_MAX
#define BUDGET_MS(n) ((int64_t)(n)*TGW_US_PER_MS)
#define BUDGET_S(n) ((int64_t)(n)*TGW_US_PER_S)

struct budget_bucket;
struct entry_answer;
struct entry_request;
struct holder_line;

/** A settlement on its way to the holder. */
struct settle_order {
	struct settle_order *next;
	struct tgw_request_key key;
	char budget[TGW_NAME_SIZE];
	uint64_t request_id;
	uint64_t line; /**< that granted; 0 when none did */
	uint64_t holder_incarnation;
	int64_t bound_tokens;
	int64_t spent_tokens;
	bool is_owner; /**< this host may claim the rest if the line closes */
	enum tgw_settle_basis basis;
};

#define UNSEEN_MAX 4

/** A process that the ledger names and the view does not. */
struct unseen_process {
	uint64_t incarnation;
	int64_t since_us;
};

/** Another host, or this one. Kept until the agent ends. */
struct budget_peer {
	struct budget_peer *next;
	char name[TGW_NAME_SIZE];
	uint64_t heard_incarnation; /**< of the newest message */
	int64_t last_received_us;
	uint64_t seen_incarnation; /**< by the view */
	uint64_t previous_incarnation;
	size_t next_unseen;
	struct unseen_process unseen[UNSEEN_MAX];
	/* Settlements: those sent and not acknowledged, then the rest. */
	struct settle_order *sent;
	struct settle_order *queue;
	struct settle_order **queue_end;
	struct buffer settle_bytes; /**< the message under way */
	uint64_t settle_sequence;
	int64_t settle_sent_us;
	int64_t settle_due_us;
	int64_t settle_retry_us;
	uint64_t settle_acked;	/**< newest sequence that was acknowledged */
	int64_t confirm_due_us; /**< tells the holder of that; 0 for never */
};

/** A reservation that can't be granted yet. */
struct budget_waiter {
	struct budget_waiter *next;
	struct budget_peer *from;
	uint64_t from_incarnation;
	uint64_t request_id;
	struct tgw_request_key key;
	int64_t bound_tokens;
	int64_t started_us;
	int64_t deadline_us;
};

/** A holder's part of one budget. */
struct holder_share {
	char budget[TGW_NAME_SIZE];
	struct holder_line *line;
	int64_t settled_tokens;
	int64_t open_tokens;	  /**< reserved */
	int64_t parked_tokens;	  /**< settled lower, may still be claimed */
	int64_t credit_tokens;	  /**< reversed, to be taken off what settles */
	int64_t confirmed_tokens; /**< allotted by the ledger as last read */
	int64_t usable_tokens;	  /**< lowered before a write that lowers */
	int64_t filled_tokens;	  /**< left after the last write that raised */
	int64_t floor_tokens;	  /**< ceiling by the ledger */
	int64_t witnessed_tokens; /**< ceiling by the witness */
	int64_t changing_tokens;  /**< ceiling while the witness changes */
	int64_t ceiling_wished_tokens;
	int64_t ceiling_sent_tokens;
	uint64_t ceiling_sequence; /**< of the newest message that has it */
	bool ceiling_is_dirty;	   /**< wished, and not acknowledged */
	bool is_touched;	   /**< its ceiling is to be looked at */
	int64_t touched_us;
	struct demand_forecast demand;
	struct budget_waiter *waiters;
	/* Recall of what other holders have. */
	int64_t recalled_tokens; /**< wanted by others, until the next write */
	int64_t want_sent_us;
	uint32_t want_answers_due;
	uint64_t want_operation; /**< the last one before an answer came */
	bool want_mark;		 /**< set "wanted" in the ledger */
	bool needs_fresh; /**< waiters wait for a read that began later */
	int64_t refuse_until_us;
	int64_t refuse_backoff_us;
};

/** A line of this host in the ledger. */
struct holder_line {
	struct holder_line *next; /**< among closed ones */
	struct budget_bucket *bucket;
	uint64_t id;
	uint64_t sequence;
	bool is_in_ledger;
	bool is_closed;	    /**< nothing more is granted from it */
	bool is_settled_up; /**< closed, and no more in the ledger */
	int64_t closed_us;
	size_t reference_count; /**< by reservations */
	/* The witness, as the ledger says. */
	char witness[TGW_NAME_SIZE];
	uint64_t witness_incarnation;
	uint64_t epoch;
	bool is_changing_witness; /**< such a write may be under way */
	uint64_t raise_sequence;
	uint64_t raise_acked;
	int64_t raise_sent_us;
	int64_t raise_first_sent_us; /**< of those not acknowledged */
	bool raise_refused;
	bool needs_greeting; /**< the witness may not know of the line */
	size_t share_count;
	struct holder_share **shares;
};

enum reservation_state {
	RESERVATION_OPEN,
	RESERVATION_SETTLED,
	RESERVATION_NOT_RUN, /**< given back; may be made anew */
	RESERVATION_REVERSED,
};

/** A host that runs a retry under the reservation of an earlier attempt. */
struct reservation_taker {
	struct reservation_taker *next;
	struct budget_peer *peer;
	uint64_t incarnation;
	uint64_t request_id;
};

/** A request as its holder knows it. */
struct reservation {
	struct tgw_request_key key; /**< first member */
	struct budget_bucket *bucket;
	struct holder_share *share; /**< NULL: of another holder's line */
	struct budget_peer *owner;
	uint64_t owner_incarnation;
	uint64_t request_id;
	enum reservation_state state;
	struct reservation_taker
		*takers;    /**< that have not ended, newest first */
	bool owner_gave_up; /**< though a taker runs on */
	int64_t asked_us;   /**< granted, or its host asked about it, then */
	bool is_kept;	    /**< not to be reversed: another copy was */
	bool owner_is_done; /**< the owner will not claim any more */
	bool is_part;	    /**< settled for a run that was cut off */
	uint32_t reruns;
	int64_t earlier_tokens; /**< used by an earlier run: the least charge */
	bool is_queued;		/**< in the agent's queue of ended ones */
	int64_t bound_tokens;
	int64_t spent_tokens;
	int64_t parked_tokens;
	int64_t ended_us;
	struct reservation *next_ended;
	/* Its owner's settlement came, and may still be claimed instead. */
	bool is_unconfirmed;
	uint64_t settle_sequence;
	struct reservation *next_unconfirmed;
};

/** What a witness knows of one share. */
struct witness_share {
	char budget[TGW_NAME_SIZE];
	int64_t ceiling_tokens;
	int64_t demand_tokens_per_s;
};

/** A line that this host is the witness of. */
struct witness_line {
	struct witness_line *next;
	uint64_t line;
	char holder[TGW_NAME_SIZE];
	uint64_t holder_incarnation;
	uint64_t epoch;
	uint64_t sequence;
	bool is_closing;	 /**< nothing more is acknowledged */
	int64_t silent_since_us; /**< 0 while the holder is heard */
	size_t share_count;
	struct witness_share *shares;
};

/** A refund that waits to be recorded in a closed line. */
struct holder_claim {
	struct holder_claim *next;
	struct budget_peer *from;
	uint64_t from_incarnation;
	uint64_t line;
	char budget[TGW_NAME_SIZE];
	int64_t tokens;
};

/** A holder that asked for tokens and waits for an answer. */
struct budget_asker {
	struct budget_asker *next;
	struct budget_peer *from;
	char budget[TGW_NAME_SIZE];
	uint64_t operation; /**< answer after this many operations */
};

/** How far another host knows the settled keys of a bucket. */
struct key_cursor {
	struct budget_peer *holder;
	uint64_t holder_incarnation;
	uint64_t acked;
	int64_t sent_us;
};

/** A key that another host settled, too; asked until one copy is reversed. */
struct open_duplicate {
	struct open_duplicate *next;
	struct tgw_request_key key;
	struct budget_peer *peer;
};

/** A key that another host told of before it was known here. */
struct told_key {
	struct tgw_request_key key; /**< only its start is known */
	struct budget_peer *peer;
	int64_t told_us;
	struct told_key *next;
};

struct logged_key {
	struct tgw_request_key key;
	int64_t settled_us;
};

/** Keys settled here, oldest first. */
struct key_log {
	uint64_t first; /**< sequence of keys[0]; the first of all is 1 */
	size_t count;
	size_t capacity;
	struct logged_key *keys;
	size_t cursor_count;
	struct key_cursor *cursors;
};

enum bucket_io {
	BUCKET_IDLE,
	BUCKET_READING,
	BUCKET_WRITING,
};

#define BUCKET_RANKS 2

struct budget_bucket {
	struct tgw_budget_agent *agent;
	struct budget_bucket *next_touched;
	bool is_touched; /**< to be looked at by the next tick */
	bool is_scanned; /**< among the agent's busy ones */
	uint32_t index;
	char key[LEDGER_KEY_SIZE];
	/** The domain's best hosts for this bucket, by the current view. */
	size_t rank_count;
	struct budget_peer *ranked[BUCKET_RANKS];
	/** Entry host: all holders have just said that they have none. */
	int64_t none_elsewhere_until_us;
	/* The ledger's key as last read or written. */
	bool is_read;
	struct ledger_bucket known;
	int64_t version;
	int64_t read_us; /**< when the operation that gave it began */
	int64_t written_us;
	/* The operation under way. */
	enum bucket_io io;
	bool is_uncertain; /**< a write may still take effect */
	int64_t uncertain_version;
	int64_t began_us;
	struct ledger_bucket draft;
	uint64_t operations; /**< that came to an end */
	uint32_t failures;   /**< in a row, conflicts included */
	int64_t due_us;
	int64_t ceiling_due_us; /**< of the next look at touched shares */
	int64_t waiters_due_us;
	int64_t gone_look_us; /**< of the next look for lines of the gone */
	bool is_for_outage;   /**< ceilings are those for an outage */
	int64_t look_us; /**< of the next look for refills and gone holders */
	/* Roles. */
	struct holder_line *line;
	struct holder_line *closed_lines;
	struct witness_line *witnessed;
	struct holder_claim *claims;
	struct budget_asker *askers;
	struct key_log log;
};

/** A line's refund as its entry host claims it. */
struct entry_claim {
	struct entry_claim *next;
	uint32_t bucket;
	uint64_t line;
	char budget[TGW_NAME_SIZE];
	int64_t tokens; /**< cumulative */
	int64_t recorded_tokens;
	int64_t due_us;
};

struct tgw_budget_agent {
	struct tgw_budget_env env;
	struct tgw_host_view *view;
	char name[TGW_NAME_SIZE];
	char domain[TGW_NAME_SIZE];
	uint64_t incarnation;
	int64_t started_us;
	struct tgw_random random;
	uint64_t next_request_id;
	struct budget_peer *peers;
	struct budget_peer *self;
	struct budget_bucket **by_index;
	size_t bucket_count;
	struct budget_bucket **buckets;
	struct budget_bucket *touched;
	size_t busy_count; /**< those that have times to watch */
	struct budget_bucket **busy;
	int64_t scanned_us;
	int64_t scan_due_us; /**< the earliest time of any busy bucket */
	/* Holder. */
	struct key_table reservations;
	struct reservation *ended_first;
	struct reservation **ended_end;
	struct reservation *unconfirmed;
	int64_t store_failing_since_us; /**< 0 while it answers */
	int64_t store_answered_us;
	int64_t probed_us;
	/* Entry host. */
	struct key_table entries;
	struct entry_request *asking; /**< wait for a holder's answer */
	struct entry_answer *ready;   /**< callbacks due, oldest first */
	struct entry_answer **ready_end;
	struct entry_request *done_first;
	struct entry_request **done_end;
	size_t open_entries;
	struct entry_claim *claims;
	bool is_draining;
	int64_t exchange_due_us;
	struct open_duplicate *open_duplicates;
	struct key_table told; /**< keys that others settled, of told_key */
	struct told_key *told_first;
	struct told_key **told_end;
	struct tgw_budget_counters counters;
};

/** @return whether the run that is settled so has no whole answer */
static inline bool budget_basis_is_incomplete(enum tgw_settle_basis basis)
{
	return basis == TGW_SETTLE_NOT_RUN || basis == TGW_SETTLE_PART;
}

int64_t budget_now_us(const struct tgw_budget_agent *agent);

struct budget_peer *budget_peer_obtain(struct tgw_budget_agent *agent,
				       const char *name);

/** How a process looks from here; GONE when its host runs another one. */
enum tgw_host_state budget_peer_state(const struct tgw_budget_agent *agent,
				      const char *name, uint64_t incarnation);

struct budget_bucket *budget_bucket_obtain(struct tgw_budget_agent *agent,
					   uint32_t index);

/** Ranks the domain's hosts for the bucket anew. */
void budget_bucket_rank(struct budget_bucket *bucket);

/** @return whether this host is the one that grants for the bucket */
bool budget_bucket_is_first(const struct budget_bucket *bucket);

/** Encodes and sends, unless the receiver is this host. */
void budget_send(struct tgw_budget_agent *agent, const char *to,
		 const struct budget_message *message);

/** Whether the store has not answered for some time. */
bool budget_store_is_out(const struct tgw_budget_agent *agent);

/** Has the next tick look at the bucket. */
void budget_bucket_touch(struct budget_bucket *bucket);

/** Asks for an operation on the bucket's key at that time or earlier. */
void budget_bucket_due(struct budget_bucket *bucket, int64_t due_us);

#endif
