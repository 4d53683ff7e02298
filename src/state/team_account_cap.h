/**
 * @file team_account_cap.h
 * The spending caps of an account: how much of an allotment may be spent by
 * now.
 */
#ifndef STATE_TEAM_ACCOUNT_CAP_H
#define STATE_TEAM_ACCOUNT_CAP_H

#include "state/team_account.h"

/** What spending caps are computed from, other than the account. */
struct team_account_cap_inputs {
	int64_t written_us;
	int64_t period_us;
	int64_t interval_us; /**< expected until the next cap */
	/** What the account holds above its target is returned as soon as the
	 * cap is recorded, which must not cover it then. */
	bool returns_surplus;
	/** Mean cost of a request here, of all teams; 0 before the first
	 * one. */
	double mean_cost_tokens;
	/** Mean cost of a request here, of all teams, in which each request
	 * counts by its tokens; 0 before the first one. */
	double weighted_cost_tokens;
};

/** @return whether only a spending cap keeps these tokens from being spent */
bool team_account_is_capped(const struct team_account *account, int64_t tokens,
			    int64_t now_us);

/** @return whether a spending cap keeps the allotment from being lowered */
bool team_account_has_cap(const struct team_account *account, int64_t now_us);

/** @return when the caps in force will allow these tokens; in the past if they
 * do now */
int64_t team_account_capped_until_us(const struct team_account *account,
				     int64_t tokens);

/** @return whether the allotment exceeds what the confirmed cap promises to
 * keep, so that the rest should be returned */
bool team_account_exceeds_cap(const struct team_account *account);

/** Computes the next spending cap, and puts it in force together with the
 * confirmed one until the outcome of its write is known.
 * @param target of the allotment at present
 * @return whether there is a cap: something is withheld */
bool team_account_propose_cap(struct team_account *account,
			      const struct team_account_target *target,
			      const struct team_account_cap_inputs *in);

/** Lets the caps in force allow tokens that were received after they were
 * written: they withhold nothing of these. */
void team_account_extend_caps(struct team_account *account, int64_t tokens);

/** Puts no cap in force once the write of a record without one is confirmed. */
void team_account_propose_no_cap(struct team_account *account);

/** The write of the proposed cap has ended. */
void team_account_end_cap_write(struct team_account *account, bool took_effect);

/** @return the total that the caps in force allow by now */
int64_t team_account_cap_limit(const struct team_account *account,
			       int64_t now_us);

/** @return the allotment that the caps in force promise to keep; 0 without */
int64_t team_account_capped_allotment(const struct team_account *account,
				      int64_t now_us);

#endif
