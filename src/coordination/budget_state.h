/**
 * @file budget_state.h
 * State that the files of the budget agent share.
 *
 * A host has up to three roles for a bucket. As an entry host it reserves
 * tokens for its callers. As a holder it has a line in the ledger (the record
 * of its allotments) and grants reservations from it. As a witness it
 * acknowledges and stores the spending ceiling of a holder of its failure
 * domain, so that the holder's line can be closed at that ceiling when the
 * holder dies.
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

/** A settlement that its holder has not acknowledged yet. */
struct settlement {
	struct settlement *next;
	struct tgw_request_key key;
	char budget[TGW_NAME_SIZE];
	uint64_t request_id;
	uint64_t line_id; /**< of the granting line; 0: none */
	uint64_t holder_incarnation;
	int64_t bound_tokens;
	int64_t spent_tokens;
	bool is_owner; /**< may claim its unspent tokens from a closed line */
	enum tgw_settle_basis basis;
};

#define UNLISTED_MAX 4

/** A process that the ledger names and the host view does not list. */
struct unlisted_process {
	uint64_t incarnation;
	int64_t since_us;
};

/** A host, possibly this one. Kept until the agent is freed. */
struct budget_peer {
	struct budget_peer *next;
	char name[TGW_NAME_SIZE];
	uint64_t last_incarnation; /**< sender of the newest message */
	int64_t last_received_us;
	uint64_t view_incarnation;     /**< as listed by the host view */
	uint64_t previous_incarnation; /**< listed before that */
	size_t next_unlisted;	       /**< the entry to be replaced next */
	struct unlisted_process unlisted[UNLISTED_MAX];
	/* Settlements for this peer: the batch that was sent and is not
	 * acknowledged, and those that are queued for the next batch. */
	struct settlement *sent;
	struct settlement *queue;
	struct settlement **queue_end;
	struct buffer settle_bytes; /**< encoded message of the sent batch */
	uint64_t settle_sequence;
	int64_t settle_sent_us;
	int64_t settle_due_us;
	int64_t settle_retry_us;
	uint64_t settle_acked;	/**< newest sequence that it acknowledged */
	int64_t confirm_due_us; /**< when to confirm settle_acked; 0: never */
};

/** A request to reserve that can't be granted yet. */
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

/** A holder's allotment of one budget, and what was granted from it. */
struct holder_allotment {
	char budget[TGW_NAME_SIZE];
	struct holder_line *line;
	int64_t settled_tokens;
	int64_t open_tokens;	  /**< in open reservations */
	int64_t withheld_tokens;  /**< unspent, may still be claimed */
	int64_t credit_tokens;	  /**< reversed, not yet deducted */
	int64_t confirmed_tokens; /**< in the ledger, as last read */
	/** Allotment that may be granted from. It is lowered before a write
	 * that lowers the ledger's allotment is sent. */
	int64_t usable_tokens;
	/** Tokens left right after the allotment last changed; a refill starts
	 * at a fraction of it. */
	int64_t refill_base_tokens;
	/** Ceiling in the ledger. It is lowered before a write that lowers the
	 * ledger's ceiling is sent. */
	int64_t ledger_ceiling_tokens;
	int64_t witnessed_tokens; /**< ceiling acknowledged by the witness */
	/** Upper bound of the ceiling while the witness is being changed: the
	 * lowest ceiling that a pending write records. */
	int64_t transition_ceiling_tokens;
	int64_t ceiling_desired_tokens;
	int64_t ceiling_sent_tokens;
	uint64_t ceiling_sequence; /**< of the newest message that carries it */
	bool ceiling_is_dirty;	   /**< desired, not yet acknowledged */
	bool needs_ceiling_check;
	int64_t last_change_us; /**< of its tokens or ceilings */
	struct demand_forecast demand;
	struct budget_waiter *waiters;
	/* Recalls between this holder and the others. */
	/** Largest recall request of another holder since the last planned
	 * write. */
	int64_t recalled_tokens;
	int64_t recall_sent_us; /**< own recall request */
	uint32_t recall_replies_pending;
	/** Once the bucket's operation count exceeds this, an operation that
	 * began after the last reply has read the released tokens. */
	uint64_t recall_operation;
	/** The next write records the tokens of the waiting requests as wanted,
	 * since other holders have not replied in time. */
	bool must_record_wanted;
	bool needs_fresh; /**< waiters need a read that began after them */
	/** Until then, requests that exceed the tokens left are refused. */
	int64_t refuse_until_us;
	int64_t refuse_backoff_us;
};

