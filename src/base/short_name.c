#include "base/short_name.h"

#include <assert.h>
#include <sodium.h>
#include <string.h>

#include "base/text.h"

#define MARK '~'
#define REPLACEMENT '_'
#define DIGEST_BYTES 16
#define DIGEST_HEX (2 * DIGEST_BYTES)
#define BEGINNING_MAX 20

static_assert(DIGEST_BYTES >= crypto_generichash_BYTES_MIN,
	      "a digest that libsodium makes");
static_assert(1 + BEGINNING_MAX + 1 + DIGEST_HEX < TGW_NAME_SIZE,
	      "a digest fits into a name");

/* @return whether a name has the form of a digest, so that it could be taken
 * for the short name of another one */
static bool is_digest(const char *bytes, size_t size)
{
	if (size < 2 + DIGEST_HEX || *bytes != MARK ||
	    bytes[size - DIGEST_HEX - 1] != MARK)
		return false;
	for (size_t i = size - DIGEST_HEX; i < size; i++)
		if (!strchr("0123456789abcdef", bytes[i]) || !bytes[i])
			return false;
	return true;
}

static void set_digest(char name[TGW_NAME_SIZE], const char *bytes, size_t size)
{
	unsigned char digest[DIGEST_BYTES];
	char *at = name;

	crypto_generichash(digest, sizeof(digest), (const unsigned char *)bytes,
			   size, NULL, 0);
	*at++ = MARK;
	for (size_t i = 0; i < size && i < BEGINNING_MAX; i++)
		*at++ = text_is_plain_byte(bytes[i]) ? bytes[i] : REPLACEMENT;
	*at++ = MARK;
	sodium_bin2hex(at, DIGEST_HEX + 1, digest, sizeof(digest));
}

void short_name_set_bytes(char name[TGW_NAME_SIZE], const char *bytes,
			  size_t size)
{
	if (!size || size >= TGW_NAME_SIZE || memchr(bytes, '\0', size) ||
	    is_digest(bytes, size)) {
		set_digest(name, bytes, size);
		return;
	}
	memcpy(name, bytes, size);
	name[size] = '\0';
}

void short_name_set(char name[TGW_NAME_SIZE], const char *text)
{
	short_name_set_bytes(name, text, strlen(text));
}

void short_name_copy(char name[TGW_NAME_SIZE], const char *short_name)
{
	size_t size = strlen(short_name);

	assert(size < TGW_NAME_SIZE);
	if (size < TGW_NAME_SIZE)
		memcpy(name, short_name, size + 1);
	else
		set_digest(name, short_name, size);
}
