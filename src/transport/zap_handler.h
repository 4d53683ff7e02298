/**
 * @file zap_handler.h
 * Authentication of ZeroMQ peers (ZAP, RFC 27): admits only those that hold the
 * fleet's key.
 */
#ifndef TRANSPORT_ZAP_HANDLER_H
#define TRANSPORT_ZAP_HANDLER_H

#include <stdint.h>

struct zap_handler;

/** @param public_key the one key that is admitted, in Z85 */
struct zap_handler *zap_handler_new(void *context, const char *public_key);

void zap_handler_free(struct zap_handler *handler);

/** @return the socket to poll; NULL when handler is NULL */
void *zap_handler_socket(const struct zap_handler *handler);

/** Replies to all pending authentication requests. */
void zap_handler_serve(struct zap_handler *handler);

/** @return the number of connections that were refused */
uint64_t zap_handler_refused(const struct zap_handler *handler);

#endif
