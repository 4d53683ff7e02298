/**
 * @file operator_keys.h
 * Operators, their roles and the hashes of their keys, one to a line:
 * "name:role:hash", the hash being BLAKE2b of the key in 64 hex digits.
 */
#ifndef STATE_OPERATOR_KEYS_H
#define STATE_OPERATOR_KEYS_H

#include <stdbool.h>
#include <stddef.h>

#include "tamarackgw/status.h"

/** Each role may do all that the ones before it may. */
enum operator_role {
	OPERATOR_VIEWER,   /**< reads status and counters */
	OPERATOR_OPERATOR, /**< changes log levels and the like */
	OPERATOR_ADMIN,	   /**< everything */
	OPERATOR_ROLE_COUNT
};

struct operator_keys;

const char *operator_role_name(enum operator_role role);

bool operator_role_parse(const char *name, enum operator_role *role);

/** @param text the whole file; no part of it goes into an error message
 * @return NULL with the error set, naming file and line */
struct operator_keys *operator_keys_parse(const char *file, const char *text,
					  size_t size, struct tgw_error *error);

void operator_keys_free(struct operator_keys *keys);

/**
 * Checks a key against all operators, in the same time whichever matches.
 * @param bearer the key itself, or "Bearer KEY"; may be NULL
 * @return the operator's name; NULL when there is none with this role
 */
const char *operator_keys_check(const struct operator_keys *keys,
				const char *bearer,
				enum operator_role needed_role);

#endif
