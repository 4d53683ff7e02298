/**
 * @file operator_keys.h
 * Operators, their roles and the hashes of their keys. The file has one line
 * "name:role:hash" per operator key, where the hash is BLAKE2b of the key in 64
 * hex digits. Empty lines and lines that begin with # are ignored.
 */
#ifndef STATE_OPERATOR_KEYS_H
#define STATE_OPERATOR_KEYS_H

#include <stdbool.h>
#include <stddef.h>

#include "tamarackgw/status.h"

/** Each role has all permissions of the roles before it. */
enum operator_role {
	OPERATOR_VIEWER,   /**< reads status and counters */
	OPERATOR_OPERATOR, /**< also changes log levels and the like */
	OPERATOR_ADMIN,	   /**< has all permissions */
	OPERATOR_ROLE_COUNT
};

struct operator_keys;

const char *operator_role_name(enum operator_role role);

bool operator_role_parse(const char *name, enum operator_role *role);

/** Parses a file of operator keys.
 * @param text the whole file; no part of it appears in an error message
 * @return NULL with an error that names the file and line */
struct operator_keys *operator_keys_parse(const char *file, const char *text,
					  size_t size, struct tgw_error *error);

void operator_keys_free(struct operator_keys *keys);

/**
 * Looks up a key. The key is compared with those of all operators, so that the
 * time taken does not reveal which one matches.
 * @param bearer the key itself, or "Bearer KEY"; may be NULL
 * @return the operator's name; NULL when no operator has this key, or when the
 *         operator's role is below the needed one
 */
const char *operator_keys_check(const struct operator_keys *keys,
				const char *bearer,
				enum operator_role needed_role);

#endif
