#include <sodium.h>
#include <string.h>

#include "state/request_key.h"

void tgw_request_key_derive(struct tgw_request_key *key, const char *team,
			    const char *idempotency_key,
			    size_t idempotency_key_size)
{
	crypto_generichash_state state;

	if (!idempotency_key || !idempotency_key_size) {
		randombytes_buf(key->bytes, sizeof(key->bytes));
		key->bytes[0] |= REQUEST_KEY_UNIQUE_BIT;
		return;
	}
	crypto_generichash_init(&state, NULL, 0, sizeof(key->bytes));
	/* The hashed terminator separates the team from the caller's key. */
	crypto_generichash_update(&state, (const unsigned char *)team,
				  strlen(team) + 1);
	crypto_generichash_update(&state,
				  (const unsigned char *)idempotency_key,
				  idempotency_key_size);
	crypto_generichash_final(&state, key->bytes, sizeof(key->bytes));
	key->bytes[0] &= (uint8_t)~REQUEST_KEY_UNIQUE_BIT;
}
