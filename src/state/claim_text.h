/**
 * @file claim_text.h
 * What people are told about a claim.
 */
#ifndef STATE_CLAIM_TEXT_H
#define STATE_CLAIM_TEXT_H

#include "tamarackgw/claim.h"

/** @return the state in a sentence that names the remedy */
const char *claim_state_message(enum tgw_claim_state state);

#endif
