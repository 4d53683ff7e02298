/**
 * @file team_account_transfer.h
 * What an account gives to other hosts and takes from them, and what it reports
 * for them or through them.
 */
#ifndef STATE_TEAM_ACCOUNT_TRANSFER_H
#define STATE_TEAM_ACCOUNT_TRANSFER_H

#include "state/team_account.h"

/** Gives tokens to another host. They bind this one before it tells the other.
 * @param tokens at most what is available */
void team_account_give(struct team_account *account, int64_t tokens);

/** Undoes a part of what was given, which the other host will never take. */
void team_account_take_back(struct team_account *account, int64_t tokens);

/** Receives what another host gave. */
void team_account_receive(struct team_account *account, int64_t tokens);

/** Counts what requests used at a host that this one relays for.
 * @param is_recent demand of a longer time would be taken for a high rate */
void team_account_collect(struct team_account *account,
			  const struct team_account_usage *usage,
			  bool is_recent, int64_t now_us);

/** Leaves to another host what this one has not reported yet: it is counted as
 * forwarded, and added to the usage. */
void team_account_forward(struct team_account *account,
			  struct team_account_usage *usage);

/** @return what to hold while a relay is asked for more: the demand of this
 * time, and at least one request's tokens if there is any demand */
int64_t team_account_reserve_target(const struct team_account *account,
				    double hold_s, int64_t now_us);

/** @return whether the relay said so recently that it is not asked again */
bool team_account_has_none_available(const struct team_account *account,
				     int64_t now_us);

#endif