/** A line of this host in the ledger. */
struct holder_line {
	struct holder_line *next; /**< in the list of closed lines */
	struct budget_bucket *bucket;
	uint64_t id;
	uint64_t sequence;
	bool is_in_ledger;
	bool is_closed; /**< nothing is granted from it any more */
	bool is_folded; /**< closed, and no longer in the ledger */
	int64_t closed_us;
	size_t reference_count; /**< reservations granted from it */
	/* The witness that the ledger names. */
	char witness[TGW_NAME_SIZE];
	uint64_t witness_incarnation;
	uint64_t epoch;
	bool is_changing_witness; /**< a write that changes it may be pending */
	uint64_t raise_sequence;
	uint64_t raise_acked;
	int64_t raise_sent_us;
	int64_t raise_first_sent_us; /**< oldest unacknowledged; 0: none */
	bool raise_refused;
	bool must_notify_witness; /**< the witness may not know the line yet */
	size_t allotment_count;
	struct holder_allotment **allotments;
};

enum reservation_state {
	RESERVATION_OPEN,
	RESERVATION_SETTLED,
	RESERVATION_NOT_RUN, /**< released; the key may be reserved again */
	RESERVATION_REVERSED,
};

/** A retry that runs under the reservation of an earlier attempt. */
struct reservation_joiner {
	struct reservation_joiner *next;
	struct budget_peer *peer;
	uint64_t incarnation;
	uint64_t request_id;
};

/** A reservation, as its holder records it. */
struct reservation {
	struct tgw_request_key key; /**< first member */
	struct budget_bucket *bucket;
	/** NULL when it was granted from another holder's line. */
	struct holder_allotment *allotment;
	struct budget_peer *owner;
	uint64_t owner_incarnation;
	uint64_t request_id;
	enum reservation_state state;
	struct reservation_joiner *joiners; /**< still running, newest first */
	/** The owner's run ended incomplete, though a joiner may still run. */
	bool owner_run_ended;
	/** When it was granted, or when its users were last queried. */
	int64_t use_checked_us;
	bool is_kept;	      /**< never reversed; the other host's copy is */
	bool claim_is_waived; /**< the owner will not claim unspent tokens */
	bool is_partial;      /**< settled for an incomplete run */
	uint32_t reruns;
	int64_t min_charge_tokens; /**< used by an earlier, incomplete run */
	bool is_queued; /**< in the agent's queue of ended reservations */
	int64_t bound_tokens;
	int64_t spent_tokens;
	int64_t withheld_tokens;
	int64_t ended_us;
	struct reservation *next_ended;
	/* The owner's settlement was received, but the owner has not confirmed
	 * that it received the acknowledgement, and may still claim the unspent
	 * tokens. */
	bool is_unconfirmed;
	uint64_t settle_sequence;
	struct reservation *next_unconfirmed;
};

/** What a witness records of one allotment. */
struct witness_allotment {
	char budget[TGW_NAME_SIZE];
	int64_t ceiling_tokens;
	int64_t demand_tokens_per_s;
};

/** A line that this host is the witness for. */
struct witness_line {
	struct witness_line *next;
	uint64_t line_id;
	char holder[TGW_NAME_SIZE];
	uint64_t holder_incarnation;
	uint64_t epoch;
	uint64_t sequence;
	bool is_closing;	 /**< no raise is acknowledged any more */
	int64_t silent_since_us; /**< 0 while it is alive or leaving */
	size_t allotment_count;
	struct witness_allotment *allotments;
};

/** A refund that is to be recorded in a closed line. */
struct holder_claim {
	struct holder_claim *next;
	struct budget_peer *from;
	uint64_t from_incarnation;
	uint64_t line_id;
	char budget[TGW_NAME_SIZE];
	int64_t tokens;
};

/** A holder whose recall request is not replied to yet. */
struct recall_requester {
	struct recall_requester *next;
	struct budget_peer *from;
	char budget[TGW_NAME_SIZE];
	/** The reply is sent once the bucket's operation count exceeds this. */
	uint64_t operation;
};

/** How far another host has acknowledged a bucket's settled keys. */
struct key_cursor {
	struct budget_peer *holder;
	uint64_t holder_incarnation;
	uint64_t acked; /**< sequence of the newest acknowledged key */
	int64_t sent_us;
};

/** A key that another host settled, too. That host is queried until one copy is
 * reversed or none can be. */
struct unresolved_duplicate {
	struct unresolved_duplicate *next;
	struct tgw_request_key key;
	struct budget_peer *peer;
};

/** A key that another host reported as settled before this one settled it. */
struct reported_key {
	struct tgw_request_key key; /**< only its prefix is set */
	struct budget_peer *peer;
	int64_t reported_us;
	struct reported_key *next;
};

struct logged_key {
	struct tgw_request_key key;
	int64_t settled_us;
};

