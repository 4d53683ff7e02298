#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdio.h>
#include <string.h>

#define ADDRESS_SIZE 64

/* Reads digits without a sign or leading zeros. */
static bool parse_port(const char *text, uint16_t *port)
{
	uint32_t value = 0;

	if (!*text || (text[0] == '0' && text[1]))
		return false;
	for (; *text; text++) {
		if (*text < '0' || *text > '9')
			return false;
		value = value * 10 + (uint32_t)(*text - '0');
		if (value > UINT16_MAX)
			return false;
	}
	*port = (uint16_t)value;
	return true;
}

bool socket_address_parse(const char *text, union socket_address *address)
{
	char ip[ADDRESS_SIZE];
	const char *colon = strrchr(text, ':');
	size_t size = colon ? (size_t)(colon - text) : 0;
	uint16_t port;

	memset(address, 0, sizeof(*address));
	if (!size || size >= sizeof(ip) || !parse_port(colon + 1, &port))
		return false;
	if (text[0] == '[' && text[size - 1] == ']') {
		snprintf(ip, sizeof(ip), "%.*s", (int)size - 2, text + 1);
		address->v6.sin6_family = AF_INET6;
		address->v6.sin6_port = htons(port);
		return inet_pton(AF_INET6, ip, &address->v6.sin6_addr) == 1;
	}
	snprintf(ip, sizeof(ip), "%.*s", (int)size, text);
	address->v4.sin_family = AF_INET;
	address->v4.sin_port = htons(port);
	return inet_pton(AF_INET, ip, &address->v4.sin_addr) == 1;
}

bool socket_address_is_server(const union socket_address *address)
{
	const struct in6_addr *v6 = &address->v6.sin6_addr;
	in_addr_t v4 = ntohl(address->v4.sin_addr.s_addr);

	if (!address->v4.sin_port)
		return false;
	if (address->any.sa_family == AF_INET6)
		return !IN6_IS_ADDR_UNSPECIFIED(v6) &&
		       !IN6_IS_ADDR_MULTICAST(v6);
	return v4 != INADDR_ANY && v4 != INADDR_BROADCAST && !IN_MULTICAST(v4);
}
