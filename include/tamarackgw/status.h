/**
 * @file status.h
 * Outcomes of operations, and the error that adds a message to an outcome.
 */
#ifndef TAMARACKGW_STATUS_H
#define TAMARACKGW_STATUS_H

#include <stdint.h>

/** Size of an error message in bytes, including the terminator. */
#define TGW_ERROR_MESSAGE_SIZE 320

/** Outcome of an operation. */
enum tgw_status {
	TGW_OK = 0,
	TGW_CONFLICT,	  /**< another writer was first; nothing changed */
	TGW_NOT_FOUND,	  /**< the named object does not exist */
	TGW_UNAVAILABLE,  /**< did not take effect; a retry may succeed */
	TGW_UNKNOWN,	  /**< may or may not have taken effect */
	TGW_INVALID,	  /**< the input breaks a rule; fix it and retry */
	TGW_EXHAUSTED,	  /**< the budget has no tokens left for this */
	TGW_BUSY,	  /**< over a limit for now; retry later */
	TGW_DENIED,	  /**< the caller may not do this */
	TGW_CORRUPT,	  /**< stored or received bytes do not decode */
	TGW_NEWER_FORMAT, /**< written by a newer version of the software */
	TGW_TIMEOUT,	  /**< no response in time; outcome as for UNKNOWN */
	TGW_CANCELLED,	  /**< cancelled by the caller or by a shutdown */
	TGW_QUARANTINED,  /**< the request crashed servers; see quarantine */
	TGW_TOO_LARGE,	  /**< over a size limit */
	TGW_INTERNAL,	  /**< a fault of this software */
	TGW_STATUS_COUNT
};

/** An outcome with a message that names the remedy. */
struct tgw_error {
	enum tgw_status status;
	char message[TGW_ERROR_MESSAGE_SIZE];
};

/** Stable lower-case name of a status, such as "not_found". */
const char *tgw_status_name(enum tgw_status status);

/**
 * Records a status with its message and returns the status.
 * @param error NULL if the message is not needed
 */
enum tgw_status tgw_error_set(struct tgw_error *error, enum tgw_status status,
			      const char *format, ...)
	__attribute__((format(printf, 3, 4)));

/** Resets to TGW_OK with an empty message. */
void tgw_error_clear(struct tgw_error *error);

#endif
