/**
 * @file transfer_link.h
 * What this process has given to one process of another host and taken from it,
 * by team. All totals are cumulative for the two processes, so each token that
 * one of them gave can be taken once.
 */
#ifndef STATE_TRANSFER_LINK_H
#define STATE_TRANSFER_LINK_H

#include <stdbool.h>
#include <stdint.h>

#include "state/team_account.h"
#include "state/transfer_message.h"

/** One team's totals. */
struct transfer_totals {
	char team[TGW_NAME_SIZE];
	int64_t given_tokens;	       /**< to the other process */
	int64_t acknowledged_tokens;   /**< of those, received there */
	int64_t taken_tokens;	       /**< from the other process */
	struct team_account_usage out; /**< for the other process to report */
	struct team_account_usage in;  /**< for this process to report */
	/* State of the other process, by its newest entry. */
	uint64_t sequence; /**< of the message with that entry */
	int64_t held_tokens;
	int64_t needed_tokens;
	int64_t wanted_tokens;
	int32_t rank;
	int64_t needed_us;   /**< when the entry arrived */
	bool none_available; /**< here, of what is needed there */
	/* The other process as a lender. */
	int64_t loan_asked_us;	    /**< without a reply yet; 0: not asked */
	bool lender_known;	    /**< it has replied */
	int64_t lender_held_tokens; /**< as it last said */
	int64_t none_lent_until_us; /**< it had none: not asked before */
	int64_t none_lent_for_us;   /**< last time; doubles */
	/** The following messages repeat the entry, as one may be lost. */
	uint32_t repeats;
	int64_t replied_us; /**< when a reply last had the entry */
	struct transfer_totals *next;
};

struct transfer_link {
	char host[TGW_NAME_SIZE];
	uint64_t incarnation;	/**< of the other process */
	int64_t heard_us;	/**< when its last message arrived */
	uint64_t sequence;	/**< of its newest message */
	int64_t reported_us;	/**< its last report with entries arrived */
	bool leaving;		/**< as that message says */
	bool store_unreachable; /**< likewise: it does not reach the store */
	bool borrows; /**< likewise: this host is not its relay, but a lender */
	int64_t relay_since_us; /**< first of those in a row */
	/** The process was replaced long ago: its messages are ignored for
	 * good, since nothing is known any more of what was taken. */
	bool ended;
	struct transfer_totals *totals;
	struct transfer_link *next;
};

struct transfer_link *transfer_link_new(const char *host, uint64_t incarnation);
void transfer_link_free(struct transfer_link *link);

/** Frees the totals. What was given and not received is lost. */
void transfer_link_end(struct transfer_link *link);

/** @return the team's totals, which are created on first use */
struct transfer_totals *transfer_link_totals(struct transfer_link *link,
					     const char *team);

/** Takes what an entry of the other process gives, once.
 * @return the tokens to add to the account */
int64_t transfer_totals_take(struct transfer_totals *totals,
			     const struct transfer_entry *entry);

/** @return what the other process has reported since its last entry */
struct team_account_usage transfer_totals_collect(
	struct transfer_totals *totals, const struct transfer_entry *entry);

/** Records which of the given tokens arrived. */
void transfer_totals_acknowledge(struct transfer_totals *totals,
				 const struct transfer_entry *entry);

/** The other process takes nothing more: what it has not taken by this entry
 * was never given.
 * @return the tokens to give back to the account */
int64_t transfer_totals_revoke(struct transfer_totals *totals,
			       const struct transfer_entry *entry);

/** Records what a lender's reply says. One that could not give all that was
 * needed counts as one without any: a remainder that serves no request must not
 * go back and forth. */
void transfer_totals_end_loan(struct transfer_totals *totals,
			      const struct transfer_entry *entry,
			      int64_t now_us);

/** @return whether given tokens have not been acknowledged */
bool transfer_totals_is_unacknowledged(const struct transfer_totals *totals);

#endif
