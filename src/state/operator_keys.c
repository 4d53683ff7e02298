#include "state/operator_keys.h"

#include <sodium.h>
#include <stdlib.h>
#include <string.h>
#include <strings.h>

#include "base/short_name.h"
#include "base/xalloc.h"
#include "state/config_object.h"
#include "tamarackgw/config_snapshot.h"

#define LINE_SIZE 256
#define BEARER_PREFIX "Bearer "

struct operator_key {
	char name[TGW_NAME_SIZE];
	enum operator_role role;
	uint8_t hash[TGW_KEY_HASH_BYTES];
};

struct operator_keys {
	size_t count;
	struct operator_key *keys;
};

static const char *const role_names[OPERATOR_ROLE_COUNT] = {
	[OPERATOR_VIEWER] = "viewer",
	[OPERATOR_OPERATOR] = "operator",
	[OPERATOR_ADMIN] = "admin",
};

const char *operator_role_name(enum operator_role role)
{
	return role_names[role];
}

bool operator_role_parse(const char *name, enum operator_role *role)
{
	for (int i = 0; i < OPERATOR_ROLE_COUNT; i++) {
		if (!strcmp(role_names[i], name)) {
			*role = (enum operator_role)i;
			return true;
		}
	}
	return false;
}

static enum tgw_status parse_line(struct operator_key *key, char *line,
				  const char *location, struct tgw_error *error)
{
	char *role = strchr(line, ':');
	char *hash = role ? strchr(role + 1, ':') : NULL;
	size_t hash_size = 0;

	if (!hash)
		return tgw_error_set(error, TGW_INVALID,
				     "%s is not of the form name:role:hash",
				     location);
	*role++ = '\0';
	*hash++ = '\0';
	if (!config_name_is_valid(line))
		return tgw_error_set(error, TGW_INVALID,
				     "%s has no valid name; use letters, "
				     "digits, '.', '_' and '-'",
				     location);
	short_name_copy(key->name, line);
	if (!operator_role_parse(role, &key->role))
		return tgw_error_set(error, TGW_INVALID,
				     "%s has no known role; use viewer, "
				     "operator or admin",
				     location);
	if (sodium_hex2bin(key->hash, sizeof(key->hash), hash, strlen(hash),
			   NULL, &hash_size, NULL) != 0 ||
	    hash_size != sizeof(key->hash))
		return tgw_error_set(error, TGW_INVALID,
				     "%s has no hash of 64 hex digits; make "
				     "one with 'tamarackgwctl operator "
				     "new-key'",
				     location);
	return TGW_OK;
}

static enum tgw_status add_line(struct operator_keys *keys, const char *start,
				size_t length, const char *location,
				struct tgw_error *error)
{
	char line[LINE_SIZE];
	struct operator_key key = {0};
	enum tgw_status status;

	while (length && strchr(" \t\r", start[length - 1]))
		length--;
	if (!length || *start == '#')
		return TGW_OK;
	if (length >= sizeof(line))
		return tgw_error_set(
			error, TGW_INVALID,
			"%s is longer than %zu characters; shorten "
			"the line",
			location, sizeof(line) - 1);
	memcpy(line, start, length);
	line[length] = '\0';
	status = parse_line(&key, line, location, error);
	sodium_memzero(line, sizeof(line));
	if (status != TGW_OK)
		return status;
	keys->keys =
		xrealloc(keys->keys, (keys->count + 1) * sizeof(keys->keys[0]));
	keys->keys[keys->count++] = key;
	return TGW_OK;
}

struct operator_keys *operator_keys_parse(const char *file, const char *text,
					  size_t size, struct tgw_error *error)
{
	struct operator_keys *keys = xcalloc(1, sizeof(*keys));
	enum tgw_status status = TGW_OK;
	size_t offset = 0;

	for (int line = 1; offset < size && status == TGW_OK; line++) {
		const char *end = memchr(text + offset, '\n', size - offset);
		size_t length = end ? (size_t)(end - text) - offset
				    : size - offset;
		char *location = xasprintf("%s:%d:", file, line);

		status = add_line(keys, text + offset, length, location, error);
		offset += length + 1;
		free(location);
	}
	if (status == TGW_OK)
		return keys;
	operator_keys_free(keys);
	return NULL;
}

void operator_keys_free(struct operator_keys *keys)
{
	if (!keys)
		return;
	free(keys->keys);
	free(keys);
}

const char *operator_keys_check(const struct operator_keys *keys,
				const char *bearer,
				enum operator_role needed_role)
{
	uint8_t hash[TGW_KEY_HASH_BYTES];
	const struct operator_key *found = NULL;

	if (!bearer)
		return NULL;
	if (!strncasecmp(bearer, BEARER_PREFIX, strlen(BEARER_PREFIX)))
		bearer += strlen(BEARER_PREFIX);
	tgw_key_hash(bearer, strlen(bearer), hash);
	for (size_t i = 0; i < keys->count; i++)
		if (sodium_memcmp(keys->keys[i].hash, hash, sizeof(hash)) == 0)
			found = &keys->keys[i];
	sodium_memzero(hash, sizeof(hash));
	return found && found->role >= needed_role ? found->name : NULL;
}
