/**
 * @file ledger_bucket.h
 * One key of the ledger: some budgets and their ledger lines. A ledger line is
 * one host's record of what it has taken out of the key's budgets.
 *
 * Every writer maintains this invariant: for each budget, what open lines are
 * allotted plus what closed lines are charged is at most what was paid in.
 */
#ifndef STATE_LEDGER_BUCKET_H
#define STATE_LEDGER_BUCKET_H

#include <stdbool.h>
#include <stddef.h>
#include <stdint.h>

#include "tamarackgw/host_view.h"
#include "tamarackgw/status.h"

/** Largest amount that the ledger accepts, in tokens. */
#define LEDGER_TOKENS_MAX INT64_C(1000000000000000)
/** Latest top-ups that are kept for each budget, so that a repeated id is
 * recognized. */
#define LEDGER_TOP_UPS_MAX 16
/** Closed lines that each bucket keeps for a late reconciliation. */
#define LEDGER_CLOSED_LINES_MAX 24
#define LEDGER_KEY_SIZE 32

/** A payment into a budget. */
struct ledger_top_up {
	char id[TGW_NAME_SIZE]; /**< chosen by the operator */
	int64_t tokens;
	int64_t wall_us;
};

struct ledger_budget {
	char name[TGW_NAME_SIZE];
	int64_t paid_in_tokens;
	int64_t folded_tokens; /**< charged by lines that were removed */
	size_t top_up_count;
	struct ledger_top_up *top_ups; /**< oldest first */
};

/** Tokens of a written-off line that an entry host did not spend. */
struct ledger_refund {
	uint64_t entry_incarnation;
	int64_t tokens; /**< cumulative, so that a repeat changes nothing */
};

/** A line's allotment of one budget. All amounts but the demand and the
 * requested tokens are cumulative. */
struct ledger_allotment {
	uint32_t budget_index;
	int64_t allotted_tokens; /**< of a closed line: charge before refunds */
	int64_t settled_tokens;
	int64_t ceiling_tokens; /**< upper bound of what the line has spent */
	int64_t demand_tokens_per_s;
	int64_t requested_tokens; /**< requested from other lines; 0: none */
	size_t refund_count;
	struct ledger_refund *refunds;
};

enum ledger_line_state {
	LEDGER_LINE_OPEN,
	LEDGER_LINE_CLOSED, /**< written off; may be reconciled */
};

/** Why a line was written off. */
enum ledger_close_reason {
	LEDGER_CLOSE_NONE,
	LEDGER_CLOSE_BY_WITNESS,  /**< at the witness's ceiling */
	LEDGER_CLOSE_AT_ALLOTTED, /**< no witness: all that was allotted */
};

/** What one holder has taken out of the bucket's budgets. */
struct ledger_line {
	uint64_t id; /**< random, never reused */
	char host[TGW_NAME_SIZE];
	char domain[TGW_NAME_SIZE];
	uint64_t incarnation;
	uint64_t sequence; /**< number of the holder's last write */
	enum ledger_line_state state;
	char witness[TGW_NAME_SIZE]; /**< empty for none */
	uint64_t witness_incarnation;
	uint64_t epoch; /**< incremented when the witness changes */
	int64_t closed_wall_us;
	enum ledger_close_reason reason;
	size_t allotment_count;
	struct ledger_allotment *allotments;
};

struct ledger_bucket {
	size_t budget_count;
	struct ledger_budget *budgets;
	size_t line_count;
	struct ledger_line *lines;
	/** Packed audit entries; only the operators' tool decodes them. */
	uint8_t *audit;
	size_t audit_size;
};

/** Writes the name of a bucket's key in the store. */
void ledger_bucket_key(char key[LEDGER_KEY_SIZE], uint32_t index);

/** @return the index of the bucket that contains a budget */
uint32_t ledger_bucket_of(const char *budget, uint32_t bucket_count);

/** Ranking key of a bucket, for tgw_host_view_rank(). */
uint64_t ledger_bucket_hash(uint32_t index);

void ledger_bucket_clear(struct ledger_bucket *bucket);

/** @return the index, or -1 */
int ledger_bucket_find_budget(const struct ledger_bucket *bucket,
			      const char *name);

/** Applies a payment, unless its id is among the budget's latest
 * LEDGER_TOP_UPS_MAX top-ups; creates the budget when new.
 * @param applied false when this id was applied before
 * @return INVALID for a bad name or amount, an id that was used for another
 * amount, or a total above LEDGER_TOKENS_MAX */
enum tgw_status ledger_bucket_top_up(struct ledger_bucket *bucket,
				     const char *name, const char *id,
				     int64_t tokens, int64_t wall_us,
				     bool *applied, struct tgw_error *error);

/** Raises what was paid in to a total that is kept elsewhere, such as in the
 * configuration; a lower total changes nothing. Creates the budget when new.
 * @return the budget's index, or -1 for a bad name or amount */
int ledger_bucket_raise_paid_in(struct ledger_bucket *bucket, const char *name,
				int64_t total_tokens);

struct ledger_line *ledger_bucket_find_line(struct ledger_bucket *bucket,
					    uint64_t id);

/** Appends an open line; pointers to other lines become invalid. */
struct ledger_line *ledger_bucket_add_line(struct ledger_bucket *bucket,
					   uint64_t id);

/** Charges the line to its budgets for good and removes it. */
void ledger_bucket_fold_line(struct ledger_bucket *bucket, uint64_t id);

/** Folds the oldest closed lines until LEDGER_CLOSED_LINES_MAX are left. */
void ledger_bucket_trim(struct ledger_bucket *bucket);

/** @return the allotment, or NULL */
struct ledger_allotment *ledger_line_find_allotment(
	const struct ledger_line *line, uint32_t budget_index);

/** @return the allotment, added when it is new */
struct ledger_allotment *ledger_line_obtain_allotment(struct ledger_line *line,
						      uint32_t budget_index);

/** Raises an entry host's cumulative refund; a lower one changes nothing. */
void ledger_allotment_refund(struct ledger_allotment *allotment,
			     uint64_t incarnation, int64_t tokens);

/** @return the tokens that an allotment takes out of its budget: those allotted
 * to an open line, or charged to a closed one less its refunds */
int64_t ledger_allotment_debit(const struct ledger_line *line,
			       const struct ledger_allotment *allotment);

/** Closes a line. The reason decides whether it is charged its ceilings or all
 * that it was allotted. */
void ledger_line_close(struct ledger_line *line,
		       enum ledger_close_reason reason, int64_t wall_us);

/** @return tokens that no line has taken; negative only if the bucket breaks
 * the invariant above */
int64_t ledger_bucket_free_tokens(const struct ledger_bucket *bucket,
				  uint32_t budget_index);

/** Checks the invariant above, and that the amounts and budget indexes of the
 * lines and the totals of the budgets are in range. */
enum tgw_status ledger_bucket_check(const struct ledger_bucket *bucket,
				    struct tgw_error *error);

#endif
