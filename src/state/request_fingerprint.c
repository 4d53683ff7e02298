#include "state/request_fingerprint.h"

#include <sodium.h>
#include <string.h>

/* The null terminator keeps two texts apart from one that joins them. */
static void add_text(crypto_generichash_state *state, const char *text)
{
	crypto_generichash_update(state, (const unsigned char *)text,
				  strlen(text) + 1);
}

void request_fingerprint_of(struct tgw_fingerprint *fingerprint,
			    const struct request_content *content)
{
	crypto_generichash_state state;

	crypto_generichash_init(&state, NULL, 0, sizeof(fingerprint->bytes));
	add_text(&state, content->team);
	add_text(&state, content->method);
	add_text(&state, content->host);
	add_text(&state, content->target);
	crypto_generichash_update(&state, content->body, content->body_size);
	crypto_generichash_final(&state, fingerprint->bytes,
				 sizeof(fingerprint->bytes));
}

void request_fingerprint_to_text(const struct tgw_fingerprint *fingerprint,
				 char text[REQUEST_FINGERPRINT_TEXT_SIZE])
{
	sodium_bin2hex(text, REQUEST_FINGERPRINT_TEXT_SIZE, fingerprint->bytes,
		       (REQUEST_FINGERPRINT_TEXT_SIZE - 1) / 2);
}
