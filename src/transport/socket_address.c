#include "transport/socket_address.h"

#include <arpa/inet.h>
#include <stdint.h>
#include <stdio.h>
#include <stdlib.h>
#include <string.h>

#define ADDRESS_SIZE 64

bool socket_address_parse(const char *text, union socket_address *address)
{
	char ip[ADDRESS_SIZE];
	const char *colon = strrchr(text, ':');
	size_t size = colon ? (size_t)(colon - text) : 0;
	char *end;
	long port;

	memset(address, 0, sizeof(*address));
	if (!size || size >= sizeof(ip))
		return false;
	port = strtol(colon + 1, &end, 10);
	if (end == colon + 1 || *end || port < 0 || port > UINT16_MAX)
		return false;
	if (text[0] == '[' && text[size - 1] == ']') {
		snprintf(ip, sizeof(ip), "%.*s", (int)size - 2, text + 1);
		address->v6.sin6_family = AF_INET6;
		address->v6.sin6_port = htons((uint16_t)port);
		return inet_pton(AF_INET6, ip, &address->v6.sin6_addr) == 1;
	}
	snprintf(ip, sizeof(ip), "%.*s", (int)size, text);
	address->v4.sin_family = AF_INET;
	address->v4.sin_port = htons((uint16_t)port);
	return inet_pton(AF_INET, ip, &address->v4.sin_addr) == 1;
}
