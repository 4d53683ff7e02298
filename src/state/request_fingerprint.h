/**
 * @file request_fingerprint.h
 * Identifies a request by its content, so that the retry of a caller, which
 * has another id, is recognized as the same request.
 */
#ifndef STATE_REQUEST_FINGERPRINT_H
#define STATE_REQUEST_FINGERPRINT_H

#include <stddef.h>

#include "tamarackgw/quarantine.h"

/** What a retry has in common with the request. */
struct request_content {
	const char *team; /**< empty without a team */
	const char *method;
	const char *host;
	const char *target; /**< path and query */
	const void *body;
	size_t body_size;
};

void request_fingerprint_of(struct tgw_fingerprint *fingerprint,
			    const struct request_content *content);

/** Size of the text that names a fingerprint in logs. */
#define REQUEST_FINGERPRINT_TEXT_SIZE 17

/** Writes the first half of the fingerprint in hexadecimal. */
void request_fingerprint_to_text(const struct tgw_fingerprint *fingerprint,
				 char text[REQUEST_FINGERPRINT_TEXT_SIZE]);

#endif
