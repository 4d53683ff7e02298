/**
 * @file leaving_notice.h
 * The message by which a host tells others of its failure domain that a backend
 * server is leaving. It names one run of the server, so that it says nothing
 * about a later run, however late it arrives.
 */
#ifndef STATE_LEAVING_NOTICE_H
#define STATE_LEAVING_NOTICE_H

#include <stddef.h>
#include <stdint.h>

#include "base/buffer.h"
#include "tamarackgw/host_view.h"
#include "tamarackgw/status.h"

struct leaving_notice {
	char server[TGW_NAME_SIZE];  /**< id */
	char address[TGW_NAME_SIZE]; /**< IP number and port */
	int64_t born_ms;	     /**< wall time of the run's start */
};

/** Appends the encoded message. */
void leaving_notice_encode(const struct leaving_notice *notice,
			   struct buffer *bytes);

/** @return OK; CORRUPT or NEWER_FORMAT */
enum tgw_status leaving_notice_decode(struct leaving_notice *notice,
				      const void *bytes, size_t size,
				      struct tgw_error *error);

#endif