/** Keys settled on this host, oldest first. */
struct key_log {
	uint64_t first; /**< sequence of keys[0]; sequences start at 1 */
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
	struct budget_bucket *next_queued;
	bool is_queued; /**< in the agent's list for the next tick */
	bool is_busy;	/**< in the agent's list of busy buckets */
	uint32_t index;
	char key[LEDGER_KEY_SIZE];
	/** The local failure domain's highest-ranked hosts for this bucket, by
	 * the current view. */
	size_t rank_count;
	struct budget_peer *ranked[BUCKET_RANKS];
	/** Entry host: until then each request is sent to the first holder
	 * only, since all holders, or REFUSED_MAX of them, have just refused
	 * one. */
	int64_t first_only_until_us;
	/* The bucket as last read from or written to the ledger. */
	bool is_read;
	struct ledger_bucket ledger;
	int64_t version;
	int64_t read_us; /**< when the operation that returned it began */
	int64_t written_us;
	/* The operation in flight. */
	enum bucket_io io;
	bool write_unresolved; /**< an earlier write may still take effect */
	int64_t unresolved_version; /**< that this write expected */
	int64_t began_us;
	struct ledger_bucket draft;
	uint64_t operations;	/**< completed successfully */
	uint32_t failures;	/**< consecutive, conflicts included */
	int64_t due_us;		/**< of the next operation */
	int64_t ceiling_due_us; /**< next check of the ceilings */
	int64_t waiters_due_us;
	int64_t gone_scan_due_us; /**< scan for open lines of gone hosts */
	bool has_outage_ceilings; /**< ceilings cover a store outage */
	/** Next check for refills, store outages and silent holders. */
	int64_t check_due_us;
	/* Roles. */
	struct holder_line *line;
	struct holder_line *closed_lines;
	struct witness_line *witnessed;
	struct holder_claim *claims;
	struct recall_requester *requesters;
	struct key_log log;
};

/** The refund that this entry host claims from one line for one budget. */
struct entry_claim {
	struct entry_claim *next;
	uint32_t bucket;
	uint64_t line_id;
	char budget[TGW_NAME_SIZE];
	int64_t tokens;		 /**< cumulative */
	int64_t recorded_tokens; /**< of these, recorded in the ledger */
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
	struct budget_bucket *queued; /**< for the next tick */
	size_t busy_count;	      /**< buckets that have timers */
	struct budget_bucket **busy;
	int64_t scanned_us;
	int64_t scan_due_us; /**< earliest due time of any busy bucket */
	/* Holder. */
	struct key_table reservations; /**< of struct reservation */
	struct reservation *ended_first;
	struct reservation **ended_end;
	struct reservation *unconfirmed;
	int64_t store_failing_since_us; /**< 0 while the store answers */
	int64_t store_answered_us;
	int64_t probed_us;
	/* Entry host. */
	struct key_table entries;      /**< of struct entry_request */
	struct entry_request *pending; /**< waiting for a holder's reply */
	struct entry_answer *ready; /**< callbacks that are due, oldest first */
	struct entry_answer **ready_end;
	struct entry_request *done_first;
	struct entry_request **done_end;
	size_t open_entries;
	struct entry_claim *claims;
	bool is_draining;
	int64_t exchange_due_us;
	struct unresolved_duplicate *unresolved_duplicates;
	struct key_table reported; /**< of struct reported_key */
	struct reported_key *reported_first;
	struct reported_key **reported_end;
	struct tgw_budget_counters counters;
};

/** @return whether a run that is settled on this basis did not complete */
static inline bool budget_basis_is_incomplete(enum tgw_settle_basis basis)
{
	return basis == TGW_SETTLE_NOT_RUN || basis == TGW_SETTLE_PARTIAL;
}

int64_t budget_now_us(const struct tgw_budget_agent *agent);

struct budget_peer *budget_peer_obtain(struct tgw_budget_agent *agent,
				       const char *name);

/** State of a process as seen by this host. A process that the host view does
 * not list is GONE once the view has had time to include it. */
enum tgw_host_state budget_peer_state(const struct tgw_budget_agent *agent,
				      const char *name, uint64_t incarnation);

struct budget_bucket *budget_bucket_obtain(struct tgw_budget_agent *agent,
					   uint32_t index);

/** Ranks the hosts of the local failure domain for the bucket. */
void budget_bucket_rank(struct budget_bucket *bucket);

/** @return whether this host is the bucket's first-ranked host in its failure
 * domain */
bool budget_bucket_is_first(const struct budget_bucket *bucket);

/** Encodes a message and sends it to another host. */
void budget_send(struct tgw_budget_agent *agent, const char *to,
		 const struct budget_message *message);

/** @return whether all store calls have failed for several seconds */
bool budget_store_is_unreachable(const struct tgw_budget_agent *agent);

/** Queues the bucket for the next tick. */
void budget_bucket_queue(struct budget_bucket *bucket);

/** Schedules an operation on the bucket's ledger key at that time, unless one
 * is due earlier. */
void budget_bucket_schedule(struct budget_bucket *bucket, int64_t due_us);

#endif
