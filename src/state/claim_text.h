/**
 * @file claim_text.h
 * Messages to callers about the state of a claim.
 */
#ifndef STATE_CLAIM_TEXT_H
#define STATE_CLAIM_TEXT_H

#include "tamarackgw/claim.h"

/** @return a sentence that describes the state and what the caller can do */
const char *claim_state_message(enum tgw_claim_state state);

#endif
