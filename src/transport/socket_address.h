/**
 * @file socket_address.h
 * IP addresses with ports, as they appear in settings.
 */
#ifndef TRANSPORT_SOCKET_ADDRESS_H
#define TRANSPORT_SOCKET_ADDRESS_H

#include <netinet/in.h>
#include <stdbool.h>
#include <sys/socket.h>

union socket_address {
	struct sockaddr any;
	struct sockaddr_in v4;
	struct sockaddr_in6 v6;
};

/** Reads "127.0.0.1:8080" or "[::1]:8080". @return false when it is neither */
bool socket_address_parse(const char *text, union socket_address *address);

/** @return whether a server can have the address: a port other than 0, and an
 * IP address that is neither unspecified nor of a group */
bool socket_address_is_server(const union socket_address *address);

#endif
