/**
 * @file lost_sending.h
 * Requests that a caller sends on a connection, one or several at once, whole
 * or in pieces.
 */
#ifndef LOST_SENDING_H
#define LOST_SENDING_H

#include <stdbool.h>
#include <uv.h>

#include "base/buffer.h"
#include "soak/soak.h"

#define LOST_DEADLINE_MS 8000
#define LOST_PENDING_MAX 3

struct lost_pending {
	struct soak_request *request;
	size_t begin; /**< offset of its first byte */
	size_t end;
	int64_t begun_us; /**< its first byte was sent */
	int64_t whole_us; /**< its last byte was sent; 0: not yet */
};

struct lost_sending {
	struct soak *soak;
	struct buffer text;
	size_t sent;
	unsigned int pieces_left;
	struct lost_pending pending[LOST_PENDING_MAX];
	size_t first;
	size_t count; /**< with those that have ended */
};

/** Chooses the next requests. */
void lost_sending_fill(struct lost_sending *sending, struct soak *soak,
		       struct soak_host *host, unsigned int host_start);

/** Writes the next piece. @return ms until the one after it; 0: none is left */
unsigned int lost_sending_write(struct lost_sending *sending, uv_tcp_t *tcp);

/** @return the request whose response is due, or NULL */
struct lost_pending *lost_sending_first(struct lost_sending *sending);

void lost_sending_pop(struct lost_sending *sending);

/** @return whether all was written and has ended */
bool lost_sending_is_done(const struct lost_sending *sending);

void lost_sending_free(struct lost_sending *sending);

#endif
