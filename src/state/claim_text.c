#include "state/claim_text.h"

const char *claim_state_message(enum tgw_claim_state state)
{
	switch (state) {
	case TGW_CLAIM_GRANTED:
		return "granted";
	case TGW_CLAIM_RUNNING:
		return "the call is still running; ask again with the same "
		       "key for its answer";
	case TGW_CLAIM_RECORDED:
		return "the recorded answer of the call";
	case TGW_CLAIM_UNKNOWN:
		return "the call may have run and its outcome is not known; "
		       "look it up at the service before booking anew";
	case TGW_CLAIM_REFUSED:
		return "the call was not run, because it could not be "
		       "claimed; come back later";
	case TGW_CLAIM_KEY_REUSED:
		return "the key belongs to another call; use a new key";
	}
	return "";
}
